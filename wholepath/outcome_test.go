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

// ownerOf returns the target whose side process owns a shard.
func (e *testEnv) ownerOf(shard int) *target {
	e.t.Helper()

	for _, p := range e.plainServices {
		for _, s := range p.deduplicator.OwnedShards() {
			if s == shard {
				return p
			}
		}
	}

	e.t.Fatalf("shard %d has no owner", shard)

	return nil
}

// bookWithRetries retries a booking until it is made, and checks that each response before
// says that it was not run.
func (e *testEnv) bookWithRetries(n *entryNode, key string) {
	for {
		r := e.book(n, key)
		if r.status == http.StatusOK {
			return
		}

		if r.ran != "not_run" {
			e.t.Errorf("%s: got %d %s, want a booking or a refusal", key, r.status, r.body)

			return
		}
	}
}

// checkBookedOnce checks that the booking of each key was made once.
func (e *testEnv) checkBookedOnce(keys []string) {
	e.t.Helper()

	made := map[string]int{}

	for _, p := range e.plainServices {
		for _, r := range p.plain.Runs() {
			made[r.IdempotencyKey]++
		}
	}

	for _, key := range keys {
		if got, want := made[key], 1; got != want {
			e.t.Errorf("%s: got %d bookings made, want %d", key, got, want)
		}
	}
}

// A side process has finished its last conversation and has not exited yet. An entry that
// does not know of the stop sends it a booking, which it no longer reads. The caller must
// not be told that the booking may have been made, and the booking must not count as one
// that crashed its target.
func TestBookingSentToExitingSideProcess(t *testing.T) {
	const key = "one-seat"

	env := start(t, envConfig{engines: 0, entries: 1, plainServices: 2})
	env.waitForOwners()

	draining := env.ownerOf(claim.Shard("desk-agents", key, claim.DefaultShards))
	decidedBefore := env.logs.count(`"shard"=`)

	var bookings sync.WaitGroup

	draining.process.beforeClose = func() {
		bookings.Go(func() { env.bookWithRetries(env.entries[0], key) })
		env.eventually("no claim was decided for the booking", func() bool { return env.logs.count(`"shard"=`) > decidedBefore })
	}

	env.drainSideProcess(draining)
	bookings.Wait()
	env.checkBookedOnce([]string{key})

	if got := env.logs.count("request_suspect"); got != 0 {
		t.Errorf("got %d suspects, want none", got)
	}
}

// Side processes are stopped while clients keep sending bookings and prompts, through
// entries that keep their connections to them until they exit. No caller may be left
// uncertain whether its request was run, and no request may count as one that crashed
// a target.
func TestSideProcessStopLeavesNoUncertainOutcome(t *testing.T) {
	const bookingClients, completionClients = 6, 6

	env := start(t, envConfig{engines: 2, entries: 2, plainServices: 2})
	env.waitForOwners()

	var (
		load loadGenerator
		mu   sync.Mutex
		keys []string
	)

	for i := range bookingClients {
		load.addClient(func(j int) {
			key := fmt.Sprintf("booking-%d-%d", i, j)
			env.bookWithRetries(env.entries[i%len(env.entries)], key)

			mu.Lock()
			defer mu.Unlock()

			keys = append(keys, key)
		})
	}

	for i := range completionClients {
		load.addClient(func(j int) {
			env.checkCompletion(env.entries[i%len(env.entries)], fmt.Sprintf("rider %d asks for the %d. time", i, j))
		})
	}

	load.runDuring(func() {
		env.drainSideProcess(env.plainServices[0])
		env.drainSideProcess(env.engines[0])
	})
	env.checkBookedOnce(keys)

	if got := env.logs.count("request_suspect"); got != 0 {
		t.Errorf("got %d suspects, want none", got)
	}
}

// An entry stops while another one queries it for the location of a context on the
// connection between them. A request at the other entry waits for the response before its
// prompt is sent to an engine, so the query must be answered or refused: without either, the
// first token is delayed.
func TestStoppingEntryAnswersOrRefusesPeerQueries(t *testing.T) {
	env := start(t, envConfig{engines: 1, entries: 2})
	leaving, asking := env.entries[0].process, env.entries[1].process
	to := peer.Address{VM: "entry-1", Addr: leaving.server.Addr()}

	if _, err := asking.dialer.Call(t.Context(), to, message.Locate{}); err != nil {
		t.Fatal(err)
	}

	var requests sync.WaitGroup

	leaving.beforeClose = func() {
		s, err := asking.dialer.Open(t.Context(), to)
		if err != nil {
			return // nothing was sent
		}

		if err := s.Send(message.Locate{}); err != nil {
			t.Errorf("got %v, want the query sent", err)
		}

		requests.Go(func() {
			defer s.Close()

			if _, err := s.Receive(); err != nil && failure.KindOf(err) != failure.Draining {
				t.Errorf("got %v, want a response or a refusal", err)
			}
		})
	}

	env.stopEntry(env.entries[0])
	requests.Wait()
}
