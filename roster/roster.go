// Package roster combines the register's entries for targets with what this process
// observes about them: weight versions, weight loads, health and load reports.
//
// # Model
//
// A target is identified by the id of its start; a different id is a different target,
// even at the same address. A target that restarts under the same id is recognised by
// its later start time, and the state kept for its earlier start is discarded. The
// register adds targets, marks them as draining and drops them. A draining or dropped
// target gets no new work.
//
// While the log is unavailable, the register may drop targets that are alive; they are
// listed again shortly after the log returns. A drop that is read during an outage of
// Config.MinLapse or longer, or within Config.DropDelay of it, therefore takes effect only
// after that time. No target that is alive is dropped in a shorter outage.
//
// Weight versions are learned from the register, from responses, from refusals and from
// side processes. The highest one is current, since an engine never loads an older one.
//
// # Example
//
//	r := roster.New(roster.Config{Self: "entry-1", DataCentre: "yvr-east"})
//	r.ObserveListing(now, listing)
//	for _, c := range r.Candidates(now, "boragehub-llm", "shuttle-8b") { … }
package roster

import (
	"cmp"
	"sort"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/pulse"
	"boragehub/slowstart"
	"boragehub/target"
)

// Listing is the register's entry for one target.
type Listing struct {
	// ID is the id of the target's current start.
	ID string
	// Service is the service that the target belongs to.
	Service string
	// Address is the target's IP address and port.
	Address string
	// DataCentre is the data centre that the target runs in.
	DataCentre string
	// Draining reports whether the target is shutting down and takes no new work.
	Draining bool
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Versions holds the target's weight versions by model.
	Versions map[string]int64
	// StartedMs is the target's start time in ms of its own clock; zero when not reported.
	StartedMs int64
	// ColdFor is the time until the target is warm after its start; zero when it is warm.
	ColdFor time.Duration
	// Era and Offset are the entry's position in the register. Targets rewrite their entries
	// regularly, so the entry with the highest position is the latest. Offsets are comparable within an
	// era, and a higher era is later.
	Era, Offset int64
}

// equal reports whether l and o agree in everything but ID, DataCentre, ColdFor and the position.
func (l Listing) equal(o Listing) bool {
	if l.Service != o.Service || l.Address != o.Address || l.Draining != o.Draining || l.Slots != o.Slots || l.StartedMs != o.StartedMs || len(l.Versions) != len(o.Versions) {
		return false
	}

	for model, v := range l.Versions {
		if o.Versions[model] != v {
			return false
		}
	}

	return true
}

// Config configures a Roster. Zero durations are replaced by defaults.
type Config struct {
	// Self is the name of this process's VM.
	Self string
	// DataCentre is the data centre of this process.
	DataCentre string
	// Regions maps data centres to regions.
	Regions map[string]string
	// DropDelay is how long after a log outage drops are delayed; 2.2 s when zero,
	// since entries that expired during the outage are listed again within 2 s.
	DropDelay time.Duration
	// MinLapse is the shortest outage of the log in which the entry of a target that is alive may
	// expire; 1.8 s when zero, as entries expire after three heartbeats of 1.2 s of silence.
	MinLapse time.Duration
	// ListedAsOf returns a time as of which the register's entries are known. A delayed drop takes effect
	// once they are known as of the end of its delay. Nil means that they always are.
	ListedAsOf func() time.Time
	// MaxLoadTime is how long a target counts as loading after a weight load was
	// announced and its completion is not reported; 4 s when zero. A load takes about
	// 0.5 s, and the requests that run before it another 1 to 2 s.
	MaxLoadTime time.Duration
	// Configured reports whether a service is configured; nil means that all are. Register
	// entries of other services never count as the target at an address.
	Configured func(service string) bool
	// SlowStart returns the request limit of a service's cold targets; nil means no
	// limit.
	SlowStart func(service string) slowstart.Limit
	// Entries ranks the live entries, which share that limit and the rate limits that targets
	// name; required with SlowStart. Nil means that there is no other entry.
	Entries Entries
	// RateLimitChanged is called when the other entries are to be told of a target's rate limit;
	// may be nil.
	RateLimitChanged func(l RateLimit)
	// TargetLeaving is called when the other entries are to be told that a target is about to
	// leave; may be nil.
	TargetLeaving func(l Leaving)
	// TargetEnded is called when a start of a target has ended that was not about to leave; may be
	// nil.
	TargetEnded func(e Ended)
	// SlowdownChanged is called when the process beside the target at an address is to be told of the
	// slowdown of its host, in percent; may be nil.
	SlowdownChanged func(address string, percent int)
	// Restarted is called when a target has restarted under the same id, possibly from
	// several goroutines; may be nil.
	Restarted func(id string)
	// Contention says which services are contended, MemoryPressure that those are which
	// HasEngines returns true for.
	Contention     Contention
	MemoryPressure bool
	// HasEngines reports whether a service consists of model engines; required with
	// MemoryPressure.
	HasEngines func(service string) bool
	// Log receives a line for each change.
	Log logr.Logger
}

// Engine is a target with its weight version, load report and slow-start state.
type Engine struct {
	target.Target
	// ID is the id of the target's current start.
	ID string
	// StartedMs is the time of that start in ms of the target's clock; zero when not reported.
	StartedMs int64
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Version is its weight version of the requested model; zero when unknown.
	Version int64
	// Loading reports whether the target is taken to be loading weights and to refuse
	// work.
	Loading bool
	// LoadScheduled reports whether a weight load is scheduled, LoadIn after the call; zero
	// when it is due.
	LoadScheduled bool
	LoadIn        time.Duration
	// Report is the last load report received directly from the target's side process,
	// ReportAge its age. Fresh reports whether it is recent enough to be used.
	Report    pulse.Report
	ReportAge time.Duration
	Fresh     bool
	// SentSince counts the requests that this process sent to the target after that report.
	SentSince Sent
	// HeartbeatMissing reports whether the target is suspected of having failed: neither load
	// reports nor responses have arrived from it for several checks.
	HeartbeatMissing bool
	// ColdFor is the time until the target is warm; zero when it is warm or has no limit.
	ColdFor time.Duration
	// Throttled reports whether this process may send the target no request now because
	// the target may be cold, names a rate limit or refused with Retry-After.
	Throttled bool
	// RateLimit is the number of requests a second that the target takes from all entries
	// together; zero when it names no limit.
	RateLimit float64
	// SlotInterval is the time between two requests of this process under that limit.
	SlotInterval time.Duration
	// Wait is the time until this process may send the target a request, because of its rate
	// limit or as it refused with Retry-After; zero when it may now. Throttled is set with it.
	Wait time.Duration
	// Slowdown is the factor by which work on the target takes longer than usual: 1 when unknown, or
	// when the service is not contended.
	Slowdown float64
	// Backlog is what leases hold at the target.
	Backlog Backlog
}

// Entries ranks the live entries.
type Entries interface {
	// Rank returns this entry's position, from zero, in the rendezvous hashing order of
	// a key.
	Rank(now time.Time, key string) int
	// Size returns the number of live entries, including this one.
	Size(now time.Time) int
}

// Sent counts requests that were sent to a target.
type Sent struct {
	// Requests is their number, PrefillTokens the number of tokens that the target has to
	// prefill for them, and CacheTokens the number of KV cache tokens that they take.
	Requests, PrefillTokens, CacheTokens int
}

// engine is the state kept for one target.
type engine struct {
	report       pulse.Report
	reportedAt   time.Time
	backlogAt    time.Time // when the report's figures of leases arrived
	subscribedAt time.Time // since when this process subscribes to its load reports; zero while it doesn't
	sideProcess  sideProcess
	sentSince    Sent
	lastSentAt   time.Time // when it was last sent a request
	listing      Listing
	versions     map[string]int64
	loadingUntil time.Time // until when it is taken to be loading weights
	dropPending  bool      // the register dropped it, and the drop is delayed
	liveness     liveness
	run          runState
	startedMs    int64 // start time in ms of its own clock; zero when not reported
	slowStart    slowStart
	rateLimit    rateLimit
	retryAt      time.Time // when it takes requests of this process again, after a refusal
	capacity     targetCapacity
	saidLeaving  bool // that it is about to leave, in a response to this entry or another one
}

// Roster holds the known targets. Use New. Its methods are safe for concurrent use.
type Roster struct {
	cfg   Config
	table *target.Table

	mu                sync.Mutex
	engines           map[string]*engine
	registrations     map[string][]registration // by address, sorted by id
	reporting         map[string]bool           // addresses from which a load report was ever received
	dropsDelayedUntil time.Time                 // until when drops are delayed
	logUnavailable    bool                      // as last set by SetLogUnavailable
	unavailableSince  time.Time                 // when that began
	lastSeen          time.Time                 // when any target was last seen
	subscribes        bool                      // Subscriptions has been called
	evacuated         map[string]bool           // data centres whose targets get no work
	firstListedAt     time.Time                 // when the first target was listed
	liveEntries       int                       // number of live entries as of the last Tick
	listChanged       bool                      // the table doesn't have the latest list yet
	sharing           sharingEntries
	departed          map[string]departed // targets that left the register lately, by id
	// leavingUnannounced are the targets whose leaving the other entries are yet to be told of.
	leavingUnannounced []Leaving
	endedUnannounced   []Ended                 // starts that TargetEnded is yet to be called with
	tickedAt           time.Time               // when Tick was last called
	contended          map[string]bool         // services with a target that reported a slowdown
	utilisations       map[string]*utilisation // by service
}

// registration is a target's entry in the register at one address.
//
// A target that was killed and restarted is listed twice for some seconds, under its old
// and its new id. Half of the requests to it would go to the old id and be refused; after
// a power failure that is half of all requests. Only one target runs at an address, so
// the registration that was written last is the current one. Entries of services that
// are not configured come from other writers and are ignored.
type registration struct {
	id, service string
	era, offset int64
}

// writtenAfter reports whether r was written after o.
func (r registration) writtenAfter(o registration) bool {
	return cmp.Or(cmp.Compare(r.era, o.era), cmp.Compare(r.offset, o.offset)) > 0
}

// maxTargets is the size of the table and of its candidate subset. It is large enough for
// every target of a deployment; in the largest fleets the table bounds what it keeps.
const maxTargets = 4096

// New returns an empty Roster.
func New(cfg Config) *Roster {
	if cfg.DropDelay <= 0 {
		cfg.DropDelay = 2200 * time.Millisecond
	}

	if cfg.MinLapse <= 0 {
		cfg.MinLapse = 1800 * time.Millisecond
	}

	if cfg.MaxLoadTime <= 0 {
		cfg.MaxLoadTime = 4 * time.Second
	}

	return &Roster{
		cfg: cfg,
		table: target.NewTable(target.TableConfig{
			Self: cfg.Self, DataCentre: cfg.DataCentre, Regions: cfg.Regions,
			SubsetSize: maxTargets, MaxSubsetTotal: maxTargets, UnresponsiveAfter: time.Hour, BaseEjection: time.Second, MaxEjection: 4 * time.Second,
			ProbeTimeout: 2 * time.Second, ForgetAfter: time.Minute,
		}),
		engines:       make(map[string]*engine),
		registrations: make(map[string][]registration),
		reporting:     make(map[string]bool),
		evacuated:     make(map[string]bool),
		departed:      make(map[string]departed),
		contended:     make(map[string]bool),
		utilisations:  make(map[string]*utilisation),
	}
}

// SetLogUnavailable records that the log is unavailable since a time, or that it is available again.
// Drops are delayed during an outage, and for Config.DropDelay after one of Config.MinLapse or longer.
func (r *Roster) SetLogUnavailable(at time.Time, unavailable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if unavailable {
		if !r.logUnavailable {
			r.unavailableSince = at
		}

		r.logUnavailable = true

		return
	}

	if r.logUnavailable && at.Sub(r.unavailableSince) >= r.cfg.MinLapse {
		r.delayDrops(at)
	}

	r.logUnavailable = false
}

// delayDrops delays drops for Config.DropDelay. The caller holds mu.
func (r *Roster) delayDrops(now time.Time) {
	r.dropsDelayedUntil = now.Add(r.cfg.DropDelay)
	event.Log(r.cfg.Log, event.DropsDelayed, "until", r.dropsDelayedUntil, "outage_ms", now.Sub(r.unavailableSince).Milliseconds())
}

// LogReset records that the log has returned from a copy. Drops are delayed as after an outage.
func (r *Roster) LogReset(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.unavailableSince = now
	r.delayDrops(now)
}

// ObserveListing applies the register's entry for one target.
func (r *Roster) ObserveListing(now time.Time, l Listing) {
	r.mu.Lock()
	restarted := r.applyListing(now, l)
	r.mu.Unlock()

	r.notifyRestart(l.ID, restarted)
}

// applyListing applies a listing and reports whether the target has restarted under the
// same id. The caller holds mu.
func (r *Roster) applyListing(now time.Time, l Listing) (restarted bool) {
	e, ok := r.engines[l.ID]
	if !ok {
		d := r.departed[l.ID]
		e = &engine{versions: make(map[string]int64), rateLimit: d.limit, retryAt: d.retryAt, saidLeaving: d.saidLeaving, startedMs: d.startedMs, run: d.run}
		r.engines[l.ID] = e
	}

	if r.firstListedAt.IsZero() {
		r.firstListedAt = now
	}

	restarted = r.observeStart(now, l.ID, l.Service, e, l.StartedMs)
	e.slowStart.observeCold(now, l.ColdFor)

	if ok && e.listing.Address != l.Address {
		r.removeRegistration(e.listing.Address, l.ID)
	}

	before := r.currentRegistration(l.Address).id
	r.addRegistration(l)

	e.dropPending = false
	changed := !ok || !e.listing.equal(l) || r.currentRegistration(l.Address).id != before

	if !e.isEarlierStart(l.StartedMs) {
		for model, v := range l.Versions {
			r.raiseVersion(l.ID, e, model, v, "register")
		}
	}

	if !changed {
		return restarted
	}

	if before != "" && before != l.ID && r.currentRegistration(l.Address).id == l.ID && r.engines[before].listing.Service == l.Service {
		r.markEnded(before, true)
	}

	e.listing = l
	event.Log(r.cfg.Log, event.EngineListed, "target", l.ID, "address", l.Address, "service", l.Service, "draining", l.Draining, "versions", l.Versions)
	r.listChanged = true

	return restarted
}

// ObserveRemoval applies the removal of a target from the register. During and shortly after a log
// outage the removal is delayed unless the target is draining; Tick then carries it out.
func (r *Roster) ObserveRemoval(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	e, ok := r.engines[id]
	if !ok {
		return
	}

	if r.dropsDelayed(now) && !e.leaving() {
		e.dropPending = true

		return
	}

	r.remove(now, id, "dropped")
}

// dropsDelayed reports whether drops are delayed at present. The caller holds mu.
func (r *Roster) dropsDelayed(now time.Time) bool {
	return r.logUnavailable || now.Before(r.dropsDelayedUntil)
}

// remove deletes a target. The caller holds mu.
func (r *Roster) remove(now time.Time, id, reason string) {
	r.markEnded(id, false)
	r.removeRegistration(r.engines[id].listing.Address, id)

	d := r.engines[id].depart(now)
	d.modelEngine = r.isModelEngine(r.engines[id].listing.Service)
	r.departed[id] = d
	delete(r.engines, id)
	event.Log(r.cfg.Log, event.EngineDropped, "target", id, "reason", reason)
	r.listChanged = true
}

// Tick carries out the delayed drops that are due and checks which targets were seen.
// Call it every 250 ms (checkInterval).
func (r *Roster) Tick(now time.Time) {
	r.mu.Lock()
	limits := r.tick(now)
	leaving := r.leavingUnannounced
	ended := r.endedUnannounced
	r.leavingUnannounced, r.endedUnannounced = nil, nil
	r.mu.Unlock()

	announce(limits, r.cfg.RateLimitChanged)
	announce(leaving, r.cfg.TargetLeaving)
	announce(ended, r.cfg.TargetEnded)
}

// announce calls a function of Config, if it is set, for each of some announcements.
func announce[T any](all []T, to func(T)) {
	if to == nil {
		return
	}

	for _, a := range all {
		to(a)
	}
}

// tick carries out Tick and returns the rate limits to announce. The caller holds mu.
func (r *Roster) tick(now time.Time) []RateLimit {
	r.checkLiveness()
	r.syncTable(now)

	if r.cfg.Entries != nil {
		r.liveEntries = r.cfg.Entries.Size(now)
	}

	r.forgetDeparted(now)

	limits := r.tickRateLimits(now)

	if r.dropsDelayed(now) || (r.cfg.ListedAsOf != nil && r.cfg.ListedAsOf().Before(r.dropsDelayedUntil)) {
		return limits
	}

	for id, e := range r.engines {
		if e.dropPending {
			r.remove(now, id, "still missing after an outage of the log")
		}
	}

	return limits
}

// Reconfigured records that the set of configured services may have changed.
func (r *Roster) Reconfigured() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.listChanged = true
}

// syncTable passes the list of targets to the table if it has changed. Reading the whole
// register changes the list once per target, so the list is passed on only when the table
// is queried. The caller holds mu.
func (r *Roster) syncTable(now time.Time) {
	if !r.listChanged {
		return
	}

	r.listChanged = false
	rows := make([]target.Listed, 0, len(r.engines))

	for id, e := range r.engines {
		// The table returns a bounded number of candidates, which earlier starts of
		// the same targets would use up.
		if r.currentRegistration(e.listing.Address).id != id {
			continue
		}

		state := target.Live
		if e.leaving() {
			state = target.Leaving
		}

		rows = append(rows, target.Listed{
			VM: id, DataCentre: e.listing.DataCentre, Kind: target.KindPlain,
			Service: e.listing.Service, Address: e.listing.Address, State: state,
		})
	}

	sort.Slice(rows, func(i, j int) bool { return rows[i].VM < rows[j].VM })

	for _, c := range r.table.ObserveList(now, rows) {
		r.logChange(c)
	}
}

// logChange logs a change of a target's health state.
func (r *Roster) logChange(c target.Change) {
	event.Log(r.cfg.Log, event.TargetChanged, "vm", c.VM, "reason", c.Reason.String(), "until", c.Until)
}

// Candidates returns the targets of a service that may get work, with their weight
// version of a model. Targets in evacuated data centres are left out.
func (r *Roster) Candidates(now time.Time, service, model string) []Engine {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.syncTable(now)
	targets := r.table.Candidates(now, service)
	contended := r.isContended(service)

	all := make([]Engine, 0, len(targets))

	for _, t := range targets {
		if e, ok := r.engines[t.VM]; ok && r.currentRegistration(e.listing.Address).id == t.VM && !r.evacuated[e.listing.DataCentre] {
			view := e.view(now, t, model)
			view.ColdFor, view.Throttled = r.throttle(now, e)
			view.Wait = e.wait(now)
			view.Throttled = view.Throttled || view.Wait > 0

			if contended {
				view.Slowdown = e.slowdownFactor(now)
			}

			all = append(all, view)
		}
	}

	return all
}

func (e *engine) view(now time.Time, t target.Target, model string) Engine {
	age := now.Sub(e.reportedAt)

	loads := time.Duration(e.report.LoadInMs) * time.Millisecond

	return Engine{
		Slowdown:      1,
		Backlog:       e.backlog(now),
		LoadScheduled: loads > 0, LoadIn: max(loads-age, 0),
		Target: t, ID: t.VM, StartedMs: e.startedMs, Slots: e.listing.Slots,
		Version: e.versions[model], Loading: now.Before(e.loadingUntil),
		Report: e.report, ReportAge: age, Fresh: age < e.maxReportAge(), SentSince: e.sentSince,
		HeartbeatMissing: e.suspected(), RateLimit: e.rateLimit.share.Limit(), SlotInterval: e.rateLimit.share.Interval(),
	}
}

// Sent records that a request is sent to a target. PrefillTokens is the number of tokens
// that the target has to prefill, cacheTokens the number of KV cache tokens that the request takes.
func (r *Roster) Sent(now time.Time, id string, prefillTokens, cacheTokens int) target.Attempt {
	return r.sent(now, id, prefillTokens, cacheTokens, false)
}

func (r *Roster) sent(now time.Time, id string, prefillTokens, cacheTokens int, leased bool) target.Attempt {
	r.mu.Lock()
	r.syncTable(now)

	if e, ok := r.engines[id]; ok {
		e.lastSentAt = now
		e.sentSince.Requests++
		e.sentSince.CacheTokens += cacheTokens

		if !leased {
			e.sentSince.PrefillTokens += prefillTokens
		}
	}

	r.mu.Unlock()

	return r.table.Sent(now, id, prefillTokens)
}

// Done records the outcome of a request.
func (r *Roster) Done(now time.Time, s target.Attempt, o target.Outcome) {
	for _, c := range r.table.Done(now, s, o) {
		r.logChange(c)
	}
}

// ObserveLoad records the load that a target reported on a response, in requests.
func (r *Roster) ObserveLoad(now time.Time, id string, running, waiting int) {
	r.table.ObserveLoad(now, id, target.Load{Running: running, Waiting: waiting})
}

// ObserveLoading records that a target is about to load a weight version. It is ignored when the
// target is known to have that version or a newer one.
func (r *Roster) ObserveLoading(now time.Time, id, model string, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	e, ok := r.engines[id]
	if !ok || e.versions[model] >= version {
		return
	}

	e.loadingUntil = now.Add(r.cfg.MaxLoadTime)
	event.Log(r.cfg.Log, event.EngineLoading, "target", id, "model", model, "version", version)
}

// ObserveRefusal records that a target refused work although it is not full: it is loading weights
// and the load was not announced. The target counts as loading for the time d.
func (r *Roster) ObserveRefusal(now time.Time, id string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e, ok := r.engines[id]; ok && now.Add(d).After(e.loadingUntil) {
		e.loadingUntil = now.Add(d)
	}
}

// ObserveReplaced records that another target responds at a target's address. The target counts as
// loading for Config.MaxLoadTime, so that it gets no work until the register has changed.
func (r *Roster) ObserveReplaced(now time.Time, id string) {
	r.ObserveRefusal(now, id, r.cfg.MaxLoadTime)
}

// ObserveVersion records that a target has a weight version. Basis names the source; it is logged.
func (r *Roster) ObserveVersion(id, model string, version int64, basis string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e, ok := r.engines[id]; ok {
		r.raiseVersion(id, e, model, version, basis)
	}
}

// raiseVersion records a weight version if it is higher than the known one. The caller
// holds mu.
func (r *Roster) raiseVersion(id string, e *engine, model string, version int64, basis string) {
	if model == "" || version <= e.versions[model] {
		return
	}

	if e.versions[model] > 0 {
		e.loadingUntil = time.Time{}
		event.Log(r.cfg.Log, event.EngineVersion, "target", id, "model", model, "version", version, "basis", basis)
	}

	e.versions[model] = version
}

// ByAddress returns the id of the target at an address; ok is false when there is none.
func (r *Roster) ByAddress(address string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	reg := r.currentRegistration(address)

	return reg.id, reg.id != ""
}

// Len returns the number of known targets.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.engines)
}
