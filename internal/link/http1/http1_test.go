package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// serveResponses answers the requests on each connection with the given texts, in
// order. After the last one it waits for the client before it closes the
// connection.
func serveResponses(t *testing.T, responses ...string) (address string, accepted *atomic.Int64) {
	t.Helper()
	accepted = new(atomic.Int64)
	address = serveRaw(t, func(conn net.Conn) {
		accepted.Add(1)
		writeResponses(conn, responses)
	})
	return address, accepted
}

func writeResponses(conn net.Conn, responses []string) {
	reader := bufio.NewReader(conn)
	for _, text := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
	// Keep the end of the connection from arriving together with the last response.
	_, _ = reader.Peek(1)
}

func post(pool *Pool, address string) (string, error) {
	response, err := pool.Do(context.Background(), address, Request{Method: "POST", Target: "/x", Host: "a.example", Header: http.Header{}, Body: [][]byte{[]byte("body")}})
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	return fmt.Sprint(response.Status, " ", string(text)), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestAnswers guards against passing on the wrong bytes as a response, and against
// reusing connections too often or too rarely.
func TestAnswers(t *testing.T) {
	tests := []struct {
		name      string
		guards    string
		responses []string
		want      []string
		// opened is the expected number of connections.
		opened int64
	}{
		{
			name: "kept connection", guards: "opening a connection for each request",
			responses: []string{okResponse, okResponse}, want: []string{"200 ok", "200 ok"}, opened: 1,
		},
		{
			name: "bytes after the response", guards: "taking bytes after a response for the next response",
			responses: []string{okResponse + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", okResponse}, want: []string{"200 ok", "200 ok"}, opened: 2,
		},
		{
			name: "connection close", guards: "sending a request on a connection that the upstream closes",
			responses: []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", okResponse}, want: []string{"200 ok", "200 ok"}, opened: 2,
		},
		{
			name: "short idle time", guards: "sending a request while the upstream closes the connection",
			responses: []string{"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", okResponse}, want: []string{"200 ok", "200 ok"}, opened: 2,
		},
		{
			name: "interim response", guards: "taking an interim response for the final one",
			responses: []string{"HTTP/1.1 100 Continue\r\n\r\n" + okResponse, okResponse}, want: []string{"200 ok", "200 ok"}, opened: 1,
		},
		{
			name: "statuses below the interim ones", guards: "taking the body of a response for the next head",
			responses: []string{"HTTP/1.1 000 Odd\r\nContent-Length: 38\r\n\r\n" + okResponse}, want: []string{"broken"}, opened: 1,
		},
		{
			name: "just below", guards: "taking the body of a response for the next head",
			responses: []string{"HTTP/1.1 099 Odd\r\n\r\n" + okResponse}, want: []string{"broken"}, opened: 1,
		},
		{
			name: "just above", guards: "passing on a response with no status of HTTP",
			responses: []string{"HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok"}, want: []string{"broken"}, opened: 1,
		},
		{
			name: "invalid response", guards: "passing on an invalid response",
			responses: []string{"garbage\r\n\r\n"}, want: []string{"broken"}, opened: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, accepted := serveResponses(t, test.responses...)
			pool := New(Config{})
			defer pool.Close()
			for _, want := range test.want {
				got, err := post(pool, address)
				if Broken.Has(err) {
					got = "broken"
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("%s: response (-want +got):\n%s", test.guards, diff)
				}
				// Give bytes that follow a response time to arrive.
				time.Sleep(10 * time.Millisecond)
			}
			if diff := cmp.Diff(test.opened, accepted.Load()); diff != "" {
				t.Errorf("%s: connections (-want +got):\n%s", test.guards, diff)
			}
		})
	}
}

// TestIdle guards against sending a request on a connection that received bytes,
// or was closed by the upstream, while it was idle.
func TestIdle(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
	tests := []struct {
		name       string
		afterwards func(conn net.Conn)
	}{
		{name: "late response", afterwards: func(conn net.Conn) { _, _ = io.WriteString(conn, late) }},
		{name: "end", afterwards: func(conn net.Conn) { _ = conn.Close() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serveRaw(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				if request, err := http.ReadRequest(reader); err != nil || request.Body.Close() != nil {
					return
				}
				_, _ = io.WriteString(conn, okResponse)
				time.Sleep(50 * time.Millisecond)
				test.afterwards(conn)
				_, _ = io.Copy(io.Discard, reader)
			})
			pool := New(Config{})
			defer pool.Close()
			for range 2 {
				if got, err := post(pool, address); err != nil || got != "200 ok" {
					t.Errorf("response %q, error %v; want 200 ok", got, err)
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
}

// TestCut guards against passing on a truncated response as complete.
func TestCut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	heads := []string{"Content-Length: 10\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n5\r\n"}
	go func() {
		for _, head := range heads {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"cut")
			_ = conn.Close()
		}
	}()
	for _, head := range heads {
		pool := New(Config{})
		if _, err := post(pool, listener.Addr().String()); err == nil {
			t.Errorf("%q: a truncated response has no error", head)
		}
	}
}

// TestAbortResets guards against an aborted request that still reaches its
// upstream because the network delayed its bytes: the connection must be reset,
// which drops them.
func TestAbortResets(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			ended <- err
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, err = reader.ReadByte()
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = New(Config{}).Do(ctx, listener.Addr().String(), Request{Method: "GET", Target: "/x", Host: "a.example", Header: http.Header{}})
	if !Broken.Has(err) {
		t.Errorf("error %v, want class Broken", err)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the upstream saw %v, want a reset", err)
	}
}

// TestNotSent guards against reporting a request that was never sent as one that
// may have run.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := post(New(Config{}), address); !NotSent.Has(err) {
		t.Errorf("error %v, want class NotSent", err)
	}
}

// TestEndlessHead guards against an upstream whose response head never ends: it
// must cost bounded memory and time, and its connection must be closed.
func TestEndlessHead(t *testing.T) {
	tests := []struct {
		name  string
		start string
		again string
		// pause is the time between two writes; 0 means writing without pause.
		pause time.Duration
	}{
		{"one line", "HTTP/1.1 200 ", "aaaaaaaaaaaaaaaa", 0},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-More: aaaaaaaaaaaaaaaa\r\n", 0},
		{"one header", "HTTP/1.1 200 OK\r\nX-More: ", "aaaaaaaaaaaaaaaa", 0},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 0},
		{"invalid bytes", "", "\x00\xff\x00\xff\x00\xff", 0},
		{"empty lines", "", "\r\n", 0},
		{"slow", "HTTP/1.1 200 OK\r\n", "X", 20 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var written atomic.Int64
			ended := make(chan struct{})
			address := serveRaw(t, func(conn net.Conn) {
				defer close(ended)
				_, _ = conn.Read(make([]byte, 1024))
				_, _ = conn.Write([]byte(test.start))
				more := []byte(test.again)
				if test.pause == 0 {
					more = bytes.Repeat(more, 200)
				}
				for {
					n, err := conn.Write(more)
					if err != nil {
						return
					}
					written.Add(int64(n))
					time.Sleep(test.pause)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			defer cancel()
			began := time.Now()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := New(Config{}).Do(ctx, address, Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}})
			runtime.ReadMemStats(&after)
			if !Broken.Has(err) {
				t.Errorf("error %v, want class Broken", err)
			}
			if took := time.Since(began); took > 800*time.Millisecond {
				t.Errorf("failed only after %v", took)
			}
			if grown := after.TotalAlloc - before.TotalAlloc; grown > 8<<20 {
				t.Errorf("%d bytes were allocated for a head", grown)
			}
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Errorf("the connection is still open after %d bytes", written.Load())
			}
		})
	}
}

// serveRaw calls serve for each connection and then closes the connection.
func serveRaw(t *testing.T, serve func(conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// TestContextEndedBefore guards against a request that is sent on an idle connection although
// its context has ended, for instance as its caller has left (GONE).
func TestContextEndedBefore(t *testing.T) {
	const rounds = 50
	refused := errors.New("refused")
	tests := []struct {
		name    string
		context func() (context.Context, context.CancelFunc)
		confirm func() error
	}{
		{"cancelled", func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			return ctx, cancel
		}, nil},
		{"deadline passed", func() (context.Context, context.CancelFunc) {
			return context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
		}, nil},
		{"not confirmed", func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 100*time.Millisecond)
		}, func() error { return refused }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var received atomic.Int64
			address := serveRaw(t, func(conn net.Conn) {
				for reader := bufio.NewReader(conn); ; received.Add(1) {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
				}
			})
			pool := New(Config{})
			defer pool.Close()
			for range rounds {
				if err := pool.Open(context.Background(), address); err != nil {
					t.Fatal(err)
				}
				ctx, cancel := test.context()
				response, err := pool.Do(ctx, address, Request{Method: "GET", Target: "/x", Host: "a.example", Confirm: test.confirm})
				cancel()
				if err == nil {
					_ = response.Body.Close()
				}
				if !NotSent.Has(err) {
					t.Fatalf("error %v, want one of class NotSent", err)
				}
			}
			time.Sleep(20 * time.Millisecond)
			if got := received.Load(); got > 0 {
				t.Errorf("%d of %d requests were sent, want none", got, rounds)
			}
			if opened, _ := pool.Stats(); opened != rounds {
				t.Errorf("%d connections opened, want %d", opened, rounds)
			}
		})
	}
}
