package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// outcome says how an attempt ended.
type outcome uint8

const (
	// finished means that the caller has received the whole response.
	finished outcome = iota
	// refused means that the attempt did not run and will not.
	refused
	// failed means that the side process reported a failure.
	failed
	// interrupted means that the response ended without a final event.
	interrupted
	// callerGone means that the caller has disconnected.
	callerGone
)

// result describes how an attempt ended.
type result struct {
	outcome outcome
	fault   *fault.Fault
	// tryElsewhere means that another upstream may succeed.
	tryElsewhere bool
	// unhealthy means that the result counts as a failure of the upstream.
	unhealthy bool
	// unresponsive means that the side process did not answer a liveness probe.
	unresponsive bool
}

// attempt sends a job once to a side process.
type attempt struct {
	job         *job
	number      uint32
	upstream    string
	address     string
	incarnation uint64

	started bool
	// resumeFrom is the index of the first token asked for.
	resumeFrom int64
	// outOfOrder keeps the chunks that arrived before a chunk with a lower index, by
	// index.
	outOfOrder map[int64][]byte
	// sentAt is when the job was sent, and lastEvent how long after that the last event came,
	// in nanoseconds.
	sentAt    time.Time
	lastEvent atomic.Int64
}

// maxOutOfOrder bounds the chunks that an attempt keeps for reordering.
const maxOutOfOrder = 64

// run sends the job and passes the events of the response to the sink.
func (attempt *attempt) run(ctx context.Context) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := attempt.entry().config.SideDialer.Dial(ctx, attempt.address)
	if err != nil {
		return attempt.unreachableResult()
	}
	defer conn.Release()
	if attempt.job.exchange.caller.Confirm() != nil {
		attempt.count("callers-gone")
		return result{outcome: refused, fault: fault.New(fault.Cancelled, fault.NotRun, "the caller has gone")}
	}
	stream, err := wirepb.NewDRPCSideClient(conn).Run(ctx, attempt.job.request(ctx, attempt.number, attempt.incarnation))
	if err != nil {
		return attempt.interruptedResult()
	}
	defer func() { _ = stream.Close() }()
	attempt.sentAt = time.Now()
	go attempt.probeLiveness(ctx, cancel)
	for {
		event, err := stream.Recv()
		if err != nil {
			result := attempt.interruptedResult()
			result.unresponsive = errors.Is(context.Cause(ctx), errUnresponsive)
			return result
		}
		attempt.lastEvent.Store(int64(time.Since(attempt.sentAt)))
		if result, ok := attempt.handleEvent(event); ok {
			attempt.drainStream(stream, cancel)
			return result
		}
	}
}

// closeTimeout bounds the wait for the end of a stream after its last event.
const closeTimeout = 200 * time.Millisecond

// drainStream reads the stream to its end, so that the connection can be reused,
// and counts events that arrive after the final one.
func (attempt *attempt) drainStream(stream wirepb.DRPCSide_RunClient, cancel context.CancelCauseFunc) {
	timer := time.AfterFunc(closeTimeout, func() { cancel(nil) })
	defer timer.Stop()
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
		attempt.count("events-after-the-end")
	}
}

func (attempt *attempt) entry() *Entry { return attempt.job.exchange.entry }

func (attempt *attempt) unreachableResult() result {
	return result{outcome: refused, tryElsewhere: true, unhealthy: true, fault: fault.New(fault.UpstreamFailed, fault.NotRun,
		"the side process of upstream %s cannot be reached; try again", attempt.upstream)}
}

func (attempt *attempt) interruptedResult() result {
	return result{outcome: interrupted, tryElsewhere: true, unhealthy: true, fault: fault.New(fault.UpstreamFailed, fault.RunUnknown,
		"the answer of upstream %s broke off; try again if the request may run twice", attempt.upstream)}
}

// handleEvent handles one event and reports whether it ends the attempt.
func (attempt *attempt) handleEvent(event *wirepb.RunEvent) (result, bool) {
	if event.GetRequestId() != attempt.job.exchange.id || event.GetAttempt() != attempt.number {
		attempt.count("events-of-other-requests")
		return result{}, false
	}
	if load := event.GetLoad(); load != nil {
		attempt.updateLoad(load)
	}
	switch body := event.GetEvent().(type) {
	case *wirepb.RunEvent_Refused:
		return attempt.handleRefused(body.Refused), true
	case *wirepb.RunEvent_Failed:
		return attempt.handleFailed(body.Failed), true
	case *wirepb.RunEvent_Started:
		return attempt.handleStarted(body.Started)
	case *wirepb.RunEvent_Chunk:
		return attempt.handleChunk(body.Chunk)
	case *wirepb.RunEvent_Done:
		return attempt.handleDone(body.Done)
	}
	attempt.count("events-without-body")
	return result{}, false
}

func (attempt *attempt) count(counter string) { attempt.entry().config.Counters.Add(counter, 1) }

func (attempt *attempt) updateLoad(load *wirepb.LoadReport) {
	attempt.entry().config.ConfigSource.ObserveVersion(load.GetConfigVersion())
	attempt.job.service.policy.UpdateLoad(time.Now(), attempt.upstream, policy.LoadReport{
		Incarnation:    load.GetIncarnation(),
		QueuedTokens:   conf.Tokens(load.GetQueuedTokens()),
		Queued:         load.GetQueuedRequests(),
		Running:        load.GetRunningRequests(),
		Slots:          load.GetSlots(),
		FreeSlots:      load.GetFreeSlots(),
		ExpectedWait:   time.Duration(load.GetExpectedWaitUs()) * time.Microsecond,
		LoadedAdapters: load.GetLoaded(),
		Draining:       load.GetDraining(),
	})
}

func (attempt *attempt) handleRefused(event *wirepb.Refused) result {
	err := fault.New(fault.Kind(event.GetKind()), fault.NotRun, "%s", event.GetMessage()).
		WithRetryAfter(time.Duration(event.GetRetryAfterUs()) * time.Microsecond)
	return result{outcome: refused, tryElsewhere: event.GetTryElsewhere(), fault: err}
}

func (attempt *attempt) handleFailed(event *wirepb.Failed) result {
	err := fault.New(fault.Kind(event.GetKind()), ranFromWire(event.GetRan()), "%s", event.GetMessage())
	result := result{outcome: failed, tryElsewhere: mayTryElsewhere(err.Kind()), fault: err}
	result.unhealthy = err.Kind() == fault.UpstreamFailed || err.Kind() == fault.Internal
	return result
}

// mayTryElsewhere reports whether a request that failed with this kind may
// succeed at another upstream.
func mayTryElsewhere(kind fault.Kind) bool {
	switch kind {
	case fault.UpstreamFailed, fault.LoadFailed, fault.Internal, fault.Draining, fault.Overloaded, fault.NoUpstream:
		return true
	}
	return false
}

func ranFromWire(ran wirepb.Ran) fault.Execution {
	switch ran {
	case wirepb.Ran_RAN_NOT_RUN:
		return fault.NotRun
	case wirepb.Ran_RAN_RAN:
		return fault.DidRun
	}
	return fault.RunUnknown
}

func (attempt *attempt) handleStarted(event *wirepb.Started) (result, bool) {
	if event.GetReplayed() && !attempt.job.sink.committed() {
		// A replayed response has the adapter version of the original run; the default
		// version may have changed since.
		attempt.job.exchange.version = event.GetAdapterVersion()
	}
	if attempt.started || !attempt.matchesAdapter(event.GetAdapter(), event.GetAdapterVersion()) {
		attempt.count("events-of-other-adapters")
		return result{}, false
	}
	attempt.started = true
	if err := attempt.job.sink.start(event); err != nil {
		return attempt.callerGoneResult(), true
	}
	return result{}, false
}

func (attempt *attempt) matchesAdapter(adapter string, version uint32) bool {
	return adapter == attempt.job.exchange.adapter && version == attempt.job.exchange.version
}

func (attempt *attempt) callerGoneResult() result {
	return result{outcome: callerGone, fault: fault.New(fault.Cancelled, fault.RunUnknown, "the caller has gone")}
}

// handleChunk passes each chunk on once, in the order of the indexes.
func (attempt *attempt) handleChunk(event *wirepb.Chunk) (result, bool) {
	index := event.GetIndex()
	_, known := attempt.outOfOrder[index]
	switch {
	case !attempt.started:
		attempt.count("chunks-before-start")
		return result{}, false
	case index < attempt.resumeFrom:
		// The upstream started over instead of resuming. Its tokens need not continue
		// those that the caller has received.
		return attempt.interruptedResult(), true
	case index < attempt.job.nextToken || known:
		attempt.count("chunks-repeated")
		return result{}, false
	case index > attempt.job.nextToken && len(attempt.outOfOrder) == maxOutOfOrder:
		return attempt.interruptedResult(), true
	case index > attempt.job.nextToken:
		if attempt.outOfOrder == nil {
			attempt.outOfOrder = map[int64][]byte{}
		}
		attempt.outOfOrder[index] = event.GetData()
		return result{}, false
	}
	data, ok := event.GetData(), true
	for ok {
		if err := attempt.job.sink.chunk(data); err != nil {
			return attempt.callerGoneResult(), true
		}
		attempt.job.nextToken++
		data, ok = attempt.outOfOrder[attempt.job.nextToken]
		delete(attempt.outOfOrder, attempt.job.nextToken)
	}
	return result{}, false
}

func (attempt *attempt) handleDone(event *wirepb.Done) (result, bool) {
	if !attempt.matchesAdapter(event.GetAdapter(), event.GetAdapterVersion()) {
		attempt.count("events-of-other-adapters")
		return result{}, false
	}
	if !attempt.started || len(attempt.outOfOrder) > 0 {
		return attempt.interruptedResult(), true
	}
	if err := attempt.job.sink.finish(event); err != nil {
		return attempt.callerGoneResult(), true
	}
	return result{outcome: finished}, true
}
