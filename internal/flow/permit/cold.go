package permit

import (
	"maps"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

// burstRate is the rate above which more than one permit accrues while none is wanted.
const burstRate = Rate(float64(time.Second) / float64(burstTime))

// RateWithin returns the rate of permits of which no more than count are used within a
// time, even if all that are unused then are used at once.
func RateWithin(count float64, within time.Duration) Rate {
	if count < 1 {
		return 0
	}
	accrues := (within + DefaultPermitLifetime + deliveryTime).Seconds()
	if rate := Rate((count - 1) / accrues); rate <= burstRate {
		return max(rate, MinRate)
	}
	return Rate(count / (accrues + burstTime.Seconds()))
}

// Cold tracks which upstreams are cold, and the rate of the permits for them
// meanwhile. Its methods may be called concurrently.
type Cold struct {
	mutex sync.Mutex
	byID  map[string]*coldUpstream
}

// coldUpstream holds what is known of one incarnation of an upstream.
type coldUpstream struct {
	startedAt int64
	until     time.Time
	rate      Rate
	// listed is what the last entry said.
	listed ColdEntry
}

// ColdEntry is what an entry of the instance list says of an upstream's cold time.
type ColdEntry struct {
	// Said is false if the entry says nothing. The upstream then counts as cold for
	// SinceStart from its start.
	Said       bool
	Remaining  time.Duration
	SinceStart time.Duration
}

// remaining returns how long an upstream with a start, in Unix milliseconds, stays cold.
func (entry ColdEntry) remaining(startedAt int64) time.Duration {
	if entry.Said || startedAt == 0 {
		return entry.Remaining
	}
	return min(time.Until(time.UnixMilli(startedAt).Add(entry.SinceStart)), entry.SinceStart)
}

// NewCold returns a Cold that knows no upstream.
func NewCold() *Cold { return &Cold{byID: make(map[string]*coldUpstream)} }

// SetEntry records an entry, which counts from now on if it differs from the last one,
// and the rate of permits. It reports whether the upstream is cold now and was not
// before.
func (cold *Cold) SetEntry(incarnation cordon.Incarnation, entry ColdEntry, rate Rate) (became bool) {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	known := cold.find(incarnation)
	if known == nil {
		return false
	}
	known.rate = rate
	if entry == known.listed {
		return false
	}
	known.listed = entry
	return known.extend(entry.remaining(incarnation.StartedAt))
}

// Extend records that an upstream stays cold for a time. It reports whether the
// upstream is cold now and was not before.
func (cold *Cold) Extend(incarnation cordon.Incarnation, remaining time.Duration, rate Rate) (became bool) {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	known := cold.find(incarnation)
	if known == nil {
		return false
	}
	known.rate = rate
	return known.extend(remaining)
}

func (known *coldUpstream) extend(remaining time.Duration) (became bool) {
	now := time.Now()
	until := now.Add(remaining)
	became = until.After(now) && !known.until.After(now)
	if until.After(known.until) {
		known.until = until
	}
	return became
}

// find returns what is known of an incarnation, or nil if a later one is known.
func (cold *Cold) find(incarnation cordon.Incarnation) *coldUpstream {
	known, ok := cold.byID[incarnation.ID]
	switch {
	case !ok || incarnation.StartedAt > known.startedAt:
		known = &coldUpstream{startedAt: incarnation.StartedAt}
		cold.byID[incarnation.ID] = known
	case incarnation.StartedAt < known.startedAt:
		return nil
	}
	return known
}

// Keep forgets the upstreams for which listed returns false.
func (cold *Cold) Keep(listed func(id string) bool) {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	maps.DeleteFunc(cold.byID, func(id string, _ *coldUpstream) bool { return !listed(id) })
}

// Remaining returns how long an upstream stays cold, 0 if it is not cold.
func (cold *Cold) Remaining(incarnation cordon.Incarnation) time.Duration {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	known, ok := cold.byID[incarnation.ID]
	if !ok || known.startedAt != incarnation.StartedAt {
		return 0
	}
	return max(time.Until(known.until), 0)
}

// Rate returns the rate of permits for an upstream, Unlimited if it is not cold.
func (cold *Cold) Rate(incarnation cordon.Incarnation) Rate {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	known, ok := cold.byID[incarnation.ID]
	if !ok || known.startedAt != incarnation.StartedAt || !known.until.After(time.Now()) {
		return Unlimited
	}
	return known.rate
}

// Count returns the number of upstreams that are cold.
func (cold *Cold) Count() int {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	count, now := 0, time.Now()
	for _, known := range cold.byID {
		if known.until.After(now) {
			count++
		}
	}
	return count
}

// pauseTime is how long a client may not have exchanged permits until those that must
// not be used late count as too old. Allocators count them for longer.
const pauseTime = deliveryTime

// RenewAfterPause is called before each exchange of permits. If the last one was
// pauseTime ago or more, this instance may have been stopped, and does not know how old
// the permits are that it holds or receives. It then begins a new session, without
// permits, for each account that a function selects.
func (client *Client) RenewAfterPause(selected func(cordon.Incarnation) bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := time.Now()
	pause := now.Sub(client.exchangedAt)
	client.exchangedAt = now
	if pause < pauseTime {
		return
	}
	for id, account := range client.accounts {
		if selected(cordon.Incarnation{ID: id, StartedAt: account.startedAt}) {
			// Without an allocator, the next ask begins a session.
			account.allocator, account.session, account.batches = "", 0, nil
		}
	}
}
