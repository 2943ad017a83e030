package loader

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"boragehub/pulse"
	"boragehub/roster"
)

// fakeFleet is a set of engines of one model, whose addresses equal their ids.
type fakeFleet struct {
	mu          sync.Mutex
	engines     map[string]*fakeEngine
	hasLoader   map[string]bool // by engine id
	silent      map[string]bool // engines that entries take to have no loader
	unreachable map[string]bool // engines whose VM doesn't reply
	recorded    map[string]bool // engines that the log says entries order
	logDown     bool
	unlisted    map[string]bool    // engines that entries don't know of
	partitioned map[fixedRank]bool // entries that can't learn of versions
}

func newFakeFleet(n int) *fakeFleet {
	f := &fakeFleet{engines: make(map[string]*fakeEngine), hasLoader: make(map[string]bool), silent: make(map[string]bool), unreachable: make(map[string]bool), recorded: make(map[string]bool), unlisted: make(map[string]bool), partitioned: make(map[fixedRank]bool)}
	for i := range n {
		f.engines[fmt.Sprintf("engine-%d", i)] = &fakeEngine{version: 1, loadTime: 500 * time.Millisecond}
	}

	return f
}

func (f *fakeFleet) Holdings(time.Time, string) []roster.Holding {
	f.mu.Lock()
	defer f.mu.Unlock()

	var all []roster.Holding

	for _, id := range slices.Sorted(maps.Keys(f.engines)) {
		if e := f.engines[id]; !f.unlisted[id] {
			all = append(all, roster.Holding{ID: id, Address: id, Version: e.loadedVersion(), NoSideProcess: !f.hasLoader[id] || f.silent[id]})
		}
	}

	return all
}

// versionsSyncedAt returns when an entry last knew the newest version.
func (f *fakeFleet) versionsSyncedAt(p fixedRank) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.partitioned[p] {
		return time.Time{}
	}

	return time.Now()
}

// setPartitioned cuts an entry off from published versions, or reconnects it.
func (f *fakeFleet) setPartitioned(p fixedRank, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.partitioned[p] = partitioned
}

func (f *fakeFleet) Record(_ context.Context, target string) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.logDown {
		return errNoReply
	}

	f.recorded[target] = true

	return nil
}

func (f *fakeFleet) Recorded(_ context.Context, target string) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.logDown {
		return false, errNoReply
	}

	return f.recorded[target], nil
}

// sideProcess returns what the VM of an engine replies.
func (f *fakeFleet) sideProcess(_ context.Context, address string) pulse.Presence {
	f.mu.Lock()
	defer f.mu.Unlock()

	switch {
	case f.unreachable[address]:
		return pulse.Unknown
	case f.hasLoader[address]:
		return pulse.Present
	default:
		return pulse.Absent
	}
}

func (f *fakeFleet) State(ctx context.Context, address string) (State, error) {
	return f.engines[address].State(ctx, address)
}

func (f *fakeFleet) Order(ctx context.Context, address string, o Order) (Reply, error) {
	return f.engines[address].Order(ctx, address, o)
}

// loadedVersion returns the loaded version.
func (e *fakeEngine) loadedVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.version
}

// acceptedVersions returns the versions of the accepted orders.
func (e *fakeEngine) acceptedVersions() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	var all []int64
	for _, o := range e.accepted {
		all = append(all, o.Version)
	}

	return all
}

// acceptedHolders returns the holders of the accepted orders.
func (e *fakeEngine) acceptedHolders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()

	var all []string
	for _, o := range e.accepted {
		all = append(all, o.Holder)
	}

	return all
}

// fixedRank is a Ring in which an entry has the same rank for every engine.
type fixedRank int

func (r fixedRank) Rank(time.Time, string) int { return int(r) }

// Size returns the number of entries in these tests.
func (fixedRank) Size(time.Time) int { return 3 }

// runFleet calls do with a fleet of n engines in virtual time.
func runFleet(t *testing.T, n int, do func(ctx context.Context, f *fakeFleet)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		do(ctx, newFakeFleet(n))
		cancel()
		synctest.Wait()
	})
}

// startStandby starts the Standby of an entry; it runs until ctx ends.
func (f *fakeFleet) startStandby(ctx context.Context, p fixedRank) *Standby {
	s := NewStandby(StandbyConfig{
		Holder: fmt.Sprintf("entry-%d", p), Engine: f, Entries: &fakeEntries{}, Fleet: f, Ring: p, Holders: f, SideProcess: f.sideProcess, VersionsSyncedAt: func() time.Time { return f.versionsSyncedAt(p) }, Log: logr.Discard(),
	})

	go s.Run(ctx)

	return s
}

// Operators publish new weights, and no engine has a loader. Without a Standby the engines
// would keep the old weights, and every caller would be refused once these may no longer be
// used.
func TestStandbyReloadsEnginesWithoutLoader(t *testing.T) {
	const engines = 12

	runFleet(t, engines, func(ctx context.Context, f *fakeFleet) {
		for p := range 3 {
			f.startStandby(ctx, fixedRank(p)).SetDesired(DesiredVersion{Model: "m", Version: 2})
		}

		time.Sleep(8 * time.Second)

		for id, e := range f.engines {
			if got := e.loadedVersion(); got != 2 {
				t.Errorf("%s: got version %d after 8 s, want 2", id, got)
			}

			if got := len(e.acceptedVersions()); got != 1 {
				t.Errorf("%s: got %d orders accepted, want 1", id, got)
			}
		}
	})
}

// Guards against a Standby that orders an engine with a loader: two processes that order an
// engine within seconds are two holders, and not every engine checks the fencing number.
func TestStandbySkipsEnginesWithLoader(t *testing.T) {
	runFleet(t, 1, func(ctx context.Context, f *fakeFleet) {
		l := New(Config{Address: "engine-0", Holder: "vm", Engine: f, Register: fakeRegister{f.engines["engine-0"]}, Entries: &fakeEntries{}, Log: logr.Discard()})
		go l.Run(ctx)

		s := f.startStandby(ctx, 0)

		l.SetDesired(DesiredVersion{Model: "m", Version: 2})
		s.SetDesired(DesiredVersion{Model: "m", Version: 2})
		time.Sleep(10 * time.Second)

		if accepted := f.engines["engine-0"].acceptedHolders(); len(accepted) != 1 || accepted[0] != "vm" {
			t.Errorf("got orders by %v, want one by the loader", accepted)
		}
	})
}

// The entry with the first ordering window is dead but still counted as live. The next
// entry must order the engine in its own window.
func TestNextEntryOrdersInItsWindow(t *testing.T) {
	runFleet(t, 1, func(ctx context.Context, f *fakeFleet) {
		f.startStandby(ctx, 1).SetDesired(DesiredVersion{Model: "m", Version: 2})
		time.Sleep(windowInterval + 3*time.Second)

		if got := f.engines["engine-0"].loadedVersion(); got != 2 {
			t.Errorf("got version %d, want 2", got)
		}
	})
}

// An entry starts long after a version was published, and one engine is listed only later.
// The version isn't published to the entry again.
func TestEngineListedLateIsReloaded(t *testing.T) {
	runFleet(t, 2, func(ctx context.Context, f *fakeFleet) {
		f.unlisted["engine-1"] = true

		f.startStandby(ctx, 0).SetDesired(DesiredVersion{Model: "m", Version: 2, PublishedBeforeStart: true})
		time.Sleep(3 * time.Second)

		f.mu.Lock()
		f.unlisted["engine-1"] = false
		f.mu.Unlock()

		time.Sleep(3 * time.Second)

		for id, e := range f.engines {
			if got := e.loadedVersion(); got != 2 {
				t.Errorf("%s: got version %d, want 2", id, got)
			}
		}
	})
}

// Guards against two holders of an engine whose load reports an entry doesn't get: the loader runs, or its
// VM can't be asked, and missing reports are no sign that there is none.
func TestStandbyOrdersNoEngineThatMayHaveALoader(t *testing.T) {
	runFleet(t, 2, func(ctx context.Context, f *fakeFleet) {
		f.silent["engine-0"], f.hasLoader["engine-0"] = true, true
		f.silent["engine-1"], f.unreachable["engine-1"] = true, true

		for p := range 3 {
			f.startStandby(ctx, fixedRank(p)).SetDesired(DesiredVersion{Model: "m", Version: 2})
		}

		time.Sleep(time.Minute)

		for id, e := range f.engines {
			if got := e.acceptedHolders(); len(got) > 0 {
				t.Errorf("%s: got orders by %v, want none", id, got)
			}
		}
	})
}

// Guards against an order of the loader with a lower fencing number than the one before it: an entry has ordered
// an engine without a loader, got no response, and the loader starts.
func TestLoaderThatStartsAfterAnEntrysOrderIsTheLaterHolder(t *testing.T) {
	for _, startAfter := range []time.Duration{1300, 1500, 2000, 2700, 4200, 8000} {
		runFleet(t, 1, func(ctx context.Context, f *fakeFleet) {
			e := f.engines["engine-0"]
			e.lost = 1

			f.startStandby(ctx, 0).SetDesired(DesiredVersion{Model: "m", Version: 2})
			time.Sleep(startAfter * time.Millisecond)

			f.mu.Lock()
			f.hasLoader["engine-0"] = true
			f.mu.Unlock()

			l := New(Config{Address: "engine-0", Holder: "vm", Engine: f, Register: fakeRegister{e}, Entries: &fakeEntries{}, Start: time.Now(), Holders: f, Log: logr.Discard()})
			go l.Run(ctx)

			l.SetDesired(DesiredVersion{Model: "m", Version: 2, PublishedBeforeStart: true})
			time.Sleep(30 * time.Second)

			if got := e.loadedVersion(); got != 2 {
				t.Errorf("start after %d ms: got version %d, want 2", startAfter, got)
			}

			if p := e.fenceViolation(); p != "" {
				t.Errorf("start after %d ms: %s", startAfter, p)
			}

			if p := e.sharedHold(3 * time.Second); p != "" {
				t.Errorf("start after %d ms: %s", startAfter, p)
			}
		})
	}
}

// Guards against engines that keep replaced weights behind restarts of their loaders: only a loader whose engine entries
// order, or that can't know, holds its orders back.
func TestRestartedLoaderHoldsOrdersOnlyBehindAnEntry(t *testing.T) {
	tests := []struct {
		name              string
		recorded, logDown bool
		want              time.Duration
	}{
		{"no entry orders the engine", false, false, 2 * time.Second},
		{"an entry does", true, false, HoldOff + 2*time.Second},
		{"the log can't be read", false, true, HoldOff + 2*time.Second},
	}

	for _, tt := range tests {
		runFleet(t, 1, func(ctx context.Context, f *fakeFleet) {
			e := f.engines["engine-0"]
			f.hasLoader["engine-0"], f.recorded["engine-0"], f.logDown = true, tt.recorded, tt.logDown
			began := time.Now()

			l := New(Config{Address: "engine-0", Holder: "vm", Engine: f, Register: fakeRegister{e}, Entries: &fakeEntries{}, Start: began, Holders: f, Log: logr.Discard()})
			go l.Run(ctx)

			l.SetDesired(DesiredVersion{Model: "m", Version: 2, PublishedBeforeStart: true})
			time.Sleep(tt.want)

			if got := e.loadedVersion(); got != 2 {
				t.Errorf("%s: got version %d after %v, want 2", tt.name, got, tt.want)
			}

			if got := e.receivedAt[0].Sub(began); tt.want > HoldOff && got < HoldOff {
				t.Errorf("%s: got the first order after %v, want %v at least", tt.name, got, HoldOff)
			}
		})
	}
}

// Guards against lower fencing numbers after higher ones when an engine has several models: each has versions of its own.
func TestFencesRiseOverTheModelsOfAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &fakeEngine{version: 1, loadTime: 500 * time.Millisecond}
		l := New(Config{Address: "a", Holder: "vm", Engine: e, Register: fakeRegister{e}, Entries: &fakeEntries{}, Log: logr.Discard()})

		go l.Run(ctx)

		l.SetDesired(DesiredVersion{Model: "m", Version: 5})
		time.Sleep(10 * time.Second)

		e.mu.Lock()
		e.other = 1
		e.mu.Unlock()

		l.SetDesired(DesiredVersion{Model: "other", Version: 2})
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()

		if got := len(e.received); got < 2 {
			t.Fatalf("got %d orders, want one for each model", got)
		}

		if p := e.fenceViolation(); p != "" {
			t.Error(p)
		}
	})
}

// sharedHold describes two orders of different holders that were received within the time for which the
// sender of an order counts as the holder; empty for none.
func (e *fakeEngine) sharedHold(lease time.Duration) string {
	e.mu.Lock()
	defer e.mu.Unlock()

	for i := 1; i < len(e.received); i++ {
		if gap := e.receivedAt[i].Sub(e.receivedAt[i-1]); e.received[i].Holder != e.received[i-1].Holder && gap < lease {
			return fmt.Sprintf("got an order by %s %v after one by %s, want at least %v", e.received[i].Holder, gap, e.received[i-1].Holder, lease)
		}
	}

	return ""
}
