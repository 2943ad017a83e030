package main

import (
	"context"
	"net"
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
	"boragehub/journal/lease"
	"boragehub/operator"
	"boragehub/peer"
	"boragehub/quarantine"
	"boragehub/quarantine/notice"
	"boragehub/setting"
	"boragehub/setting/exchange"
	"boragehub/setting/publication"
	"boragehub/side"
	"boragehub/vm"
)

// relay carries news from the followers, which are made first, to the role that
// needs them.
type relay struct {
	list     func(time.Time, *vm.List)
	settings func(time.Time, *publication.Published)
	crash    func(time.Time, quarantine.Crash)
}

func newRelay() *relay {
	return &relay{
		list:     func(time.Time, *vm.List) {},
		settings: func(time.Time, *publication.Published) {},
		crash:    func(time.Time, quarantine.Crash) {},
	}
}

// common is what every process of the running system has.
type common struct {
	cfg      setting.Process
	log      logr.Logger
	keys     *certificate.Keeper
	dialer   *peer.Dialer
	server   *peer.Server
	list     *vm.Follower
	settings *publication.Follower
	crashes  *notice.Feed
	relay    *relay
}

// duties are those that run in every process until it ends.
func (c *common) duties() []func(context.Context) {
	return []func(context.Context){c.keys.Run, c.list.Run, c.settings.Run, c.crashes.Run}
}

// entryProcess is an entry with all that it needs.
type entryProcess struct {
	common
	entry     *entry.Entry
	lease     *lease.Keeper
	leader    *placement.Leader
	writes    settingsLease
	snapshots *exchange.Snapshotter
	operators *operator.Server
}

// sideProcess is a side process with all that it needs.
type sideProcess struct {
	common
	side      *side.Side
	homes     *claim.Home
	operators *operator.Server
}

func runEntry(file string) error {
	cfg, err := setting.LoadProcess(file)
	if err != nil {
		return err
	}

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

// signalled returns a context that ends with SIGTERM or SIGINT. It is asked for before
// anybody is served: a signal that nobody has asked for ends a process at once, with all
// that it serves. So does SIGHUP, by which an operator may mean settings that changed;
// nothing here reads them again.
func signalled() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)

	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// background runs duties until the returned stop is called, which waits for them.
func background(duties ...func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())

	var all sync.WaitGroup

	for _, duty := range duties {
		all.Go(func() { duty(ctx) })
	}

	return func() {
		cancel()
		all.Wait()
	}
}

// run serves callers until a signal, then stops without cutting anyone off.
func (p *entryProcess) run() error {
	ctx, cancel := signalled()
	defer cancel()

	p.relay.list = p.entry.OnList
	p.relay.settings = p.entry.OnSettings
	p.relay.crash = p.entry.Crashed

	l, err := net.Listen("tcp", p.cfg.Listen.Callers) //nolint:noctx // bound once, at start
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "callers' address %q can't be bound", p.cfg.Listen.Callers)
	}

	callers := drain.NewServer(drain.Config{
		Handler:        p.entry.Handler(),
		HeaderTimeout:  headerCallers,
		IdleTimeout:    idleCallers,
		KeepAlive:      keepCallers,
		MaxHeaderBytes: p.cfg.Limits.MaxHeaderBytes,
	})

	stop := background(append(p.duties(), p.entry.Run, p.lease.Run, p.leader.Run, p.writes.Run, p.snapshots.Run, p.operators.Run, func(ctx context.Context) {
		serveConversations(ctx, p.log, p.server, p.entry.Handle)
	})...)

	event.Log(p.log, event.ProcessStarted, "callers", l.Addr().String(), "peers", p.server.Addr(), "operators", p.operators.Addr())

	failed := make(chan error, 1)

	go func() { failed <- callers.Serve(newBoundedListener(l, p.cfg.Limits.MaxConnections, callers)) }()

	select {
	case err = <-failed:
		event.Fail(p.log, err, event.ProcessFailed)
	case <-ctx.Done():
		p.leave(callers)

		err = nil
	}

	stop()
	p.close()
	event.Log(p.log, event.ProcessStopped)

	return err
}

// serveConversations serves other processes until ctx ends. When that ends sooner, the
// process is as good as cut off, and only this line says so.
func serveConversations(ctx context.Context, log logr.Logger, s *peer.Server, handle peer.Handler) {
	if err := s.Serve(ctx, handle); err != nil && ctx.Err() == nil {
		event.Fail(log, err, event.ProcessFailed)
	}
}

// leave fails /readyz, so that the balancer sends no new callers, and serves whoever
// still comes until nothing is in work, and at least until the balancer has noticed and
// callers know that they must not use their connections any more.
func (p *entryProcess) leave(callers *drain.Server) {
	event.Log(p.log, event.ProcessStopping, "requests", p.entry.Active())
	p.entry.Leave()

	noticed := time.Now().Add(time.Duration(p.cfg.Limits.BalancerGrace))
	end := noticed.Add(time.Duration(p.cfg.Limits.DrainTimeout))

	// Under a balancer that goes on sending callers there may always be something in
	// work. The port then closes at half time, and what is in work has the other half.
	halfTime := noticed.Add(end.Sub(noticed) / 2)

	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()

	n := callers.Drain(ctx, drain.Stop{
		Released: func(now time.Time) bool { return !now.Before(noticed) },
		Short:    func(now time.Time) bool { return p.entry.Active() == 0 || !now.Before(halfTime) },
	})
	event.Log(p.log, event.PortClosed, "opened", n.Opened, "busy", n.Busy, "idle", n.Idle, "pending", n.Pending)

	p.server.Shutdown(ctx)
}

// run guards the target until a signal, then hands its claims over, takes no new
// work and waits for what runs.
func (p *sideProcess) run() error {
	ctx, cancel := signalled()
	defer cancel()

	duties := append(p.duties(), p.side.Run, p.operators.Run, func(ctx context.Context) {
		serveConversations(ctx, p.log, p.server, p.side.Handle)
	})

	if p.homes != nil {
		duties = append(duties, p.homes.Run)
	}

	stop := background(duties...)

	event.Log(p.log, event.ProcessStarted, "target", p.cfg.Target.URL, "peers", p.server.Addr(), "operators", p.operators.Addr())
	<-ctx.Done()
	event.Log(p.log, event.ProcessStopping)

	late, done := context.WithTimeout(context.Background(), time.Duration(p.cfg.Limits.DrainTimeout))
	defer done()

	p.side.Drain(late)

	if p.homes != nil {
		if err := p.homes.Drain(late); err != nil {
			event.Fail(p.log, err, event.ProcessStopping, "reason", "claims not handed over")
		}
	}

	p.server.Shutdown(late)
	stop()
	p.close()
	event.Log(p.log, event.ProcessStopped)

	return nil
}

func (c *common) close() {
	c.dialer.Close()
	c.server.Close()
}
