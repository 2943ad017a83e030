// Package drain implements an HTTP/1.1 server that can be drained without losing a request.
//
// # Model
//
// HTTP/1.1 lets a server close a connection at any time, and a request that is in transit at
// that moment is lost: its caller gets neither a response nor an error from the server, and
// doesn't know whether a seat was booked. http.Server.Shutdown loses requests in two ways. It
// closes each connection that it regards as idle, which it does until the complete header of
// the next request was parsed; on a busy machine that is up to half a second after the request
// arrived. And a request whose header is read after Shutdown began is dropped without a
// response, as are all requests on connections opened shortly before.
//
// A Server therefore announces the close to callers. Each response states how long its
// connection may stay unused (Keep-Alive); after StartDrain each response states that its
// connection closes (Connection: close). Drain closes a connection only when its caller knows
// by one of these that it must not be used any more.
//
// The port stays open while long requests are running. A load balancer may go on sending
// callers to a draining process when too many other processes are draining as well. Their
// requests are served meanwhile, and are refused only while the last short responses end and
// the process restarts.
//
// One case is not covered: a connection that is being opened while the port closes is reset,
// and a request that its caller sent on it at once is lost. No part of that request was read.
package drain

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"boragehub/intake"
	"boragehub/pause"
	"boragehub/socket"
)

// Config configures a Server.
type Config struct {
	// Handler serves the requests.
	Handler http.Handler
	// HeaderTimeout is the maximum time to read a request header; zero means no limit.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle before it is closed, for callers
	// that ignore KeepAlive; zero means no limit.
	IdleTimeout time.Duration
	// KeepAlive is how long a connection may stay unused, as announced to callers in whole
	// seconds; zero announces nothing. A drain takes at least that long.
	KeepAlive time.Duration
	// ReadTimeout and WriteTimeout are the maximum times to read a request and to write its response; zero means
	// no limit.
	ReadTimeout, WriteTimeout time.Duration
	// MaxHeaderBytes bounds a request header; zero means the default of net/http.
	MaxHeaderBytes int
	// Port bounds the connections and the memory that clients take; nil sets no bounds.
	Port *intake.Port
}

// Timing of a drain.
const (
	// maxTransit is the maximum time that a response to its caller and the next request back
	// are in transit, together. That usually takes some milliseconds; a link of 10 Mbit/s with
	// half a megabyte queued takes 0.4 s.
	maxTransit = 400 * time.Millisecond
	// checkInterval is the time between two checks whether the drain may go on.
	checkInterval = 10 * time.Millisecond
	// stableChecks is the number of consecutive checks that have to succeed before connections
	// are closed: a request that arrives during the first check is seen by the second.
	stableChecks = 2
	// maxCheckGap is the time between two checks from which on the process was paused. What it has
	// read of a request counts as incomplete for nextPartTimeout, which may pass in a pause.
	maxCheckGap = nextPartTimeout / 2
	// resumeTime is how long after a pause no connection is closed, so that what was read before it
	// is handled. A process with a small share of a processor gets some turns in it.
	resumeTime = 300 * time.Millisecond
)

// Server is an HTTP server. Create it with NewServer.
type Server struct {
	cfg      Config
	http     *http.Server
	conns    *connTracker
	draining atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
}

// NewServer returns a Server; call Serve to start it.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, conns: newConnTracker(cfg.Port)}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serveHTTP), ReadHeaderTimeout: cfg.HeaderTimeout, ReadTimeout: cfg.ReadTimeout, WriteTimeout: cfg.WriteTimeout, IdleTimeout: cfg.IdleTimeout, MaxHeaderBytes: cfg.MaxHeaderBytes,
		ConnContext: connContext,
		ConnState:   func(nc net.Conn, state http.ConnState) { s.conns.setState(time.Now(), nc, state) },
	}

	return s
}

// Serve serves the connections of l until Drain or Close closes it, and then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()

	err := s.http.Serve(&listener{l, s.conns})
	if s.draining.Load() {
		return http.ErrServerClosed
	}

	return err
}

// StartDrain announces a drain: from now on each response closes its connection.
func (s *Server) StartDrain() { s.draining.Store(true) }

// Options configures a drain. A nil function means that there is nothing to wait for or to do.
type Options struct {
	// Deregistered reports whether, as far as is known, no new callers are sent here any more.
	Deregistered func(now time.Time) bool
	// OnDeregistered is called once Deregistered is true and KeepAlive has passed, so that all
	// callers can know of the drain, or when ctx has ended: later requests may be refused.
	OnDeregistered func()
	// MayClosePort reports whether all requests in flight end soon, so that the port may be
	// closed.
	MayClosePort func(now time.Time) bool
}

// Drain shuts the server down gracefully: it serves requests until none would lose its
// response, and then closes the port and all connections. If ctx ends earlier, all connections
// are closed with the requests in flight. It returns the states of the connections just before
// they were closed.
func (s *Server) Drain(ctx context.Context, options Options) Count {
	s.StartDrain()

	keepAliveEnd := time.Now().Add(s.keepAlive())
	s.waitUntil(ctx, 1, func(now time.Time) bool { return !now.Before(keepAliveEnd) && isMet(options.Deregistered, now) })

	if options.OnDeregistered != nil {
		options.OnDeregistered()
	}

	// A response whose header was sent before the drain has announced that its connection may
	// be used again. The port stays open as long as there are such connections.
	// It also stays open for a while if there are connections without a request.
	var opened openedWait

	s.waitUntil(ctx, 1, func(now time.Time) bool {
		return isMet(options.MayClosePort, now) && !s.conns.mayReceive(now, s.keepAlive()) && opened.over(now, s.conns.opened()) && s.refuseConns()
	})
	s.closePort()

	pauses := pauseDetector{lastCheck: time.Now()}

	for {
		s.waitUntil(ctx, stableChecks, func(now time.Time) bool { return pauses.running(now) && s.conns.canClose(now, s.keepAlive()) })

		if n := s.Count(); n.Busy+n.Pending == 0 || ctx.Err() != nil {
			s.Close()

			return n
		}
	}
}

// openedWait decides whether the port may close in view of connections without a request. Some
// callers open connections in advance and send no request on them. All connections are closed only
// when their first requests can't arrive any more; with the port closed meanwhile, callers would be
// refused for that time. The wait is bounded, as new connections may be opened all the time.
type openedWait struct{ since time.Time }

// over reports whether the wait is over, given the present number of such connections. The wait
// begins with the first call.
func (w *openedWait) over(now time.Time, opened int) bool {
	if w.since.IsZero() {
		w.since = now
	}

	return opened == 0 || now.Sub(w.since) >= firstRequestTimeout
}

// pauseDetector detects pauses of the process by the time between two checks.
type pauseDetector struct {
	lastCheck time.Time
	resumedAt time.Time // the end of the last pause
}

// running reports whether the process has not been paused for resumeTime. It is called at each check.
func (p *pauseDetector) running(now time.Time) bool {
	if now.Sub(p.lastCheck) >= maxCheckGap {
		p.resumedAt = now
	}

	p.lastCheck = now

	return p.resumedAt.IsZero() || now.Sub(p.resumedAt) >= resumeTime
}

// isMet reports whether a condition holds; a nil condition always does.
func isMet(condition func(now time.Time) bool, now time.Time) bool {
	return condition == nil || condition(now)
}

// keepAlive returns how long after a response the caller's next request may still arrive.
func (s *Server) keepAlive() time.Duration { return s.cfg.KeepAlive + maxTransit }

// waitUntil waits until a condition holds at the given number of consecutive checks, or ctx
// ends.
func (s *Server) waitUntil(ctx context.Context, checks int, condition func(now time.Time) bool) {
	for n := 0; n < checks && pause.For(ctx, checkInterval); {
		n++

		if !condition(time.Now()) {
			n = 0
		}
	}
}

// refuseConns makes the port refuse connections, unless one is waiting to be accepted; it
// reports whether it did for all listeners.
func (s *Server) refuseConns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !slices.ContainsFunc(s.listeners, func(l net.Listener) bool { return !socket.ShutdownIfIdle(l) })
}

func (s *Server) closePort() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, l := range s.listeners {
		//nolint:errcheck,gosec // fails only if it is closed already
		l.Close()
	}
}

// Shutdown closes the port and waits until no request is in flight or ctx ends, as that of http.Server: a request
// that is in transit is lost. It is for ports whose clients send another one.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StartDrain()

	return s.http.Shutdown(ctx)
}

// Close closes the port and all connections at once.
func (s *Server) Close() {
	s.StartDrain()
	//nolint:errcheck,gosec // fails only for what is closed already
	s.http.Close()
}

// Count returns the number of connections in each state.
func (s *Server) Count() Count { return s.conns.count(time.Now()) }
