package conns

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

const (
	// CertDNSName is the DNS name that the certificates of all processes carry.
	CertDNSName = "jacinthfront.internal"

	certRecheck = 10 * time.Second
)

// CertFiles names the PEM files of one process.
type CertFiles struct {
	Cert string
	Key  string
	CA   string
}

// CertReloader loads certificates and reloads them when the files change. It checks
// the files at most every 10 s.
type CertReloader struct {
	files CertFiles

	mu       sync.Mutex
	checked  time.Time
	modified time.Time
	pair     *tls.Certificate
	pool     *x509.CertPool
}

// NewCertReloader loads the files once, so that wrong ones are found at start.
func NewCertReloader(files CertFiles) (*CertReloader, error) {
	certs := &CertReloader{files: files}
	if _, _, err := certs.current(); err != nil {
		return nil, err
	}
	return certs, nil
}

// ServerConfig returns the configuration of a listener that admits only peers with a
// certificate of the fleet's CA.
func (certs *CertReloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool, err := certs.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// ClientConfig returns the configuration for one outgoing connection.
func (certs *CertReloader) ClientConfig() (*tls.Config, error) {
	pair, pool, err := certs.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*pair},
		RootCAs:      pool,
		ServerName:   CertDNSName,
	}, nil
}

func (certs *CertReloader) current() (*tls.Certificate, *x509.CertPool, error) {
	certs.mu.Lock()
	defer certs.mu.Unlock()
	if certs.pair != nil && time.Since(certs.checked) < certRecheck {
		return certs.pair, certs.pool, nil
	}
	certs.checked = time.Now()
	modified := certs.newest()
	if certs.pair != nil && modified.Equal(certs.modified) {
		return certs.pair, certs.pool, nil
	}
	if err := certs.load(); err != nil {
		if certs.pair != nil {
			return certs.pair, certs.pool, nil
		}
		return nil, nil, err
	}
	certs.modified = modified
	return certs.pair, certs.pool, nil
}

func (certs *CertReloader) newest() time.Time {
	var newest time.Time
	for _, name := range []string{certs.files.Cert, certs.files.Key, certs.files.CA} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (certs *CertReloader) load() error {
	pair, err := tls.LoadX509KeyPair(certs.files.Cert, certs.files.Key)
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "cannot load the certificate: %v; check tls.cert-file and tls.key-file", err)
	}
	pem, err := os.ReadFile(certs.files.CA)
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "cannot read the CA file: %v; check tls.ca-file", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fault.New(fault.Invalid, fault.NotRun, "%s holds no PEM certificate; write the fleet's CA there", certs.files.CA)
	}
	certs.pair, certs.pool = &pair, pool
	return nil
}
