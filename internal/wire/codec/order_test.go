package codec

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestOrderFields guards against a field on which the order at engines depends that is
// lost or changes its unit, and against a wait that starts anew when a loader hears of a
// request late, as after its own restart.
func TestOrderFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		requests := []admit.Request{{
			ID: 7, Waited: 3 * time.Second, Organisation: 0xfedcba98, RoutePriority: 2,
			StartBy: now.Add(300 * time.Millisecond), GiveUpBy: now.Add(9 * time.Second),
		}}
		uses := []lora.AdapterUse{{Adapter: lora.Adapter{Name: "a1"}, Waiting: 3, Late: 1, Weight: 96, LateWeight: 16}}
		waiting := admit.Waiting{OnTime: [4]int64{1460, 0, 20}, Late: [4]int64{3, 0, 0, 9}, Longest: 700 * time.Millisecond}
		state := &wirepb.EngineState{}
		EncodeWaiting(waiting, state)
		late := DecodeRequests(EncodeRequests([]admit.Request{{StartBy: now.Add(-time.Second)}}))
		added := requests[0]
		added.Waited, added.AddedAt = time.Second, now.Add(-2*time.Second)
		tests := []struct {
			name      string
			want, got any
		}{
			{"asks", requests, DecodeRequests(EncodeRequests([]admit.Request{added}))},
			{"start that has passed", now.Add(time.Millisecond), late[0].StartBy},
			{"uses", uses, DecodeAdapterUses(EncodeAdapterUses(uses))},
			{"waiting", waiting, DecodeWaiting(state)},
			{"loader that names none", admit.Waiting{}, DecodeWaiting(&wirepb.EngineState{})},
		}
		for _, test := range tests {
			if diff := cmp.Diff(test.want, test.got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", test.name, diff)
			}
		}
	})
}
