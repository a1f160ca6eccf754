package relay

import (
	"context"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// ConfigChange is a change by the operators: a configuration, a new version of an
// adapter, or the begin or end of the evacuation of a failure domain.
type ConfigChange struct {
	// Table is nil for other changes than a configuration.
	Table *routes.Table
	// Ignored names values of the configuration that are ignored, and why.
	Ignored []string
	Model   string
	Adapter lora.Adapter
	// FailureDomain is empty for other changes than the begin or end of an evacuation.
	FailureDomain string
	Evacuated     bool
}

// Listing is an entry of the instance list. Upstream is nil if the entry was
// removed or describes no upstream.
type Listing struct {
	ID       string
	Upstream *fleet.Upstream
	// Fault says why the entry names no upstream, if it was not removed.
	Fault string
	// Ignored names a value of the entry that is ignored, and why. The rest holds.
	Ignored string
}

// ListingHistory holds the records of the instance list that the store retains, in their
// order. An upstream has a record for each of its heartbeats.
type ListingHistory struct {
	Listings []Listing
	// Complete means that no earlier records were removed.
	Complete bool
}

// InstanceHistory reads earlier records of the instance list.
type InstanceHistory interface {
	// History returns the records that the store retains, up to an offset at least.
	History(ctx context.Context, end uint64) (ListingHistory, error)
}

// RequestInfo holds the values of a caller's request headers.
type RequestInfo struct {
	ID  string
	Key string
	// Timeout is how long the caller waits, or 0 if it does not say.
	Timeout time.Duration
	// Model is empty for requests to services without engines.
	Model   string
	Adapter string
	// PromptTokens is the length of the prompt, and MaxOutputTokens limits that of the
	// response.
	PromptTokens    int64
	MaxOutputTokens int64
	// SharedParts holds the ids of the parts of the prompt that other requests may
	// share, in their order.
	SharedParts []string
	// HasTokenCounts means that the request names both token counts.
	HasTokenCounts bool
	// LastEventID is the id of the last event that the caller received, or empty.
	LastEventID string
	// Resumes is the id of the request that brought the first event of the stream that
	// the caller takes up, or empty.
	Resumes string
}

// ForwardInfo holds the values that are added to a request to an upstream.
type ForwardInfo struct {
	Upstream     string
	Organisation string
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	Priority  int
	// LastEventID replaces that of the caller when an interrupted stream is resumed.
	LastEventID string
}

// ResponseInfo holds the values of an upstream's response headers.
type ResponseInfo struct {
	// ID is the id of the request that the response belongs to.
	ID string
	// NotRun means that the upstream did not run the request.
	NotRun bool
	// Sealed means that the response has the header with an upstream's seal. A
	// response without it is not forwarded.
	Sealed bool
	// Load is the number of running and queued requests, or -1 if it is unknown.
	Load int
	// WorkFactor is how long work takes at the upstream now, 1 for the usual time, or 0
	// if it does not say. InvalidWorkFactor means that it names one that is not believed.
	WorkFactor        float64
	InvalidWorkFactor bool
	// Draining means that the upstream announces that it is draining.
	Draining bool
	// RetryAfter is how long the upstream asks this instance to send no requests.
	RetryAfter time.Duration
	// RateLimit is the rate that the upstream takes from all instances together,
	// permit.Unlimited if it names none.
	RateLimit permit.Rate
	// MalformedRateLimit is the text of a rate limit that cannot be read, or empty.
	MalformedRateLimit string
	// Cold is how long the upstream says it stays cold, 0 if it says nothing.
	Cold time.Duration
	// MalformedCold is the text of a cold time that cannot be read, or empty.
	MalformedCold string
}

// Protocol converts between HTTP headers and typed values.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(request *http.Request) RequestInfo
	// UpstreamHeader returns the headers of a request to an upstream.
	UpstreamHeader(request *http.Request, info ForwardInfo) http.Header
	// ParseResponse reads the status and headers of an upstream's response.
	ParseResponse(status int, header http.Header) ResponseInfo
	// CallerHeader returns the headers of an upstream's response that are meant for
	// the caller.
	CallerHeader(header http.Header) http.Header
	// AddRequestID adds the id of the refused request to the headers of a refusal.
	AddRequestID(header http.Header, info RequestInfo)
}
