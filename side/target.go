package side

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"

	"boragehub/backpressure"
	"boragehub/engine"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/quarantine"
	"boragehub/quota"
)

// targetState is the state of the target, by which requests are admitted, and of
// the requests in flight.
type targetState struct {
	maxWaiting int
	instanceID string    // new each time this process starts
	startedAt  time.Time // start of the current boot

	mu           sync.Mutex
	sequence     uint64
	up           bool
	draining     bool
	info         engine.Info
	load         engine.Load
	lastID       uint64
	notListening bool // the last poll's connection to the target's address was refused
	inFlight     map[uint64]*request
	results      map[uint64]crashResult // of lost requests, until takeResult
	idle         chan struct{}          // closed and replaced whenever no request is in flight
	share        quota.Share            // of the target's rate limit, which all entries' requests pass here
	leaving      bool                   // the target says that it is about to leave
	retryAt      time.Time              // until then the target wants no requests, as it refused one
	throttled    int                    // requests refused because of it since the last one was admitted
}

func newTargetState(maxWaiting int) *targetState {
	return &targetState{maxWaiting: maxWaiting, instanceID: uuid.NewString(), startedAt: time.Now(), inFlight: map[uint64]*request{}, results: map[uint64]crashResult{}, idle: make(chan struct{})}
}

// plainMaxRunning is the number of calls that a plain service is assumed to run
// concurrently.
const plainMaxRunning = 64

// admit admits a request, or refuses it before anything was sent to the target.
// version is the weight version that the request requires; empty for a plain call.
func (t *targetState) admit(now time.Time, fingerprint quarantine.Fingerprint, version string) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	switch {
	case t.draining || t.leaving:
		return 0, failure.New(failure.Draining, "the target is draining").WithRetryAfter(time.Second)
	case !t.up:
		return 0, failure.New(failure.NotReady, "the target is not ready").WithRetryAfter(time.Second)
	case version != "" && version != t.info.WeightVersion:
		return 0, failure.New(failure.WrongVersion, "the target has loaded version %s, not %s", t.info.WeightVersion, version).WithRetryAfter(time.Second)
	case t.active() >= t.maxRunning()+t.maxWaiting:
		return 0, failure.New(failure.QueueFull, "the target has %d requests in flight", t.active()).WithRetryAfter(t.queueDelay())
	case now.Before(t.retryAt):
		return 0, failure.New(failure.Throttled, "the target refuses requests").WithRetryAfter(t.retryAt.Sub(now))
	case t.share.Wait(now) > 0:
		// Entries return one after the other: if all came back for the next slot, all but one
		// would be refused again, and each refusal costs a retry.
		after := t.share.Wait(now) + time.Duration(t.throttled)*t.share.Interval()
		t.throttled++

		return 0, failure.New(failure.Throttled, "the target takes %.2f requests a second", t.share.Limit()).WithRetryAfter(after)
	}

	t.share.Take(now)
	t.throttled = 0

	t.lastID++
	t.inFlight[t.lastID] = &request{fingerprint: fingerprint, boot: t.bootID()}

	return t.lastID, nil
}

// markSent records that an admitted request is being sent to the target over conn.
// A request without a connection can't have crashed the target.
func (t *targetState) markSent(id uint64, conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if r := t.inFlight[id]; r != nil {
		r.conn = conn
		r.boot = t.bootID()
	}
}

// finish ends a request. A lost one, whose connection to the target broke, is kept
// until it is known whether the target crashed.
func (t *targetState) finish(now time.Time, id uint64, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	r := t.inFlight[id]
	if r == nil {
		return
	}

	if lost {
		r.lostAt = now
	} else {
		delete(t.inFlight, id)
	}

	if t.active() == 0 {
		close(t.idle)
		t.idle = make(chan struct{})
	}
}

// active returns the number of requests that have not ended. The caller holds mu.
func (t *targetState) active() int {
	n := 0

	for _, r := range t.inFlight {
		if r.lostAt.IsZero() {
			n++
		}
	}

	return n
}

func (t *targetState) maxRunning() int {
	if t.info.MaxRunning > 0 {
		return t.info.MaxRunning
	}

	return plainMaxRunning
}

// queueDelay estimates the time until a queued prompt could start: the waiting
// prefill tokens divided by the engine's prefill rate. The caller holds mu.
func (t *targetState) queueDelay() time.Duration {
	if t.info.PrefillRate <= 0 {
		return time.Second
	}

	seconds := float64(t.load.WaitingTokens) / t.info.PrefillRate

	return max(time.Duration(seconds*float64(time.Second)), 100*time.Millisecond)
}

// observe records the state that the target reported. It returns whether the
// target has become ready and the crashes of earlier boots.
func (t *targetState) observe(now time.Time, info engine.Info, load engine.Load) (becameReady bool, crashes []crashResult) {
	t.mu.Lock()
	defer t.mu.Unlock()

	becameReady = !t.up
	t.up = info.Ready()
	t.notListening = false

	if t.info.BootID != "" && t.info.BootID != info.BootID {
		t.startedAt = now
	}

	t.info = info
	t.load = load
	t.resolveSurvived()

	return becameReady && t.up, t.resolveDown(now)
}

// observeDown records that the connection to the target's address was refused. It
// returns whether the target was ready before and the crashes that this shows.
func (t *targetState) observeDown(now time.Time) (wasReady bool, crashes []crashResult) {
	t.mu.Lock()
	defer t.mu.Unlock()

	wasReady = t.up
	t.up, t.notListening = false, true

	return wasReady, t.resolveDown(now)
}

// observeUnresponsive records that the target did not respond although its
// connection was not refused. It returns whether the target was ready before.
func (t *targetState) observeUnresponsive() (wasReady bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	wasReady = t.up
	t.up, t.notListening = false, false

	return wasReady
}

// bootID identifies one start of the target and of this process: without the latter,
// entries would take a side process that has restarted after a drain for the one
// that reported that it was draining.
func (t *targetState) bootID() string { return t.info.BootID + "." + t.instanceID }

// observeSignals records what the target asked for in a response. It reports whether that changed.
func (t *targetState) observeSignals(now time.Time, s backpressure.Signals) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	changed = t.share.Limit() != s.RateLimit || t.leaving != s.Leaving
	t.share.Set(now, s.RateLimit, 1, 0)
	t.leaving = s.Leaving

	if until := now.Add(s.RetryAfter); s.RetryAfter > 0 && until.After(t.retryAt) {
		t.retryAt = until
		changed = true
	}

	return changed
}

func (t *targetState) startDrain() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.draining = true
}

func (t *targetState) ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.up && !t.draining && !t.leaving
}

func (t *targetState) activeCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.active()
}

// waitIdle waits until no request is in flight or ctx ends.
func (t *targetState) waitIdle(ctx context.Context) {
	for {
		t.mu.Lock()
		n, idle := t.active(), t.idle
		t.mu.Unlock()

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

// engineInfo returns what the engine last reported of itself.
func (t *targetState) engineInfo() engine.Info {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.info
}

func (t *targetState) stateMessage(now time.Time) message.State {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.sequence++

	return message.State{
		Sequence:      t.sequence,
		Boot:          t.bootID(),
		Model:         t.info.Model,
		Version:       t.info.WeightVersion,
		BlockTokens:   t.info.BlockTokens,
		Ready:         t.up && !t.draining && !t.leaving,
		Draining:      t.draining || t.leaving,
		TargetGone:    t.notListening,
		Load:          t.loadAt(now),
		PrefillRate:   t.info.PrefillRate,
		DecodeRate:    t.info.DecodeRate,
		MaxRunning:    t.maxRunning(),
		BytesPerToken: t.info.BytesPerToken,
		UpMS:          now.Sub(t.startedAt).Milliseconds(),
	}
}

// loadAt combines the load that the target reported, which lags, with the requests
// that are known here to be in flight. The caller holds mu.
func (t *targetState) loadAt(now time.Time) message.Load {
	active := t.active()
	running := min(active, t.maxRunning())
	l := message.Load{
		Running:       max(t.load.Running, running),
		Waiting:       max(t.load.Waiting, active-running),
		WaitingTokens: t.load.WaitingTokens,
	}

	if t.load.AtMS > 0 {
		l.AgeMS = max(0, now.UnixMilli()-t.load.AtMS)
	}

	return l
}

func (t *targetState) currentLoad(now time.Time) message.Load {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.loadAt(now)
}
