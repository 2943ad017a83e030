package quarantine

import (
	"fmt"
	"testing"
)

// Guards against a sound request that is refused for a day, and against one that crashes targets and is tried more often
// than three times.
func TestRefusedRequestIsTriedThrice(t *testing.T) {
	const entries = 6

	all := make([]*Tracker, entries)
	for i := range all {
		all[i] = NewTracker(TrackerConfig{CrashLimit: 3})
	}

	f, crashes := fingerprint(1), 0
	crash := func(at float64) {
		crashes++

		for _, tr := range all {
			tr.RecordCrash(seconds(at), crashOf(crashes, seconds(at), f))
		}
	}

	for i := range 3 {
		crash(float64(i))
	}

	var tries []string

	for at := 2.0; at < 80_000; at++ {
		for rank, tr := range all {
			if tr.BeginProbe(seconds(at), f, rank) {
				tries = append(tries, fmt.Sprintf("%.0f by %d", at, rank))

				crash(at)
			}
		}
	}

	if got, want := fmt.Sprint(tries), "[62 by 0 182 by 0 422 by 0]"; got != want {
		t.Errorf("got tries at %s, want %s", got, want)
	}

	tr := NewTracker(TrackerConfig{CrashLimit: 3})
	for i := range 3 {
		tr.RecordCrash(seconds(0), crashOf(i, seconds(0), f))
	}

	if tr.BeginProbe(seconds(64), f, 2) || !tr.BeginProbe(seconds(66), f, 2) || tr.BeginProbe(seconds(67), f, 2) {
		t.Error("got a try of the third rank at another time than 66 s, or two")
	}

	tr.RecordCompletion(seconds(67), f)

	if got, _ := tr.Check(seconds(68), f); got != Clear {
		t.Errorf("got %v after a response, want clear", got)
	}
}
