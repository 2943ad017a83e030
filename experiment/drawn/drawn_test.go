package drawn

import (
	"reflect"
	"slices"
	"testing"
)

// drawnSeeds is how many deployments the tests play.
const drawnSeeds = 40

// A decision whose figures fit the deployments that it was measured on loses to simple
// ones on others; nobody notices until a new customer comes. It is played on deployments
// that nobody chose: from 4 to 24 engines that read 20 to 300 tokens a ms, up to four
// kinds of prompts of 100 to 30,000 tokens, memory for 3 to 40 of them, and a load that
// goes up to a third more than can be read.
func TestDecisionHoldsOnDrawnDeployments(t *testing.T) {
	var decided, home, least, worst []float64

	for seed := range uint64(drawnSeeds) {
		d := Draw(seed + 1)
		r := Play(d, Decide, seed+1)
		h, l := Play(d, Home, seed+1).OnTime(), Play(d, Least, seed+1).OnTime()

		decided, home, least = append(decided, r.OnTime()), append(home, h), append(least, l)
		worst = append(worst, slices.Min(r.ByKind))

		// A play is short and a single one may go either way by a little.
		if got, want := r.OnTime(), max(h, l)-0.02; got < want {
			t.Errorf("seed %d: got %.3f on time, want the %.3f of the better simple way", seed+1, got, want)
		}
	}

	t.Logf("on time: decided %.3f, home %.3f, least %.3f; worst kind %.3f", mean(decided), mean(home), mean(least), mean(worst))

	if got, want := mean(decided), max(mean(home), mean(least))+0.15; got < want {
		t.Errorf("got %.3f on time on the mean, want %.3f", got, want)
	}

	// What is left behind for the sake of others shows in the kind that is served worst.
	if got, want := mean(worst), mean(decided)-0.1; got < want {
		t.Errorf("got %.3f for the kind served worst, want %.3f", got, want)
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

	if got, want := Play(d, Decide, 5), Play(d, Decide, 5); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestWhatComesIsServedOrRefused(t *testing.T) {
	for _, p := range []Policy{Decide, Home, Least} {
		r := Play(Draw(21), p, 21)
		if r.Asked == 0 || r.InTime+r.Late > r.Asked {
			t.Errorf("%s: got %+v", p, r)
		}

		if p != Decide && r.InTime+r.Late != r.Asked {
			t.Errorf("%s: got %d answered of %d, want all", p, r.InTime+r.Late, r.Asked)
		}
	}
}
