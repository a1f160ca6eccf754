package loader

import (
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/metric"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// updateWork reports whether the work factor that the engine states has changed since the
// entry instances were last told, in which case a state is due to all of them.
func (loader *Loader) updateWork() (changed bool) {
	work := loader.admission.Work()
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if work.Lasting > 0 && speed.Differs(work.Lasting, loader.toldWork.Lasting) {
		loader.config.Logger.Info("loader: lasting work factor changed", zap.String("upstream", loader.upstream),
			zap.Float64("before", loader.toldWork.Lasting), zap.Float64("factor", work.Lasting))
		loader.toldWork.Lasting = work.Lasting
		changed = true
	}
	if work.Stated.Factor > 0 && speed.Differs(work.Stated.Factor, loader.toldWork.Stated.Factor) {
		loader.toldWork.Stated = work.Stated
		changed = true
	}
	if changed {
		loader.workChangedAt = time.Now()
	}
	return changed
}

// setWorkGauges updates the metrics of the engine's work factor and of pauses.
func (loader *Loader) setWorkGauges() {
	work := loader.admission.Work()
	observed, lasting := loader.admission.PauseRisk()
	metric.SetGauge("loader", "work-factor-permille", int64(codec.EncodePerMille(work.Present(time.Now()))))
	metric.SetGauge("loader", "lasting-work-factor-permille", int64(codec.EncodePerMille(work.Lasting)))
	metric.SetGauge("loader", "pause-risk-permille", int64(codec.EncodePerMille(observed)))
	metric.SetGauge("loader", "lasting-pause-risk-permille", int64(codec.EncodePerMille(lasting)))
	metric.SetGauge("loader", "grants-held-for-pause", loader.admission.HeldForPause())
}
