package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"boragehub/pulse"
)

// learnSpeed lets a gateway measure that its engines prefill 100 tokens a ms, and that the usual
// prompt has 2,000 to prefill.
func learnSpeed(g *Gateway) {
	for i := range 64 {
		tokens := 200 * (i % 16)
		g.profiles.forService("llm").ObserveFirstEvent(tokens, 40*time.Millisecond+time.Duration(tokens)*10*time.Microsecond)
	}

	g.profiles.forService("llm").ObservePrompt(2000, 2000, 300*time.Millisecond)
}

// After a version change no part is cached, and engines have prompts to prefill for longer than
// callers wait. Guards against sending more: such a prompt is late or lost, and delays all behind
// it. It is refused at once without having run, with a Retry-After time that fits the queue.
// A long prompt waits at the entry while the queue would make short ones late. The latency target is
// 300 ms; five prompts take 100 ms.
func TestPromptThatCanNotBeOnTimeIsRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name    string
		waiting int
		known   bool
		status  int
		after   float64 // Retry-After in seconds
	}{
		{"a short queue", 3, true, http.StatusOK, 0},
		{"a queue that delays short prompts", 5, true, http.StatusServiceUnavailable, 1},
		{"a queue of half a second", 25, true, http.StatusServiceUnavailable, 0.2},
		{"the same, before the prefill speed is known", 25, false, http.StatusOK, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newFakeEngine(t, "a", respond(streamHead+events(0, 1)+streamEnd))
			env := newTestEnv(t, e)

			if tt.known {
				learnSpeed(env.gateway)
			}

			env.roster.ObserveReport(time.Now(), pulse.Report{Engine: e.llmAddress, Running: 1, Waiting: tt.waiting, Model: "m", Version: 1})

			r := env.request(t, "POST", "/soon/1", "x", "Tokens", "3000")
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

// An engine breaks off in the middle of a stream, and the only other one has a long queue and hardly
// any memory left. Guards against refusing or holding a started stream: late events are better for
// its caller than none.
func TestStartedStreamResumesAtBusyEngine(t *testing.T) {
	broken := newFakeEngine(t, "a", respondAndClose(streamHead+events(0, 1)))
	busy := newFakeEngine(t, "b", respond(streamHead+events(2, 3)+streamEnd))
	env := newTestEnv(t, broken, busy)
	learnSpeed(env.gateway)

	env.roster.ObserveReport(time.Now(), pulse.Report{Engine: broken.llmAddress, Model: "m", Version: 1})
	env.roster.ObserveReport(time.Now(), pulse.Report{Engine: busy.llmAddress, Running: 9, Waiting: 40, UsedTokens: 69_000, Model: "m", Version: 1})

	r := env.request(t, "POST", "/soon/1", "x", "Tokens", "3000")
	if want := eventText(0) + eventText(1) + eventText(2) + eventText(3); r.status != http.StatusOK || r.err != nil || r.body != want {
		t.Errorf("got %d %q %v, want the complete stream", r.status, r.body, r.err)
	}
}

func TestShortPrefillsComeFirstAtEqualRank(t *testing.T) {
	tests := []struct {
		rank  int
		short bool
		want  int
	}{{0, true, 0}, {0, false, 1}, {1, true, 2}, {1, false, 3}, {4, false, 9}, {7, true, 9}}

	for _, tt := range tests {
		if got := enginePriority(tt.rank, tt.short); got != tt.want {
			t.Errorf("rank %d, short %v: got %d, want %d", tt.rank, tt.short, got, tt.want)
		}
	}
}

// One service has engines ten times as fast as another's. Guards against applying what was measured
// of one to the other.
func TestServicesHaveSeparateProfiles(t *testing.T) {
	var f serviceProfiles

	for i := range 64 {
		tokens := 200 * (i % 16)
		f.forService("slow").ObserveFirstEvent(tokens, 40*time.Millisecond+time.Duration(tokens)*20*time.Microsecond)
		f.forService("fast").ObserveFirstEvent(tokens, 40*time.Millisecond+time.Duration(tokens)*2*time.Microsecond)
	}

	if slow, fast := f.forService("slow").TokensPerMs(), f.forService("fast").TokensPerMs(); slow > 55 || fast < 450 {
		t.Errorf("got %.0f and %.0f tokens a ms, want 50 and 500", slow, fast)
	}

	if got := f.forService("new").TokensPerMs(); got != 0 {
		t.Errorf("got %.0f tokens a ms of a service without prompts, want 0", got)
	}

	if got := f.tokensPerMs(); got < 450 {
		t.Errorf("got %.0f tokens a ms for the fastest, want 500", got)
	}
}
