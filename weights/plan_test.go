package weights

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// Versions are rolled out while the leader is replaced, paused and resumed, and reports,
// orders and replies are delayed, reordered and lost. Guards against too few ready engines
// and too many concurrent loads.
func TestRollInSimulation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.IntRange(4, 10).Draw(rt, "engines")
		minReady := rapid.IntRange(1, engines-1).Draw(rt, "min ready")
		s := newSimulation(engines, minReady)
		s.grantLease(s.leaders[0])

		actions := s.actions()
		actions[""] = func(rt *rapid.T) {
			for dc, n := range s.peakLoads {
				if n > maxLoads {
					rt.Fatalf("%s: got %d loads at once, want at most %d", dc, n, maxLoads)
				}
			}

			if got := s.readyCount(); got < minReady {
				rt.Fatalf("ready: got %d engines, want at least %d", got, minReady)
			}
		}

		rt.Repeat(actions)
		s.runWithoutFaults(s.currentLeader(), 3*time.Minute)

		for _, e := range s.engines {
			if got, want := e.Version, s.wanted[0].Version; got != want {
				rt.Fatalf("%s: got version %s in the end, want %s", e.VM, got, want)
			}
		}
	})
}

// A version's weights are broken, and every load of them fails. If the rollout went on, or
// each new leader tried again, all engines would be taken out one after the other.
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
			s := newSimulation(6, 4)
			for _, e := range s.engines {
				e.failing = true
			}

			s.wanted[0].Version, s.wanted[0].Fallback = "bad", c.fallback
			s.grantLease(s.leaders[0])
			s.runWithoutFaults(s.leaders[0], 5*time.Minute)
			s.grantLease(s.leaders[1])
			r := s.runWithoutFaults(s.leaders[1], 5*time.Minute)

			if got := r.Progress[0]; got != c.want {
				t.Errorf("progress: got %+v, want %+v", got, c.want)
			}

			if got, want := s.startedLoads, 2; got != want {
				t.Errorf("loads: got %d, want %d", got, want)
			}
		})
	}
}

// A version loads and crashes its engine within seconds, which restarts with the old
// version. No load fails, so only the crashes show the fault. If the rollout went on, one
// engine after the other would crash.
func TestVersionThatCrashesItsEnginesStopsTheRoll(t *testing.T) {
	s := newSimulation(6, 4)
	s.grantLease(s.leaders[0])
	s.wanted[0].Version = "v2"

	for range 60 {
		s.runWithoutFaults(s.leaders[0], 5*time.Second)

		for _, e := range s.engines {
			if !e.busy && e.Version == "v2" {
				e.Boot += "+"
				e.Sequence, e.Fence, e.Accepted = 0, 0, 0
				e.Version = "v1"
				e.stateSince = s.now
			}
		}
	}

	r := s.runWithoutFaults(s.leaders[0], time.Second)
	if got, want := r.Progress[0].Halt, VersionFailed; got != want {
		t.Errorf("halt: got %v, want %v", got, want)
	}

	if got, want := s.startedLoads, 3; got > want {
		t.Errorf("loads: got %d, want at most %d", got, want)
	}
}

// Side processes restart in the middle of a rollout, while their engines keep the loaded
// weights. The rollout must not take this for crashes.
func TestRestartedSideProcessesDoNotStopARoll(t *testing.T) {
	s := newSimulation(6, 4)
	s.grantLease(s.leaders[0])
	s.wanted[0].Version = "v2"

	for range 20 {
		s.runWithoutFaults(s.leaders[0], 3*time.Second)

		for _, e := range s.engines {
			e.Boot += "+"
			e.Sequence, e.Fence, e.Accepted = 0, 0, 0
		}
	}

	r := s.runWithoutFaults(s.leaders[0], 2*time.Minute)
	if got, want := r.Progress[0], (Progress{Model: "m", Version: "v2", Done: 6, Ready: 6}); got != want {
		t.Errorf("progress: got %+v, want %+v", got, want)
	}
}

// A version passes the canary and is rolled back by operators halfway through the rollout.
// Each engine may load at most once for each publication; an oscillating plan would load
// some more often and take capacity from users.
func TestRollbackLoadsNoEngineTwice(t *testing.T) {
	s := newSimulation(8, 6)
	s.grantLease(s.leaders[0])
	s.wanted[0].Version = "v2"
	s.runWithoutFaults(s.leaders[0], 16*time.Second)

	rolled := s.startedLoads
	if rolled == 0 || rolled == 8 {
		t.Fatalf("loads before the rollback: got %d of 8, want some", rolled)
	}

	s.wanted[0].Version = "v1"
	s.grantLease(s.leaders[1])
	r := s.runWithoutFaults(s.leaders[1], 3*time.Minute)

	if got, want := s.startedLoads, 2*rolled; got != want {
		t.Errorf("loads: got %d, want %d", got, want)
	}

	if got, want := r.Progress[0], (Progress{Model: "m", Version: "v1", Done: 8, Ready: 8}); got != want {
		t.Errorf("progress: got %+v, want %+v", got, want)
	}
}

// Operators also publish adapters and roles. They are ordered one after the other, so that
// the limit of concurrent loads holds and no engine changes its role back and forth.
func TestAdaptersAndRoles(t *testing.T) {
	s := newSimulation(6, 3)
	s.wanted[0].Adapters = []string{"fares", "ferries"}
	s.wanted[0].Roles = []RoleCount{{Role: "prefill", Count: 2}}
	s.grantLease(s.leaders[0])
	s.runWithoutFaults(s.leaders[0], 5*time.Minute)

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

	if got, want := s.startedLoads, 14; got != want {
		t.Errorf("orders carried out: got %d, want %d", got, want)
	}
}

func inventoryWith(engines ...Report) *Inventory {
	inventory := NewInventory(InventoryConfig{})
	for _, r := range engines {
		r.DataCentre, r.Model, r.Version, r.Boot = "yvr-east", "m", "v1", "1"
		inventory.RecordReport(epoch, r)
	}

	return inventory
}

// A leader is paused and another one takes over. An engine that has not seen the new
// fencing number could still accept an order of the previous leader, so the new leader must
// not count it as idle. Guards against too many concurrent loads.
func TestNewLeaderWaitsForFenceConfirmation(t *testing.T) {
	wanted := []Wanted{{Model: "m", Version: "v2", MinReady: 1}}
	inventory := inventoryWith(Report{VM: "a", Fence: 2}, Report{VM: "b", Fence: 1})

	r := Plan(epoch, Config{}, inventory.View(epoch, wanted, 2, epoch))
	if len(r.Orders) != 1 || r.Orders[0].Kind != AnnounceFence || r.Orders[0].VM != "b" {
		t.Errorf("orders: got %+v, want the fence announced to b and nothing else", r.Orders)
	}

	if got, want := r.Progress[0].Halt, Settling; got != want {
		t.Errorf("halt: got %v, want %v", got, want)
	}

	inventory.RecordReport(epoch, Report{VM: "b", DataCentre: "yvr-east", Model: "m", Version: "v1", Boot: "1", Sequence: 2, Fence: 2})

	r = Plan(epoch, Config{}, inventory.View(epoch, wanted, 2, epoch))
	if len(r.Orders) != 1 || r.Orders[0].Kind != LoadWeights {
		t.Errorf("orders once confirmed: got %+v, want one load", r.Orders)
	}
}

// A report that was sent before a load began arrives after one that shows the load. If it
// were recorded, one load too many would be ordered.
func TestStaleReportIsIgnored(t *testing.T) {
	inventory := inventoryWith(Report{VM: "a", Sequence: 5, State: Loading}, Report{VM: "a", Sequence: 4})

	if got, want := inventory.View(epoch, nil, 1, epoch).Engines[0].State, Loading; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}

	inventory.RecordReport(epoch, Report{VM: "a", Boot: "2", Sequence: 1, State: Loading})
	inventory.RecordReport(epoch, Report{VM: "a", Boot: "1", Sequence: 9})

	if got, want := inventory.View(epoch, nil, 1, epoch).Engines[0].State, Loading; got != want {
		t.Errorf("state after a report of the previous boot: got %v, want %v", got, want)
	}
}

// The reply to an order is lost or refuses it. Only a certain refusal stops the order from
// counting as a load.
func TestOnlyCertainRefusalReleasesOrder(t *testing.T) {
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
			inventory := inventoryWith(Report{VM: "a", Sequence: 1, Fence: 1})
			o := Order{VM: "a", Kind: LoadWeights, Fence: 1, Number: 1}
			inventory.RecordOrder(epoch, o)
			inventory.RecordReply(epoch, o, c.err)

			if got := !inventory.View(epoch, nil, 1, epoch).Engines[0].Ordered.IsZero(); got != c.want {
				t.Errorf("order counts: got %v, want %v", got, c.want)
			}
		})
	}
}
