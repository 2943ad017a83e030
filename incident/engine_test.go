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

// tokens is the length of the answers: long enough to be in the middle of when
// something happens to their engine.
const tokens = 120

func promptOf(i int) string {
	return fmt.Sprintf("request %d: %s", i, strings.Repeat("when does the shuttle leave the terminal? ", 10))
}

// during sends several prompts at once, calls do when all of them are in the
// middle of their answers, and checks that each caller gets the whole answer to
// its own prompt.
func (s *system) during(prompts int, do func()) {
	s.t.Helper()

	var all, middle sync.WaitGroup

	middle.Add(prompts)

	for i := range prompts {
		all.Go(func() {
			var once sync.Once

			reached := func() { once.Do(middle.Done) }
			a := s.prompt(s.entries[i%len(s.entries)], promptOf(i), tokens, func(n int) {
				if n == tokens/10 {
					reached()
				}
			})

			reached()

			if got, want := a.text, s.want(promptOf(i), tokens); got != want || !a.finished {
				s.t.Errorf("prompt %d: got %d %s %v, finished %v, text\n%q, want\n%q", i, a.status, a.code, a.err, a.finished, got, want)
			}
		})
	}

	middle.Wait()
	do()
	all.Wait()
}

// An engine VM dies in the middle of several answers, its side process with it.
// The callers' streams would end in the middle of a sentence.
func TestAnswersOutliveAnEngineVM(t *testing.T) {
	s := start(t, shape{engines: 3, decode: 100})
	s.during(6, func() {
		s.kill("engine-1")
		s.kill("engine-1-target")
	})
}

// Only the side process dies; the engine goes on with nobody to read its answers.
func TestAnswersOutliveASideProcess(t *testing.T) {
	s := start(t, shape{engines: 3, decode: 100})
	s.during(6, func() { s.kill("engine-2") })
}

// A side process is frozen in the middle of several answers and wakes later with
// tokens that were due long ago. Nothing fails meanwhile: the streams just stand
// still, and when it wakes a caller could get a token twice.
func TestAnswersOutliveAFrozenSideProcess(t *testing.T) {
	s := start(t, shape{engines: 3, decode: 100})
	s.during(6, func() { s.signal("engine-1", syscall.SIGSTOP) })
	s.signal("engine-1", syscall.SIGCONT)
	s.during(3, func() {})
}

// An engine is stopped as planned, then an entry. Whoever is in the middle of an
// answer would be cut off.
func TestPlannedStopsCutNobodyOff(t *testing.T) {
	s := start(t, shape{engines: 2, decode: 100})

	var stops sync.WaitGroup

	s.during(6, func() {
		stops.Go(func() { s.stop("engine-1") })
		stops.Go(func() { s.stop("entry-1") })
	})
	stops.Wait()
}

// A request crashes each engine that runs it, and its caller sends it again, to
// the other entry too. Without a memory of it the whole fleet would go down.
func TestCrashingPromptTakesNoThirdEngine(t *testing.T) {
	s := start(t, shape{engines: 4, decode: 100})

	for _, url := range s.engines {
		s.faults(url, map[string]any{"crash_prompt": "poison"})
	}

	for i := range 6 {
		a := s.prompt(s.entries[i%2], "a poison prompt", 10, nil)
		if a.finished {
			t.Errorf("try %d: got an answer, want an error", i)
		}
	}

	dead := 0

	for name := range s.engines {
		select {
		case <-s.running[name+"-target"].done:
			dead++
		default:
		}
	}

	if dead > 2 {
		t.Errorf("dead engines: got %d, want at most 2", dead)
	}

	a := s.prompt(s.entries[1], "a poison prompt", 10, nil)
	if got, want := a.code, "quarantined"; got != want {
		t.Errorf("the poison prompt: got %q, want %q", got, want)
	}

	s.during(3, func() {})
}

// Open connections to an engine go silent for good in the middle of answers,
// while new ones work. Nothing fails; the callers' streams just stand still.
func TestAnswersOutliveSilentConnections(t *testing.T) {
	s := start(t, shape{engines: 2, decode: 100})
	s.during(6, func() { s.faults(s.engines["engine-1"], map[string]any{"silent": true}) })
}

// A target has no side process beside it yet. It would stand idle, or worse,
// its callers would be refused.
func TestEnginesWithoutSideProcessServe(t *testing.T) {
	s := start(t, shape{alone: 2, decode: 100})
	s.during(4, func() { s.kill("alone-1-target") })
}

// The link to a store slows down to almost nothing while a context is on its way
// to an engine. Its caller would wait for hours for what takes a moment to compute.
func TestSlowLinkIsGivenUp(t *testing.T) {
	s := start(t, shape{engines: 1, decode: 1000})
	long := promptOf(0) + strings.Repeat(" and the fare rules in full", 200)

	if a := s.prompt(s.entries[0], long, 10, nil); !a.finished {
		t.Fatalf("first: got %d %s", a.status, a.code)
	}

	s.eventually("the context is in the store", func() bool { return s.logged("engine-1", `"copy_parked"`) })
	s.faults(s.store, map[string]any{"bytes_per_second": 100})

	want := s.want(long, 10)

	// The side process hears of the eviction a moment later; until then it takes
	// the context for warm and brings nothing.
	s.eventually("an import is given up", func() bool {
		s.faults(s.engines["engine-1"], map[string]any{"evict_all": true})

		if got := s.prompt(s.entries[0], long, 10, nil).text; got != want {
			t.Fatalf("got %q, want %q", got, want)
		}

		return s.logged("engine-1", "the copy comes slower than it can be computed")
	})
}

// logged reports whether a text stands in a process's log.
func (s *system) logged(name, text string) bool {
	b, err := os.ReadFile(filepath.Join(s.dir, name+".log"))

	return err == nil && strings.Contains(string(b), text)
}
