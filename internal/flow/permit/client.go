package permit

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

const (
	// DefaultPermitLifetime is how long a permit may be used after it was received.
	DefaultPermitLifetime = time.Second
	// answerTimeout is how long a request waits for the allocator's answer before it
	// is sent elsewhere.
	answerTimeout = 15 * time.Millisecond
	// wantLifetime is how long a request counts as wanting a permit after that was
	// last recorded.
	wantLifetime = 100 * time.Millisecond
	// asksPerPermit is how often all clients together ask for each permit that
	// accrues, after they were denied one.
	asksPerPermit = 10
	// minBackoff and maxBackoff bound the time for which a client that was denied a
	// permit asks for none, unless its requests cannot be sent elsewhere.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
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

// Client holds the permits of one instance. It asks for them when requests want
// them. Its methods may be called concurrently.
type Client struct {
	permitLifetime time.Duration

	mutex    sync.Mutex
	accounts map[string]*account
	// exchangedAt is when permits were last exchanged.
	exchangedAt time.Time
}

// account holds the permits for one incarnation of an upstream.
type account struct {
	startedAt int64
	batches   []batch
	// wants holds the requests that want a permit.
	wants  map[uint64]want
	usedAt time.Time
	// allocator is the instance that is asked, and session the series of asks.
	allocator          string
	session            uint64
	received, returned uint64
	queued, clients    int
	asked              Ask
	askedAt            time.Time
	// answeredAt is when the allocator last answered, and deniedAt when clients last
	// wanted more permits than it had.
	answeredAt, deniedAt time.Time
}

// want is the demand of a request for a permit: since when it waits for an answer,
// and when it was last recorded.
type want struct {
	since, at time.Time
}

// batch is a number of permits that expire together.
type batch struct {
	count     uint64
	expiresAt time.Time
}

// Admission says whether a request may be sent to an upstream with a rate limit.
type Admission struct {
	// Held is the number of permits at hand.
	Held int
	// Pending means that a permit may be received at once, if the request wants it.
	Pending bool
	// Wait is the expected time until a permit is received.
	Wait time.Duration
}

// ClientConfig configures a Client. Zero values mean the defaults.
type ClientConfig struct {
	// PermitLifetime is how long a permit may be used, as in AllocatorConfig.
	PermitLifetime time.Duration
}

// NewClient returns a Client without permits.
func NewClient(config ClientConfig) *Client {
	return &Client{permitLifetime: cmp.Or(config.PermitLifetime, DefaultPermitLifetime), accounts: make(map[string]*account)}
}

// Admission returns whether a request may be sent to an upstream with a rate limit.
func (client *Client) Admission(incarnation cordon.Incarnation, rate Rate, request uint64) Admission {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	account, now := client.find(incarnation), time.Now()
	rate = max(rate, MinRate)
	queued := max(account.queued, account.asked.Wanted, 1)
	return Admission{
		Held: account.held(now), Pending: account.pending(rate, request, now),
		Wait: time.Duration(float64(queued) / float64(rate) * float64(time.Second)),
	}
}

// Want records that a request wants a permit for an upstream. It is repeated while
// the request waits.
func (client *Client) Want(incarnation cordon.Incarnation, request uint64) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	account, now := client.accountFor(incarnation), time.Now()
	wanted, ok := account.wants[request]
	if !ok || now.Sub(wanted.since) > answerTimeout && account.deniedAt.After(wanted.since) {
		wanted.since = now
	}
	wanted.at, account.usedAt = now, now
	account.wants[request] = wanted
}

// Forget ends what a request wants.
func (client *Client) Forget(request uint64) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, account := range client.accounts {
		delete(account.wants, request)
	}
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

// Accept processes an answer of the allocator and reports whether it is one to the
// present session.
func (client *Client) Accept(grant Grant) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	account, ok := client.accounts[grant.Incarnation.ID]
	if !ok || account.startedAt != grant.Incarnation.StartedAt || account.session != grant.Session {
		return false
	}
	account.queued, account.clients, account.answeredAt = grant.Queued, grant.Clients, time.Now()
	if grant.Queued > 0 {
		account.deniedAt = account.answeredAt
	}
	if grant.Issued <= account.received {
		return true
	}
	count := min(grant.Issued-account.received, maxBatch)
	account.received = grant.Issued
	account.batches = append(account.batches, batch{count: count, expiresAt: account.answeredAt.Add(client.permitLifetime)})
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
	found := client.find(incarnation)
	client.accounts[incarnation.ID] = found
	return found
}

// find returns the account of an incarnation, or a new one that is not kept.
func (client *Client) find(incarnation cordon.Incarnation) *account {
	if found, ok := client.accounts[incarnation.ID]; ok && found.startedAt == incarnation.StartedAt {
		return found
	}
	return &account{startedAt: incarnation.StartedAt, wants: make(map[uint64]want), usedAt: time.Now()}
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

// pending reports whether a request may wait for an answer: one to a want that was
// not answered yet, or to a want that is yet to be recorded.
func (account *account) pending(rate Rate, request uint64, now time.Time) bool {
	if wanted, ok := account.wants[request]; ok && !account.answeredAt.After(wanted.since) {
		return now.Sub(wanted.since) < answerTimeout
	}
	return now.Sub(account.deniedAt) >= backoff(rate, account.clients)
}

// backoff returns for how long a client that was denied a permit asks for none.
func backoff(rate Rate, clients int) time.Duration {
	interval := float64(clients) / (asksPerPermit * float64(rate))
	return min(max(time.Duration(interval*float64(time.Second)), minBackoff), maxBackoff)
}

// wanted returns the number of requests that want a permit.
func (account *account) wanted(now time.Time) int {
	maps.DeleteFunc(account.wants, func(_ uint64, want want) bool { return now.Sub(want.at) > wantLifetime })
	return len(account.wants)
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
	switch {
	case ask == account.asked && (ask.Wanted == 0 || now.Sub(account.askedAt) < askInterval(account.clients)):
		return ask, false
	case ask.Wanted == 0 && account.asked.Session != account.session:
		return ask, false
	case ask.Wanted > 0 && !account.deniedAt.Before(account.askedAt) && now.Sub(account.askedAt) < askInterval(account.clients):
		return ask, false
	}
	account.asked, account.askedAt = ask, now
	return ask, true
}
