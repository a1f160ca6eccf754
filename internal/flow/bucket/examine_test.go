package bucket

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// stateOf returns all that a limiter keeps of its buckets and peers.
func stateOf(limiter *Limiter) (state []string) {
	for organisation, bucket := range limiter.buckets {
		state = append(state, fmt.Sprintf("%s %+v", organisation, *bucket))
		for class, use := range bucket.classes {
			state = append(state, fmt.Sprintf("%v %+v", class, *use))
		}
	}
	for _, peer := range limiter.peers {
		state = append(state, fmt.Sprintf("%+v", *peer))
	}
	slices.Sort(state)
	return append(state, fmt.Sprintf("%+v", *limiter.refused))
}

// TestExamine guards against an examination that spends, counts or reserves anything, or that
// differs from what TakeRequest does next.
func TestExamine(t *testing.T) {
	const urgent, patient = Class(time.Second), Class(time.Minute)
	limit := Limit{Rate: 100, Burst: 200}
	tests := []struct {
		name     string
		spent    float64
		silent   bool
		request  Request
		admitted bool
	}{
		{name: "unknown organisation", request: Request{Cost: 10}, admitted: true},
		{name: "enough", spent: 100, request: Request{Cost: 10}, admitted: true},
		{name: "used up", spent: 200, request: Request{Cost: 10}},
		{name: "reserved for others", spent: 100, request: Request{Cost: 90, Class: patient, Identity: 7}},
		{name: "urgent", spent: 100, request: Request{Cost: 90, Class: urgent, Identity: 7}, admitted: true},
		{name: "silent peer", spent: 200, silent: true, request: Request{Cost: 60}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter := New(Config{Seed: 1, InitialFraction: 1})
				limiter.SetInstances(1)
				time.Sleep(10 * time.Second)
				limiter.MergeUsage("peer", Usage{Start: 1, Uptime: time.Minute, Initialised: true, Spent: map[string]float64{"o": 1}})
				if test.spent > 0 {
					limiter.TakeRequest("o", limit, Request{Cost: test.spent, Class: urgent, Identity: 6})
				}
				if test.silent {
					time.Sleep(DefaultPeerTimeout + time.Millisecond)
					limiter.TakeRequest("o", limit, Request{Cost: 50, Class: urgent})
				}
				before := stateOf(limiter)
				got := limiter.Examine("o", limit, test.request)
				if diff := cmp.Diff(before, stateOf(limiter)); diff != "" {
					t.Errorf("the examination changed the state (-want +got):\n%s", diff)
				}
				status := limiter.Status("o", limit)
				denial, admitted := limiter.TakeRequest("o", limit, test.request)
				if diff := cmp.Diff(Examination{status, denial, admitted}, got); diff != "" || admitted != test.admitted {
					t.Errorf("admitted %v, want %v; TakeRequest (-want) and Examine (+got):\n%s", admitted, test.admitted, diff)
				}
			})
		})
	}
}
