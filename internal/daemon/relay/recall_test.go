package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// TestCovered guards against a history that counts as reaching further back than its records
// show, so that another version that was listed before is overlooked.
func TestCovered(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	records := func(count int, addresses ...string) []Listing {
		var listings []Listing
		for range count {
			for _, address := range addresses {
				listings = append(listings, Listing{ID: "i-" + address, Upstream: &fleet.Upstream{Address: address}})
			}
		}
		return listings
	}
	tests := []struct {
		name    string
		history ListingHistory
		want    time.Duration
	}{
		{name: "no records"},
		{name: "all records, without an entry", history: ListingHistory{Complete: true}, want: origin.HistoryRetention},
		{name: "one record each", history: ListingHistory{Listings: records(1, "a", "b", "c", "d", "e")}},
		{name: "several records each", history: ListingHistory{Listings: records(11, "a", "b", "c", "d", "e")}, want: 10 * heartbeat},
		{
			name:    "one upstream writes more often",
			history: ListingHistory{Listings: append(records(100, "a"), records(6, "b", "c", "d", "e")...)}, want: 5 * heartbeat,
		},
		{
			name:    "most are new",
			history: ListingHistory{Listings: append(records(11, "a"), records(2, "b", "c", "d", "e", "f", "g", "h")...)}, want: heartbeat,
		},
		{name: "removals only", history: ListingHistory{Listings: []Listing{{ID: "i-1"}, {ID: "i-2"}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.history.covered(heartbeat)); diff != "" {
				t.Errorf("covered (-want +got):\n%s", diff)
			}
			if got := test.history.covered(0); !test.history.Complete && got != 0 {
				t.Errorf("covers %v without a known heartbeat", got)
			}
		})
	}
}
