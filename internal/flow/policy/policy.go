// Package policy holds the routing policies of entry instances whose upstreams
// have side processes. A Policy chooses the upstream of a request, by adapter,
// load report and failure domain. For engines that entry instances reach
// directly, package picker does so.
package policy

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Member is an upstream that a Policy may choose.
type Member struct {
	ID            string
	FailureDomain string
	Half          conf.Half
	// Draining says that the upstream gets no new requests.
	Draining bool
}

// Request describes a request that needs an upstream.
type Request struct {
	// AdapterHash is the result of ring.AdapterHash, or 0 for a plain service.
	AdapterHash uint64
	// PrefixHash is a hash of the beginning of the prompt, or 0.
	PrefixHash uint64
	Half       conf.Half
	// PromptTokens is the estimated length of the prompt.
	PromptTokens conf.Tokens
	// Avoid lists upstreams that are chosen only when no other is usable.
	Avoid []string
	// RequiredUpstream is the only upstream that may be chosen. It is empty if
	// any may be.
	RequiredUpstream string
}

// LoadReport is the part of a side process's load report that a Policy uses.
type LoadReport struct {
	Incarnation  uint64
	QueuedTokens conf.Tokens
	Queued       uint32
	Running      uint32
	Slots        uint32
	// FreeSlots is the number of slots without an adapter that is in use or being
	// loaded.
	FreeSlots    uint32
	ExpectedWait time.Duration
	// LoadedAdapters holds the hashes of the loaded adapters. The Policy copies
	// it.
	LoadedAdapters []uint64
	Draining       bool
}

// Reason says why an upstream was chosen.
type Reason uint8

// The reasons of a Decision.
const (
	// LowestScore means that no other candidate's score was within the tie
	// margin.
	LowestScore Reason = iota
	// TwoChoices means that several candidates had equal scores, and that the
	// one of two random ones with fewer requests in flight was chosen.
	TwoChoices
	// RingSearch means that the first upstream after the adapter on the ring
	// was not usable.
	RingSearch
	// Assigned means that the request allowed only this upstream.
	Assigned
	// Rotation means that the policy chooses the upstreams in turn.
	Rotation
	// LastResort means that only upstreams listed in Avoid were usable.
	LastResort
)

var reasonNames = [...]string{
	LowestScore: "lowest-score",
	TwoChoices:  "two-choices",
	RingSearch:  "ring-search",
	Assigned:    "assigned",
	Rotation:    "rotation",
	LastResort:  "last-resort",
}

// String returns the reason as written in log lines.
func (reason Reason) String() string { return reasonNames[reason] }

// MaxCandidates is the maximum number of candidates of one decision.
const MaxCandidates = 4

// Candidate is an upstream that a decision considered. Its score is in
// milliseconds; the lowest one is best.
type Candidate struct {
	Upstream string
	Score    float64
	Loaded   bool
}

// Decision is the result of Choose.
type Decision struct {
	Upstream string
	Reason   Reason
	// Incarnation is the incarnation in the upstream's last load report, or 0.
	Incarnation uint64

	candidates     [MaxCandidates]Candidate
	candidateCount int
}

// Candidates returns the candidates, including the chosen one.
func (decision *Decision) Candidates() []Candidate {
	return decision.candidates[:decision.candidateCount]
}

// Policy chooses among the upstreams of one service. It is safe for concurrent
// use.
type Policy interface {
	// SetMembers replaces the upstreams. The number of entry instances is used
	// to estimate the fleet's request rates from those of this instance.
	SetMembers(members []Member, instances int)
	// Choose picks an upstream and counts the request as sent to it. It returns
	// false if no upstream is usable.
	Choose(now time.Time, request Request) (Decision, bool)
	// RequestEnded records that a request sent to the upstream has ended.
	RequestEnded(upstream string)
	// UpdateLoad stores the upstream's newest load report.
	UpdateLoad(now time.Time, upstream string, report LoadReport)
}

// Health reports which upstreams are ejected.
type Health interface {
	// Usable reports whether a request may be sent to the upstream now.
	Usable(upstream string) bool
	// TryProbe records that the upstream was chosen. If the upstream is ejected,
	// the request is its only probe. The result does not change the choice.
	TryProbe(upstream string) bool
}

// NoEjection is the default Health. It ejects no upstream.
type NoEjection struct{}

// Usable implements Health.
func (NoEjection) Usable(string) bool { return true }

// TryProbe implements Health.
func (NoEjection) TryProbe(string) bool { return true }
