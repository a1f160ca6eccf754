package loader

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
)

const (
	// reportPeriod is how often the engine is asked for its report.
	reportPeriod = 40 * time.Millisecond
	// lostReports is the number of reports that fail in a row before the engine
	// counts as unreachable.
	lostReports = 3
	// fenceStep raises the fencing token above one that the engine has seen.
	fenceStep = 10_000
)

// keep asks for reports and gives orders.
func (loader *Loader) keep(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-loader.orders:
		}
		loader.attend(ctx)
		loader.tellChanges()
	}
}

// attend asks for a report and gives the orders that are due.
func (loader *Loader) attend(ctx context.Context) {
	for loader.rested() && loader.refresh(ctx) && loader.order(ctx) {
	}
}

// rested reports whether the engine may be called. A new start of it is not
// bound by what an earlier one said.
func (loader *Loader) rested() bool {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	return !time.Now().Before(loader.restUntil) || loader.listedBorn > loader.restBorn
}

// rests records that the engine wants no calls, if err says so.
func (loader *Loader) rests(err error) bool {
	var rest BackoffError
	if !errors.As(err, &rest) {
		return false
	}
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.restUntil = time.Now().Add(min(rest.Delay, cordon.MaxBackoff))
	loader.restBorn = max(loader.report.StartedAt, loader.listedBorn)
	counters.Add("engine-rests", 1)
	loader.config.Logger.Warn("loader: engine wants no calls", zap.Duration("rest", rest.Delay))
	return true
}

// refresh takes over the engine's report. While the engine wants no calls, its
// last report stands.
func (loader *Loader) refresh(ctx context.Context) bool {
	report, err := loader.config.Engine.Report(ctx)
	if ctx.Err() != nil || loader.rests(err) {
		return false
	}
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if err != nil {
		loader.misses++
		loader.silent = !errors.Is(err, syscall.ECONNREFUSED) && !loader.report.Draining
		if loader.misses == lostReports {
			loader.config.Logger.Warn("loader: engine does not report", telem.Error(err))
			loader.gate.Observe(admit.EngineState{})
		}
		return false
	}
	if loader.misses >= lostReports || report.StartedAt != loader.report.StartedAt {
		loader.config.Logger.Info("loader: engine reports", zap.Int64("born", report.StartedAt),
			zap.Strings("models", report.Models), zap.Int("adapters", len(report.Resident)))
	}
	if report.StartedAt != loader.report.StartedAt {
		loader.gate.ResetSpeed()
	}
	loader.misses = 0
	loader.report = report
	for _, arrival := range loader.planner.Observe(report.EngineState) {
		loader.logArrival(arrival)
	}
	loader.gate.Observe(admit.EngineState{
		Running: report.Running + report.Queued, Queued: report.Queued, UsedTokens: report.UsedTokens, TotalTokens: report.TotalTokens,
		Holds: report.holds,
	})
	wake(loader.turns)
	return true
}

// order gives the next order and reports whether there was one that the engine
// took.
func (loader *Loader) order(ctx context.Context) bool {
	order, ok := loader.planner.Next()
	if !ok {
		return false
	}
	loader.mutex.Lock()
	upstream := loader.listed
	loader.mutex.Unlock()
	began := time.Now()
	err := loader.config.Engine.Order(ctx, upstream, order, loader.fence)
	if errors.Is(err, ErrFenced) {
		loader.fence = max(loader.fence, time.Now().UnixMilli()) + fenceStep
	}
	counters.Add("orders-"+order.Operation.String(), 1)
	if err != nil {
		counters.Add("orders-failed", 1)
	}
	if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrFenced) && !loader.rests(err) {
		loader.planner.RecordOrder(order)
	}
	loader.config.Logger.Info(MessageOrder,
		zap.String("operation", order.Operation.String()), zap.String("model", order.Model),
		zap.String("adapter", order.Adapter.Name), zap.Uint32("version", order.Adapter.Version),
		zap.Int64("sequence", order.Sequence), zap.Duration("took", time.Since(began)), telem.Error(err))
	return err == nil
}

// logArrival writes how an adapter came.
func (loader *Loader) logArrival(arrival lora.CompletedLoad) {
	counters.Add("adapters-arrived", 1)
	if arrival.FromCache {
		counters.Add("adapters-recalled", 1)
	}
	loader.config.Logger.Info(MessageLoaded, zap.String("adapter", arrival.Adapter.Name), zap.Uint32("version", arrival.Adapter.Version),
		zap.Duration("took", arrival.Took), zap.Int("depth", arrival.Depth), zap.Bool("quick", arrival.FromCache))
}
