package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

const (
	headerRequestID = "X-Request-Id"
	headerAdapter   = "X-Adapter"
	headerVersion   = "X-Adapter-Version"
	contentType     = "Content-Type"
	jsonType        = "application/json"
)

// writeTime bounds one write to a caller. A caller that reads nothing for so
// long is taken to be gone.
const writeTime = 30 * time.Second

// exchange is one HTTP request of a caller and its answer.
type exchange struct {
	entry   *Entry
	writer  http.ResponseWriter
	naive   http.ResponseWriter
	request *http.Request
	id      string
	arrived time.Time
	config  *conf.Config

	organisation conf.OrganisationSpec
	keyID        string
	route        conf.RouteSpec
	adapter      string
	version      uint32
	// begun says that the status line has been sent.
	begun bool
	// placed says that the id names the first upstream.
	placed bool
}

func newExchange(entry *Entry, ctx iris.Context) *exchange {
	control := http.NewResponseController(ctx.ResponseWriter().Naive())
	// The deadline also bounds the time in which net/http reads the rest of a
	// body that this instance refuses unread.
	_ = control.SetReadDeadline(time.Now().Add(entry.config.Limits.BodyTimeout))
	return &exchange{
		entry:   entry,
		writer:  ctx.ResponseWriter(),
		naive:   ctx.ResponseWriter().Naive(),
		request: ctx.Request(),
		id:      entry.config.NewRequestID(),
		arrived: time.Now(),
		config:  entry.config.ConfigSource.Current(),
	}
}

// begin sends the status line with the headers that every answer carries.
func (exchange *exchange) begin(status int, mediaType string) {
	if exchange.begun {
		return
	}
	exchange.begun = true
	header := exchange.writer.Header()
	header.Set(headerRequestID, exchange.id)
	if exchange.adapter != "" {
		header.Set(headerAdapter, exchange.adapter)
		header.Set(headerVersion, strconv.FormatUint(uint64(exchange.version), 10))
	}
	if mediaType != "" {
		header.Set(contentType, mediaType)
	}
	exchange.writer.WriteHeader(status)
}

// errorBody is the JSON form of a refusal or failure.
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
		RetryAfter: retrySeconds(err),
		RequestID:  exchange.id,
	}}
}

// writeFault answers with a fault. An answer that has begun is cut off, so that
// the caller does not take it for complete.
func (exchange *exchange) writeFault(err *fault.Fault) {
	exchange.entry.config.Counters.Add("fault-"+string(err.Kind()), 1)
	if exchange.begun {
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
	exchange.begin(status, jsonType)
	_ = exchange.write(data, false)
}

// write sends a part of the answer's body within writeTime.
func (exchange *exchange) write(data []byte, flush bool) error {
	control := http.NewResponseController(exchange.naive)
	_ = control.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := exchange.writer.Write(data); err != nil || !flush {
		return err
	}
	return control.Flush()
}

// retrySeconds rounds up to whole seconds, as the header Retry-After takes
// them. Faults that pass by themselves get at least one second.
func retrySeconds(err *fault.Fault) int64 {
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
