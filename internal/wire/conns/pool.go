// Package conns opens and serves the drpc connections between jacinthfront's
// processes.
package conns

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

const (
	// MaxMessage bounds one message in bytes, on both sides of a connection.
	MaxMessage = 4 << 20

	defaultDialTimeout = time.Second
	defaultIdle        = time.Minute
	defaultIdlePerPeer = 64
)

// Dialer opens a stream connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Config configures a Pool.
type Config struct {
	// Dial defaults to TCP with a timeout of one second.
	Dial Dialer
	// TLS returns the client configuration for the next connection; nil means
	// plain connections.
	TLS func() (*tls.Config, error)
	// Idle is how long an unused connection is kept; it defaults to a minute.
	Idle time.Duration
	// MaxIdlePerAddress bounds the unused connections to one address.
	MaxIdlePerAddress int
}

// Pool keeps unused connections by address. A connection returns to the pool
// only after its last stream has ended on both sides.
type Pool struct {
	config Config
	pool   *drpcpool.Pool[string, *drpcconn.Conn]
}

// New returns an empty Pool.
func New(config Config) *Pool {
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	if config.Idle == 0 {
		config.Idle = defaultIdle
	}
	if config.MaxIdlePerAddress == 0 {
		config.MaxIdlePerAddress = defaultIdlePerPeer
	}
	return &Pool{
		config: config,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  config.Idle,
			KeyCapacity: config.MaxIdlePerAddress,
		}),
	}
}

// Get returns a connection to address for one call at a time: an unused one, or
// a new one. An error means that nothing was sent.
func (pool *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if address == "" {
		return nil, fault.New(fault.NoUpstream, fault.NotRun, "the instance list has no address for this instance; try again")
	}
	conn, ok := pool.pool.Take(address)
	if !ok {
		var err error
		if conn, err = pool.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	return &Conn{Conn: conn, pool: pool, address: address}, nil
}

// Close closes all unused connections.
func (pool *Pool) Close() error { return pool.pool.Close() }

// Conn makes drpc calls to one address, one at a time.
type Conn struct {
	*drpcconn.Conn

	pool    *Pool
	address string
}

// Release gives the connection back. It is used again only after its last
// stream has ended on both sides; a closed one is dropped.
func (conn *Conn) Release() { conn.pool.pool.Put(conn.address, conn.Conn) }

func (pool *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	raw, err := pool.config.Dial(ctx, address)
	if err != nil {
		return nil, fault.New(fault.NoUpstream, fault.NotRun, "cannot connect to %s: %v; check that the instance is up", address, err)
	}
	secured, err := pool.secure(ctx, raw)
	if err != nil {
		_ = raw.Close()
		return nil, fault.New(fault.NoUpstream, fault.NotRun, "TLS handshake with %s failed: %v; check certificates and the CA file", address, err)
	}
	return drpcconn.NewWithOptions(secured, drpcconn.Options{Manager: managerOptions()}), nil
}

func (pool *Pool) secure(ctx context.Context, raw net.Conn) (net.Conn, error) {
	if pool.config.TLS == nil {
		return raw, nil
	}
	config, err := pool.config.TLS()
	if err != nil {
		return nil, err
	}
	secured := tls.Client(raw, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return secured, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: defaultDialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}
