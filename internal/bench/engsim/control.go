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
	// ModeSlow makes loads take longer.
	ModeSlow = "slow"
	// ModeRefusing answers completions with 503.
	ModeRefusing = "refusing"
	// ModeCutBefore cuts the connection of completions before they are accepted.
	ModeCutBefore = "cut-before"
	// ModeCutStream cuts the connection after the fault's number of tokens.
	ModeCutStream = "cut-stream"
)

// ControlRequest sets faults; nil parts keep theirs.
type ControlRequest struct {
	// Restart ends all requests, empties the engine and keeps it down for a time.
	Restart *Restart `json:"restart,omitempty"`
	// Freeze stops the engine for a time without closing connections.
	Freeze infra.Duration `json:"freeze,omitempty"`
	// BreakStreams cuts the connections of all requests, which can be resumed.
	BreakStreams bool `json:"break,omitempty"`
	// LoadFault is a fault of loads.
	LoadFault *infra.Fault `json:"loads,omitempty"`
	// CompletionFault is a fault of completions.
	CompletionFault *infra.Fault `json:"calls,omitempty"`
}

// Restart restarts an engine.
type Restart struct {
	DownFor infra.Duration `json:"down-for"`
}

// ApplyControl sets faults or, if one cannot be set, none.
func (engine *Engine) ApplyControl(control ControlRequest) error {
	if err := engine.loads.Check(control.LoadFault); err != nil {
		return fmt.Errorf("loads: %w", err)
	}
	if err := engine.calls.Check(control.CompletionFault); err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	if control.Freeze < 0 || control.Restart != nil && control.Restart.DownFor < 0 {
		return errors.New("freeze and down-for must not be negative")
	}
	engine.loads.Set(control.LoadFault)
	engine.calls.Set(control.CompletionFault)
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
		engine.reset()
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
