package permit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

const (
	// MinRate is the rate at which permits are issued under a lower limit, even
	// under one of 0. A request now and then shows whether the limit still holds.
	MinRate Rate = 0.1
	// minAskInterval is the least time between two asks of a client. It grows by
	// askIntervalPerClient for each client of the upstream, up to maxAskInterval, so
	// that an allocator with many clients is not overloaded.
	minAskInterval       = 100 * time.Millisecond
	askIntervalPerClient = 4 * time.Millisecond
	maxAskInterval       = 2 * time.Second
	// askLifetime is for how many ask intervals an ask is answered with permits.
	askLifetime = 4
	// maxWanted bounds the permits that an ask is taken to want.
	maxWanted = 10_000
	// memberRetention is how long a client, and an upstream without clients, is
	// remembered.
	memberRetention = 10 * time.Second
	// burstTime is the time for whose length permits accrue while none is wanted.
	// At least one accrues.
	burstTime = 250 * time.Millisecond
	// deliveryTime is how long the delivery of a permit may take.
	deliveryTime = 250 * time.Millisecond
	// maxIssuePause is the longest time between two calls of Issue in which permits
	// accrue. After a longer one, another allocator may have taken over.
	maxIssuePause = time.Second
)

// Ask is what a client asks of the allocator of an upstream. A later ask replaces
// an earlier one.
type Ask struct {
	Incarnation cordon.Incarnation
	// Rate is the limit that the client knows.
	Rate Rate
	// Session tells the client's series of asks to this allocator from others.
	Session uint64
	// Wanted is the number of permits that the client wants beyond those that it
	// holds.
	Wanted int
	// Received and Returned count the permits of the session that the client has
	// received, and those of them that have expired unused.
	Received uint64
	Returned uint64
}

// Grant is the allocator's answer to a client.
type Grant struct {
	Incarnation cordon.Incarnation
	Session     uint64
	// Issued counts the permits that the session was issued.
	Issued uint64
	// Queued is the number of permits that clients want and were not issued, and
	// Clients the number of clients that ask for permits of the upstream.
	Queued  int
	Clients int
}

// askInterval returns the time between two asks of a client.
func askInterval(clients int) time.Duration {
	return min(max(minAskInterval, time.Duration(clients)*askIntervalPerClient), maxAskInterval)
}

// AddressedGrant is a grant with the client that it is for.
type AddressedGrant struct {
	Client string
	Grant  Grant
}

// Standing is a pool that an allocator keeps also while no client asks for its
// permits, so that up to Burst permits accrue.
type Standing struct {
	ID    string
	Rate  Rate
	Burst float64
}

// AllocatorConfig configures an Allocator. Zero values mean the defaults.
type AllocatorConfig struct {
	// PermitLifetime is how long clients may use a permit.
	PermitLifetime time.Duration
	// StandingOnly makes the allocator ignore asks for permits of other pools than
	// those that SetStanding sets.
	StandingOnly bool
}

// Allocator issues the permits of the pools for which its instance is responsible:
// those of upstreams with a rate limit, and those that SetStanding sets. All permits
// together are issued at the pool's rate, to the clients in turn. A new pool is
// empty: whatever its former allocator issued, both together keep to the rate. Its
// methods may be called concurrently.
type Allocator struct {
	config AllocatorConfig

	mutex sync.Mutex
	pools map[string]*pool
}

// pool holds the permits of one incarnation of an upstream, or of a standing pool.
type pool struct {
	startedAt int64
	// standing is the zero value for the pool of an upstream.
	standing Standing
	// outstandingTime is how long an issued permit may be unused.
	outstandingTime time.Duration
	// rate is the lowest rate that clients know.
	rate Rate
	// permits is the number of permits that may be issued, as of filledAt.
	permits  float64
	filledAt time.Time
	// issued holds when permits were issued within outstandingTime, without as many
	// as were returned.
	issued  []time.Time
	members map[string]*member
}

// member is a client that asks for permits of an upstream.
type member struct {
	ask     Ask
	askedAt time.Time
	// issued counts the permits issued in the session, the last one at issuedAt.
	issued   uint64
	issuedAt time.Time
	// unanswered means that the last ask has not been answered.
	unanswered bool
}

// NewAllocator returns an Allocator that has issued nothing.
func NewAllocator(config AllocatorConfig) *Allocator {
	config.PermitLifetime = cmp.Or(config.PermitLifetime, DefaultPermitLifetime)
	return &Allocator{config: config, pools: make(map[string]*pool)}
}

func (allocator *Allocator) newPool(startedAt int64) *pool {
	return &pool{
		startedAt: startedAt, outstandingTime: allocator.config.PermitLifetime + deliveryTime,
		rate: MinRate, filledAt: time.Now(), members: make(map[string]*member),
	}
}

// SetStanding sets the standing pools for which this instance is responsible. Those
// that it was not responsible for before are empty.
func (allocator *Allocator) SetStanding(standing []Standing) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	named := make(map[string]bool, len(standing))
	for _, wanted := range standing {
		named[wanted.ID] = true
		found, ok := allocator.pools[wanted.ID]
		if !ok {
			found = allocator.newPool(0)
			allocator.pools[wanted.ID] = found
		}
		found.standing = wanted
	}
	maps.DeleteFunc(allocator.pools, func(id string, pool *pool) bool { return pool.standing.ID != "" && !named[id] })
}

// Idle reports whether there are neither clients nor standing pools.
func (allocator *Allocator) Idle() bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return len(allocator.pools) == 0
}

// SetAsk records an ask. Permits that were returned may be issued again.
func (allocator *Allocator) SetAsk(client string, ask Ask) {
	if !ask.Rate.Valid() {
		return
	}
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	found, ok := allocator.pools[ask.Incarnation.ID]
	switch {
	case ok && ask.Incarnation.StartedAt < found.startedAt:
		return
	case !ok && allocator.config.StandingOnly:
		return
	case !ok || ask.Incarnation.StartedAt > found.startedAt:
		found = allocator.newPool(ask.Incarnation.StartedAt)
		allocator.pools[ask.Incarnation.ID] = found
	}
	asking, ok := found.members[client]
	if !ok || asking.ask.Session != ask.Session {
		asking = &member{ask: ask, issued: ask.Received}
		found.members[client] = asking
	}
	if ask.Returned > asking.ask.Returned {
		found.takeBack(ask.Returned - asking.ask.Returned)
	}
	ask.Returned = max(ask.Returned, asking.ask.Returned)
	ask.Wanted = min(ask.Wanted, maxWanted)
	asking.ask, asking.askedAt, asking.unanswered = ask, time.Now(), true
}

// Issue issues the permits that are due and returns the answers to the clients
// that asked or get permits. Fraction is the part of the rates that this allocator
// may issue.
func (allocator *Allocator) Issue(fraction float64) []AddressedGrant {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	now := time.Now()
	var grants []AddressedGrant
	for _, id := range slices.Sorted(maps.Keys(allocator.pools)) {
		pool := allocator.pools[id]
		maps.DeleteFunc(pool.members, func(_ string, member *member) bool { return now.Sub(member.askedAt) > memberRetention })
		if len(pool.members) == 0 && pool.standing.ID == "" {
			delete(allocator.pools, id)
			continue
		}
		pool.fill(now, fraction)
		grants = append(grants, pool.issue(now)...)
	}
	return grants
}

// asks reports whether the member has asked within the lifetime of an ask.
func (pool *pool) asks(member *member, now time.Time) bool {
	return now.Sub(member.askedAt) <= askLifetime*askInterval(len(pool.members))
}

// updateRate sets the rate to the lowest that the clients lately named, and that of
// a standing pool.
func (pool *pool) updateRate(now time.Time) {
	lowest := Unlimited
	if pool.standing.ID != "" {
		lowest = pool.standing.Rate
	}
	for _, member := range pool.members {
		if pool.asks(member, now) {
			lowest = min(lowest, member.ask.Rate)
		}
	}
	if lowest != Unlimited {
		pool.rate = max(lowest, MinRate)
	}
}

// takeBack takes back permits that expired unused.
func (pool *pool) takeBack(count uint64) {
	count = min(count, uint64(len(pool.issued)))
	pool.issued = pool.issued[count:]
	pool.permits += float64(count)
}

// fill adds the permits that have accrued. Those that may be unused and those that
// may be issued are together no more than accrue in outstandingTime and in a burst,
// since clients may use all of them at once.
func (pool *pool) fill(now time.Time, fraction float64) {
	pool.updateRate(now)
	for len(pool.issued) > 0 && now.Sub(pool.issued[0]) > pool.outstandingTime {
		pool.issued = pool.issued[1:]
	}
	elapsed := now.Sub(pool.filledAt)
	if elapsed > maxIssuePause {
		pool.permits, elapsed = 0, 0
	}
	rate := float64(pool.rate) * fraction
	burst := pool.burst(rate, fraction)
	limit := max(min(burst, burst+rate*pool.outstandingTime.Seconds()-float64(len(pool.issued))), 0)
	pool.permits = min(pool.permits+rate*elapsed.Seconds(), limit)
	pool.filledAt = now
}

// burst returns how many permits accrue while none is wanted. At least one does,
// unless the part of a standing pool that this allocator may issue is no majority.
func (pool *pool) burst(rate, fraction float64) float64 {
	if pool.standing.ID == "" {
		return max(1, rate*burstTime.Seconds())
	}
	burst := pool.standing.Burst * fraction
	if fraction > 0.5 {
		burst = max(1, burst)
	}
	return burst
}

// issue issues permits, one at a time to the client that was last issued one the
// longest time ago.
func (pool *pool) issue(now time.Time) []AddressedGrant {
	waiting := make([]string, 0, len(pool.members))
	for client, member := range pool.members {
		if pool.missing(member, now) > 0 {
			waiting = append(waiting, client)
		}
	}
	slices.SortFunc(waiting, func(a, b string) int {
		return cmp.Or(pool.members[a].issuedAt.Compare(pool.members[b].issuedAt), cmp.Compare(a, b))
	})
	for len(waiting) > 0 && pool.permits >= 1 {
		client := waiting[0]
		served := pool.members[client]
		served.issued, served.issuedAt, served.unanswered = served.issued+1, now, true
		pool.permits--
		pool.issued = append(pool.issued, now)
		waiting = waiting[1:]
		if pool.missing(served, now) > 0 {
			waiting = append(waiting, client)
		}
	}
	return pool.answers(now)
}

// answers returns the answers to the clients that asked or got permits.
func (pool *pool) answers(now time.Time) []AddressedGrant {
	queued := 0
	for _, member := range pool.members {
		queued += pool.missing(member, now)
	}
	var grants []AddressedGrant
	for _, client := range slices.Sorted(maps.Keys(pool.members)) {
		member := pool.members[client]
		if !member.unanswered {
			continue
		}
		member.unanswered = false
		grants = append(grants, AddressedGrant{Client: client, Grant: Grant{
			Incarnation: member.ask.Incarnation, Session: member.ask.Session, Issued: member.issued, Queued: queued, Clients: len(pool.members),
		}})
	}
	return grants
}

// missing returns the number of permits that the member wants and was not issued.
func (pool *pool) missing(member *member, now time.Time) int {
	if !pool.asks(member, now) {
		return 0
	}
	underway := member.issued - min(member.ask.Received, member.issued)
	return max(member.ask.Wanted-int(min(underway, maxWanted)), 0)
}
