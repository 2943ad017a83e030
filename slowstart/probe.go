package slowstart

import (
	"context"
	"sync"
	"time"

	"boragehub/pause"
)

// Health checks the health of a target.
type Health interface {
	// Health returns how much longer the target at an address stays cold; zero means that it
	// is warm.
	Health(ctx context.Context, address, path string) (cold time.Duration, err error)
}

// ProbeConfig configures a Probe.
type ProbeConfig struct {
	// Guard receives what the target reports.
	Guard *Guard
	// Health checks the target at Address.
	Health  Health
	Address string
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
			p.checkHealth(ctx, path)

			every = probeInterval
		}
	}
}

func (p *Probe) checkHealth(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	// A target that does not respond is busy or dead; its load reports tell which.
	if cold, err := p.cfg.Health.Health(ctx, p.cfg.Address, path); err == nil {
		p.cfg.Guard.ReportRemaining(time.Now(), cold)
	}
}
