package pulse

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"boragehub/event"
	"boragehub/pause"
)

// Presence says whether a side process runs beside an engine.
type Presence uint8

// The values of Presence.
const (
	// Unknown means that the VM did not reply in time, or that it can't be reached.
	Unknown Presence = iota
	// Present means that a process on the VM has the port of side processes. It may be paused.
	Present
	// Absent means that the VM replied, and no process has that port.
	Absent
)

// String returns the snake-case name of p.
func (p Presence) String() string { return [...]string{"unknown", "present", "absent"}[p] }

// SideProcess asks the VM of an engine whether a side process has its port there, until ctx ends. Missing
// load reports don't tell: they and the subscriptions are datagrams, which are lost silently.
func (l *Listener) SideProcess(ctx context.Context, engine string) Presence {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return Unknown
	}

	var d net.Dialer

	conn, err := d.DialContext(ctx, "tcp4", net.JoinHostPort(host, strconv.Itoa(l.cfg.Port)))

	switch {
	case err == nil:
		//nolint:errcheck,gosec // nothing was sent
		conn.Close()

		return Present
	case errors.Is(err, syscall.ECONNREFUSED):
		return Absent
	default:
		return Unknown
	}
}

// showPresence accepts the connections of SideProcess, and closes them, until ctx ends.
func (r *Reporter) showPresence(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := r.presence.Accept()
		if err != nil {
			pause.For(ctx, MinInterval)

			continue
		}

		//nolint:errcheck,gosec // nothing was sent
		conn.Close()
	}
}

// closeListener closes a listener, which ends Accept.
func closeListener(l net.Listener) {
	//nolint:errcheck,gosec // nothing depends on the result
	l.Close()
}

// refusalLogInterval is the shortest time between two log lines about refused subscriptions.
const refusalLogInterval = 10 * time.Second

// refusals counts the subscriptions that were refused.
type refusals struct {
	total    int
	loggedAt time.Time
}

// refuse tells an entry that its subscription was refused, so that it knows of this process.
func (r *Reporter) refuse(now time.Time, from *net.UDPAddr, s Subscription) {
	r.mu.Lock()
	r.refusals.total++
	total, quiet := r.refusals.total, now.Sub(r.refusals.loggedAt) < refusalLogInterval

	if !quiet {
		r.refusals.loggedAt = now
	}
	r.mu.Unlock()

	if !quiet {
		event.Log(r.cfg.Log, event.SubscriptionRefused, "entry", from.String(), "subscribers", maxSubscribers, "refused", total)
	}

	// Builds without Subscription.Start take any report for one of the engine's state.
	if s.Start == 0 {
		return
	}

	r.leases.mu.Lock()
	defer r.leases.mu.Unlock()

	p := Report{Engine: r.cfg.EngineAddress, SourceStart: r.leases.sourceStart, LeasesOnly: true}
	if r.cfg.Ledger != nil {
		p = r.leasesOnly(now, nil)
	}

	p.Refused = true

	//nolint:errcheck,gosec // sent again when the subscription is repeated
	r.conn.WriteToUDP(encode(p), from)
}
