// Package fault defines the typed errors that jacinthfront returns to callers,
// operators and its own processes. Each has a kind, a message that says what to
// do, and whether the request ran at an upstream.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Class is the errs class of every Fault.
var Class = errs.Class("jacinthfront")

// Kind names the cause of a Fault.
type Kind string

// Execution tells whether a request ran at an upstream.
type Execution string

const (
	// NotRun means that the request did not run and will not run.
	NotRun Execution = "not-run"
	// DidRun means that the request ran, completely or in part.
	DidRun Execution = "ran"
	// RunUnknown means that the request may or may not have run.
	RunUnknown Execution = "unknown"
)

// Fault is an error with a kind, a message, and whether the request ran.
type Fault struct {
	kind       Kind
	message    string
	ran        Execution
	retryAfter time.Duration
}

// New returns a Fault of the given kind. The message should say what the caller
// or operator can do.
func New(kind Kind, ran Execution, format string, args ...any) *Fault {
	return &Fault{kind: kind, ran: ran, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that tells the caller when to try again.
func (fault *Fault) WithRetryAfter(after time.Duration) *Fault {
	clone := *fault
	clone.retryAfter = after
	return &clone
}

// WithRan returns a copy with another Execution.
func (fault *Fault) WithRan(ran Execution) *Fault {
	clone := *fault
	clone.ran = ran
	return &clone
}

// Kind returns the cause of the fault.
func (fault *Fault) Kind() Kind { return fault.kind }

// Message returns the message without kind and execution.
func (fault *Fault) Message() string { return fault.message }

// Ran returns whether the request ran.
func (fault *Fault) Ran() Execution { return fault.ran }

// RetryAfter returns after what time the caller should try again, or 0 if trying
// again does not help.
func (fault *Fault) RetryAfter() time.Duration { return fault.retryAfter }

// Status returns the HTTP status code of the fault's kind.
func (fault *Fault) Status() int { return fault.kind.Status() }

// Error implements error.
func (fault *Fault) Error() string {
	return fmt.Sprintf("%s: %s (%s)", fault.kind, fault.message, fault.ran)
}

// As returns the Fault that err is or wraps, if any.
func As(err error) (*Fault, bool) {
	var fault *Fault
	ok := errors.As(err, &fault)
	return fault, ok
}

// Wrap returns the Fault that err is or wraps. Any other error becomes a fault of
// kind Internal with the given Execution.
func Wrap(err error, ran Execution) *Fault {
	if fault, ok := As(err); ok {
		return fault
	}
	return New(Internal, ran, "unexpected error: %v; report it with the request id", Class.Wrap(err))
}
