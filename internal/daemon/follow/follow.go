// Package follow keeps a process current with a keyed topic of the platform's
// store: it reads all newest records once, then what comes after them, and
// starts over when records were dropped before they were read.
package follow

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
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
	// Apply takes over records. complete means that keys not among them were
	// removed.
	Apply func(records []Record, complete bool)
	// Reached is called after Apply with the time at which the call was made.
	Reached func(called time.Time)
	// Lost is called when calls begin to fail.
	Lost func()
	// Called is called after each call with its error.
	Called func(err error)
}

// Follower follows one topic.
type Follower[Record any] struct {
	config Config[Record]
	wake   chan struct{}

	next   uint64
	placed bool
	down   bool
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
			follower.rest(ctx)
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

// step makes one call.
func (follower *Follower[Record]) step(ctx context.Context) error {
	if !follower.placed {
		ctx, cancel := context.WithTimeout(ctx, follower.config.CallTime)
		defer cancel()
		records, next, err := follower.config.Source.Newest(ctx)
		if err != nil {
			return err
		}
		follower.next, follower.placed = next, true
		follower.config.Apply(records, true)
		return nil
	}
	wait := follower.config.Wait
	if follower.down {
		// After an outage, what is known must be confirmed at once.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, follower.config.CallTime+wait)
	defer cancel()
	records, next, err := follower.config.Source.Read(ctx, follower.next, wait)
	if err != nil {
		return err
	}
	follower.next = next
	follower.config.Apply(records, false)
	return nil
}

func (follower *Follower[Record]) reached(called time.Time) {
	if follower.down {
		follower.down = false
		follower.config.Logger.Info("follow: topic is read again", zap.String("topic", follower.config.Name))
	}
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
