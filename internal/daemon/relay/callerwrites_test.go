package relay

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/buffer"
	"jacinthfront.dev/jacinthfront/internal/link/http1"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// slowWriter takes a time for each write.
type slowWriter struct {
	*httptest.ResponseRecorder
	delay time.Duration
}

func (writer *slowWriter) Write(part []byte) (int, error) {
	time.Sleep(writer.delay)
	return writer.ResponseRecorder.Write(part)
}

// brokenBody is a response body that breaks off after its text and a pause.
type brokenBody struct {
	io.Reader
	pause time.Duration
}

func (body *brokenBody) Read(buffer []byte) (int, error) {
	n, err := body.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		time.Sleep(body.pause)
		err = errors.New("connection reset")
	}
	return n, err
}

// TestBrokeOffUnread guards against an upstream that is ejected since it broke off responses
// which the caller had kept the relay from reading, and against one that is not ejected
// although the relay had read all that it sent.
func TestBrokeOffUnread(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	tests := []struct {
		name         string
		streaming    bool
		delay, pause time.Duration
		text         string
		ejected      bool
	}{
		{"stream, reads at once", true, 0, 0, event, true},
		{"stream, reads late", true, 2 * time.Second, 0, event, false},
		{"stream, reads late, then waits for the upstream", true, 2 * time.Second, time.Second, event, true},
		{"stream, head of another response", true, 2 * time.Second, 0, event + "HTTP/1.1 200 OK\r\n", true},
		{"passed on, reads at once", false, 0, 0, strings.Repeat("x", 200_000), true},
		{"passed on, reads late", false, 2 * time.Second, 0, strings.Repeat("x", 200_000), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := fleet.Upstream{ID: "i-1", Service: "counter", Address: "10.0.0.5:80", StartedAt: 1000}
				relay := newListedRelay(upstream)
				relay.buffers = buffer.New(buffer.Config{Limit: 64 << 10})
				relay.config.Protocol = plainProtocol{}
				others := []fleet.Upstream{{ID: "i-2", Service: "counter"}, {ID: "i-3", Service: "counter"}, {ID: "i-4", Service: "counter"}}
				relay.health.setUpstreams(append(others, upstream))
				for range 3 {
					proxyRequest := &proxyRequest{
						relay: relay, writer: &slowWriter{httptest.NewRecorder(), test.delay}, request: httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil),
						route: &routes.Route{Streaming: test.streaming}, service: &routes.Service{}, started: time.Now(), deadline: time.Now().Add(time.Minute), active: new(activeSend),
					}
					response := &http1.Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: 400_000, Body: io.NopCloser(&brokenBody{strings.NewReader(test.text), test.pause})}
					if result := proxyRequest.forward(t.Context(), upstream, response); result != outcomeUnknown {
						t.Fatalf("outcome %d, want unknown", result)
					}
				}
				if usable := relay.health.Usable(upstream.Service, upstream.ID); usable == test.ejected {
					t.Errorf("usable: %v after three broken responses", usable)
				}
			})
		})
	}
}

// plainProtocol passes headers on.
type plainProtocol struct{ Protocol }

func (plainProtocol) CallerHeader(header http.Header) http.Header { return header }
