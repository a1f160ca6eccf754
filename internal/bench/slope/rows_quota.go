package slope

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/quota"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// maxShards is the number of an organisation's shards.
const maxShards = 8

// grantTokens is the size of the grants in these rows; it is not related to
// their cost.
const grantTokens = 100

// plenty is a rate at which no draw is refused.
const plenty conf.Tokens = 1_000_000_000

// openShard returns a shard that grants at once.
func openShard() (*quota.Shard, time.Time) {
	start := time.Now()
	shard := quota.NewShard(quota.ShardConfig{Rate: plenty, Burst: plenty, Start: start})
	return shard, start.Add(10 * time.Second)
}

// grantMemory returns what a shard keeps for its grants in bytes.
func grantMemory(_ context.Context, size float64) (float64, error) {
	bytes, _, err := heapOf(func() (*quota.Shard, error) {
		shard, now := openShard()
		for range int(size) {
			if _, ok := shard.Draw(now, grantTokens, grantTokens); !ok {
				return nil, fmt.Errorf("a draw was refused")
			}
		}
		return shard, nil
	})
	return bytes, err
}

// shardMemory returns the bytes of idle shards, one for each organisation.
func shardMemory(_ context.Context, size float64) (float64, error) {
	bytes, _, err := heapOf(func() ([]*quota.Shard, error) {
		shards := make([]*quota.Shard, int(size))
		for index := range shards {
			shards[index], _ = openShard()
		}
		return shards, nil
	})
	return bytes, err
}

// instantSource grants what is asked for.
type instantSource struct{ next atomic.Uint64 }

// Draw implements quota.Source.
func (source *instantSource) Draw(_ context.Context, _ int, want, _ conf.Tokens) (quota.Grant, error) {
	return quota.Grant{ID: source.next.Add(1), Tokens: want, Level: plenty / maxShards, Lifetime: quota.DefaultGrantLifetime}, nil
}

// Return implements quota.Source.
func (source *instantSource) Return(context.Context, int, quota.Refund) error { return nil }

func newWallet(source quota.Transport) *quota.Client {
	return quota.NewClient(quota.ClientConfig{Transport: source, ShardCount: maxShards, Rate: plenty / 10, Burst: plenty})
}

// walletMemory returns the bytes of wallets, one for each organisation.
func walletMemory(_ context.Context, size float64) (float64, error) {
	source := &instantSource{}
	bytes, _, err := heapOf(func() ([]*quota.Client, error) {
		wallets := make([]*quota.Client, int(size))
		for index := range wallets {
			wallets[index] = newWallet(source)
		}
		return wallets, nil
	})
	return bytes, err
}

// debitMemory returns the bytes that a wallet keeps for debits of requests in
// flight.
func debitMemory(ctx context.Context, size float64) (float64, error) {
	wallet := newWallet(&instantSource{})
	bytes, _, err := heapOf(func() ([]quota.Reservation, error) {
		debits := make([]quota.Reservation, int(size))
		for index := range debits {
			debit, err := wallet.Reserve(ctx, grantTokens)
			if err != nil {
				return nil, err
			}
			wallet.Commit(debit)
			debits[index] = debit
		}
		return debits, nil
	})
	runtime.KeepAlive(wallet)
	return bytes, err
}

// draw returns the time of a draw and its settling return at a shard in ns,
// with a number of grants outstanding.
func draw(_ context.Context, size float64) (float64, error) {
	shard, now := openShard()
	for range int(size) {
		shard.Draw(now, grantTokens, grantTokens)
	}
	return timePer(20_000, func(int) {
		grant, _ := shard.Draw(now, grantTokens, grantTokens)
		shard.Return(now, grant.ID, grantTokens/2, true)
	}), nil
}

func init() {
	sizes := []float64{500, 1000, 2000, 4000, 8000}
	quick := []float64{100, 200, 300, 400}
	register(
		row{name: "memory-grant", what: "record of a grant at its shard", unit: "B",
			size: "outstanding grants", sizes: sizes, quick: quick, measure: grantMemory},
		row{name: "memory-shard", what: "idle quota shard at its host", unit: "B",
			size: "organisations", sizes: sizes, quick: quick, measure: shardMemory},
		row{name: "memory-wallet", what: "idle wallet at a side process, 8 shards", unit: "B",
			size: "organisations", sizes: sizes, quick: quick, measure: walletMemory},
		row{name: "memory-debit", what: "debit of a request in flight with the wallet's holdings", unit: "B",
			size: "requests in flight", sizes: sizes, quick: quick, measure: debitMemory},
		row{name: "time-draw", what: "draw and settling return at the shard, without transport", unit: "ns",
			size: "outstanding grants", sizes: sizes, quick: quick, measure: draw},
	)
}
