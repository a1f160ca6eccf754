// Package dgram sends and receives the datagrams between entry instances and
// loaders. A datagram that is lost is replaced by the next one.
package dgram

import (
	"context"
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// maximum is the size of the largest datagram that is read, in bytes.
const maximum = 64 << 10

// Conn sends and receives datagrams at one address.
type Conn struct {
	packets net.PacketConn
}

// Listen opens the address, an IP:port.
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

// Address returns the address that was opened.
func (conn *Conn) Address() string { return conn.packets.LocalAddr().String() }

// Send sends a datagram to addresses, each an IP:port. It calls unsent for each
// one to which it could not be sent.
func (conn *Conn) Send(datagram *wirepb.Datagram, addresses []string, unsent func(address string, err error)) {
	text, err := proto.Marshal(datagram)
	for _, address := range addresses {
		if err != nil {
			unsent(address, err)
			continue
		}
		if err := conn.write(text, address); err != nil {
			unsent(address, err)
		}
	}
}

func (conn *Conn) write(text []byte, address string) error {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	_, err = conn.packets.WriteTo(text, net.UDPAddrFromAddrPort(target))
	return err
}

// Serve calls handle for each datagram until ctx ends. What cannot be read is
// passed over.
func (conn *Conn) Serve(ctx context.Context, handle func(source string, datagram *wirepb.Datagram)) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.packets.Close() })
	defer stop()
	buffer := make([]byte, maximum)
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
