package slowstart

import (
	"context"
	"errors"
	"testing"
	"time"
)

var (
	epoch = time.Unix(1000, 0)
	limit = NewLimit(3*time.Second, 32, 1.5, 5)
)

// issuePermits calls Permits every 100 ms and returns the number of permits by entry.
func issuePermits(g *Guard, from time.Time, d time.Duration, entries ...Entry) map[string]int {
	all := make(map[string]int)

	for now := from; now.Before(from.Add(d)); now = now.Add(100 * time.Millisecond) {
		for name, n := range g.Permits(now, entries) {
			all[name] += n
		}
	}

	return all
}

func TestPermitsAreHandedOutOnlyWhileTheTargetIsCold(t *testing.T) {
	g := NewGuard(limit, 1)
	entry := Entry{"a", 10}

	if got := issuePermits(g, epoch, time.Second, entry); len(got) != 0 {
		t.Errorf("warm: got %v permits, want none", got)
	}

	g.Started(epoch, 0)

	if got := issuePermits(g, epoch, 200*time.Millisecond, entry); len(got) != 0 {
		t.Errorf("before entries know that it is cold: got %v permits, want none", got)
	}

	if got, want := issuePermits(g, epoch.Add(time.Second), 2*time.Second, entry)["a"], 51; got < want || got > 64 {
		t.Errorf("cold: got %d permits in 2 s, want %d to 64", got, want)
	}

	g.ReportRemaining(epoch.Add(3*time.Second), 0)

	if !g.Warm(epoch.Add(3 * time.Second)) {
		t.Error("got a target not known to be warm, want it known")
	}

	if got := issuePermits(g, epoch.Add(4*time.Second), time.Second, entry); len(got) != 0 {
		t.Errorf("warm again: got %v permits, want none", got)
	}
}

// Guards against a busy entry that refuses its callers while idle ones let permits expire.
func TestPermitsFollowTheDemand(t *testing.T) {
	limit := limit
	limit.Duration = time.Minute
	g := NewGuard(limit, 1)
	g.Started(epoch, 0)

	first := issuePermits(g, epoch.Add(time.Second), 20*time.Second, Entry{"idle", 0}, Entry{"usual", 30}, Entry{"busy", 90})
	if first["busy"] < 2*first["usual"] || first["usual"] < 2*first["idle"] || first["idle"] == 0 {
		t.Errorf("got %v, want permits in proportion to the demand and some for the idle entry", first)
	}

	then := issuePermits(g, epoch.Add(21*time.Second), 2*time.Second, Entry{"idle", 90}, Entry{"usual", 30}, Entry{"busy", 0})
	if then["idle"] < then["usual"] {
		t.Errorf("got %v after the demand changed, want most for the entry that was idle before", then)
	}
}

// Guards against a target that is taken for warm because of what it reported before it was
// restarted.
func TestTargetIsAssumedColdUntilItReports(t *testing.T) {
	g := NewGuard(limit, 1)
	g.ReportRemaining(epoch, 0)
	g.AssumeCold(epoch.Add(time.Second))

	if now := epoch.Add(2 * time.Second); g.Warm(now) || g.Remaining(now) != 2*time.Second {
		t.Errorf("got warm %v and %v left, want 2s", g.Warm(now), g.Remaining(now))
	}

	g.ReportRemaining(epoch.Add(2*time.Second), 500*time.Millisecond)

	if got := g.Remaining(epoch.Add(4 * time.Second)); got != 0 {
		t.Errorf("got %v left after the reported time, want none", got)
	}
}

// fakeHealth is a target that reports how long it stays cold.
type fakeHealth struct {
	cold  time.Duration
	limit float64

	retryAfter time.Duration
	err        error
	requests   []string
}

func (h *fakeHealth) Health(_ context.Context, address, path string) (Status, error) {
	h.requests = append(h.requests, address+path)

	return Status{ColdFor: h.cold, RateLimit: h.limit, RetryAfter: h.retryAfter}, h.err
}

// Guards against health checks of a target that refused one with Retry-After.
func TestProbePausesAfterARefusal(t *testing.T) {
	p := NewProbe(ProbeConfig{Guard: NewGuard(limit, 1), Health: &fakeHealth{err: errors.New("busy"), retryAfter: 3 * time.Second}, Address: "a"})

	if got, want := p.checkHealth(t.Context(), "/health"), 3*time.Second; got != want {
		t.Errorf("got a pause of %v, want %v", got, want)
	}
}

// Guards against health checks that use up the rate limit of a target in need.
func TestProbeSlowsDownUnderARateLimit(t *testing.T) {
	tests := []struct {
		limit float64
		want  time.Duration
	}{{0, probeInterval}, {100, probeInterval}, {5, 2 * time.Second}, {0.01, maxProbeInterval}}

	for _, tt := range tests {
		p := NewProbe(ProbeConfig{Guard: NewGuard(limit, 1), Health: &fakeHealth{limit: tt.limit}, Address: "a"})

		if got := p.checkHealth(t.Context(), "/health"); got != tt.want {
			t.Errorf("limit of %v a second: got a pause of %v, want %v", tt.limit, got, tt.want)
		}
	}
}

func TestProbeSkipsUnboundedAndSuspendedTargets(t *testing.T) {
	h := &fakeHealth{cold: time.Second}
	g := NewGuard(Limit{}, 1)
	p := NewProbe(ProbeConfig{Guard: g, Health: h, Address: "a"})
	p.SetPath("/health")

	if got := p.nextPath(); got != "" {
		t.Errorf("without a limit: got a check at %q, want none", got)
	}

	g.SetLimit(limit)
	p.Suspend(true)

	if got := p.nextPath(); got != "" {
		t.Errorf("suspended: got a check at %q, want none", got)
	}

	p.Suspend(false)
	p.checkHealth(t.Context(), p.nextPath())

	if got := g.Remaining(time.Now()); len(h.requests) != 1 || h.requests[0] != "a/health" || got <= 0 {
		t.Errorf("got checks at %v and %v left, want one check and up to 1 s", h.requests, got)
	}

	h.err = errors.New("busy")
	p.checkHealth(t.Context(), p.nextPath())

	if g.Warm(time.Now()) {
		t.Error("no response: got a target known to be warm, want it unknown")
	}
}
