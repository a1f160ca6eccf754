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
	// finished means that the caller has the whole answer.
	finished outcome = iota
	// refused means that the work did not run and will not.
	refused
	// failed means that the side process reported a failure.
	failed
	// broken means that the answer stopped without a report.
	broken
	// gone means that the caller no longer takes the answer.
	gone
)

// result is the end of an attempt.
type result struct {
	outcome outcome
	fault   *fault.Fault
	// elsewhere says that another upstream may do better.
	elsewhere bool
	// unhealthy says that the end counts against the upstream.
	unhealthy bool
	// silent says that the side process gave no sign of life.
	silent bool
}

// attempt is one send of a job to a side process.
type attempt struct {
	job         *job
	number      uint32
	upstream    string
	address     string
	incarnation uint64

	started bool
	// from is the index of the first token asked for.
	from int64
	// held keeps chunks that arrived before an earlier one.
	held map[int64][]byte
	// heard is when the last event came, in nanoseconds of Unix time.
	heard atomic.Int64
}

// maxHeld bounds the chunks kept for reordering.
const maxHeld = 64

// run sends the job and relays the answer to the sink.
func (attempt *attempt) run(ctx context.Context) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := attempt.entry().config.SideDialer.Open(ctx, attempt.address)
	if err != nil {
		return attempt.unreachableResult()
	}
	defer conn.Release()
	stream, err := wirepb.NewDRPCSideClient(conn).Run(ctx, attempt.job.request(ctx, attempt.number, attempt.incarnation))
	if err != nil {
		return attempt.brokenResult()
	}
	defer func() { _ = stream.Close() }()
	attempt.heard.Store(time.Now().UnixNano())
	go attempt.watch(ctx, cancel)
	for {
		event, err := stream.Recv()
		if err != nil {
			end := attempt.brokenResult()
			end.silent = errors.Is(context.Cause(ctx), errSilent)
			return end
		}
		attempt.heard.Store(time.Now().UnixNano())
		if end, ok := attempt.take(event); ok {
			attempt.finishStream(stream, cancel)
			return end
		}
	}
}

// closeTime bounds the wait for the end of a stream after its last event.
const closeTime = 200 * time.Millisecond

// finishStream reads the stream to its end, so that the connection can be used
// again, and counts events that come after the last one.
func (attempt *attempt) finishStream(stream wirepb.DRPCSide_RunClient, cancel context.CancelCauseFunc) {
	timer := time.AfterFunc(closeTime, func() { cancel(nil) })
	defer timer.Stop()
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
		attempt.drop("events-after-the-end")
	}
}

func (attempt *attempt) entry() *Entry { return attempt.job.exchange.entry }

func (attempt *attempt) unreachableResult() result {
	return result{outcome: refused, elsewhere: true, unhealthy: true, fault: fault.New(fault.UpstreamFailed, fault.NotRun,
		"the side process of upstream %s cannot be reached; try again", attempt.upstream)}
}

func (attempt *attempt) brokenResult() result {
	return result{outcome: broken, elsewhere: true, unhealthy: true, fault: fault.New(fault.UpstreamFailed, fault.RunUnknown,
		"the answer of upstream %s broke off; try again if the request may run twice", attempt.upstream)}
}

// take handles one event and reports whether it ends the attempt.
func (attempt *attempt) take(event *wirepb.RunEvent) (result, bool) {
	if event.GetRequestId() != attempt.job.exchange.id || event.GetAttempt() != attempt.number {
		attempt.drop("events-of-other-requests")
		return result{}, false
	}
	if load := event.GetLoad(); load != nil {
		attempt.report(load)
	}
	switch body := event.GetEvent().(type) {
	case *wirepb.RunEvent_Refused:
		return attempt.takeRefused(body.Refused), true
	case *wirepb.RunEvent_Failed:
		return attempt.takeFailed(body.Failed), true
	case *wirepb.RunEvent_Started:
		return attempt.takeStarted(body.Started)
	case *wirepb.RunEvent_Chunk:
		return attempt.takeChunk(body.Chunk)
	case *wirepb.RunEvent_Done:
		return attempt.takeDone(body.Done)
	}
	attempt.drop("events-without-body")
	return result{}, false
}

func (attempt *attempt) drop(counter string) { attempt.entry().config.Counters.Add(counter, 1) }

func (attempt *attempt) report(load *wirepb.LoadReport) {
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

func (attempt *attempt) takeRefused(event *wirepb.Refused) result {
	err := fault.New(fault.Kind(event.GetKind()), fault.NotRun, "%s", event.GetMessage()).
		WithRetryAfter(time.Duration(event.GetRetryAfterUs()) * time.Microsecond)
	return result{outcome: refused, elsewhere: event.GetTryElsewhere(), fault: err}
}

func (attempt *attempt) takeFailed(event *wirepb.Failed) result {
	err := fault.New(fault.Kind(event.GetKind()), ranOf(event.GetRan()), "%s", event.GetMessage())
	end := result{outcome: failed, elsewhere: movable(err.Kind()), fault: err}
	end.unhealthy = err.Kind() == fault.UpstreamFailed || err.Kind() == fault.Internal
	return end
}

// movable reports whether a failure of this kind may pass at another upstream.
func movable(kind fault.Kind) bool {
	switch kind {
	case fault.UpstreamFailed, fault.LoadFailed, fault.Internal, fault.Draining, fault.Overloaded, fault.NoUpstream:
		return true
	}
	return false
}

func ranOf(ran wirepb.Ran) fault.Execution {
	switch ran {
	case wirepb.Ran_RAN_NOT_RUN:
		return fault.NotRun
	case wirepb.Ran_RAN_RAN:
		return fault.DidRun
	}
	return fault.RunUnknown
}

func (attempt *attempt) takeStarted(event *wirepb.Started) (result, bool) {
	if event.GetReplayed() && !attempt.job.sink.committed() {
		// The default version may have changed since the run.
		attempt.job.exchange.version = event.GetAdapterVersion()
	}
	if attempt.started || !attempt.matches(event.GetAdapter(), event.GetAdapterVersion()) {
		attempt.drop("events-of-other-adapters")
		return result{}, false
	}
	attempt.started = true
	if err := attempt.job.sink.start(event); err != nil {
		return attempt.goneResult(), true
	}
	return result{}, false
}

func (attempt *attempt) matches(adapter string, version uint32) bool {
	return adapter == attempt.job.exchange.adapter && version == attempt.job.exchange.version
}

func (attempt *attempt) goneResult() result {
	return result{outcome: gone, fault: fault.New(fault.Cancelled, fault.RunUnknown, "the caller has gone")}
}

// takeChunk passes chunks on in the order of their indexes, each once.
func (attempt *attempt) takeChunk(event *wirepb.Chunk) (result, bool) {
	index := event.GetIndex()
	_, known := attempt.held[index]
	switch {
	case !attempt.started:
		attempt.drop("chunks-before-start")
		return result{}, false
	case index < attempt.from:
		// The upstream starts anew instead of resuming; its tokens need not
		// continue those that the caller has.
		return attempt.brokenResult(), true
	case index < attempt.job.next || known:
		attempt.drop("chunks-repeated")
		return result{}, false
	case index > attempt.job.next && len(attempt.held) == maxHeld:
		return attempt.brokenResult(), true
	case index > attempt.job.next:
		if attempt.held == nil {
			attempt.held = map[int64][]byte{}
		}
		attempt.held[index] = event.GetData()
		return result{}, false
	}
	data, ok := event.GetData(), true
	for ok {
		if err := attempt.job.sink.chunk(data); err != nil {
			return attempt.goneResult(), true
		}
		attempt.job.next++
		data, ok = attempt.held[attempt.job.next]
		delete(attempt.held, attempt.job.next)
	}
	return result{}, false
}

func (attempt *attempt) takeDone(event *wirepb.Done) (result, bool) {
	if !attempt.matches(event.GetAdapter(), event.GetAdapterVersion()) {
		attempt.drop("events-of-other-adapters")
		return result{}, false
	}
	if !attempt.started || len(attempt.held) > 0 {
		return attempt.brokenResult(), true
	}
	if err := attempt.job.sink.finish(event); err != nil {
		return attempt.goneResult(), true
	}
	return result{outcome: finished}, true
}
