package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"boragehub/mirror"
)

// serveDoubled answers each call by h, after 5 ms, and again some ms later on the same connection. It returns its
// address.
func serveDoubled(t *testing.T, h http.Handler) string {
	t.Helper()

	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	var wg sync.WaitGroup

	wg.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}

			context.AfterFunc(t.Context(), func() { _ = nc.Close() })
			wg.Go(func() { answerTwice(nc, h) })
		}
	})

	t.Cleanup(func() {
		_ = l.Close()

		wg.Wait()
	})

	return l.Addr().String()
}

func answerTwice(nc net.Conn, h http.Handler) {
	defer func() { _ = nc.Close() }()

	var mu sync.Mutex // guards the writes of responses

	br := bufio.NewReader(nc)

	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}

		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)

		resp := w.Result()
		resp.ContentLength = int64(w.Body.Len())

		var text bytesWriter
		if err := resp.Write(&text); err != nil {
			return
		}

		write := func() {
			mu.Lock()
			defer mu.Unlock()

			_, _ = nc.Write(text)
		}

		time.AfterFunc(5*time.Millisecond, write)
		time.AfterFunc(time.Duration(6+n%3)*time.Millisecond, write)
	}
}

// bytesWriter holds what is written to it.
type bytesWriter []byte

// Write implements io.Writer.
func (b *bytesWriter) Write(p []byte) (int, error) {
	*b = append(*b, p...)

	return len(p), nil
}

// Guards against records, and the age that they count as, that come from the response to the poll before.
func TestRecordsAreNotReadFromAnotherResponse(t *testing.T) {
	const calls = 40

	var topic mirror.Topic

	address := serveDoubled(t, NewServer(ServerConfig{Members: NewMembers("", nil), Topics: map[string]*mirror.Topic{"t": &topic}}))
	c := NewClient(NewMembers("", nil))
	own, other := 0, 0

	for i := range int64(calls) {
		topic.Merge(mirror.Batch{Records: []mirror.Record{{Key: "config", Value: []byte("v"), Offset: i}}, End: i + 1, Snapshot: true, AsOf: time.Now()})

		b, err := c.fetchRecords(t.Context(), address, "t", mirror.Position{}, 0)

		switch {
		case err != nil:
		case b.End == i+1:
			own++
		default:
			other++
		}
	}

	if other > 0 || own < calls/3 {
		t.Errorf("got %d responses to other calls and %d own ones in %d calls, want none and a third", other, own, calls)
	}
}
