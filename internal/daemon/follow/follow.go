// Package follow keeps a process current with a keyed topic of the platform's
// store: it reads all newest records once, then what comes after them, and
// starts over when records were dropped before they were read.
package follow

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
	// Newest returns the newest record of each key and where to read on.
	Newest(ctx context.Context) (records []Record, next uint64, err error)
	// Read returns the records from an offset on. It waits for the first one,
	// and returns nothing if none comes.
	Read(ctx context.Context, from uint64, wait time.Duration) (records []Record, next uint64, err error)
}

// Config configures a Follower. Zero values mean the defaults.
type Config[Record any] struct {
	Name   string
	Source Source[Record]
	Logger *zap.Logger
	// Wait is how long a call waits for a record.
	Wait time.Duration
	// Pause is the time between two calls.
	Pause time.Duration
	// CallTime is the longest time for a call, beside Wait.
	CallTime time.Duration
	// First is the pause after a failed call. It doubles up to Longest.
	First   time.Duration
	Longest time.Duration
	// Apply takes over records and returns those that changed anything. complete
	// means that keys not among them were removed.
	Apply func(records []Record, complete bool) []Record
	// Hint may be nil. It says what another process read lately, if that is
	// known; a call that would return nothing more is left out then.
	Hint func() (Hint[Record], bool)
	// Reached is called after Apply with the time at which the call was made.
	Reached func(called time.Time)
	// Changed may be nil. It is called after a call that changed something.
	Changed func()
	// Lost is called when calls begin to fail.
	Lost func()
	// Called is called after each call with its error.
	Called func(err error)
}

// Follower follows one topic.
type Follower[Record any] struct {
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
func (follower *Follower[Record]) Position() Position {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.position
}

// advance records that everything before next is known, and what of it changed
// anything.
func (follower *Follower[Record]) advance(next uint64, changes []Record) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if len(changes) > 0 {
		follower.kept.add(follower.position.Next, next, changes)
		follower.position.Changed = next
	}
	follower.position.Next = next
}

// place records that all was read anew.
func (follower *Follower[Record]) place(next uint64) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.kept.reset(next)
	follower.position.Next, follower.position.Changed = next, next
}

// confirm records when it was known that there was nothing more to read.
func (follower *Follower[Record]) confirm(at time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.position.At = at
}

// New returns a Follower that has read nothing.
func New[Record any](config Config[Record]) *Follower[Record] {
	config.CallTime = cmp.Or(config.CallTime, DefaultCallTime)
	config.First = cmp.Or(config.First, DefaultFirst)
	config.Longest = cmp.Or(config.Longest, DefaultLongest)
	return &Follower[Record]{config: config, wake: make(chan struct{}, 1)}
}

// Run follows the topic until ctx ends.
func (follower *Follower[Record]) Run(ctx context.Context) {
	backoff := follower.config.First
	for ctx.Err() == nil {
		called := time.Now()
		err := follower.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if follower.config.Called != nil {
			follower.config.Called(err)
		}
		switch {
		case err == nil:
			backoff = follower.config.First
			follower.reached(called)
			if follower.config.Changed != nil && follower.news {
				follower.config.Changed()
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
func (follower *Follower[Record]) Wake() {
	select {
	case follower.wake <- struct{}{}:
	default:
	}
}

// rest waits between two calls, unless it is woken.
func (follower *Follower[Record]) rest(ctx context.Context) {
	if follower.config.Pause <= 0 {
		return
	}
	timer := time.NewTimer(follower.config.Pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-follower.wake:
	}
}

// restOnHints waits for as long as another process says that there is nothing
// new.
func (follower *Follower[Record]) restOnHints(ctx context.Context) {
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
func (follower *Follower[Record]) takeHint() bool {
	if follower.config.Hint == nil {
		return false
	}
	hint, ok := follower.config.Hint()
	own := follower.Position()
	if !ok || hint.Changed > own.Next && (!hint.Complete || hint.From > own.Next) {
		return false
	}
	if hint.Next > own.Next {
		var changes []Record
		if hint.Changed > own.Next {
			changes = follower.config.Apply(hint.News, false)
		}
		follower.advance(hint.Next, changes)
	}
	if hint.At.After(own.At) {
		follower.reached(hint.At)
	}
	return true
}

// step makes one call.
func (follower *Follower[Record]) step(ctx context.Context) error {
	if !follower.placed {
		ctx, cancel := context.WithTimeout(ctx, follower.config.CallTime)
		defer cancel()
		records, next, err := follower.config.Source.Newest(ctx)
		if err != nil {
			return err
		}
		follower.config.Apply(records, true)
		follower.place(next)
		follower.placed, follower.news = true, true
		return nil
	}
	wait := follower.config.Wait
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

func (follower *Follower[Record]) reached(called time.Time) {
	if follower.down {
		follower.down = false
		follower.config.Logger.Info("follow: topic is read again", zap.String("topic", follower.config.Name))
	}
	follower.confirm(called)
	if follower.config.Reached != nil {
		follower.config.Reached(called)
	}
}

func (follower *Follower[Record]) lost(err error) {
	if follower.down {
		return
	}
	follower.down = true
	follower.config.Logger.Warn("follow: topic cannot be read", zap.String("topic", follower.config.Name), telem.Error(err))
	if follower.config.Lost != nil {
		follower.config.Lost()
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
