package slope

import (
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCountedConn guards against traffic counted for the wrong kind of exchange.
func TestCountedConn(t *testing.T) {
	const response = "four"
	tests := []struct {
		name   string
		writes []string
		want   map[trafficKey]trafficCount
	}{
		{
			"exchanges of two kinds on one connection",
			[]string{"GET /v1/instances?since=1 HTTP/1.1", "GET /v1/streams/config/records?from=1 HTTP/1.1"},
			map[trafficKey]trafficCount{
				{"a:1", kindList}: {sent: 34, received: 4, calls: 1, dials: 1},
				{"a:1", kindLog}:  {sent: 46, received: 4, calls: 1},
			},
		},
		{
			"later writes belong to the exchange",
			[]string{"\x0a\x01/wirepb.Side/Draw", "more"},
			map[trafficKey]trafficCount{{"a:1", kindDraw}: {sent: 23, received: 8, calls: 1, dials: 1}},
		},
		{
			"unknown",
			[]string{"hello"},
			map[trafficKey]trafficCount{{"a:1", kindOther}: {sent: 5, received: 4}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, server := net.Pipe()
			counter := newCounter()
			conn := counter.wrap(client, "a:1")
			go func() {
				buffer := make([]byte, 256)
				for range test.writes {
					_, _ = server.Read(buffer)
					_, _ = io.WriteString(server, response)
				}
			}()
			for _, text := range test.writes {
				if _, err := io.WriteString(conn, text); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(conn, make([]byte, len(response))); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(test.want, counter.takeCounts(), cmp.AllowUnexported(trafficCount{}, trafficKey{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}
