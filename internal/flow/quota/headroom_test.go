package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a minimum headroom above the true one, which would credit too
// much, or needlessly below it. The reference keeps every recorded headroom.
func TestHistory(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		var headroomHistory headroomHistory
		var reference []minimum
		merged := false
		for at := range 3 * maxHistoryEntries {
			headroom := nanoTokens(random.Int64N(1000))
			if seed%2 == 0 {
				headroom += nanoTokens(100 * at)
			}
			headroomHistory.record(time.Duration(at), headroom)
			reference = append(reference, minimum{at: time.Duration(at), headroom: headroom})
			merged = merged || len(headroomHistory.minima) >= maxHistoryEntries
			since := at - random.IntN(min(at, 200)+1)
			if random.IntN(4) == 0 {
				lowered := nanoTokens(random.Int64N(300))
				headroomHistory.reduceSince(time.Duration(since), lowered)
				for index := since + 1; index < len(reference); index++ {
					reference[index].headroom -= lowered
				}
			}
			want := nanoTokens(maxBurst) * nanosPerToken
			for _, minimum := range reference[since+1:] {
				want = min(want, minimum.headroom)
			}
			got := headroomHistory.minSince(time.Duration(since))
			if got > want || got < want && !merged {
				t.Fatalf("seed %d: minimum headroom since %d at %d is %d, want %d", seed, since, at, got, want)
			}
		}
		if len(headroomHistory.minima) > maxHistoryEntries {
			t.Errorf("seed %d: %d entries", seed, len(headroomHistory.minima))
		}
	}
}
