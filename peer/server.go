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

// Handler serves one stream. The Stream is closed when it returns.
type Handler func(ctx context.Context, from Identity, s *Stream)

// Server accepts connections from peers and serves their streams. Use Listen.
type Server struct {
	cfg        Config
	log        logr.Logger
	socket     *net.UDPConn
	transport  *quic.Transport
	listener   *quic.Listener
	serveCalls sync.WaitGroup

	mu       sync.Mutex
	stopping bool
	sessions map[*session]struct{}
}

// Listen binds addr, an IP address and UDP port. No other process can bind it until
// this one ends, even while this one is paused. Errors are failure.BadSettings.
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

	return &Server{cfg: cfg, log: log, socket: socket, transport: tr, listener: l, sessions: map[*session]struct{}{}}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.socket.LocalAddr().String() }

// Serve accepts connections until ctx ends, or Shutdown or Close is called. It
// returns an error only when accepting fails for another reason.
func (s *Server) Serve(ctx context.Context, h Handler) error {
	if !s.beginServe() {
		return nil
	}

	defer s.serveCalls.Done()

	for {
		q, err := s.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || s.isStopping() {
				return nil
			}

			return err
		}

		if c, ok := s.addSession(q); ok { //nolint:contextcheck // the connection has a context of its own
			go s.acceptStreams(ctx, c, h)
		}
	}
}

// beginServe registers a running Serve call; it returns false after Shutdown began.
func (s *Server) beginServe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.stopping {
		return false
	}

	s.serveCalls.Add(1)

	return true
}

// addSession registers a new connection; after Shutdown began it closes the
// connection instead and returns false.
func (s *Server) addSession(q *quic.Conn) (*session, bool) {
	c := newSession(q)

	s.mu.Lock()
	stopping := s.stopping

	if !stopping {
		s.sessions[c] = struct{}{}
	}

	s.mu.Unlock()

	if stopping {
		_ = q.CloseWithError(codeNotProcessed, "")

		return nil, false
	}

	context.AfterFunc(q.Context(), func() { s.removeSession(c) })

	return c, true
}

func (s *Server) removeSession(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.sessions, c)
}

// isStopping reports whether Shutdown has begun.
func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.stopping
}

func (s *Server) acceptStreams(ctx context.Context, c *session, h Handler) {
	from := identify(c.conn.ConnectionState().TLS.PeerCertificates)
	if from.VM == "" {
		event.Log(s.log, event.PeerRefused, "addr", c.conn.RemoteAddr().String(), "reason", "the certificate has no VM name")

		_ = c.conn.CloseWithError(codeStopped, "no VM name")

		return
	}

	for {
		stream, err := c.conn.AcceptStream(ctx)
		if err != nil || !c.admit() {
			return
		}

		t := newStream(stream, s.cfg, func(error) { _ = c.conn.CloseWithError(codeUnresponsive, "silent") })

		go c.handle(func() { h(ctx, from, t) }, t)
	}
}

// Shutdown stops the server so that peers know which requests were processed: it
// accepts no further stream, waits until the peers have received the responses on
// those accepted, and then closes each connection with codeNotProcessed, which says
// that no other stream was processed. A connection on which the peer may lack a
// response, since ctx ended or the peer was slow to read, is closed with codeStopped.
// Serve returns.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true

	all := make([]*session, 0, len(s.sessions))
	for c := range s.sessions {
		all = append(all, c)
	}

	s.mu.Unlock()

	// Serve accepts the connections left in the listener's queue and closes them.
	_ = s.listener.Close()
	s.serveCalls.Wait()

	var closed sync.WaitGroup

	for _, c := range all {
		closed.Go(func() { c.shutdown(ctx) })
	}

	closed.Wait()
	s.Close()
}

// Close ends all connections at once, without waiting for streams in flight.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.transport.Close()
	_ = s.socket.Close()
}

// Refuse sends err to the peer as the response on s.
func Refuse(s *Stream, err error) {
	_ = s.Send(message.NewRefused(err))
}
