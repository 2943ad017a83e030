package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"boragehub/site"
)

// Guards against refusing requests while an entry starts and holding them beyond the startup window.
func TestRequestsAreHeldDuringStartup(t *testing.T) {
	const startupWindow = 800 * time.Millisecond

	tests := []struct {
		name        string
		readyAt     time.Duration // after the start
		arrivesAt   time.Duration // after the start
		alreadyHeld int
		want        time.Duration // for which the request is held
	}{
		{"ready before the request arrives", 100 * time.Millisecond, 200 * time.Millisecond, 0, 0},
		{"ready within the startup window", 500 * time.Millisecond, 200 * time.Millisecond, 0, 300 * time.Millisecond},
		{"not ready within the startup window", time.Minute, 200 * time.Millisecond, 0, 600 * time.Millisecond},
		{"arrives at the end of the startup window", time.Minute, startupWindow, 0, 0},
		{"too many requests held", 500 * time.Millisecond, 200 * time.Millisecond, maxHeldRequests, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				h := newStartupHold(start.Add(startupWindow), func() bool { return time.Since(start) >= tt.readyAt })

				var wg sync.WaitGroup

				for range tt.alreadyHeld {
					wg.Go(func() { h.wait(t.Context(), time.Now()) })
				}

				time.Sleep(tt.arrivesAt)

				arrived := time.Now()
				h.wait(t.Context(), arrived)

				if got := time.Since(arrived); got < tt.want || got > tt.want+startupPollInterval {
					t.Errorf("got a request held for %v, want %v", got, tt.want)
				}

				wg.Wait()
			})
		})
	}
}

// Guards against refusing a held request for lack of targets that became known while it was held.
func TestRequestHeldDuringStartupIsServed(t *testing.T) {
	e := newFakeEngine(t, "a", respond(ok200))
	env := newTestEnv(t)
	env.gateway.current.Store(nil)

	var listed atomic.Bool

	checked := make(chan struct{}, 1) // receives when the request checks for readiness
	env.gateway.startup = newStartupHold(time.Now().Add(time.Minute), func() bool {
		select {
		case checked <- struct{}{}:
		default:
		}

		return listed.Load()
	})

	go func() {
		<-checked
		env.gateway.Configure(site.New(published))
		env.list(e)
		listed.Store(true)
	}()

	if got := env.request(t, http.MethodPost, "/once/1", "x"); got.status != http.StatusOK {
		t.Errorf("got %d, want 200", got.status)
	}
}
