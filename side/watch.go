package side

import (
	"context"
	"errors"
	"syscall"
	"time"

	"boragehub/engine"
	"boragehub/event"
	"boragehub/message"
	"boragehub/pause"
	"boragehub/peer"
	"boragehub/quarantine"
)

// Timing of the watch.
const (
	watchEvery   = 250 * time.Millisecond
	watchTimeout = time.Second
	eventsWait   = 10 * time.Second
	eventsPause  = 500 * time.Millisecond
)

// watch asks the target how it is until ctx ends.
func (s *Side) watch(ctx context.Context) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()

	for {
		s.probe(ctx)

		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// probe asks once.
func (s *Side) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()

	info, load, err := s.inspect(ctx)
	if err == nil {
		now := time.Now()
		first, crashes := s.guard.observe(now, info, load)

		if failed := s.orders.observe(now, info); failed != "" {
			event.Log(s.cfg.Log, event.LoadFailed, "weight_version", failed)
		}

		if first {
			event.Log(s.cfg.Log, event.TargetUp, "boot", info.BootID, "weight_version", info.WeightVersion)
		}

		s.crashed(crashes)

		return
	}

	if errors.Is(err, syscall.ECONNREFUSED) {
		last, crashes := s.guard.died(time.Now())
		if last {
			event.Fail(s.cfg.Log, err, event.TargetDown)
		}

		s.crashed(crashes)

		return
	}

	if s.guard.silent() {
		event.Fail(s.cfg.Log, err, event.TargetDown)
	}
}

func (s *Side) inspect(ctx context.Context) (engine.Info, engine.Load, error) {
	if s.cfg.Plain {
		load, err := s.engine.Load(ctx)

		return engine.Info{State: "ready"}, load, err
	}

	info, err := s.engine.Info(ctx)
	if err != nil {
		return info, engine.Load{}, err
	}

	load, err := s.engine.Load(ctx)

	return info, load, err
}

// crashed tells the entries what ran when the target died.
func (s *Side) crashed(crashes []verdict) {
	for _, v := range crashes {
		m := s.crash(time.Now(), v)
		event.Log(s.cfg.Log, event.TargetCrashed, "boot", v.boot, "requests", len(v.running))
		s.tellAll(m)

		if s.cfg.Post != nil {
			s.cfg.Post(m.Crash)
		}
	}
}

// crash is the message for a verdict.
func (s *Side) crash(now time.Time, v verdict) message.Crashed {
	return message.Crashed{Crash: quarantine.Crash{Target: s.cfg.VM, Boot: v.boot, At: now, Running: v.running}}
}

const (
	// verdictEvery is how often is looked whether a lost request has been judged.
	verdictEvery = settled
	// verdictTime bounds the wait; a target that is silent can't be judged.
	verdictTime = time.Second
)

// checkCrash finds out whether the target died with a request that was lost, and tells the
// entry before the refusal: it must know not to try this request on a third target.
func (s *Side) checkCrash(ctx context.Context, id uint64, to *peer.Stream) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), verdictTime)
	defer cancel()

	for ctx.Err() == nil {
		s.probe(ctx)

		v, judged := s.guard.verdict(id)
		if !judged {
			pause.For(ctx, verdictEvery)

			continue
		}

		if len(v.running) > 0 {
			_ = to.Send(s.crash(time.Now(), v)) // an entry that has gone tries nothing more
		}

		return
	}

	s.guard.abandon(id)
}

// followEvents keeps held in step with the engine until ctx ends.
func (s *Side) followEvents(ctx context.Context) {
	for ctx.Err() == nil {
		ok, err := s.nextEvents(ctx)
		if err == nil && !ok {
			err = s.resync(ctx)
		}

		if err != nil && ctx.Err() == nil {
			event.Fail(s.cfg.Log.V(1), err, event.EventsLost)
			s.engine.HTTP.CloseIdleConnections()
			pause.For(ctx, eventsPause)
		}
	}
}

func (s *Side) nextEvents(ctx context.Context) (bool, error) {
	if !s.held.isSynced() {
		return false, nil
	}

	ctx, cancel := context.WithTimeout(ctx, eventsWait+watchTimeout)
	defer cancel()

	e, err := s.engine.Events(ctx, s.held.position(), eventsWait)
	if err != nil {
		return false, err
	}

	return s.held.apply(e), nil
}

// resync reads the whole list. Without it a removal lost in a gap would leave a
// context believed warm that the engine computes anew each time.
func (s *Side) resync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()

	b, err := s.engine.Blocks(ctx)
	if err != nil {
		return err
	}

	s.held.reset(b)
	event.Log(s.cfg.Log, event.EventsGap, "boot", b.BootID, "seq", b.Seq, "blocks", len(b.Hashes))

	return nil
}
