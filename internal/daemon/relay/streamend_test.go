package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// TestEndOfRemovedUpstream guards against a stream without a length that ends as complete,
// as its engine ended and its entry lapsed before this process read the end of the connection.
func TestEndOfRemovedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := fleet.Upstream{ID: "i-1", Service: "advisor", Address: "10.0.0.5:80", StartedAt: 1000, SoftwareVersion: "v1"}
		relay := newListedRelay(engine)
		time.Sleep(time.Minute)
		proxyRequest := &proxyRequest{
			relay: relay, route: &routes.Route{Streaming: true, Resumable: true}, service: &routes.Service{Name: "advisor", Engine: &routes.Engine{}},
			headersSent: true, active: new(activeSend), connection: connection{engine, time.Now()},
		}
		// The engine has crashed without having announced that it drains, and its entry expired.
		relay.store.instances.Remove("i-1")
		relay.picker.SetUpstreams(relay.store.instances.Upstreams())
		if err := proxyRequest.checkEnd(t.Context()); err == nil {
			t.Error("the stream counts as whole")
		}
		// Another one has drained and left.
		engine.StartedAt, engine.Draining = 2000, true
		proxyRequest.connection.upstream = engine
		relay.store.instances.Set(engine)
		relay.store.instances.Remove("i-1")
		if err := proxyRequest.checkEnd(t.Context()); err != nil {
			t.Errorf("the stream of an engine that has drained: %v", err)
		}
	})
}

// TestEndOfUnresumableStream guards against the same of a stream that no other engine can
// continue: it must break off.
func TestEndOfUnresumableStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := fleet.Upstream{ID: "i-1", Service: "advisor", Address: "10.0.0.5:80", StartedAt: 1000, SoftwareVersion: "v1"}
		relay := newListedRelay(engine)
		time.Sleep(time.Second)
		proxyRequest := &proxyRequest{
			relay: relay, route: &routes.Route{Streaming: true}, service: &routes.Service{Name: "advisor", Engine: &routes.Engine{}},
			headersSent: true, active: new(activeSend), connection: connection{engine, time.Now()},
		}
		relay.picker.RecordReport("i-1", picker.Report{Serial: 1, StartedAt: 1000, Unreachable: true})
		if err := proxyRequest.checkEnd(t.Context()); err == nil {
			t.Error("the stream counts as whole")
		}
	})
}
