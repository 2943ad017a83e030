package claim

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/journal"
)

const (
	// DefaultShards is how many shards the keys of a service are divided into.
	DefaultShards = 16
	// DefaultAppendInterval is the minimum time between two appends to one shard.
	DefaultAppendInterval = 100 * time.Millisecond
	// DefaultRebalanceDelay is how long a shard's first candidate must be another
	// process before the owner yields to it.
	DefaultRebalanceDelay = time.Minute
	// DefaultSnapshotRecords is the number of records between two snapshots.
	DefaultSnapshotRecords = 50000
	// tickInterval is the interval at which a Deduplicator checks its shards.
	tickInterval = 50 * time.Millisecond
	// pollWait is how long a shard's poll waits for a record; it is below
	// logTimeout.
	pollWait = time.Second
	// snapshotsPerRetention is how many snapshots are written while the log keeps
	// a record.
	snapshotsPerRetention = 4
	// snapshotRecordsPerKey is the minimum number of records between two
	// snapshots for each key in the state.
	snapshotRecordsPerKey = 4
	// maxRecordsPerRun is the maximum number of records of one run.
	maxRecordsPerRun = 2
)

// DeduplicatorConfig configures a Deduplicator.
type DeduplicatorConfig struct {
	// Log is the log service.
	Log journal.Log
	// Service is the plain service whose requests are deduplicated.
	Service string
	// Shards is the number of shards of the service's keys; it must be the same
	// in all processes. Zero means DefaultShards.
	Shards int
	// VM is the VM that this process runs on, as the platform's list names it.
	VM string
	// Incarnation rises with each start of a process on VM; zero takes the time
	// from Clock, in Unix milliseconds.
	Incarnation uint64
	// VMList returns the newest known list of the service's VMs.
	VMList func() VMList
	// State must be the same in all processes.
	State StateConfig
	// RefuseInOutage refuses requests while the log is unresponsive, instead of
	// running them before their claims are written.
	RefuseInOutage bool
	// LogRetention is how long the log keeps records at least; zero means
	// DefaultLogRetention.
	LogRetention time.Duration
	// SnapshotRecords is the number of records between two snapshots; with many
	// keys the number is higher. Zero means DefaultSnapshotRecords.
	SnapshotRecords uint64
	// AppendInterval is the minimum time between two appends to one shard; zero
	// means DefaultAppendInterval.
	AppendInterval time.Duration
	// AppendLimit limits the rate of appends of all shards together; nil means no
	// limit.
	AppendLimit *rate.Limiter
	// Stagger is how long a candidate waits for each candidate before it; zero
	// means DefaultStagger.
	Stagger time.Duration
	// RebalanceDelay is how long a shard's first candidate must be another
	// process before the owner yields to it; zero means DefaultRebalanceDelay.
	RebalanceDelay time.Duration
	// ReadBackTimeout is how long a claim waits to be read back; zero means
	// DefaultReadBackTimeout.
	ReadBackTimeout time.Duration
	// MaxPending limits the runs of one shard that are not yet complete in the
	// log; zero means DefaultMaxPending.
	MaxPending int
	// MaxBodyBytes limits the body of a recorded outcome; zero means
	// DefaultMaxBodyBytes.
	MaxBodyBytes int
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Logger gets the Deduplicator's events; its zero value discards them.
	Logger logr.Logger
}

// Deduplicator deduplicates the requests of the shards that this process owns,
// and is a standby for others. Run must run in the background. It is safe for
// concurrent use.
type Deduplicator struct {
	cfg DeduplicatorConfig

	mu       sync.Mutex
	shards   map[int]*shard // the shards that this process follows, by number
	stopping bool

	ranks        []int  // the rank of this process by shard, as of ranksVersion
	ranksVersion uint64 // the version of the list; both are used only by Run's goroutine
}

// NewDeduplicator returns a Deduplicator for cfg. It reads nothing until Run is
// called.
func NewDeduplicator(cfg DeduplicatorConfig) *Deduplicator {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}

	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(cfg.Clock().UnixMilli())
	}

	if cfg.SnapshotRecords == 0 {
		cfg.SnapshotRecords = DefaultSnapshotRecords
	}

	cfg.Shards = orDefault(cfg.Shards, DefaultShards)
	cfg.AppendInterval = orDefault(cfg.AppendInterval, DefaultAppendInterval)
	cfg.RebalanceDelay = orDefault(cfg.RebalanceDelay, DefaultRebalanceDelay)
	cfg.LogRetention = orDefault(cfg.LogRetention, DefaultLogRetention)
	cfg.MaxPending = orDefault(cfg.MaxPending, DefaultMaxPending)

	return &Deduplicator{cfg: cfg, shards: map[int]*shard{}}
}

// Claim asks for permission to run q once. A Ticket without an Outcome permits
// the run; it must then be passed to Complete, Withdraw or MarkUnknown. The
// error kinds are NotReady (this process doesn't own the key's shard; Owner
// returns the process that does), KeyBusy, KeyReused, KeyExpired, BadRequest,
// OutcomeUnknown, LogUnavailable and QueueFull, and Cancelled if ctx is
// cancelled. They are about this call; LogUnavailable and QueueFull also mean
// that no earlier call with the key has run.
func (h *Deduplicator) Claim(ctx context.Context, now time.Time, q Request) (Ticket, error) {
	n := Shard(q.Organisation, q.Key, h.cfg.Shards)

	s := h.shard(n)
	if s == nil {
		return Ticket{}, failure.New(failure.NotReady, "this process does not own the shard of the key").WithRetryAfter(retryAfter)
	}

	if !q.Deadline.IsZero() {
		var cancel context.CancelFunc

		ctx, cancel = context.WithDeadline(ctx, q.Deadline)
		defer cancel()
	}

	t, err := s.claim(ctx, now, q)
	h.logDecision(t, err, n, q.Organisation)

	return t, err
}

// logDecision logs the decision about a key.
func (h *Deduplicator) logDecision(t Ticket, err error, shard int, organisation string) {
	l := h.cfg.Logger

	switch kind := failure.KindOf(err); {
	case err == nil && t.Outcome != nil:
		event.Log(l, event.ClaimReplayed, "service", h.cfg.Service, "shard", shard, "organisation", organisation)
	case err == nil:
		event.Log(l, event.ClaimDecided, "service", h.cfg.Service, "shard", shard,
			"organisation", organisation, "log_less", t.Unlogged)
	case kind == failure.OutcomeUnknown:
		event.Log(l, event.ClaimOutcomeUnknown, "service", h.cfg.Service, "shard", shard, "organisation", organisation)
	default:
		event.Log(l, event.ClaimRefused, "service", h.cfg.Service, "shard", shard,
			"organisation", organisation, "kind", kind.String())
	}
}

// Complete records the outcome of a run. Retried requests get it from now on; it
// is written to the log asynchronously.
func (h *Deduplicator) Complete(_ context.Context, t Ticket, o Outcome) error {
	return h.finish(t, func(c *Coordinator) { c.Complete(t.run, o) })
}

// Withdraw records that a run did not happen and won't happen, so that the key
// may be claimed again. The caller must be certain of that.
func (h *Deduplicator) Withdraw(_ context.Context, t Ticket) error {
	return h.finish(t, func(c *Coordinator) { c.Withdraw(t.run) })
}

// MarkUnknown records that the outcome of a run will never be known, since its
// target crashed or became unresponsive. Retried requests are answered as
// OutcomeUnknown.
func (h *Deduplicator) MarkUnknown(_ context.Context, t Ticket) error {
	return h.finish(t, func(c *Coordinator) { c.MarkUnknown(t.run) })
}

func (h *Deduplicator) finish(t Ticket, do func(*Coordinator)) error {
	s := h.shard(t.shard)
	if s == nil || t.run == nil {
		return failure.New(failure.NotReady, "the ticket was not issued by this process")
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	do(s.coordinator)
	s.flush()

	return nil
}

// Owner returns the owner of a shard; false if this process doesn't know it.
func (h *Deduplicator) Owner(shard int) (Owner, bool) {
	s := h.shard(shard)
	if s == nil {
		return Owner{}, false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	owner := s.coordinator.state.Owner()

	return owner, owner.Active() && !s.coordinator.behind
}

// SetKeyLifetime sets how long keys are remembered from now on, also for shards
// that are followed later. Keys claimed before keep their expiry time, also when
// the new lifetime is shorter; a longer one never makes a forgotten key usable
// again.
func (h *Deduplicator) SetKeyLifetime(lifetime time.Duration) {
	h.mu.Lock()
	h.cfg.State.KeyLifetime = lifetime
	h.mu.Unlock()

	for _, s := range h.followedShards() {
		s.mu.Lock()
		s.coordinator.state.SetKeyLifetime(lifetime)
		s.mu.Unlock()
	}
}

// OwnedShards returns the numbers of the shards that this process owns.
func (h *Deduplicator) OwnedShards() []int {
	var owned []int

	for _, s := range h.followedShards() {
		s.mu.Lock()
		if s.coordinator.IsOwner() {
			owned = append(owned, s.number)
		}
		s.mu.Unlock()
	}

	return owned
}

// Drain accepts no more claims, waits until all runs have ended and are
// complete in the log, and releases every shard, so that others take over
// without an uncertain window. It returns when that is done, or with a Timeout
// error when ctx ends.
func (h *Deduplicator) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()

	t := time.NewTicker(tickInterval)
	defer t.Stop()

	for len(h.OwnedShards()) > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return failure.New(failure.Timeout, "not all shards were released in time")
		}
	}

	return nil
}

// Run follows the shards that this process owns or is a candidate for, until
// ctx ends. The process must already hold its port, since Run writes into every
// shard that earlier processes on this VM have ended.
func (h *Deduplicator) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	wg.Go(func() { h.announceStart(ctx) })

	t := time.NewTicker(tickInterval)
	defer t.Stop()

	for {
		h.tick(ctx, &wg, h.cfg.Clock())

		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// announceStart writes into each shard that earlier processes on this VM have
// ended. One of them may own a shard that this process doesn't follow.
func (h *Deduplicator) announceStart(ctx context.Context) {
	for n := range h.cfg.Shards {
		h.announceStartTo(ctx, n)
	}
}

// announceStartTo retries until shard n has the record or ctx ends.
func (h *Deduplicator) announceStartTo(ctx context.Context, n int) {
	ctx, cancel := context.WithCancel(ctx)
	w := journal.NewWriter(journal.WriterConfig{
		Log: h.cfg.Log, Stream: Stream(h.cfg.Service, n), Limit: h.cfg.AppendLimit, Logger: h.cfg.Logger,
	})

	var wg sync.WaitGroup

	wg.Go(func() { w.Run(ctx) })

	_, _ = w.Append(ctx, startRecord(h.cfg.VM, h.cfg.Incarnation).encode())

	cancel()
	wg.Wait()
}

// tick checks each shard once.
func (h *Deduplicator) tick(ctx context.Context, wg *sync.WaitGroup, now time.Time) {
	f := h.cfg.VMList()

	h.mu.Lock()
	stop := h.stopping
	h.mu.Unlock()

	yielding := false
	h.updateRanks(f)

	for n, rank := range h.ranks {
		s := h.shard(n)

		switch {
		case s == nil && rank < CandidatesPerShard:
			h.follow(ctx, wg, n)
		case s == nil:
		case s.unneeded(rank):
			h.unfollow(n)
		default:
			yielding = s.tick(now, f, rank, stop, !yielding) || yielding
		}
	}
}

// updateRanks ranks the candidates again when the list of VMs has changed.
func (h *Deduplicator) updateRanks(f VMList) {
	if h.ranks != nil && h.ranksVersion == f.Version {
		return
	}

	h.ranksVersion = f.Version
	h.ranks = make([]int, h.cfg.Shards)

	for n, candidates := range RankCandidates(h.cfg.Service, h.cfg.Shards, f) {
		h.ranks[n] = CandidateRank(candidates, h.cfg.VM)
	}
}

func (h *Deduplicator) follow(ctx context.Context, wg *sync.WaitGroup, n int) {
	ctx, cancel := context.WithCancel(ctx)

	h.mu.Lock()
	s := newShard(h.cfg, n, cancel)
	h.shards[n] = s
	h.mu.Unlock()

	wg.Go(func() { s.reader.Run(ctx) })
	wg.Go(func() { s.writer.Run(ctx) })
	wg.Go(func() { s.runSnapshots(ctx) })
}

func (h *Deduplicator) unfollow(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.shards[n].cancel()
	delete(h.shards, n)
}

func (h *Deduplicator) shard(n int) *shard {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.shards[n]
}

func (h *Deduplicator) followedShards() []*shard {
	h.mu.Lock()
	defer h.mu.Unlock()

	all := make([]*shard, 0, len(h.shards))
	for _, s := range h.shards {
		all = append(all, s)
	}

	return all
}
