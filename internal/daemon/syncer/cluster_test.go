package syncer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// fakeLog is the log service of a test. It keeps every record that was ever
// appended, and serves those within the retention.
type fakeLog struct {
	mutex     sync.Mutex
	random    *rand.Rand
	retention time.Duration
	records   []LogRecord
	changed   chan struct{}
}

func newFakeLog(seed uint64, retention time.Duration) *fakeLog {
	return &fakeLog{random: rand.New(rand.NewPCG(seed, 1)), retention: retention, changed: make(chan struct{})}
}

func (log *fakeLog) add(data []byte) uint64 {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	offset := uint64(len(log.records))
	log.records = append(log.records, LogRecord{Offset: offset, Time: time.Now(), Data: data})
	close(log.changed)
	log.changed = make(chan struct{})
	return offset
}

// page returns up to 8 records from an offset on, and a channel that is closed at
// the next append.
func (log *fakeLog) page(from uint64) (LogPage, <-chan struct{}) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	page := LogPage{NextOffset: uint64(len(log.records))}
	for page.FirstOffset < page.NextOffset && time.Since(log.records[page.FirstOffset].Time) > log.retention {
		page.FirstOffset++
	}
	for offset := max(from, page.FirstOffset); offset < page.NextOffset && len(page.Records) < 8; offset++ {
		page.Records = append(page.Records, log.records[offset])
	}
	return page, log.changed
}

// allRecords returns every record that was ever appended.
func (log *fakeLog) allRecords() []LogRecord {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return slices.Clone(log.records)
}

// oneIn reports true with a probability of 1/n.
func (log *fakeLog) oneIn(n int) bool {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.random.IntN(n) == 0
}

// link implements LogClient for one process. A test can cut its connection to the
// log.
type link struct {
	log            *fakeLog
	mutex          sync.Mutex
	cut            chan struct{} // closed while the link is cut
	hangs          bool          // whether calls hang while the link is cut, instead of failing at once
	lostReplyOneIn int           // one append in so many loses its reply; none if 0
}

func newLink(log *fakeLog) *link { return &link{log: log, cut: make(chan struct{})} }

// setUp cuts or restores the link.
func (link *link) setUp(up, hangs bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.hangs = hangs
	select {
	case <-link.cut:
		if up {
			link.cut = make(chan struct{})
		}
	default:
		if !up {
			close(link.cut)
		}
	}
}

func (link *link) setLostReplies(oneIn int) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.lostReplyOneIn = oneIn
}

func (link *link) lostReplies() int {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.lostReplyOneIn
}

func (link *link) state() (<-chan struct{}, bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.cut, link.hangs
}

func (link *link) Append(ctx context.Context, _ string, data []byte) (uint64, error) {
	time.Sleep(2 * time.Millisecond)
	cut, hangs := link.state()
	select {
	case <-cut:
		return 0, link.fail(ctx, hangs)
	default:
	}
	offset := link.log.add(data)
	if oneIn := link.lostReplies(); oneIn > 0 && link.log.oneIn(oneIn) {
		return 0, fault.New(fault.LogUnavailable, fault.RunUnknown, "reply lost")
	}
	return offset, nil
}

func (link *link) Read(ctx context.Context, _ string, from uint64, wait time.Duration) (LogPage, error) {
	time.Sleep(2 * time.Millisecond)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		cut, hangs := link.state()
		page, changed := link.log.page(from)
		select {
		case <-cut:
			return LogPage{}, link.fail(ctx, hangs)
		default:
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-cut:
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return LogPage{}, ctx.Err()
		}
	}
}

// fail returns the error of a call while the link is cut.
func (link *link) fail(ctx context.Context, hangs bool) error {
	if hangs {
		<-ctx.Done()
		return fault.New(fault.LogUnavailable, fault.RunUnknown, "log does not answer")
	}
	return fault.New(fault.LogUnavailable, fault.NotRun, "log is out")
}

// network carries the Sync calls between the processes of a test.
type network struct {
	mutex   sync.Mutex
	servers map[string]*Syncer // by the name of the process
	cut     map[string]bool    // processes that no call reaches or leaves
}

func newNetwork() *network {
	return &network{servers: map[string]*Syncer{}, cut: map[string]bool{}}
}

// server returns the process that a call reaches, or nil if there is none.
func (network *network) server(from, to string) *Syncer {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.cut[from] || network.cut[to] {
		return nil
	}
	return network.servers[to]
}

func (network *network) setCut(name string, cut bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.cut[name] = cut
}

// fakeConn implements PeerConn by a direct call to the server's Sync.
type fakeConn struct {
	drpc.Conn
	server *Syncer
}

func (conn fakeConn) Release() {}

// Invoke encodes and decodes both messages, as a real connection does.
func (conn fakeConn) Invoke(ctx context.Context, _ string, encoding drpc.Encoding, in, out drpc.Message) error {
	time.Sleep(time.Millisecond)
	data, err := encoding.Marshal(in)
	if err != nil {
		return err
	}
	var request wirepb.SyncRequest
	if err := proto.Unmarshal(data, &request); err != nil {
		return err
	}
	response, err := conn.server.Sync(ctx, &request)
	if err != nil {
		return err
	}
	if data, err = encoding.Marshal(response); err != nil {
		return err
	}
	return encoding.Unmarshal(data, out)
}

// member is one process of a cluster. A test can stop and restart it.
type member struct {
	*Syncer
	name string
	link *link
	stop func()
}

// cluster is a set of processes that share a log service and a network.
type cluster struct {
	t         *testing.T
	log       *fakeLog
	network   *network
	members   []*member
	configure func(*Config)
}

// newCluster starts as many processes as count says. configure may be nil; it
// changes the Config of each process before its start.
func newCluster(t *testing.T, seed uint64, retention time.Duration, count int, configure func(*Config)) *cluster {
	cluster := &cluster{t: t, log: newFakeLog(seed, retention), network: newNetwork(), configure: configure}
	for index := range count {
		member := &member{name: fmt.Sprintf("instance-%d", index), link: newLink(cluster.log)}
		cluster.members = append(cluster.members, member)
	}
	for _, member := range cluster.members {
		cluster.start(member)
	}
	return cluster
}

// start starts a process, with all others as its peers.
func (cluster *cluster) start(member *member) {
	var peers []string
	for _, peer := range cluster.members {
		if peer != member {
			peers = append(peers, peer.name)
		}
	}
	config := Config{
		Instance: member.name, Address: member.name, Log: member.link, LogRetention: cluster.log.retention,
		PeerAddresses: func() []string { return peers }, Seed: uint64(len(member.name)),
		DialPeer: func(_ context.Context, address string) (PeerConn, error) {
			if server := cluster.network.server(member.name, address); server != nil {
				return fakeConn{server: server}, nil
			}
			return nil, fault.New(fault.NoUpstream, fault.NotRun, "peer is out of reach")
		},
	}
	if cluster.configure != nil {
		cluster.configure(&config)
	}
	started, err := New(config)
	if err != nil {
		cluster.t.Fatal(err)
	}
	member.Syncer = started
	cluster.network.mutex.Lock()
	cluster.network.servers[member.name] = started
	cluster.network.mutex.Unlock()
	ctx, cancel := context.WithCancel(cluster.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = started.Run(ctx)
	}()
	member.stop = func() {
		cancel()
		<-done
		cluster.network.mutex.Lock()
		delete(cluster.network.servers, member.name)
		cluster.network.mutex.Unlock()
	}
}

// stop stops all processes.
func (cluster *cluster) stop() {
	for _, member := range cluster.members {
		member.stop()
	}
}

// randomPatch returns a patch that puts an upstream, or puts or removes an adapter.
func randomPatch(random *rand.Rand, id string, base uint64) patch.Patch {
	name := fmt.Sprintf("name-%d", random.IntN(40))
	var op patch.Op = patch.PutUpstream{Upstream: conf.UpstreamSpec{ID: name, Service: "advisor", FailureDomain: "one"}}
	switch random.IntN(4) {
	case 0:
		op = patch.PutAdapter{Adapter: conf.AdapterSpec{Name: name, Service: "advisor", Versions: []uint32{1}, DefaultVersion: 1}}
	case 1:
		op = patch.RemoveAdapter{Name: name}
	}
	return patch.Patch{ID: id, BaseVersion: base, Operator: "anna", Ops: []patch.Op{op}}
}
