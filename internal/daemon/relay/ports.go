package relay

import (
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/table"
)

// ConfigChange is one change by the operators: a configuration, or a new version of
// an adapter.
type ConfigChange struct {
	// Table is nil for a new version of an adapter.
	Table   *table.Table
	Model   string
	Adapter lora.Adapter
}

// Listing is one entry of the instance list. Upstream is nil if the entry was
// removed or names no upstream.
type Listing struct {
	ID       string
	Upstream *fleet.Upstream
}

// RequestInfo is what the headers of a caller's request say.
type RequestInfo struct {
	ID  string
	Key string
	// Timeout is how long the caller waits, or 0 if it does not say.
	Timeout time.Duration
	// Model is empty for requests to plain services.
	Model   string
	Adapter string
	// PromptTokens and Output count tokens: of the prompt, and at most of the answer.
	PromptTokens    int64
	MaxOutputTokens int64
	// HasTokenCounts tells that the request names its tokens.
	HasTokenCounts bool
	// LastEventID is the id of the last event that the caller has, or empty.
	LastEventID string
}

// ForwardInfo is what a request carries on its way to an upstream.
type ForwardInfo struct {
	Upstream     string
	Organisation string
	// Remaining is the time that the caller still waits.
	Remaining time.Duration
	Priority  int
	// LastEventID replaces the caller's last event after a break.
	LastEventID string
}

// ResponseInfo is what the headers of an upstream's answer say.
type ResponseInfo struct {
	// ID is the id of the request that the answer belongs to.
	ID string
	// NotRun means that the upstream did not run the request.
	NotRun bool
	// Sealed means that the answer bears the mark of an upstream.
	Sealed bool
	// Load is the number of running and waiting requests, or -1.
	Load int
	// Leaving means that the upstream is about to end.
	Leaving bool
	// RetryAfter is for how long the upstream wants nothing from this instance.
	RetryAfter time.Duration
}

// Protocol translates between headers and typed values.
type Protocol interface {
	// ParseRequest reads a caller's request.
	ParseRequest(request *http.Request) RequestInfo
	// UpstreamHeader returns the headers to send to an upstream.
	UpstreamHeader(request *http.Request, send ForwardInfo) http.Header
	// ParseResponse reads the headers of an upstream's answer.
	ParseResponse(status int, header http.Header) ResponseInfo
	// CallerHeader returns the headers of an upstream's answer that are for the caller.
	CallerHeader(header http.Header) http.Header
	// AddRequestID adds to a refusal what names the request that it belongs to.
	AddRequestID(header http.Header, call RequestInfo)
}
