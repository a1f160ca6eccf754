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

// expiry is the retention of the log in the rows of a start. Records before the
// snapshot must have expired, since a reader uses a snapshot only then.
const expiry = 4 * time.Second

// lostLog is a log that cannot be reached.
type lostLog struct{}

var errLost = errors.New("the log is out")

// Append implements syncer.LogClient.
func (lostLog) Append(context.Context, string, []byte) (uint64, error) { return 0, errLost }

// Read implements syncer.LogClient.
func (lostLog) Read(context.Context, string, uint64, time.Duration) (syncer.LogPage, error) {
	return syncer.LogPage{}, errLost
}

// fresh measures bytes and time until a fresh process has the configuration,
// from a snapshot on the log and from a peer.
func fresh(ctx context.Context, sizes []float64) ([]series, error) {
	var table table
	for _, size := range sizes {
		if err := freshOf(ctx, size, &table); err != nil {
			return nil, err
		}
	}
	return table.list(), nil
}

func freshOf(ctx context.Context, size float64, table *table) error {
	client, stop, err := snapshotLog(ctx, int(size))
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
	log := start.ConfigLog{Client: logsvc.New(logsvc.Config{URL: client, HTTP: &http.Client{Transport: &http.Transport{DialContext: dial}}})}
	first, err := timeStart(ctx, syncer.Config{Instance: "first", Log: log}, counter, "-log", size, table)
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
	second, err := timeStart(ctx, syncer.Config{
		Instance: "second", Log: lostLog{},
		PeerAddresses: func() []string { return []string{address} },
		DialPeer:      func(ctx context.Context, address string) (syncer.PeerConn, error) { return pool.Get(ctx, address) },
	}, counter, "-peer", size, table)
	if err != nil {
		return err
	}
	second.stop()
	return nil
}

// snapshotLog serves a log of which only a snapshot is left.
func snapshotLog(ctx context.Context, adapters int) (string, func(), error) {
	encoded, err := shape{organisations: 50, upstreams: 100, adapters: adapters}.encoded()
	if err != nil {
		return "", nil, err
	}
	config := infra.DefaultConfig()
	config.Retention = expiry
	platform, err := infra.New(config)
	if err != nil {
		return "", nil, err
	}
	platform.Append(syncer.ConfigStream, []byte("expires before it is read"))
	sleep(ctx, expiry+100*time.Millisecond)
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

// runningSyncer is a syncer with the function that ends it.
type runningSyncer struct {
	syncer *syncer.Syncer
	stop   func()
}

// timeStart runs a syncer until it has a configuration.
func timeStart(ctx context.Context, config syncer.Config, counter *counter, suffix string, size float64, table *table) (runningSyncer, error) {
	built, err := syncer.New(config)
	if err != nil {
		return runningSyncer{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	counter.take()
	started := time.Now()
	go func() {
		defer close(done)
		_ = built.Run(ctx)
	}()
	running := runningSyncer{built, func() {
		cancel()
		<-done
	}}
	for built.Current().Version() == 0 {
		changed := built.Changed()
		if built.Current().Version() > 0 {
			break
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Second):
			running.stop()
			return runningSyncer{}, fmt.Errorf("no configuration%s after 20 s", suffix)
		}
	}
	table.add(suffix+"-time", "s", size, time.Since(started).Seconds())
	// The other syncer of a row keeps polling the log meanwhile.
	kind := map[string]string{"-log": kindLog, "-peer": kindSync}[suffix]
	table.add(suffix+"-bytes", "MB", size, float64(traffic{flows: counter.take()}.kind(kind).received)/1e6)
	if kind == kindLog {
		// Reading resumes where the writer of the snapshot was, so that the
		// snapshot's own records are read once more.
		sleep(ctx, time.Second)
		table.add(suffix+"-reread", "MB", size, float64(traffic{flows: counter.take()}.kind(kind).received)/1e6)
	}
	return running, nil
}

// syncServer serves Sync of a syncer.
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
		name: "start", what: "start of a fresh process without its configuration", size: "adapters",
		sizes: adapterSizes, target: targetAdapters, all: fresh,
	})
}
