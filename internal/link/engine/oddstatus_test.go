package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// TestOddStatus guards against a response with a status that is none of HTTP and is passed on,
// and against a connection that is kept after it.
func TestOddStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, call := range repeatingCalls {
			t.Run(status+"/"+call.name, func(t *testing.T) {
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
					defer func() { _ = conn.Close() }()
					reader := bufio.NewReader(conn)
					if request, err := http.ReadRequest(reader); err == nil {
						_, _ = io.Copy(io.Discard, request.Body)
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nX-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n", status)
					_, err = reader.ReadByte()
					ended <- err
				}()
				client := New(Config{URL: "http://" + listener.Addr().String()})
				got, err := call.call(t.Context(), client, "r-1")
				found, ok := fault.As(err)
				if !ok {
					t.Fatalf("status %d is passed on", got)
				}
				if diff := cmp.Diff([]any{fault.UpstreamFailed, fault.RunUnknown}, []any{found.Kind(), found.Ran()}); diff != "" {
					t.Errorf("fault (-want +got):\n%s", diff)
				}
				if err := <-ended; err == nil {
					t.Error("the connection carries another request")
				}
			})
		}
	}
}
