// Package hop sends single HTTP/1.1 requests to upstreams over pooled
// connections. Unlike a general client it never sends a request twice, says
// whether any byte of it was sent, and takes a connection out of use as soon as
// it carries bytes that belong to no request.
package hop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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
)

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
	// Length is the length of the body, or -1 if it is not announced.
	Length int64
	Body   io.ReadCloser
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
	// until is when the connection must not be used any more.
	until time.Time
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
	if config.DialTime == 0 {
		config.DialTime = DefaultDialTime
	}
	if config.IdleTime == 0 {
		config.IdleTime = DefaultIdleTime
	}
	if config.Idle == 0 {
		config.Idle = DefaultIdle
	}
	return &Pool{config: config, idle: make(map[string][]*conn)}
}

// Opened returns how many connections were opened, and how many requests used
// one again.
func (pool *Pool) Opened() (opened, reused uint64) {
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
	response, err := readResponse(used.reader, request.Method) //nolint:bodyclose
	if err != nil {
		stop()
		used.abort()
		return nil, Broken.Wrap(fmt.Errorf("no answer from %s: %w", address, err))
	}
	body := &body{pool: pool, address: address, conn: used, response: response, stop: stop, written: written}
	return &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: body}, nil
}

// get returns an unused connection that is still sound, or a new one.
func (pool *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		found := pool.take(address)
		if found == nil {
			return pool.dial(ctx, address)
		}
		if time.Now().Before(found.until) && quiet(found) {
			return found, nil
		}
		_ = found.Close()
	}
}

func (pool *Pool) take(address string) *conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	list := pool.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	pool.idle[address] = list[:len(list)-1]
	pool.reused++
	return last
}

func (pool *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, pool.config.DialTime)
	defer cancel()
	opened, err := pool.config.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	pool.mutex.Lock()
	pool.opened++
	pool.mutex.Unlock()
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer)}, nil
}

// put keeps a connection for later, unless too many are kept already.
func (pool *Pool) put(address string, used *conn, idleTime time.Duration) {
	used.until = time.Now().Add(idleTime)
	pool.mutex.Lock()
	list := pool.idle[address]
	kept := len(list) < pool.config.Idle
	if kept {
		pool.idle[address] = append(list, used)
	}
	pool.mutex.Unlock()
	if !kept {
		_ = used.Close()
	}
}

// Trim closes the connections whose time has passed.
func (pool *Pool) Trim() {
	now := time.Now()
	var old []*conn
	pool.mutex.Lock()
	for address, list := range pool.idle {
		keep := list[:0]
		for _, kept := range list {
			if now.Before(kept.until) {
				keep = append(keep, kept)
			} else {
				old = append(old, kept)
			}
		}
		if len(keep) == 0 {
			delete(pool.idle, address)
		} else {
			pool.idle[address] = keep
		}
	}
	pool.mutex.Unlock()
	for _, closing := range old {
		_ = closing.Close()
	}
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

// Close gives up what has not been read.
func (body *body) Close() error {
	body.once.Do(body.abandon)
	return nil
}

func (body *body) abandon() {
	body.stop()
	body.conn.abort()
}

// finish keeps the connection if the answer has a clear end, nothing follows
// it, and the whole request was written before it came.
func (body *body) finish() {
	alive := body.stop()
	idleTime := body.pool.idleTime(body.response)
	select {
	case err := <-body.written:
		alive = alive && err == nil
	default:
		alive = false
	}
	if !alive || idleTime <= 0 || body.conn.reader.Buffered() > 0 {
		_ = body.conn.Close()
		return
	}
	body.pool.put(body.address, body.conn, idleTime)
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
