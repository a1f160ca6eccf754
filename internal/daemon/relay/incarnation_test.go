package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestIncarnationAnswer guards against an answer to an earlier incarnation of this instance,
// or one that comes from the future, that confirms connections which were opened since.
func TestIncarnationAnswer(t *testing.T) {
	tests := []struct {
		name string
		// askedAfter is when the ask was sent, after the start of this instance.
		askedAfter time.Duration
		want       picker.Identity
	}{
		{"after the connection was opened", 1500 * time.Millisecond, picker.Confirmed},
		{"before the connection was opened", 500 * time.Millisecond, picker.Unconfirmed},
		{"before the start", -time.Minute, picker.Unconfirmed},
		{"later than now", time.Minute, picker.Unconfirmed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				spec := fleet.Upstream{ID: "i-1", Service: "advisor", StartedAt: 1000}
				relay := &Relay{start: time.Now(), stateChanged: newBroadcast(), picker: picker.New(picker.Config{})}
				relay.picker.SetUpstreams([]fleet.Upstream{spec})
				time.Sleep(time.Second)
				openedAt := time.Now()
				time.Sleep(time.Second)
				relay.handleIncarnationAnswer(&wirepb.IncarnationAnswer{
					Upstream: "i-1", Born: 1000, AskedAt: relay.start.Add(test.askedAfter).UnixNano(),
				})
				if diff := cmp.Diff(test.want, relay.picker.Identify(spec, openedAt)); diff != "" {
					t.Errorf("identity (-want +got):\n%s", diff)
				}
			})
		})
	}
}
