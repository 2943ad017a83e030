package wholepath

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"boragehub/drain"
)

// Guards against a request that is cut with no answer at the end of a planned stop: its target takes longer than the time
// left, and its caller doesn't know whether it has run.
func TestRequestsThatOutlastAStopAreAnswered(t *testing.T) {
	const (
		grace  = 2 * time.Second
		margin = 500 * time.Millisecond
	)

	env := start(t, envConfig{entries: 1, plainServices: 1})
	env.waitForOwners()
	env.setFaults(env.plainServices[0].addr, map[string]any{"held": true})

	n := env.entries[0]

	tests := []struct {
		name   string
		send   func() response
		status int
	}{
		{"booking", func() response { return env.book(n, "late") }, http.StatusConflict},
		{"lookup", func() response {
			return env.request(n, http.MethodGet, "/v1/services/"+bookingService+"/seats", "", "Authorization", "Bearer "+deskKey)
		}, http.StatusBadGateway},
	}

	var callers sync.WaitGroup

	for _, tt := range tests {
		callers.Go(func() {
			if got := tt.send(); got.status != tt.status || got.ran != "may_have_run" {
				t.Errorf("%s: got %d %s, want %d and that it may have run", tt.name, got.status, got.body, tt.status)
			}
		})
	}

	env.eventually("the requests didn't arrive", func() bool { return n.Active() == int64(len(tests)) })

	ctx, cancel := context.WithTimeout(t.Context(), grace)
	defer cancel()

	time.AfterFunc(grace-margin, n.EndRequests)
	n.StartDrain()

	if left := n.httpServer.Drain(ctx, drain.Options{MayClosePort: func(time.Time) bool { return n.Active() == 0 }}); left.Busy+left.Pending != 0 {
		t.Errorf("got requests that were cut off: %+v", left)
	}

	callers.Wait()
	env.setFaults(env.plainServices[0].addr, map[string]any{"held": false})
}
