package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// pauseTime is how long a process is paused after it has read a request.
const pauseTime = 150 * time.Millisecond

// pausingListener accepts connections whose process is paused briefly after each
// read, as happens when its share of the processor is used up.
type pausingListener struct {
	net.Listener
	mutex  sync.Mutex
	pauses bool
}

func (pausingListener *pausingListener) Accept() (net.Conn, error) {
	conn, err := pausingListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{Conn: conn, listener: pausingListener}, nil
}

func (pausingListener *pausingListener) set(pauses bool) {
	pausingListener.mutex.Lock()
	defer pausingListener.mutex.Unlock()
	pausingListener.pauses = pauses
}

type pausingConn struct {
	net.Conn
	listener *pausingListener
}

func (pausingConn *pausingConn) Read(buffer []byte) (int, error) {
	n, err := pausingConn.Conn.Read(buffer)
	pausingConn.listener.mutex.Lock()
	pauses := pausingConn.listener.pauses && n > 0
	pausingConn.listener.mutex.Unlock()
	if pauses {
		time.Sleep(pauseTime)
	}
	return n, err
}

// TestDrainIdleConnections guards against requests that get no response at a shutdown: the
// instance has read them on connections that still count as idle, and closes these
// connections.
func TestDrainIdleConnections(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &pausingListener{Listener: raw}
	connections := newIdleConnections()
	server := &http.Server{ConnState: connections.trackState, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/last" {
			writer.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(writer, "answer")
	})}
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	unused, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unused.Close() }()
	answers, others := bufio.NewReader(conn), bufio.NewReader(unused)
	get := func(conn net.Conn, answers *bufio.Reader, path string) error {
		if path != "" {
			if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
				return err
			}
		}
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.ReadAll(response.Body)
		return err
	}
	for conn, answers := range map[net.Conn]*bufio.Reader{conn: answers, unused: others} {
		if err := get(conn, answers, "/first"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(20 * time.Millisecond)
	listener.set(true)
	if _, err := io.WriteString(conn, "GET /last HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(pauseTime / 3)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	connections.drain(ctx)
	if err := server.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if err := get(conn, answers, ""); err != nil {
		t.Errorf("a request that was read before the shutdown got no response: %v", err)
	}
	if err := get(unused, others, ""); err == nil {
		t.Error("an idle connection is still served")
	}
}
