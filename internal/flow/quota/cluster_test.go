package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

var errNoReply = errors.New("no reply")

// cluster simulates an organisation's shards and clients in memory, with the
// faults of a schedule. Process i hosts a client, and shard i if there is one.
type cluster struct {
	schedule     schedule
	boundChecker *boundChecker
	mutex        sync.Mutex
	random       *rand.Rand
	processes    []*process
	rate         conf.Tokens
	burst        conf.Tokens
	// hosts is the index of the process that hosts each shard, or -1.
	hosts    []int
	messages int // remote requests and replies
	outcomes []outcome
	running  sync.WaitGroup
	// adjustClient changes the clients' configuration in baselines.
	adjustClient func(*process, ClientConfig) ClientConfig
	// leased is set if a restarted process does not host its shards again.
	leased bool
}

// process is one incarnation of a side process.
type process struct {
	cluster     *cluster
	index       int
	shards      map[int]*Shard
	client      *Client
	mutex       sync.Mutex
	dead        bool
	pausedUntil time.Time
}

// outcome is the result of one request.
type outcome struct {
	request request
	served  bool
	wait    time.Duration
}

func newCluster(schedule schedule, adjustClient func(*process, ClientConfig) ClientConfig) *cluster {
	cluster := &cluster{
		schedule:     schedule,
		boundChecker: newBoundChecker(time.Now(), schedule.rate, schedule.burst),
		random:       rand.New(rand.NewPCG(schedule.seed, 2)),
		rate:         schedule.rate,
		burst:        schedule.burst,
		adjustClient: adjustClient,
	}
	for shard := range schedule.shards {
		cluster.hosts = append(cluster.hosts, shard)
	}
	for index := range schedule.processes {
		cluster.processes = append(cluster.processes, cluster.startProcess(index))
	}
	return cluster
}

// startProcess starts an incarnation of a process.
func (cluster *cluster) startProcess(index int) *process {
	process := &process{cluster: cluster, index: index, shards: map[int]*Shard{}}
	var own []int
	for shard, host := range cluster.hosts {
		if host == index && !cluster.leased {
			own = append(own, shard)
			process.shards[shard] = cluster.newShard(shard)
		}
	}
	config := ClientConfig{
		Transport: process, ShardCount: len(cluster.hosts), LocalShards: own,
		Rate: cluster.rate, Burst: cluster.burst, Seed: cluster.schedule.seed*1000 + uint64(index),
	}
	if cluster.adjustClient != nil {
		config = cluster.adjustClient(process, config)
	}
	process.client = NewClient(config)
	return process
}

func (cluster *cluster) newShard(shard int) *Shard {
	return NewShard(ShardConfig{
		Rate:  SplitPart(cluster.rate, shard, len(cluster.hosts)),
		Burst: SplitPart(cluster.burst, shard, len(cluster.hosts)),
		Start: time.Now(),
	})
}

// waitWhilePaused waits while the process is paused and reports whether it is
// alive.
func (process *process) waitWhilePaused() bool {
	for {
		process.mutex.Lock()
		wait, dead := time.Until(process.pausedUntil), process.dead
		process.mutex.Unlock()
		if dead || wait <= 0 {
			return !dead
		}
		time.Sleep(wait)
	}
}

func (process *process) ended() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.dead
}

// chance returns true with the given probability.
func (cluster *cluster) chance(probability float64) bool { return cluster.randomFloat() < probability }

func (cluster *cluster) randomFloat() float64 {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.random.Float64()
}

// deliver delays a message and reports whether it arrives.
func (cluster *cluster) deliver() bool {
	cluster.mutex.Lock()
	cluster.messages++
	delay := time.Duration((0.5 + cluster.random.Float64()) * float64(cluster.schedule.latency))
	if cluster.random.Float64() < cluster.schedule.slowRate {
		delay *= 100
	}
	lost := cluster.random.Float64() < cluster.schedule.lossRate
	cluster.mutex.Unlock()
	time.Sleep(delay)
	return !lost
}

func (cluster *cluster) process(index int) *process {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.processes[index]
}

// host returns the process that hosts a shard, or nil.
func (cluster *cluster) host(shard int) *process {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	if cluster.hosts[shard] < 0 {
		return nil
	}
	return cluster.processes[cluster.hosts[shard]]
}

// localShard returns a shard that the process hosts, or nil.
func (process *process) localShard(shard int) *Shard {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.shards[shard]
}

// Draw implements Transport.
func (process *process) Draw(ctx context.Context, shard int, want, least conf.Tokens) (Grant, error) {
	return call(ctx, process, shard, func(host *Shard, now time.Time) Grant {
		grant, _ := host.Draw(now, want, least)
		return grant
	})
}

// Return implements Transport.
func (process *process) Return(ctx context.Context, shard int, refund Refund) error {
	_, err := call(ctx, process, shard, func(host *Shard, now time.Time) Grant {
		host.Return(now, refund.ID, refund.Tokens, refund.Settled)
		return Grant{}
	})
	return err
}

// call runs an operation at the host of a shard. The message is delivered even if
// the caller gives up, and either process may be paused or killed meanwhile.
func call(ctx context.Context, process *process, shard int, run func(*Shard, time.Time) Grant) (Grant, error) {
	if !process.waitWhilePaused() {
		return Grant{}, errNoReply
	}
	if shard := process.localShard(shard); shard != nil {
		return run(shard, time.Now()), nil
	}
	reply := make(chan Grant, 1)
	go func() {
		cluster := process.cluster
		if !process.waitWhilePaused() || !cluster.deliver() {
			return
		}
		host := cluster.host(shard)
		received := time.Now()
		if host == nil || !host.waitWhilePaused() {
			return
		}
		if cluster.chance(0.5) {
			received = time.Now()
		}
		hosted := host.localShard(shard)
		if hosted == nil {
			return
		}
		grant := run(hosted, received)
		if host.waitWhilePaused() && cluster.deliver() && process.waitWhilePaused() {
			reply <- grant
		}
	}()
	select {
	case grant := <-reply:
		return grant, nil
	case <-ctx.Done():
		process.waitWhilePaused()
		return Grant{}, errNoReply
	}
}

// run executes the schedule and waits until everything has ended.
func (cluster *cluster) run() {
	begin := time.Now()
	for _, injectedFault := range cluster.schedule.faults {
		cluster.running.Go(func() {
			time.Sleep(injectedFault.at)
			cluster.apply(injectedFault)
		})
	}
	for _, request := range cluster.schedule.requests {
		time.Sleep(time.Until(begin.Add(request.at)))
		cluster.running.Go(func() { cluster.serve(request) })
	}
	cluster.running.Wait()
	for _, process := range cluster.processes {
		process.client.Close(context.Background())
	}
	// Pending messages and repeated refunds end within a minute.
	time.Sleep(2 * time.Minute)
}

// serve runs one request at its process, or at the next process that is alive.
func (cluster *cluster) serve(request request) {
	process := cluster.process(request.process % len(cluster.processes))
	for index := 1; process.ended() && index < len(cluster.processes); index++ {
		process = cluster.process((request.process + index) % len(cluster.processes))
	}
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), cluster.schedule.maxWait)
	defer cancel()
	for {
		reservation, err := process.client.Reserve(ctx, request.cost)
		if interval := cluster.schedule.dispatchInterval; interval > 0 {
			time.Sleep(interval - time.Since(cluster.boundChecker.start)%interval)
		}
		if !process.waitWhilePaused() {
			return
		}
		if err != nil {
			cluster.record(outcome{request: request})
			return
		}
		if process.client.Commit(reservation) {
			cluster.boundChecker.recordUse(time.Now(), request.used)
			cluster.record(outcome{request: request, served: true, wait: time.Since(arrived)})
			time.Sleep(request.length)
			if process.waitWhilePaused() {
				process.client.Settle(reservation, request.used)
			}
			return
		}
		process.client.Settle(reservation, 0)
	}
}

func (cluster *cluster) record(outcome outcome) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.outcomes = append(cluster.outcomes, outcome)
}

// apply injects one fault.
func (cluster *cluster) apply(injectedFault injectedFault) {
	switch injectedFault.kind {
	case pause:
		process := cluster.process(injectedFault.process)
		process.mutex.Lock()
		process.pausedUntil = time.Now().Add(injectedFault.length)
		process.mutex.Unlock()
	case kill:
		process := cluster.process(injectedFault.process)
		process.mutex.Lock()
		process.dead = true
		process.mutex.Unlock()
		process.client.Close(context.Background())
		time.Sleep(injectedFault.length)
		cluster.mutex.Lock()
		cluster.processes[injectedFault.process] = cluster.startProcess(injectedFault.process)
		cluster.mutex.Unlock()
	case resize:
		cluster.resize(injectedFault)
	}
}

// resize changes the limits. The change reaches each process after up to 2 s, or
// later if the process is paused.
func (cluster *cluster) resize(injectedFault injectedFault) {
	cluster.mutex.Lock()
	higherBurst := max(cluster.burst, injectedFault.burst)
	cluster.boundChecker.recordLimits(time.Now(), max(cluster.rate, injectedFault.rate), higherBurst)
	cluster.rate, cluster.burst = injectedFault.rate, injectedFault.burst
	processes := slices.Clone(cluster.processes)
	cluster.mutex.Unlock()
	var group sync.WaitGroup
	for index, process := range processes {
		group.Go(func() {
			time.Sleep(injectedFault.length * time.Duration(index) / time.Duration(len(processes)))
			if !process.waitWhilePaused() {
				return
			}
			for shard, hosted := range process.shards {
				hosted.Resize(time.Now(), SplitPart(injectedFault.rate, shard, len(cluster.hosts)), SplitPart(injectedFault.burst, shard, len(cluster.hosts)))
			}
			process.client.Resize(injectedFault.rate, injectedFault.burst)
		})
	}
	group.Wait()
	cluster.boundChecker.recordLimits(time.Now(), injectedFault.rate, higherBurst)
	cluster.boundChecker.recordLimits(time.Now().Add(DefaultGrantLifetime+DefaultGrantMargin), injectedFault.rate, injectedFault.burst)
}

// countOutcomes counts the served and the refused requests.
func (cluster *cluster) countOutcomes() (served, refused int) {
	for _, outcome := range cluster.outcomes {
		if outcome.served {
			served++
			continue
		}
		refused++
	}
	return served, refused
}

func logOutcome(t *testing.T, cluster *cluster) {
	t.Helper()
	served, refused := cluster.countOutcomes()
	t.Logf("seed %d: served %d, refused %d, messages %d, used %d, excess %.3f of the burst",
		cluster.schedule.seed, served, refused, cluster.messages, cluster.boundChecker.used(),
		float64(cluster.boundChecker.excess())/float64(nanosPerToken)/float64(cluster.schedule.burst))
}
