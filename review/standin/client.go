//go:build review

package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

// attempt is a client attempt with its answer.
type attempt struct {
	id, relay, key, path string
	sentAt               time.Time
	endedAt              time.Time
	status               int
	err                  error
}

func (attempt attempt) String() string {
	return fmt.Sprintf("request %s on %s with key %s to %s sent at %.4f: status %d, error %v", attempt.id, attempt.path, attempt.key, attempt.relay,
		attempt.sentAt.Sub(begin).Seconds(), attempt.status, attempt.err)
}

var attempts struct {
	sync.Mutex
	list []attempt
}

var attemptNumber atomic.Uint64

// client sends requests on connections of its own, which it keeps.
type client struct {
	http.Client
	// body is the body of the requests that have one; each has its own if it is empty.
	body string
}

func newClient() *client { return &client{Client: http.Client{Transport: &http.Transport{}}} }

// send sends a request and reads the answer to its end.
func (client *client) send(relay *relay, method, path, key string, deadline time.Duration, headers map[string]string) attempt {
	sent := attempt{id: fmt.Sprintf("a%08x", attemptNumber.Add(1)), relay: relay.name, key: key, path: path}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(cmp.Or(client.body, "body of "+sent.id))
	}
	request, err := http.NewRequest(method, "http://"+relay.callers+path, body)
	check(err)
	request.Host = host
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.Header.Set("X-Jacinthfront-Attempt-Id", sent.id)
	request.Header.Set("X-Jacinthfront-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	client.Timeout = deadline
	sent.sentAt = time.Now()
	response, err := client.Do(request)
	if err == nil {
		sent.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	sent.err, sent.endedAt = err, time.Now()
	attempts.Lock()
	attempts.list = append(attempts.list, sent)
	attempts.Unlock()
	return sent
}

// allAttempts returns the attempts so far.
func allAttempts() []attempt {
	attempts.Lock()
	defer attempts.Unlock()
	return append([]attempt(nil), attempts.list...)
}

// dumpAttempts records each client attempt: when it was sent and answered, and when and
// where it ran.
func dumpAttempts(runners []*runner) {
	ran := make(map[string][]string)
	for _, runner := range runners {
		runner.mutex.Lock()
		for _, run := range runner.runs {
			ran[run.id] = append(ran[run.id], fmt.Sprintf("%.4f at %s", run.at.Sub(begin).Seconds(), runner.id))
		}
		runner.mutex.Unlock()
	}
	for _, attempt := range allAttempts() {
		recordAt(attempt.endedAt, "%v; ran: %s", attempt, strings.Join(ran[attempt.id], ", "))
	}
}

// routeEntry returns a route of the configuration as the operator writes it.
func routeEntry(name, prefix, kind, service string, resumable bool) map[string]any {
	entry := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": 8000, "target_latency_ms": 800,
		"priority": 1, "service": service, "max_attempts": 2, "public": false,
	}
	if kind == "streaming" {
		entry["sticky"], entry["resumable"], entry["target_gap_ms"] = true, resumable, 300
	}
	return entry
}

// tenantEntry returns a tenant of the configuration.
func tenantEntry(name string, keys ...string) map[string]any {
	return map[string]any{
		"name": name, "api_keys": keys, "priority": 1, "unit": "token_based", "uncached_tokens": 200, "rate_per_s": 62311, "burst": 62311,
	}
}

// config returns a configuration with routes to both services and further ones.
func config(version int, tenants []map[string]any, resumable bool, added int) map[string]any {
	routes := []map[string]any{
		routeEntry("r-stream", "/stream/", "streaming", "advisor", resumable),
		routeEntry("r-order", "/order/", "unsafe", "counter", false),
	}
	for number := range added {
		routes = append(routes, routeEntry(fmt.Sprintf("r-%dm82t", number), fmt.Sprintf("/added/%d/v%d/", number, version), "safe", "counter", false))
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{
			{
				"name": "advisor", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": slots, "kv_capacity_tokens": 122011, "stride": 3, "adapter_slot_count": adapterSlots, "weights_mb": 66600.0, "loads_per_s": 2.8,
					"models": []any{map[string]any{"name": modelName, "weights_mb": 65100.0, "load_time_s": 0.72, "adapters": 3000, "adapter_size_mb": 12.0}},
				},
			},
			{"name": "counter", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
