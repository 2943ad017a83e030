// Package outage simulates what an outage of the log costs the callers of a
// plain service whose calls must not run twice.
//
// # Model
//
// Some VMs, with one target each, share the shards of the service. Calls arrive
// as a Poisson process, each with a new UUIDv7 as its key. A caller that is
// refused or gets no response retries with the same key after the Retry-After
// time, until its timeout. The log is down for a while; meanwhile the process
// of one VM may crash and restart. claim.Coordinator and claim.Takeover decide;
// log, callers and targets are simple models on virtual time: an append and a
// read take one tick each, a target responds at once. The same Config gives the
// same Result.
//
//	r := outage.Run(outage.Config{RunInOutage: true, CrashAfter: 20 * time.Minute})
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

// Config describes one simulation. Fields that are zero get the defaults below.
type Config struct {
	// Seed seeds the random arrivals, keys and lost responses.
	Seed uint64
	// VMs is how many targets the service has; zero means 4.
	VMs int
	// Shards is how many shards its keys have; zero means 16.
	Shards int
	// Rate is the mean number of calls per second; zero means 5.
	Rate float64
	// Outage is how long the log is down, from the end of the first minute on;
	// zero means an hour.
	Outage time.Duration
	// RunInOutage lets owners run calls during the outage; otherwise they refuse
	// them.
	RunInOutage bool
	// CrashAfter is the time from the start of the outage to the crash of one
	// process; zero means no crash.
	CrashAfter time.Duration
	// RestartDelay is the time from the crash to the restart; zero means 30 s.
	RestartDelay time.Duration
	// CallerTimeout is how long a caller retries; zero means 30 s.
	CallerTimeout time.Duration
	// LostResponses is the share of responses, from 0 to 1, that don't reach
	// their caller, which then retries.
	LostResponses float64
}

func (c Config) withDefaults() Config {
	c.VMs = orDefault(c.VMs, 4)
	c.Shards = orDefault(c.Shards, 16)
	c.Rate = orDefault(c.Rate, 5)
	c.Outage = orDefault(c.Outage, time.Hour)
	c.RestartDelay = orDefault(c.RestartDelay, 30*time.Second)
	c.CallerTimeout = orDefault(c.CallerTimeout, 30*time.Second)

	return c
}

func orDefault[T int | float64 | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}

	return fallback
}

// Result counts the calls that arrived during the outage.
type Result struct {
	// Calls is how many arrived.
	Calls int
	// Served is how many got their outcome in time.
	Served int
	// Refused is how many were refused, or got no response, until their timeout.
	Refused int
	// Unknown is how many got the response that it is unknown whether they ran.
	Unknown int
	// Ran is how many ran, whatever response their callers got.
	Ran int
	// RanTwice is how many ran more than once.
	RanTwice int
}

// call is one call with its retries.
type call struct {
	key          string
	arrival      time.Time
	nextTry      time.Time
	shard        int
	duringOutage bool
	run          *claim.Run
	process      *process
	runs         int
	lastError    failure.Kind
	done         bool
	served       bool
}

// process is the coordinator of one shard on one VM, with its position in the
// stream.
type process struct {
	vm          int
	coordinator *claim.Coordinator
	takeover    claim.Takeover
	position    int
	unsent      [][]byte
}

// simulation is the state of a simulation.
type simulation struct {
	cfg       Config
	rng       *rand.Rand
	start     time.Time
	now       time.Time
	logDown   bool
	streams   [][]journal.Record
	ranked    [][]string   // the candidates by shard
	procs     [][]*process // by shard and VM; nil while the VM's process is down
	calls     []*call
	openCalls []*call
}

// Run runs a simulation.
func Run(cfg Config) Result {
	m := &simulation{cfg: cfg.withDefaults(), start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	m.now = m.start
	m.rng = rand.New(rand.NewPCG(cfg.Seed, 1))
	m.ranked = claim.RankCandidates("service", m.cfg.Shards, m.vmList())
	m.streams = make([][]journal.Record, m.cfg.Shards)
	m.procs = make([][]*process, m.cfg.Shards)

	for s := range m.procs {
		m.procs[s] = make([]*process, m.cfg.VMs)
	}

	for vm := range m.cfg.VMs {
		m.startProcesses(vm)
	}

	const margin = time.Minute

	began, ended := m.start.Add(margin), m.start.Add(margin+m.cfg.Outage)
	crash, restart := began.Add(m.cfg.CrashAfter), began.Add(m.cfg.CrashAfter+m.cfg.RestartDelay)

	for end := ended.Add(margin); m.now.Before(end); m.now = m.now.Add(tick) {
		m.logDown = !m.now.Before(began) && m.now.Before(ended)

		if m.cfg.CrashAfter > 0 && m.now.Equal(crash) {
			m.killProcesses(0)
		}

		if m.cfg.CrashAfter > 0 && m.now.Equal(restart) {
			m.startProcesses(0)
		}

		m.step()
	}

	return m.result()
}

func vmName(vm int) string { return "vm" + strconv.Itoa(vm) }

func (m *simulation) vmList() claim.VMList {
	f := claim.VMList{Version: 1}
	for vm := range m.cfg.VMs {
		f.VMs = append(f.VMs, vmName(vm))
	}

	return f
}

func (m *simulation) startProcesses(vm int) {
	for s := range m.procs {
		m.procs[s][vm] = &process{vm: vm, coordinator: claim.NewCoordinator(claim.CoordinatorConfig{
			VM: vmName(vm), Incarnation: uint64(m.now.UnixMilli()), RefuseInOutage: !m.cfg.RunInOutage,
		})}
	}
}

// killProcesses ends a VM's process. Its callers get no response and retry.
func (m *simulation) killProcesses(vm int) {
	for s := range m.procs {
		m.procs[s][vm] = nil
	}

	for _, c := range m.openCalls {
		if c.run != nil && c.process.vm == vm {
			c.run, c.nextTry = nil, m.now.Add(time.Second)
		}
	}
}

// step advances everything by one tick.
func (m *simulation) step() {
	f := m.vmList()

	for s, procs := range m.procs {
		for _, p := range procs {
			if p != nil {
				m.stepProcess(s, p, f)
			}
		}
	}

	for m.rng.Float64() < m.cfg.Rate*tick.Seconds()/(1+m.cfg.Rate*tick.Seconds()) {
		m.arrive()
	}

	open := m.openCalls[:0]

	for _, c := range m.openCalls {
		if m.stepCall(c); !c.done {
			open = append(open, c)
		}
	}

	m.openCalls = open
}

// stepProcess lets a process write, read and do what is due.
func (m *simulation) stepProcess(s int, p *process, f claim.VMList) {
	if !m.logDown {
		for _, b := range p.unsent {
			m.streams[s] = append(m.streams[s], journal.Record{
				Offset: uint64(len(m.streams[s]) + 1), At: m.now, Data: b,
			})
		}

		p.unsent = nil

		for ; p.position < len(m.streams[s]); p.position++ {
			if err := p.coordinator.Apply(m.streams[s][p.position]); err != nil {
				panic(err) // the streams hold only records of coordinators
			}
		}

		p.coordinator.Synced(m.now, 1)
	}

	p.coordinator.SetVMList(f)
	p.coordinator.Tick(m.now)

	if basis, ok := p.takeover.Due(m.now, p.coordinator, f, claim.CandidateRank(m.ranked[s], vmName(p.vm))); ok && !m.logDown {
		p.coordinator.RequestOwnership(basis, f)
	}

	p.unsent = append(p.unsent, p.coordinator.Outbox()...)
}

// arrive adds a call.
func (m *simulation) arrive() {
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

	c := &call{key: u.String(), arrival: m.now, nextTry: m.now, duringOutage: m.logDown}
	c.shard = claim.Shard("organisation", c.key, m.cfg.Shards)
	m.calls = append(m.calls, c)
	m.openCalls = append(m.openCalls, c)
}

// stepCall sends a call, or finishes it.
func (m *simulation) stepCall(c *call) {
	switch {
	case c.run != nil:
		m.finish(c)
	case m.now.Sub(c.arrival) > m.cfg.CallerTimeout:
		c.done = true
	case !m.now.Before(c.nextTry):
		m.send(c)
	}
}

// send sends the call to the process that owns the key's shard.
func (m *simulation) send(c *call) {
	err := error(failure.New(failure.Unavailable, "no owner").WithRetryAfter(time.Second))

	for _, p := range m.procs[c.shard] {
		if p == nil || !p.coordinator.IsOwner() {
			continue
		}

		var r *claim.Run

		r, err = p.coordinator.Claim(m.now, claim.Request{Organisation: "organisation", Key: c.key})
		if err == nil {
			c.run, c.process = r, p
			m.finish(c)

			return
		}
	}

	m.refuse(c, err)
}

func (m *simulation) refuse(c *call, err error) {
	e := failure.As(err)
	c.lastError = e.Kind()
	c.run = nil
	c.nextTry = m.now.Add(max(e.RetryAfter(), time.Second))
	c.done = !e.Kind().Response().Retryable
}

// finish runs a call that may start and responds to its caller.
func (m *simulation) finish(c *call) {
	decided, err := c.run.Decided()
	if !decided {
		return
	}

	if err != nil {
		m.refuse(c, err)

		return
	}

	if c.run.Outcome() == nil {
		c.runs++
		c.process.coordinator.Complete(c.run, claim.Outcome{Status: 201})
	}

	c.run = nil

	if m.rng.Float64() < m.cfg.LostResponses {
		c.nextTry = m.now.Add(time.Second)

		return
	}

	c.served, c.done = true, true
}

// result counts the results of the calls that arrived during the outage.
func (m *simulation) result() Result {
	var r Result

	for _, c := range m.calls {
		if !c.duringOutage {
			continue
		}

		r.Calls++
		r.Ran += min(c.runs, 1)

		switch {
		case c.served:
			r.Served++
		case c.lastError == failure.OutcomeUnknown:
			r.Unknown++
		default:
			r.Refused++
		}

		if c.runs > 1 {
			r.RanTwice++
		}
	}

	return r
}
