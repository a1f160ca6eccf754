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

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	// storePoll is how often a held read looks for new records.
	storePoll = 2 * time.Millisecond
)

// storeRecord is a record of a keyed topic. A nil value drops the key.
type storeRecord struct {
	key   string
	value []byte
}

// store is the platform's metadata store, as far as relays read it.
type store struct {
	mutex  sync.Mutex
	topics map[string][]storeRecord
}

func newStore() *store { return &store{topics: make(map[string][]storeRecord)} }

// serve serves the store at a free loopback port and returns its address.
func (store *store) serve() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(listener, store) }()
	return listener.Addr().String()
}

// put writes a value as JSON.
func (store *store) put(topic, key string, value any) {
	text, err := json.Marshal(value)
	check(err)
	store.append(topic, storeRecord{key, text})
}

// drop drops a key.
func (store *store) drop(topic, key string) { store.append(topic, storeRecord{key: key}) }

func (store *store) append(topic string, record storeRecord) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.topics[topic] = append(store.topics[topic], record)
}

func (store *store) records(topic string) []storeRecord {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.topics[topic]
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	writer.Header().Set("Store-Era", "1")
	switch request.URL.Path {
	case "/api/log-newest":
		store.newest(writer, query.Get("topic"), query.Get("after"))
	case "/api/log-read":
		from, _ := strconv.Atoi(query.Get("source"))
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		store.read(writer, request, query.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) newest(writer http.ResponseWriter, topic, after string) {
	records := store.records(topic)
	last := make(map[string][]byte)
	for _, record := range records {
		last[record.key] = record.value
	}
	items := []map[string]any{}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		if last[key] != nil && key > after {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(last[key]), "offset": 0})
		}
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": items, "has_more": false, "end_offset": len(records)})
}

func (store *store) read(writer http.ResponseWriter, request *http.Request, topic string, from int, wait time.Duration) {
	records := store.records(topic)
	if from > len(records) {
		writer.WriteHeader(http.StatusGone)
		return
	}
	for until := time.Now().Add(wait); len(records) <= from && time.Now().Before(until) && request.Context().Err() == nil; {
		time.Sleep(storePoll)
		records = store.records(topic)
	}
	text := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	text = binary.BigEndian.AppendUint64(text, 0)
	for _, record := range records[min(from, len(records)):] {
		content := append([]byte{byte(len(record.key))}, record.key...)
		content = append(content, record.value...)
		text = binary.BigEndian.AppendUint32(text, uint32(len(content)))
		text = append(text, content...)
	}
	_, _ = writer.Write(text)
}
