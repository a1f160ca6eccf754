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

// pipes connects clients to servers by address through in-memory pipes.
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

// Dial implements SideDialer.
func (pipes *pipes) Dial(_ context.Context, address string) (Conn, error) {
	conn, err := pipes.dial(address)
	if err != nil {
		return nil, err
	}
	return testConn{drpcconn.New(conn)}, nil
}

type testConn struct{ *drpcconn.Conn }

func (conn testConn) Release() { _ = conn.Close() }

// pipeListener is the callers' listener of the entry instance.
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

// harness is an entry instance with fake side processes, a caller and fakes of
// its other dependencies.
type harness struct {
	t             testing.TB
	entry         *Entry
	config        *Config
	pipes         *pipes
	listener      *pipeListener
	client        *http.Client
	sideProcesses map[string]*fakeSide
	logs          *observer.ObservedLogs
	counters      *fakeCounters
	isolated      bool
	draining      map[string]bool
	current       *conf.Config
}

func (harness *harness) Current() *conf.Config { return harness.current }
func (harness *harness) Isolated() bool        { return harness.isolated }
func (harness *harness) ObserveVersion(uint64) {}
func (harness *harness) CountEntries() int     { return 1 }

// SideProcess implements InstanceSource: the address of a side process is the id of its upstream.
func (harness *harness) SideProcess(upstream string) (Instance, bool) {
	return Instance{Address: upstream, Draining: harness.draining[upstream]}, true
}

// authenticate accepts a key whose id is configured, without checking its secret.
func authenticate(config *conf.Config, key string) (conf.KeySpec, error) {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, keyPrefix), "_")
	if spec, ok := config.Key(id); ok {
		return spec, nil
	}
	return conf.KeySpec{}, fault.New(fault.Unauthenticated, fault.NotRun, "unknown")
}

type fakeCounters struct {
	mutex  sync.Mutex
	values map[string]int64
}

func (fakeCounters *fakeCounters) Add(name string, delta int64) {
	fakeCounters.mutex.Lock()
	defer fakeCounters.mutex.Unlock()
	fakeCounters.values[name] += delta
}

func (fakeCounters *fakeCounters) get(name string) int64 {
	fakeCounters.mutex.Lock()
	defer fakeCounters.mutex.Unlock()
	return fakeCounters.values[name]
}

// runTest runs a test against an entry instance in virtual time.
func runTest(t *testing.T, setup func(*harness), test func(*harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t)
		if setup != nil {
			setup(harness)
		}
		harness.start()
		test(harness)
		harness.client.CloseIdleConnections()
		_ = harness.entry.server.Close()
		// Lets sleeping scripts end.
		time.Sleep(2 * time.Hour)
		synctest.Wait()
	})
}

func newHarness(t testing.TB) *harness {
	core, logs := observer.New(zapcore.InfoLevel)
	harness := &harness{
		t: t, pipes: &pipes{servers: map[string]func(net.Conn){}},
		listener:      &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})},
		sideProcesses: map[string]*fakeSide{}, logs: logs, draining: map[string]bool{},
		counters: &fakeCounters{values: map[string]int64{}}, current: testConfig(),
	}
	for _, upstream := range harness.current.Upstreams() {
		harness.sideProcesses[upstream.ID] = &fakeSide{incarnation: 7, scripts: []func(*wirepb.RunRequest, wirepb.DRPCSide_RunStream) error{completeRun}}
	}
	harness.config = &Config{
		ConfigSource: harness, InstanceSource: harness, Authenticate: authenticate, SideDialer: harness.pipes, Logger: zap.New(core), Counters: harness.counters,
		NewPolicy: func(_ string, _ bool, health policy.Health) policy.Policy { return policy.NewRoundRobin(health) },
		Limits:    DefaultLimits(),
	}
	return harness
}

func (harness *harness) start() {
	for address, fakeSide := range harness.sideProcesses {
		harness.pipes.listen(address, func(conn net.Conn) {
			mux := drpcmux.New()
			_ = wirepb.DRPCRegisterSide(mux, fakeSide)
			_ = drpcserver.New(mux).ServeOne(context.Background(), conn)
		})
	}
	entry, err := New(*harness.config)
	if err != nil {
		harness.t.Fatal(err)
	}
	harness.entry = entry
	go func() { _ = entry.Serve(harness.t.Context(), harness.listener) }()
	harness.client = &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			select {
			case harness.listener.conns <- far:
				return near, nil
			case <-harness.listener.done:
				return nil, net.ErrClosed
			}
		},
	}}
}

// reply is the response that a caller received, or the error.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (harness *harness) request(ctx context.Context, method, path, key, body string, headers ...string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(body))
	if err != nil {
		harness.t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Add(headers[index], headers[index+1])
	}
	return request
}

func (harness *harness) send(request *http.Request) reply {
	response, err := harness.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func (harness *harness) post(path, key, body string, headers ...string) reply {
	return harness.send(harness.request(harness.t.Context(), http.MethodPost, path, key, body, headers...))
}

// chat posts a chat completion with a key of organisation ash.
func (harness *harness) chat(fields string, headers ...string) reply {
	return harness.post("/v1/chat/completions", ashKey, `{"model":"oak","messages":[{"role":"user","content":"hello"}]`+fields+`}`, headers...)
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
