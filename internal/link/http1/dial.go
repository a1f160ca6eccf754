package http1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken. A path that fell silent shows in no other way.
	userTimeout = 2 * time.Second
	probeAfter  = 2 * time.Second
	probeEvery  = time.Second
	probes      = 2
)

// NewDialer returns a dialer whose connections notice a silent peer.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}

// quiet reports whether nothing has arrived on an unused connection: neither
// bytes nor its end. Connections that cannot be looked at count as quiet.
func quiet(idle *conn) bool {
	if idle.reader.Buffered() > 0 {
		return false
	}
	source, ok := idle.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failure := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = failure == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
