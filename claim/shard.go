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

// Stream returns the name of the stream of a shard.
func Stream(service string, shard int) string {
	return fmt.Sprintf("claims.%s.%d", service, shard)
}

// shard joins the Coordinator of one shard to its stream.
type shard struct {
	cfg    HomeConfig
	number int
	cancel context.CancelFunc
	reader *journal.Reader
	writer *journal.Writer

	mu         sync.Mutex
	desk       *Coordinator
	succession Succession
	unsent     [][]byte  // records that found the writer's queue full
	was        Holder    // the home when it was last looked at
	silent     bool      // the log gave no answer when it was last looked at
	paused     bool      // the process had stood still when it was last looked at
	cut        time.Time // the cut when it was last looked at
	topped     time.Time // since when another process is the first candidate
}

func newShard(cfg HomeConfig, number int, cancel context.CancelFunc) *shard {
	stream := Stream(cfg.Service, number)
	s := &shard{cfg: cfg, number: number, cancel: cancel, cut: time.UnixMilli(0)}
	s.succession.Stagger = cfg.Stagger
	s.desk = NewCoordinator(CoordinatorConfig{
		VM: cfg.VM, Incarnation: cfg.Incarnation, Ledger: cfg.Ledger, RefuseInOutage: cfg.RefuseInOutage,
		Patience: cfg.Patience, MaxLocal: cfg.MaxLocal, MaxBody: cfg.MaxBody,
		Retention: cfg.Retention,
	})
	s.writer = journal.NewWriter(journal.WriterConfig{
		Log: cfg.Log, Stream: stream, Interval: cfg.Interval, Limit: cfg.Limit,
		Queue: recordsPerRun * cfg.MaxLocal, Logger: cfg.Logger,
	})
	s.reader = journal.NewReader(journal.ReaderConfig{
		Log: cfg.Log, Stream: stream, Handle: s.handle, Restore: s.restore, Gap: s.gap,
		Wait: pollWait, Clock: cfg.Clock, Logger: cfg.Logger,
	})

	return s
}

func (s *shard) handle(r journal.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.desk.Apply(r); err != nil {
		event.Fail(s.cfg.Logger, err, event.JournalBadRecord, "service", s.cfg.Service, "shard", s.number, "offset", r.Offset)
	}

	s.flush()
}

func (s *shard) restore(b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.desk.Restore(b)
}

func (s *shard) gap(first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.desk.Gap(first)
}

// flush hands the desk's records to the writer in order. What finds no room is
// handed over later.
func (s *shard) flush() {
	s.unsent = append(s.unsent, s.desk.Outbox()...)

	for len(s.unsent) > 0 {
		if _, err := s.writer.Submit(s.unsent[0]); err != nil {
			return
		}

		s.unsent = s.unsent[1:]
	}
}

// claim decides about a request and waits until it may be carried out.
func (s *shard) claim(ctx context.Context, now time.Time, q Request) (Ticket, error) {
	s.mu.Lock()
	r, err := s.desk.Claim(now, q)
	s.flush()

	if err != nil {
		s.mu.Unlock()

		return Ticket{}, err
	}

	if r.phase == settled {
		defer s.mu.Unlock()

		return Ticket{Outcome: r.outcome, shard: s.number}, nil
	}
	s.mu.Unlock()

	select {
	case <-r.done:
	case <-ctx.Done():
		if err := s.abandon(ctx, r); err != nil {
			return Ticket{}, err
		}
	}

	if r.err != nil {
		return Ticket{}, r.err
	}

	return Ticket{LogLess: r.logLess, shard: s.number, run: r}, nil
}

// abandon ends a run whose caller no longer waits. Nobody gets its ticket, so
// that it was not run stays true.
func (s *shard) abandon(ctx context.Context, r *Run) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	err := s.desk.refusal(s.cfg.Clock())
	if errors.Is(ctx.Err(), context.Canceled) {
		err = failure.As(ctx.Err())
	}

	if !s.desk.Abandon(r, err) {
		s.desk.Withdraw(r)
	}

	s.flush()

	return err
}

// spare tells whether this process need not follow the shard.
func (s *shard) spare(rank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return rank >= Candidates && !s.desk.Home() && len(s.desk.local) == 0
}

// tick does what is due and tells whether the shard is being yielded.
func (s *shard) tick(now time.Time, f Fleet, rank int, stop, mayYield bool) bool {
	atEnd, first, synced := s.reader.AtEnd()

	s.mu.Lock()
	defer s.mu.Unlock()

	if synced {
		s.desk.Synced(atEnd, first)
	}

	s.desk.Observe(f)
	s.desk.Tick(now)
	s.notice(now)

	if stop {
		s.desk.Stop()
	}

	switch {
	case s.silent || s.desk.behind:
	case s.desk.Home():
		s.tend(now, rank, mayYield)
	default:
		if basis, ok := s.succession.Next(now, s.desk, f, rank); ok {
			s.desk.Ask(basis, f)
		}
	}

	s.desk.Release()
	s.flush()

	return s.desk.yielding
}

// tend yields the shard to a process that has been its first candidate for long.
func (s *shard) tend(now time.Time, rank int, mayYield bool) {
	if rank == 0 || s.topped.IsZero() {
		s.topped = now
	}

	if rank > 0 && mayYield && now.Sub(s.topped) >= s.cfg.Rebalance {
		s.topped = now
		s.desk.Yield()
	}
}

// notice logs what has changed since the last look.
func (s *shard) notice(now time.Time) {
	holder := s.desk.ledger.Holder()
	mine := s.desk.mine(holder)

	s.noticeHome(holder, mine)
	s.was = holder

	if cut := s.desk.ledger.Cut(); mine && cut.After(s.cut) {
		s.cut = cut
		event.Log(s.cfg.Logger, event.ClaimUncertainWindow, "service", s.cfg.Service, "shard", s.number, "cut", cut)
	}

	paused := !s.desk.frozen.IsZero()
	if paused && !s.paused && mine {
		event.Log(s.cfg.Logger, event.ClaimPaused, "service", s.cfg.Service, "shard", s.number)
	}

	s.paused = paused
	s.noticeOutage(now, mine)
}

// noticeHome logs changes of the home.
func (s *shard) noticeHome(holder Holder, mine bool) {
	was := s.desk.mine(s.was)

	switch {
	case mine && (!was || holder.Term != s.was.Term):
		s.topped = time.Time{}
		event.Log(s.cfg.Logger, event.ClaimHomeTaken, "service", s.cfg.Service, "shard", s.number,
			"term", holder.Term, "basis", s.succession.basis.String())
	case was && holder.Released && holder.Term == s.was.Term:
		event.Log(s.cfg.Logger, event.ClaimHomeReleased, "service", s.cfg.Service, "shard", s.number)
	case was && !mine:
		event.Log(s.cfg.Logger, event.ClaimHomeLost, "service", s.cfg.Service, "shard", s.number, "home", holder.VM)
	}
}

// noticeOutage logs when the log falls silent and when it is back.
func (s *shard) noticeOutage(now time.Time, mine bool) {
	silent := s.desk.silent(now)
	if silent == s.silent {
		return
	}

	s.silent = silent

	if !mine {
		return
	}

	e := event.ClaimOutageEnded
	if silent {
		e = event.ClaimOutageBegan
	}

	event.Log(s.cfg.Logger, e, "service", s.cfg.Service, "shard", s.number, "unwritten", len(s.desk.local))
}

// snapshots writes the state again before the log forgets it, while this
// process is the shard's home.
func (s *shard) snapshots(ctx context.Context) {
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
		if !s.home() || next == 1 {
			continue
		}

		if now.Sub(last) < s.cfg.Retention/snapshotsPerRetention && next-offset < s.enough() {
			continue
		}

		if s.snapshot(ctx) {
			last, offset = now, s.reader.Next()
		}
	}
}

// enough returns how many records are worth a snapshot. It grows with the keys,
// so that snapshots stay a small part of what is written.
func (s *shard) enough() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return max(s.cfg.SnapshotRecords, recordsPerKey*uint64(s.desk.ledger.Len()))
}

func (s *shard) home() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.desk.Home()
}

// snapshot writes the state, and then that the home is still there: in this
// order, so that whoever finds the second also finds the first.
func (s *shard) snapshot(ctx context.Context) bool {
	var at time.Time

	snap, ok := s.reader.Capture(func() []byte {
		s.mu.Lock()
		defer s.mu.Unlock()

		at = s.desk.ledger.Now()

		return s.desk.ledger.Encode()
	})

	if !ok || s.writer.WriteSnapshot(ctx, snap) != nil {
		return false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.desk.Keep(s.cfg.Fleet(), snap.Covers(), at)
	s.flush()

	return true
}
