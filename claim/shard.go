package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/journal"
)

// Stream returns the name of the log stream of a shard.
func Stream(service string, shard int) string {
	return fmt.Sprintf("claims.%s.%d", service, shard)
}

// shard connects the Coordinator of one shard to its stream.
type shard struct {
	cfg    DeduplicatorConfig
	number int
	cancel context.CancelFunc
	reader *journal.Reader
	writer *journal.Writer

	mu              sync.Mutex
	coordinator     *Coordinator
	takeover        Takeover
	unsent          [][]byte  // records that the writer's full queue refused
	lastOwner       Owner     // the owner at the last call of logChanges
	logUnresponsive bool      // whether the log was unresponsive at the last call of logChanges
	paused          bool      // whether a pause was not synced at the last call of logChanges
	uncertainUntil  time.Time // the end of the uncertain window that was last logged
	notFirstSince   time.Time // since when another process is the first candidate
}

func newShard(cfg DeduplicatorConfig, number int, cancel context.CancelFunc) *shard {
	stream := Stream(cfg.Service, number)
	s := &shard{cfg: cfg, number: number, cancel: cancel, uncertainUntil: time.UnixMilli(0)}
	s.takeover.Stagger = cfg.Stagger
	s.coordinator = NewCoordinator(CoordinatorConfig{
		VM: cfg.VM, Incarnation: cfg.Incarnation, State: cfg.State, RefuseInOutage: cfg.RefuseInOutage,
		ReadBackTimeout: cfg.ReadBackTimeout, MaxPending: cfg.MaxPending, MaxBodyBytes: cfg.MaxBodyBytes,
		LogRetention: cfg.LogRetention,
	})
	s.writer = journal.NewWriter(journal.WriterConfig{
		Log: cfg.Log, Stream: stream, Interval: cfg.AppendInterval, Limit: cfg.AppendLimit,
		Queue: maxRecordsPerRun * cfg.MaxPending, Logger: cfg.Logger,
	})
	s.reader = journal.NewReader(journal.ReaderConfig{
		Log: cfg.Log, Stream: stream, Handle: s.handle, Restore: s.restore, Gap: s.resetAfterGap,
		Wait: pollWait, Clock: cfg.Clock, Logger: cfg.Logger,
	})

	return s
}

func (s *shard) handle(r journal.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.coordinator.Apply(r); err != nil {
		event.Fail(s.cfg.Logger, err, event.JournalBadRecord, "service", s.cfg.Service, "shard", s.number, "offset", r.Offset)
	}

	s.flush()
}

func (s *shard) restore(b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.coordinator.Restore(b)
}

func (s *shard) resetAfterGap(first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.coordinator.ResetAfterGap(first)
}

// flush passes the coordinator's records to the writer in order. Records that
// its full queue refuses are passed later.
func (s *shard) flush() {
	s.unsent = append(s.unsent, s.coordinator.Outbox()...)

	for len(s.unsent) > 0 {
		if _, err := s.writer.Submit(s.unsent[0]); err != nil {
			return
		}

		s.unsent = s.unsent[1:]
	}
}

// claim decides about a request and waits until it may run.
func (s *shard) claim(ctx context.Context, now time.Time, q Request) (Ticket, error) {
	s.mu.Lock()
	r, err := s.coordinator.Claim(now, q)
	s.flush()

	if err != nil {
		s.mu.Unlock()

		return Ticket{}, err
	}

	if r.phase == phaseCompleted {
		defer s.mu.Unlock()

		return Ticket{Outcome: r.outcome, shard: s.number}, nil
	}
	s.mu.Unlock()

	select {
	case <-r.decided:
	case <-ctx.Done():
		if err := s.abandon(ctx, r); err != nil {
			return Ticket{}, err
		}
	}

	if r.err != nil {
		return Ticket{}, r.err
	}

	return Ticket{Unlogged: r.unlogged, shard: s.number, run: r}, nil
}

// abandon ends a run whose caller no longer waits. Its ticket is not handed
// out, so the statement that the request did not run stays true.
func (s *shard) abandon(ctx context.Context, r *Run) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	err := s.coordinator.outageError(s.cfg.Clock())
	if errors.Is(ctx.Err(), context.Canceled) {
		err = failure.As(ctx.Err())
	}

	if !s.coordinator.Abandon(r, err) {
		s.coordinator.Withdraw(r)
	}

	s.flush()

	return err
}

// unneeded reports whether this process need not follow the shard.
func (s *shard) unneeded(rank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return rank >= CandidatesPerShard && !s.coordinator.IsOwner() && len(s.coordinator.pending) == 0
}

// tick does what is due and reports whether the shard is being yielded.
func (s *shard) tick(now time.Time, f VMList, rank int, stop, mayYield bool) bool {
	atEnd, oldestOffset, synced := s.reader.AtEnd()

	s.mu.Lock()
	defer s.mu.Unlock()

	if synced {
		s.coordinator.Synced(atEnd, oldestOffset)
	}

	s.coordinator.SetVMList(f)
	s.coordinator.Tick(now)
	s.logChanges(now)

	if stop {
		s.coordinator.Stop()
	}

	switch {
	case s.logUnresponsive || s.coordinator.behind:
	case s.coordinator.IsOwner():
		s.yieldIfDue(now, rank, mayYield)
	default:
		if basis, ok := s.takeover.Due(now, s.coordinator, f, rank); ok {
			s.coordinator.RequestOwnership(basis, f)
		}
	}

	s.coordinator.Release()
	s.flush()

	return s.coordinator.yielding
}

// yieldIfDue yields the shard once another process has been its first candidate
// for RebalanceDelay.
func (s *shard) yieldIfDue(now time.Time, rank int, mayYield bool) {
	if rank == 0 || s.notFirstSince.IsZero() {
		s.notFirstSince = now
	}

	if rank > 0 && mayYield && now.Sub(s.notFirstSince) >= s.cfg.RebalanceDelay {
		s.notFirstSince = now
		s.coordinator.Yield()
	}
}

// logChanges logs what has changed since its last call.
func (s *shard) logChanges(now time.Time) {
	owner := s.coordinator.state.Owner()
	owned := s.coordinator.isOwner(owner)

	s.logOwnerChange(owner, owned)
	s.lastOwner = owner

	if until := s.coordinator.state.UncertainUntil(); owned && until.After(s.uncertainUntil) {
		s.uncertainUntil = until
		event.Log(s.cfg.Logger, event.ClaimUncertainWindow, "service", s.cfg.Service, "shard", s.number, "cut", until)
	}

	paused := !s.coordinator.unsyncedPause.IsZero()
	if paused && !s.paused && owned {
		event.Log(s.cfg.Logger, event.ClaimPaused, "service", s.cfg.Service, "shard", s.number)
	}

	s.paused = paused
	s.logOutageChange(now, owned)
}

// logOwnerChange logs a change of the owner.
func (s *shard) logOwnerChange(owner Owner, owned bool) {
	wasOwner := s.coordinator.isOwner(s.lastOwner)

	switch {
	case owned && (!wasOwner || owner.Term != s.lastOwner.Term):
		s.notFirstSince = time.Time{}
		event.Log(s.cfg.Logger, event.ClaimHomeTaken, "service", s.cfg.Service, "shard", s.number,
			"term", owner.Term, "basis", s.takeover.basis.String())
	case wasOwner && owner.Released && owner.Term == s.lastOwner.Term:
		event.Log(s.cfg.Logger, event.ClaimHomeReleased, "service", s.cfg.Service, "shard", s.number)
	case wasOwner && !owned:
		event.Log(s.cfg.Logger, event.ClaimHomeLost, "service", s.cfg.Service, "shard", s.number, "home", owner.VM)
	}
}

// logOutageChange logs when the log becomes unresponsive and when it responds
// again.
func (s *shard) logOutageChange(now time.Time, owned bool) {
	unresponsive := s.coordinator.logUnresponsive(now)
	if unresponsive == s.logUnresponsive {
		return
	}

	s.logUnresponsive = unresponsive

	if !owned {
		return
	}

	e := event.ClaimOutageEnded
	if unresponsive {
		e = event.ClaimOutageBegan
	}

	event.Log(s.cfg.Logger, e, "service", s.cfg.Service, "shard", s.number, "unwritten", len(s.coordinator.pending))
}

// runSnapshots writes snapshots while this process owns the shard, before the
// log deletes the records that they cover.
func (s *shard) runSnapshots(ctx context.Context) {
	t := time.NewTicker(pollWait)
	defer t.Stop()

	var (
		last   time.Time
		offset uint64
	)

	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}

		now, next := s.cfg.Clock(), s.reader.Next()
		if !s.isOwner() || next == 1 {
			continue
		}

		if now.Sub(last) < s.cfg.LogRetention/snapshotsPerRetention && next-offset < s.snapshotThreshold() {
			continue
		}

		if s.writeSnapshot(ctx) {
			last, offset = now, s.reader.Next()
		}
	}
}

// snapshotThreshold returns after how many records a snapshot is due. It grows
// with the keys, so that snapshots remain a small part of what is written.
func (s *shard) snapshotThreshold() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return max(s.cfg.SnapshotRecords, snapshotRecordsPerKey*uint64(s.coordinator.state.Len()))
}

func (s *shard) isOwner() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.coordinator.IsOwner()
}

// writeSnapshot writes a snapshot and then a renewal of the ownership, in this
// order, so that a process that reads the renewal also finds the snapshot.
func (s *shard) writeSnapshot(ctx context.Context) bool {
	var at time.Time

	snap, ok := s.reader.Capture(func() []byte {
		s.mu.Lock()
		defer s.mu.Unlock()

		at = s.coordinator.state.LogTime()

		return s.coordinator.state.Encode()
	})

	if !ok || s.writer.WriteSnapshot(ctx, snap) != nil {
		return false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.coordinator.RenewOwnership(s.cfg.VMList(), snap.Covers(), at)
	s.flush()

	return true
}
