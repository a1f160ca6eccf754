package relay

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
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

// TestRecallPoison guards against a block that is forgotten when all entry instances
// end: one that starts is told by a loader.
func TestRecallPoison(t *testing.T) {
	config := Config{ReadyPath: "/ready", Logger: zap.NewNop()}
	sender, starting := New(config), New(config)
	subject := poison.Request(7)
	for number := range 2 {
		sender.poison.Add(true, []poison.Evidence{{
			Subject: subject, Organisation: "hule", Request: 7, At: time.Now().Add(time.Duration(number) * -time.Second), Fresh: true,
			Upstream: cordon.Incarnation{ID: "engine-" + strconv.Itoa(number)},
		}})
	}
	starting.handleMemory(sender.memory(nil))
	if !starting.poison.Blocked("hule", []poison.Subject{subject}) {
		t.Error("an instance that was told of a blocked request by a loader does not block it")
	}
}
