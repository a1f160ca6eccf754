package relay

import (
	"context"
	"errors"
	"sync"

	"go.uber.org/zap"
)

// errUpstreamLost is why a send ends whose upstream went dark or restarted.
var errUpstreamLost = errors.New("the upstream was lost")

// sends holds the sends under way that may go on at another upstream.
type sends struct {
	mutex      sync.Mutex
	byUpstream map[string]map[*flight]context.CancelCauseFunc
}

func newSends() *sends {
	return &sends{byUpstream: make(map[string]map[*flight]context.CancelCauseFunc)}
}

// watch returns a context for a send that ends early if the upstream is lost.
// The caller calls done when the send has ended.
func (sends *sends) watch(ctx context.Context, upstream string, sent *flight) (watched context.Context, done func()) {
	watched, cancel := context.WithCancelCause(ctx)
	sends.mutex.Lock()
	defer sends.mutex.Unlock()
	if sends.byUpstream[upstream] == nil {
		sends.byUpstream[upstream] = make(map[*flight]context.CancelCauseFunc)
	}
	sends.byUpstream[upstream][sent] = cancel
	return watched, func() {
		sends.mutex.Lock()
		delete(sends.byUpstream[upstream], sent)
		if len(sends.byUpstream[upstream]) == 0 {
			delete(sends.byUpstream, upstream)
		}
		sends.mutex.Unlock()
		cancel(nil)
	}
}

// end ends the sends to an upstream and returns their number.
func (sends *sends) end(upstream string) int {
	sends.mutex.Lock()
	defer sends.mutex.Unlock()
	ended := len(sends.byUpstream[upstream])
	for _, cancel := range sends.byUpstream[upstream] {
		cancel(errUpstreamLost)
	}
	delete(sends.byUpstream, upstream)
	return ended
}

// abandon ends the sends to a lost upstream, so that they go on at another one.
func (relay *Relay) abandon(upstream string) {
	if ended := relay.sends.end(upstream); ended > 0 {
		relay.config.Logger.Info("relay: sends to a lost upstream ended", zap.String("upstream", upstream), zap.Int("sends", ended))
	}
}
