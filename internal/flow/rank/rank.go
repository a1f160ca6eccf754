// Package rank chooses one member of a group for a task without an exchange:
// every process ranks the members that it hears by rendezvous hash (Thaler and
// Ravishankar 1998). Where views differ, two members may both be chosen, so the
// task must be one that is only done more often then.
package rank

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// First returns the member that ranks first for a task, or "" of none. When a
// member comes or goes, only the tasks that it ranks first for move.
func First(task string, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return slices.MaxFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(task, a), Score(task, b)), cmp.Compare(a, b))
	})
}

// Score returns a member's rank for a task. The highest comes first.
func Score(task, member string) uint64 { return xxh3.HashString(member + "\x00" + task) }
