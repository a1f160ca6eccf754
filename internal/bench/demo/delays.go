package demo

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// delays is a network with a delay between failure domains. Addresses that no
// process of ours listens on, such as those of stand-ins, are near.
type delays struct {
	Network
	delay time.Duration

	mu      sync.Mutex
	domains map[string]string
}

func newDelays(network Network, delay time.Duration) *delays {
	return &delays{Network: network, delay: delay, domains: map[string]string{}}
}

// from returns the network as a process in a failure domain sees it, which
// others reach at the given address.
func (delays *delays) from(domain, address string) Network {
	delays.mu.Lock()
	defer delays.mu.Unlock()
	delays.domains[address] = domain
	return &domainNetwork{delays: delays, domain: domain}
}

// far reports whether an address is in another failure domain.
func (delays *delays) far(domain, address string) bool {
	delays.mu.Lock()
	defer delays.mu.Unlock()
	other, known := delays.domains[address]
	return known && other != domain
}

// domainNetwork is the network as seen in one failure domain.
type domainNetwork struct {
	*delays
	domain string
}

// DialContext connects and delays both directions when the address is far.
func (network *domainNetwork) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := network.Network.DialContext(ctx, kind, address)
	if err != nil || !network.far(network.domain, address) {
		return conn, err
	}
	return newDelayedConn(conn, network.delay), nil
}

// packet is data that arrives at a time.
type packet struct {
	due  time.Time
	data []byte
	err  error
}

// packetBuffer bounds the packets on their way in one direction.
const packetBuffer = 1024

// readBuffer is the largest packet.
const readBuffer = 16 << 10

// delayedConn delays what it reads and writes.
type delayedConn struct {
	net.Conn
	delay    time.Duration
	incoming chan packet
	outgoing chan packet
	rest     []byte
	once     sync.Once
	closed   chan struct{}
}

func newDelayedConn(conn net.Conn, delay time.Duration) *delayedConn {
	delayed := &delayedConn{
		Conn: conn, delay: delay, closed: make(chan struct{}),
		incoming: make(chan packet, packetBuffer), outgoing: make(chan packet, packetBuffer),
	}
	go delayed.receive()
	go delayed.send()
	return delayed
}

// receive reads ahead, so that the delay of one packet does not add to the next.
func (conn *delayedConn) receive() {
	defer close(conn.incoming)
	buffer := make([]byte, readBuffer)
	for {
		count, err := conn.Conn.Read(buffer)
		select {
		case conn.incoming <- packet{time.Now().Add(conn.delay), bytes.Clone(buffer[:count]), err}:
		case <-conn.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (conn *delayedConn) send() {
	for {
		select {
		case packet := <-conn.outgoing:
			if !conn.await(packet.due) {
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

// await waits until a time and reports whether the connection is still open. A
// close must not wait for packets under way: callers close under locks.
func (conn *delayedConn) await(due time.Time) bool {
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
	for len(conn.rest) == 0 {
		packet, ok := <-conn.incoming
		if !ok {
			return 0, io.EOF
		}
		if !conn.await(packet.due) {
			return 0, net.ErrClosed
		}
		if conn.rest = packet.data; len(packet.data) == 0 && packet.err != nil {
			return 0, packet.err
		}
	}
	count := copy(into, conn.rest)
	conn.rest = conn.rest[count:]
	return count, nil
}

// Write implements net.Conn. Errors show at a later call.
func (conn *delayedConn) Write(data []byte) (int, error) {
	select {
	case <-conn.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case conn.outgoing <- packet{due: time.Now().Add(conn.delay), data: append([]byte(nil), data...)}:
		return len(data), nil
	case <-conn.closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn. What was written and has not left yet is lost, as
// with a connection that is reset.
func (conn *delayedConn) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	return conn.Conn.Close()
}
