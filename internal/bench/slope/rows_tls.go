package slope

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
	"syscall"
	"time"

	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/wire/conns"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// newCerts returns the certificate of a process, issued by a CA made for this run.
func newCerts() (*conns.CertReloader, error) {
	directory, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{conns.CertDNSName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	if err != nil {
		return nil, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	files := conns.CertFiles{
		Cert: filepath.Join(directory, "cert.pem"), Key: filepath.Join(directory, "key.pem"), CA: filepath.Join(directory, "ca.pem"),
	}
	for file, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: leafDER}, files.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.CA: {Type: "CERTIFICATE", Bytes: caDER},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			return nil, err
		}
	}
	return conns.NewCertReloader(files)
}

// newConnectionCosts measures Sync calls, each on a new connection: bytes in both
// directions and processor time of both ends, without and with TLS.
func newConnectionCosts(ctx context.Context, sizes []float64) ([]series, error) {
	certs, err := newCerts()
	if err != nil {
		return nil, err
	}
	var table table
	for _, size := range sizes {
		if err := measureNewConnections(ctx, size, "-plain", nil, nil, &table); err != nil {
			return nil, err
		}
		if err := measureNewConnections(ctx, size, "-tls", certs.ClientConfig, certs.ServerConfig(), &table); err != nil {
			return nil, err
		}
	}
	return table.list(), nil
}

func measureNewConnections(ctx context.Context, size float64, suffix string, client func() (*tls.Config, error), server *tls.Config, table *table) error {
	address, stop, err := serveDRPC(ctx, server, func(mux drpc.Mux) error {
		return wirepb.DRPCRegisterPeer(mux, &stubPeer{})
	})
	if err != nil {
		return err
	}
	defer stop()
	counter := newCounter()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return counter.wrap(conn, address), nil
	}
	before := cpuTime(syscall.RUSAGE_SELF)
	for range int(size) {
		pool := conns.New(conns.Config{Dial: dial, TLS: client})
		conn, err := pool.Get(ctx, address)
		if err != nil {
			return err
		}
		err = callSync(ctx, conn)
		conn.Release()
		_ = pool.Close()
		if err != nil {
			return err
		}
	}
	table.add(suffix+"-time", "ms", size, milliseconds(cpuTime(syscall.RUSAGE_SELF)-before))
	total := 0
	for _, counted := range counter.takeCounts() {
		total += counted.sent + counted.received
	}
	table.add(suffix+"-bytes", "B", size, float64(total))
	return nil
}

func init() {
	register(row{
		name: "new-connection", description: "Sync call on a new connection, both ends together, payload of TCP", sizeName: "calls",
		sizes: []float64{100, 200, 400, 800}, quickSizes: []float64{5, 10, 15, 20}, measureAll: newConnectionCosts,
	})
}
