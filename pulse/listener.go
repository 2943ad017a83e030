package pulse

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/pause"
)

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	// Address is the local UDP address at which load reports arrive.
	Address string
	// Port is the UDP port at which side processes accept subscriptions.
	Port int
	// Engines returns the addresses of the engines to subscribe to, and the time
	// between two load reports of one engine.
	Engines func() (addresses []string, interval time.Duration)
	// Demand returns the rate of prompts at this process, per second, and whether engines
	// currently divide their permits by it; nil reports no demand.
	Demand func(now time.Time) (perSecond int, shared bool)
	// Utilisation returns the part of the prefill capacity in use in the service of the engine at
	// an address, in percent, zero when unknown; nil reports none.
	Utilisation func(now time.Time, engine string) int
	// Speed returns the speed of an engine as this process has learned it, in percent, and the number
	// of samples; nil or no samples tell the engines none.
	Speed func(engine string) (percent, samples int)
	// OnReport is called with each load report, per engine in the order of sending, from one
	// goroutine.
	OnReport func(now time.Time, p Report)
}

// Listener subscribes to engines and receives their load reports. Use Listen.
type Listener struct {
	cfg      ListenerConfig
	conn     *net.UDPConn
	latest   map[string]Report
	interval atomic.Int64 // requested report interval in ns
	demand   atomic.Int64 // last reported demand per second

	utilisations sentUtilisations
	claims       claimTable
}

// Listen returns a Listener that is bound to cfg.Address.
func Listen(cfg ListenerConfig) (*Listener, error) {
	conn, err := listen(cfg.Address)
	if err != nil {
		return nil, err
	}

	return &Listener{cfg: cfg, conn: conn, latest: make(map[string]Report), claims: newClaimTable(time.Now())}, nil
}

// Run renews the subscriptions and receives load reports until ctx ends.
func (l *Listener) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { closeConn(l.conn) })
	defer stop()

	go l.subscribe(ctx)

	buf := make([]byte, receiveBufferBytes)

	for ctx.Err() == nil {
		n, _, err := l.conn.ReadFromUDP(buf)
		if err != nil {
			pause.For(ctx, MinInterval)

			continue
		}

		var p Report
		if cbor.Unmarshal(buf[:n], &p) != nil {
			continue
		}

		if l.newer(p) {
			p.Interval = max(time.Duration(l.interval.Load()), time.Duration(p.StretchedMs)*time.Millisecond)
			l.cfg.OnReport(time.Now(), p)
		}

		l.receiveGrants(p)
	}
}

// newer reports whether a load report is newer than the latest one of its engine, and if so
// records it. Datagrams may arrive out of order.
func (l *Listener) newer(p Report) bool {
	old, ok := l.latest[p.Engine]
	if ok && (p.SourceStart < old.SourceStart || (p.SourceStart == old.SourceStart && p.Sequence <= old.Sequence)) {
		return false
	}

	const maxSeen = 4096
	if len(l.latest) >= maxSeen {
		clear(l.latest)
	}

	l.latest[p.Engine] = p

	if !ok || p.SourceStart != old.SourceStart {
		l.claims.resume(p.Engine)
	}

	return true
}

// subscribe sends subscriptions to the engines periodically until ctx ends.
func (l *Listener) subscribe(ctx context.Context) {
	for {
		engines, interval := l.cfg.Engines()
		l.interval.Store(int64(interval))

		s := Subscription{IntervalMs: interval.Milliseconds(), Start: l.claims.start}
		renewInterval := subscribeInterval

		if l.cfg.Demand != nil {
			var shared bool
			if s.Demand, shared = l.cfg.Demand(time.Now()); shared {
				renewInterval = demandInterval
			}
		}

		l.demand.Store(int64(s.Demand))
		utilisations := l.measureUtilisations(time.Now(), engines)

		for _, engine := range engines {
			s.Utilisation = utilisations[engine]
			l.send(engine, l.encode(engine, s))
		}

		if len(engines) == 0 {
			// The register has not been read yet.
			renewInterval = MinInterval
		}

		if !pause.For(ctx, renewInterval) {
			return
		}
	}
}

// Notify sends a subscription with further fields to the side process of an engine at once. It sets
// the interval, the demand, the utilisation, the speed and the start time.
func (l *Listener) Notify(engine string, s Subscription) {
	s.IntervalMs, s.Demand, s.Start = time.Duration(l.interval.Load()).Milliseconds(), int(l.demand.Load()), l.claims.start
	s.Utilisation = l.utilisations.get(engine)
	l.send(engine, l.encode(engine, s))
}

// Probe asks the side processes of engines to which this process doesn't subscribe for load reports, until
// subscriptionTTL has passed. The interval is longer the more engines there are.
func (l *Listener) Probe(engines []string) {
	interval := max(minProbeInterval, time.Duration(len(engines))*time.Second/maxProbesPerSecond)

	for _, engine := range engines {
		l.send(engine, l.encode(engine, Subscription{IntervalMs: interval.Milliseconds(), Start: l.claims.start}))
	}
}

// send sends a datagram to the side process of an engine.
func (l *Listener) send(engine string, body []byte) {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return
	}

	//nolint:errcheck,gosec // a lost subscription is renewed
	l.conn.WriteToUDP(body, &net.UDPAddr{IP: net.ParseIP(host), Port: l.cfg.Port})
}

// encodeSubscription returns the CBOR encoding of a subscription.
func encodeSubscription(s Subscription) []byte {
	body, err := cbor.Marshal(s)
	if err != nil {
		return []byte{0} // a struct of numbers can always be encoded
	}

	return body
}
