package chaos

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"time"
)

// link is one connection between two processes.
type link struct {
	network *Network
	ends    [2]net.Conn
	ways    [2]direction
	once    sync.Once
	closed  chan struct{}
}

func (link *link) close() {
	link.once.Do(func() {
		close(link.closed)
		for _, end := range link.ends {
			_ = end.Close()
		}
		link.network.mutex.Lock()
		delete(link.network.links, link)
		link.network.mutex.Unlock()
	})
}

// chunk is what one write sent.
type chunk struct {
	data []byte
	due  time.Time
}

// pump carries bytes in one direction.
type pump struct {
	link       *link
	way        direction
	from, into net.Conn
	// fraction of the direction's longest delay that this connection has.
	fraction float64
	wake     chan struct{}

	mutex  sync.Mutex
	queue  []chunk
	ended  bool
	recent []byte
}

// longestSecret bounds the bytes that are kept to find a secret that two
// writes split.
const longestSecret = 64

// read takes bytes from the sender until it closes the connection.
func (pump *pump) read() {
	buffer := make([]byte, 16<<10)
	for {
		count, err := pump.from.Read(buffer)
		pump.mutex.Lock()
		if count > 0 {
			data := bytes.Clone(buffer[:count])
			pump.queue = append(pump.queue, chunk{data, time.Now().Add(pump.delay())})
		}
		pump.ended = err != nil
		pump.mutex.Unlock()
		select {
		case pump.wake <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}

// delay returns the present delay of the connection in its direction.
func (pump *pump) delay() time.Duration {
	pump.link.network.mutex.Lock()
	defer pump.link.network.mutex.Unlock()
	return time.Duration(pump.fraction * float64(pump.link.network.delays[pump.way]))
}

// write delivers bytes when their time has come and nothing holds them.
func (pump *pump) write() {
	defer pump.link.close()
	for {
		next, ok := pump.next()
		if !ok || !pump.wait(next.due) {
			return
		}
		if pump.link.network.lost(pump.way) {
			return
		}
		pump.scan(next.data)
		if _, err := pump.into.Write(next.data); err != nil {
			return
		}
	}
}

// next returns the next chunk, or false when the sender has closed.
func (pump *pump) next() (chunk, bool) {
	for {
		pump.mutex.Lock()
		if len(pump.queue) > 0 {
			first := pump.queue[0]
			pump.queue = pump.queue[1:]
			pump.mutex.Unlock()
			return first, true
		}
		ended := pump.ended
		pump.mutex.Unlock()
		if ended {
			// The end of a connection is held like its bytes.
			pump.wait(time.Now().Add(pump.delay()))
			return chunk{}, false
		}
		select {
		case <-pump.wake:
		case <-pump.link.closed:
			return chunk{}, false
		}
	}
}

// wait returns true when a chunk may be delivered.
func (pump *pump) wait(due time.Time) bool {
	if delay := time.Until(due); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-pump.link.closed:
			return false
		}
	}
	for {
		blocked, changed := pump.link.network.blocked(pump.way)
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-pump.link.closed:
			return false
		}
	}
}

// scan counts callers' secrets on the way to upstreams and platform.
func (pump *pump) scan(data []byte) {
	if !isStandIn(pump.way.to) {
		return
	}
	text := slices.Concat(pump.recent, data)
	for _, secret := range pump.link.network.secrets {
		if bytes.Contains(text, secret) {
			pump.link.network.mutex.Lock()
			pump.link.network.leaks++
			pump.link.network.mutex.Unlock()
		}
	}
	pump.recent = bytes.Clone(text[max(0, len(text)-longestSecret):])
}
