package publication

import (
	"context"
	"sync"
	"time"

	"boragehub/event"
)

// pull asks the sources in turn until one answers, and reports whether one did.
// Without a version of its own it asks all of them and takes the highest: in an
// outage of the log that is the only way to one, and some may lag.
func (f *Follower) pull(ctx context.Context, a Arrangement) bool {
	if f.cfg.Peers == nil {
		return false
	}

	answered := false

	for _, vm := range f.inOrder(f.cfg.Clock(), a.Sources) {
		if answered && f.Ready() {
			break
		}

		if f.fetch(ctx, vm) {
			answered = true
		}
	}

	return answered
}

// inOrder returns the sources with those last that gave no answer lately. After
// a while they are tried first again: otherwise all would end up asking the few
// that read the log.
func (f *Follower) inOrder(now time.Time, sources []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	var good, bad []string

	for _, vm := range sources {
		if at, ok := f.failed[vm]; ok && now.Sub(at) < sourcePause {
			bad = append(bad, vm)
		} else {
			good = append(good, vm)
		}
	}

	return append(good, bad...)
}

// noteSource remembers whether a source answered.
func (f *Follower) noteSource(vm string, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if answered {
		delete(f.failed, vm)
	} else {
		f.failed[vm] = f.cfg.Clock()
	}
}

// fetch asks one process and reports whether it answered with a version.
func (f *Follower) fetch(ctx context.Context, vm string) bool {
	f.mu.Lock()
	after := f.replica.head.version
	f.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()

	h, err := f.cfg.Peers.Fetch(ctx, vm, after)
	f.noteSource(vm, err == nil)

	return err == nil && h.Version() > 0 && f.Offer(h) == nil
}

// Offer takes settings that a peer hands on. What isn't newer than the version
// in force is ignored. Damaged ones are a failure.BadMessage.
func (f *Follower) Offer(h Handover) error {
	if err := f.adopt(h); err != nil {
		event.Fail(f.cfg.Logger, err, event.SettingsOfferRefused, "version", h.Version())

		return err
	}

	f.enforce()

	return nil
}

// adopt takes what a peer hands on into the replica.
func (f *Follower) adopt(h Handover) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	_, err := f.replica.adopt(h)
	f.tell()

	return err
}

// HandOver returns what leads the process on vm from version after to the
// version in force here, and remembers to push the next ones to it.
func (f *Follower) HandOver(now time.Time, vm string, after uint64) Handover {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.forget(now)

	if _, known := f.askers[vm]; known || len(f.askers) < maxAskers {
		f.askers[vm] = asker{version: max(after, f.replica.head.version), seen: now}
	}

	return f.replica.handover(after)
}

// forget drops the processes that haven't asked for long.
func (f *Follower) forget(now time.Time) {
	for vm, a := range f.askers {
		if now.Sub(a.seen) > askerMemory*f.cfg.Pull {
			delete(f.askers, vm)
		}
	}
}

// push hands the version in force to those who asked lately and lack it.
func (f *Follower) push(ctx context.Context) {
	if f.cfg.Peers == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()

	var wg sync.WaitGroup

	for vm, h := range f.due(f.cfg.Clock()) {
		wg.Go(func() {
			if f.cfg.Peers.Push(ctx, vm, h) != nil {
				return // it asks again by itself
			}

			f.mu.Lock()
			defer f.mu.Unlock()

			if a, ok := f.askers[vm]; ok {
				a.version = max(a.version, h.Version())
				f.askers[vm] = a
			}
		})
	}

	wg.Wait()
}

// due returns what to push to whom.
func (f *Follower) due(now time.Time) map[string]Handover {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.forget(now)

	due := map[string]Handover{}

	for vm, a := range f.askers {
		if a.version < f.replica.head.version {
			due[vm] = f.replica.handover(a.version)
		}
	}

	return due
}
