package quota

import (
	"context"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// appendLatency is how long an append to the log takes.
const appendLatency = 10 * time.Millisecond

// platformLog simulates the capacity and the outages of the platform's log.
type platformLog struct {
	mutex       sync.Mutex
	rate        int // appends per second
	nextStart   time.Time
	outageStart time.Time
	outageEnd   time.Time
	appends     int
}

// append waits until the rate of the log allows an append and reports whether the
// record was appended.
func (platformLog *platformLog) append(ctx context.Context) bool {
	platformLog.mutex.Lock()
	now := time.Now()
	if now.Before(platformLog.outageEnd) && !now.Before(platformLog.outageStart) {
		platformLog.mutex.Unlock()
		return false
	}
	start := now
	if platformLog.nextStart.After(now) {
		start = platformLog.nextStart
	}
	if deadline, ok := ctx.Deadline(); ok && start.Add(appendLatency).After(deadline) {
		platformLog.mutex.Unlock()
		<-ctx.Done()
		return false
	}
	platformLog.nextStart = start.Add(time.Second / time.Duration(platformLog.rate))
	platformLog.appends++
	platformLog.mutex.Unlock()
	time.Sleep(time.Until(start) + appendLatency)
	return true
}

// newGlobalBucket returns a cluster with one global token bucket that every
// request reaches without latency.
func newGlobalBucket(schedule schedule) *cluster {
	schedule.faults = nil
	schedule.processes, schedule.shards = 1, 1
	return newCluster(schedule, nil)
}

// newStaticDivision returns a cluster in which each process has a fixed part of
// the rate and burst.
func newStaticDivision(schedule schedule) *cluster {
	schedule.shards = schedule.processes
	return newCluster(schedule, func(process *process, config ClientConfig) ClientConfig {
		config.Transport = staticTransport{process}
		config.ShardCount, config.LocalShards = 1, []int{0}
		config.Rate = SplitPart(config.Rate, process.index, schedule.processes)
		return config
	})
}

// staticTransport maps a client's only shard to that of its process.
type staticTransport struct{ process *process }

func (transport staticTransport) Draw(ctx context.Context, _ int, want, least conf.Tokens) (Grant, error) {
	return transport.process.Draw(ctx, transport.process.index, want, least)
}

func (transport staticTransport) Return(ctx context.Context, _ int, refund Refund) error {
	return transport.process.Return(ctx, transport.process.index, refund)
}

// newLoggedBucket returns a cluster in which each draw and refund is appended to
// the log, whose order decides.
func newLoggedBucket(schedule schedule, platformLog *platformLog) *cluster {
	schedule.shards = 1
	shard := NewShard(ShardConfig{Rate: schedule.rate, Burst: schedule.burst, Start: time.Now()})
	return newCluster(schedule, func(_ *process, config ClientConfig) ClientConfig {
		config.Transport = loggedTransport{platformLog: platformLog, shard: shard}
		config.LocalShards = nil
		return config
	})
}

type loggedTransport struct {
	platformLog *platformLog
	shard       *Shard
}

func (transport loggedTransport) Draw(ctx context.Context, _ int, want, least conf.Tokens) (Grant, error) {
	if !transport.platformLog.append(ctx) {
		return Grant{}, errNoReply
	}
	grant, _ := transport.shard.Draw(time.Now(), want, least)
	return grant, nil
}

func (transport loggedTransport) Return(ctx context.Context, _ int, refund Refund) error {
	if !transport.platformLog.append(ctx) {
		return errNoReply
	}
	transport.shard.Return(time.Now(), refund.ID, refund.Tokens, refund.Settled)
	return nil
}

const (
	// leaseDuration is how long an owner may issue grants after its last append;
	// it appends every leaseRenewal.
	leaseDuration = 10 * time.Second
	leaseRenewal  = 3 * time.Second
)

// newSingleOwner returns a cluster in which one process owns the whole bucket
// under a lease that it renews on the log.
func newSingleOwner(schedule schedule, platformLog *platformLog) *cluster {
	schedule.shards = 1
	cluster := newCluster(schedule, nil)
	cluster.leased = true
	cluster.running.Go(func() { cluster.keepLease(platformLog, cluster.process(0)) })
	return cluster
}

// keepLease renews the owner's lease until the owner dies or the log is out, then
// assigns the bucket to the next process once the lease has expired.
func (cluster *cluster) keepLease(platformLog *platformLog, owner *process) {
	renewed := time.Now()
	for time.Since(cluster.boundChecker.start) < cluster.schedule.duration {
		time.Sleep(leaseRenewal)
		if owner.waitWhilePaused() && platformLog.append(context.Background()) {
			renewed = time.Now()
			continue
		}
		if time.Since(renewed) < leaseDuration {
			continue
		}
		cluster.setOwner(-1)
		owner.mutex.Lock()
		delete(owner.shards, 0)
		owner.mutex.Unlock()
		next := cluster.process((owner.index + 1) % len(cluster.processes))
		if next.waitWhilePaused() && platformLog.append(context.Background()) {
			next.mutex.Lock()
			next.shards[0] = cluster.newShard(0)
			next.mutex.Unlock()
			cluster.setOwner(next.index)
			owner, renewed = next, time.Now()
		}
	}
}

// setOwner records which process owns the bucket, or -1 for none.
func (cluster *cluster) setOwner(index int) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.hosts[0] = index
}
