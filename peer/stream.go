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

// Codes with which a stream or connection is ended.
const (
	codeCancelled quic.StreamErrorCode      = 1
	codeSilent    quic.ApplicationErrorCode = 2
	codeStopped   quic.ApplicationErrorCode = 3
	// codeUnserved says that what has no answer on this connection was not looked at.
	codeUnserved quic.ApplicationErrorCode = 4
)

const streamBuffer = 4 << 10

// Stream is one conversation. Send may be called from several goroutines,
// Receive from one.
type Stream struct {
	s       *quic.Stream
	r       *bufio.Reader
	cfg     Config
	abandon func(error)
	stop    chan struct{}
	once    sync.Once

	mu sync.Mutex // orders frames
}

func newStream(s *quic.Stream, cfg Config, abandon func(error)) *Stream {
	t := &Stream{
		s:       s,
		r:       bufio.NewReaderSize(s, streamBuffer),
		cfg:     cfg,
		abandon: abandon,
		stop:    make(chan struct{}),
	}

	go t.beat()

	return t
}

// Context ends when the peer has cancelled the conversation or its connection is gone.
func (t *Stream) Context() context.Context { return t.s.Context() }

// Send writes one message. A peer that takes nothing for the time of silence
// loses this conversation alone: it may only be slow to read this one, and its
// connection carries others.
func (t *Stream) Send(m message.Message) error {
	t.mu.Lock()
	defer t.mu.Unlock()

	if err := t.s.SetWriteDeadline(time.Now().Add(t.cfg.Silence)); err != nil {
		return t.explain(err)
	}

	err := message.Write(t.s, m)
	if isTimeout(err) {
		t.Cancel()

		return failure.Wrap(failure.TargetLost, err, "the peer takes nothing in")
	}

	return t.explain(err)
}

// Receive returns the next message other than Beat. A peer that falls silent
// gives failure.TargetLost, and its connection is abandoned.
func (t *Stream) Receive() (message.Message, error) {
	for {
		if err := t.s.SetReadDeadline(time.Now().Add(t.cfg.Silence)); err != nil {
			return nil, t.explain(err)
		}

		m, err := message.Read(t.r)
		if err != nil {
			return nil, t.explain(err)
		}

		if _, ok := m.(message.Beat); !ok {
			return m, nil
		}
	}
}

// Close ends this end's part of the conversation in order.
func (t *Stream) Close() {
	t.halt()

	t.mu.Lock()
	defer t.mu.Unlock()

	_ = t.s.Close()

	t.s.CancelRead(codeCancelled)
}

// finish ends the answering end and waits for a while until the peer has the whole
// answer, or has given the conversation up: it closes its own end only then. An answer
// that was written may still be on its way, or lost there, or unread in the peer's memory.
func (t *Stream) finish() (received bool) {
	t.halt()

	t.mu.Lock()
	_ = t.s.Close()
	t.mu.Unlock()

	return t.awaitEnd(time.Now().Add(t.cfg.Silence))
}

// awaitEnd waits until the peer has closed its end or the connection is gone; it returns
// false when the deadline comes first. The zero deadline never comes.
func (t *Stream) awaitEnd(deadline time.Time) bool {
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

// Cancel breaks the conversation off; the peer's Context ends.
func (t *Stream) Cancel() {
	t.halt()
	t.s.CancelRead(codeCancelled)
	t.s.CancelWrite(codeCancelled)
}

func (t *Stream) halt() {
	t.once.Do(func() { close(t.stop) })
}

// beat keeps telling the peer that this process lives, also while the answer
// takes long; without it a busy peer could not be told from a dead one.
func (t *Stream) beat() {
	tick := time.NewTicker(t.cfg.Beat)
	defer tick.Stop()

	for {
		select {
		case <-tick.C:
			if t.Send(message.Beat{}) != nil {
				return
			}
		case <-t.stop:
			return
		case <-t.s.Context().Done():
			return
		}
	}
}

// explain gives an error of the transport its kind. Silence ends the whole
// connection: its other streams are as dead, and waiting on them one after the
// other would keep callers waiting longer.
func (t *Stream) explain(err error) error {
	if err == nil {
		return nil
	}

	if unserved(err) {
		return failure.Wrap(failure.Draining, err, "the peer has stopped and not looked at this conversation")
	}

	var known *failure.Error
	if errors.As(err, &known) && !isTimeout(err) {
		return err
	}

	if isTimeout(err) {
		t.abandon(err)

		return failure.Wrap(failure.TargetLost, err, "the peer fell silent")
	}

	var cancelled *quic.StreamError
	if errors.As(err, &cancelled) {
		return failure.Wrap(failure.Cancelled, err, "the peer cancelled the conversation")
	}

	if errors.Is(err, io.EOF) {
		return failure.Wrap(failure.TargetLost, err, "the peer ended the conversation early")
	}

	return failure.Wrap(failure.TargetLost, err, "the connection to the peer is gone")
}

// unserved reports whether a connection was closed by a Server that never looked at
// what has no answer on it: one that stopped in order, or one that did not accept the
// connection.
func unserved(err error) bool {
	var closed *quic.ApplicationError
	if errors.As(err, &closed) {
		return closed.Remote && closed.ErrorCode == codeUnserved
	}

	var refused *quic.TransportError

	return errors.As(err, &refused) && refused.Remote && refused.ErrorCode == quic.ConnectionRefused
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
