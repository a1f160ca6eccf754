// Package fairq holds the fair queue of one side process. Organisations share the
// upstream by deficit round robin, measured in tokens. Interactive requests go
// before patient ones; a patient request that has waited for half its maximum wait
// counts as interactive.
package fairq

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Config limits a Queue. Zero fields take their defaults.
type Config struct {
	// MaxRequests and MaxTokens limit the requests that wait and their cost.
	MaxRequests int
	MaxTokens   conf.Tokens
	// Quantum is the deficit that an organisation gains in one round.
	Quantum conf.Tokens
	// PatientPercent is the part of the limits up to which patient requests are
	// admitted.
	PatientPercent int
}

const (
	defaultMaxRequests = 1024
	defaultMaxTokens   = 1 << 20
	// defaultQuantum is about the cost of a short request, so that a round stays
	// short.
	defaultQuantum = 512
	// defaultPatientPercent leaves space for interactive requests under load.
	defaultPatientPercent = 75
	// AdapterLoadCost is the deficit charged to the organisation that causes an
	// adapter load.
	AdapterLoadCost conf.Tokens = 200
)

func (config Config) withDefaults() Config {
	if config.MaxRequests <= 0 {
		config.MaxRequests = defaultMaxRequests
	}
	if config.MaxTokens <= 0 {
		config.MaxTokens = defaultMaxTokens
	}
	if config.Quantum <= 0 {
		config.Quantum = defaultQuantum
	}
	if config.PatientPercent <= 0 || config.PatientPercent > 100 {
		config.PatientPercent = defaultPatientPercent
	}
	return config
}

// Entry is one waiting request.
type Entry[T any] struct {
	Organisation string
	Class        conf.Class
	Cost         conf.Tokens
	// Arrived is the time from which the wait is counted.
	Arrived time.Time
	// MaxWait is how long the entry may wait. In CheckAdmission, 0 means no limit.
	MaxWait time.Duration
	Value   T

	sequence uint64
	queued   bool
}

// HighPriority reports whether the entry counts as interactive.
func (entry *Entry[T]) HighPriority(now time.Time) bool {
	return entry.Class == conf.Interactive || now.Sub(entry.Arrived) >= entry.MaxWait/2
}

// Queued reports whether the entry is in a queue.
func (entry *Entry[T]) Queued() bool { return entry.queued }

// Queue orders the waiting requests of one upstream. It is not safe for
// concurrent use.
type Queue[T any] struct {
	config        Config
	organisations map[string]*organisationQueue[T]
	ring          []*organisationQueue[T]
	cursor        int
	requests      int
	tokens        conf.Tokens
	sequence      uint64
	throughput    throughput
}

// New returns an empty Queue.
func New[T any](config Config) *Queue[T] {
	return &Queue[T]{config: config.withDefaults(), organisations: map[string]*organisationQueue[T]{}}
}

// Len returns the number of waiting requests.
func (queue *Queue[T]) Len() int { return queue.requests }

// Tokens returns the cost of all waiting requests.
func (queue *Queue[T]) Tokens() conf.Tokens { return queue.tokens }

// Push adds an entry at the end of its organisation's list for its class. Callers
// call CheckAdmission first.
func (queue *Queue[T]) Push(entry *Entry[T]) {
	queue.sequence++
	entry.sequence = queue.sequence
	queue.insert(entry)
}

// Requeue puts a popped entry back in its former place and returns its cost to the
// organisation's deficit.
func (queue *Queue[T]) Requeue(entry *Entry[T]) {
	queue.insert(entry)
	queue.organisations[entry.Organisation].deficit += entry.Cost
}

func (queue *Queue[T]) insert(entry *Entry[T]) {
	queue.organisationQueue(entry.Organisation).insert(entry)
	entry.queued = true
	queue.requests++
	queue.tokens += entry.Cost
}

// Remove takes an entry out and reports whether it was waiting.
func (queue *Queue[T]) Remove(entry *Entry[T]) bool {
	if !entry.queued {
		return false
	}
	queue.organisations[entry.Organisation].remove(entry)
	entry.queued = false
	queue.requests--
	queue.tokens -= entry.Cost
	return true
}

// Charge takes tokens from an organisation's deficit for work that it causes
// besides its requests.
func (queue *Queue[T]) Charge(organisation string, tokens conf.Tokens) {
	queue.organisationQueue(organisation).deficit -= tokens
}

// Block keeps an organisation's requests waiting until a time, while those of
// others overtake them. It is used when the organisation has no tokens. The
// organisation counts as rate limited until Unblock.
func (queue *Queue[T]) Block(organisation string, until time.Time) {
	queue.organisationQueue(organisation).blockedUntil = until
}

// Unblock ends the effect of Block.
func (queue *Queue[T]) Unblock(organisation string) {
	queue.organisationQueue(organisation).blockedUntil = time.Time{}
}

// RateLimited reports whether an organisation is rate limited: it has been blocked
// and not unblocked since.
func (queue *Queue[T]) RateLimited(organisation string) bool {
	organisationQueue, ok := queue.organisations[organisation]
	return ok && organisationQueue.rateLimited()
}

// NextUnblock returns the earliest time at which a blocked organisation with
// waiting requests may continue, and whether there is one.
func (queue *Queue[T]) NextUnblock(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, organisationQueue := range queue.ring {
		if organisationQueue.empty() || !organisationQueue.blockedUntil.After(now) {
			continue
		}
		if next.IsZero() || organisationQueue.blockedUntil.Before(next) {
			next = organisationQueue.blockedUntil
		}
	}
	return next, !next.IsZero()
}

// All calls visit for each waiting entry until visit returns false. The queue must
// not be changed meanwhile.
func (queue *Queue[T]) All(visit func(*Entry[T]) bool) {
	for _, organisationQueue := range queue.ring {
		for _, entries := range organisationQueue.entries {
			for _, entry := range entries {
				if !visit(entry) {
					return
				}
			}
		}
	}
}

// organisationQueue returns the queue of an organisation, which it creates if
// there is none.
func (queue *Queue[T]) organisationQueue(organisation string) *organisationQueue[T] {
	found, ok := queue.organisations[organisation]
	if !ok {
		found = &organisationQueue[T]{}
		queue.organisations[organisation] = found
		queue.ring = append(queue.ring, found)
	}
	return found
}
