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

// maxCacheEvents is the largest number of cache events that an engine holds.
const maxCacheEvents = 4096

// CacheEvent is the addition or eviction of a block of the prefix cache. A gap in
// the sequence numbers means that events were lost.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"`
	Kind     string    `json:"kind"`
	Adapter  string    `json:"adapter"`
	Version  uint32    `json:"version"`
	Hash     string    `json:"hash"`
	Time     time.Time `json:"time"`
}

// cacheEventLog holds the latest cache events.
type cacheEventLog struct {
	lag          time.Duration
	lossRate     float64
	random       *rand.Rand
	nextSequence uint64
	events       []CacheEvent
}

// add records a change of the cache, or loses it with probability lossRate.
func (log *cacheEventLog) add(kind string, block block) {
	sequence := log.nextSequence
	log.nextSequence++
	if log.random.Float64() < log.lossRate {
		return
	}
	if len(log.events) == maxCacheEvents {
		log.events = log.events[maxCacheEvents/4:]
	}
	log.events = append(log.events, CacheEvent{
		Sequence: sequence, Kind: kind, Adapter: block.ref.Adapter, Version: block.ref.Version,
		Hash: strconv.FormatUint(block.hash, 16), Time: time.Now(),
	})
}

// visible returns the events at or after a sequence number that are at least as
// old as the lag.
func (log *cacheEventLog) visible(from uint64) []CacheEvent {
	latest := time.Now().Add(-log.lag)
	visible := []CacheEvent{}
	for _, event := range log.events {
		if event.Time.After(latest) {
			break
		}
		if event.Sequence >= from {
			visible = append(visible, event)
		}
	}
	return visible
}

// serveCacheEvents handles GET /v1/cache-events?from=SEQUENCE.
func (engine *Engine) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	if err != nil && request.URL.Query().Has("from") {
		infra.WriteError(writer, http.StatusBadRequest, "from=%q is not a number", request.URL.Query().Get("from"))
		return
	}
	engine.mutex.Lock()
	incarnation, events := engine.incarnation, engine.cacheEvents.visible(from)
	engine.mutex.Unlock()
	infra.WriteJSON(writer, map[string]any{"epoch": incarnation, "events": events})
}
