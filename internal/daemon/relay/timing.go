package relay

import (
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
)

const (
	// configTrustMargin is how long before the end of Bounds.RevocationDelay an
	// instance stops trusting an unconfirmed configuration.
	configTrustMargin = 200 * time.Millisecond
	// maxConfigPoll and maxListInterval bound how long a read of the configuration waits
	// for a change, and the time between two reads of the instance list.
	maxConfigPoll   = 1500 * time.Millisecond
	maxListInterval = 900 * time.Millisecond
	// minReadInterval is the least time that either is set to.
	minReadInterval = 100 * time.Millisecond
	// ownReadTime is how long an instance takes to read the store for itself.
	ownReadTime = 150 * time.Millisecond
	// reportTime is how long a query to the store reader and its answer take.
	reportTime = 100 * time.Millisecond
	// sendTime is how long after the choice of an upstream a request may reach it.
	sendTime = 150 * time.Millisecond
)

// timing holds the intervals between the reads of the store, and the ages up to which an
// instance trusts what it knows. They follow from Bounds.
type timing struct {
	// configPoll is how long a read of the configuration waits for a change, and
	// listInterval the time between two reads of the instance list.
	configPoll, listInterval time.Duration
	// maxConfigAge and maxListAge limit the time since the store last answered the store
	// reader. They leave time for this instance's own reads.
	maxConfigAge, maxListAge time.Duration
	// configLifetime is how long the configuration is trusted after it was last confirmed.
	configLifetime time.Duration
	// unmet holds the bounds that are too short to be met.
	unmet []unmetBound
}

// unmetBound is a bound that cannot be met.
type unmetBound struct {
	setting        string
	given, minimum time.Duration
}

func newTiming(bounds Bounds) *timing {
	configDelay := min(bounds.ConfigDelay.Duration, bounds.VersionDelay.Duration)
	timing := &timing{
		maxConfigAge:   configDelay - ownReadTime,
		maxListAge:     bounds.DrainDelay.Duration - ownReadTime - sendTime,
		configLifetime: bounds.RevocationDelay.Duration - configTrustMargin,
	}
	// A report of the reader's next answer must come before the last one is too old.
	const hearTime = queryInterval + reportTime
	timing.configPoll = min(maxConfigPoll, timing.maxConfigAge-hearTime)
	timing.listInterval = min(maxListInterval, timing.maxListAge-hearTime)
	// A confirmation dates from the beginning of a call, and must last until the end of
	// the next one.
	confirmedPoll := (timing.configLifetime - watch.DefaultCallTimeout - hearTime) / 2
	timing.check("bounds.config-apply or bounds.version", configDelay, timing.configPoll)
	timing.check("bounds.drain", bounds.DrainDelay.Duration, timing.listInterval)
	timing.check("bounds.revoke", bounds.RevocationDelay.Duration, confirmedPoll)
	timing.configPoll = max(minReadInterval, min(timing.configPoll, confirmedPoll))
	timing.listInterval = max(minReadInterval, timing.listInterval)
	return timing
}

// check records a bound that leaves less than minReadInterval for an interval.
func (timing *timing) check(setting string, given, interval time.Duration) {
	if interval < minReadInterval {
		timing.unmet = append(timing.unmet, unmetBound{setting, given, given + minReadInterval - interval})
	}
}

// updateTiming applies the bounds to the reads of the store.
func (relay *Relay) updateTiming(bounds Bounds) {
	timing := newTiming(bounds)
	relay.timing.Store(timing)
	relay.configWatcher.SetPace(timing.configPoll, 0)
	relay.instanceWatcher.SetPace(0, timing.listInterval)
	relay.logUnmetBounds()
}

// logUnmetBounds logs the bounds that cannot be met.
func (relay *Relay) logUnmetBounds() {
	for _, unmet := range relay.timing.Load().unmet {
		relay.config.Logger.Error("settings: bound cannot be met; raise it", zap.String("setting", unmet.setting),
			zap.Duration("given", unmet.given), zap.Duration("minimum", unmet.minimum))
	}
}
