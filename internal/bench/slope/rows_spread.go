package slope

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/daemon/start"
	"jacinthfront.dev/jacinthfront/internal/daemon/syncer"
	"jacinthfront.dev/jacinthfront/internal/link/logsvc"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/conns"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// spreadChanges is the number of patches whose spread is measured, and
	// spreadLimit the time that one may take.
	spreadChanges = 5
	spreadLimit   = 20 * time.Second
)

// spread returns the longest of some times in s in which a patch reaches all
// processes when only the first of them reaches the log.
func spread(ctx context.Context, size float64) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform, err := infra.New(infra.DefaultConfig())
	if err != nil {
		return 0, err
	}
	network := infra.NewPipeNetwork()
	stop, err := network.Serve("platform:80", platform)
	if err != nil {
		return 0, err
	}
	defer stop()
	log := start.ConfigLog{Client: logsvc.New(logsvc.Config{URL: "http://platform:80", HTTP: network.Client()})}
	processes, err := peersWithout(ctx, network, int(size), log)
	if err != nil {
		return 0, err
	}
	ground := &ground{platform: platform}
	if err := ground.publishAll(shape{organisations: 1, upstreams: 1, adapters: 1}, nil); err != nil {
		return 0, err
	}
	if err := awaitAll(ctx, processes, ground.version); err != nil {
		return 0, err
	}
	longest := time.Duration(0)
	for index := range spreadChanges {
		sleep(ctx, time.Second+time.Duration(index)*130*time.Millisecond)
		started := time.Now()
		if err := ground.publish(patch.PutAdapter{Adapter: adapterSpec(index, 1)}); err != nil {
			return 0, err
		}
		if err := awaitAll(ctx, processes, ground.version); err != nil {
			return 0, err
		}
		longest = max(longest, time.Since(started))
	}
	return longest.Seconds(), nil
}

// peersWithout runs syncers of which only the first reaches the log.
func peersWithout(ctx context.Context, network *infra.PipeNetwork, count int, log syncer.LogClient) ([]*syncer.Syncer, error) {
	address := func(index int) string { return fmt.Sprintf("10.0.%d.%d:7000", index>>8, index&255) }
	all := make([]string, count)
	for index := range all {
		all[index] = address(index)
	}
	processes := make([]*syncer.Syncer, 0, count)
	for index, own := range all {
		pool := conns.New(conns.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return network.DialContext(ctx, "tcp", address)
		}})
		context.AfterFunc(ctx, func() { _ = pool.Close() })
		config := syncer.Config{
			Instance: own, Address: own, Log: lostLog{}, Seed: uint64(index + 1),
			// A process's own address answers at once, so that it need not be left out.
			PeerAddresses: func() []string { return all },
			DialPeer:      func(ctx context.Context, address string) (syncer.PeerConn, error) { return pool.Get(ctx, address) },
		}
		if index == 0 {
			config.Log = log
		}
		built, err := syncer.New(config)
		if err != nil {
			return nil, err
		}
		listener, err := network.Listen(own)
		if err != nil {
			return nil, err
		}
		go func() {
			_ = conns.Serve(ctx, listener, nil, func(mux drpc.Mux) error {
				return wirepb.DRPCRegisterPeer(mux, &syncServer{syncer: built})
			})
		}()
		go func() { _ = built.Run(ctx) }()
		processes = append(processes, built)
	}
	return processes, nil
}

// awaitAll waits until all processes have a version.
func awaitAll(ctx context.Context, processes []*syncer.Syncer, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	for index, process := range processes {
		for process.Current().Version() < version {
			if ctx.Err() != nil {
				return fmt.Errorf("process %d of %d lacks version %d after %v", index, len(processes), version, spreadLimit)
			}
			sleep(ctx, 2*time.Millisecond)
		}
	}
	return nil
}

func init() {
	register(row{
		name: "spread-peers", what: "longest of 5 times until a patch is at all processes, of which one reaches the log", unit: "s",
		size: "doublings of 25 processes", sizes: []float64{0, 1, 2, 3, 4, 5}, once: true,
		measure: func(ctx context.Context, size float64) (float64, error) {
			return spread(ctx, float64(25*(int(1)<<int(size))))
		},
	})
}
