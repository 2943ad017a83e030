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
	"boragehub/site"
	"boragehub/slowstart"
)

// runLoader brings the engine beside this process to the named weight version.
func runLoader(cfg platform.Settings) error {
	if err := cfg.RequireSide(); err != nil {
		return err
	}

	bound(cfg)

	// A signal that nobody has asked for ends a process at once.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)

	lines := output.New(output.Config{To: os.Stdout})
	log := logTo(cfg, "loader", lines)
	source := platform.NewLog(cfg.Log)
	calls := platform.NewCalls()
	client := exchange.NewClient(exchange.NewMembers("", cfg.Seeds))

	l := loader.New(loader.Config{
		Address: cfg.Engine, Holder: cfg.VM, Engine: calls, Turn: loader.TurnConfig{Within: cfg.Bounds.Version},
		Register: platform.Siblings{Log: source, Service: cfg.Service}, Entries: client, Log: log,
	})

	guard := slowstart.NewGuard(slowstart.Limit{}, uint64(time.Now().UnixNano()))
	probe := slowstart.NewProbe(slowstart.ProbeConfig{Guard: guard, Health: calls, Address: cfg.Engine})

	operators := &mirror.Topic{}
	publications := &platform.Publications{
		Configured: func(_ time.Time, c *site.Configuration) {
			s, _ := c.Service(cfg.Service)
			guard.SetLimit(slowstart.NewLimit(s.SlowStart.Duration, s.SlowStart.PerSecond, cfg.Bounds.SlowStartOverage, cfg.Bounds.SlowStartSlack))
			probe.SetPath(s.HealthPath)
		},
		Evacuated: func(now time.Time, dataCentre string, evacuated bool) {
			if dataCentre != cfg.DataCentre {
				return
			}

			probe.Hold(evacuated)
			guard.Doubt(now)
		},
		Named: func(_ time.Time, v platform.WeightVersion) {
			l.Name(loader.Named{Model: v.Model, Version: v.Version, Before: operators.Before().IsZero()})
		},
		Log: log,
	}
	follower := mirror.NewFollower(mirror.FollowerConfig{
		Name: platform.OperatorTopic, Topic: operators, Source: source, Peers: client, Relay: exchange.NewSubscriber(client, cfg.VM), LoadWait: sideLoadWait,
		Wait: sideOperatorWait, AskEvery: sideAskEvery, OnNews: publications.Take, Log: log,
	})

	memory := resident.NewFollower(resident.Config{Address: cfg.Engine, Source: calls})

	beacon, err := pulse.NewBeacon(pulse.BeaconConfig{
		Address: cfg.Internal(pulsePort), Engine: calls, EngineAddress: cfg.Engine, Resident: memory.Parts, SlowStart: guard, Restarted: memory.Forget, LoadIn: l.LoadIn,
	})
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "address %q can't be bound", cfg.Internal(pulsePort))
	}

	stop := background(lines.Run, follower.Run, client.Run, l.Run, beacon.Run, memory.Run, probe.Run)
	defer stop()

	event.Log(log, event.ProcessStarted, "engine", cfg.Engine, "service", cfg.Service)

	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}

		event.Log(log, event.SettingsReread)
	}

	event.Log(log, event.ProcessStopped)

	return nil
}
