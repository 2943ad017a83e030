package weights

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// TestRollAgainstEngines rolls versions while the leader is replaced, paused and
// woken, and reports, orders and answers are late, crossed and lost. Users would
// notice too many engines gone at once, or loads that slow each other down.
func TestRollAgainstEngines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.IntRange(4, 10).Draw(rt, "engines")
		minReady := rapid.IntRange(1, engines-1).Draw(rt, "min ready")
		s := newSite(engines, minReady)
		s.lead(s.leaders[0])

		actions := s.faults()
		actions[""] = func(rt *rapid.T) {
			for dc, n := range s.most {
				if n > loadsAtOnce {
					rt.Fatalf("%s: got %d loads at once, want at most %d", dc, n, loadsAtOnce)
				}
			}

			if got := s.ready(); got < minReady {
				rt.Fatalf("ready: got %d engines, want at least %d", got, minReady)
			}
		}

		rt.Repeat(actions)
		s.settle(s.newest(), 3*time.Minute)

		for _, e := range s.engines {
			if got, want := e.Version, s.wanted[0].Version; got != want {
				rt.Fatalf("%s: got version %s in the end, want %s", e.VM, got, want)
			}
		}
	})
}

// A version's weights are broken, and each engine that loads them fails. Were the
// roll to go on, or to be tried again by each new leader, all engines would be
// taken out one after the other.
func TestFailedVersionStopsOrFallsBack(t *testing.T) {
	cases := []struct {
		name, fallback string
		want           Progress
	}{
		{"stops", "", Progress{Model: "m", Version: "bad", Left: 6, Ready: 6, Halt: VersionFailed}},
		{"falls back", "v1", Progress{Model: "m", Version: "v1", FellBack: true, Done: 6, Ready: 6}},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(6, 4)
			for _, e := range s.engines {
				e.failing = true
			}

			s.wanted[0].Version, s.wanted[0].Fallback = "bad", c.fallback
			s.lead(s.leaders[0])
			s.settle(s.leaders[0], 5*time.Minute)
			s.lead(s.leaders[1])
			r := s.settle(s.leaders[1], 5*time.Minute)

			if got := r.Progress[0]; got != c.want {
				t.Errorf("progress: got %+v, want %+v", got, c.want)
			}

			if got, want := s.loads, 2; got != want {
				t.Errorf("loads: got %d, want %d", got, want)
			}
		})
	}
}

// A version loads and then crashes its engine within seconds, which comes back
// with the old one. No load has failed, so nothing but the deaths tell. Users
// would lose one engine after the other.
func TestVersionThatCrashesItsEnginesStopsTheRoll(t *testing.T) {
	s := newSite(6, 4)
	s.lead(s.leaders[0])
	s.wanted[0].Version = "v2"

	for range 60 {
		s.settle(s.leaders[0], 5*time.Second)

		for _, e := range s.engines {
			if !e.busy && e.Version == "v2" {
				e.Boot += "+"
				e.Sequence, e.Fence, e.Accepted = 0, 0, 0
				e.Version = "v1"
				e.changed = s.now
			}
		}
	}

	r := s.settle(s.leaders[0], time.Second)
	if got, want := r.Progress[0].Halt, VersionFailed; got != want {
		t.Errorf("halt: got %v, want %v", got, want)
	}

	if got, want := s.loads, 3; got > want {
		t.Errorf("loads: got %d, want at most %d", got, want)
	}
}

// Side processes are replaced in the middle of a roll. Their engines go on with
// what they loaded; the roll must not take that for crashes.
func TestRestartedSideProcessesDoNotStopARoll(t *testing.T) {
	s := newSite(6, 4)
	s.lead(s.leaders[0])
	s.wanted[0].Version = "v2"

	for range 20 {
		s.settle(s.leaders[0], 3*time.Second)

		for _, e := range s.engines {
			e.Boot += "+"
			e.Sequence, e.Fence, e.Accepted = 0, 0, 0
		}
	}

	r := s.settle(s.leaders[0], 2*time.Minute)
	if got, want := r.Progress[0], (Progress{Model: "m", Version: "v2", Done: 6, Ready: 6}); got != want {
		t.Errorf("progress: got %+v, want %+v", got, want)
	}
}

// A version is published, goes well on the first engine and is then rolled back
// by operators halfway. Each engine may be loaded once for each publication; a
// plan that swings would load some more often and keep users waiting.
func TestRollbackLoadsNoEngineTwice(t *testing.T) {
	s := newSite(8, 6)
	s.lead(s.leaders[0])
	s.wanted[0].Version = "v2"
	s.settle(s.leaders[0], 16*time.Second)

	rolled := s.loads
	if rolled == 0 || rolled == 8 {
		t.Fatalf("loads before the rollback: got %d of 8, want some", rolled)
	}

	s.wanted[0].Version = "v1"
	s.lead(s.leaders[1])
	r := s.settle(s.leaders[1], 3*time.Minute)

	if got, want := s.loads, 2*rolled; got != want {
		t.Errorf("loads: got %d, want %d", got, want)
	}

	if got, want := r.Progress[0], (Progress{Model: "m", Version: "v1", Done: 8, Ready: 8}); got != want {
		t.Errorf("progress: got %+v, want %+v", got, want)
	}
}

// Operators want adapters and roles besides. They come one after the other, so
// that no two loads too many run and no engine changes back and forth.
func TestAdaptersAndRoles(t *testing.T) {
	s := newSite(6, 3)
	s.wanted[0].Adapters = []string{"fares", "ferries"}
	s.wanted[0].Roles = []RoleCount{{Role: "prefill", Count: 2}}
	s.lead(s.leaders[0])
	s.settle(s.leaders[0], 5*time.Minute)

	prefill := 0

	for _, e := range s.engines {
		if got, want := len(e.Adapters), 2; got != want {
			t.Errorf("%s: got %d adapters, want %d", e.VM, got, want)
		}

		if e.Role == "prefill" {
			prefill++
		}
	}

	if got, want := prefill, 2; got != want {
		t.Errorf("engines with role prefill: got %d, want %d", got, want)
	}

	if got, want := s.loads, 14; got != want {
		t.Errorf("orders carried out: got %d, want %d", got, want)
	}
}

func boardWith(engines ...Report) *Inventory {
	b := NewInventory(InventoryConfig{})
	for _, r := range engines {
		r.DataCentre, r.Model, r.Version, r.Boot = "yvr-east", "m", "v1", "1"
		b.Hear(epoch, r)
	}

	return b
}

// A leader is paused and another one takes over. An engine that has not seen the
// new fencing number could still take an order of the old leader; so the new one
// must not count it as idle. Users would notice loads that slow each other down.
func TestNewLeaderWaitsForItsFence(t *testing.T) {
	wanted := []Wanted{{Model: "m", Version: "v2", MinReady: 1}}
	b := boardWith(Report{VM: "a", Fence: 2}, Report{VM: "b", Fence: 1})

	r := Plan(epoch, Config{}, b.View(epoch, wanted, 2, epoch))
	if len(r.Orders) != 1 || r.Orders[0].Kind != AnnounceFence || r.Orders[0].VM != "b" {
		t.Errorf("orders: got %+v, want the fence announced to b and nothing else", r.Orders)
	}

	if got, want := r.Progress[0].Halt, Settling; got != want {
		t.Errorf("halt: got %v, want %v", got, want)
	}

	b.Hear(epoch, Report{VM: "b", DataCentre: "yvr-east", Model: "m", Version: "v1", Boot: "1", Sequence: 2, Fence: 2})

	r = Plan(epoch, Config{}, b.View(epoch, wanted, 2, epoch))
	if len(r.Orders) != 1 || r.Orders[0].Kind != LoadWeights {
		t.Errorf("orders once confirmed: got %+v, want one load", r.Orders)
	}
}

// A report was sent before an engine began to load and comes after one that shows
// the load. Were it believed, one load too many would be ordered.
func TestOvertakenReportIsIgnored(t *testing.T) {
	b := boardWith(Report{VM: "a", Sequence: 5, State: Loading}, Report{VM: "a", Sequence: 4})

	if got, want := b.View(epoch, nil, 1, epoch).Engines[0].State, Loading; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}

	b.Hear(epoch, Report{VM: "a", Boot: "2", Sequence: 1, State: Loading})
	b.Hear(epoch, Report{VM: "a", Boot: "1", Sequence: 9})

	if got, want := b.View(epoch, nil, 1, epoch).Engines[0].State, Loading; got != want {
		t.Errorf("state after a report of the boot before: got %v, want %v", got, want)
	}
}

// The answer to an order is lost or refuses it. Only a refusal that is certain
// frees its place among the loads.
func TestOrderWithoutACertainRefusalCounts(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want bool
	}{
		{"accepted", nil, true},
		{"connection lost", failure.New(failure.TargetLost, "cut"), true},
		{"stale fence", failure.New(failure.StaleFence, "old"), false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := boardWith(Report{VM: "a", Sequence: 1, Fence: 1})
			o := Order{VM: "a", Kind: LoadWeights, Fence: 1, Number: 1}
			b.Ordered(epoch, o)
			b.Answered(epoch, o, c.err)

			if got := !b.View(epoch, nil, 1, epoch).Engines[0].Ordered.IsZero(); got != c.want {
				t.Errorf("order counts: got %v, want %v", got, c.want)
			}
		})
	}
}
