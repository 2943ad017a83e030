package target

import (
	"slices"
	"sync"
	"time"
)

// TableConfig configures a Table. Zero values get the defaults given.
type TableConfig struct {
	// Self is the VM name of this entry, by which its subset differs from that of other entries.
	Self string
	// DataCentre is where this entry runs.
	DataCentre string
	// Regions maps data centres to regions.
	Regions map[string]string
	// SubsetSize is the maximum number of targets of a service in the subset. 8 when zero.
	SubsetSize int
	// MaxSubsetTotal is the maximum number of targets of all services in the subset; with many
	// services each has fewer, but no fewer than two. 128 when zero.
	MaxSubsetTotal int
	// UnresponsiveAfter is the time without a report after which a target in the subset is
	// suspected, or two polling rounds if those take longer. 30 s when zero.
	UnresponsiveAfter time.Duration
	// PollInterval is the time between two polls of side processes (NextToPoll). 500 ms when zero.
	PollInterval time.Duration
	// EjectAfterFailures is the number of consecutive failures that eject a target. 3 when zero.
	EjectAfterFailures int
	// BaseEjection is the duration of the first ejection; each further one takes twice as long. 2 s when zero.
	BaseEjection time.Duration
	// MaxEjection is the maximum duration of an ejection. 2 min when zero.
	MaxEjection time.Duration
	// MaxSuspectedShare is the largest part of a pool that suspicions remove. 0.5 when zero.
	MaxSuspectedShare float64
	// ProbeTimeout is how long an unfinished probe blocks the next one. 30 s when zero.
	ProbeTimeout time.Duration
	// ForgetAfter is how long a target that is gone is remembered, so that a VM that
	// resumes after a pause isn't taken for a new one. 24 h when zero.
	ForgetAfter time.Duration
	// MaxCandidates is the maximum number of targets that Candidates returns when none
	// is suspected; the nearest go first. 64 when zero.
	MaxCandidates int
	// MaxTargets is the maximum number of targets in the table. 8192 when zero.
	MaxTargets int
}

func (c TableConfig) withDefaults() TableConfig {
	c.SubsetSize = or(c.SubsetSize, 8)
	c.MaxSubsetTotal = or(c.MaxSubsetTotal, 128)
	c.UnresponsiveAfter = or(c.UnresponsiveAfter, 30*time.Second)
	c.PollInterval = or(c.PollInterval, 500*time.Millisecond)
	c.EjectAfterFailures = or(c.EjectAfterFailures, 3)
	c.BaseEjection = or(c.BaseEjection, 2*time.Second)
	c.MaxEjection = or(c.MaxEjection, 2*time.Minute)
	c.MaxSuspectedShare = or(c.MaxSuspectedShare, 0.5)
	c.ProbeTimeout = or(c.ProbeTimeout, 30*time.Second)
	c.ForgetAfter = or(c.ForgetAfter, 24*time.Hour)
	c.MaxCandidates = or(c.MaxCandidates, 64)
	c.MaxTargets = or(c.MaxTargets, 8192)

	return c
}

// or returns v, or d when v is zero.
func or[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}

	return v
}

// Table holds the state of the targets known to an entry. Use NewTable. Its methods are
// safe for concurrent use.
type Table struct {
	cfg TableConfig

	mu      sync.Mutex
	rows    map[string]*row
	pools   map[string]*pool
	drained map[string]bool
	// evacuated holds the data centres whose targets take no new work.
	evacuated  map[string]bool
	subsetSize int // targets in the subset, of all services
}

// pool holds the targets of one service.
type pool struct {
	rows       []*row
	subsetSize int // rows in the subset
}

// row is the known state of one target.
type row struct {
	vm, dataCentre, service, address, sideAddress string
	score                                         uint64
	distance                                      int
	inSubset                                      bool

	listed      bool // the list contains or contained it
	listLeaving bool // the list shows it as leaving or no longer contains it
	seenOnList  bool // used within ObserveList only
	listAt      time.Time

	bootID, model, version, role string
	started                      time.Time
	sequence                     uint64
	state                        State
	reportedDraining             bool      // by the current boot
	oldBoots                     [4]string // newest first
	lastSeen                     time.Time
	refusedAt                    time.Time // last refusal as draining
	polledAt                     time.Time // when NextToPoll last returned it

	load      Load
	loadAt    time.Time
	loadKnown bool
	sent      sentCounter

	operatorDrained bool
	saidLeaving     bool // in a response to this entry, by a target without a side process
	outlier         outlier
	throttle        throttle
}

// leaving reports whether r is out for good or drained by an operator, rather than only suspected.
func (r *row) leaving() bool {
	return r.reportedDraining || r.listLeaving || r.operatorDrained || r.saidLeaving
}

// NewTable returns an empty Table.
func NewTable(cfg TableConfig) *Table {
	return &Table{
		cfg:     cfg.withDefaults(),
		rows:    map[string]*row{},
		pools:   map[string]*pool{},
		drained: map[string]bool{},

		evacuated: map[string]bool{},
	}
}

// row returns the row of a VM, created if needed; nil when the table is full or service is empty.
func (t *Table) row(vm, dataCentre, service string) *row {
	if r, ok := t.rows[vm]; ok {
		return r
	}

	if len(t.rows) >= t.cfg.MaxTargets || service == "" {
		return nil
	}

	r := &row{
		vm: vm, dataCentre: dataCentre, service: service,
		score: score(t.cfg.Self, vm), distance: t.distance(dataCentre),
		operatorDrained: t.drained[vm] || t.evacuated[dataCentre],
	}
	t.rows[vm] = r

	p, ok := t.pools[service]
	if !ok {
		p = &pool{}
		t.pools[service] = p
	}

	p.rows = append(p.rows, r)

	return r
}

// remove deletes r from the table.
func (t *Table) remove(r *row) {
	delete(t.rows, r.vm)

	p := t.pools[r.service]
	p.rows = slices.DeleteFunc(p.rows, func(o *row) bool { return o == r })

	if len(p.rows) == 0 {
		t.subsetSize -= p.subsetSize
		delete(t.pools, r.service)
	}
}

// ObserveLoad applies the load reported on a response. The side process that reported it is
// up, so this counts as seeing a target that has sent a state report before, and postpones
// the next poll.
func (t *Table) ObserveLoad(now time.Time, vm string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if r, ok := t.rows[vm]; ok {
		r.setLoad(now, l)

		if !r.lastSeen.IsZero() {
			r.lastSeen = now
		}
	}
}

// ObserveRestart records that a target was restarted under the same name: its failures
// and its load belong to the boot before and are reset.
func (t *Table) ObserveRestart(_ time.Time, vm string) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.rows[vm]
	if !ok {
		return nil
	}

	r.outlier, r.throttle, r.saidLeaving = outlier{}, throttle{}, false
	r.load, r.loadKnown = Load{}, false

	return []Change{{VM: r.vm, Reason: NewBoot}}
}

// ObserveDrained replaces the lists of targets that operators drained and of data centres
// that they evacuated.
func (t *Table) ObserveDrained(_ time.Time, vms, dataCentres []string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	clear(t.drained)
	clear(t.evacuated)

	for _, vm := range vms {
		t.drained[vm] = true
	}

	for _, d := range dataCentres {
		t.evacuated[d] = true
	}

	for _, r := range t.rows {
		r.operatorDrained = t.drained[r.vm] || t.evacuated[r.dataCentre]
	}

	for _, p := range t.pools {
		t.selectSubset(p)
	}
}

// Subset returns the targets of a service that this entry keeps a connection to.
func (t *Table) Subset(service string) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()

	p, ok := t.pools[service]
	if !ok {
		return nil
	}

	var subset []Target

	for _, r := range p.rows {
		if r.inSubset {
			subset = append(subset, r.target(r.lastSeen))
		}
	}

	return subset
}

// NextToPoll returns the target in the subset that was seen or polled least recently, if
// that was at least after ago, and records it as polled. Polling in a fixed order instead
// would spend most polls on targets that have just reported their load on a response, and
// with a few hundred targets a round would take longer than UnresponsiveAfter.
func (t *Table) NextToPoll(now time.Time, after time.Duration) (Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	var next *row

	for _, p := range t.pools {
		for _, r := range p.rows {
			if r.inSubset && (next == nil || r.lessRecent(next)) {
				next = r
			}
		}
	}

	if next == nil || now.Sub(next.lastContact()) < after {
		return Target{}, false
	}

	next.polledAt = now

	return next.target(now), true
}

// lastContact returns when r was last seen or polled.
func (r *row) lastContact() time.Time {
	if r.polledAt.After(r.lastSeen) {
		return r.polledAt
	}

	return r.lastSeen
}

// lessRecent reports whether r was seen or polled before o; ties are broken by VM name.
func (r *row) lessRecent(o *row) bool {
	if a, b := r.lastContact(), o.lastContact(); !a.Equal(b) {
		return a.Before(b)
	}

	return r.vm < o.vm
}

// Services returns the services that have targets, sorted.
func (t *Table) Services() []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	names := make([]string, 0, len(t.pools))
	for s := range t.pools {
		names = append(names, s)
	}

	slices.Sort(names)

	return names
}

// Target returns the known state of one VM; false when it is unknown.
func (t *Table) Target(now time.Time, vm string) (Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.rows[vm]
	if !ok {
		return Target{}, false
	}

	c := r.target(now)
	c.Suspected = t.suspected(now, r)

	return c, true
}

// Usable reports whether a VM may get new work at now.
func (t *Table) Usable(now time.Time, vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.rows[vm]

	return ok && !t.excluded(now, r)
}

// Len returns the number of targets in the table, gone ones included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.rows)
}

// target returns a snapshot of r.
func (r *row) target(now time.Time) Target {
	c := Target{
		VM: r.vm, DataCentre: r.dataCentre, Service: r.service, Address: r.address, SideAddress: r.sideAddress,
		BootID: r.bootID, Model: r.model, WeightVersion: r.version, Role: r.role, State: r.state,
		Load: r.load, LoadKnown: r.loadKnown, InSubset: r.inSubset,
		Probe: r.outlier.probation, Failures: r.outlier.failures, SinceLastSeen: -1,
	}

	if r.leaving() {
		c.State = Draining
	}

	if r.loadKnown {
		c.Load.Age = now.Sub(r.loadAt)
	}

	if !r.lastSeen.IsZero() {
		c.SinceLastSeen = now.Sub(r.lastSeen)
	}

	c.SentRequests, c.SentTokens = r.sent.total()

	return c
}

// appendChange appends c unless its Reason is NoReason.
func appendChange(changes []Change, c Change) []Change {
	if c.Reason == NoReason {
		return changes
	}

	return append(changes, c)
}
