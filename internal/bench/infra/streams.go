package infra

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxRecordBytes is the maximum size of a log record in bytes.
	MaxRecordBytes = 1 << 20
	// maxPageBytes bounds the record data in one page, without its last record.
	maxPageBytes = 3 << 20
	// maxPageRecords bounds the number of records in one page.
	maxPageRecords = 1000
	// maxPollWait bounds the wait of a long poll.
	maxPollWait = 30 * time.Second
)

// The fault modes of the log. ModeDown, ModeRefusing and ModeSlow are also modes
// of the weight store and the instance list.
const (
	// ModeDown aborts the connection of a call before it takes effect.
	ModeDown = "down"
	// ModeRefusing responds with status 503.
	ModeRefusing = "refusing"
	// ModeSlow delays each call.
	ModeSlow = "slow"
	// ModeLostReplies aborts the connection of an append after it took effect.
	ModeLostReplies = "lost-replies"
)

// streamName matches valid stream names.
var streamName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)

// Record is one entry of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// page is the response to a read: some records, the offset of the oldest record
// that has not expired, and the offset of the next append.
type page struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// stream is an append-only sequence of records. The oldest records expire; first
// is the offset of the oldest one left. The next append closes changed.
type stream struct {
	first   uint64
	records []Record
	changed chan struct{}
}

// next returns the offset of the next append.
func (stream *stream) next() uint64 { return stream.first + uint64(len(stream.records)) }

// logService simulates the platform's log service.
type logService struct {
	retention time.Duration
	limiter   *rate.Limiter
	faults    *FaultInjector
	counters  *counters

	mutex   sync.Mutex
	streams map[string]*stream
}

// newLogService returns a log service without streams.
func newLogService(config Config, counters *counters) *logService {
	return &logService{
		retention: config.Retention,
		limiter:   rate.NewLimiter(rate.Limit(config.AppendRate), max(1, int(config.AppendRate))),
		faults:    NewFaultInjector(config.Seed, ModeDown, ModeRefusing, ModeSlow, ModeLostReplies),
		counters:  counters,
		streams:   map[string]*stream{},
	}
}

// openStream returns a stream without its expired records, and creates it if needed.
// The caller holds the mutex.
func (service *logService) openStream(name string) *stream {
	existing, ok := service.streams[name]
	if !ok {
		existing = &stream{changed: make(chan struct{})}
		service.streams[name] = existing
	}
	oldest := time.Now().Add(-service.retention)
	expired := 0
	for expired < len(existing.records) && existing.records[expired].Time.Before(oldest) {
		expired++
	}
	existing.first += uint64(expired)
	existing.records = existing.records[expired:]
	return existing
}

// append adds a record, wakes the long polls and returns the record's offset.
func (service *logService) append(name string, data []byte) uint64 {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	stream := service.openStream(name)
	offset := stream.next()
	stream.records = append(stream.records, Record{Offset: offset, Time: time.Now(), Data: data})
	close(stream.changed)
	stream.changed = make(chan struct{})
	return offset
}

// readPage returns the records from an offset on and a channel that the next
// append closes.
func (service *logService) readPage(name string, from uint64) (page, <-chan struct{}) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	stream := service.openStream(name)
	result := page{First: stream.first, Next: stream.next(), Records: []Record{}}
	size := 0
	for offset := max(from, stream.first); offset < result.Next; offset++ {
		record := stream.records[offset-stream.first]
		if len(result.Records) == maxPageRecords || size >= maxPageBytes {
			break
		}
		size += len(record.Data)
		result.Records = append(result.Records, record)
	}
	return result, stream.changed
}

// injectFaults applies the faults that act before a call takes effect, and reports
// whether the call may proceed.
func (service *logService) injectFaults(writer http.ResponseWriter, request *http.Request, name string) bool {
	if _, hit := service.faults.Inject(ModeDown, name); hit {
		AbortConnection()
	}
	if _, hit := service.faults.Inject(ModeRefusing, name); hit {
		WriteRetryableError(writer, http.StatusServiceUnavailable, time.Second, "the log is unavailable")
		return false
	}
	if fault, hit := service.faults.Inject(ModeSlow, name); hit {
		return Pause(request, time.Duration(fault.Delay))
	}
	return true
}

// serveAppend handles POST /v1/streams/NAME/records, which appends the body.
func (service *logService) serveAppend(writer http.ResponseWriter, request *http.Request) {
	name := request.PathValue("name")
	if !streamName.MatchString(name) {
		WriteError(writer, http.StatusBadRequest, "stream name %q; write up to 64 of a-z, 0-9 and -", name)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, MaxRecordBytes))
	if err != nil {
		WriteError(writer, http.StatusRequestEntityTooLarge, "record: %v; the limit is %d bytes", err, MaxRecordBytes)
		return
	}
	if !service.injectFaults(writer, request, name) {
		return
	}
	reservation := service.limiter.Reserve()
	if delay := reservation.Delay(); delay > 0 {
		reservation.Cancel()
		service.counters.increment(&service.counters.refusedAppends, 1)
		WriteRetryableError(writer, http.StatusTooManyRequests, delay, "more than %v appends/s", service.limiter.Limit())
		return
	}
	offset := service.append(name, data)
	if _, hit := service.faults.Inject(ModeLostReplies, name); hit {
		service.counters.increment(&service.counters.lostReplies, 1)
		AbortConnection()
	}
	WriteJSON(writer, map[string]uint64{"offset": offset})
}

// serveRead handles GET /v1/streams/NAME/records?from=OFFSET&wait-ms=MILLISECONDS.
// If there are no records yet, it waits for the next append.
func (service *logService) serveRead(writer http.ResponseWriter, request *http.Request) {
	name := request.PathValue("name")
	from, wait, err := readQuery(request)
	if err != nil || !streamName.MatchString(name) {
		WriteError(writer, http.StatusBadRequest, "read of stream %q: %v; write ?from=OFFSET&wait-ms=MILLISECONDS", name, err)
		return
	}
	if !service.injectFaults(writer, request, name) {
		return
	}
	result, changed := service.readPage(name, from)
	if from > result.Next {
		WriteError(writer, http.StatusRequestedRangeNotSatisfiable, "offset %d of stream %q is beyond its end %d", from, name, result.Next)
		return
	}
	if len(result.Records) == 0 && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-request.Context().Done():
			return
		}
		if _, hit := service.faults.Inject(ModeDown, name); hit {
			AbortConnection()
		}
		result, _ = service.readPage(name, from)
	}
	WriteJSON(writer, result)
}

// readQuery returns the offset and the maximum wait of a read. The wait is capped
// at maxPollWait.
func readQuery(request *http.Request) (uint64, time.Duration, error) {
	query := request.URL.Query()
	var from, wait uint64
	for name, value := range map[string]*uint64{"from": &from, "wait-ms": &wait} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		number, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return 0, 0, fmt.Errorf("%s=%q is not a number", name, text)
		}
		*value = number
	}
	return from, min(time.Duration(min(wait, uint64(maxPollWait/time.Millisecond)))*time.Millisecond, maxPollWait), nil
}
