// Package admit decides when requests may start at one engine. An engine reads
// prompts between the tokens of the streams that it runs, so prompts that come
// together make all its streams pause. A Gate lets in, within any span of the
// longest pause, no more prompt tokens than the engine reads beside the tokens
// of one event; the others wait at the gate, the most urgent first.
package admit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

// Defaults of Config.
const (
	// DefaultPrefillRate is how many prompt tokens an engine reads in a
	// millisecond, until that is known.
	DefaultPrefillRate = 19.0
	// DefaultDecodeStep is the time that an engine takes for one token of all its
	// streams when it reads no prompts, until that is known.
	DefaultDecodeStep = 14 * time.Millisecond
	// DefaultPrefillChunk is the largest number of prompt tokens that an engine reads
	// in one step.
	DefaultPrefillChunk = 2048
	// DefaultUtilisation is the part of the reading time that is given out. The rest
	// covers the time between a grant and the request's arrival.
	DefaultUtilisation = 0.94
	// DefaultPriorityDelay is by how much earlier a request's turn comes for each rank
	// that it is more urgent.
	DefaultPriorityDelay = 300 * time.Millisecond
	// DefaultLateDelay is by how much later the turn of a late request comes.
	DefaultLateDelay = 1500 * time.Millisecond
	// DefaultEntryTimeout is how long the asks of an entry instance count after it was
	// last heard.
	DefaultEntryTimeout = 500 * time.Millisecond
)

// Config configures a Gate. Zero values mean the defaults.
type Config struct {
	PrefillRate   float64
	DecodeStep    time.Duration
	PrefillChunk  int64
	Utilisation   float64
	PriorityDelay time.Duration
	LateDelay     time.Duration
	EntryTimeout  time.Duration
}

// EngineConfig is what the configuration says of the engine and its streams.
type EngineConfig struct {
	// Slots is the number of requests that run at once.
	Slots int
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// MaxEventGap is the longest pause between events that meets the goal.
	MaxEventGap time.Duration
	// TypicalSpeed is the pace of the service's other engines.
	TypicalSpeed Speed
}

// EngineState is what the engine says of itself.
type EngineState struct {
	Running int
	// Queued is the part of Running whose prompts the engine has not begun to
	// read.
	Queued      int
	UsedTokens  int64
	TotalTokens int64
	// Holds reports whether an adapter is loaded.
	Holds func(lora.Adapter) bool
}

// Request is a request that waits for its turn.
type Request struct {
	// ID is unique for the entry instance.
	ID           uint64
	Adapter      lora.Adapter
	PromptTokens int64
	OutputTokens int64
	Priority     int
	// Waited is how long it had waited when it began to wait here, so that a
	// request that looked elsewhere before keeps its turn.
	Waited time.Duration
	// Late requests miss their response-time goal. They get what those on time
	// leave.
	Late bool
}

// Controller admits the requests for one engine. Its methods may be called
// concurrently.
type Controller struct {
	config Config

	mutex   sync.Mutex
	shape   EngineConfig
	state   EngineState
	entries map[string]*entry
	// granted holds what was let in within the last span.
	granted []grant
	// unseen holds what was let in and is not in the engine's state yet.
	unseen []grant
	// unread is the number of prompt tokens that were let in and that the engine
	// has not read by the time readAt.
	unread float64
	readAt time.Time
	pace   speed.Estimator
	// alone holds the grants that had no prompt before them; what they show of
	// the engine's pace counts.
	alone []lone
}

type entry struct {
	asks  map[uint64]*waiter
	heard time.Time
}

type waiter struct {
	Request
	entry   string
	came    time.Time
	granted bool
}

type grant struct {
	at     time.Time
	prompt int64
	memory int64
}

// New returns a Gate that knows nothing yet.
func New(config Config) *Controller {
	config.PrefillRate = cmp.Or(config.PrefillRate, DefaultPrefillRate)
	config.DecodeStep = cmp.Or(config.DecodeStep, DefaultDecodeStep)
	config.PrefillChunk = cmp.Or(config.PrefillChunk, DefaultPrefillChunk)
	config.Utilisation = cmp.Or(config.Utilisation, DefaultUtilisation)
	config.PriorityDelay = cmp.Or(config.PriorityDelay, DefaultPriorityDelay)
	config.LateDelay = cmp.Or(config.LateDelay, DefaultLateDelay)
	config.EntryTimeout = cmp.Or(config.EntryTimeout, DefaultEntryTimeout)
	return &Controller{config: config, entries: make(map[string]*entry)}
}

// Observe records the engine's state.
func (gate *Controller) Observe(state EngineState) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.state = state
	// A request shows in the engine's state once it has arrived.
	arrived := time.Now().Add(-arrivalTime)
	gate.unseen = slices.DeleteFunc(gate.unseen, func(grant grant) bool { return grant.at.Before(arrived) })
	gate.read(time.Now())
	if state.Queued == 0 {
		most := float64(gate.config.PrefillChunk)
		for _, grant := range gate.unseen {
			most += float64(grant.prompt)
		}
		gate.unread = min(gate.unread, most)
	}
}

// arrivalTime is how long after its grant a request shows in the engine's
// state.
const arrivalTime = 60 * time.Millisecond

// SetRequests records all that an entry instance asks for. Asks that it does not
// name any more are withdrawn.
func (gate *Controller) SetRequests(name string, shape EngineConfig, asks []Request) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := time.Now()
	gate.shape = shape
	known, ok := gate.entries[name]
	if !ok {
		known = &entry{}
		gate.entries[name] = known
	}
	kept := make(map[uint64]*waiter, len(asks))
	for _, ask := range asks {
		if waiting, ok := known.asks[ask.ID]; ok {
			waiting.Late = ask.Late
			kept[ask.ID] = waiting
			continue
		}
		kept[ask.ID] = &waiter{Request: ask, entry: name, came: now.Add(-ask.Waited)}
	}
	known.asks, known.heard = kept, now
}

// Grant lets in the requests whose turn has come, and returns the ids of all
// that were let in and are still asked for, by entry instance. changed names the
// entry instances with a new one.
func (gate *Controller) Grant() (granted map[string][]uint64, changed []string) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := time.Now()
	gate.forget(now)
	gate.read(now)
	for _, waiting := range gate.line() {
		if !gate.fits(waiting) {
			break
		}
		gate.admit(waiting, now)
		if !slices.Contains(changed, waiting.entry) {
			changed = append(changed, waiting.entry)
		}
	}
	granted = make(map[string][]uint64)
	for name, entry := range gate.entries {
		for _, id := range slices.Sorted(maps.Keys(entry.asks)) {
			if entry.asks[id].granted {
				granted[name] = append(granted[name], id)
			}
		}
	}
	return granted, changed
}

// HasWaiting reports whether requests of an entry instance wait for their turn.
func (gate *Controller) HasWaiting(name string) bool {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	known, ok := gate.entries[name]
	if !ok {
		return false
	}
	for _, waiting := range known.asks {
		if !waiting.granted {
			return true
		}
	}
	return false
}

// forget drops what is past the span, and entry instances that fell silent.
func (gate *Controller) forget(now time.Time) {
	since := now.Add(-gate.shape.MaxEventGap)
	gate.granted = slices.DeleteFunc(gate.granted, func(grant grant) bool { return !grant.at.After(since) })
	maps.DeleteFunc(gate.entries, func(_ string, entry *entry) bool {
		return now.Sub(entry.heard) > gate.config.EntryTimeout
	})
}

// able returns the requests that wait and whose adapter is loaded.
func (gate *Controller) able() []*waiter {
	var able []*waiter
	for _, entry := range gate.entries {
		for _, waiting := range entry.asks {
			if !waiting.granted && gate.state.Holds != nil && gate.state.Holds(waiting.Adapter) {
				able = append(able, waiting)
			}
		}
	}
	return able
}

// line returns the requests that wait and whose adapter is loaded, in the order
// of their turns.
func (gate *Controller) line() []*waiter {
	line := gate.able()
	slices.SortFunc(line, func(a, b *waiter) int {
		return cmp.Or(gate.turn(a).Compare(gate.turn(b)), cmp.Compare(a.entry, b.entry), cmp.Compare(a.ID, b.ID))
	})
	return line
}

// turn returns when a request's turn comes, compared with others. Late ones
// come later, so that they do not make those late that are on time, but not
// last, so that they are served before their callers leave.
func (gate *Controller) turn(waiting *waiter) time.Time {
	turn := waiting.came.Add(time.Duration(waiting.Priority) * gate.config.PriorityDelay)
	if waiting.Late {
		turn = turn.Add(gate.config.LateDelay)
	}
	return turn
}

// fits reports whether a request may start now. One that is larger than the
// whole span allows may start when nothing else did.
func (gate *Controller) fits(waiting *waiter) bool {
	if gate.shape.Slots > 0 && gate.state.Running+len(gate.unseen) >= gate.shape.Slots {
		return false
	}
	memory := gate.state.UsedTokens + waiting.PromptTokens + waiting.OutputTokens
	for _, grant := range gate.unseen {
		memory += grant.memory
	}
	if gate.state.TotalTokens > 0 && memory > gate.state.TotalTokens {
		return false
	}
	limit := gate.limit()
	if limit == 0 {
		return true
	}
	ahead := gate.ahead()
	return ahead == 0 || ahead+waiting.PromptTokens <= limit
}

func (gate *Controller) admit(waiting *waiter, now time.Time) {
	waiting.granted = true
	let := grant{at: now, prompt: waiting.PromptTokens, memory: waiting.PromptTokens + waiting.OutputTokens}
	gate.read(now)
	if gate.unread == 0 {
		gate.alone = append(gate.alone, lone{waiting.entry, waiting.ID, waiting.PromptTokens})
		gate.alone = gate.alone[max(len(gate.alone)-mostAlone, 0):]
	}
	gate.unread += float64(let.prompt)
	gate.granted = append(gate.granted, let)
	gate.unseen = append(gate.unseen, let)
}
