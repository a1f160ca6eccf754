package engsim

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// The kinds of cache events.
const (
	eventStored  = "stored"
	eventRemoved = "removed"
)

// maxEvents bounds the cache events that an engine holds.
const maxEvents = 4096

// CacheEvent is a change of the prefix cache. A gap in the sequence means that
// events were lost.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"`
	Kind     string    `json:"kind"`
	Adapter  string    `json:"adapter"`
	Version  uint32    `json:"version"`
	Hash     string    `json:"hash"`
	Time     time.Time `json:"time"`
}

// eventLog holds the latest cache events.
type eventLog struct {
	lag    time.Duration
	loss   float64
	random *rand.Rand
	next   uint64
	events []CacheEvent
}

// add records a change or loses it.
func (events *eventLog) add(kind string, block block) {
	sequence := events.next
	events.next++
	if events.random.Float64() < events.loss {
		return
	}
	if len(events.events) == maxEvents {
		events.events = events.events[maxEvents/4:]
	}
	events.events = append(events.events, CacheEvent{
		Sequence: sequence, Kind: kind, Adapter: block.ref.Adapter, Version: block.ref.Version,
		Hash: strconv.FormatUint(block.hash, 16), Time: time.Now(),
	})
}

// visible returns the events from a sequence number on that are old enough.
func (events *eventLog) visible(from uint64) []CacheEvent {
	latest := time.Now().Add(-events.lag)
	visible := []CacheEvent{}
	for _, event := range events.events {
		if event.Time.After(latest) {
			break
		}
		if event.Sequence >= from {
			visible = append(visible, event)
		}
	}
	return visible
}

// serveEvents handles GET /v1/cache-events?from=SEQUENCE.
func (engine *Engine) serveEvents(writer http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	if err != nil && request.URL.Query().Has("from") {
		infra.WriteError(writer, http.StatusBadRequest, "from=%q is not a number", request.URL.Query().Get("from"))
		return
	}
	engine.mutex.Lock()
	epoch, events := engine.epoch, engine.events.visible(from)
	engine.mutex.Unlock()
	infra.WriteJSON(writer, map[string]any{"epoch": epoch, "events": events})
}
