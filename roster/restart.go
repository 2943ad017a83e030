package roster

import (
	"cmp"
	"slices"
	"time"

	"boragehub/event"
)

// observeStart records a target's reported start time, in ms of its clock, and reports whether
// the target has restarted under the same id. The caller holds mu.
//
// A restarted target has lost its requests, contexts and orders, and may have other weights. If
// the old state were kept, the target would be sent prompts for contexts that it has to prefill
// again, requests would wait for responses that never arrive, and failures of its earlier start
// would keep work from it. The register and the load reports show the same start at different
// times, so only a later start time counts.
func (r *Roster) observeStart(now time.Time, id, service string, e *engine, startedMs int64) (restarted bool) {
	if startedMs <= e.startedMs {
		return false
	}

	first := e.startedMs == 0
	if !first {
		r.markEnded(id, true)
	}

	e.startedMs = startedMs

	if first {
		return false
	}

	clear(e.versions)
	e.loadingUntil = time.Time{}
	e.report, e.reportedAt, e.sentSince = e.report.AfterRestart(), time.Time{}, Sent{}
	e.liveness = liveness{}
	e.rateLimit, e.retryAt = rateLimit{}, time.Time{}
	e.capacity = targetCapacity{}
	e.saidLeaving = false
	r.listChanged = true // it may have been leaving

	e.slowStart.assumeCold(now, r.slowStartLimit(service))

	event.Log(r.cfg.Log, event.EngineRestarted, "target", id, "born", startedMs)

	for _, c := range r.table.ObserveRestart(now, id) {
		r.logChange(c)
	}

	return true
}

// isEarlierStart reports whether a start time, in ms of the engine's clock, is that of a start
// before the current one; false when it is zero.
func (e *engine) isEarlierStart(startedMs int64) bool {
	return startedMs > 0 && startedMs < e.startedMs
}

// notifyRestart calls Config.Restarted if the target has restarted. The caller doesn't hold mu.
func (r *Roster) notifyRestart(id string, restarted bool) {
	if restarted && r.cfg.Restarted != nil {
		r.cfg.Restarted(id)
	}
}

// addRegistration records that a target is listed at an address. The caller holds mu.
func (r *Roster) addRegistration(l Listing) {
	all := r.registrations[l.Address]
	at, ok := slices.BinarySearchFunc(all, l.ID, func(reg registration, id string) int { return cmp.Compare(reg.id, id) })
	reg := registration{l.ID, l.Service, l.Era, l.Offset}

	if ok {
		all[at] = reg
	} else {
		all = slices.Insert(all, at, reg)
	}

	r.registrations[l.Address] = all
}

// removeRegistration records that a target is no longer listed at an address. The caller holds
// mu.
func (r *Roster) removeRegistration(address, id string) {
	all := slices.DeleteFunc(r.registrations[address], func(reg registration) bool { return reg.id == id })
	if len(all) == 0 {
		delete(r.registrations, address)

		return
	}

	r.registrations[address] = all
}

// currentRegistration returns the registration that was written last at an address, among those
// of configured services. Its id is empty when there is none. The caller holds mu.
func (r *Roster) currentRegistration(address string) registration {
	var best registration

	for _, reg := range r.registrations[address] {
		if r.cfg.Configured != nil && !r.cfg.Configured(reg.service) {
			continue
		}

		if best.id == "" || !best.writtenAfter(reg) {
			best = reg
		}
	}

	return best
}
