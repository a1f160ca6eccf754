package depart

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// connPair returns the two ends of a connection.
func connPair(t *testing.T) (caller, accepted *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err = net.DialTCP("tcp", nil, listener.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	if accepted, err = listener.AcceptTCP(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = caller.Close()
		_ = accepted.Close()
	})
	return caller, accepted
}

// TestLeft guards against a caller that has left and counts as present until the server has
// noticed, and against one that is present and counts as gone (GONE).
func TestLeft(t *testing.T) {
	tests := []struct {
		name string
		act  func(caller *net.TCPConn)
		want error
	}{
		{"waits", func(*net.TCPConn) {}, nil},
		{"sends its next request", func(caller *net.TCPConn) { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n") }, nil},
		{"leaves", func(caller *net.TCPConn) { _ = caller.Close() }, ErrLeft},
		{"leaves with bytes behind its request", func(caller *net.TCPConn) {
			_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n")
			_ = caller.Close()
		}, ErrLeft},
		{"leaves with a reset", func(caller *net.TCPConn) {
			_ = caller.SetLinger(0)
			_ = caller.Close()
		}, ErrLeft},
	}
	asks := []struct {
		name string
		ask  func(watch *Watch, caller *Caller)
	}{
		{"confirm", func(_ *Watch, caller *Caller) { _ = caller.Confirm() }},
		{"check", func(watch *Watch, _ *Caller) {
			time.Sleep(CheckInterval)
			watch.CheckDue()
		}},
	}
	for _, test := range tests {
		for _, ask := range asks {
			t.Run(test.name+", "+ask.name, func(t *testing.T) {
				conn, accepted := connPair(t)
				watch := New()
				ctx, caller := watch.Begin(WithConn(context.Background(), accepted))
				_, other := connPair(t)
				otherCtx, otherCaller := watch.Begin(WithConn(context.Background(), other))
				called, otherCalled := 0, 0
				stop := caller.OnLeave(func() { called++ })
				otherStop := otherCaller.OnLeave(func() { otherCalled++ })
				test.act(conn)
				time.Sleep(10 * time.Millisecond)
				ask.ask(watch, caller)
				if got := context.Cause(ctx); !errors.Is(got, test.want) {
					t.Errorf("the context ended with %v, want %v", got, test.want)
				}
				if got := caller.Confirm(); !errors.Is(got, test.want) {
					t.Errorf("confirm: %v, want %v", got, test.want)
				}
				if otherCtx.Err() != nil {
					t.Error("the context of another caller ended")
				}
				left := test.want != nil
				if called > 0 != left || stop() == left || otherCalled > 0 || !otherStop() {
					t.Errorf("called %d times, and %d times for another caller, want it once for one that left", called, otherCalled)
				}
				caller.End()
				otherCaller.End()
				if len(watch.callers) > 0 {
					t.Errorf("%d callers are kept after the end", len(watch.callers))
				}
			})
		}
	}
}
