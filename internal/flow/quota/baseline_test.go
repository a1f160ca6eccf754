package quota

import (
	"context"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// appendTime is how long an append to the log takes.
const appendTime = 10 * time.Millisecond

// logbook is the platform's log as far as its capacity and outages matter.
type logbook struct {
	mutex   sync.Mutex
	rate    int // appends per second
	next    time.Time
	from    time.Time // outage
	until   time.Time
	appends int
}

// append waits for its turn and reports whether the record was appended.
func (logbook *logbook) append(ctx context.Context) bool {
	logbook.mutex.Lock()
	now := time.Now()
	if now.Before(logbook.until) && !now.Before(logbook.from) {
		logbook.mutex.Unlock()
		return false
	}
	turn := now
	if logbook.next.After(now) {
		turn = logbook.next
	}
	if deadline, ok := ctx.Deadline(); ok && turn.Add(appendTime).After(deadline) {
		logbook.mutex.Unlock()
		<-ctx.Done()
		return false
	}
	logbook.next = turn.Add(time.Second / time.Duration(logbook.rate))
	logbook.appends++
	logbook.mutex.Unlock()
	time.Sleep(time.Until(turn) + appendTime)
	return true
}

// newReference returns a cluster with one global token bucket that every
// request reaches in no time.
func newReference(schedule schedule) *cluster {
	schedule.disturbances = nil
	schedule.processes, schedule.shards = 1, 1
	return newCluster(schedule, nil)
}

// newStatic returns a cluster in which each process has a fixed part of the
// rate and burst.
func newStatic(schedule schedule) *cluster {
	schedule.shards = schedule.processes
	return newCluster(schedule, func(process *process, config ClientConfig) ClientConfig {
		config.Transport = staticSource{process}
		config.ShardCount, config.LocalShards = 1, []int{0}
		config.Rate = Part(config.Rate, process.index, schedule.processes)
		return config
	})
}

// staticSource maps a wallet's only shard to that of its process.
type staticSource struct{ process *process }

func (source staticSource) Draw(ctx context.Context, _ int, want, least model.Tokens) (Grant, error) {
	return source.process.Draw(ctx, source.process.index, want, least)
}

func (source staticSource) Return(ctx context.Context, _ int, refund Refund) error {
	return source.process.Return(ctx, source.process.index, refund)
}

// newRecorded returns a cluster in which each draw and return is recorded on
// the log, whose order decides.
func newRecorded(schedule schedule, logbook *logbook) *cluster {
	schedule.shards = 1
	shard := NewShard(ShardConfig{Rate: schedule.rate, Burst: schedule.burst, Start: time.Now()})
	return newCluster(schedule, func(_ *process, config ClientConfig) ClientConfig {
		config.Transport = recordedSource{logbook: logbook, shard: shard}
		config.LocalShards = nil
		return config
	})
}

type recordedSource struct {
	logbook *logbook
	shard   *Shard
}

func (source recordedSource) Draw(ctx context.Context, _ int, want, least model.Tokens) (Grant, error) {
	if !source.logbook.append(ctx) {
		return Grant{}, errLost
	}
	grant, _ := source.shard.Draw(time.Now(), want, least)
	return grant, nil
}

func (source recordedSource) Return(ctx context.Context, _ int, refund Refund) error {
	if !source.logbook.append(ctx) {
		return errLost
	}
	source.shard.Return(time.Now(), refund.ID, refund.Tokens, refund.Settled)
	return nil
}

const (
	// leaseTime is how long an owner may grant after its last append, and
	// renewal how often it appends.
	leaseTime = 10 * time.Second
	renewal   = 3 * time.Second
)

// newOwned returns a cluster in which one process owns the whole bucket under a
// lease that it renews on the log.
func newOwned(schedule schedule, logbook *logbook) *cluster {
	schedule.shards = 1
	cluster := newCluster(schedule, nil)
	cluster.leased = true
	cluster.running.Go(func() { cluster.lease(logbook, cluster.process(0)) })
	return cluster
}

// lease renews the owner's lease until it dies or the log is out, then passes
// the bucket on once the lease has lapsed.
func (cluster *cluster) lease(logbook *logbook, owner *process) {
	renewed := time.Now()
	for time.Since(cluster.observer.start) < cluster.schedule.span {
		time.Sleep(renewal)
		if owner.await() && logbook.append(context.Background()) {
			renewed = time.Now()
			continue
		}
		if time.Since(renewed) < leaseTime {
			continue
		}
		cluster.assign(-1)
		owner.mutex.Lock()
		delete(owner.shards, 0)
		owner.mutex.Unlock()
		next := cluster.process((owner.index + 1) % len(cluster.processes))
		if next.await() && logbook.append(context.Background()) {
			next.mutex.Lock()
			next.shards[0] = cluster.newShard(0)
			next.mutex.Unlock()
			cluster.assign(next.index)
			owner, renewed = next, time.Now()
		}
	}
}

// assign records which process owns the bucket.
func (cluster *cluster) assign(index int) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.hosts[0] = index
}
