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

// TestPlace guards against two members with the same place, and against a first place
// that First gives to another member.
func TestPlace(t *testing.T) {
	all := members(12)
	for number := range 100 {
		task := fmt.Sprint("task ", number)
		places := make([]int, 0, len(all))
		for _, member := range all {
			places = append(places, Place(task, member, all))
			if first := First(task, all) == member; first != (places[len(places)-1] == 0) {
				t.Errorf("%s has place %d for %s, first: %v", member, places[len(places)-1], task, first)
			}
		}
		slices.Sort(places)
		if diff := cmp.Diff([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, places); diff != "" {
			t.Fatalf("places (-want +got):\n%s", diff)
		}
	}
}

// TestTop guards against a choice that depends on the order of the members, names one
// twice, or changes for members that remain.
func TestTop(t *testing.T) {
	all := members(12)
	best := Top("task", all, 3)
	if diff := cmp.Diff(First("task", all), best[0]); diff != "" {
		t.Errorf("first of the top (-want +got):\n%s", diff)
	}
	shuffled := slices.Concat(all[5:], all)
	if diff := cmp.Diff(best, Top("task", shuffled, 3)); diff != "" {
		t.Errorf("top of the same members in another order (-want +got):\n%s", diff)
	}
	rest := slices.DeleteFunc(slices.Clone(all), func(member string) bool { return member == best[0] })
	if diff := cmp.Diff(best[1:], Top("task", rest, 2)); diff != "" {
		t.Errorf("top without the first (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(12, len(Top("task", all, 20))); diff != "" {
		t.Errorf("members (-want +got):\n%s", diff)
	}
}
