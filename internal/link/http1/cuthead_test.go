package http1

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCutHead guards against an upstream that had begun to answer when its connection
// ended and counts as one that had not (review/2), and the reverse.
func TestCutHead(t *testing.T) {
	type cutHead struct {
		Begun  bool
		Status int
		Header http.Header
	}
	none := http.Header{}
	tests := []struct {
		name, sent string
		want       cutHead
	}{
		{name: "nothing"},
		{name: "one byte", sent: "H", want: cutHead{Begun: true, Header: none}},
		{name: "within the version", sent: "HTTP/1", want: cutHead{Begun: true, Header: none}},
		{name: "within the status", sent: "HTTP/1.1 20", want: cutHead{Begun: true, Header: none}},
		{name: "status line", sent: "HTTP/1.1 200 OK\r\n", want: cutHead{Begun: true, Status: 200, Header: none}},
		{name: "within a line", sent: "HTTP/1.1 503 No\r\nA: 1\r\nB: 2", want: cutHead{Begun: true, Status: 503, Header: http.Header{"A": {"1"}}}},
		{name: "before the empty line", sent: "HTTP/1.1 200 OK\r\nA: 1\r\nB: 2\r\n", want: cutHead{Begun: true, Status: 200, Header: http.Header{"A": {"1"}, "B": {"2"}}}},
		{name: "within an interim response", sent: "HTTP/1.1 103 Early"},
		{name: "after an interim response", sent: "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n"},
		{name: "interim response and one byte", sent: "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nH", want: cutHead{Begun: true, Header: none}},
		{name: "status below the interim ones", sent: "HTTP/1.1 000 Odd\r\nA: 1"},
		{name: "status above all", sent: "HTTP/1.1 60"},
		{name: "no response", sent: "garbage"},
		{name: "other protocol", sent: "SMTP/1.1 200 OK\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serveRaw(t, func(conn net.Conn) {
				_, _ = conn.Read(make([]byte, readBufferSize))
				_, _ = io.WriteString(conn, test.sent)
			})
			pool := New(Config{})
			defer pool.Close()
			_, err := post(pool, address)
			if !Broken.Has(err) {
				t.Fatalf("error %v, want class Broken", err)
			}
			var cut *CutHeadError
			var got cutHead
			if errors.As(err, &cut) {
				got = cutHead{true, cut.Status, cut.Header}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("cut head (-want +got):\n%s", diff)
			}
		})
	}
}
