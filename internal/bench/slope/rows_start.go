package slope

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/daemon/start"
	"jacinthfront.dev/jacinthfront/internal/daemon/syncer"
	"jacinthfront.dev/jacinthfront/internal/link/logsvc"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/conns"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// logRetention is the retention of the log in the rows about process start. A
// syncer installs a snapshot only if the records before it have expired.
const logRetention = 4 * time.Second

// unreachableLog is a log client whose calls all fail.
type unreachableLog struct{}

var errUnreachable = errors.New("the log is unreachable")

// Append implements syncer.LogClient.
func (unreachableLog) Append(context.Context, string, []byte) (uint64, error) {
	return 0, errUnreachable
}

// Read implements syncer.LogClient.
func (unreachableLog) Read(context.Context, string, uint64, time.Duration) (syncer.LogPage, error) {
	return syncer.LogPage{}, errUnreachable
}

// startCosts measures the bytes and the time until a new process has the
// configuration, from a snapshot on the log and from a peer.
func startCosts(ctx context.Context, sizes []float64) ([]series, error) {
	var table table
	for _, size := range sizes {
		if err := measureStart(ctx, size, &table); err != nil {
			return nil, err
		}
	}
	return table.list(), nil
}

func measureStart(ctx context.Context, size float64, table *table) error {
	logURL, stop, err := serveSnapshotLog(ctx, int(size))
	if err != nil {
		return err
	}
	defer stop()
	counter := newCounter()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return counter.wrap(conn, address), nil
	}
	log := start.ConfigLog{Client: logsvc.New(logsvc.Config{URL: logURL, HTTP: &http.Client{Transport: &http.Transport{DialContext: dial}}})}
	first, err := startSyncer(ctx, syncer.Config{Instance: "first", Log: log}, counter, "-log", size, table)
	if err != nil {
		return err
	}
	defer first.stop()
	address, stopPeer, err := serveSyncer(ctx, first.syncer)
	if err != nil {
		return err
	}
	defer stopPeer()
	pool := conns.New(conns.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }})
	defer func() { _ = pool.Close() }()
	second, err := startSyncer(ctx, syncer.Config{
		Instance: "second", Log: unreachableLog{},
		PeerAddresses: func() []string { return []string{address} },
		DialPeer:      func(ctx context.Context, address string) (syncer.PeerConn, error) { return pool.Get(ctx, address) },
	}, counter, "-peer", size, table)
	if err != nil {
		return err
	}
	second.stop()
	return nil
}

// serveSnapshotLog serves a log that holds only a snapshot, since all earlier
// records have expired. It returns the log's URL and a function that ends it.
func serveSnapshotLog(ctx context.Context, adapters int) (string, func(), error) {
	encoded, err := configSize{organisations: 50, upstreams: 100, adapters: adapters}.encoded()
	if err != nil {
		return "", nil, err
	}
	config := infra.DefaultConfig()
	config.Retention = logRetention
	platform, err := infra.New(config)
	if err != nil {
		return "", nil, err
	}
	platform.Append(syncer.ConfigStream, []byte("expires before it is read"))
	sleep(ctx, logRetention+100*time.Millisecond)
	for _, chunk := range replay.Split(1, 1, encoded) {
		record, err := codec.EncodeChunk(chunk)
		if err != nil {
			return "", nil, err
		}
		platform.Append(syncer.ConfigStream, record)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: platform, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), func() { _ = server.Close() }, nil
}

// runningSyncer is a syncer with the function that stops it.
type runningSyncer struct {
	syncer *syncer.Syncer
	stop   func()
}

// startSyncer starts a syncer, waits until it has a configuration and adds the
// time and the bytes received to table. suffix is -log or -peer.
func startSyncer(ctx context.Context, config syncer.Config, counter *counter, suffix string, size float64, table *table) (runningSyncer, error) {
	started, err := syncer.New(config)
	if err != nil {
		return runningSyncer{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	counter.takeCounts()
	startedAt := time.Now()
	go func() {
		defer close(done)
		_ = started.Run(ctx)
	}()
	running := runningSyncer{started, func() {
		cancel()
		<-done
	}}
	for started.Current().Version() == 0 {
		changed := started.Changed()
		if started.Current().Version() > 0 {
			break
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Second):
			running.stop()
			return runningSyncer{}, fmt.Errorf("no configuration%s after 20 s", suffix)
		}
	}
	table.add(suffix+"-time", "s", size, time.Since(startedAt).Seconds())
	// Only the kind of traffic of this syncer counts, since the first syncer keeps
	// polling the log while the second starts.
	kind := map[string]string{"-log": kindLog, "-peer": kindSync}[suffix]
	table.add(suffix+"-bytes", "MB", size, float64(traffic{counts: counter.takeCounts()}.total(kind).received)/1e6)
	if kind == kindLog {
		// After the snapshot the syncer reads on from the offset that the writer of
		// the snapshot had reached, so that it reads the snapshot's records again.
		sleep(ctx, time.Second)
		table.add(suffix+"-reread", "MB", size, float64(traffic{counts: counter.takeCounts()}.total(kind).received)/1e6)
	}
	return running, nil
}

// syncServer serves the Sync calls of a syncer's peers.
type syncServer struct {
	wirepb.DRPCPeerUnimplementedServer
	syncer *syncer.Syncer
}

// Sync implements wirepb.DRPCPeerServer.
func (server *syncServer) Sync(ctx context.Context, request *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	return server.syncer.Sync(ctx, request)
}

func serveSyncer(ctx context.Context, served *syncer.Syncer) (string, func(), error) {
	return serveDRPC(ctx, nil, func(mux drpc.Mux) error {
		return wirepb.DRPCRegisterPeer(mux, &syncServer{syncer: served})
	})
}

func init() {
	register(row{
		name: "start", description: "start of a fresh process without its configuration", sizeName: "adapters",
		sizes: adapterSizes, target: targetAdapters, measureAll: startCosts,
	})
}
