package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"boragehub/drain"
	"boragehub/failure"
	"boragehub/site"
)

// stopWhile runs f with the address of a server of the gateway, and begins a planned stop of the server once the target
// has got the requests of f. It returns when the server has ended.
func (env *testEnv) stopWhile(t *testing.T, requests int, e *fakeEngine, f func(address string)) {
	t.Helper()

	const grace = time.Second

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	s := drain.NewServer(drain.Config{Handler: env.gateway})
	ended := make(chan error, 1)

	go func() { ended <- s.Serve(l) }()

	var callers sync.WaitGroup

	callers.Go(func() { f(l.Addr().String()) })

	for e.count() < requests {
		time.Sleep(time.Millisecond)
	}

	end := time.Now().Add(grace)
	ctx, cancel := context.WithDeadline(t.Context(), end)
	defer cancel()

	last := end.Add(-grace / 5)
	env.gateway.Stop(last)
	s.Drain(ctx, drain.Options{OnDeregistered: func() { env.gateway.StartDrain(time.Now(), last) }, MayClosePort: env.gateway.MayClosePort})
	callers.Wait()

	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("got %v, want %v", err, http.ErrServerClosed)
	}
}

// post sends a request with an id on a connection of its own.
func post(address, path, id string) reply {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	if err != nil {
		return reply{err: err}
	}

	r.Host = "desk"
	r.Header.Set("Id", id)
	r.Header.Set("Key", "k1")

	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return reply{err: err}
	}

	defer func() { _ = resp.Body.Close() }()

	b, err := io.ReadAll(resp.Body)

	return reply{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

// Guards against a request that is cut with no answer at the end of a planned stop: its engine takes longer than the
// time left, and its caller doesn't know whether it has run.
func TestRequestsThatOutlastAStopAreAnswered(t *testing.T) {
	tests := []struct{ name, sent string }{
		{"no response", ""},
		{"a part of a head", "HTTP/1.1 200 OK\r\nId: ID\r\nSe"},
		{"a part of a body", truncated200},
		{"a part of an event", streamHead + chunk("id: 1\ndata: to")},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newFakeEngine(t, "a", func(c net.Conn, r *http.Request) bool {
				respond(tt.sent)(c, r)

				return hang(c, r)
			})
			env := newTestEnv(t, e)
			paths := []string{"/once/1", "/unhurried/1", "/stream/1", "/resume/1"}

			env.stopWhile(t, len(paths), e, func(address string) {
				var callers sync.WaitGroup

				for _, path := range paths {
					callers.Go(func() {
						if got := post(address, path, path); got.err != nil || got.status != http.StatusBadGateway {
							t.Errorf("%s: got %d, %v, want 502", path, got.status, got.err)
						}
					})
				}

				callers.Wait()
			})

			if got := e.count(); got != len(paths) {
				t.Errorf("got %d requests at the target, want each once", got)
			}
		})
	}
}

// Guards against a stream that is cut before the entry has to end, as its caller has a part of it.
func TestBegunStreamGoesOnWhenLastResponsesAreSent(t *testing.T) {
	var env *testEnv

	e := newFakeEngine(t, "a", func(c net.Conn, r *http.Request) bool {
		respond(streamHead+events(1, 1))(c, r)

		<-env.gateway.drain.endReached

		return respond(events(2, 2)+streamEnd)(c, r)
	})
	env = newTestEnv(t, e)

	env.stopWhile(t, 1, e, func(address string) {
		if got, want := post(address, "/stream/1", "r1"), eventText(1)+eventText(2); got.err != nil || got.body != want {
			t.Errorf("got %q, %v, want %q", got.body, got.err, want)
		}
	})
}

// Guards against a request that is taken early in a planned stop although responses like its usually take longer than the
// entry has.
func TestStopRefusesWhatUsuallyTakesLonger(t *testing.T) {
	t0 := time.Unix(1000, 0)
	tests := []struct {
		name, route string
		left        time.Duration
		deadline    time.Duration // of the caller
		want        bool
	}{
		{"long, enough time", "review", time.Second, 10 * time.Second, true},
		{"long, too little time", "review", time.Second - 1, 10 * time.Second, false},
		{"long, its caller leaves before the end", "review", 900 * time.Millisecond, 900 * time.Millisecond, true},
		{"quick", "seat", time.Second - 1, 10 * time.Second, true},
	}

	for _, tt := range tests {
		d := newTrainedDrainControl()
		d.stop(t0.Add(tt.left))

		err := d.admit(t0, &task{route: &site.Route{Name: tt.route}, deadline: t0.Add(tt.deadline)})
		if got := err == nil; got != tt.want {
			t.Errorf("%s: got accepted %v (%v), want %v", tt.name, got, err, tt.want)
		}

		if err != nil && failure.KindOf(err).Response().Ran != failure.NotRun {
			t.Errorf("%s: got %v, want a refusal that says not run", tt.name, err)
		}
	}
}
