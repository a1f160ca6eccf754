package fairq

import (
	"math"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// throughputHalfLife is the half-life of the measured throughput. It spans several
// requests, as an answer of 100 tokens takes 5 s.
const throughputHalfLife = 20 * time.Second

// minSaturatedTime is the saturated time after which the throughput is used.
const minSaturatedTime = 2 * time.Second

// throughput measures the cost of the requests started per second while the
// upstream is saturated: it runs as many requests as it may and others wait. The
// sums decay with throughputHalfLife.
type throughput struct {
	tokens           float64
	saturatedSeconds float64
	saturatedSince   time.Time
	updated          time.Time
}

// SetSaturated records whether requests wait because the upstream is full.
func (queue *Queue[T]) SetSaturated(now time.Time, saturated bool) {
	queue.throughput.advance(now)
	if !saturated {
		queue.throughput.saturatedSince = time.Time{}
	} else if queue.throughput.saturatedSince.IsZero() {
		queue.throughput.saturatedSince = now
	}
}

func (throughput *throughput) advance(now time.Time) {
	if !throughput.updated.IsZero() {
		factor := math.Exp2(-float64(now.Sub(throughput.updated)) / float64(throughputHalfLife))
		throughput.tokens *= factor
		throughput.saturatedSeconds *= factor
	}
	throughput.updated = now
	if !throughput.saturatedSince.IsZero() {
		throughput.saturatedSeconds += now.Sub(throughput.saturatedSince).Seconds()
		throughput.saturatedSince = now
	}
}

// recordStart counts a started request if the upstream is saturated.
func (throughput *throughput) recordStart(now time.Time, cost conf.Tokens) {
	throughput.advance(now)
	if !throughput.saturatedSince.IsZero() {
		throughput.tokens += float64(cost)
	}
}

// estimateWait returns how long the tokens ahead take at the measured throughput,
// or 0 if the upstream is not saturated or the measurement is too short.
func (throughput *throughput) estimateWait(now time.Time, ahead conf.Tokens) time.Duration {
	throughput.advance(now)
	if ahead == 0 || throughput.saturatedSince.IsZero() || throughput.saturatedSeconds < minSaturatedTime.Seconds() || throughput.tokens <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * throughput.saturatedSeconds / throughput.tokens * float64(time.Second))
}
