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

// DefaultInterval is how often a Keeper looks at its files.
const DefaultInterval = 10 * time.Second

// KeeperConfig names the files that a Keeper reads.
type KeeperConfig struct {
	// CAFile, CertificateFile and KeyFile are in PEM.
	CAFile          string
	CertificateFile string
	KeyFile         string
	// Protocols are the ALPN names that a server accepts.
	Protocols []string
	// Interval is how often the files are looked at; zero is DefaultInterval.
	Interval time.Duration
	// Logger takes the events.
	Logger logr.Logger
}

// Keeper holds a process's keys and reads them again when they change.
type Keeper struct {
	cfg  KeeperConfig
	keys atomic.Pointer[keys]
}

// keys are what one state of the files gives.
type keys struct {
	files [3][]byte
	cert  tls.Certificate
	pool  *x509.CertPool
}

// NewKeeper reads the files. The error is a failure.BadSettings.
func NewKeeper(cfg KeeperConfig) (*Keeper, error) {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}

	k := &Keeper{cfg: cfg}

	if _, err := k.Reload(); err != nil {
		return nil, err
	}

	return k, nil
}

// Run looks at the files until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(k.cfg.Interval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}

		// The last good keys stay: half of a pair may have been written, and
		// a process that gave up here would be lost to all of its peers.
		switch changed, err := k.Reload(); {
		case err != nil:
			event.Fail(k.cfg.Logger, err, event.CertificateRefused, "file", k.cfg.CertificateFile)
		case changed:
			event.Log(k.cfg.Logger, event.CertificateReloaded, "file", k.cfg.CertificateFile)
		}
	}
}

// Reload reads the files and reports whether they changed.
func (k *Keeper) Reload() (bool, error) {
	var next keys

	for i, name := range []string{k.cfg.CAFile, k.cfg.CertificateFile, k.cfg.KeyFile} {
		b, err := os.ReadFile(name)
		if err != nil {
			return false, failure.Wrap(failure.BadSettings, err, "a key file can't be read")
		}

		next.files[i] = b
	}

	if old := k.keys.Load(); old != nil && old.same(&next) {
		return false, nil
	}

	cert, err := tls.X509KeyPair(next.files[1], next.files[2])
	if err != nil {
		return false, failure.Wrap(failure.BadSettings, err, "%s and %s are no pair", k.cfg.CertificateFile, k.cfg.KeyFile)
	}

	next.cert = cert
	next.pool = x509.NewCertPool()

	if !next.pool.AppendCertsFromPEM(next.files[0]) {
		return false, failure.New(failure.BadSettings, "%s holds no certificate", k.cfg.CAFile)
	}

	k.keys.Store(&next)

	return true, nil
}

func (k *keys) same(other *keys) bool {
	for i := range k.files {
		if !bytes.Equal(k.files[i], other.files[i]) {
			return false
		}
	}

	return true
}

// TLS returns settings for both ends of connections between own processes. A
// new connection uses the keys of its moment.
func (k *Keeper) TLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: k.cfg.Protocols,
		RootCAs:    k.keys.Load().pool,
		// The library would check against the pool of the moment at which this
		// value is made. verifyPeer does the same checks against today's, so
		// that a rotated authority needs no restart.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks chain and name
		VerifyConnection:   k.verifyPeer,
		GetConfigForClient: k.forClient,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.keys.Load().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.keys.Load().cert, nil
		},
	}
}

// forClient returns a server's settings for one connection.
func (k *Keeper) forClient(*tls.ClientHelloInfo) (*tls.Config, error) {
	now := k.keys.Load()

	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   k.cfg.Protocols,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    now.pool,
		Certificates: []tls.Certificate{now.cert},
	}, nil
}

// verifyPeer checks the chain and the name of a server.
func (k *Keeper) verifyPeer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return failure.New(failure.Unauthenticated, "the peer has no certificate")
	}

	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}

	options := x509.VerifyOptions{
		Roots:         k.keys.Load().pool,
		Intermediates: between,
		DNSName:       s.ServerName,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}

	if _, err := s.PeerCertificates[0].Verify(options); err != nil {
		return failure.Wrap(failure.Unauthenticated, err, "the peer's certificate is not valid")
	}

	return nil
}
