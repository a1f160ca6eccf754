// Package certs issues short-lived certificates for tests and demos.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"jacinthfront.dev/jacinthfront/internal/wire/conns"
)

// validity is how long a certificate is valid before and after it is issued.
const validity = 24 * time.Hour

// Authority is the certificate authority of one fleet.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "jacinthfront test CA"},
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key}, nil
}

// Issue writes a certificate for a process of the fleet, its key and the
// authority's certificate into a directory, and returns the paths.
func (authority *Authority) Issue(directory string, serial int64) (conns.CertFiles, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return conns.CertFiles{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{conns.CertDNSName},
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.cert, &key.PublicKey, authority.key)
	if err != nil {
		return conns.CertFiles{}, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return conns.CertFiles{}, err
	}
	files := conns.CertFiles{
		Cert: filepath.Join(directory, "cert.pem"),
		Key:  filepath.Join(directory, "key.pem"),
		CA:   filepath.Join(directory, "ca.pem"),
	}
	blocks := []struct {
		file, kind string
		der        []byte
	}{
		{files.Cert, "CERTIFICATE", der},
		{files.Key, "EC PRIVATE KEY", keyDER},
		{files.CA, "CERTIFICATE", authority.cert.Raw},
	}
	for _, block := range blocks {
		text := pem.EncodeToMemory(&pem.Block{Type: block.kind, Bytes: block.der})
		if err := os.WriteFile(block.file, text, 0o600); err != nil {
			return conns.CertFiles{}, err
		}
	}
	return files, nil
}
