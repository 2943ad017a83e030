package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"boragehub/pulse"
)

// A VM is paused together with its engine. Its connections stay open, so no request fails and
// callers wait until they disconnect. Other targets are seen, so this process is not the one that
// is paused.
func TestUnseenTargetIsSuspectedThenUnresponsive(t *testing.T) {
	report := func(r *Roster, ms int, address string) { r.ObserveReport(at(ms), pulse.Report{Engine: address}) }
	const a, b = "10.0.0.1:80", "10.0.0.2:80"

	tests := []struct {
		name                    string
		setup                   func(r *Roster)
		meanwhile               func(r *Roster, ms int)
		checks                  int
		suspected, unresponsive bool
	}{
		{"one check", func(r *Roster) { report(r, 0, a) }, func(r *Roster, ms int) { report(r, ms, b) }, 2, false, false},
		{"two checks", func(r *Roster) { report(r, 0, a) }, func(r *Roster, ms int) { report(r, ms, b) }, 3, true, false},
		{"four checks", func(r *Roster) { report(r, 0, a) }, func(r *Roster, ms int) { report(r, ms, b) }, 5, true, true},
		{"its answers continue", func(r *Roster) { report(r, 0, a) }, func(r *Roster, ms int) { report(r, ms, b); r.ObserveAnswer(at(ms), "a") }, 9, false, false},
		{"no target is seen", func(r *Roster) { report(r, 0, a); report(r, 0, b) }, func(*Roster, int) {}, 9, false, false},
		{"long report interval", func(r *Roster) { slow := pulse.Report{Engine: a, Interval: time.Second}; r.ObserveReport(at(0), slow) }, func(r *Roster, ms int) { report(r, ms, b) }, 5, false, false},
		{"several reports at a long interval missing", func(r *Roster) { slow := pulse.Report{Engine: a, Interval: time.Second}; r.ObserveReport(at(0), slow) }, func(r *Roster, ms int) { report(r, ms, b) }, 12, true, false},
		{"never reported", func(*Roster) {}, func(r *Roster, ms int) { report(r, ms, b) }, 9, false, false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRoster()
			tt.setup(r)

			for i := range tt.checks {
				tt.meanwhile(r, 250*i)
				r.Tick(at(250*i + 1))
			}

			if got := candidatesByID(r, at(250*tt.checks))["a"].HeartbeatMissing; got != tt.suspected {
				t.Errorf("got suspected %v, want %v", got, tt.suspected)
			}

			if got := len(r.Unresponsive()) > 0; got != tt.unresponsive {
				t.Errorf("got unresponsive %v, want %v", got, tt.unresponsive)
			}

			report(r, 250*tt.checks, a)

			if got := candidatesByID(r, at(250*tt.checks))["a"].HeartbeatMissing; got || len(r.Unresponsive()) > 0 {
				t.Error("after a report: got a suspected or unresponsive, want neither")
			}
		})
	}
}

// A caller waits for a VM that has just been paused, and is about to disconnect. A single
// overdue load report has to suffice to detect the pause, unless this process is the one that is
// paused.
func TestReportOverdue(t *testing.T) {
	const a, b = "10.0.0.1:80", "10.0.0.2:80"

	tests := []struct {
		name      string
		interval  time.Duration
		meanwhile func(r *Roster)
		want      bool
	}{
		{"next report is due", 0, func(r *Roster) { r.ObserveReport(at(140), pulse.Report{Engine: b}) }, false},
		{"next report is overdue", 0, func(r *Roster) { r.ObserveReport(at(160), pulse.Report{Engine: b}) }, true},
		{"next report is overdue by the answer of another target", 0, func(r *Roster) { r.ObserveAnswer(at(160), "b") }, true},
		{"no target is seen", 0, func(*Roster) {}, false},
		{"its answers continue", 0, func(r *Roster) { r.ObserveAnswer(at(100), "a"); r.ObserveAnswer(at(160), "b") }, false},
		{"seen again", 0, func(r *Roster) { r.ObserveAnswer(at(160), "b"); r.ObserveReport(at(170), pulse.Report{Engine: a}) }, false},
		{"long report interval", time.Second, func(r *Roster) { r.ObserveAnswer(at(1000), "b") }, false},
		{"report at a long interval is overdue", time.Second, func(r *Roster) { r.ObserveAnswer(at(1060), "b") }, true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRoster()
			r.ObserveReport(at(0), pulse.Report{Engine: a, Interval: tt.interval})
			tt.meanwhile(r)

			if got := r.ReportOverdue("a"); got != tt.want {
				t.Errorf("got overdue %v, want %v", got, tt.want)
			}
		})
	}

	r := newTestRoster()
	r.ObserveAnswer(at(1000), "b")

	if r.ReportOverdue("a") || r.ReportOverdue("nobody") {
		t.Error("got an overdue report of a target that never reported, want none")
	}
}

// Guards against giving up the requests at engines that are only probed: when the probes end, no load reports are
// expected, so that none are missing.
func TestProbedEngineIsNotSuspectedWhenProbesEnd(t *testing.T) {
	r := newTestRoster()
	for i := range 70 {
		r.ObserveListing(at(0), testListing(fmt.Sprintf("e%d", i), fmt.Sprintf("10.0.1.%d:80", i), 1))
	}

	subscribed, interval := r.Subscriptions(at(0), func(string) bool { return true })

	_, unsubscribed := r.Unproven(at(0), 1000)
	if len(unsubscribed) == 0 {
		t.Fatal("got no engine without a subscription, want some")
	}

	probed := unsubscribed[0]
	id, _ := r.ByAddress(probed)

	for ms := 0; ms <= 10_000; ms += 250 {
		for _, a := range subscribed {
			r.ObserveReport(at(ms), pulse.Report{Engine: a, Clock: int64(ms + 1), Interval: interval})
		}

		if ms <= 3500 && ms%1250 == 0 {
			r.ObserveReport(at(ms), pulse.Report{Engine: probed, Clock: int64(ms + 1), Interval: interval})
		}

		r.Tick(at(ms))

		if slices.Contains(r.Unresponsive(), id) {
			t.Fatalf("got the engine unresponsive after %d ms, want it not", ms)
		}
	}
}
