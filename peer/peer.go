// Package peer carries messages between boragehub's own processes over QUIC with
// mutual TLS.
//
// # Model
//
// A Server accepts streams and a Dialer opens them. Each Stream carries one
// exchange, as frames of package message. Both ends send heartbeats on every open
// stream, from a separate goroutine, so that a peer that is busy for long can be
// distinguished from one that is gone.
//
// # Unresponsive connections
//
// An open connection can stop delivering packets while new ones work, when a
// middlebox between the ends has lost the state of its flow. No error is reported
// then: reads just block. A Stream that receives neither a message nor a heartbeat
// for Config.StreamTimeout therefore closes its connection, and the next stream
// dials a new one from a new UDP port, which a middlebox treats as a new flow.
//
//	s, err := dialer.Open(ctx, peer.Address{VM: "e1", Addr: "127.0.0.1:7001"})
//	err = s.Send(message.StateRequest{})
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
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultStreamTimeout     = 2 * time.Second
	DefaultDialTimeout       = 2 * time.Second
	DefaultMaxStreams        = 4096
)

// An idle connection sends one keep-alive packet a minute. More frequent packets
// would detect a dead connection sooner, but streams detect that by their
// heartbeats, and 280 connections with a packet each 4 s would use 8 KB/s.
const (
	keepAlivePeriod = time.Minute
	idleTimeout     = 3 * time.Minute
)

// Protocol is the ALPN protocol name; it changes with message.Version.
const Protocol = "boragehub/1"

// Config configures a Dialer or a Server. Zero values other than TLS use the
// defaults.
type Config struct {
	// TLS holds this process's certificate and the CA that signs peers' certificates.
	TLS *tls.Config
	// HeartbeatInterval is the time between two heartbeats on a stream; zero is
	// DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// StreamTimeout is how long a stream waits for the next message or heartbeat, for
	// the peer to accept a message, and at its end for the peer to read the response;
	// zero is DefaultStreamTimeout.
	StreamTimeout time.Duration
	// DialTimeout bounds dialling, handshake included; zero is DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxStreams is the maximum number of streams that a peer may have open on one
	// connection; zero is DefaultMaxStreams.
	MaxStreams int64
}

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}

	if c.StreamTimeout <= 0 {
		c.StreamTimeout = DefaultStreamTimeout
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
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    c.MaxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Address is where a peer listens and the VM that it must prove to be.
type Address struct {
	// VM is the DNS name that the peer's certificate must hold.
	VM string
	// Addr is the peer's IP address and UDP port.
	Addr string
}

// Identity identifies a peer by its verified certificate.
type Identity struct {
	// VM is the name of the peer's VM; empty if the certificate has no DNS name.
	VM string
	// Role is the peer's role, such as "entry"; empty if the certificate has none.
	Role string
}

// identify returns the Identity in a certificate chain that TLS has verified.
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

// clientTLS returns the TLS configuration for dialling vm.
func clientTLS(base *tls.Config, vm string) *tls.Config {
	c := base.Clone()
	c.ServerName = vm
	c.NextProtos = []string{Protocol}
	c.MinVersion = tls.VersionTLS13

	return c
}

// serverTLS returns the TLS configuration for listening; clients must present a
// certificate.
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
