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
		{"its answers go on", func(r *Roster) { beat(r, 0, a) }, func(r *Roster, ms int) { beat(r, ms, b); r.Heard(at(ms), "a") }, 9, false, false},
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

// A caller has waited at a machine that begins to stand still, and is about to leave. A
// pulse that is overdue has to do for telling it, as long as it isn't this process that
// stands still.
func TestTargetIsLateWhenItsPulseIsOverdue(t *testing.T) {
	const a, b = "10.0.0.1:80", "10.0.0.2:80"

	tests := []struct {
		name      string
		pace      time.Duration
		meanwhile func(r *Roster)
		want      bool
	}{
		{"its next pulse is due", 0, func(r *Roster) { r.Pulse(at(140), pulse.Pulse{Engine: b}) }, false},
		{"its next pulse is overdue", 0, func(r *Roster) { r.Pulse(at(160), pulse.Pulse{Engine: b}) }, true},
		{"another's answer tells so", 0, func(r *Roster) { r.Heard(at(160), "b") }, true},
		{"nobody is heard", 0, func(*Roster) {}, false},
		{"its answers go on", 0, func(r *Roster) { r.Heard(at(100), "a"); r.Heard(at(160), "b") }, false},
		{"it is heard again", 0, func(r *Roster) { r.Heard(at(160), "b"); r.Pulse(at(170), pulse.Pulse{Engine: a}) }, false},
		{"its pulses come seldom", time.Second, func(r *Roster) { r.Heard(at(1000), "b") }, false},
		{"a seldom one is overdue", time.Second, func(r *Roster) { r.Heard(at(1060), "b") }, true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := open()
			r.Pulse(at(0), pulse.Pulse{Engine: a, Pace: tt.pace})
			tt.meanwhile(r)

			if got := r.Late("a"); got != tt.want {
				t.Errorf("got late %v, want %v", got, tt.want)
			}
		})
	}

	r := open()
	r.Heard(at(1000), "b")

	if r.Late("a") || r.Late("nobody") {
		t.Error("got one late that never beat, want it not missed")
	}
}

// Frees of contexts wait for a machine that stands still, and for a moment after it.
func TestStandstillIsToldUntilAMomentAfter(t *testing.T) {
	const a, b = "10.0.0.1:80", "10.0.0.2:80"

	r := open()
	r.Pulse(at(0), pulse.Pulse{Engine: a})

	for i := range 4 {
		if got, want := r.Still(at(250*i)), i > 2; got != want {
			t.Errorf("after %d looks: got still %v, want %v", i, got, want)
		}

		r.Pulse(at(250*i), pulse.Pulse{Engine: b})
		r.Tick(at(250 * i))
	}

	r.Pulse(at(800), pulse.Pulse{Engine: a})
	r.Tick(at(1000))

	if !r.Still(at(1500)) || r.Still(at(1800)) {
		t.Errorf("got still %v and %v, want it for a second", r.Still(at(1500)), r.Still(at(1800)))
	}

	// It stands still again, and the register drops it as it is not heard there either.
	for i := range 4 {
		r.Pulse(at(2000+250*i), pulse.Pulse{Engine: b})
		r.Tick(at(2000 + 250*i))
	}

	r.Drop(at(4000), "a")

	if !r.Still(at(9000)) || r.Still(at(10_100)) {
		t.Errorf("after the drop: got still %v and %v, want it for six seconds", r.Still(at(9000)), r.Still(at(10_100)))
	}
}
