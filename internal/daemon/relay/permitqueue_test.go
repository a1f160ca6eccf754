package relay

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPermitQueue guards against late requests that take the permits of those that
// came before, and against interrupted streams that wait behind new requests.
func TestPermitQueue(t *testing.T) {
	queue := newPermitQueue()
	queue.add("advisor", 5, false)
	queue.add("advisor", 3, false)
	queue.add("advisor", 3, false)
	queue.add("advisor", 7, true)
	queue.add("counter", 1, false)
	before := func(requests ...uint64) (counts []int) {
		for _, request := range requests {
			counts = append(counts, queue.countBefore("advisor", request))
		}
		return counts
	}
	if diff := cmp.Diff([]int{0, 1, 2, 3}, before(7, 3, 5, 9)); diff != "" {
		t.Errorf("requests before 7 (a stream), 3, 5 and 9 (-want +got):\n%s", diff)
	}
	queue.remove("advisor", 7)
	queue.remove("advisor", 3)
	queue.remove("advisor", 4)
	if diff := cmp.Diff([]int{0, 1}, before(5, 9)); diff != "" {
		t.Errorf("requests before 5 and 9 (-want +got):\n%s", diff)
	}
	queue.remove("advisor", 5)
	queue.remove("counter", 1)
	if len(queue.byService) != 0 {
		t.Errorf("empty queues are kept: %v", queue.byService)
	}
}
