package setup

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const goodSide = `
instance = "side-advisor-01"
failure-domain = "zilina-a"
request-limit = "1m"
[listen]
peers = "127.0.0.1:9101"
operators = "127.0.0.1:7101"
[platform]
log-url = "http://127.0.0.1:7000"
instances-url = "http://127.0.0.1:7000"
[upstream]
id = "advisor-01"
url = "http://127.0.0.1:6001"
`

func TestSideSettings(t *testing.T) {
	tests := []struct {
		name    string
		guards  string
		text    string
		problem string
	}{
		{"complete", "defaults must pass their own checks", goodSide, ""},
		{"unknown key", "a misspelt key must not be ignored", goodSide + "cuncurrency = 3\n", "unknown key upstream.cuncurrency"},
		{"wrong type", "a number given as text must name its line", goodSide + "concurrency = \"x\"\n", "concurrency"},
		{"syntax", "a syntax error must name its line", goodSide + "x = = 3\n", "line 14"},
		{"choice", "a wrong choice must list the right ones", goodSide + "[log]\nlevel = \"loud\"\n", "write debug or info or warn or error"},
		{"address", "a host name is not an IP address", strings.Replace(goodSide, "127.0.0.1:9101", "localhost:9101", 1), "listen.peers is \"localhost:9101\"; write IP:port"},
		{"short drain", "a drain limit below the request limit cuts requests", goodSide + "[shutdown]\ndrain-limit = \"30s\"\n", "shutdown.drain-limit"},
		{"window", "claims must not outlive the log's records", goodSide + "[claims]\nwindow = \"1000h\"\n", "log-retention"},
		{"half of tls", "a TLS table without a certificate must not fall back to connections without TLS", goodSide + "[tls]\nca-file = \"ca.pem\"\n", "tls.cert-file"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			side := DefaultSide()
			err := decode("side.toml", []byte(test.text), &side)
			if err == nil {
				err = side.check("side.toml")
			}
			if test.problem == "" {
				if err != nil {
					t.Fatalf("%s: %v", test.guards, err)
				}
				if diff := cmp.Diff(time.Minute, side.RequestLimit); diff != "" {
					t.Error(diff)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), test.problem) {
				t.Fatalf("%s: got %v, want %q in it", test.guards, err, test.problem)
			}
		})
	}
}

func TestEntryDefaults(t *testing.T) {
	entry := DefaultEntry()
	text := strings.Replace(goodSide, "[upstream]\nid = \"advisor-01\"\nurl = \"http://127.0.0.1:6001\"\n", "", 1)
	text = strings.Replace(text, "request-limit = \"1m\"\n", "", 1)
	text = strings.Replace(text, "[listen]\n", "[listen]\ncallers = \"127.0.0.1:8080\"\n", 1)
	if err := decode("entry.toml", []byte(text), &entry); err != nil {
		t.Fatal(err)
	}
	if err := entry.check("entry.toml"); err != nil {
		t.Fatal(err)
	}
}

// FuzzSettings guards against settings that make a process panic, or that pass
// the checks with invalid values.
func FuzzSettings(f *testing.F) {
	for _, seed := range []string{goodSide, "", "instance = 3", "[listen]\npeers = \"[::1]:1\"", "[queue]\nrequests = -1", "x = [1,", "request-limit = \"-1s\"", "\x00"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		side := DefaultSide()
		err := decode("side.toml", []byte(text), &side)
		if err == nil {
			err = side.check("side.toml")
		}
		if err == nil && (side.RequestLimit <= 0 || side.Queue.Requests < 1 || side.Shutdown.DrainLimit <= side.RequestLimit) {
			t.Errorf("accepted settings with %v, %d and %v", side.RequestLimit, side.Queue.Requests, side.Shutdown.DrainLimit)
		}
	})
}
