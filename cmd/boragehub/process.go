package main

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"boragehub/certificate"
	"boragehub/claim"
	"boragehub/drain"
	"boragehub/entry"
	"boragehub/entry/placement"
	"boragehub/event"
	"boragehub/failure"
	"boragehub/intake"
	"boragehub/journal/lease"
	"boragehub/operator"
	"boragehub/peer"
	"boragehub/quarantine"
	"boragehub/quarantine/notice"
	"boragehub/setting"
	"boragehub/setting/exchange"
	"boragehub/setting/publication"
	"boragehub/side"
	"boragehub/socket"
	"boragehub/vm"
)

// updateHandlers are the functions that the followers call with updates. The followers are
// constructed before the entry that needs the updates; it sets the functions when it runs.
// Until then, and in a side process, they do nothing.
type updateHandlers struct {
	onList     func(time.Time, *vm.List)
	onSettings func(time.Time, *publication.Published)
	onCrash    func(time.Time, quarantine.Crash)
}

func newUpdateHandlers() *updateHandlers {
	return &updateHandlers{
		onList:     func(time.Time, *vm.List) {},
		onSettings: func(time.Time, *publication.Published) {},
		onCrash:    func(time.Time, quarantine.Crash) {},
	}
}

// common holds the components of every entry and side process.
type common struct {
	cfg      setting.Process
	log      logr.Logger
	keys     *certificate.Reloader
	dialer   *peer.Dialer
	server   *peer.Server
	vmList   *vm.Follower
	settings *publication.Follower
	crashes  *notice.Feed
	handlers *updateHandlers
	clients  *intake.Ledger
}

// backgroundTasks returns the tasks that run in every process until it ends.
func (c *common) backgroundTasks() []func(context.Context) {
	return []func(context.Context){c.keys.Run, c.vmList.Run, c.settings.Run, c.crashes.Run}
}

// entryProcess is an entry with the components that it runs.
type entryProcess struct {
	common
	entry         *entry.Entry
	lease         *lease.Keeper
	leader        *placement.Leader
	snapshotLease snapshotLease
	snapshots     *exchange.Snapshotter
	operators     *operator.Server
}

// sideProcess is a side process with the components that it runs. Its deduplicator is nil
// beside an engine.
type sideProcess struct {
	common
	side         *side.Side
	deduplicator *claim.Deduplicator
	operators    *operator.Server
}

func runEntry(file string) error {
	cfg, err := setting.LoadProcess(file)
	if err != nil {
		return err
	}

	limitMemory(cfg.Limits.MemoryMB)

	p, err := newEntryProcess(cfg)
	if err != nil {
		return err
	}

	return p.run()
}

func runSide(file string) error {
	cfg, err := setting.LoadProcess(file)
	if err != nil {
		return err
	}

	p, err := newSideProcess(cfg)
	if err != nil {
		return err
	}

	return p.run()
}

// stopContext returns a context that ends with SIGTERM or SIGINT. Call it before the first
// request is served: a signal without a handler ends the process at once, with all requests
// in flight. SIGHUP is ignored for the same reason; an operator may send it after a change of
// settings, although the settings file is not read again.
func stopContext() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)

	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// runInBackground runs tasks until the returned stop is called, which waits for them to end.
func runInBackground(tasks ...func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())

	var wg sync.WaitGroup

	for _, task := range tasks {
		wg.Go(func() { task(ctx) })
	}

	return func() {
		cancel()
		wg.Wait()
	}
}

// run serves callers until a signal, then drains and stops.
func (p *entryProcess) run() error {
	ctx, cancel := stopContext()
	defer cancel()

	p.handlers.onList = p.entry.OnList
	p.handlers.onSettings = p.entry.OnSettings
	p.handlers.onCrash = p.entry.AddCrash

	l, err := socket.Listen(ctx, p.cfg.Listen.Callers, receiveBytes)
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "cannot listen for callers at address %q", p.cfg.Listen.Callers)
	}

	callers := drain.NewServer(drain.Config{
		Handler:        p.entry.Handler(),
		HeaderTimeout:  headerTimeout,
		IdleTimeout:    callerIdleTimeout,
		KeepAlive:      callerKeepAlive,
		MaxHeaderBytes: p.cfg.Limits.MaxHeaderBytes,
		Port: p.clients.Port(intake.PortConfig{
			Name: "callers", Connections: min(p.cfg.Limits.MaxConnections, freeDescriptors(0)/callerDescriptorDivisor),
		}),
	})

	stop := runInBackground(append(p.backgroundTasks(), p.entry.Run, p.lease.Run, p.leader.Run, p.snapshotLease.Run, p.snapshots.Run, p.operators.Run, func(ctx context.Context) {
		servePeers(ctx, p.log, p.server, p.entry.Handle)
	})...)

	event.Log(p.log, event.ProcessStarted, "callers", l.Addr().String(), "peers", p.server.Addr(), "operators", p.operators.Addr())

	serveErr := make(chan error, 1)

	go func() { serveErr <- callers.Serve(l) }()

	select {
	case err = <-serveErr:
		event.Fail(p.log, err, event.ProcessFailed)
	case <-ctx.Done():
		p.drain(callers)

		err = nil
	}

	stop()
	p.close()
	event.Log(p.log, event.ProcessStopped)

	return err
}

// servePeers serves other processes until ctx ends. If serving fails before that, other
// processes can no longer reach this one, and the logged event is the only sign of it.
func servePeers(ctx context.Context, log logr.Logger, s *peer.Server, handle peer.Handler) {
	if err := s.Serve(ctx, handle); err != nil && ctx.Err() == nil {
		event.Fail(log, err, event.ProcessFailed)
	}
}

// entryQuiet is how long nothing of an incomplete request may come while the process stops.
const entryQuiet = 10 * time.Second

// drain makes /readyz fail, so that the balancer sends no new callers. It accepts requests
// until none is in flight, and at least until the balancer grace and the callers' keep-alive
// timeout have passed. It ends at the latest when the drain timeout has passed after the
// balancer grace.
func (p *entryProcess) drain(callers *drain.Server) {
	event.Log(p.log, event.ProcessStopping, "requests", p.entry.Active())
	p.entry.StartDrain()

	stop := runInBackground(func(ctx context.Context) { yieldStopped(ctx, p.clients, entryQuiet) })
	defer stop()

	noticed := time.Now().Add(time.Duration(p.cfg.Limits.BalancerGrace))
	end := noticed.Add(time.Duration(p.cfg.Limits.DrainTimeout))

	// While the balancer goes on sending callers, some request may always be in flight. The
	// port then closes after half of the drain timeout, and the requests in flight have the
	// other half to complete.
	halfTime := noticed.Add(end.Sub(noticed) / 2)

	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()

	last := time.AfterFunc(time.Until(end)-lastResponsesMargin, p.entry.EndRequests)
	defer last.Stop()

	n := callers.Drain(ctx, drain.Options{
		Deregistered: func(now time.Time) bool { return !now.Before(noticed) },
		MayClosePort: func(now time.Time) bool { return p.entry.Active() == 0 || !now.Before(halfTime) },
	})
	event.Log(p.log, event.PortClosed, "opened", n.Opened, "busy", n.Busy, "idle", n.Idle, "pending", n.Pending)

	p.server.Shutdown(ctx)
}

// run runs the side process until a signal. Then it refuses new work, waits for the
// runs in flight and releases its shards of idempotency keys.
func (p *sideProcess) run() error {
	ctx, cancel := stopContext()
	defer cancel()

	tasks := append(p.backgroundTasks(), p.side.Run, p.operators.Run, func(ctx context.Context) {
		servePeers(ctx, p.log, p.server, p.side.Handle)
	})

	if p.deduplicator != nil {
		tasks = append(tasks, p.deduplicator.Run)
	}

	stop := runInBackground(tasks...)

	event.Log(p.log, event.ProcessStarted, "target", p.cfg.Target.URL, "peers", p.server.Addr(), "operators", p.operators.Addr())
	<-ctx.Done()
	event.Log(p.log, event.ProcessStopping)

	drainCtx, cancelDrain := context.WithTimeout(context.Background(), time.Duration(p.cfg.Limits.DrainTimeout))
	defer cancelDrain()

	p.side.Drain(drainCtx)

	if p.deduplicator != nil {
		if err := p.deduplicator.Drain(drainCtx); err != nil {
			event.Fail(p.log, err, event.ProcessStopping, "reason", "claims not handed over")
		}
	}

	p.server.Shutdown(drainCtx)
	stop()
	p.close()
	event.Log(p.log, event.ProcessStopped)

	return nil
}

func (c *common) close() {
	c.dialer.Close()
	c.server.Close()
}
