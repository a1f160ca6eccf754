package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
)

// What the others did until a moment can be told only from what was heard after it. An
// instance that was stopped, or is cut off, may lack entries of the instance list that others
// have acted on. So before it concludes anything from what it does not know, it reads the
// store once more.

const (
	// confirmTimeout bounds the time for that, and takeUpTimeout that for all that is asked
	// and read when a stream is taken up: the caller can go on at another instance.
	confirmTimeout = 250 * time.Millisecond
	takeUpTimeout  = 300 * time.Millisecond
	// retryAfterOutOfStep is sent with refusals of an instance that could not confirm what it
	// knows: another one may.
	retryAfterOutOfStep = 50 * time.Millisecond
)

// Why an instance is out of step, as its log and its metrics name it.
const (
	// causeLoadersSilent means that no loader that was asked for a stream has answered.
	causeLoadersSilent = "loaders-silent"
	// causeUpstreamsUnheard means that neither the upstreams that may continue the stream nor
	// their loaders are heard.
	causeUpstreamsUnheard = "upstreams-unheard"
	// causeListUnconfirmed and causeStoreUnconfirmed mean that the store did not confirm the
	// instance list, or the configuration with it, in time.
	causeListUnconfirmed  = "list-unconfirmed"
	causeStoreUnconfirmed = "store-unconfirmed"
	// causeUpstreamRenewed means that an upstream runs at a version that is not listed yet.
	causeUpstreamRenewed = "upstream-renewed"
)

// reasonOutOfStep is the reason of such refusals.
const reasonOutOfStep = "the instance could not confirm in time which upstreams are listed"

// errOutOfStep means that this instance does not know all that others may know.
var errOutOfStep = errors.New(reasonOutOfStep)

// outOfStepRefusal returns the refusal of a request for which this instance is out of step.
func outOfStepRefusal() *refusal {
	return &refusal{http.StatusServiceUnavailable, reasonOutOfStep, retryAfterOutOfStep}
}

// recordOutOfStep records why this instance is out of step for the request.
func (proxyRequest *proxyRequest) recordOutOfStep(cause string) {
	proxyRequest.relay.metrics.increment("out-of-step-" + cause)
	proxyRequest.log("relay: out of step", zap.String("cause", cause))
}

// confirmList makes sure that the instance list holds all that the store held at a time and
// all that others had read, up to a place in it. It returns errOutOfStep if that cannot be
// confirmed within confirmTimeout.
func (relay *Relay) confirmList(ctx context.Context, since time.Time, others watch.Cursor) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return relay.awaitList(ctx, since, others)
}

// confirmStore is confirmList for the configuration too, which must not be earlier than those
// that other instances report.
func (relay *Relay) confirmStore(ctx context.Context, since time.Time, others watch.Cursor) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	relay.instanceWatcher.Refresh(since)
	// The watcher of the configuration mostly waits in a call for changes.
	end, err := relay.configWatcher.End(ctx, since)
	if err != nil {
		return errOutOfStep
	}
	if err := relay.awaitConfirmed(ctx, func() bool { return !relay.configWatcher.Position().Before(end) }); err != nil {
		return err
	}
	if latest, _ := relay.peers.latestConfig(); relay.store.config().Version() < latest {
		return errOutOfStep
	}
	return relay.awaitList(ctx, since, others)
}

// awaitList waits until the instance list is confirmed by a call that began at a time or
// later, and is read as far as others had read it. A store may answer with an earlier state
// than it did to them.
func (relay *Relay) awaitList(ctx context.Context, since time.Time, others watch.Cursor) error {
	for {
		relay.instanceWatcher.Refresh(since)
		if err := relay.awaitConfirmed(ctx, func() bool { return !relay.instanceWatcher.Position().ConfirmedAt.Before(since) }); err != nil {
			return err
		}
		if !relay.instanceWatcher.Position().Before(others) {
			return nil
		}
		since = time.Now()
	}
}

// awaitConfirmed waits until a condition holds that changes with the positions of the
// watchers.
func (relay *Relay) awaitConfirmed(ctx context.Context, confirmed func() bool) error {
	for {
		changed := relay.storeConfirmed.next()
		switch {
		case confirmed():
			return nil
		case ctx.Err() != nil:
			return errOutOfStep
		}
		awaitChange(ctx, changed, confirmTimeout)
	}
}
