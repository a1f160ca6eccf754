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

// parts holds what both roles share.
type parts struct {
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

func newParts(settings setup.Process, environment Environment) (*parts, error) {
	parts := &parts{environment: environment.withDefaults(), settings: settings, logger: environment.Logger}
	if err := parts.prepare(); err != nil {
		return nil, err
	}
	if err := parts.listen(); err != nil {
		return nil, err
	}
	if err := parts.follow(); err != nil {
		parts.close()
		return nil, err
	}
	return parts, nil
}

func (parts *parts) prepare() error {
	var err error
	if parts.logger == nil {
		parts.logger, err = logs.NewLogger(logs.Config{
			Level: parts.settings.Log.Level, Text: parts.settings.Log.Format == "text", Instance: parts.settings.Instance,
		})
		if err != nil {
			return err
		}
	}
	config := conns.Config{Dial: parts.environment.Dial}
	if files := parts.settings.TLS; files.Enabled() {
		parts.certs, err = conns.NewCertReloader(conns.CertFiles{Cert: files.CertFile, Key: files.KeyFile, CA: files.CAFile})
		if err != nil {
			return err
		}
		config.TLS = parts.certs.ClientConfig
	}
	parts.pool = conns.New(config)
	return nil
}

func (parts *parts) listen() error {
	var err error
	if parts.peers, err = parts.bind("listen.peers", parts.settings.Listen.Peers); err != nil {
		return err
	}
	parts.operators, err = parts.bind("listen.operators", parts.settings.Listen.Operators)
	if err != nil {
		_ = parts.peers.Close()
	}
	return err
}

// bind opens a listener. The address of a side process also excludes a second
// one for the same upstream, since the kernel frees it only when the process ends.
func (parts *parts) bind(key, address string) (net.Listener, error) {
	listener, err := parts.environment.Listen(address)
	if err != nil {
		return nil, fault.New(fault.Invalid, fault.NotRun,
			"cannot listen on %s (%s): %v; end the process that holds the address or change the setting", address, key, err)
	}
	return listener, nil
}

func (parts *parts) follow() error {
	parts.roster = roster.New(roster.Config{
		URL: parts.settings.Platform.InstancesURL, HTTP: parts.environment.HTTP, Logger: parts.logger,
	})
	parts.log = logsvc.New(logsvc.Config{URL: parts.settings.Platform.LogURL, HTTP: parts.environment.HTTP})
	var err error
	parts.syncer, err = syncer.New(syncer.Config{
		Instance:       parts.settings.Instance,
		Address:        parts.settings.Listen.Peers,
		Log:            SyncLog{Client: parts.log},
		Peers:          parts.peerAddresses,
		Dial:           parts.dialPeer,
		Logger:         parts.logger,
		IsolationLimit: parts.settings.IsolationLimit,
		Retention:      parts.settings.LogRetention,
	})
	if err == nil {
		metric.Map("config").Set(parts.settings.Instance, parts.syncer.Metrics())
	}
	return err
}

func (parts *parts) close() {
	_ = parts.peers.Close()
	_ = parts.operators.Close()
}

func (parts *parts) peerAddresses() []string {
	var addresses []string
	for _, instance := range parts.roster.Instances() {
		if instance.ID != parts.settings.Instance && instance.Address != "" {
			addresses = append(addresses, instance.Address)
		}
	}
	return addresses
}

func (parts *parts) dialPeer(ctx context.Context, address string) (syncer.PeerConn, error) {
	conn, err := parts.pool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// run serves peers and follows log, peers and instance list until ctx ends.
func (parts *parts) run(ctx context.Context, group *errgroup.Group, register conns.RegisterServices) {
	group.Go(func() error { return ended(ctx, parts.roster.Run(ctx)) })
	group.Go(func() error { return ended(ctx, parts.syncer.Run(ctx)) })
	group.Go(func() error { return ended(ctx, conns.Serve(ctx, parts.peers, parts.serverTLS(), register)) })
}

func (parts *parts) serverTLS() *tls.Config {
	if parts.certs == nil {
		return nil
	}
	return parts.certs.ServerConfig()
}

// ended drops the errors with which parts report the end of their context.
func ended(ctx context.Context, err error) error {
	if ctx.Err() == nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// registerPeer adds the service that every process serves.
func (parts *parts) registerPeer(mux drpc.Mux, status statusFunc) error {
	return wirepb.DRPCRegisterPeer(mux, &peerServer{parts: parts, status: status})
}
