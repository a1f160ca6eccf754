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

// shardsPerOrganisation is the number of quota shards of an organisation.
const shardsPerOrganisation = 8

// grantTokens is the size of the grants in these rows. Costs do not depend on it.
const grantTokens = 100

// unlimitedRate is a rate, in tokens a second, at which no draw is refused.
const unlimitedRate conf.Tokens = 1_000_000_000

// newUnlimitedShard returns a shard that refuses no draw, and the time to pass to
// its methods.
func newUnlimitedShard() (*quota.Shard, time.Time) {
	start := time.Now()
	shard := quota.NewShard(quota.ShardConfig{Rate: unlimitedRate, Burst: unlimitedRate, Start: start})
	return shard, start.Add(10 * time.Second)
}

// grantHeap returns the bytes that a shard keeps for its grants.
func grantHeap(_ context.Context, size float64) (float64, error) {
	bytes, _, err := retainedHeap(func() (*quota.Shard, error) {
		shard, now := newUnlimitedShard()
		for range int(size) {
			if _, ok := shard.Draw(now, grantTokens, grantTokens); !ok {
				return nil, fmt.Errorf("a draw was refused")
			}
		}
		return shard, nil
	})
	return bytes, err
}

// shardHeap returns the bytes of idle shards, one for each organisation.
func shardHeap(_ context.Context, size float64) (float64, error) {
	bytes, _, err := retainedHeap(func() ([]*quota.Shard, error) {
		shards := make([]*quota.Shard, int(size))
		for index := range shards {
			shards[index], _ = newUnlimitedShard()
		}
		return shards, nil
	})
	return bytes, err
}

// grantingTransport is a quota.Transport that grants every draw in full.
type grantingTransport struct{ lastID atomic.Uint64 }

// Draw implements quota.Transport.
func (transport *grantingTransport) Draw(_ context.Context, _ int, want, _ conf.Tokens) (quota.Grant, error) {
	return quota.Grant{ID: transport.lastID.Add(1), Tokens: want, Level: unlimitedRate / shardsPerOrganisation, Lifetime: quota.DefaultGrantLifetime}, nil
}

// Return implements quota.Transport.
func (transport *grantingTransport) Return(context.Context, int, quota.Refund) error { return nil }

func newQuotaClient(transport quota.Transport) *quota.Client {
	return quota.NewClient(quota.ClientConfig{Transport: transport, ShardCount: shardsPerOrganisation, Rate: unlimitedRate / 10, Burst: unlimitedRate})
}

// quotaClientHeap returns the bytes of idle quota clients, one for each
// organisation.
func quotaClientHeap(_ context.Context, size float64) (float64, error) {
	transport := &grantingTransport{}
	bytes, _, err := retainedHeap(func() ([]*quota.Client, error) {
		clients := make([]*quota.Client, int(size))
		for index := range clients {
			clients[index] = newQuotaClient(transport)
		}
		return clients, nil
	})
	return bytes, err
}

// reservationHeap returns the bytes that a quota client keeps for the
// reservations of requests in flight.
func reservationHeap(ctx context.Context, size float64) (float64, error) {
	client := newQuotaClient(&grantingTransport{})
	bytes, _, err := retainedHeap(func() ([]quota.Reservation, error) {
		reservations := make([]quota.Reservation, int(size))
		for index := range reservations {
			reservation, err := client.Reserve(ctx, grantTokens)
			if err != nil {
				return nil, err
			}
			client.Commit(reservation)
			reservations[index] = reservation
		}
		return reservations, nil
	})
	runtime.KeepAlive(client)
	return bytes, err
}

// drawTime returns the processor time in ns of a draw at a shard and the return
// that settles it, while size other grants are outstanding.
func drawTime(_ context.Context, size float64) (float64, error) {
	shard, now := newUnlimitedShard()
	for range int(size) {
		shard.Draw(now, grantTokens, grantTokens)
	}
	return threadTimePerCall(20_000, func(int) {
		grant, _ := shard.Draw(now, grantTokens, grantTokens)
		shard.Return(now, grant.ID, grantTokens/2, true)
	}), nil
}

func init() {
	sizes := []float64{500, 1000, 2000, 4000, 8000}
	quick := []float64{100, 200, 300, 400}
	register(
		row{name: "memory-grant", description: "record of a grant at its shard", unit: "B",
			sizeName: "outstanding grants", sizes: sizes, quickSizes: quick, measure: grantHeap},
		row{name: "memory-shard", description: "idle quota shard at its host", unit: "B",
			sizeName: "organisations", sizes: sizes, quickSizes: quick, measure: shardHeap},
		row{name: "memory-wallet", description: "idle wallet at a side process, 8 shards", unit: "B",
			sizeName: "organisations", sizes: sizes, quickSizes: quick, measure: quotaClientHeap},
		row{name: "memory-debit", description: "debit of a request in flight with the wallet's holdings", unit: "B",
			sizeName: "requests in flight", sizes: sizes, quickSizes: quick, measure: reservationHeap},
		row{name: "time-draw", description: "draw and settling return at the shard, without transport", unit: "ns",
			sizeName: "outstanding grants", sizes: sizes, quickSizes: quick, measure: drawTime},
	)
}
