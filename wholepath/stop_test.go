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

// stopEntry stops an entry in the way its process does on SIGTERM.
func (e *testEnv) stopEntry(n *entryNode) {
	e.t.Helper()

	ctx, cancel := context.WithTimeout(e.t.Context(), drainTimeout)
	defer cancel()

	n.StartDrain()

	remaining := n.httpServer.Drain(ctx, drain.Options{MayClosePort: func(time.Time) bool { return n.Active() == 0 }})
	if remaining.Busy+remaining.Pending != 0 {
		e.t.Errorf("requests were cut off when the entry stopped: got %+v", remaining)
	}

	n.process.server.Shutdown(ctx)
	n.process.stop()
}

// drainSideProcess stops a side process in the way it does on SIGTERM.
func (e *testEnv) drainSideProcess(t *target) {
	e.t.Helper()

	ctx, cancel := context.WithTimeout(e.t.Context(), drainTimeout)
	defer cancel()

	t.side.Drain(ctx)

	if t.deduplicator != nil {
		// Shards cannot be handed over during an outage of the log service.
		_ = t.deduplicator.Drain(ctx)
	}

	t.process.server.Shutdown(ctx)
	t.process.stop()
}

// waitForOwners waits until each entry can book in every shard, that is, each shard
// has an owner that the entry knows. It returns the number of bookings made.
func (e *testEnv) waitForOwners() int {
	e.t.Helper()

	keys := map[int]string{}
	for i := 0; len(keys) < claim.DefaultShards; i++ {
		key := fmt.Sprintf("warm-up-%d", i)
		keys[claim.Shard("desk-agents", key, claim.DefaultShards)] = key
	}

	for _, n := range e.entries {
		for _, key := range keys {
			e.eventually("the shard of the key has no owner", func() bool { return e.book(n, key).status == http.StatusOK })
		}
	}

	return len(keys)
}

// book makes a booking with an idempotency key.
func (e *testEnv) book(n *entryNode, key string) response {
	return e.request(n, http.MethodPost, "/v1/services/"+bookingService+"/bookings", "one seat, "+key,
		"Authorization", "Bearer "+deskKey, "Idempotency-Key", key)
}

// Processes and stand-ins are stopped gracefully while long responses are streaming
// and bookings are in flight. If a stop cut off requests, every ordinary restart
// would break responses.
func TestGracefulStopCutsOffNoRequest(t *testing.T) {
	cases := []struct {
		name string
		stop []func(env *testEnv)
	}{
		{"entry", []func(env *testEnv){func(env *testEnv) { env.stopEntry(env.entries[0]) }}},
		{"side process of an engine", []func(env *testEnv){func(env *testEnv) { env.drainSideProcess(env.engines[0]) }}},
		{"side process of a plain service", []func(env *testEnv){func(env *testEnv) { env.drainSideProcess(env.plainServices[0]) }}},
		{"engine", []func(env *testEnv){func(env *testEnv) { env.engines[0].stop() }}},
		{"plain service", []func(env *testEnv){func(env *testEnv) { env.plainServices[0].stop() }}},
		{"entry and side process at once", []func(env *testEnv){
			func(env *testEnv) { env.stopEntry(env.entries[0]) }, func(env *testEnv) { env.drainSideProcess(env.engines[0]) },
		}},
		{"all of one data centre at once", []func(env *testEnv){
			func(env *testEnv) { env.stopEntry(env.entries[0]) }, func(env *testEnv) { env.drainSideProcess(env.engines[0]) },
			func(env *testEnv) { env.drainSideProcess(env.plainServices[0]) }, func(env *testEnv) { env.engines[0].stop() },
		}},
		{"entry and side processes while the log is down", []func(env *testEnv){
			func(env *testEnv) {
				env.setFaults(env.logAddr, map[string]any{"down": true})
				env.stopEntry(env.entries[0])
			},
			func(env *testEnv) { env.drainSideProcess(env.engines[0]) },
		}},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			stopUnderLoad(t, c.stop)
		})
	}
}

// stopUnderLoad stops processes while requests are in flight. It checks that each of
// them gets a complete response, that later requests do too, and that each booking
// was made once.
func stopUnderLoad(t *testing.T, stops []func(env *testEnv)) {
	const callers, tokens, bookings = 8, 80, 4

	env := start(t, envConfig{engines: 2, entries: 2, plainServices: 1, configureEngine: func(_ int, cfg *engine.Config) { cfg.DecodeTokensPerSecond = 100 }})
	ownerBookings := env.waitForOwners()

	// All requests have to be in flight at the same time. Without these faults, the first
	// ones would end before the last ones start on a busy machine.
	env.setFaults(env.plainServices[0].addr, map[string]any{"held": true})

	for _, e := range env.engines {
		env.setFaults(e.addr, map[string]any{"slow_factor": 50})
	}

	var wg sync.WaitGroup

	for i := range callers {
		wg.Go(func() {
			prompt := fmt.Sprintf("rider %d reads at length", i)

			got, err := env.entries[i%2].stream(t.Context(), deskKey, prompt, tokens)
			if want := engine.CompletionText(prompt, tokens); got != want || err != nil {
				t.Errorf("request %d: got %q, %v, want %q", i, got, err, want)
			}
		})
	}

	for i := range bookings {
		wg.Go(func() {
			key := fmt.Sprintf("booking-%d", i)
			if r := env.book(env.entries[i%2], key); r.status != http.StatusOK || !strings.Contains(r.body, key) {
				t.Errorf("%s: got %d %s, want a booking", key, r.status, r.body)
			}
		})
	}

	env.eventually("not all requests are running", func() bool {
		return env.engines[0].engine.Running()+env.engines[1].engine.Running() == callers && env.plainServices[0].plain.Running() == bookings
	})

	env.setFaults(env.plainServices[0].addr, map[string]any{"held": false, "delay_ms": 400})

	for _, e := range env.engines {
		env.setFaults(e.addr, map[string]any{"slow_factor": 1})
	}

	for _, stop := range stops {
		wg.Go(func() { stop(env) })
	}

	wg.Wait()

	for _, n := range env.entries {
		if !n.Ready() {
			continue
		}

		if err := n.streamWithRetries(t.Context(), "the next rider", tokens/10); err != nil {
			t.Errorf("after the stop: %v", err)
		}
	}

	if got, want := len(env.plainServices[0].plain.Runs()), bookings+ownerBookings; got != want {
		t.Errorf("got %d bookings made, want %d", got, want)
	}
}

// The platform lists an engine's VM as leaving while requests keep arriving. An entry
// that went on sending requests to it after reading that list would have them cut off
// when the VM is removed.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	env := start(t, envConfig{engines: 2, entries: 2})
	leaving := env.engines[0]
	env.sendJSON(http.MethodPut, env.vmListURL+"/vms/"+leaving.vm, vm.VM{
		DataCentre: dataCentre, Kind: vm.Engine, Service: llmService, Address: leaving.addr,
		SideAddress: leaving.process.server.Addr(), State: vm.Leaving,
	})
	env.eventually("the entries do not know that the engine is leaving", func() bool {
		return env.logs.count(`"reason"="listed_leaving"`) == len(env.entries)
	})

	before := len(leaving.engine.Runs())

	for i := range 40 {
		prompt := fmt.Sprintf("rider %d", i)

		got, err := env.entries[i%2].complete(t.Context(), deskKey, prompt, 4)
		if want := engine.CompletionText(prompt, 4); got != want || err != nil {
			t.Errorf("request %d: got %q, %v, want %q", i, got, err, want)
		}
	}

	if got := len(leaving.engine.Runs()) - before; got != 0 {
		t.Errorf("the leaving engine got %d runs, want none", got)
	}
}

// An entry stops while callers keep sending requests and bookings on their open
// connections, until the balancer directs them to another entry. A caller whose connection
// is closed during a request would get neither a response nor a refusal.
func TestStoppingEntryServesOpenConnections(t *testing.T) {
	const bookingClients, completionClients = 6, 6

	env := start(t, envConfig{engines: 2, entries: 2, plainServices: 1})
	env.waitForOwners()

	// As with a balancer, requests go to the stopping entry while it is ready, then to the other
	// one.
	readyEntry := func() *entryNode {
		if n := env.entries[0]; n.Ready() {
			return n
		}

		return env.entries[1]
	}

	var load loadGenerator

	for i := range bookingClients {
		load.addClient(func(j int) {
			key := fmt.Sprintf("booking-%d-%d", i, j)
			if r := env.book(readyEntry(), key); r.status != http.StatusOK {
				t.Errorf("%s: got %d %s, want a booking", key, r.status, r.body)
			}
		})
	}

	for i := range completionClients {
		load.addClient(func(j int) {
			env.checkCompletion(readyEntry(), fmt.Sprintf("rider %d asks for the %d. time", i, j))
		})
	}

	load.runDuring(func() { env.stopEntry(env.entries[0]) })
}

// checkCompletion requests a short completion and checks it.
func (e *testEnv) checkCompletion(n *entryNode, prompt string) {
	e.t.Helper()

	got, err := n.complete(e.t.Context(), deskKey, prompt, 4)
	if want := engine.CompletionText(prompt, 4); got != want || err != nil {
		e.t.Errorf("%s: got %q, %v, want %q", prompt, got, err, want)
	}
}
