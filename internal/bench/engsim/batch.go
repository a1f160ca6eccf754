package engsim

import (
	"cmp"
	"slices"
	"time"
)

// The outcomes of requests. An empty outcome means that the request is waiting or
// running.
const (
	outcomeFinished  = "finished"
	outcomeCancelled = "cancelled"
	outcomeEvicted   = "adapter-evicted"
	outcomeRestarted = "engine-restarted"
	outcomeBroken    = "stream-broken"
)

// job is a generation request in the engine, from its acceptance until it can no
// longer be resumed.
type job struct {
	request completionRequest
	// sequence is the order of arrival.
	sequence int
	// totalTokens is the number of tokens of the complete answer.
	totalTokens  int64
	finishReason string
	// remainingPrompt is the number of prompt tokens that the engine has not
	// processed yet.
	remainingPrompt int64
	// producedTokens is the number of tokens produced so far and the index of the
	// next one.
	producedTokens int64
	// promptCached says that the prompt has been added to the prefix cache.
	promptCached bool
	running      bool
	outcome      string
	ended        time.Time
	// changed receives a value after each change of producedTokens or outcome.
	changed chan struct{}
	record  *AcceptedRequest
}

// notifyChanged wakes the handler that streams the answer.
func (job *job) notifyChanged() {
	select {
	case job.changed <- struct{}{}:
	default:
	}
}

// batch holds the waiting and the running requests. All running requests advance
// together, one step at a time.
type batch struct {
	sequence       int
	waiting        []*job
	running        []*job
	stepInProgress bool
}

// enqueue adds a request to the queue, which is ordered by priority and then by
// arrival. The caller holds the mutex.
func (engine *Engine) enqueue(added *job) {
	batch := &engine.batch
	batch.sequence++
	added.sequence = batch.sequence
	at, _ := slices.BinarySearchFunc(batch.waiting, added, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.sequence, b.sequence))
	})
	batch.waiting = slices.Insert(batch.waiting, at, added)
	engine.recordLoad()
	engine.beginStep()
}

// beginStep fills the batch from the queue and starts a step if the batch is not
// empty and no step is in progress.
func (engine *Engine) beginStep() {
	batch := &engine.batch
	if batch.stepInProgress {
		return
	}
	for len(batch.waiting) > 0 && len(batch.running) < engine.config.BatchLimit {
		engine.addToBatch(batch.waiting[0])
		batch.waiting = batch.waiting[1:]
	}
	engine.recordLoad()
	if len(batch.running) == 0 {
		return
	}
	batch.stepInProgress = true
	duration := engine.processPrompts()
	incarnation := engine.incarnation
	time.AfterFunc(duration, func() { engine.endStep(incarnation, duration) })
}

// addToBatch moves a request into the batch. Prompt tokens that are in the prefix
// cache need no prefill.
func (engine *Engine) addToBatch(admitted *job) {
	admitted.running = true
	engine.batch.running = append(engine.batch.running, admitted)
	admitted.record.Started = time.Now()
	if admitted.promptCached {
		return
	}
	cached := min(engine.cache.lookup(admitted.request.ref, admitted.request.prompt), admitted.remainingPrompt)
	admitted.remainingPrompt -= cached
	admitted.record.CachedTokens = cached
}

// processPrompts prefills up to PrefillChunk prompt tokens and returns the
// duration of the step.
func (engine *Engine) processPrompts() time.Duration {
	config := &engine.config
	chunk := config.PrefillChunk
	adapters := map[AdapterRef]struct{}{}
	for _, job := range engine.batch.running {
		adapters[job.request.ref] = struct{}{}
		part := min(job.remainingPrompt, chunk)
		job.remainingPrompt -= part
		chunk -= part
	}
	return config.StepBase +
		config.StepPerRequest*time.Duration(len(engine.batch.running)) +
		config.StepPerAdapter*time.Duration(len(adapters)) +
		config.PromptTokenTime*time.Duration(config.PrefillChunk-chunk)
}

// endStep produces one token for each prefilled request and begins the next step.
// A step that would end during a freeze ends when the freeze does.
func (engine *Engine) endStep(incarnation string, duration time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if incarnation != engine.incarnation {
		return
	}
	if frozen := time.Until(engine.frozenUntil); frozen > 0 {
		time.AfterFunc(frozen, func() { engine.endStep(incarnation, duration) })
		return
	}
	tokens, requests := 0, len(engine.batch.running)
	for _, job := range slices.Clone(engine.batch.running) {
		if job.remainingPrompt == 0 {
			engine.produceToken(job)
			tokens++
		}
	}
	engine.observer.addStep(duration, requests, tokens)
	engine.batch.stepInProgress = false
	engine.beginStep()
}

// produceToken adds one token to the answer of a request and ends the request
// after its last token.
func (engine *Engine) produceToken(job *job) {
	if !job.promptCached {
		job.promptCached = true
		engine.cache.store(job.request.ref, job.request.prompt)
	}
	job.producedTokens++
	job.record.GeneratedTokens++
	if job.record.FirstToken.IsZero() {
		job.record.FirstToken = time.Now()
	}
	if job.producedTokens == job.totalTokens {
		engine.endJob(job, outcomeFinished)
	}
	job.notifyChanged()
}

// endJob removes a request from the batch or the queue and records its outcome.
// The caller holds the mutex.
func (engine *Engine) endJob(removed *job, outcome string) {
	if removed.outcome != "" {
		return
	}
	same := func(other *job) bool { return other == removed }
	engine.batch.running = slices.DeleteFunc(engine.batch.running, same)
	engine.batch.waiting = slices.DeleteFunc(engine.batch.waiting, same)
	removed.outcome, removed.ended = outcome, time.Now()
	removed.record.Ended, removed.record.Outcome = removed.ended, outcome
	removed.notifyChanged()
	engine.recordLoad()
}

// abortAll ends all requests with the same outcome. The caller holds the mutex.
func (engine *Engine) abortAll(outcome string) {
	for _, job := range slices.Concat(engine.batch.running, engine.batch.waiting) {
		engine.endJob(job, outcome)
	}
}

// jobsUsing returns the running and waiting requests that use an adapter.
func (engine *Engine) jobsUsing(ref AdapterRef) []*job {
	return slices.DeleteFunc(slices.Concat(engine.batch.running, engine.batch.waiting), func(job *job) bool {
		return job.request.ref != ref
	})
}

// loadSample is the number of running and waiting requests at one time.
type loadSample struct {
	time             time.Time
	running, waiting int
}

// loadHistory holds the latest samples, oldest first.
type loadHistory []loadSample

// recordLoad appends a sample of the current load. The caller holds the mutex.
func (engine *Engine) recordLoad() {
	now := time.Now()
	engine.loadHistory = append(engine.loadHistory, loadSample{now, len(engine.batch.running), len(engine.batch.waiting)})
	engine.laggedLoad(now)
}

// laggedLoad returns the load as it was ReportLag ago and drops older samples.
func (engine *Engine) laggedLoad(now time.Time) loadSample {
	oldest := now.Add(-engine.config.ReportLag)
	for len(engine.loadHistory) > 1 && !engine.loadHistory[1].time.After(oldest) {
		engine.loadHistory = engine.loadHistory[1:]
	}
	if len(engine.loadHistory) == 0 || engine.loadHistory[0].time.After(oldest) {
		return loadSample{}
	}
	return engine.loadHistory[0]
}
