package loader

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

func siblings(n int, version int64) []Sibling {
	all := make([]Sibling, n)
	for i := range all {
		all[i] = Sibling{ID: fmt.Sprintf("engine-%d", i), Version: version}
	}

	return all
}

// Guards against too many engines loading at once, which would slow each other down and
// leave too few serving. Each process computes its slot alone, without a leader, so the
// slots of all processes must fit together.
func TestRolloutSlotsLimitConcurrentLoads(t *testing.T) {
	tests := []struct {
		engines, concurrent int
	}{
		{12, 2}, {18, 3}, {45, 9}, {55, 11}, {3, 1}, {1, 1},
	}

	for _, tt := range tests {
		all := siblings(tt.engines, 1)
		loadsAt := map[time.Duration]int{}
		last := time.Duration(0)

		for _, s := range all {
			slot := AssignSlot(RolloutConfig{}, s.ID, 2, all)
			loadsAt[slot.Wait]++
			last = max(last, slot.Wait)
		}

		for wait, n := range loadsAt {
			if n > tt.concurrent {
				t.Errorf("%d engines: got %d loads at %v, want %d at most", tt.engines, n, wait, tt.concurrent)
			}
		}

		if latest := 8*time.Second - expectedLoadTime; last > latest {
			t.Errorf("%d engines: got the last slot at %v, want %v at most", tt.engines, last, latest)
		}
	}
}

func TestEnginesWithTheVersionGetNoSlot(t *testing.T) {
	all := siblings(12, 2)
	all[3].Version, all[7].Version = 1, 1

	slot := AssignSlot(RolloutConfig{}, all[3].ID, 2, all)
	if slot.Of != 2 || slot.Wait != AssignSlot(RolloutConfig{}, all[7].ID, 2, all).Wait {
		t.Errorf("got %+v, want both engines in the same slot", slot)
	}
}

// fakeEngine is an engine that accepts and rejects orders as real ones do.
type fakeEngine struct {
	mu         sync.Mutex
	version    int64
	busy       bool
	orders     int64
	received   []Order // accepted or not
	receivedAt []time.Time
	accepted   []Order
	lost       int   // number of next orders that get no reply and are not processed
	other      int64 // version of a second model, which is never loaded; zero for none
	clock      int64 // in ms; zero if not reported
	delayed    int   // number of next orders that get no reply and are processed 4 s later
	refusals   int   // number of next orders that are refused as for another start
	loadTime   time.Duration
	startTime  int64
	starts     int  // number of restarts
	downgraded bool // an older version than the current one was loaded
}

var errNoReply = errors.New("no reply")

func (e *fakeEngine) State(context.Context, string) (State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	versions := map[string]int64{"m": e.version}
	if e.other > 0 {
		versions["other"] = e.other
	}

	return State{Versions: versions, Busy: e.busy, AcceptedOrders: e.orders, StartTime: e.startTime, Clock: e.clock}, nil
}

func (e *fakeEngine) Order(ctx context.Context, _ string, o Order) (Reply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.received = append(e.received, o)
	e.receivedAt = append(e.receivedAt, time.Now())

	if e.lost > 0 {
		e.lost--

		return NoReply, errNoReply
	}

	if e.refusals > 0 {
		e.refusals--

		return Refused, errNoReply
	}

	if e.delayed > 0 {
		e.delayed--

		start := e.starts

		time.AfterFunc(4*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()

			// An order is valid only for the start that it names.
			if e.starts == start {
				e.accept(o)
			}
		})

		return NoReply, errNoReply
	}

	return e.accept(o), nil
}

// accept carries out an order if the engine is idle and the number of accepted orders is
// the expected one. The caller holds mu.
func (e *fakeEngine) accept(o Order) Reply {
	if e.busy || o.ExpectedOrders != e.orders {
		return Busy
	}

	e.orders++
	e.busy = true
	e.accepted = append(e.accepted, o)

	start := e.starts

	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()

		if e.starts != start {
			return
		}

		e.downgraded = e.downgraded || o.Version < e.version
		e.busy, e.version = false, o.Version
	})

	return Accepted
}

// fakeRegister lists one engine.
type fakeRegister struct{ engine *fakeEngine }

func (r fakeRegister) Siblings(context.Context, string, string) (string, []Sibling, error) {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()

	return "engine-0", []Sibling{{ID: "engine-0", Version: r.engine.version}}, nil
}

// fakeEntries records announcements.
type fakeEntries struct {
	mu            sync.Mutex
	announcements []string
}

func (e *fakeEntries) AnnounceVersion(_ context.Context, _, _ string, version int64, loaded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.announcements = append(e.announcements, fmt.Sprintf("%d %v", version, loaded))
}

// crashAt is when runLoader calls its crash functions: during the load of a version that
// was published after 1 s.
const crashAt = 2800 * time.Millisecond

// runLoader runs a loader for d, with versions published at the given times.
func runLoader(t *testing.T, engine *fakeEngine, d time.Duration, versions map[time.Duration]int64, crash ...func()) *fakeEntries {
	t.Helper()

	entries := &fakeEntries{}

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())

		var wg sync.WaitGroup

		l := New(Config{Address: "a", Holder: "vm-1", Engine: engine, Register: fakeRegister{engine}, Entries: entries, Log: logr.Discard()})

		wg.Go(func() { l.Run(ctx) })

		for at, v := range versions {
			time.AfterFunc(at, func() { l.SetDesired(DesiredVersion{Model: "m", Version: v}) })
		}

		for _, f := range crash {
			time.AfterFunc(crashAt, f)
		}

		time.Sleep(d)
		cancel()
		wg.Wait()
		time.Sleep(10 * time.Second) // until delayed orders and loads are over
	})

	return entries
}

func TestLoaderAnnouncesAndLoadsVersion(t *testing.T) {
	engine := &fakeEngine{version: 1, loadTime: 500 * time.Millisecond, clock: 7}
	entries := runLoader(t, engine, 6*time.Second, map[time.Duration]int64{time.Second: 2})

	if engine.version != 2 || len(engine.accepted) != 1 {
		t.Fatalf("got version %d after %d orders, want 2 after 1", engine.version, len(engine.accepted))
	}

	if o := engine.accepted[0]; o.Holder != "vm-1" || o.Fence != 7*fenceHolders || o.ExpectedOrders != 0 || o.Target != "engine-0" {
		t.Errorf("got order %+v, want holder vm-1, target engine-0, no orders expected and the fence of the engine's clock", o)
	}

	if got, want := fmt.Sprint(entries.announcements), "[2 false 2 true]"; got != want {
		t.Errorf("got announcements %s, want %s", got, want)
	}
}

// Guards against a downgrade by a delayed order: it gets no reply and arrives seconds
// later, after another order has loaded a newer version. If it were accepted, the engine
// would serve the old weights from then on.
func TestDelayedOrderDoesNotDowngrade(t *testing.T) {
	engine := &fakeEngine{version: 1, loadTime: 500 * time.Millisecond, delayed: 1}
	runLoader(t, engine, 15*time.Second, map[time.Duration]int64{time.Second: 2, 4 * time.Second: 3})

	if engine.version != 3 {
		t.Errorf("got version %d, want 3", engine.version)
	}

	for i := 1; i < len(engine.accepted); i++ {
		if engine.accepted[i].Version < engine.accepted[i-1].Version || engine.accepted[i].Fence < engine.accepted[i-1].Fence {
			t.Errorf("got %+v after %+v, want versions and fences to rise", engine.accepted[i], engine.accepted[i-1])
		}
	}
}

// An engine crashes while it loads and restarts under the same id, with its initial weights
// and order count. The order is lost; waiting for it until the retry interval ends would
// keep the engine on the old weights for longer than operators allow.
func TestEngineRestartedDuringLoadIsOrderedAgain(t *testing.T) {
	engine := &fakeEngine{version: 1, startTime: 1000, loadTime: 5 * time.Second}

	crash := func() {
		engine.mu.Lock()
		defer engine.mu.Unlock()

		engine.busy, engine.orders, engine.startTime, engine.loadTime = false, 0, 2000, 300*time.Millisecond
		engine.starts++
	}

	runLoader(t, engine, 3900*time.Millisecond, map[time.Duration]int64{time.Second: 2}, crash)

	if engine.version != 2 || len(engine.accepted) != 2 || engine.accepted[1].ExpectedOrders != 0 {
		t.Errorf("got version %d after %+v, want 2 after a second order that expects no earlier ones", engine.version, engine.accepted)
	}
}

// A side process restarts together with its engine. The register still lists the engine's
// previous start, and the engine refuses orders for that one.
func TestOrderForPreviousStartIsRetried(t *testing.T) {
	engine := &fakeEngine{version: 1, loadTime: 300 * time.Millisecond, refusals: 1}
	runLoader(t, engine, 5*time.Second, map[time.Duration]int64{time.Millisecond: 2})

	if engine.version != 2 {
		t.Errorf("got version %d, want 2", engine.version)
	}
}

// All side processes were killed after new weights were published. The time left is
// unknown, so the slots follow each other quickly, at any load.
func TestVersionPublishedBeforeStartIsExpedited(t *testing.T) {
	all := siblings(55, 1)
	last := time.Duration(0)

	for _, s := range all {
		last = max(last, AssignSlot(RolloutConfig{MaxDuration: 15 * time.Second, Utilisation: 1}.expedited(), s.ID, 2, all).Wait)
	}

	if want := expeditedDuration - expectedLoadTime + time.Millisecond; last > want {
		t.Errorf("got the last slot after %v, want %v at most", last, want)
	}
}

func TestNewerVersionReplacesPendingOne(t *testing.T) {
	engine := &fakeEngine{version: 1, loadTime: 500 * time.Millisecond}
	runLoader(t, engine, 8*time.Second, map[time.Duration]int64{time.Second: 2, 1500 * time.Millisecond: 3})

	if engine.version != 3 || len(engine.accepted) != 1 {
		t.Errorf("got version %d after %d orders, want 3 after 1", engine.version, len(engine.accepted))
	}
}
