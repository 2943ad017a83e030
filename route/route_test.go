package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

// fixedLink is a link with a fixed wait.
type fixedLink time.Duration

func (f fixedLink) WaitAndRate(time.Time, string, string) (time.Duration, float64) {
	return time.Duration(f), 1e9
}

func engine(name string) Candidate {
	return Candidate{
		Name: name, Version: "v1", LoadAt: epoch, MaxRunning: 16,
		SlotTime: 2 * time.Second, PrefillTokensPerSecond: 8000,
	}
}

func TestDecide(t *testing.T) {
	warm := func(c Candidate, tokens int) Candidate {
		c.WarmTokens, c.WarmAt = tokens, epoch
		return c
	}
	busy := func(c Candidate, tokens int) Candidate {
		c.WaitingPrefillTokens = tokens
		return c
	}
	store := []Source{{Name: "store-1", Tokens: 7900, Store: true, LastSeen: epoch}}
	cases := []struct {
		name       string
		cfg        Config
		q          Request
		candidates []Candidate
		target     int
		strategy   Strategy
	}{
		{"no candidates", Config{}, Request{Tokens: 8000}, nil, -1, Recompute},
		{"new prompt goes to the idle engine", Config{}, Request{Tokens: 8000}, []Candidate{busy(engine("a"), 4000), engine("b")}, 1, Recompute},
		{"warm engine beats idle engine", Config{}, Request{Tokens: 8000, Computed: 8000}, []Candidate{engine("a"), warm(engine("b"), 7900)}, 1, Warm},
		{"queue outweighs warm cache", Config{}, Request{Tokens: 8000, Computed: 8000}, []Candidate{engine("a"), busy(warm(engine("b"), 7900), 40_000)}, 0, Recompute},
		{"recomputing costs more than waiting", Config{FirstTokenWeight: 1, RecomputedWeight: 10}, Request{Tokens: 8000, Computed: 8000}, []Candidate{engine("a"), busy(warm(engine("b"), 7900), 40_000)}, 1, Warm},
		{"import beats recompute", Config{}, Request{Tokens: 8000, Computed: 8000, Sources: store, Links: fixedLink(100 * time.Millisecond)}, []Candidate{engine("a")}, 0, Import},
		{"recompute beats import over slow link", Config{}, Request{Tokens: 8000, Computed: 8000, Sources: store, Links: fixedLink(10 * time.Second)}, []Candidate{engine("a")}, 0, Recompute},
		{"other version", Config{}, Request{Tokens: 8000, Version: "v2"}, []Candidate{engine("a")}, -1, Recompute},
		{"draining", Config{}, Request{Tokens: 80}, []Candidate{{Draining: true, PrefillTokensPerSecond: 1}}, -1, Recompute},
		{"suspected is used when all are", Config{}, Request{Tokens: 80}, []Candidate{{Suspected: true, PrefillTokensPerSecond: 1}}, 0, Recompute},
		{"full batch waits for a slot", Config{}, Request{Tokens: 80}, []Candidate{{Running: 16, MaxRunning: 16, SlotTime: time.Minute, PrefillTokensPerSecond: 8000}, busy(engine("b"), 4000)}, 1, Recompute},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(epoch, c.cfg, c.q, c.candidates)
			if got, want := d.Target(), c.target; got != want {
				t.Fatalf("target: got %d, want %d", got, want)
			}

			if got, want := d.Strategy(), c.strategy; got != want {
				t.Errorf("strategy: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against choosing a target that drains, holds another weight version or was
// already tried for this request, e.g. because it crashed on it, whatever its cost.
func TestExcludedAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := make([]Candidate, rapid.IntRange(0, 70).Draw(t, "n"))
		usable := 0

		for i := range candidates {
			c := engine("e")
			c.Draining = rapid.Bool().Draw(t, "draining")
			c.Tried = rapid.Bool().Draw(t, "tried")
			c.Suspected = rapid.Bool().Draw(t, "suspected")
			c.Version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
			c.WarmTokens = rapid.IntRange(0, 8000).Draw(t, "warm")
			candidates[i] = c

			if i < MaxCandidates && !c.Draining && !c.Tried && c.Version == "v1" {
				usable++
			}
		}

		d := Decide(epoch, Config{}, Request{Tokens: 8000, Version: "v1", Seed: rapid.Uint64().Draw(t, "seed")}, candidates)
		if got, want := d.Found(), usable > 0; got != want {
			t.Fatalf("found: got %v, want %v", got, want)
		}

		if !d.Found() {
			return
		}

		c := candidates[d.Target()]
		if c.Draining || c.Tried || c.Version != "v1" {
			t.Fatalf("got %+v, want a usable target", c)
		}

		for i := range d.Len() {
			if d.Cost(i).Excluded == None && d.Cost(i).Total < d.Cost(d.Target()).Total {
				t.Fatalf("candidate %d costs less than the chosen one", i)
			}
		}
	})
}

// Guards against overload of a single engine: many entries act on the same load report
// from seconds ago, and if all chose the least loaded engine, the others would idle.
func TestStaleLoadReportsSpreadRequests(t *testing.T) {
	candidates := make([]Candidate, 8)
	for i := range candidates {
		candidates[i] = engine(fmt.Sprint(i))
		candidates[i].WaitingPrefillTokens = 8000 + 100*i
	}

	chosen := map[int]int{}

	for seed := range uint64(800) {
		d := Decide(epoch.Add(5*time.Second), Config{}, Request{Tokens: 800, Seed: seed}, candidates)
		chosen[d.Target()]++
	}

	if got, want := len(chosen), len(candidates); got != want {
		t.Errorf("engines used: got %d, want %d", got, want)
	}

	for i, n := range chosen {
		if n > 250 {
			t.Errorf("engine %d: got %d of 800, want at most 250", i, n)
		}
	}
}

func TestGiveUpImport(t *testing.T) {
	cases := []struct {
		name      string
		cfg       Config
		elapsed   time.Duration
		part      float64
		recompute time.Duration
		want      bool
	}{
		{"just started", Config{}, time.Millisecond, 0, 0, false},
		{"nothing has arrived", Config{}, 2 * time.Second, 0, time.Second, true},
		{"nothing has arrived, but recomputing takes longer", Config{}, time.Second, 0, 2 * time.Second, false},
		{"nearly complete", Config{}, 10 * time.Second, 0.95, time.Second, false},
		{"recomputing weighs more", Config{FirstTokenWeight: 0.2, RecomputedWeight: 1}, time.Second, 0.2, time.Second, false},
		{"a tenth arrived", Config{}, time.Second, 0.1, time.Second, true},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := GiveUpImport(c.cfg, c.elapsed, c.part, c.recompute); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestDecideCall(t *testing.T) {
	cases := []struct {
		name       string
		candidates []CallCandidate
		want       int
	}{
		{"no candidates", nil, -1},
		{"least loaded", []CallCandidate{{Running: 3, LoadAt: epoch}, {Running: 1, LoadAt: epoch}}, 1},
		{"calls sent since the report count", []CallCandidate{{Running: 3, LoadAt: epoch}, {Running: 1, SentRequests: 4, LoadAt: epoch}}, 0},
		{"old report, calls in flight decide", []CallCandidate{{InFlight: 3, LoadAt: epoch.Add(-time.Hour)}, {Running: 9, LoadAt: epoch.Add(-time.Hour)}}, 1},
		{"draining", []CallCandidate{{Draining: true}, {Running: 9, LoadAt: epoch}}, 1},
		{"all suspected", []CallCandidate{{Suspected: true, Running: 2, LoadAt: epoch}, {Suspected: true, LoadAt: epoch}}, 1},
		{"tried", []CallCandidate{{Tried: true}}, -1},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := DecideCall(epoch, Config{}, 1, c.candidates)
			if got := d.Target(); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

func TestFieldsNameEveryCandidate(t *testing.T) {
	d := Decide(epoch, Config{}, Request{Tokens: 800}, []Candidate{engine("a"), {Name: "b", Draining: true}})
	fields := d.Fields([]Candidate{engine("a"), {Name: "b", Draining: true}})

	got := fields[len(fields)-1]
	if want := "a=0.100/recompute b=draining"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{12, 18, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			candidates := make([]Candidate, n)
			for i := range candidates {
				candidates[i] = engine("e")
				candidates[i].WarmTokens, candidates[i].WarmAt = 100*i, epoch
				candidates[i].WaitingPrefillTokens = 97 * i % 1000
			}

			q := Request{Tokens: 8000, Computed: 8000, Version: "v1", Links: fixedLink(time.Second)}
			q.Sources = []Source{
				{Name: "store-1", Tokens: 7900, Store: true, LastSeen: epoch},
				{Name: "store-2", Tokens: 7000, Store: true, LastSeen: epoch},
				{Name: "engine-9", Tokens: 8000, LastSeen: epoch},
			}
			now := epoch.Add(time.Second)

			b.ReportAllocs()

			for b.Loop() {
				q.Seed++
				d := Decide(now, Config{FirstTokenWeight: 1, RecomputedWeight: 0.2}, q, candidates)

				if !d.Found() {
					b.Fatal("no candidate found")
				}
			}
		})
	}
}
