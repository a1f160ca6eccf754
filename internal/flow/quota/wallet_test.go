package quota

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// shelf is a Source whose shards grant what they have, without accrual.
type shelf struct {
	mutex   sync.Mutex
	levels  []model.Tokens
	silent  bool // no replies
	draws   int
	refunds []Refund
	issued  uint64
}

func (shelf *shelf) Draw(_ context.Context, shard int, want, least model.Tokens) (Grant, error) {
	time.Sleep(time.Millisecond)
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	shelf.draws++
	if shelf.silent {
		return Grant{}, errLost
	}
	tokens := min(want, shelf.levels[shard])
	if tokens < max(1, least) {
		return Grant{Level: shelf.levels[shard], RetryAfter: 50 * time.Millisecond}, nil
	}
	shelf.issued++
	shelf.levels[shard] -= tokens
	return Grant{ID: shelf.issued, Tokens: tokens, Level: shelf.levels[shard], Lifetime: DefaultGrantLifetime}, nil
}

func (shelf *shelf) Return(_ context.Context, _ int, refund Refund) error {
	time.Sleep(time.Millisecond)
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	shelf.refunds = append(shelf.refunds, refund)
	if shelf.silent {
		return errLost
	}
	return nil
}

func (shelf *shelf) put(level model.Tokens) {
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	for shard := range shelf.levels {
		shelf.levels[shard] = level
	}
}

// sent returns the refunds so far.
func (shelf *shelf) sent() []Refund {
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	return slices.Clone(shelf.refunds)
}

func (shelf *shelf) silence() {
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	shelf.silent = true
}

func newShelf(shards int, level model.Tokens) (*shelf, *Client) {
	shelf := &shelf{levels: make([]model.Tokens, shards)}
	shelf.put(level)
	return shelf, NewClient(ClientConfig{Transport: shelf, ShardCount: shards, Rate: 1000, Burst: 8000, Seed: 1})
}

func kindOf(err error) fault.Kind {
	if found, ok := fault.As(err); ok {
		return found.Kind()
	}
	return ""
}

// Guards against a wrong fault for a request that gets no tokens, and against a
// Take that outlives its context.
func TestTakeFaults(t *testing.T) {
	tests := []struct {
		name   string
		tokens model.Tokens
		level  model.Tokens
		cancel bool
		closed bool
		want   fault.Kind
	}{
		{name: "tokens of several shards", tokens: 3000, level: 1000},
		{name: "nothing to pay"},
		{name: "above the burst", tokens: 8001, level: 1000, want: fault.RateExceeded},
		{name: "too few tokens", tokens: 3000, level: 300, want: fault.WaitExceeded},
		{name: "caller gave up", tokens: 3000, level: 300, cancel: true, want: fault.Cancelled},
		{name: "closed while waiting", tokens: 3000, level: 300, closed: true, want: fault.Leaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, wallet := newShelf(8, test.level)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				switch {
				case test.cancel:
					time.AfterFunc(time.Second, cancel)
				case test.closed:
					time.AfterFunc(time.Second, func() { wallet.Close(context.Background()) })
				}
				_, err := wallet.Reserve(ctx, test.tokens)
				if diff := cmp.Diff(test.want, kindOf(err)); diff != "" {
					t.Errorf("fault (-want +got):\n%s", diff)
				}
				wallet.Close(context.Background())
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against small requests that overtake a large one.
func TestTakeInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shelf, wallet := newShelf(8, 10)
		var mutex sync.Mutex
		var served []model.Tokens
		var group sync.WaitGroup
		for _, tokens := range []model.Tokens{4000, 5, 7} {
			group.Go(func() {
				if _, err := wallet.Reserve(t.Context(), tokens); err != nil {
					t.Errorf("Take(%d): %v", tokens, err)
				}
				mutex.Lock()
				served = append(served, tokens)
				mutex.Unlock()
			})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		mutex.Lock()
		if diff := cmp.Diff([]model.Tokens(nil), served); diff != "" {
			t.Errorf("served before the first (-want +got):\n%s", diff)
		}
		mutex.Unlock()
		shelf.put(900)
		group.Wait()
		wallet.Close(context.Background())
		time.Sleep(time.Second)
	})
}

// Guards against returns that credit too much: a grant settled while one of its
// debits may still be dispatched, a second Settle, a dispatch after the
// lifetime, and an unused remainder that is kept.
func TestReturns(t *testing.T) {
	tests := []struct {
		name string
		run  func(*Client, Reservation) (committed bool)
		want []Refund
	}{
		{"commit, then settle twice", func(wallet *Client, debit Reservation) bool {
			committed := wallet.Commit(debit)
			time.Sleep(2 * time.Second)
			wallet.Settle(debit, 300)
			wallet.Settle(debit, 0)
			return committed
		}, []Refund{{ID: 1, Tokens: 100, Settled: true}}},
		{"no commit after the lifetime", func(wallet *Client, debit Reservation) bool {
			time.Sleep(600 * time.Millisecond)
			committed := wallet.Commit(debit)
			wallet.Settle(debit, 0)
			return committed
		}, []Refund{{ID: 1, Tokens: 400, Settled: true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shelf, wallet := newShelf(1, 8000)
				debit, err := wallet.Reserve(t.Context(), 400)
				if err != nil {
					t.Fatal(err)
				}
				committed := test.run(wallet, debit)
				time.Sleep(time.Second)
				wallet.Close(context.Background())
				if diff := cmp.Diff(test.want, shelf.sent()); diff != "" {
					t.Errorf("refunds (-want +got), committed %v:\n%s", committed, diff)
				}
			})
		})
	}
}

// Guards against a grant that is settled while a debit of it may still be
// dispatched, when its unused remainder is returned.
func TestRemainderUnsettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shelf, wallet := newShelf(1, 8000)
		var debits []Reservation
		for range 30 {
			debit, err := wallet.Reserve(t.Context(), 50)
			if err != nil {
				t.Fatal(err)
			}
			debits = append(debits, debit)
		}
		time.Sleep(idleDelay + 10*time.Millisecond)
		if sent := shelf.sent(); len(sent) == 0 || sent[0].Settled {
			t.Errorf("refunds of a remainder with uncommitted debits: %+v", sent)
		}
		for _, debit := range debits {
			wallet.Commit(debit)
			wallet.Settle(debit, 20)
		}
		time.Sleep(time.Second)
		if sent := shelf.sent(); !sent[len(sent)-1].Settled {
			t.Errorf("last of the refunds does not settle: %+v", sent)
		}
		wallet.Close(context.Background())
	})
}

// Guards against traffic to shards that do not answer, and against a refund
// that is given up after one failure.
func TestUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shelf, wallet := newShelf(8, 1000)
		debit, err := wallet.Reserve(t.Context(), 100)
		if err != nil {
			t.Fatal(err)
		}
		shelf.silence()
		wallet.Settle(debit, 60)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		if _, err := wallet.Reserve(ctx, 100); kindOf(err) != fault.WaitExceeded {
			t.Errorf("Take: %v", err)
		}
		synctest.Wait()
		// Each of 8 shards is asked at 0, 0.1, 0.3, 0.7, 1.5, 3.1 s and then every 5 s.
		if shelf.draws > 8*14 || shelf.draws < 8*8 {
			t.Errorf("%d draws in 30 s", shelf.draws)
		}
		time.Sleep(time.Minute)
		if got := len(shelf.sent()); got != refundAttempts {
			t.Errorf("refund sent %d times, want %d", got, refundAttempts)
		}
		wallet.Close(context.Background())
		time.Sleep(time.Minute)
	})
}

// Guards against a wait estimate that refuses requests although there are
// tokens, or that ignores those who wait already.
func TestEstimateWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, wallet := newShelf(8, 0)
		if wait := wallet.EstimateWait(8000); wait != 0 {
			t.Errorf("wait of %v although all shards may be full", wait)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		go func() { _, _ = wallet.Reserve(ctx, 2000) }()
		time.Sleep(20 * time.Millisecond)
		if wait := wallet.EstimateWait(1000); wait < 2*time.Second || wait > 3*time.Second {
			t.Errorf("wait of %v for 3000 tokens at 1000/s", wait)
		}
		wallet.Close(context.Background())
		time.Sleep(time.Minute)
	})
}

func BenchmarkWalletTake(b *testing.B) {
	shard := newTestShard(2_000_000_000, 8_000_000_000)
	wallet := NewClient(ClientConfig{Transport: localSource{shard}, ShardCount: 1, LocalShards: []int{0}, Rate: 2_000_000_000, Burst: 8_000_000_000})
	b.ReportAllocs()
	for b.Loop() {
		debit, err := wallet.Reserve(b.Context(), 100)
		if err != nil {
			b.Fatal(err)
		}
		wallet.Commit(debit)
		wallet.Settle(debit, 60)
	}
	wallet.Close(context.Background())
}

// localSource reaches one shard in the same process.
type localSource struct{ shard *Shard }

func (source localSource) Draw(_ context.Context, _ int, want, least model.Tokens) (Grant, error) {
	grant, _ := source.shard.Draw(time.Now().Add(24*365*20*time.Hour), want, least)
	return grant, nil
}

func (source localSource) Return(_ context.Context, _ int, refund Refund) error {
	source.shard.Return(time.Now().Add(24*365*20*time.Hour), refund.ID, refund.Tokens, refund.Settled)
	return nil
}

// BenchmarkMemory reports the bytes of a shard and of a wallet, idle and after
// 1,000 draws within the memory of the shard.
func BenchmarkMemory(b *testing.B) {
	tests := []struct {
		name  string
		build func() any
	}{
		{"shard/idle", func() any { return newTestShard(1000, 4000) }},
		{"shard/1000-draws", func() any {
			shard := newTestShard(1000, 4000)
			for draw := range 1000 {
				shard.Draw(epoch.Add(time.Second+time.Duration(draw)*100*time.Millisecond), 100, 1)
			}
			return shard
		}},
		{"wallet/idle", func() any { return NewClient(ClientConfig{ShardCount: 8, Rate: 8000, Burst: 32000}) }},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			kept := make([]any, 200)
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				for index := range kept {
					kept[index] = test.build()
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(kept)), "bytes/each")
				clear(kept)
			}
		})
	}
}
