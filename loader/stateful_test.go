package loader

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"
)

// settleTime is the time after the last event within which every engine must have the newest
// version: its last slot, an order that is lost and one that is carried out late.
const settleTime = 2 * time.Minute

// scenario is a sequence of events for the engines of one model.
type scenario struct {
	engines      []engineScenario
	entries      int
	publications []publication
}

// engineScenario describes one engine: whether it has a loader, how many of its first orders get no
// reply and are carried out seconds late, and the utilisation in percent that its loader knows.
type engineScenario struct {
	loader      bool
	delayed     int
	utilisation int
}

// publication is one version that operators publish.
type publication struct {
	receivedBy  []bool // by receiver, loaders first; the loaders and the last entry always receive it
	beforeStart bool
	pause       time.Duration // until the restart and the next publication
	restart     int           // number of the engine that restarts after the pause, if it exists
}

// maxReceivers is the greatest number of loaders and entries in a scenario.
const maxReceivers = 7

func drawScenario(r *rapid.T) scenario {
	s := scenario{entries: rapid.IntRange(1, 3).Draw(r, "entries")}

	for range rapid.IntRange(1, 4).Draw(r, "engines") {
		s.engines = append(s.engines, engineScenario{rapid.Bool().Draw(r, "loader"), rapid.IntRange(0, 2).Draw(r, "late"), rapid.IntRange(0, 100).Draw(r, "utilisation")})
	}

	for range rapid.IntRange(1, 3).Draw(r, "versions") {
		s.publications = append(s.publications, publication{
			receivedBy:  rapid.SliceOfN(rapid.Bool(), maxReceivers, maxReceivers).Draw(r, "hears"),
			beforeStart: rapid.Bool().Draw(r, "before"),
			pause:       time.Duration(rapid.IntRange(0, 6000).Draw(r, "pause")) * time.Millisecond,
			restart:     rapid.IntRange(0, 8).Draw(r, "again"),
		})
	}

	return s
}

// Loaders order their engines, and entries those without one, while entries are cut off from
// published versions, orders are delayed or get no reply, engines restart, and versions follow
// each other quickly, at any load. No engine may ever load an older version than it had, two holders may
// not use the same fencing number, nor may a lower number follow a higher one, and each engine
// must have the newest version in the end, if the process that may order it knows of it.
func TestConcurrentHoldersNeverDowngrade(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawScenario(r)

		var problems []string

		// rapid must draw values and report failures outside of the synctest bubble.
		synctest.Test(t, func(t *testing.T) { problems = s.run(t) })

		for _, p := range problems {
			r.Error(p)
		}
	})
}

func (s scenario) run(t *testing.T) (problems []string) {
	t.Helper()

	ctx, cancel := context.WithCancel(t.Context())
	f := newFakeFleet(len(s.engines))

	var receivers []func(DesiredVersion)

	for i, x := range s.engines {
		id := fmt.Sprintf("engine-%d", i)
		f.engines[id].delayed = x.delayed

		if x.loader {
			f.hasLoader[id] = true

			l := New(Config{
				Address: id, Holder: "vm " + id, Engine: f, Register: engineRegister{f, id}, Entries: &fakeEntries{}, Log: logr.Discard(),
				Rollout:     RolloutConfig{MaxDuration: 15 * time.Second},
				Utilisation: func(time.Time) (float64, time.Duration) { return float64(x.utilisation) / 100, 0 },
			})
			go l.Run(ctx)

			receivers = append(receivers, l.SetDesired)
		}
	}

	loaders := len(receivers)

	for p := range s.entries {
		receivers = append(receivers, f.startStandby(ctx, fixedRank(s.entries-1-p)).SetDesired)
	}

	for v, n := range s.publications {
		for i, publish := range receivers {
			receives := n.receivedBy[i] || i < loaders || i == len(receivers)-1
			if i >= loaders {
				f.setPartitioned(fixedRank(s.entries-1-(i-loaders)), !receives)
			}

			if receives {
				publish(DesiredVersion{Model: "m", Version: int64(v + 2), PublishedBeforeStart: n.beforeStart})
			}
		}

		time.Sleep(n.pause)

		if e, ok := f.engines[fmt.Sprintf("engine-%d", n.restart)]; ok {
			e.restart()
		}
	}

	time.Sleep(settleTime)

	for id, e := range f.engines {
		if got, want := e.loadedVersion(), int64(len(s.publications)+1); got != want {
			problems = append(problems, fmt.Sprintf("%s: got version %d, want %d", id, got, want))
		}

		if p := e.fenceViolation(); p != "" {
			problems = append(problems, id+": "+p)
		}

		if e.wasDowngraded() {
			problems = append(problems, fmt.Sprintf("%s: got orders for versions %v accepted, want none for an older version than the loaded one", id, e.acceptedVersions()))
		}
	}

	cancel()
	synctest.Wait()

	return problems
}

// wasDowngraded reports whether an older version than the current one was loaded.
func (e *fakeEngine) wasDowngraded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.downgraded
}

// fenceViolation describes the first violation of the order of fencing numbers among the
// received orders; empty for none.
func (e *fakeEngine) fenceViolation() string {
	e.mu.Lock()
	defer e.mu.Unlock()

	for i, o := range e.received {
		for _, earlier := range e.received[:i] {
			if earlier.Fence > o.Fence || earlier.Fence == o.Fence && earlier.Holder != o.Holder {
				return fmt.Sprintf("got an order by %s with fence %d after one by %s with fence %d, want rising fences", o.Holder, o.Fence, earlier.Holder, earlier.Fence)
			}
		}
	}

	return ""
}

// engineRegister is the Register of one engine's loader.
type engineRegister struct {
	fleet *fakeFleet
	id    string
}

func (r engineRegister) Siblings(context.Context, string, string) (string, []Sibling, error) {
	var all []Sibling
	for id, e := range r.fleet.engines {
		all = append(all, Sibling{ID: id, Version: e.loadedVersion()})
	}

	return r.id, all, nil
}

// restart restarts the engine under the same id and with the same version.
func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.starts++
	e.startTime++
	e.busy, e.orders = false, 0
}
