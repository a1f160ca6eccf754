package relay

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// believed is what a relay believes of an upstream.
type believed struct {
	Draining bool
	Backoff  time.Duration
	Load     int
	Rate     permit.Rate
}

// TestStaleNotices guards against what a copy of an earlier response says of its upstream
// and that does not hold any more: a backoff, a load, or the end of a rate limit.
func TestStaleNotices(t *testing.T) {
	const limit, load = 5, 3
	upstream := fleet.Upstream{ID: "i-1", Service: "counter", Slots: 8, StartedAt: 1700}
	silent := ResponseInfo{Load: -1, RateLimit: permit.Unlimited}
	with := func(change func(info *ResponseInfo)) ResponseInfo {
		info := silent
		change(&info)
		return info
	}
	free := believed{Load: load, Rate: permit.Unlimited}
	tests := []struct {
		name string
		info ResponseInfo
		// limited means that the upstream has named a limit before. Without a permit, no
		// load is seen.
		limited bool
		// own and foreign are what is believed after a response to the request, and to
		// another one.
		own, foreign believed
	}{
		{name: "nothing", info: silent, own: free, foreign: free},
		{name: "draining", info: with(func(info *ResponseInfo) { info.Draining = true }), own: believed{Draining: true, Rate: permit.Unlimited}, foreign: believed{Draining: true, Rate: permit.Unlimited}},
		{name: "backoff", info: with(func(info *ResponseInfo) { info.RetryAfter = time.Second }), own: believed{Backoff: time.Second, Rate: permit.Unlimited}, foreign: free},
		{name: "higher load", info: with(func(info *ResponseInfo) { info.Load = load + 3 }), own: believed{Load: load + 3, Rate: permit.Unlimited}, foreign: free},
		{name: "lower load", info: with(func(info *ResponseInfo) { info.Load = 0 }), own: believed{Rate: permit.Unlimited}, foreign: free},
		{name: "first limit", info: with(func(info *ResponseInfo) { info.RateLimit = limit }), own: believed{Rate: limit}, foreign: believed{Rate: limit}},
		{name: "lower limit", info: with(func(info *ResponseInfo) { info.RateLimit = limit - 1 }), limited: true, own: believed{Rate: limit - 1}, foreign: believed{Rate: limit - 1}},
		{name: "higher limit", info: with(func(info *ResponseInfo) { info.RateLimit = limit + 1 }), limited: true, own: believed{Rate: limit + 1}, foreign: believed{Rate: limit}},
		{name: "end of the limit", info: silent, limited: true, own: free, foreign: believed{Rate: limit}},
	}
	for _, test := range tests {
		for _, foreign := range []bool{false, true} {
			name, want := test.name+", own", test.own
			if foreign {
				name, want = test.name+", of another request", test.foreign
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					relay := New(Config{ReadyPath: "/ready", Logger: zap.NewNop()})
					relay.picker.SetUpstreams([]fleet.Upstream{upstream})
					proxyRequest := &proxyRequest{relay: relay, request: httptest.NewRequest("POST", "/", nil), info: RequestInfo{ID: "own"}, sentAt: time.Now()}
					if test.limited {
						proxyRequest.applyNotices(upstream, with(func(info *ResponseInfo) { info.ID, info.RateLimit = "own", limit }))
					}
					// A limit can be raised once it was last named so long ago.
					time.Sleep(permit.DefaultRaiseDelay)
					relay.picker.RecordLoad(upstream.ID, load)
					proxyRequest.sentAt = time.Now()
					info := test.info
					info.ID = "own"
					if foreign {
						info.ID = "other"
						info = info.staleNotices()
					}
					proxyRequest.applyNotices(upstream, info)
					if diff := cmp.Diff(want, relay.believed(upstream)); diff != "" {
						t.Errorf("believed (-want +got):\n%s", diff)
					}
				})
			})
		}
	}
}

// believed returns what the relay believes of an upstream.
func (relay *Relay) believed(upstream fleet.Upstream) believed {
	until, cordoned := relay.cordon.Cordoned(incarnationOf(upstream))
	result := believed{
		Draining: cordoned && until.IsZero(), Rate: relay.permits.limits.Rate(incarnationOf(upstream)),
		Load: relay.picker.Choose(picker.Request{Service: upstream.Service}).Load,
	}
	if !until.IsZero() {
		result.Backoff = time.Until(until)
	}
	return result
}
