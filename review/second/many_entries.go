package main

import (
	"fmt"
	"time"
)

// More entries than the process beside an engine sends load reports to, while a share of the orders to engines gets
// no response and is carried out late. ONE: no order to an engine may bear a lower fencing token than one before it.
const (
	manyEntries = 80
	manyEngines = 30
	manyRounds  = 3
	// settleTime is the time from the start of all processes to the first version.
	settleTime = 16 * time.Second
	// orderLossTime is the duration of the disruption after each named version.
	orderLossTime = 7 * time.Second
	// orderLossShare is the share of orders without a response.
	orderLossShare = 0.5
)

func runManyEntries(rec *record, trouble bool) error {
	d, err := newDeployment(singleModelConfiguration())
	if err != nil {
		return err
	}
	defer d.close()

	engines, err := startFleet(d, manyEntries, manyEngines)
	if err != nil {
		return err
	}

	rec.add("%d entries and %d engines with their processes have started", manyEntries, manyEngines)
	time.Sleep(settleTime)

	for i := range manyRounds {
		if err := nameVersion(rec, d, engines, namedVersion{modelA, int64(i) + 2}); err != nil {
			return err
		}

		if trouble {
			until := time.Now().Add(orderLossTime)

			for _, e := range engines {
				e.loseOrders(orderLossShare, until)
			}
		}

		time.Sleep(namedInterval)
	}

	return judgeHolders(rec, engines)
}

// startFleet starts entries, and engines with their processes.
func startFleet(d *deployment, entries, engineCount int) (engines []*engine, err error) {
	for i := range engineCount {
		e, err := startEngine(fmt.Sprintf("i-%04d", i+1), d.targetIP(i), modelService, []string{modelA}, false)
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

	var all []*machine

	for i := range entries {
		m, err := d.startEntry(i, d.logAddress)
		if err != nil {
			return nil, err
		}

		all = append(all, m)
	}

	for _, m := range all {
		if err := m.awaitReady(); err != nil {
			return nil, err
		}
	}

	return engines, nil
}

// judgeHolders counts the orders with a lower token than one before from another holder.
func judgeHolders(rec *record, engines []*engine) error {
	broken, loaded, byEntries, total := 0, 0, 0, 0

	for _, e := range engines {
		orders, versions := e.seen()
		if versions[modelA] > 1 {
			loaded++
		}

		var highest *order

		for i := range orders {
			o := &orders[i]
			total++

			if o.holder[:4] == "edge" {
				byEntries++
			}

			rec.addAt(o.at, "%s: %s orders version %d with token %d: %s", e.id, o.holder, o.revision, o.fence, o.outcome())

			if highest != nil && o.took() && o.fence < highest.fence && o.holder != highest.holder {
				broken++

				rec.addAt(o.at, "ONE: %s gets an order of %s with token %d, %.3f s after one of %s with token %d", e.id, o.holder, o.fence, o.at.Sub(highest.at).Seconds(),
					highest.holder, highest.fence)
			}

			if o.took() && (highest == nil || o.fence >= highest.fence) {
				highest = o
			}
		}
	}

	rec.add("%d orders, %d of them of entries, though each engine has a process beside it that lives; %d orders bear a lower token than one of another holder before", total,
		byEntries, broken)

	switch {
	case loaded == 0:
		return fmt.Errorf("no engine has loaded new weights")
	case broken > 0:
		return errBroken
	default:
		return nil
	}
}

// singleModelConfiguration has one service of one model.
func singleModelConfiguration() configuration {
	c := modelConfiguration()
	c.Services[0].Engine.Models = []modelRecord{{Name: modelA, Adapters: []string{}}}

	return c
}
