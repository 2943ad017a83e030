package side

import (
	"testing"
	"time"

	"boragehub/backpressure"
	"boragehub/engine"
	"boragehub/failure"
	"boragehub/quarantine"
)

var epoch = time.Unix(1000, 0)

// Guards against a target that names a rate limit and gets more from its side process, through which
// the requests of all entries pass, and against a limit that isn't used.
func TestAdmissionKeepsToTheTargetsRateLimit(t *testing.T) {
	const (
		step   = 5 * time.Millisecond
		window = 4 * time.Second
	)

	for _, limit := range []float64{0.2, 1, 4.6, 30} {
		s := newTargetState(1000)
		s.observe(epoch, engine.Info{State: "ready", BootID: "b"}, engine.Load{})
		s.observeSignals(epoch, backpressure.Signals{RateLimit: limit})

		var admitted []time.Time

		from := 0

		for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(step) {
			id, err := s.admit(now, quarantine.Fingerprint{}, "")
			if err != nil {
				if failure.KindOf(err) != failure.Throttled || failure.As(err).RetryAfter() <= 0 {
					t.Fatalf("limit of %v: got %v, want a refusal with a time to retry", limit, err)
				}

				continue
			}

			s.finish(now, id, false)

			admitted = append(admitted, now)
			for now.Sub(admitted[from]) > window {
				from++
			}

			if got, want := float64(len(admitted)-from), 1.5*limit*window.Seconds()+5; got > want {
				t.Fatalf("limit of %v: got %.0f requests in 4 s, want %.1f at most", limit, got, want)
			}
		}

		if got, want := float64(len(admitted)), 0.8*limit*20-1; got < want {
			t.Errorf("limit of %v: got %.0f requests in 20 s, want %.1f at least", limit, got, want)
		}

		s.observeSignals(epoch, backpressure.Signals{})

		for range 100 {
			if _, err := s.admit(epoch, quarantine.Fingerprint{}, ""); err != nil {
				t.Fatalf("after the limit: got %v, want it admitted", err)
			}
		}
	}
}

// Guards against entries that all return for the same slot: all but one would be refused again, and
// each refusal costs a retry.
func TestThrottledEntriesReturnOneAfterTheOther(t *testing.T) {
	s := newTargetState(1000)
	s.observe(epoch, engine.Info{State: "ready", BootID: "b"}, engine.Load{})
	s.observeSignals(epoch, backpressure.Signals{RateLimit: 1})

	if _, err := s.admit(epoch, quarantine.Fingerprint{}, ""); err != nil {
		t.Fatal(err)
	}

	last := time.Duration(0)

	for i := range 4 {
		_, err := s.admit(epoch, quarantine.Fingerprint{}, "")
		if got := failure.As(err).RetryAfter(); got-last < time.Second {
			t.Errorf("refusal %d: got a time of %v after %v, want a second more", i, got, last)
		} else {
			last = got
		}
	}
}
