package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// joinedPause is the time between two writes of a response.
const joinedPause = 5 * time.Millisecond

// TestJoinedHead guards against the beginning of a copied response that gives its status
// to the response which follows it (issue 50), at each byte where the copy may break off.
func TestJoinedHead(t *testing.T) {
	const copied = "HTTP/1.1 421 Misdirected Request\r\nServer: a\r\nVia: HTTP/1.1 b\r\nContent-Length: 0\r\n\r\n"
	type result struct {
		Status int
		Broken bool
	}
	tests := []struct {
		name   string
		writes func(size int) []string
	}{
		{"at once", func(size int) []string { return []string{copied[:size] + okResponse} }},
		{"in two parts", func(size int) []string { return []string{copied[:size], okResponse} }},
		{"after an interim response", func(size int) []string {
			return []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + copied[:size] + okResponse}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for size := range len(copied) + 1 {
				want := result{Broken: true}
				switch size {
				case 0:
					want = result{Status: http.StatusOK}
				case len(copied):
					want = result{Status: http.StatusMisdirectedRequest}
				}
				var got result
				response, err := doWrites(t, test.writes(size))
				if err == nil {
					got.Status = response.Status
					_ = response.Body.Close()
				}
				got.Broken = Broken.Has(err)
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("copy of %d bytes, error %v (-want +got):\n%s", size, err, diff)
				}
			}
		})
	}
}

// doWrites sends a request to an upstream that answers with several writes, and leaves the
// connection open.
func doWrites(t *testing.T, writes []string) (*Response, error) {
	t.Helper()
	address := serveRaw(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if request, err := http.ReadRequest(reader); err != nil || request.Body.Close() != nil {
			return
		}
		for number, text := range writes {
			if number > 0 {
				time.Sleep(joinedPause)
			}
			_, _ = io.WriteString(conn, text)
		}
		_, _ = io.Copy(io.Discard, reader)
	})
	pool := New(Config{})
	t.Cleanup(pool.Close)
	return pool.Do(t.Context(), address, Request{Method: http.MethodGet, Target: "/x", Host: "a.example", Header: http.Header{}})
}
