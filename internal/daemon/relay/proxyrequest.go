package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
	"jacinthfront.dev/jacinthfront/internal/flow/buffer"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/order"
	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/flow/poison"
	"jacinthfront.dev/jacinthfront/internal/link/depart"
	"jacinthfront.dev/jacinthfront/internal/link/http1"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

const (
	// defaultTimeout applies to requests whose callers do not say how long they wait.
	defaultTimeout = 60 * time.Second
	// retryAfterUnready is sent with refusals of an instance that cannot serve yet.
	retryAfterUnready = 300 * time.Millisecond
	// startupWait is how long after its start an instance lets requests wait for the
	// configuration and the token buckets.
	startupWait = 600 * time.Millisecond
	// retryAfterFull is sent with refusals when all upstreams are full.
	retryAfterFull = 500 * time.Millisecond
	// retryAfterStarting is sent with refusals while engines load their model.
	retryAfterStarting = time.Second
	// maxRetryAfter limits the time after which a caller is told to retry.
	maxRetryAfter = 5 * time.Second
)

// MessageAnswered is the log message for an answered request.
const MessageAnswered = "relay: request answered"

// refusal is a response of this instance itself.
type refusal struct {
	status int
	reason string
	// retryAfter is when the caller may retry, or 0 if the request may have run or
	// a retry cannot help.
	retryAfter time.Duration
}

// proxyRequest is one request of a caller while this instance handles it.
type proxyRequest struct {
	relay   *Relay
	writer  http.ResponseWriter
	request *http.Request
	caller  *depart.Caller
	info    RequestInfo
	started time.Time
	// readAt is when the whole request was read.
	readAt   time.Time
	deadline time.Time

	route        *routes.Route
	organisation *routes.Organisation
	service      *routes.Service
	// waitClass is how long the route's callers can wait, if that matters for the charge.
	waitClass bucket.Class
	// body is the body of the request.
	body *buffer.Buffer
	// identity is equal for two requests that differ in nothing but their ids.
	identity uint64
	// subjects holds what the request may crash upstreams with.
	subjects []poison.Subject
	adapter  lora.Adapter

	// tried holds the upstreams that must not be tried again.
	tried []string
	// runs counts the sends after which the request may have run.
	runs int
	// sends counts the sends that may have reached an upstream.
	sends int
	// retryGrant is the leave to send the request once more, nil before its first send.
	retryGrant *retryGrant
	// upstream is the last upstream chosen.
	upstream string
	waited   time.Duration
	// waitedAdapter is the part of waited during which the adapter was not loaded.
	waitedAdapter time.Duration
	checkedAt     time.Time
	// typicalFirstEvent and typicalTotal are the route's typical latencies at an
	// upstream, up to the first event and to the end.
	typicalFirstEvent time.Duration
	typicalTotal      time.Duration
	// awaitsPermit means that the request waits for a rate limit to admit it.
	awaitsPermit bool
	// moves counts the upstreams at which the request waited.
	moves   int
	load    int
	backlog int64
	// workFactor is that of the chosen upstream when the request was sent, 0 if unknown.
	workFactor float64
	// orderClass is the class of the request in the order at engines when it was last sent.
	orderClass order.Class

	// failure is the response of an upstream that ran the request and failed. It is
	// kept with its body, as another upstream may succeed.
	failure     *http1.Response
	failureBody *buffer.Buffer

	// lastEventID is the id of the last event forwarded.
	lastEventID string
	// firstEvent is the time to the first event, longestGap the longest time between
	// two events, and lastEventAt when the last event was forwarded.
	firstEvent time.Duration
	longestGap time.Duration
	// streamCounted means that the last send was recorded as a stream of its upstream.
	streamCounted bool
	lastEventAt   time.Time
	// grant is the number of the grant for the last send, 0 if there was none.
	grant uint64
	// sentAt is when the request was last sent, and eventIntervals holds the first
	// intervals between its events.
	sentAt time.Time
	// stage is how far the last send came, and begunAt when its upstream had begun to
	// answer.
	stage          stage
	begunAt        time.Time
	eventIntervals []time.Duration
	// probe means that the request may be sent although it or a part of it is blocked.
	probe bool
	// origin is the software that began the stream, once a part of it was forwarded to the
	// caller.
	origin origin.Origin
	// active is the last send.
	active *activeSend
	// connection is that of the last response with events.
	connection connection
	// continues means that the last send continues a stream of which the caller has a part.
	continues bool
	// identified means that the incarnation that answers the last send is known.
	identified bool
	// headersSent means that the response headers were forwarded, and mediaType is the
	// media type that they name.
	headersSent bool
	mediaType   string
	// behind means that a write to the caller took so long that the upstream may have ended
	// the response, which was not read meanwhile.
	behind bool
	// stalled means that the response was ended as the caller does not read.
	stalled atomic.Bool
	// passedOn means that a part of a response was forwarded that no other one can
	// continue.
	passedOn bool
}

// newProxyRequest returns a request of a caller. Its context ends when the caller leaves, and
// at the latest with end.
func newProxyRequest(relay *Relay, writer http.ResponseWriter, request *http.Request) *proxyRequest {
	relay.callers.CheckDue()
	ctx, caller := relay.callers.Begin(request.Context())
	relay.metrics.running.Add(1)
	return &proxyRequest{
		relay: relay, writer: writer, request: request.WithContext(ctx), caller: caller, info: relay.config.Protocol.ParseRequest(request),
		started: time.Now(),
	}
}

// end ends what newProxyRequest began, and gives back the memory of the bodies.
func (proxyRequest *proxyRequest) end() {
	proxyRequest.relay.metrics.running.Add(-1)
	proxyRequest.caller.End()
	proxyRequest.releaseBodies()
}

// serve handles a caller's request.
func (relay *Relay) serve(writer http.ResponseWriter, request *http.Request) {
	proxyRequest := newProxyRequest(relay, writer, request)
	defer proxyRequest.end()
	if relay.stopping() {
		writer.Header().Set("Connection", "close")
	}
	if refused := proxyRequest.admit(); refused != nil {
		proxyRequest.refuse(*refused)
		return
	}
	ctx, cancel := context.WithDeadline(proxyRequest.request.Context(), proxyRequest.deadline)
	defer cancel()
	ctx, done := relay.withStop(ctx)
	defer done()
	proxyRequest.run(ctx)
}

// admit checks, reads and charges the request. It returns a refusal if the request
// may not be served.
func (proxyRequest *proxyRequest) admit() *refusal {
	relay := proxyRequest.relay
	proxyRequest.deadline = proxyRequest.started.Add(startupWait)
	proxyRequest.awaitStartup(func() bool { return relay.store.config() != nil && relay.configCaughtUp() })
	config := relay.store.config()
	if config == nil {
		return unconfiguredRefusal()
	}
	confirmed := relay.configConfirmed()
	path, _, _ := strings.Cut(proxyRequest.request.RequestURI, "?")
	route, ok := config.Match(hostOnly(proxyRequest.request.Host), path)
	if !ok {
		return noRouteRefusal(confirmed)
	}
	proxyRequest.route = route
	proxyRequest.deadline = proxyRequest.started.Add(proxyRequest.timeout())
	if !route.Open {
		if refused := proxyRequest.authenticate(config, confirmed); refused != nil {
			return refused
		}
	}
	proxyRequest.service, ok = config.Service(route.PickService(rand.Float64()))
	if !ok {
		return noServiceRefusal()
	}
	if refused := proxyRequest.readBody(); refused != nil {
		return refused
	}
	proxyRequest.readAt, proxyRequest.subjects = time.Now(), proxyRequest.poisonSubjects()
	if refused := proxyRequest.poisonRefusal(); refused != nil {
		return refused
	}
	if proxyRequest.confirmCaller() != nil {
		proxyRequest.abandon()
	}
	return proxyRequest.charge()
}

// authenticate finds the organisation. It trusts no key if the configuration was not
// confirmed recently, as the configuration may lack a withdrawal of the key.
func (proxyRequest *proxyRequest) authenticate(config *routes.Table, confirmed bool) *refusal {
	organisation, _ := config.Authenticate(proxyRequest.info.Key)
	if refused := keyRefusal(confirmed, organisation); refused != nil {
		return refused
	}
	proxyRequest.organisation = organisation
	return nil
}

func unconfiguredRefusal() *refusal {
	return &refusal{http.StatusServiceUnavailable, "no configuration is known yet", retryAfterUnready}
}

// noRouteRefusal returns the refusal of a request that no route matches in a configuration
// that is confirmed or not.
func noRouteRefusal(confirmed bool) *refusal {
	if !confirmed {
		return &refusal{http.StatusServiceUnavailable, "the configuration may be out of date", retryAfterUnready}
	}
	return &refusal{http.StatusNotFound, "no route matches", 0}
}

// keyRefusal returns the refusal of a request whose key belongs to an organisation, which is
// nil if the key is not known, or nil.
func keyRefusal(confirmed bool, organisation *routes.Organisation) *refusal {
	switch {
	case !confirmed:
		return &refusal{http.StatusServiceUnavailable, "keys cannot be checked while the configuration is not confirmed", retryAfterUnready}
	case organisation == nil:
		return &refusal{http.StatusUnauthorized, "the key is not known", 0}
	default:
		return nil
	}
}

func noServiceRefusal() *refusal {
	return &refusal{http.StatusServiceUnavailable, "the route names no known service", retryAfterFull}
}

// timeout returns how long the caller may be kept waiting.
func (proxyRequest *proxyRequest) timeout() time.Duration {
	timeout := proxyRequest.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if proxyRequest.route.Timeout > 0 {
		timeout = min(timeout, proxyRequest.route.Timeout)
	}
	return timeout
}

// awaitStartup waits until ready returns true, at most for startupWait after the
// start of the instance.
func (proxyRequest *proxyRequest) awaitStartup(ready func() bool) {
	until := proxyRequest.relay.start.Add(startupWait)
	if proxyRequest.deadline.Before(until) {
		until = proxyRequest.deadline
	}
	for !ready() && time.Now().Before(until) && proxyRequest.request.Context().Err() == nil {
		proxyRequest.sleep(recheckInterval)
	}
}

// sleep waits for a time, at most until the deadline or until the caller leaves.
func (proxyRequest *proxyRequest) sleep(wait time.Duration) {
	if wait = min(wait, time.Until(proxyRequest.deadline)); wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-proxyRequest.request.Context().Done():
	}
}

// priority returns the request's priority at an engine.
func (proxyRequest *proxyRequest) priority() int {
	if proxyRequest.organisation != nil && proxyRequest.organisation.Priority != nil {
		return *proxyRequest.organisation.Priority
	}
	return proxyRequest.route.Priority
}

// refuse sends the caller a refusal.
func (proxyRequest *proxyRequest) refuse(refused refusal) {
	proxyRequest.relay.metrics.increment("refused-" + strconv.Itoa(refused.status))
	fields := []zap.Field{zap.Int("status", refused.status), zap.String("reason", refused.reason), zap.Duration("retry-after", refused.retryAfter)}
	if config := proxyRequest.relay.store.config(); config != nil {
		fields = append(fields, zap.Uint64("config-version", config.Version()), zap.Duration("config-age", proxyRequest.relay.configAge()))
	}
	proxyRequest.log("relay: request refused", fields...)
	if proxyRequest.headersSent {
		panic(http.ErrAbortHandler)
	}
	header := proxyRequest.writer.Header()
	if proxyRequest.relay.stopping() {
		header.Set("Connection", "close")
	}
	proxyRequest.relay.config.Protocol.AddRequestID(header, proxyRequest.info)
	if refused.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain")
	proxyRequest.writer.WriteHeader(refused.status)
	_, _ = fmt.Fprintln(proxyRequest.writer, refused.reason)
}

// log logs a decision about the request, with the state of the request.
func (proxyRequest *proxyRequest) log(message string, fields ...zap.Field) {
	fields = append(fields,
		zap.String("request", proxyRequest.info.ID),
		zap.String("upstream", proxyRequest.upstream),
		zap.Int("sends", proxyRequest.sends),
		zap.Duration("waited", proxyRequest.waited),
		zap.Duration("waited-adapter", proxyRequest.waitedAdapter),
		zap.Int("load", proxyRequest.load),
		zap.Int("moves", proxyRequest.moves),
		zap.Int64("backlog", proxyRequest.backlog),
		zap.Duration("took", time.Since(proxyRequest.started)),
	)
	if proxyRequest.service != nil && proxyRequest.service.Engine != nil {
		fields = append(fields, zap.Stringer("class", proxyRequest.loggedClass()), zap.Int("priority", proxyRequest.priority()))
	}
	if proxyRequest.adapter.Name != "" {
		fields = append(fields, zap.String("adapter", proxyRequest.adapter.Name), zap.Uint32("adapter-version", proxyRequest.adapter.Version))
	}
	if proxyRequest.workFactor > 0 {
		fields = append(fields, zap.Float64("work-factor", proxyRequest.workFactor))
	}
	if proxyRequest.headersSent {
		fields = append(fields, zap.Duration("first-event", proxyRequest.firstEvent), zap.Duration("longest-gap", proxyRequest.longestGap))
	}
	if proxyRequest.origin.Known() {
		fields = append(fields, zap.String("software-version", proxyRequest.origin.Version))
	}
	if proxyRequest.route != nil {
		fields = append(fields, zap.String("route", proxyRequest.route.Name))
	}
	if proxyRequest.organisation != nil {
		fields = append(fields, zap.String("organisation", proxyRequest.organisation.Name), zap.Float64("cost", proxyRequest.cost()))
	}
	proxyRequest.relay.config.Logger.Info(message, fields...)
}

// hostOnly returns a host without its port.
func hostOnly(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
