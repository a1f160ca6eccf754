package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestEarlyEnd guards against the part of a response without a length that is taken for all
// of it, as the connection was reset while the request was still being written (MIXED), and
// against early responses that are whole and are not taken for that.
func TestEarlyEnd(t *testing.T) {
	const rounds = 20
	reset := func(conn *net.TCPConn, _ io.Reader) {
		_ = conn.SetLinger(0)
	}
	tests := []struct {
		name     string
		response string
		// end ends the response. The connection is closed after it.
		end   func(conn *net.TCPConn, request io.Reader)
		whole bool
	}{
		{"no length, reset", "HTTP/1.1 200 OK\r\n\r\npart", reset, false},
		{"no length, closed", "HTTP/1.1 200 OK\r\n\r\npart", func(*net.TCPConn, io.Reader) {}, false},
		{"chunked, reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", reset, false},
		{"length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", reset, false},
		{"no length, reads on", "HTTP/1.1 200 OK\r\n\r\nwhole", func(conn *net.TCPConn, request io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, request)
		}, true},
		{"no length, read before", "HTTP/1.1 200 OK\r\n\r\n", func(conn *net.TCPConn, request io.Reader) {
			_, _ = io.Copy(io.Discard, request)
			_, _ = io.WriteString(conn, "whole")
		}, true},
		{"length, reads nothing for a while", "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole", func(*net.TCPConn, io.Reader) {
			time.Sleep(50 * time.Millisecond)
		}, true},
	}
	for _, size := range []int{256 << 10, 4 << 20, 32 << 20} {
		upload := make([]byte, size)
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				address := serveRaw(t, func(conn net.Conn) {
					request, err := http.ReadRequest(bufio.NewReaderSize(conn, 256))
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, test.response)
					// The beginning of the response arrives before its end.
					time.Sleep(2 * time.Millisecond)
					test.end(conn.(*net.TCPConn), request.Body)
				})
				taken := 0
				for range rounds {
					if text, ok := sendUpload(t, address, upload); ok {
						taken++
						if test.whole && text != "whole" {
							t.Errorf("body %q, want the whole one", text)
						}
					}
				}
				if want := map[bool]int{true: rounds}[test.whole]; taken != want {
					t.Errorf("%d of %d responses to %d bytes were taken for whole, want %d", taken, rounds, size, want)
				}
			})
		}
	}
}

// sendUpload sends a request on a connection of its own, and returns the body of the response
// and whether it is whole.
func sendUpload(t *testing.T, address string, upload []byte) (text string, whole bool) {
	t.Helper()
	pool := New(Config{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, address, Request{Method: "POST", Target: "/x", Host: "a.example", Header: http.Header{}, Body: [][]byte{upload}})
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err == nil
}
