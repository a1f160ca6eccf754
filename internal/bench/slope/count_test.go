package slope

import (
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCountedConn guards against traffic that is counted for a wrong kind.
func TestCountedConn(t *testing.T) {
	const answer = "four"
	tests := []struct {
		name   string
		writes []string
		want   map[flowKey]flow
	}{
		{
			"exchanges of two kinds on one connection",
			[]string{"GET /v1/instances?since=1 HTTP/1.1", "GET /v1/streams/config/records?from=1 HTTP/1.1"},
			map[flowKey]flow{
				{"a:1", kindList}: {sent: 34, received: 4, calls: 1, dials: 1},
				{"a:1", kindLog}:  {sent: 46, received: 4, calls: 1},
			},
		},
		{
			"later writes belong to the exchange",
			[]string{"\x0a\x01/wirepb.Side/Draw", "more"},
			map[flowKey]flow{{"a:1", kindDraw}: {sent: 23, received: 8, calls: 1, dials: 1}},
		},
		{
			"unknown",
			[]string{"hello"},
			map[flowKey]flow{{"a:1", kindOther}: {sent: 5, received: 4}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			near, far := net.Pipe()
			counter := newCounter()
			conn := counter.wrap(near, "a:1")
			go func() {
				buffer := make([]byte, 256)
				for range test.writes {
					_, _ = far.Read(buffer)
					_, _ = io.WriteString(far, answer)
				}
			}()
			for _, text := range test.writes {
				if _, err := io.WriteString(conn, text); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(conn, make([]byte, len(answer))); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(test.want, counter.take(), cmp.AllowUnexported(flow{}, flowKey{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}
