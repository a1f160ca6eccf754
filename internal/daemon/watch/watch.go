// Package watch keeps a process current with a keyed topic of the platform's
// store. A Watcher reads the newest record of each key once, then the records
// that follow, and starts over when records were trimmed before it read them.
package watch

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
)

// ErrTrimmed means that the store removed records before they were read, or that it
// has none at the position.
var ErrTrimmed = errors.New("records were trimmed before they were read")

// Errors of a call whose response is of another epoch than the position.
var (
	ErrRestored = errors.New("the store was restored from an earlier copy")
	errStale    = errors.New("the response is older than what was read before")
)

// errNoRecords means that a response has none of the records that the store has.
var errNoRecords = errors.New("the response lacks the records before the end that it names")

// Defaults of Config.
const (
	DefaultCallTimeout = 800 * time.Millisecond
	DefaultMinBackoff  = 50 * time.Millisecond
	DefaultMaxBackoff  = 400 * time.Millisecond
)

// Source reads a topic as decoded records.
type Source[Record any] interface {
	// Snapshot returns the newest record of each key and the cursor to read on
	// from.
	Snapshot(ctx context.Context) (records []Record, next Cursor, err error)
	// Read returns records from an offset on, as many as the store puts into one
	// response. It waits up to wait for the first record and returns none if there
	// is none by then. It fails with ErrTrimmed if records after the offset
	// were removed.
	Read(ctx context.Context, from uint64, wait time.Duration) (Page[Record], error)
}

// Page is the response to a read.
type Page[Record any] struct {
	Records []Record
	// Next is the cursor to read on from.
	Next Cursor
	// End is the offset at which the topic ended when the store responded, and First that of
	// the first record that the store still had.
	End, First uint64
}

// namedEnd is the end of a topic that the store named in response to a call.
type namedEnd struct {
	offset uint64
	// at is when the call began.
	at time.Time
}

// Config configures a Watcher. Zero durations mean the defaults, except that
// LongPoll and Interval default to none. PeerUpdate and the On callbacks may be
// nil.
type Config[Record any] struct {
	Name   string
	Source Source[Record]
	Logger *zap.Logger
	// LongPoll is how long a read waits for a record.
	LongPoll time.Duration
	// Interval is the time between two calls.
	Interval time.Duration
	// CallTimeout bounds the time of a call, in addition to LongPoll.
	CallTimeout time.Duration
	// MinBackoff is the mean pause after a failed call. It doubles with each
	// further failure up to MaxBackoff.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Apply applies records and returns those that changed the local state.
	// With complete set, keys that are not among the records no longer exist.
	Apply func(records []Record, complete bool) []Record
	// PeerUpdate returns what another process has read lately, and for how long that
	// may still replace calls, not positive if it may not. A call that would return
	// nothing more is skipped.
	PeerUpdate func() (update Update[Record], valid time.Duration)
	// OnConfirmed is called after Apply with a time at which the local state
	// was current: the start of the call, or the ConfirmedAt of the peer
	// update.
	OnConfirmed func(called time.Time)
	// OnChange is called after a call that changed the local state.
	OnChange func()
	// OnFailure is called when calls begin to fail.
	OnFailure func()
	// OnOverdue is called when a call takes longer than expected, before it fails.
	OnOverdue func()
	// OnRestore is called before Apply is called with a snapshot of a store that was
	// restored from an earlier copy.
	OnRestore func()
	// OnCall is called after each call, with its error.
	OnCall func(err error)
}

// Watcher keeps a process current with one topic.
type Watcher[Record any] struct {
	config Config[Record]
	wake   chan struct{}
	// refresh wakes a wait between two calls when Refresh is called.
	refresh chan struct{}
	// longPoll and interval are the LongPoll and Interval in force, in nanoseconds.
	longPoll, interval atomic.Int64
	// storeTime is how long the store took for the last call, besides holding it.
	storeTime time.Duration
	// held is for how long the store may hold the present call.
	held time.Duration

	// synced means that a snapshot was read and no records were trimmed since.
	// failing means that calls have failed since the state was last confirmed.
	synced  bool
	failing bool
	// skippedCall means that a peer update has replaced calls since the last
	// one.
	skippedCall bool
	// latestEpoch is the latest epoch that a read named, for a snapshot that names
	// none.
	latestEpoch uint64
	// staleSince is since when all answers are of an earlier epoch or end, or zero.
	staleSince time.Time
	// changed means that the last call changed the local state.
	changed bool
	// end is where the topic ended at the last call, and unread is such an end that was
	// not reached yet.
	end    uint64
	unread namedEnd

	mutex    sync.Mutex
	position Position
	recent   recentChanges[Record]
	// refreshSince is the latest time at or after which a call must begin.
	refreshSince time.Time

	endMutex sync.Mutex
	// lastEnd is the end that the source named in response to the last call of End.
	lastEnd topicEnd
}

// New returns a Watcher that has read nothing.
func New[Record any](config Config[Record]) *Watcher[Record] {
	config.CallTimeout = cmp.Or(config.CallTimeout, DefaultCallTimeout)
	config.MinBackoff = cmp.Or(config.MinBackoff, DefaultMinBackoff)
	config.MaxBackoff = cmp.Or(config.MaxBackoff, DefaultMaxBackoff)
	watcher := &Watcher[Record]{config: config, wake: make(chan struct{}, 1), refresh: make(chan struct{}, 1)}
	watcher.SetPace(config.LongPoll, config.Interval)
	return watcher
}

// SetPace replaces LongPoll and Interval, from the next call on.
func (watcher *Watcher[Record]) SetPace(longPoll, interval time.Duration) {
	watcher.longPoll.Store(int64(longPoll))
	watcher.interval.Store(int64(interval))
}

// Run reads the topic until ctx ends.
func (watcher *Watcher[Record]) Run(ctx context.Context) {
	backoff := watcher.config.MinBackoff
	for ctx.Err() == nil {
		called := time.Now()
		err := watcher.call(ctx)
		if ctx.Err() != nil {
			return
		}
		if watcher.config.OnCall != nil {
			watcher.config.OnCall(err)
		}
		switch {
		case err == nil:
			backoff = watcher.config.MinBackoff
			caughtUp := watcher.confirm(called)
			if watcher.config.OnChange != nil && watcher.changed {
				watcher.config.OnChange()
			}
			if !caughtUp {
				continue
			}
			watcher.waitInterval(ctx)
			watcher.waitOnPeer(ctx)
			watcher.waitRefresh(ctx, called)
		case errors.Is(err, ErrTrimmed):
			watcher.config.Logger.Info("follow: records trimmed, reading a snapshot", zap.String("topic", watcher.config.Name))
			watcher.synced = false
		case errors.Is(err, ErrRestored):
			watcher.synced = false
			sleep(ctx, watcher.config.MinBackoff)
		default:
			watcher.markFailing(err)
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, watcher.config.MaxBackoff)
		}
	}
}

// Wake ends the present wait between two calls, or else the next one.
func (watcher *Watcher[Record]) Wake() {
	select {
	case watcher.wake <- struct{}{}:
	default:
	}
}

// waitInterval waits for Interval, until it is woken, or until Refresh asks for a call.
func (watcher *Watcher[Record]) waitInterval(ctx context.Context) {
	interval := time.Duration(watcher.interval.Load())
	if interval <= 0 {
		return
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for !watcher.refreshDue() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-watcher.wake:
			return
		case <-watcher.refresh:
		}
	}
}

// markFailing records that calls fail.
func (watcher *Watcher[Record]) markFailing(err error) {
	if watcher.failing {
		return
	}
	watcher.failing = true
	watcher.config.Logger.Warn("follow: topic cannot be read", zap.String("topic", watcher.config.Name), logs.ErrorField(err))
	if watcher.config.OnFailure != nil {
		watcher.config.OnFailure()
	}
}

// sleep waits for duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
