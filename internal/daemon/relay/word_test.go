package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	ownAddress = "10.0.0.1:7600"
	readerAddr = "10.0.0.2:7600"
)

func wordOf(entry string, number uint64, age time.Duration) *wirepb.StoreWord {
	return &wirepb.StoreWord{Entry: entry, Number: number, Topics: []*wirepb.TopicPosition{
		{Topic: topicConfig, Next: 9, Changed: 7, AgeMs: uint32(age.Milliseconds())},
	}}
}

// TestWords guards against a configuration that is taken for newer than it is,
// since the reader's word came late, from another or was held up while this
// process was paused: a withdrawn key would still be served.
func TestWords(t *testing.T) {
	tests := []struct {
		name   string
		guards string
		// delay is the time between the ask and its answer.
		delay time.Duration
		word  func(number uint64) *wirepb.StoreWord
		age   time.Duration
		ok    bool
	}{
		{
			name: "prompt", word: func(number uint64) *wirepb.StoreWord { return wordOf(readerAddr, number, time.Second) },
			age: time.Second, ok: true,
		},
		{
			name: "held up", guards: "the time on the way counted as none", delay: 2 * time.Second,
			word: func(number uint64) *wirepb.StoreWord { return wordOf(readerAddr, number, time.Second) },
			age:  3 * time.Second, ok: true,
		},
		{
			name: "too old", guards: "a reader that does not reach the store",
			word: func(number uint64) *wirepb.StoreWord { return wordOf(readerAddr, number, configHintAge) },
		},
		{
			name: "earlier ask", guards: "an answer that overtook another",
			word: func(number uint64) *wirepb.StoreWord { return wordOf(readerAddr, number-1, 0) },
		},
		{
			name: "another process", guards: "the word of one that is not the reader",
			word: func(number uint64) *wirepb.StoreWord { return wordOf("10.0.0.3:7600", number, 0) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				words := new(words)
				words.follow(readerAddr)
				words.ask()
				number := words.ask()
				time.Sleep(test.delay)
				words.heard(test.word(number))
				position := words.changes.Position
				ok := elapsed(position.ConfirmedAt) < configHintAge
				if ok != test.ok {
					t.Fatalf("%s: hint given %v, want %v", test.guards, ok, test.ok)
				}
				want := watch.Position{Next: 9, ChangedNext: 7, ConfirmedAt: time.Now().Add(-test.age)}
				if diff := cmp.Diff(want, position); ok && diff != "" {
					t.Errorf("%s: position (-want +got):\n%s", test.guards, diff)
				}
			})
		})
	}
}

// TestNews guards against a change that waits for the next ask, against a word
// without an ask that confirms anything, and against that of an earlier reader.
func TestNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		words := new(words)
		words.follow(readerAddr)
		words.heard(wordOf(readerAddr, words.ask(), 0))
		asked := time.Now()
		time.Sleep(time.Second)
		upstream := &fleet.Upstream{
			ID: "i-1", Service: "advisor", Address: "10.0.0.9:80", FailureDomain: "hall-a", Slots: 16,
			Draining: true, Remaining: 2 * time.Second, StartedAt: 1700,
		}
		news := wordOf(readerAddr, 0, 0)
		news.Topics[0].Changed = 12
		news.Topics = append(news.Topics, &wirepb.TopicPosition{
			Topic: topicInstances, Next: 20, Changed: 20, From: 18, Complete: true,
			Listings: []*wirepb.Listing{encodeListing(Listing{ID: "i-1", Upstream: upstream}), encodeListing(Listing{ID: "i-2"})},
		})
		words.heard(news)
		if diff := cmp.Diff(watch.Position{Next: 9, ChangedNext: 12, ConfirmedAt: asked}, words.changes.Position); diff != "" {
			t.Errorf("position (-want +got):\n%s", diff)
		}
		want := watch.Update[Listing]{
			Position: watch.Position{Next: 20, ChangedNext: 20}, From: 18, Complete: true,
			Changes: []Listing{{ID: "i-1", Upstream: upstream}, {ID: "i-2"}},
		}
		if diff := cmp.Diff(want, words.list); diff != "" {
			t.Errorf("list (-want +got):\n%s", diff)
		}
		words.follow("10.0.0.3:7600")
		if !words.changes.ConfirmedAt.IsZero() || !words.list.ConfirmedAt.IsZero() {
			t.Error("the word of an earlier reader counts")
		}
	})
}

// TestReader guards against a failure domain without a reader: one that was
// killed, is paused, or is in another failure domain.
func TestReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newPeers(ownAddress, "hall-a")
		expect := func(moment, want string) {
			t.Helper()
			first, _ := peers.reader()
			if diff := cmp.Diff(want, first); diff != "" {
				t.Errorf("%s: reader (-want +got):\n%s", moment, diff)
			}
		}
		expect("alone", ownAddress)
		peers.named([]string{readerAddr})
		expect("named by a loader only", ownAddress)
		peers.spoke(readerAddr, "hall-b", 1)
		expect("in another failure domain", ownAddress)
		members := []string{ownAddress, readerAddr}
		for rank.First("store", members) == ownAddress {
			members = append(members, fmt.Sprintf("10.0.0.%d:7600", 2+len(members)))
		}
		for _, address := range members[1:] {
			peers.spoke(address, "hall-a", 1)
		}
		expect("another ranks first", rank.First("store", members))
		time.Sleep(livePeriod)
		expect("all silent", ownAddress)
	})
}

// TestWholeUsages guards against an entry instance that was restarted and
// hears only changes, and against losses that are never made up for.
func TestWholeUsages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newPeers(ownAddress, "hall-a")
		wholes := func(times int) (count int) {
			for range times {
				if peers.takeWhole(readerAddr) {
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
			{"met", func() { peers.named([]string{readerAddr}) }, wholeUsages},
			{"heard", func() { peers.spoke(readerAddr, "hall-a", 1) }, wholeUsages},
			{"nothing new", func() { peers.spoke(readerAddr, "hall-a", 1) }, 0},
			{"restarted", func() { peers.spoke(readerAddr, "hall-a", 2) }, wholeUsages},
			{"after a while", func() { time.Sleep(wholePeriod) }, 1},
		}
		for _, step := range steps {
			step.do()
			if diff := cmp.Diff(step.want, wholes(10)); diff != "" {
				t.Errorf("%s: usages that tell all (-want +got):\n%s", step.name, diff)
			}
		}
	})
}

// TestSpending guards against a change that is told once only, and against an
// idle organisation that costs bytes.
func TestSpending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spending := newSpending()
		spent := map[string]float64{"one": 5, "two": 7}
		spending.changed(spent)
		time.Sleep(repeatTime)
		if diff := cmp.Diff(map[string]bool{}, spending.recent()); diff != "" {
			t.Errorf("recent when idle (-want +got):\n%s", diff)
		}
		if spending.changed(spent) {
			t.Error("nothing was spent, and a change is reported")
		}
		spending.changed(map[string]float64{"one": 6, "two": 7})
		time.Sleep(repeatTime / 2)
		if diff := cmp.Diff(map[string]bool{"one": true}, spending.recent()); diff != "" {
			t.Errorf("recent (-want +got):\n%s", diff)
		}
	})
}

// TestPeriods guards against datagrams that grow with the square of the fleet
// unchecked, and against small fleets that hear less often than before.
func TestPeriods(t *testing.T) {
	tests := []struct {
		instances, upstreams int
		usage, rest          time.Duration
	}{
		{5, 16, exchangePeriod, idlePeriod},
		{26, 51, 78 * time.Millisecond, 510 * time.Millisecond},
		{68, 123, usagePeriod, longestRest},
		{420, 7200, usagePeriod, longestRest},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.usage, usageSpacing(test.instances)); diff != "" {
			t.Errorf("%d instances: between two usages (-want +got):\n%s", test.instances, diff)
		}
		if diff := cmp.Diff(test.rest, restPeriod(test.upstreams)); diff != "" {
			t.Errorf("%d upstreams: between two idle demands (-want +got):\n%s", test.upstreams, diff)
		}
	}
}
