package entry

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// unreadWriter is the connection of a caller that reads nothing: a write ends when its time is over.
type unreadWriter struct {
	net.Conn

	until time.Time
}

func (w *unreadWriter) Header() http.Header { return http.Header{} }
func (w *unreadWriter) WriteHeader(int)     {}
func (w *unreadWriter) Flush()              {}

func (w *unreadWriter) SetWriteDeadline(until time.Time) error {
	w.until = until

	return nil
}

func (w *unreadWriter) Write([]byte) (int, error) {
	if w.until.IsZero() {
		return 0, errors.New("the write would block for ever")
	}

	return 0, os.ErrDeadlineExceeded
}

// Guards against a caller that reads nothing of its stream and keeps an engine's run and the entry's memory for ever.
func TestUnreadStreamsAreGivenUp(t *testing.T) {
	s := newStreamSink(responseMeta{id: "r1"}, &unreadWriter{}, false)

	if err := s.writeToken("text"); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want %v", err, os.ErrDeadlineExceeded)
	}
}
