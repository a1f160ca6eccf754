package slope

import (
	"bytes"
	"context"
	"net"
	"sync"

	"jacinthfront.dev/jacinthfront/internal/bench/demo"
)

// The kinds of traffic.
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

// marks tells the kind of an exchange by a text in its first write.
var marks = []struct{ text, kind string }{
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

// kindOf returns the kind of the exchange that a write begins, or an empty text
// when it begins none. Payloads can imitate the marks of other exchanges; those
// of the rows do not.
func kindOf(data []byte) string {
	for _, mark := range marks {
		if bytes.Contains(data, []byte(mark.text)) {
			return mark.kind
		}
	}
	return ""
}

// flow is what was counted for one address and kind.
type flow struct {
	// sent and received are bytes as the dialing side sees them, without the
	// headers of TCP and IP.
	sent, received int
	calls, dials   int
}

type flowKey struct{ address, kind string }

// counter counts the traffic of connections that were dialed through it. It
// keeps the kind of the exchange that was begun last on each connection; drpc
// and HTTP/1.1 run one exchange at a time.
type counter struct {
	mutex sync.Mutex
	flows map[flowKey]flow
}

func newCounter() *counter { return &counter{flows: map[flowKey]flow{}} }

func (counter *counter) add(address, kind string, added flow) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	key := flowKey{address, kind}
	sum := counter.flows[key]
	sum.sent += added.sent
	sum.received += added.received
	sum.calls += added.calls
	sum.dials += added.dials
	counter.flows[key] = sum
}

// take returns what was counted since the last take.
func (counter *counter) take() map[flowKey]flow {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	taken := counter.flows
	counter.flows = map[flowKey]flow{}
	return taken
}

// wrap counts the traffic of a connection to an address.
func (counter *counter) wrap(conn net.Conn, address string) net.Conn {
	return &countedConn{Conn: conn, counter: counter, address: address, kind: kindOther, fresh: true}
}

// countedConn is a connection whose traffic is counted.
type countedConn struct {
	net.Conn
	counter *counter
	address string

	mutex sync.Mutex
	kind  string
	fresh bool
}

// Write implements net.Conn.
func (conn *countedConn) Write(data []byte) (int, error) {
	added := flow{}
	conn.mutex.Lock()
	if kind := kindOf(data); kind != "" {
		conn.kind = kind
		added.calls++
		if conn.fresh {
			conn.fresh = false
			added.dials++
		}
	}
	kind := conn.kind
	conn.mutex.Unlock()
	written, err := conn.Conn.Write(data)
	added.sent = written
	conn.counter.add(conn.address, kind, added)
	return written, err
}

// Read implements net.Conn.
func (conn *countedConn) Read(data []byte) (int, error) {
	read, err := conn.Conn.Read(data)
	if read > 0 {
		conn.mutex.Lock()
		kind := conn.kind
		conn.mutex.Unlock()
		conn.counter.add(conn.address, kind, flow{received: read})
	}
	return read, err
}

// countedNetwork is a demo.Network whose traffic is counted.
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
