package infra

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// PipeNetwork is an in-memory network of pipes for tests in virtual time.
type PipeNetwork struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
}

// NewPipeNetwork returns a PipeNetwork without listeners.
func NewPipeNetwork() *PipeNetwork {
	return &PipeNetwork{listeners: map[string]*pipeListener{}}
}

// Listen binds an address until the listener is closed.
func (network *PipeNetwork) Listen(address string) (net.Listener, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if _, bound := network.listeners[address]; bound {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	listener := &pipeListener{network: network, address: address, connections: make(chan net.Conn), closed: make(chan struct{})}
	network.listeners[address] = listener
	return listener, nil
}

// DialContext connects to an address and fails if there is no listener. The
// network name is ignored.
func (network *PipeNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	network.mutex.Lock()
	listener, bound := network.listeners[address]
	network.mutex.Unlock()
	if !bound {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case listener.connections <- serverEnd:
		return clientEnd, nil
	case <-listener.closed:
		return nil, fmt.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Serve serves HTTP requests at an address until stop is called.
func (network *PipeNetwork) Serve(address string, handler http.Handler) (stop func(), err error) {
	listener, err := network.Listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

// Client returns an HTTP client of the network.
func (network *PipeNetwork) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: network.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 16}}
}

// pipeListener receives the server's end of each pipe.
type pipeListener struct {
	network     *PipeNetwork
	address     string
	connections chan net.Conn
	once        sync.Once
	closed      chan struct{}
}

// Accept implements net.Listener.
func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.connections:
		return connection, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener and frees the address.
func (listener *pipeListener) Close() error {
	listener.once.Do(func() {
		listener.network.mutex.Lock()
		delete(listener.network.listeners, listener.address)
		listener.network.mutex.Unlock()
		close(listener.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (listener *pipeListener) Addr() net.Addr { return pipeAddress(listener.address) }

// pipeAddress is the address of a listener.
type pipeAddress string

// Network implements net.Addr.
func (pipeAddress) Network() string { return "loopback" }

// String implements net.Addr.
func (address pipeAddress) String() string { return string(address) }
