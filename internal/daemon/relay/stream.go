package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/buffer"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
	"jacinthfront.dev/jacinthfront/internal/link/http1"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// mediaTypeEvents is the media type of a stream of events.
const mediaTypeEvents = "text/event-stream"

const (
	streamBufferBytes = 4096
	// maxEventBytes limits the size of an event.
	maxEventBytes = 1 << 20
	// maxNonEventBytes limits the data without an event id between two events with one.
	maxNonEventBytes = 64 << 10
	// maxMeasuredIntervals and minMeasuredIntervals limit the number of event intervals
	// of a stream from which the reported median is taken.
	maxMeasuredIntervals = 10
	minMeasuredIntervals = 5
)

// statusLinePrefix begins the head of a response, and no line of an event.
var statusLinePrefix = []byte(http1.StatusLinePrefix)

var (
	errPartialEvent    = errors.New("the stream ended within an event")
	errLargeEvent      = errors.New("an event is too large")
	errMissingEventIDs = errors.New("too much data without an event id")
	errHeadInStream    = errors.New("the stream has the head of another response")
)

// forwardStream forwards the events of a response, each one as soon as it is
// complete.
func (proxyRequest *proxyRequest) forwardStream(ctx context.Context, upstream fleet.Upstream, response *http1.Response) outcome {
	reader := bufio.NewReaderSize(&watchedReader{proxyRequest, response.Body}, streamBufferBytes)
	memory := proxyRequest.relay.buffers.Reserve(upstreamOwner(upstream))
	defer memory.Release()
	var lastArrival time.Time
	nonEventBytes := 0
	proxyRequest.connection = connection{upstream, response.OpenedAt}
	if proxyRequest.resumable() {
		proxyRequest.identify()
	}
	for {
		event, err := proxyRequest.nextEvent(ctx, response, reader, memory.Grow)
		if errors.Is(err, io.EOF) {
			proxyRequest.recordHealth(upstream, true)
			proxyRequest.sendHeaders(response)
			proxyRequest.recordStreamEnd(upstream)
			proxyRequest.recordDone(response.Status)
			return outcomeAnswered
		}
		if err != nil {
			if proxyRequest.request.Context().Err() != nil || time.Now().After(proxyRequest.deadline) {
				return outcomeUnknown
			}
			if proxyRequest.brokeOffUnread(err) {
				return proxyRequest.recordUnread(err)
			}
			return proxyRequest.recordBroken(upstream, err)
		}
		if _, ok := eventID(event); ok {
			nonEventBytes = 0
		} else if nonEventBytes += len(event); nonEventBytes > maxNonEventBytes {
			return proxyRequest.recordBroken(upstream, errMissingEventIDs)
		}
		proxyRequest.recordArrival(upstream, &lastArrival)
		if err := proxyRequest.checkOrigin(ctx); err != nil {
			return proxyRequest.recordBroken(upstream, err)
		}
		if proxyRequest.isDuplicate(event) {
			continue
		}
		proxyRequest.sendHeaders(response)
		if err := proxyRequest.writeEvent(event); err != nil {
			return outcomeUnknown
		}
		memory.Release()
		proxyRequest.recordForwarded()
	}
}

// writeEvent sends an event to the caller.
func (proxyRequest *proxyRequest) writeEvent(event []byte) error {
	return proxyRequest.writeCaller(int64(len(event)), func() error {
		_, err := proxyRequest.writer.Write(event)
		if err == nil {
			proxyRequest.flush()
		}
		return err
	})
}

// nextEvent returns the next event of a response. Its errors are those of readEvent and
// checkEnd, and io.EOF only if the stream is whole.
func (proxyRequest *proxyRequest) nextEvent(ctx context.Context, response *http1.Response, reader *bufio.Reader, grow func(size int64) bool) ([]byte, error) {
	event, err := readEvent(reader, grow)
	if errors.Is(err, io.EOF) && response.Unframed {
		if err := proxyRequest.checkEnd(ctx); err != nil {
			return nil, err
		}
	}
	return event, err
}

// checkResumes returns an error if a response cannot continue the stream of which a part
// was forwarded: an error of the upstream, or something else than the first one was.
func (proxyRequest *proxyRequest) checkResumes(response *http1.Response) error {
	switch {
	case !proxyRequest.headersSent:
		return nil
	case response.Status != http.StatusOK:
		return fmt.Errorf("the stream cannot be resumed: the upstream answered %d", response.Status)
	case mediaType(response) != proxyRequest.mediaType:
		return fmt.Errorf("the stream cannot be resumed: the upstream answered with %q, not %q", mediaType(response), proxyRequest.mediaType)
	}
	return nil
}

// mediaType returns the media type of a response without parameters, or "" if it names
// none that can be read.
func mediaType(response *http1.Response) string {
	name, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return name
}

// sendHeaders forwards the headers before the first event. If an interrupted stream
// is resumed, the headers of the first response stand.
func (proxyRequest *proxyRequest) sendHeaders(response *http1.Response) {
	if proxyRequest.headersSent {
		return
	}
	proxyRequest.headersSent, proxyRequest.mediaType = true, mediaType(response)
	proxyRequest.firstEvent = time.Since(proxyRequest.started)
	proxyRequest.relay.metrics.recordFirstEvent(proxyRequest.firstEvent)
	proxyRequest.copyHeaders(response)
	proxyRequest.writer.WriteHeader(response.Status)
}

// recordArrival records when an event arrived, to measure the engine's speed.
func (proxyRequest *proxyRequest) recordArrival(upstream fleet.Upstream, last *time.Time) {
	proxyRequest.relay.callers.CheckDue()
	now := time.Now()
	proxyRequest.stage = stageEvent
	if goal := proxyRequest.route.EventGapGoal; goal > 0 && !last.IsZero() && now.Sub(*last) > goal {
		proxyRequest.countStream(upstream, true)
	}
	if last.IsZero() {
		proxyRequest.relay.latencies.recordFirstEvent(proxyRequest.route.Name, now.Sub(proxyRequest.sentAt))
	}
	switch {
	case proxyRequest.grant == 0:
	case last.IsZero():
		proxyRequest.relay.picker.RecordMeasurement(upstream.ID, admit.Measurement{RequestID: proxyRequest.grant, FirstEvent: now.Sub(proxyRequest.sentAt)})
	case len(proxyRequest.eventIntervals) < maxMeasuredIntervals:
		proxyRequest.eventIntervals = append(proxyRequest.eventIntervals, now.Sub(*last))
		if len(proxyRequest.eventIntervals) == maxMeasuredIntervals {
			proxyRequest.reportMedianInterval(upstream)
		}
	}
	*last = now
}

// recordStreamEnd reports the median event interval of a stream that ended before
// maxMeasuredIntervals were measured, and counts a stream without a long pause.
func (proxyRequest *proxyRequest) recordStreamEnd(upstream fleet.Upstream) {
	if proxyRequest.route.EventGapGoal > 0 {
		proxyRequest.countStream(upstream, false)
	}
	if len(proxyRequest.eventIntervals) >= minMeasuredIntervals && len(proxyRequest.eventIntervals) < maxMeasuredIntervals {
		proxyRequest.reportMedianInterval(upstream)
	}
}

// countStream counts a stream of an upstream once, at its first pause longer than the goal
// or at its end, so that its loader learns the share of streams with such a pause.
func (proxyRequest *proxyRequest) countStream(upstream fleet.Upstream, paused bool) {
	if !proxyRequest.streamCounted {
		proxyRequest.streamCounted = true
		proxyRequest.relay.picker.RecordStream(upstream.ID, paused)
	}
}

// reportMedianInterval reports the median event interval of a stream.
func (proxyRequest *proxyRequest) reportMedianInterval(upstream fleet.Upstream) {
	proxyRequest.relay.picker.RecordMeasurement(upstream.ID, admit.Measurement{RequestID: proxyRequest.grant, EventInterval: speed.Median(proxyRequest.eventIntervals)})
}

// recordForwarded records that an event was forwarded.
func (proxyRequest *proxyRequest) recordForwarded() {
	now := time.Now()
	if !proxyRequest.lastEventAt.IsZero() {
		proxyRequest.longestGap = max(proxyRequest.longestGap, now.Sub(proxyRequest.lastEventAt))
	}
	proxyRequest.lastEventAt = now
}

// flush sends buffered events to the caller.
func (proxyRequest *proxyRequest) flush() {
	if err := http.NewResponseController(proxyRequest.writer).Flush(); err != nil {
		proxyRequest.relay.config.Logger.Debug("relay: flush failed", logs.ErrorField(err))
	}
}

// isDuplicate reports whether the caller has an event already, and records the
// event's id if not.
func (proxyRequest *proxyRequest) isDuplicate(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		return false
	}
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseUint(proxyRequest.lastEventID, 10, 64)
	if err == nil && number <= last {
		return true
	}
	proxyRequest.lastEventID = id
	return false
}

// readEvent returns the next event with the empty line that ends it. Its error is
// io.EOF at a clean end, errPartialEvent within an event, errHeadInStream at the head of
// another response, and errLargeEvent for an event above maxEventBytes or for which grow
// finds no memory beyond buffer.Allowance.
func readEvent(reader *bufio.Reader, grow func(size int64) bool) ([]byte, error) {
	var event []byte
	for {
		// A line that is longer than the buffer is read in several parts.
		part, err := reader.ReadSlice('\n')
		startsLine := len(event) == 0 || event[len(event)-1] == '\n'
		if startsLine && bytes.HasPrefix(part, statusLinePrefix) {
			return nil, errHeadInStream
		}
		event = append(event, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, errPartialEvent
		case err != nil:
			return nil, err
		case startsLine && len(bytes.TrimRight(part, "\r\n")) == 0:
			return event, nil
		}
		if len(event) > maxEventBytes || len(event) > buffer.Allowance && !grow(int64(len(event))) {
			return nil, errLargeEvent
		}
	}
}

// checkEvents returns an error unless a body consists of whole events. Only the end of the
// last event shows that a body is whole which ends with its connection.
func checkEvents(body io.Reader) error {
	reader := bufio.NewReaderSize(body, streamBufferBytes)
	for {
		// The body holds the memory already.
		if _, err := readEvent(reader, func(int64) bool { return true }); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// eventID returns the id of an event, if it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
