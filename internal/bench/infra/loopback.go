package infra

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// PipeNetwork is an in-memory network for tests in virtual time.
type PipeNetwork struct {
	mutex     sync.Mutex
	listeners map[string]*loopbackListener
}

// NewPipeNetwork returns a network without listeners.
func NewPipeNetwork() *PipeNetwork {
	return &PipeNetwork{listeners: map[string]*loopbackListener{}}
}

// Listen binds an address until the listener is closed.
func (loopback *PipeNetwork) Listen(address string) (net.Listener, error) {
	loopback.mutex.Lock()
	defer loopback.mutex.Unlock()
	if _, bound := loopback.listeners[address]; bound {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	listener := &loopbackListener{loopback: loopback, address: address, connections: make(chan net.Conn), closed: make(chan struct{})}
	loopback.listeners[address] = listener
	return listener, nil
}

// DialContext connects to an address; the network name is not used. It is
// refused when nobody listens.
func (loopback *PipeNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	loopback.mutex.Lock()
	listener, bound := loopback.listeners[address]
	loopback.mutex.Unlock()
	if !bound {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	near, far := net.Pipe()
	select {
	case listener.connections <- far:
		return near, nil
	case <-listener.closed:
		return nil, fmt.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Serve serves a handler at an address until stop is called.
func (loopback *PipeNetwork) Serve(address string, handler http.Handler) (stop func(), err error) {
	listener, err := loopback.Listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

// Client returns an HTTP client of the network.
func (loopback *PipeNetwork) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: loopback.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 16}}
}

// loopbackListener hands one end of each pipe to its server.
type loopbackListener struct {
	loopback    *PipeNetwork
	address     string
	connections chan net.Conn
	once        sync.Once
	closed      chan struct{}
}

// Accept implements net.Listener.
func (listener *loopbackListener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.connections:
		return connection, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener and frees the address.
func (listener *loopbackListener) Close() error {
	listener.once.Do(func() {
		listener.loopback.mutex.Lock()
		delete(listener.loopback.listeners, listener.address)
		listener.loopback.mutex.Unlock()
		close(listener.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (listener *loopbackListener) Addr() net.Addr { return loopbackAddress(listener.address) }

// loopbackAddress is the address of a listener.
type loopbackAddress string

// Network implements net.Addr.
func (loopbackAddress) Network() string { return "loopback" }

// String implements net.Addr.
func (address loopbackAddress) String() string { return string(address) }
