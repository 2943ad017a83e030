package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func near(got, want, tolerance float64) bool { return math.Abs(got-want) <= tolerance }

// Hosts are slow for 0.6 s at a time. Guards against avoiding an engine long after its host was slow.
func TestSlowdownLosesItsWeight(t *testing.T) {
	var e Estimator

	if got := e.Factor(at(0), 0); got != 1 {
		t.Errorf("without figures: got %v, want 1", got)
	}

	e.ObserveSlowdown(at(0), 2.5)

	tests := []struct {
		ms   int
		want float64
	}{
		{-50, 2.5}, {0, 2.5}, {250, 1.75}, {400, 1.3}, {500, 1}, {60_000, 1},
	}

	for _, tt := range tests {
		if got := e.Slowdown(at(tt.ms)); !near(got, tt.want, 1e-9) {
			t.Errorf("after %d ms: got %v, want %v", tt.ms, got, tt.want)
		}
	}
}

// Load reports overtake responses. Guards against an older figure replacing a newer one.
func TestOlderSlowdownIsIgnored(t *testing.T) {
	var e Estimator

	e.ObserveSlowdown(at(100), 1)

	if e.ObserveSlowdown(at(0), 2.5) {
		t.Error("an older figure was taken")
	}

	if got := e.Slowdown(at(100)); got != 1 {
		t.Errorf("got %v, want 1", got)
	}
}

// Guards against a target that attracts all work, or repels it for good, by a false figure.
func TestFalseFiguresAreBoundedOrIgnored(t *testing.T) {
	tests := []struct {
		name            string
		slowdown, speed float64
		want            float64
	}{
		{"huge slowdown", 100, 0, MaxFactor},
		{"huge both", 100, 1000, MaxFactor},
		{"tiny slowdown", 1e-9, 0, MinFactor},
		{"tiny both", 1e-9, 1e-9, MinFactor},
		{"negative", -3, -1, 1},
		{"not numbers", math.NaN(), math.NaN(), 1},
		{"infinite", math.Inf(1), math.Inf(1), 1},
	}

	for _, tt := range tests {
		var e Estimator

		e.ObserveSlowdown(epoch, tt.slowdown)

		if got := e.Factor(epoch, tt.speed); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}

	var e Estimator

	for range maxSamples {
		e.ObserveFirstEvent(epoch, time.Hour, time.Nanosecond)
	}

	e.ObserveFirstEvent(epoch, -1, time.Second)
	e.ObserveFirstEvent(epoch, time.Second, 0)

	if got := e.Factor(epoch, 0); got != maxSpeed {
		t.Errorf("false times: got %v, want %v", got, maxSpeed)
	}
}

// A third of the engines is 1.3 times slower, and hosts are 2.5 times slower for 15% of the time. Every
// tenth prompt has to wait although its engine seemed to be idle. Guards against taking slow hosts and
// such waits for slow engines.
func TestSpeedIsEstimated(t *testing.T) {
	for _, want := range []float64{1, 1.3, 2, 0.8} {
		r := rand.New(rand.NewPCG(3, uint64(10*want)))

		var e Estimator

		for i := range 3 * maxSamples {
			usual := 50 + 100*r.Float64()
			took := usual * want * (0.9 + 0.2*r.Float64())
			now := at(1000 * i)
			slowdown := 1.0

			if r.Float64() < 0.15 {
				slowdown = 2.5
			}

			if i%10 == 9 {
				took += 400
			}

			e.ObserveSlowdown(now, slowdown)
			e.ObserveFirstEvent(now, time.Duration(took*slowdown*float64(time.Millisecond)), time.Duration(usual*float64(time.Millisecond)))
		}

		if got := e.Speed(); !near(got.Ratio, want, 0.05*want) || got.Samples != maxSamples {
			t.Errorf("got %+v, want %.2f", got, want)
		}
	}
}

// Guards against avoiding an engine because of a single late response, and against estimates of many
// entries with few samples each that are all shrunk away.
func TestSpeedOfFewSamplesIsShrunk(t *testing.T) {
	var e Estimator

	for range 2 {
		e.ObserveFirstEvent(epoch, 200*time.Millisecond, 100*time.Millisecond)
	}

	if got, want := e.Speed().Factor(), math.Pow(2, 0.2); !near(got, want, 1e-9) {
		t.Errorf("one entry: got %v, want %v", got, want)
	}

	var m Mean

	for range 24 {
		m.Add(e.Speed())
	}

	if got, want := m.Speed().Factor(), math.Pow(2, 48.0/56); !near(got, want, 1e-9) {
		t.Errorf("24 entries: got %v, want %v", got, want)
	}
}

func TestMeanIsWeightedBySamples(t *testing.T) {
	var m Mean

	if got := m.Speed(); got != (Speed{}) {
		t.Errorf("got %+v without estimates", got)
	}

	for _, s := range []Speed{
		{Ratio: 2, Samples: 10}, {Ratio: 1, Samples: 30},
		{Ratio: math.NaN(), Samples: 5}, {Ratio: -1, Samples: 5}, {Ratio: 3, Samples: -5}, {Ratio: 0, Samples: 5},
	} {
		m.Add(s)
	}

	if got := m.Speed(); !near(got.Ratio, 1.25, 1e-9) || got.Samples != 40 {
		t.Errorf("got %+v, want 1.25 of 40 samples", got)
	}

	m.Add(Speed{Ratio: 1e9, Samples: 1 << 40})

	if got := m.Speed(); got.Ratio > maxSpeed || got.Samples != 40+maxSamples {
		t.Errorf("got %+v after a false estimate", got)
	}
}

func TestFactorsInPercent(t *testing.T) {
	tests := []struct {
		percent int
		want    float64
	}{{100, 1}, {250, 2.5}, {1, 0.01}, {10_000, 100}, {0, 0}, {-5, 0}, {10_001, 0}}

	for _, tt := range tests {
		got := FromPercent(tt.percent)
		if got != tt.want {
			t.Errorf("%d: got %v, want %v", tt.percent, got, tt.want)
		}

		if got > 0 && Percent(got) != tt.percent {
			t.Errorf("%d: got %d back", tt.percent, Percent(got))
		}
	}

	for _, f := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		if got := Percent(f); got != 0 {
			t.Errorf("%v: got %d, want 0", f, got)
		}
	}
}

func TestEstimatorDoesNotAllocate(t *testing.T) {
	var e Estimator

	now, sink := epoch, 0.0

	if got := testing.AllocsPerRun(100, func() {
		now = now.Add(time.Millisecond)
		e.ObserveSlowdown(now, 1.5)
		e.ObserveFirstEvent(now, time.Second, time.Second)
		sink += e.Factor(now, 0)
	}); got != 0 {
		t.Errorf("got %v allocations, want none", got)
	}
}

func BenchmarkFactor(b *testing.B) {
	var e Estimator

	e.ObserveSlowdown(epoch, 2.5)
	e.ObserveFirstEvent(epoch, 3*time.Second, time.Second)
	b.ReportAllocs()

	sink := 0.0
	for b.Loop() {
		sink += e.Factor(epoch, 0)
	}

	_ = sink
}

func BenchmarkObserveFirstEvent(b *testing.B) {
	var e Estimator

	r := rand.New(rand.NewPCG(1, 1))

	b.ReportAllocs()

	for b.Loop() {
		e.ObserveFirstEvent(epoch, time.Duration(1+r.IntN(1e9)), time.Second)
	}
}
