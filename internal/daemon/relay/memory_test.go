package relay

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// TestMemoryKeepersListed guards against a choice of loaders that takes plain upstreams out
// of the list that the relay's other tasks share. Requests to them were refused as "no
// upstream is ready" until the list changed (TestVersionSoak/seed-11).
func TestMemoryKeepersListed(t *testing.T) {
	relay := New(Config{ReadyPath: "/ready", Logger: zap.NewNop(), FailureDomain: "hall-a", DatagramAddress: ownAddress, DatagramPort: 7600})
	relay.store.table.Store(routes.New(routes.Config{Version: 1, Services: []routes.Service{{Name: "advisor", Engine: &routes.Engine{}}, {Name: "counter"}}}))
	for _, upstream := range []fleet.Upstream{
		{ID: "i-1", Service: "counter", Address: "10.0.1.1:80", FailureDomain: "hall-a", Slots: 4},
		{ID: "i-2", Service: "advisor", Address: "10.0.1.2:80", FailureDomain: "hall-b", Slots: 4},
		{ID: "i-3", Service: "advisor", Address: "10.0.1.3:80", FailureDomain: "hall-a", Slots: 4, Draining: true},
		{ID: "i-4", Service: "advisor", Address: "10.0.1.4:80", FailureDomain: "hall-a", Slots: 4},
		{ID: "i-5", Service: "counter", Address: "10.0.1.5:80", FailureDomain: "hall-a", Slots: 4},
	} {
		relay.store.instances.Set(upstream)
	}
	listed := slices.Clone(relay.store.instances.Upstreams())
	if diff := cmp.Diff([]string{"10.0.1.4:7600", "10.0.1.2:7600"}, relay.memoryKeepers()); diff != "" {
		t.Errorf("loaders (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(listed, relay.store.instances.Upstreams()); diff != "" {
		t.Errorf("listed upstreams (-before +after):\n%s", diff)
	}
}
