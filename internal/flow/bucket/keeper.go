package bucket

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Level is the level of an organisation's bucket, as some instance knows it. What that has
// not heard of is still in it, so of two levels the lower one is right.
type Level struct {
	Organisation string
	Limit        Limit
	Level        float64
}

// knownLevel is a Level with the time at which it was told.
type knownLevel struct {
	Level
	at time.Time
}

// now returns the level that the bucket has by now if nothing was spent since.
func (known knownLevel) now() float64 {
	return known.Level.Level + known.Limit.Rate*time.Since(known.at).Seconds()
}

// full reports whether the bucket is full by now if nothing was spent since.
func (known knownLevel) full() bool { return known.now() >= known.Limit.Burst }

// Keeper keeps the levels that instances tell, for instances that start after those have
// ended. It must not be used concurrently.
type Keeper struct {
	levels map[string]knownLevel
}

// NewKeeper returns a Keeper that keeps nothing.
func NewKeeper() *Keeper { return &Keeper{levels: make(map[string]knownLevel)} }

// Keep adds levels that an instance tells.
func (keeper *Keeper) Keep(levels []Level) {
	maps.DeleteFunc(keeper.levels, func(_ string, known knownLevel) bool { return known.full() })
	for _, level := range levels {
		told := knownLevel{level, time.Now()}
		if known, ok := keeper.levels[level.Organisation]; level.Limit.Rate > 0 && (!ok || told.now() < known.now()) {
			keeper.levels[level.Organisation] = told
		}
	}
}

// Levels returns the levels of the buckets that are not full, as of now.
func (keeper *Keeper) Levels() []Level {
	var levels []Level
	for _, known := range keeper.levels {
		if !known.full() {
			levels = append(levels, Level{Organisation: known.Organisation, Limit: known.Limit, Level: known.now()})
		}
	}
	slices.SortFunc(levels, func(a, b Level) int { return strings.Compare(a.Organisation, b.Organisation) })
	return levels
}

// Levels returns the levels of the buckets that are not full. It returns none before they
// are known.
func (limiter *Limiter) Levels() []Level {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if !limiter.initialised {
		return nil
	}
	var levels []Level
	for organisation, bucket := range limiter.buckets {
		limiter.refill(bucket, organisation)
		if bucket.level < bucket.limit.Burst*limiter.config.UsableFraction {
			levels = append(levels, Level{Organisation: organisation, Limit: bucket.limit, Level: bucket.level})
		}
	}
	slices.SortFunc(levels, func(a, b Level) int { return strings.Compare(a.Organisation, b.Organisation) })
	return levels
}

// Recall limits the buckets to levels that a Keeper has kept.
func (limiter *Limiter) Recall(levels []Level) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.recalled.Keep(levels)
	for organisation, bucket := range limiter.buckets {
		limiter.refill(bucket, organisation)
		bucket.level = limiter.bounded(organisation, bucket.level)
	}
}

// bounded returns a level, at most that recalled.
func (limiter *Limiter) bounded(organisation string, level float64) float64 {
	if known, ok := limiter.recalled.levels[organisation]; ok {
		return math.Min(level, known.now())
	}
	return level
}
