package incident

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// tokens is the length of the responses, long enough for a fault to occur in the middle.
const tokens = 120

func testPrompt(i int) string {
	return fmt.Sprintf("request %d: %s", i, strings.Repeat("when does the shuttle leave the terminal? ", 10))
}

// duringResponses sends several prompts at once, calls event when a tenth of each response
// has been received (or its request has ended before), and checks that each caller gets the
// complete response to its own prompt.
func (s *system) duringResponses(prompts int, event func()) {
	s.t.Helper()

	var wg, streaming sync.WaitGroup

	streaming.Add(prompts)

	for i := range prompts {
		wg.Go(func() {
			var once sync.Once

			markStreaming := func() { once.Do(streaming.Done) }
			a := s.prompt(s.entries[i%len(s.entries)], testPrompt(i), tokens, func(n int) {
				if n == tokens/10 {
					markStreaming()
				}
			})

			markStreaming()

			if got, want := a.text, s.oracleText(testPrompt(i), tokens); got != want || !a.finished {
				s.t.Errorf("prompt %d: got %d %s %v, finished %v, text\n%q, want\n%q", i, a.status, a.code, a.err, a.finished, got, want)
			}
		})
	}

	streaming.Wait()
	event()
	wg.Wait()
}

// An engine and its side process are killed in the middle of several responses. Without
// resumption at another engine, the callers' streams would be truncated.
func TestResponsesResumeAfterEngineVMFailure(t *testing.T) {
	s := start(t, systemConfig{engines: 3, decodeTokensPerSecond: 100})
	s.duringResponses(6, func() {
		s.kill("engine-1")
		s.kill("engine-1-target")
	})
}

// Only the side process is killed; the engine keeps running but its responses are not read.
func TestResponsesResumeAfterSideProcessKill(t *testing.T) {
	s := start(t, systemConfig{engines: 3, decodeTokensPerSecond: 100})
	s.duringResponses(6, func() { s.kill("engine-2") })
}

// A side process is paused in the middle of several responses and resumed later with stale
// tokens. No connection fails meanwhile, so the streams would stall; after it is resumed, a
// caller could get a token twice.
func TestResponsesResumeAfterSideProcessPause(t *testing.T) {
	s := start(t, systemConfig{engines: 3, decodeTokensPerSecond: 100})
	s.duringResponses(6, func() { s.signal("engine-1", syscall.SIGSTOP) })
	s.signal("engine-1", syscall.SIGCONT)
	s.duringResponses(3, func() {})
}

// The side process of an engine and an entry are stopped gracefully in the middle of several
// responses, which must not be cut off.
func TestGracefulStopsCutOffNoResponse(t *testing.T) {
	s := start(t, systemConfig{engines: 2, decodeTokensPerSecond: 100})

	var stops sync.WaitGroup

	s.duringResponses(6, func() {
		stops.Go(func() { s.stop("engine-1") })
		stops.Go(func() { s.stop("entry-1") })
	})
	stops.Wait()
}

// A request crashes each engine that runs it, and its caller sends it again, to the other
// entry too. Unless it is quarantined, it crashes all engines.
func TestCrashingPromptIsQuarantinedAfterTwoEngines(t *testing.T) {
	s := start(t, systemConfig{engines: 4, decodeTokensPerSecond: 100})

	for _, url := range s.engines {
		s.setFaults(url, map[string]any{"crash_prompt": "poison"})
	}

	for i := range 6 {
		a := s.prompt(s.entries[i%2], "a poison prompt", 10, nil)
		if a.finished {
			t.Errorf("attempt %d: got a complete response, want an error", i)
		}
	}

	crashed := 0

	for name := range s.engines {
		select {
		case <-s.processes[name+"-target"].done:
			crashed++
		default:
		}
	}

	if crashed > 2 {
		t.Errorf("crashed engines: got %d, want at most 2", crashed)
	}

	a := s.prompt(s.entries[1], "a poison prompt", 10, nil)
	if got, want := a.code, "quarantined"; got != want {
		t.Errorf("the crashing prompt: got %q, want %q", got, want)
	}

	s.duringResponses(3, func() {})
}

// Open connections to an engine become unresponsive for good in the middle of responses,
// while new ones work. No connection fails, so the callers' streams would stall.
func TestResponsesResumeAfterUnresponsiveConnections(t *testing.T) {
	s := start(t, systemConfig{engines: 2, decodeTokensPerSecond: 100})
	s.duringResponses(6, func() { s.setFaults(s.engines["engine-1"], map[string]any{"silent": true}) })
}

// Engines have no side processes yet, and one of them is killed. The engines must serve
// nevertheless: they must not be left idle, and callers must not be refused.
func TestEnginesWithoutSideProcessServe(t *testing.T) {
	s := start(t, systemConfig{enginesWithoutSide: 2, decodeTokensPerSecond: 100})
	s.duringResponses(4, func() { s.kill("alone-1-target") })
}

// The link to a store becomes extremely slow while a copy of a context is imported. The
// caller would wait for hours for what can be recomputed in a moment.
func TestSlowImportIsCancelled(t *testing.T) {
	s := start(t, systemConfig{engines: 1, decodeTokensPerSecond: 1000})
	longPrompt := testPrompt(0) + strings.Repeat(" and the fare rules in full", 200)

	if a := s.prompt(s.entries[0], longPrompt, 10, nil); !a.finished {
		t.Fatalf("first request: got %d %s", a.status, a.code)
	}

	s.eventually("the context is in the store", func() bool { return s.logContains("engine-1", `"copy_parked"`) })
	s.setFaults(s.storeURL, map[string]any{"bytes_per_second": 100})

	want := s.oracleText(longPrompt, 10)

	// The side process reads the eviction event with a delay. Until then it takes the
	// context to be cached and imports nothing.
	s.eventually("an import is cancelled", func() bool {
		s.setFaults(s.engines["engine-1"], map[string]any{"evict_all": true})

		if got := s.prompt(s.entries[0], longPrompt, 10, nil).text; got != want {
			t.Fatalf("got %q, want %q", got, want)
		}

		return s.logContains("engine-1", "the copy comes slower than it can be computed")
	})
}

// logContains reports whether the log of a process contains text.
func (s *system) logContains(name, text string) bool {
	b, err := os.ReadFile(filepath.Join(s.dir, name+".log"))

	return err == nil && strings.Contains(string(b), text)
}
