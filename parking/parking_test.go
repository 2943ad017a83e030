package parking

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func caseFile() Context {
	return Context{
		Tokens: 16_000, Bytes: 16_000 << 17, PrefillTokensPerSecond: 8000,
		Seen: epoch, Gaps: NewGaps(10 * time.Minute),
	}
}

func TestDecide(t *testing.T) {
	room := Room{Name: "s", Free: 1 << 40, Total: 1 << 40, Transfer: time.Second}
	with := func(change func(*Room)) Room {
		r := room
		change(&r)

		return r
	}
	cases := []struct {
		name   string
		c      Context
		stays  time.Duration
		stores []Room
		want   Reason
	}{
		{"worth a copy", caseFile(), time.Minute, []Room{room}, Worth},
		{"short", Context{Tokens: 100, PrefillTokensPerSecond: 1}, 0, []Room{room}, TooShort},
		{"already parked", Context{Tokens: 5000, Parked: 5000, PrefillTokensPerSecond: 1, Gaps: NewGaps(0)}, 0, []Room{room}, StaysWarm},
		{"returns before it is evicted", caseFile(), 1000 * time.Hour, []Room{room}, StaysWarm},
		{"no store", caseFile(), time.Minute, nil, NoRoom},
		{"store down", caseFile(), time.Minute, []Room{with(func(r *Room) { r.Down = true })}, NoRoom},
		{"store full of better", caseFile(), time.Minute, []Room{with(func(r *Room) { r.Free, r.Density = 0, 1 })}, TooDear},
		{"store full of worse", caseFile(), time.Minute, []Room{with(func(r *Room) { r.Free = 0 })}, Worth},
		{"no room at all", caseFile(), time.Minute, []Room{with(func(r *Room) { r.Total = 1 })}, NoRoom},
		{"link crowded", caseFile(), time.Minute, []Room{with(func(r *Room) { r.Transfer = time.Minute })}, TooDear},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(epoch, Config{}, c.c, View{Stays: c.stays, Stores: c.stores})
			if got := d.Reason(); got != c.want {
				t.Fatalf("reason: got %v, want %v", got, c.want)
			}

			if got, want := d.First() >= 0, c.want == Worth; got != want {
				t.Errorf("first: got %d, want a store %v", d.First(), want)
			}
		})
	}
}

// A store that is full drops what is worth least a byte. If a context that has
// been away for much longer than its workload's gaps kept its worth, the store
// would fill with contexts that never return.
func TestGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGaps(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "usual")))
		gap := time.Duration(rapid.Int64Range(int64(10*time.Second), int64(time.Hour)).Draw(t, "gap"))

		for range rapid.IntRange(500, 3000).Draw(t, "returns") {
			g.Visited()
			g.Visited()
			g.Returned(gap)
		}

		last := 1.0
		for d := time.Second; d < 100*time.Hour; d *= 2 {
			after := g.After(d)
			if after < 0 || after > last {
				t.Fatalf("after %v: got %v after %v before, want it to fall", d, after, last)
			}

			last = after
		}

		if soon, late := g.Index(gap/2), g.Index(64*gap); late > soon {
			t.Fatalf("got %v long after the gap and %v before, want it to fall", late, soon)
		}
	})
}

// Two stores are as near as each other and full. The copy has to go where what is
// dropped for it is worth least, or one store would drop what the other lacks.
func TestStoresAreFilledAlike(t *testing.T) {
	stores := []Room{{Total: 1 << 50, Density: 1e-15}, {Total: 1 << 50, Density: 1e-16}}

	d := Decide(epoch, Config{}, caseFile(), View{Stays: time.Minute, Stores: stores})
	if got, want := d.First(), 1; got != want {
		t.Errorf("store: got %d, want %d", got, want)
	}
}

func TestGapsLearn(t *testing.T) {
	g := NewGaps(time.Hour)
	for range 2000 {
		g.Visited()
		g.Returned(time.Minute)
	}

	cases := []struct {
		name    string
		got     float64
		atLeast float64
		atMost  float64
	}{
		{"returns at all", g.After(0), 0.98, 1},
		{"returns after two minutes", g.After(2 * time.Minute), 0, 0.02},
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
	stores := make([]Room, 8)
	for i := range stores {
		stores[i] = Room{Free: 1 << 40, Total: 1 << 40, Transfer: time.Duration(i) * time.Millisecond}
	}

	v := View{Stays: time.Minute, Stores: stores}
	c := caseFile()

	b.ReportAllocs()

	for b.Loop() {
		Decide(epoch, Config{}, c, v)
	}
}
