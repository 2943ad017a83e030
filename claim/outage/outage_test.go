package outage

import (
	"testing"
	"time"
)

// The log goes away while riders book, and in some cases a home dies with runs
// that it has not written. A rider would notice a refusal, or a second booking.
func TestOutage(t *testing.T) {
	const length, dies = 3 * time.Minute, time.Minute

	cases := []struct {
		name  string
		cfg   Config
		least float64 // the least share served
		most  float64
	}{
		// Who comes in the last half minute is still there when the log is back.
		{"refuse", Config{Outage: length}, 0, 0.17},
		{"home", Config{Outage: length, LogLess: true}, 1, 1},
		{"home, one dies", Config{Outage: length, LogLess: true, Dies: dies}, 0.7, 0.95},
		{"home, one dies, answers lost", Config{Outage: length, LogLess: true, Dies: dies, LostAnswers: 0.02}, 0.7, 0.95},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Run(c.cfg)
			share := float64(got.Served) / float64(got.Calls)

			if share < c.least || share > c.most || got.Doubled != 0 {
				t.Errorf("got %+v (share %.3f), want a share from %v to %v and none doubled", got, share, c.least, c.most)
			}

			if again := Run(c.cfg); got != again {
				t.Errorf("same seed: got %+v and %+v, want the same", got, again)
			}
		})
	}
}

// BenchmarkHour reports what became of the calls of an hour's outage.
func BenchmarkHour(b *testing.B) {
	const dies = 20 * time.Minute

	for _, c := range []struct {
		name string
		cfg  Config
	}{
		{"refuse", Config{}},
		{"home", Config{LogLess: true}},
		{"home_dies", Config{LogLess: true, Dies: dies}},
		{"home_dies_answers_lost", Config{LogLess: true, Dies: dies, LostAnswers: 0.02}},
	} {
		b.Run(c.name, func(b *testing.B) {
			var calls, served, refused, unknown, doubled int

			for seed := range b.N {
				c.cfg.Seed = uint64(seed + 1)
				r := Run(c.cfg)
				calls += r.Calls
				served += r.Served
				refused += r.Refused
				unknown += r.Unknown
				doubled += r.Doubled
			}

			n := float64(calls)
			b.ReportMetric(float64(served)/n, "served")
			b.ReportMetric(float64(refused)/n, "refused")
			b.ReportMetric(float64(unknown)/n, "unknown")
			b.ReportMetric(float64(doubled), "doubled")
			b.ReportMetric(n/float64(b.N), "calls/run")
		})
	}
}
