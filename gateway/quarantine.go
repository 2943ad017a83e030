package gateway

import (
	"context"
	"errors"
	"time"

	"boragehub/event"
	"boragehub/quarantine"
)

// errQuarantined is why the wait of a request ends that is quarantined meanwhile.
var errQuarantined = errors.New("the request is quarantined")

// checkQuarantine returns an error if the request is quarantined because targets ended while they ran
// it.
func (t *task) checkQuarantine(now time.Time) error {
	if t.fingerprint == (quarantine.Fingerprint{}) {
		t.fingerprint = quarantine.FingerprintOf(t.organisationName(), append([]byte(t.r.URL.Path+"\n"), t.body...))
	}

	_, err := t.g.cfg.Crashes.Check(now, t.fingerprint)

	return err
}

// crashCandidate returns what may have ended a target under the request.
func (t *task) crashCandidate() crashCandidate {
	return crashCandidate{fingerprint: t.fingerprint, parts: t.arrival.Prompt.SharedPartIDs()}
}

// awaitUnlessQuarantined calls a function that waits for a target. It ends the wait when the request is
// quarantined.
func (t *task) awaitUnlessQuarantined(ctx context.Context, await func(ctx context.Context) (choice, error)) (choice, error) {
	ctx, stop := t.g.crashes.watch(ctx, t.fingerprint)
	defer stop()

	c, err := await(ctx)
	if err != nil && errors.Is(context.Cause(ctx), errQuarantined) {
		err = t.checkQuarantine(time.Now())
	}

	return c, err
}

// recordCrash records a crash and ends the wait of the requests that are quarantined as a result. The
// caller holds mu.
func (d *crashDetector) recordCrash(now time.Time, c quarantine.Crash) {
	for _, f := range d.tracker.RecordCrash(now, c) {
		event.Log(d.log, event.RequestQuarantined, "fingerprint", f.String(), "vm", c.Target)

		for cancel := range d.watchers[f] {
			(*cancel)(errQuarantined)
		}
	}
}

// watch returns a context that ends with the cause errQuarantined when a request is quarantined. The
// caller must call stop.
func (d *crashDetector) watch(ctx context.Context, f quarantine.Fingerprint) (watched context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	key := &cancel

	d.mu.Lock()
	defer d.mu.Unlock()

	if d.watchers[f] == nil {
		d.watchers[f] = make(map[*context.CancelCauseFunc]struct{})
	}

	d.watchers[f][key] = struct{}{}

	return ctx, func() {
		d.mu.Lock()
		defer d.mu.Unlock()

		delete(d.watchers[f], key)

		if len(d.watchers[f]) == 0 {
			delete(d.watchers, f)
		}

		cancel(nil)
	}
}
