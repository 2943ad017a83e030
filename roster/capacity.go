package roster

import (
	"slices"
	"time"

	"boragehub/capacity"
	"boragehub/event"
	"boragehub/pulse"
)

const (
	// slowdownPoints is the difference in percent from which a slowdown is passed on, and a speed
	// logged. Smaller ones change no decision.
	slowdownPoints = 10
	// slowdownRepeat is the age from which a slowdown that lasts is passed on again, before it has no
	// weight anywhere.
	slowdownRepeat = 250 * time.Millisecond
	// speedLoadAge is the age of a load report from which the speed of its target has no weight. It is
	// about the time to prefill a long prompt, after which the load is another one.
	speedLoadAge = 200 * time.Millisecond
	// usualPercent is the slowdown of a host that is not slow.
	usualPercent = 100
	// maxSlowdownAge is the age up to which a reported slowdown is used at all, which bounds what a
	// false age can do.
	maxSlowdownAge = time.Minute
)

// targetCapacity is what is known of how fast a target is.
type targetCapacity struct {
	estimator capacity.Estimator
	// shared is the newest slowdown that the side process is known to have, in percent, and sharedAt
	// when it was measured.
	shared   int
	sharedAt time.Time
	// loggedSpeed is the speed that was last logged, in percent; zero for none.
	loggedSpeed int
}

// differs reports whether a slowdown is news to the side process, which passes it on to all entries.
func (c *targetCapacity) differs(now time.Time, percent int) bool {
	known, age := c.shared, now.Sub(c.sharedAt)
	if known == 0 {
		known = usualPercent
	}

	return abs(percent-known) >= slowdownPoints || age >= slowdownRepeat && abs(percent-usualPercent) >= slowdownPoints
}

func abs(n int) int { return max(n, -n) }

// ObserveSlowdown records the slowdown of its host that a target reported in a response, as a factor.
// It marks the target's service as contended, and calls Config.SlowdownChanged if the figure is news to
// the process beside the target.
func (r *Roster) ObserveSlowdown(now time.Time, id string, factor float64) {
	percent := capacity.Percent(factor)
	if percent == 0 || r.cfg.Contention == ContentionOff {
		return
	}

	r.mu.Lock()
	address, changed := r.applySlowdown(now, id, factor, percent)
	r.mu.Unlock()

	if changed && r.cfg.SlowdownChanged != nil {
		r.cfg.SlowdownChanged(address, percent)
	}
}

// applySlowdown carries out ObserveSlowdown. It returns the address of the target, and whether the
// process beside it is to be told. The caller holds mu.
func (r *Roster) applySlowdown(now time.Time, id string, factor float64, percent int) (address string, changed bool) {
	e, ok := r.engines[id]
	if !ok {
		return "", false
	}

	r.markContended(id, e.listing.Service, basisResponse)

	c := &e.capacity
	if !c.estimator.ObserveSlowdown(now, factor) || !c.differs(now, percent) {
		return "", false
	}

	event.Log(r.cfg.Log, event.TargetSlowdown, "target", id, "percent", percent, "before", c.shared, "before_age_ms", c.age(now).Milliseconds(), "basis", basisResponse)
	c.shared, c.sharedAt = percent, now

	// Where this entry gets no load reports, as of plain services, no process beside the target takes
	// figures.
	return e.listing.Address, !e.subscribedAt.IsZero() && r.reporting[e.listing.Address]
}

// age returns the age of the newest slowdown that the side process is known to have; zero for none.
func (c *targetCapacity) age(now time.Time) time.Duration {
	if c.sharedAt.IsZero() {
		return 0
	}

	return now.Sub(c.sharedAt)
}

// applyReportedCapacity applies the slowdown and the speed in a load report. The caller holds mu.
func (r *Roster) applyReportedCapacity(now time.Time, id string, e *engine, p pulse.Report) {
	c := &e.capacity
	factor, age := capacity.FromPercent(p.Slowdown), time.Duration(p.SlowdownAgeMs)*time.Millisecond

	if factor > 0 {
		r.markContended(id, e.listing.Service, basisLoadReport)
	}

	if factor > 0 && p.SlowdownAgeMs >= 0 && p.SlowdownAgeMs <= maxSlowdownAge.Milliseconds() && c.estimator.ObserveSlowdown(now.Add(-age), factor) {
		c.shared, c.sharedAt = p.Slowdown, now.Add(-age)
	}

	r.logSpeed(id, e, p.Speed, basisLoadReport)
}

// ObserveFirstEvent records the time to the first event of a prompt whose target had nothing else to
// prefill, and the time that is usual in the service. Only targets of contended services are compared.
func (r *Roster) ObserveFirstEvent(now time.Time, id string, took, usual time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	e, ok := r.engines[id]
	if !ok || !r.isContended(e.listing.Service) {
		return
	}

	e.capacity.estimator.ObserveFirstEvent(now, took, usual)

	// The speed that all entries have learned together is logged when load reports tell it.
	if e.report.Speed == 0 {
		r.logSpeed(id, e, capacity.Percent(e.capacity.estimator.Speed().Factor()), basisResponse)
	}
}

// logSpeed logs the speed of a target, in percent, when it has changed. The caller holds mu.
func (r *Roster) logSpeed(id string, e *engine, percent int, basis string) {
	c := &e.capacity
	if capacity.FromPercent(percent) == 0 || !r.isContended(e.listing.Service) {
		return
	}

	before := c.loggedSpeed
	if before == 0 {
		before = usualPercent
	}

	if abs(percent-before) < slowdownPoints {
		return
	}

	event.Log(r.cfg.Log, event.TargetSpeed, "target", id, "percent", percent, "before", before, "own_samples", c.estimator.Speed().Samples, "basis", basis)
	c.loggedSpeed = percent
}

// Speed returns the speed of the target at an address as this process has learned it, in percent, and
// the number of samples. It has no samples for targets of services that are not contended.
func (r *Roster) Speed(address string) (percent, samples int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	e, ok := r.engines[r.currentRegistration(address).id]
	if !ok || !r.isContended(e.listing.Service) {
		return 0, 0
	}

	s := e.capacity.estimator.Speed()

	return capacity.Percent(s.Ratio), s.Samples
}

// slowdownFactor returns Engine.Slowdown of a target of a contended service. Without a fresh load
// report, this process's own estimates alone are used.
//
// The weight of the speed falls with the age of the load report. Speeds concentrate the work of all
// entries on fewer targets; where their load is known late, prompts then queue behind what other
// entries have just sent, for longer than a slower target takes.
func (e *engine) slowdownFactor(now time.Time) float64 {
	est := &e.capacity.estimator

	age := now.Sub(e.reportedAt)
	if age >= e.maxReportAge() {
		return est.Factor(now, 0)
	}

	speed := capacity.FromPercent(e.report.Speed)
	if speed == 0 {
		speed = est.Speed().Factor()
	}

	weight := max(1-float64(max(age, 0))/float64(speedLoadAge), 0)

	return est.Factor(now, 1+(speed-1)*weight)
}

// Slowdowns returns the least, the median and the largest Engine.Slowdown of the targets of contended
// services; 1 when there are none.
func (r *Roster) Slowdowns(now time.Time) (least, median, largest float64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	var all []float64

	for id, e := range r.engines {
		if r.isContended(e.listing.Service) && r.currentRegistration(e.listing.Address).id == id {
			all = append(all, e.slowdownFactor(now))
		}
	}

	if len(all) == 0 {
		return 1, 1, 1
	}

	slices.Sort(all)

	return all[0], all[len(all)/2], all[len(all)-1]
}
