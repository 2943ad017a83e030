package roster

import (
	"testing"
	"time"

	"boragehub/pulse"
)

// Guards against a target that refused with Retry-After and gets requests before that time, because
// the pause is shortened, forgotten or ended by something else that is learned of the target.
func TestRefusingTargetGetsNothingBeforeItsTime(t *testing.T) {
	const address = "10.0.0.1:80"

	tests := []struct {
		name string
		do   func(r *Roster)
		want time.Duration
	}{
		{"nothing else", func(*Roster) {}, 3 * time.Second},
		{"a shorter time", func(r *Roster) { r.ObserveRetryAfter(at(10), "a", time.Second) }, 3 * time.Second},
		{"a longer time", func(r *Roster) { r.ObserveRetryAfter(at(10), "a", 4*time.Second) }, 4010 * time.Millisecond},
		{"newer weights", func(r *Roster) { r.ObserveVersion("a", "m", 2, "answer") }, 3 * time.Second},
		{"a load report", func(r *Roster) { r.ObserveReport(at(10), pulse.Report{Engine: address, Model: "m", Version: 1}) }, 3 * time.Second},
		{"a response to an earlier request", func(r *Roster) { r.ObserveRateLimit(at(10), "a", 0) }, 3 * time.Second},
		{"listed again", func(r *Roster) {
			r.ObserveRemoval(at(10), "a")
			r.ObserveListing(at(20), testListing("a", address, 1))
		}, 3 * time.Second},
		{"restarted", func(r *Roster) {
			r.ObserveReport(at(10), pulse.Report{Engine: address, Model: "m", Version: 1, StartedMs: 1000})
			r.ObserveReport(at(20), pulse.Report{Engine: address, Model: "m", Version: 1, StartedMs: 2000})
		}, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRoster()
			r.ObserveRetryAfter(at(0), "a", 3*time.Second)
			tt.do(r)

			for _, now := range []time.Time{at(30), epoch.Add(tt.want - time.Millisecond), epoch.Add(tt.want)} {
				if now.Before(at(30)) {
					continue // before the last step
				}

				want := now.Before(epoch.Add(tt.want))

				if got := candidatesByID(r, now)["a"].Throttled; got != want {
					t.Errorf("after %v: got it throttled %v, want %v", now.Sub(epoch), got, want)
				}

				if got := r.Admit(now, "a"); got == want {
					t.Errorf("after %v: got a request admitted %v, want %v", now.Sub(epoch), got, !want)
				}
			}
		})
	}
}
