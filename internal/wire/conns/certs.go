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
	// CertDNSName is the DNS name in the certificates of all processes.
	CertDNSName = "jacinthfront.internal"

	certCheckInterval = 10 * time.Second
)

// CertFiles holds the paths of the PEM files of one process.
type CertFiles struct {
	Cert string
	Key  string
	CA   string
}

// CertReloader loads certificates and reloads them when the files change. It
// checks the files at most every 10 s. If reloading fails, the loaded
// certificates stay in use.
type CertReloader struct {
	files CertFiles

	mu          sync.Mutex
	checkedAt   time.Time
	modifiedAt  time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// NewCertReloader loads the files and returns an error if they are missing or
// invalid.
func NewCertReloader(files CertFiles) (*CertReloader, error) {
	certReloader := &CertReloader{files: files}
	if _, _, err := certReloader.current(); err != nil {
		return nil, err
	}
	return certReloader, nil
}

// ServerConfig returns the TLS configuration of a listener that accepts only
// clients with a certificate of the fleet's CA.
func (certReloader *CertReloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities, err := certReloader.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authorities,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration for one outgoing connection.
func (certReloader *CertReloader) ClientConfig() (*tls.Config, error) {
	certificate, authorities, err := certReloader.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		RootCAs:      authorities,
		ServerName:   CertDNSName,
	}, nil
}

func (certReloader *CertReloader) current() (*tls.Certificate, *x509.CertPool, error) {
	certReloader.mu.Lock()
	defer certReloader.mu.Unlock()
	if certReloader.certificate != nil && time.Since(certReloader.checkedAt) < certCheckInterval {
		return certReloader.certificate, certReloader.authorities, nil
	}
	certReloader.checkedAt = time.Now()
	modifiedAt := certReloader.latestModTime()
	if certReloader.certificate != nil && modifiedAt.Equal(certReloader.modifiedAt) {
		return certReloader.certificate, certReloader.authorities, nil
	}
	if err := certReloader.load(); err != nil {
		if certReloader.certificate != nil {
			return certReloader.certificate, certReloader.authorities, nil
		}
		return nil, nil, err
	}
	certReloader.modifiedAt = modifiedAt
	return certReloader.certificate, certReloader.authorities, nil
}

func (certReloader *CertReloader) latestModTime() time.Time {
	var newest time.Time
	for _, name := range []string{certReloader.files.Cert, certReloader.files.Key, certReloader.files.CA} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (certReloader *CertReloader) load() error {
	certificate, err := tls.LoadX509KeyPair(certReloader.files.Cert, certReloader.files.Key)
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "cannot load the certificate: %v; check tls.cert-file and tls.key-file", err)
	}
	pem, err := os.ReadFile(certReloader.files.CA)
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "cannot read the CA file: %v; check tls.ca-file", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return fault.New(fault.Invalid, fault.NotRun, "%s holds no PEM certificate; write the fleet's CA there", certReloader.files.CA)
	}
	certReloader.certificate, certReloader.authorities = &certificate, authorities
	return nil
}
