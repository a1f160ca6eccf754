package relay

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLatestConfig guards against an instance that trusts its first configuration
// before it has heard what the others know, and against one that waits for ever for
// instances that report no configuration.
func TestLatestConfig(t *testing.T) {
	const first, second = "10.0.0.2:7600", "10.0.0.3:7600"
	tests := []struct {
		name     string
		listed   []string
		versions map[string]uint64
		want     uint64
		complete bool
	}{
		{name: "no other instance", complete: true},
		{name: "one not heard", listed: []string{first, second}, versions: map[string]uint64{first: 7}, want: 7},
		{name: "all heard", listed: []string{first, second}, versions: map[string]uint64{first: 7, second: 9}, want: 9, complete: true},
		{name: "without a configuration", listed: []string{first}, versions: map[string]uint64{first: 0}, complete: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peers := newPeers("10.0.0.1:7600", "hall-a")
			peers.recordListed(test.listed)
			for address, version := range test.versions {
				peers.recordReport(address, "hall-a", 1, version)
			}
			version, complete := peers.latestConfig()
			if diff := cmp.Diff([]any{test.want, test.complete}, []any{version, complete}); diff != "" {
				t.Errorf("latest version, and whether all were heard (-want +got):\n%s", diff)
			}
		})
	}
}
