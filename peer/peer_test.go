package peer

import (
	"context"
	"crypto/tls"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/certificate"
	"boragehub/failure"
	"boragehub/message"
)

// quick are the timings of the tests; no assertion depends on how long one takes.
func quick(t *tls.Config) Config {
	return Config{TLS: t, Beat: 20 * time.Millisecond, Silence: 200 * time.Millisecond, DialTimeout: 2 * time.Second}
}

// keysOf returns the TLS settings of a process whose certificate a signed.
func keysOf(t *testing.T, a *certificate.Authority, vm, role string) *tls.Config {
	t.Helper()

	dir := t.TempDir()

	if err := a.Write(dir); err != nil {
		t.Fatal(err)
	}

	pair, err := a.Issue(time.Now(), certificate.Subject{VM: vm, Role: role})
	if err != nil {
		t.Fatal(err)
	}

	if err := pair.Write(dir, vm); err != nil {
		t.Fatal(err)
	}

	k, err := certificate.NewKeeper(certificate.KeeperConfig{
		CAFile:          filepath.Join(dir, certificate.AuthorityFile),
		CertificateFile: filepath.Join(dir, vm+".pem"),
		KeyFile:         filepath.Join(dir, vm+".key"),
		Protocols:       []string{Protocol},
	})
	if err != nil {
		t.Fatal(err)
	}

	return k.TLS()
}

func authority(t *testing.T) *certificate.Authority {
	t.Helper()

	a, err := certificate.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}

	return a
}

// serve starts a server that answers by h until the test ends.
func serve(t *testing.T, cfg Config, h Handler) *Server {
	t.Helper()

	s, err := Listen(cfg, "127.0.0.1:0", logr.Discard())
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())

	var done sync.WaitGroup

	done.Go(func() { _ = s.Serve(ctx, h) })
	t.Cleanup(func() {
		cancel()
		s.Close()
		done.Wait()
	})

	return s
}

func answerAck(_ context.Context, _ Identity, s *Stream) {
	if _, err := s.Receive(); err == nil {
		_ = s.Send(message.Ack{})
	}
}

func dialer(t *testing.T, cfg Config) *Dialer {
	t.Helper()

	d := NewDialer(cfg, logr.Discard())
	t.Cleanup(d.Close)

	return d
}

func ask(d *Dialer, a Address) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	m, err := d.Ask(ctx, a, message.Ask{})
	if err != nil {
		return err
	}

	_, err = message.Expect[message.Ack](m)

	return err
}

func TestPeersKnowEachOther(t *testing.T) {
	a := authority(t)
	seen := make(chan Identity, 1)
	s := serve(t, quick(keysOf(t, a, "engine-1", "side")), func(ctx context.Context, from Identity, st *Stream) {
		seen <- from

		answerAck(ctx, from, st)
	})
	d := dialer(t, quick(keysOf(t, a, "entry-1", "entry")))

	if err := ask(d, Address{VM: "engine-1", Addr: s.Addr()}); err != nil {
		t.Fatal(err)
	}

	if got, want := <-seen, (Identity{VM: "entry-1", Role: "entry"}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Somebody with a certificate of another authority, or a process that listens on
// an address that used to be another VM's, would read callers' prompts.
func TestStrangersGetNothing(t *testing.T) {
	a, other := authority(t), authority(t)
	s := serve(t, quick(keysOf(t, a, "engine-1", "side")), func(_ context.Context, _ Identity, _ *Stream) {
		t.Error("got a conversation with a stranger, want none")
	})

	cases := []struct {
		name string
		keys *tls.Config
		vm   string
	}{
		{"another authority", keysOf(t, other, "entry-1", "entry"), "engine-1"},
		{"another VM's name", keysOf(t, a, "entry-1", "entry"), "engine-2"},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := ask(dialer(t, quick(c.keys)), Address{VM: c.vm, Addr: s.Addr()})
			if got, want := failure.KindOf(err), failure.TargetLost; err == nil || got != want {
				t.Errorf("got %v (%v), want %v", got, err, want)
			}
		})
	}
}

// A peer thinks for longer than the time of silence. Its beats say that it
// lives; without them a long prefill would be taken for a dead engine.
func TestBusyPeerIsNotSilent(t *testing.T) {
	a := authority(t)

	// Slower than in other tests, beats and silence alike: on a busy machine a process may
	// not come to run for a fifth of a second.
	slowly := func(cfg Config) Config {
		cfg.Silence *= 10
		cfg.Beat *= 10

		return cfg
	}
	cfg := slowly(quick(keysOf(t, a, "engine-1", "side")))
	s := serve(t, cfg, func(ctx context.Context, from Identity, st *Stream) {
		if _, err := st.Receive(); err != nil {
			return
		}

		busy := time.NewTimer(3 * cfg.Silence)
		defer busy.Stop()

		<-busy.C

		_ = st.Send(message.Ack{})
	})

	d := dialer(t, slowly(quick(keysOf(t, a, "entry-1", "entry"))))
	if err := ask(d, Address{VM: "engine-1", Addr: s.Addr()}); err != nil {
		t.Errorf("got %v, want no error", err)
	}
}

// flows passes datagrams between a dialer and a server, as a machine on the way
// does that keeps track of flows, and can lose track of those that it has. It can
// also drop what the server sends.
type flows struct {
	t      *testing.T
	front  *net.UDPConn
	server *net.UDPAddr

	mu       sync.Mutex
	known    map[string]*net.UDPConn
	lost     map[string]bool
	dropping bool
	dropped  int
}

func newFlows(t *testing.T, server string) *flows {
	t.Helper()

	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}

	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}

	f := &flows{t: t, front: front, server: to, known: map[string]*net.UDPConn{}, lost: map[string]bool{}}

	go f.forward()
	t.Cleanup(f.close)

	return f
}

func (f *flows) close() {
	_ = f.front.Close()

	f.mu.Lock()
	defer f.mu.Unlock()

	for _, c := range f.known {
		_ = c.Close()
	}
}

// forget loses track of all flows that are open now.
func (f *flows) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()

	for from := range f.known {
		f.lost[from] = true
	}
}

// drop begins or ends dropping what the server sends.
func (f *flows) drop(dropping bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.dropping = dropping
}

// drops returns how many datagrams of the server were dropped.
func (f *flows) drops() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.dropped
}

func (f *flows) forward() {
	buf := make([]byte, 64<<10)

	for {
		n, from, err := f.front.ReadFromUDP(buf)
		if err != nil {
			return
		}

		if c := f.flow(from); c != nil {
			_, _ = c.Write(buf[:n])
		}
	}
}

func (f *flows) flow(from *net.UDPAddr) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.lost[from.String()] {
		return nil
	}

	c := f.known[from.String()]
	if c == nil {
		var err error

		c, err = net.DialUDP("udp", nil, f.server)
		if err != nil {
			return nil
		}

		f.known[from.String()] = c

		go f.back(c, from)
	}

	return c
}

func (f *flows) back(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 64<<10)

	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}

		if f.passes(to.String()) {
			_, _ = f.front.WriteToUDP(buf[:n], to)
		}
	}
}

// passes reports whether a datagram of the server reaches a dialer.
func (f *flows) passes(to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.dropping {
		f.dropped++
	}

	return !f.dropping && !f.lost[to]
}

// A machine between the ends loses track of an open connection: nothing fails,
// nothing arrives any more, and new connections work. A caller would wait until
// its deadline, and so would the next one on the same connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a := authority(t)
	s := serve(t, quick(keysOf(t, a, "engine-1", "side")), answerAck)
	between := newFlows(t, s.Addr())
	d := dialer(t, quick(keysOf(t, a, "entry-1", "entry")))
	to := Address{VM: "engine-1", Addr: between.front.LocalAddr().String()}

	if err := ask(d, to); err != nil {
		t.Fatalf("before: %v", err)
	}

	between.forget()

	err := ask(d, to)
	if got, want := failure.KindOf(err), failure.TargetLost; err == nil || got != want {
		t.Errorf("on the silent connection: got %v (%v), want %v", got, err, want)
	}

	if err := ask(d, to); err != nil {
		t.Errorf("after: got %v, want an answer on a new connection", err)
	}
}

// A process dies and another takes its address. The dialer still holds the old
// connection, and its next conversation must not be lost to it.
func TestRestartedPeerIsReached(t *testing.T) {
	a := authority(t)
	keys := quick(keysOf(t, a, "engine-1", "side"))

	first, err := Listen(keys, "127.0.0.1:0", logr.Discard())
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	go func() { _ = first.Serve(ctx, answerAck) }()

	d := dialer(t, quick(keysOf(t, a, "entry-1", "entry")))
	to := Address{VM: "engine-1", Addr: first.Addr()}

	if err := ask(d, to); err != nil {
		t.Fatalf("before: %v", err)
	}

	first.Close()

	second, err := Listen(keys, to.Addr, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}

	defer second.Close()

	go func() { _ = second.Serve(ctx, answerAck) }()

	_ = ask(d, to) // may still meet the old connection

	if err := ask(d, to); err != nil {
		t.Errorf("after: got %v, want an answer", err)
	}
}

// A caller goes away. The run must end at the engine, or its place would stay
// taken for nobody.
func TestCancelReachesThePeer(t *testing.T) {
	a := authority(t)
	begun, ended := make(chan struct{}), make(chan struct{})
	s := serve(t, quick(keysOf(t, a, "engine-1", "side")), func(_ context.Context, _ Identity, st *Stream) {
		if _, err := st.Receive(); err != nil {
			return
		}

		close(begun)
		<-st.Context().Done()
		close(ended)
	})
	d := dialer(t, quick(keysOf(t, a, "entry-1", "entry")))

	st, err := d.Open(context.Background(), Address{VM: "engine-1", Addr: s.Addr()})
	if err != nil {
		t.Fatal(err)
	}

	if err := st.Send(message.Ask{}); err != nil {
		t.Fatal(err)
	}

	<-begun
	st.Cancel()
	<-ended
}
