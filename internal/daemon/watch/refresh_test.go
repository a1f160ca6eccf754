package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// TestRefresh guards against a state that counts as current by a read from before others
// acted on later records, and against a call for each of many refreshes at a time.
func TestRefresh(t *testing.T) {
	tests := []struct {
		name string
		// told means that another process reports positions that replace calls.
		told bool
		down bool
		// refreshes is the number of calls of Refresh, a millisecond apart.
		refreshes int
		current   bool
		mostCalls int
	}{
		{name: "none", refreshes: 0, current: false, mostCalls: 0},
		{name: "between two calls", refreshes: 1, current: true, mostCalls: 1},
		{name: "told by another process", told: true, refreshes: 1, current: true, mostCalls: 1},
		{name: "many at a time", refreshes: 60, current: true, mostCalls: 5},
		{name: "store down", down: true, refreshes: 1, current: false, mostCalls: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &topic{records: []string{"1"}}
				told := func() (Update[string], time.Duration) {
					if !test.told {
						return Update[string]{}, 0
					}
					return update(1, 1), time.Second
				}
				watcher := New(Config[string]{
					Name: "list", Source: store, Logger: zap.NewNop(), Interval: time.Second, PeerUpdate: told,
					Apply: func(records []string, _ bool) []string { return records },
				})
				defer run(t, watcher)()
				time.Sleep(300 * time.Millisecond)
				store.change(func() { store.calls, store.down = 0, test.down })
				since := time.Now()
				for range test.refreshes {
					since = time.Now()
					watcher.Refresh(since)
					time.Sleep(time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				current := test.refreshes > 0 && !watcher.Position().ConfirmedAt.Before(since)
				if diff := cmp.Diff(test.current, current); diff != "" {
					t.Errorf("confirmed since the refresh (-want +got):\n%s", diff)
				}
				store.change(func() {
					if store.calls > test.mostCalls {
						t.Errorf("%d calls, want at most %d", store.calls, test.mostCalls)
					}
				})
			})
		})
	}
}

// TestEnd guards against an end of a topic from before a time, and against a call for each
// process that asks for it at the same time.
func TestEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &topic{records: []string{"1"}, epoch: 3}
		watcher := New(Config[string]{Name: "config", Source: store, Logger: zap.NewNop()})
		end := func(since time.Time) uint64 {
			cursor, err := watcher.End(t.Context(), since)
			if err != nil || cursor.Epoch != 3 {
				t.Errorf("end %v: %v", cursor, err)
			}
			return cursor.Next
		}
		began := time.Now()
		if diff := cmp.Diff(uint64(1), end(began)); diff != "" {
			t.Errorf("end (-want +got):\n%s", diff)
		}
		store.change(func() { store.records = append(store.records, "2") })
		if diff := cmp.Diff(uint64(1), end(began)); diff != "" {
			t.Errorf("end as of the first call (-want +got):\n%s", diff)
		}
		time.Sleep(time.Millisecond)
		if diff := cmp.Diff(uint64(2), end(time.Now())); diff != "" {
			t.Errorf("end as of now (-want +got):\n%s", diff)
		}
		watcher.advance(3, nil)
		time.Sleep(time.Millisecond)
		if _, err := watcher.End(t.Context(), time.Now()); err == nil {
			t.Error("an end was returned that is before what was read")
		}
		store.change(func() {
			store.down = true
			if diff := cmp.Diff(3, store.calls); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
		})
		time.Sleep(time.Millisecond)
		if _, err := watcher.End(t.Context(), time.Now()); err == nil {
			t.Error("an end was returned while the store was down")
		}
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := watcher.End(ended, time.Now()); err == nil {
			t.Error("an end was returned after the context had ended")
		}
	})
}
