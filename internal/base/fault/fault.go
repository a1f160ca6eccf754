// Package fault holds the typed errors that jacinthfront reports to callers,
// operators and its own processes.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Class is the errs class of every Fault.
var Class = errs.Class("jacinthfront")

// Kind names the cause of a refusal or failure.
type Kind string

// Execution says whether the work of a request ran at an upstream.
type Execution string

const (
	// NotRun means that the work did not run and will not run.
	NotRun Execution = "not-run"
	// DidRun means that the work ran, completely or in part.
	DidRun Execution = "ran"
	// RunUnknown means that nothing is known about the work.
	RunUnknown Execution = "unknown"
)

// Fault is an error with its kind, remedy and effect.
type Fault struct {
	kind       Kind
	message    string
	ran        Execution
	retryAfter time.Duration
}

// New returns a Fault of the given kind. The message names the remedy.
func New(kind Kind, ran Execution, format string, args ...any) *Fault {
	return &Fault{kind: kind, ran: ran, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (fault *Fault) WithRetryAfter(after time.Duration) *Fault {
	clone := *fault
	clone.retryAfter = after
	return &clone
}

// WithRan returns a copy with another effect.
func (fault *Fault) WithRan(ran Execution) *Fault {
	clone := *fault
	clone.ran = ran
	return &clone
}

// Kind returns the cause.
func (fault *Fault) Kind() Kind { return fault.kind }

// Message returns the text with the remedy.
func (fault *Fault) Message() string { return fault.message }

// Ran returns whether the work ran.
func (fault *Fault) Ran() Execution { return fault.ran }

// RetryAfter returns when to come back, or 0 when coming back does not help.
func (fault *Fault) RetryAfter() time.Duration { return fault.retryAfter }

// Status returns the HTTP status of the kind.
func (fault *Fault) Status() int { return fault.kind.Status() }

// Error implements error.
func (fault *Fault) Error() string {
	return fmt.Sprintf("%s: %s (%s)", fault.kind, fault.message, fault.ran)
}

// As returns the Fault in the chain of err, if there is one.
func As(err error) (*Fault, bool) {
	var fault *Fault
	ok := errors.As(err, &fault)
	return fault, ok
}

// Wrap returns err as a Fault; an error of another type becomes an Internal
// fault with the given effect.
func Wrap(err error, ran Execution) *Fault {
	if fault, ok := As(err); ok {
		return fault
	}
	return New(Internal, ran, "unexpected error: %v; report it with the request id", Class.Wrap(err))
}
