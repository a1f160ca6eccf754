// Package depart learns when the callers of an http.Server leave.
//
// The server itself learns it by a read in the background, which ends the context of a
// request. That is late if the process is short of processor, and never if bytes follow the
// request. So nothing should rest on it alone: Caller.Confirm asks the kernel, and Watch asks
// from time to time for all callers at once. A caller has left once it has closed its side of
// the connection, also if it still reads.
//
// A goroutine that becomes runnable waits for all others that are, which takes seconds in a
// process that is short of processor. So whichever goroutine runs makes the check that is due
// (Watch.CheckDue), and ends by itself what runs for the callers that have left
// (Caller.OnLeave).
package depart

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// CheckInterval is the time between two checks of all callers.
	CheckInterval = 100 * time.Millisecond
	// confirmInterval is how long a caller counts as present once it was seen, so that the
	// checks of a request that waits for nothing cost one call.
	confirmInterval = 10 * time.Millisecond
)

// ErrLeft is the cause with which a request's context ends when its caller has closed the
// connection and the server has not noticed that before.
var ErrLeft = errors.New("the caller has left")

// Watch knows the callers of the running requests. Its methods may be called concurrently.
type Watch struct {
	start time.Time
	// checkedAt is how long after start the last check began, in nanoseconds. The time of day
	// may step.
	checkedAt atomic.Int64
	mutex     sync.Mutex
	callers   map[*Caller]bool
}

// Caller is the caller of a running request. Its methods may be called concurrently.
type Caller struct {
	watch *Watch
	conn  net.Conn
	ctx   context.Context
	leave context.CancelCauseFunc

	mutex sync.Mutex
	// seenAt is when the connection was last seen open, and confirmedAt when Confirm last
	// asked for it.
	seenAt, confirmedAt time.Time
	// onLeave is the call to make when the caller leaves, nil if there is none.
	onLeave *onLeaveCall
}

// onLeaveCall is the function of a call of OnLeave.
type onLeaveCall struct{ leave func() }

// New returns a Watch without callers.
func New() *Watch { return &Watch{start: time.Now(), callers: make(map[*Caller]bool)} }

// Begin records that a request runs whose context is ctx, and returns a context that ends when
// the caller leaves. The request must call End when it has ended. The caller's connection is
// that of WithConn; without one it is never seen to leave.
func (watch *Watch) Begin(ctx context.Context) (context.Context, *Caller) {
	ctx, leave := context.WithCancelCause(ctx)
	caller := &Caller{watch: watch, conn: Conn(ctx), ctx: ctx, leave: leave, seenAt: time.Now()}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.callers[caller] = true
	return ctx, caller
}

// Run checks the callers every CheckInterval until ctx ends.
func (watch *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			watch.CheckDue()
		}
	}
}

// CheckDue looks at the connections of all callers if CheckInterval has passed since the last
// check. It ends the contexts of those that have left, and calls their functions of OnLeave. It
// may be called often.
func (watch *Watch) CheckDue() {
	last, now := watch.checkedAt.Load(), time.Since(watch.start).Nanoseconds()
	if now-last >= CheckInterval.Nanoseconds() && watch.checkedAt.CompareAndSwap(last, now) {
		for _, caller := range watch.findLeft() {
			caller.recordLeft()
		}
	}
}

// findLeft returns the callers that have left.
func (watch *Watch) findLeft() (left []*Caller) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	callers := make([]*Caller, 0, len(watch.callers))
	polled := make([]unix.PollFd, 0, len(watch.callers))
	for caller := range watch.callers {
		Control(caller.conn, func(fd int) {
			callers, polled = append(callers, caller), append(polled, unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP})
		})
	}
	if len(polled) == 0 {
		return nil
	}
	if _, err := unix.Poll(polled, 0); err != nil {
		return nil
	}
	now := time.Now()
	for i, caller := range callers {
		// The number may belong to another socket meanwhile, so a departure is confirmed.
		if polled[i].Revents&peerClosed != 0 && closed(caller.conn) {
			left = append(left, caller)
			continue
		}
		caller.recordSeen(now)
	}
	return left
}

// Confirm returns an error if the caller has left or the request's context has ended. It asks
// the kernel, unless it did so just before, and ends the context if the caller has left.
func (caller *Caller) Confirm() error {
	if caller.ctx.Err() == nil && caller.confirmDue(time.Now()) && closed(caller.conn) {
		caller.recordLeft()
	}
	if caller.ctx.Err() != nil {
		return context.Cause(caller.ctx)
	}
	return nil
}

// OnLeave has a function called, by the goroutine that learns it, if the caller leaves. It
// replaces the function of an earlier call. stop withdraws it, and returns false if it was
// called or another one has replaced it.
func (caller *Caller) OnLeave(leave func()) (stop func() bool) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	call := &onLeaveCall{leave}
	caller.onLeave = call
	return func() bool {
		caller.mutex.Lock()
		defer caller.mutex.Unlock()
		if caller.onLeave != call {
			return false
		}
		caller.onLeave = nil
		return true
	}
}

// recordLeft ends what runs for a caller that has left.
func (caller *Caller) recordLeft() {
	caller.mutex.Lock()
	call := caller.onLeave
	caller.onLeave = nil
	caller.mutex.Unlock()
	caller.leave(ErrLeft)
	if call != nil {
		call.leave()
	}
}

// Unseen returns how long ago at most the caller left, if it has.
func (caller *Caller) Unseen() time.Duration {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	return time.Since(caller.seenAt)
}

// End ends what Begin began.
func (caller *Caller) End() {
	caller.watch.mutex.Lock()
	delete(caller.watch.callers, caller)
	caller.watch.mutex.Unlock()
	caller.leave(nil)
}

// confirmDue reports whether the kernel must be asked again, and records that it is.
func (caller *Caller) confirmDue(now time.Time) bool {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if now.Sub(caller.confirmedAt) < confirmInterval {
		return false
	}
	caller.confirmedAt = now
	return true
}

func (caller *Caller) recordSeen(now time.Time) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.seenAt = now
}
