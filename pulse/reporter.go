package pulse

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"boragehub/capacity"
	"boragehub/pause"
	"boragehub/resident"
	"boragehub/room"
	"boragehub/slowstart"
)

// Engine queries the engine of this side process.
type Engine interface {
	// Report queries the engine at address. The Reporter sets Engine, Sequence and SourceStart.
	Report(ctx context.Context, address string) (Report, error)
}

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	// Address is the local UDP address at which subscriptions arrive.
	Address string
	// Engine queries the engine at EngineAddress.
	Engine        Engine
	EngineAddress string
	// Resident returns the long parts of prompts in the engine's KV cache; nil reports none.
	Resident func() []resident.Part
	// LoadIn returns the time until the engine is ordered to load new weights; ok is false
	// when no load is scheduled. Nil reports none.
	LoadIn func(now time.Time) (in time.Duration, ok bool)
	// SlowStart divides the request rate of a cold engine among the subscribers; nil means
	// no limit.
	SlowStart *slowstart.Guard
	// Restarted is called when the engine has restarted, before its next load report is
	// sent; may be nil.
	Restarted func()
	// Ledger keeps the leases of the engine's capacity; nil means that claims get no reply.
	Ledger *room.Ledger
	// Log receives a line for each claim and each change of a lease, up to a bound.
	Log logr.Logger
}

// Reporter sends an engine's load reports to its subscribers. Use NewReporter.
type Reporter struct {
	cfg  ReporterConfig
	conn *net.UDPConn

	mu          sync.Mutex
	subscribers map[string]subscriber
	refusals    refusals

	presence net.Listener
	leases   leaseReports
	slowdown latestSlowdown
}

type subscriber struct {
	address   *net.UDPAddr
	expiresAt time.Time
	interval  time.Duration
	demand    int           // rate of prompts at the entry, per second
	dueAt     time.Time     // when its next load report is due
	stretched time.Duration // interval that it gets instead of the requested one; zero if that one

	utilisation reportedUtilisation
	start       int64 // Subscription.Start
	speed       capacity.Speed
}

// NewReporter returns a Reporter that is bound to cfg.Address. From then on Listener.SideProcess finds
// this process.
func NewReporter(cfg ReporterConfig) (*Reporter, error) {
	presence, err := net.Listen("tcp4", cfg.Address) //nolint:noctx // bound once, at start
	if err != nil {
		return nil, err
	}

	// With port 0 both sockets get the port that the first one was given.
	conn, err := listen(presence.Addr().String())
	if err != nil {
		closeListener(presence)

		return nil, err
	}

	return &Reporter{cfg: cfg, conn: conn, presence: presence, subscribers: make(map[string]subscriber), leases: newLeaseReports()}, nil
}

func listen(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}

	return net.ListenUDP("udp4", a)
}

// Run serves subscriptions and sends load reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		closeConn(r.conn)
		closeListener(r.presence)
	})
	defer stop()

	go r.showPresence(ctx)
	go r.subscriptions(ctx)
	go r.pushChanges(ctx)

	p := Report{SourceStart: time.Now().UnixNano()}
	lost := true

	for pause.For(ctx, MinInterval) {
		to := r.due(time.Now())
		if len(to) == 0 {
			continue
		}

		queriedAt := time.Now()
		c, cancel := context.WithTimeout(ctx, MinInterval)
		next, err := r.cfg.Engine.Report(c, r.cfg.EngineAddress)

		cancel()

		if err != nil {
			lost = true

			continue // entries notice the missing reports
		}

		if lost && r.cfg.SlowStart != nil {
			// The engine may have restarted.
			r.cfg.SlowStart.AssumeCold(time.Now())
		}

		lost = false

		if next.StartedMs > p.StartedMs {
			r.noteEngineStart(time.Now(), next, p.StartedMs > 0)
		}

		next.Engine, next.SourceStart = r.cfg.EngineAddress, p.SourceStart
		if r.cfg.Resident != nil {
			next.Resident = r.cfg.Resident()
		}

		next.LoadInMs = r.loadIn(time.Now())
		r.fillCapacity(time.Now(), &next)

		p = next
		r.publish(time.Now(), queriedAt, p, to)
	}
}

// noteEngineStart passes the start of the engine on to the slow-start guard. If it has restarted, what
// was known of its earlier start is dropped.
func (r *Reporter) noteEngineStart(now time.Time, p Report, restarted bool) {
	if restarted {
		r.forgetEngine(now)
	}

	if r.cfg.SlowStart != nil && p.Clock > 0 {
		r.cfg.SlowStart.Started(now, time.Duration(p.Clock-p.StartedMs)*time.Millisecond)
	}
}

// forgetEngine drops what is known of the engine's earlier start.
func (r *Reporter) forgetEngine(now time.Time) {
	r.forgetCapacity()

	if r.cfg.Restarted != nil {
		r.cfg.Restarted()
	}

	if r.cfg.Ledger != nil {
		r.logReset(now)
		r.cfg.Ledger.Reset()
	}
}

// loadIn returns Report.LoadInMs of the next load report.
func (r *Reporter) loadIn(now time.Time) int64 {
	if r.cfg.LoadIn == nil {
		return 0
	}

	in, ok := r.cfg.LoadIn(now)
	if !ok {
		return 0
	}

	return max(in.Milliseconds(), 1)
}

// closeConn closes a connection, which ends its reads. Closing it twice is harmless.
func closeConn(c *net.UDPConn) {
	//nolint:errcheck,gosec // see above
	c.Close()
}

// subscriptions receives subscriptions until ctx ends. A datagram that can't be decoded counts
// as a subscription with default values.
func (r *Reporter) subscriptions(ctx context.Context) {
	buf := make([]byte, receiveBufferBytes)

	for ctx.Err() == nil {
		n, from, err := r.conn.ReadFromUDP(buf)
		if err != nil {
			if !pause.For(ctx, MinInterval) {
				return
			}

			continue
		}

		var s Subscription
		if cbor.Unmarshal(buf[:n], &s) != nil {
			s = Subscription{}
		}

		if !r.subscribe(time.Now(), from, s) {
			r.refuse(time.Now(), from, s)
		}

		r.applyClaims(time.Now(), from, s)
	}
}

// subscribe adds or renews a subscription. It returns false if there are maxSubscribers already.
func (r *Reporter) subscribe(now time.Time, from *net.UDPAddr, s Subscription) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	old, ok := r.subscribers[from.String()]
	if !ok && len(r.subscribers) >= maxSubscribers {
		return false
	}

	old.address, old.expiresAt, old.interval, old.demand = from, now.Add(subscriptionTTL), time.Duration(s.IntervalMs)*time.Millisecond, s.Demand
	old.utilisation = newReportedUtilisation(now, s.Utilisation)
	old.start = s.Start
	r.observeCapacity(now, &old, s)
	r.subscribers[from.String()] = old

	return true
}

// minInterval returns the shortest time between two reports to one subscriber, given the number of
// subscribers. All of them together get no more than maxSentPerSecond reports.
func minInterval(subscribers int) time.Duration {
	return max(time.Duration(subscribers)*time.Second/maxSentPerSecond, MinInterval)
}

// due returns the subscribers whose next load report is due.
func (r *Reporter) due(now time.Time) []subscriber {
	r.mu.Lock()
	defer r.mu.Unlock()

	var all []subscriber

	shortest := minInterval(len(r.subscribers))

	for name, s := range r.subscribers {
		if now.After(s.expiresAt) {
			delete(r.subscribers, name)

			continue
		}

		// due is called once per MinInterval; a report that falls due within half of
		// it counts as due.
		if now.Add(MinInterval / 2).Before(s.dueAt) {
			continue
		}

		s.stretched = 0
		if shortest > max(s.interval, MinInterval) {
			s.stretched = shortest
		}

		s.dueAt = now.Add(max(s.interval, s.stretched))
		r.subscribers[name] = s
		all = append(all, s)
	}

	return all
}

// send sends a load report to the given subscribers, each with its own permits.
func (r *Reporter) send(now time.Time, p Report, to []subscriber) {
	var permits map[string]int

	if g := r.cfg.SlowStart; g != nil {
		p.ColdMs, p.Warm = g.Remaining(now).Milliseconds(), g.Warm(now)
		permits = g.Permits(now, demands(to))
	}

	encoded := make(map[reportVariant][]byte)

	for _, s := range to {
		v := reportVariant{permits: permits[s.address.String()], stretched: s.stretched, legacy: s.start == 0}

		body, ok := encoded[v]
		if !ok {
			q := p
			q.Permits, q.StretchedMs = v.permits, v.stretched.Milliseconds()
			body = encodeFor(s, q)
			encoded[v] = body
		}

		// A datagram that can't be sent is equivalent to a lost one.
		//nolint:errcheck,gosec // see above
		r.conn.WriteToUDP(body, s.address)
	}
}

// reportVariant is what a report says to some of its receivers only.
type reportVariant struct {
	permits   int
	stretched time.Duration
	legacy    bool
}

// demands returns the subscribers' demands for the permits of a cold engine.
func demands(to []subscriber) []slowstart.Entry {
	all := make([]slowstart.Entry, len(to))
	for i, s := range to {
		all[i] = slowstart.Entry{Name: s.address.String(), Demand: s.demand}
	}

	return all
}

// encode returns the CBOR encoding of a load report.
func encode(p Report) []byte {
	body, err := cbor.Marshal(p)
	if err != nil {
		return nil // a struct of strings and numbers can always be encoded
	}

	return body
}
