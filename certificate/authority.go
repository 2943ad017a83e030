// Package certificate makes and keeps the keys by which boragehub's processes
// know each other.
//
// # Model
//
// An Authority signs one certificate for each process. It bears the name of
// the VM as its DNS name, the role as its organisational unit, and both as a
// URI, as in boragehub://entry/e1. A process gives what it was asked for only
// to a peer whose certificate its authority has signed.
//
// A Keeper reads a process's files again when they change, so that keys are
// rotated without a restart. To rotate the authority itself, put the new one's
// certificate into every ca_file beside the old, then exchange the processes'
// certificates, then take the old one out.
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
	authorityLife = 10 * 365 * 24 * time.Hour
	processLife   = 365 * 24 * time.Hour
	// clockSkew is how far another VM's clock may be behind.
	clockSkew  = time.Hour
	serialBits = 128

	scheme        = "boragehub"
	blockKey      = "PRIVATE KEY"
	blockCert     = "CERTIFICATE"
	secretMode    = 0o600
	publicMode    = 0o644
	directoryMode = 0o755
)

// Names of the files that Authority.Write and Pair.Write make.
const (
	// AuthorityFile holds the authority's certificate: the ca_file of every process.
	AuthorityFile = "ca.pem"
	// AuthorityKeyFile holds the authority's private key. No process needs it.
	AuthorityKeyFile = "ca.key"
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	// Certificate is public.
	Certificate []byte
	// Key is secret.
	Key []byte
}

// Subject is whom a certificate is for.
type Subject struct {
	// VM is the name of the process's VM.
	VM string
	// Role is entry, side or operator.
	Role string
	// IPs are addresses that the certificate is valid for besides; may be empty.
	IPs []net.IP
}

// Authority signs the certificates of a deployment's processes.
type Authority struct {
	pair Pair
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an Authority with a new key.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "no key could be made")
	}

	serial, err := newSerial()
	if err != nil {
		return nil, err
	}

	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "boragehub authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityLife),
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

// LoadAuthority reads what Write left in dir.
func LoadAuthority(dir string) (*Authority, error) {
	cert, err := os.ReadFile(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "the authority's certificate can't be read")
	}

	secret, err := os.ReadFile(filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "the authority's key can't be read")
	}

	a := &Authority{pair: Pair{cert, secret}}

	certBlock, _ := pem.Decode(cert)
	keyBlock, _ := pem.Decode(secret)

	if certBlock == nil || keyBlock == nil {
		return nil, failure.New(failure.BadSettings, "the authority's files hold no PEM")
	}

	if a.cert, err = x509.ParseCertificate(certBlock.Bytes); err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "the authority's certificate can't be used")
	}

	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, failure.New(failure.BadSettings, "the authority's key can't be used")
	}

	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, failure.New(failure.BadSettings, "the authority's key is of another type")
	}

	a.key = ec

	return a, nil
}

// Issue returns a new certificate for s.
func (a *Authority) Issue(now time.Time, s Subject) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, failure.Wrap(failure.Internal, err, "no key could be made")
	}

	serial, err := newSerial()
	if err != nil {
		return Pair{}, err
	}

	return a.sign(&x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: s.VM, OrganizationalUnit: []string{s.Role}},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(processLife),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		DNSNames:     []string{s.VM},
		IPAddresses:  s.IPs,
		URIs:         []*url.URL{{Scheme: scheme, Host: s.Role, Path: "/" + s.VM}},
	}, key)
}

// sign returns template signed by a, with its key.
func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, failure.Wrap(failure.Internal, err, "no certificate could be made")
	}

	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, failure.Wrap(failure.Internal, err, "a key could not be encoded")
	}

	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: blockCert, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: secret}),
	}, nil
}

// Pair returns a's own certificate and key.
func (a *Authority) Pair() Pair { return a.pair }

// Write puts a's certificate and key into dir.
func (a *Authority) Write(dir string) error {
	return a.pair.write(dir, AuthorityFile, AuthorityKeyFile)
}

// Write puts p into dir as NAME.pem and NAME.key.
func (p Pair) Write(dir, name string) error {
	return p.write(dir, name+".pem", name+".key")
}

func (p Pair) write(dir, cert, key string) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil { //nolint:gosec // the certificates are public, the keys have a mode of their own
		return failure.Wrap(failure.BadSettings, err, "the directory for keys can't be made")
	}

	if err := os.WriteFile(filepath.Join(dir, key), p.Key, secretMode); err != nil {
		return failure.Wrap(failure.BadSettings, err, "a key can't be written")
	}

	if err := os.WriteFile(filepath.Join(dir, cert), p.Certificate, publicMode); err != nil { //nolint:gosec // a certificate is public
		return failure.Wrap(failure.BadSettings, err, "a certificate can't be written")
	}

	return nil
}

func newSerial() (*big.Int, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "no serial number could be made")
	}

	return serial, nil
}
