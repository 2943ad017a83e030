package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"boragehub/pulse"
)

// An engine stands still while a request waits there. Its caller would leave after
// some seconds without an answer, and the engine work for nobody when it goes on. The
// caller is told as soon as nothing is to be expected. The request may have run and
// doesn't go to a second engine, and the first one is as good as before when it is
// heard again.
func TestRequestAtAnEngineThatStandsStillIsAnsweredAtOnce(t *testing.T) {
	arrived := make(chan struct{})
	still := newEngine(t, "a", func(c net.Conn, r *http.Request) bool {
		close(arrived)

		return hangs(c, r)
	})
	w := open(t, still)
	other := newEngine(t, "b", answers(streamTop+events(0, 1)+streamEnd))
	w.roster.Pulse(time.Now(), pulse.Pulse{Engine: still.llm, Model: "m", Version: 1})

	got := make(chan reply, 1)

	go func() { got <- w.ask(t, "POST", "/llm/1", "x", "Tokens", "30") }()

	<-arrived
	w.list(other)

	for range 6 {
		w.roster.Pulse(time.Now(), pulse.Pulse{Engine: other.llm, Model: "m", Version: 1})
		w.roster.Tick(time.Now())
		w.gateway.Tick()
	}

	if r := <-got; r.status != 502 && r.status != 504 {
		t.Errorf("got %d %v, want a failure that promises nothing", r.status, r.err)
	}

	if n := other.count(); n != 0 {
		t.Errorf("got %d requests at the other engine, want none", n)
	}

	for _, e := range w.roster.Candidates(time.Now(), "llm", "m") {
		if e.ID == "llma" && (e.Failures > 0 || !e.Quiet) {
			t.Errorf("got %d failures, quiet %v, want none and quiet", e.Failures, e.Quiet)
		}
	}
}
