package loader

import (
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
)

// logCold logs that the engine became cold, as an entry instance said.
func (loader *Loader) logCold(before admit.ColdState, entry string) {
	now := loader.admission.ColdState()
	if now.Limit.PerSecond != before.Limit.PerSecond {
		loader.config.Logger.Info("cold: limit of requests per second", zap.Int("before", before.Limit.PerSecond), zap.Int("limit", now.Limit.PerSecond))
	}
	if before.Remaining == 0 && now.Remaining > 0 {
		counters.Add("cold-starts", 1)
		loader.config.Logger.Info("cold: engine is cold", zap.Duration("for", now.Remaining), zap.Float64("rate", now.Limit.Rate), zap.String("told", entry))
	}
}
