package main

import (
	"fmt"
	"net/http"
	"time"
)

// All targets of a service crash at once while callers of one tenant look up the same thing. DENIED: no more than 5
// and one in 500 of all requests may be ended with a 4xx of boragehub's own, as all are proper.
const (
	lookTargets  = 4
	lookHost     = "look.example"
	lookPath     = "/look/today"
	downTime     = 2 * time.Second
	lookTimeout  = 1500 * time.Millisecond
	lookInterval = 10 * time.Millisecond
	// beforeCrash and afterReturn are the times with callers before the crash and after the targets are back.
	beforeCrash = 10 * time.Second
	afterReturn = 30 * time.Second
)

func runAllCrash(rec *record, trouble bool) error {
	d, err := newDeployment(lookConfiguration())
	if err != nil {
		return err
	}
	defer d.close()

	targets, err := startLookTargets(d, 0)
	if err != nil {
		return err
	}

	var all []*callers

	for i := range 2 {
		if _, err := d.startEntry(i, d.logAddress); err != nil {
			return err
		}
	}

	for _, m := range d.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}

		x := newCallers(m.name, "http://"+m.at(callerPort)+lookPath, lookHost, lookInterval)
		x.method = http.MethodGet
		all = append(all, x)

		go x.run()
	}

	time.Sleep(beforeCrash)

	if trouble {
		rec.add("all %d targets crash", len(targets))

		for _, t := range targets {
			go t.crash()
		}
	}

	time.Sleep(downTime)

	if trouble {
		if _, err := startLookTargets(d, lookTargets); err != nil {
			return err
		}

		rec.add("the targets are back")
	}

	time.Sleep(afterReturn)

	return judgeDenied(rec, all)
}

// startLookTargets starts and lists the targets, whose ids begin after a number.
func startLookTargets(d *deployment, after int) ([]*target, error) {
	var all []*target

	for i := range lookTargets {
		t, err := startTarget(d.log, fmt.Sprintf("i-%04d", after+i+1), bookingService, 6, bookingWork)
		if err != nil {
			return nil, err
		}

		d.onClose(t.end)
		all = append(all, t)

		go t.register()
	}

	return all, nil
}

// judgeDenied compares the refusals with the limit of the rule.
func judgeDenied(rec *record, all []*callers) error {
	statuses, total, denied := make(map[int]int), 0, 0

	var first, last time.Time

	for _, x := range all {
		for _, a := range x.end() {
			statuses[a.status]++
			total++

			if a.sealed || a.status < 400 || a.status >= 500 || a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest || a.status == http.StatusTooManyRequests {
				continue
			}

			denied++

			if first.IsZero() || a.sentAt.Before(first) {
				first = a.sentAt
			}

			if a.sentAt.After(last) {
				last = a.sentAt
			}
		}
	}

	allowed := 5 + total/500
	rec.add("answers by status (0: none): %v", statuses)
	rec.add("%d of %d requests were denied, %d are allowed", denied, total, allowed)

	if denied > 0 {
		rec.add("the first was sent at %.3f s, the last at %.3f s", rec.seconds(first), rec.seconds(last))
	}

	switch {
	case statuses[http.StatusOK] == 0:
		return fmt.Errorf("no request was served: %v", statuses)
	case denied > allowed:
		return errBroken
	default:
		return nil
	}
}

// lookConfiguration has one route to a plain service, whose requests may run more than once.
func lookConfiguration() configuration {
	return configuration{
		Revision: 1,
		Routes: []route{{
			Name: "manifest-pull", Host: lookHost, PathPrefix: "/look/", Kind: "idempotent", Service: bookingService,
			TimeoutMs: int(lookTimeout.Milliseconds()), TargetLatencyMs: 300, Priority: 2, MaxAttempts: 2,
		}},
		Services: []serviceRecord{{Name: bookingService, MaxConnections: 96, HealthPath: healthPath}},
		Tenants:  oneTenant(), Limits: smallLimits(),
	}
}
