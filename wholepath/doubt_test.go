package wholepath

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"boragehub/claim"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/peer"
)

// homeOf returns the target beside which the home of a key's shard runs.
func (w *world) homeOf(shard int) *target {
	w.t.Helper()

	for _, p := range w.plains {
		for _, s := range p.homes.Homes() {
			if s == shard {
				return p
			}
		}
	}

	w.t.Fatalf("shard %d has no home", shard)

	return nil
}

// insistOnBooking books until the booking is made, and checks that each answer before
// says truthfully that it was not.
func (w *world) insistOnBooking(n *entryNode, key string) {
	for {
		r := w.book(n, key)
		if r.status == http.StatusOK {
			return
		}

		if r.ran != "not_run" {
			w.t.Errorf("%s: got %d %s, want a booking or a refusal", key, r.status, r.body)

			return
		}
	}
}

// wantBookings checks that each key was booked once.
func (w *world) wantBookings(keys []string) {
	w.t.Helper()

	made := map[string]int{}

	for _, p := range w.plains {
		for _, r := range p.plain.Runs() {
			made[r.Key]++
		}
	}

	for _, key := range keys {
		if got, want := made[key], 1; got != want {
			w.t.Errorf("%s: got %d bookings made, want %d", key, got, want)
		}
	}
}

// A side process has finished its last conversation and is still putting things away.
// An entry that has not heard of it sends a booking, which nobody looks at any more.
// The desk would be told that the seat may have been booked, and the booking would
// count as one that brings down what runs it.
func TestBookingThatMeetsTheEndOfASideProcess(t *testing.T) {
	const key = "one-seat"

	w := start(t, shape{engines: 0, entries: 1, plains: 2})
	w.homed()

	ends := w.homeOf(claim.Shard("desk-agents", key, claim.DefaultShards))
	decided := w.lines.count(`"shard"=`)

	var booked sync.WaitGroup

	ends.process.late = func() {
		booked.Go(func() { w.insistOnBooking(w.entries[0], key) })
		w.eventually("the booking goes nowhere", func() bool { return w.lines.count(`"shard"=`) > decided })
	}

	w.drain(ends)
	booked.Wait()
	w.wantBookings([]string{key})

	if got := w.lines.count("request_suspect"); got != 0 {
		t.Errorf("got %d suspects, want none", got)
	}
}

// A side process is stopped while desks go on booking and riders go on asking, through
// entries that keep their connections to it until it is gone. Nobody may be left in
// doubt whether his request was run, and none may count as one that crashed a target.
func TestStoppedSideProcessLeavesNothingInDoubt(t *testing.T) {
	const desks, riders = 6, 6

	w := start(t, shape{engines: 2, entries: 2, plains: 2})
	w.homed()

	var (
		c    crowd
		mu   sync.Mutex
		keys []string
	)

	for i := range desks {
		c.add(func(j int) {
			key := fmt.Sprintf("booking-%d-%d", i, j)
			w.insistOnBooking(w.entries[i%len(w.entries)], key)

			mu.Lock()
			defer mu.Unlock()

			keys = append(keys, key)
		})
	}

	for i := range riders {
		c.add(func(j int) {
			w.wantAnswer(w.entries[i%len(w.entries)], fmt.Sprintf("rider %d asks for the %d. time", i, j))
		})
	}

	c.during(func() {
		w.drain(w.plains[0])
		w.drain(w.engines[0])
	})
	w.wantBookings(keys)

	if got := w.lines.count("request_suspect"); got != 0 {
		t.Errorf("got %d suspects, want none", got)
	}
}

// An entry stops while another one asks it what it knows of a context, on the
// connection between them. A rider at the other entry waits for that answer before his
// prompt is given to an engine, so silence costs him time to his first token.
func TestLeavingEntryLeavesNoPeerInDoubt(t *testing.T) {
	w := start(t, shape{engines: 1, entries: 2})
	leaving, asks := w.entries[0].process, w.entries[1].process
	to := peer.Address{VM: "entry-1", Addr: leaving.server.Addr()}

	if _, err := asks.dialer.Ask(t.Context(), to, message.Locate{}); err != nil {
		t.Fatal(err)
	}

	var asked sync.WaitGroup

	leaving.late = func() {
		s, err := asks.dialer.Open(t.Context(), to)
		if err != nil {
			return // nothing was sent
		}

		if err := s.Send(message.Locate{}); err != nil {
			t.Errorf("got %v, want the question sent", err)
		}

		asked.Go(func() {
			defer s.Close()

			if _, err := s.Receive(); err != nil && failure.KindOf(err) != failure.Draining {
				t.Errorf("got %v, want an answer or a refusal", err)
			}
		})
	}

	w.leave(w.entries[0])
	asked.Wait()
}
