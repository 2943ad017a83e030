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
	"boragehub/intake"
	"boragehub/loader"
	"boragehub/mirror"
	"boragehub/mirror/exchange"
	"boragehub/pause"
	"boragehub/platform"
	"boragehub/pulse"
	"boragehub/quarantine"
	"boragehub/quarantine/archive"
	"boragehub/roster"
	"boragehub/site"
	"boragehub/slowstart"
	"boragehub/socket"
	"boragehub/upstream"
	"boragehub/vault"
)

// gatewayProcess is an entry on the users' platform with the components that it runs.
type gatewayProcess struct {
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
	balancer     *drain.HealthCheck
	registry     *prometheus.Registry
	claims       engineClaims
	clients      *intake.Ledger
	reports      *pulse.Listener // set before callers are served
	crashes      quarantine.Evidence
	archive      *archive.Archive

	followers []*mirror.Follower
}

// engineClaims claims capacity at engines through the listener for their load reports, which is bound
// before the first caller is served.
type engineClaims struct{ *pulse.Listener }

func newGatewayProcess(cfg platform.Settings) *gatewayProcess {
	lines := output.New(output.Config{To: os.Stdout})
	log := newLogger(cfg, "gateway", lines)
	e := &gatewayProcess{cfg: cfg, log: log, lines: lines, registry: prometheus.NewRegistry()}
	e.clients = intake.NewLedger(intake.Config{Bytes: clientBytes(cfg.MemoryMB), Log: log})

	operators := mirror.NewTopic(mirror.TopicConfig{Revision: platform.OperatorRevision, KeepLost: true})
	register := mirror.NewTopic(mirror.TopicConfig{Equivalent: platform.SameListing, Revision: platform.ListingRevision})
	members := exchange.NewMembers(cfg.PeerAddress, cfg.Seeds)
	platformClient := platform.NewClient(platform.ClientConfig{Log: log})
	source := platform.NewLogClient(cfg.LogAddress)
	directory := vault.NewDirectory(time.Now().UnixNano())

	e.directory, e.members = directory, members
	e.crashes = quarantine.Evidence{
		Requests: quarantine.NewTracker(quarantine.TrackerConfig{CrashLimit: quarantineCrashes}),
		Parts:    quarantine.NewPartTracker(quarantine.PartTrackerConfig{CrashLimit: quarantineCrashes, FirstProbe: firstProbe}),
	}
	e.client = exchange.NewClient(members)
	e.archive = archive.New(archive.Config{
		Log: source, Topic: platform.CrashesTopic, Requests: e.crashes.Requests, Parts: e.crashes.Parts, Logger: log,
		Add:    func(now time.Time, c quarantine.Crash) { e.gateway.AddKnownCrash(now, c) },
		Writes: func(key string) bool { return members.Rank(time.Now(), key) < archiveWriters },
	})
	e.registration = exchange.NewRegistration(exchange.RegistrationConfig{Log: source, Topic: platform.EntriesTopic, Peers: e.client, Logger: log})
	e.roster = roster.New(roster.Config{
		Self: cfg.VM, DataCentre: cfg.DataCentre, Regions: cfg.Regions, Log: log,
		Configured: func(service string) bool { return e.gateway.HasService(service) },
		Restarted:  func(id string) { e.gateway.TargetRestarted(id) },
		SlowStart:  func(service string) slowstart.Limit { return e.gateway.SlowStart(service) },
		Entries:    members,
		Contention: cfg.Contention, MemoryPressure: cfg.MemoryPressure, MinLapse: minLapse(cfg.Heartbeat), ListedAsOf: register.SyncedAt,
		HasEngines: func(service string) bool { return e.gateway.HasEngines(service) },
		SlowdownChanged: func(address string, percent int) {
			e.reports.Notify(address, pulse.Subscription{Slowdown: percent})
		},
		RateLimitChanged: func(l roster.RateLimit) {
			go e.client.AnnounceRateLimit(context.Background(), exchange.RateLimitAnnouncement{Target: l.ID, Limit: l.Limit})
		},
		TargetEnded: func(x roster.Ended) { e.gateway.TargetEnded(time.Now(), x) },
		TargetLeaving: func(l roster.Leaving) {
			go e.client.AnnounceLeaving(context.Background(), exchange.LeavingAnnouncement{Target: l.ID, StartedMs: l.StartedMs})
		},
	})
	e.pool = upstream.NewPool(upstream.Config{})
	e.watcher = vault.NewWatcher(vault.WatcherConfig{
		Directory: directory, Source: platformClient, Peers: storePeers{e.client, e.registration, operators, cfg.PeerAddress}, Log: log,
		Rank:    func(address string) int { return members.Rank(time.Now(), address) },
		Engines: fetchingEngines{e}, Start: time.Now(), FirstStart: cfg.Bootstrap,
	})

	e.standby = loader.NewStandby(loader.StandbyConfig{
		Holder: cfg.VM, Rollout: loader.RolloutConfig{MaxDuration: cfg.Bounds.VersionDeadline}, Engine: platformClient, Entries: e, Fleet: e.roster,
		Ring: members, Holders: platform.Holders{Log: source, Holder: cfg.VM}, SideProcess: func(ctx context.Context, address string) pulse.Presence { return e.reports.SideProcess(ctx, address) }, VersionsSyncedAt: operators.CertainAt, Log: log,
	})

	meter := metrics.New(e.registry, metrics.Gauges{
		Active:           func() float64 { return float64(e.gateway.Active()) },
		LimitedTargets:   func() float64 { return float64(e.roster.LimitedTargets()) },
		Slowdowns:        func() (least, median, largest float64) { return e.roster.Slowdowns(time.Now()) },
		Targets:          func() float64 { return float64(e.roster.Len()) },
		ConfigVersion:    func() float64 { return float64(e.gateway.ConfigVersion()) },
		LogAge:           func() float64 { return time.Since(operators.SyncedAt()).Seconds() },
		Dials:            func() float64 { return float64(e.pool.Dials()) },
		OtherResponses:   func() float64 { return float64(platformClient.Counts().Mismatched) },
		UnsolicitedBytes: func() float64 { return float64(platformClient.Counts().Unsolicited) },
		VaultTokens:      func() float64 { held, _, _ := directory.Usage(); return float64(held) },
		VaultCapacity:    func() float64 { _, capacity, _ := directory.Usage(); return float64(capacity) },
		LinesLeftOut:     func() float64 { return float64(lines.Dropped()) },
		TokensPerMs:      func() float64 { return e.gateway.TokensPerMs() },
		Backlog:          func() float64 { return float64(e.roster.Backlog(time.Now())) },

		ClientBytes:       func() float64 { return float64(e.clients.Usage().Bytes) },
		ClientConnections: func() float64 { return float64(e.clients.Usage().Connections) },
		ClientsYielded:    func() float64 { return float64(e.clients.Usage().Yielded) },
	})

	e.gateway = gateway.New(gateway.Config{
		DataCentre: cfg.DataCentre, Dialect: platform.Dialect{MaxParts: cfg.MaxParts}, Roster: e.roster, Pool: e.pool, Vaults: directory,
		Crashes: e.crashes.Requests, CrashParts: e.crashes.Parts, ReportCrash: e.client.ReportCrash, RequestQuarantined: e.archive.RequestQuarantined, PartQuarantined: e.archive.PartQuarantined,
		ReportCleared: func(all []quarantine.Acquittal) {
			e.archive.Cleared(all)
			e.client.ReportCleared(all)
		},
		ProbeRank: func(part string) int { return members.Rank(time.Now(), part) },
		Start:     time.Now(), FirstStart: cfg.Bootstrap,
		RetryRatio: cfg.Bounds.RetryRatio * retryRatioShare, RetryWindow: cfg.Bounds.RetryWindow,
		RetrySlack: cfg.Bounds.RetrySlack, VersionDeadline: cfg.Bounds.VersionDeadline,
		SlowStartOverage: cfg.Bounds.SlowStartOverage, SlowStartSlack: cfg.Bounds.SlowStartSlack,
		HoldUntil: time.Now().Add(startupWindow), UnreadBytes: unreadBytes(cfg), ResponseBytes: responseBytes(cfg), Claims: &e.claims, Meter: meter, Log: log,
	}, operators.Certain, e.registration.RegisteredAt)

	e.balancer = drain.NewHealthCheck(e.gateway.Ready)
	e.addFollowers(source, operators, register, meter)
	e.peers = exchange.NewServer(exchange.ServerConfig{
		Members: members, Vaults: directory, Crashes: e.crashes, OnAnnouncement: e.onAnnouncement, OnCrash: e.gateway.AddReportedCrash, OnRateLimit: e.onRateLimit, OnLeaving: e.onLeaving, OnCleared: e.onCleared, Register: e.registration.Add,
		Topics: map[string]*mirror.Topic{platform.OperatorTopic: operators, platform.RegisterTopic: register},
	})

	return e
}

// addFollowers creates the followers of the log's topics.
func (e *gatewayProcess) addFollowers(source *platform.LogClient, operators, register *mirror.Topic, meter *metrics.Metrics) {
	publications := &platform.OperatorHandler{
		ConfigurationPublished: e.applyConfiguration,
		VersionPublished: func(now time.Time, v platform.WeightVersion) {
			before := operators.LatestUpdateAfter()
			e.gateway.VersionNamed(now, v.Model, v.Version, before)
			e.standby.SetDesired(loader.DesiredVersion{Model: v.Model, Version: v.Version, PublishedBeforeStart: before.Local.IsZero()})
			e.watcher.SetNewestVersion(now, v.Model, v.Version, v.At)
		},
		EvacuationChanged: e.roster.Evacuate,
		RecordUnreadable:  meter.RecordUnreadable, Log: e.log,
	}
	listings := &platform.RegisterHandler{Roster: e.roster, RecordUnreadable: meter.RecordUnreadable, Log: e.log}

	e.followers = []*mirror.Follower{
		mirror.NewFollower(mirror.FollowerConfig{
			Name: platform.OperatorTopic, Topic: operators, Source: source, Reconnect: source.Reconnect, Peers: e.client, Relay: e.client,
			LoadWait: e.loadWait(), Wait: operatorReadWait, SharedClock: e.engineClock, OnChanges: publications.Handle, OnReset: e.onOperatorReset, Log: e.log,
		}),
		mirror.NewFollower(mirror.FollowerConfig{
			Name: platform.RegisterTopic, Topic: register, Source: source, Reconnect: source.Reconnect, Peers: e.client, Relay: e.client,
			LoadWait: e.loadWait(), ReadPause: registerReadPause(e.cfg.Bounds.DrainDeadline), OnChanges: listings.Handle, OnOutage: e.roster.SetLogUnavailable, OnReset: e.roster.LogReset, Log: e.log,
		}),
	}
}

// loadWait returns the LoadWait of the followers.
func (e *gatewayProcess) loadWait() time.Duration {
	if e.cfg.Bootstrap {
		return bootstrapLoadWait
	}

	return restartLoadWait
}

// waitForPeers waits until this entry knows other entries to load topics from, a timeout has
// passed or ctx ends.
func (e *gatewayProcess) waitForPeers(ctx context.Context) {
	if e.cfg.Bootstrap {
		e.client.WaitConverged(ctx, bootstrapViewWait)
	} else {
		e.client.WaitFirstResponse(ctx, restartViewWait)
	}
}

// minLapse returns the shortest outage of the log in which the entry of a living target may expire. It does
// after three heartbeats of silence, of which one may have passed before; half of one is left for heartbeats that
// are late.
func minLapse(heartbeat time.Duration) time.Duration { return heartbeat * 3 / 2 }

// registerReadPause returns the pause between two reads of the register, given the time after
// which draining targets may get no more requests; 0 means no such limit.
func registerReadPause(drainDeadline time.Duration) time.Duration {
	if drainDeadline <= 0 {
		return maxRegisterReadPause
	}

	return min(drainDeadline/4, maxRegisterReadPause)
}

func (e *gatewayProcess) applyConfiguration(_ time.Time, c *site.Configuration) {
	if !e.gateway.Configure(c) {
		return
	}

	e.roster.Reconfigured()

	var stores []vault.Store

	for _, s := range c.Stores() {
		stores = append(stores, vault.Store{
			Address: s.Store.Address, DataCentre: s.Store.DataCentre, CapacityTokens: s.Store.CapacityTokens, FirstByte: s.Store.FirstByteLatency,
			TokensPerMs: site.TokensPerMs(s.Store.LinkMbps, c.TokenBytes()),
		})
	}

	e.watcher.Configure(stores)
}

// onOperatorReset handles that the log has returned from a copy: it may have lost this entry's registration
// and those of others.
func (e *gatewayProcess) onOperatorReset(now time.Time) {
	e.watcher.LogReset(now)
	e.registration.Renew()
}

// engineClock returns the engines' clock in ms, zero while it isn't known.
func (e *gatewayProcess) engineClock(now time.Time) int64 {
	clock, ok := e.directory.Clock(now)
	if !ok {
		return 0
	}

	return clock
}

// onReport handles a side process's load report.
func (e *gatewayProcess) onReport(now time.Time, p pulse.Report) {
	if !e.directory.SetClock(now, p.Clock) {
		p.Clock = 0
	}

	e.roster.ObserveReport(now, p)
	e.gateway.CapacityChanged(now)
}

// subscriptions returns the addresses of the engines whose load reports this entry needs, and
// the interval of the reports.
func (e *gatewayProcess) subscriptions() (addresses []string, interval time.Duration) {
	return e.roster.Subscriptions(time.Now(), e.gateway.HasEngines)
}

// demand returns a function that returns the rate of prompts, per second, since its last call,
// and whether engines divide slow-start permits among entries by this rate.
func (e *gatewayProcess) demand() func(now time.Time) (perSecond int, shared bool) {
	var (
		lastCount int64
		lastTime  time.Time
	)

	return func(now time.Time) (int, bool) {
		count := e.gateway.PromptCount()
		rate := float64(count-lastCount) / max(now.Sub(lastTime).Seconds(), tickInterval.Seconds())
		lastCount, lastTime = count, now

		return int(rate), e.roster.Throttled(now)
	}
}

// onAnnouncement handles the announcement that an engine is to load a version or has loaded it.
func (e *gatewayProcess) onAnnouncement(now time.Time, n exchange.VersionAnnouncement) {
	id, ok := e.roster.ByAddress(n.Address)
	if !ok {
		return
	}

	if n.Loaded {
		e.roster.ObserveVersion(id, n.Model, n.Version, "side process")
	} else {
		e.roster.ObserveLoading(now, id, n.Model, n.Version)
	}
}

// onRateLimit handles the announcement of a target's rate limit.
func (e *gatewayProcess) onRateLimit(now time.Time, l exchange.RateLimitAnnouncement) {
	e.roster.ObserveAnnouncedRateLimit(now, roster.RateLimit{ID: l.Target, Limit: l.Limit})
}

// onLeaving handles the announcement that a target is about to leave.
func (e *gatewayProcess) onLeaving(now time.Time, l exchange.LeavingAnnouncement) {
	e.roster.ObserveAnnouncedLeaving(now, roster.Leaving{ID: l.Target, StartedMs: l.StartedMs})
}

// onCleared handles responses at another entry that have cleared requests or parts of them.
func (e *gatewayProcess) onCleared(now time.Time, all []quarantine.Acquittal) {
	e.archive.Dropped(all)
	e.gateway.AddAcquittals(now, all)
}

// AnnounceVersion announces to all entries, this one included, that a target which this entry
// orders to load a version is about to load it or has loaded it.
func (e *gatewayProcess) AnnounceVersion(ctx context.Context, address, model string, version int64, loaded bool) {
	e.onAnnouncement(time.Now(), exchange.VersionAnnouncement{Address: address, Model: model, Version: version, Loaded: loaded})
	e.client.AnnounceVersion(ctx, address, model, version, loaded)
}

// runRegistration registers this entry's address for other processes in the log.
func (e *gatewayProcess) runRegistration(ctx context.Context) {
	// Without known peers, the first attempt would call the log directly.
	e.waitForPeers(ctx)
	e.registration.Run(ctx, e.cfg.VM, e.cfg.PeerAddress)
}

// syncCrashes learns from other entries of crashes that were not reported to this one.
func (e *gatewayProcess) syncCrashes(ctx context.Context) {
	e.waitForPeers(ctx)
	e.client.SyncCrashes(ctx, e.crashes, e.gateway)
}

// tick runs periodic work until ctx ends.
func (e *gatewayProcess) tick(ctx context.Context) {
	stalls := stallDetector{interval: tickInterval}

	for pause.For(ctx, tickInterval) {
		now := time.Now()
		stalls.observe(now, e.log)
		entries := e.members.Size(now)
		e.directory.SetProcessCount(entries)
		e.gateway.SetEntryCount(now, entries, e.members.InTouch(now))
		e.roster.Tick(now)
		e.gateway.Tick(now)
		e.pool.Sweep(now)
	}
}

func runGateway(cfg platform.Settings) error {
	if err := cfg.RequireEntry(); err != nil {
		return err
	}

	setRuntimeLimits(cfg)

	// Signals are handled before the first request is served: a signal without a handler ends
	// the process at once, with all requests in flight.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)

	e := newGatewayProcess(cfg)

	reports, err := pulse.Listen(pulse.ListenerConfig{
		Address: cfg.InternalAddress(reportPortOffset), Port: cfg.FirstInternalPort + reportPortOffset,
		Engines: e.subscriptions, OnReport: e.onReport, Demand: e.demand(), Utilisation: e.roster.Utilisation, Speed: e.roster.Speed,
	})
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "cannot bind address %q for load reports", cfg.InternalAddress(reportPortOffset))
	}

	e.claims.Listener = reports
	e.reports = reports

	tasks := []func(context.Context){e.lines.Run, e.watcher.Run, e.client.Run, e.standby.Run, e.probeSideProcesses, e.tick, reports.Run, e.runRegistration, e.syncCrashes, e.archive.Run}

	for _, f := range e.followers {
		tasks = append(tasks, func(ctx context.Context) {
			e.waitForPeers(ctx)
			f.Run(ctx)
		})
	}

	stop := runInBackground(tasks...)
	defer stop()

	descriptors := freeDescriptors(cfg.Descriptors)
	callers := drain.NewServer(drain.Config{
		Handler: e.gateway, MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, KeepAlive: callerKeepAlive,
		Port: e.clients.Port(intake.PortConfig{Name: "callers", Connections: descriptors / callerDescriptorDivisor}),
	})
	balancer := e.newInternalServer("balancer", e.balancer, maxBalancerConnections)
	peers := e.newInternalServer("peers", e.peers, descriptors/peerDescriptorDivisor)
	metricsServer := e.newInternalServer("metrics", promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}), maxOperatorConnections)

	failed := make(chan error, 4)

	for _, s := range []struct {
		server  server
		address string
	}{{peers, cfg.PeerAddress}, {balancer, cfg.ReadyAddress}, {callers, cfg.CallerAddress}, {metricsServer, cfg.InternalAddress(metricsPortOffset)}} {
		if err := serve(s.server, s.address, failed); err != nil {
			return err
		}
	}

	event.Log(e.log, event.ProcessStarted, "callers", cfg.CallerAddress, "peers", cfg.PeerAddress, "ready", cfg.ReadyAddress)

	return e.serveUntilSignal(callers, signals, failed)
}

// newInternalServer returns the server of a port that isn't for callers.
func (e *gatewayProcess) newInternalServer(name string, h http.Handler, connections int) *drain.Server {
	return drain.NewServer(drain.Config{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, ReadTimeout: peerReadTimeout, WriteTimeout: peerWriteTimeout, IdleTimeout: peerIdleTimeout,
		Port: e.clients.Port(intake.PortConfig{Name: name, Connections: connections}),
	})
}

// server serves a listener; *http.Server and *drain.Server implement it.
type server interface {
	Serve(l net.Listener) error
}

// serve listens at an address and serves it in the background. An error that ends it goes to
// failed.
func serve(s server, address string, failed chan<- error) error {
	l, err := socket.Listen(context.Background(), address, receiveBytes)
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "cannot listen at address %q", address)
	}

	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()

	return nil
}

// serveUntilSignal waits for a signal to stop, then drains. It returns early if a server
// fails. SIGHUP is only logged.
func (e *gatewayProcess) serveUntilSignal(callers *drain.Server, signals <-chan os.Signal, failed <-chan error) error {
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

			e.drain(callers)

			return nil
		}
	}
}

// gatewayQuiet is how long nothing of an incomplete request may come while the process stops.
const gatewayQuiet = 2 * time.Second

// drain announces the stop to the balancer and to callers, accepts requests until both have
// had time to react, and then closes the port as soon as no long request is in flight. It
// returns when the requests in flight have completed, or exitMargin before the end of the
// grace time.
func (e *gatewayProcess) drain(callers *drain.Server) {
	began := time.Now()
	end := began.Add(e.cfg.Bounds.Grace - exitMargin)

	event.Log(e.log, event.ProcessStopping, "requests", e.gateway.Active())
	e.balancer.StartDrain(began)
	e.gateway.Stop(end.Add(-lastResponsesMargin))

	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()

	stop := runInBackground(func(ctx context.Context) { yieldStopped(ctx, e.clients, gatewayQuiet) })
	defer stop()

	n := callers.Drain(ctx, drain.Options{
		Deregistered: e.balancer.Deregistered, OnDeregistered: func() { e.gateway.StartDrain(time.Now(), end.Add(-lastResponsesMargin)) }, MayClosePort: e.gateway.MayClosePort,
	})

	event.Log(e.log, event.PortClosed, "opened", n.Opened, "busy", n.Busy, "idle", n.Idle, "pending", n.Pending)
	event.Log(e.log, event.ProcessStopped, "requests", e.gateway.Active(), "after_ms", time.Since(began).Milliseconds())
}
