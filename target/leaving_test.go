package target

import (
	"math/rand/v2"
	"testing"
	"time"
)

// departure is one way in which an entry learns that a target leaves.
type departure struct {
	name     string
	reported time.Duration // when its side process reports it; zero for never
	listed   time.Duration // when the list shows it; zero for never
	outcome  Outcome       // outcome of requests sent to it
	maxSent  int           // maximum number of requests sent 5 s or more after the target left
}

// requestsAfterLeaving lets a target leave at 1 s and returns the number of requests that
// an entry with 50 requests per second sends to it from 6 s to 30 s.
func (d departure) requestsAfterLeaving(seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 1))
	tab := newTable("a", "b", "c", "d")
	late := 0

	for i := range 30 * 50 {
		at := time.Duration(i) * 20 * time.Millisecond
		now := epoch.Add(at)
		leaving := at >= time.Second

		if d.reported > 0 && at == d.reported {
			tab.ObserveState(now, StateReport{VM: "a", BootID: "1", Sequence: 2, State: Draining})
		}

		if d.listed > 0 && at == d.listed {
			rows := list("a", "b", "c", "d")
			rows[0].State = Leaving
			tab.ObserveList(now, rows)
		}

		c := tab.Candidates(now, service)
		to := c[rng.IntN(len(c))]
		s := tab.Sent(now, to.VM, 1)

		switch {
		case to.VM != "a" || !leaving:
			tab.Done(now, s, Succeeded)
		default:
			tab.Done(now, s, d.outcome)

			if at >= 6*time.Second {
				late++
			}
		}
	}

	return late
}

// Guards against new requests to a VM that is about to be removed. The list may lag, the side
// process may be unresponsive, and the entry may have no connection to the target; any one
// of the three sources has to suffice.
func TestEachSourceAloneStopsNewWork(t *testing.T) {
	departures := []departure{
		{"side process reports draining", 1020 * time.Millisecond, 0, Succeeded, 0},
		{"list shows leaving after three seconds", 0, 4 * time.Second, Succeeded, 0},
		{"side process refuses requests", 0, 0, RefusedDraining, 0},
		// At most four probes, after ejections of 2, 4, 8 and 16 s, all of which fail.
		{"all requests fail", 0, 0, Failed, 4},
	}

	for _, d := range departures {
		t.Run(d.name, func(t *testing.T) {
			for seed := range uint64(5) {
				if got := d.requestsAfterLeaving(seed); got > d.maxSent {
					t.Errorf("seed %d: got %d requests sent 5 s or more after the target left, want at most %d", seed, got, d.maxSent)
				}
			}
		})
	}
}
