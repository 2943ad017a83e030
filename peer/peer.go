// Package peer carries conversations between boragehub's own processes over
// QUIC with mutual TLS.
//
// # Model
//
// A Server listens; a Dialer opens. Each conversation is a Stream that carries
// frames of package message. Both ends beat on every open stream, from a
// goroutine of its own, so that a peer that thinks for long is told apart from
// one that is gone.
//
// # Silence
//
// An open connection can go silent for good while new ones work, since a
// machine between the ends has lost track of it. Nothing fails then: reads just
// wait. A Stream that hears neither message nor beat for Silence therefore gives
// its connection up, and the next conversation dials a new one from a new UDP
// port, which whatever lies between sees as a new flow.
//
//	s, err := dialer.Open(ctx, peer.Address{VM: "e1", Addr: "127.0.0.1:7001"})
//	err = s.Send(message.Ask{})
//	m, err := s.Receive()
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/quic-go/quic-go"
)

// Defaults of Config.
const (
	DefaultBeat        = 500 * time.Millisecond
	DefaultSilence     = 2 * time.Second
	DefaultDialTimeout = 2 * time.Second
	DefaultMaxStreams  = 4096
)

// An idle connection is kept by a packet a minute. Faster ones would notice its
// silence sooner, but conversations notice that by their beats, and 280
// connections with a packet each 4 seconds would spend 8 KB a second.
const (
	keepAlive   = time.Minute
	idleTimeout = 3 * time.Minute
)

// Protocol is the ALPN name; it changes with message.Version.
const Protocol = "boragehub/1"

// Config says how connections behave. Its zero value uses the defaults.
type Config struct {
	// TLS has this process's certificate and the CA that peers must be signed by.
	TLS *tls.Config
	// Beat is the time between two heartbeats; zero is DefaultBeat.
	Beat time.Duration
	// Silence is how long nothing may be heard; zero is DefaultSilence.
	Silence time.Duration
	// DialTimeout bounds a handshake; zero is DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxStreams bounds what one peer may have open; zero is DefaultMaxStreams.
	MaxStreams int64
}

func (c Config) withDefaults() Config {
	if c.Beat <= 0 {
		c.Beat = DefaultBeat
	}

	if c.Silence <= 0 {
		c.Silence = DefaultSilence
	}

	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}

	if c.MaxStreams <= 0 {
		c.MaxStreams = DefaultMaxStreams
	}

	return c
}

func (c Config) quic() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  c.DialTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		MaxIncomingStreams:    c.MaxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Address is where a peer listens and which VM it has to be.
type Address struct {
	// VM is the name that the peer's certificate must bear.
	VM string
	// Addr is its IP and UDP port.
	Addr string
}

// Identity is who a peer is, from its certificate.
type Identity struct {
	// VM is the name of its VM.
	VM string
	// Role is its role, such as "entry".
	Role string
}

// identify reads the certificate of a peer that TLS has already verified.
func identify(certs []*x509.Certificate) Identity {
	if len(certs) == 0 {
		return Identity{}
	}

	var id Identity

	if names := certs[0].DNSNames; len(names) > 0 {
		id.VM = names[0]
	}

	if units := certs[0].Subject.OrganizationalUnit; len(units) > 0 {
		id.Role = units[0]
	}

	return id
}

// clientTLS returns the TLS settings to dial vm with.
func clientTLS(base *tls.Config, vm string) *tls.Config {
	c := base.Clone()
	c.ServerName = vm
	c.NextProtos = []string{Protocol}
	c.MinVersion = tls.VersionTLS13

	return c
}

// serverTLS returns the TLS settings to listen with.
func serverTLS(base *tls.Config) *tls.Config {
	c := base.Clone()
	c.NextProtos = []string{Protocol}
	c.MinVersion = tls.VersionTLS13
	c.ClientAuth = tls.RequireAndVerifyClientCert

	if c.ClientCAs == nil {
		c.ClientCAs = c.RootCAs
	}

	return c
}
