// Package http1 sends single HTTP/1.1 requests to upstreams over pooled
// connections. Unlike a general client it never sends a request twice, says
// whether any byte of it was sent, and takes a connection out of use as soon as
// it carries bytes that belong to no request.
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
	DefaultDialTime = 400 * time.Millisecond
	DefaultIdleTime = 4 * time.Second
	DefaultIdle     = 64
	// keepAliveMargin is how long before the upstream's announced timeout an
	// idle connection is given up, so that no request crosses its close.
	keepAliveMargin = time.Second
	readBuffer      = 4096
	// headBytes is the size of the largest head of an answer, with all
	// provisional ones before it.
	headBytes = 64 << 10
)

// errLongHead means that an upstream's head does not end.
var errLongHead = errors.New("the head of the answer is too large")

// Error classes of Do.
var (
	// NotSent means that no byte of the request was sent.
	NotSent = errs.Class("not sent")
	// Broken means that the request was sent, wholly or in part, and that no
	// answer to it came.
	Broken = errs.Class("connection broken")
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config configures a Pool. Zero values mean the defaults.
type Config struct {
	Dialer Dialer
	// DialTime is the longest time for opening a connection.
	DialTime time.Duration
	// IdleTime is how long a connection may be unused.
	IdleTime time.Duration
	// Idle is the number of unused connections kept for one address.
	Idle int
}

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the path with its query as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody makes an empty Body a body of length 0.
	HasBody bool
}

// Response is the answer of an upstream. The caller reads Body to its end or
// closes it.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body, or -1 if it is not announced.
	ContentLength int64
	Body          io.ReadCloser
}

// Pool holds connections to upstreams. Its methods may be called concurrently.
type Pool struct {
	config Config

	mutex  sync.Mutex
	idle   map[string][]*conn
	opened uint64
	reused uint64
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	// head is the number of bytes that may still be read of a head, or -1 when
	// none is read.
	head int
	// until is when the connection must not be used any more.
	until time.Time
}

// Read implements io.Reader. Within a head it fails once that is too large.
func (conn *conn) Read(buffer []byte) (int, error) {
	if conn.head < 0 {
		return conn.Conn.Read(buffer)
	}
	if conn.head == 0 {
		return 0, errLongHead
	}
	n, err := conn.Conn.Read(buffer[:min(len(buffer), conn.head)])
	conn.head -= n
	return n, err
}

// abort closes a connection with a reset, so that what was written and not yet
// delivered is dropped. A request that was given up must not arrive later.
func (conn *conn) abort() {
	if lingering, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0)
	}
	_ = conn.Close()
}

// New returns a Pool without connections.
func New(config Config) *Pool {
	if config.Dialer == nil {
		config.Dialer = NewDialer()
	}
	config.DialTime = cmp.Or(config.DialTime, DefaultDialTime)
	config.IdleTime = cmp.Or(config.IdleTime, DefaultIdleTime)
	config.Idle = cmp.Or(config.Idle, DefaultIdle)
	return &Pool{config: config, idle: make(map[string][]*conn)}
}

// Stats returns how many connections were opened, and how many requests used
// one again.
func (pool *Pool) Stats() (opened, reused uint64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.opened, pool.reused
}

// Do sends a request and returns the head of its answer. Its error is NotSent
// or Broken. When ctx ends, the connection is closed, also while the body is
// read.
func (pool *Pool) Do(ctx context.Context, address string, request Request) (*Response, error) {
	used, err := pool.get(ctx, address)
	if err != nil {
		return nil, NotSent.Wrap(err)
	}
	stop := context.AfterFunc(ctx, used.abort)
	written := make(chan error, 1)
	go func() { written <- writeRequest(used, request) }()
	// The body is closed by the caller of Do.
	used.head = headBytes
	response, err := readResponse(used.reader, request.Method) //nolint:bodyclose
	used.head = -1
	if err != nil {
		stop()
		used.abort()
		return nil, Broken.Wrap(fmt.Errorf("no answer from %s: %w", address, err))
	}
	body := &body{pool: pool, address: address, conn: used, response: response, stop: stop, written: written}
	return &Response{Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength, Body: body}, nil
}

// Close closes the unused connections.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, list := range pool.idle {
		for _, kept := range list {
			_ = kept.Close()
		}
	}
	clear(pool.idle)
}

func writeRequest(writer io.Writer, request Request) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	if err := request.Header.Write(&text); err != nil {
		return err
	}
	if request.HasBody || len(request.Body) > 0 {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(request.Body))
	}
	text.WriteString("\r\n")
	text.Write(request.Body)
	_, err := writer.Write(text.Bytes())
	return err
}

// readResponse reads the head of an answer and passes over provisional ones.
func readResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the upstream switches protocols")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// Close gives up what has not been read.
func (body *body) Close() error {
	body.once.Do(body.abandon)
	return nil
}
