// Package drain serves callers over HTTP/1.1, and at a planned stop lets them go without
// losing a request.
//
// # Model
//
// HTTP/1.1 lets a server close a connection at any time, and a request that crosses the
// close is lost: its caller sees neither answer nor refusal, and doesn't know whether a
// seat was booked. http.Server.Shutdown loses requests in two ways. It closes each
// connection that it holds to be idle, which it does until the whole head of the next
// request was parsed; on a busy machine that is up to half a second after the request
// arrived. And a request whose head is read after Shutdown began is dropped without a
// word, as are all on connections opened shortly before.
//
// A Server therefore tells callers beforehand. Each answer says how long its connection
// may stay unused (Keep-Alive); after Leave each answer says that its connection closes
// (Connection: close). Drain closes a connection only when its caller knows by one of
// these that it must not be used any more.
//
// The port stays open while anything runs that takes long. A balancer may go on sending
// callers to a process that has said that it leaves, when too many others leave as well;
// who comes is served meanwhile, and finds nobody only while the last quick answers end and
// the process starts anew.
//
// One case is left: a connection whose opening crosses the close of the port is reset, and
// so is a request that its caller sent on it at once. Nobody has read it then.
package drain

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"boragehub/pause"
	"boragehub/socket"
)

// Config says how callers are served.
type Config struct {
	// Handler answers requests.
	Handler http.Handler
	// HeaderTimeout is how long a caller may take to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay unused, for callers who don't heed
	// KeepAlive.
	IdleTimeout time.Duration
	// KeepAlive is how long a connection may stay unused, as told to callers, in whole
	// seconds. A stop takes at least that long.
	KeepAlive time.Duration
	// MaxHeaderBytes bounds a header; zero leaves the default of net/http.
	MaxHeaderBytes int
}

// Times of a stop.
const (
	// onTheWay is how long an answer may be under way to its caller and the next request
	// back. Ways are some milliseconds long; a link of 10 Mbit/s that has half a megabyte
	// waiting takes 0.4 s.
	onTheWay = 400 * time.Millisecond
	// lookEvery is the pause between two looks whether the stop may end.
	lookEvery = 10 * time.Millisecond
	// looks is how many looks in a row have to find all settled: what came just as the first
	// one was made, and wasn't taken in yet, is seen by the second.
	looks = 2
)

// Server serves callers. Use NewServer.
type Server struct {
	cfg     Config
	http    *http.Server
	census  *census
	leaving atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
}

// NewServer returns a Server.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, census: newCensus()}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.answer), ReadHeaderTimeout: cfg.HeaderTimeout, IdleTimeout: cfg.IdleTimeout, MaxHeaderBytes: cfg.MaxHeaderBytes,
		ConnState: func(nc net.Conn, state http.ConnState) { s.census.changed(time.Now(), nc, state) },
	}

	return s
}

// Serve serves the callers of l until Drain or Close closes it; it returns
// http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()

	err := s.http.Serve(&listener{l, s.census})
	if s.leaving.Load() {
		return http.ErrServerClosed
	}

	return err
}

// Leave begins a planned stop: from now on each answer closes its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Stop says how a planned stop goes. Nil functions stand for no more to wait for.
type Stop struct {
	// Released reports whether nobody sends new callers any more, for all that is known.
	Released func(now time.Time) bool
	// Closing is called when those who couldn't know of the stop have come: who comes from
	// then on may be refused.
	Closing func()
	// Short reports whether all that is being served is done soon, so that the port may
	// close.
	Short func(now time.Time) bool
}

// Drain makes a planned stop: it serves callers until none would miss an answer, and then
// closes the port and all connections. If ctx ends before, all is closed with what is in
// work. It returns what the connections were doing just before they were closed.
func (s *Server) Drain(ctx context.Context, stop Stop) Count {
	s.Leave()

	told := time.Now().Add(s.keepAlive())
	s.until(ctx, 1, func(now time.Time) bool { return !now.Before(told) && holds(stop.Released, now) })

	if stop.Closing != nil {
		stop.Closing()
	}

	// An answer whose head went out before the stop has told its caller that the connection
	// is of use. Nobody is to find the port closed while such a connection is waited for.
	s.until(ctx, 1, func(now time.Time) bool {
		return holds(stop.Short, now) && !s.census.expected(now, s.keepAlive()) && s.shut()
	})
	s.closePort()

	for {
		s.until(ctx, looks, func(now time.Time) bool { return s.census.settled(now, s.keepAlive()) })

		if n := s.Count(); n.Busy+n.Pending == 0 || ctx.Err() != nil {
			s.Close()

			return n
		}
	}
}

// holds reports whether a condition holds; nil always does.
func holds(condition func(now time.Time) bool, now time.Time) bool {
	return condition == nil || condition(now)
}

// keepAlive is how long after an answer its caller may still use the connection.
func (s *Server) keepAlive() time.Duration { return s.cfg.KeepAlive + onTheWay }

// until waits until a condition holds at so many looks in a row, or ctx ends.
func (s *Server) until(ctx context.Context, looks int, holds func(now time.Time) bool) {
	for n := 0; n < looks && pause.For(ctx, lookEvery); {
		n++

		if !holds(time.Now()) {
			n = 0
		}
	}
}

// shut makes the port take no more connections, unless one waits to be accepted.
func (s *Server) shut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !slices.ContainsFunc(s.listeners, func(l net.Listener) bool { return !socket.Shut(l) })
}

func (s *Server) closePort() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, l := range s.listeners {
		//nolint:errcheck,gosec // one that is closed already is what is wanted
		l.Close()
	}
}

// Close closes the port and all connections at once.
func (s *Server) Close() {
	s.Leave()
	//nolint:errcheck,gosec // what can't be closed is closed already
	s.http.Close()
}

// Count returns what the connections are doing.
func (s *Server) Count() Count { return s.census.count(time.Now()) }
