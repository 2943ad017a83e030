// Package certificate issues and reloads the TLS certificates with which
// boragehub's processes authenticate to each other (mutual TLS).
//
// # Model
//
// An Authority signs one certificate for each process. The certificate holds
// the VM's name as its DNS name, the role as its organisational unit, and both
// as a URI, as in boragehub://entry/e1. A process serves only peers whose
// certificate was signed by an authority in its ca_file.
//
// A Reloader reloads a process's files when they change, so that certificates
// are rotated without a restart. To rotate the authority itself, add the new
// authority's certificate to every ca_file beside the old one, then replace the
// processes' certificates, then remove the old authority's certificate.
//
//	a, err := certificate.NewAuthority(now)
//	pair, err := a.Issue(now, certificate.Subject{VM: "e1", Role: "entry"})
package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"boragehub/failure"
)

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	processLifetime   = 365 * 24 * time.Hour
	// clockSkew is how far another VM's clock may be behind; certificates are valid from that
	// long before their issue.
	clockSkew  = time.Hour
	serialBits = 128

	uriScheme           = "boragehub"
	pemTypeKey          = "PRIVATE KEY"
	pemTypeCertificate  = "CERTIFICATE"
	keyFileMode         = 0o600
	certificateFileMode = 0o644
	directoryMode       = 0o755
)

// Names of the files that Authority.Write creates.
const (
	// AuthorityFile holds the authority's certificate: the ca_file of every process.
	AuthorityFile = "ca.pem"
	// AuthorityKeyFile holds the authority's private key. Only issuing certificates needs it; no
	// running process does.
	AuthorityKeyFile = "ca.key"
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	// Certificate is the X.509 certificate; it is public.
	Certificate []byte
	// Key is the private key in PKCS #8; it is secret.
	Key []byte
}

// Subject identifies the process that a certificate is issued to.
type Subject struct {
	// VM is the name of the process's VM.
	VM string
	// Role is entry, side or operator.
	Role string
	// IPs are further addresses that the certificate is valid for; may be empty.
	IPs []net.IP
}

// Authority signs the certificates of a deployment's processes.
type Authority struct {
	pair Pair
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an Authority with a new key, valid for ten years from now. The error is a
// failure.Internal.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "could not generate a key")
	}

	serial, err := newSerial()
	if err != nil {
		return nil, err
	}

	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "boragehub authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityLifetime),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}

	a := &Authority{cert: template, key: key}

	if a.pair, err = a.sign(template, key); err != nil {
		return nil, err
	}

	return a, nil
}

// LoadAuthority reads the files that Authority.Write created in dir. The error is a
// failure.BadSettings.
func LoadAuthority(dir string) (*Authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "could not read the authority's certificate")
	}

	keyPEM, err := os.ReadFile(filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "could not read the authority's key")
	}

	a := &Authority{pair: Pair{certPEM, keyPEM}}

	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)

	if certBlock == nil || keyBlock == nil {
		return nil, failure.New(failure.BadSettings, "the authority's files contain no PEM block")
	}

	if a.cert, err = x509.ParseCertificate(certBlock.Bytes); err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "could not parse the authority's certificate")
	}

	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, failure.New(failure.BadSettings, "could not parse the authority's key")
	}

	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, failure.New(failure.BadSettings, "the authority's key is not an ECDSA key")
	}

	a.key = ec

	return a, nil
}

// Issue returns a new key and certificate for s, valid for one year from now. The error is a
// failure.Internal.
func (a *Authority) Issue(now time.Time, s Subject) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, failure.Wrap(failure.Internal, err, "could not generate a key")
	}

	serial, err := newSerial()
	if err != nil {
		return Pair{}, err
	}

	return a.sign(&x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: s.VM, OrganizationalUnit: []string{s.Role}},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(processLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		DNSNames:     []string{s.VM},
		IPAddresses:  s.IPs,
		URIs:         []*url.URL{{Scheme: uriScheme, Host: s.Role, Path: "/" + s.VM}},
	}, key)
}

// sign returns the certificate of template for key, signed by a, with key.
func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, failure.Wrap(failure.Internal, err, "could not create the certificate")
	}

	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, failure.Wrap(failure.Internal, err, "could not encode the private key")
	}

	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemTypeCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: keyDER}),
	}, nil
}

// Pair returns the authority's own certificate and key.
func (a *Authority) Pair() Pair { return a.pair }

// Write stores the authority's certificate and key in dir as AuthorityFile and AuthorityKeyFile.
// It creates dir if needed and overwrites existing files. The error is a failure.BadSettings.
func (a *Authority) Write(dir string) error {
	return a.pair.write(dir, AuthorityFile, AuthorityKeyFile)
}

// Write stores p in dir as NAME.pem and NAME.key. It creates dir if needed and overwrites existing
// files. The error is a failure.BadSettings.
func (p Pair) Write(dir, name string) error {
	return p.write(dir, name+".pem", name+".key")
}

func (p Pair) write(dir, certFile, keyFile string) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil { //nolint:gosec // certificates are public, key files have keyFileMode
		return failure.Wrap(failure.BadSettings, err, "could not create the key directory")
	}

	if err := os.WriteFile(filepath.Join(dir, keyFile), p.Key, keyFileMode); err != nil {
		return failure.Wrap(failure.BadSettings, err, "could not write a key file")
	}

	if err := os.WriteFile(filepath.Join(dir, certFile), p.Certificate, certificateFileMode); err != nil { //nolint:gosec // a certificate is public
		return failure.Wrap(failure.BadSettings, err, "could not write a certificate file")
	}

	return nil
}

func newSerial() (*big.Int, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "could not generate a serial number")
	}

	return serial, nil
}
