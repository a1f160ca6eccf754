package demo

import (
	"testing"
	"testing/synctest"
	"time"
)

// small returns a deployment that runs quickly in virtual time.
func small(deployment Deployment) Deployment {
	deployment.Runners = 4
	deployment.Plains = 2
	deployment.Adapters = 100
	deployment.Requests = 15
	return deployment
}

func TestPromisesInVirtualTime(t *testing.T) {
	tests := []struct {
		name       string
		guards     string
		deployment Deployment
	}{
		{"bonsai", "a promise broken by operators' actions under load", small(Bonsai())},
		{"gourd", "the same with the other deployment's load", small(Gourd())},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result, err := Run(t.Context(), Config{
					Deployment: test.deployment, Network: NewMemory(), Policy: "default", Entries: 2, Seed: 1, Length: 10 * time.Second,
				})
				if err != nil {
					t.Fatal(err)
				}
				for _, promise := range result.Promises {
					if !promise.Held {
						t.Errorf("%s: %s: %s", test.guards, promise.Name, promise.Seen)
					}
				}
				t.Logf("%+v", result.Measures)
				for _, problem := range result.Problems {
					t.Log(problem)
				}
			})
		})
	}
}
