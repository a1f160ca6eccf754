package loader

import (
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/fence"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// moment reads the two clocks that fencing tokens depend on.
func (loader *Loader) moment() fence.Moment {
	return fence.Moment{TimeOfDay: time.Now(), Uptime: loader.config.Uptime()}
}

// nextToken returns the fencing token of the next order. The caller holds the mutex.
func (loader *Loader) nextToken() int64 {
	engine := fence.Engine{StartedAt: loader.report.StartedAt, Orders: loader.report.Sequence}
	token, chosen := loader.tokens.Token(engine, loader.moment())
	if chosen {
		loader.newOffset = true
		loader.logToken("loader: fencing token chosen")
	}
	return token
}

// learnToken learns from a demand which fencing tokens earlier processes have used.
func (loader *Loader) learnToken(demand *wirepb.Demand) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.tokens.LearnToken(codec.DecodeTokenOfSerial(demand.GetFullSerial()))
	offset, ok := codec.DecodeFencingOffset(demand.GetBorn(), demand.FencingOffset)
	if ok && !loader.tokens.Knows(offset) && loader.tokens.LearnOffset(offset, loader.moment()) {
		loader.newOffset = true
		loader.logTokenRaise("an entry instance has heard of a higher one")
	}
}

// refuseToken raises the fencing token after the engine has refused it.
func (loader *Loader) refuseToken() {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.tokens.Refuse(loader.moment())
	loader.newOffset = true
	loader.logTokenRaise("the engine has seen a higher one")
}

// acceptToken records that the engine has accepted an order.
func (loader *Loader) acceptToken() {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.tokens.Accept()
}

// logTokenRaise logs and counts that the fencing token was raised. The caller holds the mutex.
func (loader *Loader) logTokenRaise(reason string) {
	counters.Add("fencing-token-raises", 1)
	loader.logToken("loader: fencing token raised", zap.String("reason", reason))
}

// logToken logs the fencing token and its source, with the clocks that it can be compared
// with. The caller holds the mutex.
func (loader *Loader) logToken(message string, fields ...zap.Field) {
	now := loader.moment()
	fields = append(fields, zap.Int64("token", loader.tokens.Current()), zap.String("source", loader.tokens.Source().String()),
		zap.Duration("lead", loader.tokens.Lead(now)), zap.Time("time-of-day", now.TimeOfDay), zap.Duration("uptime", now.Uptime),
		zap.Int64("born", loader.report.StartedAt), zap.Int64("sequence", loader.report.Sequence))
	loader.config.Logger.Info(message, fields...)
}
