package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// newListedRelay returns a relay that lists some upstreams and asks no loader.
func newListedRelay(upstreams ...fleet.Upstream) *Relay {
	relay := New(Config{ReadyPath: "/ready", Logger: zap.NewNop(), DatagramPort: 7600})
	for _, upstream := range upstreams {
		relay.store.instances.Set(upstream)
		// No ask is due.
		relay.incarnationAsks.askedAt[upstream.ID] = time.Now().Add(time.Hour)
	}
	relay.picker.SetUpstreams(relay.store.instances.Upstreams())
	return relay
}

// TestAbandonedBegin guards against a stream that counts as begun by the upstream of an
// earlier send, of which no event was forwarded, and so goes on at another version.
func TestAbandonedBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := fleet.Upstream{ID: "i-1", Service: "advisor", Address: "10.0.0.5:80", StartedAt: 1000, SoftwareVersion: "v1"}
		second := fleet.Upstream{ID: "i-2", Service: "advisor", Address: "10.0.0.6:80", StartedAt: 1000, SoftwareVersion: "v2"}
		relay := newListedRelay(first, second)
		time.Sleep(time.Second)
		opened := time.Now()
		time.Sleep(time.Millisecond)
		relay.picker.RecordIncarnation("i-1", 1000, time.Now())
		proxyRequest := &proxyRequest{
			relay: relay, info: RequestInfo{ID: "r-1"}, route: &routes.Route{Streaming: true, Resumable: true, Timeout: time.Minute},
			service: &routes.Service{Name: "advisor", Engine: &routes.Engine{}}, active: new(activeSend), connection: connection{first, opened},
		}
		// The engine ends while its first event is read: the send is cancelled.
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(errUpstreamLost)
		if err := proxyRequest.checkOrigin(ctx); err == nil {
			t.Fatal("the first answer goes on")
		}
		// The next send begins the stream at an engine whose loader does not answer.
		proxyRequest.continues, proxyRequest.identified = proxyRequest.resumes(), false
		proxyRequest.connection, proxyRequest.active = connection{second, time.Now()}, new(activeSend)
		if err := proxyRequest.checkOrigin(t.Context()); err != nil {
			t.Fatal(err)
		}
		proxyRequest.headersSent = true
		if diff := cmp.Diff(origin.Origin{}, proxyRequest.origin); diff != "" {
			t.Errorf("origin of the stream (-want +got):\n%s", diff)
		}
		if refused := proxyRequest.resumeRefusal(); refused == nil || refused.reason != reasonOriginUnknown {
			t.Errorf("resumed at %q: refusal %v, want %q", proxyRequest.requirements().SoftwareVersion, refused, reasonOriginUnknown)
		}
		if record, found := relay.origins.ledger.Find(proxyRequest.streamKey()); found && record.Origin.Known() {
			t.Errorf("others learn that %v began the stream, want nothing", record.Origin)
		}
	})
}
