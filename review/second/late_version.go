package main

import (
	"fmt"
	"net/http"
	"time"
)

// New weights are named just after the open connections to the log went silent. VERSION: no request may begin on the
// older version later than versionMs after that, sent on by a machine in touch.
const (
	versionRounds  = 6
	versionEngines = 12
	// namedAfter is the time from the silence to the named version.
	namedAfter = 50 * time.Millisecond
	// roundTime is the time from a named version to the next round.
	roundTime = 17 * time.Second

	promptTokens   = 36000
	promptInterval = 135 * time.Millisecond
	promptTimeout  = 10 * time.Second
	reviewHost     = "review.example"
)

// lateVersion is the state of the case.
type lateVersion struct {
	*deployment

	rec     *record
	trouble bool
	engines []*engine
	proxies []*proxy
	callers []*callers
}

func runLateVersion(rec *record, trouble bool) error {
	d, err := newDeployment(reviewConfiguration())
	if err != nil {
		return err
	}
	defer d.close()

	c := &lateVersion{deployment: d, rec: rec, trouble: trouble}
	if err := c.start(); err != nil {
		return err
	}

	time.Sleep(calmTime)

	broken := 0

	for i := range versionRounds {
		n, err := c.round(int64(i) + 2)
		if err != nil {
			return err
		}

		if n > 0 {
			broken++
		}
	}

	statuses := make(map[int]int)

	for _, x := range c.callers {
		for _, a := range x.end() {
			statuses[a.status]++
		}
	}

	rec.add("answers by status (0: none): %v", statuses)
	rec.add("%d of %d rounds broken", broken, versionRounds)

	switch {
	case statuses[http.StatusOK] == 0:
		return fmt.Errorf("no request was served: %v", statuses)
	case broken > 0:
		return errBroken
	default:
		return nil
	}
}

// start starts the engines with their processes, and two entries with callers.
func (c *lateVersion) start() error {
	for i := range 2 {
		p, err := newProxy(c.logAddress)
		if err != nil {
			return err
		}

		c.onClose(p.close)
		c.proxies = append(c.proxies, p)

		if _, err := c.startEntry(i, p.address()); err != nil {
			return err
		}
	}

	for i := range versionEngines {
		e, err := startEngine(fmt.Sprintf("i-%04d", i+1), c.targetIP(i), modelService, []string{modelA}, false)
		if err != nil {
			return err
		}

		c.onClose(e.end)
		c.engines = append(c.engines, e)

		go e.register(c.log)

		if err := c.startSide(i, e); err != nil {
			return err
		}
	}

	for _, m := range c.machines {
		if m.engine != "" {
			continue
		}

		if err := m.awaitReady(); err != nil {
			return err
		}

		x := newCallers(m.name, "http://"+m.at(callerPort)+"/review/1", reviewHost, promptInterval)
		x.timeout = promptTimeout
		x.header = func(id string, h http.Header) {
			h.Set("X-Model", modelA)
			h.Set("X-Token-Usage", fmt.Sprintf("%d,30", promptTokens))
			h.Set("X-Prompt-Prefix", fmt.Sprintf("aa%s:12800,bb%s:%d", id[len(id)-5:], id[len(id)-5:], promptTokens-12800))
		}
		c.callers = append(c.callers, x)

		go x.run()
	}

	return nil
}

// round names a version and returns how many requests began too late on an older one.
func (c *lateVersion) round(version int64) (late int, err error) {
	if c.trouble {
		for _, p := range c.proxies {
			c.rec.add("version %d: %d connections of an entry to the log go silent", version, p.silence())
		}

		time.Sleep(namedAfter)
	}

	for _, e := range c.engines {
		e.name(modelA, version)
	}

	if err := c.publish("version/"+modelA, namedVersion{modelA, version}); err != nil {
		return 0, err
	}

	namedAt := time.Now()
	c.rec.addAt(namedAt, "the log has accepted version %d of %s", version, modelA)

	time.Sleep(time.Until(namedAt.Add(roundTime)))

	limit := namedAt.Add(versionTime)

	for _, e := range c.engines {
		orders, versions := e.seen()

		for _, o := range orders {
			if o.revision == version {
				c.rec.addAt(o.at, "%s takes the order of %s for version %d: status %d", e.id, o.holder, o.revision, o.status)
			}
		}

		for _, b := range e.begunRequests() {
			if b.version >= version || !b.at.After(limit) || b.arrivedAt.Before(namedAt) {
				continue
			}

			late++

			c.rec.addAt(b.at, "%s, which reached %s at %.3f s, begins there on version %d, %.3f s after version %d was named", b.id, e.id, c.rec.seconds(b.arrivedAt),
				b.version, b.at.Sub(namedAt).Seconds(), version)
		}

		if versions[modelA] != version {
			c.rec.add("%s has version %d at the end of the round", e.id, versions[modelA])
		}
	}

	c.rec.add("version %d: %d requests began on an older one later than %v after it was named", version, late, versionTime)

	return late, nil
}

// reviewConfiguration has one service of twelve engines.
func reviewConfiguration() configuration {
	return configuration{
		Revision: 1,
		Routes: []route{{
			Name: "fare-review", Host: reviewHost, PathPrefix: "/review/", Kind: "streaming", Service: modelService,
			TimeoutMs: 10000, TargetLatencyMs: 800, GapAimMs: 300, Priority: 1, MaxAttempts: 1, Sticky: true,
		}},
		Services: []serviceRecord{{
			Name: modelService, MaxConnections: 360, HealthPath: healthPath,
			Engine: &engineRecord{
				Slots: engineSlots, KvCapacityTokens: engineMemory, TokenKvBytes: 163840, LinkMbps: 550000, Models: []modelRecord{{Name: modelA, Adapters: []string{}}},
			},
		}},
		Tenants: oneTenant(), Limits: smallLimits(),
	}
}
