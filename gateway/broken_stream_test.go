package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
)

// closeHead is the head of a stream that ends with its connection.
const closeHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"

// lengthHead returns the head of a stream with a length.
func lengthHead(length int) string {
	return "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// framings are the ways in which a target tells that a body has ended.
var framings = []struct {
	name  string
	frame func(body string) string
}{
	{"close", func(body string) string { return closeHead + body }},
	{"chunked", func(body string) string { return streamHead + chunk(body) + streamEnd }},
	{"length", func(body string) string { return lengthHead(len(body)) + body }},
}

// lineEnds are the ends of lines that the SSE specification allows.
var lineEnds = []struct{ name, text string }{{"LF", "\n"}, {"CRLF", "\r\n"}, {"CR", "\r"}}

// respondAndReset writes a text and resets the connection.
func respondAndReset(text string) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		respond(text)(c, r)

		_ = c.(*net.TCPConn).SetLinger(0)

		return false
	}
}

// firstThen returns the behaviour of both targets of an env: the first request gets the first response
// of the two, all others get the second one.
func firstThen(first, others behaviour) behaviour {
	pending := make(chan struct{}, 1)
	pending <- struct{}{}

	return func(c net.Conn, r *http.Request) bool {
		select {
		case <-pending:
			return first(c, r)
		default:
			return others(c, r)
		}
	}
}

// Guards against a stream that its target broke off inside an event and that looks complete, because the
// connection was closed in order or the framing was completed.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	cuts := []struct{ name, third string }{
		{"in the id", "id: 3"},
		{"in the data", "id: 3\ndata: tok"},
		{"behind a line", "id: 3\n"},
		{"before the empty line", "id: 3\ndata: token3\n"},
	}

	for _, f := range framings {
		for _, e := range lineEnds {
			for _, cut := range cuts {
				t.Run(f.name+" "+e.name+" "+cut.name, func(t *testing.T) {
					lines := func(text string) string { return strings.ReplaceAll(text, "\n", e.text) }
					whole := lines(eventText(1) + eventText(2))
					broken := respondAndClose(f.frame(whole + lines(cut.third)))

					env := newTestEnv(t, newFakeEngine(t, "a", broken), newFakeEngine(t, "b", broken))

					got := env.request(t, http.MethodGet, "/stream/1", "")
					if got.err == nil || got.body != whole {
						t.Errorf("got %q, %v, want a broken connection behind %q", got.body, got.err, whole)
					}

					either := firstThen(broken, func(c net.Conn, r *http.Request) bool {
						if got := r.Header.Get("After"); got != "2" {
							t.Errorf("got stream resumed after %q, want 2", got)
						}

						return respondAndClose(f.frame(lines(eventText(3)+eventText(4))))(c, r)
					})
					env = newTestEnv(t, newFakeEngine(t, "a", either), newFakeEngine(t, "b", either))

					got = env.request(t, http.MethodGet, "/resume/1", "")
					if want := whole + lines(eventText(3)+eventText(4)); got.err != nil || got.body != want {
						t.Errorf("got %q, %v, want %q", got.body, got.err, want)
					}
				})
			}
		}
	}
}

// Guards against a whole stream that counts as broken, or loses bytes, because of its framing, the ends of
// its lines or what stands behind its last event.
func TestWholeStreamStaysWhole(t *testing.T) {
	bodies := []struct{ name, text string }{
		{"events", eventText(1) + eventText(2)},
		{"one event", eventText(1)},
		{"several lines of data", "id: 1\ndata: a\ndata: b\n\n" + "event: end\nid: 2\ndata\n\n"},
		{"event without an id", "data: a\n\n" + eventText(2)},
		{"ids that don't increase", eventText(2) + eventText(2) + eventText(1)},
		{"comment at the end", eventText(1) + ": kept alive\n"},
		{"empty lines at the end", eventText(1) + "\n\n"},
	}

	for _, f := range framings {
		for _, e := range lineEnds {
			for _, b := range bodies {
				t.Run(f.name+" "+e.name+" "+b.name, func(t *testing.T) {
					want := strings.ReplaceAll(b.text, "\n", e.text)
					engine := newFakeEngine(t, "a", respondAndClose(f.frame(want)))
					env := newTestEnv(t, engine, newFakeEngine(t, "b", respondAndClose(f.frame(want))))

					got := env.request(t, http.MethodGet, "/resume/1", "")
					if got.err != nil || got.body != want || got.status != http.StatusOK {
						t.Errorf("got %d %q, %v, want %q", got.status, got.body, got.err, want)
					}
				})
			}
		}
	}
}

// Guards against events that reach the caller only with the next one, or at the end, because their end was not
// recognised: the target sends each event when the caller has the one before.
func TestEventsArriveOneByOne(t *testing.T) {
	const n = 4

	heads := []struct {
		name, head, end string
		part            func(text string) string
	}{
		{"close", closeHead, "", func(text string) string { return text }},
		{"chunked", streamHead, streamEnd, chunk},
		{"length", "", "", func(text string) string { return text }},
	}

	for _, h := range heads {
		for _, e := range lineEnds {
			for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
				t.Run(h.name+" "+e.name+" "+proto, func(t *testing.T) {
					event := func(i int) string { return strings.ReplaceAll(eventText(i), "\n", e.text) }

					head := h.head
					if head == "" {
						head = lengthHead(n * len(event(1)))
					}

					has := make(chan struct{})
					env := newTestEnv(t, newFakeEngine(t, "a", func(c net.Conn, r *http.Request) bool {
						respond(head)(c, r)

						for i := 1; i <= n; i++ {
							respond(h.part(event(i)))(c, r)
							<-has
						}

						respond(h.end)(c, r)

						return false
					}))

					nc, err := net.Dial("tcp", env.server.Listener.Addr().String())
					if err != nil {
						t.Fatal(err)
					}
					defer func() { _ = nc.Close() }()

					_ = nc.SetDeadline(time.Now().Add(10 * time.Second))

					if _, err := io.WriteString(nc, "GET /stream/1 "+proto+"\r\nHost: desk\r\nId: r1\r\nKey: k1\r\n\r\n"); err != nil {
						t.Fatal(err)
					}

					resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
					if err != nil {
						t.Fatal(err)
					}
					defer func() { _ = resp.Body.Close() }()

					for i := 1; i <= n; i++ {
						got := make([]byte, len(event(i)))
						if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != event(i) {
							t.Fatalf("event %d: got %q, %v, want %q before the next one is sent", i, got, err, event(i))
						}

						has <- struct{}{}
					}

					if rest, err := io.ReadAll(resp.Body); len(rest) > 0 || err != nil {
						t.Errorf("got %q, %v behind the last event, want the end", rest, err)
					}
				})
			}
		}
	}
}

// A target breaks off before its first event. Guards against an empty stream that looks complete.
func TestStreamWithoutAnEventThatEndsWithItsConnectionIsBroken(t *testing.T) {
	broken := respondAndClose(closeHead)
	env := newTestEnv(t, newFakeEngine(t, "a", broken), newFakeEngine(t, "b", broken))

	if got := env.request(t, http.MethodGet, "/stream/1", ""); got.status != http.StatusBadGateway {
		t.Errorf("got %d %q, want %d", got.status, got.body, http.StatusBadGateway)
	}

	either := firstThen(broken, respondAndClose(closeHead+eventText(1)))
	env = newTestEnv(t, newFakeEngine(t, "a", either), newFakeEngine(t, "b", either))

	if got := env.request(t, http.MethodGet, "/resume/1", ""); got.body != eventText(1) || got.err != nil {
		t.Errorf("got %q, %v, want %q", got.body, got.err, eventText(1))
	}
}

// A stream breaks behind its last event, so that nothing is left for the target that resumes it. Guards
// against an empty rest that counts as broken.
func TestResumedStreamMayBeEmpty(t *testing.T) {
	either := firstThen(respondAndReset(streamHead+events(1, 2)), respondAndClose(closeHead))
	env := newTestEnv(t, newFakeEngine(t, "a", either), newFakeEngine(t, "b", either))

	got := env.request(t, http.MethodGet, "/resume/1", "")
	if want := eventText(1) + eventText(2); got.err != nil || !strings.HasPrefix(want, got.body) {
		t.Errorf("got %q, %v, want %q or its beginning", got.body, got.err, want)
	}

	env = newTestEnv(t, newFakeEngine(t, "a", respondAndClose(closeHead)))
	if got := env.request(t, http.MethodGet, "/resume/1", "", "After", "2"); got.status != http.StatusOK || got.err != nil {
		t.Errorf("got %d, %v, want an empty stream for a caller that has all events", got.status, got.err)
	}
}

// A target repeats events of a stream that it resumes, with other blocks beside them. Guards against dropping
// a part of the stream that is as long as the repeated events instead of these.
func TestRepeatedEventsAreDroppedFromAResumedStream(t *testing.T) {
	tests := []struct{ name, rest, want string }{
		{"comment before it", ": resumed\n\n" + eventText(2) + eventText(3), ": resumed\n\n" + eventText(3)},
		{"event without an id behind it", eventText(2) + "data: part of 2\n\n" + eventText(3), eventText(3)},
		{"nothing new", eventText(1) + eventText(2), ""},
		{"no repeated event", ": resumed\n\n" + eventText(3), ": resumed\n\n" + eventText(3)},
	}

	for _, tt := range tests {
		for _, parts := range []struct {
			name  string
			frame func(text string) string
		}{
			{"at once", func(text string) string { return closeHead + text }},
			{"a byte a chunk", func(text string) string {
				chunks := streamHead
				for i := range len(text) {
					chunks += chunk(text[i : i+1])
				}

				return chunks + streamEnd
			}},
		} {
			t.Run(tt.name+" "+parts.name, func(t *testing.T) {
				whole := eventText(1) + eventText(2)
				either := firstThen(respondAndClose(closeHead+whole+"id: 3"), respondAndClose(parts.frame(tt.rest)))
				env := newTestEnv(t, newFakeEngine(t, "a", either), newFakeEngine(t, "b", either))

				got := env.request(t, http.MethodGet, "/resume/1", "")
				if want := whole + tt.want; got.err != nil || got.body != want {
					t.Errorf("got %q, %v, want %q", got.body, got.err, want)
				}
			})
		}
	}
}

// brokenSource is a stream whose error comes with its last bytes.
type brokenSource struct{ parts []string }

func (s *brokenSource) Read(b []byte) (int, error) {
	n := copy(b, s.parts[0])
	if s.parts = s.parts[1:]; len(s.parts) == 0 {
		return n, syscall.ECONNRESET
	}

	return n, nil
}

// Guards against a reset that is lost, and a stream that looks complete, because the stream was read ahead.
func TestResetOfAStreamThatIsReadAheadIsKept(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		shared := &slowReaders{maxReadAhead: 1 << 20}
		r := newStreamReader(&brokenSource{parts: []string{eventText(1), eventText(2)}}, shared)

		if ahead {
			r.beginWrite()
			r.startAhead()
			<-r.finished
		}

		got, err := io.ReadAll(r)
		if want := eventText(1) + eventText(2); string(got) != want || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read ahead %v: got %q, %v, want %q, %v", ahead, got, err, want, syscall.ECONNRESET)
		}

		r.stop(func() {})
	}
}

// countingMeter counts results.
type countingMeter struct {
	Meter

	served, failed atomic.Int64
}

func (m *countingMeter) Served(string, time.Duration, time.Duration, int) { m.served.Add(1) }
func (m *countingMeter) Failed(string)                                    { m.failed.Add(1) }

// Guards against a stream that its target broke off and that counts as served: in the logs, the metrics,
// the target's health and as evidence of the target's end.
func TestBrokenStreamCountsAsBrokenEverywhere(t *testing.T) {
	const requests = 2

	var arrived sync.WaitGroup
	arrived.Add(requests)

	env := newTestEnv(t, newFakeEngine(t, "a", func(c net.Conn, r *http.Request) bool {
		respond(closeHead+eventText(1)+"id: 2\nda")(c, r)
		arrived.Done()
		arrived.Wait()

		return false
	}))
	log, meter := &lineLog{}, &countingMeter{}
	env.gateway.cfg.Log, env.gateway.cfg.Meter = funcr.New(log.add, funcr.Options{}), meter
	env.gateway.crashes.cfg.Log = env.gateway.cfg.Log

	// Both break off at once, as when their target ends.
	var calling sync.WaitGroup
	for range requests {
		calling.Go(func() { env.request(t, http.MethodGet, "/stream/1", "") })
	}

	calling.Wait()

	if got := log.count("attempt_failed", `"framing"="close"`, `"unfinished_bytes"=8`); got != requests {
		t.Errorf("got %d lines of failed attempts, want %d", got, requests)
	}

	if got := log.count("request_served"); got != 0 {
		t.Errorf("got %d lines of served requests, want none", got)
	}

	if served, failed := meter.served.Load(), meter.failed.Load(); served != 0 || failed != requests {
		t.Errorf("got %d served and %d failed in the metrics, want 0 and %d", served, failed, requests)
	}

	if got := log.count("crash_counted"); got != requests {
		t.Errorf("got %d requests counted as running when the target ended, want %d", got, requests)
	}
}

// Guards against a target whose streams all break off and that goes on getting its share of the work.
func TestTargetThatBreaksStreamsOffIsAvoided(t *testing.T) {
	const requests = 40

	// The target that is chosen first breaks off.
	var broken atomic.Pointer[string]

	newEngine := func(id string) *fakeEngine {
		return newFakeEngine(t, id, func(c net.Conn, r *http.Request) bool {
			broken.CompareAndSwap(nil, &id)

			if *broken.Load() == id {
				return respondAndClose(closeHead+eventText(1)+"id: 2\nda")(c, r)
			}

			return respondAndClose(closeHead+eventText(1))(c, r)
		})
	}
	a, b := newEngine("a"), newEngine("b")
	env := newTestEnv(t, a, b)

	for i := range requests {
		env.request(t, http.MethodGet, "/stream/1", "", "Id", "r"+strconv.Itoa(i))
	}

	got := a.count()
	if *broken.Load() == "b" {
		got = b.count()
	}

	// A target is ejected after three failures in a row.
	if got > 3 {
		t.Errorf("got %d of %d requests at it, want 3 at most", got, requests)
	}
}
