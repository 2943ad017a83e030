package roster

import (
	"sort"
	"time"

	"boragehub/pulse"
)

// maxLostReports is how many load reports in a row may be lost before the last one received
// is too old to be used.
const maxLostReports = 5

// maxReportAge returns the age up to which an engine's load report is used.
func (e *engine) maxReportAge() time.Duration {
	return (maxLostReports + 1) * max(e.report.Interval, pulse.MinInterval)
}

// ObserveReport applies a load report that an engine's side process sent directly.
func (r *Roster) ObserveReport(now time.Time, p pulse.Report) {
	r.mu.Lock()
	id, restarted := r.applyReport(now, p)
	r.mu.Unlock()

	r.notifyRestart(id, restarted)
}

// applyReport applies a load report. It returns the id of the reporting target and whether
// that target has restarted under the same id. The caller holds mu.
func (r *Roster) applyReport(now time.Time, p pulse.Report) (id string, restarted bool) {
	id = r.currentRegistration(p.Engine).id
	e, ok := r.engines[id]
	if !ok {
		r.observeDeparted(now, p)

		return "", false
	}

	r.reporting[p.Engine] = true

	restarted = r.observeStart(now, id, e.listing.Service, e, p.StartedMs)
	if e.isEarlierStart(p.StartedMs) {
		return "", false
	}

	if e.applyBacklog(now, p) {
		return id, restarted
	}

	e.observeReport(now)
	e.run.observe(p.Clock, p.Interval)

	r.lastSeen = now
	r.applyReportedRateLimit(now, id, e, p.RateLimit)
	r.applyReportedLeaving(id, e, p.Leaving)
	r.observeUtilisation(now, e, p)
	e.report, e.sentSince = p, Sent{}

	r.applyReportedCapacity(now, id, e, p)
	e.slowStart.observeReport(now, p)
	r.raiseVersion(id, e, p.Model, p.Version, "pulse")

	return id, restarted
}

// Subscriptions returns the addresses of the targets to whose load reports this process subscribes,
// and the interval between two reports of one target. They are the targets of the services for
// which pass returns true; when there are too many, the most recently used ones.
func (r *Roster) Subscriptions(now time.Time, pass func(service string) bool) (addresses []string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.subscribes = true

	var all []*engine

	for _, e := range r.engines {
		if pass(e.listing.Service) {
			all = append(all, e)
		}
	}

	maxSubscribed, interval := pulse.PlanSubscriptions(len(all))

	sort.Slice(all, func(i, j int) bool { return all[i].lastSentAt.After(all[j].lastSentAt) })

	for i, e := range all {
		if i >= maxSubscribed {
			e.subscribedAt, e.liveness.missedChecks = time.Time{}, 0

			continue
		}

		if e.subscribedAt.IsZero() {
			e.subscribedAt = now
		}

		addresses = append(addresses, e.listing.Address)
	}

	return addresses, interval
}
