package limited

import (
	"strings"
	"testing"
)

// Guards against a way to divide limits that breaks them, or leaves much of them unused, at sizes
// that the deployments of today don't have.
func TestSlotsKeepToLimitsAtAllSizes(t *testing.T) {
	for _, d := range Deployments() {
		for seed := range uint64(3) {
			r := Simulate(d, Slots, seed)

			if r.Most > 1 {
				t.Errorf("%+v, seed %d: got %.2f of what is allowed in 4 s, want 1 at most", d, seed, r.Most)
			}
		}
	}

	if r := Simulate(Deployments()[1], Slots, 1); r.Used < 0.6 {
		t.Errorf("all targets limited: got %.2f of the limits used, want 0.6 at least", r.Used)
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
