package chaos

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// direction is the traffic from one named process to another.
type direction struct{ from, to string }

// Network is an in-memory network between named processes. It buffers sent bytes
// as TCP does, and can block and delay them and cut connections.
type Network struct {
	loopback *infra.PipeNetwork

	mutex  sync.Mutex
	random *rand.Rand
	// listeners maps an address to the process that listens on it.
	listeners map[string]string
	links     map[*link]struct{}
	// pauses counts the pauses in force per process, blocks those per direction.
	pauses map[string]int
	blocks map[direction]int
	// maxDelays bounds the connections' delays.
	maxDelays map[direction]time.Duration
	// pendingCuts counts the deliveries that are still to be replaced by a cut.
	pendingCuts map[direction]int
	// pauseExempt marks directions that a pause does not block.
	pauseExempt map[direction]bool
	secrets     [][]byte
	// leaks counts deliveries to simulators that contain a secret.
	leaks int
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewNetwork returns a network. The seed determines the connections' delays.
func NewNetwork(seed uint64) *Network {
	return &Network{
		loopback: infra.NewPipeNetwork(), random: rand.New(rand.NewPCG(seed, 7)),
		listeners: map[string]string{}, links: map[*link]struct{}{}, pauses: map[string]int{}, blocks: map[direction]int{},
		maxDelays: map[direction]time.Duration{}, pendingCuts: map[direction]int{}, pauseExempt: map[direction]bool{},
		changed: make(chan struct{}),
	}
}

// Listen listens on an address for a process. It returns an error if the address
// is in use.
func (network *Network) Listen(process, address string) (net.Listener, error) {
	network.mutex.Lock()
	network.listeners[address] = process
	network.mutex.Unlock()
	return network.loopback.Listen(address)
}

// Dial connects a process to an address. While the process is paused, Dial waits
// until the pause or ctx ends. It returns an error if ctx ends or the address does
// not accept the connection.
func (network *Network) Dial(ctx context.Context, process, address string) (net.Conn, error) {
	for {
		network.mutex.Lock()
		paused, changed := network.pauses[process] > 0, network.changed
		network.mutex.Unlock()
		if !paused {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	callee, err := network.loopback.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	network.open(process, address, far, callee)
	return near, nil
}

// open starts forwarding between the two ends of a connection.
func (network *Network) open(process, address string, far, callee net.Conn) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	to := network.listeners[address]
	opened := &link{network: network, ends: [2]net.Conn{far, callee}, closed: make(chan struct{})}
	network.links[opened] = struct{}{}
	for index, direction := range []direction{{process, to}, {to, process}} {
		pump := &pump{link: opened, direction: direction, from: opened.ends[index], to: opened.ends[1-index], wake: make(chan struct{}, 1)}
		pump.delayFraction = network.random.Float64()
		opened.directions[index] = direction
		go pump.read()
		go pump.write()
	}
}

// update applies a change and wakes all goroutines that wait for one.
func (network *Network) update(apply func()) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	apply()
	close(network.changed)
	network.changed = make(chan struct{})
}

// Pause adds by to the pauses in force of a process. While their number is above
// 0, no bytes are delivered from or to the process, except in exempt directions.
func (network *Network) Pause(process string, by int) {
	network.update(func() { network.pauses[process] += by })
}

// Block adds by to the blocks in force of a direction. While their number is above
// 0, no bytes are delivered in the direction.
func (network *Network) Block(direction direction, by int) {
	network.update(func() { network.blocks[direction] += by })
}

// Delay delays bytes in a direction, on each connection by a fixed time of its own
// between 0 and limit.
func (network *Network) Delay(direction direction, limit time.Duration) {
	network.update(func() { network.maxDelays[direction] = limit })
}

// ExemptFromPauses lets bytes in a direction pass while either process is paused.
func (network *Network) ExemptFromPauses(direction direction) {
	network.update(func() { network.pauseExempt[direction] = true })
}

// CutDeliveries closes the connection in place of each of the next count
// deliveries in a direction. A count of 0 cancels this.
func (network *Network) CutDeliveries(direction direction, count int) {
	network.update(func() { network.pendingCuts[direction] = count })
}

// Cut closes all connections of which a direction matches.
func (network *Network) Cut(match func(direction) bool) {
	network.mutex.Lock()
	var cut []*link
	for link := range network.links {
		if match(link.directions[0]) || match(link.directions[1]) {
			cut = append(cut, link)
		}
	}
	network.mutex.Unlock()
	for _, link := range cut {
		link.close()
	}
}

// cutProcess closes all connections of a process.
func (network *Network) cutProcess(process string) {
	network.Cut(func(direction direction) bool { return direction.from == process })
}

// Close closes all connections.
func (network *Network) Close() {
	network.Cut(func(direction) bool { return true })
}

// blocked reports whether a direction is paused or blocked. The channel is closed
// at the next change.
func (network *Network) blocked(direction direction) (bool, <-chan struct{}) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	paused := !network.pauseExempt[direction] && (network.pauses[direction.from] > 0 || network.pauses[direction.to] > 0)
	return paused || network.blocks[direction] > 0, network.changed
}

// takeCut reports whether a delivery is to be replaced by a cut, and counts the
// cut.
func (network *Network) takeCut(direction direction) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.pendingCuts[direction] == 0 {
		return false
	}
	network.pendingCuts[direction]--
	return true
}
