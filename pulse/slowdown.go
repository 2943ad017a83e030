package pulse

import (
	"time"

	"boragehub/capacity"
)

// latestSlowdown is the newest slowdown that is known of an engine's host.
type latestSlowdown struct {
	percent    int
	measuredAt time.Time
}

// ObserveSlowdown records a slowdown that the engine reported, in percent. Figures that are not
// positive or over 10,000 are ignored.
func (r *Reporter) ObserveSlowdown(now time.Time, percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.observeSlowdown(now, percent)
}

// observeSlowdown is ObserveSlowdown for a caller that holds mu.
func (r *Reporter) observeSlowdown(now time.Time, percent int) {
	if capacity.FromPercent(percent) > 0 {
		r.slowdown = latestSlowdown{percent, now}
	}
}

// observeCapacity records what a subscription tells of the engine's slowdown and speed. The caller
// holds mu.
func (r *Reporter) observeCapacity(now time.Time, from *subscriber, s Subscription) {
	r.observeSlowdown(now, s.Slowdown)
	from.speed = capacity.Speed{Ratio: capacity.FromPercent(s.Speed), Samples: s.SpeedSamples}
}

// forgetCapacity discards the slowdown and the speed of an engine that has restarted. Its host may be
// another one.
func (r *Reporter) forgetCapacity() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.slowdown = latestSlowdown{}

	for name, s := range r.subscribers {
		s.speed = capacity.Speed{}
		r.subscribers[name] = s
	}
}

// fillCapacity sets the slowdown and the speed in a load report. A slowdown that the report has already
// is that of the engine's own response to the query.
func (r *Reporter) fillCapacity(now time.Time, p *Report) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.observeSlowdown(now, p.Slowdown)

	p.Slowdown, p.SlowdownAgeMs = r.slowdown.percent, 0
	if p.Slowdown > 0 {
		p.SlowdownAgeMs = max(now.Sub(r.slowdown.measuredAt).Milliseconds(), 0)
	}

	var mean capacity.Mean
	for _, s := range r.subscribers {
		mean.Add(s.speed)
	}

	if v := mean.Speed(); v.Samples > 0 {
		p.Speed = capacity.Percent(v.Factor())
	}
}

// encode returns the datagram that tells an engine of a subscription, with the speed that this process
// has learned of it.
func (l *Listener) encode(engine string, s Subscription) []byte {
	if l.cfg.Speed != nil {
		s.Speed, s.SpeedSamples = l.cfg.Speed(engine)
	}

	return encodeSubscription(s)
}
