package permit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

const (
	// permitLifetime is how long a permit may be used after it was received.
	permitLifetime = time.Second
	// leadIntervals is the number of ask intervals for whose requests permits are
	// asked in advance.
	leadIntervals = 2
	// demandIntervals is for how many ask intervals after the last request for an
	// upstream a permit is asked for the next one.
	demandIntervals = 5
	// stockTime is how long after the last request a permit is asked for the next
	// one while permits are not scarce.
	stockTime = 5 * time.Second
	// accountRetention is how long an upstream without requests is remembered.
	accountRetention = 10 * time.Second
	// maxBatch bounds the permits taken from one grant.
	maxBatch = 100_000
)

// AddressedAsk is an ask with the allocator that it is for.
type AddressedAsk struct {
	Allocator string
	Ask       Ask
}

// Client holds the permits of one instance. It asks for them in advance, by the
// requests that lately wanted to be sent to an upstream. Its methods may be called
// concurrently.
type Client struct {
	mutex    sync.Mutex
	accounts map[string]*account
}

// account holds the permits for one incarnation of an upstream.
type account struct {
	startedAt int64
	batches   []batch
	// wantedAt holds when each request last wanted to be sent there, and usedAt when
	// any did.
	wantedAt map[uint64]time.Time
	usedAt   time.Time
	// allocator is the instance that is asked, and session the series of asks.
	allocator          string
	session            uint64
	received, returned uint64
	queued, clients    int
	asked              Ask
	askedAt            time.Time
}

// batch is a number of permits that expire together.
type batch struct {
	count     uint64
	expiresAt time.Time
}

// NewClient returns a Client without permits.
func NewClient() *Client { return &Client{accounts: make(map[string]*account)} }

// Want records that a request wants to be sent to an upstream, and returns the
// number of permits held for it.
func (client *Client) Want(incarnation cordon.Incarnation, request uint64) int {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	account, now := client.accountFor(incarnation), time.Now()
	account.wantedAt[request], account.usedAt = now, now
	return account.held(now)
}

// Take uses a permit for an upstream and reports whether there was one.
func (client *Client) Take(incarnation cordon.Incarnation) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	account := client.accountFor(incarnation)
	if account.held(time.Now()) == 0 {
		return false
	}
	account.batches[0].count--
	return true
}

// Wait returns the expected time until a permit for an upstream with a rate limit
// is received.
func (client *Client) Wait(incarnation cordon.Incarnation, rate Rate) time.Duration {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	account := client.accountFor(incarnation)
	queued := max(account.queued, account.asked.Wanted, 1)
	return time.Duration(float64(queued) / float64(max(rate, MinRate)) * float64(time.Second))
}

// Accept adds the permits of a grant and reports whether there were any new ones.
func (client *Client) Accept(grant Grant) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	account, ok := client.accounts[grant.Incarnation.ID]
	if !ok || account.startedAt != grant.Incarnation.StartedAt || account.session != grant.Session {
		return false
	}
	account.queued, account.clients = grant.Queued, grant.Clients
	if grant.Issued <= account.received {
		return false
	}
	count := min(grant.Issued-account.received, maxBatch)
	account.received = grant.Issued
	account.batches = append(account.batches, batch{count: count, expiresAt: time.Now().Add(permitLifetime)})
	return true
}

// Asks returns the asks that are due. RateOf returns the limit of an upstream, and
// allocatorOf the instance that allocates its permits.
func (client *Client) Asks(rateOf func(cordon.Incarnation) Rate, allocatorOf func(id string) string) []AddressedAsk {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(client.accounts, func(_ string, account *account) bool { return now.Sub(account.usedAt) > accountRetention })
	var asks []AddressedAsk
	for _, id := range slices.Sorted(maps.Keys(client.accounts)) {
		account := client.accounts[id]
		incarnation := cordon.Incarnation{ID: id, StartedAt: account.startedAt}
		rate := rateOf(incarnation)
		if rate == Unlimited {
			delete(client.accounts, id)
			continue
		}
		account.address(allocatorOf(id))
		if ask, due := account.ask(incarnation, rate, now); due {
			asks = append(asks, AddressedAsk{Allocator: account.allocator, Ask: ask})
		}
	}
	return asks
}

// accountFor returns the account of an incarnation, which it creates if needed.
func (client *Client) accountFor(incarnation cordon.Incarnation) *account {
	found, ok := client.accounts[incarnation.ID]
	if !ok || found.startedAt != incarnation.StartedAt {
		found = &account{startedAt: incarnation.StartedAt, wantedAt: make(map[uint64]time.Time), usedAt: time.Now()}
		client.accounts[incarnation.ID] = found
	}
	return found
}

// held returns the number of permits that have not expired.
func (account *account) held(now time.Time) int {
	for len(account.batches) > 0 {
		oldest := account.batches[0]
		if oldest.count > 0 && now.Before(oldest.expiresAt) {
			break
		}
		account.returned += oldest.count
		account.batches = account.batches[1:]
	}
	var sum uint64
	for _, batch := range account.batches {
		sum += batch.count
	}
	return int(sum)
}

// wanted returns the number of permits to have at hand: as many as requests lately
// wanted.
func (account *account) wanted(now time.Time) int {
	interval := askInterval(account.clients)
	maps.DeleteFunc(account.wantedAt, func(_ uint64, at time.Time) bool { return now.Sub(at) > leadIntervals*interval })
	retention := demandIntervals * interval
	if account.queued == 0 {
		retention = max(retention, stockTime)
	}
	if len(account.wantedAt) == 0 && now.Sub(account.usedAt) <= retention {
		return 1
	}
	return len(account.wantedAt)
}

// address begins a new session if another allocator is to be asked.
func (account *account) address(allocator string) {
	if account.allocator == allocator {
		return
	}
	account.allocator, account.session = allocator, rand.Uint64()
	account.received, account.returned, account.queued, account.clients = 0, 0, 0, 0
	account.asked, account.askedAt = Ask{}, time.Time{}
	// The new allocator did not issue the permits of the former one.
	account.batches = nil
}

// ask returns what to ask of the allocator, and whether that is due.
func (account *account) ask(incarnation cordon.Incarnation, rate Rate, now time.Time) (ask Ask, due bool) {
	held := account.held(now)
	ask = Ask{
		Incarnation: incarnation, Rate: rate, Session: account.session, Wanted: max(account.wanted(now)-held, 0),
		Received: account.received, Returned: account.returned,
	}
	first := account.asked.Session != account.session
	switch {
	case first && ask.Wanted == 0, !first && now.Sub(account.askedAt) < askInterval(account.clients):
		return ask, false
	case ask == account.asked && ask.Wanted == 0:
		return ask, false
	}
	account.asked, account.askedAt = ask, now
	return ask, true
}
