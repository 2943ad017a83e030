package slowstart

import (
	"context"
	"sync"
	"time"

	"boragehub/pause"
)

// Health checks the health of a target.
type Health interface {
	// Health returns what the target at an address responds to a check.
	Health(ctx context.Context, address, path string) (Status, error)
}

// Status is a target's response to a check.
type Status struct {
	// ColdFor is how much longer the target stays cold; zero means that it is warm.
	ColdFor time.Duration
	// RateLimit is the rate limit that it names, in requests a second; zero for none.
	RateLimit float64
	// Slowdown is the slowdown of its host that it reports, in percent; zero for none.
	Slowdown int
	// RetryAfter is how long it wants no further check, set with an error; zero if it doesn't say.
	RetryAfter time.Duration
}

// ProbeConfig configures a Probe.
type ProbeConfig struct {
	// Guard receives what the target reports.
	Guard *Guard
	// Health checks the target at Address.
	Health  Health
	Address string
	// OnSlowdown is called with the slowdown that the target reports, in percent; may be nil.
	OnSlowdown func(now time.Time, percent int)
}

// Probe regularly checks whether the target beside a process is cold, since it may become cold
// again at any time. Use NewProbe.
type Probe struct {
	cfg ProbeConfig

	mu        sync.Mutex
	path      string
	suspended bool
}

const (
	// probeInterval is the pause between two checks. Each briefly occupies one of the target's
	// request slots.
	probeInterval = time.Second
	// firstProbeInterval is the pause until the path to check is known. A target is not known
	// to be warm before its first check.
	firstProbeInterval = 50 * time.Millisecond
	// probeTimeout is the timeout of a check.
	probeTimeout = 500 * time.Millisecond
	// probeShare is the largest part of a target's rate limit that checks use.
	probeShare = 0.1
	// maxProbeInterval bounds the pause between two checks under a rate limit.
	maxProbeInterval = 30 * time.Second
)

// NewProbe returns a Probe that Run starts.
func NewProbe(cfg ProbeConfig) *Probe { return &Probe{cfg: cfg} }

// SetPath sets the path of the checks; without one the target is not checked.
func (p *Probe) SetPath(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.path = path
}

// Suspend suspends or resumes the checks.
func (p *Probe) Suspend(suspended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.suspended = suspended
}

// nextPath returns the path to check now; empty for no check.
func (p *Probe) nextPath() string {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.suspended || !p.cfg.Guard.Bounded() {
		return ""
	}

	return p.path
}

// Run checks the target until ctx ends.
func (p *Probe) Run(ctx context.Context) {
	every := firstProbeInterval

	for pause.For(ctx, every) {
		if path := p.nextPath(); path != "" {
			every = p.checkHealth(ctx, path)
		}
	}
}

// checkHealth checks the target and returns the pause before the next check.
func (p *Probe) checkHealth(ctx context.Context, path string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	s, err := p.cfg.Health.Health(ctx, p.cfg.Address, path)
	if err != nil {
		// A target that does not respond is busy or dead; its load reports tell which.
		return max(probeInterval, s.RetryAfter)
	}

	p.cfg.Guard.ReportRemaining(time.Now(), s.ColdFor)

	if s.Slowdown > 0 && p.cfg.OnSlowdown != nil {
		p.cfg.OnSlowdown(time.Now(), s.Slowdown)
	}

	return pauseUnder(s.RateLimit)
}

// pauseUnder returns the pause between two checks of a target that names a rate limit; zero means
// that it names none.
func pauseUnder(limit float64) time.Duration {
	if limit <= 0 {
		return probeInterval
	}

	seconds := min(1/(probeShare*limit), maxProbeInterval.Seconds())

	return max(time.Duration(seconds*float64(time.Second)), probeInterval)
}
