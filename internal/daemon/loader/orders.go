package loader

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
)

const (
	// reportPeriod is how often the engine is asked for its report.
	reportPeriod = 40 * time.Millisecond
	// unreachableAfter is the number of consecutive failed reports after which
	// the engine counts as unreachable.
	unreachableAfter = 3
)

// runOrders polls the engine, sends orders to it and states to the entry
// instances, until ctx ends.
func (loader *Loader) runOrders(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-loader.wakeOrders:
		}
		loader.poll(ctx)
		loader.sendChanges()
	}
}

// poll fetches a report and sends the next order, until no order is due or a
// call fails.
func (loader *Loader) poll(ctx context.Context) {
	for loader.mayCall() && loader.fetchReport(ctx) && loader.sendOrder(ctx) {
	}
}

// mayCall reports whether the engine is out of its backoff. A backoff asked for
// by one incarnation does not bind a later one.
func (loader *Loader) mayCall() bool {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	return !time.Now().Before(loader.backoffUntil) || loader.listedStartedAt > loader.backoffStartedAt
}

// backOff records the backoff that the engine asks for and returns true, if err
// is a BackoffError.
func (loader *Loader) backOff(err error) bool {
	var backoff BackoffError
	if !errors.As(err, &backoff) {
		return false
	}
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.backoffUntil = time.Now().Add(min(backoff.Delay, cordon.MaxBackoff))
	loader.backoffStartedAt = max(loader.report.StartedAt, loader.listedStartedAt)
	counters.Add("engine-rests", 1)
	loader.config.Logger.Warn("loader: engine asked for backoff", zap.Duration("rest", backoff.Delay))
	return true
}

// fetchReport fetches and records the engine's report, and reports whether it
// succeeded. During a backoff the last report stays in effect.
func (loader *Loader) fetchReport(ctx context.Context) bool {
	asks := loader.takeIncarnationAsks()
	report, err := loader.config.Engine.Report(ctx)
	if err != nil {
		loader.keepIncarnationAsks(asks)
	} else {
		loader.answerIncarnations(asks, report.StartedAt)
	}
	if ctx.Err() != nil || loader.backOff(err) {
		return false
	}
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if err != nil {
		loader.missedReports++
		loader.unresponsive = !errors.Is(err, syscall.ECONNREFUSED) && !loader.report.Draining
		if loader.missedReports == unreachableAfter {
			loader.config.Logger.Warn("loader: engine report failed repeatedly", logs.ErrorField(err))
			loader.admission.Observe(admit.EngineState{})
		}
		return false
	}
	if loader.missedReports >= unreachableAfter || report.StartedAt != loader.report.StartedAt {
		loader.config.Logger.Info("loader: engine report received", zap.Int64("born", report.StartedAt),
			zap.Strings("models", report.Models), zap.Int("adapters", len(report.Resident)))
	}
	if report.StartedAt != loader.report.StartedAt {
		loader.admission.ResetSpeed()
	}
	loader.missedReports = 0
	loader.report = report
	for _, load := range loader.planner.Observe(report.EngineState) {
		loader.logLoad(load)
	}
	loader.admission.Observe(admit.EngineState{
		Running: report.Running + report.Queued, Queued: report.Queued, UsedTokens: report.UsedTokens, TotalTokens: report.TotalTokens,
		HasAdapter: report.holds,
	})
	wake(loader.wakeGrants)
	return true
}

// sendOrder sends the next order and reports whether there was one that the
// engine accepted.
func (loader *Loader) sendOrder(ctx context.Context) bool {
	order, ok := loader.planner.Next()
	if !ok {
		return false
	}
	loader.mutex.Lock()
	upstream, token := loader.upstream, loader.nextToken()
	loader.mutex.Unlock()
	began := time.Now()
	err := loader.config.Engine.Order(ctx, upstream, order, token)
	switch {
	case errors.Is(err, ErrFenced):
		loader.refuseToken()
	case err == nil:
		loader.acceptToken()
	}
	counters.Add("orders-"+order.Operation.String(), 1)
	if err != nil {
		counters.Add("orders-failed", 1)
	}
	if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrFenced) && !loader.backOff(err) {
		loader.planner.RecordOrder(order)
	}
	loader.config.Logger.Info(MessageOrder,
		zap.String("operation", order.Operation.String()), zap.String("model", order.Model),
		zap.String("adapter", order.Adapter.Name), zap.Uint32("version", order.Adapter.Version),
		zap.Int64("sequence", order.Sequence), zap.Int64("fencing-token", token),
		zap.Duration("took", time.Since(began)), logs.ErrorField(err))
	return err == nil
}

// logLoad logs and counts a completed load.
func (loader *Loader) logLoad(load lora.CompletedLoad) {
	counters.Add("adapters-arrived", 1)
	if load.FromCache {
		counters.Add("adapters-recalled", 1)
	}
	loader.config.Logger.Info(MessageLoaded, zap.String("adapter", load.Adapter.Name), zap.Uint32("version", load.Adapter.Version),
		zap.Duration("took", load.Took), zap.Int("depth", load.Depth), zap.Bool("quick", load.FromCache))
}
