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

// sendLoadReports sends load reports of targets, all at the same times, until the test ends.
func (env *testEnv) sendLoadReports(t *testing.T, addresses ...string) {
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
					env.roster.ObserveReport(now, pulse.Report{Engine: a, Model: "m", Version: 1})
				}
			case <-stop:
				return
			}
		}
	}()
}

// An engine prefills a very long prompt while another one waits in its queue, and then the engine
// is paused. The time until the caller leaves is too short to distinguish a pause from a delay.
// Guards against a caller that leaves without an error, with its request still at the engine when
// that resumes. A caller that has part of its stream gets the error too, and may resume elsewhere.
func TestCallerOfPausedEngineGetsErrorBeforeItLeaves(t *testing.T) {
	tests := []struct {
		name, shown string
		status      int
		err         error
	}{
		{"before the first event", "", http.StatusGatewayTimeout, nil},
		{"in the middle of its stream", streamHead + events(0, 1), http.StatusOK, io.ErrUnexpectedEOF},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			paused, arrived := newHangingEngine(t, "a", tt.shown)
			env := newTestEnv(t, paused)
			other := newFakeEngine(t, "b", respond(streamHead+events(0, 1)+streamEnd))
			env.roster.ObserveReport(time.Now(), pulse.Report{Engine: paused.llmAddress, Model: "m", Version: 1})

			got := make(chan reply, 1)

			go func() { got <- env.request(t, "POST", "/patient/1", "x", "Tokens", "30") }()

			<-arrived
			env.list(other)
			env.sendLoadReports(t, other.llmAddress)

			if r := <-got; r.status != tt.status || !errors.Is(r.err, tt.err) {
				t.Errorf("got %d %v, want %d %v", r.status, r.err, tt.status, tt.err)
			}

			if n := other.count(); n != 0 {
				t.Errorf("got %d requests at the other engine, want none", n)
			}
		})
	}
}

// An engine takes long to begin on a prompt, but keeps sending load reports. Guards against
// cancelling its request: the caller may stay a little longer than its known timeout.
func TestRequestIsKeptWhileEngineReports(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	slow := newFakeEngine(t, "a", func(c net.Conn, r *http.Request) bool {
		close(arrived)
		<-release

		return respond(streamHead+events(0, 1)+streamEnd)(c, r)
	})
	env := newTestEnv(t, slow)
	other := newFakeEngine(t, "b", respond(streamHead+events(0, 1)+streamEnd))
	env.sendLoadReports(t, slow.llmAddress, other.llmAddress)

	got := make(chan reply, 1)

	go func() { got <- env.request(t, "POST", "/patient/1", "x", "Tokens", "30") }()

	<-arrived
	env.list(other)
	time.Sleep(2 * shortCallerTimeout)
	close(release)

	if r := <-got; r.status != http.StatusOK || r.err != nil {
		t.Errorf("got %d %v, want the response", r.status, r.err)
	}
}
