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
		c := quarantine.Crash{Target: s.id, Boot: s.boot, At: time.Now(), Running: slices.Clone(x.counted), Parts: x.parts}
		done := x.unreported
		x.unreported = nil

		d.mu.Unlock()
		d.cfg.Report(c)
		d.mu.Lock()
		close(done)
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
// as well.
func (d *crashDetector) addReported(now time.Time, c quarantine.Crash) {
	c.At = now // by this process's clock

	d.mu.Lock()
	defer d.mu.Unlock()

	event.Log(d.cfg.Log, event.CrashReported, "target", c.Target, "requests", len(c.Running), "parts", strings.Join(c.Parts, ","))
	d.recordCrash(now, c)

	s := targetStart{c.Target, c.Boot}
	x := d.state(s)
	x.endedAt = now
	d.count(now, s, x, basisReport)
}

// AddReportedCrash adds a target's crash that another entry reported.
func (g *Gateway) AddReportedCrash(now time.Time, c quarantine.Crash) { g.crashes.addReported(now, c) }

// AddKnownCrash adds a target's crash that another entry knew before.
func (g *Gateway) AddKnownCrash(now time.Time, c quarantine.Crash) {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()

	g.crashes.recordCrash(now, c)
}

// startClearedReport has cleared parts reported to the other entries. The caller holds mu.
func (d *crashDetector) startClearedReport(parts []string) {
	if d.cfg.ReportCleared == nil {
		return
	}

	for _, p := range parts {
		d.cleared[p] = struct{}{}
	}

	if !d.reporting && len(d.cleared) > 0 {
		d.reporting = true

		go d.reportClearedToEntries()
	}
}

// reportClearedToEntries reports cleared parts to the other entries. Those that are cleared meanwhile are
// reported together.
func (d *crashDetector) reportClearedToEntries() {
	d.mu.Lock()
	defer d.mu.Unlock()

	for len(d.cleared) > 0 {
		parts := slices.Collect(maps.Keys(d.cleared))
		clear(d.cleared)

		d.mu.Unlock()
		d.cfg.ReportCleared(parts)
		d.mu.Lock()
	}

	d.reporting = false
}

// AddClearedParts adds parts of prompts that responses at another entry have cleared.
func (g *Gateway) AddClearedParts(now time.Time, parts []string) {
	for _, p := range g.cfg.CrashParts.RecordCompletion(now, parts) {
		event.Log(g.cfg.Log, event.PartCleared, "part", p, "basis", basisReport)
	}
}
