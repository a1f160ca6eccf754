package syncer

import (
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// tail holds the last accepted patches, encoded, within a bound on their size.
type tail struct {
	limit   int
	size    int
	first   uint64 // version that the oldest entry created
	entries [][]byte
}

// add appends the patch that created a version.
func (tail *tail) add(version, offset uint64, record patch.Patch) {
	wire := codec.PatchToWire(record)
	wire.Offset = offset
	data, err := proto.Marshal(wire)
	if err != nil || version != tail.first+uint64(len(tail.entries)) {
		tail.reset()
	}
	if err != nil {
		return
	}
	if len(tail.entries) == 0 {
		tail.first = version
	}
	tail.entries = append(tail.entries, data)
	tail.size += len(data)
	for tail.size > tail.limit {
		tail.size -= len(tail.entries[0])
		tail.entries[0] = nil
		tail.entries = tail.entries[1:]
		tail.first++
	}
}

func (tail *tail) reset() { tail.entries, tail.size, tail.first = nil, 0, 0 }

// bridges reports whether the patches after a version are all held.
func (tail *tail) bridges(version uint64) bool {
	return len(tail.entries) > 0 && version+1 >= tail.first
}

// after returns the patches after a version, as many as fit in limit bytes but
// at least one.
func (tail *tail) after(version uint64, limit int) []*wirepb.PatchRecord {
	var list []*wirepb.PatchRecord
	for index := int(version + 1 - tail.first); index < len(tail.entries); index++ {
		limit -= len(tail.entries[index])
		if limit < 0 && len(list) > 0 {
			break
		}
		var wire wirepb.PatchRecord
		if err := proto.Unmarshal(tail.entries[index], &wire); err != nil {
			break
		}
		list = append(list, &wire)
	}
	return list
}
