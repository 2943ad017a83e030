package target

import (
	"slices"
	"sync"
	"time"
)

// TableConfig configures a Table. Zero durations and counts get a default.
type TableConfig struct {
	// Self is this entry's VM, by which its subset differs from others'.
	Self string
	// DataCentre is where this entry runs.
	DataCentre string
	// Regions maps data centres to regions.
	Regions map[string]string
	// Subset is how many targets of a service are known well. 8 when zero.
	Subset int
	// SilentAfter is the silence after which a target known well is doubted. 30 s when zero.
	SilentAfter time.Duration
	// EjectAfter is how many failures in a row eject. 3 when zero.
	EjectAfter int
	// EjectFor is the length of the first ejection; it doubles. 2 s when zero.
	EjectFor time.Duration
	// EjectMost is the longest ejection. 2 min when zero.
	EjectMost time.Duration
	// DoubtShare is the largest part of a pool that doubt takes away. 0.5 when zero.
	DoubtShare float64
	// ProbePatience is how long an unfinished probe bars the next. 30 s when zero.
	ProbePatience time.Duration
	// ForgetAfter is how long a gone target is remembered, so that a VM that
	// wakes from a freeze isn't taken for a new one. 24 h when zero.
	ForgetAfter time.Duration
	// Offer bounds the targets that Candidates returns when none is doubted; the
	// nearest go first. 64 when zero.
	Offer int
	// Most bounds the number of targets. 8192 when zero.
	Most int
}

func (c TableConfig) withDefaults() TableConfig {
	c.Subset = or(c.Subset, 8)
	c.SilentAfter = or(c.SilentAfter, 30*time.Second)
	c.EjectAfter = or(c.EjectAfter, 3)
	c.EjectFor = or(c.EjectFor, 2*time.Second)
	c.EjectMost = or(c.EjectMost, 2*time.Minute)
	c.DoubtShare = or(c.DoubtShare, 0.5)
	c.ProbePatience = or(c.ProbePatience, 30*time.Second)
	c.ForgetAfter = or(c.ForgetAfter, 24*time.Hour)
	c.Offer = or(c.Offer, 64)
	c.Most = or(c.Most, 8192)

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

// Table is what an entry believes of its targets. Use NewTable. Its methods may
// be called from many goroutines.
type Table struct {
	cfg TableConfig

	mu      sync.Mutex
	rows    map[string]*row
	pools   map[string]*pool
	drained map[string]bool
}

// pool is the targets of one service.
type pool struct {
	rows []*row
}

// row is what is believed of one target.
type row struct {
	vm, dataCentre, service, address, sideAddress string
	score                                         uint64
	distance                                      int
	well                                          bool

	listed      bool // the list shows it, or showed it
	listLeaving bool // the list calls it leaving or left it out
	seenOnList  bool // scratch of ObserveList
	listAt      time.Time

	bootID, model, version, role string
	started                      time.Time
	sequence                     uint64
	state                        State
	saidDraining                 bool      // by the present boot
	oldBoots                     [4]string // newest first
	heardAt                      time.Time
	refusedAt                    time.Time // last refusal as draining

	load      Load
	loadAt    time.Time
	loadKnown bool
	ahead     ahead

	operatorDrained bool
	outlier         outlier
}

// leaving reports whether r is firmly out.
func (r *row) leaving() bool {
	return r.saidDraining || r.listLeaving || r.operatorDrained
}

// NewTable returns an empty Table.
func NewTable(cfg TableConfig) *Table {
	return &Table{
		cfg:     cfg.withDefaults(),
		rows:    map[string]*row{},
		pools:   map[string]*pool{},
		drained: map[string]bool{},
	}
}

// row returns the row of a VM and makes it when there is room; nil otherwise.
func (t *Table) row(vm, dataCentre, service string) *row {
	if r, ok := t.rows[vm]; ok {
		return r
	}

	if len(t.rows) >= t.cfg.Most || service == "" {
		return nil
	}

	r := &row{
		vm: vm, dataCentre: dataCentre, service: service,
		score: score(t.cfg.Self, vm), distance: t.distance(dataCentre),
		operatorDrained: t.drained[vm],
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

// remove forgets r.
func (t *Table) remove(r *row) {
	delete(t.rows, r.vm)

	p := t.pools[r.service]
	p.rows = slices.DeleteFunc(p.rows, func(o *row) bool { return o == r })

	if len(p.rows) == 0 {
		delete(t.pools, r.service)
	}
}

// ObserveList takes a whole VM list; rows that are no targets are skipped.
func (t *Table) ObserveList(now time.Time, vms []Listed) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()

	var changes []Change

	for _, r := range t.rows {
		r.seenOnList = false
	}

	for _, l := range vms {
		if l.Kind != KindEngine && l.Kind != KindPlain {
			continue
		}

		if r := t.row(l.VM, l.DataCentre, l.Service); r != nil {
			changes = appendChange(changes, t.listed(now, r, l))
		}
	}

	changes = t.dropUnlisted(now, changes)
	for _, p := range t.pools {
		t.choose(p)
	}

	return changes
}

// listed takes one row of the list.
func (t *Table) listed(now time.Time, r *row, l Listed) Change {
	was, known := r.listLeaving, r.listed
	r.seenOnList = true
	r.listed = true
	r.listAt = now
	r.address = l.Address
	r.sideAddress = l.SideAddress
	r.listLeaving = l.State == Leaving

	switch {
	case r.listLeaving && !was:
		return Change{VM: r.vm, Reason: ListedLeaving}
	case !r.listLeaving && (was || !known):
		return Change{VM: r.vm, Reason: ListedLive}
	default:
		return Change{}
	}
}

// dropUnlisted treats targets that the list showed before and left out now as
// gone. A list that lost its content would empty every pool; so when it leaves
// out more than DoubtShare of the targets of a pool that speak at first hand as
// ready, those are kept.
func (t *Table) dropUnlisted(now time.Time, changes []Change) []Change {
	for _, p := range t.pools {
		speaking, missing := 0, 0

		for _, r := range p.rows {
			if !t.speaking(now, r) {
				continue
			}

			speaking++

			if r.listed && !r.seenOnList {
				missing++
			}
		}

		doubtful := float64(missing) > t.cfg.DoubtShare*float64(speaking)
		for _, r := range slices.Clone(p.rows) {
			if r.listed && !r.seenOnList {
				changes = appendChange(changes, t.unlisted(now, r, doubtful))
			}
		}
	}

	return changes
}

// speaking reports whether r said lately that it is ready.
func (t *Table) speaking(now time.Time, r *row) bool {
	return r.state == Ready && !r.leaving() && !r.heardAt.IsZero() && now.Sub(r.heardAt) <= t.cfg.SilentAfter
}

// unlisted takes a target that the list left out.
func (t *Table) unlisted(now time.Time, r *row, doubtful bool) Change {
	if doubtful && t.speaking(now, r) {
		return Change{VM: r.vm, Reason: ListDoubted}
	}

	if !r.listLeaving {
		r.listLeaving = true
		return Change{VM: r.vm, Reason: ListedGone}
	}

	if now.Sub(r.listAt) > t.cfg.ForgetAfter && now.Sub(r.heardAt) > t.cfg.ForgetAfter {
		t.remove(r)
	}

	return Change{}
}

// ObserveHello takes what a side process says of its target.
func (t *Table) ObserveHello(now time.Time, h Hello) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()

	r := t.row(h.VM, h.DataCentre, h.Service)
	if r == nil {
		return nil
	}

	if t.late(now, r, h) {
		return nil
	}

	var changes []Change
	if h.BootID != r.bootID {
		changes = appendChange(changes, r.boot(h))
	}

	if r.address == "" {
		r.address, r.sideAddress = h.Address, h.SideAddress
	}

	changes = appendChange(changes, r.say(h.State))
	r.sequence = h.Sequence
	r.heardAt = now
	r.model, r.version, r.role = h.Model, h.WeightVersion, h.Role
	r.report(now, h.Load)

	if len(changes) > 0 {
		t.choose(t.pools[r.service])
	}

	return changes
}

// late reports whether h was overtaken by what was heard since. A hello of an
// earlier boot that arrives after a later boot said draining would bring a
// leaving target back. Boot ids have no order, and the clock of a VM that was
// replaced under the same name may be behind; so an earlier start counts only
// as long as a message can have been under way.
func (t *Table) late(now time.Time, r *row, h Hello) bool {
	if h.BootID == r.bootID {
		return h.Sequence != 0 && h.Sequence <= r.sequence
	}

	if slices.Contains(r.oldBoots[:], h.BootID) {
		return true
	}

	// A refusal doesn't tell its boot. It may have come from a boot whose first
	// hello, of before it drained, is still under way.
	if !r.refusedAt.IsZero() && now.Sub(r.refusedAt) <= t.cfg.SilentAfter {
		return true
	}

	return h.Started.Before(r.started) && !h.Started.IsZero() && now.Sub(r.heardAt) <= t.cfg.SilentAfter
}

// boot starts anew for a target that was started again.
func (r *row) boot(h Hello) Change {
	first := r.bootID == ""
	if !first {
		copy(r.oldBoots[1:], r.oldBoots[:])
		r.oldBoots[0] = r.bootID
	}

	r.bootID = h.BootID
	r.started = h.Started
	r.sequence = 0
	r.state = Unknown
	r.saidDraining = false
	r.outlier = outlier{}
	r.loadKnown = false

	if first {
		return Change{}
	}

	return Change{VM: r.vm, Reason: NewBoot}
}

// say takes a state told at first hand. Draining stays for this boot: a hello
// that was overtaken, or a lagging list, must not bring the target back.
func (r *row) say(s State) Change {
	if r.saidDraining || s == r.state {
		return Change{}
	}

	r.state = s

	switch s {
	case Draining:
		r.saidDraining = true
		return Change{VM: r.vm, Reason: SaidDraining}
	case Ready:
		return Change{VM: r.vm, Reason: SaidReady}
	case Loading:
		return Change{VM: r.vm, Reason: SaidLoading}
	case Unknown:
		return Change{}
	default:
		return Change{}
	}
}

// ObserveLoad takes the load told on an answer.
func (t *Table) ObserveLoad(now time.Time, vm string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if r, ok := t.rows[vm]; ok {
		r.report(now, l)
	}
}

// ObserveDrained takes the whole list of targets that operators drained.
func (t *Table) ObserveDrained(_ time.Time, vms []string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	clear(t.drained)

	for _, vm := range vms {
		t.drained[vm] = true
	}

	for _, r := range t.rows {
		r.operatorDrained = t.drained[r.vm]
	}

	for _, p := range t.pools {
		t.choose(p)
	}
}

// Sent records that a request with so many prompt tokens goes to a target.
func (t *Table) Sent(now time.Time, vm string, tokens int) Sending {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := Sending{vm: vm, at: now, tokens: tokens}

	r, ok := t.rows[vm]
	if !ok {
		return s
	}

	r.ahead.add(now, tokens)

	if r.outlier.probation {
		s.probe = true
		r.outlier.probing = true
		r.outlier.probeAt = now
	}

	return s
}

// Done records how a request ended.
func (t *Table) Done(now time.Time, s Sending, o Outcome) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.rows[s.vm]
	if !ok {
		return nil
	}

	r.ahead.remove(s.at, s.tokens)

	if s.probe {
		r.outlier.probing = false
	}

	switch o {
	case Succeeded:
		if r.outlier.succeed(now, t.cfg.EjectMost) {
			return []Change{{VM: r.vm, Reason: Restored}}
		}
	case Failed:
		return t.failed(now, r, s)
	case RefusedDraining:
		r.refusedAt = now
		changes := appendChange(nil, r.say(Draining))
		t.choose(t.pools[r.service])

		return changes
	case Neutral:
	}

	return nil
}

// failed counts a failure and ejects when there are enough in a row.
func (t *Table) failed(now time.Time, r *row, s Sending) []Change {
	o := &r.outlier
	o.failures++

	// Requests sent before the ejection fail during it; they must not lengthen it.
	if o.ejected(now) || (o.probation && !s.probe) {
		return nil
	}

	if !o.probation && (o.failures < t.cfg.EjectAfter || !t.roomToEject(now, r)) {
		return nil
	}

	o.eject(now, t.cfg.EjectFor, t.cfg.EjectMost)

	return []Change{{VM: r.vm, Reason: Ejected, Until: o.until}}
}

// roomToEject reports whether r may go without taking more than DoubtShare of its pool.
func (t *Table) roomToEject(now time.Time, r *row) bool {
	usable, out := 0, 0

	for _, o := range t.pools[r.service].rows {
		if t.barred(now, o) {
			continue
		}

		usable++

		if o.outlier.probation {
			out++
		}
	}

	return float64(out+1) <= t.cfg.DoubtShare*float64(usable)
}

// barred reports whether r gets no work whatever the need.
func (t *Table) barred(now time.Time, r *row) bool {
	if r.leaving() {
		return true
	}

	return r.state == Loading && now.Sub(r.heardAt) <= t.cfg.SilentAfter
}

// doubted reports whether r gets work only when too few others are left.
func (t *Table) doubted(now time.Time, r *row) bool {
	if r.outlier.probation && !r.outlier.probeOpen(now, t.cfg.ProbePatience) {
		return true
	}

	if !r.well || r.sideAddress == "" {
		return false
	}

	return r.heardAt.IsZero() || now.Sub(r.heardAt) > t.cfg.SilentAfter
}

// Candidates returns the targets of a service that may get work.
func (t *Table) Candidates(now time.Time, service string) []Target {
	return t.AppendCandidates(now, nil, service)
}

// AppendCandidates appends the targets of a service that may get work, those
// known well first. It does not allocate when dst has room. In a large pool it
// stops at Offer: weighing more costs more than it wins, and one farther off
// that holds a context is found by Target.
//
// Doubt may be this entry's own fault (its cable, its clock); so when it would
// take more than DoubtShare of the pool, the doubted are offered too, marked.
func (t *Table) AppendCandidates(now time.Time, dst []Target, service string) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()

	p, ok := t.pools[service]
	if !ok {
		return dst
	}

	start, usable := len(dst), 0

	for _, r := range p.rows {
		if t.barred(now, r) {
			continue
		}

		usable++

		if t.doubted(now, r) {
			continue
		}

		dst = append(dst, r.target(now))
		if len(dst)-start == t.cfg.Offer {
			return dst
		}
	}

	if float64(usable-(len(dst)-start)) <= t.cfg.DoubtShare*float64(usable) {
		return dst
	}

	for _, r := range p.rows {
		if !t.barred(now, r) && t.doubted(now, r) {
			c := r.target(now)
			c.Doubted = true
			dst = append(dst, c)
		}
	}

	return dst
}

// Subset returns the VMs of a service that this entry keeps a connection to.
func (t *Table) Subset(service string) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()

	p, ok := t.pools[service]
	if !ok {
		return nil
	}

	var well []Target

	for _, r := range p.rows {
		if r.well {
			well = append(well, r.target(r.heardAt))
		}
	}

	return well
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

// Target returns what is believed of one VM.
func (t *Table) Target(now time.Time, vm string) (Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.rows[vm]
	if !ok {
		return Target{}, false
	}

	c := r.target(now)
	c.Doubted = t.doubted(now, r)

	return c, true
}

// Usable reports whether a VM may get new work at now.
func (t *Table) Usable(now time.Time, vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.rows[vm]

	return ok && !t.barred(now, r)
}

// Len returns how many targets are held, gone ones included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.rows)
}

// target gives r as callers see it.
func (r *row) target(now time.Time) Target {
	c := Target{
		VM: r.vm, DataCentre: r.dataCentre, Service: r.service, Address: r.address, SideAddress: r.sideAddress,
		BootID: r.bootID, Model: r.model, WeightVersion: r.version, Role: r.role, State: r.state,
		Load: r.load, LoadKnown: r.loadKnown, Well: r.well,
		Probe: r.outlier.probation, Failures: r.outlier.failures, Heard: -1,
	}

	if r.saidDraining || r.listLeaving || r.operatorDrained {
		c.State = Draining
	}

	if r.loadKnown {
		c.Load.Age = now.Sub(r.loadAt)
	}

	if !r.heardAt.IsZero() {
		c.Heard = now.Sub(r.heardAt)
	}

	c.Ahead, c.AheadTokens = r.ahead.total()

	return c
}

// appendChange appends c unless nothing changed.
func appendChange(changes []Change, c Change) []Change {
	if c.Reason == NoReason {
		return changes
	}

	return append(changes, c)
}
