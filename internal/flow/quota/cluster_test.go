package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

var errLost = errors.New("no reply")

// cluster is an organisation's shards and wallets in memory, with the disturbances of
// a schedule. Process i hosts shard i if there is one, and a wallet.
type cluster struct {
	schedule  schedule
	observer  *observer
	mutex     sync.Mutex
	random    *rand.Rand
	processes []*process
	rate      model.Tokens
	burst     model.Tokens
	// hosts names the process that hosts each shard, or -1.
	hosts    []int
	messages int // remote requests and replies
	outcomes []outcome
	running  sync.WaitGroup
	// adapt changes the wallets of baselines.
	adapt func(*process, ClientConfig) ClientConfig
	// leased says that a restarted process does not host its shards again.
	leased bool
}

// process is one incarnation of a side process.
type process struct {
	cluster *cluster
	index   int
	shards  map[int]*Shard
	wallet  *Client
	mutex   sync.Mutex
	dead    bool
	paused  time.Time // until
}

// outcome is how one request fared.
type outcome struct {
	request request
	served  bool
	wait    time.Duration
}

func newCluster(schedule schedule, adapt func(*process, ClientConfig) ClientConfig) *cluster {
	cluster := &cluster{
		schedule: schedule,
		observer: newObserver(time.Now(), schedule.rate, schedule.burst),
		random:   rand.New(rand.NewPCG(schedule.seed, 2)),
		rate:     schedule.rate,
		burst:    schedule.burst,
		adapt:    adapt,
	}
	for shard := range schedule.shards {
		cluster.hosts = append(cluster.hosts, shard)
	}
	for index := range schedule.processes {
		cluster.processes = append(cluster.processes, cluster.launch(index))
	}
	return cluster
}

// launch starts an incarnation of a process.
func (cluster *cluster) launch(index int) *process {
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
	if cluster.adapt != nil {
		config = cluster.adapt(process, config)
	}
	process.wallet = NewClient(config)
	return process
}

func (cluster *cluster) newShard(shard int) *Shard {
	return NewShard(ShardConfig{
		Rate:  Part(cluster.rate, shard, len(cluster.hosts)),
		Burst: Part(cluster.burst, shard, len(cluster.hosts)),
		Start: time.Now(),
	})
}

// await waits while the process is paused and reports whether it lives.
func (process *process) await() bool {
	for {
		process.mutex.Lock()
		wait, dead := time.Until(process.paused), process.dead
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

// chance draws from the schedule's randomness.
func (cluster *cluster) chance(probability float64) bool { return cluster.random64() < probability }

func (cluster *cluster) random64() float64 {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.random.Float64()
}

// travel delays a message and reports whether it arrives.
func (cluster *cluster) travel() bool {
	cluster.mutex.Lock()
	cluster.messages++
	delay := time.Duration((0.5 + cluster.random.Float64()) * float64(cluster.schedule.latency))
	if cluster.random.Float64() < cluster.schedule.slow {
		delay *= 100
	}
	lost := cluster.random.Float64() < cluster.schedule.loss
	cluster.mutex.Unlock()
	time.Sleep(delay)
	return !lost
}

func (cluster *cluster) process(index int) *process {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.processes[index]
}

// host returns the process that hosts a shard.
func (cluster *cluster) host(shard int) *process {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	if cluster.hosts[shard] < 0 {
		return nil
	}
	return cluster.processes[cluster.hosts[shard]]
}

// hosted returns a shard that the process hosts.
func (process *process) hosted(shard int) *Shard {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.shards[shard]
}

// Draw implements Source.
func (process *process) Draw(ctx context.Context, shard int, want, least model.Tokens) (Grant, error) {
	return call(ctx, process, shard, func(host *Shard, now time.Time) Grant {
		grant, _ := host.Draw(now, want, least)
		return grant
	})
}

// Return implements Source.
func (process *process) Return(ctx context.Context, shard int, refund Refund) error {
	_, err := call(ctx, process, shard, func(host *Shard, now time.Time) Grant {
		host.Return(now, refund.ID, refund.Tokens, refund.Settled)
		return Grant{}
	})
	return err
}

// call runs an operation at the host of a shard. The message goes on when the
// caller gives up, and either process may be paused or killed on the way.
func call(ctx context.Context, process *process, shard int, run func(*Shard, time.Time) Grant) (Grant, error) {
	if !process.await() {
		return Grant{}, errLost
	}
	if shard := process.hosted(shard); shard != nil {
		return run(shard, time.Now()), nil
	}
	reply := make(chan Grant, 1)
	go func() {
		cluster := process.cluster
		if !process.await() || !cluster.travel() {
			return
		}
		host := cluster.host(shard)
		received := time.Now()
		if host == nil || !host.await() {
			return
		}
		if cluster.chance(0.5) {
			received = time.Now()
		}
		hosted := host.hosted(shard)
		if hosted == nil {
			return
		}
		grant := run(hosted, received)
		if host.await() && cluster.travel() && process.await() {
			reply <- grant
		}
	}()
	select {
	case grant := <-reply:
		return grant, nil
	case <-ctx.Done():
		process.await()
		return Grant{}, errLost
	}
}

// run plays the schedule and waits until everything has ended.
func (cluster *cluster) run() {
	begin := time.Now()
	for _, disturbance := range cluster.schedule.disturbances {
		cluster.running.Go(func() {
			time.Sleep(disturbance.at)
			cluster.apply(disturbance)
		})
	}
	for _, request := range cluster.schedule.requests {
		time.Sleep(time.Until(begin.Add(request.at)))
		cluster.running.Go(func() { cluster.serve(request) })
	}
	cluster.running.Wait()
	for _, process := range cluster.processes {
		process.wallet.Close(context.Background())
	}
	// Messages under way and repeated refunds end within a minute.
	time.Sleep(2 * time.Minute)
}

// serve plays one request at its process, or at the next one that lives.
func (cluster *cluster) serve(request request) {
	process := cluster.process(request.process % len(cluster.processes))
	for index := 1; process.ended() && index < len(cluster.processes); index++ {
		process = cluster.process((request.process + index) % len(cluster.processes))
	}
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), cluster.schedule.longestWait)
	defer cancel()
	for {
		debit, err := process.wallet.Reserve(ctx, request.cost)
		if beat := cluster.schedule.beat; beat > 0 {
			time.Sleep(beat - time.Since(cluster.observer.start)%beat)
		}
		if !process.await() {
			return
		}
		if err != nil {
			cluster.record(outcome{request: request})
			return
		}
		if process.wallet.Commit(debit) {
			cluster.observer.use(time.Now(), request.used)
			cluster.record(outcome{request: request, served: true, wait: time.Since(arrived)})
			time.Sleep(request.length)
			if process.await() {
				process.wallet.Settle(debit, request.used)
			}
			return
		}
		process.wallet.Settle(debit, 0)
	}
}

func (cluster *cluster) record(outcome outcome) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.outcomes = append(cluster.outcomes, outcome)
}

// apply plays one disturbance.
func (cluster *cluster) apply(disturbance disturbance) {
	switch disturbance.kind {
	case pause:
		process := cluster.process(disturbance.process)
		process.mutex.Lock()
		process.paused = time.Now().Add(disturbance.length)
		process.mutex.Unlock()
	case kill:
		process := cluster.process(disturbance.process)
		process.mutex.Lock()
		process.dead = true
		process.mutex.Unlock()
		process.wallet.Close(context.Background())
		time.Sleep(disturbance.length)
		cluster.mutex.Lock()
		cluster.processes[disturbance.process] = cluster.launch(disturbance.process)
		cluster.mutex.Unlock()
	case resize:
		cluster.resize(disturbance)
	}
}

// resize changes the limits, which reaches each process after up to 2 s, or
// later if it is paused.
func (cluster *cluster) resize(disturbance disturbance) {
	cluster.mutex.Lock()
	most := max(cluster.burst, disturbance.burst)
	cluster.observer.limit(time.Now(), max(cluster.rate, disturbance.rate), most)
	cluster.rate, cluster.burst = disturbance.rate, disturbance.burst
	processes := slices.Clone(cluster.processes)
	cluster.mutex.Unlock()
	var group sync.WaitGroup
	for index, process := range processes {
		group.Go(func() {
			time.Sleep(disturbance.length * time.Duration(index) / time.Duration(len(processes)))
			if !process.await() {
				return
			}
			for shard, hosted := range process.shards {
				hosted.Resize(time.Now(), Part(disturbance.rate, shard, len(cluster.hosts)), Part(disturbance.burst, shard, len(cluster.hosts)))
			}
			process.wallet.Resize(disturbance.rate, disturbance.burst)
		})
	}
	group.Wait()
	cluster.observer.limit(time.Now(), disturbance.rate, most)
	cluster.observer.limit(time.Now().Add(DefaultGrantLifetime+DefaultMargin), disturbance.rate, disturbance.burst)
}

// tally sums up the outcomes.
func (cluster *cluster) tally() (served, refused int) {
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
	served, refused := cluster.tally()
	t.Logf("seed %d: served %d, refused %d, messages %d, used %d, excess %.3f of the burst",
		cluster.schedule.seed, served, refused, cluster.messages, cluster.observer.used(),
		float64(cluster.observer.excess())/float64(perToken)/float64(cluster.schedule.burst))
}
