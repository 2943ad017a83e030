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
	running  sync.WaitGroup
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

	return &Server{cfg: cfg, log: log, socket: socket, tr: tr, listener: l}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.socket.LocalAddr().String() }

// Serve accepts until ctx ends or Close is called.
func (s *Server) Serve(ctx context.Context, h Handler) error {
	for {
		q, err := s.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}

			return err
		}

		go s.serve(ctx, q, h)
	}
}

func (s *Server) serve(ctx context.Context, q *quic.Conn, h Handler) {
	from := identify(q.ConnectionState().TLS.PeerCertificates)
	if from.VM == "" {
		event.Log(s.log, event.PeerRefused, "addr", q.RemoteAddr().String(), "reason", "no VM name in its certificate")

		_ = q.CloseWithError(codeStopped, "no VM name")

		return
	}

	for {
		stream, err := q.AcceptStream(ctx)
		if err != nil {
			return
		}

		s.running.Add(1)

		go func() {
			defer s.running.Done()

			t := newStream(stream, s.cfg, func(error) { _ = q.CloseWithError(codeSilent, "silent") })
			defer t.Close()

			h(ctx, from, t)
		}()
	}
}

// Wait returns when no conversation is left or ctx ends.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})

	go func() {
		s.running.Wait()
		close(done)
	}()

	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close ends all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.tr.Close()
	_ = s.socket.Close()
}

// Refuse ends a conversation with the answer for err.
func Refuse(s *Stream, err error) {
	_ = s.Send(message.Refusal(err))
}
