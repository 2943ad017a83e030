package recorder

import (
	"errors"
	"fmt"
	"strings"
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

// Guards against a process that runs out of memory by the paths and errors of callers' requests in its record.
func TestTextsAreBounded(t *testing.T) {
	const requests = 256

	r := New("entry-1", requests)
	log := logr.New(r.Sink(funcr.New(func(string, string) {}, funcr.Options{}).GetSink()))
	long := strings.Repeat("p", 16<<10)

	for i := range 4 * requests {
		id := fmt.Sprint(i % requests)

		log.Info("request_arrived", "request_id", id, "path", long)
		log.Error(errors.New(long), "request_failed", "request_id", id, "status", 404)
	}

	if got, most := r.bytes, requests*bytesPerRequest; got > most || got < most/2 {
		t.Errorf("got %d bytes kept, want up to %d", got, most)
	}

	for _, l := range r.Lines("255") {
		if path, _ := l.Fields["path"].(string); len(path) > maxTextBytes || len(l.Error) > maxTextBytes {
			t.Errorf("%s: got texts of %d and %d bytes, want at most %d", l.Name, len(path), len(l.Error), maxTextBytes)
		}
	}

	if got := len(r.Lines("255")); got == 0 {
		t.Error("got no line of the last request")
	}
}
