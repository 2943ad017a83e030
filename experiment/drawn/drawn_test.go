package drawn

import (
	"reflect"
	"slices"
	"testing"
)

// seedCount is the number of deployments that the tests simulate.
const seedCount = 40

// Guards against constants that fit only the deployments on which the decision was measured:
// on others it would then do worse than the baselines, unnoticed until a new customer comes.
// The drawn deployments have 4 to 24 engines that prefill 20 to 300 tokens per ms, up to four
// kinds of prompts with shared prefixes of 100 to 30,000 tokens, memory for 3 to 40 of the
// longest prompts, and loads of up to a third above the prefill capacity.
func TestDecisionBeatsBaselines(t *testing.T) {
	var decided, home, least, worst []float64

	for seed := range uint64(seedCount) {
		d := Draw(seed + 1)
		r := Simulate(d, Decide, seed+1)
		h, l := Simulate(d, HomeEngine, seed+1).OnTime(), Simulate(d, LeastLoaded, seed+1).OnTime()

		decided, home, least = append(decided, r.OnTime()), append(home, h), append(least, l)
		worst = append(worst, slices.Min(r.OnTimeByKind))

		// A single simulation is short, so that its result varies by a little.
		if got, want := r.OnTime(), max(h, l)-0.02; got < want {
			t.Errorf("seed %d: got %.3f on time, want at least %.3f, the better baseline less the tolerance", seed+1, got, want)
		}
	}

	t.Logf("mean on time: decide %.3f, home %.3f, least %.3f; worst kind %.3f", mean(decided), mean(home), mean(least), mean(worst))

	if got, want := mean(decided), max(mean(home), mean(least))+0.15; got < want {
		t.Errorf("got a mean of %.3f on time, want at least %.3f", got, want)
	}

	// A decision that neglects one kind of prompts in favour of others shows in the kind
	// served worst.
	if got, want := mean(worst), mean(decided)-0.1; got < want {
		t.Errorf("got a mean of %.3f on time for the worst kind, want at least %.3f", got, want)
	}
}

func mean(all []float64) float64 {
	sum := 0.0
	for _, v := range all {
		sum += v
	}

	return sum / float64(len(all))
}

func TestSameSeedSameFigures(t *testing.T) {
	d := Draw(5)

	if got, want := Draw(5), d; !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}

	if got, want := Simulate(d, Decide, 5), Simulate(d, Decide, 5); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestPromptsAreAnsweredOrRefused(t *testing.T) {
	for _, p := range []Policy{Decide, HomeEngine, LeastLoaded} {
		r := Simulate(Draw(21), p, 21)
		if r.Prompts == 0 || r.OnTimeCount+r.Late > r.Prompts {
			t.Errorf("%s: got %+v, want prompts, and no more first events than prompts", p, r)
		}

		if p != Decide && r.OnTimeCount+r.Late != r.Prompts {
			t.Errorf("%s: got %d first events for %d prompts, want as many", p, r.OnTimeCount+r.Late, r.Prompts)
		}
	}
}
