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
	// MaxRecord is the largest record of the log.
	MaxRecord = 1 << 20
	// maxPageData bounds the data in one answer, apart from its last record.
	maxPageData = 3 << 20
	// maxPageRecords bounds the number of records in one answer.
	maxPageRecords = 1000
	// maxWait bounds a long poll.
	maxWait = 30 * time.Second
)

// The faults of the log.
const (
	// ModeDown cuts connections before any effect.
	ModeDown = "down"
	// ModeRefusing answers 503.
	ModeRefusing = "refusing"
	// ModeSlow delays each call.
	ModeSlow = "slow"
	// ModeLostReplies cuts the connection of an append after its effect.
	ModeLostReplies = "lost-replies"
)

// streamName is the form of a stream's name.
var streamName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)

// Record is one entry of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// page is the answer to a read.
type page struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// stream is an append-only sequence of which the oldest records expire.
type stream struct {
	first   uint64
	records []Record
	changed chan struct{}
}

// next returns the offset of the next record.
func (stream *stream) next() uint64 { return stream.first + uint64(len(stream.records)) }

// logService serves all streams.
type logService struct {
	retention time.Duration
	limiter   *rate.Limiter
	faults    *FaultInjector
	counts    *counts

	mutex   sync.Mutex
	streams map[string]*stream
}

// newLogService returns a log without records.
func newLogService(config Config, counts *counts) *logService {
	return &logService{
		retention: config.Retention,
		limiter:   rate.NewLimiter(rate.Limit(config.AppendRate), max(1, int(config.AppendRate))),
		faults:    NewFaultInjector(config.Seed, ModeDown, ModeRefusing, ModeSlow, ModeLostReplies),
		counts:    counts,
		streams:   map[string]*stream{},
	}
}

// open returns a stream without its expired records, and creates it if needed.
// The caller holds the mutex.
func (service *logService) open(name string) *stream {
	known, ok := service.streams[name]
	if !ok {
		known = &stream{changed: make(chan struct{})}
		service.streams[name] = known
	}
	oldest := time.Now().Add(-service.retention)
	expired := 0
	for expired < len(known.records) && known.records[expired].Time.Before(oldest) {
		expired++
	}
	known.first += uint64(expired)
	known.records = known.records[expired:]
	return known
}

// append adds a record and wakes the long polls.
func (service *logService) append(name string, data []byte) uint64 {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	stream := service.open(name)
	offset := stream.next()
	stream.records = append(stream.records, Record{Offset: offset, Time: time.Now(), Data: data})
	close(stream.changed)
	stream.changed = make(chan struct{})
	return offset
}

// read returns a page and a channel that is closed at the next append.
func (service *logService) read(name string, from uint64) (page, <-chan struct{}) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	stream := service.open(name)
	answer := page{First: stream.first, Next: stream.next(), Records: []Record{}}
	size := 0
	for offset := max(from, stream.first); offset < answer.Next; offset++ {
		record := stream.records[offset-stream.first]
		if len(answer.Records) == maxPageRecords || size >= maxPageData {
			break
		}
		size += len(record.Data)
		answer.Records = append(answer.Records, record)
	}
	return answer, stream.changed
}

// disturb applies the faults of calls that have had no effect yet.
func (service *logService) disturb(writer http.ResponseWriter, request *http.Request, name string) bool {
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

// serveAppend handles POST /v1/streams/NAME/records.
func (service *logService) serveAppend(writer http.ResponseWriter, request *http.Request) {
	name := request.PathValue("name")
	if !streamName.MatchString(name) {
		WriteError(writer, http.StatusBadRequest, "stream name %q; write up to 64 of a-z, 0-9 and -", name)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, MaxRecord))
	if err != nil {
		WriteError(writer, http.StatusRequestEntityTooLarge, "record: %v; the limit is %d bytes", err, MaxRecord)
		return
	}
	if !service.disturb(writer, request, name) {
		return
	}
	reservation := service.limiter.Reserve()
	if delay := reservation.Delay(); delay > 0 {
		reservation.Cancel()
		service.counts.add(&service.counts.refusedAppends, 1)
		WriteRetryableError(writer, http.StatusTooManyRequests, delay, "more than %v appends/s", service.limiter.Limit())
		return
	}
	offset := service.append(name, data)
	if _, hit := service.faults.Inject(ModeLostReplies, name); hit {
		service.counts.add(&service.counts.lostReplies, 1)
		AbortConnection()
	}
	WriteJSON(writer, map[string]uint64{"offset": offset})
}

// serveRead handles GET /v1/streams/NAME/records.
func (service *logService) serveRead(writer http.ResponseWriter, request *http.Request) {
	name := request.PathValue("name")
	from, wait, err := readQuery(request)
	if err != nil || !streamName.MatchString(name) {
		WriteError(writer, http.StatusBadRequest, "read of stream %q: %v; write ?from=OFFSET&wait-ms=MILLISECONDS", name, err)
		return
	}
	if !service.disturb(writer, request, name) {
		return
	}
	answer, changed := service.read(name, from)
	if from > answer.Next {
		WriteError(writer, http.StatusRequestedRangeNotSatisfiable, "offset %d of stream %q is beyond its end %d", from, name, answer.Next)
		return
	}
	if len(answer.Records) == 0 && wait > 0 {
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
		answer, _ = service.read(name, from)
	}
	WriteJSON(writer, answer)
}

// readQuery returns the offset and the wait of a read.
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
	return from, min(time.Duration(min(wait, uint64(maxWait/time.Millisecond)))*time.Millisecond, maxWait), nil
}
