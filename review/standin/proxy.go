//go:build review

package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards the connections of one process to the store. While it is cut, it lets
// no byte pass in either direction, and new connections get no answer, as behind a
// partition.
type proxy struct {
	address string
	target  string

	// accepted is the number of bytes that the process has sent.
	accepted atomic.Int64

	mutex sync.Mutex
	cut   bool
	// changed is closed and replaced when cut changes.
	changed chan struct{}
}

func newProxy(target string) *proxy {
	listener := listen("127.0.0.1")
	proxy := &proxy{address: listener.Addr().String(), target: target, changed: make(chan struct{})}
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.forward(caller)
		}
	}()
	return proxy
}

func (proxy *proxy) forward(caller net.Conn) {
	target, err := net.Dial("tcp", proxy.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	go proxy.copy(caller, target, &proxy.accepted)
	proxy.copy(target, caller, new(atomic.Int64))
}

// copy forwards and counts bytes until one side ends, and then closes both.
func (proxy *proxy) copy(from, to net.Conn, count *atomic.Int64) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		count.Add(int64(n))
		proxy.awaitPath()
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// awaitPath waits until the proxy is not cut.
func (proxy *proxy) awaitPath() {
	for {
		proxy.mutex.Lock()
		cut, changed := proxy.cut, proxy.changed
		proxy.mutex.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

func (proxy *proxy) setCut(cut bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.cut = cut
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}
