package roster

import (
	"testing"
	"time"

	"boragehub/pulse"
)

// A machine stands still with its engine. Its connections stay, so nothing fails, and
// its callers wait until they leave. Others are heard, so it isn't this process that
// stands still.
func TestTargetThatIsNotHeardGetsNoWork(t *testing.T) {
	beat := func(r *Roster, ms int, address string) { r.Pulse(at(ms), pulse.Pulse{Engine: address}) }
	const a, b = "10.0.0.1:80", "10.0.0.2:80"

	tests := []struct {
		name          string
		beforehand    func(r *Roster)
		meanwhile     func(r *Roster, ms int)
		looks         int
		quiet, silent bool
	}{
		{"one look", func(r *Roster) { beat(r, 0, a) }, func(r *Roster, ms int) { beat(r, ms, b) }, 2, false, false},
		{"two looks", func(r *Roster) { beat(r, 0, a) }, func(r *Roster, ms int) { beat(r, ms, b) }, 3, true, false},
		{"four looks", func(r *Roster) { beat(r, 0, a) }, func(r *Roster, ms int) { beat(r, ms, b) }, 5, true, true},
		{"its answers go on", func(r *Roster) { beat(r, 0, a) }, func(r *Roster, ms int) { beat(r, ms, b); r.Heard("a") }, 9, false, false},
		{"nobody is heard", func(r *Roster) { beat(r, 0, a); beat(r, 0, b) }, func(*Roster, int) {}, 9, false, false},
		{"its pulses come seldom", func(r *Roster) { slow := pulse.Pulse{Engine: a, Pace: time.Second}; r.Pulse(at(0), slow) }, func(r *Roster, ms int) { beat(r, ms, b) }, 5, false, false},
		{"several of them are missing", func(r *Roster) { slow := pulse.Pulse{Engine: a, Pace: time.Second}; r.Pulse(at(0), slow) }, func(r *Roster, ms int) { beat(r, ms, b) }, 12, true, false},
		{"it never beat", func(*Roster) {}, func(r *Roster, ms int) { beat(r, ms, b) }, 9, false, false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := open()
			tt.beforehand(r)

			for i := range tt.looks {
				tt.meanwhile(r, 250*i)
				r.Tick(at(250*i + 1))
			}

			if got := names(r, at(250*tt.looks))["a"].Quiet; got != tt.quiet {
				t.Errorf("got quiet %v, want %v", got, tt.quiet)
			}

			if got := len(r.Silent()) > 0; got != tt.silent {
				t.Errorf("got silent %v, want %v", got, tt.silent)
			}

			beat(r, 250*tt.looks, a)

			if got := names(r, at(250*tt.looks))["a"].Quiet; got || len(r.Silent()) > 0 {
				t.Error("after a pulse: got it quiet, want it back")
			}
		})
	}
}
