package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"boragehub/event"
	"boragehub/event/output"
	"boragehub/failure"
	"boragehub/loader"
	"boragehub/mirror"
	"boragehub/mirror/exchange"
	"boragehub/platform"
	"boragehub/pulse"
	"boragehub/resident"
	"boragehub/room"
	"boragehub/roster"
	"boragehub/site"
	"boragehub/slowstart"
)

// runLoader runs the side process of an engine, which loads the published weight version,
// reports the engine's load to entries and grants them permits while it is cold.
func runLoader(cfg platform.Settings) error {
	if err := cfg.RequireSide(); err != nil {
		return err
	}

	setRuntimeLimits(cfg)

	// A signal without a handler ends the process at once.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)

	lines := output.New(output.Config{To: os.Stdout})
	log := newLogger(cfg, "loader", lines)
	source := platform.NewLogClient(cfg.LogAddress)
	platformClient := platform.NewClient(platform.ClientConfig{Log: log})
	client := exchange.NewClient(exchange.NewMembers("", cfg.Seeds))

	var reporter *pulse.Reporter // set before the loader and the probe run

	l := loader.New(loader.Config{
		Address: cfg.EngineAddress, Holder: cfg.VM, Engine: platformClient, Rollout: loader.RolloutConfig{MaxDuration: cfg.Bounds.VersionDeadline},
		Register: platform.Siblings{Log: source, Service: cfg.Service}, Entries: client, Log: log,
		Start: time.Now(), FirstStart: cfg.Bootstrap, Holders: platform.Holders{Log: source, Holder: cfg.VM},
		Utilisation: func(now time.Time) (float64, time.Duration) {
			if cfg.Contention == roster.ContentionOff {
				return 0, 0
			}

			return reporter.Utilisation(now)
		},
	})

	guard := slowstart.NewGuard(slowstart.Limit{}, uint64(time.Now().UnixNano()))
	probe := slowstart.NewProbe(slowstart.ProbeConfig{
		Guard: guard, Health: platformClient, Address: cfg.EngineAddress,
		OnSlowdown: func(now time.Time, percent int) { reporter.ObserveSlowdown(now, percent) },
	})

	var ledger *room.Ledger // nil grants no leases
	if cfg.Contention != roster.ContentionOff {
		ledger = room.NewLedger()
	}

	operators := mirror.NewTopic(mirror.TopicConfig{Revision: platform.OperatorRevision, KeepLost: true})
	publications := &platform.OperatorHandler{
		ConfigurationPublished: func(_ time.Time, c *site.Configuration) {
			s, _ := c.Service(cfg.Service)
			guard.SetLimit(slowstart.NewLimit(s.SlowStart.Duration, s.SlowStart.RequestsPerSecond, cfg.Bounds.SlowStartOverage, cfg.Bounds.SlowStartSlack))
			probe.SetPath(s.HealthPath)

			if s.Engines != nil && ledger != nil {
				ledger.SetCapacity(s.Engines.Slots, s.Engines.CacheTokens)
			}
		},
		EvacuationChanged: func(now time.Time, dataCentre string, evacuated bool) {
			if dataCentre != cfg.DataCentre {
				return
			}

			probe.Suspend(evacuated)
			guard.AssumeCold(now)
		},
		VersionPublished: func(_ time.Time, v platform.WeightVersion) {
			l.SetDesired(loader.DesiredVersion{Model: v.Model, Version: v.Version, PublishedBeforeStart: operators.LatestUpdateAfter().Local.IsZero()})
		},
		Log: log,
	}
	follower := mirror.NewFollower(mirror.FollowerConfig{
		Name: platform.OperatorTopic, Topic: operators, Source: source, Reconnect: source.Reconnect, Peers: client, Relay: exchange.NewSubscriber(client, cfg.VM), LoadWait: sideLoadWait,
		Wait: sideOperatorReadWait, PeerInterval: sidePeerInterval, OnChanges: publications.Handle, Log: log,
	})

	partsFollower := resident.NewFollower(resident.Config{Address: cfg.EngineAddress, Source: platformClient})

	var err error

	reporter, err = pulse.NewReporter(pulse.ReporterConfig{
		Address: cfg.InternalAddress(reportPortOffset), Engine: platformClient, EngineAddress: cfg.EngineAddress, Resident: partsFollower.Parts, SlowStart: guard, Restarted: partsFollower.Reset, LoadIn: l.LoadIn,
		Ledger: ledger, Log: log,
	})
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "cannot bind address %q for load reports", cfg.InternalAddress(reportPortOffset))
	}

	stop := runInBackground(lines.Run, follower.Run, client.Run, l.Run, reporter.Run, partsFollower.Run, probe.Run)
	defer stop()

	event.Log(log, event.ProcessStarted, "engine", cfg.EngineAddress, "service", cfg.Service)

	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}

		event.Log(log, event.SettingsReread)
	}

	event.Log(log, event.ProcessStopped)

	return nil
}
