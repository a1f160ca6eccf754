// Package http1 is an HTTP/1.1 client with a connection pool for requests to
// upstreams. Unlike net/http it never resends a request, reports whether any byte
// of a request was sent, and closes an idle connection that has received bytes
// which belong to no request.
//
// A faulty upstream may write a refusal of a request a second time, where the answer to a
// later request on the connection is due. If that is the refused request itself, sent once
// more, the copy cannot be told from an answer. Hence a connection that has refused a
// request (Response.MarkRefused) never carries a request with that id again, whatever
// leads to its address: a refusal that bears the id of the request under way is its own.
package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Defaults of Config.
const (
	DefaultDialTimeout = 400 * time.Millisecond
	DefaultIdleTimeout = 4 * time.Second
	DefaultMaxIdle     = 64
	// keepAliveMargin is how long before the timeout that the upstream announces
	// in Keep-Alive an idle connection expires, so that no request is sent while
	// the upstream closes the connection.
	keepAliveMargin = time.Second
	readBufferSize  = 4096
	// maxJoinedSize is the size of the parts of a body, in bytes, that are written together
	// with the head.
	maxJoinedSize = 16 << 10
	// maxHeadSize bounds the status line and header of a response together with
	// the interim (1xx) responses before it, in bytes.
	maxHeadSize = 64 << 10
	// maxStatus is the highest status of a response.
	maxStatus = 599
)

// errHeadTooLarge means that a response head exceeds maxHeadSize.
var errHeadTooLarge = errors.New("response head too large")

// Error classes of Do.
var (
	// NotSent means that no byte of the request was sent.
	NotSent = errs.Class("not sent")
	// Broken means that the request was sent at least in part and that no whole
	// response head was received. If a part of it was, the error is a CutHeadError.
	Broken = errs.Class("connection broken")
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config configures a Pool. Zero values mean the defaults.
type Config struct {
	Dialer Dialer
	// DialTimeout bounds the time for opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections for each address.
	MaxIdle int
}

// Request is a request to an upstream.
type Request struct {
	// ID is equal for a request and its repeats, and names it in responses. It is not sent.
	// A request without an ID is sent on no connection that has refused a request.
	ID     string
	Method string
	// Target is the path with its query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	// Body is the body in parts.
	Body [][]byte
	// HasBody makes an empty Body a body with Content-Length 0.
	HasBody bool
	// Confirm is called directly before the request is written, unless it is nil. If it
	// returns an error, the request is not sent.
	Confirm func() error
	// OnLeave registers a function that aborts the exchange when the request's caller leaves.
	// Unlike the end of the context, which starts a goroutine, it has the function called at
	// once. It may be nil. stop withdraws the function, and returns false if it was called.
	OnLeave func(abort func()) (stop func() bool)
}

// abortWith has abort called when ctx ends or the caller leaves, until stop is called.
// stop returns false if abort was called.
func (request Request) abortWith(ctx context.Context, abort func()) (stop func() bool) {
	stopContext := context.AfterFunc(ctx, abort)
	if request.OnLeave == nil {
		return stopContext
	}
	stopLeave := request.OnLeave(abort)
	return func() bool {
		left := !stopLeave()
		return stopContext() && !left
	}
}

// confirm returns an error if the request must not be sent any more.
func (request Request) confirm(ctx context.Context) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if request.Confirm != nil {
		return request.Confirm()
	}
	return nil
}

// Response is the response of an upstream. The caller must read Body to its end
// or close it.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body, or -1 if it is not announced.
	ContentLength int64
	// Unframed means that the body ends with the connection: it has neither a length nor
	// chunks.
	Unframed bool
	// Reused means that the connection has had a response to an earlier request, or one
	// that was skipped. A faulty upstream may have written that again.
	Reused bool
	// OpenedAt is when the connection was opened.
	OpenedAt time.Time
	Body     io.ReadCloser

	body *body
}

// Pool holds connections to upstreams. Its methods may be called concurrently.
type Pool struct {
	config Config

	mutex  sync.Mutex
	idle   map[string][]*conn
	opened uint64
	reused uint64
}

// conn is a connection with its read buffer.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// headRemaining is the number of bytes that may still be read of a response
	// head, or -1 while no head is read.
	headRemaining int
	// prefix is what was received of the head that is read.
	prefix headPrefix
	// openedAt is when the connection was opened.
	openedAt time.Time
	// expiresAt is when the idle connection must no longer be used.
	expiresAt time.Time
	// answered means that a response was read to its end.
	answered bool
	// refused holds the requests that the connection has refused.
	refused refusedRequests
}

// Read implements io.Reader. It fails once a response head is too large.
func (conn *conn) Read(buffer []byte) (int, error) {
	if conn.headRemaining < 0 {
		return conn.Conn.Read(buffer)
	}
	if conn.headRemaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := conn.Conn.Read(buffer[:min(len(buffer), conn.headRemaining)])
	conn.headRemaining -= n
	if n > 0 {
		conn.prefix.add(buffer[:n])
	}
	return n, err
}

// readResponse reads the head of the final response and skips interim ones.
func (conn *conn) readResponse(method string) (*http.Response, error) {
	conn.headRemaining, conn.prefix = maxHeadSize, headPrefix{bytes: conn.prefix.bytes[:0]}
	// After a skipped response, the beginning of the head may have been received already.
	if received, _ := conn.reader.Peek(conn.reader.Buffered()); len(received) > 0 {
		conn.prefix.add(received)
	}
	defer func() { conn.headRemaining = -1 }()
	for {
		start := conn.prefix.received - conn.reader.Buffered()
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, conn.prefix.cutHead(start, err)
		}
		if isJoinedHead(response) {
			return nil, errJoinedHead
		}
		switch status := response.StatusCode; {
		case status == http.StatusSwitchingProtocols:
			return nil, errors.New("unexpected status 101 Switching Protocols")
		case status < http.StatusContinue, status > maxStatus:
			// What follows may be its body, which must not be read as the next head.
			return nil, fmt.Errorf("unexpected status %03d", status)
		case status >= http.StatusOK:
			return response, nil
		}
	}
}

// abort closes a connection with a reset, which drops bytes that were written and
// not yet delivered: an aborted request must not reach the upstream later.
func (conn *conn) abort() {
	if lingerer, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
	_ = conn.Close()
}

// New returns a Pool without connections.
func New(config Config) *Pool {
	if config.Dialer == nil {
		config.Dialer = NewDialer()
	}
	config.DialTimeout = cmp.Or(config.DialTimeout, DefaultDialTimeout)
	config.IdleTimeout = cmp.Or(config.IdleTimeout, DefaultIdleTimeout)
	config.MaxIdle = cmp.Or(config.MaxIdle, DefaultMaxIdle)
	return &Pool{config: config, idle: make(map[string][]*conn)}
}

// Stats returns the number of connections opened and the number of requests
// that reused one.
func (pool *Pool) Stats() (opened, reused uint64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.opened, pool.reused
}

// Do sends a request and reads the head of its response. Its errors are of class
// NotSent or Broken. If ctx has ended once there is a connection, nothing is sent. If it
// ends before the body is read to its end, the connection is aborted.
func (pool *Pool) Do(ctx context.Context, address string, request Request) (*Response, error) {
	conn, err := pool.acquire(ctx, address, request.ID)
	if err != nil {
		return nil, NotSent.Wrap(err)
	}
	if err := request.confirm(ctx); err != nil {
		pool.putBack(address, conn)
		return nil, NotSent.Wrap(err)
	}
	stop := request.abortWith(ctx, conn.abort)
	written := startWrite(conn, request)
	// The caller of Do closes the body.
	response, err := conn.readResponse(request.Method) //nolint:bodyclose
	if err != nil {
		stop()
		conn.abort()
		return nil, Broken.Wrap(fmt.Errorf("no response from %s: %w", address, err))
	}
	body := &body{
		pool: pool, address: address, conn: conn, requestID: request.ID, method: request.Method,
		response: response, stop: stop, written: written,
	}
	return body.newResponse(), nil
}

// Open opens a connection to an address and keeps it for later requests. Its errors are
// of class NotSent.
func (pool *Pool) Open(ctx context.Context, address string) error {
	conn, err := pool.dial(ctx, address)
	if err != nil {
		return NotSent.Wrap(err)
	}
	pool.putIdle(address, conn, pool.config.IdleTimeout)
	return nil
}

// Close closes the idle connections.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, list := range pool.idle {
		for _, conn := range list {
			_ = conn.Close()
		}
	}
	clear(pool.idle)
}

// writeRequest writes a request, a small one by a single call.
func writeRequest(writer io.Writer, request Request) error {
	size := 0
	for _, part := range request.Body {
		size += len(part)
	}
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	if err := request.Header.Write(&buffer); err != nil {
		return err
	}
	if request.HasBody || size > 0 {
		fmt.Fprintf(&buffer, "Content-Length: %d\r\n", size)
	}
	buffer.WriteString("\r\n")
	parts := request.Body
	for len(parts) > 0 && len(parts[0]) <= maxJoinedSize {
		buffer.Write(parts[0])
		parts = parts[1:]
	}
	if _, err := writer.Write(buffer.Bytes()); err != nil {
		return err
	}
	for _, part := range parts {
		if _, err := writer.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// Close aborts the connection unless the body was read to its end.
func (body *body) Close() error {
	body.once.Do(body.abort)
	return nil
}
