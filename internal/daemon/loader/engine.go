package loader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
)

// Report is what the engine reports of itself.
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
	// ErrConflict means that the engine is busy, or has accepted an order that
	// this process does not know of.
	ErrConflict = errors.New("engine is busy or has accepted another order")
	// ErrFenced means that the engine has seen a higher fencing token.
	ErrFenced = errors.New("engine has seen a higher fencing token")
)

// BackoffError means that the engine did nothing and asks for no calls during
// Delay.
type BackoffError struct {
	Delay time.Duration
}

// Error implements error.
func (err BackoffError) Error() string {
	return fmt.Sprintf("engine asks for no calls for %v", err.Delay)
}

// Engine controls the engine of this loader. After a BackoffError the engine
// has done nothing.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Order sends an order to the engine with the given upstream id. After an
	// error other than ErrConflict, ErrFenced and BackoffError the engine may
	// still execute it.
	Order(ctx context.Context, upstream string, order lora.Order, fence int64) error
}

// holds reports whether the adapter is resident in the wanted version or a
// newer one. Without an adapter name it reports whether a model is loaded.
func (report Report) holds(wanted lora.Adapter) bool {
	if wanted.Name == "" {
		return len(report.Models) > 0
	}
	return lora.AnySatisfies(report.Resident, wanted)
}
