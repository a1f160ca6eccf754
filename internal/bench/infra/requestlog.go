package infra

import (
	"net/http"
	"regexp"
	"slices"
	"sync"
)

// keyPattern matches a caller's API key, jf_<id>_<secret>.
var keyPattern = regexp.MustCompile(`jf_[0-9A-Za-z-]+_[0-9A-Za-z_=-]{16,}`)

// RequestSummary holds the headers of the requests that an upstream received, and
// the keys that leaked to it.
type RequestSummary struct {
	// Headers lists the distinct values of each header, sorted.
	Headers map[string][]string `json:"headers"`
	// KeyLeaks names the header, path or body in which each caller's key was
	// found.
	KeyLeaks []string `json:"key-leaks"`
}

// RequestLog collects the headers of requests and searches requests for callers'
// keys.
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
func (log *RequestLog) Add(request *http.Request, body []byte) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	for name, values := range request.Header {
		for _, value := range values {
			log.addHeader(name, value)
		}
	}
	if keyPattern.MatchString(request.URL.RequestURI()) {
		log.leaks = append(log.leaks, "path of "+request.Method+" "+request.URL.Path)
	}
	if keyPattern.Match(body) {
		log.leaks = append(log.leaks, "body of "+request.Method+" "+request.URL.Path)
	}
}

// addHeader records one header value. The caller holds the mutex.
func (log *RequestLog) addHeader(name, value string) {
	values, ok := log.headers[name]
	if !ok {
		values = map[string]struct{}{}
		log.headers[name] = values
	}
	values[value] = struct{}{}
	if keyPattern.MatchString(value) || keyPattern.MatchString(name) {
		log.leaks = append(log.leaks, "header "+name)
	}
}

// Summary returns the headers and key leaks recorded so far.
func (log *RequestLog) Summary() RequestSummary {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	summary := RequestSummary{Headers: map[string][]string{}, KeyLeaks: slices.Clone(log.leaks)}
	for name, values := range log.headers {
		for value := range values {
			summary.Headers[name] = append(summary.Headers[name], value)
		}
		slices.Sort(summary.Headers[name])
	}
	return summary
}
