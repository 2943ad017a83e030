package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/profile"
)

// Limits on requests that a stopping entry accepts in the last phase of a planned stop, when
// balancer and callers know of the stop.
const (
	// longFactor is the multiple of the mean duration of all responses above which one is long.
	longFactor = 1.5
	// minLong is the duration up to which a response is never long: a stop is not held up by it, even
	// where the other responses are much shorter.
	minLong = 100 * time.Millisecond
	// maxDurationFactor is how many times its usual duration a response may take, on overloaded
	// engines too.
	maxDurationFactor = 10
	// longestRetention is how long the longest duration of a route and what is known of a target
	// are remembered.
	longestRetention = time.Minute
	// slownessPrior is how many usual responses are added to those of a target, so that a first one
	// that took somewhat longer does not make the target slow.
	slownessPrior = 4
	// slownessResponses is the number of a target's last responses that are remembered.
	slownessResponses = 5
	// finalWindow is how long before its end an entry may close its port even if long requests
	// run, so that calls that follow closely on each other end as well. It is also the lowest
	// limit that maxDuration derives from a route's longest duration.
	finalWindow = 2 * time.Second
	// drainRetryAfter is when a caller that a stopping entry refused should retry: another entry
	// accepts it at once.
	drainRetryAfter = 50 * time.Millisecond
)

// drainControl tracks the requests in flight and, during a planned stop, decides which new ones are
// accepted.
//
// A balancer that finds few other entries ready keeps sending callers to a stopping entry. If that
// accepted them all, it would run until the end of its grace period and cut responses off; if it
// closed its port at once, callers would find no entry while long responses still run. So long
// requests are refused first, and short ones are accepted until the long ones are done.
//
// Whether a request is long depends on its route and, once its target is chosen, on the target: a
// route's mean fits no response if a few targets are much slower than the others.
type drainControl struct {
	mu        sync.Mutex
	routes    map[string]*routeDurations // durations by route
	targets   map[string]*targetSlowness // by the id of the target
	allRoutes profile.Mean               // of all routes, in ms
	inFlight  map[*task]inFlightRequest  // requests being served

	draining       bool
	refusedForTime bool      // a request that isn't long was refused for lack of time
	end            time.Time // when the last responses are sent
	endReached     chan struct{}
}

// routeDurations are the durations of a route's requests.
type routeDurations struct {
	mean      profile.Mean  // of complete responses, in ms
	longest   time.Duration // recent maximum, requests without a complete response included
	longestAt time.Time     // when longest was observed
}

// observeServed records how long a request was in flight, whether its response was completed or not.
func (u *routeDurations) observeServed(now time.Time, total time.Duration) {
	if total >= u.longest || now.Sub(u.longestAt) > longestRetention {
		u.longest, u.longestAt = total, now
	}
}

// maxDuration returns how long a response may take, given its usual duration (takes) and the age of
// the route's oldest request in flight. Where a few engines are slow, the mean fits no response: by
// ten times the mean, no request would be accepted several seconds before the end of a stop. Where
// a target is paused, responses that run for seconds are given up and missing from the mean of the
// complete ones, so a duration that was reached once may be reached again.
func (u *routeDurations) maxDuration(takes, oldest time.Duration) time.Duration {
	longest := max(u.longest, oldest)
	limit := maxDurationFactor * takes

	if longest > 0 {
		limit = min(limit, max(time.Duration(longFactor*float64(longest)), finalWindow))
	}

	return max(limit, takes, longest)
}

// targetSlowness is how many times the usual duration of their routes a target's responses take. The
// median of the last ones is used, as a single response may take long for other reasons.
type targetSlowness struct {
	recent []targetResponse // the last slownessResponses, oldest first
	last   time.Time        // when the last of them was complete
	tried  time.Time        // when a request was last let through by mayTry
}

// targetResponse is a complete response of a target.
type targetResponse struct {
	took  time.Duration
	ratio float64 // to the mean duration of the route
}

func (s *targetSlowness) observe(now time.Time, took time.Duration, ratio float64) {
	if len(s.recent) == slownessResponses {
		s.recent = slices.Delete(s.recent, 0, 1)
	}

	s.recent = append(s.recent, targetResponse{took, ratio})
	s.last = now
}

// estimate returns the ratio, which is nearer to one the fewer responses there were.
func (s *targetSlowness) estimate() float64 {
	ratios := make([]float64, 0, slownessResponses)
	for _, r := range s.recent {
		ratios = append(ratios, r.ratio)
	}

	slices.Sort(ratios)

	n := float64(len(ratios))

	return (n*ratios[(len(ratios)-1)/2] + slownessPrior) / (n + slownessPrior)
}

// mayTry reports whether a request may be sent to a target that was found slow, and records it. The
// estimate changes by new responses only, so a single request is sent whenever as much time has passed
// as the target's last responses took together.
func (s *targetSlowness) mayTry(now time.Time) bool {
	var total time.Duration
	for _, r := range s.recent {
		total += r.took
	}

	if now.Sub(s.last) < total || now.Sub(s.tried) < total {
		return false
	}

	s.tried = now

	return true
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// inFlightRequest is a request being served.
type inFlightRequest struct {
	began time.Time
	long  bool // by the usual duration of its route, or at its present target
	// acceptedDraining is true if it was accepted in the last phase of a stop.
	acceptedDraining bool
}

func newDrainControl() *drainControl {
	return &drainControl{
		routes: make(map[string]*routeDurations), targets: make(map[string]*targetSlowness), inFlight: make(map[*task]inFlightRequest),
		endReached: make(chan struct{}),
	}
}

// stop begins a stop. At end the last responses are sent.
func (d *drainControl) stop(end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.end = end
}

// start begins the last phase of a stop. At end the last responses are sent, and onEnd is called.
func (d *drainControl) start(now, end time.Time, onEnd func()) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.draining {
		return
	}

	d.draining, d.end = true, end
	time.AfterFunc(end.Sub(now), func() {
		close(d.endReached)
		onEnd()
	})
}

// ended reports whether the last responses are being sent; what has not run by then never will.
func (d *drainControl) ended() bool {
	select {
	case <-d.endReached:
		return true
	default:
		return false
	}
}

// admit accepts a request and tracks it, or returns why it isn't served.
func (d *drainControl) admit(now time.Time, t *task) error {
	d.mu.Lock()
	defer d.mu.Unlock()

	takes := t.deadline.Sub(now)
	u := d.route(t.route.Name)

	if ms, ok := u.mean.Value(); ok {
		takes = min(takes, time.Duration(ms*float64(time.Millisecond)))
	}

	long := d.isLong(takes)

	if !d.draining && !d.end.IsZero() && !d.finishesInTime(now, t.deadline, takes) {
		return errDraining("its route's responses take %v, and %v are left", takes, d.end.Sub(now))
	}

	if d.draining {
		if long {
			return errDraining("its route's responses take %v, which is long", takes)
		}

		if longest := u.maxDuration(takes, d.oldestInFlight(now, t.route.Name)); !d.finishesInTime(now, t.deadline, longest) {
			d.refusedForTime = true

			return errDraining("its response may take %v, and %v are left", longest, d.end.Sub(now))
		}
	}

	d.inFlight[t] = inFlightRequest{began: now, long: long, acceptedDraining: d.draining}

	return nil
}

// errDraining returns the refusal of a request that has not run, with the reason as in fmt.Sprintf.
func errDraining(format string, args ...any) error {
	return failure.New(failure.Draining, "this entry is stopping: "+format, args...).WithRetryAfter(drainRetryAfter)
}

// mayUse returns nil if a request may be sent to a target, or why it isn't served. In the last phase
// of a stop, new requests that would be long at the target chosen for them are refused like those
// of long routes, unless they may have run: each would keep the port open for as long as it runs.
// Single ones are sent there, to learn whether the target is still slow.
func (d *drainControl) mayUse(now time.Time, t *task, target string) error {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.inFlight[t].acceptedDraining && t.possibleRuns == 0 && d.isLongAt(now, t.route.Name, target) && !d.targets[target].mayTry(now) {
		return errDraining("responses of its target %s take %.1f times as long as usual", target, d.targets[target].estimate())
	}

	return nil
}

// sent records that a request is sent to a target.
func (d *drainControl) sent(now time.Time, t *task, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if u, ok := d.inFlight[t]; ok && d.isLongAt(now, t.route.Name, target) {
		u.long = true
		d.inFlight[t] = u
	}
}

// isLongAt reports whether a route's responses are long at a target that is clearly slower than
// others. The caller holds mu.
func (d *drainControl) isLongAt(now time.Time, route, target string) bool {
	s, ok := d.targets[target]
	if !ok || now.Sub(s.last) > longestRetention {
		return false
	}

	ms, ok := d.route(route).mean.Value()
	slowness := s.estimate()

	return ok && slowness > longFactor && d.isLong(time.Duration(ms*slowness*float64(time.Millisecond)))
}

// isLong reports whether a duration is longer than minLong and clearly longer than the mean of all
// responses, or that mean is unknown. The caller holds mu.
func (d *drainControl) isLong(takes time.Duration) bool {
	ms, ok := d.allRoutes.Value()

	return !ok || takes > minLong && millis(takes) > longFactor*ms
}

// finishesInTime reports whether a response that takes up to maxDuration is complete, or its
// deadline has passed, when the last responses are sent. The caller holds mu.
func (d *drainControl) finishesInTime(now, deadline time.Time, maxDuration time.Duration) bool {
	return !deadline.After(d.end) || !now.Add(maxDuration).After(d.end)
}

// mayClosePort reports whether the port may close: no long request is in flight, or new requests
// can't be served any more. A refused caller has used up an attempt, while one that finds the port
// closed goes to the next entry at once. A usually short request may run long on an engine that is
// slow just now. Requests therefore count as long by their age too: otherwise the port would be
// closed for as long as such a request runs, while callers find no entry.
func (d *drainControl) mayClosePort(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, u := range d.inFlight {
		if u.long || d.isLong(now.Sub(u.began)) {
			return d.refusedForTime || now.Add(finalWindow).After(d.end)
		}
	}

	return true
}

// remove ends the tracking of a request, whether it was answered or not, and records its duration.
func (d *drainControl) remove(now time.Time, t *task) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if u, ok := d.inFlight[t]; ok {
		d.route(t.route.Name).observeServed(now, now.Sub(u.began))
	}

	delete(d.inFlight, t)
}

// oldestInFlight returns the age of a route's oldest request in flight, zero for none. The
// caller holds mu.
func (d *drainControl) oldestInFlight(now time.Time, route string) time.Duration {
	var oldest time.Duration

	for t, u := range d.inFlight {
		if t.route.Name == route {
			oldest = max(oldest, now.Sub(u.began))
		}
	}

	return oldest
}

// observe records the duration of a complete response.
func (d *drainControl) observe(route string, total time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.route(route).mean.Observe(millis(total))
	d.allRoutes.Observe(millis(total))
}

// observeTarget records how long a target took for a complete response. The duration is compared
// with the mean of the route before it.
func (d *drainControl) observeTarget(now time.Time, route, target string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	ms, ok := d.route(route).mean.Value()
	if !ok || ms <= 0 {
		return
	}

	s, ok := d.targets[target]
	if !ok {
		maps.DeleteFunc(d.targets, func(_ string, s *targetSlowness) bool { return now.Sub(s.last) > longestRetention })

		s = &targetSlowness{}
		d.targets[target] = s
	}

	if now.Sub(s.last) > longestRetention {
		*s = targetSlowness{}
	}

	s.observe(now, took, millis(took)/ms)
}

// route returns the durations of a route. The caller holds mu.
func (d *drainControl) route(route string) *routeDurations {
	u, ok := d.routes[route]
	if !ok {
		u = &routeDurations{}
		d.routes[route] = u
	}

	return u
}

// Stop begins a planned stop: Ready returns false from now on. Requests are still accepted, but those whose responses
// usually take longer than until end, when the last responses have to be sent.
func (g *Gateway) Stop(end time.Time) {
	g.drain.stop(end)
	g.stopping.Store(true)
}

// StartDrain begins the last phase of a planned stop, when balancer and callers know of it: requests
// that are long, or may still be running at end, are refused without having run. At end the last
// responses have to be sent: requests that still wait for an engine are refused, and the callers of those that run are
// told that they may have run, unless they have the beginning of a stream.
func (g *Gateway) StartDrain(now, end time.Time) { g.drain.start(now, end, g.endUnanswered) }

func (g *Gateway) endUnanswered() {
	if n := g.inFlight.cancelUnanswered(errStopped); n > 0 {
		event.Log(g.cfg.Log, event.AttemptsStopped, "attempts", n)
	}
}

// MayClosePort reports whether the callers' port may close, as no long request is in flight or no
// more can be served.
func (g *Gateway) MayClosePort(now time.Time) bool { return g.drain.mayClosePort(now) }
