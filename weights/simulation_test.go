package weights

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
)

// simulation runs Plan against simulated engines with their side processes, two leaders of
// which one may be paused and resume, and messages that are delayed or lost. Checks use the
// state of the simulated engines, not that of an Inventory.
type simulation struct {
	now          time.Time
	engines      []*engine
	leaders      []*leader
	fence        uint64
	wanted       []Wanted
	peakLoads    map[string]int // most concurrent loads seen, by data centre
	inFlight     []sentOrder
	sentReports  []sentReport
	startedLoads int // total, orders of all kinds that change an engine
}

type engine struct {
	Report
	busy, failing        bool
	loadEnds, stateSince time.Time
	order                Order
}

type leader struct {
	inventory *Inventory
	fence     uint64
	since     time.Time
	unsent    []Order // planned but not sent, as when a pause interrupts the leader
}

type sentOrder struct {
	order Order
	at    time.Time
	from  *leader
}

type sentReport struct {
	Report
	at time.Time
}

// maxDeliveryTime is the longest time between sending and delivery of a message.
const maxDeliveryTime = 5 * time.Second

// maxLoads is the maximum number of concurrent loads in one data centre.
const maxLoads = 2

func newSimulation(engines, minReady int) *simulation {
	s := &simulation{now: epoch, peakLoads: map[string]int{}, wanted: []Wanted{{Model: "m", Version: "v1", MinReady: minReady}}}

	for i := range engines {
		s.engines = append(s.engines, &engine{stateSince: epoch, Report: Report{
			VM: fmt.Sprintf("engine-%02d", i), DataCentre: []string{"yvr-east", "yvr-west"}[i%2], Model: "m", Boot: "1", Version: "v1",
		}})
	}

	for range 2 {
		s.leaders = append(s.leaders, &leader{inventory: NewInventory(InventoryConfig{})})
	}

	return s
}

// grantLease gives l the lease with the next fencing number.
func (s *simulation) grantLease(l *leader) {
	s.fence++
	l.fence = s.fence
	l.since = s.now
}

// sendReport records a report of an engine as sent; deliverReport may deliver it to either
// leader, also more than once.
func (s *simulation) sendReport(e *engine) {
	e.Sequence++
	r := e.Report
	r.StateAge = s.now.Sub(e.stateSince)
	s.sentReports = append(s.sentReports, sentReport{r, s.now})
}

// deliver gives an order to its side process, which refuses it if its fence is stale or the
// engine is busy.
func (s *simulation) deliver(o sentOrder) error {
	for _, e := range s.engines {
		if e.VM != o.order.VM {
			continue
		}

		if o.order.Fence < e.Fence {
			return failure.New(failure.StaleFence, "the fence is stale")
		}

		if o.order.Fence > e.Fence {
			e.Accepted = 0
		}

		e.Fence = o.order.Fence
		e.Accepted = max(e.Accepted, o.order.Number)

		if o.order.Kind == AnnounceFence {
			return nil
		}

		if e.busy {
			return failure.New(failure.QueueFull, "the engine is loading")
		}

		s.startLoad(e, o.order)
	}

	return nil
}

func (s *simulation) startLoad(e *engine, o Order) {
	e.busy = true
	e.order = o
	e.State = Loading
	e.stateSince = s.now
	e.loadEnds = s.now.Add(2 * time.Second)
	s.startedLoads++

	n := 0
	for _, other := range s.engines {
		if other.busy && other.DataCentre == e.DataCentre {
			n++
		}
	}

	s.peakLoads[e.DataCentre] = max(s.peakLoads[e.DataCentre], n)
}

// finishLoads ends the loads whose time is over.
func (s *simulation) finishLoads() {
	for _, e := range s.engines {
		if !e.busy || e.loadEnds.After(s.now) {
			continue
		}

		e.busy = false
		e.State = Ready
		e.stateSince = s.now

		switch {
		case e.failing && e.order.Kind == LoadWeights && e.order.Version == "bad":
			e.FailedVersion = e.order.Version
		case e.order.Kind == LoadWeights:
			e.Version = e.order.Version
		case e.order.Kind == LoadAdapter:
			e.Adapters = append(e.Adapters, e.order.Adapter)
		case e.order.Kind == SetRole:
			e.Role = e.order.Role
		}
	}
}

// readyCount counts the engines that serve.
func (s *simulation) readyCount() int {
	n := 0

	for _, e := range s.engines {
		if !e.busy && e.State == Ready {
			n++
		}
	}

	return n
}

// plan calls Plan for a leader and keeps the orders as unsent; sendOrders sends them.
func (s *simulation) plan(l *leader) Result {
	r := Plan(s.now, Config{MaxLoads: maxLoads}, l.inventory.View(s.now, s.wanted, l.fence, l.since))
	l.unsent = nil

	for _, o := range r.Orders {
		l.inventory.RecordOrder(s.now, o)
		l.unsent = append(l.unsent, o)
	}

	return r
}

func (s *simulation) sendOrders(l *leader) {
	for _, o := range l.unsent {
		s.inFlight = append(s.inFlight, sentOrder{o, s.now, l})
	}

	l.unsent = nil
}

// runWithoutFaults runs the simulation for span under the leader l, without faults, and
// returns the last result of Plan.
func (s *simulation) runWithoutFaults(l *leader, span time.Duration) Result {
	var r Result

	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(time.Second) {
		s.finishLoads()

		for _, e := range s.engines {
			e.Sequence++
			report := e.Report
			report.StateAge = s.now.Sub(e.stateSince)
			l.inventory.RecordReport(s.now, report)
		}

		r = s.plan(l)
		for _, o := range l.unsent {
			l.inventory.RecordReply(s.now, o, s.deliver(sentOrder{o, s.now, l}))
		}
	}

	return r
}

// currentLeader returns the leader that holds the lease.
func (s *simulation) currentLeader() *leader {
	if s.leaders[0].fence > s.leaders[1].fence {
		return s.leaders[0]
	}

	return s.leaders[1]
}

// previousLeader returns the leader that held the lease before.
func (s *simulation) previousLeader() *leader {
	if s.currentLeader() == s.leaders[0] {
		return s.leaders[1]
	}

	return s.leaders[0]
}

// actions returns the actions that rapid may take in any state.
func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"round": s.round,
		"rounds": func(rt *rapid.T) {
			for range 5 {
				s.round(rt)
			}
		},
		"pass": func(rt *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(100, 12000).Draw(rt, "ms")) * time.Millisecond)
			s.finishLoads()
		},
		"late report": func(rt *rapid.T) {
			if len(s.sentReports) > 0 {
				l := rapid.SampledFrom(s.leaders).Draw(rt, "leader")
				s.deliverReport(l, rapid.SampledFrom(s.sentReports).Draw(rt, "report"))
			}
		},
		"plan again": func(*rapid.T) { s.plan(s.currentLeader()) },
		"wake":       func(*rapid.T) { s.sendOrders(s.previousLeader()) },
		"take":       s.deliverOneOrder,
		"replace":    func(*rapid.T) { s.grantLease(s.previousLeader()) },
		"pause, replace, wake": func(rt *rapid.T) {
			s.plan(s.currentLeader())
			s.grantLease(s.previousLeader())
			s.round(rt)
			s.sendOrders(s.previousLeader())

			for range rapid.IntRange(0, len(s.inFlight)).Draw(rt, "orders taken") {
				s.deliverOneOrder(rt)
			}
		},
		"publish": func(rt *rapid.T) {
			s.wanted[0].Version = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(rt, "version")
		},
	}
}

// round simulates one second of normal operation: engines report, the current leader
// receives some of the reports, plans and mostly sends, and some orders arrive.
func (s *simulation) round(rt *rapid.T) {
	s.now = s.now.Add(time.Second)
	s.finishLoads()

	lost := rapid.Uint16().Draw(rt, "reports lost")
	for i, e := range s.engines {
		s.sendReport(e)

		if lost>>i&1 == 0 {
			s.deliverReport(s.currentLeader(), s.sentReports[len(s.sentReports)-1])
		}
	}

	s.plan(s.currentLeader())

	if rapid.IntRange(0, 3).Draw(rt, "paused") > 0 {
		s.sendOrders(s.currentLeader())
	}

	for range rapid.IntRange(0, len(s.inFlight)).Draw(rt, "orders taken") {
		s.deliverOneOrder(rt)
	}
}

// deliverReport gives a report to a leader unless it is older than maxDeliveryTime.
func (s *simulation) deliverReport(l *leader, r sentReport) {
	if s.now.Sub(r.at) <= maxDeliveryTime {
		l.inventory.RecordReport(s.now, r.Report)
	}
}

// deliverOneOrder delivers or loses one order in flight, and delivers or loses the reply.
func (s *simulation) deliverOneOrder(rt *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}

	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(rt, "order")
	o := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)

	if s.now.Sub(o.at) > maxDeliveryTime || rapid.IntRange(0, 9).Draw(rt, "lost") == 0 {
		return
	}

	if err := s.deliver(o); rapid.Bool().Draw(rt, "answered") {
		o.from.inventory.RecordReply(s.now, o.order, err)
	}
}
