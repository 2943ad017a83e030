package main

import (
	"fmt"
	"time"
)

// A target that never reports that it drains loses its entry shortly after the open connections to the log went
// silent. DRAIN: no request may reach it later than drainMs after that, sent on by a machine that is in touch
// again. It serves for drainMs and a little longer, and then exits with what it runs.
const (
	silentRounds = 5
	// unlistAfter is the time from the silence to the removal of the target's entry.
	unlistAfter = 500 * time.Millisecond
	// drainTime and touchTime are the bounds drainMs and stableMs.
	drainTime = 2000 * time.Millisecond
	touchTime = 3000 * time.Millisecond
	// lingerTime is how much longer than drainMs the target serves.
	lingerTime = 1000 * time.Millisecond
	// calmTime is the time without a disruption before each round.
	calmTime = 5 * time.Second

	bookingHost    = "book.example"
	bookingService = "booking-api"
	bookingWork    = 60 * time.Millisecond
	callInterval   = 20 * time.Millisecond
)

// silentLog is the state of the case.
type silentLog struct {
	*deployment

	rec     *record
	trouble bool
	entries []*machine
	proxies []*proxy
	callers []*callers
	targets []*target // listed, the oldest first
	started int
	broken  int
	// late and cut are the requests that reached targets too late, and those of them that the targets' ends cut off.
	late, cut int
	lateByID  map[string]bool
}

func runSilentLog(rec *record, trouble bool) error {
	d, err := newDeployment(bookingConfiguration())
	if err != nil {
		return err
	}
	defer d.close()

	c := &silentLog{deployment: d, rec: rec, trouble: trouble, lateByID: make(map[string]bool)}
	defer c.endTargets()

	if err := c.start(); err != nil {
		return err
	}

	for i := range silentRounds {
		if err := c.round(i + 1); err != nil {
			return err
		}
	}

	return c.report()
}

// start starts three targets, and two entries with callers.
func (c *silentLog) start() error {
	for range 3 {
		if err := c.addTarget(); err != nil {
			return err
		}
	}

	for i := range 2 {
		p, err := newProxy(c.logAddress)
		if err != nil {
			return err
		}

		c.onClose(p.close)
		c.proxies = append(c.proxies, p)

		e, err := c.startEntry(i, p.address())
		if err != nil {
			return err
		}

		c.entries = append(c.entries, e)
	}

	for _, e := range c.entries {
		if err := e.awaitReady(); err != nil {
			return err
		}

		x := newCallers(e.name, "http://"+e.at(callerPort)+"/book/1", bookingHost, callInterval)
		c.callers = append(c.callers, x)

		go x.run()
	}

	return nil
}

func (c *silentLog) endTargets() {
	for _, t := range c.targets {
		t.end()
	}
}

// bookingConfiguration has one route to a plain service, whose requests may run once.
func bookingConfiguration() configuration {
	return configuration{
		Revision: 1,
		Routes: []route{{
			Name: "booking-write", Host: bookingHost, PathPrefix: "/book/", Kind: "non_idempotent", Service: bookingService,
			TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, MaxAttempts: 1,
		}},
		Services: []serviceRecord{{Name: bookingService, MaxConnections: 96, HealthPath: healthPath}},
		Tenants:  oneTenant(), Limits: smallLimits(),
	}
}

// addTarget starts a target and lists it.
func (c *silentLog) addTarget() error {
	c.started++

	t, err := startTarget(c.log, fmt.Sprintf("i-%04d", c.started), bookingService, 6, bookingWork)
	if err != nil {
		return err
	}

	c.targets = append(c.targets, t)

	go t.register()

	return nil
}

// round replaces the oldest target.
func (c *silentLog) round(n int) error {
	if err := c.addTarget(); err != nil {
		return err
	}

	time.Sleep(calmTime)

	silentAt := time.Now()

	if c.trouble {
		for _, p := range c.proxies {
			c.rec.add("round %d: %d connections of an entry to the log go silent", n, p.silence())
		}
	}

	time.Sleep(unlistAfter)

	leaving := c.targets[0]
	c.targets = c.targets[1:]
	unlistedAt := leaving.unlist()
	c.rec.addAt(unlistedAt, "round %d: the log has accepted the removal of %s, which serves for another %v", n, leaving.id, drainTime+lingerTime)

	time.Sleep(drainTime + lingerTime)
	leaving.end()
	c.rec.add("round %d: %s has ended", n, leaving.id)
	time.Sleep(100 * time.Millisecond)

	limit := unlistedAt.Add(drainTime)
	inTouch := time.Time{} // since when the entries are in touch

	if c.trouble {
		inTouch = silentAt.Add(touchTime)
	}

	if limit.Before(inTouch) {
		limit = inTouch
	}

	c.judge(n, leaving, unlistedAt, limit, inTouch)

	return nil
}

// judge counts the requests that reached a target later than the limit, sent by entries and to entries in touch.
func (c *silentLog) judge(n int, leaving *target, unlistedAt, limit, inTouch time.Time) {
	late, cut := 0, 0

	for _, a := range leaving.seen() {
		sentAt, ok := c.sentAt(a.id)
		if !ok || !a.at.After(limit) || !sentAt.After(inTouch) {
			continue
		}

		late++
		c.lateByID[a.id] = true

		if a.cut {
			cut++
		}

		c.rec.addAt(a.at, "round %d: %s, sent at %.3f s, reaches %s, %.3f s after its removal and %.3f s after the limit; cut off: %v", n, a.id, c.rec.seconds(sentAt),
			leaving.id, a.at.Sub(unlistedAt).Seconds(), a.at.Sub(limit).Seconds(), a.cut)
	}

	c.rec.add("round %d: the limit was at %.3f s, %d requests reached %s after it, of which its end cut off %d", n, c.rec.seconds(limit), late, leaving.id, cut)

	c.late += late
	c.cut += cut

	if late > 0 {
		c.broken++
	}
}

// sentAt returns when a caller sent a request.
func (c *silentLog) sentAt(id string) (time.Time, bool) {
	for _, x := range c.callers {
		if at, ok := x.sentAt(id); ok {
			return at, true
		}
	}

	return time.Time{}, false
}

// report ends the callers and compares what they got with what the targets saw.
func (c *silentLog) report() error {
	statuses := make(map[int]int)
	lost := 0

	for _, x := range c.callers {
		for _, a := range x.end() {
			statuses[a.status]++

			if a.err != nil {
				c.rec.addAt(a.sentAt, "the caller of %s gets no answer after %v: %v", a.id, a.took.Round(time.Millisecond), a.err)
			}

			if c.lateByID[a.id] && !a.sealed {
				lost++

				c.rec.addAt(a.sentAt, "the caller of %s gets status %d after %v", a.id, a.status, a.took.Round(time.Millisecond))
			}
		}
	}

	c.rec.add("answers by status (0: none): %v", statuses)
	c.rec.add("%d of %d rounds broken: %d requests reached a target after the limit, %d of them were cut off and %d got no answer of a target",
		c.broken, silentRounds, c.late, c.cut, lost)

	if statuses[200] == 0 {
		return fmt.Errorf("no request was served: %v", statuses)
	}

	if c.broken > 0 {
		return errBroken
	}

	return nil
}
