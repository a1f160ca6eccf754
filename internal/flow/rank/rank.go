// Package rank chooses one member of a group for a task without coordination:
// every process ranks the members that it knows by rendezvous hashing (Thaler
// and Ravishankar 1998). Where their views differ, two members may be chosen,
// so it suits only tasks that may be done twice.
package rank

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// First returns the member with the highest score for a task, or "" if there
// are no members. When a member joins or leaves, only the tasks for which it
// ranks first move.
func First(task string, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return slices.MaxFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(task, a), Score(task, b)), cmp.Compare(a, b))
	})
}

// Place returns how many other members rank before a member for a task.
func Place(task, member string, members []string) int {
	place, own := 0, Score(task, member)
	for _, other := range members {
		if other != member && cmp.Or(cmp.Compare(Score(task, other), own), cmp.Compare(other, member)) > 0 {
			place++
		}
	}
	return place
}

// Top returns the members with the highest scores for a task, at most count, the highest
// first. Members that are named several times count once.
func Top(task string, members []string, count int) []string {
	type scored struct {
		member string
		score  uint64
	}
	before := func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(b.member, a.member))
	}
	best := make([]scored, 0, count+1)
	for _, member := range members {
		candidate := scored{member, Score(task, member)}
		place, found := slices.BinarySearchFunc(best, candidate, before)
		if found || place >= count {
			continue
		}
		best = slices.Insert(best, place, candidate)
		best = best[:min(len(best), count)]
	}
	top := make([]string, 0, len(best))
	for _, scored := range best {
		top = append(top, scored.member)
	}
	return top
}

// Score returns a member's score for a task. The highest score ranks first.
func Score(task, member string) uint64 { return xxh3.HashString(member + "\x00" + task) }

// Member is a member of a group with a weight above 0.
type Member struct {
	Name   string
	Weight float64
}

// CompareWeighted orders members so that each one ranks first for a share of the tasks in
// proportion to its weight. With equal weights the order is that of Score. When a weight
// changes, only tasks from or to that member move.
func CompareWeighted(task string, a, b Member) int {
	scoreA, scoreB := Score(task, a.Name), Score(task, b.Name)
	return cmp.Or(cmp.Compare(weigh(scoreB, b.Weight), weigh(scoreA, a.Weight)), cmp.Compare(scoreB, scoreA))
}

// weigh returns a score with a weight (Schindelhauer and Schomaker 2005).
func weigh(score uint64, weight float64) float64 {
	return -weight / math.Log((float64(score)+1)/(math.MaxUint64+2.0))
}
