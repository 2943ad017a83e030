package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/net/netutil"

	"boragehub/certificate"
	"boragehub/claim"
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

// Limits of the callers' server.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
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

// signalled returns a context that ends with SIGTERM or SIGINT.
func signalled() (context.Context, context.CancelFunc) {
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

// run serves callers until a signal, then stops without cutting anyone off:
// first /readyz fails, so that the balancer sends no new callers; then the port
// is closed and what is in work is finished.
func (p *entryProcess) run() error {
	p.relay.list = p.entry.OnList
	p.relay.settings = p.entry.OnSettings
	p.relay.crash = p.entry.Crashed

	l, err := net.Listen("tcp", p.cfg.Listen.Callers) //nolint:noctx // bound once, at start
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "callers' address %q can't be bound", p.cfg.Listen.Callers)
	}

	callers := &http.Server{
		Handler:           p.entry.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    p.cfg.Limits.MaxHeaderBytes,
	}

	stop := background(append(p.duties(), p.entry.Run, p.lease.Run, p.leader.Run, p.writes.Run, p.snapshots.Run, p.operators.Run, func(ctx context.Context) {
		serveConversations(ctx, p.log, p.server, p.entry.Handle)
	})...)

	ctx, cancel := signalled()
	defer cancel()

	event.Log(p.log, event.ProcessStarted, "callers", l.Addr().String(), "peers", p.server.Addr(), "operators", p.operators.Addr())

	failed := make(chan error, 1)

	go func() { failed <- callers.Serve(netutil.LimitListener(l, p.cfg.Limits.MaxConnections)) }()

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

func (p *entryProcess) leave(callers *http.Server) {
	event.Log(p.log, event.ProcessStopping, "requests", p.entry.Active())
	p.entry.Leave()
	time.Sleep(time.Duration(p.cfg.Limits.BalancerGrace))

	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.cfg.Limits.DrainTimeout))
	defer cancel()

	if err := callers.Shutdown(ctx); err != nil {
		event.Fail(p.log, err, event.ListenerStopped, "requests", p.entry.Active())
	} else {
		event.Log(p.log, event.ListenerStopped, "requests", p.entry.Active())
	}

	p.server.Shutdown(ctx)
}

// run guards the target until a signal, then hands its claims over, takes no new
// work and waits for what runs.
func (p *sideProcess) run() error {
	duties := append(p.duties(), p.side.Run, p.operators.Run, func(ctx context.Context) {
		serveConversations(ctx, p.log, p.server, p.side.Handle)
	})

	if p.homes != nil {
		duties = append(duties, p.homes.Run)
	}

	stop := background(duties...)

	ctx, cancel := signalled()
	defer cancel()

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
