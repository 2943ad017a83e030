package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"boragehub/pulse"
)

// beating sends the pulses of targets, all at the same times, until the test ends.
func (w *world) beating(t *testing.T, addresses ...string) {
	t.Helper()

	stop := make(chan struct{})
	stopped := make(chan struct{})

	t.Cleanup(func() {
		close(stop)
		<-stopped
	})

	tick := time.NewTicker(10 * time.Millisecond)

	go func() {
		defer close(stopped)
		defer tick.Stop()

		for {
			select {
			case now := <-tick.C:
				for _, a := range addresses {
					w.roster.Pulse(now, pulse.Pulse{Engine: a, Model: "m", Version: 1})
				}
			case <-stop:
				return
			}
		}
	}()
}

// An engine reads a very long prompt, and another one waits for its turn there. Then the
// engine's machine stands still. The time that is left until the caller leaves is too short
// to tell silence from a pause. The caller would leave without having been told anything,
// and its request would still be there when the engine goes on. It is told in time instead,
// also when it has a part of its stream: it may go on elsewhere behind that.
func TestCallerIsToldBeforeItLeavesAnEngineThatIsNotHeard(t *testing.T) {
	tests := []struct {
		name, shown string
		status      int
		err         error
	}{
		{"before the first event", "", http.StatusGatewayTimeout, nil},
		{"in the middle of its stream", streamTop + events(0, 1), http.StatusOK, io.ErrUnexpectedEOF},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			still, arrived := hanging(t, "a", tt.shown)
			w := open(t, still)
			other := newEngine(t, "b", answers(streamTop+events(0, 1)+streamEnd))
			w.roster.Pulse(time.Now(), pulse.Pulse{Engine: still.llm, Model: "m", Version: 1})

			got := make(chan reply, 1)

			go func() { got <- w.ask(t, "POST", "/patient/1", "x", "Tokens", "30") }()

			<-arrived
			w.list(other)
			w.beating(t, other.llm)

			if r := <-got; r.status != tt.status || !errors.Is(r.err, tt.err) {
				t.Errorf("got %d %v, want %d %v", r.status, r.err, tt.status, tt.err)
			}

			if n := other.count(); n != 0 {
				t.Errorf("got %d requests at the other engine, want none", n)
			}
		})
	}
}

// An engine takes long to begin on a prompt, but it is heard all the while. Its caller
// stays a little longer than callers are known to, and gets its answer.
func TestCallerWaitsOnForAnEngineThatIsHeard(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	slow := newEngine(t, "a", func(c net.Conn, r *http.Request) bool {
		close(arrived)
		<-release

		return answers(streamTop+events(0, 1)+streamEnd)(c, r)
	})
	w := open(t, slow)
	other := newEngine(t, "b", answers(streamTop+events(0, 1)+streamEnd))
	w.beating(t, slow.llm, other.llm)

	got := make(chan reply, 1)

	go func() { got <- w.ask(t, "POST", "/patient/1", "x", "Tokens", "30") }()

	<-arrived
	w.list(other)
	time.Sleep(2 * shortPatience)
	close(release)

	if r := <-got; r.status != http.StatusOK || r.err != nil {
		t.Errorf("got %d %v, want the answer", r.status, r.err)
	}
}
