package gateway

import (
	"context"
	"errors"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/quarantine"
)

// errQuarantined is why the wait of a request ends that is quarantined meanwhile.
var errQuarantined = errors.New("the request is quarantined")

// suspectRetryAfter is the Retry-After time of a prompt with a suspect part. Another one with the same part
// has got its first event by then, or has ended its target.
const suspectRetryAfter = 500 * time.Millisecond

// checkQuarantine returns an error if the request is quarantined because targets ended while they ran
// it, or prompts with one of its parts.
func (t *task) checkQuarantine(now time.Time) error {
	if t.fingerprint == (quarantine.Fingerprint{}) {
		t.identify()
	}

	if _, err := t.g.cfg.Crashes.Check(now, t.fingerprint); err != nil && !t.probesRequest(now) {
		return err
	}

	v := t.g.cfg.CrashParts.Check(now, t.sharedParts)
	if t.probes(now, v) {
		return nil
	}

	return v.Err()
}

// identify sets what crashes of targets are counted against. A target that ends requests of a path, whatever their
// query, is found by that path: it is a part that they share.
func (t *task) identify() {
	q := quarantine.Request{
		Organisation: t.organisationName(), Service: t.route.Host, Method: t.r.Method, Target: t.r.RequestURI, Body: t.body,
	}
	t.fingerprint = q.Fingerprint()
	t.sharedParts = t.arrival.Prompt.SharedPartIDs()

	if t.r.URL.RawQuery != "" {
		t.sharedParts = append(t.sharedParts, q.PathPart(t.r.URL.EscapedPath()))
	}
}

// crashCandidate returns what may have ended a target under the request.
func (t *task) crashCandidate() crashCandidate {
	return crashCandidate{fingerprint: t.fingerprint, parts: t.sharedParts}
}

// probes reports whether the request tries whether a quarantined part still ends its target: one request of
// all entries does from time to time.
func (t *task) probes(now time.Time, v quarantine.PartVerdict) bool {
	switch {
	case t.probedPart != "":
		// It is sent once, whatever becomes of it.
		return t.attempts == 0 && v.Quarantined == 1 && v.Part == t.probedPart
	case v.Quarantined != 1 || t.g.cfg.ProbeRank == nil || !t.g.cfg.CrashParts.BeginProbe(now, v.Part, t.g.cfg.ProbeRank(v.Part)):
		return false
	}

	t.probedPart = v.Part
	event.Log(t.g.cfg.Log, event.PartProbed, "request_id", t.logID(), "part", v.Part, "crashes", v.Crashes)

	return true
}

// probesRequest reports whether the request, which is quarantined, tries whether it still ends its target.
func (t *task) probesRequest(now time.Time) bool {
	if t.probed {
		return t.attempts == 0 // it is sent once, whatever becomes of it
	}

	if t.g.cfg.ProbeRank == nil || !t.g.cfg.Crashes.BeginProbe(now, t.fingerprint, t.g.cfg.ProbeRank(t.fingerprint.String())) {
		return false
	}

	t.probed = true
	event.Log(t.g.cfg.Log, event.RequestProbed, "request_id", t.logID(), "fingerprint", t.fingerprint.String(), "crashes", t.g.cfg.Crashes.CrashCount(now, t.fingerprint))

	return true
}

// mayRepeatSuspect reports whether the request may be sent to another target after an attempt in which it may
// have run: not if one of its parts may have ended the target.
func (t *task) mayRepeatSuspect(now time.Time, o outcome) bool {
	return !o.mayHaveRun || t.g.cfg.CrashParts.Check(now, t.sharedParts).Status == quarantine.Clear
}

// beginParts records that the prompt is about to be sent. It returns an error if one of its parts is suspect and
// another prompt with that part has no response yet: if the part ends targets, one at a time has to suffice.
func (t *task) beginParts(now time.Time) error {
	parts := t.sharedParts
	if len(parts) == 0 || t.beginning {
		return nil
	}

	v := t.g.cfg.CrashParts.Check(now, parts)

	if !t.g.crashes.begin(parts, v) {
		return failure.New(failure.Unavailable, "another prompt with the part %s, under which targets ended, has no response yet", v.Part).WithRetryAfter(suspectRetryAfter)
	}

	t.beginning = true

	return nil
}

// endParts records that the prompt has got its first event, or isn't sent.
func (t *task) endParts() {
	if t.beginning {
		t.g.crashes.end(t.sharedParts)
		t.beginning = false
	}
}

// begin counts a prompt as sent and without a response. It reports false if its suspect part has one already.
func (d *crashDetector) begin(parts []string, v quarantine.PartVerdict) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if v.Status == quarantine.Suspect && d.beginning[v.Part] > 0 {
		return false
	}

	for _, p := range parts {
		d.beginning[p]++
	}

	return true
}

// end ends what begin began.
func (d *crashDetector) end(parts []string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, p := range parts {
		if d.beginning[p]--; d.beginning[p] <= 0 {
			delete(d.beginning, p)
		}
	}
}

// recordCompletion records that the request got a complete response.
func (t *task) recordCompletion(now time.Time) {
	var all []quarantine.Acquittal

	if n := t.g.cfg.Crashes.RecordCompletion(now, t.fingerprint); n > 0 {
		event.Log(t.g.cfg.Log, event.RequestCleared, "request_id", t.logID(), "fingerprint", t.fingerprint.String(), "crashes", n, "basis", "response")

		all = append(all, quarantine.Acquittal{Request: t.fingerprint, At: now})
	}

	for _, p := range t.g.cfg.CrashParts.RecordCompletion(now, t.sharedParts) {
		event.Log(t.g.cfg.Log, event.PartCleared, "request_id", t.logID(), "part", p, "basis", "response")

		all = append(all, quarantine.Acquittal{Part: p, At: now})
	}

	if len(t.sharedParts) == 0 && len(all) == 0 {
		return
	}

	d := t.g.crashes

	d.mu.Lock()
	defer d.mu.Unlock()

	d.ended.Add(now, quarantine.Tally{Complete: min(len(t.sharedParts), 1)})
	d.startClearedReport(all)
}

// awaitUnlessQuarantined calls a function that waits for a target. It ends the wait when the request is
// quarantined.
func (t *task) awaitUnlessQuarantined(ctx context.Context, await func(ctx context.Context) (choice, error)) (choice, error) {
	ctx, stop := t.g.crashes.watch(ctx, t.crashCandidate())
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
	if len(c.Running) > 0 {
		d.requestsQuarantined(d.cfg.Requests.RecordCrash(now, c), c)
	}

	d.recordPartCrash(now, c)
}

// recordKnownCrash does the same with a crash that another entry knew before. The caller holds mu.
func (d *crashDetector) recordKnownCrash(now time.Time, c quarantine.Crash) {
	if len(c.Running) > 0 {
		d.requestsQuarantined(d.cfg.Requests.RecordKnownCrash(now, c), c)
	}

	d.recordPartCrash(now, c)
}

// requestsQuarantined ends the wait of requests that are quarantined after a crash. The caller holds mu.
func (d *crashDetector) requestsQuarantined(all []quarantine.Fingerprint, c quarantine.Crash) {
	for _, f := range all {
		event.Log(d.cfg.Log, event.RequestQuarantined, "fingerprint", f.String(), "vm", c.Target)
		d.endWaits(watchKey{fingerprint: f})

		if d.cfg.RequestQuarantined != nil {
			d.cfg.RequestQuarantined(f)
		}
	}
}

// recordPartCrash records the parts of a crash, see recordCrash. The caller holds mu.
func (d *crashDetector) recordPartCrash(now time.Time, c quarantine.Crash) {
	for _, p := range d.cfg.Parts.RecordCrash(now, c) {
		event.Log(d.cfg.Log, event.PartQuarantined, "part", p, "target", c.Target, "crashes", d.cfg.Parts.Check(now, []string{p}).Crashes)
		d.endWaits(watchKey{part: p})

		if d.cfg.PartQuarantined != nil {
			d.cfg.PartQuarantined(p)
		}
	}
}

// watchKey identifies what the requests have in common whose wait ends when it is quarantined.
type watchKey struct {
	fingerprint quarantine.Fingerprint // set if part is empty
	part        string
}

// watchKeys returns what a request is watched for.
func (c crashCandidate) watchKeys() []watchKey {
	keys := []watchKey{{fingerprint: c.fingerprint}}
	for _, p := range c.parts {
		keys = append(keys, watchKey{part: p})
	}

	return keys
}

// endWaits ends the waits of the requests that have something in common. The caller holds mu.
func (d *crashDetector) endWaits(k watchKey) {
	for cancel := range d.watchers[k] {
		(*cancel)(errQuarantined)
	}
}

// watch returns a context that ends with the cause errQuarantined when a request is quarantined. The
// caller must call stop.
func (d *crashDetector) watch(ctx context.Context, c crashCandidate) (watched context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	cancelKey, keys := &cancel, c.watchKeys()

	d.mu.Lock()
	defer d.mu.Unlock()

	for _, k := range keys {
		if d.watchers[k] == nil {
			d.watchers[k] = make(map[*context.CancelCauseFunc]struct{})
		}

		d.watchers[k][cancelKey] = struct{}{}
	}

	return ctx, func() {
		d.mu.Lock()
		defer d.mu.Unlock()

		for _, k := range keys {
			delete(d.watchers[k], cancelKey)

			if len(d.watchers[k]) == 0 {
				delete(d.watchers, k)
			}
		}

		cancel(nil)
	}
}
