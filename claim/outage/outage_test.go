package outage

import (
	"testing"
	"time"
)

// The log is down while calls arrive, and in some cases an owner crashes with
// runs that it has not written. The test guards against needless refusals and
// against a second run of a call.
func TestOutage(t *testing.T) {
	const length, crashAfter = 3 * time.Minute, time.Minute

	cases := []struct {
		name     string
		cfg      Config
		minShare float64 // the minimum share of calls served
		maxShare float64
	}{
		// Callers of the last half minute still retry when the log is back.
		{"refuse in outage", Config{Outage: length}, 0, 0.17},
		{"run in outage", Config{Outage: length, RunInOutage: true}, 1, 1},
		{"run in outage, one process crashes", Config{Outage: length, RunInOutage: true, CrashAfter: crashAfter}, 0.7, 0.95},
		{"run in outage, one process crashes, responses lost", Config{Outage: length, RunInOutage: true, CrashAfter: crashAfter, LostResponses: 0.02}, 0.7, 0.95},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Run(c.cfg)
			share := float64(got.Served) / float64(got.Calls)

			if share < c.minShare || share > c.maxShare || got.RanTwice != 0 {
				t.Errorf("got %+v (share %.3f), want a share from %v to %v and none that ran twice", got, share, c.minShare, c.maxShare)
			}

			if again := Run(c.cfg); got != again {
				t.Errorf("same seed: got %+v and %+v, want the same", got, again)
			}
		})
	}
}

// BenchmarkHour reports the results of the calls of an outage of an hour.
func BenchmarkHour(b *testing.B) {
	const crashAfter = 20 * time.Minute

	for _, c := range []struct {
		name string
		cfg  Config
	}{
		{"refuse", Config{}},
		{"home", Config{RunInOutage: true}},
		{"home_dies", Config{RunInOutage: true, CrashAfter: crashAfter}},
		{"home_dies_answers_lost", Config{RunInOutage: true, CrashAfter: crashAfter, LostResponses: 0.02}},
	} {
		b.Run(c.name, func(b *testing.B) {
			var calls, served, refused, unknown, ranTwice int

			for seed := range b.N {
				c.cfg.Seed = uint64(seed + 1)
				r := Run(c.cfg)
				calls += r.Calls
				served += r.Served
				refused += r.Refused
				unknown += r.Unknown
				ranTwice += r.RanTwice
			}

			n := float64(calls)
			b.ReportMetric(float64(served)/n, "served")
			b.ReportMetric(float64(refused)/n, "refused")
			b.ReportMetric(float64(unknown)/n, "unknown")
			b.ReportMetric(float64(ranTwice), "doubled")
			b.ReportMetric(n/float64(b.N), "calls/run")
		})
	}
}
