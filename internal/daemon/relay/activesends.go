package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
)

var (
	// errUpstreamLost is the cause with which the sends to an upstream are cancelled
	// when it becomes unreachable or restarts.
	errUpstreamLost = errors.New("the upstream was lost")
	// errBlocked is the cause with which sends are cancelled that have not begun when
	// their request, or a part of its prompt, is blocked.
	errBlocked = errors.New("the request was blocked")
)

// activeSend is a running send.
type activeSend struct {
	upstream string
	request  *proxyRequest
	cancel   context.CancelCauseFunc
	// repeatable means that the request may be sent to another upstream.
	repeatable bool
	// probe means that it is a probe.
	probe bool
	// begun means that the head of the response was received.
	begun atomic.Bool
	// bound means that a part of a stream was forwarded that cannot go on elsewhere, as it is
	// not known which software writes it.
	bound atomic.Bool
}

// activeSends holds the running sends.
type activeSends struct {
	mutex sync.Mutex
	sends map[*activeSend]bool
}

func newActiveSends() *activeSends { return &activeSends{sends: make(map[*activeSend]bool)} }

// track returns a context for a send that is cancelled if the upstream is lost, where
// the request may be repeated, or if it is blocked. The caller calls
// done when the send has ended.
func (activeSends *activeSends) track(ctx context.Context, upstream string, sent *proxyRequest, repeatable bool) (tracked context.Context, send *activeSend, done func()) {
	tracked, cancel := context.WithCancelCause(ctx)
	send = &activeSend{upstream: upstream, request: sent, cancel: cancel, repeatable: repeatable, probe: sent.probe}
	activeSends.mutex.Lock()
	defer activeSends.mutex.Unlock()
	activeSends.sends[send] = true
	return tracked, send, func() {
		activeSends.mutex.Lock()
		delete(activeSends.sends, send)
		activeSends.mutex.Unlock()
		cancel(nil)
	}
}

// cancel cancels the sends that a function selects, and returns their number.
func (activeSends *activeSends) cancel(cause error, selected func(*activeSend) bool) int {
	activeSends.mutex.Lock()
	defer activeSends.mutex.Unlock()
	cancelled := 0
	for send := range activeSends.sends {
		if selected(send) {
			send.cancel(cause)
			delete(activeSends.sends, send)
			cancelled++
		}
	}
	return cancelled
}

// cancelSends cancels the sends to a lost upstream that may be repeated, so that they
// are retried at another one. A send that is bound may be at a later incarnation.
func (relay *Relay) cancelSends(upstream string) {
	cancelled := relay.activeSends.cancel(errUpstreamLost, func(send *activeSend) bool {
		return send.repeatable && send.upstream == upstream && !send.bound.Load()
	})
	if cancelled > 0 {
		relay.config.Logger.Info("relay: cancelled sends to a lost upstream", zap.String("upstream", upstream), zap.Int("sends", cancelled))
	}
}

// cancelBlocked cancels the sends of blocked requests that have not begun, before they
// crash their upstreams.
func (relay *Relay) cancelBlocked() {
	cancelled := relay.activeSends.cancel(errBlocked, func(send *activeSend) bool {
		request := send.request
		return !send.begun.Load() && !send.probe && relay.poison.Blocked(request.organisationName(), request.subjects)
	})
	if cancelled > 0 {
		relay.metrics.increment("poison-cancelled")
		relay.config.Logger.Info("poison: cancelled sends of blocked requests", zap.Int("sends", cancelled))
	}
}
