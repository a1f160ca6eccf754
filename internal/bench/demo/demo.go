package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
)

// Config configures a run of a deployment.
type Config struct {
	Deployment Deployment
	Network    Network
	Policy     string
	Entries    int
	Seed       uint64
	Duration   time.Duration
	TLS        setup.TLS
	Logger     *zap.Logger
	// Progress receives one line each second; nil means no output.
	Progress io.Writer
}

// Result is the outcome of a run.
type Result struct {
	Deployment string      `json:"deployment"`
	Seed       uint64      `json:"seed"`
	Length     string      `json:"length"`
	Invariants []Invariant `json:"promises"`
	Measures   Measures    `json:"measures"`
	Problems   []string    `json:"problems"`
}

// Held reports whether all invariants held.
func (result Result) Held() bool {
	for _, invariant := range result.Invariants {
		if !invariant.Held {
			return false
		}
	}
	return true
}

// Run runs a deployment under load and operators' actions, checks the invariants
// and computes the measures. It returns an error if the deployment does not start
// or ctx ends early.
func Run(ctx context.Context, config Config) (Result, error) {
	fleet, err := NewFleet(FleetConfig{
		Deployment: config.Deployment, Network: config.Network, Policy: config.Policy,
		Entries: config.Entries, Seed: config.Seed, TLS: config.TLS, Logger: config.Logger,
	})
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	if err := fleet.Start(ctx); err != nil {
		return Result{}, err
	}
	generator := reqgen.New(reqgen.Config{
		EntryURLs: fleet.EntryURLs, Client: fleet.client, Plan: fleet.plan, Seed: config.Seed, ExpectedToken: ExpectedToken,
	})
	stopProgress := showProgress(config.Progress, generator.Report())
	finished := make(chan *OperatorActions, 1)
	go func() { finished <- fleet.RunOperatorActions(ctx, config.Duration) }()
	generator.Run(ctx, config.Duration)
	actions := <-finished
	stopProgress()
	if ctx.Err() != nil {
		return Result{}, ctx.Err()
	}
	report := generator.Report()
	return Result{
		Deployment: config.Deployment.Name, Seed: config.Seed, Length: config.Duration.String(),
		Invariants: fleet.CheckInvariants(report, actions), Measures: fleet.Measure(report), Problems: report.Problems(),
	}, nil
}

// ExpectedToken returns the text of a token as the engine simulator generates it.
func ExpectedToken(adapter string, version uint32, prompt string, index int) string {
	return engsim.TokenText(adapter, version, prompt, int64(index))
}

// showProgress writes the request counts each second until the returned function
// is called.
func showProgress(writer io.Writer, report *reqgen.Report) func() {
	if writer == nil {
		return func() {}
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for second := 1; ; second++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				total := report.Total()
				_, _ = fmt.Fprintf(writer, "%3d s: %d answered, %d completed, %d refused, %d unknown, %d cut, %d wrong\n",
					second, total.Sent, total.Completed, total.Refused, total.UnknownEffect, total.Incomplete, total.WrongText)
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

// ExampleCommands returns shell commands for trying out the running deployment.
func (fleet *Fleet) ExampleCommands() []string {
	organisation := fleet.plan.Organisations[0]
	base := fleet.EntryURLs()[0]
	header := fmt.Sprintf("-H 'Authorization: Bearer %s' -H 'Content-Type: application/json'", organisation.Key)
	adapter := reqgen.AdapterName(organisation.Name, 0)
	fleet.mu.Lock()
	operators := fleet.entries[0].operatorURL
	fleet.mu.Unlock()
	return []string{
		fmt.Sprintf("curl -s %s %s/v1/models | head -c 400", header, base),
		fmt.Sprintf(`curl -sN %s %s/v1/chat/completions -d '{"model":"%s","messages":[{"role":"user","content":"How do I water a juniper?"}],"max_tokens":12,"stream":true}'`, header, base, adapter),
		fmt.Sprintf(`curl -s %s %s/v1/completions -d '{"model":"%s@1","prompt":"Describe an oak slab.","max_tokens":12}'`, header, base, adapter),
		fmt.Sprintf(`curl -s %s -H 'Idempotency-Key: order-1' %s/services/%s/orders/1 -d '{"quantity":1}'`, header, base, fleet.plan.PlainService),
		fmt.Sprintf("curl -s %s %s/services/%s/stock/7", header, base, fleet.plan.PlainService),
		fmt.Sprintf("go run ./cmd/jacinthfront status --address %s", operators),
		fmt.Sprintf("go run ./cmd/jacinthfront key issue --organisation %s --address %s", organisation.Name, operators),
	}
}
