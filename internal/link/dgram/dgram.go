// Package dgram sends and receives the UDP datagrams between entry instances and
// loaders. Lost datagrams are not resent: the next one of the same kind replaces
// their content.
package dgram

import (
	"context"
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// maxDatagramSize is the size of the receive buffer, in bytes.
const maxDatagramSize = 64 << 10

// Conn sends and receives datagrams at one local address.
type Conn struct {
	packets net.PacketConn
}

// Listen opens a Conn at a local address, an IP:port.
func Listen(address string) (*Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	packets, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, err
	}
	return &Conn{packets: packets}, nil
}

// Address returns the local address.
func (conn *Conn) Address() string { return conn.packets.LocalAddr().String() }

// Send sends a datagram to each of the addresses, which are of the form IP:port.
// It calls onError for each address to which sending failed.
func (conn *Conn) Send(datagram *wirepb.Datagram, addresses []string, onError func(address string, err error)) {
	data, err := proto.Marshal(datagram)
	for _, address := range addresses {
		if err != nil {
			onError(address, err)
			continue
		}
		if err := conn.write(data, address); err != nil {
			onError(address, err)
		}
	}
}

func (conn *Conn) write(data []byte, address string) error {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	_, err = conn.packets.WriteTo(data, net.UDPAddrFromAddrPort(target))
	return err
}

// Serve calls handle for each datagram until ctx ends. Datagrams that cannot be
// decoded are dropped.
func (conn *Conn) Serve(ctx context.Context, handle func(source string, datagram *wirepb.Datagram)) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.packets.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramSize)
	for {
		n, source, err := conn.packets.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		datagram := new(wirepb.Datagram)
		if proto.Unmarshal(buffer[:n], datagram) == nil {
			handle(source.String(), datagram)
		}
	}
}
