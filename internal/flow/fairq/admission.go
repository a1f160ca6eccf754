package fairq

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// RateLimit is an organisation's rate, in tokens per second, and its burst. A zero
// Rate means no limit.
type RateLimit struct {
	Rate  conf.Tokens
	Burst conf.Tokens
	// EstimateWait, if set, estimates how long the organisation waits for an amount
	// of tokens.
	EstimateWait func(conf.Tokens) time.Duration
}

// hardLimitFactor is the multiple of MaxRequests that may wait in total, including
// the requests that do not count towards MaxRequests.
const hardLimitFactor = 4

// CheckAdmission returns why a new entry must be refused, or nil: RateExceeded if
// its organisation's rate limit can't serve it in time, Overloaded if the queue is
// full or the expected wait exceeds MaxWait. It does not add the entry.
func (queue *Queue[T]) CheckAdmission(now time.Time, entry *Entry[T], limit RateLimit) *fault.Fault {
	if refusal := queue.checkRate(entry, limit); refusal != nil {
		return refusal
	}
	wait := queue.EstimateWait(now, entry.Organisation, entry.Class, entry.Cost)
	if queue.full(entry) {
		return fault.New(fault.Overloaded, fault.NotRun,
			"the queue of this upstream is full; come back after the time in retry-after").WithRetryAfter(withMinRetryAfter(wait))
	}
	if wait > entry.MaxWait && entry.MaxWait > 0 {
		return fault.New(fault.Overloaded, fault.NotRun,
			"the expected wait of %v exceeds the longest wait of %v; come back after the time in retry-after",
			wait.Round(time.Millisecond), entry.MaxWait).WithRetryAfter(withMinRetryAfter(wait - entry.MaxWait))
	}
	return nil
}

// full reports whether the queue has no space for an entry. Requests of other
// organisations that are rate limited do not count, and an organisation that
// fills less than an equal part of the queue may use that part.
func (queue *Queue[T]) full(entry *Entry[T]) bool {
	if queue.requests >= hardLimitFactor*queue.config.MaxRequests {
		return true
	}
	percent := 100
	if entry.Class == conf.Patient {
		percent = queue.config.PatientPercent
	}
	maxRequests := queue.config.MaxRequests * percent / 100
	maxTokens := queue.config.MaxTokens * conf.Tokens(percent) / 100
	own := queue.organisationQueue(entry.Organisation)
	requests, tokens, active := 0, conf.Tokens(0), 1
	for _, organisationQueue := range queue.ring {
		if organisationQueue != own && (organisationQueue.rateLimited() || organisationQueue.empty()) {
			continue
		}
		if organisationQueue != own {
			active++
		}
		requests += organisationQueue.requests()
		tokens += organisationQueue.tokensAhead(conf.Patient)
	}
	if requests < maxRequests && (requests == 0 || tokens+entry.Cost <= maxTokens) {
		return false
	}
	return own.requests() >= maxRequests/active || own.tokensAhead(conf.Patient)+entry.Cost > maxTokens/conf.Tokens(active)
}

// checkRate refuses an entry that the organisation's rate limit cannot serve in
// time, even if no other upstream uses the organisation's tokens.
func (queue *Queue[T]) checkRate(entry *Entry[T], limit RateLimit) *fault.Fault {
	if limit.Rate <= 0 {
		return nil
	}
	if entry.Cost > limit.Burst {
		return fault.New(fault.RateExceeded, fault.NotRun,
			"the request may use %d tokens and the organisation's burst is %d; ask for fewer tokens", entry.Cost, limit.Burst)
	}
	organisationQueue := queue.organisationQueue(entry.Organisation)
	ahead := organisationQueue.tokensAhead(entry.Class)
	overdue := accrualWait(limit, ahead+entry.Cost, organisationQueue.rateLimited()) - entry.MaxWait
	if ahead == 0 || overdue <= 0 || entry.MaxWait <= 0 {
		return nil
	}
	return fault.New(fault.RateExceeded, fault.NotRun,
		"the organisation's waiting requests use up its rate for the longest wait; come back after the time in retry-after").
		WithRetryAfter(withMinRetryAfter(overdue))
}

// accrualWait returns the least time in which a rate limit provides tokens. An
// organisation that is rate limited has used up its burst.
func accrualWait(limit RateLimit, tokens conf.Tokens, rateLimited bool) time.Duration {
	if !rateLimited {
		tokens -= limit.Burst
	}
	wait := time.Duration(float64(max(tokens, 0)) / float64(limit.Rate) * float64(time.Second))
	if limit.EstimateWait != nil {
		wait = max(wait, limit.EstimateWait(max(tokens, 0)))
	}
	return wait
}

// EstimateWait returns how long a new request is expected to wait for the
// upstream. While an organisation's own tokens are served, each other organisation
// is served at most as many. Rate-limited requests do not count, since others
// overtake them.
func (queue *Queue[T]) EstimateWait(now time.Time, organisation string, class conf.Class, cost conf.Tokens) time.Duration {
	own := queue.organisations[organisation]
	var ahead conf.Tokens
	if own != nil {
		ahead = own.tokensAhead(class)
	}
	maxPerOrganisation := max(ahead+cost, queue.config.Quantum)
	for _, organisationQueue := range queue.ring {
		if organisationQueue != own && !organisationQueue.rateLimited() {
			ahead += min(organisationQueue.tokensAhead(class), maxPerOrganisation)
		}
	}
	return queue.throughput.estimateWait(now, ahead)
}

// minRetryAfter is the least time after which a refused caller is told to retry.
const minRetryAfter = 100 * time.Millisecond

func withMinRetryAfter(wait time.Duration) time.Duration { return max(wait, minRetryAfter) }
