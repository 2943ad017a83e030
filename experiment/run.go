package experiment

import (
	"time"

	"boragehub/directory"
)

// run describes one run.
type run struct {
	d        Deployment
	policy   Policy
	load     float64
	seed     uint64
	fault    Fault
	without  Without
	warmup   time.Duration
	measured time.Duration
}

// drain is how long after the last arrival a run goes on.
const drain = 6 * time.Minute

// do carries out a run.
func (r run) do() *Result {
	res := &Result{Policy: r.policy, Load: r.load, Seed: r.seed, Fault: r.fault, Without: r.without}
	end := r.warmup + r.measured
	at := r.warmup + r.measured/3
	rec := newRecorder(r.d, res, r.warmup, end, at)

	var b *burst

	if r.fault == Tenfold {
		const small, times = 4, 10

		b = &burst{small, times, at, at + FaultLength}
		rec.spared = small
	}

	all, visits := generate(r.d, r.seed, r.load*r.d.Capacity(), end, b)
	w := newWorld(r.d, *res, rec)
	w.all = all

	w.feed(visits)
	w.report(end)
	w.clock.at(at, w.beginFault)
	w.clock.run(end)
	rec.links(w.listed, end)
	w.clock.run(end + drain)

	res.Calls = newFigures(r.d.Service)
	if r.load < 1 {
		res.Calls = r.calls()
	}

	for _, s := range w.stores {
		res.StoreEvictions += s.evicted
	}

	return res
}

// feed plans the arrivals one after another.
func (w *world) feed(visits []*visit) {
	if len(visits) == 0 {
		return
	}

	w.clock.at(visits[0].at, func() {
		w.arrive(visits[0])
		w.feed(visits[1:])
	})
}

// beginFault begins the run's fault.
func (w *world) beginFault() {
	switch w.fault {
	case StoreLost:
		w.loseStore()
	case LinkTenth:
		const slow = 0.1

		w.rates(slow)
		w.clock.after(FaultLength, func() { w.rates(1) })
	case DataCentreCut:
		w.cut = w.d.DataCentres[len(w.d.DataCentres)-1]
		w.clock.after(FaultLength, func() { w.cut = "" })
	case EventsLost:
		w.eventsLost = true
		w.clock.after(FaultLength, w.resync)
	case WeightSwap:
		w.swap(0)
	default:
	}
}

// notice is after which time the side processes say that a store is dead.
const notice = 2 * time.Second

func (w *world) loseStore() {
	s := w.stores[0]
	s.lose()
	w.clock.after(notice, func() { w.dir.ForgetHolder(directory.Store, s.name) })
}

func (w *world) rates(part float64) {
	for _, p := range w.listed {
		p.setRate(part * w.d.LinkBytesPerSecond)
	}
}

// resync ends the loss of events: the side processes notice the gap and tell all
// that their engines hold.
func (w *world) resync() {
	w.eventsLost = false

	for _, e := range w.engines {
		w.dir.ForgetHolder(directory.Engine, e.name)

		for x := e.cache.order.Back(); x != nil; x = x.Prev() {
			w.holds(e, x.Value.(*cached).c)
		}
	}
}

// swap loads new weights into the engines from i on, as many at once as the
// weight store bears.
func (w *world) swap(i int) {
	for n := range w.d.Engine.ConcurrentLoads {
		if i+n >= len(w.engines) {
			return
		}

		w.loadWeights(w.engines[i+n])
	}

	w.clock.after(w.d.Engine.Load, func() { w.swap(i + w.d.Engine.ConcurrentLoads) })
}

func (w *world) loadWeights(e *engine) {
	e.loading = true

	w.clock.after(w.d.Engine.Load, func() {
		e.loading = false
		e.version++
		e.cache.clear()
		w.dir.ForgetHolder(directory.Engine, e.name)
		e.admit()
		e.prefill()
	})
}
