// Package fairq holds the fair queue of one side process. Organisations share
// the upstream by deficit round robin, measured in tokens; interactive work
// goes before patient work, and patient work that has waited for half its
// longest wait counts as interactive.
package fairq

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// Config bounds a Queue. Zero fields take their defaults.
type Config struct {
	// MaxRequests and Tokens bound what may wait.
	MaxRequests int
	MaxTokens   model.Tokens
	// Quantum is what an organisation earns in one round.
	Quantum model.Tokens
	// PatientPercent is how much of the bounds patient work may fill.
	PatientPercent int
}

const (
	defaultRequests = 1024
	defaultTokens   = 1 << 20
	// defaultQuantum is about one short request, so that a round stays short.
	defaultQuantum = 512
	// defaultPatientPercent leaves room for interactive work under pressure.
	defaultPatientPercent = 75
	// AdapterLoadCost is the deficit charged to the organisation that causes a load.
	AdapterLoadCost model.Tokens = 200
)

func (config Config) withDefaults() Config {
	if config.MaxRequests <= 0 {
		config.MaxRequests = defaultRequests
	}
	if config.MaxTokens <= 0 {
		config.MaxTokens = defaultTokens
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
	Class        model.Class
	Cost         model.Tokens
	// Arrived orders the entries of an organisation.
	Arrived time.Time
	// MaxWait is how long the entry may wait.
	MaxWait time.Duration
	Value   T

	sequence uint64
	queued   bool
}

// HighPriority reports whether the entry counts as interactive.
func (entry *Entry[T]) HighPriority(now time.Time) bool {
	return entry.Class == model.Interactive || now.Sub(entry.Arrived) >= entry.MaxWait/2
}

// Queued reports whether the entry is in a queue.
func (entry *Entry[T]) Queued() bool { return entry.queued }

// Queue orders the waiting requests of one upstream. It is not safe for
// concurrent use.
type Queue[T any] struct {
	config   Config
	lines    map[string]*line[T]
	ring     []*line[T]
	cursor   int
	requests int
	tokens   model.Tokens
	sequence uint64
	pace     pace
}

// New returns an empty Queue.
func New[T any](config Config) *Queue[T] {
	return &Queue[T]{config: config.withDefaults(), lines: map[string]*line[T]{}}
}

// Len returns the number of waiting requests.
func (queue *Queue[T]) Len() int { return queue.requests }

// Tokens returns the cost of all waiting requests.
func (queue *Queue[T]) Tokens() model.Tokens { return queue.tokens }

// Push adds an entry at the end of its sub-queue. Callers ask Admit first.
func (queue *Queue[T]) Push(entry *Entry[T]) {
	queue.sequence++
	entry.sequence = queue.sequence
	queue.insert(entry)
}

// Requeue puts a popped entry back to its former place and returns its cost
// to the organisation's deficit.
func (queue *Queue[T]) Requeue(entry *Entry[T]) {
	queue.insert(entry)
	queue.lines[entry.Organisation].deficit += entry.Cost
}

func (queue *Queue[T]) insert(entry *Entry[T]) {
	queue.line(entry.Organisation).insert(entry)
	entry.queued = true
	queue.requests++
	queue.tokens += entry.Cost
}

// Remove takes an entry out and reports whether it was waiting.
func (queue *Queue[T]) Remove(entry *Entry[T]) bool {
	if !entry.queued {
		return false
	}
	queue.lines[entry.Organisation].remove(entry)
	entry.queued = false
	queue.requests--
	queue.tokens -= entry.Cost
	return true
}

// Charge takes tokens from an organisation's deficit, for work that it causes
// besides its requests.
func (queue *Queue[T]) Charge(organisation string, tokens model.Tokens) {
	queue.line(organisation).deficit -= tokens
}

// Block keeps an organisation's requests waiting until a time, while others
// pass them. It is used when the organisation has no tokens. The organisation
// counts as starved until Unblock.
func (queue *Queue[T]) Block(organisation string, until time.Time) {
	queue.line(organisation).blocked = until
}

// Unblock ends a Block.
func (queue *Queue[T]) Unblock(organisation string) {
	queue.line(organisation).blocked = time.Time{}
}

// RateLimited reports whether an organisation had no tokens when last tried.
func (queue *Queue[T]) RateLimited(organisation string) bool {
	line, ok := queue.lines[organisation]
	return ok && line.starved()
}

// NextUnblock returns the earliest time at which a blocked organisation with
// waiting requests may go on.
func (queue *Queue[T]) NextUnblock(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, line := range queue.ring {
		if line.empty() || !line.blocked.After(now) {
			continue
		}
		if next.IsZero() || line.blocked.Before(next) {
			next = line.blocked
		}
	}
	return next, !next.IsZero()
}

// All calls visit for each waiting entry until it returns false. The queue
// must not be changed meanwhile.
func (queue *Queue[T]) All(visit func(*Entry[T]) bool) {
	for _, line := range queue.ring {
		for _, entries := range line.classes {
			for _, entry := range entries {
				if !visit(entry) {
					return
				}
			}
		}
	}
}

func (queue *Queue[T]) line(organisation string) *line[T] {
	known, ok := queue.lines[organisation]
	if !ok {
		known = &line[T]{}
		queue.lines[organisation] = known
		queue.ring = append(queue.ring, known)
	}
	return known
}
