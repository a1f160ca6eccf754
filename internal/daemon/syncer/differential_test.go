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
	logBound  = 2 * time.Second
	peerBound = 4 * time.Second
	// hangBound is how long a read that hangs delays the log after an outage.
	hangBound = 8 * time.Second
)

// naive replays all records that the log ever took in order.
type naive struct {
	config   *conf.Config
	accepted map[string]bool
	read     int
	states   [][]byte    // encoded state by version
	times    []time.Time // when each version was appended
	ids      []string
}

func newNaive() *naive {
	return &naive{config: conf.New(), accepted: map[string]bool{}, states: [][]byte{nil}, times: []time.Time{{}}}
}

func (naive *naive) replay(t *testing.T, records []Record) {
	for _, record := range records[naive.read:] {
		naive.read++
		entry, err := codec.DecodeRecord(record.Data)
		if err != nil || entry.Patch == nil || naive.accepted[entry.Patch.ID] || entry.Patch.BaseVersion != naive.config.Version() {
			continue
		}
		next, result := patch.Apply(naive.config, *entry.Patch)
		if result.Kind != patch.Accepted {
			continue
		}
		naive.config = next
		naive.accepted[entry.Patch.ID] = true
		naive.ids = append(naive.ids, entry.Patch.ID)
		encoded, err := codec.EncodeState(replay.State{Config: next, VersionOffset: record.Offset, RecentPatches: naive.ids})
		if err != nil {
			t.Fatal(err)
		}
		naive.states = append(naive.states, encoded)
		naive.times = append(naive.times, record.Time)
	}
}

// counters sums what the processes of all schedules counted.
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
	*world
	random  *rand.Rand
	naive   *naive
	lonely  bool
	up      []bool
	since   []time.Time // when each member last started or its link last changed
	highest []uint64
	reports sync.Map // results that operators were told, by patch id
	pending sync.WaitGroup
	ids     []string
	trace   []string
}

// Guards against a state that differs from the replay of the log in any
// process at any version, a version that goes back, a result that was told
// wrongly, and versions that spread too slowly, under races of operators,
// duplicate appends, outages, retention and restarts.
func TestFoldMatchesReplay(t *testing.T) {
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
	// In one schedule of four the log is the only source, and records expire
	// before restarted processes read them.
	lonely, steps, retention := seed%4 == 0, 50, time.Duration(24+random.IntN(60))*time.Second
	if lonely {
		steps, retention = 120, 24*time.Second
	}
	tailBytes := []int{1, 400, 1 << 20}[random.IntN(3)]
	maxBehind := []uint64{1, 1024}[random.IntN(2)]
	world := newWorld(t, seed, retention, 3+random.IntN(3), func(config *Config) {
		config.TailBytes, config.MaxBehind = tailBytes, maxBehind
	})
	schedule := &schedule{world: world, random: random, naive: newNaive(), lonely: lonely}
	for _, member := range world.members {
		member.link.lose(4)
		world.network.set(member.name, lonely)
		schedule.up = append(schedule.up, true)
		schedule.since = append(schedule.since, time.Now())
		schedule.highest = append(schedule.highest, 0)
	}
	for range steps {
		schedule.act()
		time.Sleep(time.Duration(20+random.IntN(1200)) * time.Millisecond)
		schedule.check()
	}
	for index := range world.members {
		schedule.setLink(index, true)
	}
	schedule.pending.Wait()
	time.Sleep(hangBound + peerBound)
	schedule.finish()
	world.stop()
	for _, member := range world.members {
		counts.add(member.Metrics())
	}
}

func (schedule *schedule) act() {
	random := schedule.random
	index := random.IntN(len(schedule.members))
	member := schedule.members[index]
	action := random.IntN(20)
	schedule.trace = append(schedule.trace, fmt.Sprintf("%v action %d on %s", time.Now().Format("05.000"), action, member.name))
	switch action {
	case 0:
		schedule.setLink(index, !schedule.up[index])
	case 1:
		member.stop()
		schedule.start(member)
		schedule.since[index] = time.Now()
		schedule.highest[index] = 0
	case 2:
		schedule.log.add([]byte{0xff, byte(random.IntN(256))})
	case 3:
		if records := schedule.log.all(); len(records) > 0 {
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

// outage cuts all links for less than the share of the retention in which a
// snapshot is renewed.
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
	if schedule.up[index] != up {
		schedule.up[index] = up
		schedule.since[index] = time.Now()
	}
	schedule.members[index].link.set(up, schedule.random.IntN(2) == 0)
}

func (schedule *schedule) publish(member *member) {
	id := fmt.Sprintf("patch-%d", len(schedule.ids))
	schedule.ids = append(schedule.ids, id)
	record := change(schedule.random, id, member.Current().Version())
	syncer := member.Syncer
	schedule.pending.Go(func() {
		report, err := syncer.Publish(context.Background(), record)
		if err == nil {
			schedule.reports.Store(id, report.Result)
		}
	})
}

// check compares what every member shows with the replay.
func (schedule *schedule) check() {
	synctest.Wait()
	outcome := schedule.naive
	outcome.replay(schedule.t, schedule.log.all())
	now := time.Now()
	for index, member := range schedule.members {
		version := member.Current().Version()
		if version < schedule.highest[index] {
			schedule.fatal("%s went back from version %d to %d", member.name, schedule.highest[index], version)
		}
		schedule.highest[index] = version
		schedule.compare(member, outcome)
		bound, bounded := schedule.bound(index, now)
		if !bounded {
			continue
		}
		for due := version + 1; due < uint64(len(outcome.times)); due++ {
			if now.Sub(outcome.times[due]) > bound {
				schedule.fatal("%s has version %d; version %d was accepted %v ago (bound %v, link up %v since %v)",
					member.name, version, due, now.Sub(outcome.times[due]), bound, schedule.up[index], now.Sub(schedule.since[index]))
			}
		}
	}
}

// bound returns the time within which a member must have a version, if it has
// been connected for long enough.
func (schedule *schedule) bound(index int, now time.Time) (time.Duration, bool) {
	steady := now.Sub(schedule.since[index])
	if schedule.up[index] {
		return logBound, steady > hangBound+logBound
	}
	for peer := range schedule.members {
		if !schedule.lonely && schedule.up[peer] && now.Sub(schedule.since[peer]) > hangBound+peerBound && steady > hangBound+peerBound {
			return peerBound, true
		}
	}
	return 0, false
}

func (schedule *schedule) compare(member *member, outcome *naive) {
	member.mutex.Lock()
	state := member.fold.State()
	member.mutex.Unlock()
	version := state.Config.Version()
	if version == 0 {
		return
	}
	encoded, err := codec.EncodeState(state)
	if err != nil {
		schedule.t.Fatal(err)
	}
	if version >= uint64(len(outcome.states)) {
		schedule.fatal("%s has version %d, the log's newest is %d", member.name, version, len(outcome.states)-1)
	}
	if !bytes.Equal(outcome.states[version], encoded) {
		diff := cmp.Diff(outcome.states[version], encoded)
		schedule.fatal("%s differs from the replay at version %d (-want +got):\n%s", member.name, version, diff)
	}
}

func (schedule *schedule) finish() {
	synctest.Wait()
	outcome := schedule.naive
	outcome.replay(schedule.t, schedule.log.all())
	versions := map[string]uint64{}
	for version, id := range outcome.ids {
		versions[id] = uint64(version + 1)
	}
	for _, member := range schedule.members {
		if got, want := member.Current().Version(), uint64(len(outcome.ids)); got != want {
			schedule.fatal("%s ends with version %d, want %d", member.name, got, want)
		}
		schedule.compare(member, outcome)
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

func (schedule *schedule) fatal(format string, args ...any) {
	schedule.t.Helper()
	for _, line := range schedule.trace {
		schedule.t.Log(line)
	}
	schedule.t.Fatalf(format, args...)
}
