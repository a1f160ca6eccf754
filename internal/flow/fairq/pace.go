package fairq

import (
	"math"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// paceHalfLife is how fast the measured pace forgets: several requests at the
// 5 s that an answer of 100 tokens takes.
const paceHalfLife = 20 * time.Second

// paceWarmup is the busy time before the pace is believed.
const paceWarmup = 2 * time.Second

// pace measures tokens started per second of the time in which the upstream
// was full and requests waited.
type pace struct {
	tokens  float64
	busy    float64
	since   time.Time
	decayed time.Time
}

// SetSaturated says whether requests wait because the upstream is full.
func (queue *Queue[T]) SetSaturated(now time.Time, busy bool) {
	queue.pace.advance(now)
	if !busy {
		queue.pace.since = time.Time{}
	} else if queue.pace.since.IsZero() {
		queue.pace.since = now
	}
}

func (pace *pace) advance(now time.Time) {
	if !pace.decayed.IsZero() {
		factor := math.Exp2(-float64(now.Sub(pace.decayed)) / float64(paceHalfLife))
		pace.tokens *= factor
		pace.busy *= factor
	}
	pace.decayed = now
	if !pace.since.IsZero() {
		pace.busy += now.Sub(pace.since).Seconds()
		pace.since = now
	}
}

// served counts a started request if it had to wait for a full upstream.
func (pace *pace) served(now time.Time, cost model.Tokens) {
	pace.advance(now)
	if !pace.since.IsZero() {
		pace.tokens += float64(cost)
	}
}

func (pace *pace) estimate(now time.Time, ahead model.Tokens) time.Duration {
	pace.advance(now)
	if ahead == 0 || pace.since.IsZero() || pace.busy < paceWarmup.Seconds() || pace.tokens <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * pace.busy / pace.tokens * float64(time.Second))
}
