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

// haltTime is how long a process stands still after it has read a request.
const haltTime = 150 * time.Millisecond

// haltingListener accepts connections whose process stands still for a moment
// after each read, as on a machine whose share of the processor is used up.
type haltingListener struct {
	net.Listener
	mutex sync.Mutex
	halts bool
}

func (listener *haltingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &haltingConn{Conn: conn, listener: listener}, nil
}

func (listener *haltingListener) set(halts bool) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.halts = halts
}

type haltingConn struct {
	net.Conn
	listener *haltingListener
}

func (conn *haltingConn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	conn.listener.mutex.Lock()
	halts := conn.listener.halts && n > 0
	conn.listener.mutex.Unlock()
	if halts {
		time.Sleep(haltTime)
	}
	return n, err
}

// TestEndIdle plays the end of hunt-e7dc-7 on ctpl-front-grown: a stopping
// instance had read requests on connections that still counted as unused, and
// closed those without an answer.
func TestEndIdle(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &haltingListener{Listener: raw}
	connections := newConnections()
	server := &http.Server{ConnState: connections.follow, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
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
	ask := func(conn net.Conn, answers *bufio.Reader, path string) error {
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
		if err := ask(conn, answers, "/first"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(20 * time.Millisecond)
	listener.set(true)
	if _, err := io.WriteString(conn, "GET /last HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(haltTime / 3)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	connections.endIdle(ctx)
	if err := server.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if err := ask(conn, answers, ""); err != nil {
		t.Errorf("a request that was read before the shutdown got no answer: %v", err)
	}
	if err := ask(unused, others, ""); err == nil {
		t.Error("an unused connection is still served")
	}
}
