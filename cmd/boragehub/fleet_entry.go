package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"boragehub/drain"
	"boragehub/event"
	"boragehub/event/output"
	"boragehub/failure"
	"boragehub/gateway"
	"boragehub/gateway/metrics"
	"boragehub/loader"
	"boragehub/mirror"
	"boragehub/mirror/exchange"
	"boragehub/pause"
	"boragehub/platform"
	"boragehub/pulse"
	"boragehub/quarantine"
	"boragehub/roster"
	"boragehub/site"
	"boragehub/slowstart"
	"boragehub/upstream"
	"boragehub/vault"
)

// fleetEntry is an entry on the users' platform.
type fleetEntry struct {
	cfg          platform.Settings
	log          logr.Logger
	lines        *output.Writer
	gateway      *gateway.Gateway
	roster       *roster.Roster
	pool         *upstream.Pool
	watcher      *vault.Watcher
	directory    *vault.Directory
	standby      *loader.Standby
	members      *exchange.Members
	client       *exchange.Client
	peers        *exchange.Server
	registration *exchange.Registration
	balancer     *drain.Balancer
	meters       *prometheus.Registry

	followers []*mirror.Follower
}

func newFleetEntry(cfg platform.Settings) *fleetEntry {
	lines := output.New(output.Config{To: os.Stdout})
	log := logTo(cfg, "gateway", lines)
	e := &fleetEntry{cfg: cfg, log: log, lines: lines, meters: prometheus.NewRegistry()}

	operators, register := &mirror.Topic{}, mirror.NewTopic(platform.SameListing)
	members := exchange.NewMembers(cfg.Peers, cfg.Seeds)
	calls := platform.NewCalls()
	source := platform.NewLog(cfg.Log)
	directory := vault.NewDirectory(time.Now().UnixNano())

	e.directory, e.members = directory, members
	e.client = exchange.NewClient(members)
	e.registration = exchange.NewRegistration(exchange.RegistrationConfig{Log: source, Topic: platform.EntriesTopic, Peers: e.client, Logger: log})
	e.roster = roster.New(roster.Config{
		Self: cfg.VM, DataCentre: cfg.DataCentre, Regions: cfg.Regions, Log: log,
		Named:     func(service string) bool { return e.gateway.Serves(service) },
		Restarted: func(id string) { e.gateway.Restarted(id) },
		SlowStart: func(service string) slowstart.Limit { return e.gateway.SlowStart(service) },
		Entries:   members,
	})
	e.pool = upstream.NewPool(upstream.Config{})
	e.watcher = vault.NewWatcher(vault.WatcherConfig{
		Directory: directory, Source: calls, Peers: storePeers{e.client, e.registration, cfg.Peers}, Log: log,
		Turn:  func(address string) int { return members.Rank(time.Now(), address) },
		Still: e.roster.Still,
	})

	e.standby = loader.NewStandby(loader.StandbyConfig{
		Holder: cfg.VM, Turn: loader.TurnConfig{Within: cfg.Bounds.Version}, Engine: calls, Entries: e, Fleet: e.roster,
		Ring: members, News: operators.Fresh, Log: log,
	})

	meter := metrics.New(e.meters, metrics.Gauges{
		Active:        func() float64 { return float64(e.gateway.Active()) },
		Targets:       func() float64 { return float64(e.roster.Len()) },
		ConfigVersion: func() float64 { return float64(e.gateway.ConfigVersion()) },
		LogAge:        func() float64 { return time.Since(operators.Fresh()).Seconds() },
		Dials:         func() float64 { return float64(e.pool.Dials()) },
		VaultTokens:   func() float64 { held, _, _ := directory.Usage(); return float64(held) },
		VaultRoom:     func() float64 { _, room, _ := directory.Usage(); return float64(room) },
		LinesLeftOut:  func() float64 { return float64(lines.LeftOut()) },
		TokensPerMs:   func() float64 { return e.gateway.TokensPerMs() },
	})

	e.gateway = gateway.New(gateway.Config{
		DataCentre: cfg.DataCentre, Dialect: platform.Dialect{}, Roster: e.roster, Pool: e.pool, Vaults: directory,
		Crashes: quarantine.NewTracker(quarantine.TrackerConfig{Crashes: crashesToRefuse}), TellCrash: e.client.TellCrash,
		RepeatRatio: cfg.Bounds.RepeatRatio * repeatShare, RepeatWindow: cfg.Bounds.RepeatWindow,
		RepeatSlack: cfg.Bounds.RepeatSlack, VersionWithin: cfg.Bounds.Version,
		SlowStartOverage: cfg.Bounds.SlowStartOverage, SlowStartSlack: cfg.Bounds.SlowStartSlack,
		HoldUntil: time.Now().Add(startupWindow), Meter: meter, Log: log,
	}, operators.Fresh, e.registration.Since)

	e.balancer = drain.NewBalancer(e.gateway.Ready)
	e.follow(source, operators, register, meter)
	e.peers = exchange.NewServer(exchange.ServerConfig{
		Members: members, Vaults: directory, Notice: e.notice, Crash: e.gateway.Heard, Add: e.registration.Add,
		Topics: map[string]*mirror.Topic{platform.OperatorTopic: operators, platform.RegisterTopic: register},
	})

	return e
}

// follow sets up the followers of the log's topics.
func (e *fleetEntry) follow(source *platform.Log, operators, register *mirror.Topic, meter *metrics.Metrics) {
	publications := &platform.Publications{
		Configured: e.configured,
		Named: func(now time.Time, v platform.WeightVersion) {
			before := operators.Before()
			e.gateway.Named(now, v.Model, v.Version, before)
			e.standby.Name(loader.Named{Model: v.Model, Version: v.Version, Before: before.IsZero()})
			e.watcher.Named(now, v.Model, v.Version, v.Offset)
		},
		Evacuated:  e.roster.Evacuate,
		Unreadable: meter.Unreadable, Log: e.log,
	}
	listings := &platform.Listings{Roster: e.roster, Unreadable: meter.Unreadable, Log: e.log}

	e.followers = []*mirror.Follower{
		mirror.NewFollower(mirror.FollowerConfig{
			Name: platform.OperatorTopic, Topic: operators, Source: source, Peers: e.client, Relay: e.client,
			LoadWait: e.loadWait(), Wait: operatorWait, OnNews: publications.Take, Log: e.log,
		}),
		mirror.NewFollower(mirror.FollowerConfig{
			Name: platform.RegisterTopic, Topic: register, Source: source, Peers: e.client, Relay: e.client,
			LoadWait: e.loadWait(), Every: registerPace(e.cfg.Bounds.Drain), OnNews: listings.Take, OnAway: e.roster.Away, Log: e.log,
		}),
	}
}

// loadWait returns the LoadWait of the followers.
func (e *fleetEntry) loadWait() time.Duration {
	if e.cfg.Bootstrap {
		return bootstrapLoadWait
	}

	return restartLoadWait
}

// waitForPeers waits until this entry knows other entries to load topics from, a timeout has
// passed or ctx ends.
func (e *fleetEntry) waitForPeers(ctx context.Context) {
	if e.cfg.Bootstrap {
		e.client.WaitConverged(ctx, bootstrapViewWait)
	} else {
		e.client.WaitAnswered(ctx, restartViewWait)
	}
}

// registerPace returns the pause between two reads of the register.
func registerPace(drain time.Duration) time.Duration {
	if drain <= 0 {
		return registerEvery
	}

	return min(drain/4, registerEvery)
}

func (e *fleetEntry) configured(_ time.Time, c *site.Configuration) {
	e.gateway.Configure(c)
	e.roster.Reconfigured()

	var stores []vault.Store

	for _, s := range c.Vaults() {
		stores = append(stores, vault.Store{
			Address: s.Vault.Address, DataCentre: s.Vault.DataCentre, Room: s.Vault.RoomTokens, FirstByte: s.Vault.FirstByte,
			TokensPerMs: site.TokensPerMs(s.Vault.LinkMbps, c.TokenBytes()),
		})
	}

	e.watcher.Configure(stores)
}

// pulse takes what a side process tells of its engine.
func (e *fleetEntry) pulse(now time.Time, p pulse.Pulse) {
	e.directory.Hear(now, p.Clock)
	e.roster.Pulse(now, p)
}

// engines returns the addresses of the model engines to hear of, and how often.
func (e *fleetEntry) engines() (addresses []string, pace time.Duration) {
	return e.roster.Watched(time.Now(), e.gateway.HasEngines)
}

// demand returns a function that tells how many prompts a second came since its last call,
// and whether engines share their rate by that.
func (e *fleetEntry) demand() func(now time.Time) (perSecond int, shared bool) {
	var (
		before int64
		at     time.Time
	)

	return func(now time.Time) (int, bool) {
		all := e.gateway.Prompts()
		rate := float64(all-before) / max(now.Sub(at).Seconds(), tickEvery.Seconds())
		before, at = all, now

		return int(rate), e.roster.Throttled(now)
	}
}

// notice takes what a side process says of its engine.
func (e *fleetEntry) notice(now time.Time, n exchange.Notice) {
	id, ok := e.roster.ByAddress(n.Address)
	if !ok {
		return
	}

	if n.Loaded {
		e.roster.Has(id, n.Model, n.Version, "side process")
	} else {
		e.roster.Loading(now, id, n.Model, n.Version)
	}
}

// Tell tells all entries, this one included, what a target that this entry orders is about
// to do or has done.
func (e *fleetEntry) Tell(ctx context.Context, address, model string, version int64, loaded bool) {
	e.notice(time.Now(), exchange.Notice{Address: address, Model: model, Version: version, Loaded: loaded})
	e.client.Tell(ctx, address, model, version, loaded)
}

// register writes into the log where this entry can be asked.
func (e *fleetEntry) register(ctx context.Context) {
	// Without known peers, this entry would call the log itself.
	e.waitForPeers(ctx)
	e.registration.Run(ctx, e.cfg.VM, e.cfg.Peers)
}

// storePeers are the other entries, for what concerns stores.
type storePeers struct {
	*exchange.Client
	registration *exchange.Registration
	self         string
}

// Registered reads which entries may make use of a long grace.
func (p storePeers) Registered(ctx context.Context) ([]string, error) {
	return p.registration.All(ctx, p.self)
}

// Knows reports whether an entry has read the operators' topic up to an offset.
func (p storePeers) Knows(ctx context.Context, peer string, offset int64) bool {
	return p.Client.Knows(ctx, peer, platform.OperatorTopic, offset)
}

// tick does what is due now and then.
func (e *fleetEntry) tick(ctx context.Context) {
	for pause.For(ctx, tickEvery) {
		now := time.Now()
		entries := e.members.Size(now)
		e.directory.SetSharers(entries)
		e.gateway.SetSharers(entries)
		e.roster.Tick(now)
		e.gateway.Tick(now)
		e.pool.Sweep(now)
	}
}

func runGateway(cfg platform.Settings) error {
	if err := cfg.RequireEntry(); err != nil {
		return err
	}

	bound(cfg)

	// Taken before anybody is served: a signal that nobody has asked for ends a process at once,
	// with all that it serves.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)

	e := newFleetEntry(cfg)

	pulses, err := pulse.Listen(pulse.ListenerConfig{
		Address: cfg.Internal(pulsePort), Port: cfg.FirstInternal + pulsePort,
		Engines: e.engines, OnPulse: e.pulse, Demand: e.demand(),
	})
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "address %q can't be bound", cfg.Internal(pulsePort))
	}

	duties := []func(context.Context){e.lines.Run, e.watcher.Run, e.client.Run, e.standby.Run, e.tick, pulses.Run, e.register}

	for _, f := range e.followers {
		duties = append(duties, func(ctx context.Context) {
			e.waitForPeers(ctx)
			f.Run(ctx)
		})
	}

	stop := background(duties...)
	defer stop()

	callers := drain.NewServer(drain.Config{Handler: e.gateway, HeaderTimeout: headerCallers, IdleTimeout: idleCallers, KeepAlive: keepCallers})
	balancer := &http.Server{Handler: e.balancer, ReadHeaderTimeout: headerCallers}
	peers := &http.Server{Handler: e.peers, ReadHeaderTimeout: headerCallers}
	meters := &http.Server{Handler: promhttp.HandlerFor(e.meters, promhttp.HandlerOpts{}), ReadHeaderTimeout: headerCallers}

	failed := make(chan error, 4)

	for _, s := range []struct {
		server  server
		address string
	}{{peers, cfg.Peers}, {balancer, cfg.Ready}, {callers, cfg.Callers}, {meters, cfg.Internal(metricsPort)}} {
		if err := serve(s.server, s.address, failed); err != nil {
			return err
		}
	}

	event.Log(e.log, event.ProcessStarted, "callers", cfg.Callers, "peers", cfg.Peers, "ready", cfg.Ready)

	return e.wait(callers, signals, failed)
}

// server is what serves an address: an http.Server or a drain.Server.
type server interface {
	Serve(l net.Listener) error
}

// serve binds an address and serves it in the background.
func serve(s server, address string, failed chan<- error) error {
	l, err := net.Listen("tcp", address) //nolint:noctx // bound once, at start
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "address %q can't be bound", address)
	}

	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()

	return nil
}

// wait serves until a signal to stop, then stops without cutting anyone off.
func (e *fleetEntry) wait(callers *drain.Server, signals <-chan os.Signal, failed <-chan error) error {
	for {
		select {
		case err := <-failed:
			event.Fail(e.log, err, event.ProcessFailed)

			return err
		case s := <-signals:
			if s == syscall.SIGHUP {
				event.Log(e.log, event.SettingsReread)

				continue
			}

			e.leave(callers)

			return nil
		}
	}
}

// leave tells the balancer and callers, serves whoever still comes, and ends when nobody
// would miss an answer.
func (e *fleetEntry) leave(callers *drain.Server) {
	began := time.Now()
	end := began.Add(e.cfg.Bounds.Grace - leaveMargin)

	event.Log(e.log, event.ProcessStopping, "requests", e.gateway.Active())
	e.balancer.Leave(began)
	e.gateway.Stop()

	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()

	n := callers.Drain(ctx, drain.Stop{
		Released: e.balancer.Released, Closing: func() { e.gateway.Close(time.Now(), end.Add(-lastAnswers)) }, Short: e.gateway.Short,
	})

	event.Log(e.log, event.PortClosed, "opened", n.Opened, "busy", n.Busy, "idle", n.Idle, "pending", n.Pending)
	event.Log(e.log, event.ProcessStopped, "requests", e.gateway.Active(), "after_ms", time.Since(began).Milliseconds())
}
