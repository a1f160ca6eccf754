package syncer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

func putUpstream(id string, base uint64) patch.Patch {
	return patch.Patch{ID: id, BaseVersion: base, Operator: "anna", Ops: []patch.Op{
		patch.PutUpstream{Upstream: conf.UpstreamSpec{ID: id, Service: "advisor", FailureDomain: "one"}},
	}}
}

func (world *world) publish(member *member, record patch.Patch) Report {
	world.t.Helper()
	report, err := member.Publish(world.t.Context(), record)
	if err != nil {
		world.t.Fatal(err)
	}
	return report
}

func (world *world) versions() []uint64 {
	var list []uint64
	for _, member := range world.members {
		list = append(list, member.Current().Version())
	}
	return list
}

func (world *world) expect(want ...uint64) {
	world.t.Helper()
	synctest.Wait()
	if diff := cmp.Diff(want, world.versions()); diff != "" {
		world.t.Fatalf("versions differ (-want +got):\n%s", diff)
	}
}

func (world *world) chunks() int {
	count := 0
	for _, record := range world.log.all() {
		if entry, err := codec.DecodeRecord(record.Data); err == nil && entry.Chunk != nil {
			count++
		}
	}
	return count
}

// Guards against every instance writing each snapshot, and against none being
// written in time while patches keep coming.
func TestSnapshotsAreWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, 1, time.Minute, 6, nil)
		defer world.stop()
		random := rand.New(rand.NewPCG(1, 2))
		version := uint64(0)
		for count := range 600 {
			time.Sleep(time.Second)
			report := world.publish(world.members[0], change(random, fmt.Sprint("patch-", count), version))
			if report.Kind == patch.Accepted {
				version = report.Version
			}
		}
		t.Logf("%d snapshots", world.chunks())
		if got := world.chunks(); got < 34 || got > 80 {
			t.Errorf("got %d snapshots in 10 min with a renewal every 15 s, want 34 to 80", got)
		}
	})
}

// Guards against a process that starts with an old or no configuration although
// the log or a peer has the newest one.
func TestFreshProcess(t *testing.T) {
	tests := []struct {
		name      string
		tailBytes int
		log       bool
		peers     bool
	}{
		{name: "from the log alone, records expired", tailBytes: 1 << 20, log: true},
		{name: "from peers by patches", tailBytes: 1 << 20, peers: true},
		{name: "from peers by snapshot", tailBytes: 1, peers: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(t, 1, time.Minute, 2, func(config *Config) { config.TailBytes = test.tailBytes })
				defer world.stop()
				time.Sleep(time.Second)
				for version := range uint64(20) {
					world.publish(world.members[0], putUpstream(fmt.Sprint("up-", version), version))
				}
				world.expect(20, 20)
				time.Sleep(2 * time.Minute)
				fresh := world.members[1]
				fresh.stop()
				for _, member := range world.members {
					member.link.set(test.log, false)
				}
				world.network.set(fresh.name, !test.peers)
				world.start(fresh)
				time.Sleep(peerBound)
				world.expect(20, 20)
				if got := len(fresh.Current().Upstreams()); got != 20 {
					t.Errorf("got %d upstreams, want 20", got)
				}
				if result := fresh.Result("up-3"); result.Kind != patch.Accepted || result.Version != 4 {
					t.Errorf("got %v, want patch up-3 accepted as version 4", result)
				}
			})
		})
	}
}

// Guards against a process that serves keyed work although a withdrawal cannot
// reach it, and against one that refuses it in a mere log outage.
func TestIsolated(t *testing.T) {
	tests := []struct {
		name     string
		log      bool
		peersCut int // of 4
		wait     time.Duration
		want     bool
	}{
		{name: "log and peers", log: true, wait: 40 * time.Second},
		{name: "log alone", log: true, peersCut: 4, wait: 40 * time.Second},
		{name: "log outage", wait: 40 * time.Second},
		{name: "half of the peers", peersCut: 2, wait: 40 * time.Second},
		{name: "fewer than half of the peers", peersCut: 3, wait: 40 * time.Second, want: true},
		{name: "neither", peersCut: 4, wait: 40 * time.Second, want: true},
		{name: "neither, for a short time", peersCut: 4, wait: 20 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(t, 1, time.Hour, 5, nil)
				defer world.stop()
				time.Sleep(20 * time.Second)
				for index, member := range world.members {
					member.link.set(test.log, false)
					world.network.set(member.name, index > 0 && index <= test.peersCut)
				}
				time.Sleep(test.wait)
				if got := world.members[0].Isolated(); got != test.want {
					t.Errorf("got isolated %v after an age of %v, want %v", got, world.members[0].ConfirmedAge(), test.want)
				}
			})
		})
	}
}

// Guards against an age that is smaller than the time since the log was read,
// and against one that does not pass along a chain of peers.
func TestConfirmedAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, 1, time.Hour, 3, nil)
		defer world.stop()
		world.members[1].link.set(false, false)
		world.members[2].link.set(false, false)
		// The third process reaches the log through the second alone.
		cut := func(index int, peers ...string) {
			world.members[index].stop()
			world.change = func(config *Config) { config.Peers = func() []string { return peers } }
			world.start(world.members[index])
		}
		cut(2, "instance-1")
		time.Sleep(time.Minute)
		const chain = 12 * time.Second
		for _, member := range world.members {
			if age := member.ConfirmedAge(); age > chain {
				t.Errorf("%s has age %v, want at most %v", member.name, age, chain)
			}
		}
		out := time.Now()
		world.members[0].link.set(false, false)
		time.Sleep(time.Minute)
		for _, member := range world.members {
			if age := member.ConfirmedAge(); age < time.Since(out) {
				t.Errorf("%s has age %v, but the log was last read %v ago", member.name, age, time.Since(out))
			}
		}
	})
}

// Guards against a process that waits for its next regular call although it was
// told of a newer version.
func TestHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, 1, time.Hour, 2, func(config *Config) {
			config.SyncInterval = time.Hour
			config.PushFanout = 1
		})
		defer world.stop()
		world.members[1].link.set(false, false)
		world.network.set("instance-1", true)
		time.Sleep(time.Second)
		world.publish(world.members[0], putUpstream("up-1", 0))
		time.Sleep(time.Second)
		world.expect(1, 0)
		world.network.set("instance-1", false)
		world.members[1].ObserveVersion(1)
		time.Sleep(100 * time.Millisecond)
		world.expect(1, 1)
	})
}

// Guards against reports that mislead operators: a wrong result, a conflict that
// does not say what changed, or a patch appended by a process that is cut off.
func TestPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, 1, time.Hour, 2, nil)
		defer world.stop()
		member := world.members[0]
		time.Sleep(time.Second)
		first := putUpstream("up-1", 0)
		steps := []struct {
			name   string
			record patch.Patch
			kind   patch.ResultKind
			field  string
			change []Change
			advice string
		}{
			{name: "accepted", record: first, kind: patch.Accepted, advice: "in force as version 1"},
			{name: "again", record: first, kind: patch.Duplicate, advice: "accepted before as version 1"},
			{name: "stale", record: putUpstream("up-2", 0), kind: patch.Conflict, advice: "read version 1",
				change: []Change{{Version: 1, ID: "up-1", Operator: "anna", Ops: []string{"put-upstream: upstream up-1"}}}},
			{name: "from the future", record: putUpstream("up-3", 5), kind: patch.Invalid, field: "base", advice: "correct base"},
			{name: "malformed", record: putUpstream("up@3", 1), kind: patch.Invalid, field: "ops[0].put-upstream.id", advice: "new id"},
		}
		for _, step := range steps {
			report := world.publish(member, step.record)
			got := []any{report.Kind, report.Field, report.Changes}
			if diff := cmp.Diff([]any{step.kind, step.field, step.change}, got); diff != "" || !strings.Contains(report.Advice, step.advice) {
				t.Errorf("%s: got %+v (-want +got):\n%s", step.name, report, diff)
			}
		}
		world.expect(1, 1)
		appended := len(world.log.all())
		member.link.set(false, true)
		if report := world.publish(member, putUpstream("up-4", 1)); report.Kind != patch.Unknown {
			t.Errorf("got %v while the log hangs, want unknown", report.Kind)
		}
		member.link.set(false, false)
		for _, wait := range []time.Duration{0, 90 * time.Second} {
			world.members[1].link.set(wait == 0, false)
			time.Sleep(wait)
			_, err := member.Publish(context.Background(), putUpstream("up-5", 1))
			failure, ok := fault.As(err)
			want := map[time.Duration]fault.Kind{0: fault.LogUnavailable}[wait]
			if wait > 0 {
				want = fault.Stale
			}
			if !ok || failure.Kind() != want || failure.Ran() != fault.NotRun {
				t.Errorf("got error %v after %v without the log, want %s", err, wait, want)
			}
		}
		if got := len(world.log.all()); got != appended {
			t.Errorf("%d records were appended through a log that is out", got-appended)
		}
	})
}
