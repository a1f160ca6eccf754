package conns_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/bench/certs"
	"jacinthfront.dev/jacinthfront/internal/wire/conns"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

type peerServer struct {
	wirepb.DRPCPeerUnimplementedServer
}

func (peerServer) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	return &wirepb.StatusResponse{Instance: "side-1"}, nil
}

// newAuthority returns a certificate authority, or fails the test.
func newAuthority(t *testing.T) *certs.Authority {
	t.Helper()
	authority, err := certs.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// issue writes a certificate of the authority and its key to a directory and
// returns the files, or fails the test.
func issue(t *testing.T, authority *certs.Authority, directory string, serial int64) conns.CertFiles {
	t.Helper()
	files, err := authority.Issue(directory, serial)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestTLS(t *testing.T) {
	fleet, stranger := newAuthority(t), newAuthority(t)
	tests := []struct {
		name   string
		guards string
		client func(t *testing.T) func() (*tls.Config, error)
		ok     bool
	}{
		{"same fleet", "peers of the fleet must be admitted", certClient(fleet), true},
		{"other CA", "a process with another CA must be refused", certClient(stranger), false},
		{"no TLS", "a plain connection must be refused", func(*testing.T) func() (*tls.Config, error) { return nil }, false},
	}
	loaded, err := conns.NewCertReloader(issue(t, fleet, t.TempDir(), 2))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = conns.Serve(ctx, listener, loaded.ServerConfig(), func(mux drpc.Mux) error {
			return wirepb.DRPCRegisterPeer(mux, &peerServer{})
		})
	}()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := conns.New(conns.Config{TLS: test.client(t)})
			defer func() { _ = pool.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			response, err := status(ctx, pool, listener.Addr().String())
			if diff := cmp.Diff(test.ok, err == nil); diff != "" {
				t.Fatalf("%s: %v\n%s", test.guards, err, diff)
			}
			if test.ok && response.Instance != "side-1" {
				t.Errorf("instance %q", response.Instance)
			}
		})
	}
	cancel()
	<-served
}

func status(ctx context.Context, pool *conns.Pool, address string) (*wirepb.StatusResponse, error) {
	conn, err := pool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Release()
	return wirepb.NewDRPCPeerClient(conn).Status(ctx, &wirepb.StatusRequest{})
}

// TestNothingSent guards against a failed dial that is reported like a lost
// response: requests that are not idempotent would end with an unknown outcome
// instead of being sent again.
func TestNothingSent(t *testing.T) {
	pool := conns.New(conns.Config{Dial: func(context.Context, string) (net.Conn, error) {
		return nil, errors.New("connection refused")
	}})
	for _, address := range []string{"127.0.0.1:1", ""} {
		_, err := pool.Get(t.Context(), address)
		reason, ok := fault.As(err)
		if !ok || reason.Ran() != fault.NotRun {
			t.Errorf("address %q: %v, want a fault that says not-run", address, err)
		}
	}
}

func certClient(authority *certs.Authority) func(t *testing.T) func() (*tls.Config, error) {
	return func(t *testing.T) func() (*tls.Config, error) {
		loaded, err := conns.NewCertReloader(issue(t, authority, t.TempDir(), 3))
		if err != nil {
			t.Fatal(err)
		}
		return loaded.ClientConfig
	}
}

func TestCertsReload(t *testing.T) {
	fleet := newAuthority(t)
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		loaded, err := conns.NewCertReloader(issue(t, fleet, directory, 10))
		if err != nil {
			t.Fatal(err)
		}
		files := issue(t, fleet, directory, 11)
		later := time.Now().Add(time.Hour)
		if err := os.Chtimes(files.Cert, later, later); err != nil {
			t.Fatal(err)
		}
		time.Sleep(11 * time.Second)
		config, err := loaded.ClientConfig()
		if err != nil {
			t.Fatal(err)
		}
		leaf, err := x509.ParseCertificate(config.Certificates[0].Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(int64(11), leaf.SerialNumber.Int64()); diff != "" {
			t.Errorf("a renewed certificate must be used without a restart: %s", diff)
		}
	})
}
