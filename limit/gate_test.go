package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
	"boragehub/setting"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// oracle records the admitted requests and computes the guarantees of the rules. It keeps plain
// lists and sums them up on each use.
type oracle struct {
	places     float64
	weights    map[string]float64
	held       []heldPermit
	admittedAt map[string][]time.Time // times of the admitted requests, by organisation
}

type heldPermit struct {
	organisation string
	cost         float64
	permit       Permit
}

func (o *oracle) used(organisation string) float64 {
	sum := 0.0

	for _, h := range o.held {
		if organisation == "" || h.organisation == organisation {
			sum += h.cost
		}
	}

	return sum
}

// evenShare returns the number of a class's places that the organisation may hold when all others
// have unlimited demand.
func (o *oracle) evenShare(organisation string, class setting.Class) float64 {
	room := map[setting.Class]float64{setting.Urgent: 1, setting.Interactive: 0.95, setting.Standard: 0.9, setting.Background: 0.75}

	sum := 0.0
	for _, w := range o.weights {
		sum += w
	}

	return o.places * room[class] * o.weights[organisation] / sum
}

// TestGateAgainstOracle sends requests of several organisations, weights and classes to one gate.
// A request of an organisation within its even share must never be refused with share_exceeded, and
// each refusal must carry a Retry-After.
func TestGateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := &oracle{places: 20, weights: map[string]float64{"a": 1, "b": 2, "c": 1, "d": 4}, admittedAt: map[string][]time.Time{}}
		g := NewGate(GateConfig{Places: o.places, Seed: 1})
		now := epoch

		const (
			perSecond = 50.0
			burst     = 10
		)

		rt.Repeat(map[string]func(*rapid.T){
			"pass": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			},
			"release": func(rt *rapid.T) {
				if len(o.held) == 0 {
					return
				}

				i := rapid.IntRange(0, len(o.held)-1).Draw(rt, "which")
				g.Release(now, o.held[i].permit)
				o.held = append(o.held[:i:i], o.held[i+1:]...)
			},
			"admit": func(rt *rapid.T) {
				q := Request{
					Organisation: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "organisation"),
					Class:        setting.Class(rapid.IntRange(0, 3).Draw(rt, "class")),
					Rate:         perSecond, Burst: burst,
					Cost: float64(rapid.IntRange(1, 3).Draw(rt, "cost")),
				}
				q.Weight = o.weights[q.Organisation]

				if rapid.Bool().Draw(rt, "deadline") {
					q.Deadline = now.Add(time.Duration(rapid.IntRange(-100, 1000).Draw(rt, "left")) * time.Millisecond)
					q.Wait = time.Duration(rapid.IntRange(0, 1000).Draw(rt, "wait")) * time.Millisecond
				}

				p, err := g.Admit(now, q)
				if err == nil {
					o.held = append(o.held, heldPermit{q.Organisation, q.Cost, p})
					o.admittedAt[q.Organisation] = append(o.admittedAt[q.Organisation], now)
				}

				checkAdmission(rt, now, o, q, err)
			},
			"": func(rt *rapid.T) {
				if got, want := g.Used(), o.used(""); got != want {
					rt.Fatalf("places used: got %v, want %v", got, want)
				}

				for name, times := range o.admittedAt {
					checkRate(rt, name, times, perSecond, burst)
				}
			},
		})
	})
}

func checkAdmission(rt *rapid.T, now time.Time, o *oracle, q Request, err error) {
	hopeless := !q.Deadline.IsZero() && now.Add(q.Wait).After(q.Deadline)
	used, own := o.used(""), o.used(q.Organisation)

	if err == nil {
		if hopeless {
			rt.Fatal("got a request admitted past its deadline")
		}

		if used > o.places && used > q.Cost {
			rt.Fatalf("got %v places used, want at most %v", used, o.places)
		}

		return
	}

	e := failure.As(err)
	if e.RetryAfter() <= 0 || e.RetryAfter() > 75*time.Second {
		rt.Fatalf("%v: got Retry-After %v, want one within 75 s", e.Kind(), e.RetryAfter())
	}

	switch e.Kind() { //nolint:exhaustive // all other kinds are errors
	case failure.DeadlineHopeless:
		if !hopeless {
			rt.Fatal("got deadline_hopeless though the deadline can be met")
		}
	case failure.ShareExceeded:
		if own+q.Cost <= o.evenShare(q.Organisation, q.Class) {
			rt.Fatalf("got share_exceeded with %v of an even share of %v", own+q.Cost, o.evenShare(q.Organisation, q.Class))
		}
	case failure.QueueFull:
		if used+q.Cost <= o.places*0.75 {
			rt.Fatalf("got queue_full with %v of %v places used", used, o.places)
		}
	case failure.RateLimited:
	default:
		rt.Fatalf("got kind %v", e.Kind())
	}
}

// checkRate checks the number of admitted requests in each window that ends with the last one.
func checkRate(rt *rapid.T, name string, times []time.Time, perSecond float64, burst int) {
	for i := range times {
		span := times[len(times)-1].Sub(times[i]).Seconds()
		if got, most := float64(len(times)-i), float64(burst)+perSecond*span+0.001; got > most {
			rt.Fatalf("%s: got %v requests admitted within %v s, want at most %v", name, got, span, most)
		}
	}
}

// Callers make up organisation names, or many organisations appear at once. The memory of the entry
// must stay bounded.
func TestAccountsAreBounded(t *testing.T) {
	g := NewGate(GateConfig{MaxAccounts: 100, AccountTTL: time.Minute})

	for i := range 1000 {
		p, err := g.Admit(epoch, Request{Organisation: fmt.Sprint(i)})
		if err != nil {
			t.Fatal(err)
		}

		g.Release(epoch, p)
	}

	if got, want := g.Len(), 100; got != want {
		t.Errorf("accounts: got %d, want %d", got, want)
	}

	for range 100 {
		p, _ := g.Admit(epoch.Add(time.Hour), Request{Organisation: "late"})
		g.Release(epoch.Add(time.Hour), p)
	}

	if got, want := g.Len(), 1; got != want {
		t.Errorf("accounts after an hour: got %d, want %d", got, want)
	}
}

// All places are held. A further request would wait in an engine's queue for longer than its user
// waits.
func TestFullGateRefuses(t *testing.T) {
	g := NewGate(GateConfig{Places: 3})

	for i := range 4 {
		_, err := g.Admit(epoch, Request{Organisation: fmt.Sprint(i), Class: setting.Urgent})
		if got, want := err != nil, i == 3; got != want {
			t.Errorf("request %d: got error %v, want one %v", i, err, want)
		}

		if err != nil && failure.KindOf(err) != failure.QueueFull {
			t.Errorf("request %d: got kind %v, want queue_full", i, failure.KindOf(err))
		}
	}
}

// Many requests are refused within one second. With the same Retry-After they would all be retried
// at the same time and be refused again indefinitely.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	g := NewGate(GateConfig{Seed: 7})
	callersBySecond := map[int]int{}

	for range 220 {
		_, err := g.Admit(epoch, Request{Organisation: "a", Rate: 10, Burst: 20})
		if err != nil {
			callersBySecond[int(failure.As(err).RetryAfter().Seconds())]++
		}
	}

	most := 0
	for _, n := range callersBySecond {
		most = max(most, n)
	}

	if len(callersBySecond) < 20 || most > 15 {
		t.Errorf("callers by second: got %v, want at least 20 seconds with at most 15 each", callersBySecond)
	}
}

// A large organisation has filled all places while it was the only one; then a small one sends
// requests too. For each released place the large one sends ten requests before the small one
// sends one. The small one must get places nevertheless.
func TestNewOrganisationGetsShareOfFullGate(t *testing.T) {
	g := NewGate(GateConfig{Places: 20})
	now := epoch

	var large []Permit

	for range 20 {
		p, err := g.Admit(now, Request{Organisation: "large", Class: setting.Urgent})
		if err != nil {
			t.Fatal(err)
		}

		large = append(large, p)
	}

	got := 0

	for range 40 {
		now = now.Add(100 * time.Millisecond)

		g.Release(now, large[0])
		large = large[1:]

		for range 10 {
			if p, err := g.Admit(now, Request{Organisation: "large", Class: setting.Urgent}); err == nil {
				large = append(large, p)
			}
		}

		if _, err := g.Admit(now, Request{Organisation: "small", Class: setting.Urgent}); err == nil {
			got++
		}

		if len(large) == 0 {
			break
		}
	}

	if want := 8; got < want {
		t.Errorf("places of the newcomer: got %d, want at least %d of 20", got, want)
	}
}

// Engines hang and no place is released any more. With a Retry-After computed from the earlier
// release rate, callers would retry every second in vain.
func TestRetryAfterGrowsWithoutReleases(t *testing.T) {
	g := NewGate(GateConfig{Places: 10})

	var held []Permit

	// A place is released and taken again every 100 ms for 20 s.
	now := epoch
	for range 200 {
		now = now.Add(100 * time.Millisecond)

		if len(held) == 10 {
			g.Release(now, held[0])
			held = held[1:]
		}

		p, err := g.Admit(now, Request{Organisation: "a", Class: setting.Urgent})
		if err == nil {
			held = append(held, p)
		}
	}

	after := func(now time.Time) time.Duration {
		_, err := g.Admit(now, Request{Organisation: "b", Class: setting.Urgent})
		return failure.As(err).RetryAfter()
	}

	soon, later := after(now), after(now.Add(time.Minute))
	if soon > 200*time.Millisecond || later < 2*time.Second {
		t.Errorf("got %v while places are released and %v a minute after the last one, want at most 200 ms and at least 2 s", soon, later)
	}
}

// simRun is a running request in the simulation of TestTenfoldSender.
type simRun struct {
	ends   time.Time
	permit Permit
}

type simRuns []simRun

func (r simRuns) Len() int           { return len(r) }
func (r simRuns) Less(i, j int) bool { return r[i].ends.Before(r[j].ends) }
func (r simRuns) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *simRuns) Push(x any)        { *r = append(*r, x.(simRun)) }
func (r *simRuns) Pop() any {
	old := *r
	x := old[len(old)-1]
	*r = old[:len(old)-1]

	return x
}

// simulateLoad sends requests of ten organisations to a gate with 100 places for two minutes. Each
// request runs for 2 s on average. Eight small organisations send 4 requests a second and two large
// ones 8, which amounts to 96% of the places; the first large one sends factor times as many. It
// returns the admitted fraction of its requests, of the other large one's and of the small ones'.
func simulateLoad(seed uint64, factor float64, class, usual setting.Class, fair bool) (large, other, small float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	g := NewGate(GateConfig{Places: 100, Seed: seed})

	if !fair {
		g.cfg.ShareThreshold = 1e9
	}

	var (
		running  simRuns
		next     [10]time.Time
		sent     [3]float64
		admitted [3]float64
	)

	rates := [10]float64{8 * factor, 8, 4, 4, 4, 4, 4, 4, 4, 4}
	wait := func(i int) time.Duration { return time.Duration(rng.ExpFloat64() / rates[i] * float64(time.Second)) }

	for i := range next {
		next[i] = epoch.Add(wait(i))
	}

	for {
		sender := 0
		for i := range next {
			if next[i].Before(next[sender]) {
				sender = i
			}
		}

		now := next[sender]
		if now.After(epoch.Add(2 * time.Minute)) {
			return admitted[0] / sent[0], admitted[1] / sent[1], admitted[2] / sent[2]
		}

		next[sender] = now.Add(wait(sender))

		for len(running) > 0 && !running[0].ends.After(now) {
			r := heap.Pop(&running).(simRun)
			g.Release(r.ends, r.permit)
		}

		group := min(sender, 2)
		sent[group]++

		q := Request{Organisation: fmt.Sprint(sender), Class: usual}
		if sender == 0 {
			q.Class = class
		}

		p, err := g.Admit(now, q)
		if err != nil {
			continue
		}

		admitted[group]++

		heap.Push(&running, simRun{now.Add(time.Duration(rng.ExpFloat64() * 2 * float64(time.Second))), p})
	}
}

// One organisation sends ten times as many requests as usual, either all urgent while the others
// send interactive ones, or all background like the others. At least 90% as many requests of the
// small organisations must be admitted as before.
func TestTenfoldSender(t *testing.T) {
	cases := []struct {
		name         string
		class, usual setting.Class
	}{
		{"urgent beside interactive", setting.Urgent, setting.Interactive},
		{"all background", setting.Background, setting.Background},
	}

	for _, c := range cases {
		for seed := range uint64(5) {
			_, otherBefore, smallBefore := simulateLoad(seed, 1, c.class, c.usual, true)
			large, other, small := simulateLoad(seed, 10, c.class, c.usual, true)
			_, _, unfair := simulateLoad(seed, 10, c.class, c.usual, false)

			t.Logf("%s, seed %d: admitted of the small ones %.3f before, %.3f with one sending tenfold (%.3f without shares); of the other large one %.3f before, %.3f; of the sender %.3f",
				c.name, seed, smallBefore, small, unfair, otherBefore, other, large)

			if small < smallBefore*0.9 {
				t.Errorf("%s, seed %d: admitted fraction of the small ones: got %.3f, want at most a tenth under %.3f", c.name, seed, small, smallBefore)
			}
		}
	}
}
