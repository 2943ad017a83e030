package operator

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// An operator reads a profile of a process that is told to stop. The process ends as soon as
// its duties have; one that doesn't wait for what it serves cuts the operator off.
func TestRunFinishesWhatItServes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	begun, goOn := make(chan struct{}), make(chan struct{})

	var answered atomic.Bool

	s := &Server{listener: l, server: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-goOn

		_, _ = io.WriteString(w, "done")

		answered.Store(true)
	})}}
	ctx, cancel := context.WithCancel(t.Context())
	ran := make(chan struct{})

	go func() {
		s.Run(ctx)
		close(ran)
	}()

	got := make(chan error, 1)

	go func() {
		resp, err := http.Get("http://" + l.Addr().String())
		if err == nil {
			err = resp.Body.Close()
		}

		got <- err
	}()

	<-begun
	cancel()

	// What it serves goes on once the port is closed.
	for open := true; open; time.Sleep(time.Millisecond) {
		nc, err := net.Dial("tcp", l.Addr().String())
		if open = err == nil; open {
			_ = nc.Close()
		}
	}

	close(goOn)
	<-ran

	if !answered.Load() {
		t.Error("got Run ended before the answer, want it after")
	}

	if err := <-got; err != nil {
		t.Errorf("got %v, want an answer", err)
	}
}
