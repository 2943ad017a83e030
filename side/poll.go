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

// Timing of the requests to the target.
const (
	pollInterval     = 250 * time.Millisecond
	targetTimeout    = time.Second
	eventsMaxWait    = 10 * time.Second
	eventsRetryDelay = 500 * time.Millisecond
)

// pollTarget polls the target's state until ctx ends.
func (s *Side) pollTarget(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
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

// probe polls the target's state once.
func (s *Side) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()

	info, load, err := s.inspect(ctx)
	if err == nil {
		now := time.Now()
		becameReady, crashes := s.target.observe(now, info, load)

		if failed := s.orders.observe(now, info); failed != "" {
			event.Log(s.cfg.Log, event.LoadFailed, "weight_version", failed)
		}

		if becameReady {
			event.Log(s.cfg.Log, event.TargetUp, "boot", info.BootID, "weight_version", info.WeightVersion)
		}

		s.reportCrashes(crashes)

		return
	}

	if errors.Is(err, syscall.ECONNREFUSED) {
		wasReady, crashes := s.target.observeDown(time.Now())
		if wasReady {
			event.Fail(s.cfg.Log, err, event.TargetDown)
		}

		s.reportCrashes(crashes)

		return
	}

	if s.target.observeUnresponsive() {
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

// reportCrashes reports crashes, with the requests that ran, to all entries and the log.
func (s *Side) reportCrashes(crashes []crashResult) {
	for _, result := range crashes {
		m := s.crashMessage(time.Now(), result)
		event.Log(s.cfg.Log, event.TargetCrashed, "boot", result.boot, "requests", len(result.running))
		s.reportToEntries(m)

		if s.cfg.PostCrash != nil {
			s.cfg.PostCrash(m.Crash)
		}
	}
}

// crashMessage returns the message that reports a crash.
func (s *Side) crashMessage(now time.Time, result crashResult) message.CrashReport {
	return message.CrashReport{Crash: quarantine.Crash{Target: s.cfg.VM, Boot: result.boot, At: now, Running: result.running}}
}

const (
	// resultPollInterval is the time between two checks whether a lost request is resolved.
	resultPollInterval = connCloseDelay
	// resultTimeout bounds the wait; a request to an unresponsive target is not resolved.
	resultTimeout = time.Second
)

// reportCrashTo waits until it is known whether the target crashed while a lost request
// ran, and reports a crash to the entry before the error that ends the request: the entry
// must not retry the request on a third target.
func (s *Side) reportCrashTo(ctx context.Context, id uint64, to *peer.Stream) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resultTimeout)
	defer cancel()

	for ctx.Err() == nil {
		s.probe(ctx)

		result, resolved := s.target.takeResult(id)
		if !resolved {
			pause.For(ctx, resultPollInterval)

			continue
		}

		if len(result.running) > 0 {
			_ = to.Send(s.crashMessage(time.Now(), result)) // a disconnected entry does not retry
		}

		return
	}

	s.target.abandon(id)
}

// followEvents keeps the cache index up to date with the engine until ctx ends.
func (s *Side) followEvents(ctx context.Context) {
	for ctx.Err() == nil {
		ok, err := s.applyNextEvents(ctx)
		if err == nil && !ok {
			err = s.resync(ctx)
		}

		if err != nil && ctx.Err() == nil {
			event.Fail(s.cfg.Log.V(1), err, event.CacheEventsLost)
			s.engine.HTTP.CloseIdleConnections()
			pause.For(ctx, eventsRetryDelay)
		}
	}
}

func (s *Side) applyNextEvents(ctx context.Context) (bool, error) {
	if !s.cache.isSynced() {
		return false, nil
	}

	ctx, cancel := context.WithTimeout(ctx, eventsMaxWait+targetTimeout)
	defer cancel()

	e, err := s.engine.Events(ctx, s.cache.lastEvent(), eventsMaxWait)
	if err != nil {
		return false, err
	}

	return s.cache.apply(e), nil
}

// resync reads the complete list of cached blocks. Without it, a removal lost in a gap
// would leave a context listed as cached although the engine recomputes it each time.
func (s *Side) resync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()

	b, err := s.engine.Blocks(ctx)
	if err != nil {
		return err
	}

	s.cache.reset(b)
	event.Log(s.cfg.Log, event.CacheEventsGap, "boot", b.BootID, "seq", b.Seq, "blocks", len(b.Hashes))

	return nil
}
