package model

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/plat"
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

// Control sets faults; nil parts keep theirs.
type Control struct {
	// Restart ends all requests, empties the engine and keeps it down for a time.
	Restart *Restart `json:"restart,omitempty"`
	// Freeze stops the engine for a time without closing connections.
	Freeze plat.Duration `json:"freeze,omitempty"`
	// Break cuts the connections of all requests, which can be resumed.
	Break bool `json:"break,omitempty"`
	// Loads is a fault of loads.
	Loads *plat.Fault `json:"loads,omitempty"`
	// Calls is a fault of completions.
	Calls *plat.Fault `json:"calls,omitempty"`
}

// Restart restarts an engine.
type Restart struct {
	DownFor plat.Duration `json:"down-for"`
}

// Control sets faults or, if one cannot be set, none.
func (engine *Engine) Control(control Control) error {
	if err := engine.loads.Check(control.Loads); err != nil {
		return fmt.Errorf("loads: %w", err)
	}
	if err := engine.calls.Check(control.Calls); err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	if control.Freeze < 0 || control.Restart != nil && control.Restart.DownFor < 0 {
		return errors.New("freeze and down-for must not be negative")
	}
	engine.loads.Set(control.Loads)
	engine.calls.Set(control.Calls)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	if control.Break {
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
	var control Control
	if !plat.Decode(writer, request, &control) {
		return
	}
	if err := engine.Control(control); err != nil {
		plat.Refuse(writer, http.StatusBadRequest, "%v", err)
		return
	}
	plat.Answer(writer, control)
}
