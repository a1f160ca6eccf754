package relay

import (
	"math"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// TestColdShares guards against grants and permits that together exceed what a cold
// upstream tolerates, when some relays hear its loader and others do not.
func TestColdShares(t *testing.T) {
	for _, engine := range []*routes.Engine{nil, {}} {
		for _, rate := range []float64{0.5, 1, 2, 11, 40, 1000} {
			for _, tolerance := range []setup.Number{0, 1, 5, 50} {
				service, bounds := &routes.Service{ColdRate: rate, Engine: engine}, Bounds{ColdOverage: 1.5, ColdTolerance: tolerance}
				bound, permits := coldBound(service, bounds), float64(coldPermitRate(service, bounds))
				used := 0.0
				if permits > 0 {
					// All that are unused after a second and their burst at once.
					used = math.Floor(max(1, permits/4) + permits*2.25)
				}
				if engine != nil {
					used += float64(coldGrants(bound))
				}
				if used > bound {
					t.Errorf("cold rate %v, tolerance %v, engine %v: %v requests in a second, want at most %v", rate, tolerance, engine != nil, used, bound)
				}
			}
		}
	}
}

// TestColdAdmission guards against requests to a cold upstream without a grant or a permit,
// or from a relay that does not hear the others, and against limits on upstreams of services
// without a cold rate.
func TestColdAdmission(t *testing.T) {
	const open, pending, held = "open", "pending", "held"
	tests := []struct {
		name     string
		coldRate float64
		heard    bool
		byGrant  bool
		entry    fleet.Upstream
		want     string
	}{
		{name: "no cold rate", heard: true, entry: fleet.Upstream{ColdSaid: true, ColdRemaining: time.Second}, want: open},
		{name: "warm", coldRate: 11, heard: true, entry: fleet.Upstream{ColdSaid: true}, want: open},
		{name: "cold", coldRate: 11, heard: true, entry: fleet.Upstream{ColdSaid: true, ColdRemaining: time.Second}, want: pending},
		{name: "cold, by a grant", coldRate: 11, byGrant: true, entry: fleet.Upstream{ColdSaid: true, ColdRemaining: time.Second}, want: open},
		{name: "started lately", coldRate: 11, heard: true, want: pending},
		{name: "others not heard", coldRate: 11, entry: fleet.Upstream{ColdSaid: true, ColdRemaining: time.Second}, want: held},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := test.entry
				upstream.ID, upstream.Service, upstream.Address, upstream.StartedAt = "i-1", "lookup", "10.0.0.5:80", time.Now().UnixMilli()
				relay := newListedRelay(upstream)
				relay.store.table.Store(routes.New(routes.Config{Version: 1, Services: []routes.Service{{Name: "lookup", ColdRate: test.coldRate, ColdStart: 8 * time.Second}}}))
				relay.peersKnown.Store(test.heard)
				relay.updateCold()
				admission, got := relay.permits.Admission(upstream, 1, test.byGrant), open
				switch {
				case admission.Held == 0 && admission.Pending:
					got = pending
				case admission.Held == 0:
					got = held
				}
				if got != test.want || relay.permits.take(upstream, test.byGrant) != (test.want == open) {
					t.Errorf("the upstream is %s, want %s; rate %v", got, test.want, relay.permits.rateFor(incarnationOf(upstream), test.byGrant))
				}
				time.Sleep(9 * time.Second)
				if rate := relay.permits.rate(incarnationOf(upstream)); rate != permit.Unlimited {
					t.Errorf("rate %v after the cold time", rate)
				}
			})
		})
	}
}

// TestColdRateRemoved guards against an upstream that stays limited after the operators have
// removed the cold rate of its service.
func TestColdRateRemoved(t *testing.T) {
	upstream := fleet.Upstream{ID: "i-1", Service: "lookup", Address: "10.0.0.5:80", StartedAt: 1, ColdSaid: true, ColdRemaining: time.Minute}
	relay := newListedRelay(upstream)
	for version, coldRate := range []float64{11, 0, 11} {
		relay.store.table.Store(routes.New(routes.Config{Version: uint64(1 + version), Services: []routes.Service{{Name: "lookup", ColdRate: coldRate}}}))
		relay.updateCold()
		if limited := relay.permits.rate(incarnationOf(upstream)) != permit.Unlimited; limited != (coldRate > 0) {
			t.Errorf("configuration %d: the upstream is limited: %v", 1+version, limited)
		}
	}
}

// TestHearsMajority guards against sends to cold upstreams while others may issue permits for
// them, and against a copy of the list of instances for each cold upstream in a choice.
func TestHearsMajority(t *testing.T) {
	for _, test := range []struct {
		heard, silent int
		want          bool
	}{{0, 0, true}, {1, 1, true}, {0, 1, false}, {1, 2, false}, {50, 50, true}} {
		peers := newPeers("own", "domain")
		for number := range test.heard + test.silent {
			peers.byAddress[strconv.Itoa(number)] = &peer{}
			if number < test.heard {
				peers.byAddress[strconv.Itoa(number)].lastHeard = time.Now()
			}
		}
		if got := peers.hearsMajority(); got != test.want {
			t.Errorf("%d heard, %d silent: %v, want %v", test.heard, test.silent, got, test.want)
		}
		if allocations := testing.AllocsPerRun(10, func() { peers.hearsMajority() }); allocations > 0 {
			t.Errorf("%d heard, %d silent: %v allocations", test.heard, test.silent, allocations)
		}
	}
}
