package crashed

import (
	"strings"
	"testing"
)

// Guards against a way that lets a part crash engines on, or that refuses sound prompts for it or for crashes with
// other causes.
func TestPartsThatCrashEnginesAreFound(t *testing.T) {
	for _, d := range Deployments() {
		for seed := range uint64(5) {
			r := Simulate(d, ByPart, seed)

			if r.Late > 3 {
				t.Errorf("%+v, seed %d: got %d prompts with one part late, want 3 at most", d, seed, r.Late)
			}

			if r.Refused > 0.01 {
				t.Errorf("%+v, seed %d: got %.3f of the sound prompts refused, want 0.01 at most", d, seed, r.Refused)
			}
		}
	}
}

// Guards against sound parts that are refused because engines crash in series for other reasons, and against a bad part
// that crashes engines on beside them.
func TestPartsAreToldApartBesideSeriesOfCrashes(t *testing.T) {
	for _, d := range SeriesDeployments() {
		for seed := range uint64(3) {
			r := Simulate(d, ByPart, seed)

			if r.Late > 3 {
				t.Errorf("%+v, seed %d: got %d prompts with the bad part late, want 3 at most", d, seed, r.Late)
			}

			if refused, want := r.Refused*float64(r.Sound), 5+float64(r.Sound)/500; refused > want {
				t.Errorf("%+v, seed %d: got %.0f of %d sound prompts refused, want %.0f at most", d, seed, refused, r.Sound, want)
			}
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
