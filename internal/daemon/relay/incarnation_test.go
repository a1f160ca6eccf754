package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
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
				relay := &Relay{process: newProcess(), stateChanged: newBroadcast(), picker: picker.New(picker.Config{}), incarnationAsks: new(incarnationAsks)}
				relay.picker.SetUpstreams([]fleet.Upstream{spec})
				time.Sleep(time.Second)
				openedAt := time.Now()
				time.Sleep(time.Second)
				relay.handleIncarnationAnswer(&wirepb.IncarnationAnswer{
					Upstream: "i-1", Born: 1000, AskedAt: relay.stamp(relay.start.Add(test.askedAfter)),
				})
				if diff := cmp.Diff(test.want, relay.picker.Identify(spec, openedAt)); diff != "" {
					t.Errorf("identity (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestLaterIncarnation guards against a stream that an incarnation began which has ended since,
// and that counts as one of the next incarnation, because its last events were read after the
// list and the loader had shown that one: this process stood still, or its caller read slowly.
func TestLaterIncarnation(t *testing.T) {
	const began, later = 1000, 2000
	tests := []struct {
		name string
		// listed is the upstream as the list shows it once the first event was forwarded.
		listed fleet.Upstream
		// runs is the incarnation that runs then, as the loader says.
		runs int64
		want origin.Origin
	}{
		{"same incarnation", fleet.Upstream{ID: "i-1", Service: "advisor", Address: "10.0.0.5:80", StartedAt: began, SoftwareVersion: "v1"}, began, origin.Origin{Service: "advisor", Version: "v1"}},
		{"later one at its address", fleet.Upstream{ID: "i-1", Service: "advisor", Address: "10.0.0.5:80", StartedAt: later, SoftwareVersion: "v2"}, later, origin.Origin{}},
		{"later one elsewhere", fleet.Upstream{ID: "i-1", Service: "advisor", Address: "10.0.0.6:80", StartedAt: later, SoftwareVersion: "v2"}, later, origin.Origin{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := fleet.Upstream{ID: "i-1", Service: "advisor", Address: "10.0.0.5:80", StartedAt: began, SoftwareVersion: "v1"}
				relay := &Relay{
					process: newProcess(), stateChanged: newBroadcast(), picker: picker.New(picker.Config{}), origins: newOrigins(),
					store: newStoreView(fleet.New(fleet.Config{}), zap.NewNop()), config: Config{DatagramPort: 7600},
					// No ask is due.
					incarnationAsks: &incarnationAsks{askedAt: map[string]time.Time{"i-1": time.Now().Add(time.Hour)}},
				}
				list := func(upstream fleet.Upstream) {
					relay.store.instances.Set(upstream)
					relay.picker.SetUpstreams(relay.store.instances.Upstreams())
				}
				list(first)
				time.Sleep(time.Second)
				proxyRequest := &proxyRequest{
					relay: relay, route: &routes.Route{Resumable: true}, service: &routes.Service{Name: "advisor", Engine: &routes.Engine{}},
					headersSent: true, active: new(activeSend), connection: connection{first, time.Now()},
				}
				time.Sleep(time.Millisecond)
				list(test.listed)
				relay.picker.RecordIncarnation("i-1", test.runs, time.Now())
				if err := proxyRequest.checkOrigin(t.Context()); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(test.want, proxyRequest.origin); diff != "" {
					t.Errorf("origin (-want +got):\n%s", diff)
				}
			})
		})
	}
}
