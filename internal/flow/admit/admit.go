// Package admit is the admission control in front of one engine. An engine
// prefills prompts between the decode steps of its running streams, so prompts
// that arrive together delay the next event of every stream. A Controller
// admits, within any window of MaxEventGap, no more prompt tokens than the
// engine prefills beside one event. The other requests wait, the most urgent
// ones first in line.
package admit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/order"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

// Defaults of Config.
const (
	// DefaultPrefillRate is how many prompt tokens an engine prefills per
	// millisecond, until its rate is known.
	DefaultPrefillRate = 19.0
	// DefaultDecodeStep is the time of one decode step without prefill, until
	// the interval between events is known.
	DefaultDecodeStep = 14 * time.Millisecond
	// DefaultPrefillChunk is the largest number of prompt tokens that an engine
	// prefills in one step.
	DefaultPrefillChunk = 2048
	// DefaultUtilisation is the part of the prefill rate that is admitted. The
	// rest covers the time between a grant and the request's arrival.
	DefaultUtilisation = 0.94
	// DefaultEntryTimeout is how long an entry instance's requests are kept
	// after its last message.
	DefaultEntryTimeout = 500 * time.Millisecond
)

// Config configures a Controller. Zero values mean the defaults.
type Config struct {
	PrefillRate  float64
	DecodeStep   time.Duration
	PrefillChunk int64
	Utilisation  float64
	EntryTimeout time.Duration
	// Order configures the order of the waiting requests.
	Order order.Config
}

// EngineConfig holds what the settings say of the engine and its streams.
type EngineConfig struct {
	// Slots is the largest number of requests that run at once, 0 for no limit.
	Slots int
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// MaxEventGap is the longest time between two events of a stream that still
	// meets the service's goal.
	MaxEventGap time.Duration
	// TypicalSpeed is the speed of the service's other engines.
	TypicalSpeed Speed
	// Cold bounds the requests to an engine that may be cold.
	Cold ColdLimit
}

// EngineState is what the engine reports of itself.
type EngineState struct {
	Running int
	// Queued is the part of Running whose prefill has not begun.
	Queued      int
	UsedTokens  int64
	TotalTokens int64
	// HasAdapter reports whether an adapter is loaded.
	HasAdapter func(lora.Adapter) bool
}

// Request is a request that waits for admission.
type Request struct {
	// ID is unique within the entry instance.
	ID           uint64
	Adapter      lora.Adapter
	PromptTokens int64
	OutputTokens int64
	Priority     int
	// RoutePriority is the priority of the route, which decides where those of
	// organisations are equal; 0 if Priority is that of the route.
	RoutePriority int
	// Waited is how long the request had waited before AddedAt, or until now if
	// that is zero, so that a request that moves, or whose loader has started
	// again, keeps its place in line.
	Waited time.Duration
	// Late means that the request misses its response-time goal. Late requests
	// get the capacity that those on time leave.
	Late bool
	// Bound means that the request continues a stream, and that no engine of
	// another software version may get it, although some serve. Bound requests
	// are admitted first, as the others can go to more engines.
	Bound bool
	// Organisation is a hash of the organisation's name, 0 if it is not known.
	Organisation uint32
	// AddedAt is when the entry instance began to wait for this engine with the
	// request; zero at the loader.
	AddedAt time.Time
	// StartBy is when the request must start to meet its response-time goal, and
	// GiveUpBy when its caller gives up. Each is zero if it is not known.
	StartBy  time.Time
	GiveUpBy time.Time
}

// Controller admits the requests for one engine. Its methods may be called
// concurrently.
type Controller struct {
	config Config

	mutex        sync.Mutex
	engineConfig EngineConfig
	engineState  EngineState
	entries      map[string]*entry
	// recent holds the grants within the last window of MaxEventGap.
	recent []grant
	// unreported holds the grants that the engine's state does not show yet.
	unreported []grant
	// pendingPrefill is the estimated number of prompt tokens that were
	// admitted and not prefilled by updatedAt.
	pendingPrefill float64
	updatedAt      time.Time
	estimator      speed.Estimator
	ranker         *order.Ranker
	// grants counts the admitted requests.
	grants map[GrantKind]int64
	// solo holds the grants that had no prompt ahead of them. Only their first
	// events are measured.
	solo []soloGrant
	cold coldControl
	// factors and pauses hold what the engine states of its work factor and what entry
	// instances observed of its streams.
	factors speed.Factors
	pauses  speed.Pauses
	// meanPrompt is the mean number of prompt tokens of admitted requests.
	meanPrompt   float64
	heldForPause int64
}

// entry holds the waiting requests of one entry instance.
type entry struct {
	waiters map[uint64]*waiter
	heardAt time.Time
	// sentAt and process are ColdLimit.SentAt and ColdLimit.Process of its last message.
	sentAt  uint64
	process int64
}

type waiter struct {
	Request
	entry     string
	arrivedAt time.Time
	// class is that of the request in the last order.
	class   order.Class
	granted bool
	// held means that a slow moment of the engine has delayed the request.
	held bool
}

type grant struct {
	at           time.Time
	promptTokens int64
	kvTokens     int64
}

// New returns a Controller without requests, for an engine of unknown state.
func New(config Config) *Controller {
	config.PrefillRate = cmp.Or(config.PrefillRate, DefaultPrefillRate)
	config.DecodeStep = cmp.Or(config.DecodeStep, DefaultDecodeStep)
	config.PrefillChunk = cmp.Or(config.PrefillChunk, DefaultPrefillChunk)
	config.Utilisation = cmp.Or(config.Utilisation, DefaultUtilisation)
	config.EntryTimeout = cmp.Or(config.EntryTimeout, DefaultEntryTimeout)
	return &Controller{
		config: config, entries: make(map[string]*entry), cold: newColdControl(),
		ranker: order.New(config.Order), grants: make(map[GrantKind]int64),
	}
}

// Observe records the engine's state.
func (controller *Controller) Observe(state EngineState) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.engineState = state
	// The engine's state shows a request only once it has arrived.
	arrived := time.Now().Add(-reportDelay)
	controller.unreported = slices.DeleteFunc(controller.unreported, func(grant grant) bool { return grant.at.Before(arrived) })
	controller.advance(time.Now())
	if state.Queued == 0 {
		limit := float64(controller.config.PrefillChunk)
		for _, grant := range controller.unreported {
			limit += float64(grant.promptTokens)
		}
		controller.pendingPrefill = min(controller.pendingPrefill, limit)
	}
}

// reportDelay is how long after its grant a request shows in the engine's
// state.
const reportDelay = 60 * time.Millisecond

// startRounding is the least time until the start of a request that a demand can name.
const startRounding = time.Millisecond

// SetRequests replaces the waiting requests of an entry instance. Requests that
// it names again keep their place in line, those that it no longer names are
// dropped.
func (controller *Controller) SetRequests(name string, engineConfig EngineConfig, requests []Request) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	now := time.Now()
	known, ok := controller.entries[name]
	if ok && known.stale(engineConfig.Cold, now, controller.config.EntryTimeout) {
		return
	}
	controller.engineConfig = engineConfig
	if !ok {
		known = &entry{}
		controller.entries[name] = known
	}
	kept := make(map[uint64]*waiter, len(requests))
	for _, request := range requests {
		if waiter, ok := known.waiters[request.ID]; ok {
			waiter.Late, waiter.Bound = request.Late, request.Bound
			kept[request.ID] = waiter
			continue
		}
		kept[request.ID] = newWaiter(name, request, now)
	}
	controller.cold.observe(name, engineConfig.Cold, kept, now)
	known.waiters, known.heardAt = kept, now
	known.sentAt, known.process = engineConfig.Cold.SentAt, engineConfig.Cold.Process
}

// newWaiter returns a waiter for a request that an entry instance names first. Demands name
// a start that has passed as startRounding ahead, as for a stream that goes on, which was
// due at its arrival.
func newWaiter(entry string, request Request, now time.Time) *waiter {
	waiter := &waiter{Request: request, entry: entry, arrivedAt: now.Add(-request.Waited)}
	if !request.StartBy.IsZero() && request.StartBy.Sub(now) <= startRounding {
		waiter.StartBy = waiter.arrivedAt
	}
	return waiter
}

// Grant admits the next requests in line as long as they fit. It returns the
// ids of all requests that are admitted and still named by their entry
// instance, by entry instance. changed names the entry instances with newly
// admitted requests.
func (controller *Controller) Grant() (granted map[string][]uint64, changed []string) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	now := time.Now()
	controller.expire(now)
	controller.advance(now)
	for _, waiter := range controller.queue() {
		if !controller.fits(waiter) {
			break
		}
		controller.admit(waiter, now)
		if !slices.Contains(changed, waiter.entry) {
			changed = append(changed, waiter.entry)
		}
	}
	granted = make(map[string][]uint64)
	for name, entry := range controller.entries {
		for _, id := range slices.Sorted(maps.Keys(entry.waiters)) {
			if entry.waiters[id].granted {
				granted[name] = append(granted[name], id)
			}
		}
	}
	return granted, changed
}

// HasWaiting reports whether an entry instance has requests that were not
// admitted.
func (controller *Controller) HasWaiting(name string) bool {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	known, ok := controller.entries[name]
	if !ok {
		return false
	}
	for _, waiter := range known.waiters {
		if !waiter.granted {
			return true
		}
	}
	return false
}

// expire drops the grants before the window and the entry instances that have
// sent nothing for EntryTimeout.
func (controller *Controller) expire(now time.Time) {
	since := now.Add(-controller.engineConfig.MaxEventGap)
	controller.recent = slices.DeleteFunc(controller.recent, func(grant grant) bool { return !grant.at.After(since) })
	maps.DeleteFunc(controller.entries, func(_ string, entry *entry) bool {
		return now.Sub(entry.heardAt) > controller.config.EntryTimeout
	})
}

// eligible returns the waiting requests whose adapter is loaded, without those for which
// the engine's memory never suffices, as they would hold up all others.
func (controller *Controller) eligible() []*waiter {
	var eligible []*waiter
	for _, entry := range controller.entries {
		for _, waiter := range entry.waiters {
			if !waiter.granted && !controller.exceedsMemory(waiter) && controller.engineState.HasAdapter != nil && controller.engineState.HasAdapter(waiter.Adapter) {
				eligible = append(eligible, waiter)
			}
		}
	}
	return eligible
}

// exceedsMemory reports whether a request needs more memory than the engine has.
func (controller *Controller) exceedsMemory(waiter *waiter) bool {
	return controller.engineState.TotalTokens > 0 && waiter.PromptTokens+waiter.OutputTokens > controller.engineState.TotalTokens
}

// BoundWaiting returns the number of bound requests that were not admitted, whether or
// not their adapter is loaded.
func (controller *Controller) BoundWaiting() int {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	count := 0
	for _, entry := range controller.entries {
		for _, waiter := range entry.waiters {
			if waiter.Bound && !waiter.granted {
				count++
			}
		}
	}
	return count
}

// fits reports whether a request may be admitted now. One with more prompt
// tokens than the limit fits when no tokens are ahead of it.
func (controller *Controller) fits(waiter *waiter) bool {
	if controller.cold.wait(time.Now()) > 0 {
		return false
	}
	if controller.engineConfig.Slots > 0 && controller.engineState.Running+len(controller.unreported) >= controller.engineConfig.Slots {
		return false
	}
	memory := controller.engineState.UsedTokens + waiter.PromptTokens + waiter.OutputTokens
	for _, grant := range controller.unreported {
		memory += grant.kvTokens
	}
	if controller.engineState.TotalTokens > 0 && memory > controller.engineState.TotalTokens {
		return false
	}
	limit := controller.tokenLimit()
	if limit == 0 {
		return true
	}
	return controller.withinPause(waiter, limit)
}

// admit grants a waiting request.
func (controller *Controller) admit(waiter *waiter, now time.Time) {
	waiter.granted = true
	controller.cold.admit(waiter, now)
	controller.recordPrompt(waiter.PromptTokens)
	controller.recordGrant(waiter, now)
	granted := grant{at: now, promptTokens: waiter.PromptTokens, kvTokens: waiter.PromptTokens + waiter.OutputTokens}
	controller.advance(now)
	if controller.pendingPrefill == 0 {
		controller.solo = append(controller.solo, soloGrant{waiter.entry, waiter.ID, waiter.PromptTokens})
		controller.solo = controller.solo[max(len(controller.solo)-maxSoloGrants, 0):]
	}
	controller.pendingPrefill += float64(granted.promptTokens)
	controller.recent = append(controller.recent, granted)
	controller.unreported = append(controller.unreported, granted)
}
