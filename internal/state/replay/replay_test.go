package replay

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

func putUpstream(id string, base uint64) patch.Patch {
	return patch.Patch{ID: id, BaseVersion: base, Ops: []patch.Op{
		patch.PutUpstream{Upstream: conf.UpstreamSpec{ID: "up-1", Service: "advisor", FailureDomain: "one"}},
	}}
}

func replayerAt(t *testing.T, count int) *Replayer {
	replayer := New()
	for version := range uint64(count) {
		if result, ok := replayer.ApplyPatch(version, putUpstream(fmt.Sprint("patch-", version+1), version)); !ok || result.Kind != patch.Accepted {
			t.Fatal(result, ok)
		}
	}
	return replayer
}

// Guards against a patch that is applied twice or reports another result than
// its first one, and against an unbounded number of stored results.
func TestPatch(t *testing.T) {
	replayer := replayerAt(t, MaxRecentPatches+10)
	version := replayer.Config().Version()
	futurePatch := putUpstream("future", version+1)
	tests := []struct {
		name   string
		offset uint64
		record patch.Patch
		want   patch.Result
		ok     bool
	}{
		{name: "duplicate", offset: 5000, record: putUpstream("patch-11", 10), want: patch.Result{ID: "patch-11", Kind: patch.Duplicate, Version: 11}, ok: true},
		{name: "forgotten duplicate", offset: 5001, record: putUpstream("patch-10", 9), want: patch.Result{ID: "patch-10", Kind: patch.Conflict, Version: version}, ok: true},
		{name: "conflict", offset: 5002, record: putUpstream("late", version-1), want: patch.Result{ID: "late", Kind: patch.Conflict, Version: version}, ok: true},
		{name: "known offset", offset: 5002, record: putUpstream("other", version), want: patch.Result{ID: "other", Kind: patch.Conflict, Version: version}},
		{name: "future base", offset: 5003, record: futurePatch, ok: true, want: patch.Result{
			ID: "future", Kind: patch.Invalid, Version: version, Field: "base",
			Reason: fmt.Sprintf("version %d does not exist yet; use the current version %d", version+1, version),
		}},
		{name: "accepted", offset: 5004, record: putUpstream("next", version), want: patch.Result{ID: "next", Kind: patch.Accepted, Version: version + 1}, ok: true},
	}
	for _, test := range tests {
		got, ok := replayer.ApplyPatch(test.offset, test.record)
		if diff := cmp.Diff(test.want, got); diff != "" || ok != test.ok {
			t.Errorf("%s: applied is %v (-want +got):\n%s", test.name, ok, diff)
		}
	}
	replayer.ApplyPatch(5005, putUpstream("late", version+2))
	if got := replayer.Result("late"); got.Kind != patch.Conflict || got.Version != version {
		t.Errorf("got %v for a rejected patch that was appended again, want its first result", got)
	}
	if got := len(replayer.State().RecentPatches); got != MaxRecentPatches {
		t.Errorf("%d patch ids are kept, want %d", got, MaxRecentPatches)
	}
	for offset := range uint64(3 * maxRejectedPatches) {
		replayer.ApplyPatch(6000+offset, putUpstream(fmt.Sprint("void-", offset), 0))
	}
	if got := len(replayer.rejected.results); got != maxRejectedPatches {
		t.Errorf("%d results of rejected patches are kept, want %d", got, maxRejectedPatches)
	}
}

// Guards against a version that decreases when a state is installed, and
// against a snapshot without the patch ids by which duplicates are recognised.
func TestInstallState(t *testing.T) {
	newer, older := replayerAt(t, MaxRecentPatches+5), replayerAt(t, 7)
	if newer.InstallState(older.State(), 9999) || newer.Config().Version() != MaxRecentPatches+5 || newer.NextOffset() != MaxRecentPatches+5 {
		t.Errorf("an older state was installed: version %d, next offset %d", newer.Config().Version(), newer.NextOffset())
	}
	if !older.InstallState(newer.State(), 9000) || older.Config().Version() != MaxRecentPatches+5 || older.NextOffset() != 9000 {
		t.Errorf("a newer state was not installed: version %d, next offset %d", older.Config().Version(), older.NextOffset())
	}
	if diff := cmp.Diff(newer.State().RecentPatches, older.State().RecentPatches); diff != "" {
		t.Errorf("ids differ (-want +got):\n%s", diff)
	}
	if got := older.Result("patch-6"); got.Version != 6 || got.Kind != patch.Accepted {
		t.Errorf("got %v for the oldest of the recent patches", got)
	}
}

// Guards against a snapshot that is assembled from chunks of different
// snapshots or from damaged ones, and against a snapshot whose time is that of
// its newest chunk instead of its oldest.
func TestSnapshots(t *testing.T) {
	encoded := bytes.Repeat([]byte("0123456789abcdef"), ChunkSize/8)
	encoded = append(encoded, "end"...)
	first := Split(3, 10, encoded)
	second := Split(3, 12, encoded)
	other := Split(4, 14, append([]byte("x"), encoded...))
	same := Split(3, 14, append([]byte("y"), encoded...))
	damaged := first[0]
	damaged.Data = bytes.Clone(damaged.Data)
	damaged.Data[0]++
	recounted := first[0]
	recounted.Count++
	tests := []struct {
		name        string
		chunks      []Chunk
		next        uint64 // 0 when no snapshot is complete
		newestIndex int    // index of the chunk whose time counts, or -1
	}{
		{name: "in order", chunks: first, next: 10, newestIndex: 0},
		{name: "reversed", chunks: []Chunk{first[2], first[1], first[0]}, next: 10, newestIndex: 0},
		{name: "two writers", chunks: []Chunk{first[0], second[1], other[0], first[2]}, next: 12, newestIndex: 0},
		{name: "written again", chunks: []Chunk{first[0], first[1], second[0], second[2]}, next: 12, newestIndex: 1},
		{name: "incomplete", chunks: []Chunk{first[0], other[1], first[2]}, newestIndex: -1},
		{name: "other digest", chunks: []Chunk{first[0], same[1], first[2]}, newestIndex: -1},
		{name: "other count", chunks: []Chunk{recounted, first[0], first[1], first[2]}, next: 10, newestIndex: 1},
	}
	start := time.Unix(1000, 0)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := SnapshotTracker{CollectData: true}
			var got []byte
			var next uint64
			for index, chunk := range test.chunks {
				if data, resume, ok := tracker.Add(chunk, start.Add(time.Duration(index)*time.Second)); ok {
					got, next = data, resume
				}
			}
			if next != test.next || next > 0 && !bytes.Equal(got, encoded) {
				t.Errorf("got %d bytes to resume at %d, want %d bytes at %d", len(got), next, len(encoded), test.next)
			}
			want := time.Time{}
			if test.newestIndex >= 0 {
				want = start.Add(time.Duration(test.newestIndex) * time.Second)
			}
			if got := tracker.NewestComplete(); !got.Equal(want) {
				t.Errorf("got a newest snapshot of %v, want %v", got, want)
			}
		})
	}
	tracker := SnapshotTracker{CollectData: true}
	for _, chunk := range []Chunk{damaged, first[1], first[2]} {
		if _, _, ok := tracker.Add(chunk, start); ok {
			t.Error("a damaged snapshot was accepted")
		}
	}
	for index, chunk := range first {
		if _, _, ok := tracker.Add(chunk, start); ok != (index == len(first)-1) {
			t.Errorf("chunk %d after a damaged snapshot completes: %v", index, ok)
		}
	}
}
