package certificate

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/failure"
)

// DefaultInterval is the default time between two checks of a Reloader's files.
const DefaultInterval = 10 * time.Second

// ReloaderConfig configures a Reloader.
type ReloaderConfig struct {
	// CAFile, CertificateFile and KeyFile are paths of PEM files. CAFile may hold several
	// certificates.
	CAFile          string
	CertificateFile string
	KeyFile         string
	// Protocols are the ALPN protocol names, of clients and servers.
	Protocols []string
	// Interval is the time between two checks of the files; zero means DefaultInterval.
	Interval time.Duration
	// Logger receives the reload events.
	Logger logr.Logger
}

// Reloader holds a process's certificate, key and trusted authorities, and reloads them when their
// files change. Use NewReloader; its methods may be called from many goroutines.
type Reloader struct {
	cfg     ReloaderConfig
	current atomic.Pointer[credentials]
}

// credentials are the contents of the files at one reload. They don't change afterwards.
type credentials struct {
	files [3][]byte
	cert  tls.Certificate
	pool  *x509.CertPool
}

// NewReloader returns a Reloader that has loaded its files. The error is a failure.BadSettings.
func NewReloader(cfg ReloaderConfig) (*Reloader, error) {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}

	k := &Reloader{cfg: cfg}

	if _, err := k.Reload(); err != nil {
		return nil, err
	}

	return k, nil
}

// Run reloads the files at each interval until ctx ends.
func (k *Reloader) Run(ctx context.Context) {
	ticker := time.NewTicker(k.cfg.Interval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}

		// On an error the last valid credentials stay in use: the files may be
		// half written, and a process that exited here would become unreachable
		// for all of its peers.
		switch changed, err := k.Reload(); {
		case err != nil:
			event.Fail(k.cfg.Logger, err, event.CertificateRefused, "file", k.cfg.CertificateFile)
		case changed:
			event.Log(k.cfg.Logger, event.CertificateReloaded, "file", k.cfg.CertificateFile)
		}
	}
}

// Reload reads the files and reports whether they changed. On an error, a failure.BadSettings, the
// credentials loaded before stay in use.
func (k *Reloader) Reload() (bool, error) {
	var next credentials

	for i, name := range []string{k.cfg.CAFile, k.cfg.CertificateFile, k.cfg.KeyFile} {
		b, err := os.ReadFile(name)
		if err != nil {
			return false, failure.Wrap(failure.BadSettings, err, "could not read a certificate or key file")
		}

		next.files[i] = b
	}

	if old := k.current.Load(); old != nil && old.equal(&next) {
		return false, nil
	}

	cert, err := tls.X509KeyPair(next.files[1], next.files[2])
	if err != nil {
		return false, failure.Wrap(failure.BadSettings, err, "%s and %s are not a matching certificate and key", k.cfg.CertificateFile, k.cfg.KeyFile)
	}

	next.cert = cert
	next.pool = x509.NewCertPool()

	if !next.pool.AppendCertsFromPEM(next.files[0]) {
		return false, failure.New(failure.BadSettings, "%s contains no certificate", k.cfg.CAFile)
	}

	k.current.Store(&next)

	return true, nil
}

func (c *credentials) equal(other *credentials) bool {
	for i := range c.files {
		if !bytes.Equal(c.files[i], other.files[i]) {
			return false
		}
	}

	return true
}

// TLS returns a configuration for clients and servers of connections between boragehub's
// processes. Each handshake uses the credentials loaded last.
func (k *Reloader) TLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: k.cfg.Protocols,
		RootCAs:    k.current.Load().pool,
		// The standard library would verify against RootCAs as it was when this
		// value was made. verifyServer does the same checks against the current
		// pool, so that a rotated authority needs no restart.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain and the name
		VerifyConnection:   k.verifyServer,
		GetConfigForClient: k.serverConfig,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().cert, nil
		},
	}
}

// serverConfig returns a server's TLS configuration for one connection. It requires a client
// certificate signed by a trusted authority.
func (k *Reloader) serverConfig(*tls.ClientHelloInfo) (*tls.Config, error) {
	creds := k.current.Load()

	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   k.cfg.Protocols,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    creds.pool,
		Certificates: []tls.Certificate{creds.cert},
	}, nil
}

// verifyServer checks the chain and the DNS name of a server's certificate. Clients call it.
func (k *Reloader) verifyServer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return failure.New(failure.Unauthenticated, "the peer sent no certificate")
	}

	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}

	options := x509.VerifyOptions{
		Roots:         k.current.Load().pool,
		Intermediates: intermediates,
		DNSName:       s.ServerName,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}

	if _, err := s.PeerCertificates[0].Verify(options); err != nil {
		return failure.Wrap(failure.Unauthenticated, err, "the peer's certificate is not valid")
	}

	return nil
}
