// Package policy chooses the upstream of a request.
package policy

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
	// AdapterHash is place.AdapterHash, or 0 for a plain service.
	AdapterHash uint64
	// PrefixHash identifies the beginning of the prompt, or is 0.
	PrefixHash uint64
	Half       model.Half
	// PromptTokens is the estimate of the prompt's length.
	PromptTokens model.Tokens
	// Avoid lists upstreams that are chosen only when no other is usable.
	Avoid []string
	// RequiredUpstream names the one upstream that may be chosen, or is empty.
	RequiredUpstream string
}

// LoadReport is the part of a side process's load report that decisions need.
type LoadReport struct {
	Incarnation  uint64
	QueuedTokens model.Tokens
	Queued       uint32
	Running      uint32
	Slots        uint32
	FreeSlots    uint32
	ExpectedWait time.Duration
	// LoadedAdapters holds hashes of the adapters that need no load. The Policy
	// copies it.
	LoadedAdapters []uint64
	Draining       bool
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

// Candidate is a candidate with its score in milliseconds.
type Candidate struct {
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

	alternatives [MaxCandidates]Candidate
	count        int
}

// Candidates returns the candidates, the chosen one included.
func (decision *Decision) Candidates() []Candidate {
	return decision.alternatives[:decision.count]
}

// Policy chooses upstreams of one service. It is safe for concurrent use.
type Policy interface {
	// SetMembers replaces the upstreams. The number of entry instances relates
	// the own rate of requests to the fleet's.
	SetMembers(members []Member, instances int)
	// Choose picks an upstream and counts a send to it.
	Choose(now time.Time, request Request) (Decision, bool)
	// RequestEnded says that a request sent to the upstream has ended.
	RequestEnded(upstream string)
	// UpdateLoad stores a load report of the upstream.
	UpdateLoad(now time.Time, upstream string, load LoadReport)
}

// Health says which upstreams are ejected.
type Health interface {
	// Usable reports whether the upstream may get a request now.
	Usable(upstream string) bool
	// TryProbe says that the upstream was chosen, which takes the only probe of
	// an ejected one. The choice stands whatever it reports.
	TryProbe(upstream string) bool
}

// NoEjection is the default Health: it ejects nothing.
type NoEjection struct{}

// Usable implements Health.
func (NoEjection) Usable(string) bool { return true }

// TryProbe implements Health.
func (NoEjection) TryProbe(string) bool { return true }
