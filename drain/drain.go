// Package drain serves callers over HTTP/1.1 and knows what each of their connections
// is doing.
package drain

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Config says how callers are served.
type Config struct {
	// Handler answers requests.
	Handler http.Handler
	// HeaderTimeout is how long a caller may take to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay unused.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds a header; zero leaves the default of net/http.
	MaxHeaderBytes int
}

// Server serves callers. Use NewServer.
type Server struct {
	http   *http.Server
	census *census
}

// NewServer returns a Server.
func NewServer(cfg Config) *Server {
	s := &Server{census: newCensus()}
	s.http = &http.Server{
		Handler: cfg.Handler, ReadHeaderTimeout: cfg.HeaderTimeout, IdleTimeout: cfg.IdleTimeout, MaxHeaderBytes: cfg.MaxHeaderBytes,
		ConnState: func(nc net.Conn, state http.ConnState) { s.census.changed(time.Now(), nc, state) },
	}

	return s
}

// Serve serves the callers of l until it is closed; like http.Server.Serve it returns
// http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(&listener{l, s.census}) }

// Shutdown closes the port and then each connection that is idle, until none is left.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Count returns what the connections are doing.
func (s *Server) Count() Count { return s.census.count() }

// listener accepts callers' connections and takes them into the census.
type listener struct {
	net.Listener

	census *census
}

// Accept returns the next caller's connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	if tcp, ok := nc.(*net.TCPConn); ok {
		return l.census.add(time.Now(), tcp), nil
	}

	return nc, nil
}
