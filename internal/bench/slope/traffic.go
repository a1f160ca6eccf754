package slope

import (
	"bytes"
	"context"
	"net"
	"sync"

	"jacinthfront.dev/jacinthfront/internal/bench/demo"
)

// The kinds of traffic, by the purpose of an exchange. kindProbe covers the calls
// Outcome and Cancel.
const (
	kindOther  = "other"
	kindList   = "instance-list"
	kindLog    = "log-config"
	kindClaims = "log-claims"
	kindAppend = "log-claim-appends"
	kindSync   = "sync"
	kindDraw   = "draw"
	kindRun    = "run"
	kindProbe  = "probe"
	kindStatus = "status"
	kindState  = "engine-state"
	kindEngine = "engine"
)

// kindPatterns maps a text in the first write of an exchange, such as a request
// line or the name of an RPC, to the kind of the exchange. The first match counts.
var kindPatterns = []struct{ text, kind string }{
	{"GET /v1/instances", kindList},
	{"/v1/streams/config", kindLog},
	{"POST /v1/streams/claims", kindAppend},
	{"/v1/streams/claims", kindClaims},
	{"GET /v1/state", kindState},
	{"POST /v1/", kindEngine},
	{"/wirepb.Peer/Sync", kindSync},
	{"/wirepb.Peer/Status", kindStatus},
	{"/wirepb.Side/Draw", kindDraw},
	{"/wirepb.Side/Return", kindDraw},
	{"/wirepb.Side/Run", kindRun},
	{"/wirepb.Side/Outcome", kindProbe},
	{"/wirepb.Side/Cancel", kindProbe},
}

// kindOf returns the kind of the exchange that a write begins, or an empty string
// if it begins none. A payload that contains one of the texts would be mistaken
// for the beginning of an exchange; payloads of the rows contain none.
func kindOf(data []byte) string {
	for _, pattern := range kindPatterns {
		if bytes.Contains(data, []byte(pattern.text)) {
			return pattern.kind
		}
	}
	return ""
}

// trafficCount is the traffic counted for one address and kind.
type trafficCount struct {
	// sent and received are bytes from the dialing side's point of view, without
	// TCP and IP headers.
	sent, received int
	// calls counts exchanges, and dials the connections on which an exchange of
	// this kind was the first.
	calls, dials int
}

type trafficKey struct{ address, kind string }

// counter counts the traffic of connections by address and kind. Traffic on a
// connection belongs to the exchange begun last on it, since drpc and HTTP/1.1
// run one exchange at a time.
type counter struct {
	mutex  sync.Mutex
	counts map[trafficKey]trafficCount
}

func newCounter() *counter { return &counter{counts: map[trafficKey]trafficCount{}} }

func (counter *counter) add(address, kind string, delta trafficCount) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	key := trafficKey{address, kind}
	sum := counter.counts[key]
	sum.sent += delta.sent
	sum.received += delta.received
	sum.calls += delta.calls
	sum.dials += delta.dials
	counter.counts[key] = sum
}

// takeCounts returns the traffic counted since the last call.
func (counter *counter) takeCounts() map[trafficKey]trafficCount {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counts := counter.counts
	counter.counts = map[trafficKey]trafficCount{}
	return counts
}

// wrap returns a connection that counts the traffic of conn, dialed to address.
func (counter *counter) wrap(conn net.Conn, address string) net.Conn {
	return &countedConn{Conn: conn, counter: counter, address: address, kind: kindOther, unused: true}
}

// countedConn is a connection whose traffic is counted.
type countedConn struct {
	net.Conn
	counter *counter
	address string

	mutex sync.Mutex
	kind  string
	// unused is set until the first exchange begins, which counts the dial.
	unused bool
}

// Write implements net.Conn.
func (conn *countedConn) Write(data []byte) (int, error) {
	delta := trafficCount{}
	conn.mutex.Lock()
	if kind := kindOf(data); kind != "" {
		conn.kind = kind
		delta.calls++
		if conn.unused {
			conn.unused = false
			delta.dials++
		}
	}
	kind := conn.kind
	conn.mutex.Unlock()
	written, err := conn.Conn.Write(data)
	delta.sent = written
	conn.counter.add(conn.address, kind, delta)
	return written, err
}

// Read implements net.Conn.
func (conn *countedConn) Read(data []byte) (int, error) {
	read, err := conn.Conn.Read(data)
	if read > 0 {
		conn.mutex.Lock()
		kind := conn.kind
		conn.mutex.Unlock()
		conn.counter.add(conn.address, kind, trafficCount{received: read})
	}
	return read, err
}

// countedNetwork is a demo.Network that counts the traffic of dialed connections.
type countedNetwork struct {
	demo.Network
	counter *counter
}

// DialContext implements demo.Network.
func (network countedNetwork) DialContext(ctx context.Context, name, address string) (net.Conn, error) {
	conn, err := network.Network.DialContext(ctx, name, address)
	if err != nil {
		return nil, err
	}
	return network.counter.wrap(conn, address), nil
}
