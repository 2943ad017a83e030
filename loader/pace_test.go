package loader

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"boragehub/roster"
)

// lastWait returns the start of the last slot of n engines.
func lastWait(cfg RolloutConfig, n int) time.Duration {
	cfg = cfg.withDefaults()
	concurrent := max(int(cfg.MaxLoadingShare*float64(n)), 1)
	slots := (n + concurrent - 1) / concurrent

	return cfg.InitialDelay + time.Duration(slots-1)*cfg.interval(slots)
}

// slowedWait returns the start of the last slot of n engines at twice the usual interval.
func slowedWait(n int) time.Duration {
	cfg := RolloutConfig{}.withDefaults()
	concurrent := max(int(cfg.MaxLoadingShare*float64(n)), 1)

	return cfg.InitialDelay + time.Duration((n+concurrent-1)/concurrent-1)*2*cfg.MaxInterval
}

// Load: engines whose prefill capacity is in use. Guards against a pace so slow that engines get
// the version too late, and against one that gets faster with the load or stops at invalid figures.
func TestPaceKeepsItsBoundAtAnyUtilisation(t *testing.T) {
	for _, within := range []time.Duration{8 * time.Second, 10 * time.Second, 15 * time.Second} {
		for n := 1; n <= 600; n++ {
			usual := lastWait(RolloutConfig{MaxDuration: within}, n)
			bound := max(min(within*8/10-expectedLoadTime, slowedWait(n)), usual)
			before := usual

			for percent := 0; percent <= 100; percent++ {
				got := lastWait(RolloutConfig{MaxDuration: within, Utilisation: float64(percent) / 100}, n)
				if got < before || got > bound || (percent <= 50 && got != usual) || (percent >= 90 && bound-got > time.Microsecond && n > 1) {
					t.Fatalf("%v, %d engines, %d%%: got the last slot at %v after %v, want %v up to 50%%, rising to %v at 90%%", within, n, percent, got, before, usual, bound)
				}

				before = got
			}

			// Invalid figures have no effect, or that of the bound.
			for _, u := range []float64{math.NaN(), -1, math.Inf(-1), math.Inf(1), 1e300} {
				got := lastWait(RolloutConfig{MaxDuration: within, Utilisation: u}, n)
				if want := map[bool]time.Duration{true: before, false: usual}[u > 0]; got != want {
					t.Fatalf("%v, %d engines, utilisation %v: got the last slot at %v, want %v", within, n, u, got, want)
				}
			}
		}
	}
}

// Load: utilisations of 0.4 to 0.9, each loader with another one. Guards against many engines that
// load at once because their loaders' slots differ. Even if each loader has the worst figure for its
// engine, the engines of at most three slots load at once; with equal figures it is two, and three
// where MaxDuration is 8 s.
func TestLoadersThatDisagreeLoadFewAtOnce(t *testing.T) {
	const (
		low, high = 0.4, 0.9
		maxSlots  = 9 // with 9 engines, which load one by one; other numbers have fewer slots
	)

	for _, within := range []time.Duration{8 * time.Second, 10 * time.Second, 15 * time.Second} {
		for slots := 1; slots <= maxSlots; slots++ {
			starts := func(utilisation float64) []time.Duration {
				cfg := RolloutConfig{MaxDuration: within, Utilisation: utilisation}.withDefaults()

				all := make([]time.Duration, slots)
				for i := range all {
					all[i] = cfg.InitialDelay + time.Duration(i)*cfg.interval(slots)
				}

				return all
			}

			if got := mostAtOnce(starts(low), starts(high)); got > 3 {
				t.Errorf("%v, %d slots: got the engines of %d slots loading at once, want 3 at most", within, slots, got)
			}

			limit := 2
			if within == 8*time.Second {
				limit = 3
			}

			if got := mostAtOnce(starts(low), starts(low)); got > limit {
				t.Errorf("%v, %d slots with equal figures: got the engines of %d slots loading at once, want %d at most", within, slots, got, limit)
			}
		}
	}
}

// mostAtOnce returns how many slots can have engines that load at once if each engine's load starts
// between two times.
func mostAtOnce(earliest, latest []time.Duration) int {
	most := 0

	for _, at := range slices.Concat(earliest, latest) {
		n := 0

		for i := range earliest {
			if earliest[i] <= at && latest[i] > at-expectedLoadTime {
				n++
			}
		}

		most = max(most, n)
	}

	return most
}

// pacedFleet runs a loader for each of n engines, with the same utilisation at all of them, through
// versions that are published at the given times. It returns the number of loads and the time from
// the last publication until all engines had that version.
func pacedFleet(t *testing.T, n int, utilisation func(sinceStart time.Duration) float64, published ...time.Duration) (loads int, took time.Duration) {
	t.Helper()

	runFleet(t, n, func(ctx context.Context, f *fakeFleet) {
		start := time.Now()

		var all []*Loader

		for id := range f.engines {
			f.hasLoader[id] = true
			l := New(Config{
				Address: id, Holder: "vm " + id, Engine: f, Register: engineRegister{f, id}, Entries: &fakeEntries{}, Log: logr.Discard(),
				Rollout:     RolloutConfig{MaxDuration: 15 * time.Second},
				Utilisation: func(now time.Time) (float64, time.Duration) { return utilisation(now.Sub(start)), 0 },
			})
			all = append(all, l)

			go l.Run(ctx)
		}

		for i, at := range published {
			time.Sleep(time.Until(start.Add(at)))

			for _, l := range all {
				l.SetDesired(DesiredVersion{Model: "m", Version: int64(i + 2)})
			}
		}

		last := time.Now()

		for f.lowestVersion() < int64(len(published)+1) && time.Since(last) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}

		took = time.Since(last)
		time.Sleep(10 * time.Second)

		for _, e := range f.engines {
			loads += len(e.acceptedVersions())
		}
	})

	return loads, took
}

// lowestVersion returns the lowest version that an engine has.
func (f *fakeFleet) lowestVersion() int64 {
	lowest := int64(math.MaxInt64)
	for _, e := range f.engines {
		lowest = min(lowest, e.loadedVersion())
	}

	return lowest
}

// Load: two new versions 4 s apart at a peak, as in the worst seconds of deployment K. Guards against
// engines that load both versions one right after the other and prefill all contexts twice, and
// against a second version that comes late because of the first.
func TestTwoVersionsAtAPeakAreLoadedLessOften(t *testing.T) {
	const engines = 45

	at := func(u float64) func(time.Duration) float64 { return func(time.Duration) float64 { return u } }
	quiet, _ := pacedFleet(t, engines, at(0), 0, 4*time.Second)
	peak, took := pacedFleet(t, engines, at(0.9), 0, 4*time.Second)

	if quiet != 72 || peak != 63 {
		t.Errorf("got %d loads in a quiet fleet and %d at a peak, want 72 and 63", quiet, peak)
	}

	if took > 9*time.Second {
		t.Errorf("got the second version everywhere after %v, want 9 s at most", took)
	}
}

// Load: a peak that ends while engines wait for their slots. Guards against engines that move to
// earlier slots then and load all at once.
func TestWaitingEnginesKeepTheirSlots(t *testing.T) {
	_, took := pacedFleet(t, 45, func(sinceStart time.Duration) float64 {
		if sinceStart < time.Second {
			return 0.9
		}

		return 0
	}, 0)

	if want := 10 * time.Second; took < want || took > 12*time.Second {
		t.Errorf("got the version everywhere after %v, want the last slot at %v and 12 s at most", took, want)
	}
}

// Load: a peak that begins while engines wait for their slots. Guards against engines that load at the
// pace of the quiet seconds before, and then prefill all contexts again at the peak.
func TestWaitingEnginesMoveToLaterSlots(t *testing.T) {
	_, took := pacedFleet(t, 45, func(sinceStart time.Duration) float64 {
		if sinceStart < time.Second {
			return 0.2
		}

		return 0.9
	}, 0)

	if want := 10 * time.Second; took < want || took > 12*time.Second {
		t.Errorf("got the version everywhere after %v, want the last slot at %v and 12 s at most", took, want)
	}
}

// Load: a peak, and entries that measure different utilisations. Guards against ordering windows of
// two entries that overlap, so that an engine has two holders.
func TestStandbyWindowsDoNotDependOnUtilisation(t *testing.T) {
	var engines []roster.Holding
	for i := range 45 {
		engines = append(engines, roster.Holding{ID: fmt.Sprintf("engine-%d", i), Version: 1, NoSideProcess: true})
	}

	starts := func(utilisation float64) map[string]time.Time {
		s := NewStandby(StandbyConfig{Rollout: RolloutConfig{MaxDuration: 15 * time.Second, Utilisation: utilisation}})
		r := rollout{desired: DesiredVersion{Model: "m", Version: 2}, learnedAt: time.Unix(100, 0), slotStarts: make(map[string]time.Time)}
		r.schedule(r.learnedAt, s.cfg.Rollout, engines)

		return r.slotStarts
	}

	quiet, peak := starts(0), starts(0.9)
	for id, want := range quiet {
		if got := peak[id]; !got.Equal(want) {
			t.Errorf("%s: got a first window at %v, want %v", id, got, want)
		}
	}
}

// Load: a peak, and entries that receive no load reports of an engine and take its loader for missing.
// The slots of loader and entries differ then. Guards against an engine that is ordered twice.
func TestSlowedLoaderDoesNotRepeatAnEntrysOrder(t *testing.T) {
	const engines = 10

	random := rand.New(rand.NewPCG(1, 2))

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFakeFleet(engines)

		var wg sync.WaitGroup

		for id := range f.engines {
			utilisation := 0.4 + 0.5*random.Float64()
			l := New(Config{
				Address: id, Holder: "vm " + id, Engine: f, Register: engineRegister{f, id}, Entries: &fakeEntries{}, Log: logr.Discard(),
				Utilisation: func(time.Time) (float64, time.Duration) { return utilisation, 0 },
				Rollout:     RolloutConfig{MaxDuration: 15 * time.Second},
			})

			wg.Go(func() { l.Run(ctx) })
			l.SetDesired(DesiredVersion{Model: "m", Version: 2})
		}

		for p := range 3 {
			f.startStandby(ctx, fixedRank(p)).SetDesired(DesiredVersion{Model: "m", Version: 2})
		}

		time.Sleep(30 * time.Second)

		for id, e := range f.engines {
			if got := e.acceptedVersions(); len(got) != 1 || got[0] != 2 {
				t.Errorf("%s: got orders for versions %v accepted, want one for 2", id, got)
			}
		}

		cancel()
		wg.Wait()
		synctest.Wait()
	})
}
