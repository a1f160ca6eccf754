package engsim

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// The faults of loads and calls.
const (
	// ModeFailing makes loads fail.
	ModeFailing = "failing"
	// ModeSlow delays the end of loads.
	ModeSlow = "slow"
	// ModeRefusing answers completions with 503.
	ModeRefusing = "refusing"
	// ModeCutBefore aborts the connections of completions before they are
	// accepted.
	ModeCutBefore = "cut-before"
	// ModeCutStream aborts the connection of a stream after the fault's number of
	// tokens.
	ModeCutStream = "cut-stream"
)

// ControlRequest sets faults and is the body of POST /control. Faults whose field
// is nil stay as they are.
type ControlRequest struct {
	// Restart ends all requests, unloads all adapters and makes the engine
	// unreachable for DownFor.
	Restart *Restart `json:"restart,omitempty"`
	// Freeze suspends the engine for a time without closing connections.
	Freeze infra.Duration `json:"freeze,omitempty"`
	// BreakStreams aborts the connections of all requests. The requests can be
	// resumed.
	BreakStreams bool `json:"break,omitempty"`
	// LoadFault is a fault of adapter loads.
	LoadFault *infra.Fault `json:"loads,omitempty"`
	// CompletionFault is a fault of completions.
	CompletionFault *infra.Fault `json:"calls,omitempty"`
}

// Restart is a simulated restart of the engine.
type Restart struct {
	// DownFor is how long connections are aborted after the restart.
	DownFor infra.Duration `json:"down-for"`
}

// ApplyControl sets all requested faults. If one of them is invalid, it returns
// an error and sets none.
func (engine *Engine) ApplyControl(control ControlRequest) error {
	if err := engine.loadFaults.Check(control.LoadFault); err != nil {
		return fmt.Errorf("loads: %w", err)
	}
	if err := engine.completionFaults.Check(control.CompletionFault); err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	if control.Freeze < 0 || control.Restart != nil && control.Restart.DownFor < 0 {
		return errors.New("freeze and down-for must not be negative")
	}
	engine.loadFaults.Set(control.LoadFault)
	engine.completionFaults.Set(control.CompletionFault)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	if control.BreakStreams {
		engine.abortAll(outcomeBroken)
	}
	if control.Freeze > 0 {
		engine.frozenUntil = now.Add(time.Duration(control.Freeze))
	}
	if control.Restart != nil {
		engine.abortAll(outcomeRestarted)
		engine.restarts++
		engine.startIncarnation()
		engine.downUntil = now.Add(time.Duration(control.Restart.DownFor))
		engine.frozenUntil = time.Time{}
	}
	return nil
}

// serveControl handles POST /control.
func (engine *Engine) serveControl(writer http.ResponseWriter, request *http.Request) {
	var control ControlRequest
	if !infra.DecodeJSON(writer, request, &control) {
		return
	}
	if err := engine.ApplyControl(control); err != nil {
		infra.WriteError(writer, http.StatusBadRequest, "%v", err)
		return
	}
	infra.WriteJSON(writer, control)
}
