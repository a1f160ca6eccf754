// Package ring assigns adapters to upstreams: a consistent-hash ring, the
// rendezvous order for idempotency keys and the popularity of adapters.
package ring

import (
	"strconv"

	"github.com/zeebo/xxh3"
)

// AdapterHash identifies an adapter in one version. Load reports carry it, so
// every process must compute it in the same way.
func AdapterHash(adapter string, version uint32) uint64 {
	var buffer [128]byte
	text := append(buffer[:0], adapter...)
	text = append(text, '@')
	text = strconv.AppendUint(text, uint64(version), 10)
	return xxh3.Hash(text)
}

// Rendezvous returns the index of the id that ranks after the first rank ids
// for the key, or -1 when there are not so many ids. Every process that knows
// the same ids computes the same order.
func Rendezvous(key []byte, ids []string, rank int) int {
	seed := xxh3.Hash(key)
	bound, found := uint64(0), -1
	for round := 0; round <= rank; round++ {
		best := -1
		var bestScore uint64
		for index, id := range ids {
			score := xxh3.HashStringSeed(id, seed)
			if round > 0 && score >= bound || best >= 0 && score <= bestScore {
				continue
			}
			best, bestScore = index, score
		}
		if best < 0 {
			return -1
		}
		bound, found = bestScore, best
	}
	return found
}
