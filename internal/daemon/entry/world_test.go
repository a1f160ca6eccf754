package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	ashKey   = "jf_ash1_0123456789012345678901234567890123456789abc"
	birchKey = "jf_birch1_0123456789012345678901234567890123456789abc"
)

// pipes connects clients to servers by address without a network.
type pipes struct {
	mutex   sync.Mutex
	servers map[string]func(net.Conn)
}

func (pipes *pipes) listen(address string, serve func(net.Conn)) {
	pipes.mutex.Lock()
	defer pipes.mutex.Unlock()
	pipes.servers[address] = serve
}

func (pipes *pipes) dial(address string) (net.Conn, error) {
	pipes.mutex.Lock()
	serve := pipes.servers[address]
	pipes.mutex.Unlock()
	if serve == nil {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	go serve(far)
	return near, nil
}

// Open implements Sides.
func (pipes *pipes) Open(_ context.Context, address string) (Conn, error) {
	conn, err := pipes.dial(address)
	if err != nil {
		return nil, err
	}
	return testConn{drpcconn.New(conn)}, nil
}

type testConn struct{ *drpcconn.Conn }

func (conn testConn) Release() { _ = conn.Close() }

// pipeListener is the listener of the entry instance.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.done:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	listener.once.Do(func() { close(listener.done) })
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// world is an entry instance with fake side processes.
type world struct {
	t        testing.TB
	entry    *Entry
	config   *Config
	pipes    *pipes
	listener *pipeListener
	client   *http.Client
	sides    map[string]*side
	logs     *observer.ObservedLogs
	counts   *counts
	isolated bool
	leaving  map[string]bool
	current  *conf.Config
}

func (world *world) Current() *conf.Config { return world.current }
func (world *world) Isolated() bool        { return world.isolated }
func (world *world) ObserveVersion(uint64) {}
func (world *world) CountEntries() int     { return 1 }

// SideProcess implements Roster: upstreams listen at their ids.
func (world *world) SideProcess(upstream string) (Instance, bool) {
	return Instance{Address: upstream, Draining: world.leaving[upstream]}, true
}

// authenticate checks only the id of a key.
func authenticate(config *conf.Config, key string) (conf.KeySpec, error) {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, keyPrefix), "_")
	if spec, ok := config.Key(id); ok {
		return spec, nil
	}
	return conf.KeySpec{}, fault.New(fault.Unauthenticated, fault.NotRun, "unknown")
}

type counts struct {
	mutex  sync.Mutex
	values map[string]int64
}

func (counts *counts) Add(name string, delta int64) {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	counts.values[name] += delta
}

func (counts *counts) get(name string) int64 {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	return counts.values[name]
}

// run runs test against an entry instance in virtual time.
func run(t *testing.T, setup func(*world), test func(*world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		if setup != nil {
			setup(world)
		}
		world.start()
		test(world)
		world.client.CloseIdleConnections()
		_ = world.entry.server.Close()
		// Lets scripts that sleep come to their end.
		time.Sleep(2 * time.Hour)
		synctest.Wait()
	})
}

func newWorld(t testing.TB) *world {
	core, logs := observer.New(zapcore.InfoLevel)
	world := &world{
		t: t, pipes: &pipes{servers: map[string]func(net.Conn){}},
		listener: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})},
		sides:    map[string]*side{}, logs: logs, leaving: map[string]bool{},
		counts: &counts{values: map[string]int64{}}, current: testConfig(),
	}
	for _, upstream := range world.current.Upstreams() {
		world.sides[upstream.ID] = &side{incarnation: 7, run: []func(*wirepb.RunRequest, wirepb.DRPCSide_RunStream) error{answer}}
	}
	world.config = &Config{
		ConfigSource: world, InstanceSource: world, Authenticate: authenticate, SideDialer: world.pipes, Logger: zap.New(core), Counters: world.counts,
		NewPolicy: func(_ string, _ bool, health policy.Health) policy.Policy { return policy.NewRoundRobin(health) },
		Limits:    DefaultLimits(),
	}
	return world
}

func (world *world) start() {
	for address, side := range world.sides {
		world.pipes.listen(address, func(conn net.Conn) {
			mux := drpcmux.New()
			_ = wirepb.DRPCRegisterSide(mux, side)
			_ = drpcserver.New(mux).ServeOne(context.Background(), conn)
		})
	}
	entry, err := New(*world.config)
	if err != nil {
		world.t.Fatal(err)
	}
	world.entry = entry
	go func() { _ = entry.Serve(world.t.Context(), world.listener) }()
	world.client = &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			select {
			case world.listener.conns <- far:
				return near, nil
			case <-world.listener.done:
				return nil, net.ErrClosed
			}
		},
	}}
}

// reply is what a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (world *world) request(ctx context.Context, method, path, key, body string, headers ...string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(body))
	if err != nil {
		world.t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Add(headers[index], headers[index+1])
	}
	return request
}

func (world *world) send(request *http.Request) reply {
	response, err := world.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func (world *world) post(path, key, body string, headers ...string) reply {
	return world.send(world.request(world.t.Context(), http.MethodPost, path, key, body, headers...))
}

// chat posts a chat completion of organisation ash.
func (world *world) chat(fields string, headers ...string) reply {
	return world.post("/v1/chat/completions", ashKey, `{"model":"oak","messages":[{"role":"user","content":"hello"}]`+fields+`}`, headers...)
}

func testConfig() *conf.Config {
	editor := conf.New().Edit()
	editor.PutOrganisation(conf.OrganisationSpec{Name: "ash", Half: "north"})
	editor.PutOrganisation(conf.OrganisationSpec{Name: "birch"})
	editor.PutKey(conf.KeySpec{ID: "ash1", Organisation: "ash"})
	editor.PutKey(conf.KeySpec{ID: "birch1", Organisation: "birch"})
	editor.PutAdapter(conf.AdapterSpec{Name: "oak", Organisation: "ash", Service: "advisor", Versions: []uint32{1, 2}, DefaultVersion: 2})
	editor.PutAdapter(conf.AdapterSpec{Name: "pine", Service: "advisor", Versions: []uint32{1}, DefaultVersion: 1})
	wait := 20 * time.Second
	editor.PutRoute(conf.RouteSpec{Name: "default", Service: "advisor", Idempotent: true, MaxWait: wait, DefaultMaxTokens: 100})
	editor.PutRoute(conf.RouteSpec{Name: "once", Service: "advisor", MaxWait: wait, DefaultMaxTokens: 100, Class: conf.Patient})
	editor.PutRoute(conf.RouteSpec{Name: "orders", Service: "counter", Plain: true, PathPrefix: "/orders", Methods: []string{"POST"}, MaxWait: wait, Cost: 5})
	editor.PutRoute(conf.RouteSpec{Name: "stock", Service: "counter", Plain: true, PathPrefix: "/stock", Idempotent: true, Open: true, MaxWait: wait, Cost: 1})
	for _, id := range []string{"engine-a", "engine-b"} {
		editor.PutUpstream(conf.UpstreamSpec{ID: id, Service: "advisor", Half: "north"})
	}
	editor.PutUpstream(conf.UpstreamSpec{ID: "engine-c", Service: "advisor", Half: "south"})
	for _, id := range []string{"plain-a", "plain-b"} {
		editor.PutUpstream(conf.UpstreamSpec{ID: id, Service: "counter", Plain: true})
	}
	return editor.Commit(3)
}
