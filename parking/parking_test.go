package parking

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func longContext() Context {
	return Context{
		Tokens: 16_000, Bytes: 16_000 << 17, PrefillTokensPerSecond: 8000,
		LastUsed: epoch, Gaps: NewGaps(10 * time.Minute),
	}
}

func TestDecide(t *testing.T) {
	emptyStore := Store{Name: "s", Free: 1 << 40, Total: 1 << 40, Transfer: time.Second}
	withChange := func(change func(*Store)) Store {
		r := emptyStore
		change(&r)

		return r
	}
	cases := []struct {
		name            string
		c               Context
		engineRetention time.Duration
		stores          []Store
		want            Reason
	}{
		{"worth a copy", longContext(), time.Minute, []Store{emptyStore}, Worthwhile},
		{"short", Context{Tokens: 100, PrefillTokensPerSecond: 1}, 0, []Store{emptyStore}, TooShort},
		{"already stored", Context{Tokens: 5000, StoredTokens: 5000, PrefillTokensPerSecond: 1, Gaps: NewGaps(0)}, 0, []Store{emptyStore}, StaysWarm},
		{"returns before it is evicted", longContext(), 1000 * time.Hour, []Store{emptyStore}, StaysWarm},
		{"no store", longContext(), time.Minute, nil, NoRoom},
		{"store down", longContext(), time.Minute, []Store{withChange(func(r *Store) { r.Down = true })}, NoRoom},
		{"store full of more valuable copies", longContext(), time.Minute, []Store{withChange(func(r *Store) { r.Free, r.Density = 0, 1 })}, TooCostly},
		{"store full of less valuable copies", longContext(), time.Minute, []Store{withChange(func(r *Store) { r.Free = 0 })}, Worthwhile},
		{"store too small", longContext(), time.Minute, []Store{withChange(func(r *Store) { r.Total = 1 })}, NoRoom},
		{"link busy for long", longContext(), time.Minute, []Store{withChange(func(r *Store) { r.Transfer = time.Minute })}, TooCostly},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(epoch, Config{}, c.c, View{EngineRetention: c.engineRetention, Stores: c.stores})
			if got := d.Reason(); got != c.want {
				t.Fatalf("reason: got %v, want %v", got, c.want)
			}

			if got, want := d.StoreIndex() >= 0, c.want == Worthwhile; got != want {
				t.Errorf("store index: got %d, want a store %v", d.StoreIndex(), want)
			}
		})
	}
}

// A full store evicts the copies with the lowest value per byte. If the value of
// a context did not fall once it is away for much longer than the gaps of its
// workload, the store would fill with contexts that never return.
func TestGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGaps(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "usual")))
		gap := time.Duration(rapid.Int64Range(int64(10*time.Second), int64(time.Hour)).Draw(t, "gap"))

		for range rapid.IntRange(500, 3000).Draw(t, "returns") {
			g.RecordVisit()
			g.RecordVisit()
			g.RecordReturn(gap)
		}

		last := 1.0
		for d := time.Second; d < 100*time.Hour; d *= 2 {
			after := g.ReturnProbabilityAfter(d)
			if after < 0 || after > last {
				t.Fatalf("probability after %v: got %v, previous %v, want it to fall", d, after, last)
			}

			last = after
		}

		if soon, late := g.MaxReturnRate(gap/2), g.MaxReturnRate(64*gap); late > soon {
			t.Fatalf("return rate: got %v long after the gap and %v before, want it to fall", late, soon)
		}
	})
}

// Two stores with the same transfer time are full. The copy must go to the one
// whose evicted copies are less valuable. Otherwise one store would evict copies
// that are more valuable than those that the other keeps.
func TestFullStoreWithLeastValueIsChosen(t *testing.T) {
	stores := []Store{{Total: 1 << 50, Density: 1e-15}, {Total: 1 << 50, Density: 1e-16}}

	d := Decide(epoch, Config{}, longContext(), View{EngineRetention: time.Minute, Stores: stores})
	if got, want := d.StoreIndex(), 1; got != want {
		t.Errorf("store: got %d, want %d", got, want)
	}
}

func TestGapsLearn(t *testing.T) {
	g := NewGaps(time.Hour)
	for range 2000 {
		g.RecordVisit()
		g.RecordReturn(time.Minute)
	}

	cases := []struct {
		name    string
		got     float64
		atLeast float64
		atMost  float64
	}{
		{"returns at all", g.ReturnProbabilityAfter(0), 0.98, 1},
		{"returns after two minutes", g.ReturnProbabilityAfter(2 * time.Minute), 0, 0.02},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.got < c.atLeast || c.got > c.atMost {
				t.Errorf("got %v, want between %v and %v", c.got, c.atLeast, c.atMost)
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	stores := make([]Store, 8)
	for i := range stores {
		stores[i] = Store{Free: 1 << 40, Total: 1 << 40, Transfer: time.Duration(i) * time.Millisecond}
	}

	v := View{EngineRetention: time.Minute, Stores: stores}
	c := longContext()

	b.ReportAllocs()

	for b.Loop() {
		Decide(epoch, Config{}, c, v)
	}
}
