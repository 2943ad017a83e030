package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"boragehub/failure"
	"boragehub/message"
)

// Error codes with which a stream or connection is closed. They are sent to the peer.
const (
	codeCancelled    quic.StreamErrorCode      = 1
	codeUnresponsive quic.ApplicationErrorCode = 2
	codeStopped      quic.ApplicationErrorCode = 3
	// codeNotProcessed says that requests without a response on this connection were
	// not processed.
	codeNotProcessed quic.ApplicationErrorCode = 4
)

const readBufferBytes = 4 << 10

// Stream carries one exchange of messages with a peer. Send may be called from
// several goroutines, Receive from one.
type Stream struct {
	s             *quic.Stream
	r             *bufio.Reader
	cfg           Config
	closeConn     func(error)
	heartbeatStop chan struct{}
	stopOnce      sync.Once

	writeMu sync.Mutex // serialises frames
}

func newStream(s *quic.Stream, cfg Config, abandon func(error)) *Stream {
	t := &Stream{
		s:             s,
		r:             bufio.NewReaderSize(s, readBufferBytes),
		cfg:           cfg,
		closeConn:     abandon,
		heartbeatStop: make(chan struct{}),
	}

	go t.sendHeartbeats()

	return t
}

// Context returns a context that ends when the peer has cancelled the stream or the
// connection is closed.
func (t *Stream) Context() context.Context { return t.s.Context() }

// Send writes one message. If the peer does not accept it within StreamTimeout, only
// this stream is cancelled and the error is failure.TargetLost: the peer may just be
// slow to read this stream, and the connection carries others.
func (t *Stream) Send(m message.Message) error {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()

	if err := t.s.SetWriteDeadline(time.Now().Add(t.cfg.StreamTimeout)); err != nil {
		return t.classifyError(err)
	}

	err := message.Write(t.s, m)
	if isTimeout(err) {
		t.Cancel()

		return failure.Wrap(failure.TargetLost, err, "timed out sending to the peer")
	}

	return t.classifyError(err)
}

// Receive returns the next message other than message.Heartbeat. If no message, not
// even a heartbeat, arrives within StreamTimeout, it returns failure.TargetLost and
// closes the connection.
func (t *Stream) Receive() (message.Message, error) {
	for {
		if err := t.s.SetReadDeadline(time.Now().Add(t.cfg.StreamTimeout)); err != nil {
			return nil, t.classifyError(err)
		}

		m, err := message.Read(t.r)
		if err != nil {
			return nil, t.classifyError(err)
		}

		if _, ok := m.(message.Heartbeat); !ok {
			return m, nil
		}
	}
}

// Close closes the sending side and stops reading.
func (t *Stream) Close() {
	t.stopHeartbeats()

	t.writeMu.Lock()
	defer t.writeMu.Unlock()

	_ = t.s.Close()

	t.s.CancelRead(codeCancelled)
}

// awaitReceipt closes the sending side and waits up to StreamTimeout until the peer
// closes its side, which it does only once it has the complete response or has
// cancelled the stream. A response that was written may still be in transit, lost, or
// unread in the peer's receive buffer.
func (t *Stream) awaitReceipt() (received bool) {
	t.stopHeartbeats()

	t.writeMu.Lock()
	_ = t.s.Close()
	t.writeMu.Unlock()

	return t.awaitPeerClose(time.Now().Add(t.cfg.StreamTimeout))
}

// awaitPeerClose waits until the peer has closed its side or the connection is closed;
// it returns false if the deadline passes first. A zero deadline means no deadline.
func (t *Stream) awaitPeerClose(deadline time.Time) bool {
	if t.s.SetReadDeadline(deadline) != nil {
		return true
	}

	_, err := io.Copy(io.Discard, t.r)
	if isTimeout(err) {
		return false
	}

	t.s.CancelRead(codeCancelled)

	return true
}

// Cancel aborts the stream in both directions; the peer's Context ends.
func (t *Stream) Cancel() {
	t.stopHeartbeats()
	t.s.CancelRead(codeCancelled)
	t.s.CancelWrite(codeCancelled)
}

func (t *Stream) stopHeartbeats() {
	t.stopOnce.Do(func() { close(t.heartbeatStop) })
}

// sendHeartbeats sends a heartbeat every HeartbeatInterval until the stream ends.
// Without heartbeats, a peer could not distinguish a process that takes long to
// respond from a crashed one.
func (t *Stream) sendHeartbeats() {
	tick := time.NewTicker(t.cfg.HeartbeatInterval)
	defer tick.Stop()

	for {
		select {
		case <-tick.C:
			if t.Send(message.Heartbeat{}) != nil {
				return
			}
		case <-t.heartbeatStop:
			return
		case <-t.s.Context().Done():
			return
		}
	}
}

// classifyError gives an error of the transport its failure kind. A timeout closes
// the whole connection: its other streams receive nothing either, and letting each
// of them time out in turn would delay their callers further.
func (t *Stream) classifyError(err error) error {
	if err == nil {
		return nil
	}

	if isNotProcessed(err) {
		return failure.Wrap(failure.Draining, err, "the peer has stopped without processing this request")
	}

	var known *failure.Error
	if errors.As(err, &known) && !isTimeout(err) {
		return err
	}

	if isTimeout(err) {
		t.closeConn(err)

		return failure.Wrap(failure.TargetLost, err, "the peer is unresponsive")
	}

	var cancelled *quic.StreamError
	if errors.As(err, &cancelled) {
		return failure.Wrap(failure.Cancelled, err, "the peer cancelled the stream")
	}

	if errors.Is(err, io.EOF) {
		return failure.Wrap(failure.TargetLost, err, "the peer closed the stream early")
	}

	return failure.Wrap(failure.TargetLost, err, "the connection to the peer is closed")
}

// isNotProcessed reports whether err says that the Server did not process a request
// without a response: it shut down gracefully, or did not accept the connection.
func isNotProcessed(err error) bool {
	var closed *quic.ApplicationError
	if errors.As(err, &closed) {
		return closed.Remote && closed.ErrorCode == codeNotProcessed
	}

	var refused *quic.TransportError

	return errors.As(err, &refused) && refused.Remote && refused.ErrorCode == quic.ConnectionRefused
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
