package recorder

import (
	"errors"
	"testing"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

func TestLinesOfARequestAreKept(t *testing.T) {
	passed := 0
	r := New("entry-1", 2)
	log := logr.New(r.Sink(funcr.New(func(string, string) { passed++ }, funcr.Options{}).GetSink()))

	log.Info("route_decided", "event", 1500, "request_id", "a", "target", "engine-1")
	log.V(1).Info("context_located", "request_id", "a")
	log.Info("vm_list_changed", "version", 3)
	log.Error(errors.New("lost"), "attempt_ended", "request_id", "b")

	lines := r.Lines("a")
	if got, want := len(lines), 2; got != want {
		t.Fatalf("lines of a: got %d, want %d", got, want)
	}

	if got, want := lines[0].Fields["target"], "engine-1"; got != want {
		t.Errorf("target: got %v, want %v", got, want)
	}

	if got, want := r.Lines("b")[0].Error, "lost"; got != want {
		t.Errorf("error: got %q, want %q", got, want)
	}

	if got, want := passed, 3; got != want {
		t.Errorf("lines passed on: got %d, want %d", got, want)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	r := New("entry-1", 2)
	log := logr.New(r.Sink(funcr.New(func(string, string) {}, funcr.Options{}).GetSink()))

	for _, id := range []string{"a", "b", "c"} {
		for range 2 * maxLinesPerRequest {
			log.Info("line", "request_id", id)
		}
	}

	if got, want := r.Len(), 2; got != want {
		t.Errorf("requests: got %d, want %d", got, want)
	}

	if got, want := len(r.Lines("c")), maxLinesPerRequest; got != want {
		t.Errorf("lines: got %d, want %d", got, want)
	}

	if got, want := len(r.Lines("a")), 0; got != want {
		t.Errorf("lines of the oldest: got %d, want %d", got, want)
	}
}
