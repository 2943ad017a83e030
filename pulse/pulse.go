// Package pulse tells entries, several times a second, how much an engine has to
// do, at first hand.
//
// # Model
//
// Answers tell an engine's load too, but an entry gets one from each engine only
// every second or so, and what a long prompt waits for, memory, is not in them.
// The side process can ask its engine for nothing. So an entry subscribes to the
// engines that it may choose, with a datagram a second, and a side process
// answers with its engine's pulse at once and then regularly for as long as the
// subscription lasts. A lost datagram costs nothing but the age of a belief, and
// a side process needs to know no entry.
//
// A pulse has about 60 bytes, and 12 more for each long part of a prompt in the
// engine's memory. At the default pace one engine costs an entry some 1.5 kilobytes a
// second, so an entry that may choose among many engines subscribes to
// a few and asks them less often (Share).
//
// A subscription also says how far the entry has read what operators publish, so that
// a side process which waits at the log for something new learns of it in time also
// when its connection to the log fell silent.
//
// # Example
//
//	l, err := pulse.Listen(pulse.ListenerConfig{Address: "10.0.0.1:7712", Port: 7712, OnPulse: …})
//	go l.Run(ctx)
package pulse

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/pause"
	"boragehub/resident"
)

// Pulse is how much an engine has to do.
type Pulse struct {
	// Engine is the engine's address.
	Engine string `cbor:"1,keyasint"`
	// Sequence rises with each pulse of one start of the side process; Start is
	// when that began, in ns of its clock.
	Sequence uint64 `cbor:"2,keyasint"`
	Start    int64  `cbor:"3,keyasint"`
	// Running and Waiting are the engine's requests.
	Running int `cbor:"4,keyasint"`
	Waiting int `cbor:"5,keyasint"`
	// UsedTokens is the memory that requests hold, of TotalTokens.
	UsedTokens  int `cbor:"7,keyasint"`
	TotalTokens int `cbor:"8,keyasint"`
	// Model and Version are what it has loaded.
	Model   string `cbor:"9,keyasint"`
	Version int64  `cbor:"10,keyasint"`
	// Clock is the engines' clock in ms when the engine was asked.
	Clock int64 `cbor:"12,keyasint,omitempty"`
	// Resident are the long parts of prompts in its memory.
	Resident []resident.Part `cbor:"11,keyasint,omitempty"`
	// Pace is the pause between two pulses that the listener asked for.
	Pace time.Duration `cbor:"-"`
}

// Subscription is what an entry sends to a side process.
type Subscription struct {
	// PaceMs is the pause between two pulses, zero for the shortest one.
	PaceMs int64 `cbor:"1,keyasint,omitempty"`
	// Known is how far the entry has read what operators publish.
	Known int64 `cbor:"2,keyasint,omitempty"`
}

// Has reports whether the engine has so many tokens of a part.
func (p Pulse) Has(key uint64, tokens int) bool {
	for _, r := range p.Resident {
		if r.Key == key {
			return r.Tokens >= tokens
		}
	}

	return false
}

// Timing.
const (
	// Every is the pause between two pulses. A long prompt is read in 0.1 to 0.4 s.
	Every = 100 * time.Millisecond
	// subscribeEvery is the pause between two subscriptions.
	subscribeEvery = time.Second
	// subscribed is how long one lasts, so that two may be lost.
	subscribed = 3500 * time.Millisecond
)

// What pulses may cost an entry. With an engine more each of them gets less of an
// entry's requests, so that its load is known well enough from fewer pulses. At a dozen
// engines pulses of 100, 200 and 400 ms gave a worth of 0.668, 0.658 and 0.643.
const (
	// mostPulses is how many pulses a second an entry gets at most.
	mostPulses = 240
	// leastPulses is how many it gets in the largest fleets: two kilobytes a second.
	leastPulses = 20
	// pulseEngines is how many engines there are when mostPulses begins to fall.
	pulseEngines = 64
)

// Share returns to how many of so many engines an entry subscribes, and at which pace.
func Share(engines int) (most int, pace time.Duration) {
	pulses := min(max(mostPulses*pulseEngines/max(engines, 1), leastPulses), mostPulses)
	most = min(engines, pulses, pulseEngines)
	pace = max(time.Duration((most*1000+pulses-1)/pulses)*time.Millisecond, Every)

	return most, pace
}

// Bounds.
const (
	// maxDatagram is more than a pulse has.
	maxDatagram = 512
	// maxSubscribers bounds the entries that one engine is told to.
	maxSubscribers = 64
)

// Engine tells what there is to tell of the engine beside this process.
type Engine interface {
	// Pulse asks the engine. Sequence and Start are the beacon's to set.
	Pulse(ctx context.Context, address string) (Pulse, error)
}

// BeaconConfig configures a Beacon.
type BeaconConfig struct {
	// Address is where subscriptions come in.
	Address string
	// Engine is asked, at EngineAddress.
	Engine        Engine
	EngineAddress string
	// Resident returns the long parts in its memory; nil tells none.
	Resident func() []resident.Part
	// OnSubscription gets how far an entry has read what operators publish; nil calls
	// nothing.
	OnSubscription func(known int64)
}

// Beacon sends an engine's pulse to its subscribers. Use NewBeacon.
type Beacon struct {
	cfg  BeaconConfig
	conn *net.UDPConn

	mu          sync.Mutex
	subscribers map[string]subscriber
}

type subscriber struct {
	address *net.UDPAddr
	until   time.Time
	pace    time.Duration
	next    time.Time // when its next pulse is due
}

// NewBeacon binds the address.
func NewBeacon(cfg BeaconConfig) (*Beacon, error) {
	conn, err := listen(cfg.Address)
	if err != nil {
		return nil, err
	}

	return &Beacon{cfg: cfg, conn: conn, subscribers: make(map[string]subscriber)}, nil
}

func listen(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}

	return net.ListenUDP("udp4", a)
}

// Run serves until ctx ends.
func (b *Beacon) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { closeConn(b.conn) })
	defer stop()

	go b.subscriptions(ctx)

	p := Pulse{Start: time.Now().UnixNano()}

	for pause.For(ctx, Every) {
		to := b.due(time.Now())
		if len(to) == 0 {
			continue
		}

		c, cancel := context.WithTimeout(ctx, Every)
		next, err := b.cfg.Engine.Pulse(c, b.cfg.EngineAddress)

		cancel()

		if err != nil {
			continue // silence tells the entries
		}

		next.Engine, next.Start, next.Sequence = b.cfg.EngineAddress, p.Start, p.Sequence+1
		if b.cfg.Resident != nil {
			next.Resident = b.cfg.Resident()
		}

		p = next
		b.send(p, to)
	}
}

// closeConn ends the reads of a connection; closing it twice does no harm.
func closeConn(c *net.UDPConn) {
	//nolint:errcheck,gosec // see above
	c.Close()
}

// subscriptions takes subscriptions until the connection is closed.
func (b *Beacon) subscriptions(ctx context.Context) {
	buf := make([]byte, maxDatagram)

	for ctx.Err() == nil {
		n, from, err := b.conn.ReadFromUDP(buf)
		if err != nil {
			if !pause.For(ctx, Every) {
				return
			}

			continue
		}

		var s Subscription
		if cbor.Unmarshal(buf[:n], &s) != nil {
			s = Subscription{}
		}

		b.subscribe(time.Now(), from, s)

		if b.cfg.OnSubscription != nil {
			b.cfg.OnSubscription(s.Known)
		}
	}
}

func (b *Beacon) subscribe(now time.Time, from *net.UDPAddr, s Subscription) {
	b.mu.Lock()
	defer b.mu.Unlock()

	old, ok := b.subscribers[from.String()]
	if !ok && len(b.subscribers) >= maxSubscribers {
		return
	}

	old.address, old.until, old.pace = from, now.Add(subscribed), time.Duration(s.PaceMs)*time.Millisecond
	b.subscribers[from.String()] = old
}

// due returns the subscribers whose next pulse is due.
func (b *Beacon) due(now time.Time) []*net.UDPAddr {
	b.mu.Lock()
	defer b.mu.Unlock()

	var all []*net.UDPAddr

	for name, s := range b.subscribers {
		if now.After(s.until) {
			delete(b.subscribers, name)

			continue
		}

		// The beacon looks once in Every, so what falls due before the next look is
		// due by half of that.
		if now.Add(Every / 2).Before(s.next) {
			continue
		}

		s.next = now.Add(s.pace)
		b.subscribers[name] = s
		all = append(all, s.address)
	}

	return all
}

// send sends a pulse. A datagram that can't be sent is as good as one that is lost.
func (b *Beacon) send(p Pulse, to []*net.UDPAddr) {
	body, err := cbor.Marshal(p)
	if err != nil {
		return // a struct of strings and numbers always has a form
	}

	for _, a := range to {
		//nolint:errcheck,gosec // see above
		b.conn.WriteToUDP(body, a)
	}
}

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	// Address is where pulses come in.
	Address string
	// Port is the port of side processes' beacons.
	Port int
	// Engines returns the addresses of the engines to subscribe to, and the pause
	// between two pulses of one.
	Engines func() (addresses []string, pace time.Duration)
	// Known returns how far this process has read what operators publish; nil tells
	// nothing.
	Known func() int64
	// OnPulse gets each pulse, newest last, from one goroutine.
	OnPulse func(now time.Time, p Pulse)
}

// Listener subscribes to engines and takes their pulses. Use Listen.
type Listener struct {
	cfg  ListenerConfig
	conn *net.UDPConn
	seen map[string]Pulse
	pace atomic.Int64 // in ns, as asked for last
}

// Listen binds the address.
func Listen(cfg ListenerConfig) (*Listener, error) {
	conn, err := listen(cfg.Address)
	if err != nil {
		return nil, err
	}

	return &Listener{cfg: cfg, conn: conn, seen: make(map[string]Pulse)}, nil
}

// Run subscribes and listens until ctx ends.
func (l *Listener) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { closeConn(l.conn) })
	defer stop()

	go l.subscribe(ctx)

	buf := make([]byte, maxDatagram)

	for ctx.Err() == nil {
		n, _, err := l.conn.ReadFromUDP(buf)
		if err != nil {
			pause.For(ctx, Every)

			continue
		}

		var p Pulse
		if cbor.Unmarshal(buf[:n], &p) != nil || !l.newer(p) {
			continue
		}

		p.Pace = time.Duration(l.pace.Load())
		l.cfg.OnPulse(time.Now(), p)
	}
}

// newer reports whether a pulse is newer than those seen: datagrams may overtake
// each other.
func (l *Listener) newer(p Pulse) bool {
	old, ok := l.seen[p.Engine]
	if ok && (p.Start < old.Start || (p.Start == old.Start && p.Sequence <= old.Sequence)) {
		return false
	}

	const maxSeen = 4096
	if len(l.seen) >= maxSeen {
		clear(l.seen)
	}

	l.seen[p.Engine] = p

	return true
}

// subscribe subscribes to the engines now and then.
func (l *Listener) subscribe(ctx context.Context) {
	for {
		engines, pace := l.cfg.Engines()
		l.pace.Store(int64(pace))

		body := l.subscription(pace)

		for _, engine := range engines {
			host, _, err := net.SplitHostPort(engine)
			if err != nil {
				continue
			}

			//nolint:errcheck,gosec // the next one may arrive
			l.conn.WriteToUDP(body, &net.UDPAddr{IP: net.ParseIP(host), Port: l.cfg.Port})
		}

		every := subscribeEvery
		if len(engines) == 0 {
			// The register was not read yet.
			every = Every
		}

		if !pause.For(ctx, every) {
			return
		}
	}
}

// subscription returns what is sent to engines.
func (l *Listener) subscription(pace time.Duration) []byte {
	s := Subscription{PaceMs: pace.Milliseconds()}
	if l.cfg.Known != nil {
		s.Known = l.cfg.Known()
	}

	body, err := cbor.Marshal(s)
	if err != nil {
		return []byte{0} // two numbers always have a form
	}

	return body
}
