package setup

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const goodRelay = `
instance = "edge-1"
failure-domain = "hall-a"
store = "10.200.1.7:8225"
[listen]
callers = "10.1.0.25:8221"
probes = "10.1.0.25:8224"
metrics = "10.1.0.25:9464"
[peers]
listen = "10.1.0.25:7600"
[bounds]
revoke = "5000ms"
grace = "8s"
retry-ratio = 0.2
retry-extra = 58.0
retry-window = "10s"
`

const goodLoader = `
instance = "side-1"
engine = "10.1.0.27:8228"
metrics = "10.1.0.27:9464"
[peers]
listen = "10.1.0.27:7600"
`

// TestPlatformSettings guards against settings that are accepted although a relay
// or loader cannot run with them, and against errors that name neither the wrong
// key nor what to write.
func TestPlatformSettings(t *testing.T) {
	relay := func(file string) error { _, err := LoadRelay(file); return err }
	loader := func(file string) error { _, err := LoadLoader(file); return err }
	tests := []struct {
		name string
		load func(file string) error
		text string
		want []string
	}{
		{"relay", relay, goodRelay, nil},
		{"loader", loader, goodLoader, nil},
		{"unknown key", relay, strings.Replace(goodRelay, "grace", "graze", 1), []string{"bounds.graze", "remove it"}},
		{"no port", relay, strings.Replace(goodRelay, ":8225", "", 1), []string{"store", "10.200.1.7", "IP:port"}},
		{"no time", relay, strings.Replace(goodRelay, `"5000ms"`, `"0s"`, 1), []string{"bounds.revoke", "duration above 0"}},
		{"unit missing", relay, strings.Replace(goodRelay, `"8s"`, `"8"`, 1), []string{"grace"}},
		{"negative heartbeat", relay, "heartbeat = \"-1s\"\n" + goodRelay, []string{"heartbeat", "-1s", "above 0"}},
		{"no memory", relay, "memory-mb = 0\n" + goodRelay, []string{"memory-mb", "between 1 and 1e+09"}},
		{"peers reach it elsewhere", relay, strings.Replace(goodRelay, "[peers]", "[peers]\naddress = \"10.9.0.25:7600\"", 1), nil},
		{"no port for peers", relay, strings.Replace(goodRelay, "[peers]", "[peers]\naddress = \"10.9.0.25\"", 1), []string{"peers.address", "10.9.0.25", "IP:port"}},
		{"cold bounds", relay, goodRelay + "cold-overage = \"1.5\"\ncold-tolerance = 5\n", nil},
		{"negative cold tolerance", relay, goodRelay + "cold-tolerance = -1\n", []string{"bounds.cold-tolerance", "-1", "at least 0"}},
		{"no engine", loader, strings.Replace(goodLoader, `engine = "10.1.0.27:8228"`, "", 1), []string{"engine", "IP:port"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.toml")
			if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			err := test.load(file)
			if test.want == nil {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if err == nil {
				t.Fatal("the settings were accepted")
			}
			for _, part := range append(test.want, file) {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("%q does not name %q", err, part)
				}
			}
		})
	}
}

// TestRelayDurations guards against a bound that is read in another unit.
func TestRelayDurations(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(goodRelay), 0o600); err != nil {
		t.Fatal(err)
	}
	relay, err := LoadRelay(file)
	if err != nil {
		t.Fatal(err)
	}
	if relay.Bounds.RevocationDelay.Duration != 5*time.Second || relay.Bounds.GracePeriod.Duration != 8*time.Second {
		t.Errorf("bounds are %+v", relay.Bounds)
	}
}

// TestReachedAddress guards against a relay that names peers an address by which they cannot
// reach it.
func TestReachedAddress(t *testing.T) {
	tests := []struct {
		name  string
		peers RelayPeers
		want  string
	}{
		{"listens there", RelayPeers{Listen: "10.1.0.25:7600"}, "10.1.0.25:7600"},
		{"translated", RelayPeers{Listen: "10.1.0.25:7600", Address: "10.9.0.25:7600"}, "10.9.0.25:7600"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.peers.Reached(); got != test.want {
				t.Errorf("peers reach the relay at %s, want %s", got, test.want)
			}
		})
	}
}
