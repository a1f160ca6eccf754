package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a remembered room that is above the true one, which would
// credit too much, or needlessly below it. The naive version keeps every note.
func TestHistory(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		var history history
		var naive []minimum
		merged := false
		for at := range 3 * maxMinima {
			room := nanos(random.Int64N(1000))
			if seed%2 == 0 {
				room += nanos(100 * at)
			}
			history.note(time.Duration(at), room)
			naive = append(naive, minimum{at: time.Duration(at), room: room})
			merged = merged || len(history.minima) >= maxMinima
			since := at - random.IntN(min(at, 200)+1)
			if random.IntN(4) == 0 {
				lowered := nanos(random.Int64N(300))
				history.lower(time.Duration(since), lowered)
				for index := since + 1; index < len(naive); index++ {
					naive[index].room -= lowered
				}
			}
			want := nanos(maxBurst) * perToken
			for _, minimum := range naive[since+1:] {
				want = min(want, minimum.room)
			}
			got := history.least(time.Duration(since))
			if got > want || got < want && !merged {
				t.Fatalf("seed %d: least room since %d at %d is %d, want %d", seed, since, at, got, want)
			}
		}
		if len(history.minima) > maxMinima {
			t.Errorf("seed %d: %d entries", seed, len(history.minima))
		}
	}
}
