package demo

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/creds"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

const (
	// configDelayLimit is the maximum time until a patch must be in force at every
	// process, required by the users while the log is available.
	configDelayLimit = 2 * time.Second
	// withdrawalLimit is the maximum time until a withdrawn key must be refused
	// everywhere, also required by the users while the log is available.
	withdrawalLimit    = 4 * time.Second
	actionPollInterval = 20 * time.Millisecond
)

// OperatorActions performs operators' actions during a run and holds what was
// observed of their effects.
type OperatorActions struct {
	fleet *Fleet

	probesSent        int
	servedProbes      int
	probeKey          string
	withdrawalTime    time.Duration
	withdrawn         bool
	propagationDelays []time.Duration
	conflictsResolved int
	conflictChecks    int
	drainedUpstream   int
	drainedAt         time.Time
	plannedStops      int
	errors            []string
}

// RunOperatorActions performs operators' actions at fixed fractions of a run: it
// issues a key, requests another organisation's adapter, publishes conflicting
// patches, withdraws the key, replaces an entry instance and stops a side process.
func (fleet *Fleet) RunOperatorActions(ctx context.Context, length time.Duration) *OperatorActions {
	actions := &OperatorActions{fleet: fleet, drainedUpstream: 1}
	steps := []struct {
		at     float64
		action func(ctx context.Context) error
	}{
		{0.1, actions.issueProbeKey},
		{0.2, actions.probeOtherOrganisation},
		{0.3, actions.publishConflict},
		{0.4, actions.withdrawKey},
		{0.5, actions.replaceEntry},
		{0.6, actions.stopSide},
	}
	begin := time.Now()
	for _, step := range steps {
		if sleep(ctx, time.Until(begin.Add(time.Duration(step.at*float64(length))))) != nil {
			return actions
		}
		if err := step.action(ctx); err != nil {
			actions.errors = append(actions.errors, err.Error())
		}
	}
	return actions
}

// version returns the newest configuration version of any instance.
func (fleet *Fleet) version() uint64 {
	version := uint64(0)
	for _, instance := range fleet.instances() {
		version = max(version, instance.process.ConfigVersion())
	}
	return version
}

// publish appends a patch on the current version and waits until the patch is in
// force at every process.
func (actions *OperatorActions) publish(ctx context.Context, id string, ops ...patch.Op) error {
	base := actions.fleet.version()
	begin := time.Now()
	if err := actions.fleet.appendPatch(patch.Patch{ID: id, BaseVersion: base, Operator: operatorName, Ops: ops}); err != nil {
		return err
	}
	return actions.awaitVersion(ctx, base+1, begin)
}

// awaitVersion waits until all instances have a version and records the time since
// begin. It returns an error after twice configDelayLimit.
func (actions *OperatorActions) awaitVersion(ctx context.Context, version uint64, begin time.Time) error {
	for time.Since(begin) < 2*configDelayLimit {
		behind := 0
		for _, instance := range actions.fleet.instances() {
			if instance.process.ConfigVersion() < version {
				behind++
			}
		}
		if behind == 0 {
			actions.propagationDelays = append(actions.propagationDelays, time.Since(begin))
			return nil
		}
		if err := sleep(ctx, actionPollInterval); err != nil {
			return err
		}
	}
	actions.propagationDelays = append(actions.propagationDelays, time.Since(begin))
	return fmt.Errorf("version %d was not in force everywhere within %s", version, 2*configDelayLimit)
}

func (actions *OperatorActions) issueProbeKey(ctx context.Context) error {
	key, spec := creds.Issue(actions.fleet.plan.Organisations[0].Name)
	actions.probeKey = key
	return actions.publish(ctx, "demo-probe-key", patch.PutKey{Key: spec})
}

// sendCompletion sends one completion request to an entry instance and returns the
// response status.
func (actions *OperatorActions) sendCompletion(ctx context.Context, base, key, adapter string) (int, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"probe","max_tokens":1}`, adapter)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := actions.fleet.client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// probeOtherOrganisation requests another organisation's adapter from every entry
// instance.
func (actions *OperatorActions) probeOtherOrganisation(ctx context.Context) error {
	organisations := actions.fleet.plan.Organisations
	for _, base := range actions.fleet.EntryURLs() {
		status, err := actions.sendCompletion(ctx, base, organisations[0].Key, reqgen.AdapterName(organisations[1].Name, 0))
		if err != nil {
			return err
		}
		actions.probesSent++
		if status < http.StatusBadRequest {
			actions.servedProbes++
		}
	}
	return nil
}

// publishConflict publishes two patches with the same base version. The second one
// must have no effect.
func (actions *OperatorActions) publishConflict(ctx context.Context) error {
	base := actions.fleet.version()
	begin := time.Now()
	for _, wait := range []time.Duration{7 * time.Second, 9 * time.Second} {
		route := conf.RouteSpec{
			Name: "race", Service: actions.fleet.config.Deployment.ModelService, Class: conf.Interactive,
			MaxWait: wait, Idempotent: true, DefaultMaxTokens: 16,
		}
		record := patch.Patch{ID: "demo-race-" + wait.String(), BaseVersion: base, Operator: operatorName, Ops: []patch.Op{patch.PutRoute{Route: route}}}
		if err := actions.fleet.appendPatch(record); err != nil {
			return err
		}
	}
	if err := actions.awaitVersion(ctx, base+1, begin); err != nil {
		return err
	}
	for _, instance := range actions.fleet.instances() {
		actions.conflictChecks++
		route, ok := instance.process.Config().Route("race")
		if ok && route.MaxWait == 7*time.Second && instance.process.ConfigVersion() == base+1 {
			actions.conflictsResolved++
		}
	}
	return nil
}

// withdrawKey withdraws the probe key and sends requests with it to each entry
// instance until the instance refuses it. It returns an error after twice
// withdrawalLimit.
func (actions *OperatorActions) withdrawKey(ctx context.Context) error {
	id, _, ok := creds.Parse(actions.probeKey)
	if !ok {
		return fmt.Errorf("the probe key was not issued")
	}
	begin := time.Now()
	record := patch.Patch{ID: "demo-withdraw", BaseVersion: actions.fleet.version(), Operator: operatorName, Ops: []patch.Op{patch.WithdrawKey{ID: id}}}
	if err := actions.fleet.appendPatch(record); err != nil {
		return err
	}
	adapter := reqgen.AdapterName(actions.fleet.plan.Organisations[0].Name, 0)
	for _, base := range actions.fleet.EntryURLs() {
		for {
			status, err := actions.sendCompletion(ctx, base, actions.probeKey, adapter)
			if err != nil {
				return err
			}
			if status == http.StatusUnauthorized {
				break
			}
			if time.Since(begin) > 2*withdrawalLimit {
				return fmt.Errorf("the withdrawn key still worked after %s", 2*withdrawalLimit)
			}
		}
	}
	actions.withdrawn = true
	actions.withdrawalTime = time.Since(begin)
	return nil
}

func (actions *OperatorActions) replaceEntry(ctx context.Context) error {
	if err := actions.fleet.ReplaceEntry(ctx); err != nil {
		return err
	}
	actions.plannedStops++
	return nil
}

func (actions *OperatorActions) stopSide(ctx context.Context) error {
	actions.drainedAt = time.Now()
	if err := actions.fleet.StopSide(ctx, actions.drainedUpstream); err != nil {
		return err
	}
	actions.plannedStops++
	return nil
}

func (actions *OperatorActions) checkWithdrawal() Invariant {
	violations := 0
	if !actions.withdrawn || actions.withdrawalTime > withdrawalLimit {
		violations = 1
	}
	return newInvariant("a withdrawn key stops working within seconds", violations, "refused everywhere after %s", actions.withdrawalTime.Round(time.Millisecond))
}

func (actions *OperatorActions) checkStops(total reqgen.Series) Invariant {
	violations := int(total.Incomplete)
	if actions.plannedStops < 2 {
		violations++
	}
	return newInvariant("a planned stop cuts no request", violations, "%d of 2 planned stops ended in time, %d answers were cut", actions.plannedStops, total.Incomplete)
}

func (actions *OperatorActions) checkConfiguration() Invariant {
	slow := longest(actions.propagationDelays)
	violations := actions.conflictChecks - actions.conflictsResolved + len(actions.errors)
	if slow > configDelayLimit || actions.conflictChecks == 0 {
		violations++
	}
	return newInvariant("an accepted configuration is in force everywhere", violations,
		"slowest of %d changes %s; the stale patch lost at %d of %d processes; %d errors %v",
		len(actions.propagationDelays), slow.Round(time.Millisecond), actions.conflictsResolved, actions.conflictChecks, len(actions.errors), actions.errors)
}
