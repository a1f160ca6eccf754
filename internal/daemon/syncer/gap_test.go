package syncer

import (
	"testing"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// TestGap guards against a process that applies records although earlier ones
// expired before it read them: after a snapshot that does not cover the expired
// records, or from a page that was requested before a peer closed the gap.
func TestGap(t *testing.T) {
	replayer := replay.New()
	for version := range uint64(3) {
		if result, _ := replayer.ApplyPatch(version, putUpstream(string(rune('a'+version)), version)); result.Kind != patch.Accepted {
			t.Fatal(result)
		}
	}
	encoded, err := codec.EncodeState(replayer.State())
	if err != nil {
		t.Fatal(err)
	}
	record := func(offset uint64, data []byte, err error) LogRecord {
		if err != nil {
			t.Fatal(err)
		}
		return LogRecord{Offset: offset, Time: time.Now(), Data: data}
	}
	chunk := func(offset, next uint64) LogRecord {
		data, err := codec.EncodeChunk(replay.Split(3, next, encoded)[0])
		return record(offset, data, err)
	}
	next, err := codec.EncodePatch(putUpstream("d", 3))
	patched := record(61, next, err)
	tests := []struct {
		name     string
		pages    []LogPage
		peer     uint64 // offset that a peer's snapshot resumes at, installed after the first page; none if 0
		version  uint64
		position uint64
	}{
		{name: "snapshot before the gap", version: 0, position: 61, pages: []LogPage{{FirstOffset: 50, NextOffset: 61, Records: []LogRecord{chunk(60, 49)}}}},
		{name: "snapshot at the gap", version: 3, position: 50, pages: []LogPage{{FirstOffset: 50, NextOffset: 61, Records: []LogRecord{chunk(60, 50)}}}},
		{name: "records after the snapshot are read again", version: 3, position: 55, pages: []LogPage{
			{FirstOffset: 50, NextOffset: 62, Records: []LogRecord{chunk(60, 55), patched}},
		}},
		{name: "page requested before a peer's snapshot", peer: 55, version: 3, position: 55, pages: []LogPage{
			{FirstOffset: 50, NextOffset: 61, Records: []LogRecord{record(60, nil, nil)}},
			{FirstOffset: 50, NextOffset: 62, Records: []LogRecord{patched}},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			syncer, err := New(Config{Instance: "instance-1", Log: newLink(newFakeLog(1, time.Hour))})
			if err != nil {
				t.Fatal(err)
			}
			from := uint64(0)
			for index, page := range test.pages {
				if err := syncer.applyPage(page, from, time.Now()); err != nil {
					t.Fatal(err)
				}
				from = page.NextOffset
				if index == 0 && test.peer > 0 {
					syncer.mutex.Lock()
					syncer.installSnapshot(encoded, test.peer)
					syncer.mutex.Unlock()
				}
			}
			if got := syncer.replayer.Config().Version(); got != test.version || syncer.log.position != test.position {
				t.Errorf("got version %d and position %d, want %d and %d", got, syncer.log.position, test.version, test.position)
			}
		})
	}
}
