package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"jacinthfront.dev/jacinthfront/internal/link/depart"
	"jacinthfront.dev/jacinthfront/internal/link/http1"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// connPair returns the two ends of a connection.
func connPair(t *testing.T) (caller, accepted *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err = net.DialTCP("tcp", nil, listener.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	if accepted, err = listener.AcceptTCP(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = caller.Close()
		_ = accepted.Close()
	})
	return caller, accepted
}

// newSendableRequest returns a request that may be sent to a server as its upstream, and the
// caller's end of its connection. Its context does not end by itself, as that of a request
// whose server has not noticed that the caller has left. The server is closed with the test.
func newSendableRequest(t *testing.T, server *httptest.Server) (caller *net.TCPConn, request *proxyRequest, upstream fleet.Upstream) {
	t.Helper()
	upstream = fleet.Upstream{ID: "i-1", Service: "counter", Address: strings.TrimPrefix(server.URL, "http://"), StartedAt: 1000}
	relay := newListedRelay(upstream)
	relay.config.Protocol, relay.config.Pool = namelessProtocol{}, http1.New(http1.Config{})
	caller, accepted := connPair(t)
	ctx := depart.WithConn(t.Context(), accepted)
	request = newProxyRequest(relay, httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil))
	request.route, request.service = &routes.Route{MaxAttempts: 2}, &routes.Service{}
	request.body, request.deadline = relay.buffers.NewBuffer("a"), time.Now().Add(time.Minute)
	t.Cleanup(func() {
		request.end()
		relay.config.Pool.Close()
		server.Close()
	})
	return caller, request, upstream
}

// TestSendAfterDeparture guards against a request that is sent to an upstream although its
// caller has closed its connection, if the server has not noticed that yet (GONE).
func TestSendAfterDeparture(t *testing.T) {
	tests := []struct {
		name string
		act  func(caller *net.TCPConn)
		left bool
	}{
		{"waits", func(*net.TCPConn) {}, false},
		{"sends its next request", func(caller *net.TCPConn) { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n") }, false},
		{"leaves", func(caller *net.TCPConn) { _ = caller.Close() }, true},
		{"leaves with bytes behind its request", func(caller *net.TCPConn) {
			_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n")
			_ = caller.Close()
		}, true},
		{"leaves with a reset", func(caller *net.TCPConn) {
			_ = caller.SetLinger(0)
			_ = caller.Close()
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var received atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
			caller, proxyRequest, upstream := newSendableRequest(t, server)
			test.act(caller)
			time.Sleep(10 * time.Millisecond)
			proxyRequest.send(proxyRequest.request.Context(), upstream)
			if got := received.Load() > 0; got == test.left {
				t.Errorf("the upstream received the request: %v, its caller had left: %v", got, test.left)
			}
			if ended := proxyRequest.request.Context().Err() != nil; ended != test.left {
				t.Errorf("the request was given up: %v, its caller had left: %v", ended, test.left)
			}
		})
	}
}

// namelessProtocol adds nothing to requests. Responses are sealed and name no request.
type namelessProtocol struct{ plainProtocol }

func (namelessProtocol) ParseRequest(*http.Request) RequestInfo { return RequestInfo{} }

func (namelessProtocol) UpstreamHeader(request *http.Request, _ ForwardInfo) http.Header {
	return request.Header.Clone()
}

func (namelessProtocol) ParseResponse(int, http.Header) ResponseInfo {
	return ResponseInfo{Sealed: true, Load: -1}
}

// TestDepartureNoticedByOthers guards against an upstream that works on for a caller who has
// left until a periodic task comes to run, which takes long on an instance that is short of
// processor (GONE): another request that is read meanwhile must end the work.
func TestDepartureNoticedByOthers(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		defer close(ended)
		close(began)
		<-request.Context().Done()
	}))
	caller, proxyRequest, upstream := newSendableRequest(t, server)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		proxyRequest.send(proxyRequest.request.Context(), upstream)
	}()
	<-began
	_ = caller.Close()
	time.Sleep(depart.CheckInterval + 10*time.Millisecond)
	newProxyRequest(proxyRequest.relay, httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)).end()
	if proxyRequest.request.Context().Err() == nil {
		t.Fatal("the departure was not noticed")
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the upstream works on")
	}
	<-sent
}
