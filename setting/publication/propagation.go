package publication

import (
	"context"
	"sync"
	"time"

	"boragehub/event"
)

// pull polls the sources in turn until one responds, and reports whether one did.
// Without a version it polls all of them and keeps the highest version: during an
// outage of the log this is the only way to get one, and some sources may lag.
func (f *Follower) pull(ctx context.Context, plan SourcePlan) bool {
	if f.cfg.Peers == nil {
		return false
	}

	responded := false

	for _, vm := range f.orderSources(f.cfg.Clock(), plan.Sources) {
		if responded && f.Ready() {
			break
		}

		if f.fetch(ctx, vm) {
			responded = true
		}
	}

	return responded
}

// orderSources returns the sources with those last that recently failed to respond.
// After sourceBackoff they are tried first again: otherwise all processes would end
// up polling the few that read the log.
func (f *Follower) orderSources(now time.Time, sources []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	var responsive, unresponsive []string

	for _, vm := range sources {
		if at, ok := f.failedAt[vm]; ok && now.Sub(at) < sourceBackoff {
			unresponsive = append(unresponsive, vm)
		} else {
			responsive = append(responsive, vm)
		}
	}

	return append(responsive, unresponsive...)
}

// noteSource records whether a source responded.
func (f *Follower) noteSource(vm string, responded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if responded {
		delete(f.failedAt, vm)
	} else {
		f.failedAt[vm] = f.cfg.Clock()
	}
}

// fetch polls one process and reports whether it responded with a valid version.
func (f *Follower) fetch(ctx context.Context, vm string) bool {
	f.mu.Lock()
	after := f.replica.head.version
	f.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()

	u, err := f.cfg.Peers.Fetch(ctx, vm, after)
	f.noteSource(vm, err == nil)

	return err == nil && u.Version() > 0 && f.ApplyUpdate(u) == nil
}

// ApplyUpdate applies an update from a peer. An update that isn't newer than the
// version in force is ignored. For a damaged one the error is a failure.BadMessage.
func (f *Follower) ApplyUpdate(u Update) error {
	if err := f.applyToReplica(u); err != nil {
		event.Fail(f.cfg.Logger, err, event.SettingsOfferRefused, "version", u.Version())

		return err
	}

	f.activate()

	return nil
}

// applyToReplica applies an update from a peer to the replica.
func (f *Follower) applyToReplica(u Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	_, err := f.replica.applyUpdate(u)
	f.announce()

	return err
}

// UpdateFor returns the update from version after to the version in force here, for
// the process on vm, and subscribes that process to later versions unless there are
// maxSubscribers already.
func (f *Follower) UpdateFor(now time.Time, vm string, after uint64) Update {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.dropIdleSubscribers(now)

	if _, known := f.subscribers[vm]; known || len(f.subscribers) < maxSubscribers {
		f.subscribers[vm] = subscriber{version: max(after, f.replica.head.version), seen: now}
	}

	return f.replica.updateFrom(after)
}

// dropIdleSubscribers drops the processes that have not polled for
// subscriberIntervals pull intervals.
func (f *Follower) dropIdleSubscribers(now time.Time) {
	for vm, sub := range f.subscribers {
		if now.Sub(sub.seen) > subscriberIntervals*f.cfg.PullInterval {
			delete(f.subscribers, vm)
		}
	}
}

// push sends the version in force to the subscribers that lack it.
func (f *Follower) push(ctx context.Context) {
	if f.cfg.Peers == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()

	var wg sync.WaitGroup

	for vm, u := range f.pendingUpdates(f.cfg.Clock()) {
		wg.Go(func() {
			if f.cfg.Peers.Push(ctx, vm, u) != nil {
				return // it will poll again
			}

			f.mu.Lock()
			defer f.mu.Unlock()

			if sub, ok := f.subscribers[vm]; ok {
				sub.version = max(sub.version, u.Version())
				f.subscribers[vm] = sub
			}
		})
	}

	wg.Wait()
}

// pendingUpdates returns the updates to push, by VM.
func (f *Follower) pendingUpdates(now time.Time) map[string]Update {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.dropIdleSubscribers(now)

	updates := map[string]Update{}

	for vm, sub := range f.subscribers {
		if sub.version < f.replica.head.version {
			updates[vm] = f.replica.updateFrom(sub.version)
		}
	}

	return updates
}
