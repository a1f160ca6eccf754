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

// stubPeer answers Sync and Draw calls at once with fixed responses.
type stubPeer struct {
	wirepb.DRPCPeerUnimplementedServer
	wirepb.DRPCSideUnimplementedServer
}

// Sync implements wirepb.DRPCPeerServer.
func (*stubPeer) Sync(_ context.Context, request *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	return &wirepb.SyncResponse{Version: request.GetVersion(), Offset: request.GetOffset()}, nil
}

// Draw implements wirepb.DRPCSideServer.
func (*stubPeer) Draw(context.Context, *wirepb.DrawRequest) (*wirepb.DrawResponse, error) {
	return &wirepb.DrawResponse{GrantId: 1 << 60, Incarnation: 1 << 40, Tokens: 1000, Level: 100_000, LifetimeUs: 500_000}, nil
}

// serveStubPeer serves a stubPeer on a loopback address until the returned
// function is called.
func serveStubPeer(ctx context.Context) (string, func(), error) {
	return serveDRPC(ctx, nil, func(mux drpc.Mux) error {
		if err := wirepb.DRPCRegisterSide(mux, &stubPeer{}); err != nil {
			return err
		}
		return wirepb.DRPCRegisterPeer(mux, &stubPeer{})
	})
}

// serveDRPC serves on a loopback address until the returned function is called. A
// nil tlsConfig serves without TLS.
func serveDRPC(ctx context.Context, tlsConfig *tls.Config, register conns.RegisterServices) (string, func(), error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = conns.Serve(ctx, listener, tlsConfig, register)
	}()
	return listener.Addr().String(), func() {
		cancel()
		<-done
	}, nil
}

// connectionHeap returns the bytes of heap and stacks of idle connections
// between processes. Both ends are in this process.
func connectionHeap(ctx context.Context, size float64) (float64, error) {
	address, stop, err := serveStubPeer(ctx)
	if err != nil {
		return 0, err
	}
	defer stop()
	pool := conns.New(conns.Config{MaxIdlePerAddress: int(size)})
	defer func() { _ = pool.Close() }()
	bytes, _, err := retainedHeap(func() (struct{}, error) { return struct{}{}, openIdle(ctx, pool, address, int(size)) })
	runtime.KeepAlive(pool)
	return bytes, err
}

// openIdle opens connections, makes a call on each and returns them all to the
// pool.
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
			// All connections are in use at the same time, so that none is shared.
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

// callTime returns a measurement of the processor time in ms of a number of calls
// on one connection, both ends together.
func callTime(call func(ctx context.Context, conn drpc.Conn) error) func(context.Context, float64) (float64, error) {
	return func(ctx context.Context, size float64) (float64, error) {
		address, stop, err := serveStubPeer(ctx)
		if err != nil {
			return 0, err
		}
		defer stop()
		pool := conns.New(conns.Config{})
		defer func() { _ = pool.Close() }()
		perCall, err := processTimePerCall(int(size), func(int) error {
			conn, err := pool.Get(ctx, address)
			if err != nil {
				return err
			}
			defer conn.Release()
			return call(ctx, conn)
		})
		return perCall * size / 1e6, err
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

// instanceList returns the instance list of a fleet.
func instanceList(count int) []infra.Instance {
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

// instanceListCosts measures the instance list: the size of a complete response,
// the memory that the roster keeps for it, and the processor time of a poll after
// one change, less the time that the platform simulator used to answer it.
func instanceListCosts(ctx context.Context, sizes []float64) ([]series, error) {
	result := []series{{suffix: "-answer", unit: "MB"}, {suffix: "-memory", unit: "MB"}, {suffix: "-change", unit: "ms"}}
	for _, size := range sizes {
		values, err := measureInstanceList(ctx, int(size))
		if err != nil {
			return nil, err
		}
		for index, value := range values {
			result[index].points = append(result[index].points, Point{size, value})
		}
	}
	return result, nil
}

func measureInstanceList(ctx context.Context, size int) ([]float64, error) {
	config := infra.DefaultConfig()
	config.ListLag = 0
	platform, err := infra.New(config)
	if err != nil {
		return nil, err
	}
	list := instanceList(size)
	for _, instance := range list {
		if err := platform.PutInstance(instance); err != nil {
			return nil, err
		}
	}
	recorder := &recordingTransport{handler: platform}
	instances := roster.New(roster.Config{URL: "http://platform", HTTP: &http.Client{Transport: recorder}})
	memory, _, err := retainedHeap(func() (struct{}, error) { return struct{}{}, instances.Poll(ctx) })
	complete := float64(recorder.bytes)
	if err != nil {
		return nil, err
	}
	var times []float64
	for index := range repeats {
		list[index].State = infra.StateDraining
		if err := platform.PutInstance(list[index]); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Millisecond)
		before := cpuTime(syscall.RUSAGE_SELF)
		if err := instances.Poll(ctx); err != nil {
			return nil, err
		}
		times = append(times, milliseconds(cpuTime(syscall.RUSAGE_SELF)-before-recorder.cpuTime))
	}
	runtime.KeepAlive(platform)
	return []float64{complete / 1e6, memory / 1e6, median(times)}, nil
}

// recordingTransport passes requests to a handler. It records the length of the
// last response and the processor time that the handler used for it.
type recordingTransport struct {
	handler http.Handler
	bytes   int
	cpuTime time.Duration
}

// RoundTrip implements http.RoundTripper.
func (transport *recordingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	before := cpuTime(syscall.RUSAGE_SELF)
	recorder := httptest.NewRecorder()
	transport.handler.ServeHTTP(recorder, request)
	transport.bytes = recorder.Body.Len()
	transport.cpuTime = cpuTime(syscall.RUSAGE_SELF) - before
	return recorder.Result(), nil
}

func init() {
	callCounts := []float64{1000, 2000, 4000, 8000}
	quick := []float64{100, 200, 300, 400}
	register(
		row{name: "memory-connection", description: "idle connection between two processes, both ends, heap and stacks", unit: "B",
			sizeName: "connections", sizes: []float64{100, 200, 400, 800}, quickSizes: []float64{5, 10, 15, 20}, measure: connectionHeap},
		row{name: "time-sync-call", description: "Sync call without news on loopback, both ends", unit: "ms",
			sizeName: "calls", sizes: callCounts, quickSizes: quick, measure: callTime(callSync)},
		row{name: "time-draw-call", description: "Draw call on loopback, both ends, without the shard's own time", unit: "ms",
			sizeName: "calls", sizes: callCounts, quickSizes: quick, measure: callTime(callDraw)},
		row{name: "list", description: "instance list: complete answer, memory of its view, folding one change", sizeName: "instances",
			sizes: []float64{950, 1900, 3800, 5700, 7620}, quickSizes: []float64{50, 100, 150, 200}, target: targetInstances, measureAll: instanceListCosts},
	)
}
