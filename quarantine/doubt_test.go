package quarantine

import (
	"fmt"
	"testing"
	"time"

	"boragehub/failure"
)

// Guards against a sound part that is refused for good because many requests break off, whatever their parts, and
// against a part that crashes targets on because others do, too.
func TestCrashesBesideOthersWeighLess(t *testing.T) {
	type crash struct {
		at     float64
		beside Tally
	}

	every := func(gap float64, n int, beside Tally) (all []crash) {
		for i := range n {
			all = append(all, crash{gap * float64(i), beside})
		}

		return all
	}

	tests := []struct {
		name    string
		crashes []crash
		want    Status
		doubt   bool
	}{
		{"nothing else breaks", every(1, 3, Tally{0, 200}), Quarantined, false},
		{"few others break", every(1, 3, Tally{5, 500}), Quarantined, false},
		{"a tenth breaks, three", every(1.5, 3, Tally{50, 450}), Suspect, false},
		{"a tenth breaks, four", every(1.5, 4, Tally{50, 450}), Quarantined, false},
		{"a seventh breaks, four", every(1.5, 4, Tally{72, 428}), Suspect, false},
		{"a quarter breaks, four", every(1.5, 4, Tally{100, 300}), Suspect, false},
		{"a quarter breaks, five", every(1.5, 5, Tally{100, 300}), Quarantined, true},
		{"most break", every(1.5, 10, Tally{300, 200}), Clear, false},
		{"most break, then none", append(every(1.5, 10, Tally{300, 200}), crash{20, Tally{}}, crash{21, Tally{}}, crash{22, Tally{}}), Quarantined, false},
		{"many targets at once, then others", append(every(0.01, 3, Tally{}), crash{4, Tally{100, 300}}, crash{5, Tally{100, 300}}), Quarantined, false},
	}

	for _, tt := range tests {
		tr := NewPartTracker(PartTrackerConfig{FirstProbe: 5 * time.Second})
		now := epoch

		for i, c := range tt.crashes {
			now = seconds(c.at)
			k := crashedAt(i, now, "a")
			k.Beside = c.beside
			tr.RecordCrash(now, k)
		}

		v := tr.Check(now, []string{"a"})
		if v.Status != tt.want || v.RetryAfter > 0 != tt.doubt {
			t.Errorf("%s: got %v after %d crashes, Retry-After %v, want %v, in doubt: %v", tt.name, v.Status, v.Crashes, v.RetryAfter, tt.want, tt.doubt)
		}

		if got := v.Err(); tt.doubt && failure.KindOf(got) != failure.Unavailable {
			t.Errorf("%s: got error %v, want one that names when to come again", tt.name, got)
		}
	}
}

// Guards against parts that are suspected because many targets without them ended at the same moment.
func TestTargetsThatEndAtOnceHaveAnotherCause(t *testing.T) {
	tr := NewPartTracker(PartTrackerConfig{})

	for n := range 6 {
		at := seconds(2 * float64(n))
		tr.RecordCrash(at, crashedAt(10*n, at, "rare", "common"))

		for i := 1; i < 8; i++ {
			tr.RecordCrash(at, crashedAt(10*n+i, at, "common"))
		}
	}

	for part, want := range map[string]Status{"rare": Clear, "common": Quarantined} {
		if got := tr.Check(seconds(12), []string{part}).Status; got != want {
			t.Errorf("%s: got %v, want %v", part, got, want)
		}
	}
}

// Guards against a quarantined part that nobody tries as the first entry gets no prompt with it, and against one that all
// entries try.
func TestEntriesTryQuarantinedPartsInTurn(t *testing.T) {
	const entries = 6

	all := make([]*PartTracker, entries)
	for i := range all {
		all[i] = NewPartTracker(PartTrackerConfig{FirstProbe: 5 * time.Second})
	}

	crashes := 0
	crash := func(at float64) {
		crashes++

		for _, tr := range all {
			tr.RecordCrash(seconds(at), crashedAt(crashes, seconds(at), "a"))
		}
	}

	for i := range 3 {
		crash(float64(i))
	}

	var tries []string

	// The entry of the first rank gets no prompt with the part.
	for at := 2.0; at < 400; at++ {
		for rank := 1; rank < entries; rank++ {
			if all[rank].BeginProbe(seconds(at), "a", rank) {
				tries = append(tries, fmt.Sprintf("%.0f by %d", at, rank))

				crash(at)
			}
		}
	}

	if got, want := fmt.Sprint(tries), "[10 by 1 133 by 1 376 by 1]"; got != want {
		t.Errorf("got tries at %s, want %s", got, want)
	}
}

// Guards against counts that keep what ended long ago, or hide a series of crashes behind what was complete before.
func TestRecentTally(t *testing.T) {
	var r RecentTally

	add := func(s float64, broken, complete int) { r.Add(seconds(s), Tally{broken, complete}) }
	add(0, 5, 0)
	add(5, 0, 1000)
	add(11.9, 30, 40)
	add(12, 10, 10)

	tests := []struct {
		at   float64
		want Tally
	}{
		{12, Tally{40, 50}}, // in the shorter span
		{16, Tally{40, 50}},
		{30, Tally{}},
	}

	for _, tt := range tests {
		if got := r.Worst(seconds(tt.at)); got != tt.want {
			t.Errorf("at %v s: got %+v, want %+v", tt.at, got, tt.want)
		}
	}
}

// Guards against a prompt that is told to come again although one of its parts is refused for good, since another one
// is in doubt.
func TestCertainPartDecidesOverOneInDoubt(t *testing.T) {
	tr := NewPartTracker(PartTrackerConfig{FirstProbe: 5 * time.Second})

	for i := range 5 {
		at := seconds(1.5 * float64(i))

		doubt := crashedAt(i, at, "doubt")
		doubt.Beside = Tally{100, 300}
		tr.RecordCrash(at, doubt)
		tr.RecordCrash(at.Add(700*time.Millisecond), crashedAt(10+i, at.Add(700*time.Millisecond), "certain"))
	}

	for _, parts := range [][]string{{"doubt", "certain"}, {"certain", "doubt"}} {
		v := tr.Check(seconds(7), parts)
		if got, want := failure.KindOf(v.Err()), failure.Quarantined; got != want || v.Quarantined != 2 {
			t.Errorf("%v: got kind %v and %d parts quarantined, want %v and 2", parts, got, v.Quarantined, want)
		}
	}
}
