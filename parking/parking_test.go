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
		Visits: 1, Seen: epoch, UsualGap: 10 * time.Minute,
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
		second int
	}{
		{"worth a copy", caseFile(), time.Minute, []Room{room}, Worth, -1},
		{"short", Context{Tokens: 100, PrefillTokensPerSecond: 1}, 0, []Room{room}, TooShort, -1},
		{"already parked", Context{Tokens: 5000, Parked: 4900, PrefillTokensPerSecond: 1}, 0, []Room{room}, TooShort, -1},
		{"returns before it is evicted", caseFile(), 1000 * time.Hour, []Room{room}, StaysWarm, -1},
		{"no store", caseFile(), time.Minute, nil, NoRoom, -1},
		{"store down", caseFile(), time.Minute, []Room{with(func(r *Room) { r.Down = true })}, NoRoom, -1},
		{"store full of better", caseFile(), time.Minute, []Room{with(func(r *Room) { r.Free, r.Density = 0, 1 })}, NoRoom, -1},
		{"store full of worse", caseFile(), time.Minute, []Room{with(func(r *Room) { r.Free = 0 })}, Worth, -1},
		{"link crowded", caseFile(), time.Minute, []Room{with(func(r *Room) { r.Transfer = time.Minute })}, LinkDear, -1},
		{"second copy where the way is short", caseFile(), time.Minute, []Room{room, with(func(r *Room) { r.Transfer = time.Millisecond })}, Worth, -1},
		{"second copy on free links", caseFile(), time.Minute, []Room{with(func(r *Room) { r.Transfer = 0 }), with(func(r *Room) { r.Transfer = time.Millisecond })}, Worth, 1},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(epoch, Config{}, c.c, View{Stays: c.stays, Stores: c.stores})
			if got := d.Reason(); got != c.want {
				t.Fatalf("reason: got %v, want %v", got, c.want)
			}

			if got := d.Second(); got != c.second {
				t.Errorf("second: got %d, want %d", got, c.second)
			}

			if got, want := d.First() >= 0, c.want == Worth; got != want {
				t.Errorf("first: got %d, want a store %v", d.First(), want)
			}
		})
	}
}

// A store that is full drops what is worth least a byte. A context that stays
// away longer must never become worth more, or it would never be dropped.
func TestValueFallsWithAbsence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := caseFile()
		c.Visits = rapid.IntRange(0, 50).Draw(t, "visits")
		c.UsualGap = time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "gap"))
		sooner := epoch.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "sooner")))
		later := sooner.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "more")))

		if Density(later, c) > Density(sooner, c) {
			t.Fatalf("got %v later than %v, want it to fall", Density(later, c), Density(sooner, c))
		}

		if p := ReturnChance(later, c); p < 0 || p > 1 {
			t.Fatalf("chance: got %v", p)
		}
	})
}

func TestPrefetch(t *testing.T) {
	cases := []struct {
		name     string
		after    time.Duration
		transfer time.Duration
		want     bool
	}{
		{"too early", time.Minute, time.Second, false},
		{"due", 10*time.Minute - time.Second, time.Second, false},
		{"link busy", 10*time.Minute - time.Second, time.Minute, false},
		{"long past", time.Hour, time.Second, false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Prefetch(epoch.Add(c.after), Config{}, caseFile(), c.transfer); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
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

	b.ReportAllocs()

	for b.Loop() {
		Decide(epoch, Config{}, caseFile(), v)
	}
}
