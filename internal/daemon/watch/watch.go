// Package watch keeps a process current with a keyed topic of the platform's
// store: it reads all newest records once, then what comes after them, and
// starts over when records were dropped before they were read.
package watch

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
)

// ErrTrimmed means that records were dropped before they were read.
var ErrTrimmed = errors.New("records were dropped; read the newest of each key")

// Defaults of Config.
const (
	DefaultCallTime = 800 * time.Millisecond
	DefaultFirst    = 50 * time.Millisecond
	DefaultLongest  = 400 * time.Millisecond
)

// hintPause is how often hints are looked at.
const hintPause = 100 * time.Millisecond

// Source reads a topic as decoded records.
type Source[Record any] interface {
	// Snapshot returns the newest record of each key and where to read on.
	Snapshot(ctx context.Context) (records []Record, next uint64, err error)
	// Read returns the records from an offset on. It waits for the first one,
	// and returns nothing if none comes.
	Read(ctx context.Context, from uint64, wait time.Duration) (records []Record, next uint64, err error)
}

// Config configures a Follower. Zero values mean the defaults.
type Config[Record any] struct {
	Name   string
	Source Source[Record]
	Logger *zap.Logger
	// LongPoll is how long a call waits for a record.
	LongPoll time.Duration
	// Interval is the time between two calls.
	Interval time.Duration
	// CallTime is the longest time for a call, beside Wait.
	CallTime time.Duration
	// First is the pause after a failed call. It doubles up to Longest.
	First   time.Duration
	Longest time.Duration
	// Apply takes over records and returns those that changed anything. complete
	// means that keys not among them were removed.
	Apply func(records []Record, complete bool) []Record
	// PeerUpdate may be nil. It says what another process read lately, if that is
	// known; a call that would return nothing more is left out then.
	PeerUpdate func() (Update[Record], bool)
	// OnConfirmed is called after Apply with the time at which the call was made.
	OnConfirmed func(called time.Time)
	// OnChange may be nil. It is called after a call that changed something.
	OnChange func()
	// OnFailure is called when calls begin to fail.
	OnFailure func()
	// OnCall is called after each call with its error.
	OnCall func(err error)
}

// Watcher follows one topic.
type Watcher[Record any] struct {
	config Config[Record]
	wake   chan struct{}

	placed bool
	down   bool
	// hinted means that a hint took the place of the last call.
	hinted bool
	// news means that the last call changed something.
	news bool

	mutex    sync.Mutex
	position Position
	kept     news[Record]
}

// Position returns how far the topic was read. Its time is zero if it was not.
func (follower *Watcher[Record]) Position() Position {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.position
}

// advance records that everything before next is known, and what of it changed
// anything.
func (follower *Watcher[Record]) advance(next uint64, changes []Record) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if len(changes) > 0 {
		follower.kept.add(follower.position.Next, next, changes)
		follower.position.ChangedNext = next
	}
	follower.position.Next = next
}

// place records that all was read anew.
func (follower *Watcher[Record]) place(next uint64) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.kept.reset(next)
	follower.position.Next, follower.position.ChangedNext = next, next
}

// confirm records when it was known that there was nothing more to read.
func (follower *Watcher[Record]) confirm(at time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.position.ConfirmedAt = at
}

// New returns a Follower that has read nothing.
func New[Record any](config Config[Record]) *Watcher[Record] {
	config.CallTime = cmp.Or(config.CallTime, DefaultCallTime)
	config.First = cmp.Or(config.First, DefaultFirst)
	config.Longest = cmp.Or(config.Longest, DefaultLongest)
	return &Watcher[Record]{config: config, wake: make(chan struct{}, 1)}
}

// Run follows the topic until ctx ends.
func (follower *Watcher[Record]) Run(ctx context.Context) {
	backoff := follower.config.First
	for ctx.Err() == nil {
		called := time.Now()
		err := follower.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if follower.config.OnCall != nil {
			follower.config.OnCall(err)
		}
		switch {
		case err == nil:
			backoff = follower.config.First
			follower.reached(called)
			if follower.config.OnChange != nil && follower.news {
				follower.config.OnChange()
			}
			follower.rest(ctx)
			follower.restOnHints(ctx)
		case errors.Is(err, ErrTrimmed):
			follower.config.Logger.Info("follow: records were dropped, reading all", zap.String("topic", follower.config.Name))
			follower.placed = false
		default:
			follower.lost(err)
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, follower.config.Longest)
		}
	}
}

// Wake ends the present pause between two calls.
func (follower *Watcher[Record]) Wake() {
	select {
	case follower.wake <- struct{}{}:
	default:
	}
}

// rest waits between two calls, unless it is woken.
func (follower *Watcher[Record]) rest(ctx context.Context) {
	if follower.config.Interval <= 0 {
		return
	}
	timer := time.NewTimer(follower.config.Interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-follower.wake:
	}
}

// restOnHints waits for as long as another process says that there is nothing
// new.
func (follower *Watcher[Record]) restOnHints(ctx context.Context) {
	for ctx.Err() == nil && follower.takeHint() {
		follower.hinted = true
		select {
		case <-ctx.Done():
		case <-time.After(hintPause):
		case <-follower.wake:
		}
	}
}

// takeHint takes over what another process read. It reports whether there is
// nothing more to read.
func (follower *Watcher[Record]) takeHint() bool {
	if follower.config.PeerUpdate == nil {
		return false
	}
	hint, ok := follower.config.PeerUpdate()
	own := follower.Position()
	if !ok || hint.ChangedNext > own.Next && (!hint.Complete || hint.From > own.Next) {
		return false
	}
	if hint.Next > own.Next {
		var changes []Record
		if hint.ChangedNext > own.Next {
			changes = follower.config.Apply(hint.Changes, false)
		}
		follower.advance(hint.Next, changes)
	}
	if hint.ConfirmedAt.After(own.ConfirmedAt) {
		follower.reached(hint.ConfirmedAt)
	}
	return true
}

// step makes one call.
func (follower *Watcher[Record]) step(ctx context.Context) error {
	if !follower.placed {
		ctx, cancel := context.WithTimeout(ctx, follower.config.CallTime)
		defer cancel()
		records, next, err := follower.config.Source.Snapshot(ctx)
		if err != nil {
			return err
		}
		follower.config.Apply(records, true)
		follower.place(next)
		follower.placed, follower.news = true, true
		return nil
	}
	wait := follower.config.LongPoll
	if follower.down || follower.hinted {
		// After an outage, or when no hint comes any more, what is known must be
		// confirmed at once.
		wait = 0
		follower.hinted = false
	}
	ctx, cancel := context.WithTimeout(ctx, follower.config.CallTime+wait)
	defer cancel()
	records, next, err := follower.config.Source.Read(ctx, follower.Position().Next, wait)
	if err != nil {
		return err
	}
	changes := follower.config.Apply(records, false)
	follower.advance(next, changes)
	follower.news = len(changes) > 0
	return nil
}

func (follower *Watcher[Record]) reached(called time.Time) {
	if follower.down {
		follower.down = false
		follower.config.Logger.Info("follow: topic is read again", zap.String("topic", follower.config.Name))
	}
	follower.confirm(called)
	if follower.config.OnConfirmed != nil {
		follower.config.OnConfirmed(called)
	}
}

func (follower *Watcher[Record]) lost(err error) {
	if follower.down {
		return
	}
	follower.down = true
	follower.config.Logger.Warn("follow: topic cannot be read", zap.String("topic", follower.config.Name), telem.Error(err))
	if follower.config.OnFailure != nil {
		follower.config.OnFailure()
	}
}

func pause(ctx context.Context, duration time.Duration) {
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
