package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// Network connects the processes of a deployment.
type Network interface {
	// ReserveAddress returns an unused address for a later call of Listen.
	ReserveAddress() (string, error)
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// newClient returns an HTTP client that connects through a network.
func newClient(network Network) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: network.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 256,
	}}
}

// TCPNetwork is the loopback interface of the host.
type TCPNetwork struct {
	net.Dialer

	mu       sync.Mutex
	reserved map[string]net.Listener
}

// NewTCPNetwork returns a TCPNetwork without reserved addresses.
func NewTCPNetwork() *TCPNetwork { return &TCPNetwork{reserved: map[string]net.Listener{}} }

// ReserveAddress binds a free port, so that no other process can take it before Listen
// is called.
func (network *TCPNetwork) ReserveAddress() (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	network.mu.Lock()
	defer network.mu.Unlock()
	address := listener.Addr().String()
	network.reserved[address] = listener
	return address, nil
}

// Listen returns the reserved listener of an address.
func (network *TCPNetwork) Listen(address string) (net.Listener, error) {
	network.mu.Lock()
	defer network.mu.Unlock()
	listener, ok := network.reserved[address]
	if !ok {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	delete(network.reserved, address)
	return listener, nil
}

// MemoryNetwork is an in-memory network for tests in virtual time.
type MemoryNetwork struct {
	*infra.PipeNetwork

	mu   sync.Mutex
	next int
}

// NewMemoryNetwork returns a MemoryNetwork without listeners.
func NewMemoryNetwork() *MemoryNetwork { return &MemoryNetwork{PipeNetwork: infra.NewPipeNetwork()} }

// ReserveAddress returns an unused address.
func (network *MemoryNetwork) ReserveAddress() (string, error) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.next++
	return fmt.Sprintf("127.0.0.1:%d", 10000+network.next), nil
}
