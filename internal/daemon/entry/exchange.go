package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/link/depart"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

const (
	headerRequestID   = "X-Request-Id"
	headerAdapter     = "X-Adapter"
	headerVersion     = "X-Adapter-Version"
	headerContentType = "Content-Type"
	mediaTypeJSON     = "application/json"
)

// writeTimeout bounds one write to a caller. A caller that reads nothing for this
// long is treated as disconnected.
const writeTimeout = 30 * time.Second

// exchange is one HTTP request of a caller and its response.
type exchange struct {
	entry     *Entry
	writer    http.ResponseWriter
	rawWriter http.ResponseWriter
	request   *http.Request
	caller    *depart.Caller
	id        string
	arrived   time.Time
	config    *conf.Config

	organisation conf.OrganisationSpec
	keyID        string
	route        conf.RouteSpec
	adapter      string
	version      uint32
	// headerSent means that the status line and headers have been sent.
	headerSent bool
	// idHasUpstream means that the id ends in the tag of the first upstream.
	idHasUpstream bool
}

// newExchange returns an exchange. Its request's context ends when the caller leaves, and at
// the latest when end is called.
func newExchange(entry *Entry, ctx iris.Context) *exchange {
	control := http.NewResponseController(ctx.ResponseWriter().Naive())
	// The deadline also bounds the time in which net/http reads the rest of a body
	// that is refused unread.
	_ = control.SetReadDeadline(time.Now().Add(entry.config.Limits.BodyTimeout))
	requestCtx, caller := entry.callers.Begin(ctx.Request().Context())
	return &exchange{
		entry:     entry,
		writer:    ctx.ResponseWriter(),
		rawWriter: ctx.ResponseWriter().Naive(),
		request:   ctx.Request().WithContext(requestCtx),
		caller:    caller,
		id:        entry.config.NewRequestID(),
		arrived:   time.Now(),
		config:    entry.config.ConfigSource.Current(),
	}
}

// end ends what newExchange began.
func (exchange *exchange) end() { exchange.caller.End() }

// writeHeader sends the status line and the headers that every response carries.
func (exchange *exchange) writeHeader(status int, mediaType string) {
	if exchange.headerSent {
		return
	}
	exchange.headerSent = true
	header := exchange.writer.Header()
	header.Set(headerRequestID, exchange.id)
	if exchange.adapter != "" {
		header.Set(headerAdapter, exchange.adapter)
		header.Set(headerVersion, strconv.FormatUint(uint64(exchange.version), 10))
	}
	if mediaType != "" {
		header.Set(headerContentType, mediaType)
	}
	exchange.writer.WriteHeader(status)
}

// errorBody is the JSON form of a fault.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind       fault.Kind      `json:"kind"`
	Message    string          `json:"message"`
	Ran        fault.Execution `json:"ran"`
	RetryAfter int64           `json:"retry-after,omitempty"`
	RequestID  string          `json:"request-id"`
}

// describe returns the JSON form of a fault.
func (exchange *exchange) describe(err *fault.Fault) errorBody {
	return errorBody{Error: errorDetail{
		Kind:       err.Kind(),
		Message:    err.Message(),
		Ran:        err.Ran(),
		RetryAfter: retryAfterSeconds(err),
		RequestID:  exchange.id,
	}}
}

// writeFault responds with a fault. A response that has begun is aborted, so that
// the caller does not take it for complete.
func (exchange *exchange) writeFault(err *fault.Fault) {
	exchange.entry.config.Counters.Add("fault-"+string(err.Kind()), 1)
	if exchange.headerSent {
		panic(http.ErrAbortHandler)
	}
	body := exchange.describe(err)
	if body.Error.RetryAfter > 0 {
		exchange.writer.Header().Set("Retry-After", strconv.FormatInt(body.Error.RetryAfter, 10))
	}
	exchange.writeJSON(err.Status(), body)
}

func (exchange *exchange) writeJSON(status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	exchange.writeHeader(status, mediaTypeJSON)
	_ = exchange.write(data, false)
}

// write sends a part of the response body within writeTimeout.
func (exchange *exchange) write(data []byte, flush bool) error {
	control := http.NewResponseController(exchange.rawWriter)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := exchange.writer.Write(data); err != nil || !flush {
		return err
	}
	return control.Flush()
}

// retryAfterSeconds returns the value of the header Retry-After, rounded up to
// whole seconds, or 0 for no header. A request that did not run gets at least one
// second if the cause may pass by itself.
func retryAfterSeconds(err *fault.Fault) int64 {
	if after := err.RetryAfter(); after > 0 {
		return int64(math.Ceil(after.Seconds()))
	}
	if err.Ran() != fault.NotRun {
		return 0
	}
	switch err.Kind() {
	case fault.RateExceeded, fault.Overloaded, fault.WaitExceeded, fault.NoUpstream, fault.Draining,
		fault.WrongHalf, fault.LoadFailed, fault.UpstreamFailed, fault.LogUnavailable, fault.Stale, fault.DeadlineExceeded:
		return 1
	}
	return 0
}
