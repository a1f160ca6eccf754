//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"
)

// wire is the network path to a runner: a proxy at the address in the runner's entry. It can
// hold back an order, which then arrives late and whose sender gets no answer.
type wire struct {
	bed    *bed
	target string
	proxy  *httputil.ReverseProxy

	mutex sync.Mutex
	// holds reports whether an order is to be held back; it is nil if none is.
	holds func(operation, adapter string) bool
	// held is the order that was held back.
	held *heldOrder
}

// heldOrder is an order on its way.
type heldOrder struct {
	header http.Header
	body   []byte
	at     time.Time
}

// newWire returns a path to a runner's own address, served at an address.
func newWire(bed *bed, address, target string) *wire {
	wire := &wire{bed: bed, target: target}
	wire.proxy = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	director := wire.proxy.Director
	wire.proxy.Director = func(request *http.Request) {
		host := request.Host
		director(request)
		request.Host, request.Header["X-Forwarded-For"] = host, nil
	}
	wire.proxy.FlushInterval = -1
	wire.proxy.Transport = &http.Transport{DisableKeepAlives: true}
	wire.proxy.ErrorLog = log.New(io.Discard, "", 0)
	wire.proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	listener, err := net.Listen("tcp", address)
	check(err)
	go func() { _ = http.Serve(listener, wire) }()
	return wire
}

// holdNext holds back the first order that a function selects.
func (wire *wire) holdNext(holds func(operation, adapter string) bool) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.holds = holds
}

// ServeHTTP implements http.Handler.
func (wire *wire) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/api/order" {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if wire.hold(request.Header, body) {
			<-request.Context().Done()
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	wire.proxy.ServeHTTP(writer, request)
}

// hold holds an order back if it is to be, and reports whether it did.
func (wire *wire) hold(header http.Header, body []byte) bool {
	var order struct{ Operation, Adapter string }
	_ = json.Unmarshal(body, &order)
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	if wire.holds == nil || !wire.holds(order.Operation, order.Adapter) {
		return false
	}
	wire.holds, wire.held = nil, &heldOrder{header.Clone(), body, time.Now()}
	wire.bed.note("the order arrives late, and its sender gets no answer: %s", body)
	return true
}

// heldFor returns for how long an order is held back, or 0 if none is.
func (wire *wire) heldFor() time.Duration {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	if wire.held == nil {
		return 0
	}
	return time.Since(wire.held.at)
}

// deliver delivers the order that was held back, as it was sent. Its answer gets lost.
func (wire *wire) deliver() {
	wire.mutex.Lock()
	held := wire.held
	wire.mutex.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+wire.target+"/api/order", bytes.NewReader(held.body))
	check(err)
	request.Header = held.header
	wire.bed.note("the late order arrives, %v after it was sent: %s", time.Since(held.at).Round(time.Millisecond), held.body)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		wire.bed.note("the late order: %v", err)
		return
	}
	_ = response.Body.Close()
	wire.bed.note("the runner's answer to the late order, which nobody gets: %d", response.StatusCode)
}
