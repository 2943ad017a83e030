package peer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/failure"
	"boragehub/message"
)

// shutdownTimeout bounds how long a stopping server waits for streams in flight.
const shutdownTimeout = 10 * time.Second

// stoppableServer is a server that stops like a process that got SIGTERM.
type stoppableServer struct {
	*Server

	cancel context.CancelFunc
	served chan struct{}
}

func serveUntilStopped(t *testing.T, cfg Config, h Handler) *stoppableServer {
	t.Helper()

	s, err := Listen(cfg, "127.0.0.1:0", logr.Discard())
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())
	p := &stoppableServer{s, cancel, make(chan struct{})}

	go func() {
		defer close(p.served)

		if err := s.Serve(ctx, h); err != nil {
			t.Errorf("got %v, want no error", err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		s.Close()
		<-p.served
	})

	return p
}

// stop shuts the server down; done is closed when the process would have ended.
func (p *stoppableServer) stop() (done <-chan struct{}) {
	stopped := make(chan struct{})

	go func() {
		defer close(stopped)

		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()

		p.Shutdown(ctx)
		p.cancel()
		<-p.served
	}()

	return stopped
}

// nameSet holds the names of the documents that a handler received requests for.
type nameSet struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (n *nameSet) add(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.seen[name] = true
}

func (n *nameSet) has(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.seen[name]
}

// documentHandler returns a Handler that records the name in a message.DocumentRequest
// in n and then responds with it.
func documentHandler(n *nameSet) Handler {
	return func(_ context.Context, _ Identity, s *Stream) {
		m, err := s.Receive()
		if err != nil {
			return
		}

		v, err := message.Expect[message.DocumentRequest](m)
		if err != nil {
			return
		}

		n.add(v.Name)

		_ = s.Send(message.Document{JSON: []byte(v.Name)})
	}
}

// requestDocument requests a document by name; opened is false if no stream could be opened,
// so that nothing was sent.
func requestDocument(d *Dialer, a Address, name string) (opened bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	s, err := d.Open(ctx, a)
	if err != nil {
		return false, err
	}

	defer s.Close()

	if err := s.Send(message.DocumentRequest{Name: name}); err != nil {
		return true, err
	}

	m, err := s.Receive()
	if err != nil {
		return true, err
	}

	v, err := message.Expect[message.Document](m)
	if err == nil && string(v.JSON) != name {
		err = failure.New(failure.Internal, "got the response to %q", v.JSON)
	}

	return true, err
}

// A side process stops while entries keep sending requests on their open connections.
// The requests that it did not process were not run, but without a refusal an entry
// times out after two seconds and has to tell its caller that the booking may have
// been made.
func TestShutdownReportsUnprocessedRequests(t *testing.T) {
	const entries, workers = 4, 4

	a := newAuthority(t)
	ran := &nameSet{seen: map[string]bool{}}
	s := serveUntilStopped(t, testConfig(tlsConfigFor(t, a, "engine-1", "side")), documentHandler(ran))
	to := Address{VM: "engine-1", Addr: s.Addr()}

	var warm, all sync.WaitGroup

	for i := range entries {
		d := newTestDialer(t, testConfig(tlsConfigFor(t, a, fmt.Sprintf("entry-%d", i), "entry")))

		for j := range workers {
			warm.Add(1)
			all.Go(func() {
				for n := 0; ; n++ {
					name := fmt.Sprintf("booking %d of worker %d of entry %d", n, j, i)

					opened, err := requestDocument(d, to, name)
					if n == 0 {
						warm.Done()
					}

					if err == nil {
						continue
					}

					if opened && failure.KindOf(err).Response().Ran != failure.NotRun {
						t.Errorf("%s: got %v, want a response or a refusal", name, err)
					}

					if ran.has(name) {
						t.Errorf("%s: got %v though it was run", name, err)
					}

					return
				}
			})
		}
	}

	warm.Wait()
	<-s.stop()
	all.Wait()
}

// Between its last stream and its exit a stopping process still releases resources. A
// stream opened in that time reaches a process that accepts no streams any more.
func TestStreamAfterLastOneIsRefused(t *testing.T) {
	a := newAuthority(t)
	ran := &nameSet{seen: map[string]bool{}}
	s := serveUntilStopped(t, testConfig(tlsConfigFor(t, a, "engine-1", "side")), documentHandler(ran))
	to := Address{VM: "engine-1", Addr: s.Addr()}
	d := newTestDialer(t, testConfig(tlsConfigFor(t, a, "entry-1", "entry")))

	if _, err := requestDocument(d, to, "first"); err != nil {
		t.Fatal(err)
	}

	// The second request is sent before the process ends and never processed, since
	// Serve has returned and accepts no stream.
	s.cancel()
	<-s.served

	refused := make(chan error, 1)

	go func() {
		opened, err := requestDocument(d, to, "second")
		if opened && err != nil && failure.KindOf(err).Response().Ran != failure.NotRun {
			refused <- err

			return
		}

		refused <- nil
	}()

	<-s.stop()

	if err := <-refused; err != nil {
		t.Errorf("got %v, want a refusal", err)
	}
}

// The datagrams with the last response are lost, as on a congested link. If the process
// exits before it retransmits them, the caller of a booking that was made gets no
// response.
func TestLastResponseIsRetransmitted(t *testing.T) {
	a := newAuthority(t)
	requested, release, responded := make(chan struct{}), make(chan struct{}), make(chan struct{})
	cfg := testConfig(tlsConfigFor(t, a, "engine-1", "side"))
	cfg.StreamTimeout = shutdownTimeout
	s := serveUntilStopped(t, cfg, func(_ context.Context, _ Identity, st *Stream) {
		if _, err := st.Receive(); err != nil {
			return
		}

		close(requested)
		<-release

		_ = st.Send(message.Document{JSON: []byte("the booking")})

		close(responded)
	})
	proxy := newNATProxy(t, s.Addr())
	clientCfg := testConfig(tlsConfigFor(t, a, "entry-1", "entry"))
	clientCfg.StreamTimeout = shutdownTimeout
	d := newTestDialer(t, clientCfg)
	result := make(chan error, 1)

	go func() {
		_, err := requestDocument(d, Address{VM: "engine-1", Addr: proxy.front.LocalAddr().String()}, "the booking")
		result <- err
	}()

	<-requested
	proxy.setDropping(true)
	close(release)
	<-responded

	stopped := s.stop()

	waitUntil(stopped, func() bool { return proxy.droppedCount() >= 4 })
	proxy.setDropping(false)

	if err := <-result; err != nil {
		t.Errorf("got %v, want the response", err)
	}

	<-stopped
}

// An entry is delayed and has not read the last response from its receive buffer when
// the process that sent it exits. The close of the connection must not discard the
// response.
func TestSlowReaderGetsLastResponse(t *testing.T) {
	a := newAuthority(t)
	responded := make(chan struct{})
	s := serveUntilStopped(t, testConfig(tlsConfigFor(t, a, "engine-1", "side")), func(_ context.Context, _ Identity, st *Stream) {
		if _, err := st.Receive(); err != nil {
			return
		}

		_ = st.Send(message.Document{JSON: []byte("the booking")})

		close(responded)
	})

	st, err := newTestDialer(t, testConfig(tlsConfigFor(t, a, "entry-1", "entry"))).Open(t.Context(), Address{VM: "engine-1", Addr: s.Addr()})
	if err != nil {
		t.Fatal(err)
	}

	if err := st.Send(message.DocumentRequest{Name: "the booking"}); err != nil {
		t.Fatal(err)
	}

	<-responded

	stopped := s.stop()
	delay := time.After(s.cfg.StreamTimeout / 4)

	waitUntil(stopped, func() bool {
		select {
		case <-delay:
			return true
		default:
			return false
		}
	})

	if _, err := st.Receive(); err != nil {
		t.Errorf("got %v, want the response", err)
	}

	st.Close()
	<-stopped
}

// waitUntil waits until done is closed or ok returns true.
func waitUntil(done <-chan struct{}, ok func() bool) {
	for !ok() {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}
