package engsim

import (
	"cmp"
	"slices"
	"time"
)

// The outcomes of requests. An empty outcome means that the request goes on.
const (
	outcomeFinished  = "finished"
	outcomeCancelled = "cancelled"
	outcomeEvicted   = "adapter-evicted"
	outcomeRestarted = "engine-restarted"
	outcomeBroken    = "stream-broken"
)

// run is one request in the engine.
type run struct {
	request  completion
	sequence int
	// length is the number of tokens of the complete answer.
	length int64
	finish string
	// prefill is the number of prompt tokens still to be processed.
	prefill int64
	// produced is the index of the next token.
	produced int64
	// stored says that the prompt is in the prefix cache.
	stored  bool
	running bool
	outcome string
	ended   time.Time
	// changed holds a value after each change of produced or outcome.
	changed chan struct{}
	start   *AcceptedRequest
}

// notify wakes the handler of a request.
func (run *run) notify() {
	select {
	case run.changed <- struct{}{}:
	default:
	}
}

// batch holds the requests of an engine, which run step by step.
type batch struct {
	sequence int
	waiting  []*run
	running  []*run
	stepping bool
}

// add queues a request by priority, then by arrival. The caller holds the mutex.
func (engine *Engine) add(added *run) {
	batch := &engine.batch
	batch.sequence++
	added.sequence = batch.sequence
	at, _ := slices.BinarySearchFunc(batch.waiting, added, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.sequence, b.sequence))
	})
	batch.waiting = slices.Insert(batch.waiting, at, added)
	engine.report()
	engine.beginStep()
}

// beginStep starts a step if there is work and none is under way.
func (engine *Engine) beginStep() {
	batch := &engine.batch
	if batch.stepping {
		return
	}
	for len(batch.waiting) > 0 && len(batch.running) < engine.config.BatchLimit {
		engine.admit(batch.waiting[0])
		batch.waiting = batch.waiting[1:]
	}
	engine.report()
	if len(batch.running) == 0 {
		return
	}
	batch.stepping = true
	duration := engine.stepTime()
	epoch := engine.epoch
	time.AfterFunc(duration, func() { engine.endStep(epoch, duration) })
}

// admit moves a request into the batch.
func (engine *Engine) admit(admitted *run) {
	admitted.running = true
	engine.batch.running = append(engine.batch.running, admitted)
	admitted.start.Started = time.Now()
	if admitted.stored {
		return
	}
	cached := min(engine.cache.lookup(admitted.request.ref, admitted.request.prompt), admitted.prefill)
	admitted.prefill -= cached
	admitted.start.CachedTokens = cached
}

// stepTime processes prompt tokens of the step and returns its duration.
func (engine *Engine) stepTime() time.Duration {
	config := &engine.config
	chunk := config.PrefillChunk
	adapters := map[AdapterRef]struct{}{}
	for _, run := range engine.batch.running {
		adapters[run.request.ref] = struct{}{}
		part := min(run.prefill, chunk)
		run.prefill -= part
		chunk -= part
	}
	return config.StepBase +
		config.StepPerRequest*time.Duration(len(engine.batch.running)) +
		config.StepPerAdapter*time.Duration(len(adapters)) +
		config.PromptTokenTime*time.Duration(config.PrefillChunk-chunk)
}

// endStep produces the tokens of a step and begins the next.
func (engine *Engine) endStep(epoch string, duration time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if epoch != engine.epoch {
		return
	}
	if frozen := time.Until(engine.frozenUntil); frozen > 0 {
		time.AfterFunc(frozen, func() { engine.endStep(epoch, duration) })
		return
	}
	tokens, requests := 0, len(engine.batch.running)
	for _, run := range slices.Clone(engine.batch.running) {
		if run.prefill == 0 {
			engine.produce(run)
			tokens++
		}
	}
	engine.observed.addStep(duration, requests, tokens)
	engine.batch.stepping = false
	engine.beginStep()
}

// produce adds one token to an answer.
func (engine *Engine) produce(run *run) {
	if !run.stored {
		run.stored = true
		engine.cache.store(run.request.ref, run.request.prompt)
	}
	run.produced++
	run.start.GeneratedTokens++
	if run.start.FirstToken.IsZero() {
		run.start.FirstToken = time.Now()
	}
	if run.produced == run.length {
		engine.remove(run, outcomeFinished)
	}
	run.notify()
}

// remove ends a request. The caller holds the mutex.
func (engine *Engine) remove(removed *run, outcome string) {
	if removed.outcome != "" {
		return
	}
	same := func(other *run) bool { return other == removed }
	engine.batch.running = slices.DeleteFunc(engine.batch.running, same)
	engine.batch.waiting = slices.DeleteFunc(engine.batch.waiting, same)
	removed.outcome, removed.ended = outcome, time.Now()
	removed.start.Ended, removed.start.Outcome = removed.ended, outcome
	removed.notify()
	engine.report()
}

// abortAll ends all requests. The caller holds the mutex.
func (engine *Engine) abortAll(outcome string) {
	for _, run := range slices.Concat(engine.batch.running, engine.batch.waiting) {
		engine.remove(run, outcome)
	}
}

// users returns the requests that use an adapter.
func (engine *Engine) users(ref AdapterRef) []*run {
	return slices.DeleteFunc(slices.Concat(engine.batch.running, engine.batch.waiting), func(run *run) bool {
		return run.request.ref != ref
	})
}

// report is the load at one time.
type report struct {
	time             time.Time
	running, waiting int
}

// reports holds the load figures that may still be reported.
type reports []report

// report records the load. The caller holds the mutex.
func (engine *Engine) report() {
	now := time.Now()
	engine.reports = append(engine.reports, report{now, len(engine.batch.running), len(engine.batch.waiting)})
	engine.lagged(now)
}

// lagged returns the load of ReportLag ago and forgets what is older.
func (engine *Engine) lagged(now time.Time) report {
	oldest := now.Add(-engine.config.ReportLag)
	for len(engine.reports) > 1 && !engine.reports[1].time.After(oldest) {
		engine.reports = engine.reports[1:]
	}
	if len(engine.reports) == 0 || engine.reports[0].time.After(oldest) {
		return report{}
	}
	return engine.reports[0]
}
