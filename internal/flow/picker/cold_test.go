package picker

import (
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

type fakeCold map[string]float64

func (cold fakeCold) RequestRate(upstream fleet.Upstream) float64 { return cold[upstream.ID] }

// TestColdWait guards against requests that are promised to a cold engine, which looks idle,
// and wait there longer than at one that is busy.
func TestColdWait(t *testing.T) {
	tests := []struct {
		name    string
		cold    fakeCold
		waiting int
		want    string
	}{
		{name: "none cold", waiting: 20, want: "i-cold"},
		{name: "cold, few wait", cold: fakeCold{"i-cold": 10}, waiting: 1, want: "i-cold"},
		{name: "cold, many wait", cold: fakeCold{"i-cold": 10}, waiting: 20, want: "i-busy"},
		{name: "hardly takes any", cold: fakeCold{"i-cold": 1e-300}, waiting: 1, want: "i-busy"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			picker := New(Config{Cold: test.cold})
			picker.SetUpstreams([]fleet.Upstream{{ID: "i-cold", Service: "s", Address: "a:1", Slots: 64}, {ID: "i-busy", Service: "s", Address: "b:1", Slots: 64}})
			picker.RecordReport("i-cold", Report{Serial: 1, ModelLoaded: true, WaitingRequests: test.waiting})
			picker.RecordReport("i-busy", Report{Serial: 1, ModelLoaded: true, Backlog: 9000})
			if choice := picker.Choose(Request{Service: "s", Engine: true}); choice.Result != Found || choice.Upstream.ID != test.want {
				t.Errorf("chose %q (result %d), want %q", choice.Upstream.ID, choice.Result, test.want)
			}
		})
	}
}

// byGrantOnly admits requests only by grants.
type byGrantOnly struct{}

func (byGrantOnly) Admission(_ fleet.Upstream, _ uint64, byGrant bool) permit.Admission {
	if byGrant {
		return permit.Admission{Held: 1}
	}
	return permit.Admission{}
}

func (byGrantOnly) Want(fleet.Upstream, uint64) {}

// TestGrantsExpire guards against a request that is sent by a grant that was given long ago,
// as its instance was stopped, or for an earlier wait at the same engine.
func TestGrantsExpire(t *testing.T) {
	tests := []struct {
		name string
		// asked is when the instance asked after the request began to wait, and late how
		// long after that the request looks at its grant.
		asked, late time.Duration
		want        GrantState
	}{
		{name: "at once", asked: time.Millisecond, late: 10 * time.Millisecond, want: Granted},
		{name: "after a stop", asked: time.Millisecond, late: admit.GrantLifetime, want: Waiting},
		{name: "of an earlier wait", asked: -time.Millisecond, late: 10 * time.Millisecond, want: Waiting},
		{name: "after a stop, loader unheard", asked: time.Millisecond, late: 2 * time.Second, want: Unusable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				picker := New(Config{Limits: byGrantOnly{}})
				picker.SetUpstreams([]fleet.Upstream{{ID: "i-0", Service: "s", Address: "a:1", Slots: 8}})
				picker.AddWaiting("i-0", admit.Request{ID: 7}, time.Time{})
				askedAt := time.Now().Add(test.asked)
				picker.RecordReport("i-0", Report{Serial: 1, ModelLoaded: true})
				picker.RecordGrantsUntil("i-0", []uint64{7}, askedAt, askedAt.Add(admit.GrantLifetime))
				time.Sleep(time.Until(askedAt.Add(test.late)))
				if got := picker.GrantState("i-0", 7); got != test.want {
					t.Errorf("grant state %d, want %d", got, test.want)
				}
			})
		})
	}
}
