package logsvc

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

const (
	refusedAppend  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	acceptedAppend = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":0}"
)

// TestRepeatedRefusal guards against a refusal that the log service writes again on a kept
// connection, and that is taken for a proof that a record was not appended (issue 50).
func TestRepeatedRefusal(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var refused atomic.Bool
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRepeated(conn, &refused)
		}
	}()
	client := New(Config{URL: "http://" + listener.Addr().String()})
	_, err = client.Append(t.Context(), "s", []byte("a"))
	if diff := cmp.Diff(fault.NotRun, outcomeOf(t, err).Ran); diff != "" {
		t.Errorf("whether the refused record was appended (-want +got):\n%s", diff)
	}
	if _, err = client.Append(t.Context(), "s", []byte("a")); err != nil {
		t.Errorf("a record that was appended is reported as not appended: %v", err)
	}
}

// serveRepeated serves a connection. It refuses the first append of all connections and
// accepts the others, but writes the refusal again where the next answer is due.
func serveRepeated(conn net.Conn, refused *atomic.Bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	copied := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !refused.Swap(true) {
			copied = refusedAppend
			_, _ = io.WriteString(conn, refusedAppend)
			continue
		}
		_, _ = io.WriteString(conn, copied+acceptedAppend)
	}
}
