//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Topics of the store that the system reads.
const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// record is a record of a keyed topic. Without a value it drops its key.
type record struct {
	key   string
	value []byte
}

// store is the platform's store, as far as the system calls it: it reads keyed topics.
type store struct {
	mutex  sync.Mutex
	topics map[string][]record
	// changed is closed when a record is added, and replaced.
	changed chan struct{}
	// away means that the store turns all calls away. era counts how often it came back from an
	// earlier copy.
	away bool
	era  int
}

func newStore() *store {
	return &store{topics: make(map[string][]record), changed: make(chan struct{})}
}

// put adds a record with a JSON value.
func (store *store) put(topic, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.add(topic, record{key, text})
}

// remove adds a record that drops a key.
func (store *store) remove(topic, key string) { store.add(topic, record{key: key}) }

func (store *store) add(topic string, added record) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.topics[topic] = append(store.topics[topic], added)
	close(store.changed)
	store.changed = make(chan struct{})
}

// records returns the records of a topic, and a channel that is closed at the next change.
func (store *store) records(topic string) ([]record, <-chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.topics[topic], store.changed
}

// copied returns a copy of the store's topics.
func (store *store) copied() map[string][]record {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	copied := make(map[string][]record)
	for topic, records := range store.topics {
		copied[topic] = slices.Clone(records)
	}
	return copied
}

// leave makes the store turn all calls away.
func (store *store) leave() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.away = true
}

// restore brings the store back from a copy.
func (store *store) restore(topics map[string][]record) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.away, store.topics = false, topics
	store.era++
	close(store.changed)
	store.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	away, era := store.away, store.era
	store.mutex.Unlock()
	writer.Header().Set("Store-Era", strconv.Itoa(era))
	if away {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch request.URL.Path {
	case "/api/log-newest":
		store.newest(writer, query.Get("topic"))
	case "/api/log-read":
		from, _ := strconv.Atoi(query.Get("source"))
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		store.read(writer, request, query.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// newest answers with the newest record of each key.
func (store *store) newest(writer http.ResponseWriter, topic string) {
	records, _ := store.records(topic)
	last := make(map[string][]byte)
	for _, record := range records {
		last[record.key] = record.value
	}
	items := []map[string]any{}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		if last[key] != nil {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(last[key])})
		}
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": items, "has_more": false, "end_offset": len(records)})
}

// read answers with the records from an offset on, once there is one or the wait is over.
func (store *store) read(writer http.ResponseWriter, request *http.Request, topic string, from int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	records, changed := store.records(topic)
	for waiting := true; waiting && len(records) <= from; records, changed = store.records(topic) {
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range records[min(from, len(records)):] {
		content := append(append([]byte{byte(len(record.key))}, record.key...), record.value...)
		body = binary.BigEndian.AppendUint32(body, uint32(len(content)))
		body = append(body, content...)
	}
	_, _ = writer.Write(body)
}

// serve serves a handler at a free port of an IP address and returns IP:port.
func serve(ip string, handler http.Handler) (address string, server *http.Server) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		cannotRun("listen: %v", err)
	}
	server = &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server
}
