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

// probe asks once. It returns the crash that it noticed, if any.
func (s *Side) probe(ctx context.Context) *message.Crashed {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()

	info, load, err := s.inspect(ctx)
	if err == nil {
		now := time.Now()
		first, boot, crashed := s.guard.observe(now, info, load)

		if failed := s.orders.observe(now, info); failed != "" {
			event.Log(s.cfg.Log, event.LoadFailed, "weight_version", failed)
		}

		if first {
			event.Log(s.cfg.Log, event.TargetUp, "boot", info.BootID, "weight_version", info.WeightVersion)
		}

		return s.crashed(boot, crashed)
	}

	if errors.Is(err, syscall.ECONNREFUSED) {
		last, boot, crashed := s.guard.died()
		if last {
			event.Fail(s.cfg.Log, err, event.TargetDown)
		}

		return s.crashed(boot, crashed)
	}

	if s.guard.silent() {
		event.Fail(s.cfg.Log, err, event.TargetDown)
	}

	return nil
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
func (s *Side) crashed(boot string, running []quarantine.Fingerprint) *message.Crashed {
	if len(running) == 0 {
		return nil
	}

	m := &message.Crashed{Crash: quarantine.Crash{Target: s.cfg.VM, Boot: boot, At: time.Now(), Running: running}}
	event.Log(s.cfg.Log, event.TargetCrashed, "boot", boot, "requests", len(running))
	s.tellAll(*m)

	if s.cfg.Post != nil {
		s.cfg.Post(m.Crash)
	}

	return m
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
