package gateway

import (
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
	still, arrived := hanging(t, "a", "")
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
		w.gateway.Tick(time.Now())
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

// An engine crashes while calls wait there and is started anew under its id; nothing
// resets their connections. A booking may have run and is not sent again: its caller is
// told at once that nobody knows. A lookup is asked of another target.
func TestWhatWaitsAtATargetStartedAnewIsAnsweredAtOnce(t *testing.T) {
	tests := []struct {
		path   string
		status int
		others int
	}{
		{"/once/1", http.StatusBadGateway, 0},
		{"/idem/1", http.StatusOK, 1},
	}

	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			crashed, arrived := hanging(t, "a", "")
			w := open(t, crashed)
			other := newEngine(t, "b", answers(whole200))
			got := make(chan reply, 1)

			go func() { got <- w.ask(t, "POST", tt.path, "x") }()

			<-arrived
			w.list(other)
			w.gateway.Restarted("sa")

			if r := <-got; r.status != tt.status {
				t.Errorf("got %d %v, want %d", r.status, r.err, tt.status)
			}

			if n := other.count(); n != tt.others {
				t.Errorf("got %d requests at the other target, want %d", n, tt.others)
			}
		})
	}
}

// New weights are named, and an engine that has yet to load them has a long queue. A
// prompt that waits there would begin on the replaced weights after the time within
// which it may; it is taken back in time and goes to an engine with the new ones.
func TestWhatWaitsForReplacedWeightsIsTakenBack(t *testing.T) {
	old, arrived := hanging(t, "a", "")
	w := open(t, old)
	changed := newEngine(t, "b", hasVersion("2"))
	got := make(chan reply, 1)

	go func() { got <- w.ask(t, "POST", "/llm/1", "x", "Tokens", "30") }()

	<-arrived

	now := time.Now()
	w.list(changed)
	w.roster.Has("llmb", "m", 2, "test")
	w.gateway.Named(now, "m", 2, now)
	w.gateway.Tick(now.Add(7 * time.Second))

	select {
	case r := <-got:
		t.Fatalf("after 7 s: got %d, want it to wait", r.status)
	case <-time.After(50 * time.Millisecond):
	}

	w.gateway.Tick(now.Add(7700 * time.Millisecond))

	if r := <-got; r.status != 200 || changed.count() != 1 {
		t.Errorf("got %d %v after %d requests at the other engine, want 200 from there", r.status, r.err, changed.count())
	}
}
