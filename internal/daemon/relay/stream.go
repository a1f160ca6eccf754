package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
	"jacinthfront.dev/jacinthfront/internal/link/hop"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

const (
	streamBuffer = 4096
	// eventBytes is the size of the largest event.
	eventBytes = 1 << 20
	// idleBytes is how much may come between two events that is none.
	idleBytes = 64 << 10
	// measuredPauses and leastPauses bound the pauses of a stream from which the
	// usual one is taken.
	measuredPauses = 10
	leastPauses    = 5
)

var (
	errPartialEvent = errors.New("the stream ended within an event")
	errLargeEvent   = errors.New("an event is too large")
	errNoEvents     = errors.New("bytes come that are no events")
)

// stream passes on the events of an answer as they come, each one whole.
func (flight *flight) stream(upstream fleet.Upstream, response *hop.Response) outcome {
	reader := bufio.NewReaderSize(response.Body, streamBuffer)
	var eventAt time.Time
	idle := 0
	for {
		text, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			flight.judge(upstream, true)
			flight.begin(response)
			flight.measureEnd(upstream)
			flight.done(response.Status)
			return answered
		}
		if err != nil {
			if flight.request.Context().Err() != nil || time.Now().After(flight.until) {
				return unknown
			}
			return flight.broken(upstream, err)
		}
		if _, ok := eventID(text); ok {
			idle = 0
		} else if idle += len(text); idle > idleBytes {
			return flight.broken(upstream, errNoEvents)
		}
		flight.measure(upstream, &eventAt)
		if flight.repeats(text) {
			continue
		}
		flight.begin(response)
		if _, err := flight.writer.Write(text); err != nil {
			return unknown
		}
		flight.flush()
		flight.passed()
	}
}

// begin passes on the headers before the first event. After a break, the
// headers of the first run stand.
func (flight *flight) begin(response *hop.Response) {
	if flight.begun {
		return
	}
	flight.begun = true
	flight.first = time.Since(flight.started)
	flight.relay.metrics.firstEvent(flight.first)
	flight.head(response)
	flight.writer.WriteHeader(response.Status)
}

// measure notes when an event came, for the engine's pace.
func (flight *flight) measure(upstream fleet.Upstream, last *time.Time) {
	now := time.Now()
	if last.IsZero() {
		flight.relay.spans.began(flight.route.Name, now.Sub(flight.sentAt))
	}
	switch {
	case flight.ask == 0:
	case last.IsZero():
		flight.relay.board.RecordMeasurement(upstream.ID, admit.Measurement{RequestID: flight.ask, FirstEvent: now.Sub(flight.sentAt)})
	case len(flight.pauses) < measuredPauses:
		flight.pauses = append(flight.pauses, now.Sub(*last))
		if len(flight.pauses) == measuredPauses {
			flight.measurePause(upstream)
		}
	}
	*last = now
}

// measureEnd notes the usual pause between the events of a short stream that
// ended.
func (flight *flight) measureEnd(upstream fleet.Upstream) {
	if len(flight.pauses) >= leastPauses && len(flight.pauses) < measuredPauses {
		flight.measurePause(upstream)
	}
}

// measurePause notes the usual pause between a stream's events.
func (flight *flight) measurePause(upstream fleet.Upstream) {
	flight.relay.board.RecordMeasurement(upstream.ID, admit.Measurement{RequestID: flight.ask, EventInterval: speed.Median(flight.pauses)})
}

// passed notes when an event was passed on.
func (flight *flight) passed() {
	now := time.Now()
	if !flight.eventAt.IsZero() {
		flight.longestGap = max(flight.longestGap, now.Sub(flight.eventAt))
	}
	flight.eventAt = now
}

func (flight *flight) flush() {
	if err := http.NewResponseController(flight.writer).Flush(); err != nil {
		flight.relay.config.Logger.Debug("relay: flush failed", telem.Error(err))
	}
}

// repeats reports whether the caller has an event already, and notes its id if
// not.
func (flight *flight) repeats(text []byte) bool {
	id, ok := eventID(text)
	if !ok {
		return false
	}
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseUint(flight.lastEvent, 10, 64)
	if err == nil && number <= last {
		return true
	}
	flight.lastEvent = id
	return false
}

// readEvent returns the next event with the empty line that ends it. Its error
// is io.EOF at a clean end.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var text []byte
	for {
		line, err := reader.ReadSlice('\n')
		text = append(text, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(text) > 0:
			return nil, errPartialEvent
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return text, nil
		}
		if len(text) > eventBytes {
			return nil, errLargeEvent
		}
	}
}

// eventID returns the id of an event.
func eventID(text []byte) (string, bool) {
	for line := range bytes.Lines(text) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
