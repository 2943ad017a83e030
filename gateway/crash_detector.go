package gateway

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/quarantine"
)

// crashDetector collects the requests whose connections a target broke, to find requests that
// crash every target that runs them.
//
// A request that crashes a target breaks all requests that run there. Its caller retries it, and
// it crashes the next target: several targets crash one after the other while the same request
// runs on each. A single broken connection is weak evidence, so only a request that was on
// several targets when they broke is quarantined. A request that merely ran beside it is
// unlikely to have been on all of them.
//
// The caller may retry at any entry. Entries therefore report to each other what was on a target
// when it crashed. An entry that lost a single connection there then knows that this was a
// crash too.
type crashDetector struct {
	tracker *quarantine.Tracker
	report  func(quarantine.Crash) // reports to the other entries; nil reports nothing
	log     logr.Logger

	mu            sync.Mutex
	broken        map[string][]brokenRequest // by target
	reportPending map[string]bool            // targets whose crash is about to be reported
}

// brokenRequest is one request whose connection broke.
type brokenRequest struct {
	at          time.Time
	fingerprint quarantine.Fingerprint
}

// Limits of crash detection.
const (
	// crashWindow is the time within which broken connections count as one crash.
	crashWindow = 300 * time.Millisecond
	// minCrashRequests is how many requests have to break together: a single broken request
	// is more often the connection's fault.
	minCrashRequests = 2
	// reportDelay is the time between noticing and reporting a crash, so that one message
	// covers all connections that it broke.
	reportDelay = 150 * time.Millisecond
	// reportedCrashWindow is how long before another entry's report of a crash a connection
	// may have been broken by it.
	reportedCrashWindow = time.Second
	// maxTrackedTargets limits the number of targets with recorded broken requests.
	maxTrackedTargets = 256
)

func newCrashDetector(t *quarantine.Tracker, report func(quarantine.Crash), log logr.Logger) *crashDetector {
	return &crashDetector{tracker: t, report: report, log: log, broken: make(map[string][]brokenRequest), reportPending: make(map[string]bool)}
}

// add records a request whose connection a target broke.
func (d *crashDetector) add(now time.Time, id string, f quarantine.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if len(d.broken) >= maxTrackedTargets {
		clear(d.broken)
	}

	d.broken[id] = append(d.broken[id], brokenRequest{now, f})

	running := d.recent(now, id, crashWindow)
	if len(running) >= minCrashRequests {
		d.recordCrash(now, id, running, "connections")

		return
	}

	event.Log(d.log, event.CrashNotCounted, "fingerprint", f.String(), "target", id, "broken", len(running), "basis", "single connection")
}

// recent returns the requests that broke on a target within the last maxAge, and drops those that
// are older than reportedCrashWindow. The caller holds mu.
func (d *crashDetector) recent(now time.Time, id string, maxAge time.Duration) []quarantine.Fingerprint {
	var (
		kept    []brokenRequest
		running []quarantine.Fingerprint
	)

	for _, b := range d.broken[id] {
		if now.Sub(b.at) < reportedCrashWindow {
			kept = append(kept, b)
		}

		if now.Sub(b.at) < maxAge {
			running = append(running, b.fingerprint)
		}
	}

	d.broken[id] = kept

	return running
}

// recordCrash counts a crash against the requests that ran there, and schedules the report to the
// other entries. The caller holds mu.
func (d *crashDetector) recordCrash(now time.Time, id string, running []quarantine.Fingerprint, basis string) {
	d.tracker.RecordCrash(now, quarantine.Crash{Target: id, Boot: id, At: now, Running: running})
	d.logCounted(now, id, running, basis)

	if d.reportPending[id] || d.report == nil {
		return
	}

	d.reportPending[id] = true

	event.Log(d.log, event.CrashSuspected, "target", id, "requests", len(running), "basis", basis)
	time.AfterFunc(reportDelay, func() { d.reportToEntries(id) })
}

// logCounted logs for each request what a crash counts against it.
func (d *crashDetector) logCounted(now time.Time, id string, running []quarantine.Fingerprint, basis string) {
	for _, f := range running {
		status, _ := d.tracker.Check(now, f)
		event.Log(d.log, event.CrashCounted, "fingerprint", f.String(), "target", id, "basis", basis, "crashes", d.tracker.CrashCount(now, f), "status", status.String())
	}
}

// reportToEntries reports to the other entries what was on a target when it crashed.
func (d *crashDetector) reportToEntries(id string) {
	now := time.Now()

	d.mu.Lock()
	c := quarantine.Crash{Target: id, Boot: id, At: now, Running: d.recent(now, id, reportedCrashWindow)}
	delete(d.reportPending, id)
	d.mu.Unlock()

	d.report(c)
}

// addReported adds a crash that another entry reported. Requests that broke here at that time were
// on the target as well.
func (d *crashDetector) addReported(now time.Time, c quarantine.Crash) {
	c.At = now // by this process's clock
	d.tracker.RecordCrash(now, c)
	d.logCounted(now, c.Target, c.Running, "report")

	d.mu.Lock()
	defer d.mu.Unlock()

	running := d.recent(now, c.Target, reportedCrashWindow)
	if len(running) > 0 && len(running) < minCrashRequests {
		d.recordCrash(now, c.Target, running, "another entry")
	}
}
