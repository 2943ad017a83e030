package side

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"

	"boragehub/engine"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/quarantine"
)

// guard is the admission truth of one target.
type guard struct {
	maxWaiting int
	self       string    // new with each start of this process
	began      time.Time // of the boot that is up, of target and this process

	mu       sync.Mutex
	sequence uint64
	up       bool
	draining bool
	info     engine.Info
	load     engine.Load
	next     uint64
	gone     bool // nothing listened at the target's address when it was last asked
	inFlight map[uint64]*flight
	judged   map[uint64]verdict // of lost requests, until those who sent them have asked
	idle     chan struct{}      // closed and replaced whenever nothing is in flight
}

func newGuard(maxWaiting int) *guard {
	return &guard{maxWaiting: maxWaiting, self: uuid.NewString(), began: time.Now(), inFlight: map[uint64]*flight{}, judged: map[uint64]verdict{}, idle: make(chan struct{})}
}

// plainRunning is how many calls a plain service is taken to run at once.
const plainRunning = 64

// enter admits a request or refuses it before anything ran. version is the
// weight version that it needs, empty for a plain call.
func (g *guard) enter(fingerprint quarantine.Fingerprint, version string) (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	switch {
	case g.draining:
		return 0, failure.New(failure.Draining, "the target is leaving").After(time.Second)
	case !g.up:
		return 0, failure.New(failure.NotReady, "the target is not ready").After(time.Second)
	case version != "" && version != g.info.WeightVersion:
		return 0, failure.New(failure.WrongVersion, "the target holds version %s, not %s", g.info.WeightVersion, version).After(time.Second)
	case g.live() >= g.places()+g.maxWaiting:
		return 0, failure.New(failure.QueueFull, "the target has %d requests", g.live()).After(g.untilRoom())
	}

	g.next++
	g.inFlight[g.next] = &flight{fingerprint: fingerprint, boot: g.boot()}

	return g.next, nil
}

// give notes that an admitted request goes to the target now, over a connection
// that stands: what was never connected can't be what the target dies of.
func (g *guard) give(id uint64, conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if f := g.inFlight[id]; f != nil {
		f.conn = conn
		f.boot = g.boot()
	}
}

// leave ends a request. One that was lost with its target stays on the books
// until it is judged whether the target died of it.
func (g *guard) leave(now time.Time, id uint64, lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	f := g.inFlight[id]
	if f == nil {
		return
	}

	if lost {
		f.lost = now
	} else {
		delete(g.inFlight, id)
	}

	if g.live() == 0 {
		close(g.idle)
		g.idle = make(chan struct{})
	}
}

// live counts the requests that have not ended.
func (g *guard) live() int {
	n := 0

	for _, f := range g.inFlight {
		if f.lost.IsZero() {
			n++
		}
	}

	return n
}

func (g *guard) places() int {
	if g.info.MaxRunning > 0 {
		return g.info.MaxRunning
	}

	return plainRunning
}

// untilRoom estimates the time until a place is free: the prefill that waits, spread
// over what the engine computes in a second.
func (g *guard) untilRoom() time.Duration {
	if g.info.PrefillRate <= 0 {
		return time.Second
	}

	seconds := float64(g.load.WaitingTokens) / g.info.PrefillRate

	return max(time.Duration(seconds*float64(time.Second)), 100*time.Millisecond)
}

// observe takes in what the target says of itself. It returns the requests that were lost
// with an earlier boot.
func (g *guard) observe(now time.Time, info engine.Info, load engine.Load) (first bool, crashes []verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()

	first = !g.up
	g.up = info.Ready()
	g.gone = false

	if g.info.BootID != "" && g.info.BootID != info.BootID {
		g.began = now
	}

	g.info = info
	g.load = load
	g.acquit()

	return first && g.up, g.convict(now)
}

// died notes that nothing listens at the target's address any more.
func (g *guard) died(now time.Time) (last bool, crashes []verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()

	last = g.up
	g.up, g.gone = false, true

	return last, g.convict(now)
}

// silent notes that the target does not answer though something listens.
func (g *guard) silent() (last bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	last = g.up
	g.up, g.gone = false, false

	return last
}

// boot names one life of target and side process: a drained side process that
// is started again must not be taken for the one that said it was leaving.
func (g *guard) boot() string { return g.info.BootID + "." + g.self }

func (g *guard) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.draining = true
}

func (g *guard) ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.up && !g.draining
}

func (g *guard) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.live()
}

// wait returns when nothing is in flight or ctx ends.
func (g *guard) wait(ctx context.Context) {
	for {
		g.mu.Lock()
		n, idle := g.live(), g.idle
		g.mu.Unlock()

		if n == 0 {
			return
		}

		select {
		case <-idle:
		case <-ctx.Done():
			return
		}
	}
}

// engineInfo returns what the engine last said of itself.
func (g *guard) engineInfo() engine.Info {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.info
}

func (g *guard) state(now time.Time) message.State {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.sequence++

	return message.State{
		Sequence:      g.sequence,
		Boot:          g.boot(),
		Model:         g.info.Model,
		Version:       g.info.WeightVersion,
		BlockTokens:   g.info.BlockTokens,
		Ready:         g.up && !g.draining,
		Draining:      g.draining,
		Gone:          g.gone,
		Load:          g.loadAt(now),
		PrefillRate:   g.info.PrefillRate,
		DecodeRate:    g.info.DecodeRate,
		MaxRunning:    g.places(),
		BytesPerToken: g.info.BytesPerToken,
		UpMS:          now.Sub(g.began).Milliseconds(),
	}
}

// loadAt combines the target's own report, which lags, with what is known here
// at first hand: at least the requests in flight are there.
func (g *guard) loadAt(now time.Time) message.Load {
	live := g.live()
	running := min(live, g.places())
	l := message.Load{
		Running:       max(g.load.Running, running),
		Waiting:       max(g.load.Waiting, live-running),
		WaitingTokens: g.load.WaitingTokens,
	}

	if g.load.AtMS > 0 {
		l.AgeMS = max(0, now.UnixMilli()-g.load.AtMS)
	}

	return l
}

func (g *guard) currentLoad(now time.Time) message.Load {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.loadAt(now)
}
