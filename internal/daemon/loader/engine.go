package loader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
)

// Report is what the engine says of itself.
type Report struct {
	lora.EngineState
	Running     int
	Queued      int
	UsedTokens  int64
	TotalTokens int64
	Draining    bool
}

// Errors of Engine.Order.
var (
	// ErrConflict means that the engine is busy, or took an order that this
	// process does not know of.
	ErrConflict = errors.New("the engine's orders have changed")
	// ErrFenced means that the engine has seen a higher fencing token.
	ErrFenced = errors.New("the engine has seen a higher fencing token")
)

// BackoffError means that the engine did nothing and wants no call for a time.
type BackoffError struct {
	Delay time.Duration
}

// Error implements error.
func (err BackoffError) Error() string {
	return fmt.Sprintf("the engine wants no calls for %v", err.Delay)
}

// Engine is the engine beside this process. Errors that are a RestError mean
// that nothing was done.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Order gives an order to the engine with the given id. Errors other than
	// ErrConflict, ErrFenced and a RestError leave open whether it is carried out.
	Order(ctx context.Context, upstream string, order lora.Order, fence int64) error
}

// holds reports whether the adapter is loaded in the version or a newer one.
func (report Report) holds(wanted lora.Adapter) bool {
	if wanted.Name == "" {
		return len(report.Models) > 0
	}
	return lora.AnySatisfies(report.Resident, wanted)
}
