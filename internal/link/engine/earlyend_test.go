package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// TestEarlyEnd guards against the part of a response without a length that is taken for all
// of it, as the connection was reset while the request was still being written (MIXED), and
// against responses that are whole and are not taken for that.
func TestEarlyEnd(t *testing.T) {
	const rounds = 20
	tests := []struct {
		name string
		// early means that the upstream answers and resets the connection before it reads
		// the body.
		early bool
		head  string
		whole bool
	}{
		{"no length, reset", true, "HTTP/1.1 200 OK\r\n\r\n", false},
		{"no length, body read before", false, "HTTP/1.1 200 OK\r\n\r\n", true},
		{"length, body read before", false, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", true},
	}
	for _, size := range []int{256 << 10, 4 << 20, 32 << 20} {
		upload := make([]byte, size)
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = listener.Close() }()
				go answerUploads(listener, test.head, test.early)
				taken := 0
				for range rounds {
					client := New(Config{URL: "http://" + listener.Addr().String()})
					response, err := client.CallPlain(t.Context(), PlainRequest{RequestID: "r-1", Method: http.MethodPost, Path: "/x", Body: upload})
					client.http.CloseIdleConnections()
					switch found, ok := fault.As(err); {
					case err == nil:
						taken++
						if test.whole && string(response.Body) != "text" {
							t.Errorf("body %q, want text", response.Body)
						}
					case !ok || found.Ran() == fault.NotRun:
						t.Errorf("error %v, want a fault of a request that may have run", err)
					}
				}
				if want := map[bool]int{true: rounds}[test.whole]; taken != want {
					t.Errorf("%d of %d responses to %d bytes were taken for whole, want %d", taken, rounds, size, want)
				}
			})
		}
	}
}

// answerUploads answers the first request on each connection with the body text.
func answerUploads(listener net.Listener, head string, early bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			request, err := http.ReadRequest(bufio.NewReaderSize(conn, 256))
			if err != nil {
				return
			}
			if !early {
				_, _ = io.Copy(io.Discard, request.Body)
			}
			_, _ = io.WriteString(conn, head+"text")
			if early {
				// The beginning of the response arrives before the reset.
				time.Sleep(2 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		}()
	}
}
