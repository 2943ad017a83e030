package wholepath

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"boragehub/claim"
	"boragehub/drain"
	"boragehub/standin/engine"
	"boragehub/vm"
)

// leave stops an entry as its process does on SIGTERM.
func (w *world) leave(n *entryNode) {
	w.t.Helper()

	ctx, cancel := context.WithTimeout(w.t.Context(), drainTimeout)
	defer cancel()

	n.Leave()

	left := n.callers.Drain(ctx, drain.Stop{Short: func(time.Time) bool { return n.Active() == 0 }})
	if left.Busy+left.Pending != 0 {
		w.t.Errorf("the entry's callers were cut off: got %+v", left)
	}

	n.process.server.Shutdown(ctx)
	n.process.end()
}

// drain stops a side process as its process does on SIGTERM.
func (w *world) drain(t *target) {
	w.t.Helper()

	ctx, cancel := context.WithTimeout(w.t.Context(), drainTimeout)
	defer cancel()

	t.side.Drain(ctx)

	if t.homes != nil {
		// In an outage of the log claims can't be handed over.
		_ = t.homes.Drain(ctx)
	}

	t.process.server.Shutdown(ctx)
	t.process.end()
}

// homed waits until each entry knows the home of every key, and returns how many
// bookings that took.
func (w *world) homed() int {
	w.t.Helper()

	keys := map[int]string{}
	for i := 0; len(keys) < claim.DefaultShards; i++ {
		key := fmt.Sprintf("warm-up-%d", i)
		keys[claim.Shard("desk-agents", key, claim.DefaultShards)] = key
	}

	for _, n := range w.entries {
		for _, key := range keys {
			w.eventually("the key has no home", func() bool { return w.book(n, key).status == http.StatusOK })
		}
	}

	return len(keys)
}

// book makes a booking under a key.
func (w *world) book(n *entryNode, key string) reply {
	return w.ask(n, http.MethodPost, "/v1/services/"+booking+"/bookings", "one seat, "+key,
		"Authorization", "Bearer "+desk, "Idempotency-Key", key)
}

// Parts of the system are stopped as planned while riders read long answers and
// one books a seat. Whoever was being served must notice nothing: an answer that
// breaks off on an ordinary day of restarts is a missed ferry.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	cases := []struct {
		name string
		stop []func(w *world)
	}{
		{"entry", []func(w *world){func(w *world) { w.leave(w.entries[0]) }}},
		{"side process of an engine", []func(w *world){func(w *world) { w.drain(w.engines[0]) }}},
		{"side process of a plain service", []func(w *world){func(w *world) { w.drain(w.plains[0]) }}},
		{"engine", []func(w *world){func(w *world) { w.engines[0].stop() }}},
		{"plain service", []func(w *world){func(w *world) { w.plains[0].stop() }}},
		{"entry and side process at once", []func(w *world){
			func(w *world) { w.leave(w.entries[0]) }, func(w *world) { w.drain(w.engines[0]) },
		}},
		{"all of one data centre at once", []func(w *world){
			func(w *world) { w.leave(w.entries[0]) }, func(w *world) { w.drain(w.engines[0]) },
			func(w *world) { w.drain(w.plains[0]) }, func(w *world) { w.engines[0].stop() },
		}},
		{"entry and side processes while the log is down", []func(w *world){
			func(w *world) {
				w.fault(w.logAddr, map[string]any{"down": true})
				w.leave(w.entries[0])
			},
			func(w *world) { w.drain(w.engines[0]) },
		}},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			stopUnderLoad(t, c.stop)
		})
	}
}

// stopUnderLoad makes planned stops while requests run, and checks that each
// request is answered and what comes later too.
func stopUnderLoad(t *testing.T, stops []func(w *world)) {
	const riders, tokens, bookings = 8, 80, 4

	w := start(t, shape{engines: 2, entries: 2, plains: 1, engine: func(_ int, cfg *engine.Config) { cfg.DecodeTokensPerSecond = 100 }})
	homed := w.homed()

	// All have to run at one moment. Left to their time, the first ones end before the
	// last ones begin on a busy machine, and the moment never comes.
	w.fault(w.plains[0].addr, map[string]any{"held": true})

	for _, e := range w.engines {
		w.fault(e.addr, map[string]any{"slow_factor": 50})
	}

	var all sync.WaitGroup

	for i := range riders {
		all.Go(func() {
			prompt := fmt.Sprintf("rider %d reads at length", i)

			got, err := w.entries[i%2].stream(t.Context(), desk, prompt, tokens)
			if want := engine.Answer(prompt, tokens); got != want || err != nil {
				t.Errorf("rider %d: got %q, %v, want %q", i, got, err, want)
			}
		})
	}

	for i := range bookings {
		all.Go(func() {
			key := fmt.Sprintf("booking-%d", i)
			if r := w.book(w.entries[i%2], key); r.status != http.StatusOK || !strings.Contains(r.body, key) {
				t.Errorf("%s: got %d %s, want a booking", key, r.status, r.body)
			}
		})
	}

	w.eventually("not all run", func() bool {
		return w.engines[0].engine.Running()+w.engines[1].engine.Running() == riders && w.plains[0].plain.Running() == bookings
	})

	w.fault(w.plains[0].addr, map[string]any{"held": false, "delay_ms": 400})

	for _, e := range w.engines {
		w.fault(e.addr, map[string]any{"slow_factor": 1})
	}

	for _, stop := range stops {
		all.Go(func() { stop(w) })
	}

	all.Wait()

	for _, n := range w.entries {
		if !n.Ready() {
			continue
		}

		if err := n.insist(t.Context(), "the next rider", tokens/10); err != nil {
			t.Errorf("after the stop: %v", err)
		}
	}

	if got, want := len(w.plains[0].plain.Runs()), bookings+homed; got != want {
		t.Errorf("got %d bookings made, want %d", got, want)
	}
}

// The platform lists an engine's VM as leaving while riders keep coming. Once the
// entries have heard it the engine must get nothing new, or its last rider is cut
// off when the VM goes.
func TestLeavingEngineGetsNothingNew(t *testing.T) {
	w := start(t, shape{engines: 2, entries: 2})
	leaving := w.engines[0]
	w.send(http.MethodPut, w.listURL+"/vms/"+leaving.vm, vm.VM{
		DataCentre: dataCentre, Kind: vm.Engine, Service: llm, Address: leaving.addr,
		SideAddress: leaving.process.server.Addr(), State: vm.Leaving,
	})
	w.eventually("the entries don't know who leaves", func() bool {
		return w.lines.count(`"reason"="listed_leaving"`) == len(w.entries)
	})

	before := len(leaving.engine.Runs())

	for i := range 40 {
		prompt := fmt.Sprintf("rider %d", i)

		got, err := w.entries[i%2].complete(t.Context(), desk, prompt, 4)
		if want := engine.Answer(prompt, 4); got != want || err != nil {
			t.Errorf("rider %d: got %q, %v, want %q", i, got, err, want)
		}
	}

	if got := len(leaving.engine.Runs()) - before; got != 0 {
		t.Errorf("the leaving engine got %d runs, want none", got)
	}
}

// An entry stops while riders and desks go on coming on the connections that they keep
// to it, until the balancer sends them elsewhere. One whose connection is closed under his
// request has neither an answer nor a refusal.
func TestLeavingEntryAnswersWhoeverKeepsAConnection(t *testing.T) {
	const desks, riders = 6, 6

	w := start(t, shape{engines: 2, entries: 2, plains: 1})
	w.homed()

	// Each asks the entry that leaves while it is ready, and the other one then.
	inRotation := func() *entryNode {
		if n := w.entries[0]; n.Ready() {
			return n
		}

		return w.entries[1]
	}

	var c crowd

	for i := range desks {
		c.add(func(j int) {
			key := fmt.Sprintf("booking-%d-%d", i, j)
			if r := w.book(inRotation(), key); r.status != http.StatusOK {
				t.Errorf("%s: got %d %s, want a booking", key, r.status, r.body)
			}
		})
	}

	for i := range riders {
		c.add(func(j int) {
			w.wantAnswer(inRotation(), fmt.Sprintf("rider %d asks for the %d. time", i, j))
		})
	}

	c.during(func() { w.leave(w.entries[0]) })
}

// wantAnswer asks for a short completion.
func (w *world) wantAnswer(n *entryNode, prompt string) {
	w.t.Helper()

	got, err := n.complete(w.t.Context(), desk, prompt, 4)
	if want := engine.Answer(prompt, 4); got != want || err != nil {
		w.t.Errorf("%s: got %q, %v, want %q", prompt, got, err, want)
	}
}
