package start

import (
	"context"
	"crypto/tls"
	"errors"
	"net"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/base/metric"
	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/daemon/syncer"
	"jacinthfront.dev/jacinthfront/internal/link/logsvc"
	"jacinthfront.dev/jacinthfront/internal/link/roster"
	"jacinthfront.dev/jacinthfront/internal/wire/conns"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// components holds the components that entry instances and side processes have in
// common.
type components struct {
	environment Environment
	settings    setup.Process
	logger      *zap.Logger
	certs       *conns.CertReloader
	pool        *conns.Pool
	roster      *roster.Roster
	log         *logsvc.Client
	syncer      *syncer.Syncer
	peers       net.Listener
	operators   net.Listener
}

func newComponents(settings setup.Process, environment Environment) (*components, error) {
	components := &components{environment: environment.withDefaults(), settings: settings, logger: environment.Logger}
	if err := components.initLoggerAndPool(); err != nil {
		return nil, err
	}
	if err := components.listen(); err != nil {
		return nil, err
	}
	if err := components.initSyncer(); err != nil {
		components.close()
		return nil, err
	}
	return components, nil
}

// initLoggerAndPool creates the logger and the pool of connections to other
// instances.
func (components *components) initLoggerAndPool() error {
	var err error
	if components.logger == nil {
		components.logger, err = logs.NewLogger(logs.Config{
			Level: components.settings.Log.Level, Text: components.settings.Log.Format == "text", Instance: components.settings.Instance,
		})
		if err != nil {
			return err
		}
	}
	config := conns.Config{Dial: components.environment.Dial}
	if files := components.settings.TLS; files.Enabled() {
		components.certs, err = conns.NewCertReloader(conns.CertFiles{Cert: files.CertFile, Key: files.KeyFile, CA: files.CAFile})
		if err != nil {
			return err
		}
		config.TLS = components.certs.ClientConfig
	}
	components.pool = conns.New(config)
	return nil
}

// listen opens the listeners for peers and operators.
func (components *components) listen() error {
	var err error
	if components.peers, err = components.bind("listen.peers", components.settings.Listen.Peers); err != nil {
		return err
	}
	components.operators, err = components.bind("listen.operators", components.settings.Listen.Operators)
	if err != nil {
		_ = components.peers.Close()
	}
	return err
}

// bind opens a listener. The address of a side process also excludes a second side
// process for the same upstream at this address, since the kernel releases the
// address only when the process ends.
func (components *components) bind(key, address string) (net.Listener, error) {
	listener, err := components.environment.Listen(address)
	if err != nil {
		return nil, fault.New(fault.Invalid, fault.NotRun,
			"cannot listen on %s (%s): %v; end the process that holds the address or change the setting", address, key, err)
	}
	return listener, nil
}

// initSyncer creates the syncer and the clients of the instance list and the log.
func (components *components) initSyncer() error {
	components.roster = roster.New(roster.Config{
		URL: components.settings.Platform.InstancesURL, HTTP: components.environment.HTTP, Logger: components.logger,
	})
	components.log = logsvc.New(logsvc.Config{URL: components.settings.Platform.LogURL, HTTP: components.environment.HTTP})
	var err error
	components.syncer, err = syncer.New(syncer.Config{
		Instance:       components.settings.Instance,
		Address:        components.settings.Listen.Peers,
		Log:            ConfigLog{Client: components.log},
		PeerAddresses:  components.peerAddresses,
		DialPeer:       components.dialPeer,
		Logger:         components.logger,
		IsolationLimit: components.settings.IsolationLimit,
		LogRetention:   components.settings.LogRetention,
	})
	if err == nil {
		metric.Map("config").Set(components.settings.Instance, components.syncer.Metrics())
	}
	return err
}

// close closes the listeners.
func (components *components) close() {
	_ = components.peers.Close()
	_ = components.operators.Close()
}

func (components *components) peerAddresses() []string {
	var addresses []string
	for _, instance := range components.roster.Instances() {
		if instance.ID != components.settings.Instance && instance.Address != "" {
			addresses = append(addresses, instance.Address)
		}
	}
	return addresses
}

func (components *components) dialPeer(ctx context.Context, address string) (syncer.PeerConn, error) {
	conn, err := components.pool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// run serves peers, and keeps the configuration and the instance list up to date,
// until ctx ends.
func (components *components) run(ctx context.Context, group *errgroup.Group, register conns.RegisterServices) {
	group.Go(func() error { return ignoreCancel(ctx, components.roster.Run(ctx)) })
	group.Go(func() error { return ignoreCancel(ctx, components.syncer.Run(ctx)) })
	group.Go(func() error {
		return ignoreCancel(ctx, conns.Serve(ctx, components.peers, components.serverTLS(), register))
	})
}

func (components *components) serverTLS() *tls.Config {
	if components.certs == nil {
		return nil
	}
	return components.certs.ServerConfig()
}

// ignoreCancel returns nil for an error that the end of a context has caused.
func ignoreCancel(ctx context.Context, err error) error {
	if ctx.Err() == nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// registerPeer registers the Peer service, which every process serves.
func (components *components) registerPeer(mux drpc.Mux, status statusFunc) error {
	return wirepb.DRPCRegisterPeer(mux, &peerServer{components: components, status: status})
}
