package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"boragehub/pulse"
)

// knowing has a gateway know that its engines read 100 tokens a ms, and that a usual
// prompt has 2,000 to read.
func knowing(g *Gateway) {
	for i := range 64 {
		tokens := 200 * (i % 16)
		g.fleets.of("llm").Read(tokens, 40*time.Millisecond+time.Duration(tokens)*10*time.Microsecond)
	}

	g.fleets.of("llm").Sent(2000, 2000, 300*time.Millisecond)
}

// New weights make all contexts cold at once, and engines have prompts to read for longer
// than callers gladly wait. Sent there all the same, a prompt is answered late or not at
// all, and makes all behind it late too. It is refused at once, as not run, and told to
// come back when its turn would be near. A long one is held meanwhile while what is to be
// read would make short ones late. The aim is 300 ms; five prompts take 100 ms.
func TestPromptThatCanNotBeOnTimeIsRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name    string
		waiting int
		known   bool
		status  int
		after   float64 // when to come back, in seconds
	}{
		{"a short queue", 3, true, http.StatusOK, 0},
		{"a queue that short ones would wait for", 5, true, http.StatusServiceUnavailable, 1},
		{"a queue of half a second", 25, true, http.StatusServiceUnavailable, 0.2},
		{"the same, before the speed is known", 25, false, http.StatusOK, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(t, "a", answers(streamTop+events(0, 1)+streamEnd))
			w := open(t, e)

			if tt.known {
				knowing(w.gateway)
			}

			w.roster.Pulse(time.Now(), pulse.Pulse{Engine: e.llm, Running: 1, Waiting: tt.waiting, Model: "m", Version: 1})

			r := w.ask(t, "POST", "/soon/1", "x", "Tokens", "3000")
			if r.status != tt.status {
				t.Fatalf("got %d %v, want %d", r.status, r.err, tt.status)
			}

			if r.status == http.StatusOK {
				return
			}

			if after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err != nil || after < tt.after-0.1 || after > tt.after+0.1 {
				t.Errorf("got Retry-After %q, want about %v", r.header.Get("Retry-After"), tt.after)
			}

			if n := e.count(); n != 0 {
				t.Errorf("got %d requests at the engine, want none", n)
			}
		})
	}
}

// An engine breaks off in the middle of a stream, and the only other one has a long queue
// and hardly any memory left. The caller has read half of its answer: a late rest is worth
// more to it than none, so what has begun is neither refused nor held.
func TestStreamThatHasBegunGoesOnAtABusyEngine(t *testing.T) {
	broken := newEngine(t, "a", breaksOff(streamTop+events(0, 1)))
	busy := newEngine(t, "b", answers(streamTop+events(2, 3)+streamEnd))
	w := open(t, broken, busy)
	knowing(w.gateway)

	w.roster.Pulse(time.Now(), pulse.Pulse{Engine: broken.llm, Model: "m", Version: 1})
	w.roster.Pulse(time.Now(), pulse.Pulse{Engine: busy.llm, Running: 9, Waiting: 40, UsedTokens: 69_000, Model: "m", Version: 1})

	r := w.ask(t, "POST", "/soon/1", "x", "Tokens", "3000")
	if want := eventText(0) + eventText(1) + eventText(2) + eventText(3); r.status != http.StatusOK || r.err != nil || r.body != want {
		t.Errorf("got %d %q %v, want the whole stream", r.status, r.body, r.err)
	}
}

func TestPromptsWithLittleToReadComeFirstAmongEquals(t *testing.T) {
	tests := []struct {
		rank  int
		quick bool
		want  int
	}{{0, true, 0}, {0, false, 1}, {1, true, 2}, {1, false, 3}, {4, false, 9}, {7, true, 9}}

	for _, tt := range tests {
		if got := urgency(tt.rank, tt.quick); got != tt.want {
			t.Errorf("rank %d, quick %v: got %d, want %d", tt.rank, tt.quick, got, tt.want)
		}
	}
}

// One service has engines that read ten times as fast as another's. What is learned of
// one must not stand for the other.
func TestEachServiceIsLearnedByItself(t *testing.T) {
	var f fleets

	for i := range 64 {
		tokens := 200 * (i % 16)
		f.of("slow").Read(tokens, 40*time.Millisecond+time.Duration(tokens)*20*time.Microsecond)
		f.of("fast").Read(tokens, 40*time.Millisecond+time.Duration(tokens)*2*time.Microsecond)
	}

	if slow, fast := f.of("slow").TokensPerMs(), f.of("fast").TokensPerMs(); slow > 55 || fast < 450 {
		t.Errorf("got %.0f and %.0f tokens a ms, want 50 and 500", slow, fast)
	}

	if got := f.of("new").TokensPerMs(); got != 0 {
		t.Errorf("got %.0f tokens a ms of a service that was not asked, want none", got)
	}

	if got := f.tokensPerMs(); got < 450 {
		t.Errorf("got %.0f tokens a ms for the fastest, want 500", got)
	}
}
