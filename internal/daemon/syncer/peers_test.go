package syncer

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestPeerSample guards against calls that each go to another peer and so open a
// connection, and against calls to peers that are no longer listed.
func TestPeerSample(t *testing.T) {
	list := func(from, to int) []string {
		var addresses []string
		for index := from; index < to; index++ {
			addresses = append(addresses, fmt.Sprintf("peer-%d", index))
		}
		return addresses
	}
	const rounds = 50
	tests := []struct {
		name        string
		before, now []string
		least, most int
	}{
		{"none", nil, nil, 0, 0},
		{"all peers of a small fleet", nil, list(0, 10), 10, 10},
		{"duplicates", nil, append(list(0, 10), list(0, 10)...), 10, 10},
		{"some peers of a large fleet", nil, list(0, 7000), sampleSize + rounds/2, sampleSize + rounds},
		{"all peers of the sample left", list(0, 1000), list(1000, 1020), sampleSize, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var peers peerList
			random := rand.New(rand.NewPCG(1, 1))
			peers.listed = test.before
			peers.refreshSample(random)
			peers.listed = test.now
			called := map[string]bool{}
			for range rounds * sampleSize {
				if address, ok := peers.next(random); ok {
					called[address] = true
				}
			}
			if len(called) < test.least || len(called) > test.most {
				t.Errorf("%d peers called, want %d to %d", len(called), test.least, test.most)
			}
			for address := range called {
				found := false
				for _, listed := range test.now {
					found = found || listed == address
				}
				if !found {
					t.Errorf("%s is called although it is not listed", address)
				}
			}
		})
	}
}
