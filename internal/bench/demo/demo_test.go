package demo

import (
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/bench/certs"
)

// small returns a deployment that runs quickly in virtual time.
func small(deployment Deployment) Deployment {
	deployment.Engines = 4
	deployment.PlainUpstreams = 2
	deployment.Adapters = 100
	deployment.RequestRate = 15
	return deployment
}

func TestPromisesInVirtualTime(t *testing.T) {
	tests := []struct {
		name       string
		guards     string
		deployment Deployment
		tls        bool
	}{
		{"bonsai", "a promise broken by operators' actions under load", small(Bonsai()), false},
		{"gourd", "the same with the other deployment's load", small(Gourd()), false},
		{"mutual TLS", "a connection between processes that does not come up with certificates", small(Bonsai()), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := Config{
					Deployment: test.deployment, Network: NewMemoryNetwork(), Policy: "default", Entries: 2, Seed: 1, Length: 10 * time.Second,
				}
				if test.tls {
					config.TLS = issueCertificates(t)
				}
				result, err := Run(t.Context(), config)
				if err != nil {
					t.Fatal(err)
				}
				for _, promise := range result.Invariants {
					if !promise.Held {
						t.Errorf("%s: %s: %s", test.guards, promise.Name, promise.Observed)
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

// issueCertificates returns files of a new authority, valid in virtual time.
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
