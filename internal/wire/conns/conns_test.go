package conns

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

type peerServer struct {
	wirepb.DRPCPeerUnimplementedServer
}

func (peerServer) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	return &wirepb.StatusResponse{Instance: "side-1"}, nil
}

// authority issues certificates of one fleet.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert: cert, key: key}
}

func (authority authority) issue(t *testing.T, directory string, serial int64) CertFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{FleetName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.cert, &key.PublicKey, authority.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := CertFiles{
		Cert: filepath.Join(directory, "cert.pem"),
		Key:  filepath.Join(directory, "key.pem"),
		CA:   filepath.Join(directory, "ca.pem"),
	}
	writePEM(t, files.Cert, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.CA, "CERTIFICATE", authority.cert.Raw)
	return files
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
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
	certs, err := NewCerts(fleet.issue(t, t.TempDir(), 2))
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
		_ = Serve(ctx, listener, certs.Server(), func(mux drpc.Mux) error {
			return wirepb.DRPCRegisterPeer(mux, &peerServer{})
		})
	}()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := New(Config{TLS: test.client(t)})
			defer func() { _ = pool.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			conn, err := pool.Get(ctx, listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Release()
			response, err := wirepb.NewDRPCPeerClient(conn).Status(ctx, &wirepb.StatusRequest{})
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

func certClient(authority authority) func(t *testing.T) func() (*tls.Config, error) {
	return func(t *testing.T) func() (*tls.Config, error) {
		certs, err := NewCerts(authority.issue(t, t.TempDir(), 3))
		if err != nil {
			t.Fatal(err)
		}
		return certs.Client
	}
}

func TestCertsReload(t *testing.T) {
	fleet := newAuthority(t)
	directory := t.TempDir()
	certs, err := NewCerts(fleet.issue(t, directory, 10))
	if err != nil {
		t.Fatal(err)
	}
	files := fleet.issue(t, directory, 11)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(files.Cert, later, later); err != nil {
		t.Fatal(err)
	}
	certs.mu.Lock()
	certs.checked = time.Time{}
	certs.mu.Unlock()
	config, err := certs.Client()
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
}
