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

// Dialer opens streams to peers, over one connection per peer.
type Dialer struct {
	cfg Config
	log logr.Logger

	mu    sync.Mutex
	slots map[Address]*peerSlot
}

// peerSlot holds the connection to one peer; conn is nil while there is none.
type peerSlot struct {
	mu   sync.Mutex // held while dialling, so that a peer has one dial at a time
	conn *connection
}

// connection is a QUIC connection with a UDP socket of its own.
type connection struct {
	conn      *quic.Conn
	transport *quic.Transport
}

// NewDialer returns a Dialer without connections.
func NewDialer(cfg Config, log logr.Logger) *Dialer {
	return &Dialer{cfg: cfg.withDefaults(), log: log, slots: map[Address]*peerSlot{}}
}

// Open opens a stream to the peer at a, dialling if needed. It fails with
// failure.TargetLost; nothing was sent to the peer then.
func (d *Dialer) Open(ctx context.Context, a Address) (*Stream, error) {
	s := d.slot(a)

	c, err := d.connect(ctx, s, a)
	if err != nil {
		return nil, err
	}

	q, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		d.dropConn(s, a, c, err)

		return nil, failure.Wrap(failure.TargetLost, err, "no stream to %s could be opened", a.VM)
	}

	return newStream(q, d.cfg, func(err error) { d.dropConn(s, a, c, err) }), nil
}

// Call opens a stream, sends m and returns the single response. When ctx ends first,
// the stream is cancelled.
func (d *Dialer) Call(ctx context.Context, a Address, m message.Message) (message.Message, error) {
	s, err := d.Open(ctx, a)
	if err != nil {
		return nil, err
	}

	defer s.Close()

	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()

	if err := s.Send(m); err != nil {
		return nil, err
	}

	return s.Receive()
}

// Disconnect closes the connection to a and drops its slot, for example when the VM
// was removed.
func (d *Dialer) Disconnect(a Address) {
	d.mu.Lock()
	s := d.slots[a]
	delete(d.slots, a)
	d.mu.Unlock()

	if s == nil {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.conn.close(codeStopped)
	s.conn = nil
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()

	all := make([]Address, 0, len(d.slots))
	for a := range d.slots {
		all = append(all, a)
	}

	d.mu.Unlock()

	for _, a := range all {
		d.Disconnect(a)
	}
}

func (d *Dialer) slot(a Address) *peerSlot {
	d.mu.Lock()
	defer d.mu.Unlock()

	s := d.slots[a]
	if s == nil {
		s = &peerSlot{}
		d.slots[a] = s
	}

	return s
}

func (d *Dialer) connect(ctx context.Context, s *peerSlot, a Address) (*connection, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.conn != nil && s.conn.conn.Context().Err() == nil {
		return s.conn, nil
	}

	s.conn.close(codeStopped)
	s.conn = nil

	c, err := d.dial(ctx, a)
	if err != nil {
		event.Fail(d.log, err, event.PeerLost, "vm", a.VM, "addr", a.Addr)

		return nil, failure.Wrap(failure.TargetLost, err, "%s is unreachable", a.VM)
	}

	event.Log(d.log, event.PeerConnected, "vm", a.VM, "addr", a.Addr)

	s.conn = c

	return c, nil
}

// dial uses a new UDP socket for every connection: a middlebox that has lost the
// state of the old flow would drop a new connection from the same port too.
func (d *Dialer) dial(ctx context.Context, a Address) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.DialTimeout)
	defer cancel()

	to, err := net.ResolveUDPAddr("udp", a.Addr)
	if err != nil {
		return nil, err
	}

	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, err
	}

	tr := &quic.Transport{Conn: socket}

	q, err := tr.Dial(ctx, to, clientTLS(d.cfg.TLS, a.VM), d.cfg.quic())
	if err != nil {
		_ = tr.Close()
		_ = socket.Close()

		return nil, err
	}

	return &connection{conn: q, transport: tr}, nil
}

// dropConn closes c and clears its slot, unless c was replaced already.
func (d *Dialer) dropConn(s *peerSlot, a Address, c *connection, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.conn != c {
		return
	}

	s.conn = nil

	c.close(codeUnresponsive)
	event.Fail(d.log, cause, event.PeerLost, "vm", a.VM, "addr", a.Addr)
}

func (c *connection) close(code quic.ApplicationErrorCode) {
	if c == nil {
		return
	}

	_ = c.conn.CloseWithError(code, "")
	_ = c.transport.Close()
	_ = c.transport.Conn.Close()
}
