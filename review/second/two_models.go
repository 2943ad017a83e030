package main

import (
	"fmt"
	"time"
)

// Engines run two models, whose versions are named independently of each other. ONE: no order to an engine may
// bear a lower fencing token than one before it.
const (
	modelService = "boragehub-llm"
	modelA       = "long70b"
	modelB       = "quick8b"
	// versionTime is the bound versionMs, namedInterval the time between two named versions.
	versionTime   = 8 * time.Second
	namedInterval = 9 * time.Second
)

func runTwoModels(rec *record, trouble bool) error {
	broken := false

	for _, checks := range []bool{false, true} {
		b, err := twoModels(rec, trouble, checks)
		if err != nil {
			return err
		}

		broken = broken || b
	}

	if broken {
		return errBroken
	}

	return nil
}

// twoModels runs one deployment, whose engines check fencing tokens or don't.
func twoModels(rec *record, trouble, checks bool) (broken bool, err error) {
	d, err := newDeployment(modelConfiguration())
	if err != nil {
		return false, err
	}
	defer d.close()

	engines, err := startModels(d, 2, checks)
	if err != nil {
		return false, err
	}

	versions := []namedVersion{{modelA, 2}, {modelA, 3}}
	if trouble {
		versions = append(versions, namedVersion{modelB, 2})
	}

	for _, v := range versions {
		if err := nameVersion(rec, d, engines, v); err != nil {
			return false, err
		}

		time.Sleep(namedInterval)
	}

	time.Sleep(versionTime + versionTime/2 - namedInterval)

	return judgeOrders(rec, engines, checks), nil
}

// runModelsTogether names versions of both models at once, on twelve engines. VERSION: 1.5 x versionMs later no more
// than one engine and a tenth of them may have an older version. It is no case of the review.
func runModelsTogether(rec *record, trouble bool) error {
	d, err := newDeployment(modelConfiguration())
	if err != nil {
		return err
	}
	defer d.close()

	engines, err := startModels(d, 12, false)
	if err != nil {
		return err
	}

	time.Sleep(calmTime)

	versions := []namedVersion{{modelA, 2}}
	if trouble {
		versions = append(versions, namedVersion{modelB, 2})
	}

	for _, v := range versions {
		if err := nameVersion(rec, d, engines, v); err != nil {
			return err
		}
	}

	time.Sleep(versionTime + versionTime/2)

	old := 0

	for _, e := range engines {
		orders, versions := e.seen()

		for _, o := range orders {
			rec.addAt(o.at, "%s takes the order for version %d of %s with token %d: status %d", e.id, o.revision, o.model, o.fence, o.status)
		}

		if versions[modelA] < e.named[modelA] || versions[modelB] < e.named[modelB] {
			old++
		}
	}

	rec.add("%d of %d engines have an older version after %v", old, len(engines), versionTime+versionTime/2)

	if old > 1 && 10*old > len(engines) {
		return errBroken
	}

	return nil
}

// nameVersion publishes a version.
func nameVersion(rec *record, d *deployment, engines []*engine, v namedVersion) error {
	for _, e := range engines {
		e.name(v.Model, v.Revision)
	}

	rec.add("the log has accepted version %d of %s", v.Revision, v.Model)

	return d.publish("version/"+v.Model, v)
}

// startModels starts engines of two models with their processes, and an entry.
func startModels(d *deployment, n int, checks bool) (engines []*engine, err error) {
	for i := range n {
		e, err := startEngine(fmt.Sprintf("i-%04d", i+1), d.targetIP(i), modelService, []string{modelA, modelB}, checks)
		if err != nil {
			return nil, err
		}

		d.onClose(e.end)

		engines = append(engines, e)

		go e.register(d.log)

		if err := d.startSide(i, e); err != nil {
			return nil, err
		}
	}

	entry, err := d.startEntry(0, d.logAddress)
	if err != nil {
		return nil, err
	}

	if err := entry.awaitReady(); err != nil {
		return nil, err
	}

	time.Sleep(2 * time.Second)

	return engines, nil
}

// judgeOrders reports whether a rule was broken by the orders that the engines received.
func judgeOrders(rec *record, engines []*engine, checks bool) (broken bool) {
	old := 0

	for _, e := range engines {
		orders, versions := e.seen()

		for _, o := range orders {
			rec.addAt(o.at, "%s (checks fencing tokens: %v): %s orders version %d of %s with token %d, highest before %d for %s: status %d",
				e.id, checks, o.holder, o.revision, o.model, o.fence, o.highestFence, o.highestFenceOf, o.status)

			if !checks && o.status == 202 && o.fence < o.highestFence {
				broken = true

				rec.addAt(o.at, "ONE: %s accepted a lower token after a higher one", e.id)
			}
		}

		for m, v := range versions {
			if v < e.named[m] {
				old++

				rec.add("VERSION: %s has version %d of %s, %v after version %d was named", e.id, v, m, versionTime+versionTime/2, e.named[m])
			}
		}
	}

	return broken || old > 1
}

// modelConfiguration has one service of two models.
func modelConfiguration() configuration {
	return configuration{
		Revision: 1,
		Routes: []route{{
			Name: "seat-query", Host: "seat.example", PathPrefix: "/seat/", Kind: "streaming", Service: modelService,
			TimeoutMs: 5000, TargetLatencyMs: 400, GapAimMs: 300, MaxAttempts: 1, Sticky: true,
		}},
		Services: []serviceRecord{{
			Name: modelService, MaxConnections: 360, HealthPath: healthPath,
			Engine: &engineRecord{
				Slots: engineSlots, KvCapacityTokens: 77648, TokenKvBytes: 163840, LinkMbps: 550000,
				Models: []modelRecord{{Name: modelA, Adapters: []string{}}, {Name: modelB, Adapters: []string{}}},
			},
		}},
		Tenants: oneTenant(), Limits: smallLimits(),
	}
}
