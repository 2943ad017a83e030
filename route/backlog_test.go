package route

import (
	"math"
	"testing"
	"time"
)

// Several entries have just sent long prompts to some engines. Guards against short prompts that are
// sent behind them: a load report counts a long prompt as one of mean length, a tenth of its own.
func TestShortPromptsGoWhereNoLongPromptIsPrefilled(t *testing.T) {
	cfg := PrefixConfig{TokensPerMs: 36.7, PromptTokens: 1700, ShortPromptTokens: 80}

	for i := range 200 {
		all := engines(12)
		for j := range all {
			// Eleven engines prefill a leased long prompt each; one prefills five short prompts.
			all[j].HasBacklog, all[j].Running = true, 5
			if j == i%12 {
				all[j].Prefilling = 5
			} else {
				all[j].Prefilling, all[j].Backlog, all[j].Leases = 1, 17_000, 1
			}
		}

		r := shortPrompt(i)
		r.PrefixUnreported = true

		if got := DecidePrefix(cfg, r, all).Target(); got != i%12 {
			t.Fatalf("got engine %d, want %d, the one without a long prompt", got, i%12)
		}
	}
}

// Leased prompts are among those in prefill or waiting. Guards against counting them twice, and
// against any change without a known backlog.
func TestQueueWaitWithBacklog(t *testing.T) {
	cfg := PrefixConfig{TokensPerMs: 100, PromptTokens: 4000, ShortPromptTokens: 500}

	tests := []struct {
		name string
		c    PrefixCandidate
		want time.Duration
	}{
		{"not known", PrefixCandidate{Prefilling: 2, Backlog: 9000, Leases: 1}, 80 * time.Millisecond},
		{"leased and in prefill", PrefixCandidate{HasBacklog: true, Prefilling: 1, Backlog: 9000, Leases: 1}, 90 * time.Millisecond},
		{"one of two is leased", PrefixCandidate{HasBacklog: true, Prefilling: 2, Backlog: 9000, Leases: 1}, 95 * time.Millisecond},
		{"leased and waiting", PrefixCandidate{HasBacklog: true, Prefilling: 1, Waiting: 2, Backlog: 20_000, Leases: 2}, 205 * time.Millisecond},
		{"leased and not there yet", PrefixCandidate{HasBacklog: true, Backlog: 9000, Leases: 1}, 90 * time.Millisecond},
		{"sent since", PrefixCandidate{HasBacklog: true, SentTokens: 1000}, 10 * time.Millisecond},
	}

	for _, tt := range tests {
		for _, r := range []PrefixRequest{longPrompt(1), shortPrompt(1)} {
			if got := DecidePrefix(cfg, r, []PrefixCandidate{tt.c}).Wait(); got != tt.want {
				t.Errorf("%s: got a wait of %v, want %v", tt.name, got, tt.want)
			}
		}
	}
}

func TestMaxBacklog(t *testing.T) {
	tests := []struct {
		name     string
		cfg      PrefixConfig
		aim      time.Duration
		wantMost int
	}{
		{"short prompts have an aim", PrefixConfig{TokensPerMs: 100, ShortPromptAim: 400 * time.Millisecond}, time.Second, 10_000},
		{"no short prompts", PrefixConfig{TokensPerMs: 100}, time.Second, 50_000},
		{"speed unknown", PrefixConfig{ShortPromptAim: 400 * time.Millisecond}, time.Second, math.MaxInt32},
		{"no aim", PrefixConfig{TokensPerMs: 100}, 0, math.MaxInt32},
	}

	for _, tt := range tests {
		if got := tt.cfg.MaxBacklog(tt.aim); got != tt.wantMost {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.wantMost)
		}
	}

	// A prompt that is not held for a queue is not denied for the same one as backlog.
	cfg := PrefixConfig{TokensPerMs: 100, ShortPromptAim: 400 * time.Millisecond}
	for _, backlog := range []int{9999, 10_001} {
		wait := time.Duration(float64(backlog) / cfg.TokensPerMs * float64(time.Millisecond))
		if held, denied := cfg.admit(PrefixRequest{Aim: time.Second}, wait, false) == Hold, backlog > cfg.MaxBacklog(time.Second); held != denied {
			t.Errorf("backlog %d: got held %v, denied %v", backlog, held, denied)
		}
	}
}
