package lease

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"boragehub/failure"
	"boragehub/journal/memory"
)

func TestGuardRefusesOlderNumbers(t *testing.T) {
	var g Guard

	for _, c := range []struct {
		fence uint64
		want  failure.Kind
	}{{3, 0}, {3, 0}, {2, failure.StaleFence}, {5, 0}, {3, failure.StaleFence}} {
		if err := g.Check(c.fence); failure.KindOf(err) != c.want {
			t.Errorf("fence %d: got %v, want %v", c.fence, err, c.want)
		}
	}
}

// The log is unavailable for longer than the lease lasts, and later the holder
// stops. A fault would let two processes place weights at once, or none.
func TestKeeperStopsInAnOutageAndAnotherTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup

		log := memory.New()
		start := func(name string) (*Keeper, context.CancelFunc) {
			ctx, cancel := context.WithCancel(t.Context())
			k := NewKeeper(Config{Log: log, Name: "duty", Holder: name})
			wg.Go(func() { k.Run(ctx) })

			return k, cancel
		}

		one, stopOne := start("one")

		time.Sleep(30 * time.Second)

		two, stopTwo := start("two")

		time.Sleep(time.Minute)

		fence, ok := one.Fence(time.Now())
		if _, other := two.Fence(time.Now()); !ok || other {
			t.Fatalf("holders: got %v and %v, want the first only", ok, other)
		}

		log.SetFaults(memory.Faults{Down: true})
		time.Sleep(time.Minute)

		if _, ok := one.Fence(time.Now()); ok {
			t.Error("during the outage: got a valid lease, want none")
		}

		log.SetFaults(memory.Faults{})
		time.Sleep(time.Minute)

		_, first := one.Fence(time.Now())
		_, second := two.Fence(time.Now())

		if first == second {
			t.Errorf("after the outage: got holders %v and %v, want one", first, second)
		}

		stopOne()
		time.Sleep(time.Minute)

		later, ok := two.Fence(time.Now())
		if !ok || later <= fence {
			t.Errorf("after the first stopped: got fence %d %v, want one above %d", later, ok, fence)
		}

		stopTwo()
		wg.Wait()
	})
}
