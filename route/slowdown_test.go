package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against changes of decisions in deployments whose targets report no slowdown.
func TestFactorsOfOneChangeNoDecision(t *testing.T) {
	r := rand.New(rand.NewPCG(11, 11))
	cfg := PrefixConfig{TokensPerMs: 51.3, PromptTokens: 4511, ShortPromptTokens: 312, ShortPromptAim: 250 * time.Millisecond}

	for i := range 500 {
		all, calls := engines(12), make([]CallCandidate, 12)
		for n := range all {
			all[n].Running, all[n].Prefilling, all[n].Waiting, all[n].SentTokens = r.IntN(70), r.IntN(4), r.IntN(4), r.IntN(9000)
			all[n].UsedTokens, all[n].HasPrefix, all[n].PrefixFetchable, all[n].NewPrefix = r.IntN(80_000), r.IntN(2) > 0, r.IntN(2) > 0, r.IntN(2) > 0
			calls[n] = CallCandidate{Running: r.IntN(9), Waiting: r.IntN(3), InFlight: r.IntN(4), LoadAt: time.Unix(100, int64(-r.IntN(1e8))), CallTime: time.Duration(r.IntN(1e8)), MaxConcurrent: 8}
		}

		prompt := longPrompt(i)
		want, wantCall := DecidePrefix(cfg, prompt, all), DecideCall(time.Unix(100, 0), Config{}, uint64(i), calls)

		for n := range all {
			all[n].Slowdown, calls[n].Slowdown = 1, 1
		}

		if got := DecidePrefix(cfg, prompt, all); got != want {
			t.Fatalf("prompt %d: got %+v, want %+v", i, got, want)
		}

		if got := DecideCall(time.Unix(100, 0), Config{}, uint64(i), calls); got != wantCall {
			t.Fatalf("call %d: got %+v, want %+v", i, got, wantCall)
		}
	}
}

// Guards against work that waits at a slow engine while a usual one would begin sooner, and against
// leaving a slow engine for one that is worse.
func TestPromptsGoWhereTheyAreFirst(t *testing.T) {
	cfg := PrefixConfig{TokensPerMs: 36.7, PromptTokens: 4260}
	prompt := PrefixRequest{SharedPrefixID: "case", SharedTokens: 12_800, OwnTokens: 4260, Aim: 500 * time.Millisecond}

	tests := []struct {
		name          string
		first, second PrefixCandidate
		want          int
		admission     Admission
	}{
		{"both idle", PrefixCandidate{Slowdown: 2.5, HasPrefix: true}, PrefixCandidate{HasPrefix: true}, 1, SendNow},
		{"usual one busy", PrefixCandidate{Slowdown: 1.3, HasPrefix: true}, PrefixCandidate{HasPrefix: true, Prefilling: 1}, 0, SendNow},
		{"both busy", PrefixCandidate{Slowdown: 2.5, HasPrefix: true, Prefilling: 1}, PrefixCandidate{HasPrefix: true, Prefilling: 1}, 1, SendNow},
		{"prefix has to be prefilled", PrefixCandidate{Slowdown: 2.5, HasPrefix: true}, PrefixCandidate{}, 0, SendNow},
		{"prefix can be fetched", PrefixCandidate{Slowdown: 2.5, HasPrefix: true}, PrefixCandidate{PrefixFetchable: true, FetchTime: 50 * time.Millisecond}, 1, SendNow},
		{"too late at a slow one", PrefixCandidate{Slowdown: 10, HasPrefix: true, Prefilling: 1}, PrefixCandidate{Excluded: NoRoom}, 0, TooLate},
	}

	for _, tt := range tests {
		tt.first.Name, tt.second.Name = "a", "b"

		if d := DecidePrefix(cfg, prompt, []PrefixCandidate{tt.first, tt.second}); d.Target() != tt.want || d.Admission() != tt.admission {
			t.Errorf("%s: got %d, %v; want %d, %v", tt.name, d.Target(), d.Admission(), tt.want, tt.admission)
		}
	}
}

// Guards against calls to a target on a slow host while another one in reach would respond sooner.
func TestCallsGoWhereTheyEndFirst(t *testing.T) {
	now := time.Unix(100, 0)

	tests := []struct {
		name          string
		first, second CallCandidate
		want          int
	}{
		{"both idle", CallCandidate{Slowdown: 2.5}, CallCandidate{}, 1},
		{"usual one far away", CallCandidate{Slowdown: 1.1}, CallCandidate{RoundTrip: 8 * time.Millisecond}, 0},
		{"usual one with a queue", CallCandidate{Slowdown: 2.5}, CallCandidate{Running: 8, Waiting: 16, InFlight: 24}, 0},
		{"long calls", CallCandidate{Slowdown: 1.1, CallTime: 400 * time.Millisecond}, CallCandidate{RoundTrip: 8 * time.Millisecond, CallTime: 400 * time.Millisecond}, 1},
	}

	for _, tt := range tests {
		all := []CallCandidate{tt.first, tt.second}
		for i := range all {
			all[i].LoadAt, all[i].MaxConcurrent = now, 8
			all[i].CallTime = max(all[i].CallTime, 30*time.Millisecond)
		}

		if d := DecideCall(now, Config{}, 1, all); d.Target() != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, d.Target(), tt.want)
		}
	}
}
