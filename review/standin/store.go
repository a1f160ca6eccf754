//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// storeDelay is how long an answer of the store takes, and storeReadRate the bytes
	// that it sends per second, as the settings file of a small deployment names them.
	storeDelay    = 4 * time.Millisecond
	storeReadRate = 80e6
	// maxPageItems and maxPageBytes bound a page of log-newest.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// defaultReadKB is max_kb of log-read if the query does not name it.
	defaultReadKB = 1024
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// entry is a record of a keyed topic. Without a value it drops the key.
type entry struct {
	key   string
	value []byte
}

// encode returns the record as log-read sends it.
func (entry entry) encode() []byte {
	content := append([]byte{byte(len(entry.key))}, entry.key...)
	content = append(content, entry.value...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)
}

// store is the platform's metadata store with the calls that the product makes.
type store struct {
	mutex  sync.Mutex
	topics map[string][]entry
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: make(map[string][]entry), changed: make(chan struct{})}
}

// put appends a record and returns the time of its acknowledgement.
func (store *store) put(topic, key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	time.Sleep(storeDelay)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.topics[topic] = append(store.topics[topic], entry{key, text})
	close(store.changed)
	store.changed = make(chan struct{})
	return time.Now()
}

func (store *store) state(topic string) ([]entry, <-chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.topics[topic], store.changed
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeDelay)
	writer.Header().Set("Store-Era", "0")
	switch request.URL.Path {
	case "/api/log-newest":
		store.newest(writer, request)
	case "/api/log-read":
		store.read(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// newest answers log-newest: a page of the newest record of each key, in the order of
// the keys.
func (store *store) newest(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	records, _ := store.state(query.Get("topic"))
	last := make(map[string]int)
	for offset, record := range records {
		last[record.key] = offset
	}
	var keys []string
	for key, offset := range last {
		if records[offset].value != nil && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		value := base64.StdEncoding.EncodeToString(records[last[key]].value)
		if len(items) > 0 && (len(items) >= maxPageItems || size+len(value) > maxPageBytes) {
			break
		}
		items, size = append(items, map[string]any{"key": key, "value": value, "offset": last[key]}), size+len(value)
	}
	time.Sleep(time.Duration(float64(size) / storeReadRate * float64(time.Second)))
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": items, "has_more": len(items) < len(keys), "end_offset": len(records)})
}

// read answers log-read: as soon as there is a record from the offset on, whole records
// of max_kb together at most, and one at least.
func (store *store) read(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, _ := strconv.Atoi(query.Get("source"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	limit, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		limit = defaultReadKB
	}
	until := time.After(time.Duration(wait) * time.Millisecond)
	records, changed := store.state(query.Get("topic"))
	for waiting := true; waiting && from >= len(records); {
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-request.Context().Done():
			return
		}
		records, changed = store.state(query.Get("topic"))
	}
	if from > len(records) {
		writer.WriteHeader(http.StatusGone)
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	head := len(body)
	for _, record := range records[from:] {
		text := record.encode()
		if len(body) > head && len(body)-head+len(text) > limit<<10 {
			break
		}
		body = append(body, text...)
	}
	time.Sleep(time.Duration(float64(len(body)) / storeReadRate * float64(time.Second)))
	_, _ = writer.Write(body)
}
