package demo

import (
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/bench/certs"
)

// shrink reduces a deployment so that it runs quickly in virtual time.
func shrink(deployment Deployment) Deployment {
	deployment.Engines = 4
	deployment.PlainUpstreams = 2
	deployment.Adapters = 100
	deployment.RequestRate = 15
	return deployment
}

// TestInvariantsInVirtualTime runs whole deployments with operators' actions and
// guards against a violated invariant.
func TestInvariantsInVirtualTime(t *testing.T) {
	tests := []struct {
		name       string
		guards     string
		deployment Deployment
		tls        bool
	}{
		{"bonsai", "an invariant violated by operators' actions under load", shrink(Bonsai()), false},
		{"gourd", "an invariant violated under the other deployment's load", shrink(Gourd()), false},
		{"mutual TLS", "a connection between processes that cannot be established with mutual TLS", shrink(Bonsai()), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := Config{
					Deployment: test.deployment, Network: NewMemoryNetwork(), Policy: "default", Entries: 2, Seed: 1, Duration: 10 * time.Second,
				}
				if test.tls {
					config.TLS = issueCertificates(t)
				}
				result, err := Run(t.Context(), config)
				if err != nil {
					t.Fatal(err)
				}
				for _, invariant := range result.Invariants {
					if !invariant.Held {
						t.Errorf("%s: %s: %s", test.guards, invariant.Name, invariant.Observed)
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

// issueCertificates returns certificate files of a new authority. They are issued,
// and thus valid, in virtual time.
func issueCertificates(t *testing.T) setup.TLS {
	t.Helper()
	authority, err := certs.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	files, err := authority.Issue(t.TempDir(), 2)
	if err != nil {
		t.Fatal(err)
	}
	return setup.TLS{CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA}
}
