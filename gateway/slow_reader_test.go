package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// unreadPatience is how long the engines of these tests let a response remain unread.
const unreadPatience = 1500 * time.Millisecond

// testUnreadBytes is the bound of these tests for responses that callers don't read.
const testUnreadBytes = 64 << 20

// streamUntilUnread sends events until the response remains unread, and then cuts it off.
func streamUntilUnread(cut chan<- struct{}) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		defer func() { cut <- struct{}{} }()

		respond(streamHead)(c, r)

		for i := 1; ; i++ {
			if err := c.SetWriteDeadline(time.Now().Add(unreadPatience)); err != nil {
				return false
			}

			text := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 4000))
			if _, err := io.WriteString(c, chunk(text)); err != nil {
				return false
			}
		}
	}
}

// slowCaller sends a request and reads no response.
func (env *testEnv) slowCaller(t *testing.T, path string) net.Conn {
	t.Helper()

	c, err := net.Dial("tcp", env.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = c.Close() })

	if err := c.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}

	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: desk\r\nId: r1\r\nKey: k1\r\nTokens: 100\r\n\r\n"); err != nil {
		t.Fatal(err)
	}

	return c
}

// awaitNoRequests waits until no request is being served.
func (env *testEnv) awaitNoRequests(t *testing.T, limit time.Duration) {
	t.Helper()

	for end := time.Now().Add(limit); env.gateway.Active() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d requests after %v, want none", env.gateway.Active(), limit)
		}
	}
}

// An engine cuts off a stream that remains unread, and the entry reads none of it while its caller reads
// none. Guards against taking this for the engine's failure: it would be excluded, the request
// suspected of crashing engines, and run again at another one.
func TestStreamsOfSlowReadersAreNotTheEnginesFailure(t *testing.T) {
	const callers = 4

	cut := make(chan struct{}, 100)
	a, b := newFakeEngine(t, "a", streamUntilUnread(cut)), newFakeEngine(t, "b", streamUntilUnread(cut))
	env := newTestEnv(t, a, b)
	env.gateway.slowReaders = newSlowReaders(testUnreadBytes)

	var conns []net.Conn
	for i := range callers {
		conns = append(conns, env.slowCaller(t, fmt.Sprintf("/patient/%d", i)))
	}

	for range callers {
		<-cut
	}

	for _, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if text, err := io.ReadAll(c); err == nil && strings.HasSuffix(string(text), streamEnd) {
			t.Error("got a complete stream, want a broken connection")
		}
	}

	env.awaitNoRequests(t, 10*time.Second)

	if got := a.count() + b.count(); got != callers {
		t.Errorf("got %d requests at engines, want %d", got, callers)
	}

	if got := env.gateway.crashes.starts.Len(); got != 0 {
		t.Errorf("got broken requests at %d engines, want none", got)
	}
}

// Guards against responses that are held for as long as a caller keeps its connection open and reads
// nothing.
func TestResponsesOfSlowReadersAreNotHeldForever(t *testing.T) {
	body := strings.Repeat("x", maxResponseBytes)
	sendResponse := respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	sent := make(chan bool, 100)
	e := newFakeEngine(t, "a", func(c net.Conn, r *http.Request) bool {
		ok := sendResponse(c, r)
		sent <- ok

		return ok
	})
	env := newTestEnv(t, e)
	env.gateway.slowReaders = newSlowReaders(testUnreadBytes)

	var conns []net.Conn
	for range 3 {
		conns = append(conns, env.slowCaller(t, "/unhurried/1"))
	}

	for range conns {
		if !<-sent {
			t.Error("the gateway didn't read the response of the engine")
		}
	}

	env.awaitNoRequests(t, 2*writeTimeout)

	for _, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if text, err := io.ReadAll(c); !strings.HasPrefix(string(text), "HTTP/1.1 200") || len(text) >= len(body) {
			t.Errorf("got %d bytes and %v, want part of the response", len(text), err)
		}
	}

	if got := e.count(); got != len(conns) {
		t.Errorf("got %d requests at the engine, want %d", got, len(conns))
	}
}

// endlessStream is a stream that counts what was read of it, and ends when it is aborted.
type endlessStream struct {
	read    atomic.Int64
	aborted chan struct{}
}

func (s *endlessStream) Read(b []byte) (int, error) {
	select {
	case <-s.aborted:
		return 0, errReadStopped
	default:
		s.read.Add(int64(len(b)))

		return len(b), nil
	}
}

// Load: hundreds of callers at once that read nothing. Guards against memory that grows with the streams
// or with their number beyond the limits, and against streams of other callers that are no longer
// read once the limit of all is reached.
func TestReadingAheadIsBounded(t *testing.T) {
	const allAhead = 8 << 20

	const callers = allAhead/maxReadAhead + 50

	synctest.Test(t, func(t *testing.T) {
		var (
			shared  = slowReaders{maxReadAhead: allAhead}
			readers []*streamReader
			streams []*endlessStream
			total   int64
		)

		for range callers {
			s := &endlessStream{aborted: make(chan struct{})}
			r := newStreamReader(s, &shared)
			r.beginWrite()

			streams, readers = append(streams, s), append(readers, r)
		}

		time.Sleep(readAheadDelay - 1)

		for _, s := range streams {
			if got := s.read.Load(); got != 0 {
				t.Errorf("got %d bytes read ahead before %v, want none", got, readAheadDelay)
			}
		}

		time.Sleep(time.Second)
		synctest.Wait()

		for _, s := range streams {
			got := s.read.Load()
			total += got

			if got == 0 || got > maxReadAhead {
				t.Errorf("got %d bytes read ahead of a stream, want 1 to %d", got, maxReadAhead)
			}
		}

		if limit := int64(allAhead + callers*readBufferBytes); total > limit {
			t.Errorf("got %d bytes read ahead of all streams, want %d at most", total, limit)
		}

		for i, r := range readers {
			before, buf := streams[i].read.Load(), make([]byte, readBufferBytes)
			r.endWrite()

			for range 2 * maxReadAhead / readBufferBytes {
				if n, err := r.Read(buf); n == 0 || err != nil {
					t.Fatalf("got %d bytes and %v from a stream that was read ahead", n, err)
				}
			}

			if streams[i].read.Load() == before {
				t.Error("a stream isn't read on after its caller has read")
			}
		}

		for i, r := range readers {
			r.stop(func() { close(streams[i].aborted) })
		}

		if shared.readAhead != 0 {
			t.Errorf("got %d bytes reserved after the end of all streams, want none", shared.readAhead)
		}
	})
}

// Guards against streams that break without any fault of the caller, long after it read slowly or
// after a moment, and then wouldn't be resumed at another engine.
func TestOnlyStreamsLeftUnreadCountAsBrokenByTheCaller(t *testing.T) {
	tests := []struct {
		name          string
		unread, since time.Duration
		want          bool
	}{
		{"never unread", 0, 0, false},
		{"for a moment", minUnread / 2, 0, false},
		{"for long", 2 * minUnread, 0, true},
		{"for long, long ago", 2 * minUnread, 2 * minUnread, false},
	}

	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := &endlessStream{aborted: make(chan struct{})}
			r := newStreamReader(s, &slowReaders{maxReadAhead: maxReadAhead})

			if tt.unread > 0 {
				r.beginWrite()
				time.Sleep(readAheadDelay + tt.unread)
				r.endWrite()

				buf := make([]byte, maxReadAhead)
				for range 4 {
					if _, err := r.Read(buf); err != nil {
						t.Fatal(err)
					}
				}
			}

			r.mu.Lock()
			unreadUntil := r.unreadUntil
			r.mu.Unlock()

			if got := r.brokenByCaller(unreadUntil.Add(tt.since)); got != tt.want {
				t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
			}

			r.stop(func() { close(s.aborted) })
		})
	}
}

// Load: more responses than may be held, to callers that read nothing. Guards against memory that grows with
// their number, and against broken connections of callers that do read.
func TestUndeliveredResponsesAreBounded(t *testing.T) {
	const (
		size           = maxResponseBytes
		maxUndelivered = 8 * size
	)

	var (
		s      = slowReaders{maxUndelivered: maxUndelivered}
		all    []*delivery
		broken = make(map[int]bool)
	)

	now := time.Now()

	for i := range 2 * maxUndelivered / size {
		d := &delivery{size: size, progress: now.Add(time.Duration(i) * time.Millisecond), limit: func(until time.Time) error {
			if !until.After(time.Now()) {
				broken[i] = true
			}

			return nil
		}}
		s.add(d)

		all = append(all, d)

		// The first caller reads.
		if err := s.extend(now.Add(time.Hour), all[0]); err != nil {
			t.Fatalf("got %v for the caller that reads", err)
		}

		if want := max(i+1-maxUndelivered/size, 0); len(broken) != want {
			t.Errorf("%d responses: got %d broken connections, want %d", i+1, len(broken), want)
		}
	}

	if err := s.extend(now, all[1]); err == nil {
		t.Error("got no error for a broken connection")
	}

	for _, d := range all {
		s.remove(d)
	}

	if s.undelivered != 0 {
		t.Errorf("got %d bytes after the end of all deliveries, want none", s.undelivered)
	}
}
