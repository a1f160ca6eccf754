package policy

import (
	"slices"
	"sync"
	"time"
)

// RoundRobin is a Policy that chooses the usable upstreams in turn, without
// regard to adapters and load. It is the baseline for comparisons.
type RoundRobin struct {
	health Health

	mutex        sync.Mutex
	members      []Member
	incarnations map[string]uint64
	next         int
}

// NewRoundRobin returns a RoundRobin. A nil health ejects no upstream.
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
	var avoided Decision
	for range roundRobin.members {
		member := &roundRobin.members[roundRobin.next%len(roundRobin.members)]
		roundRobin.next++
		if !roundRobin.usable(member, &request) {
			continue
		}
		decision := Decision{Upstream: member.ID, Reason: Rotation, Incarnation: roundRobin.incarnations[member.ID]}
		decision.candidates[0], decision.candidateCount = Candidate{Upstream: member.ID}, 1
		if !slices.Contains(request.Avoid, member.ID) {
			roundRobin.health.TryProbe(member.ID)
			return decision, true
		}
		avoided = decision
	}
	if avoided.Upstream == "" {
		return avoided, false
	}
	avoided.Reason = LastResort
	roundRobin.health.TryProbe(avoided.Upstream)
	return avoided, true
}

func (roundRobin *RoundRobin) usable(member *Member, request *Request) bool {
	if member.Draining || !member.Half.CompatibleWith(request.Half) {
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
func (roundRobin *RoundRobin) UpdateLoad(_ time.Time, upstream string, report LoadReport) {
	roundRobin.mutex.Lock()
	defer roundRobin.mutex.Unlock()
	roundRobin.incarnations[upstream] = report.Incarnation
}
