package entry

import (
	"time"

	"boragehub/backpressure"
	"boragehub/event"
	"boragehub/failure"
	"boragehub/target"
	"boragehub/vm"
)

// Requests of all entries to a target pass its side process, which keeps to the target's limits and
// tells a refused entry when to return. Only for targets without one does the entry itself keep to
// them.

// observeThrottled records that a target's side process refused a request because of a limit of the
// target.
func (e *Entry) observeThrottled(now time.Time, t target.Target, err error) {
	if err == nil || failure.KindOf(err) != failure.Throttled {
		return
	}

	after := failure.As(err).RetryAfter()
	e.targets.ObserveThrottled(now, t.VM, after)
	event.Log(e.cfg.Log, event.TargetThrottled, "vm", t.VM, "retry_after_ms", after.Milliseconds())
}

// observeDirectSignals records what a target without a side process asked for in a response.
func (e *Entry) observeDirectSignals(now time.Time, address string, s backpressure.Signals) {
	list := e.cfg.VMs.List()
	entries := len(list.OfKind(vm.Entry, ""))

	for _, m := range list.All() {
		if m.Address != address || m.SideAddress != "" {
			continue
		}

		limited := e.targets.ObserveRateLimit(now, m.Name, s.RateLimit, entries)
		if left := e.targets.ObserveLeaving(now, m.Name, s.Leaving); limited || left {
			event.Log(e.cfg.Log, event.TargetSignals, "vm", m.Name, "rate_limit", s.RateLimit, "entries", entries, "leaving", s.Leaving)
		}

		if s.RetryAfter > 0 {
			e.targets.ObserveRetryAfter(now, m.Name, s.RetryAfter)
			event.Log(e.cfg.Log, event.TargetThrottled, "vm", m.Name, "retry_after_ms", s.RetryAfter.Milliseconds())
		}
	}
}

// admitDirect returns an error if a target without a side process may get no request now.
func (e *Entry) admitDirect(now time.Time, t target.Target) error {
	wait, ok := e.targets.Admit(now, t.VM)
	if ok {
		return nil
	}

	if wait <= 0 {
		return failure.New(failure.Draining, "the target is about to leave").WithRetryAfter(e.retryAfter())
	}

	return failure.New(failure.Throttled, "this entry has used its share of the target's limit, or the target refuses requests").WithRetryAfter(wait)
}

// targetRetryAfter returns when to retry a request that no target of a service can accept: when the
// first throttled one returns, or else after a random delay, which also spreads the callers.
func (e *Entry) targetRetryAfter(service string) time.Duration {
	spread := e.retryAfter()

	if in, ok := e.targets.RetryIn(time.Now(), service); ok {
		return in + spread - time.Second
	}

	return spread
}
