package depart

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peerClosed are the events of a socket whose peer has closed the connection or its own
// direction of it. They show also while received bytes are unread.
const peerClosed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

type connKey struct{}

// WithConn is a hook for http.Server.ConnContext. It makes a connection known to its requests.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Conn returns the connection of a request's caller, or nil if it is not known.
func Conn(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// Control calls a function with the descriptor of a connection, or of the one below it, while
// that is open. It does nothing for a connection that is nil or no socket.
func Control(conn net.Conn, control func(fd int)) {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
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

// closed reports whether the peer of a connection has closed it, by what the kernel has
// received.
func closed(conn net.Conn) bool {
	left := false
	Control(conn, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(polled, 0)
		left = err == nil && count > 0 && polled[0].Revents&peerClosed != 0
	})
	return left
}
