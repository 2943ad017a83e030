package experiment

import (
	"time"

	"boragehub/directory"
)

// run holds the parameters of one simulation run.
type run struct {
	d        Deployment
	policy   Policy
	load     float64
	seed     uint64
	fault    Fault
	ablation Ablation
	warmup   time.Duration
	measured time.Duration
}

// drainTime is how long a run continues after the end of the measurement, so that the
// requests still in flight end.
const drainTime = 6 * time.Minute

// execute carries out the run.
func (r run) execute() *Result {
	res := &Result{Policy: r.policy, Load: r.load, Seed: r.seed, Fault: r.fault, Ablation: r.ablation}
	measuredEnd := r.warmup + r.measured
	faultAt := r.warmup + r.measured/3
	rec := newRecorder(r.d, res, r.warmup, measuredEnd, faultAt)

	var b *burst

	if r.fault == OrganisationBurst {
		const organisation, factor = 4, 10

		b = &burst{organisation, factor, faultAt, faultAt + FaultDuration}
		rec.excludedOrganisation = organisation
	}

	conversations, visits := generate(r.d, r.seed, r.load*r.d.Capacity(), measuredEnd, b)
	s := newSimulation(r.d, *res, rec)
	s.conversations = conversations

	s.scheduleArrivals(visits)
	s.recordReports(measuredEnd)
	s.clock.at(faultAt, s.startFault)
	s.clock.run(measuredEnd)
	rec.recordLinks(s.pipeList, measuredEnd)
	s.clock.run(measuredEnd + drainTime)

	res.Calls = newStats(r.d.Service)
	if r.load < 1 {
		res.Calls, res.CallsSentAgain = r.calls()
	}

	for _, st := range s.stores {
		res.StoreEvictions += st.evicted
	}

	return res
}

// scheduleArrivals schedules the first visit, whose arrival schedules the next one.
func (s *simulation) scheduleArrivals(visits []*visit) {
	if len(visits) == 0 {
		return
	}

	s.clock.at(visits[0].at, func() {
		s.arrive(visits[0])
		s.scheduleArrivals(visits[1:])
	})
}

// startFault injects the run's fault. StaleLoad and OrganisationBurst are part of the
// reports and the load.
func (s *simulation) startFault() {
	switch s.fault {
	case StoreLost:
		s.loseStore()
	case LinkSlowdown:
		const slow = 0.1

		s.scaleLinkRates(slow)
		s.clock.after(FaultDuration, func() { s.scaleLinkRates(1) })
	case DataCentreCut:
		s.cutDataCentre = s.d.DataCentres[len(s.d.DataCentres)-1]
		s.clock.after(FaultDuration, func() { s.cutDataCentre = "" })
	case EventsLost:
		s.eventsLost = true
		s.clock.after(FaultDuration, s.resync)
	case WeightSwap:
		s.reloadFrom(0)
	case AnswersBroken:
		s.breaking = true
		s.clock.after(FaultDuration, func() { s.breaking = false })
	default:
	}
}

// storeFailureDelay is the time until the side processes report a store as lost.
const storeFailureDelay = 2 * time.Second

func (s *simulation) loseStore() {
	st := s.stores[0]
	st.fail()
	s.clock.after(storeFailureDelay, func() { s.dir.RemoveHolder(directory.Store, st.name) })
}

func (s *simulation) scaleLinkRates(factor float64) {
	for _, p := range s.pipeList {
		p.setRate(factor * s.d.LinkBytesPerSecond)
	}
}

// resync ends the loss of events: the side processes detect the gap and report the
// full cache contents of their engines.
func (s *simulation) resync() {
	s.eventsLost = false

	for _, e := range s.engines {
		s.dir.RemoveHolder(directory.Engine, e.name)

		for x := e.cache.lru.Back(); x != nil; x = x.Prev() {
			s.reportCached(e, x.Value.(*cached).c)
		}
	}
}

// reloadFrom loads new weights into the engines from index i on, ConcurrentLoads at a
// time, which the weight store serves without slowing down.
func (s *simulation) reloadFrom(i int) {
	for n := range s.d.Engine.ConcurrentLoads {
		if i+n >= len(s.engines) {
			return
		}

		s.loadEngine(s.engines[i+n])
	}

	s.clock.after(s.d.Engine.LoadTime, func() { s.reloadFrom(i + s.d.Engine.ConcurrentLoads) })
}

func (s *simulation) loadEngine(e *engine) {
	e.loading = true

	s.clock.after(s.d.Engine.LoadTime, func() {
		e.loading = false
		e.version++
		e.cache.clear()
		s.dir.RemoveHolder(directory.Engine, e.name)
		e.admit()
		e.startChunk()
	})
}
