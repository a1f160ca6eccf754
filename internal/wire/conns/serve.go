package conns

import (
	"context"
	"crypto/tls"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// RegisterServices adds services to the mux of a server.
type RegisterServices func(mux drpc.Mux) error

// Serve serves drpc calls on the listener's connections until ctx ends. If config
// is nil, connections don't use TLS.
func Serve(ctx context.Context, listener net.Listener, config *tls.Config, register RegisterServices) error {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return err
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, listener)
}
