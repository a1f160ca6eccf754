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
	// MaxMessage is the largest size of a message in bytes, on both sides of a
	// connection.
	MaxMessage = 4 << 20

	defaultDialTimeout       = time.Second
	defaultIdleTimeout       = time.Minute
	defaultMaxIdlePerAddress = 64
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Config configures a Pool.
type Config struct {
	// Dial opens connections. It defaults to TCP with a timeout of one second.
	Dial Dialer
	// TLS returns the client configuration for the next connection. If TLS is nil,
	// connections don't use TLS.
	TLS func() (*tls.Config, error)
	// IdleTimeout is how long an unused connection is kept; it defaults to one
	// minute.
	IdleTimeout time.Duration
	// MaxIdlePerAddress is the largest number of unused connections to one address
	// that are kept; it defaults to 64.
	MaxIdlePerAddress int
}

// Pool keeps unused connections by address, for reuse. A connection returns to
// the pool only after its last stream has ended on both sides.
type Pool struct {
	config Config
	pool   *drpcpool.Pool[string, *drpcconn.Conn]
}

// New returns an empty Pool.
func New(config Config) *Pool {
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	if config.MaxIdlePerAddress == 0 {
		config.MaxIdlePerAddress = defaultMaxIdlePerAddress
	}
	return &Pool{
		config: config,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  config.IdleTimeout,
			KeyCapacity: config.MaxIdlePerAddress,
		}),
	}
}

// Get returns a connection to address for one call at a time, a pooled one if
// there is one. An error is a fault of kind NoUpstream and means that no request
// was sent.
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

// Conn makes drpc calls to one address, one call at a time.
type Conn struct {
	*drpcconn.Conn

	pool    *Pool
	address string
}

// Release returns the connection to the pool. The pool reuses it after its last
// stream has ended on both sides, and drops it if it is closed.
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
