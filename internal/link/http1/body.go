package http1

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// writeGrace is how long after the end of an answer its request may still be
// written before the connection is given up.
const writeGrace = 10 * time.Millisecond

// body is the body of an answer. At its end the connection is kept, or closed
// if it cannot be used again.
type body struct {
	pool     *Pool
	address  string
	conn     *conn
	response *http.Response
	stop     func() bool
	written  chan error
	once     sync.Once
}

// Read implements io.Reader.
func (body *body) Read(buffer []byte) (int, error) {
	n, err := body.response.Body.Read(buffer)
	switch {
	case err == io.EOF:
		body.once.Do(body.finish)
	case err != nil:
		body.once.Do(body.abandon)
	}
	return n, err
}

func (body *body) abandon() {
	body.stop()
	body.conn.abort()
}

// finish keeps the connection if the answer has a clear end, nothing follows
// it, and the whole request was written.
func (body *body) finish() {
	alive := body.stop() && body.sent()
	idleTime := body.pool.idleTime(body.response)
	if !alive || idleTime <= 0 || body.conn.reader.Buffered() > 0 {
		_ = body.conn.Close()
		return
	}
	body.pool.put(body.address, body.conn, idleTime)
}

// sent reports whether the whole request was written. An answer may be read
// before the writing goroutine says that it is done, so that it has a moment.
func (body *body) sent() bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-body.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// idleTime returns how long the connection may be kept after an answer.
func (pool *Pool) idleTime(response *http.Response) time.Duration {
	if response.Close {
		return 0
	}
	limit := pool.config.IdleTime
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			limit = min(limit, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return limit
}
