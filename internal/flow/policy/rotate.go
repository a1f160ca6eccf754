package policy

import (
	"slices"
	"sync"
	"time"
)

// RoundRobin is the naive Policy for comparison: it takes the healthy
// upstreams in turn and knows neither adapters nor load.
type RoundRobin struct {
	health Health

	mutex        sync.Mutex
	members      []Member
	incarnations map[string]uint64
	next         int
}

// NewRoundRobin returns a RoundRobin. A nil health ejects nothing.
func NewRoundRobin(health Health) *RoundRobin {
	if health == nil {
		health = NoEjection{}
	}
	return &RoundRobin{health: health, incarnations: map[string]uint64{}}
}

// SetMembers implements Policy.
func (roundRobin *RoundRobin) SetMembers(members []Member, _ int) {
	roundRobin.mutex.Lock()
	defer roundRobin.mutex.Unlock()
	roundRobin.members = slices.Clone(members)
}

// Choose implements Policy.
func (roundRobin *RoundRobin) Choose(_ time.Time, request Request) (Decision, bool) {
	roundRobin.mutex.Lock()
	defer roundRobin.mutex.Unlock()
	var last Decision
	for range roundRobin.members {
		member := &roundRobin.members[roundRobin.next%len(roundRobin.members)]
		roundRobin.next++
		if !roundRobin.usable(member, &request) {
			continue
		}
		decision := Decision{Upstream: member.ID, Reason: Rotation, Incarnation: roundRobin.incarnations[member.ID]}
		decision.alternatives[0], decision.count = Candidate{Upstream: member.ID}, 1
		if !slices.Contains(request.Avoid, member.ID) {
			roundRobin.health.TryProbe(member.ID)
			return decision, true
		}
		last = decision
	}
	if last.Upstream == "" {
		return last, false
	}
	last.Reason = LastResort
	roundRobin.health.TryProbe(last.Upstream)
	return last, true
}

func (roundRobin *RoundRobin) usable(member *Member, request *Request) bool {
	if member.Leaving || !member.Half.Shares(request.Half) {
		return false
	}
	if request.RequiredUpstream != "" && request.RequiredUpstream != member.ID {
		return false
	}
	return roundRobin.health.Usable(member.ID)
}

// RequestEnded implements Policy.
func (*RoundRobin) RequestEnded(string) {}

// UpdateLoad implements Policy.
func (roundRobin *RoundRobin) UpdateLoad(_ time.Time, upstream string, load LoadReport) {
	roundRobin.mutex.Lock()
	defer roundRobin.mutex.Unlock()
	roundRobin.incarnations[upstream] = load.Incarnation
}
