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

// stopWait bounds how long a stopping server waits for conversations.
const stopWait = 10 * time.Second

// stoppable is a server that stops as a process does that got SIGTERM.
type stoppable struct {
	*Server

	cancel context.CancelFunc
	ended  chan struct{}
}

func serveUntilStopped(t *testing.T, cfg Config, h Handler) *stoppable {
	t.Helper()

	s, err := Listen(cfg, "127.0.0.1:0", logr.Discard())
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())
	p := &stoppable{s, cancel, make(chan struct{})}

	go func() {
		defer close(p.ended)

		if err := s.Serve(ctx, h); err != nil {
			t.Errorf("got %v, want no error", err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		s.Close()
		<-p.ended
	})

	return p
}

// stop stops the server, and is done when the process would be gone.
func (p *stoppable) stop() (done <-chan struct{}) {
	gone := make(chan struct{})

	go func() {
		defer close(gone)

		ctx, cancel := context.WithTimeout(context.Background(), stopWait)
		defer cancel()

		p.Shutdown(ctx)
		p.cancel()
		<-p.ended
	}()

	return gone
}

// names keeps the names of what a handler was asked for.
type names struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (n *names) add(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.seen[name] = true
}

func (n *names) has(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.seen[name]
}

// viewed answers message.View by its name, and notes the name before.
func viewed(n *names) Handler {
	return func(_ context.Context, _ Identity, s *Stream) {
		m, err := s.Receive()
		if err != nil {
			return
		}

		v, err := message.Expect[message.View](m)
		if err != nil {
			return
		}

		n.add(v.Name)

		_ = s.Send(message.Viewed{JSON: []byte(v.Name)})
	}
}

// converse asks for a view by name; opened is false when no conversation could be
// opened, so that nothing was sent.
func converse(d *Dialer, a Address, name string) (opened bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	s, err := d.Open(ctx, a)
	if err != nil {
		return false, err
	}

	defer s.Close()

	if err := s.Send(message.View{Name: name}); err != nil {
		return true, err
	}

	m, err := s.Receive()
	if err != nil {
		return true, err
	}

	v, err := message.Expect[message.Viewed](m)
	if err == nil && string(v.JSON) != name {
		err = failure.New(failure.Internal, "got the answer to %q", v.JSON)
	}

	return true, err
}

// A side process is stopped while entries go on with their conversations on the
// connections that they keep. What it has not looked at any more was not run, but the
// entry only hears nothing, for two seconds; then it has to tell its caller that
// the booking may have been made.
func TestStoppingServerLeavesNoConversationInDoubt(t *testing.T) {
	const entries, lanes = 4, 4

	a := authority(t)
	ran := &names{seen: map[string]bool{}}
	s := serveUntilStopped(t, quick(keysOf(t, a, "engine-1", "side")), viewed(ran))
	to := Address{VM: "engine-1", Addr: s.Addr()}

	var warm, all sync.WaitGroup

	for i := range entries {
		d := dialer(t, quick(keysOf(t, a, fmt.Sprintf("entry-%d", i), "entry")))

		for j := range lanes {
			warm.Add(1)
			all.Go(func() {
				for n := 0; ; n++ {
					name := fmt.Sprintf("booking %d of lane %d of entry %d", n, j, i)

					opened, err := converse(d, to, name)
					if n == 0 {
						warm.Done()
					}

					if err == nil {
						continue
					}

					if opened && failure.KindOf(err).Answer().Ran != failure.NotRun {
						t.Errorf("%s: got %v, want an answer or a refusal", name, err)
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

// Between the end of its last conversation and its own end a stopping process still
// has things to put away. A conversation that is begun in between reaches a
// process that looks at nothing any more.
func TestConversationAfterTheLastOneIsRefused(t *testing.T) {
	a := authority(t)
	ran := &names{seen: map[string]bool{}}
	s := serveUntilStopped(t, quick(keysOf(t, a, "engine-1", "side")), viewed(ran))
	to := Address{VM: "engine-1", Addr: s.Addr()}
	d := dialer(t, quick(keysOf(t, a, "entry-1", "entry")))

	if _, err := converse(d, to, "first"); err != nil {
		t.Fatal(err)
	}

	// Sent before the process ends and looked at by nobody, since nothing is accepted.
	s.cancel()
	<-s.ended

	refused := make(chan error, 1)

	go func() {
		opened, err := converse(d, to, "second")
		if opened && err != nil && failure.KindOf(err).Answer().Ran != failure.NotRun {
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

// The datagrams with the last answer are lost on their way, as on a full link, and
// the process that would send them again has gone: the caller of a booking that
// was made hears nothing of it.
func TestLastAnswerIsSentAgain(t *testing.T) {
	a := authority(t)
	asked, release, answered := make(chan struct{}), make(chan struct{}), make(chan struct{})
	cfg := quick(keysOf(t, a, "engine-1", "side"))
	cfg.Silence = stopWait
	s := serveUntilStopped(t, cfg, func(_ context.Context, _ Identity, st *Stream) {
		if _, err := st.Receive(); err != nil {
			return
		}

		close(asked)
		<-release

		_ = st.Send(message.Viewed{JSON: []byte("the booking")})

		close(answered)
	})
	between := newFlows(t, s.Addr())
	own := quick(keysOf(t, a, "entry-1", "entry"))
	own.Silence = stopWait
	d := dialer(t, own)
	heard := make(chan error, 1)

	go func() {
		_, err := converse(d, Address{VM: "engine-1", Addr: between.front.LocalAddr().String()}, "the booking")
		heard <- err
	}()

	<-asked
	between.drop(true)
	close(release)
	<-answered

	gone := s.stop()

	awaitEither(gone, func() bool { return between.drops() >= 4 })
	between.drop(false)

	if err := <-heard; err != nil {
		t.Errorf("got %v, want the answer", err)
	}

	<-gone
}

// An entry is held up for a moment and has not read the last answer, which lies in its
// machine's memory, when the process that gave it goes. Word that the connection is
// closed must not overtake the answer.
func TestSlowReaderGetsTheLastAnswer(t *testing.T) {
	a := authority(t)
	answered := make(chan struct{})
	s := serveUntilStopped(t, quick(keysOf(t, a, "engine-1", "side")), func(_ context.Context, _ Identity, st *Stream) {
		if _, err := st.Receive(); err != nil {
			return
		}

		_ = st.Send(message.Viewed{JSON: []byte("the booking")})

		close(answered)
	})

	st, err := dialer(t, quick(keysOf(t, a, "entry-1", "entry"))).Open(t.Context(), Address{VM: "engine-1", Addr: s.Addr()})
	if err != nil {
		t.Fatal(err)
	}

	if err := st.Send(message.View{Name: "the booking"}); err != nil {
		t.Fatal(err)
	}

	<-answered

	gone := s.stop()
	held := time.After(s.cfg.Silence / 4)

	awaitEither(gone, func() bool {
		select {
		case <-held:
			return true
		default:
			return false
		}
	})

	if _, err := st.Receive(); err != nil {
		t.Errorf("got %v, want the answer", err)
	}

	st.Close()
	<-gone
}

// awaitEither waits until done is closed or ok holds.
func awaitEither(done <-chan struct{}, ok func() bool) {
	for !ok() {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}
