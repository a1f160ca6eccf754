package relay

import (
	stdcmp "cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	ownAddress    = "10.0.0.1:7600"
	readerAddress = "10.0.0.2:7600"
)

// defaultTiming follows from the default bounds.
var defaultTiming = newTiming(setup.DefaultRelay().Bounds)

func newStoreWord(entry string, number uint64, age time.Duration) *wirepb.StoreWord {
	return &wirepb.StoreWord{Entry: entry, Number: number, Topics: []*wirepb.TopicPosition{
		{Topic: topicConfig, Next: 9, Changed: 7, AgeMs: uint32(age.Milliseconds())},
	}}
}

// TestReaderReport guards against a configuration that counts as newer than it is,
// because the position report was delayed, for example while this process was
// paused, came from another instance, or answers an earlier query. A withdrawn key
// would still be accepted.
func TestReaderReport(t *testing.T) {
	tests := []struct {
		name   string
		guards string
		// delay is the time between the query and its answer.
		delay  time.Duration
		report func(number uint64) *wirepb.StoreWord
		age    time.Duration
		// answeredAge is the time since the store answered the reader, age if it is 0.
		answeredAge time.Duration
		ok          bool
	}{
		{
			name: "prompt", report: func(number uint64) *wirepb.StoreWord { return newStoreWord(readerAddress, number, time.Second) },
			age: time.Second, ok: true,
		},
		{
			name: "delayed", guards: "a delay that does not count", delay: time.Second,
			report: func(number uint64) *wirepb.StoreWord {
				return newStoreWord(readerAddress, number, 500*time.Millisecond)
			},
			age: 1500 * time.Millisecond, ok: true,
		},
		{
			name: "too old", guards: "a store reader that cannot reach the store",
			report: func(number uint64) *wirepb.StoreWord {
				return newStoreWord(readerAddress, number, defaultTiming.maxConfigAge)
			},
		},
		{
			name: "answered lately", guards: "a store reader whose long poll began long ago",
			report: func(number uint64) *wirepb.StoreWord {
				word := newStoreWord(readerAddress, number, 2*time.Second)
				word.Topics[0].AnsweredMs = 1000
				return word
			},
			age: 2 * time.Second, answeredAge: time.Second, ok: true,
		},
		{
			name: "answered too long ago", guards: "a store reader that was cut off during its long poll (review/3)", delay: 100 * time.Millisecond,
			report: func(number uint64) *wirepb.StoreWord {
				word := newStoreWord(readerAddress, number, 2*time.Second)
				word.Topics[0].AnsweredMs = uint32(defaultTiming.maxConfigAge.Milliseconds()) - 100
				return word
			},
		},
		{
			name: "earlier query", guards: "a late answer to an earlier query",
			report: func(number uint64) *wirepb.StoreWord { return newStoreWord(readerAddress, number-1, 0) },
		},
		{
			name: "another instance", guards: "a report from an instance that is not the store reader",
			report: func(number uint64) *wirepb.StoreWord { return newStoreWord("10.0.0.3:7600", number, 0) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				readerReport := new(readerReport)
				readerReport.setReader(readerAddress)
				readerReport.newQuery()
				number := readerReport.newQuery()
				time.Sleep(test.delay)
				readerReport.record(test.report(number))
				position := readerReport.configUpdate.Position
				ok := elapsed(position.AnsweredAt) < defaultTiming.maxConfigAge
				if ok != test.ok {
					t.Fatalf("%s: update given %v, want %v", test.guards, ok, test.ok)
				}
				want := watch.Position{
					Cursor: watch.Cursor{Next: 9}, ChangedNext: 7, ConfirmedAt: time.Now().Add(-test.age),
					AnsweredAt: time.Now().Add(-stdcmp.Or(test.answeredAge, test.age)),
				}
				if diff := cmp.Diff(want, position); ok && diff != "" {
					t.Errorf("%s: position (-want +got):\n%s", test.guards, diff)
				}
			})
		})
	}
}

// TestUnsolicitedReport guards against a change that waits for the next query,
// against an unsolicited report that confirms the position, and against a report of
// an earlier store reader that still counts.
func TestUnsolicitedReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		readerReport := new(readerReport)
		readerReport.setReader(readerAddress)
		readerReport.record(newStoreWord(readerAddress, readerReport.newQuery(), 0))
		queriedAt := time.Now()
		time.Sleep(time.Second)
		upstream := &fleet.Upstream{
			ID: "i-1", Service: "advisor", Address: "10.0.0.9:80", FailureDomain: "hall-a", Slots: 16,
			Draining: true, Remaining: 2 * time.Second, StartedAt: 1700,
		}
		unsolicited := newStoreWord(readerAddress, 0, 0)
		unsolicited.Topics[0].Changed = 12
		unsolicited.Topics = append(unsolicited.Topics, &wirepb.TopicPosition{
			Topic: topicInstances, Next: 20, Changed: 20, From: 18, Complete: true,
			Listings: []*wirepb.Listing{encodeListing(Listing{ID: "i-1", Upstream: upstream}), encodeListing(Listing{ID: "i-2"})},
		})
		readerReport.record(unsolicited)
		if diff := cmp.Diff(watch.Position{Cursor: watch.Cursor{Next: 9}, ChangedNext: 12, ConfirmedAt: queriedAt, AnsweredAt: queriedAt}, readerReport.configUpdate.Position); diff != "" {
			t.Errorf("position (-want +got):\n%s", diff)
		}
		want := watch.Update[Listing]{
			Position: watch.Position{Cursor: watch.Cursor{Next: 20}, ChangedNext: 20}, From: 18, Complete: true,
			Changes: []Listing{{ID: "i-1", Upstream: upstream}, {ID: "i-2"}},
		}
		if diff := cmp.Diff(want, readerReport.listUpdate); diff != "" {
			t.Errorf("list (-want +got):\n%s", diff)
		}
		readerReport.setReader("10.0.0.3:7600")
		if !readerReport.configUpdate.ConfirmedAt.IsZero() || !readerReport.listUpdate.ConfirmedAt.IsZero() {
			t.Error("the report of an earlier store reader still counts")
		}
	})
}

// TestLateUnsolicitedReport guards against a configuration that counts as current although the
// store reader had said that there is a later one: a report that it sent before that one came
// after it.
func TestLateUnsolicitedReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		readerReport := new(readerReport)
		readerReport.setReader(readerAddress)
		answer := newStoreWord(readerAddress, readerReport.newQuery(), 0)
		answer.Topics[0].Next, answer.Topics[0].Changed = 12, 12
		answer.Topics = append(answer.Topics, &wirepb.TopicPosition{Topic: topicInstances, Next: 20, Changed: 20, From: 18, Complete: true, AgeMs: 1})
		readerReport.record(answer)
		config, list := readerReport.configUpdate, readerReport.listUpdate
		time.Sleep(time.Millisecond)
		late := newStoreWord(readerAddress, 0, 0)
		late.Topics = append(late.Topics, &wirepb.TopicPosition{Topic: topicInstances, Next: 19, Changed: 19, From: 18, Complete: true, AgeMs: 1})
		readerReport.record(late)
		if diff := cmp.Diff(config, readerReport.configUpdate); diff != "" {
			t.Errorf("configuration (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(list, readerReport.listUpdate); diff != "" {
			t.Errorf("list (-want +got):\n%s", diff)
		}
	})
}

// TestQueryNumbers guards against an answer to a query of an earlier incarnation of this
// instance that counts as one to a query that was sent after it, and so as newer than it is.
func TestQueryNumbers(t *testing.T) {
	const incarnations, queries = 3, 4
	numbers := make(map[uint64]bool)
	for range incarnations {
		relay := New(Config{DatagramAddress: ownAddress, Bounds: setup.DefaultRelay().Bounds, ReadyPath: "/ready", Logger: zap.NewNop()})
		for range queries {
			numbers[relay.readerReport.newQuery()] = true
		}
	}
	if diff := cmp.Diff(incarnations*queries, len(numbers)); diff != "" {
		t.Errorf("different numbers of queries (-want +got):\n%s", diff)
	}
}

// TestReader guards against a failure domain without a store reader because the
// elected instance was killed, is paused, or is in another failure domain.
func TestReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newPeers(ownAddress, "hall-a")
		expect := func(moment, want string) {
			t.Helper()
			first, _ := peers.storeReader()
			if diff := cmp.Diff(want, first); diff != "" {
				t.Errorf("%s: reader (-want +got):\n%s", moment, diff)
			}
		}
		expect("alone", ownAddress)
		peers.recordListed([]string{readerAddress})
		expect("listed by a loader only", ownAddress)
		peers.recordReport(readerAddress, "hall-b", 1, 0)
		expect("in another failure domain", ownAddress)
		members := []string{ownAddress, readerAddress}
		for rank.First("store", members) == ownAddress {
			members = append(members, fmt.Sprintf("10.0.0.%d:7600", 2+len(members)))
		}
		for _, address := range members[1:] {
			peers.recordReport(address, "hall-a", 1, 0)
		}
		expect("another instance elected", rank.First("store", members))
		reader := rank.First("store", members)
		peers.recordStoreState(reader, true)
		members = slices.DeleteFunc(members, func(address string) bool { return address == reader })
		expect("the elected one is cut off from the store", rank.First("store", members))
		peers.recordOwnStoreState(topicConfig, true)
		for _, address := range members {
			peers.recordStoreState(address, true)
		}
		expect("all are cut off from the store", reader)
		peers.recordOwnStoreState(topicConfig, false)
		expect("all others are cut off from the store", ownAddress)
		time.Sleep(readerTimeout)
		expect("all silent", ownAddress)
	})
}

// TestTiming guards against intervals that suit only the bounds of some deployments, and
// against a bound that cannot be met without a word at the start.
func TestTiming(t *testing.T) {
	bounds := func(config, version, drain, revoke time.Duration) Bounds {
		return Bounds{
			ConfigDelay: setup.Period{Duration: config}, VersionDelay: setup.Period{Duration: version},
			DrainDelay: setup.Period{Duration: drain}, RevocationDelay: setup.Period{Duration: revoke},
		}
	}
	tests := []struct {
		name   string
		bounds Bounds
		// unmet is the number of bounds that cannot be met.
		unmet int
	}{
		{name: "defaults", bounds: setup.DefaultRelay().Bounds},
		{name: "long", bounds: bounds(time.Minute, time.Minute, time.Minute, time.Minute)},
		{name: "short configuration", bounds: bounds(time.Second, 5*time.Second, 2*time.Second, 5*time.Second)},
		{name: "short version", bounds: bounds(2*time.Second, 800*time.Millisecond, 2*time.Second, 5*time.Second)},
		{name: "short drain", bounds: bounds(2*time.Second, 5*time.Second, time.Second, 5*time.Second)},
		{name: "short revocation", bounds: bounds(5*time.Second, 5*time.Second, 2*time.Second, 2*time.Second)},
		{name: "too short", bounds: bounds(300*time.Millisecond, 5*time.Second, 400*time.Millisecond, time.Second), unmet: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			timing := newTiming(test.bounds)
			if diff := cmp.Diff(test.unmet, len(timing.unmet)); diff != "" {
				t.Fatalf("bounds that cannot be met (-want +got):\n%s\n%v", diff, timing.unmet)
			}
			if test.unmet > 0 {
				return
			}
			configDelay := min(test.bounds.ConfigDelay.Duration, test.bounds.VersionDelay.Duration)
			checks := []struct {
				name            string
				longest, within time.Duration
			}{
				{"next answer to the configuration's reader", timing.configPoll + queryInterval + reportTime, timing.maxConfigAge},
				{"own read of the configuration", timing.maxConfigAge + ownReadTime, configDelay},
				{"next answer to the list's reader", timing.listInterval + queryInterval + reportTime, timing.maxListAge},
				{"own read of the list", timing.maxListAge + ownReadTime + sendTime, test.bounds.DrainDelay.Duration},
				{"confirmation", 2*timing.configPoll + watch.DefaultCallTimeout + queryInterval + reportTime, timing.configLifetime},
			}
			for _, check := range checks {
				if check.longest > check.within {
					t.Errorf("%s: up to %v, must be within %v", check.name, check.longest, check.within)
				}
			}
		})
	}
}

// TestFullUsageReports guards against an entry instance that receives only changes
// after a restart, and against lost datagrams that are never made up for.
func TestFullUsageReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newPeers(ownAddress, "hall-a")
		fullReports := func(times int) (count int) {
			for range times {
				if peers.takeReport(readerAddress) != partialReport {
					count++
				}
			}
			return count
		}
		steps := []struct {
			name string
			do   func()
			want int
		}{
			{"met", func() { peers.recordListed([]string{readerAddress}) }, initialFullReports},
			{"heard", func() { peers.recordReport(readerAddress, "hall-a", 1, 0) }, initialFullReports},
			{"nothing new", func() { peers.recordReport(readerAddress, "hall-a", 1, 0) }, 0},
			{"restarted", func() { peers.recordReport(readerAddress, "hall-a", 2, 0) }, initialFullReports},
			{"after a while", func() { time.Sleep(fullReportInterval) }, 1},
		}
		for _, step := range steps {
			step.do()
			if diff := cmp.Diff(step.want, fullReports(10)); diff != "" {
				t.Errorf("%s: full usage reports (-want +got):\n%s", step.name, diff)
			}
		}
	})
}

// TestUsageChanges guards against a change that is reported only once, and against
// idle organisations that are reported again and again.
func TestUsageChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		usageChanges := newUsageChanges()
		spent := map[string]float64{"one": 5, "two": 7}
		usageChanges.update(spent)
		time.Sleep(usageRepeatTime)
		if diff := cmp.Diff(map[string]bool{}, usageChanges.recent()); diff != "" {
			t.Errorf("recent when idle (-want +got):\n%s", diff)
		}
		if usageChanges.update(spent) {
			t.Error("a change is reported although nothing was spent")
		}
		usageChanges.update(map[string]float64{"one": 6, "two": 7})
		time.Sleep(usageRepeatTime / 2)
		if diff := cmp.Diff(map[string]bool{"one": true}, usageChanges.recent()); diff != "" {
			t.Errorf("recent (-want +got):\n%s", diff)
		}
	})
}

// TestPeriods guards against datagrams that grow with the square of the fleet, and
// against longer intervals in small fleets.
func TestPeriods(t *testing.T) {
	tests := []struct {
		instances, upstreams int
		usage, idle          time.Duration
	}{
		{5, 16, reportInterval, idleReportInterval},
		{26, 51, 78 * time.Millisecond, 510 * time.Millisecond},
		{68, 123, maxUsageInterval, maxIdleInterval},
		{420, 7200, maxUsageInterval, maxIdleInterval},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.usage, usageInterval(test.instances)); diff != "" {
			t.Errorf("%d instances: usage interval (-want +got):\n%s", test.instances, diff)
		}
		if diff := cmp.Diff(test.idle, idleInterval(test.upstreams)); diff != "" {
			t.Errorf("%d upstreams: idle demand interval (-want +got):\n%s", test.upstreams, diff)
		}
	}
}
