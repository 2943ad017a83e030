package repeated

import (
	"strings"
	"testing"
)

// Guards against a way to divide repeats that exceeds what is allowed on short days with several disruptions at
// once, or that allows hardly any.
func TestSharedRepeatsStayWithinTheBudget(t *testing.T) {
	for _, d := range Deployments() {
		repeats := 0.0

		for seed := range uint64(10) {
			r := Simulate(d, Shared, seed)
			repeats += r.Repeats / 10

			if r.Most > 1 {
				t.Errorf("%+v, seed %d: got %.2f of what is allowed, want 1 at most", d, seed, r.Most)
			}
		}

		if repeats < 0.01 {
			t.Errorf("%+v: got %.3f repeats for each request, want more", d, repeats)
		}
	}
}

func TestTableHasAllWays(t *testing.T) {
	var b strings.Builder

	if err := Write(&b, 1, 1); err != nil {
		t.Fatal(err)
	}

	for _, w := range Ways() {
		if got, want := strings.Count(b.String(), "  "+w.String()+" "), len(Deployments()); got != want {
			t.Errorf("%s: got %d lines, want %d", w, got, want)
		}
	}
}
