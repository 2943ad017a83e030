package target_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"boragehub/failure"
	"boragehub/retry"
	"boragehub/target"
)

const service = "boragehub-llm"

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// result counts the requests of one simulation.
type result struct {
	requests, attempts, lost int
	late, lateAttempts       int // from the fifth second on
}

// simulate sends 100 idempotent requests per second for 30 s from one entry to twelve
// targets, four of which fail every request, and retries as the rules allow.
func simulate(seed uint64, eject bool) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	cfg := target.TableConfig{Self: "entry-1", DataCentre: "yvr-east", SubsetSize: 12}

	if !eject {
		cfg.EjectAfterFailures = 1 << 30
	}

	t := target.NewTable(cfg)
	b := retry.NewBudget(epoch, retry.BudgetConfig{})

	var rows []target.Listed
	for i := range 12 {
		rows = append(rows, target.Listed{VM: fmt.Sprint(i), DataCentre: "yvr-east", Kind: target.KindEngine, Service: service, State: target.Live})
	}

	t.ObserveList(epoch, rows)

	var r result

	for i := range 3000 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		b.CountRequest(now)

		n, ok := sendWithRetries(now, t, b, rng)
		r.requests++
		r.attempts += n

		if !ok {
			r.lost++
		}

		if i >= 500 {
			r.late++
			r.lateAttempts += n
		}
	}

	return r
}

// sendWithRetries runs one request and returns the number of its attempts.
func sendWithRetries(now time.Time, t *target.Table, b *retry.Budget, rng *rand.Rand) (n int, ok bool) {
	for n = 1; ; n++ {
		c := t.Candidates(now, service)
		to := c[rng.IntN(len(c))]
		s := t.Sent(now, to.VM, 100)

		var vm int
		_, _ = fmt.Sscan(to.VM, &vm)

		if vm >= 4 {
			t.Done(now, s, target.Succeeded)
			return n, true
		}

		t.Done(now, s, target.Failed)

		a := retry.Attempt{Idempotent: true, Sent: true, Kind: failure.TargetLost, Number: n, MaxAttempts: 3}
		if !retry.MayRetry(a) || !b.Allow(now) {
			return n, false
		}
	}
}

// Guards against a retry storm: when a third of the targets fail all requests, retries must
// not overload the rest, and nearly all requests must succeed.
func TestAttemptsWhenAThirdOfTheTargetsFail(t *testing.T) {
	for seed := range uint64(5) {
		got, without := simulate(seed, true), simulate(seed, false)

		t.Logf("seed %d: attempts per request %.4f, from the fifth second on %.4f, lost %d of %d; without ejection %.4f, lost %d",
			seed, float64(got.attempts)/float64(got.requests), float64(got.lateAttempts)/float64(got.late), got.lost, got.requests,
			float64(without.attempts)/float64(without.requests), without.lost)

		if float64(got.attempts) > 1.2*float64(got.requests)+3 {
			t.Errorf("seed %d: got %d attempts for %d requests, want at most 1.2 per request", seed, got.attempts, got.requests)
		}

		if got.lost*100 > got.requests {
			t.Errorf("seed %d: got %d of %d lost, want at most one in a hundred", seed, got.lost, got.requests)
		}
	}
}
