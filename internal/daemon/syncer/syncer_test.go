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

// publish publishes a patch and fails the test on an error.
func (cluster *cluster) publish(member *member, record patch.Patch) PublishReport {
	cluster.t.Helper()
	report, err := member.Publish(cluster.t.Context(), record)
	if err != nil {
		cluster.t.Fatal(err)
	}
	return report
}

func (cluster *cluster) versions() []uint64 {
	var list []uint64
	for _, member := range cluster.members {
		list = append(list, member.Current().Version())
	}
	return list
}

// expectVersions fails the test unless the members have these versions.
func (cluster *cluster) expectVersions(want ...uint64) {
	cluster.t.Helper()
	synctest.Wait()
	if diff := cmp.Diff(want, cluster.versions()); diff != "" {
		cluster.t.Fatalf("versions differ (-want +got):\n%s", diff)
	}
}

// countChunks returns the number of snapshot chunks on the log.
func (cluster *cluster) countChunks() int {
	count := 0
	for _, record := range cluster.log.allRecords() {
		if entry, err := codec.DecodeRecord(record.Data); err == nil && entry.Chunk != nil {
			count++
		}
	}
	return count
}

// TestSnapshotsAreWrittenOnce guards against each snapshot being written by every
// instance, and against late or missing snapshots during a stream of patches.
func TestSnapshotsAreWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, time.Minute, 6, nil)
		defer cluster.stop()
		random := rand.New(rand.NewPCG(1, 2))
		version := uint64(0)
		for count := range 600 {
			time.Sleep(time.Second)
			report := cluster.publish(cluster.members[0], randomPatch(random, fmt.Sprint("patch-", count), version))
			if report.Kind == patch.Accepted {
				version = report.Version
			}
		}
		t.Logf("%d snapshots", cluster.countChunks())
		if got := cluster.countChunks(); got < 34 || got > 80 {
			t.Errorf("got %d snapshots in 10 min with a renewal every 15 s, want 34 to 80", got)
		}
	})
}

// TestFreshProcess guards against a process that starts without the newest
// configuration although the log or a peer has it.
func TestFreshProcess(t *testing.T) {
	tests := []struct {
		name         string
		historyBytes int
		log          bool
		peers        bool
	}{
		{name: "from the log alone, records expired", historyBytes: 1 << 20, log: true},
		{name: "from peers by patches", historyBytes: 1 << 20, peers: true},
		{name: "from peers by snapshot", historyBytes: 1, peers: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, 1, time.Minute, 2, func(config *Config) { config.MaxHistoryBytes = test.historyBytes })
				defer cluster.stop()
				time.Sleep(time.Second)
				for version := range uint64(20) {
					cluster.publish(cluster.members[0], putUpstream(fmt.Sprint("up-", version), version))
				}
				cluster.expectVersions(20, 20)
				time.Sleep(2 * time.Minute)
				restarted := cluster.members[1]
				restarted.stop()
				for _, member := range cluster.members {
					member.link.setUp(test.log, false)
				}
				cluster.network.setCut(restarted.name, !test.peers)
				cluster.start(restarted)
				time.Sleep(peerBound)
				cluster.expectVersions(20, 20)
				if got := len(restarted.Current().Upstreams()); got != 20 {
					t.Errorf("got %d upstreams, want 20", got)
				}
				if result := restarted.Result("up-3"); result.Kind != patch.Accepted || result.Version != 4 {
					t.Errorf("got %v, want patch up-3 accepted as version 4", result)
				}
			})
		})
	}
}

// TestIsolated guards against a process that accepts keys although the withdrawal
// of a key cannot reach it, and against one that refuses keys during an outage of
// the log alone.
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
				cluster := newCluster(t, 1, time.Hour, 5, nil)
				defer cluster.stop()
				time.Sleep(20 * time.Second)
				for index, member := range cluster.members {
					member.link.setUp(test.log, false)
					cluster.network.setCut(member.name, index > 0 && index <= test.peersCut)
				}
				time.Sleep(test.wait)
				if got := cluster.members[0].Isolated(); got != test.want {
					t.Errorf("got isolated %v after an age of %v, want %v", got, cluster.members[0].ConfirmedAge(), test.want)
				}
			})
		})
	}
}

// TestConfirmedAge guards against a confirmed age that is smaller than the time
// since the log was last read, and against one that is not passed on along a chain
// of peers.
func TestConfirmedAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, time.Hour, 3, nil)
		defer cluster.stop()
		cluster.members[1].link.setUp(false, false)
		cluster.members[2].link.setUp(false, false)
		// The third process is connected to the log through the second one only.
		cut := func(index int, peers ...string) {
			cluster.members[index].stop()
			cluster.configure = func(config *Config) { config.PeerAddresses = func() []string { return peers } }
			cluster.start(cluster.members[index])
		}
		cut(2, "instance-1")
		time.Sleep(time.Minute)
		const chain = 12 * time.Second
		for _, member := range cluster.members {
			if age := member.ConfirmedAge(); age > chain {
				t.Errorf("%s has age %v, want at most %v", member.name, age, chain)
			}
		}
		outageStart := time.Now()
		cluster.members[0].link.setUp(false, false)
		time.Sleep(time.Minute)
		for _, member := range cluster.members {
			if age := member.ConfirmedAge(); age < time.Since(outageStart) {
				t.Errorf("%s has age %v, but the log was last read %v ago", member.name, age, time.Since(outageStart))
			}
		}
	})
}

// TestObserveVersion guards against a process that waits for its next regular call
// although it has observed a newer version.
func TestObserveVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, time.Hour, 2, func(config *Config) {
			config.SyncInterval = time.Hour
			config.PushFanout = 1
		})
		defer cluster.stop()
		cluster.members[1].link.setUp(false, false)
		cluster.network.setCut("instance-1", true)
		time.Sleep(time.Second)
		cluster.publish(cluster.members[0], putUpstream("up-1", 0))
		time.Sleep(time.Second)
		cluster.expectVersions(1, 0)
		cluster.network.setCut("instance-1", false)
		cluster.members[1].ObserveVersion(1)
		time.Sleep(100 * time.Millisecond)
		cluster.expectVersions(1, 1)
	})
}

// TestPublish guards against misleading reports to operators: a wrong result, a
// conflict without the list of changes, or a patch that is appended by a process
// that does not reach the log.
func TestPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, time.Hour, 2, nil)
		defer cluster.stop()
		member := cluster.members[0]
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
			report := cluster.publish(member, step.record)
			got := []any{report.Kind, report.Field, report.Changes}
			if diff := cmp.Diff([]any{step.kind, step.field, step.change}, got); diff != "" || !strings.Contains(report.Advice, step.advice) {
				t.Errorf("%s: got %+v (-want +got):\n%s", step.name, report, diff)
			}
		}
		cluster.expectVersions(1, 1)
		appended := len(cluster.log.allRecords())
		member.link.setUp(false, true)
		if report := cluster.publish(member, putUpstream("up-4", 1)); report.Kind != patch.Unknown {
			t.Errorf("got %v while the log hangs, want unknown", report.Kind)
		}
		member.link.setUp(false, false)
		for _, wait := range []time.Duration{0, 90 * time.Second} {
			cluster.members[1].link.setUp(wait == 0, false)
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
		if got := len(cluster.log.allRecords()); got != appended {
			t.Errorf("%d records were appended to a log that is not reachable", got-appended)
		}
	})
}
