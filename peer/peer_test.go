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

// testConfig returns a Config with short times; no assertion depends on their length.
func testConfig(t *tls.Config) Config {
	return Config{TLS: t, HeartbeatInterval: 20 * time.Millisecond, StreamTimeout: 200 * time.Millisecond, DialTimeout: 2 * time.Second}
}

// tlsConfigFor returns the TLS configuration of a process whose certificate a signed.
func tlsConfigFor(t *testing.T, a *certificate.Authority, vm, role string) *tls.Config {
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

	k, err := certificate.NewReloader(certificate.ReloaderConfig{
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

func newAuthority(t *testing.T) *certificate.Authority {
	t.Helper()

	a, err := certificate.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}

	return a
}

// serve starts a server with handler h that runs until the test ends.
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

func respondAck(_ context.Context, _ Identity, s *Stream) {
	if _, err := s.Receive(); err == nil {
		_ = s.Send(message.Ack{})
	}
}

func newTestDialer(t *testing.T, cfg Config) *Dialer {
	t.Helper()

	d := NewDialer(cfg, logr.Discard())
	t.Cleanup(d.Close)

	return d
}

func ask(d *Dialer, a Address) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	m, err := d.Call(ctx, a, message.StateRequest{})
	if err != nil {
		return err
	}

	_, err = message.Expect[message.Ack](m)

	return err
}

func TestServerIdentifiesPeer(t *testing.T) {
	a := newAuthority(t)
	seen := make(chan Identity, 1)
	s := serve(t, testConfig(tlsConfigFor(t, a, "engine-1", "side")), func(ctx context.Context, from Identity, st *Stream) {
		seen <- from

		respondAck(ctx, from, st)
	})
	d := newTestDialer(t, testConfig(tlsConfigFor(t, a, "entry-1", "entry")))

	if err := ask(d, Address{VM: "engine-1", Addr: s.Addr()}); err != nil {
		t.Fatal(err)
	}

	if got, want := <-seen, (Identity{VM: "entry-1", Role: "entry"}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// A client with a certificate of another authority, or a process that listens on an
// address that used to be another VM's, could otherwise read callers' prompts.
func TestUntrustedPeerIsRefused(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	s := serve(t, testConfig(tlsConfigFor(t, a, "engine-1", "side")), func(_ context.Context, _ Identity, _ *Stream) {
		t.Error("got a stream from an untrusted peer, want none")
	})

	cases := []struct {
		name string
		keys *tls.Config
		vm   string
	}{
		{"another authority", tlsConfigFor(t, other, "entry-1", "entry"), "engine-1"},
		{"another VM's name", tlsConfigFor(t, a, "entry-1", "entry"), "engine-2"},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := ask(newTestDialer(t, testConfig(c.keys)), Address{VM: c.vm, Addr: s.Addr()})
			if got, want := failure.KindOf(err), failure.TargetLost; err == nil || got != want {
				t.Errorf("got %v (%v), want %v", got, err, want)
			}
		})
	}
}

// A peer takes longer than StreamTimeout to respond. Its heartbeats keep the stream
// open; without them a long prefill would be taken for a dead engine.
func TestHeartbeatsKeepBusyStreamOpen(t *testing.T) {
	a := newAuthority(t)

	// Ten times the interval and timeout of the other tests: on a busy machine a process
	// may not be scheduled for 200 ms.
	slowConfig := func(cfg Config) Config {
		cfg.StreamTimeout *= 10
		cfg.HeartbeatInterval *= 10

		return cfg
	}
	cfg := slowConfig(testConfig(tlsConfigFor(t, a, "engine-1", "side")))
	s := serve(t, cfg, func(ctx context.Context, from Identity, st *Stream) {
		if _, err := st.Receive(); err != nil {
			return
		}

		busy := time.NewTimer(3 * cfg.StreamTimeout)
		defer busy.Stop()

		<-busy.C

		_ = st.Send(message.Ack{})
	})

	d := newTestDialer(t, slowConfig(testConfig(tlsConfigFor(t, a, "entry-1", "entry"))))
	if err := ask(d, Address{VM: "engine-1", Addr: s.Addr()}); err != nil {
		t.Errorf("got %v, want no error", err)
	}
}

// natProxy forwards datagrams between a dialer and a server like a NAT, which keeps
// state per flow. It can expire the state of its flows, and drop the datagrams that
// the server sends.
type natProxy struct {
	t       *testing.T
	front   *net.UDPConn
	backend *net.UDPAddr

	mu       sync.Mutex
	flows    map[string]*net.UDPConn
	expired  map[string]bool
	dropping bool
	dropped  int
}

func newNATProxy(t *testing.T, server string) *natProxy {
	t.Helper()

	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}

	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}

	f := &natProxy{t: t, front: front, backend: to, flows: map[string]*net.UDPConn{}, expired: map[string]bool{}}

	go f.forward()
	t.Cleanup(f.close)

	return f
}

func (f *natProxy) close() {
	_ = f.front.Close()

	f.mu.Lock()
	defer f.mu.Unlock()

	for _, c := range f.flows {
		_ = c.Close()
	}
}

// expireFlows drops the state of all flows that are open now.
func (f *natProxy) expireFlows() {
	f.mu.Lock()
	defer f.mu.Unlock()

	for from := range f.flows {
		f.expired[from] = true
	}
}

// setDropping begins or ends dropping the datagrams that the server sends.
func (f *natProxy) setDropping(dropping bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.dropping = dropping
}

// droppedCount returns how many datagrams from the server were dropped.
func (f *natProxy) droppedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.dropped
}

func (f *natProxy) forward() {
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

func (f *natProxy) flow(from *net.UDPAddr) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.expired[from.String()] {
		return nil
	}

	c := f.flows[from.String()]
	if c == nil {
		var err error

		c, err = net.DialUDP("udp", nil, f.backend)
		if err != nil {
			return nil
		}

		f.flows[from.String()] = c

		go f.forwardReplies(c, from)
	}

	return c
}

func (f *natProxy) forwardReplies(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 64<<10)

	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}

		if f.allowsReply(to.String()) {
			_, _ = f.front.WriteToUDP(buf[:n], to)
		}
	}
}

// allowsReply reports whether a datagram of the server reaches a dialer.
func (f *natProxy) allowsReply(to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.dropping {
		f.dropped++
	}

	return !f.dropping && !f.expired[to]
}

// A middlebox loses the state of an open connection: no error is reported, nothing
// arrives any more, and new connections work. Without the timeout a caller would wait
// until its deadline, and so would the next one on the same connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	a := newAuthority(t)
	s := serve(t, testConfig(tlsConfigFor(t, a, "engine-1", "side")), respondAck)
	proxy := newNATProxy(t, s.Addr())
	d := newTestDialer(t, testConfig(tlsConfigFor(t, a, "entry-1", "entry")))
	to := Address{VM: "engine-1", Addr: proxy.front.LocalAddr().String()}

	if err := ask(d, to); err != nil {
		t.Fatalf("before: %v", err)
	}

	proxy.expireFlows()

	err := ask(d, to)
	if got, want := failure.KindOf(err), failure.TargetLost; err == nil || got != want {
		t.Errorf("on the unresponsive connection: got %v (%v), want %v", got, err, want)
	}

	if err := ask(d, to); err != nil {
		t.Errorf("after: got %v, want a response on a new connection", err)
	}
}

// A process ends and another listens on its address. The dialer still holds the old
// connection and must replace it.
func TestRestartedPeerIsReached(t *testing.T) {
	a := newAuthority(t)
	keys := testConfig(tlsConfigFor(t, a, "engine-1", "side"))

	first, err := Listen(keys, "127.0.0.1:0", logr.Discard())
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	go func() { _ = first.Serve(ctx, respondAck) }()

	d := newTestDialer(t, testConfig(tlsConfigFor(t, a, "entry-1", "entry")))
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

	go func() { _ = second.Serve(ctx, respondAck) }()

	_ = ask(d, to) // may still use the old connection

	if err := ask(d, to); err != nil {
		t.Errorf("after: got %v, want a response", err)
	}
}

// A caller disconnects. The run must end at the engine, or its batch slot would stay
// in use.
func TestCancelReachesThePeer(t *testing.T) {
	a := newAuthority(t)
	begun, ended := make(chan struct{}), make(chan struct{})
	s := serve(t, testConfig(tlsConfigFor(t, a, "engine-1", "side")), func(_ context.Context, _ Identity, st *Stream) {
		if _, err := st.Receive(); err != nil {
			return
		}

		close(begun)
		<-st.Context().Done()
		close(ended)
	})
	d := newTestDialer(t, testConfig(tlsConfigFor(t, a, "entry-1", "entry")))

	st, err := d.Open(context.Background(), Address{VM: "engine-1", Addr: s.Addr()})
	if err != nil {
		t.Fatal(err)
	}

	if err := st.Send(message.StateRequest{}); err != nil {
		t.Fatal(err)
	}

	<-begun
	st.Cancel()
	<-ended
}
