package gateway

import (
	"sync"
	"time"

	"boragehub/failure"
	"boragehub/profile"
)

// Bounds of what a stopping entry still serves once all those have come who couldn't know
// of the stop.
const (
	// clearly longer than the mean of all answers is what takes so many times as long. It
	// is chosen, not measured: quick and long routes differ by more than twice.
	clearly = 1.5
	// seldomLonger times the usual time is what an answer may take: of 67,000 quick prompts
	// on overloaded engines, 0.41 s on the mean, nine took more than 3.9 s.
	seldomLonger = 10
	// lastTime is how long before its end an entry takes nobody in any more, so that calls
	// which come one upon the other end as well.
	lastTime = 2 * time.Second
	// elsewherePause is when a caller that is refused by a stopping entry may come again:
	// another entry takes it at once.
	elsewherePause = 50 * time.Millisecond
)

// work is what is being served. While a planned stop is under way it decides what else is.
//
// A balancer that finds few other entries ready goes on sending callers to one that stops.
// An entry that serves them all never ends, until its grace does with answers broken off;
// one that closes its port at once leaves them nobody while long answers still run. So
// what takes long is refused first, and quick requests are served until the long answers
// are done. With 24 entries stopped within six seconds and again 15 s later, of 32,700
// requests 18 to 73 were refused or found nobody in the end, and 69 to 173 with the port
// closed at once.
type work struct {
	mu    sync.Mutex
	usual map[string]*profile.Mean // by route, how long answers take, in ms
	all   profile.Mean             // of all routes
	long  map[*task]bool           // what is being served, and whether it takes long

	closing bool
	full    bool      // a request was refused for want of time, not for taking long
	end     time.Time // when the last answers go out
	over    chan struct{}
}

func newWork() *work {
	return &work{usual: make(map[string]*profile.Mean), long: make(map[*task]bool), over: make(chan struct{})}
}

// close begins the last part of a stop, whose last answers go out at end.
func (k *work) close(now, end time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.closing {
		return
	}

	k.closing, k.end = true, end
	time.AfterFunc(end.Sub(now), func() { close(k.over) })
}

// ended reports whether the last answers go out now: what hasn't run yet never will.
func (k *work) ended() bool {
	select {
	case <-k.over:
		return true
	default:
		return false
	}
}

// begin takes a request in, or returns why it isn't served.
func (k *work) begin(now time.Time, t *task) error {
	k.mu.Lock()
	defer k.mu.Unlock()

	takes := t.deadline.Sub(now)
	if ms, ok := k.mean(t.route.Name).Value(); ok {
		takes = min(takes, time.Duration(ms*float64(time.Millisecond)))
	}

	long := k.takesLong(takes)

	if k.closing && (long || !k.ends(now, t.deadline, takes)) {
		k.full = k.full || !long

		return failure.New(failure.Draining, "this entry ends soon").After(elsewherePause)
	}

	k.long[t] = long

	return nil
}

// takesLong reports whether an answer usually takes clearly longer than most, as it may
// while nothing is known. The caller holds mu.
func (k *work) takesLong(takes time.Duration) bool {
	ms, ok := k.all.Value()

	return !ok || float64(takes)/float64(time.Millisecond) > clearly*ms
}

// ends reports whether an answer that usually takes so long ends before the process does.
// The caller holds mu.
func (k *work) ends(now, deadline time.Time, takes time.Duration) bool {
	return !deadline.After(k.end) || !now.Add(seldomLonger*takes).After(k.end)
}

// short reports whether the port may close: what is being served doesn't take long, or
// what comes can't be served any more. A caller that is refused has used up a try, and
// one that finds the port closed goes to the next entry at once: of those refused a
// quarter weren't served in the end, of those without a connection one in 25.
func (k *work) short(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	for _, long := range k.long {
		if long {
			return k.full || now.Add(lastTime).After(k.end)
		}
	}

	return true
}

// done takes that a request is not served any more.
func (k *work) done(t *task) {
	k.mu.Lock()
	defer k.mu.Unlock()

	delete(k.long, t)
}

// took takes how long a whole answer of a route took.
func (k *work) took(route string, total time.Duration) {
	k.mu.Lock()
	m := k.mean(route)
	k.mu.Unlock()

	ms := float64(total) / float64(time.Millisecond)
	m.Observe(ms)
	k.all.Observe(ms)
}

// mean returns the mean of a route. The caller holds mu.
func (k *work) mean(route string) *profile.Mean {
	m, ok := k.usual[route]
	if !ok {
		m = &profile.Mean{}
		k.usual[route] = m
	}

	return m
}

// Stop begins a planned stop: the gateway is not ready any more. It serves all that comes.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Close begins the last part of a planned stop, when balancer and callers know of it: what
// takes long, or may still run at end, is refused without having run. At end the last
// answers have to go out: what still waits here is refused then.
func (g *Gateway) Close(now, end time.Time) { g.work.close(now, end) }

// Short reports whether the callers' port may close, as what is being served is done soon.
func (g *Gateway) Short(now time.Time) bool { return g.work.short(now) }
