package route

import (
	"fmt"
	"testing"
	"time"
)

func engines(n int) []OpeningCandidate {
	all := make([]OpeningCandidate, n)
	for i := range all {
		all[i] = OpeningCandidate{Name: fmt.Sprintf("engine-%d", i), Slots: 64}
	}

	return all
}

func long(i int) OpeningRequest {
	return OpeningRequest{Opening: fmt.Sprintf("case-%d", i), Shared: 12_800, Own: 4_260, Output: 30, Aim: 800 * time.Millisecond}
}

func short(i int) OpeningRequest {
	return OpeningRequest{Opening: fmt.Sprintf("seat-%d", i), Shared: 301, Own: 82, Output: 11, Aim: 400 * time.Millisecond}
}

// Entries don't talk about where an opening goes, and yet it has to go to the
// engine that holds it, in whatever order an entry lists the engines.
func TestEntriesAgreeOnAnOpeningsEngine(t *testing.T) {
	all := engines(12)
	turned := append(append([]OpeningCandidate{}, all[5:]...), all[:5]...)

	for i := range 200 {
		a := DecideOpening(OpeningConfig{}, short(i), all)
		b := DecideOpening(OpeningConfig{}, short(i), turned)

		if got, want := turned[b.Target()].Name, all[a.Target()].Name; got != want {
			t.Fatalf("%d: got %s, want %s", i, got, want)
		}
	}
}

// A long prompt is read for a tenth to a third of a second, and a short one that is sent
// behind it waits for all of that: a rider at the curb sees nothing meanwhile. Nobody
// keeps engines for short prompts, so each of them has to pass by the engines that read.
// The lengths are those of fare reviews and seat questions, at 51 tokens a ms.
func TestShortPromptsPassByEnginesThatRead(t *testing.T) {
	cfg := OpeningConfig{TokensPerMs: 51, PromptTokens: 4500}

	for reading := range 11 {
		all := engines(12)
		for i := range reading + 1 {
			all[i].Reading, all[i].Running = 1, 1
		}

		for i := range 200 {
			r := short(i)
			r.Untold = true

			if d := DecideOpening(cfg, r, all); all[d.Target()].Reading > 0 {
				t.Fatalf("%d of 12 read: got %s, want one that doesn't", reading+1, all[d.Target()].Name)
			}
		}
	}
}

// Engines that generate for long differ from those that read: the next prompt is read
// between their steps. Taken for busy all the same, an engine with a dozen long answers
// under way stands idle, and contexts are read again elsewhere.
func TestGeneratingHardlyDelaysTheNextPrompt(t *testing.T) {
	all := engines(9)
	home := DecideOpening(OpeningConfig{}, long(1), all).Target()
	all[home].Has, all[home].Running = true, 12

	if got := DecideOpening(OpeningConfig{}, long(1), all).Target(); got != home {
		t.Errorf("got %s, want %s, which only generates", all[got].Name, all[home].Name)
	}

	all[home].Reading = 40

	if got := DecideOpening(OpeningConfig{}, long(1), all).Target(); got == home {
		t.Errorf("got %s, which reads forty prompts, want another", all[got].Name)
	}
}

// Engines take prompts with little to read first, so those that wait delay a short one by
// little; what is being read delays everybody.
func TestQuickPromptsPassThoseThatWait(t *testing.T) {
	cfg := OpeningConfig{TokensPerMs: 100, PromptTokens: 4000, QuickTokens: 500}

	tests := []struct {
		name             string
		r                OpeningRequest
		reading, waiting int
		want             time.Duration
	}{
		{"a short one behind ten", short(1), 0, 10, 50 * time.Millisecond},
		{"a long one behind ten", long(1), 0, 10, 400 * time.Millisecond},
		{"a short one behind one that is read", short(1), 1, 0, 40 * time.Millisecond},
	}

	for _, tt := range tests {
		all := engines(1)
		all[0].Reading, all[0].Waiting = tt.reading, tt.waiting

		if got := DecideOpening(cfg, tt.r, all).Wait(); got != tt.want {
			t.Errorf("%s: got a wait of %v, want %v", tt.name, got, tt.want)
		}
	}
}

// An engine that is to load new weights waits for its last run, and nothing else begins
// there: with a long answer under way it stands idle for seconds. Long answers go
// elsewhere in time, short ones are served until the load begins.
func TestLongAnswersAvoidAnEngineThatIsToLoad(t *testing.T) {
	all := engines(3)
	home := DecideOpening(OpeningConfig{}, long(1), all).Target()
	all[home].Has = true

	if got := DecideOpening(OpeningConfig{}, long(1), all).Target(); got != home {
		t.Fatalf("got %d, want the engine that has the opening", got)
	}

	all[home].Overrun = 1500 * time.Millisecond

	if got := DecideOpening(OpeningConfig{}, long(1), all).Target(); got == home {
		t.Error("got the engine that would have to wait for it for 1.5 s, want another")
	}
}

// The same queue is a quarter of a second on an engine that reads 50 tokens a ms and
// nothing to speak of on one that reads 500. Weighed alike, contexts of quick engines
// are read again though their turn would come at once.
func TestQuickEnginesAreWorthWaitingFor(t *testing.T) {
	tests := []struct {
		tokensPerMs float64
		home        bool
	}{{50, true}, {160, true}, {500, true}}

	for _, tt := range tests {
		cfg := OpeningConfig{TokensPerMs: tt.tokensPerMs, PromptTokens: 4000}
		all := engines(9)
		home := DecideOpening(cfg, long(1), all).Target()
		all[home].Has, all[home].Waiting = true, 5

		if got := DecideOpening(cfg, long(1), all).Target() == home; got != tt.home {
			t.Errorf("%v tokens a ms: got home %v, want %v: the opening costs three times its 12,800 tokens elsewhere", tt.tokensPerMs, got, tt.home)
		}

		// A copy in a store is there in 100 ms, whatever the engines read.
		for i := range all {
			all[i].Kept, all[i].Fetch = true, 100*time.Millisecond
		}

		wait := 5 * 4000 / tt.tokensPerMs
		if got, want := DecideOpening(cfg, long(1), all).Target() == home, wait < 102; got != want {
			t.Errorf("%v tokens a ms, kept in a store: got home %v, want %v for a wait of %.0f ms", tt.tokensPerMs, got, want, wait)
		}
	}
}

func TestAnEngineThatGoesMovesOnlyItsOwnOpenings(t *testing.T) {
	all := engines(12)
	gone := DecideOpening(OpeningConfig{}, short(0), all).Target()
	fewer := append([]OpeningCandidate{}, all...)
	fewer[gone].Excluded = Leaving
	moved := 0

	for i := range 500 {
		before := DecideOpening(OpeningConfig{}, short(i), all).Target()

		after := DecideOpening(OpeningConfig{}, short(i), fewer).Target()
		if after == gone {
			t.Fatal("got an engine that is excluded")
		}

		if before != gone && before != after {
			moved++
		}
	}

	if moved > 0 {
		t.Errorf("got %d openings of other engines moved, want none", moved)
	}
}

// A burst of one opening, as when a ferry is late: its first engine gets busy, and
// the others have to help although they have to read the opening first.
func TestBusyEngineSharesItsOpenings(t *testing.T) {
	all := engines(12)
	home := DecideOpening(OpeningConfig{}, long(1), all).Target()
	all[home].Reading = 8

	d := DecideOpening(OpeningConfig{}, long(1), all)
	if d.Target() == home {
		t.Errorf("got the busy engine at a cost of %.0f ms", d.Cost())
	}

	if d.Home() != home {
		t.Errorf("got home %d, want %d", d.Home(), home)
	}
}

func TestChoiceWeighsWhatReadingAgainCosts(t *testing.T) {
	tests := []struct {
		name string
		set  func(home, other *OpeningCandidate)
		want string
	}{
		{"alike", func(*OpeningCandidate, *OpeningCandidate) {}, "home"},
		{"kept for the other's weights alone", func(_, o *OpeningCandidate) { o.Kept = true }, "other"},
		{"kept near the other", func(h, o *OpeningCandidate) {
			h.Kept, o.Kept, h.Fetch, o.Fetch = true, true, 100*time.Millisecond, 50*time.Millisecond
		}, "other"},
		{"new anyway", func(h, o *OpeningCandidate) { h.New, o.New = true, true }, "home"},
		{"old weights that have it kept", func(h, o *OpeningCandidate) { h.Kept, h.Old, o.New = true, true, true }, "home"},
		{"old weights, and it is kept for both", func(h, o *OpeningCandidate) { h.Kept, h.Old, o.Kept = true, true, true }, "other"},
		{"old weights, and it would be read again elsewhere", func(h, _ *OpeningCandidate) { h.Has, h.Old = true, true }, "home"},
		{"failed of late", func(h, o *OpeningCandidate) { h.Kept, o.Kept, h.Suspected = true, true, true }, "other"},
		{"no memory left", func(h, o *OpeningCandidate) { h.Kept, o.Kept, h.UsedTokens = true, true, 69_000 }, "other"},
		{"all slots taken", func(h, o *OpeningCandidate) { h.Kept, o.Kept, h.Running, o.Running = true, true, 70, 6 }, "other"},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := engines(2)
			home := DecideOpening(OpeningConfig{}, long(1), all).Target()
			other := 1 - home

			tt.set(&all[home], &all[other])

			want := home
			if tt.want == "other" {
				want = other
			}

			if got := DecideOpening(OpeningConfig{}, long(1), all); got.Target() != want {
				t.Errorf("got %d at %.0f ms, want %d", got.Target(), got.Cost(), want)
			}
		})
	}
}

// New weights make all contexts cold, and for some seconds there are more long
// prompts than room. An engine without room that gets one all the same pushes out what
// the others there use; a prompt goes where there is room, and waits where there is none.
func TestPromptsGoWhereThereIsRoom(t *testing.T) {
	all := engines(12)
	for i := range all {
		all[i].Excluded = NoRoom
	}

	if d := DecideOpening(OpeningConfig{}, long(1), all); d.Found() {
		t.Errorf("got %s, want none for now", all[d.Target()].Name)
	}

	all[7].Excluded = None

	for i := range 50 {
		if got := DecideOpening(OpeningConfig{}, long(i), all).Target(); got != 7 {
			t.Errorf("got %d, want the one with room", got)
		}
	}
}

func TestNobodyLeftIsSaid(t *testing.T) {
	all := engines(2)
	all[0].Excluded, all[1].Excluded = AlreadyTried, OtherVersion

	if d := DecideOpening(OpeningConfig{}, long(1), all); d.Found() {
		t.Errorf("got %d, want nobody", d.Target())
	}

	if d := DecideOpening(OpeningConfig{}, long(1), nil); d.Found() {
		t.Errorf("got %d of none", d.Target())
	}
}

func TestLonelyEngineTakesEverything(t *testing.T) {
	all := engines(1)

	for i := range 10 {
		if !DecideOpening(OpeningConfig{}, long(i), all).Found() || !DecideOpening(OpeningConfig{}, short(i), all).Found() {
			t.Fatal("got nobody, want the only engine")
		}
	}
}

func BenchmarkDecideOpening(b *testing.B) {
	all := engines(55)
	r := long(7)

	b.ReportAllocs()

	for b.Loop() {
		DecideOpening(OpeningConfig{}, r, all)
	}
}

// New weights are named, and a few engines have them. All prompts that went there would
// read their contexts anew beside each other, and riders at the curb would wait for that while the
// engines with the old weights, which may still be used, hold the contexts and are idle.
func TestQuestionsStayOnOldWeightsWhileTheNewEnginesRead(t *testing.T) {
	cfg := OpeningConfig{TokensPerMs: 51, PromptTokens: 1000}
	tests := []struct {
		name    string
		reading int // prompts that each engine with the new weights reads
		old     bool
	}{
		{"they are idle", 0, false},
		{"they read one prompt each", 1, true},
	}

	for _, tt := range tests {
		all := engines(60)
		for i := range all {
			all[i].Has, all[i].Old = true, i >= 12
			if !all[i].Old {
				all[i].Reading, all[i].Running = tt.reading, tt.reading
			}
		}

		for i := range 100 {
			if got := all[DecideOpening(cfg, short(i), all).Target()].Old; got != tt.old {
				t.Fatalf("%s: got an engine with old weights %v, want %v", tt.name, got, tt.old)
			}
		}
	}
}
