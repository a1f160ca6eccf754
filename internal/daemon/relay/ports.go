package relay

import (
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/stock"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/table"
)

// Change is one change by the operators: a configuration, or a new version of
// an adapter.
type Change struct {
	// Table is nil for a new version of an adapter.
	Table   *table.Table
	Model   string
	Adapter stock.Adapter
}

// Listing is one entry of the instance list. Upstream is nil if the entry was
// removed or names no upstream.
type Listing struct {
	ID       string
	Upstream *fleet.Upstream
}

// Call is what the headers of a caller's request say.
type Call struct {
	ID  string
	Key string
	// Patience is how long the caller waits, or 0 if it does not say.
	Patience time.Duration
	// Model is empty for requests to plain services.
	Model   string
	Adapter string
	// Prompt and Output count tokens: of the prompt, and at most of the answer.
	Prompt int64
	Output int64
	// Counted tells that the request names its tokens.
	Counted bool
	// Resume is the id of the last event that the caller has, or empty.
	Resume string
}

// Send is what a request carries on its way to an upstream.
type Send struct {
	Upstream     string
	Organisation string
	// Left is the time that the caller still waits.
	Left     time.Duration
	Priority int
	// Resume replaces the caller's last event after a break.
	Resume string
}

// Answer is what the headers of an upstream's answer say.
type Answer struct {
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
	// Rest is for how long the upstream wants nothing from this instance.
	Rest time.Duration
}

// Protocol translates between headers and typed values.
type Protocol interface {
	// Call reads a caller's request.
	Call(request *http.Request) Call
	// Forward returns the headers to send to an upstream.
	Forward(request *http.Request, send Send) http.Header
	// Answer reads the headers of an upstream's answer.
	Answer(status int, header http.Header) Answer
	// Reply returns the headers of an upstream's answer that are for the caller.
	Reply(header http.Header) http.Header
	// Mark adds to a refusal what names the request that it belongs to.
	Mark(header http.Header, call Call)
}
