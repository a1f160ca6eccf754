package permit

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

// TestColdFleet guards against a cold upstream that gets, from all instances together,
// more requests within a second than it tolerates, and against one that gets none.
func TestColdFleet(t *testing.T) {
	unlimited := func(time.Duration, int) Rate { return Unlimited }
	tests := []struct {
		name     string
		count    int
		demand   float64
		loss     float64
		cut      bool
		stopped  int
		bound    float64
		restarts map[time.Duration][]int
		least    int
	}{
		{name: "all idle and cold", count: 5, demand: 200, bound: 21.5, least: 100},
		{name: "few tolerated", count: 5, demand: 200, bound: 2, least: 5},
		{name: "thirty, lossy", count: 30, demand: 400, loss: 0.3, bound: 21.5, least: 80},
		{name: "allocators end", count: 5, demand: 200, bound: 21.5, least: 80,
			restarts: map[time.Duration][]int{4 * time.Second: {0, 1}, 8 * time.Second: {2, 3}, 12 * time.Second: {4}}},
		{name: "cut from each other", count: 5, demand: 200, cut: true, bound: 21.5, least: 80},
		{name: "stopped, wake with old permits", count: 5, demand: 200, stopped: 2, bound: 21.5, least: 80},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &fleet{
					random: rand.New(rand.NewPCG(1, 1)), start: time.Now(), upstream: cordon.Incarnation{ID: "i-1", StartedAt: 7},
					instances: make([]*fleetInstance, test.count), loss: test.loss, cut: test.cut, stopped: test.stopped, named: unlimited,
					coldRate: RateWithin(test.bound, 1100*time.Millisecond),
				}
				fleet.restart(numbers(test.count)...)
				for fleet.since() < 20*time.Second {
					time.Sleep(fleetStep)
					fleet.restart(test.restarts[fleet.since()]...)
					fleet.step(test.demand / float64(test.count))
				}
				if most := mostInWindow(fleet.arrivals, time.Second); float64(most) > test.bound || len(fleet.arrivals) < test.least {
					t.Errorf("%d requests in one second, want at most %v; %d in all, want at least %d", most, test.bound, len(fleet.arrivals), test.least)
				}
			})
		})
	}
}

// TestRenewAfterPause guards against permits that an instance uses after it was stopped,
// although others were issued since: those that it held and those that were underway.
func TestRenewAfterPause(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
		cold  bool
		held  int
	}{
		{name: "no pause", pause: exchangePeriod, cold: true, held: 5},
		{name: "pause", pause: pauseTime, cold: true},
		{name: "pause, not cold", pause: pauseTime, held: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, incarnation := NewClient(ClientConfig{}), cordon.Incarnation{ID: "i-1"}
				renew := func() { client.RenewAfterPause(func(cordon.Incarnation) bool { return test.cold }) }
				renew()
				client.Want(incarnation, 1)
				asks := client.Asks(func(cordon.Incarnation) Rate { return 9 }, func(string) string { return "allocator" })
				client.Accept(Grant{Incarnation: incarnation, Session: asks[0].Ask.Session, Issued: 2})
				time.Sleep(test.pause)
				renew()
				client.Accept(Grant{Incarnation: incarnation, Session: asks[0].Ask.Session, Issued: 5})
				if held := client.Admission(incarnation, 9, 1).Held; held != test.held {
					t.Errorf("%d permits held, want %d", held, test.held)
				}
			})
		})
	}
}

// TestCold guards against an upstream that counts as warm although its entry or its start
// says that it is cold, and against one that stays cold as its entry is read again.
func TestCold(t *testing.T) {
	tests := []struct {
		name string
		// age is how long ago the upstream started.
		age   time.Duration
		entry ColdEntry
		want  time.Duration
	}{
		{name: "said", age: time.Hour, entry: ColdEntry{Said: true, Remaining: 3 * time.Second}, want: 3 * time.Second},
		{name: "said warm, started lately", age: time.Second, entry: ColdEntry{Said: true, SinceStart: 8 * time.Second}},
		{name: "silent, started lately", age: time.Second, entry: ColdEntry{SinceStart: 8 * time.Second}, want: 7 * time.Second},
		{name: "silent, started in the future", age: -time.Hour, entry: ColdEntry{SinceStart: 8 * time.Second}, want: 8 * time.Second},
		{name: "silent, started long ago", age: time.Hour, entry: ColdEntry{SinceStart: 8 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cold, incarnation := NewCold(), cordon.Incarnation{ID: "i-1", StartedAt: time.Now().Add(-test.age).UnixMilli()}
				became := cold.SetEntry(incarnation, test.entry, 2)
				got := []time.Duration{cold.Remaining(incarnation)}
				time.Sleep(time.Second)
				cold.SetEntry(incarnation, test.entry, 2)
				got = append(got, cold.Remaining(incarnation))
				if diff := cmp.Diff([]time.Duration{test.want, max(test.want-time.Second, 0)}, got); diff != "" || became != (test.want > 0) {
					t.Errorf("became cold: %v; remaining at once and after the entry was read again (-want +got):\n%s", became, diff)
				}
			})
		})
	}
}
