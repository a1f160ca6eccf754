// Package ring assigns adapters to upstreams. It holds a consistent-hash ring,
// rendezvous hashing for idempotency keys, and the request rates of adapters,
// which determine how many upstreams should serve each.
package ring

import (
	"strconv"

	"github.com/zeebo/xxh3"
)

// AdapterHash returns the hash of one version of an adapter. Load reports contain
// it, so every process must compute it in the same way.
func AdapterHash(adapter string, version uint32) uint64 {
	var buffer [128]byte
	text := append(buffer[:0], adapter...)
	text = append(text, '@')
	text = strconv.AppendUint(text, uint64(version), 10)
	return xxh3.Hash(text)
}

// Rendezvous returns the index of the id at a rank, counted from 0, in the
// rendezvous order of the ids for the key. It returns -1 if the rank is not less
// than the number of ids. Every process that knows the same ids computes the
// same order.
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
