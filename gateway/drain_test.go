package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"boragehub/failure"
	"boragehub/pulse"
	"boragehub/site"
)

// newTrainedDrainControl knows reviews that take a second and seat requests that take a tenth of it.
func newTrainedDrainControl() *drainControl {
	d := newDrainControl()

	for range 100 {
		d.observe("review", time.Second)

		for range 9 {
			d.observe("seat", 100*time.Millisecond)
		}
	}

	return d
}

// Most entries of a data centre stop at once, and the balancer sends callers to the stopping ones.
// One that accepts all of them is still serving when its grace period ends, and cuts off responses;
// one that accepts none leaves callers without an entry.
func TestDrainAcceptsShortRequests(t *testing.T) {
	t0 := time.Unix(1000, 0)
	end := t0.Add(5 * time.Second)
	tests := []struct {
		name, route string
		at          time.Duration // after the last phase began
		deadline    time.Duration // of the caller
		want        bool
	}{
		{"quick", "seat", 0, 10 * time.Second, true},
		{"quick, with ten times its duration left", "seat", 4 * time.Second, 10 * time.Second, true},
		{"quick, later", "seat", 4*time.Second + time.Millisecond, 10 * time.Second, false},
		{"quick, later, its caller leaves before the end", "seat", 4500 * time.Millisecond, 500 * time.Millisecond, true},
		{"long", "review", 0, 10 * time.Second, false},
		{"long, its caller leaves before the end", "review", 0, 4 * time.Second, false},
		{"unknown", "new", 0, 10 * time.Second, false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newTrainedDrainControl()
			now := t0.Add(tt.at)
			x := &task{route: &site.Route{Name: tt.route}, deadline: now.Add(tt.deadline)}

			if err := d.admit(now, x); err != nil {
				t.Fatalf("before the last phase: got %v, want it accepted", err)
			}

			d.remove(now, x)
			d.start(t0, end, func() {})

			err := d.admit(now, x)
			if got := err == nil; got != tt.want {
				t.Errorf("got accepted %v (%v), want %v", got, err, tt.want)
			}

			if err != nil && failure.KindOf(err).Response().Ran != failure.NotRun {
				t.Errorf("got %v, want a refusal that says not run", err)
			}
		})
	}
}

// A third of the engines is slow, and short requests there take fifteen times as long as elsewhere.
// Guards against a limit of ten times the mean: no request would be accepted five seconds before
// the end of the stop, and the port would be closed while others still run.
func TestDrainUsesRecentMaximumDuration(t *testing.T) {
	t0 := time.Unix(1000, 0)
	d := newDrainControl()

	for range 100 {
		for _, total := range []time.Duration{1500 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond} {
			x := &task{route: &site.Route{Name: "seat"}, deadline: t0.Add(10 * time.Second)}
			if err := d.admit(t0.Add(-total), x); err != nil {
				t.Fatal(err)
			}

			d.observe("seat", total)
			d.remove(t0, x)
		}
	}

	d.start(t0, t0.Add(5*time.Second), func() {})

	tests := []struct {
		at   time.Duration
		want bool
	}{{2750 * time.Millisecond, true}, {2751 * time.Millisecond, false}}

	for _, tt := range tests {
		now := t0.Add(tt.at)
		x := &task{route: &site.Route{Name: "seat"}, deadline: now.Add(10 * time.Second)}

		if err := d.admit(now, x); (err == nil) != tt.want {
			t.Errorf("at %v: got %v, want accepted %v", tt.at, err, tt.want)
		}
	}
}

// A target is paused, and responses that have run for three seconds are given up or still run.
// Guards against learning from complete responses only: the entry would accept more requests two
// seconds before its end and cut off their responses.
func TestDrainCountsIncompleteResponses(t *testing.T) {
	t0 := time.Unix(1000, 0)

	for _, ended := range []bool{false, true} {
		d := newDrainControl()
		for range 100 {
			d.observe("seat", 100*time.Millisecond)
		}

		slow := &task{route: &site.Route{Name: "seat"}, deadline: t0.Add(10 * time.Second)}
		if err := d.admit(t0, slow); err != nil {
			t.Fatal(err)
		}

		d.start(t0, t0.Add(5*time.Second), func() {})

		now := t0.Add(3 * time.Second)
		if ended {
			d.remove(now, slow)
		}

		x := &task{route: &site.Route{Name: "seat"}, deadline: now.Add(10 * time.Second)}
		if err := d.admit(now, x); err == nil {
			t.Errorf("given up %v: got a request accepted two seconds before the end, want it refused", ended)
		}
	}
}

// A prompt waits for an engine with capacity when a stop ends. It has run nowhere, and its caller
// may retry at once. Guards against cutting it off, which doesn't tell the caller so.
func TestQueuedPromptIsRefusedWhenDrainEnds(t *testing.T) {
	e := newFakeEngine(t, "a", respond(ok200))
	env := newTestEnv(t, e)
	full := pulse.Report{Engine: e.llmAddress, Running: 9, Waiting: 40, UsedTokens: 69_000, Model: "m", Version: 1}
	env.roster.ObserveReport(time.Now(), full)

	got := make(chan reply, 1)

	go func() { got <- env.request(t, "POST", "/llm/1", "x", "Tokens", "30000") }()

	for len(env.gateway.waitQueue.waiting) == 0 {
		time.Sleep(time.Millisecond)
	}

	now := time.Now()
	env.gateway.StartDrain(now, now)

	if r := <-got; r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
		t.Errorf("got %d %v, want a refusal with a Retry-After time", r.status, r.err)
	}

	if n := e.count(); n != 0 {
		t.Errorf("got %d requests at the engine, want none", n)
	}
}

// A caller's body arrives slowly. Guards against deciding by the time left when the head arrived: the
// request would be cut off while it runs.
func TestSlowBodyIsRefusedWhenNoTimeIsLeft(t *testing.T) {
	e := newFakeEngine(t, "a", respond(ok200))
	env := newTestEnv(t, e)

	for range 10 {
		env.gateway.drain.observe("once", 50*time.Millisecond)
	}

	now := time.Now()
	env.gateway.StartDrain(now, now.Add(time.Second))

	body, part := io.Pipe()

	go func() {
		<-env.gateway.drain.endReached

		_, _ = part.Write([]byte("body"))
		_ = part.Close()
	}()

	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, env.server.URL+"/once/1", body)
	if err != nil {
		t.Fatal(err)
	}

	r.Host = "desk"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k1")

	resp, err := env.server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusServiceUnavailable || e.count() != 0 {
		t.Errorf("got %d and %d requests at the target, want 503 and none", resp.StatusCode, e.count())
	}
}

// The port of a stopping entry may close once no long request runs, or when no request would be
// accepted anyway. A usually short request may already have run for a second on a slow engine;
// with the port closed, callers would find no entry until it ends.
func TestPortMayCloseWhenNothingLongRuns(t *testing.T) {
	t0 := time.Unix(1000, 0)
	end := t0.Add(5 * time.Second)
	tests := []struct {
		name, route string
		at          time.Time
		want        bool
	}{
		{"nothing", "", t0, true},
		{"quick", "seat", t0, true},
		{"quick, on a slow engine", "seat", t0.Add(time.Second), false},
		{"long", "review", t0, false},
		{"long, just before the final window", "review", end.Add(-finalWindow), false},
		{"long, in the final window", "review", end.Add(-finalWindow + 1), true},
		{"unknown", "new", t0, false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newTrainedDrainControl()
			x := &task{route: &site.Route{Name: tt.route}, deadline: t0.Add(10 * time.Second)}

			if tt.route != "" {
				if err := d.admit(t0, x); err != nil {
					t.Fatal(err)
				}
			}

			d.start(t0, end, func() {})

			if got := d.mayClosePort(tt.at); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}

			late := &task{route: &site.Route{Name: "seat"}, deadline: end.Add(time.Second)}
			if err := d.admit(end.Add(-time.Millisecond), late); err == nil {
				t.Error("no time is left: got a short request accepted, want it refused")
			}

			if !d.mayClosePort(tt.at) {
				t.Error("a short request was refused: got false, want true")
			}

			d.remove(tt.at, x)

			if !d.mayClosePort(tt.at) {
				t.Error("all requests done: got false, want true")
			}
		})
	}
}

// One of several engines takes fifteen times as long as the others, so the mean of a route fits no
// response. Guards against taking a request just sent there for short: the port would be closed for
// as long as it runs, while callers find no entry. Requests accepted during the stop must not be sent
// there either: one after the other, they would keep the port open until the grace period ends.
func TestDrainKnowsSlowTargets(t *testing.T) {
	t0 := time.Unix(1000, 0)
	end := t0.Add(5 * time.Second)
	tests := []struct {
		name             string
		target           string
		took             []time.Duration // earlier responses of the target
		ranBefore        bool            // the request may have run at another target
		observed         time.Time
		closes, accepted bool
	}{
		{"fast", "fast", []time.Duration{100 * time.Millisecond}, false, t0, true, true},
		{"unknown", "new", nil, false, t0, true, true},
		{"slow", "slow", []time.Duration{1500 * time.Millisecond}, false, t0, false, false},
		{"slow, a repeat that may have run", "slow", []time.Duration{1500 * time.Millisecond}, true, t0, false, true},
		{"slow long ago", "slow", []time.Duration{1500 * time.Millisecond}, false, t0.Add(-longestRetention - 1), true, true},
		{"one response took twice as long", "fast", []time.Duration{200 * time.Millisecond}, false, t0, true, true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newTrainedDrainControl()
			for _, took := range tt.took {
				d.observeTarget(tt.observed, "seat", tt.target, took)
			}

			before := &task{route: &site.Route{Name: "seat"}, deadline: t0.Add(10 * time.Second)}
			if err := d.admit(t0, before); err != nil {
				t.Fatal(err)
			}

			d.start(t0, end, func() {})

			if err := d.mayUse(t0, before, tt.target); err != nil {
				t.Errorf("accepted before the last phase: got %v, want it sent", err)
			}

			d.sent(t0, before, tt.target)

			if got := d.mayClosePort(t0); got != tt.closes {
				t.Errorf("just sent: got port may close %v, want %v", got, tt.closes)
			}

			x := &task{route: before.route, deadline: before.deadline}
			if tt.ranBefore {
				x.possibleRuns = 1
			}

			if err := d.admit(t0, x); err != nil {
				t.Fatal(err)
			}

			err := d.mayUse(t0, x, tt.target)
			if got := err == nil; got != tt.accepted {
				t.Errorf("got sent %v (%v), want %v", got, err, tt.accepted)
			}

			if err != nil && failure.KindOf(err).Response().Ran != failure.NotRun {
				t.Errorf("got %v, want a refusal that says not run", err)
			}
		})
	}
}

// Guards against one long response that makes a service's only target count as slow: all requests were
// refused until the end of the stop, as nothing changes the estimate once no request is sent there.
func TestOneLongResponseDoesNotMakeATargetSlow(t *testing.T) {
	t0 := time.Unix(1000, 0)
	tests := []struct {
		name        string
		usual, long time.Duration
	}{
		{"some milliseconds", 3 * time.Millisecond, 30 * time.Millisecond},
		{"some tenths of a second", 300 * time.Millisecond, 3 * time.Second},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDrainControl()

			for _, took := range []time.Duration{tt.usual, tt.usual, tt.usual, tt.usual, tt.usual, tt.long} {
				d.observeTarget(t0, "seat", "sole", took)
				d.observe("seat", took)
			}

			d.start(t0, t0.Add(time.Minute), func() {})

			x := &task{route: &site.Route{Name: "seat"}, deadline: t0.Add(time.Minute)}
			if err := d.admit(t0, x); err != nil {
				t.Fatal(err)
			}

			if err := d.mayUse(t0, x, "sole"); err != nil {
				t.Errorf("got %v, want it sent", err)
			}
		})
	}
}

// Guards against responses of some milliseconds that count as long because most take a few: during a
// stop a route or a target was refused whose requests can't hold it up.
func TestResponsesOfMillisecondsAreNotLong(t *testing.T) {
	t0 := time.Unix(1000, 0)
	d := newDrainControl()

	for range 100 {
		d.observe("seat", 2*time.Millisecond)
		d.observe("fare", 2*time.Millisecond)
	}

	for range 20 {
		d.observe("map", 8*time.Millisecond)
		d.observeTarget(t0, "seat", "slow", 20*time.Millisecond)
	}

	d.start(t0, t0.Add(5*time.Second), func() {})

	for _, tt := range []struct{ route, target string }{{"map", "fast"}, {"seat", "slow"}} {
		x := &task{route: &site.Route{Name: tt.route}, deadline: t0.Add(time.Minute)}
		if err := d.admit(t0, x); err != nil {
			t.Errorf("%s: got %v, want it accepted", tt.route, err)
		}

		if err := d.mayUse(t0, x, tt.target); err != nil {
			t.Errorf("%s at a target that is %s: got %v, want it sent", tt.route, tt.target, err)
		}
	}
}

// A target was slow until the stop began. Guards against an estimate that never changes during a stop, as
// no request is sent to the target; and against sending requests there one after the other, which
// would hold up the stop while it is still slow.
func TestSlowTargetIsTriedAgainInDrain(t *testing.T) {
	t0 := time.Unix(1000, 0)
	d := newTrainedDrainControl()

	for range 5 {
		d.observeTarget(t0, "seat", "slow", time.Second)
	}

	d.start(t0, t0.Add(time.Minute), func() {})

	mayUse := func(after time.Duration) bool {
		now := t0.Add(after)

		x := &task{route: &site.Route{Name: "seat"}, deadline: now.Add(time.Second)}
		if err := d.admit(now, x); err != nil {
			t.Fatal(err)
		}

		defer d.remove(now, x)

		return d.mayUse(now, x, "slow") == nil
	}

	tests := []struct {
		after time.Duration
		took  time.Duration // of a response that is complete just before; zero for none
		want  bool
	}{
		{0, 0, false},
		{5*time.Second - 1, 0, false},
		{5 * time.Second, 0, true},
		{5*time.Second + 1, 0, false},
		{6 * time.Second, time.Second, false}, // still slow
		{11*time.Second - 1, 0, false},
		{11 * time.Second, 0, true},
		{11200 * time.Millisecond, 100 * time.Millisecond, false},
		{15300 * time.Millisecond, 0, true},
		{15400 * time.Millisecond, 100 * time.Millisecond, false},
		{18600 * time.Millisecond, 0, true},
		{18700 * time.Millisecond, 100 * time.Millisecond, true}, // most of the last ones are fast
		{18700*time.Millisecond + 1, 0, true},
	}

	for _, tt := range tests {
		if tt.took > 0 {
			d.observeTarget(t0.Add(tt.after), "seat", "slow", tt.took)
		}

		if got := mayUse(tt.after); got != tt.want {
			t.Errorf("after %v: got sent %v, want %v", tt.after, got, tt.want)
		}
	}
}

// Targets come and go for as long as an entry lives. Guards against keeping all of them.
func TestDrainForgetsTargets(t *testing.T) {
	d := newTrainedDrainControl()

	for i := range 10 {
		d.observeTarget(time.Unix(1000+int64(i)*100, 0), "seat", strconv.Itoa(i), time.Second)
	}

	if got := len(d.targets); got != 1 {
		t.Errorf("got %d targets, want the one of the last minute", got)
	}
}

// Guards against not asking: the request would be sent to the slow target, and the stop would wait for
// it.
func TestNewRequestsAreNotSentToSlowTargetsInDrain(t *testing.T) {
	e := newFakeEngine(t, "a", respond(ok200))
	env := newTestEnv(t, e)

	for range 10 {
		if r := env.request(t, "POST", "/once/1", "x"); r.status != http.StatusOK {
			t.Fatalf("got %d, want 200", r.status)
		}
	}

	if got := len(env.gateway.drain.targets); got != 1 {
		t.Fatalf("got %d targets with durations, want 1", got)
	}

	now := time.Now()
	for range 10 {
		env.gateway.drain.observeTarget(now, "once", "sa", time.Minute)
	}

	env.gateway.StartDrain(now, now.Add(time.Minute))

	if r := env.request(t, "POST", "/once/1", "x"); r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || e.count() != 10 {
		t.Errorf("got %d after %d requests at the target, want a refusal with a Retry-After time after 10", r.status, e.count())
	}
}
