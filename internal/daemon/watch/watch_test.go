package watch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// topic is a topic in memory.
type topic struct {
	mutex   sync.Mutex
	records []string
	first   int
	down    bool
	calls   int
}

var errDown = errors.New("the store is down")

func (topic *topic) Snapshot(context.Context) ([]string, uint64, error) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.calls++
	if topic.down {
		return nil, 0, errDown
	}
	return topic.records[len(topic.records)-1:], uint64(len(topic.records)), nil
}

func (topic *topic) Read(ctx context.Context, from uint64, wait time.Duration) ([]string, uint64, error) {
	topic.mutex.Lock()
	topic.calls++
	end := len(topic.records)
	down, trimmed := topic.down, int(from) < topic.first
	topic.mutex.Unlock()
	switch {
	case down:
		return nil, 0, errDown
	case trimmed:
		return nil, 0, ErrTrimmed
	case int(from) == end:
		pause(ctx, wait)
	}
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return topic.records[from:], uint64(len(topic.records)), ctx.Err()
}

func (topic *topic) change(change func()) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	change()
}

// run runs a follower until stop is called.
func run(t *testing.T, follower *Watcher[string]) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// TestFollow plays a store that drops records before they are read and is down
// for a while. The follower must end with the newest record, must not confirm
// what it could not read, and must not storm the store.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &topic{records: []string{"1"}}
		// The mutex of the store guards what the follower reports, too.
		var last string
		var reached time.Time
		lost, failed := 0, 0
		follower := New(Config[string]{
			Name: "config", Source: store, Logger: zap.NewNop(), LongPoll: time.Second,
			Apply: func(records []string, _ bool) []string {
				if len(records) > 0 {
					store.change(func() { last = records[len(records)-1] })
				}
				return records
			},
			OnConfirmed: func(called time.Time) { store.change(func() { reached = called }) },
			OnFailure:   func() { store.change(func() { lost++ }) },
			OnCall: func(err error) {
				if err != nil {
					store.change(func() { failed++ })
				}
			},
		})
		stop := run(t, follower)
		time.Sleep(100 * time.Millisecond)
		check := func(moment, want string) {
			t.Helper()
			synctest.Wait()
			var got string
			store.change(func() { got = last })
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s: newest record (-want +got):\n%s", moment, diff)
			}
		}
		check("start", "1")
		store.change(func() { store.records = append(store.records, "2", "3") })
		time.Sleep(2 * time.Second)
		check("records", "3")
		downAt := time.Now()
		before := 0
		store.change(func() { store.down, before = true, store.calls })
		time.Sleep(5 * time.Second)
		store.change(func() {
			if reached.After(downAt) {
				t.Error("the configuration was confirmed while the store was down")
			}
			if calls := store.calls - before; calls > 40 {
				t.Errorf("%d calls in 5 s to a store that is down", calls)
			}
		})
		store.change(func() {
			store.records = append(store.records, "4", "5")
			store.first, store.down = 4, false
		})
		time.Sleep(2 * time.Second)
		check("records dropped", "5")
		stop()
		if diff := cmp.Diff(1, lost); diff != "" {
			t.Errorf("losses reported (-want +got):\n%s", diff)
		}
		if failed < 2 {
			t.Errorf("%d failed calls reported in an outage of 5 s", failed)
		}
	})
}

// hints is what another process says it has read.
type hints struct {
	mutex  sync.Mutex
	given  Update[string]
	silent bool
}

func (hints *hints) hint() (Update[string], bool) {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	given := hints.given
	given.ConfirmedAt = time.Now()
	return given, !hints.silent
}

func (hints *hints) set(given Update[string], silent bool) {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	hints.given, hints.silent = given, silent
}

func at(next, changed uint64) Update[string] {
	return Update[string]{Position: Position{Next: next, ChangedNext: changed}}
}

// TestHint plays a process whose failure domain has a reader: it must not call
// the store while the reader knows of nothing new, must call for what is new,
// and must confirm by itself at once when the reader falls silent.
func TestHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &topic{records: []string{"1"}}
		reader := &hints{given: at(1, 1)}
		var last string
		var reached time.Time
		follower := New(Config[string]{
			Name: "config", Source: store, Logger: zap.NewNop(), LongPoll: time.Second,
			Apply: func(records []string, _ bool) []string {
				if len(records) > 0 {
					store.change(func() { last = records[len(records)-1] })
				}
				return records
			},
			PeerUpdate:  reader.hint,
			OnConfirmed: func(called time.Time) { store.change(func() { reached = called }) },
		})
		stop := run(t, follower)
		expect := func(moment, newest string, calls int, age time.Duration) {
			t.Helper()
			synctest.Wait()
			store.change(func() {
				if last != newest || store.calls > calls || time.Since(reached) > age {
					t.Errorf("%s: read %q in %d calls, confirmed %v ago; want %q in at most %d, at most %v ago",
						moment, last, store.calls, time.Since(reached), newest, calls, age)
				}
			})
		}
		time.Sleep(10 * time.Second)
		expect("nothing new", "1", 1, hintPause)
		store.change(func() { store.records = append(store.records, "-", "-", "2") })
		reader.set(at(3, 1), false)
		time.Sleep(time.Second)
		expect("records that change nothing", "1", 1, hintPause)
		reader.set(at(4, 4), false)
		time.Sleep(2 * hintPause)
		expect("a record", "2", 2, 2*hintPause)
		store.change(func() { store.records = append(store.records, "3") })
		reader.set(Update[string]{Position: Position{Next: 5, ChangedNext: 5}, Changes: []string{"3"}, From: 4, Complete: true}, false)
		time.Sleep(2 * hintPause)
		expect("news with the word", "3", 2, 2*hintPause)
		store.change(func() { store.records = append(store.records, "4", "5") })
		reader.set(Update[string]{Position: Position{Next: 7, ChangedNext: 7}, Changes: []string{"5"}, From: 6, Complete: true}, false)
		time.Sleep(2 * hintPause)
		expect("news with a gap", "5", 3, 2*hintPause)
		reader.set(Update[string]{}, true)
		time.Sleep(hintPause)
		expect("reader silent", "5", 5, hintPause)
		time.Sleep(3 * time.Second)
		expect("reader silent for long", "5", 9, 2*time.Second)
		stop()
	})
}

// TestSince guards against news with a gap that pass for complete, and against
// a reader that keeps news without a bound.
func TestSince(t *testing.T) {
	follower := New(Config[string]{})
	follower.place(10)
	follower.advance(14, []string{"a", "b"})
	follower.advance(18, nil)
	follower.advance(20, []string{"c"})
	tests := []struct {
		name     string
		next     uint64
		news     []string
		complete bool
	}{
		{"before all", 9, []string{"a", "b", "c"}, false},
		{"at the start", 10, []string{"a", "b", "c"}, true},
		{"within a batch", 12, []string{"a", "b", "c"}, true},
		{"between", 16, []string{"c"}, true},
		{"all read", 20, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := follower.Since(test.next)
			want := Update[string]{Position: Position{Next: 20, ChangedNext: 20}, Changes: test.news, From: test.next, Complete: test.complete}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("hint (-want +got):\n%s", diff)
			}
		})
	}
	for next := uint64(21); next < 200; next++ {
		follower.advance(next, []string{"d"})
	}
	if kept := follower.Since(0); len(kept.Changes) > mostNews || kept.Complete {
		t.Errorf("%d records kept, complete %v", len(kept.Changes), kept.Complete)
	}
}
