package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/poison"
)

// TestBrokenResponses guards against evidence from responses that broke off long
// before their upstream ended, or at another upstream, and against evidence that is
// used twice.
func TestBrokenResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := newBrokenResponses()
		add := func(upstream, part string) {
			broken.add(upstream, []poison.Evidence{{Subject: poison.Part(part), At: time.Now()}})
		}
		parts := func(upstream string) []string {
			taken := []string{}
			for _, item := range broken.take(upstream) {
				taken = append(taken, item.Subject.Part())
			}
			return taken
		}
		add("a", "early")
		add("b", "other")
		time.Sleep(crashConfirmTime + time.Millisecond)
		add("a", "late")
		if diff := cmp.Diff([][]string{{"late"}, {}, {}}, [][]string{parts("a"), parts("a"), parts("b")}); diff != "" {
			t.Errorf("evidence of a, of a again, and of b (-want +got):\n%s", diff)
		}
	})
}
