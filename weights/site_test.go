package weights

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
)

// site is the model that Plan is tried on: engines with their side processes,
// two leaders of which one may be paused and wake, and messages that are late
// or lost. What it checks it knows from the engines themselves.
type site struct {
	now     time.Time
	engines []*engine
	leaders []*leader
	fence   uint64
	wanted  []Wanted
	most    map[string]int // loads at once by data centre, as seen
	wire    []orderSent
	reports []reportSent
	loads   int // begun
}

type engine struct {
	Report
	busy, failing bool
	ends, changed time.Time
	order         Order
}

type leader struct {
	board *Inventory
	fence uint64
	since time.Time
	ready []Order // planned and not sent: what a pause interrupts
}

type orderSent struct {
	order Order
	at    time.Time
	from  *leader
}

type reportSent struct {
	Report
	at time.Time
}

// underWay is how long a message is delivered at most after it was sent.
const underWay = 5 * time.Second

// loadsAtOnce is what the weight store of the model bears in one data centre.
const loadsAtOnce = 2

func newSite(engines, minReady int) *site {
	s := &site{now: epoch, most: map[string]int{}, wanted: []Wanted{{Model: "m", Version: "v1", MinReady: minReady}}}

	for i := range engines {
		s.engines = append(s.engines, &engine{changed: epoch, Report: Report{
			VM: fmt.Sprintf("engine-%02d", i), DataCentre: []string{"yvr-east", "yvr-west"}[i%2], Model: "m", Boot: "1", Version: "v1",
		}})
	}

	for range 2 {
		s.leaders = append(s.leaders, &leader{board: NewInventory(InventoryConfig{})})
	}

	return s
}

// lead gives the lease to a leader.
func (s *site) lead(l *leader) {
	s.fence++
	l.fence = s.fence
	l.since = s.now
}

// report sends what an engine says now to both leaders.
func (s *site) report(e *engine) {
	e.Sequence++
	r := e.Report
	r.StateAge = s.now.Sub(e.changed)
	s.reports = append(s.reports, reportSent{r, s.now})
}

// take lets a side process take an order, as its fence allows.
func (s *site) take(o orderSent) error {
	for _, e := range s.engines {
		if e.VM != o.order.VM {
			continue
		}

		if o.order.Fence < e.Fence {
			return failure.New(failure.StaleFence, "an older fence")
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
			return failure.New(failure.QueueFull, "it loads already")
		}

		s.begin(e, o.order)
	}

	return nil
}

func (s *site) begin(e *engine, o Order) {
	e.busy = true
	e.order = o
	e.State = Loading
	e.changed = s.now
	e.ends = s.now.Add(2 * time.Second)
	s.loads++

	n := 0
	for _, other := range s.engines {
		if other.busy && other.DataCentre == e.DataCentre {
			n++
		}
	}

	s.most[e.DataCentre] = max(s.most[e.DataCentre], n)
}

// end ends the loads that are over.
func (s *site) end() {
	for _, e := range s.engines {
		if !e.busy || e.ends.After(s.now) {
			continue
		}

		e.busy = false
		e.State = Ready
		e.changed = s.now

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

// ready counts the engines that serve.
func (s *site) ready() int {
	n := 0

	for _, e := range s.engines {
		if !e.busy && e.State == Ready {
			n++
		}
	}

	return n
}

// plan lets a leader plan; what it orders is sent by send.
func (s *site) plan(l *leader) Result {
	r := Plan(s.now, Config{Loads: loadsAtOnce}, l.board.View(s.now, s.wanted, l.fence, l.since))
	l.ready = nil

	for _, o := range r.Orders {
		l.board.Ordered(s.now, o)
		l.ready = append(l.ready, o)
	}

	return r
}

func (s *site) send(l *leader) {
	for _, o := range l.ready {
		s.wire = append(s.wire, orderSent{o, s.now, l})
	}

	l.ready = nil
}

// settle lets the site run without faults under the newest leader.
func (s *site) settle(l *leader, span time.Duration) Result {
	var r Result

	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(time.Second) {
		s.end()

		for _, e := range s.engines {
			e.Sequence++
			report := e.Report
			report.StateAge = s.now.Sub(e.changed)
			l.board.Hear(s.now, report)
		}

		r = s.plan(l)
		for _, o := range l.ready {
			l.board.Answered(s.now, o, s.take(orderSent{o, s.now, l}))
		}
	}

	return r
}

// newest returns the leader that holds the lease.
func (s *site) newest() *leader {
	if s.leaders[0].fence > s.leaders[1].fence {
		return s.leaders[0]
	}

	return s.leaders[1]
}

// older returns the leader that held the lease before.
func (s *site) older() *leader {
	if s.newest() == s.leaders[0] {
		return s.leaders[1]
	}

	return s.leaders[0]
}

// faults returns what may happen at any moment.
func (s *site) faults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"round": s.round,
		"rounds": func(rt *rapid.T) {
			for range 5 {
				s.round(rt)
			}
		},
		"pass": func(rt *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(100, 12000).Draw(rt, "ms")) * time.Millisecond)
			s.end()
		},
		"late report": func(rt *rapid.T) {
			if len(s.reports) > 0 {
				l := rapid.SampledFrom(s.leaders).Draw(rt, "leader")
				s.hear(l, rapid.SampledFrom(s.reports).Draw(rt, "report"))
			}
		},
		"plan again": func(*rapid.T) { s.plan(s.newest()) },
		"wake":       func(*rapid.T) { s.send(s.older()) },
		"take":       s.takeOne,
		"replace":    func(*rapid.T) { s.lead(s.older()) },
		"pause, replace, wake": func(rt *rapid.T) {
			s.plan(s.newest())
			s.lead(s.older())
			s.round(rt)
			s.send(s.older())

			for range rapid.IntRange(0, len(s.wire)).Draw(rt, "orders taken") {
				s.takeOne(rt)
			}
		},
		"publish": func(rt *rapid.T) {
			s.wanted[0].Version = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(rt, "version")
		},
	}
}

// round is what goes on each second when nothing special happens: engines
// report, the leader hears most of it, plans and sends, and some orders arrive.
func (s *site) round(rt *rapid.T) {
	s.now = s.now.Add(time.Second)
	s.end()

	heard := rapid.Uint16().Draw(rt, "reports lost")
	for i, e := range s.engines {
		s.report(e)

		if heard>>i&1 == 0 {
			s.hear(s.newest(), s.reports[len(s.reports)-1])
		}
	}

	s.plan(s.newest())

	if rapid.IntRange(0, 3).Draw(rt, "paused") > 0 {
		s.send(s.newest())
	}

	for range rapid.IntRange(0, len(s.wire)).Draw(rt, "orders taken") {
		s.takeOne(rt)
	}
}

// hear gives a report to a leader unless it is too old to be under way.
func (s *site) hear(l *leader, r reportSent) {
	if s.now.Sub(r.at) <= underWay {
		l.board.Hear(s.now, r.Report)
	}
}

// takeOne delivers or loses one order, and maybe the answer to it.
func (s *site) takeOne(rt *rapid.T) {
	if len(s.wire) == 0 {
		return
	}

	i := rapid.IntRange(0, len(s.wire)-1).Draw(rt, "order")
	o := s.wire[i]
	s.wire = append(s.wire[:i:i], s.wire[i+1:]...)

	if s.now.Sub(o.at) > underWay || rapid.IntRange(0, 9).Draw(rt, "lost") == 0 {
		return
	}

	if err := s.take(o); rapid.Bool().Draw(rt, "answered") {
		o.from.board.Answered(s.now, o.order, err)
	}
}
