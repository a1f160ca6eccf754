package relay

import (
	"context"
	"net"

	"golang.org/x/sys/unix"

	"jacinthfront.dev/jacinthfront/internal/link/depart"
)

// maxUnsent bounds the bytes of a response that the kernel holds for a caller and has not
// sent yet. Without it a caller that does not read may take up to several megabytes.
const maxUnsent = 128 << 10

// withCallerConn is the hook of http.Server for new connections. It bounds what the kernel
// holds for the caller, and makes the connection known to the requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	depart.Control(conn, func(fd int) {
		// An error means that the connection is closed already.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
	return depart.WithConn(ctx, conn)
}

// sendState returns how many bytes a caller's kernel has acknowledged, and how many the own
// one holds. Both are 0 if that cannot be learnt.
func sendState(conn net.Conn) (acknowledged uint64, held int64) {
	depart.Control(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			acknowledged, held = info.Bytes_acked, int64(info.Notsent_bytes)+int64(info.Unacked)*int64(info.Snd_mss)
		}
	})
	return acknowledged, held
}

// resetConn closes a connection with a reset, so that nothing is held for it.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
