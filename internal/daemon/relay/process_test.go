package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
)

// TestProcessIdentity guards against an instance that others take for its earlier run, and
// whose spending they so count as that run's, because the time of day had gone back to what it
// was at the start of that.
func TestProcessIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newListedRelay(), newListedRelay()
		if first.memory(nil).GetStart() == second.memory(nil).GetStart() {
			t.Errorf("two runs tell loaders the same identity %d", first.memory(nil).GetStart())
		}
		if usage := (bucket.Usage{}); first.encodeUsage(usage, fullReport).GetStart() == second.encodeUsage(usage, fullReport).GetStart() {
			t.Errorf("two runs tell other entry instances the same identity %d", first.encodeUsage(usage, fullReport).GetStart())
		}
		if first.retryBudget.own == second.retryBudget.own {
			t.Errorf("two runs count retries under the same identity %d", first.retryBudget.own.Start)
		}
	})
}

// TestStampsOfEarlierRun guards against an answer to an ask of an earlier run that counts as
// one to an ask of this run, because the time of day had stepped back.
func TestStampsOfEarlierRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		earlier := newProcess()
		now := newProcess()
		time.Sleep(2 * time.Second)
		if at, ok := now.stampedAt(earlier.stamp(earlier.start.Add(time.Second))); ok {
			t.Errorf("a stamp of the earlier run is taken for one of %v after the start", at.Sub(now.start))
		}
		if at, ok := now.stampedAt(now.stamp(now.start.Add(time.Second))); !ok || at.Sub(now.start) != time.Second {
			t.Errorf("an own stamp is read as %v after the start, %v", at.Sub(now.start), ok)
		}
	})
}
