package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// A request ends each target that begins to run it, and its caller sends it again and again. BUDGET: such a request
// may reach targets in three retries at most, later than stableMs after it has ended the third. All entries are
// killed at once several times.
const (
	deadlyBody   = "deadly"
	deadlyMaxRan = 3
	// backAfter is how long a target is away after it was ended.
	backAfter = 1500 * time.Millisecond
	// firstTry is the time from the third target's end to the first further try.
	firstTry = 62 * time.Second
	// restarts is the number of times that all entries are killed.
	restarts = 4
	// afterRestart is the time from the start of the entries to the next try, by when they are in touch.
	afterRestart = 3300 * time.Millisecond
)

// deadly is the state of the case.
type deadly struct {
	*deployment

	rec     *record
	trouble bool
	entries []*machine
	callers []*callers
	sent    int

	mu      sync.Mutex
	targets []*target
	started int
	ends    []time.Time // of targets by the deadly request
}

func runDeadly(rec *record, trouble bool) error {
	d, err := newDeployment(bookingConfiguration())
	if err != nil {
		return err
	}
	defer d.close()

	c := &deadly{deployment: d, rec: rec, trouble: trouble}
	defer c.endTargets()

	if err := c.start(); err != nil {
		return err
	}

	// The request comes again, at any entry, until it has ended three targets, and a few times more.
	for n := 0; n < 12 && len(c.endTimes()) < deadlyMaxRan; n++ {
		c.send(n % len(c.entries))
		time.Sleep(time.Second)
	}

	all := c.endTimes()
	if len(all) < deadlyMaxRan {
		return fmt.Errorf("the request ended %d targets only", len(all))
	}

	third := all[deadlyMaxRan-1]
	c.rec.addAt(third, "the request has ended its third target")

	time.Sleep(time.Until(third.Add(firstTry)))
	c.tryAll()

	for range restarts {
		if err := c.restart(); err != nil {
			return err
		}

		c.tryAll()
	}

	return c.report(third)
}

// start starts four targets, and two entries with callers.
func (c *deadly) start() error {
	for range 4 {
		if err := c.addTarget(); err != nil {
			return err
		}
	}

	for i := range 2 {
		e, err := c.startEntry(i, c.logAddress)
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

	time.Sleep(touchTime)

	return nil
}

// addTarget starts a target and lists it.
func (c *deadly) addTarget() error {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.started++

	t, err := startTarget(c.log, fmt.Sprintf("i-%04d", c.started), bookingService, 6, bookingWork)
	if err != nil {
		return err
	}

	t.deadly = c.endedBy
	c.targets = append(c.targets, t)

	go t.register()

	return nil
}

// endedBy ends a target that has begun to run the deadly request. It is back under another id later.
func (c *deadly) endedBy(t *target, id string) {
	c.mu.Lock()
	c.ends = append(c.ends, time.Now())
	c.mu.Unlock()

	c.rec.add("%s ends %s", id, t.id)

	t.crash()

	time.AfterFunc(backAfter, func() {
		if err := c.addTarget(); err != nil {
			c.rec.add("a target did not start again: %v", err)
		}
	})
}

// endTimes returns when the request has ended targets.
func (c *deadly) endTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()

	return append([]time.Time(nil), c.ends...)
}

func (c *deadly) endTargets() {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, t := range c.targets {
		t.end()
	}
}

// send sends the deadly request to an entry and waits for the answer.
func (c *deadly) send(entry int) {
	c.sent++
	a := c.callers[entry].sendBody(fmt.Sprintf("deadly-%03d", c.sent), deadlyBody)
	c.rec.addAt(a.sentAt, "%s is sent to %s: status %d after %v", a.id, c.entries[entry].name, a.status, a.took.Round(time.Millisecond))
}

// tryAll sends the deadly request to each entry once.
func (c *deadly) tryAll() {
	for i := range c.entries {
		c.send(i)
	}

	time.Sleep(backAfter)
}

// restart kills all entries at once and starts them again.
func (c *deadly) restart() error {
	if c.trouble {
		c.rec.add("all entries are killed")

		for _, e := range c.entries {
			e.killAsync()
		}

		for _, e := range c.entries {
			e.kill()

			if err := e.start(c.deploy, "gateway", c.dir); err != nil {
				return err
			}
		}
	}

	time.Sleep(afterRestart)

	return nil
}

// report counts the targets that the request ended too often.
func (c *deadly) report(third time.Time) error {
	n := 0

	for _, at := range c.endTimes() {
		if at.After(third.Add(touchTime)) {
			n++

			c.rec.addAt(at, "retry %d later than %v after the third end", n, touchTime)
		}
	}

	statuses := make(map[int]int)

	for _, x := range c.callers {
		for _, a := range x.end() {
			statuses[a.status]++
		}
	}

	c.rec.add("answers by status to the other callers (0: none): %v", statuses)
	c.rec.add("the request reached targets in %d retries later than %v after it had ended the third, %d are allowed", n, touchTime, deadlyMaxRan)

	if statuses[http.StatusOK] == 0 {
		return fmt.Errorf("no request was served: %v", statuses)
	}

	if n > deadlyMaxRan {
		return errBroken
	}

	return nil
}
