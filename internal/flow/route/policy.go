// Package route chooses the upstream of a request.
package route

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// Member is an upstream that a Policy may choose.
type Member struct {
	ID            string
	FailureDomain string
	Half          model.Half
	// Leaving members receive no new work.
	Leaving bool
}

// Request describes the work that needs an upstream.
type Request struct {
	// Adapter is place.AdapterHash, or 0 for a plain service.
	Adapter uint64
	// Prefix identifies the beginning of the prompt, or is 0.
	Prefix uint64
	Half   model.Half
	// Tokens is the estimate of the prompt's length.
	Tokens model.Tokens
	// Avoid lists upstreams that are chosen only when no other is usable.
	Avoid []string
	// Only names the one upstream that may be chosen, or is empty.
	Only string
}

// Load is the part of a side process's load report that decisions need.
type Load struct {
	Incarnation  uint64
	QueuedTokens model.Tokens
	Queued       uint32
	Running      uint32
	Slots        uint32
	FreeSlots    uint32
	ExpectedWait time.Duration
	// Loaded holds hashes of the adapters that need no load. The Policy
	// copies it.
	Loaded   []uint64
	Draining bool
}

// Reason says why an upstream was chosen.
type Reason uint8

// The reasons of a Decision.
const (
	// LowestScore means that no other candidate had an equal score.
	LowestScore Reason = iota
	// TwoChoices means that the choice fell among candidates of equal score.
	TwoChoices
	// RingSearch means that the adapter's first upstream was not usable.
	RingSearch
	// Assigned means that the request allowed only this upstream.
	Assigned
	// Rotation means that the policy takes the upstreams in turn.
	Rotation
	// LastResort means that only an upstream to avoid was usable.
	LastResort
)

var reasons = [...]string{
	LowestScore: "lowest-score",
	TwoChoices:  "two-choices",
	RingSearch:  "ring-search",
	Assigned:    "assigned",
	Rotation:    "rotation",
	LastResort:  "last-resort",
}

// String returns the reason as written in log lines.
func (reason Reason) String() string { return reasons[reason] }

// MaxCandidates bounds the candidates of one decision.
const MaxCandidates = 4

// Alternative is a candidate with its score in milliseconds.
type Alternative struct {
	Upstream string
	Score    float64
	Loaded   bool
}

// Decision is the result of Choose.
type Decision struct {
	Upstream string
	Reason   Reason
	// Incarnation is that of the side process when it last reported, or 0.
	Incarnation uint64

	alternatives [MaxCandidates]Alternative
	count        int
}

// Alternatives returns the candidates, the chosen one included.
func (decision *Decision) Alternatives() []Alternative {
	return decision.alternatives[:decision.count]
}

// Policy chooses upstreams of one service. It is safe for concurrent use.
type Policy interface {
	// SetMembers replaces the upstreams. The number of entry instances relates
	// the own rate of requests to the fleet's.
	SetMembers(members []Member, instances int)
	// Choose picks an upstream and counts a send to it.
	Choose(now time.Time, request Request) (Decision, bool)
	// Ended says that a request sent to the upstream has ended.
	Ended(upstream string)
	// Report stores a load report of the upstream.
	Report(now time.Time, upstream string, load Load)
}

// Health says which upstreams are ejected.
type Health interface {
	// Usable reports whether the upstream may get a request now.
	Usable(upstream string) bool
	// Probe says that the upstream was chosen, which takes the only probe of
	// an ejected one. The choice stands whatever it reports.
	Probe(upstream string) bool
}

// Healthy is the default Health: it ejects nothing.
type Healthy struct{}

// Usable implements Health.
func (Healthy) Usable(string) bool { return true }

// Probe implements Health.
func (Healthy) Probe(string) bool { return true }
