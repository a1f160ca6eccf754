package retry

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testHistory is what an incarnation has sent in each slot, the last one last.
type testHistory struct {
	incarnation Incarnation
	slots       []Slot
}

// known returns what an observer tells at the end of the slots that knows nothing of the
// last ones, and counts what it knows a slot late if late is set.
func (history testHistory) known(unknown int, late bool) Past {
	past := Past{Incarnation: history.incarnation, Slots: make([]Slot, len(history.slots))}
	for number, slot := range history.slots {
		age := len(history.slots) - 1 - number
		if age < unknown {
			break
		}
		past.Requests += uint64(slot.Requests)
		past.Retries += uint64(slot.Retries)
		if late {
			age = max(age-1, 0)
		}
		past.Slots[age].Requests += slot.Requests
		past.Slots[age].Retries += slot.Retries
	}
	return past
}

// sorted returns the pasts that an archive tells, by incarnation.
func sorted(archive *Archive) []Past {
	return archive.pasts(archive.known(func(Incarnation, *record) bool { return true }))
}

// TestArchiveMerge guards against a past that replaces one that knows more: whatever the
// order and the number of times in which an archive is told, it must know the same, and
// as many retries as any that told it.
func TestArchiveMerge(t *testing.T) {
	const slots, tellers, rounds = 20, 4, 200
	window := slots * SlotTime
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 44))
		for range rounds {
			var told []Past
			most := make(map[Incarnation]uint64)
			for number := range 3 {
				history := testHistory{incarnation: Incarnation{Instance: strconv.Itoa(number / 2), Start: int64(number)}}
				for range slots {
					history.slots = append(history.slots, Slot{Requests: random.Uint32N(3), Retries: random.Uint32N(3)})
				}
				for range tellers {
					past := history.known(random.IntN(slots), random.IntN(2) == 0)
					told = append(told, past)
					most[past.Incarnation] = max(most[past.Incarnation], past.Retries)
				}
			}
			var want []Past
			for order := range 3 {
				archive := NewArchive()
				archive.SetWindow(window)
				for _, past := range told {
					archive.Merge(past)
				}
				if order > 0 {
					archive.Merge(told[random.IntN(len(told))])
				}
				got := sorted(archive)
				for _, past := range got {
					if past.Retries < most[past.Incarnation] {
						t.Fatalf("%v: %d retries known, %d told", past.Incarnation, past.Retries, most[past.Incarnation])
					}
				}
				if want == nil {
					want = got
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatalf("told in another order (-first +other):\n%s", diff)
				}
				random.Shuffle(len(told), func(a, b int) { told[a], told[b] = told[b], told[a] })
			}
		}
	})
}

// TestArchiveTotal guards against a total that differs from the sum of what is known of each
// incarnation, as messages and sends come in any order while time passes.
func TestArchiveTotal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 2 * time.Second
		random := rand.New(rand.NewPCG(2, 44))
		archive, other := NewArchive(), NewArchive()
		archive.SetWindow(window)
		other.SetWindow(window)
		reported := make(map[Incarnation]time.Time)
		for range 4000 {
			time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			incarnation := Incarnation{Instance: strconv.Itoa(random.IntN(3)), Start: time.Now().Unix() / 7}
			switch random.IntN(4) {
			case 0:
				archive.count(incarnation, 1, 1)
			case 1:
				other.count(incarnation, 2, 1)
			case 2:
				sum := other.record(incarnation).sum(other.present())
				archive.Report(incarnation, sum.requests, sum.retries, reported[incarnation])
				reported[incarnation] = time.Now()
			case 3:
				for _, past := range other.Pasts(incarnation) {
					archive.Merge(past)
				}
			}
			var want slotSum
			for _, record := range archive.records {
				for slot := archive.present() - int(window/SlotTime); slot <= archive.present(); slot++ {
					if slot > record.oldest() {
						want.retries += uint64(record.slot(slot).Retries)
					}
				}
			}
			if _, got := archive.total.sum(window); got != want.retries {
				t.Fatalf("total of %d retries, sum of the records is %d", got, want.retries)
			}
		}
	})
}

// TestSettling guards against an instance that spends, or passes on as complete, what it knew
// before it was stopped.
func TestSettling(t *testing.T) {
	const window = 10 * time.Second
	tests := []struct {
		name string
		// told means that a settled instance tells its pasts after the pause, reports
		// that the peer reports after it, and restarts that it does so as a new incarnation.
		told, reports, restarts, alone bool
		want                           bool
	}{
		{name: "nothing is heard"},
		{name: "told by a settled instance", told: true, want: true},
		{name: "the peer reports", reports: true, want: true},
		{name: "the peer has restarted", reports: true, restarts: true},
		{name: "no peer", alone: true, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := Limits{Ratio: 0.2, Extra: 10, Window: window}
				ledger := NewLedger(LedgerConfig{Limits: func() Limits { return limits }, Start: time.Now().Add(-window), Incarnation: Incarnation{Instance: "a"}})
				ledger.Tick()
				peer := Incarnation{Instance: "b", Start: 1}
				if !test.alone {
					ledger.Merge(peer, Use{Requests: 100})
				}
				if !ledger.Allows() {
					t.Fatal("a settled instance may not retry")
				}
				time.Sleep(3 * time.Second)
				if allowed, settled := ledger.Allows(), ledger.Use(true).Settled; allowed != test.alone || settled != test.alone {
					t.Errorf("an instance that goes on may retry: %v, says that it is settled: %v, want %v", allowed, settled, test.alone)
				}
				ledger.Tick()
				for range 5 {
					time.Sleep(settleTime / 4)
					ledger.Tick()
				}
				if test.restarts {
					peer.Start = 2
				}
				if test.reports {
					ledger.Merge(peer, Use{Requests: 101})
				}
				if test.told {
					ledger.Merge(Incarnation{Instance: "c"}, Use{Settled: true, Pasts: []Past{{Incarnation: peer}}})
				}
				if diff := cmp.Diff(test.want, ledger.Settled()); diff != "" {
					t.Errorf("settled (-want +got):\n%s", diff)
				}
				for range 2 * int(window/settleTime) {
					time.Sleep(settleTime)
					ledger.Tick()
				}
				if !ledger.Settled() {
					t.Error("not settled after a whole window")
				}
			})
		})
	}
}
