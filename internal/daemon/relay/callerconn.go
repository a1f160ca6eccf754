package relay

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnsent bounds the bytes of a response that the kernel holds for a caller and has not
// sent yet. Without it a caller that does not read may take up to several megabytes.
const maxUnsent = 128 << 10

type callerConnKey struct{}

// withCallerConn is the hook of http.Server for new connections. It bounds what the kernel
// holds for the caller, and makes the connection known to the requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	controlSocket(conn, func(fd int) {
		// An error means that the connection is closed already.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConn returns the connection of a request's caller, or nil if it is not known.
func callerConn(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(callerConnKey{}).(net.Conn)
	return conn
}

// sendState returns how many bytes a caller's kernel has acknowledged, and how many the own
// one holds. Both are 0 if that cannot be learnt.
func sendState(conn net.Conn) (acknowledged uint64, held int64) {
	controlSocket(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			acknowledged, held = info.Bytes_acked, int64(info.Notsent_bytes)+int64(info.Unacked)*int64(info.Snd_mss)
		}
	})
	return acknowledged, held
}

func controlSocket(conn net.Conn, control func(fd int)) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is closed already.
	_ = raw.Control(func(fd uintptr) { control(int(fd)) })
}

// resetConn closes a connection with a reset, so that nothing is held for it.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// peerClosed are the events of a socket whose peer has closed the connection or its own
// direction of it. They show also while received bytes are unread.
const peerClosed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// connClosed reports whether the peer of a connection has closed it, by what the kernel has
// received. It returns false for a connection that is nil or no socket.
func connClosed(conn net.Conn) bool {
	closed := false
	controlSocket(conn, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(polled, 0)
		closed = err == nil && count > 0 && polled[0].Revents&peerClosed != 0
	})
	return closed
}

// socketOf returns the descriptor of a connection, and false if it has none.
func socketOf(conn net.Conn) (socket int32, ok bool) {
	controlSocket(conn, func(fd int) { socket, ok = int32(fd), true })
	return socket, ok
}
