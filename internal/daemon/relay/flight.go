package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/link/hop"
	"jacinthfront.dev/jacinthfront/internal/state/table"
)

const (
	// bodyBytes is the size of the largest body of a request or whole answer.
	bodyBytes = 8 << 20
	// defaultPatience bounds requests of callers that do not say how long they
	// wait.
	defaultPatience = 60 * time.Second
	// comeBackUnready is when to come back to an instance that cannot serve yet.
	comeBackUnready = 300 * time.Millisecond
	// startTime is how long after its start an instance lets requests wait for
	// the configuration and the shares.
	startTime = 600 * time.Millisecond
	// comeBackFull is when to come back after all upstreams were full.
	comeBackFull = 500 * time.Millisecond
	// comeBackStarting is when to come back while engines load their model.
	comeBackStarting = time.Second
	// longestComeBack bounds what a caller is told to wait.
	longestComeBack = 5 * time.Second
)

// MessageAnswered is the message of the line for an answered request.
const MessageAnswered = "relay: request answered"

// refusal is a final answer of this instance's own.
type refusal struct {
	status int
	reason string
	// after is when to come back, or 0 if the request may have run.
	after time.Duration
}

// flight is one request on its way.
type flight struct {
	relay   *Relay
	writer  http.ResponseWriter
	request *http.Request
	call    RequestInfo
	started time.Time
	until   time.Time

	route        *table.Route
	organisation *table.Organisation
	service      *table.Service
	body         []byte
	adapter      lora.Adapter

	// tried holds the upstreams that are not to be tried again.
	tried []string
	// runs counts the sends that may have run.
	runs int
	// sends counts all sends.
	sends int
	// upstream is the last one chosen.
	upstream string
	waited   time.Duration
	// waitedAdapter is the part of waited in which the adapter was not loaded.
	waitedAdapter time.Duration
	lookedAt      time.Time
	// usualFirst and usualWhole are how long requests of the route usually take at
	// an upstream, up to the first event and to the end.
	usualFirst time.Duration
	usualWhole time.Duration
	// moves counts the upstreams at which it waited.
	moves   int
	load    int
	backlog int64

	// failure is an answer that an upstream ran the request and failed, kept
	// with its body while another upstream may do better.
	failure     *hop.Response
	failureText []byte

	// lastEvent is the id of the last event passed on.
	lastEvent string
	// first is the time to the first event, longestGap the longest pause between
	// two, and eventAt when the last one was passed on.
	first      time.Duration
	longestGap time.Duration
	eventAt    time.Time
	// ask is the number of the turn that the last send had, 0 if it had none.
	ask uint64
	// sentAt is when it was sent, and pauses holds the first pauses between its
	// events.
	sentAt time.Time
	pauses []time.Duration
	// begun means that the answer's headers were passed on.
	begun bool
}

// serve handles one request of a caller.
func (relay *Relay) serve(writer http.ResponseWriter, request *http.Request) {
	flight := &flight{relay: relay, writer: writer, request: request, call: relay.config.Protocol.ParseRequest(request), started: time.Now()}
	relay.metrics.running.Add(1)
	defer relay.metrics.running.Add(-1)
	if relay.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	if refused := flight.admit(); refused != nil {
		flight.refuse(*refused)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), flight.until)
	defer cancel()
	flight.run(ctx)
}

// admit decides whether the request may be served at all.
func (flight *flight) admit() *refusal {
	relay := flight.relay
	flight.until = flight.started.Add(startTime)
	flight.awaitStart(func() bool { return relay.belief.current() != nil })
	config := relay.belief.current()
	if config == nil {
		return &refusal{http.StatusServiceUnavailable, "no configuration is known yet", comeBackUnready}
	}
	sure := relay.confirmed()
	path, _, _ := strings.Cut(flight.request.RequestURI, "?")
	route, ok := config.Match(hostOnly(flight.request.Host), path)
	if !ok {
		if !sure {
			return &refusal{http.StatusServiceUnavailable, "the configuration may be out of date", comeBackUnready}
		}
		return &refusal{http.StatusNotFound, "no route matches", 0}
	}
	flight.route = route
	flight.until = flight.started.Add(flight.patience())
	if !route.Open {
		if refused := flight.authenticate(config, sure); refused != nil {
			return refused
		}
	}
	flight.service, ok = config.Service(route.Pick(rand.Float64()))
	if !ok {
		return &refusal{http.StatusServiceUnavailable, "the route names no known service", comeBackFull}
	}
	if refused := flight.read(); refused != nil {
		return refused
	}
	return flight.spend()
}

// authenticate finds the organisation. A configuration that was not confirmed
// for long may lack a withdrawal, so that no key can be trusted.
func (flight *flight) authenticate(config *table.Table, sure bool) *refusal {
	if !sure {
		return &refusal{http.StatusServiceUnavailable, "keys cannot be checked while the configuration is not confirmed", comeBackUnready}
	}
	organisation, ok := config.Authenticate(flight.call.Key)
	if !ok {
		return &refusal{http.StatusUnauthorized, "the key is not known", 0}
	}
	flight.organisation = organisation
	return nil
}

// patience returns how long the caller may be kept waiting.
func (flight *flight) patience() time.Duration {
	patience := flight.call.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if flight.route.Timeout > 0 {
		patience = min(patience, flight.route.Timeout)
	}
	return patience
}

func (flight *flight) read() *refusal {
	if flight.request.Body == nil || flight.request.ContentLength == 0 {
		return nil
	}
	// A body may come too slowly to end in the caller's time.
	control := http.NewResponseController(flight.writer)
	if err := control.SetReadDeadline(flight.until); err != nil {
		flight.relay.config.Logger.Debug("relay: no deadline for a body", telem.Error(err))
	}
	body, err := io.ReadAll(http.MaxBytesReader(flight.writer, flight.request.Body, bodyBytes))
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "the body did not come in time", comeBackUnready}
	case errors.As(err, &large):
		return &refusal{http.StatusRequestEntityTooLarge, "the body is too large", 0}
	case err != nil:
		return &refusal{http.StatusBadRequest, "the body cannot be read", 0}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		flight.relay.config.Logger.Debug("relay: deadline for a body kept", telem.Error(err))
	}
	flight.body = body
	return nil
}

// awaitStart waits, while the instance starts, until it knows what it needs.
func (flight *flight) awaitStart(known func() bool) {
	until := flight.relay.start.Add(startTime)
	if flight.until.Before(until) {
		until = flight.until
	}
	for !known() && time.Now().Before(until) && flight.request.Context().Err() == nil {
		flight.pause(lookAgain)
	}
}

// pause waits for a time, or until the caller leaves or has waited long enough.
func (flight *flight) pause(wait time.Duration) {
	if wait = min(wait, time.Until(flight.until)); wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-flight.request.Context().Done():
	}
}

// priority returns the rank that an engine is told.
func (flight *flight) priority() int {
	if flight.organisation != nil && flight.organisation.Priority != nil {
		return *flight.organisation.Priority
	}
	return flight.route.Priority
}

// refuse gives the caller a final answer of this instance's own.
func (flight *flight) refuse(refused refusal) {
	flight.relay.metrics.count("refused-" + strconv.Itoa(refused.status))
	fields := []zap.Field{zap.Int("status", refused.status), zap.String("reason", refused.reason), zap.Duration("retry-after", refused.after)}
	if config := flight.relay.belief.current(); config != nil {
		fields = append(fields, zap.Uint64("config-version", config.Version()), zap.Duration("config-age", flight.relay.configAge()))
	}
	flight.log("relay: request refused", fields...)
	if flight.begun {
		panic(http.ErrAbortHandler)
	}
	header := flight.writer.Header()
	flight.relay.config.Protocol.AddRequestID(header, flight.call)
	if refused.after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refused.after.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain")
	flight.writer.WriteHeader(refused.status)
	_, _ = fmt.Fprintln(flight.writer, refused.reason)
}

// log writes the line of a decision about the request.
func (flight *flight) log(message string, fields ...zap.Field) {
	fields = append(fields,
		zap.String("request", flight.call.ID),
		zap.String("upstream", flight.upstream),
		zap.Int("sends", flight.sends),
		zap.Duration("waited", flight.waited),
		zap.Duration("waited-adapter", flight.waitedAdapter),
		zap.Int("load", flight.load),
		zap.Int("moves", flight.moves),
		zap.Int64("backlog", flight.backlog),
		zap.Duration("took", time.Since(flight.started)),
	)
	if flight.adapter.Name != "" {
		fields = append(fields, zap.String("adapter", flight.adapter.Name), zap.Uint32("adapter-version", flight.adapter.Version))
	}
	if flight.begun {
		fields = append(fields, zap.Duration("first-event", flight.first), zap.Duration("longest-gap", flight.longestGap))
	}
	if flight.route != nil {
		fields = append(fields, zap.String("route", flight.route.Name))
	}
	if flight.organisation != nil {
		fields = append(fields, zap.String("organisation", flight.organisation.Name), zap.Float64("cost", flight.cost()))
	}
	flight.relay.config.Logger.Info(message, fields...)
}

func hostOnly(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
