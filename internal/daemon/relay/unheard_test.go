package relay

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// newBrokenStream returns a request whose stream of version v1 broke after an event.
func newBrokenStream(relay *Relay) *proxyRequest {
	return &proxyRequest{
		relay: relay, info: RequestInfo{ID: "r-1"}, route: &routes.Route{Name: "r", Streaming: true, Resumable: true, ResponseGoal: 800 * time.Millisecond, MaxAttempts: 3},
		request: httptest.NewRequest("POST", "/x", nil), service: &routes.Service{Name: "advisor", Engine: &routes.Engine{Slots: 8}}, started: time.Now(), readAt: time.Now(),
		deadline: time.Now().Add(time.Minute), headersSent: true, continues: true, active: new(activeSend), origin: origin.Origin{Service: "advisor", Version: "v1"},
	}
}

// TestResumeWithoutLoaders guards against a broken stream that is held until its deadline at an
// instance that hears no loader, although its caller could take it up elsewhere.
func TestResumeWithoutLoaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := fleet.Upstream{ID: "i-1", Service: "advisor", Address: "10.0.0.5:80", StartedAt: 1000, SoftwareVersion: "v1", Slots: 8}
		relay := newListedRelay(engine)
		relay.picker.RecordReport("i-1", picker.Report{Serial: 1, StartedAt: 1000, ModelLoaded: true})
		time.Sleep(10 * time.Second)
		proxyRequest := newBrokenStream(relay)
		began := time.Now()
		_, refused := proxyRequest.awaitUpstream(t.Context())
		if waited := time.Since(began); refused == nil || waited > 3200*time.Millisecond {
			t.Errorf("refusal %v after %v", refused, waited)
		}
	})
}
