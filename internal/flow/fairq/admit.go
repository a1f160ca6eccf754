package fairq

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// RateLimit is the rate and burst of an organisation. A zero Rate means no limit.
type RateLimit struct {
	Rate  model.Tokens
	Burst model.Tokens
	// EstimateWait, if set, estimates how long an amount of tokens takes.
	EstimateWait func(model.Tokens) time.Duration
}

// hardFactor bounds what may wait in all, when requests that do not count
// towards the soft bound are included.
const hardFactor = 4

// CheckAdmission returns why an entry is refused on arrival, or nil.
func (queue *Queue[T]) CheckAdmission(now time.Time, entry *Entry[T], share RateLimit) *fault.Fault {
	if refusal := queue.admitRate(entry, share); refusal != nil {
		return refusal
	}
	wait := queue.EstimateWait(now, entry.Organisation, entry.Class, entry.Cost)
	if queue.full(entry) {
		return fault.New(fault.Overloaded, fault.NotRun,
			"the queue of this upstream is full; come back after the time in retry-after").WithRetryAfter(atLeast(wait))
	}
	if wait > entry.MaxWait && entry.MaxWait > 0 {
		return fault.New(fault.Overloaded, fault.NotRun,
			"the expected wait of %v exceeds the longest wait of %v; come back after the time in retry-after",
			wait.Round(time.Millisecond), entry.MaxWait).WithRetryAfter(atLeast(wait - entry.MaxWait))
	}
	return nil
}

// full reports whether the queue has no room for an entry. Requests of other
// organisations that wait for tokens do not count, and an organisation that
// fills less than an equal part of the queue may use that part.
func (queue *Queue[T]) full(entry *Entry[T]) bool {
	if queue.requests >= hardFactor*queue.config.MaxRequests {
		return true
	}
	percent := 100
	if entry.Class == model.Patient {
		percent = queue.config.PatientPercent
	}
	maxRequests := queue.config.MaxRequests * percent / 100
	maxTokens := queue.config.MaxTokens * model.Tokens(percent) / 100
	own := queue.line(entry.Organisation)
	requests, tokens, active := 0, model.Tokens(0), 1
	for _, line := range queue.ring {
		if line != own && (line.starved() || line.empty()) {
			continue
		}
		if line != own {
			active++
		}
		requests += line.requests()
		tokens += line.ahead(model.Patient)
	}
	if requests < maxRequests && (requests == 0 || tokens+entry.Cost <= maxTokens) {
		return false
	}
	return own.requests() >= maxRequests/active || own.ahead(model.Patient)+entry.Cost > maxTokens/model.Tokens(active)
}

// admitRate refuses what the organisation's share cannot serve in time even if
// no other upstream uses it.
func (queue *Queue[T]) admitRate(entry *Entry[T], share RateLimit) *fault.Fault {
	if share.Rate <= 0 {
		return nil
	}
	if entry.Cost > share.Burst {
		return fault.New(fault.RateExceeded, fault.NotRun,
			"the request may use %d tokens and the organisation's burst is %d; ask for fewer tokens", entry.Cost, share.Burst)
	}
	line := queue.line(entry.Organisation)
	ahead := line.ahead(entry.Class)
	after := rateWait(share, ahead+entry.Cost, line.starved()) - entry.MaxWait
	if ahead == 0 || after <= 0 || entry.MaxWait <= 0 {
		return nil
	}
	return fault.New(fault.RateExceeded, fault.NotRun,
		"the organisation's waiting requests use up its rate for the longest wait; come back after the time in retry-after").
		WithRetryAfter(atLeast(after))
}

// rateWait returns the least time in which a share yields tokens. An
// organisation that waits for tokens has no burst left.
func rateWait(share RateLimit, tokens model.Tokens, starved bool) time.Duration {
	if !starved {
		tokens -= share.Burst
	}
	wait := time.Duration(float64(max(tokens, 0)) / float64(share.Rate) * float64(time.Second))
	if share.EstimateWait != nil {
		wait = max(wait, share.EstimateWait(max(tokens, 0)))
	}
	return wait
}

// EstimateWait returns how long a new request is expected to wait. While an
// organisation's own tokens are served, each other organisation is served at
// most as many. Requests that wait for tokens do not count, since others pass
// them.
func (queue *Queue[T]) EstimateWait(now time.Time, organisation string, class model.Class, cost model.Tokens) time.Duration {
	own := queue.lines[organisation]
	var ahead model.Tokens
	if own != nil {
		ahead = own.ahead(class)
	}
	turn := max(ahead+cost, queue.config.Quantum)
	for _, line := range queue.ring {
		if line != own && !line.starved() {
			ahead += min(line.ahead(class), turn)
		}
	}
	return queue.pace.estimate(now, ahead)
}

// minRetryAfter keeps refused callers from coming back in the same moment.
const minRetryAfter = 100 * time.Millisecond

func atLeast(wait time.Duration) time.Duration { return max(wait, minRetryAfter) }
