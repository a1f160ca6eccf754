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
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// fixedShards is a Transport whose shards grant what they have, without accrual.
type fixedShards struct {
	mutex       sync.Mutex
	levels      []conf.Tokens
	unreachable bool // no call gets a reply
	draws       int
	refunds     []Refund
	lastID      uint64
}

func (fixedShards *fixedShards) Draw(_ context.Context, shard int, want, least conf.Tokens) (Grant, error) {
	time.Sleep(time.Millisecond)
	fixedShards.mutex.Lock()
	defer fixedShards.mutex.Unlock()
	fixedShards.draws++
	if fixedShards.unreachable {
		return Grant{}, errNoReply
	}
	tokens := min(want, fixedShards.levels[shard])
	if tokens < max(1, least) {
		return Grant{Level: fixedShards.levels[shard], RetryAfter: 50 * time.Millisecond}, nil
	}
	fixedShards.lastID++
	fixedShards.levels[shard] -= tokens
	return Grant{ID: fixedShards.lastID, Tokens: tokens, Level: fixedShards.levels[shard], Lifetime: DefaultGrantLifetime}, nil
}

func (fixedShards *fixedShards) Return(_ context.Context, _ int, refund Refund) error {
	time.Sleep(time.Millisecond)
	fixedShards.mutex.Lock()
	defer fixedShards.mutex.Unlock()
	fixedShards.refunds = append(fixedShards.refunds, refund)
	if fixedShards.unreachable {
		return errNoReply
	}
	return nil
}

func (fixedShards *fixedShards) setLevels(level conf.Tokens) {
	fixedShards.mutex.Lock()
	defer fixedShards.mutex.Unlock()
	for shard := range fixedShards.levels {
		fixedShards.levels[shard] = level
	}
}

// sentRefunds returns the refunds so far.
func (fixedShards *fixedShards) sentRefunds() []Refund {
	fixedShards.mutex.Lock()
	defer fixedShards.mutex.Unlock()
	return slices.Clone(fixedShards.refunds)
}

func (fixedShards *fixedShards) makeUnreachable() {
	fixedShards.mutex.Lock()
	defer fixedShards.mutex.Unlock()
	fixedShards.unreachable = true
}

func newFixedShards(shards int, level conf.Tokens) (*fixedShards, *Client) {
	fixedShards := &fixedShards{levels: make([]conf.Tokens, shards)}
	fixedShards.setLevels(level)
	return fixedShards, NewClient(ClientConfig{Transport: fixedShards, ShardCount: shards, Rate: 1000, Burst: 8000, Seed: 1})
}

func kindOf(err error) fault.Kind {
	if found, ok := fault.As(err); ok {
		return found.Kind()
	}
	return ""
}

// Guards against a wrong fault for a request that gets no tokens, and against a
// Reserve that outlives its context.
func TestReserveFaults(t *testing.T) {
	tests := []struct {
		name   string
		tokens conf.Tokens
		level  conf.Tokens
		cancel bool
		closed bool
		want   fault.Kind
	}{
		{name: "tokens of several shards", tokens: 3000, level: 1000},
		{name: "no tokens needed"},
		{name: "above the burst", tokens: 8001, level: 1000, want: fault.RateExceeded},
		{name: "too few tokens", tokens: 3000, level: 300, want: fault.WaitExceeded},
		{name: "caller cancelled", tokens: 3000, level: 300, cancel: true, want: fault.Cancelled},
		{name: "closed while waiting", tokens: 3000, level: 300, closed: true, want: fault.Draining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, client := newFixedShards(8, test.level)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				switch {
				case test.cancel:
					time.AfterFunc(time.Second, cancel)
				case test.closed:
					time.AfterFunc(time.Second, func() { client.Close(context.Background()) })
				}
				_, err := client.Reserve(ctx, test.tokens)
				if diff := cmp.Diff(test.want, kindOf(err)); diff != "" {
					t.Errorf("fault (-want +got):\n%s", diff)
				}
				client.Close(context.Background())
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against small requests that overtake a large one.
func TestReserveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixedShards, client := newFixedShards(8, 10)
		var mutex sync.Mutex
		var served []conf.Tokens
		var group sync.WaitGroup
		for _, tokens := range []conf.Tokens{4000, 5, 7} {
			group.Go(func() {
				if _, err := client.Reserve(t.Context(), tokens); err != nil {
					t.Errorf("Reserve(%d): %v", tokens, err)
				}
				mutex.Lock()
				served = append(served, tokens)
				mutex.Unlock()
			})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		mutex.Lock()
		if diff := cmp.Diff([]conf.Tokens(nil), served); diff != "" {
			t.Errorf("served before the first (-want +got):\n%s", diff)
		}
		mutex.Unlock()
		fixedShards.setLevels(900)
		group.Wait()
		client.Close(context.Background())
		time.Sleep(time.Second)
	})
}

// Guards against refunds that credit too much (a grant settled while one of its
// reservations may still be dispatched, a second Settle, a dispatch after the
// lifetime) and against unspent tokens that are kept.
func TestRefunds(t *testing.T) {
	tests := []struct {
		name string
		run  func(*Client, Reservation) (committed bool)
		want []Refund
	}{
		{"commit, then settle twice", func(client *Client, reservation Reservation) bool {
			committed := client.Commit(reservation)
			time.Sleep(2 * time.Second)
			client.Settle(reservation, 300)
			client.Settle(reservation, 0)
			return committed
		}, []Refund{{ID: 1, Tokens: 100, Settled: true}}},
		{"no commit after the lifetime", func(client *Client, reservation Reservation) bool {
			time.Sleep(600 * time.Millisecond)
			committed := client.Commit(reservation)
			client.Settle(reservation, 0)
			return committed
		}, []Refund{{ID: 1, Tokens: 400, Settled: true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixedShards, client := newFixedShards(1, 8000)
				reservation, err := client.Reserve(t.Context(), 400)
				if err != nil {
					t.Fatal(err)
				}
				committed := test.run(client, reservation)
				time.Sleep(time.Second)
				client.Close(context.Background())
				if diff := cmp.Diff(test.want, fixedShards.sentRefunds()); diff != "" {
					t.Errorf("refunds (-want +got), committed %v:\n%s", committed, diff)
				}
			})
		})
	}
}

// Guards against a grant that is settled, when its unspent tokens are refunded,
// while a reservation of it may still be dispatched.
func TestRemainderUnsettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixedShards, client := newFixedShards(1, 8000)
		var reservations []Reservation
		for range 30 {
			reservation, err := client.Reserve(t.Context(), 50)
			if err != nil {
				t.Fatal(err)
			}
			reservations = append(reservations, reservation)
		}
		time.Sleep(idleTimeout + 10*time.Millisecond)
		if sent := fixedShards.sentRefunds(); len(sent) == 0 || sent[0].Settled {
			t.Errorf("refunds of unspent tokens with uncommitted reservations: %+v", sent)
		}
		for _, reservation := range reservations {
			client.Commit(reservation)
			client.Settle(reservation, 20)
		}
		time.Sleep(time.Second)
		if sent := fixedShards.sentRefunds(); !sent[len(sent)-1].Settled {
			t.Errorf("the last refund does not settle the grant: %+v", sent)
		}
		client.Close(context.Background())
	})
}

// Guards against repeated draws from shards that do not reply, and against a
// refund that is given up after one failure.
func TestUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixedShards, client := newFixedShards(8, 1000)
		reservation, err := client.Reserve(t.Context(), 100)
		if err != nil {
			t.Fatal(err)
		}
		fixedShards.makeUnreachable()
		client.Settle(reservation, 60)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		if _, err := client.Reserve(ctx, 100); kindOf(err) != fault.WaitExceeded {
			t.Errorf("Reserve: %v", err)
		}
		synctest.Wait()
		// Each of the 8 shards is asked at 0, 0.1, 0.3, 0.7, 1.5, 3.1 s and then every 5 s.
		if fixedShards.draws > 8*14 || fixedShards.draws < 8*8 {
			t.Errorf("%d draws in 30 s", fixedShards.draws)
		}
		time.Sleep(time.Minute)
		if got := len(fixedShards.sentRefunds()); got != maxRefundAttempts {
			t.Errorf("refund sent %d times, want %d", got, maxRefundAttempts)
		}
		client.Close(context.Background())
		time.Sleep(time.Minute)
	})
}

// Guards against a wait estimate that refuses requests although there are tokens,
// or that ignores the requests that already wait.
func TestEstimateWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := newFixedShards(8, 0)
		if wait := client.EstimateWait(8000); wait != 0 {
			t.Errorf("wait of %v although all shards may be full", wait)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		go func() { _, _ = client.Reserve(ctx, 2000) }()
		time.Sleep(20 * time.Millisecond)
		if wait := client.EstimateWait(1000); wait < 2*time.Second || wait > 3*time.Second {
			t.Errorf("wait of %v for 3000 tokens at 1000/s", wait)
		}
		client.Close(context.Background())
		time.Sleep(time.Minute)
	})
}

func BenchmarkClientReserve(b *testing.B) {
	shard := newTestShard(2_000_000_000, 8_000_000_000)
	client := NewClient(ClientConfig{Transport: localTransport{shard}, ShardCount: 1, LocalShards: []int{0}, Rate: 2_000_000_000, Burst: 8_000_000_000})
	b.ReportAllocs()
	for b.Loop() {
		reservation, err := client.Reserve(b.Context(), 100)
		if err != nil {
			b.Fatal(err)
		}
		client.Commit(reservation)
		client.Settle(reservation, 60)
	}
	client.Close(context.Background())
}

// localTransport reaches one shard in the same process.
type localTransport struct{ shard *Shard }

func (transport localTransport) Draw(_ context.Context, _ int, want, least conf.Tokens) (Grant, error) {
	grant, _ := transport.shard.Draw(time.Now().Add(24*365*20*time.Hour), want, least)
	return grant, nil
}

func (transport localTransport) Return(_ context.Context, _ int, refund Refund) error {
	transport.shard.Return(time.Now().Add(24*365*20*time.Hour), refund.ID, refund.Tokens, refund.Settled)
	return nil
}

// BenchmarkMemory reports the bytes of a shard and of a client, idle and after
// 1,000 draws within the refund window of the shard.
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
