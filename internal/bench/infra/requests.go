package infra

import (
	"net/http"
	"regexp"
	"slices"
	"sync"
)

// keyPattern matches a caller's key, jf_<id>_<secret>.
var keyPattern = regexp.MustCompile(`jf_[0-9A-Za-z-]+_[0-9A-Za-z_=-]{16,}`)

// RequestSummary is what upstreams have seen of requests beside their meaning.
type RequestSummary struct {
	// Headers lists the distinct values of each header.
	Headers map[string][]string `json:"headers"`
	// KeyLeaks names the places in which a caller's key was seen.
	KeyLeaks []string `json:"key-leaks"`
}

// RequestLog collects headers and searches requests for callers' keys.
type RequestLog struct {
	mutex   sync.Mutex
	headers map[string]map[string]struct{}
	leaks   []string
}

// NewRequestLog returns an empty log.
func NewRequestLog() *RequestLog {
	return &RequestLog{headers: map[string]map[string]struct{}{}}
}

// Add records a request and its body.
func (requests *RequestLog) Add(request *http.Request, body []byte) {
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	for name, values := range request.Header {
		for _, value := range values {
			requests.addHeader(name, value)
		}
	}
	if keyPattern.MatchString(request.URL.RequestURI()) {
		requests.leaks = append(requests.leaks, "path of "+request.Method+" "+request.URL.Path)
	}
	if keyPattern.Match(body) {
		requests.leaks = append(requests.leaks, "body of "+request.Method+" "+request.URL.Path)
	}
}

// addHeader records one value. The caller holds the mutex.
func (requests *RequestLog) addHeader(name, value string) {
	values, ok := requests.headers[name]
	if !ok {
		values = map[string]struct{}{}
		requests.headers[name] = values
	}
	values[value] = struct{}{}
	if keyPattern.MatchString(value) || keyPattern.MatchString(name) {
		requests.leaks = append(requests.leaks, "header "+name)
	}
}

// Summary returns what was recorded so far.
func (requests *RequestLog) Summary() RequestSummary {
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	seen := RequestSummary{Headers: map[string][]string{}, KeyLeaks: slices.Clone(requests.leaks)}
	for name, values := range requests.headers {
		for value := range values {
			seen.Headers[name] = append(seen.Headers[name], value)
		}
		slices.Sort(seen.Headers[name])
	}
	return seen
}
