package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/flow/stall"
	"jacinthfront.dev/jacinthfront/internal/link/depart"
)

const (
	// longWrite is how long a write to a caller takes at least for which an upstream may
	// end its response, as it is not read meanwhile.
	longWrite = 400 * time.Millisecond
	// caughtUpWait is how long a read waits at least that shows that all was read which
	// the upstream had sent.
	caughtUpWait = 50 * time.Millisecond
)

// errCallerStalled is the cause with which the sends of requests are cancelled whose
// callers do not read.
var errCallerStalled = errors.New("the caller does not read")

// callerWrite is a write to a caller that is under way.
type callerWrite struct {
	request *proxyRequest
	conn    net.Conn
	// held is how many bytes are held for the caller, and kernelHeld those that the kernel
	// holds beside them.
	held       int64
	kernelHeld int64
	begun      time.Time
	// acknowledged is how many bytes the caller's kernel had acknowledged at readAt, when
	// it last acknowledged any.
	acknowledged uint64
	readAt       time.Time
}

// callerWrites holds the writes to callers.
type callerWrites struct {
	limits stall.Config
	mutex  sync.Mutex
	writes map[*callerWrite]bool
}

func newCallerWrites(limits stall.Config) *callerWrites {
	return &callerWrites{limits: limits.WithDefaults(), writes: make(map[*callerWrite]bool)}
}

// begin records that a write to the caller of a request begins, and returns a function
// that records its end.
func (callerWrites *callerWrites) begin(request *proxyRequest, held int64) (end func()) {
	now := time.Now()
	write := &callerWrite{request: request, conn: depart.Conn(request.request.Context()), held: held, begun: now, readAt: now}
	callerWrites.mutex.Lock()
	defer callerWrites.mutex.Unlock()
	callerWrites.writes[write] = true
	return func() {
		callerWrites.mutex.Lock()
		defer callerWrites.mutex.Unlock()
		delete(callerWrites.writes, write)
	}
}

// update records what the caller has read.
func (write *callerWrite) update(now time.Time) {
	acknowledged, held := sendState(write.conn)
	if acknowledged != write.acknowledged {
		write.acknowledged, write.readAt = acknowledged, now
	}
	write.kernelHeld = held
}

// caller returns the state of the write for the decision whether to end it.
func (write *callerWrite) caller(now time.Time) stall.Caller {
	return stall.Caller{Held: write.held + write.kernelHeld, Unread: now.Sub(write.readAt), Writing: now.Sub(write.begun)}
}

// resetStalled resets the connections of the writes to end, and returns these. It leaves
// writes that have just begun, so that those to callers that keep up cost nothing. A write
// does not end meanwhile, so no other request uses its connection.
func (callerWrites *callerWrites) resetStalled() (stalled []*callerWrite) {
	callerWrites.mutex.Lock()
	defer callerWrites.mutex.Unlock()
	now := time.Now()
	var writes []*callerWrite
	var callers []stall.Caller
	for write := range callerWrites.writes {
		if write.conn == nil || now.Sub(write.begun) < expireInterval {
			continue
		}
		write.update(now)
		writes, callers = append(writes, write), append(callers, write.caller(now))
	}
	for _, i := range callerWrites.limits.Select(callers) {
		stalled = append(stalled, writes[i])
		writes[i].request.stalled.Store(true)
		resetConn(writes[i].conn)
		delete(callerWrites.writes, writes[i])
	}
	return stalled
}

// held returns how many bytes are held for callers whose writes take long, and the number
// of these callers.
func (callerWrites *callerWrites) held() (bytes int64, callers int) {
	callerWrites.mutex.Lock()
	defer callerWrites.mutex.Unlock()
	for write := range callerWrites.writes {
		if time.Since(write.begun) >= longWrite {
			bytes += write.held + write.kernelHeld
			callers++
		}
	}
	return bytes, callers
}

// endStalled ends the responses whose callers do not read, and cancels their sends, for
// which no upstream is to blame.
func (relay *Relay) endStalled() {
	for _, write := range relay.callerWrites.resetStalled() {
		relay.metrics.increment("callers-stalled")
		caller := write.caller(time.Now())
		relay.config.Logger.Info("relay: caller does not read", zap.String("request", write.request.info.ID),
			zap.Int64("held", caller.Held), zap.Duration("unread", caller.Unread), zap.Duration("writing", caller.Writing))
		relay.activeSends.cancel(errCallerStalled, func(send *activeSend) bool { return send.request == write.request })
	}
}

// writeCaller writes a part of a response to the caller. Meanwhile size bytes of the response are
// held beside the request.
func (proxyRequest *proxyRequest) writeCaller(size int64, write func() error) error {
	began := time.Now()
	end := proxyRequest.relay.callerWrites.begin(proxyRequest, size+proxyRequest.bodySize())
	err := write()
	end()
	if time.Since(began) >= longWrite {
		proxyRequest.behind = true
	}
	return err
}

// bodySize returns the size of the request's body.
func (proxyRequest *proxyRequest) bodySize() int64 {
	if proxyRequest.body == nil {
		return 0
	}
	return proxyRequest.body.Size()
}

// callerWriter writes a response to a caller. Its Write has held bytes of the response in
// memory beside those that it writes.
type callerWriter struct {
	request *proxyRequest
	held    int64
}

// Write implements io.Writer.
func (callerWriter *callerWriter) Write(part []byte) (n int, err error) {
	err = callerWriter.request.writeCaller(callerWriter.held+int64(len(part)), func() error {
		n, err = callerWriter.request.writer.Write(part)
		return err
	})
	return n, err
}

// watchedReader records the reads of a response.
type watchedReader struct {
	request *proxyRequest
	reader  io.Reader
}

// Read implements io.Reader.
func (watchedReader *watchedReader) Read(buffer []byte) (int, error) {
	defer watchedReader.request.recordRead(time.Now())
	return watchedReader.reader.Read(buffer)
}

// brokeOffUnread reports whether an upstream may have broken off a response because the
// caller had kept this instance from reading it.
func (proxyRequest *proxyRequest) brokeOffUnread(err error) bool {
	return proxyRequest.behind && !errors.Is(err, errLargeEvent) && !errors.Is(err, errHeadInStream)
}

// recordUnread records a response that an upstream broke off, for which it is not to blame.
func (proxyRequest *proxyRequest) recordUnread(err error) outcome {
	proxyRequest.relay.metrics.increment("broken-unread")
	proxyRequest.log("relay: response broke off while its caller did not read", logs.ErrorField(err))
	return outcomeUnknown
}

// recordRead records a read of a response that began at a time. One that waited for the
// upstream shows that nothing was left unread.
func (proxyRequest *proxyRequest) recordRead(began time.Time) {
	if time.Since(began) >= caughtUpWait {
		proxyRequest.behind = false
	}
}
