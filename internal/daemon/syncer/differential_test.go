package syncer

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

const (
	// logBound and peerBound are the times within which an accepted version must
	// reach a process that is connected to the log, or to peers alone.
	logBound  = 2 * time.Second
	peerBound = 4 * time.Second
	// hangDelay is how long after an outage a process may still wait for a read
	// that hangs.
	hangDelay = 8 * time.Second
)

// reference is a simple replay, in order, of all records that were ever appended.
type reference struct {
	config      *conf.Config
	accepted    map[string]bool
	recordsRead int
	states      [][]byte    // encoded state by version
	times       []time.Time // when each version was appended
	ids         []string    // ids of the accepted patches in order
}

func newReference() *reference {
	return &reference{config: conf.New(), accepted: map[string]bool{}, states: [][]byte{nil}, times: []time.Time{{}}}
}

func (reference *reference) replay(t *testing.T, records []LogRecord) {
	for _, record := range records[reference.recordsRead:] {
		reference.recordsRead++
		entry, err := codec.DecodeRecord(record.Data)
		if err != nil || entry.Patch == nil || reference.accepted[entry.Patch.ID] || entry.Patch.BaseVersion != reference.config.Version() {
			continue
		}
		next, result := patch.Apply(reference.config, *entry.Patch)
		if result.Kind != patch.Accepted {
			continue
		}
		reference.config = next
		reference.accepted[entry.Patch.ID] = true
		reference.ids = append(reference.ids, entry.Patch.ID)
		encoded, err := codec.EncodeState(replay.State{Config: next, VersionOffset: record.Offset, RecentPatches: reference.ids})
		if err != nil {
			t.Fatal(err)
		}
		reference.states = append(reference.states, encoded)
		reference.times = append(reference.times, record.Time)
	}
}

// counters sums the metrics of the processes of all schedules.
type counters struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (counters *counters) add(metrics *expvar.Map) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	metrics.Do(func(entry expvar.KeyValue) {
		value, _ := strconv.Atoi(entry.Value.String())
		counters.counts[entry.Key] += value
	})
}

// schedule is one seeded run of a differential test.
type schedule struct {
	*cluster
	random          *rand.Rand
	reference       *reference
	logOnly         bool // whether peers cannot reach each other
	linkUp          []bool
	changedAt       []time.Time // when each member last started or its link last changed
	highestVersions []uint64
	reports         sync.Map // results reported to operators, by patch id
	pending         sync.WaitGroup
	ids             []string
	trace           []string
}

// TestStateMatchesReplay guards against processes whose state at any version
// differs from a replay of the log, versions that decrease, wrong results reported
// to operators, and versions that spread too slowly. The schedules combine races of
// operators, duplicate appends, outages, expired records and restarts.
func TestStateMatchesReplay(t *testing.T) {
	seeds := uint64(1000)
	if testing.Short() {
		seeds = 50
	}
	const shards = 10
	counts := &counters{counts: map[string]int{}}
	t.Run("schedules", func(t *testing.T) {
		for shard := range uint64(shards) {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := shard; seed < seeds; seed += shards {
					synctest.Test(t, func(t *testing.T) { runSchedule(t, seed, counts) })
					if t.Failed() {
						t.Fatalf("seed %d failed", seed)
					}
				}
			})
		}
	})
	for _, event := range []string{
		"patches-accepted", "patches-conflict", "patches-duplicate", "patches-invalid", "malformed-records", "log-errors",
		"peer-errors", "versions-from-peers", "snapshots-written", "snapshots-adopted", "gaps",
	} {
		t.Logf("%s: %v", event, counts.counts[event])
		if counts.counts[event] == 0 {
			t.Errorf("no schedule had an event %q, so it is not tested", event)
		}
	}
}

func runSchedule(t *testing.T, seed uint64, counts *counters) {
	random := rand.New(rand.NewPCG(seed, 0))
	// In one of four schedules the log is the only source of the configuration,
	// and records expire before restarted processes read them.
	logOnly, steps, retention := seed%4 == 0, 50, time.Duration(24+random.IntN(60))*time.Second
	if logOnly {
		steps, retention = 120, 24*time.Second
	}
	historyBytes := []int{1, 400, 1 << 20}[random.IntN(3)]
	maxLogLag := []uint64{1, 1024}[random.IntN(2)]
	cluster := newCluster(t, seed, retention, 3+random.IntN(3), func(config *Config) {
		config.MaxHistoryBytes, config.MaxLogLag = historyBytes, maxLogLag
	})
	schedule := &schedule{cluster: cluster, random: random, reference: newReference(), logOnly: logOnly}
	for _, member := range cluster.members {
		member.link.setLostReplies(4)
		cluster.network.setCut(member.name, logOnly)
		schedule.linkUp = append(schedule.linkUp, true)
		schedule.changedAt = append(schedule.changedAt, time.Now())
		schedule.highestVersions = append(schedule.highestVersions, 0)
	}
	for range steps {
		schedule.runAction()
		time.Sleep(time.Duration(20+random.IntN(1200)) * time.Millisecond)
		schedule.checkVersions()
	}
	for index := range cluster.members {
		schedule.setLink(index, true)
	}
	schedule.pending.Wait()
	time.Sleep(hangDelay + peerBound)
	schedule.checkFinalState()
	cluster.stop()
	for _, member := range cluster.members {
		counts.add(member.Metrics())
	}
}

// runAction runs one random action: cut or restore a link, restart a member, append
// a malformed, duplicate or invalid record, cause an outage, or publish patches.
func (schedule *schedule) runAction() {
	random := schedule.random
	index := random.IntN(len(schedule.members))
	member := schedule.members[index]
	action := random.IntN(20)
	schedule.trace = append(schedule.trace, fmt.Sprintf("%v action %d on %s", time.Now().Format("05.000"), action, member.name))
	switch action {
	case 0:
		schedule.setLink(index, !schedule.linkUp[index])
	case 1:
		member.stop()
		schedule.start(member)
		schedule.changedAt[index] = time.Now()
		schedule.highestVersions[index] = 0
	case 2:
		schedule.log.add([]byte{0xff, byte(random.IntN(256))})
	case 3:
		if records := schedule.log.allRecords(); len(records) > 0 {
			schedule.log.add(records[random.IntN(len(records))].Data)
		}
	case 4:
		schedule.outage()
	case 5:
		invalid := patch.Patch{ID: fmt.Sprintf("invalid-%d", len(schedule.trace)), BaseVersion: member.Current().Version(), Ops: []patch.Op{patch.RemoveAdapter{Name: "none"}}}
		data, err := codec.EncodePatch(invalid)
		if err != nil {
			schedule.t.Fatal(err)
		}
		schedule.log.add(data)
	default:
		for range 1 + random.IntN(3) {
			schedule.publish(schedule.members[random.IntN(len(schedule.members))])
		}
	}
}

// outage cuts all links for less time than passes between two snapshots.
func (schedule *schedule) outage() {
	for index := range schedule.members {
		schedule.setLink(index, false)
	}
	time.Sleep(time.Duration(schedule.random.IntN(4000)) * time.Millisecond)
	for index := range schedule.members {
		schedule.setLink(index, true)
	}
}

func (schedule *schedule) setLink(index int, up bool) {
	if schedule.linkUp[index] != up {
		schedule.linkUp[index] = up
		schedule.changedAt[index] = time.Now()
	}
	schedule.members[index].link.setUp(up, schedule.random.IntN(2) == 0)
}

func (schedule *schedule) publish(member *member) {
	id := fmt.Sprintf("patch-%d", len(schedule.ids))
	schedule.ids = append(schedule.ids, id)
	record := randomPatch(schedule.random, id, member.Current().Version())
	syncer := member.Syncer
	schedule.pending.Go(func() {
		report, err := syncer.Publish(context.Background(), record)
		if err == nil {
			schedule.reports.Store(id, report.Result)
		}
	})
}

// checkVersions compares the version and state of every member with the replay.
func (schedule *schedule) checkVersions() {
	synctest.Wait()
	expected := schedule.reference
	expected.replay(schedule.t, schedule.log.allRecords())
	now := time.Now()
	for index, member := range schedule.members {
		version := member.Current().Version()
		if version < schedule.highestVersions[index] {
			schedule.fatal("%s went back from version %d to %d", member.name, schedule.highestVersions[index], version)
		}
		schedule.highestVersions[index] = version
		schedule.checkState(member, expected)
		bound, bounded := schedule.spreadBound(index, now)
		if !bounded {
			continue
		}
		for due := version + 1; due < uint64(len(expected.times)); due++ {
			if now.Sub(expected.times[due]) > bound {
				schedule.fatal("%s has version %d; version %d was accepted %v ago (bound %v, link up %v since %v)",
					member.name, version, due, now.Sub(expected.times[due]), bound, schedule.linkUp[index], now.Sub(schedule.changedAt[index]))
			}
		}
	}
}

// spreadBound returns the time within which a member must have an accepted version.
// It reports false if the member has not been connected for long enough.
func (schedule *schedule) spreadBound(index int, now time.Time) (time.Duration, bool) {
	steady := now.Sub(schedule.changedAt[index])
	if schedule.linkUp[index] {
		return logBound, steady > hangDelay+logBound
	}
	for peer := range schedule.members {
		if !schedule.logOnly && schedule.linkUp[peer] && now.Sub(schedule.changedAt[peer]) > hangDelay+peerBound && steady > hangDelay+peerBound {
			return peerBound, true
		}
	}
	return 0, false
}

// checkState compares a member's state with the replay at the same version.
func (schedule *schedule) checkState(member *member, expected *reference) {
	member.mutex.Lock()
	state := member.replayer.State()
	member.mutex.Unlock()
	version := state.Config.Version()
	if version == 0 {
		return
	}
	encoded, err := codec.EncodeState(state)
	if err != nil {
		schedule.t.Fatal(err)
	}
	if version >= uint64(len(expected.states)) {
		schedule.fatal("%s has version %d, the log's newest is %d", member.name, version, len(expected.states)-1)
	}
	if !bytes.Equal(expected.states[version], encoded) {
		diff := cmp.Diff(expected.states[version], encoded)
		schedule.fatal("%s differs from the replay at version %d (-want +got):\n%s", member.name, version, diff)
	}
}

// checkFinalState checks that every member has the newest version, and that
// operators were told the right results.
func (schedule *schedule) checkFinalState() {
	synctest.Wait()
	expected := schedule.reference
	expected.replay(schedule.t, schedule.log.allRecords())
	versions := map[string]uint64{}
	for version, id := range expected.ids {
		versions[id] = uint64(version + 1)
	}
	for _, member := range schedule.members {
		if got, want := member.Current().Version(), uint64(len(expected.ids)); got != want {
			schedule.fatal("%s ends with version %d, want %d", member.name, got, want)
		}
		schedule.checkState(member, expected)
	}
	schedule.reports.Range(func(id, value any) bool {
		result := value.(patch.Result)
		version, accepted := versions[id.(string)]
		if accepted != (result.Kind == patch.Accepted) && result.Kind != patch.Unknown || accepted && result.Version != version && result.Kind == patch.Accepted {
			schedule.fatal("the operator was told %v; the replay has version %d", result, version)
		}
		return true
	})
}

// fatal logs the actions so far and fails the test.
func (schedule *schedule) fatal(format string, args ...any) {
	schedule.t.Helper()
	for _, line := range schedule.trace {
		schedule.t.Log(line)
	}
	schedule.t.Fatalf(format, args...)
}
