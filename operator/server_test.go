package operator

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"boragehub/drain"
)

// A process is stopped while an operator reads a profile from it. It exits as soon as its
// tasks have returned, so that Run must wait for the requests in flight.
func TestRunWaitsForRequestsInFlight(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	started, release := make(chan struct{}), make(chan struct{})

	var responded atomic.Bool

	s := &Server{listener: l, server: drain.NewServer(drain.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release

		_, _ = io.WriteString(w, "done")

		responded.Store(true)
	})})}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})

	go func() {
		s.Run(ctx)
		close(done)
	}()

	got := make(chan error, 1)

	go func() {
		resp, err := http.Get("http://" + l.Addr().String())
		if err == nil {
			err = resp.Body.Close()
		}

		got <- err
	}()

	<-started
	cancel()

	// The handler continues only once the port is closed.
	for open := true; open; time.Sleep(time.Millisecond) {
		nc, err := net.Dial("tcp", l.Addr().String())
		if open = err == nil; open {
			_ = nc.Close()
		}
	}

	close(release)
	<-done

	if !responded.Load() {
		t.Error("got Run returned before the response, want it after")
	}

	if err := <-got; err != nil {
		t.Errorf("got %v, want a response", err)
	}
}
