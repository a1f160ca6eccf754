package rank

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func members(count int) []string {
	list := make([]string, 0, count)
	for number := range count {
		list = append(list, fmt.Sprintf("10.0.0.%d:7600", number))
	}
	return list
}

// TestFirst guards against processes that choose differently from the same
// members, and against tasks that move although their member stays.
func TestFirst(t *testing.T) {
	all := members(12)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	chosen := make(map[string]int)
	for number := range 600 {
		task := fmt.Sprint("task ", number)
		first := First(task, all)
		if diff := cmp.Diff(first, First(task, reversed)); diff != "" {
			t.Errorf("a different order changes the choice (-want +got):\n%s", diff)
		}
		chosen[first]++
		rest := slices.DeleteFunc(slices.Clone(all), func(member string) bool { return member == all[0] })
		if first != all[0] && First(task, rest) != first {
			t.Errorf("%s moves although its member stays", task)
		}
	}
	for _, member := range all {
		if chosen[member] < 20 || chosen[member] > 100 {
			t.Errorf("%s is chosen for %d of 600 tasks, of 12 members", member, chosen[member])
		}
	}
	if got := First("task", nil); got != "" {
		t.Errorf("%q is chosen without members", got)
	}
}
