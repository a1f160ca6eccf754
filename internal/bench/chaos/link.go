package chaos

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"time"
)

// link is one connection between two processes, with a pump for each direction.
type link struct {
	network    *Network
	ends       [2]net.Conn
	directions [2]direction
	once       sync.Once
	closed     chan struct{}
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

// chunk holds bytes of the sender and the earliest time of their delivery.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// pump forwards bytes of a link in one direction.
type pump struct {
	link      *link
	direction direction
	from, to  net.Conn
	// delayFraction is the fraction of the direction's maximum delay that applies
	// to this connection.
	delayFraction float64
	wake          chan struct{}

	mutex        sync.Mutex
	queue        []chunk
	senderClosed bool
	tail         []byte
}

// maxSecretLength is the number of delivered bytes that are kept, to find a secret
// that is split between two writes.
const maxSecretLength = 64

// read queues the sender's bytes until the sender closes the connection.
func (pump *pump) read() {
	buffer := make([]byte, 16<<10)
	for {
		count, err := pump.from.Read(buffer)
		pump.mutex.Lock()
		if count > 0 {
			data := bytes.Clone(buffer[:count])
			pump.queue = append(pump.queue, chunk{data, time.Now().Add(pump.delay())})
		}
		pump.senderClosed = err != nil
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

// delay returns the current delay of the connection in the pump's direction.
func (pump *pump) delay() time.Duration {
	pump.link.network.mutex.Lock()
	defer pump.link.network.mutex.Unlock()
	return time.Duration(pump.delayFraction * float64(pump.link.network.maxDelays[pump.direction]))
}

// write delivers queued bytes in order, each chunk when it is due and its
// direction is not blocked. It closes the link in place of a delivery that is to
// be cut.
func (pump *pump) write() {
	defer pump.link.close()
	for {
		next, ok := pump.next()
		if !ok || !pump.waitUntilDeliverable(next.deliverAt) {
			return
		}
		if pump.link.network.takeCut(pump.direction) {
			return
		}
		pump.scanForSecrets(next.data)
		if _, err := pump.to.Write(next.data); err != nil {
			return
		}
	}
}

// next waits for the next chunk. It returns false when the link or the sender has
// closed.
func (pump *pump) next() (chunk, bool) {
	for {
		pump.mutex.Lock()
		if len(pump.queue) > 0 {
			first := pump.queue[0]
			pump.queue = pump.queue[1:]
			pump.mutex.Unlock()
			return first, true
		}
		closed := pump.senderClosed
		pump.mutex.Unlock()
		if closed {
			// The close of a connection is delayed and blocked like its bytes.
			pump.waitUntilDeliverable(time.Now().Add(pump.delay()))
			return chunk{}, false
		}
		select {
		case <-pump.wake:
		case <-pump.link.closed:
			return chunk{}, false
		}
	}
}

// waitUntilDeliverable waits until a chunk is due and its direction is not
// blocked. It returns false if the link is closed first.
func (pump *pump) waitUntilDeliverable(deliverAt time.Time) bool {
	if delay := time.Until(deliverAt); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-pump.link.closed:
			return false
		}
	}
	for {
		blocked, changed := pump.link.network.blocked(pump.direction)
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

// scanForSecrets counts callers' secrets in bytes sent to upstreams and the
// platform.
func (pump *pump) scanForSecrets(data []byte) {
	if !isSimulator(pump.direction.to) {
		return
	}
	text := slices.Concat(pump.tail, data)
	for _, secret := range pump.link.network.secrets {
		if bytes.Contains(text, secret) {
			pump.link.network.mutex.Lock()
			pump.link.network.leaks++
			pump.link.network.mutex.Unlock()
		}
	}
	pump.tail = bytes.Clone(text[max(0, len(text)-maxSecretLength):])
}
