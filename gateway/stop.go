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
	// clearly longer than the mean of all answers is what takes so many times as long.
	clearly = 1.5
	// seldomLonger times the usual time is what an answer may take, on overloaded engines too.
	seldomLonger = 10
	// longestAge is how long the longest answer of a route is remembered.
	longestAge = time.Minute
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
// are done.
type work struct {
	mu    sync.Mutex
	usual map[string]*usual  // by route, how long answers take
	all   profile.Mean       // of all routes, in ms
	under map[*task]underway // what is being served

	closing bool
	full    bool      // a request was refused for want of time, not for taking long
	end     time.Time // when the last answers go out
	over    chan struct{}
}

// usual is how long a route's answers take.
type usual struct {
	mean    profile.Mean  // of whole answers, in ms
	longest time.Duration // of late, of those that didn't end as well
	at      time.Time     // when that was
}

// lasted takes how long a request was served.
func (u *usual) lasted(now time.Time, total time.Duration) {
	if total >= u.longest || now.Sub(u.at) > longestAge {
		u.longest, u.at = total, now
	}
}

// most returns what an answer may take that usually takes so long, while one has been under
// way for as long as oldest. Where a few engines are slow the mean stands for no answer at
// all: ten times as long, nobody would be served any more seconds before the end of a stop.
// Where a machine is held up, answers that run for seconds are given up, and the mean of
// those that ended knows nothing of them: what has lasted so long may do so again.
func (u *usual) most(takes, oldest time.Duration) time.Duration {
	longest := max(u.longest, oldest)
	most := seldomLonger * takes

	if longest > 0 {
		most = min(most, max(time.Duration(clearly*float64(longest)), lastTime))
	}

	return max(most, takes, longest)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// underway is an answer under way.
type underway struct {
	began time.Time
	long  bool // by what its route usually takes
}

func newWork() *work {
	return &work{usual: make(map[string]*usual), under: make(map[*task]underway), over: make(chan struct{})}
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
	u := k.of(t.route.Name)

	if ms, ok := u.mean.Value(); ok {
		takes = min(takes, time.Duration(ms*float64(time.Millisecond)))
	}

	long := k.takesLong(takes)

	if k.closing && (long || !k.ends(now, t.deadline, u.most(takes, k.oldest(now, t.route.Name)))) {
		k.full = k.full || !long

		return failure.New(failure.Draining, "this entry ends soon").After(elsewherePause)
	}

	k.under[t] = underway{began: now, long: long}

	return nil
}

// takesLong reports whether an answer usually takes clearly longer than most, as it may
// while nothing is known. The caller holds mu.
func (k *work) takesLong(takes time.Duration) bool {
	ms, ok := k.all.Value()

	return !ok || millis(takes) > clearly*ms
}

// ends reports whether an answer that may take so long ends before the process does. The
// caller holds mu.
func (k *work) ends(now, deadline time.Time, most time.Duration) bool {
	return !deadline.After(k.end) || !now.Add(most).After(k.end)
}

// short reports whether the port may close: what is being served doesn't take long, or
// what comes can't be served any more. A caller that is refused has used up a try, and
// one that finds the port closed goes to the next entry at once. What is usually quick runs
// long on an engine that is slow just now: such an answer is told by its age, or the port
// would be closed for as long as it goes on, while callers find nobody.
func (k *work) short(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	for _, u := range k.under {
		if u.long || k.takesLong(now.Sub(u.began)) {
			return k.full || now.Add(lastTime).After(k.end)
		}
	}

	return true
}

// done takes that a request is not served any more, whether its answer came or not.
func (k *work) done(now time.Time, t *task) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if u, ok := k.under[t]; ok {
		k.of(t.route.Name).lasted(now, now.Sub(u.began))
	}

	delete(k.under, t)
}

// oldest returns for how long the oldest answer of a route has been under way. The caller
// holds mu.
func (k *work) oldest(now time.Time, route string) time.Duration {
	var oldest time.Duration

	for t, u := range k.under {
		if t.route.Name == route {
			oldest = max(oldest, now.Sub(u.began))
		}
	}

	return oldest
}

// took takes how long a whole answer of a route took.
func (k *work) took(route string, total time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.of(route).mean.Observe(millis(total))
	k.all.Observe(millis(total))
}

// of returns what is usual for a route. The caller holds mu.
func (k *work) of(route string) *usual {
	u, ok := k.usual[route]
	if !ok {
		u = &usual{}
		k.usual[route] = u
	}

	return u
}

// Stop begins a planned stop: the gateway is not ready any more. It serves all that comes.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Close begins the last part of a planned stop, when balancer and callers know of it: what
// takes long, or may still run at end, is refused without having run. At end the last
// answers have to go out: what still waits here is refused then.
func (g *Gateway) Close(now, end time.Time) { g.work.close(now, end) }

// Short reports whether the callers' port may close, as what is being served is done soon.
func (g *Gateway) Short(now time.Time) bool { return g.work.short(now) }
