package route

import (
	"fmt"
	"testing"
	"time"
)

func engines(n int) []PrefixCandidate {
	all := make([]PrefixCandidate, n)
	for i := range all {
		all[i] = PrefixCandidate{Name: fmt.Sprintf("engine-%d", i), Slots: 64}
	}

	return all
}

func longPrompt(i int) PrefixRequest {
	return PrefixRequest{SharedPrefixID: fmt.Sprintf("case-%d", i), SharedTokens: 12_800, OwnTokens: 4_260, OutputTokens: 30, Aim: 800 * time.Millisecond}
}

func shortPrompt(i int) PrefixRequest {
	return PrefixRequest{SharedPrefixID: fmt.Sprintf("seat-%d", i), SharedTokens: 301, OwnTokens: 82, OutputTokens: 11, Aim: 400 * time.Millisecond}
}

// Guards against entries that place the same shared prefix on different engines. Entries
// don't communicate about placement, and each lists the engines in an order of its own.
func TestEntriesAgreeOnHomeEngine(t *testing.T) {
	all := engines(12)
	rotated := append(append([]PrefixCandidate{}, all[5:]...), all[:5]...)

	for i := range 200 {
		a := DecidePrefix(PrefixConfig{}, shortPrompt(i), all)
		b := DecidePrefix(PrefixConfig{}, shortPrompt(i), rotated)

		if got, want := rotated[b.Target()].Name, all[a.Target()].Name; got != want {
			t.Fatalf("%d: got %s, want %s", i, got, want)
		}
	}
}

// Guards against short prompts queued behind a long prefill, which takes a tenth to a
// third of a second and delays the first event of the short prompt by as much. No engines
// are reserved for short prompts, so the decision has to avoid engines in prefill. The
// prompt lengths are those of fare reviews and seat questions, the speed is 51 tokens
// per ms.
func TestShortPromptsAvoidEnginesInPrefill(t *testing.T) {
	cfg := PrefixConfig{TokensPerMs: 51, PromptTokens: 4500}

	for prefilling := range 11 {
		all := engines(12)
		for i := range prefilling + 1 {
			all[i].Prefilling, all[i].Running = 1, 1
		}

		for i := range 200 {
			r := shortPrompt(i)
			r.PrefixUnreported = true

			if d := DecidePrefix(cfg, r, all); all[d.Target()].Prefilling > 0 {
				t.Fatalf("%d of 12 in prefill: got %s, want one without prefill", prefilling+1, all[d.Target()].Name)
			}
		}
	}
}

// Guards against treating an engine that decodes long answers as busy: it prefills the
// next prompt between decoding steps. Otherwise an engine with a dozen long answers in
// flight would be underused, and contexts would be recomputed elsewhere.
func TestDecodingHardlyDelaysNextPrompt(t *testing.T) {
	all := engines(9)
	home := DecidePrefix(PrefixConfig{}, longPrompt(1), all).Target()
	all[home].HasPrefix, all[home].Running = true, 12

	if got := DecidePrefix(PrefixConfig{}, longPrompt(1), all).Target(); got != home {
		t.Errorf("got %s, want %s, which only decodes", all[got].Name, all[home].Name)
	}

	all[home].Prefilling = 40

	if got := DecidePrefix(PrefixConfig{}, longPrompt(1), all).Target(); got == home {
		t.Errorf("got %s, which has forty prompts in prefill, want another", all[got].Name)
	}
}

// Guards against overestimating the queue wait of short prompts: engines schedule prompts
// with little to prefill first, so queued prompts delay a short one only slightly, whereas
// prompts in prefill delay every prompt.
func TestShortPromptsHaveShorterQueueWait(t *testing.T) {
	cfg := PrefixConfig{TokensPerMs: 100, PromptTokens: 4000, ShortPromptTokens: 500}

	tests := []struct {
		name                string
		r                   PrefixRequest
		prefilling, waiting int
		want                time.Duration
	}{
		{"short prompt, ten queued", shortPrompt(1), 0, 10, 50 * time.Millisecond},
		{"long prompt, ten queued", longPrompt(1), 0, 10, 400 * time.Millisecond},
		{"short prompt, one in prefill", shortPrompt(1), 1, 0, 40 * time.Millisecond},
	}

	for _, tt := range tests {
		all := engines(1)
		all[0].Prefilling, all[0].Waiting = tt.prefilling, tt.waiting

		if got := DecidePrefix(cfg, tt.r, all).Wait(); got != tt.want {
			t.Errorf("%s: got a wait of %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against idle engines during a reload. An engine that is to load new weights waits
// for its last request to end and starts no other, so one long answer would keep it idle
// for seconds. Long answers go to other engines beforehand; short ones are served until
// the load begins.
func TestLongAnswersAvoidEngineAboutToLoad(t *testing.T) {
	all := engines(3)
	home := DecidePrefix(PrefixConfig{}, longPrompt(1), all).Target()
	all[home].HasPrefix = true

	if got := DecidePrefix(PrefixConfig{}, longPrompt(1), all).Target(); got != home {
		t.Fatalf("got %d, want the engine that has the shared prefix", got)
	}

	all[home].Overrun = 1500 * time.Millisecond

	if got := DecidePrefix(PrefixConfig{}, longPrompt(1), all).Target(); got == home {
		t.Error("got the engine whose load it would delay by 1.5 s, want another")
	}
}

// Guards against ignoring the engines' speed in the queue wait. The same queue takes 400 ms
// at 50 tokens per ms and 40 ms at 500. If both were taken as equal, contexts held by fast
// engines would be recomputed elsewhere despite a short wait.
func TestQueueWaitDependsOnPrefillSpeed(t *testing.T) {
	tests := []struct {
		tokensPerMs float64
		home        bool
	}{{50, true}, {160, true}, {500, true}}

	for _, tt := range tests {
		cfg := PrefixConfig{TokensPerMs: tt.tokensPerMs, PromptTokens: 4000}
		all := engines(9)
		home := DecidePrefix(cfg, longPrompt(1), all).Target()
		all[home].HasPrefix, all[home].Waiting = true, 5

		if got := DecidePrefix(cfg, longPrompt(1), all).Target() == home; got != tt.home {
			t.Errorf("%v tokens per ms: got home %v, want %v: elsewhere the prefix costs three times its 12,800 tokens", tt.tokensPerMs, got, tt.home)
		}

		// A fetch from a store takes 100 ms, independent of the prefill speed.
		for i := range all {
			all[i].PrefixFetchable, all[i].FetchTime = true, 100*time.Millisecond
		}

		wait := 5 * 4000 / tt.tokensPerMs
		if got, want := DecidePrefix(cfg, longPrompt(1), all).Target() == home, wait < 102; got != want {
			t.Errorf("%v tokens per ms, held by a store: got home %v, want %v for a wait of %.0f ms", tt.tokensPerMs, got, want, wait)
		}
	}
}

func TestExcludedEngineMovesOnlyItsPrefixes(t *testing.T) {
	all := engines(12)
	excluded := DecidePrefix(PrefixConfig{}, shortPrompt(0), all).Target()
	remaining := append([]PrefixCandidate{}, all...)
	remaining[excluded].Excluded = Draining
	moved := 0

	for i := range 500 {
		before := DecidePrefix(PrefixConfig{}, shortPrompt(i), all).Target()

		after := DecidePrefix(PrefixConfig{}, shortPrompt(i), remaining).Target()
		if after == excluded {
			t.Fatal("got an engine that is excluded")
		}

		if before != excluded && before != after {
			moved++
		}
	}

	if moved > 0 {
		t.Errorf("got %d prefixes of other engines moved, want none", moved)
	}
}

// Guards against a hot spot on a prefix's home engine. In a burst of prompts with one
// prefix, as when a ferry is late, other engines have to take some of the prompts although
// they have to compute the prefix first.
func TestBusyHomeEngineSharesLoad(t *testing.T) {
	all := engines(12)
	home := DecidePrefix(PrefixConfig{}, longPrompt(1), all).Target()
	all[home].Prefilling = 8

	d := DecidePrefix(PrefixConfig{}, longPrompt(1), all)
	if d.Target() == home {
		t.Errorf("got the busy engine at a cost of %.0f ms", d.Cost())
	}

	if d.Home() != home {
		t.Errorf("got home %d, want %d", d.Home(), home)
	}
}

func TestChoiceWeighsRecomputeCost(t *testing.T) {
	tests := []struct {
		name string
		set  func(home, other *PrefixCandidate)
		want string
	}{
		{"equal", func(*PrefixCandidate, *PrefixCandidate) {}, "home"},
		{"held for the other's weights only", func(_, o *PrefixCandidate) { o.PrefixFetchable = true }, "other"},
		{"held nearer to the other", func(h, o *PrefixCandidate) {
			h.PrefixFetchable, o.PrefixFetchable, h.FetchTime, o.FetchTime = true, true, 100*time.Millisecond, 50*time.Millisecond
		}, "other"},
		{"new prefix on both", func(h, o *PrefixCandidate) { h.NewPrefix, o.NewPrefix = true, true }, "home"},
		{"old weights, held for them only", func(h, o *PrefixCandidate) { h.PrefixFetchable, h.OldWeights, o.NewPrefix = true, true, true }, "home"},
		{"old weights, held for both", func(h, o *PrefixCandidate) { h.PrefixFetchable, h.OldWeights, o.PrefixFetchable = true, true, true }, "other"},
		{"old weights, would be recomputed elsewhere", func(h, _ *PrefixCandidate) { h.HasPrefix, h.OldWeights = true, true }, "home"},
		{"failed recently", func(h, o *PrefixCandidate) { h.PrefixFetchable, o.PrefixFetchable, h.Suspected = true, true, true }, "other"},
		{"memory full", func(h, o *PrefixCandidate) { h.PrefixFetchable, o.PrefixFetchable, h.UsedTokens = true, true, 69_000 }, "other"},
		{"no free slots", func(h, o *PrefixCandidate) {
			h.PrefixFetchable, o.PrefixFetchable, h.Running, o.Running = true, true, 70, 6
		}, "other"},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := engines(2)
			home := DecidePrefix(PrefixConfig{}, longPrompt(1), all).Target()
			other := 1 - home

			tt.set(&all[home], &all[other])

			want := home
			if tt.want == "other" {
				want = other
			}

			if got := DecidePrefix(PrefixConfig{}, longPrompt(1), all); got.Target() != want {
				t.Errorf("got %d at %.0f ms, want %d", got.Target(), got.Cost(), want)
			}
		})
	}
}

// Guards against sending prompts to engines without free memory. After a change of weights
// all contexts are cold, and for some seconds there are more long prompts than memory. A
// prompt sent to a full engine evicts contexts in use there, so it has to go to an engine
// with free memory or wait.
func TestPromptsAvoidEnginesWithoutFreeMemory(t *testing.T) {
	all := engines(12)
	for i := range all {
		all[i].Excluded = NoRoom
	}

	if d := DecidePrefix(PrefixConfig{}, longPrompt(1), all); d.Found() {
		t.Errorf("got %s, want none", all[d.Target()].Name)
	}

	all[7].Excluded = None

	for i := range 50 {
		if got := DecidePrefix(PrefixConfig{}, longPrompt(i), all).Target(); got != 7 {
			t.Errorf("got %d, want the one with free memory", got)
		}
	}
}

func TestNoCandidateIsReported(t *testing.T) {
	all := engines(2)
	all[0].Excluded, all[1].Excluded = AlreadyTried, OtherVersion

	if d := DecidePrefix(PrefixConfig{}, longPrompt(1), all); d.Found() {
		t.Errorf("got %d, want none", d.Target())
	}

	if d := DecidePrefix(PrefixConfig{}, longPrompt(1), nil); d.Found() {
		t.Errorf("got %d, want none for an empty list", d.Target())
	}
}

func TestSingleEngineTakesEverything(t *testing.T) {
	all := engines(1)

	for i := range 10 {
		if !DecidePrefix(PrefixConfig{}, longPrompt(i), all).Found() || !DecidePrefix(PrefixConfig{}, shortPrompt(i), all).Found() {
			t.Fatal("got none, want the only engine")
		}
	}
}

func BenchmarkDecidePrefix(b *testing.B) {
	all := engines(55)
	r := longPrompt(7)

	b.ReportAllocs()

	for b.Loop() {
		DecidePrefix(PrefixConfig{}, r, all)
	}
}

// Guards against moving all prompts at once to the few engines with new weights. Those
// engines would recompute all contexts at the same time, and short prompts would wait for
// that while engines with old weights, which are still allowed and hold the contexts, idle.
func TestShortPromptsUseOldWeightsWhileNewEnginesPrefill(t *testing.T) {
	cfg := PrefixConfig{TokensPerMs: 51, PromptTokens: 1000}
	tests := []struct {
		name       string
		prefilling int // prompts in prefill on each engine with new weights
		old        bool
	}{
		{"new engines idle", 0, false},
		{"one prompt in prefill on each new engine", 1, true},
	}

	for _, tt := range tests {
		all := engines(60)
		for i := range all {
			all[i].HasPrefix, all[i].OldWeights = true, i >= 12
			if !all[i].OldWeights {
				all[i].Prefilling, all[i].Running = tt.prefilling, tt.prefilling
			}
		}

		for i := range 100 {
			if got := all[DecidePrefix(cfg, shortPrompt(i), all).Target()].OldWeights; got != tt.old {
				t.Fatalf("%s: got an engine with old weights %v, want %v", tt.name, got, tt.old)
			}
		}
	}
}
