package gateway

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"boragehub/event"
	"boragehub/quarantine"
	"boragehub/roster"
)

// crashDetector finds out which requests were running on a target when it ended, to find requests
// that crash every target that runs them.
//
// A request that crashes a target breaks all requests that run there, each at the entry that sent
// it. Its caller retries it at any entry, and it crashes the next target. No entry sees all of that:
// one may have had a single request on the target, and a single broken connection is more often the
// connection's fault. Therefore a broken request is kept until it is known whether its target has
// ended. Any evidence of that counts for all broken requests of that start, whoever found it: several
// requests that break at once, a refused connection, the register, or another entry's report. A
// response to a request that was sent later shows that the target has not ended.
//
// Entries report to each other what was running on a target when it ended. Only a request that was
// on several targets when they ended is quarantined. One that merely ran beside it is unlikely to
// have been on all of them.
//
// The same evidence counts against the parts of their prompts, see quarantine.PartTracker.
type crashDetector struct {
	cfg crashDetectorConfig

	mu       sync.Mutex
	starts   *simplelru.LRU[targetStart, *observedStart]
	watchers map[watchKey]map[*context.CancelCauseFunc]struct{}
	// beginning holds, for each part, the number of prompts sent that have no event yet.
	beginning map[string]int
	// cleared holds the responses that have cleared something and that are still to be reported to the other
	// entries; reporting is true while some are being reported.
	cleared   map[clearedKey]quarantine.Acquittal
	reporting bool
	// ended counts the requests with parts that ended at this entry.
	ended quarantine.RecentTally
}

// crashDetectorConfig configures a crashDetector.
type crashDetectorConfig struct {
	// Requests and Parts hold the crashes.
	Requests *quarantine.Tracker
	Parts    *quarantine.PartTracker
	// Report reports a crash to the other entries, and returns the responses at those entries that clear some of
	// its parts. ReportCleared reports responses that have cleared requests or parts. Nil reports nothing.
	Report        func(quarantine.Crash) []quarantine.Acquittal
	ReportCleared func([]quarantine.Acquittal)
	// RequestQuarantined and PartQuarantined are called when a request or a part is quarantined, and must not
	// block; nil skips the call.
	RequestQuarantined func(f quarantine.Fingerprint)
	PartQuarantined    func(part string)
	// Log gets a line for each decision.
	Log logr.Logger
}

// targetStart identifies one start of a target.
type targetStart struct {
	id, boot string
}

// startOf returns the start of a target with an id that started at a time, in ms of its own clock,
// zero when not reported.
func startOf(id string, startedMs int64) targetStart {
	if startedMs == 0 {
		return targetStart{id, id}
	}

	return targetStart{id, strconv.FormatInt(startedMs, 10)}
}

// observedStart is what is known of one start of a target.
type observedStart struct {
	broken     []brokenRequest          // not counted, oldest first
	endedAt    time.Time                // when this entry last had evidence of its end; zero for never
	counted    []quarantine.Fingerprint // requests of this entry that were running at its end
	parts      []string                 // parts of their prompts that it counts against
	beside     *quarantine.Tally        // requests of this entry that ended in the seconds before; nil while none is counted
	unreported chan struct{}            // closed when all of them are reported; nil if they are
	reporting  bool                     // whether a report is being sent
}

// crashCandidate is a request that may have ended a target, by itself or by a part of its prompt.
type crashCandidate struct {
	fingerprint quarantine.Fingerprint
	// parts are the ids of the parts of its prompt that other requests may have too.
	parts []string
}

// partList returns the parts as one text, for the log.
func (c crashCandidate) partList() string { return strings.Join(c.parts, ",") }

// brokenRequest is a request that got no complete response.
type brokenRequest struct {
	crashCandidate

	at time.Time
	// abandoned is true if this entry closed the connection, so that the break itself says nothing
	// of the target.
	abandoned bool
}

// Limits of crash detection.
const (
	// crashWindow is the time within which broken connections count as one crash.
	crashWindow = 300 * time.Millisecond
	// minCrashRequests is how many requests have to break together to show that the target ended.
	minCrashRequests = 2
	// reportWait bounds how long the response to a request that broke waits until the other entries know
	// that it was running when its target ended. Its caller may retry at once, at any of them.
	reportWait = 50 * time.Millisecond
	// endedWindow is how long after evidence of a target's end a broken connection is put down to it.
	endedWindow = time.Second
	// brokenMemory is how long a broken request is kept without evidence. The register drops a target
	// that ended within about four seconds.
	brokenMemory = 10 * time.Second
	// maxBrokenRequests limits the broken requests kept for one start.
	maxBrokenRequests = 512
	// maxTrackedStarts limits the starts with broken requests.
	maxTrackedStarts = 1024
	// endCheckTimeout bounds the check whether a target accepts connections.
	endCheckTimeout = 100 * time.Millisecond
)

// Evidence that a target has ended, as logged.
const (
	basisConnections = "connections"
	basisRefused     = "connection refused"
	basisRestarted   = "restarted"
	basisReplaced    = "another start at its address"
	basisDropped     = "register"
	basisReport      = "another entry"
)

func newCrashDetector(cfg crashDetectorConfig) *crashDetector {
	starts, err := simplelru.NewLRU[targetStart, *observedStart](maxTrackedStarts, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}

	return &crashDetector{
		cfg: cfg, starts: starts, watchers: make(map[watchKey]map[*context.CancelCauseFunc]struct{}),
		beginning: make(map[string]int), cleared: make(map[clearedKey]quarantine.Acquittal),
	}
}

// state returns the state of a start, a new one if there is none. The caller holds mu.
func (d *crashDetector) state(s targetStart) *observedStart {
	x, ok := d.starts.Get(s)
	if !ok {
		x = &observedStart{}
		d.starts.Add(s, x)
	}

	return x
}

// add records a request whose connection a target broke, and reports whether the target is known to
// have ended. The channel, if not nil, is closed when the other entries know.
func (d *crashDetector) add(now time.Time, s targetStart, c crashCandidate) (reported <-chan struct{}, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	x := d.state(s)
	x.record(now, brokenRequest{crashCandidate: c, at: now})

	if !x.endedAt.IsZero() && now.Sub(x.endedAt) < endedWindow {
		return d.count(now, s, x, basisConnections), true
	}

	if n := x.brokenSince(now.Add(-crashWindow)); n < minCrashRequests {
		event.Log(d.cfg.Log, event.CrashNotCounted, "fingerprint", c.fingerprint.String(), "parts", c.partList(), "target", s.id, "broken", n, "basis", "single connection")

		return nil, false
	}

	x.endedAt = now

	return d.count(now, s, x, basisConnections), true
}

// addAbandoned records a request that may be running on a target although this entry closed its
// connection.
func (d *crashDetector) addAbandoned(now time.Time, s targetStart, c crashCandidate) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.state(s).record(now, brokenRequest{crashCandidate: c, at: now, abandoned: true})
}

// record adds a broken request and drops those that are too old or too many.
func (x *observedStart) record(now time.Time, b brokenRequest) {
	x.dropBefore(now.Add(-brokenMemory))

	if len(x.broken) < maxBrokenRequests {
		x.broken = append(x.broken, b)
	}
}

// dropBefore drops the requests that broke before a time.
func (x *observedStart) dropBefore(t time.Time) {
	n := 0
	for n < len(x.broken) && x.broken[n].at.Before(t) {
		n++
	}

	x.broken = x.broken[n:]
}

// brokenSince returns the number of requests that the target broke after a time.
func (x *observedStart) brokenSince(t time.Time) int {
	n := 0

	for _, b := range x.broken {
		if !b.abandoned && b.at.After(t) {
			n++
		}
	}

	return n
}

// observeResponse records that a target responded to a request that was sent at a time, so that it
// has outlived the connections that broke before.
func (d *crashDetector) observeResponse(s targetStart, sentAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	x, ok := d.starts.Peek(s)
	if !ok {
		return
	}

	x.dropBefore(sentAt)

	if x.endedAt.Before(sentAt) {
		x.endedAt = time.Time{}
	}
}

// observeEnd records evidence that a target has ended. The channel, if not nil, is closed when the other
// entries know which requests were running there.
func (d *crashDetector) observeEnd(now time.Time, s targetStart, basis string) (reported <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()

	x := d.state(s)
	x.endedAt = now

	return d.count(now, s, x, basis)
}

// count counts the end of a target against the requests that broke there, and has them reported to the
// other entries, see observeEnd. The register also drops targets that are only cut off, so its evidence doesn't
// count against abandoned requests. The caller holds mu.
func (d *crashDetector) count(now time.Time, s targetStart, x *observedStart, basis string) (reported <-chan struct{}) {
	x.dropBefore(now.Add(-brokenMemory))

	var (
		candidates []crashCandidate
		running    []quarantine.Fingerprint
	)

	parts, broken := make(map[string]struct{}), 0
	for _, p := range x.parts {
		parts[p] = struct{}{}
	}

	for _, b := range x.broken {
		if b.abandoned && basis == basisDropped {
			continue
		}

		candidates, running = append(candidates, b.crashCandidate), append(running, b.fingerprint)

		// What this entry gave up may have ended long before, or not have begun.
		if !b.abandoned {
			broken += min(len(b.parts), 1)

			for _, p := range b.parts {
				parts[p] = struct{}{}
			}
		}
	}

	x.broken = nil

	if len(running) == 0 {
		return nil
	}

	if x.beside == nil {
		beside := d.ended.Worst(now)
		x.beside = &beside
	}

	d.ended.Add(now, quarantine.Tally{Broken: broken})

	x.counted = append(x.counted, running...)
	x.parts = d.cfg.Parts.CountsAgainst(now, slices.Sorted(maps.Keys(parts)))
	d.recordCrash(now, quarantine.Crash{Target: s.id, Boot: s.boot, At: now, Running: running, Parts: x.parts, Beside: *x.beside})

	for _, c := range candidates {
		status, _ := d.cfg.Requests.Check(now, c.fingerprint)
		event.Log(d.cfg.Log, event.CrashCounted, "fingerprint", c.fingerprint.String(), "parts", c.partList(), "target", s.id, "basis", basis,
			"crashes", d.cfg.Requests.CrashCount(now, c.fingerprint), "status", status.String())
	}

	event.Log(d.cfg.Log, event.CrashSuspected, "target", s.id, "requests", len(x.counted), "parts", strings.Join(x.parts, ","), "basis", basis,
		"beside_broken", x.beside.Broken, "beside_complete", x.beside.Complete)

	return d.startReport(s, x)
}

// TargetEnded records that a start of a target has ended.
func (g *Gateway) TargetEnded(now time.Time, e roster.Ended) {
	basis := basisDropped
	if e.Replaced {
		basis = basisReplaced
	}

	g.crashes.observeEnd(now, startOf(e.ID, e.StartedMs), basis)
}
