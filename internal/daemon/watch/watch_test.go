package watch

import (
	"context"
	"errors"
	"fmt"
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
	// pageSize is the number of records in a response at most, if it is not 0, and
	// growth the number that are added with each read.
	pageSize, growth int
	// epoch is what all answers name.
	epoch uint64
	// shortReads means that a read from beyond the end names that end, instead of failing.
	shortReads bool
}

var errDown = errors.New("the store is down")

func (topic *topic) Snapshot(context.Context) ([]string, Cursor, error) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.calls++
	if topic.down {
		return nil, Cursor{}, errDown
	}
	return topic.records[len(topic.records)-1:], topic.end(), nil
}

func (topic *topic) Read(ctx context.Context, from uint64, wait time.Duration) (Page[string], error) {
	topic.mutex.Lock()
	topic.calls++
	for range topic.growth {
		topic.records = append(topic.records, fmt.Sprint(len(topic.records)+1))
	}
	end := len(topic.records)
	down, trimmed := topic.down, int(from) < topic.first || int(from) > end
	if trimmed && topic.shortReads {
		defer topic.mutex.Unlock()
		return Page[string]{Next: Cursor{Epoch: topic.epoch, Next: from}, End: uint64(end)}, nil
	}
	topic.mutex.Unlock()
	switch {
	case down:
		return Page[string]{}, errDown
	case trimmed:
		return Page[string]{}, ErrTrimmed
	case int(from) == end:
		sleep(ctx, wait)
	}
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	if int(from) > len(topic.records) {
		return Page[string]{}, ErrTrimmed
	}
	page := Page[string]{Records: topic.records[from:], Next: topic.end(), End: uint64(len(topic.records))}
	if topic.pageSize > 0 && len(page.Records) > topic.pageSize {
		page.Records, page.Next.Next = page.Records[:topic.pageSize], from+uint64(topic.pageSize)
	}
	return page, ctx.Err()
}

// end returns the cursor after the last record.
func (topic *topic) end() Cursor { return Cursor{Epoch: topic.epoch, Next: uint64(len(topic.records))} }

func (topic *topic) change(change func()) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	change()
}

// run runs a watcher until stop is called.
func run(t *testing.T, watcher *Watcher[string]) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// TestWatch simulates a store that trims records before they are read and is down
// for a while. The watcher must end with the newest record, must not confirm
// what it could not read, and must not flood the store with calls.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &topic{records: []string{"1"}}
		// The mutex of the store also guards what the watcher reports.
		var last string
		var confirmedAt time.Time
		failures, failedCalls := 0, 0
		watcher := New(Config[string]{
			Name: "config", Source: store, Logger: zap.NewNop(), LongPoll: time.Second,
			Apply: func(records []string, _ bool) []string {
				if len(records) > 0 {
					store.change(func() { last = records[len(records)-1] })
				}
				return records
			},
			OnConfirmed: func(called time.Time) { store.change(func() { confirmedAt = called }) },
			OnFailure:   func() { store.change(func() { failures++ }) },
			OnCall: func(err error) {
				if err != nil {
					store.change(func() { failedCalls++ })
				}
			},
		})
		stop := run(t, watcher)
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
			if confirmedAt.After(downAt) {
				t.Error("the state was confirmed while the store was down")
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
		check("records trimmed", "5")
		stop()
		if diff := cmp.Diff(1, failures); diff != "" {
			t.Errorf("failures reported (-want +got):\n%s", diff)
		}
		if failedCalls < 2 {
			t.Errorf("%d failed calls reported in an outage of 5 s", failedCalls)
		}
	})
}

// TestShortPages guards against a state that counts as current although the store named
// records that were not read yet (CONFIG, review/1), against a pause before they are
// read, and against one that never counts as current as the topic grows while it is read.
func TestShortPages(t *testing.T) {
	const callTime = 10 * time.Millisecond
	tests := []struct {
		name     string
		behind   int
		pageSize int
		growth   int
		// calls is the number of calls until the records are read, and age how old the
		// state is then.
		calls int
		age   time.Duration
	}{
		{name: "whole", behind: 7, calls: 1, age: callTime},
		{name: "two pages", behind: 4, pageSize: 3, calls: 2, age: callTime},
		{name: "three pages", behind: 7, pageSize: 3, calls: 3, age: callTime},
		{name: "grows as fast as it is read", behind: 7, pageSize: 3, growth: 3, calls: 4, age: 4 * callTime},
		{name: "grows faster", behind: 6, pageSize: 2, growth: 3, calls: 5, age: 5 * callTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &topic{records: []string{"1"}}
				applied := 0
				watcher := New(Config[string]{
					Name: "config", Source: store, Logger: zap.NewNop(), LongPoll: time.Second, Interval: time.Second,
					Apply: func(records []string, _ bool) []string {
						applied += len(records)
						time.Sleep(callTime)
						return records
					},
				})
				stop := run(t, watcher)
				time.Sleep(100 * time.Millisecond)
				store.change(func() {
					for range test.behind {
						store.records = append(store.records, "changed")
					}
					store.pageSize, store.growth, store.calls = test.pageSize, test.growth, 0
				})
				before := watcher.Position().ConfirmedAt
				for watcher.Position().ConfirmedAt.Equal(before) {
					time.Sleep(time.Millisecond)
				}
				synctest.Wait()
				calls := 0
				store.change(func() { calls = store.calls })
				position := watcher.Position()
				if position.Next < uint64(1+test.behind) {
					t.Errorf("confirmed at offset %d, before the records up to %d were read", position.Next, 1+test.behind)
				}
				if age := time.Since(position.ConfirmedAt); age > test.age+2*time.Millisecond {
					t.Errorf("confirmed as of %v ago, want %v", age, test.age)
				}
				if diff := cmp.Diff(test.calls, min(calls, test.calls)); diff != "" || calls > test.calls+1 {
					t.Errorf("%d calls until confirmed (-want +got):\n%s", calls, diff)
				}
				stop()
			})
		})
	}
}

// TestEmptyPage guards against calls without a pause to a store that names records and
// returns none.
func TestEmptyPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &topic{records: []string{"1"}}
		watcher := New(Config[string]{
			Name: "config", Source: emptyPages{store}, Logger: zap.NewNop(), LongPoll: time.Second,
			Apply: func(records []string, _ bool) []string { return records },
		})
		stop := run(t, watcher)
		time.Sleep(5 * time.Second)
		stop()
		if store.calls > 40 {
			t.Errorf("%d calls in 5 s", store.calls)
		}
		if age := time.Since(watcher.Position().ConfirmedAt); age < 5*time.Second {
			t.Errorf("the state was confirmed %v ago", age)
		}
	})
}

// emptyPages is a topic whose reads return no records.
type emptyPages struct{ *topic }

func (emptyPages emptyPages) Read(_ context.Context, from uint64, _ time.Duration) (Page[string], error) {
	emptyPages.calls++
	return Page[string]{Next: Cursor{Next: from}, End: from + 1}, nil
}

// peer is another process that has read the topic.
type peer struct {
	mutex  sync.Mutex
	given  Update[string]
	silent bool
}

func (peer *peer) update() (Update[string], time.Duration) {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	given := peer.given
	given.ConfirmedAt = time.Now()
	if peer.silent {
		return given, 0
	}
	return given, time.Second
}

func (peer *peer) set(given Update[string], silent bool) {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	peer.given, peer.silent = given, silent
}

func update(next, changed uint64) Update[string] {
	return Update[string]{Position: Position{Cursor: Cursor{Next: next}, ChangedNext: changed}}
}

// TestPeerUpdate simulates a process whose failure domain has a store reader. It
// must not call the store while the reader reports nothing new, must read what
// is new, and must confirm its state by a call of its own at once when the
// reader falls silent.
func TestPeerUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &topic{records: []string{"1"}}
		reader := &peer{given: update(1, 1)}
		var last string
		var confirmedAt time.Time
		watcher := New(Config[string]{
			Name: "config", Source: store, Logger: zap.NewNop(), LongPoll: time.Second,
			Apply: func(records []string, _ bool) []string {
				if len(records) > 0 {
					store.change(func() { last = records[len(records)-1] })
				}
				return records
			},
			PeerUpdate:  reader.update,
			OnConfirmed: func(called time.Time) { store.change(func() { confirmedAt = called }) },
		})
		stop := run(t, watcher)
		expect := func(moment, newest string, calls int, age time.Duration) {
			t.Helper()
			synctest.Wait()
			store.change(func() {
				if last != newest || store.calls > calls || time.Since(confirmedAt) > age {
					t.Errorf("%s: read %q in %d calls, confirmed %v ago; want %q in at most %d, at most %v ago",
						moment, last, store.calls, time.Since(confirmedAt), newest, calls, age)
				}
			})
		}
		time.Sleep(10 * time.Second)
		expect("nothing new", "1", 1, peerPollPeriod)
		store.change(func() { store.records = append(store.records, "-", "-", "2") })
		reader.set(update(3, 1), false)
		time.Sleep(time.Second)
		expect("records that change nothing", "1", 1, peerPollPeriod)
		reader.set(update(4, 4), false)
		time.Sleep(2 * peerPollPeriod)
		expect("a record", "2", 2, 2*peerPollPeriod)
		store.change(func() { store.records = append(store.records, "3") })
		reader.set(Update[string]{Position: Position{Cursor: Cursor{Next: 5}, ChangedNext: 5}, Changes: []string{"3"}, From: 4, Complete: true}, false)
		time.Sleep(2 * peerPollPeriod)
		expect("update with changes", "3", 2, 2*peerPollPeriod)
		store.change(func() { store.records = append(store.records, "4", "5") })
		reader.set(Update[string]{Position: Position{Cursor: Cursor{Next: 7}, ChangedNext: 7}, Changes: []string{"5"}, From: 6, Complete: true}, false)
		time.Sleep(2 * peerPollPeriod)
		expect("update with missing changes", "5", 3, 2*peerPollPeriod)
		reader.set(Update[string]{}, true)
		time.Sleep(peerPollPeriod)
		expect("reader silent", "5", 5, peerPollPeriod)
		time.Sleep(3 * time.Second)
		expect("reader silent for long", "5", 9, 2*time.Second)
		stop()
	})
}

// TestOverdue guards against a process that waits out a call to a store from which it was
// cut off before others learn of it, and against one that a slow store makes overdue
// with each call.
func TestOverdue(t *testing.T) {
	const longPoll = time.Second
	tests := []struct {
		name string
		// times is how long the store takes for each call, besides holding it.
		times []time.Duration
		want  []time.Duration
	}{
		{name: "in time", times: []time.Duration{0, 10 * time.Millisecond, 10 * time.Millisecond}},
		{name: "cut off in the long poll", times: []time.Duration{0, time.Hour}, want: []time.Duration{longPoll + minOverdueTime}},
		{name: "slow", times: []time.Duration{100 * time.Millisecond, 180 * time.Millisecond, 330 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowTopic{topic: &topic{records: []string{"1"}}, times: test.times}
				var overdue []time.Duration
				watcher := New(Config[string]{
					Name: "config", Source: store, Logger: zap.NewNop(), LongPoll: longPoll,
					Apply:     func(records []string, _ bool) []string { return records },
					OnOverdue: func() { store.change(func() { overdue = append(overdue, time.Since(store.calledAt)) }) },
				})
				stop := run(t, watcher)
				time.Sleep(2500 * time.Millisecond)
				stop()
				if diff := cmp.Diff(test.want, overdue); diff != "" {
					t.Errorf("overdue after (-want +got):\n%s", diff)
				}
				if age, most := time.Since(watcher.Position().AnsweredAt), longPoll+time.Second; test.want == nil && age > most {
					t.Errorf("the store answered %v ago, want at most %v", age, most)
				}
			})
		})
	}
}

// TestOverdueOrder guards against a call that counts as overdue after it has succeeded,
// which would last until the next call.
func TestOverdueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowTopic{topic: &topic{records: []string{"1"}}, times: []time.Duration{minOverdueTime + time.Millisecond}}
		var events []string
		record := func(event string) { store.change(func() { events = append(events, event) }) }
		watcher := New(Config[string]{
			Name: "config", Source: store, Logger: zap.NewNop(), LongPoll: time.Hour,
			Apply: func(records []string, _ bool) []string { return records },
			OnOverdue: func() {
				time.Sleep(10 * time.Millisecond)
				record("overdue")
			},
			OnCall: func(error) { record("called") },
		})
		stop := run(t, watcher)
		time.Sleep(time.Second)
		stop()
		if diff := cmp.Diff([]string{"overdue", "called"}, events); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
	})
}

// slowTopic is a topic that takes a time for each call.
type slowTopic struct {
	*topic
	times    []time.Duration
	calledAt time.Time
}

func (slowTopic *slowTopic) wait(ctx context.Context) {
	var next time.Duration
	slowTopic.change(func() {
		slowTopic.calledAt = time.Now()
		if len(slowTopic.times) > 0 {
			next, slowTopic.times = slowTopic.times[0], slowTopic.times[1:]
		}
	})
	sleep(ctx, next)
}

func (slowTopic *slowTopic) Snapshot(ctx context.Context) ([]string, Cursor, error) {
	slowTopic.wait(ctx)
	return slowTopic.topic.Snapshot(ctx)
}

func (slowTopic *slowTopic) Read(ctx context.Context, from uint64, wait time.Duration) (Page[string], error) {
	slowTopic.wait(ctx)
	return slowTopic.topic.Read(ctx, from, wait)
}

// TestSince guards against incomplete changes that pass for complete, and
// against keeping changes without a bound.
func TestSince(t *testing.T) {
	watcher := New(Config[string]{})
	watcher.reset(Cursor{Next: 10})
	watcher.advance(14, []string{"a", "b"})
	watcher.advance(18, nil)
	watcher.advance(20, []string{"c"})
	tests := []struct {
		name     string
		next     uint64
		changes  []string
		complete bool
	}{
		{"before the snapshot", 9, []string{"a", "b", "c"}, false},
		{"at the snapshot", 10, []string{"a", "b", "c"}, true},
		{"within a batch", 12, []string{"a", "b", "c"}, true},
		{"between two batches", 16, []string{"c"}, true},
		{"all read", 20, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := watcher.Since(Cursor{Next: test.next})
			want := Update[string]{Position: Position{Cursor: Cursor{Next: 20}, ChangedNext: 20}, Changes: test.changes, From: test.next, Complete: test.complete}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("update (-want +got):\n%s", diff)
			}
		})
	}
	for next := uint64(21); next < 200; next++ {
		watcher.advance(next, []string{"d"})
	}
	if kept := watcher.Since(Cursor{}); len(kept.Changes) > maxRecent || kept.Complete {
		t.Errorf("%d records kept, complete %v", len(kept.Changes), kept.Complete)
	}
}

// TestRestore guards against a watcher that misses records, or confirms old ones,
// after the store was restored from an earlier copy: its offset is valid again, lies
// beyond the end, or is compared with a position from the other side of the restore.
func TestRestore(t *testing.T) {
	restored := func(records ...string) func(*topic) {
		return func(topic *topic) { topic.records, topic.epoch = records, topic.epoch+1 }
	}
	tests := []struct {
		name   string
		change func(*topic)
		// reported is what the store reader reports after the restore, if it is not
		// silent.
		reported *Update[string]
		// wait is added to the time after which the newest record is expected.
		wait     time.Duration
		want     string
		restores int
	}{
		{name: "offset beyond the end", change: restored("1", "new"), want: "new", restores: 1},
		{name: "offset valid again", change: restored("1", "new", "a", "b", "new"), want: "new", restores: 1},
		{name: "at the offset", change: restored("1", "a", "new"), want: "new", restores: 1},
		{name: "two restores", change: func(topic *topic) { restored("1", "2")(topic); restored("1", "2", "new")(topic) }, want: "new", restores: 1},
		{
			name: "reader after the restore", change: restored("1", "new"), want: "new", restores: 1,
			reported: &Update[string]{Position: Position{Cursor: Cursor{Epoch: 4, Next: 2}, ChangedNext: 2}},
		},
		{
			name: "reader before the restore", change: restored("1", "2", "3", "new"), want: "new", restores: 1,
			reported: &Update[string]{Position: Position{Cursor: Cursor{Epoch: 3, Next: 3}, ChangedNext: 3}},
		},
		{
			name: "changes of another epoch", change: restored("1", "2", "3", "new"), want: "new", restores: 1,
			reported: &Update[string]{Position: Position{Cursor: Cursor{Epoch: 4, Next: 4}, ChangedNext: 4}, Changes: []string{"other"}, From: 3, Complete: true},
		},
		{name: "lower epoch", change: func(topic *topic) { topic.records, topic.epoch = []string{"1", "old"}, topic.epoch-1 }, want: "3"},
		{name: "lower epoch for long", change: func(topic *topic) { topic.records, topic.epoch = []string{"1", "old"}, topic.epoch-1 }, wait: maxAnswerAge, want: "old", restores: 1},
		{name: "no epoch", change: func(topic *topic) { topic.records, topic.epoch = append(topic.records, "4"), 0 }, want: "4"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &topic{records: []string{"1", "2", "3"}, epoch: 3}
				reader := &peer{silent: true}
				last, restores := "", 0
				watcher := New(Config[string]{
					Name: "config", Source: store, Logger: zap.NewNop(), LongPoll: time.Second, PeerUpdate: reader.update,
					Apply: func(records []string, _ bool) []string {
						if len(records) > 0 {
							store.change(func() { last = records[len(records)-1] })
						}
						return records
					},
					OnRestore: func() { store.change(func() { restores++ }) },
				})
				stop := run(t, watcher)
				time.Sleep(100 * time.Millisecond)
				if test.reported != nil {
					reader.set(*test.reported, false)
				}
				store.change(func() { test.change(store) })
				time.Sleep(3*time.Second + test.wait)
				store.change(func() {
					if diff := cmp.Diff(test.want, last); diff != "" {
						t.Errorf("newest record (-want +got):\n%s", diff)
					}
					if test.restores > 0 && restores != test.restores {
						t.Errorf("%d restores recorded, want %d", restores, test.restores)
					}
				})
				stop()
			})
		})
	}
}

// TestLaggingStore guards against a state that goes back, or counts as current, because the
// store answers from a copy that lags behind what was read before, or because another process
// reports that it has read less and knows of nothing more.
func TestLaggingStore(t *testing.T) {
	lag := func(topic *topic) { topic.records = topic.records[:2] }
	tests := []struct {
		name string
		// change is applied once three records were read, and undone after lagTime if it is
		// not for good.
		change  func(*topic)
		forGood bool
		// reported is what the store reader reports meanwhile, nil if it is silent all the time.
		reported *Update[string]
		// confirmed means that the state counts as current while the store lags.
		confirmed bool
		// lagging is the newest record while the store lags, and want the one in the end.
		lagging, want string
	}{
		{name: "no lag", change: func(*topic) {}, confirmed: true, lagging: "3", want: "3"},
		{name: "reads and snapshots lag", change: lag, lagging: "3", want: "3"},
		{name: "reads that name an earlier end", change: func(topic *topic) { lag(topic); topic.shortReads = true }, lagging: "3", want: "3"},
		{name: "restored without an epoch", change: lag, forGood: true, lagging: "3", want: "2"},
		{name: "reader that lags", change: lag, reported: &Update[string]{Position: Position{Cursor: Cursor{Next: 2}, ChangedNext: 2}}, lagging: "3", want: "3"},
		{
			name: "reader that lags, store that does not", change: func(*topic) {}, confirmed: true, lagging: "3", want: "3",
			reported: &Update[string]{Position: Position{Cursor: Cursor{Next: 2}, ChangedNext: 2}},
		},
	}
	const lagTime = 3 * time.Second
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &topic{records: []string{"1", "2", "3"}}
				reader := &peer{given: update(3, 3), silent: test.reported == nil}
				last := ""
				watcher := New(Config[string]{
					Name: "config", Source: store, Logger: zap.NewNop(), LongPoll: 100 * time.Millisecond, PeerUpdate: reader.update,
					Apply: func(records []string, _ bool) []string {
						if len(records) > 0 {
							store.change(func() { last = records[len(records)-1] })
						}
						return records
					},
				})
				stop := run(t, watcher)
				defer stop()
				time.Sleep(time.Second)
				store.change(func() { test.change(store) })
				if test.reported != nil {
					reader.set(*test.reported, false)
				}
				time.Sleep(lagTime)
				confirmed := time.Since(watcher.Position().ConfirmedAt) < lagTime/2
				store.change(func() {
					if diff := cmp.Diff(test.lagging, last); diff != "" {
						t.Errorf("newest record while the store lags (-want +got):\n%s", diff)
					}
				})
				if diff := cmp.Diff(test.confirmed, confirmed); diff != "" {
					t.Errorf("counts as current while the store lags (-want +got):\n%s", diff)
				}
				if !test.forGood {
					store.change(func() { store.records, store.shortReads = []string{"1", "2", "3"}, false })
				}
				reader.set(Update[string]{}, true)
				time.Sleep(2 * maxAnswerAge)
				store.change(func() {
					if diff := cmp.Diff(test.want, last); diff != "" {
						t.Errorf("newest record in the end (-want +got):\n%s", diff)
					}
				})
				if age := time.Since(watcher.Position().ConfirmedAt); age > time.Second {
					t.Errorf("the state was confirmed %v ago in the end", age)
				}
			})
		})
	}
}
