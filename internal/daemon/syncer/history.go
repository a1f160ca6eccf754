package syncer

import (
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// patchHistory holds the last accepted patches in encoded form, up to a total of
// maxBytes.
type patchHistory struct {
	maxBytes     int
	size         int    // total size of the entries in bytes
	firstVersion uint64 // version that the oldest entry created
	entries      [][]byte
}

// add appends the patch that created a version. If the version does not follow
// the last one, all older patches are dropped.
func (history *patchHistory) add(version, offset uint64, record patch.Patch) {
	wire := codec.PatchToWire(record)
	wire.Offset = offset
	data, err := proto.Marshal(wire)
	if err != nil || version != history.firstVersion+uint64(len(history.entries)) {
		history.reset()
	}
	if err != nil {
		return
	}
	if len(history.entries) == 0 {
		history.firstVersion = version
	}
	history.entries = append(history.entries, data)
	history.size += len(data)
	for history.size > history.maxBytes {
		history.size -= len(history.entries[0])
		history.entries[0] = nil
		history.entries = history.entries[1:]
		history.firstVersion++
	}
}

func (history *patchHistory) reset() { history.entries, history.size, history.firstVersion = nil, 0, 0 }

// covers reports whether all patches after a version are held.
func (history *patchHistory) covers(version uint64) bool {
	return len(history.entries) > 0 && version+1 >= history.firstVersion
}

// patchesAfter returns the first patches after a version: as many as fit in limit
// bytes, but at least one if there is one.
func (history *patchHistory) patchesAfter(version uint64, limit int) []*wirepb.PatchRecord {
	var list []*wirepb.PatchRecord
	for index := int(version + 1 - history.firstVersion); index < len(history.entries); index++ {
		limit -= len(history.entries[index])
		if limit < 0 && len(list) > 0 {
			break
		}
		var wire wirepb.PatchRecord
		if err := proto.Unmarshal(history.entries[index], &wire); err != nil {
			break
		}
		list = append(list, &wire)
	}
	return list
}
