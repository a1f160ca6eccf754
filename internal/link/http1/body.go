package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// writeTimeout is how long after the end of a response the writing of its request
// may take before the connection is closed instead of reused.
const writeTimeout = 10 * time.Millisecond

// body is a response body. At its end the connection becomes idle, or is closed
// if it cannot be reused.
type body struct {
	pool    *Pool
	address string
	conn    *conn
	// requestID is the id of the request, empty if it has none.
	requestID string
	method    string
	response  *http.Response
	// skipped is the number of responses to other requests before this one.
	skipped int
	// stop ends the watch of the request's context. It returns false if the
	// context has already ended.
	stop    func() bool
	written *requestWrite
	once    sync.Once
}

// errUnsentRequest means that a response without a length ended before its request was
// written. A reset of the connection is reported once, to the write or to the read, so the
// read alone does not tell whether the response is whole.
var errUnsentRequest = errors.New("the connection ended before the request was written")

// requestWrite is the writing of a request.
type requestWrite struct {
	// done is closed at the end of the write, and err is then its error.
	done chan struct{}
	err  error
}

// startWrite begins to write a request.
func startWrite(writer io.Writer, request Request) *requestWrite {
	write := &requestWrite{done: make(chan struct{})}
	go func() {
		defer close(write.done)
		write.err = writeRequest(writer, request)
	}()
	return write
}

// Read implements io.Reader.
func (body *body) Read(buffer []byte) (int, error) {
	n, err := body.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) && body.endsWithConnection() {
		err = body.checkSent()
	}
	switch {
	case errors.Is(err, io.EOF):
		body.once.Do(body.release)
	case err != nil:
		body.once.Do(body.abort)
	}
	return n, err
}

// endsWithConnection reports whether nothing but the end of the connection ends the body.
func (body *body) endsWithConnection() bool {
	return isUnframed(body.response) && body.response.Body != http.NoBody
}

// checkSent returns io.EOF if the whole request was written, which it waits for: the upstream
// may read on after the end of its response. If it does not, the request's context ends the
// wait.
func (body *body) checkSent() error {
	<-body.written.done
	if body.written.err != nil {
		return fmt.Errorf("%w: %w", errUnsentRequest, body.written.err)
	}
	return io.EOF
}

func (body *body) abort() {
	body.stop()
	body.conn.abort()
}

// release returns the connection to the pool if the upstream allows its reuse, no
// bytes follow the response, the whole request was written, no response was
// skipped, and the connection remembers few refused requests. Otherwise it closes
// the connection.
func (body *body) release() {
	reusable := body.stop() && body.requestSent() && body.skipped == 0 && !body.conn.refused.full()
	idleTimeout := body.pool.idleTimeout(body.response)
	if !reusable || idleTimeout <= 0 || body.conn.reader.Buffered() > 0 {
		_ = body.conn.Close()
		return
	}
	body.conn.answered = true
	body.pool.putIdle(body.address, body.conn, idleTimeout)
}

// requestSent reports whether the whole request was written. The response may be
// read before the writing goroutine has reported its result, so requestSent
// waits up to writeTimeout for it.
func (body *body) requestSent() bool {
	timer := time.NewTimer(writeTimeout)
	defer timer.Stop()
	select {
	case <-body.written.done:
		return body.written.err == nil
	case <-timer.C:
		return false
	}
}

// idleTimeout returns how long the connection may stay idle after a response. It
// is not positive if the connection must be closed.
func (pool *Pool) idleTimeout(response *http.Response) time.Duration {
	if response.Close {
		return 0
	}
	timeout := pool.config.IdleTimeout
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			timeout = min(timeout, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return timeout
}
