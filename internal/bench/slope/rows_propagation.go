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
	// propagationPatches is the number of patches whose propagation is measured,
	// and propagationTimeout the time that each may take.
	propagationPatches = 5
	propagationTimeout = 20 * time.Second
)

// propagationTime returns the longest time in s until a patch is at all
// processes, of which only the first reaches the log; the others get it from
// peers.
func propagationTime(ctx context.Context, size float64) (float64, error) {
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
	processes, err := startSyncers(ctx, network, int(size), log)
	if err != nil {
		return 0, err
	}
	environment := &environment{platform: platform}
	if err := environment.publishConfig(configSize{organisations: 1, upstreams: 1, adapters: 1}, nil); err != nil {
		return 0, err
	}
	if err := awaitVersion(ctx, processes, environment.version); err != nil {
		return 0, err
	}
	longest := time.Duration(0)
	for index := range propagationPatches {
		sleep(ctx, time.Second+time.Duration(index)*130*time.Millisecond)
		started := time.Now()
		if err := environment.publishPatch(patch.PutAdapter{Adapter: adapterSpec(index, 1)}); err != nil {
			return 0, err
		}
		if err := awaitVersion(ctx, processes, environment.version); err != nil {
			return 0, err
		}
		longest = max(longest, time.Since(started))
	}
	return longest.Seconds(), nil
}

// startSyncers runs syncers that are peers of each other; only the first reaches
// the log.
func startSyncers(ctx context.Context, network *infra.PipeNetwork, count int, log syncer.LogClient) ([]*syncer.Syncer, error) {
	address := func(index int) string { return fmt.Sprintf("10.0.%d.%d:7000", index>>8, index&255) }
	addresses := make([]string, count)
	for index := range addresses {
		addresses[index] = address(index)
	}
	processes := make([]*syncer.Syncer, 0, count)
	for index, ownAddress := range addresses {
		pool := conns.New(conns.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return network.DialContext(ctx, "tcp", address)
		}})
		context.AfterFunc(ctx, func() { _ = pool.Close() })
		config := syncer.Config{
			Instance: ownAddress, Address: ownAddress, Log: unreachableLog{}, Seed: uint64(index + 1),
			// The list includes the syncer's own address. It need not be left out,
			// since a Sync call there is answered at once.
			PeerAddresses: func() []string { return addresses },
			DialPeer:      func(ctx context.Context, address string) (syncer.PeerConn, error) { return pool.Get(ctx, address) },
		}
		if index == 0 {
			config.Log = log
		}
		peer, err := syncer.New(config)
		if err != nil {
			return nil, err
		}
		listener, err := network.Listen(ownAddress)
		if err != nil {
			return nil, err
		}
		go func() {
			_ = conns.Serve(ctx, listener, nil, func(mux drpc.Mux) error {
				return wirepb.DRPCRegisterPeer(mux, &syncServer{syncer: peer})
			})
		}()
		go func() { _ = peer.Run(ctx) }()
		processes = append(processes, peer)
	}
	return processes, nil
}

// awaitVersion waits until all processes have at least a version of the
// configuration.
func awaitVersion(ctx context.Context, processes []*syncer.Syncer, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for index, process := range processes {
		for process.Current().Version() < version {
			if ctx.Err() != nil {
				return fmt.Errorf("process %d of %d lacks version %d after %v", index, len(processes), version, propagationTimeout)
			}
			sleep(ctx, 2*time.Millisecond)
		}
	}
	return nil
}

func init() {
	register(row{
		name: "spread-peers", description: "longest of 5 times until a patch is at all processes, of which one reaches the log", unit: "s",
		sizeName: "doublings of 25 processes", sizes: []float64{0, 1, 2, 3, 4, 5}, measureOnce: true,
		measure: func(ctx context.Context, size float64) (float64, error) {
			return propagationTime(ctx, float64(25*(int(1)<<int(size))))
		},
	})
}
