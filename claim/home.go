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
	// DefaultInterval is the least time between two appends to one shard.
	DefaultInterval = 100 * time.Millisecond
	// DefaultRebalance is how long the first candidate of a shard is listed
	// before another home yields to it.
	DefaultRebalance = time.Minute
	// DefaultSnapshotRecords is how many records follow a snapshot before the next.
	DefaultSnapshotRecords = 50000
	// tickEvery is how often a Home looks whether something is due.
	tickEvery = 50 * time.Millisecond
	// pollWait is how long a shard's poll waits for a record; below silence.
	pollWait = time.Second
	// snapshotsPerRetention is how often the state is written again while the log
	// keeps a record.
	snapshotsPerRetention = 4
	// recordsPerKey is how many records follow a snapshot for each key in it.
	recordsPerKey = 4
	// recordsPerRun is how many records a run makes at most.
	recordsPerRun = 2
)

// HomeConfig says which service's keys a process keeps, and how.
type HomeConfig struct {
	// Log is the log service.
	Log journal.Log
	// Service is the plain service.
	Service string
	// Shards is how many shards the service's keys have; the same in all
	// processes. Zero is DefaultShards.
	Shards int
	// VM is the VM that this process runs on, by the platform's list.
	VM string
	// Incarnation rises with each start of a process on VM; zero takes it from Clock.
	Incarnation uint64
	// Fleet returns the newest list of the service's VMs that is known.
	Fleet func() Fleet
	// Ledger is what all processes have to agree on.
	Ledger LedgerConfig
	// RefuseInOutage refuses while the log is silent, instead of running before
	// claims are written.
	RefuseInOutage bool
	// Retention is for how long the log keeps records at the least; zero is
	// DefaultRetention.
	Retention time.Duration
	// SnapshotRecords is how many records follow a snapshot before the next, more
	// with many keys; zero is DefaultSnapshotRecords.
	SnapshotRecords uint64
	// Interval is the least time between two appends to one shard; zero is
	// DefaultInterval.
	Interval time.Duration
	// Limit bounds the appends of all shards together; nil bounds nothing.
	Limit *rate.Limiter
	// Stagger is how long a candidate waits for each one before it.
	Stagger time.Duration
	// Rebalance is how long the first candidate of a shard is listed before
	// another home yields to it; zero is DefaultRebalance.
	Rebalance time.Duration
	// Patience is how long a claim waits to be read back; zero is DefaultPatience.
	Patience time.Duration
	// MaxLocal bounds the runs of one shard that the log does not hold yet; zero
	// is DefaultMaxLocal.
	MaxLocal int
	// MaxBody bounds the body of a recorded outcome; zero is DefaultMaxBody.
	MaxBody int
	// Clock tells the time; nil is time.Now.
	Clock func() time.Time
	// Logger gets the Home's events; its zero value drops them.
	Logger logr.Logger
}

// Home keeps the claims of the shards whose home this process is, and stands by
// for others. Run is its duty.
type Home struct {
	cfg HomeConfig

	mu     sync.Mutex
	shards map[int]*shard // those that are followed
	stop   bool

	ranks   []int  // this process's rank by shard, as of
	version uint64 // this version of the fleet; only Run's goroutine uses them
}

// NewHome returns a Home for cfg. It reads nothing until Run.
func NewHome(cfg HomeConfig) *Home {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}

	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(cfg.Clock().UnixMilli())
	}

	if cfg.SnapshotRecords == 0 {
		cfg.SnapshotRecords = DefaultSnapshotRecords
	}

	cfg.Shards = positive(cfg.Shards, DefaultShards)
	cfg.Interval = positive(cfg.Interval, DefaultInterval)
	cfg.Rebalance = positive(cfg.Rebalance, DefaultRebalance)
	cfg.Retention = positive(cfg.Retention, DefaultRetention)
	cfg.MaxLocal = positive(cfg.MaxLocal, DefaultMaxLocal)

	return &Home{cfg: cfg, shards: map[int]*shard{}}
}

// Claim asks to run q once. A Ticket without an Outcome allows to run it; it
// must come back by Settle, Withdraw or Lose. The error kinds are NotReady (this
// process is not the key's home; Holder tells who is), KeyBusy, KeyReused,
// KeyExpired, BadRequest, OutcomeUnknown, LogUnavailable and QueueFull. They
// are about this call; with LogUnavailable and QueueFull no earlier call with
// the key has run either.
func (h *Home) Claim(ctx context.Context, now time.Time, q Request) (Ticket, error) {
	n := Shard(q.Organisation, q.Key, h.cfg.Shards)

	s := h.shard(n)
	if s == nil {
		return Ticket{}, failure.New(failure.NotReady, "this process is not the home of the key").After(refusedAfter)
	}

	if !q.Deadline.IsZero() {
		var cancel context.CancelFunc

		ctx, cancel = context.WithDeadline(ctx, q.Deadline)
		defer cancel()
	}

	t, err := s.claim(ctx, now, q)
	h.log(t, err, n, q.Organisation)

	return t, err
}

// log writes the line for a decision about a key.
func (h *Home) log(t Ticket, err error, shard int, organisation string) {
	l := h.cfg.Logger

	switch kind := failure.KindOf(err); {
	case err == nil && t.Outcome != nil:
		event.Log(l, event.ClaimReplayed, "service", h.cfg.Service, "shard", shard, "organisation", organisation)
	case err == nil:
		event.Log(l, event.ClaimDecided, "service", h.cfg.Service, "shard", shard,
			"organisation", organisation, "log_less", t.LogLess)
	case kind == failure.OutcomeUnknown:
		event.Log(l, event.ClaimOutcomeUnknown, "service", h.cfg.Service, "shard", shard, "organisation", organisation)
	default:
		event.Log(l, event.ClaimRefused, "service", h.cfg.Service, "shard", shard,
			"organisation", organisation, "kind", kind.String())
	}
}

// Settle notes the outcome of a run that was carried out. A repeated call gets
// it from now on; the log gets it soon.
func (h *Home) Settle(_ context.Context, t Ticket, o Outcome) error {
	return h.finish(t, func(d *Coordinator) { d.Settle(t.run, o) })
}

// Withdraw notes that a run was not carried out and won't be, so that the key
// may be claimed again. It must be true.
func (h *Home) Withdraw(_ context.Context, t Ticket) error {
	return h.finish(t, func(d *Coordinator) { d.Withdraw(t.run) })
}

// Lose notes that nobody will learn what a run brought, as its target died or
// fell silent. A repeated call is answered as OutcomeUnknown.
func (h *Home) Lose(_ context.Context, t Ticket) error {
	return h.finish(t, func(d *Coordinator) { d.Lose(t.run) })
}

func (h *Home) finish(t Ticket, do func(*Coordinator)) error {
	s := h.shard(t.shard)
	if s == nil || t.run == nil {
		return failure.New(failure.NotReady, "the ticket is not of this process")
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	do(s.desk)
	s.flush()

	return nil
}

// Holder returns who is home of a shard; false when this process doesn't know.
func (h *Home) Holder(shard int) (Holder, bool) {
	s := h.shard(shard)
	if s == nil {
		return Holder{}, false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	holder := s.desk.ledger.Holder()

	return holder, holder.Serves() && !s.desk.behind
}

// Remember sets how long keys are remembered from now on. Shards that are
// followed later get it too. A shorter time forgets keys that were claimed
// before when theirs is over; a longer one never brings a forgotten key back.
func (h *Home) Remember(memory time.Duration) {
	h.mu.Lock()
	h.cfg.Ledger.Memory = memory
	h.mu.Unlock()

	for _, s := range h.followed() {
		s.mu.Lock()
		s.desk.ledger.Remember(memory)
		s.mu.Unlock()
	}
}

// Homes returns the shards whose home this process is.
func (h *Home) Homes() []int {
	var homes []int

	for _, s := range h.followed() {
		s.mu.Lock()
		if s.desk.Home() {
			homes = append(homes, s.number)
		}
		s.mu.Unlock()
	}

	return homes
}

// Drain takes no more claims, waits until all runs are over and written, and
// gives every shard back, so that others take them without an uncertain window.
// It returns when that is done or ctx ends.
func (h *Home) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.stop = true
	h.mu.Unlock()

	t := time.NewTicker(tickEvery)
	defer t.Stop()

	for len(h.Homes()) > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return failure.New(failure.Timeout, "not every shard could be given back")
		}
	}

	return nil
}

// Run follows the shards that this process is home of, or a candidate for,
// until ctx ends. The process must hold its port by then: Run tells every shard
// that earlier processes on this VM have ended.
func (h *Home) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	wg.Go(func() { h.announce(ctx) })

	t := time.NewTicker(tickEvery)
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

// announce writes into each shard that earlier processes on this VM have ended.
// One of them may be the home of a shard that this process doesn't follow.
func (h *Home) announce(ctx context.Context) {
	for n := range h.cfg.Shards {
		h.announceTo(ctx, n)
	}
}

// announceTo tries until one shard has it or ctx ends.
func (h *Home) announceTo(ctx context.Context, n int) {
	ctx, cancel := context.WithCancel(ctx)
	w := journal.NewWriter(journal.WriterConfig{
		Log: h.cfg.Log, Stream: Stream(h.cfg.Service, n), Limit: h.cfg.Limit, Logger: h.cfg.Logger,
	})

	var wg sync.WaitGroup

	wg.Go(func() { w.Run(ctx) })

	_, _ = w.Append(ctx, born(h.cfg.VM, h.cfg.Incarnation).encode())

	cancel()
	wg.Wait()
}

// tick looks at each shard once.
func (h *Home) tick(ctx context.Context, wg *sync.WaitGroup, now time.Time) {
	f := h.cfg.Fleet()

	h.mu.Lock()
	stop := h.stop
	h.mu.Unlock()

	yielding := false
	h.rank(f)

	for n, rank := range h.ranks {
		s := h.shard(n)

		switch {
		case s == nil && rank < Candidates:
			h.follow(ctx, wg, n)
		case s == nil:
		case s.spare(rank):
			h.unfollow(n)
		default:
			yielding = s.tick(now, f, rank, stop, !yielding) || yielding
		}
	}
}

// rank works out the candidates anew when the fleet has changed.
func (h *Home) rank(f Fleet) {
	if h.ranks != nil && h.version == f.Version {
		return
	}

	h.version = f.Version
	h.ranks = make([]int, h.cfg.Shards)

	for n, candidates := range Ranked(h.cfg.Service, h.cfg.Shards, f) {
		h.ranks[n] = Rank(candidates, h.cfg.VM)
	}
}

func (h *Home) follow(ctx context.Context, wg *sync.WaitGroup, n int) {
	ctx, cancel := context.WithCancel(ctx)

	h.mu.Lock()
	s := newShard(h.cfg, n, cancel)
	h.shards[n] = s
	h.mu.Unlock()

	wg.Go(func() { s.reader.Run(ctx) })
	wg.Go(func() { s.writer.Run(ctx) })
	wg.Go(func() { s.snapshots(ctx) })
}

func (h *Home) unfollow(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.shards[n].cancel()
	delete(h.shards, n)
}

func (h *Home) shard(n int) *shard {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.shards[n]
}

func (h *Home) followed() []*shard {
	h.mu.Lock()
	defer h.mu.Unlock()

	all := make([]*shard, 0, len(h.shards))
	for _, s := range h.shards {
		all = append(all, s)
	}

	return all
}
