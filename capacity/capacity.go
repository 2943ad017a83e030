// Package capacity estimates by which factor work on one target currently takes longer than is usual
// for its service.
//
// # Model
//
// The factor is the product of two figures. The slowdown of a target's host is reported by the target
// itself, with its responses. It lasts for parts of a second, so its weight decreases linearly with its
// age. The speed of the target is estimated from the times to the first event of prompts whose target
// had nothing else to prefill, compared with the times that are usual for the service. It lasts until
// the target restarts.
//
// One process sends few prompts to an idle target, so processes exchange their speeds with the number
// of samples behind them. Mean combines them, and Speed.Factor shrinks the mean towards 1 as long as
// the samples are few.
//
// All figures come from outside and may be false: what can't be a figure is ignored, and the factor
// stays within MinFactor and MaxFactor.
//
// # Example
//
//	var e capacity.Estimator
//	e.ObserveSlowdown(now, 2.5)
//	cost := usual * e.Factor(now, 0)
package capacity

import (
	"math"
	"slices"
	"time"
)

// Bounds of the combined factor. A false figure keeps work away from its target at most as far as a
// target that is ten times slower, and attracts at most twice the work.
const (
	MinFactor = 0.5
	MaxFactor = 10
)

// Bounds of the speed of a target.
const (
	minSpeed = 0.5
	maxSpeed = 4
)

const (
	// slowdownLifetime is the age from which a reported slowdown has no weight. Hosts change many times
	// a second.
	slowdownLifetime = 500 * time.Millisecond
	// maxSamples is the number of most recent prompts that the speed is estimated from.
	maxSamples = 32
	// priorSamples is the weight, in samples, of the assumption that a target has the usual speed.
	priorSamples = 8
	// minDifference is the difference from 1 below which a factor counts as 1, and minSpeedDifference
	// that of a speed. With the random differences between figures of equal targets, all entries would
	// prefer the same few targets until load reports show it. Speeds are the less exact figures, since
	// prompts whose target seemed to be idle may have had to wait.
	minDifference      = 0.1
	minSpeedDifference = 0.2
	// maxPercent is the highest figure in percent that is taken for one.
	maxPercent = 10_000
)

// Estimator estimates the slowdown and the speed of one target. The zero value has no figures. It is
// not safe for concurrent use.
type Estimator struct {
	slowdown   float64
	slowdownAt time.Time // when the target measured it; zero if it reported none

	logs  [maxSamples]float64 // logarithms of the most recent ratios
	count int
	next  int // index to overwrite next
	ratio float64
	own   float64 // factor of Speed; zero without samples
}

// ObserveSlowdown records the slowdown that the target reported, as a factor, and when it measured it.
// It reports whether the figure is the newest one; others are ignored, as are figures that are not
// positive numbers.
func (e *Estimator) ObserveSlowdown(measuredAt time.Time, factor float64) bool {
	if !valid(factor) || measuredAt.Before(e.slowdownAt) {
		return false
	}

	e.slowdown, e.slowdownAt = min(max(factor, MinFactor), MaxFactor), measuredAt

	return true
}

// Slowdown returns the factor by which work currently takes longer because of the target's host; 1
// when unknown or out of date.
func (e *Estimator) Slowdown(now time.Time) float64 {
	if e.slowdownAt.IsZero() {
		return 1
	}

	age := max(now.Sub(e.slowdownAt), 0)
	weight := max(1-float64(age)/float64(slowdownLifetime), 0)

	return 1 + (e.slowdown-1)*weight
}

// ObserveFirstEvent records the time to the first event of a prompt whose target had nothing else to
// prefill, and the time that is usual in the service. Call it when the event arrives.
func (e *Estimator) ObserveFirstEvent(now time.Time, took, usual time.Duration) {
	if took <= 0 || usual <= 0 {
		return
	}

	e.logs[e.next] = math.Log(float64(took) / float64(usual) / e.Slowdown(now))
	e.next = (e.next + 1) % maxSamples
	e.count = min(e.count+1, maxSamples)

	sorted := e.logs
	slices.Sort(sorted[:e.count])

	// The mean of the two middle values, which are the same if the number of values is odd.
	e.ratio = math.Exp((sorted[(e.count-1)/2] + sorted[e.count/2]) / 2)
	e.own = e.Speed().Factor()
}

// Speed returns the speed as estimated by this process alone.
func (e *Estimator) Speed() Speed { return Speed{Ratio: e.ratio, Samples: e.count} }

// Factor returns the factor by which work on the target currently takes longer than usual, between
// MinFactor and MaxFactor; 1 when unknown. The argument is the speed as combined from all processes;
// if it is zero, this process's own estimate is used.
func (e *Estimator) Factor(now time.Time, combinedSpeed float64) float64 {
	if combinedSpeed == 0 {
		combinedSpeed = e.own
	}

	f := e.Slowdown(now) * ignoreBelow(minSpeedDifference, boundSpeed(combinedSpeed))

	return ignoreBelow(minDifference, min(max(f, MinFactor), MaxFactor))
}

// ignoreBelow returns a factor, or 1 when it differs from 1 by less than a difference.
func ignoreBelow(difference, factor float64) float64 {
	if math.Abs(factor-1) < difference {
		return 1
	}

	return factor
}

// Speed is an estimate of a target's speed.
type Speed struct {
	// Ratio is the time that prefill takes on the target, relative to the usual time of its service.
	Ratio float64
	// Samples is the number of prompts that it was estimated from; zero for no estimate.
	Samples int
}

// Factor returns the ratio shrunk towards 1 according to the number of samples, within the bounds of
// speeds; 1 when there is no estimate.
func (s Speed) Factor() float64 {
	if s.Samples <= 0 || !valid(s.Ratio) {
		return 1
	}

	weight := float64(s.Samples) / float64(s.Samples+priorSamples)

	return boundSpeed(math.Pow(s.Ratio, weight))
}

// Mean adds up estimates of one target's speed, weighted by their samples. The zero value has none.
type Mean struct {
	sum     float64
	samples int
}

// Add adds an estimate. It counts for no more samples than an Estimator keeps, and one that is not a
// positive number is ignored.
func (m *Mean) Add(s Speed) {
	if s.Samples <= 0 || !valid(s.Ratio) {
		return
	}

	n := min(s.Samples, maxSamples)
	m.sum += boundSpeed(s.Ratio) * float64(n)
	m.samples += n
}

// Speed returns the mean.
func (m *Mean) Speed() Speed {
	if m.samples == 0 {
		return Speed{}
	}

	return Speed{Ratio: m.sum / float64(m.samples), Samples: m.samples}
}

// Percent returns a factor in percent, at least 1, as it is sent to other processes.
func Percent(factor float64) int {
	if !valid(factor) {
		return 0
	}

	return int(math.Round(min(max(100*factor, 1), maxPercent)))
}

// FromPercent returns the factor of a figure in percent; zero if it is not positive or over 10,000.
func FromPercent(percent int) float64 {
	if percent <= 0 || percent > maxPercent {
		return 0
	}

	return float64(percent) / 100
}

// boundSpeed returns a speed within its bounds; 1 when it is not a positive number.
func boundSpeed(s float64) float64 {
	if !valid(s) {
		return 1
	}

	return min(max(s, minSpeed), maxSpeed)
}

// valid reports whether a factor is a positive finite number.
func valid(factor float64) bool { return factor > 0 && !math.IsInf(factor, 1) }
