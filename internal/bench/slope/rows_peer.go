package slope

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"time"

	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/link/roster"
	"jacinthfront.dev/jacinthfront/internal/wire/conns"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// quietPeer answers calls at once.
type quietPeer struct {
	wirepb.DRPCPeerUnimplementedServer
	wirepb.DRPCSideUnimplementedServer
}

// Sync implements wirepb.DRPCPeerServer.
func (*quietPeer) Sync(_ context.Context, request *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	return &wirepb.SyncResponse{Version: request.GetVersion(), Offset: request.GetOffset()}, nil
}

// Draw implements wirepb.DRPCSideServer.
func (*quietPeer) Draw(context.Context, *wirepb.DrawRequest) (*wirepb.DrawResponse, error) {
	return &wirepb.DrawResponse{GrantId: 1 << 60, Incarnation: 1 << 40, Tokens: 1000, Level: 100_000, LifetimeUs: 500_000}, nil
}

// servePeer serves a quietPeer on loopback until the returned function is called.
func servePeer(ctx context.Context) (string, func(), error) {
	return serveDRPC(ctx, nil, func(mux drpc.Mux) error {
		if err := wirepb.DRPCRegisterSide(mux, &quietPeer{}); err != nil {
			return err
		}
		return wirepb.DRPCRegisterPeer(mux, &quietPeer{})
	})
}

// serveDRPC serves on loopback until the returned function is called.
func serveDRPC(ctx context.Context, secure *tls.Config, add conns.RegisterServices) (string, func(), error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = conns.Serve(ctx, listener, secure, add)
	}()
	return listener.Addr().String(), func() {
		cancel()
		<-done
	}, nil
}

// connectionMemory returns the heap and stacks of idle connections between
// processes. Both ends are in this process.
func connectionMemory(ctx context.Context, size float64) (float64, error) {
	address, stop, err := servePeer(ctx)
	if err != nil {
		return 0, err
	}
	defer stop()
	pool := conns.New(conns.Config{MaxIdlePerAddress: int(size)})
	defer func() { _ = pool.Close() }()
	bytes, _, err := heapOf(func() (struct{}, error) { return struct{}{}, openIdle(ctx, pool, address, int(size)) })
	runtime.KeepAlive(pool)
	return bytes, err
}

// openIdle opens connections, uses each once and gives them all back.
func openIdle(ctx context.Context, pool *conns.Pool, address string, count int) error {
	open := make([]*conns.Conn, 0, count)
	for range count {
		conn, err := pool.Get(ctx, address)
		if err != nil {
			return err
		}
		open = append(open, conn)
	}
	var calls sync.WaitGroup
	failed := make(chan error, count)
	for _, conn := range open {
		calls.Go(func() {
			// Calls at the same time need a connection each.
			if _, err := wirepb.NewDRPCPeerClient(conn).Sync(ctx, &wirepb.SyncRequest{}); err != nil {
				failed <- err
			}
		})
	}
	calls.Wait()
	for _, conn := range open {
		conn.Release()
	}
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// calls returns points of processor time in ms against a number of calls on one
// connection, both ends together.
func calls(call func(ctx context.Context, conn drpc.Conn) error) func(context.Context, float64) (float64, error) {
	return func(ctx context.Context, size float64) (float64, error) {
		address, stop, err := servePeer(ctx)
		if err != nil {
			return 0, err
		}
		defer stop()
		pool := conns.New(conns.Config{})
		defer func() { _ = pool.Close() }()
		each, err := processorPer(int(size), func(int) error {
			conn, err := pool.Get(ctx, address)
			if err != nil {
				return err
			}
			defer conn.Release()
			return call(ctx, conn)
		})
		return each * size / 1e6, err
	}
}

func callSync(ctx context.Context, conn drpc.Conn) error {
	_, err := wirepb.NewDRPCPeerClient(conn).Sync(ctx, &wirepb.SyncRequest{
		Instance: "side-0001", Version: 1000, Offset: 2000, ConfirmedAgeUs: 100, Address: "10.0.0.1:7000",
	})
	return err
}

func callDraw(ctx context.Context, conn drpc.Conn) error {
	_, err := wirepb.NewDRPCSideClient(conn).Draw(ctx, &wirepb.DrawRequest{
		Organisation: organisationName(1), Shard: 3, Tokens: 1000, Least: 500, ConfigVersion: 1000,
	})
	return err
}

// listed returns the instance list of a fleet.
func listed(count int) []infra.Instance {
	list := make([]infra.Instance, 0, count)
	for index := range count {
		instance := infra.Instance{
			ID: fmt.Sprintf("side-%05d", index), Role: roster.RoleSide, Upstream: upstreamName(index),
			Address: fmt.Sprintf("10.%d.%d.%d:7000", index>>16, index>>8&255, index&255), FailureDomain: domainName(index),
		}
		if index%18 == 0 {
			instance.Role, instance.Upstream = roster.RoleEntry, ""
		}
		list = append(list, instance)
	}
	return list
}

// pollList measures the instance list: bytes of a complete answer, memory of the
// view, and processor time of a poll after one change, the platform's part
// taken off by a poll whose answer is not folded.
func pollList(ctx context.Context, sizes []float64) ([]series, error) {
	result := []series{{suffix: "-answer", unit: "MB"}, {suffix: "-memory", unit: "MB"}, {suffix: "-change", unit: "ms"}}
	for _, size := range sizes {
		values, err := pollListOf(ctx, int(size))
		if err != nil {
			return nil, err
		}
		for index, value := range values {
			result[index].points = append(result[index].points, Point{size, value})
		}
	}
	return result, nil
}

func pollListOf(ctx context.Context, size int) ([]float64, error) {
	config := infra.DefaultConfig()
	config.ListLag = 0
	platform, err := infra.New(config)
	if err != nil {
		return nil, err
	}
	list := listed(size)
	for _, instance := range list {
		if err := platform.PutInstance(instance); err != nil {
			return nil, err
		}
	}
	recorder := &recordingTransport{handler: platform}
	watched := roster.New(roster.Config{URL: "http://platform", HTTP: &http.Client{Transport: recorder}})
	memory, _, err := heapOf(func() (struct{}, error) { return struct{}{}, watched.Poll(ctx) })
	complete := float64(recorder.bytes)
	if err != nil {
		return nil, err
	}
	var costs []float64
	for index := range repeats {
		list[index].State = infra.StateDraining
		if err := platform.PutInstance(list[index]); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Millisecond)
		before := usage(syscall.RUSAGE_SELF)
		if err := watched.Poll(ctx); err != nil {
			return nil, err
		}
		costs = append(costs, milliseconds(usage(syscall.RUSAGE_SELF)-before-recorder.spent))
	}
	runtime.KeepAlive(platform)
	return []float64{complete / 1e6, memory / 1e6, median(costs)}, nil
}

// recordingTransport answers from a handler. It notes the length of the last
// answer and the processor time that the handler spent on it.
type recordingTransport struct {
	handler http.Handler
	bytes   int
	spent   time.Duration
}

// RoundTrip implements http.RoundTripper.
func (transport *recordingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	before := usage(syscall.RUSAGE_SELF)
	recorder := httptest.NewRecorder()
	transport.handler.ServeHTTP(recorder, request)
	transport.bytes = recorder.Body.Len()
	transport.spent = usage(syscall.RUSAGE_SELF) - before
	return recorder.Result(), nil
}

func init() {
	calling := []float64{1000, 2000, 4000, 8000}
	quick := []float64{100, 200, 300, 400}
	register(
		row{name: "memory-connection", what: "idle connection between two processes, both ends, heap and stacks", unit: "B",
			size: "connections", sizes: []float64{100, 200, 400, 800}, quick: []float64{5, 10, 15, 20}, measure: connectionMemory},
		row{name: "time-sync-call", what: "Sync call without news on loopback, both ends", unit: "ms",
			size: "calls", sizes: calling, quick: quick, measure: calls(callSync)},
		row{name: "time-draw-call", what: "Draw call on loopback, both ends, without the shard's own time", unit: "ms",
			size: "calls", sizes: calling, quick: quick, measure: calls(callDraw)},
		row{name: "list", what: "instance list: complete answer, memory of its view, folding one change", size: "instances",
			sizes: []float64{950, 1900, 3800, 5700, 7620}, quick: []float64{50, 100, 150, 200}, target: targetInstances, all: pollList},
	)
}
