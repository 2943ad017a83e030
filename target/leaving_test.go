package target

import (
	"math/rand/v2"
	"testing"
	"time"
)

// way is one way in which an entry comes to know that a target leaves.
type way struct {
	name  string
	says  time.Duration // when its side process says so; zero for never
	list  time.Duration // when the list says so; zero for never
	ends  Outcome       // how requests that are sent to it end
	after int           // how many may still be sent from the fifth second on
}

// sent lets a target leave at its first second and returns how many requests an
// entry that gets 50 a second sends to it from the sixth to the thirtieth.
func (w way) sent(seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 1))
	tab := newTable("a", "b", "c", "d")
	late := 0

	for i := range 30 * 50 {
		at := time.Duration(i) * 20 * time.Millisecond
		now := epoch.Add(at)
		gone := at >= time.Second

		if w.says > 0 && at == w.says {
			tab.ObserveHello(now, Hello{VM: "a", BootID: "1", Sequence: 2, State: Draining})
		}

		if w.list > 0 && at == w.list {
			rows := list("a", "b", "c", "d")
			rows[0].State = Leaving
			tab.ObserveList(now, rows)
		}

		c := tab.Candidates(now, service)
		to := c[rng.IntN(len(c))]
		s := tab.Sent(now, to.VM, 1)

		switch {
		case to.VM != "a" || !gone:
			tab.Done(now, s, Succeeded)
		default:
			tab.Done(now, s, w.ends)

			if at >= 6*time.Second {
				late++
			}
		}
	}

	return late
}

// A target leaves. The list may lag, its side process may be silent, the entry
// may be cut from it; any way of the three has to be enough, or users go on being
// sent to a machine that is about to go.
func TestEachWayAloneStopsNewWork(t *testing.T) {
	ways := []way{
		{"the side process says so", 1020 * time.Millisecond, 0, Succeeded, 0},
		{"the list says so after three seconds", 0, 4 * time.Second, Succeeded, 0},
		{"the side process refuses", 0, 0, RefusedDraining, 0},
		// Tries by one request after 2, 4, 8 and 16 s, none of which arrives.
		{"nothing arrives there", 0, 0, Failed, 4},
	}

	for _, w := range ways {
		t.Run(w.name, func(t *testing.T) {
			for seed := range uint64(5) {
				if got := w.sent(seed); got > w.after {
					t.Errorf("seed %d: got %d requests sent from the fifth second on, want at most %d", seed, got, w.after)
				}
			}
		})
	}
}
