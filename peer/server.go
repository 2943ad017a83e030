package peer

import (
	"context"
	"net"
	"sync"

	"github.com/go-logr/logr"
	"github.com/quic-go/quic-go"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
)

// Handler answers one conversation. The Stream is closed when it returns.
type Handler func(ctx context.Context, from Identity, s *Stream)

// Server accepts conversations.
type Server struct {
	cfg      Config
	log      logr.Logger
	socket   *net.UDPConn
	tr       *quic.Transport
	listener *quic.Listener
	serving  sync.WaitGroup

	mu       sync.Mutex
	stopping bool
	sessions map[*session]struct{}
}

// Listen binds addr, an IP and UDP port. No other process can bind it while
// this one lives, frozen or not.
func Listen(cfg Config, addr string, log logr.Logger) (*Server, error) {
	cfg = cfg.withDefaults()

	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "peer address %q", addr)
	}

	socket, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "peer address %q can't be bound", addr)
	}

	tr := &quic.Transport{Conn: socket}

	l, err := tr.Listen(serverTLS(cfg.TLS), cfg.quic())
	if err != nil {
		_ = socket.Close()

		return nil, failure.Wrap(failure.BadSettings, err, "QUIC on %q", addr)
	}

	return &Server{cfg: cfg, log: log, socket: socket, tr: tr, listener: l, sessions: map[*session]struct{}{}}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.socket.LocalAddr().String() }

// Serve accepts until ctx ends, or Shutdown or Close is called.
func (s *Server) Serve(ctx context.Context, h Handler) error {
	if !s.begin() {
		return nil
	}

	defer s.serving.Done()

	for {
		q, err := s.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || s.stops() {
				return nil
			}

			return err
		}

		if c, ok := s.admit(q); ok { //nolint:contextcheck // the connection has a context of its own
			go s.serve(ctx, c, h)
		}
	}
}

// begin notes that Serve runs, unless the server stops.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.stopping {
		return false
	}

	s.serving.Add(1)

	return true
}

// admit takes a new connection in, unless the server stops.
func (s *Server) admit(q *quic.Conn) (*session, bool) {
	c := newSession(q)

	s.mu.Lock()
	stopping := s.stopping

	if !stopping {
		s.sessions[c] = struct{}{}
	}

	s.mu.Unlock()

	if stopping {
		_ = q.CloseWithError(codeUnserved, "")

		return nil, false
	}

	context.AfterFunc(q.Context(), func() { s.forget(c) })

	return c, true
}

func (s *Server) forget(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.sessions, c)
}

// stops reports whether Shutdown was called.
func (s *Server) stops() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.stopping
}

func (s *Server) serve(ctx context.Context, c *session, h Handler) {
	from := identify(c.q.ConnectionState().TLS.PeerCertificates)
	if from.VM == "" {
		event.Log(s.log, event.PeerRefused, "addr", c.q.RemoteAddr().String(), "reason", "no VM name in its certificate")

		_ = c.q.CloseWithError(codeStopped, "no VM name")

		return
	}

	for {
		stream, err := c.q.AcceptStream(ctx)
		if err != nil || !c.begin() {
			return
		}

		t := newStream(stream, s.cfg, func(error) { _ = c.q.CloseWithError(codeSilent, "silent") })

		go c.converse(func() { h(ctx, from, t) }, t)
	}
}

// Shutdown stops the server without leaving a peer in doubt: it looks at no further
// conversation, waits until the peers have the answers of those that it looked at, and
// then closes each connection with word that nothing else was looked at. What it
// waits for when ctx ends is cut off. Serve returns.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true

	all := make([]*session, 0, len(s.sessions))
	for c := range s.sessions {
		all = append(all, c)
	}

	s.mu.Unlock()

	// Serve takes what is left in the listener's queue and turns it away.
	_ = s.listener.Close()
	s.serving.Wait()

	var closed sync.WaitGroup

	for _, c := range all {
		closed.Go(func() { c.shutdown(ctx) })
	}

	closed.Wait()
	s.Close()
}

// Close ends all connections at once, as the death of the process would.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.tr.Close()
	_ = s.socket.Close()
}

// Refuse ends a conversation with the answer for err.
func Refuse(s *Stream, err error) {
	_ = s.Send(message.Refusal(err))
}
