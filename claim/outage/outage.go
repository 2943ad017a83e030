// Package outage measures what an outage of the log costs the callers of a plain
// service whose calls may not be repeated.
//
// # Model
//
// Some VMs with a target each share the shards of the service. Callers come at
// random (Poisson) with a fresh UUIDv7 each. A caller that is refused, or gets
// no answer, tries again with the same key after what Retry-After says, until
// its patience ends. The log is away for a while; in it, the process of one VM
// may die and start anew. The decisions are those of claim.Coordinator and
// claim.Succession; log, callers and targets are small models on virtual time:
// an append and a read take a tick each, a target answers at once. The same
// Config gives the same Result.
//
//	r := outage.Run(outage.Config{LogLess: true, Dies: 20 * time.Minute})
package outage

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/google/uuid"

	"boragehub/claim"
	"boragehub/failure"
	"boragehub/journal"
)

// tick is the step of virtual time.
const tick = 100 * time.Millisecond

// Config is one experiment. Zero values get the defaults that are named.
type Config struct {
	// Seed makes the callers.
	Seed uint64
	// VMs is how many targets the service has; zero is 4.
	VMs int
	// Shards is how many shards its keys have; zero is 16.
	Shards int
	// Rate is how many calls come in a second; zero is 5.
	Rate float64
	// Outage is how long the log is away, after a minute; zero is an hour.
	Outage time.Duration
	// LogLess lets homes go on in the outage; otherwise they refuse.
	LogLess bool
	// Dies is when in the outage one process dies; zero is never.
	Dies time.Duration
	// Restart is how long it takes until another one runs on its VM; zero is 30 s.
	Restart time.Duration
	// Patience is how long a caller tries; zero is 30 s.
	Patience time.Duration
	// LostAnswers is the share of answers that callers don't get, after which
	// they ask again.
	LostAnswers float64
}

func (c Config) withDefaults() Config {
	c.VMs = or(c.VMs, 4)
	c.Shards = or(c.Shards, 16)
	c.Rate = or(c.Rate, 5)
	c.Outage = or(c.Outage, time.Hour)
	c.Restart = or(c.Restart, 30*time.Second)
	c.Patience = or(c.Patience, 30*time.Second)

	return c
}

func or[T int | float64 | time.Duration](v, otherwise T) T {
	if v > 0 {
		return v
	}

	return otherwise
}

// Result counts the calls that came during the outage.
type Result struct {
	// Calls is how many came.
	Calls int
	// Served got their outcome in time.
	Served int
	// Refused were told until their patience ended that nothing was run.
	Refused int
	// Unknown were told that it isn't known whether they ran.
	Unknown int
	// Ran is how many ran, whatever their callers were told.
	Ran int
	// Doubled ran more than once.
	Doubled int
}

// caller is one call and its repetitions.
type caller struct {
	key     string
	since   time.Time
	next    time.Time
	shard   int
	inside  bool
	waiting *claim.Run
	at      *process
	ran     int
	last    failure.Kind
	ended   bool
	served  bool
}

// process is one shard's desk at one VM, and how far it has read.
type process struct {
	vm       int
	desk     *claim.Coordinator
	next     claim.Succession
	position int
	out      [][]byte
}

// model is the state of an experiment.
type model struct {
	cfg     Config
	rng     *rand.Rand
	start   time.Time
	now     time.Time
	down    bool
	streams [][]journal.Record
	ranked  [][]string   // the candidates by shard
	procs   [][]*process // by shard and VM; nil while the VM's process is dead
	callers []*caller
	open    []*caller
}

// Run carries out an experiment.
func Run(cfg Config) Result {
	m := &model{cfg: cfg.withDefaults(), start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	m.now = m.start
	m.rng = rand.New(rand.NewPCG(cfg.Seed, 1))
	m.ranked = claim.Ranked("service", m.cfg.Shards, m.fleet())
	m.streams = make([][]journal.Record, m.cfg.Shards)
	m.procs = make([][]*process, m.cfg.Shards)

	for s := range m.procs {
		m.procs[s] = make([]*process, m.cfg.VMs)
	}

	for vm := range m.cfg.VMs {
		m.boot(vm)
	}

	const before = time.Minute

	began, ended := m.start.Add(before), m.start.Add(before+m.cfg.Outage)
	died, back := began.Add(m.cfg.Dies), began.Add(m.cfg.Dies+m.cfg.Restart)

	for end := ended.Add(before); m.now.Before(end); m.now = m.now.Add(tick) {
		m.down = !m.now.Before(began) && m.now.Before(ended)

		if m.cfg.Dies > 0 && m.now.Equal(died) {
			m.kill(0)
		}

		if m.cfg.Dies > 0 && m.now.Equal(back) {
			m.boot(0)
		}

		m.step()
	}

	return m.result()
}

func name(vm int) string { return "vm" + strconv.Itoa(vm) }

func (m *model) fleet() claim.Fleet {
	f := claim.Fleet{Version: 1}
	for vm := range m.cfg.VMs {
		f.VMs = append(f.VMs, name(vm))
	}

	return f
}

func (m *model) boot(vm int) {
	for s := range m.procs {
		m.procs[s][vm] = &process{vm: vm, desk: claim.NewCoordinator(claim.CoordinatorConfig{
			VM: name(vm), Incarnation: uint64(m.now.UnixMilli()), RefuseInOutage: !m.cfg.LogLess,
		})}
	}
}

// kill ends a VM's process. Its callers get no answer and ask again.
func (m *model) kill(vm int) {
	for s := range m.procs {
		m.procs[s][vm] = nil
	}

	for _, c := range m.open {
		if c.waiting != nil && c.at.vm == vm {
			c.waiting, c.next = nil, m.now.Add(time.Second)
		}
	}
}

// step is one tick of everything.
func (m *model) step() {
	f := m.fleet()

	for s, procs := range m.procs {
		for _, p := range procs {
			if p != nil {
				m.serve(s, p, f)
			}
		}
	}

	for m.rng.Float64() < m.cfg.Rate*tick.Seconds()/(1+m.cfg.Rate*tick.Seconds()) {
		m.arrive()
	}

	open := m.open[:0]

	for _, c := range m.open {
		if m.progress(c); !c.ended {
			open = append(open, c)
		}
	}

	m.open = open
}

// serve lets a process write, read and do what is due.
func (m *model) serve(s int, p *process, f claim.Fleet) {
	if !m.down {
		for _, b := range p.out {
			m.streams[s] = append(m.streams[s], journal.Record{
				Offset: uint64(len(m.streams[s]) + 1), At: m.now, Data: b,
			})
		}

		p.out = nil

		for ; p.position < len(m.streams[s]); p.position++ {
			if err := p.desk.Apply(m.streams[s][p.position]); err != nil {
				panic(err) // the model writes only what desks wrote
			}
		}

		p.desk.Synced(m.now, 1)
	}

	p.desk.Observe(f)
	p.desk.Tick(m.now)

	if basis, ok := p.next.Next(m.now, p.desk, f, claim.Rank(m.ranked[s], name(p.vm))); ok && !m.down {
		p.desk.Ask(basis, f)
	}

	p.out = append(p.out, p.desk.Outbox()...)
}

// arrive makes a caller.
func (m *model) arrive() {
	var u uuid.UUID

	ms := m.now.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}

	for i := 6; i < len(u); i++ {
		u[i] = byte(m.rng.Uint32())
	}

	u[6] = u[6]&0x0f | 0x70
	u[8] = u[8]&0x3f | 0x80

	c := &caller{key: u.String(), since: m.now, next: m.now, inside: m.down}
	c.shard = claim.Shard("organisation", c.key, m.cfg.Shards)
	m.callers = append(m.callers, c)
	m.open = append(m.open, c)
}

// progress lets a caller ask, or get its answer.
func (m *model) progress(c *caller) {
	switch {
	case c.waiting != nil:
		m.answer(c)
	case m.now.Sub(c.since) > m.cfg.Patience:
		c.ended = true
	case !m.now.Before(c.next):
		m.ask(c)
	}
}

// ask sends the call to the process that says it is the home of the key.
func (m *model) ask(c *caller) {
	err := error(failure.New(failure.Unavailable, "no home").After(time.Second))

	for _, p := range m.procs[c.shard] {
		if p == nil || !p.desk.Home() {
			continue
		}

		var r *claim.Run

		r, err = p.desk.Claim(m.now, claim.Request{Organisation: "organisation", Key: c.key})
		if err == nil {
			c.waiting, c.at = r, p
			m.answer(c)

			return
		}
	}

	m.refuse(c, err)
}

func (m *model) refuse(c *caller, err error) {
	e := failure.As(err)
	c.last = e.Kind()
	c.waiting = nil
	c.next = m.now.Add(max(e.RetryAfter(), time.Second))
	c.ended = !e.Kind().Answer().Retryable
}

// answer runs a call whose claim is decided and answers its caller.
func (m *model) answer(c *caller) {
	decided, err := c.waiting.Decided()
	if !decided {
		return
	}

	if err != nil {
		m.refuse(c, err)

		return
	}

	if c.waiting.Outcome() == nil {
		c.ran++
		c.at.desk.Settle(c.waiting, claim.Outcome{Status: 201})
	}

	c.waiting = nil

	if m.rng.Float64() < m.cfg.LostAnswers {
		c.next = m.now.Add(time.Second)

		return
	}

	c.served, c.ended = true, true
}

// result counts what became of the calls that came during the outage.
func (m *model) result() Result {
	var r Result

	for _, c := range m.callers {
		if !c.inside {
			continue
		}

		r.Calls++
		r.Ran += min(c.ran, 1)

		switch {
		case c.served:
			r.Served++
		case c.last == failure.OutcomeUnknown:
			r.Unknown++
		default:
			r.Refused++
		}

		if c.ran > 1 {
			r.Doubled++
		}
	}

	return r
}
