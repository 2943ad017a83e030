package roster

import (
	"time"

	"boragehub/pulse"
)

// Utilisation of the prefill capacity of a service's engines.
const (
	// utilisationWindow is the time over which load reports are counted: several prefills of long
	// prompts, which take up to half a second each.
	utilisationWindow = 3 * time.Second
	// utilisationStep is the time covered by one counter.
	utilisationStep = 250 * time.Millisecond
	// minUtilisationReports is the number of load reports below which the utilisation is unknown. A
	// single engine sends 30 in the window.
	minUtilisationReports = 10
)

const utilisationSteps = int64(utilisationWindow / utilisationStep)

// utilisation counts the load reports of a service's engines. The zero value has none.
type utilisation struct {
	steps [utilisationSteps]utilisationCount
}

// utilisationCount counts the load reports of one step.
type utilisationCount struct {
	step          int64 // number of the step since the Unix epoch
	reports, busy int   // all, and those with a request in prefill
}

// stepAt returns the number of the step that covers now.
func stepAt(now time.Time) int64 { return now.UnixNano() / int64(utilisationStep) }

// observe counts a load report.
func (u *utilisation) observe(now time.Time, prefilling bool) {
	step := stepAt(now)

	c := &u.steps[(step%utilisationSteps+utilisationSteps)%utilisationSteps]
	if c.step != step {
		*c = utilisationCount{step: step}
	}

	c.reports++

	if prefilling {
		c.busy++
	}
}

// percent returns the share of load reports with a request in prefill, at least 1; zero when it is
// unknown.
func (u *utilisation) percent(now time.Time) int {
	step := stepAt(now)
	reports, busy := 0, 0

	for _, c := range u.steps {
		if c.step > step-utilisationSteps && c.step <= step {
			reports, busy = reports+c.reports, busy+c.busy
		}
	}

	if reports < minUtilisationReports {
		return 0
	}

	return max((busy*100+reports/2)/reports, 1)
}

// observeUtilisation counts a load report of an engine, unless its state is that of the engine's
// last report. The caller holds mu.
func (r *Roster) observeUtilisation(now time.Time, e *engine, p pulse.Report) {
	last := &e.report
	if p.StateSequence > 0 && p.StateSequence == last.StateSequence && p.SourceStart == last.SourceStart {
		return
	}

	u, ok := r.utilisations[e.listing.Service]
	if !ok {
		u = &utilisation{}
		r.utilisations[e.listing.Service] = u
	}

	u.observe(now, p.Prefilling > 0)
}

// Utilisation returns how much of the prefill capacity is in use in the service of the target at an
// address: the share of the recent load reports of the service's targets in which a request is in
// prefill, in percent. It is zero when unknown and in services that aren't contended.
func (r *Roster) Utilisation(now time.Time, address string) int {
	service, percent := r.serviceUtilisation(now, address)
	if percent == 0 || !r.Contended(service) {
		return 0
	}

	return percent
}

// serviceUtilisation returns the service of the target at an address and its utilisation, contended
// or not.
func (r *Roster) serviceUtilisation(now time.Time, address string) (service string, percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	service = r.currentRegistration(address).service

	u, ok := r.utilisations[service]
	if !ok {
		return service, 0
	}

	return service, u.percent(now)
}
