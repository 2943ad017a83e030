package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"boragehub/event"
	"boragehub/quarantine"
)

// startReport has the requests counted for a start reported to the other entries. The caller holds mu.
func (d *crashDetector) startReport(s targetStart, x *observedStart) (reported <-chan struct{}) {
	if d.cfg.Report == nil {
		return nil
	}

	if x.unreported == nil {
		x.unreported = make(chan struct{})
	}

	if !x.reporting {
		x.reporting = true

		go d.reportToEntries(s, x)
	}

	return x.unreported
}

// reportToEntries reports to the other entries which requests of this one were running on a target when it
// ended. Requests that break meanwhile are reported together.
func (d *crashDetector) reportToEntries(s targetStart, x *observedStart) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for x.unreported != nil {
		c := quarantine.Crash{Target: s.id, Boot: s.boot, At: time.Now(), Running: slices.Clone(x.counted), Parts: x.parts, Beside: *x.beside}
		done := x.unreported
		x.unreported = nil

		d.mu.Unlock()
		all := d.cfg.Report(c)
		d.mu.Lock()
		close(done)

		// The others may hold the crash against these parts, too.
		d.acquit(time.Now(), all)
		d.startClearedReport(all)
	}

	x.reporting = false
}

// awaitReport waits until the other entries know that the target of a request has ended, for at most
// reportWait.
func awaitReport(ctx context.Context, reported <-chan struct{}) {
	if reported == nil {
		return
	}

	timer := time.NewTimer(reportWait)
	defer timer.Stop()

	select {
	case <-reported:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// addReported adds a crash that another entry reported. Requests that broke here were on the target
// as well. It returns the responses here that clear some of its parts.
func (d *crashDetector) addReported(now time.Time, c quarantine.Crash) []quarantine.Acquittal {
	c.At = now // by this process's clock

	d.mu.Lock()
	defer d.mu.Unlock()

	counts := d.cfg.Parts.CountsAgainst(now, c.Parts)
	acquitted := slices.DeleteFunc(slices.Clone(c.Parts), func(p string) bool { return slices.Contains(counts, p) })

	event.Log(d.cfg.Log, event.CrashReported, "target", c.Target, "requests", len(c.Running), "parts", strings.Join(c.Parts, ","),
		"acquitted", strings.Join(acquitted, ","), "beside_broken", c.Beside.Broken, "beside_complete", c.Beside.Complete)
	d.recordCrash(now, c)

	s := targetStart{c.Target, c.Boot}
	x := d.state(s)
	x.endedAt = now
	d.count(now, s, x, basisReport)

	if len(acquitted) == 0 {
		return nil
	}

	return d.cfg.Parts.Acquittals(acquitted...)
}

// AddReportedCrash adds a target's crash that another entry reported. It returns the responses here that clear some of
// its parts.
func (g *Gateway) AddReportedCrash(now time.Time, c quarantine.Crash) []quarantine.Acquittal {
	return g.crashes.addReported(now, c)
}

// AddKnownCrash adds a target's crash that another entry knew before.
func (g *Gateway) AddKnownCrash(now time.Time, c quarantine.Crash) {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()

	g.crashes.recordKnownCrash(now, c)
}

// clearedKey identifies what a response has cleared.
type clearedKey struct {
	part    string
	request quarantine.Fingerprint // set if part is empty
}

// startClearedReport has responses reported to the other entries that have cleared something. The caller holds mu.
func (d *crashDetector) startClearedReport(all []quarantine.Acquittal) {
	if d.cfg.ReportCleared == nil {
		return
	}

	for _, a := range all {
		d.cleared[clearedKey{a.Part, a.Request}] = a
	}

	if !d.reporting && len(d.cleared) > 0 {
		d.reporting = true

		go d.reportClearedToEntries()
	}
}

// reportClearedToEntries reports responses to the other entries that have cleared something. Those of meanwhile are
// reported together.
func (d *crashDetector) reportClearedToEntries() {
	d.mu.Lock()
	defer d.mu.Unlock()

	for len(d.cleared) > 0 {
		all := slices.Collect(maps.Values(d.cleared))
		clear(d.cleared)

		d.mu.Unlock()
		d.cfg.ReportCleared(all)
		d.mu.Lock()
	}

	d.reporting = false
}

// acquit records responses at other entries that clear requests or parts of them.
func (d *crashDetector) acquit(now time.Time, all []quarantine.Acquittal) {
	for _, a := range (quarantine.Evidence{Requests: d.cfg.Requests, Parts: d.cfg.Parts}).Acquit(now, all) {
		if a.Part != "" {
			event.Log(d.cfg.Log, event.PartCleared, "part", a.Part, "basis", basisReport)
		} else {
			event.Log(d.cfg.Log, event.RequestCleared, "fingerprint", a.Request.String(), "basis", basisReport)
		}
	}
}

// AddAcquittals adds responses at other entries that clear requests or parts of them.
func (g *Gateway) AddAcquittals(now time.Time, all []quarantine.Acquittal) {
	g.crashes.acquit(now, all)
}
