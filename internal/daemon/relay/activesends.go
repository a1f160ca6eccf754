package relay

import (
	"context"
	"errors"
	"sync"

	"go.uber.org/zap"
)

// errUpstreamLost is the cause with which the sends to an upstream are cancelled
// when it becomes unreachable or restarts.
var errUpstreamLost = errors.New("the upstream was lost")

// activeSends holds the running sends that may be retried at another upstream.
type activeSends struct {
	mutex      sync.Mutex
	byUpstream map[string]map[*proxyRequest]context.CancelCauseFunc
}

func newActiveSends() *activeSends {
	return &activeSends{byUpstream: make(map[string]map[*proxyRequest]context.CancelCauseFunc)}
}

// track returns a context for a send that is cancelled if the upstream is lost. The
// caller calls done when the send has ended.
func (activeSends *activeSends) track(ctx context.Context, upstream string, sent *proxyRequest) (tracked context.Context, done func()) {
	tracked, cancel := context.WithCancelCause(ctx)
	activeSends.mutex.Lock()
	defer activeSends.mutex.Unlock()
	if activeSends.byUpstream[upstream] == nil {
		activeSends.byUpstream[upstream] = make(map[*proxyRequest]context.CancelCauseFunc)
	}
	activeSends.byUpstream[upstream][sent] = cancel
	return tracked, func() {
		activeSends.mutex.Lock()
		delete(activeSends.byUpstream[upstream], sent)
		if len(activeSends.byUpstream[upstream]) == 0 {
			delete(activeSends.byUpstream, upstream)
		}
		activeSends.mutex.Unlock()
		cancel(nil)
	}
}

// cancel cancels the sends to an upstream and returns their number.
func (activeSends *activeSends) cancel(upstream string) int {
	activeSends.mutex.Lock()
	defer activeSends.mutex.Unlock()
	cancelled := len(activeSends.byUpstream[upstream])
	for _, cancel := range activeSends.byUpstream[upstream] {
		cancel(errUpstreamLost)
	}
	delete(activeSends.byUpstream, upstream)
	return cancelled
}

// cancelSends cancels the sends to a lost upstream, so that they are retried at
// another one.
func (relay *Relay) cancelSends(upstream string) {
	if cancelled := relay.activeSends.cancel(upstream); cancelled > 0 {
		relay.config.Logger.Info("relay: cancelled sends to a lost upstream", zap.String("upstream", upstream), zap.Int("sends", cancelled))
	}
}
