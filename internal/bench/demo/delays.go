package demo

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// delayedNetwork adds a delay to connections between failure domains. Connections
// to addresses that were not passed to inDomain, such as those of simulators, have
// no delay.
type delayedNetwork struct {
	Network
	delay time.Duration

	mu      sync.Mutex
	domains map[string]string
}

func newDelayedNetwork(network Network, delay time.Duration) *delayedNetwork {
	return &delayedNetwork{Network: network, delay: delay, domains: map[string]string{}}
}

// inDomain returns the network for a process that runs in a failure domain and
// listens on an address.
func (network *delayedNetwork) inDomain(domain, address string) Network {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.domains[address] = domain
	return &domainNetwork{delayedNetwork: network, domain: domain}
}

// crossesDomains reports whether an address is known to be in another failure
// domain.
func (network *delayedNetwork) crossesDomains(domain, address string) bool {
	network.mu.Lock()
	defer network.mu.Unlock()
	other, found := network.domains[address]
	return found && other != domain
}

// domainNetwork is a delayedNetwork as used by a process in one failure domain.
type domainNetwork struct {
	*delayedNetwork
	domain string
}

// DialContext connects to an address. If the address is in another failure domain,
// both directions of the connection are delayed.
func (network *domainNetwork) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := network.Network.DialContext(ctx, kind, address)
	if err != nil || !network.crossesDomains(network.domain, address) {
		return conn, err
	}
	return newDelayedConn(conn, network.delay), nil
}

// packet is data, or the error of a read, to be delivered at a time.
type packet struct {
	due  time.Time
	data []byte
	err  error
}

// maxQueuedPackets bounds the delayed packets of one direction.
const maxQueuedPackets = 1024

// maxPacketBytes bounds the size of a received packet.
const maxPacketBytes = 16 << 10

// delayedConn is a connection that delays the data of both directions.
type delayedConn struct {
	net.Conn
	delay     time.Duration
	received  chan packet
	unsent    chan packet
	unread    []byte
	closeOnce sync.Once
	closed    chan struct{}
}

func newDelayedConn(conn net.Conn, delay time.Duration) *delayedConn {
	delayed := &delayedConn{
		Conn: conn, delay: delay, closed: make(chan struct{}),
		received: make(chan packet, maxQueuedPackets), unsent: make(chan packet, maxQueuedPackets),
	}
	go delayed.receive()
	go delayed.send()
	return delayed
}

// receive reads packets as they arrive, so that the delays of successive packets
// do not add up.
func (conn *delayedConn) receive() {
	defer close(conn.received)
	buffer := make([]byte, maxPacketBytes)
	for {
		count, err := conn.Conn.Read(buffer)
		select {
		case conn.received <- packet{time.Now().Add(conn.delay), bytes.Clone(buffer[:count]), err}:
		case <-conn.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// send writes packets to the connection when they are due.
func (conn *delayedConn) send() {
	for {
		select {
		case packet := <-conn.unsent:
			if !conn.waitUntil(packet.due) {
				return
			}
			if _, err := conn.Conn.Write(packet.data); err != nil {
				return
			}
		case <-conn.closed:
			return
		}
	}
}

// waitUntil waits until a time and reports whether the connection is still open.
// It returns early when the connection is closed: callers close connections while
// they hold locks, so Close must not wait for delayed packets.
func (conn *delayedConn) waitUntil(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-conn.closed:
		return false
	}
}

// Read implements net.Conn.
func (conn *delayedConn) Read(into []byte) (int, error) {
	for len(conn.unread) == 0 {
		packet, ok := <-conn.received
		if !ok {
			return 0, io.EOF
		}
		if !conn.waitUntil(packet.due) {
			return 0, net.ErrClosed
		}
		if conn.unread = packet.data; len(packet.data) == 0 && packet.err != nil {
			return 0, packet.err
		}
	}
	count := copy(into, conn.unread)
	conn.unread = conn.unread[count:]
	return count, nil
}

// Write implements net.Conn. It queues the data. An error of the delayed write is
// not reported; it only ends the sending.
func (conn *delayedConn) Write(data []byte) (int, error) {
	select {
	case <-conn.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case conn.unsent <- packet{due: time.Now().Add(conn.delay), data: append([]byte(nil), data...)}:
		return len(data), nil
	case <-conn.closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn. Delayed data that was not sent yet is lost, as when a
// connection is reset.
func (conn *delayedConn) Close() error {
	conn.closeOnce.Do(func() { close(conn.closed) })
	return conn.Conn.Close()
}
