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
	// configBound and withdrawalBound are the users' bounds with the log up.
	configBound     = 2 * time.Second
	withdrawalBound = 4 * time.Second
	eventPoll       = 20 * time.Millisecond
)

// Events holds what the operators' actions during a run led to.
type Events struct {
	fleet *Fleet

	probes      int
	foreignRuns int
	probeKey    string
	withdrawal  time.Duration
	withdrawn   bool
	propagation []time.Duration
	racesWon    int
	races       int
	left        int
	leftAt      time.Time
	stops       int
	errors      []string
}

// RunEvents performs operators' actions, spread over the length of a run: a
// probe of another organisation's adapter, racing patches, a withdrawal, the
// replacement of an entry instance and a leaving upstream.
func (fleet *Fleet) RunEvents(ctx context.Context, length time.Duration) *Events {
	events := &Events{fleet: fleet, left: 1}
	steps := []struct {
		at     float64
		action func(ctx context.Context) error
	}{
		{0.1, events.issueProbeKey},
		{0.2, events.probeForeign},
		{0.3, events.race},
		{0.4, events.withdraw},
		{0.5, events.replaceEntry},
		{0.6, events.stopSide},
	}
	begin := time.Now()
	for _, step := range steps {
		if pause(ctx, time.Until(begin.Add(time.Duration(step.at*float64(length))))) != nil {
			return events
		}
		if err := step.action(ctx); err != nil {
			events.errors = append(events.errors, err.Error())
		}
	}
	return events
}

func (fleet *Fleet) version() uint64 {
	version := uint64(0)
	for _, instance := range fleet.instances() {
		version = max(version, instance.process.ConfigVersion())
	}
	return version
}

// publish appends a patch on the current version and waits until it is in
// force at every process.
func (events *Events) publish(ctx context.Context, id string, ops ...patch.Op) error {
	base := events.fleet.version()
	begin := time.Now()
	if err := events.fleet.append(patch.Patch{ID: id, BaseVersion: base, Operator: operator, Ops: ops}); err != nil {
		return err
	}
	return events.awaitVersion(ctx, base+1, begin)
}

func (events *Events) awaitVersion(ctx context.Context, version uint64, begin time.Time) error {
	for time.Since(begin) < 2*configBound {
		behind := 0
		for _, instance := range events.fleet.instances() {
			if instance.process.ConfigVersion() < version {
				behind++
			}
		}
		if behind == 0 {
			events.propagation = append(events.propagation, time.Since(begin))
			return nil
		}
		if err := pause(ctx, eventPoll); err != nil {
			return err
		}
	}
	events.propagation = append(events.propagation, time.Since(begin))
	return fmt.Errorf("version %d was not in force everywhere within %s", version, 2*configBound)
}

func (events *Events) issueProbeKey(ctx context.Context) error {
	key, spec := creds.Issue(events.fleet.plan.Organisations[0].Name)
	events.probeKey = key
	return events.publish(ctx, "demo-probe-key", patch.PutKey{Key: spec})
}

// request sends one completion to one entry instance and returns its status.
func (events *Events) request(ctx context.Context, base, key, adapter string) (int, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"probe","max_tokens":1}`, adapter)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := events.fleet.client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

func (events *Events) probeForeign(ctx context.Context) error {
	organisations := events.fleet.plan.Organisations
	for _, base := range events.fleet.EntryURLs() {
		status, err := events.request(ctx, base, organisations[0].Key, reqgen.AdapterName(organisations[1].Name, 0))
		if err != nil {
			return err
		}
		events.probes++
		if status < http.StatusBadRequest {
			events.foreignRuns++
		}
	}
	return nil
}

// race publishes two patches against the same version. The second must be void.
func (events *Events) race(ctx context.Context) error {
	base := events.fleet.version()
	begin := time.Now()
	for _, wait := range []time.Duration{7 * time.Second, 9 * time.Second} {
		route := conf.RouteSpec{
			Name: "race", Service: events.fleet.config.Deployment.ModelService, Class: conf.Interactive,
			MaxWait: wait, Idempotent: true, DefaultMaxTokens: 16,
		}
		record := patch.Patch{ID: "demo-race-" + wait.String(), BaseVersion: base, Operator: operator, Ops: []patch.Op{patch.PutRoute{Route: route}}}
		if err := events.fleet.append(record); err != nil {
			return err
		}
	}
	if err := events.awaitVersion(ctx, base+1, begin); err != nil {
		return err
	}
	for _, instance := range events.fleet.instances() {
		events.races++
		route, ok := instance.process.Config().Route("race")
		if ok && route.MaxWait == 7*time.Second && instance.process.ConfigVersion() == base+1 {
			events.racesWon++
		}
	}
	return nil
}

// withdraw withdraws the probe key and asks every entry instance until all
// refuse it.
func (events *Events) withdraw(ctx context.Context) error {
	id, _, ok := creds.Parse(events.probeKey)
	if !ok {
		return fmt.Errorf("the probe key was not issued")
	}
	begin := time.Now()
	record := patch.Patch{ID: "demo-withdraw", BaseVersion: events.fleet.version(), Operator: operator, Ops: []patch.Op{patch.WithdrawKey{ID: id}}}
	if err := events.fleet.append(record); err != nil {
		return err
	}
	adapter := reqgen.AdapterName(events.fleet.plan.Organisations[0].Name, 0)
	for _, base := range events.fleet.EntryURLs() {
		for {
			status, err := events.request(ctx, base, events.probeKey, adapter)
			if err != nil {
				return err
			}
			if status == http.StatusUnauthorized {
				break
			}
			if time.Since(begin) > 2*withdrawalBound {
				return fmt.Errorf("the withdrawn key still worked after %s", 2*withdrawalBound)
			}
		}
	}
	events.withdrawn = true
	events.withdrawal = time.Since(begin)
	return nil
}

func (events *Events) replaceEntry(ctx context.Context) error {
	if err := events.fleet.ReplaceEntry(ctx); err != nil {
		return err
	}
	events.stops++
	return nil
}

func (events *Events) stopSide(ctx context.Context) error {
	events.leftAt = time.Now()
	if err := events.fleet.StopSide(ctx, events.left); err != nil {
		return err
	}
	events.stops++
	return nil
}

func (events *Events) checkWithdrawal() Invariant {
	violations := 0
	if !events.withdrawn || events.withdrawal > withdrawalBound {
		violations = 1
	}
	return promise("a withdrawn key stops working within seconds", violations, "refused everywhere after %s", events.withdrawal.Round(time.Millisecond))
}

func (events *Events) checkStops(total reqgen.Series) Invariant {
	violations := int(total.Incomplete)
	if events.stops < 2 {
		violations++
	}
	return promise("a planned stop cuts no request", violations, "%d of 2 planned stops ended in time, %d answers were cut", events.stops, total.Incomplete)
}

func (events *Events) checkConfiguration() Invariant {
	slow := slowest(events.propagation)
	violations := events.races - events.racesWon + len(events.errors)
	if slow > configBound || events.races == 0 {
		violations++
	}
	return promise("an accepted configuration is in force everywhere", violations,
		"slowest of %d changes %s; the stale patch lost at %d of %d processes; %d errors %v",
		len(events.propagation), slow.Round(time.Millisecond), events.racesWon, events.races, len(events.errors), events.errors)
}
