package chaos

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// direction is what flows from one named process to another.
type direction struct{ from, to string }

// Network is an in-memory network between named processes. It buffers what is
// sent, as TCP does, and can hold, delay, lose and cut it.
type Network struct {
	loopback *infra.PipeNetwork

	mutex   sync.Mutex
	random  *rand.Rand
	owners  map[string]string
	links   map[*link]struct{}
	paused  map[string]int
	held    map[direction]int
	delays  map[direction]time.Duration
	losses  map[direction]int
	exempt  map[direction]bool
	secrets [][]byte
	leaks   int
	changed chan struct{}
}

// NewNetwork returns a network whose delays follow from the seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		loopback: infra.NewPipeNetwork(), random: rand.New(rand.NewPCG(seed, 7)),
		owners: map[string]string{}, links: map[*link]struct{}{}, paused: map[string]int{}, held: map[direction]int{},
		delays: map[direction]time.Duration{}, losses: map[direction]int{}, exempt: map[direction]bool{},
		changed: make(chan struct{}),
	}
}

// Listen binds an address for a process.
func (network *Network) Listen(process, address string) (net.Listener, error) {
	network.mutex.Lock()
	network.owners[address] = process
	network.mutex.Unlock()
	return network.loopback.Listen(address)
}

// Dial connects a process to an address. A paused process makes no calls.
func (network *Network) Dial(ctx context.Context, process, address string) (net.Conn, error) {
	for {
		network.mutex.Lock()
		paused, changed := network.paused[process] > 0, network.changed
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

// open joins the two ends of a connection.
func (network *Network) open(process, address string, far, callee net.Conn) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	to := network.owners[address]
	opened := &link{network: network, ends: [2]net.Conn{far, callee}, closed: make(chan struct{})}
	network.links[opened] = struct{}{}
	for index, way := range []direction{{process, to}, {to, process}} {
		pump := &pump{link: opened, way: way, from: opened.ends[index], into: opened.ends[1-index], wake: make(chan struct{}, 1)}
		pump.fraction = network.random.Float64()
		opened.ways[index] = way
		go pump.read()
		go pump.write()
	}
}

// change performs a change and wakes what waits for one.
func (network *Network) change(perform func()) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	perform()
	close(network.changed)
	network.changed = make(chan struct{})
}

// Pause holds all bytes from and to a process until it is called with -1.
func (network *Network) Pause(process string, by int) {
	network.change(func() { network.paused[process] += by })
}

// Hold holds what flows in a direction until it is called with -1.
func (network *Network) Hold(way direction, by int) {
	network.change(func() { network.held[way] += by })
}

// Delay gives each connection a delay of its own below limit in a direction.
func (network *Network) Delay(way direction, limit time.Duration) {
	network.change(func() { network.delays[way] = limit })
}

// Exempt keeps a direction free from pauses.
func (network *Network) Exempt(way direction) {
	network.change(func() { network.exempt[way] = true })
}

// Lose cuts a number of connections in place of the next delivery.
func (network *Network) Lose(way direction, count int) {
	network.change(func() { network.losses[way] = count })
}

// Cut closes all connections that match.
func (network *Network) Cut(match func(direction) bool) {
	network.mutex.Lock()
	var cut []*link
	for link := range network.links {
		if match(link.ways[0]) || match(link.ways[1]) {
			cut = append(cut, link)
		}
	}
	network.mutex.Unlock()
	for _, link := range cut {
		link.close()
	}
}

// isolate cuts all connections of a process.
func (network *Network) isolate(process string) {
	network.Cut(func(way direction) bool { return way.from == process })
}

// Close cuts all connections.
func (network *Network) Close() {
	network.Cut(func(direction) bool { return true })
}

// blocked reports whether a direction is held, and when to look again.
func (network *Network) blocked(way direction) (bool, <-chan struct{}) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	paused := !network.exempt[way] && (network.paused[way.from] > 0 || network.paused[way.to] > 0)
	return paused || network.held[way] > 0, network.changed
}

// lost reports whether a delivery is to be lost, and counts it.
func (network *Network) lost(way direction) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.losses[way] == 0 {
		return false
	}
	network.losses[way]--
	return true
}
