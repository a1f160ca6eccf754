package speed

import (
	"math"
	"time"
)

const (
	// pausesHalfLife and streamsHalfLife are the time and the number of later streams
	// after which an observed stream counts half.
	pausesHalfLife  = 30 * time.Second
	streamsHalfLife = 64
	// priorStreams is the number of streams that weigh as much as the share expected
	// without observations.
	priorStreams = 16
)

// StreamCounts holds how many streams an instance observed, and how many of them had a
// pause longer than their goal.
type StreamCounts struct {
	Streams int
	Paused  int
}

// Pauses estimates the share of an upstream's streams that pause for longer than their
// goal. It is not safe for concurrent use.
type Pauses struct {
	streams, paused float64
	updatedAt       time.Time
}

// Record adds streams that were observed.
func (pauses *Pauses) Record(counts StreamCounts, now time.Time) {
	if counts.Streams <= 0 {
		return
	}
	pauses.decay(now)
	kept := math.Exp2(-float64(counts.Streams) / streamsHalfLife)
	pauses.streams = pauses.streams*kept + float64(counts.Streams)
	pauses.paused = pauses.paused*kept + float64(min(max(counts.Paused, 0), counts.Streams))
}

// Share returns the estimated share, given the one that is expected without
// observations.
func (pauses *Pauses) Share(expected float64, now time.Time) float64 {
	pauses.decay(now)
	return (pauses.paused + expected*priorStreams) / (pauses.streams + priorStreams)
}

// Reset forgets all, for use after a restart of the upstream.
func (pauses *Pauses) Reset() { *pauses = Pauses{} }

func (pauses *Pauses) decay(now time.Time) {
	kept := math.Exp2(-now.Sub(pauses.updatedAt).Seconds() / pausesHalfLife.Seconds())
	pauses.streams, pauses.paused, pauses.updatedAt = pauses.streams*kept, pauses.paused*kept, now
}
