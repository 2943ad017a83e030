package pulse

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/resident"
	"boragehub/room"
)

// pair is a reporter and a listener that are connected over the loopback interface.
type pair struct {
	ledger   *room.Ledger
	reporter *Reporter
	listener *Listener
	reports  chan Report
	clocks   atomic.Int64 // reports with the engine's clock
	queries  atomic.Int64
}

// countingEngine counts the queries of an engine.
type countingEngine struct {
	report  Report
	queries *atomic.Int64
}

func (e countingEngine) Report(context.Context, string) (Report, error) {
	e.queries.Add(1)

	return e.report, nil
}

const engineAddress = "127.0.0.1:9"

func newPair(t *testing.T, ledger *room.Ledger) *pair {
	t.Helper()

	p := &pair{ledger: ledger, reports: make(chan Report, 256)}

	r, err := NewReporter(ReporterConfig{
		Address: "127.0.0.1:0", Engine: countingEngine{Report{Running: 1, UsedTokens: 10_000, TotalTokens: 100_000, Clock: 12_345}, &p.queries}, EngineAddress: engineAddress, Ledger: ledger,
	})
	if err != nil {
		t.Fatal(err)
	}

	p.reporter = r

	p.listener, err = Listen(ListenerConfig{
		Address: "127.0.0.1:0", Port: r.conn.LocalAddr().(*net.UDPAddr).Port,
		Engines: func() ([]string, time.Duration) { return []string{engineAddress}, MinInterval },
		OnReport: func(_ time.Time, r Report) {
			if r.Clock > 0 {
				p.clocks.Add(1)
			}

			p.reports <- r
		},
	})
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)

	go r.Run(ctx)
	go p.listener.Run(ctx)

	return p
}

// await returns the first load report for which a function returns true.
func (p *pair) await(t *testing.T, what string, is func(Report) bool) Report {
	t.Helper()

	deadline := time.After(10 * time.Second)

	for {
		select {
		case r := <-p.reports:
			if is(r) {
				return r
			}
		case <-deadline:
			t.Fatalf("got no report with %s", what)
		}
	}
}

// claim claims until there is a reply; a busy machine may delay it beyond the time limit.
func (p *pair) claim(t *testing.T, c room.Claim) room.Grant {
	t.Helper()

	for range 100 {
		g, err := p.listener.Claim(context.Background(), engineAddress, c)
		if err == nil {
			return g
		}

		p.listener.claims.mu.Lock()
		p.listener.claims.engine(engineAddress).pausedUntil = time.Time{}
		p.listener.claims.mu.Unlock()
	}

	t.Fatal("got no reply to a claim")

	return room.Grant{}
}

// A long prompt is claimed, started and ended. Guards against entries that learn of it only with the
// next regular report, against a denial that comes without the backlog behind it, and against leases
// that stay although their end was reported.
func TestClaimsAreGrantedAndReported(t *testing.T) {
	p := newPair(t, room.NewLedger())
	first := p.await(t, "the engine's state", func(r Report) bool { return r.StateSequence > 0 })

	c := room.Claim{PrefillTokens: 10_000, MemoryTokens: 50_000, MaxBacklog: 5000, TimeLeftMs: 60_000, TokensPerMs: 0.001}

	g := p.claim(t, c)
	if g.Outcome != room.Granted {
		t.Fatalf("got %v, want the claim granted", g.Outcome)
	}

	if r := p.await(t, "a lease", func(r Report) bool { return r.Leases == 1 && r.LeasesOnly }); r.Backlog < 9000 || r.Leased != 60_000 || r.SourceStart != first.SourceStart {
		t.Errorf("got %+v, want the backlog of the same side process", r)
	}

	if denied := p.claim(t, c); denied.Outcome != room.NoMemory {
		t.Errorf("got %v, want no memory", denied.Outcome)
	}

	c.MemoryTokens = 1000
	if denied := p.claim(t, c); denied.Outcome != room.Backlogged {
		t.Errorf("got %v, want the backlog", denied.Outcome)
	}

	p.listener.Started(engineAddress, g.ID)
	p.await(t, "a started lease", func(r Report) bool { return r.Backlog == 0 && r.Leases == 0 && r.Leased >= 50_000 })
	p.listener.Done(engineAddress, g.ID)
	p.await(t, "no lease", func(r Report) bool { return r.Leased == 10_000 })

	// An entry takes the clock in a report for the present one, by which it limits fetches.
	if clocks, queries := p.clocks.Load(), p.queries.Load(); clocks > queries {
		t.Errorf("got the engine's clock %d times by %d queries", clocks, queries)
	}
}

// A side process of an old build does not know of claims, and one that is dead sends nothing. Guards
// against each long prompt being delayed by claims there.
func TestUnansweredClaimsEndForATime(t *testing.T) {
	p := newPair(t, nil)

	if r := p.await(t, "the engine's state", func(Report) bool { return true }); r.StateSequence != 0 || r.Leases != 0 {
		t.Errorf("got %+v without a ledger, want none of its fields", r)
	}

	for range unansweredLimit + 2 {
		if _, err := p.listener.Claim(context.Background(), engineAddress, room.Claim{MemoryTokens: 1, TimeLeftMs: 1}); !errors.Is(err, ErrUnanswered) {
			t.Errorf("got %v, want %v", err, ErrUnanswered)
		}
	}

	if got := p.listener.claims.lastID; got != unansweredLimit {
		t.Errorf("got %d claims sent, want %d", got, unansweredLimit)
	}
}

func TestClaimsAreSentAgainAfterAPause(t *testing.T) {
	x := newClaimTable(time.Unix(1, 0))
	now := time.Unix(1000, 0)

	for range unansweredLimit {
		id, _, timeout, ok := x.begin(now, "e")
		if !ok || timeout != claimTimeout {
			t.Fatalf("got %v, %v; want a claim with %v", timeout, ok, claimTimeout)
		}

		x.abandon(now, "e", id, true)
	}

	for _, tt := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {claimPause - time.Millisecond, false}, {claimPause, true}} {
		if _, _, _, ok := x.begin(now.Add(tt.after), "e"); ok != tt.want {
			t.Errorf("after %v: got a claim %v, want %v", tt.after, ok, tt.want)
		}
	}

	if _, _, _, ok := x.begin(now, "other"); !ok {
		t.Error("got no claim at another engine")
	}

	// A side process in another region takes longer to reply.
	x.answered("far", 40*time.Millisecond)

	if _, _, timeout, _ := x.begin(now, "far"); timeout != 120*time.Millisecond {
		t.Errorf("got %v, want three reply times", timeout)
	}
}

// A side process replies to no claim before it has queried its engine. Guards against an entry that claims nothing
// for a while because claims of that time got no reply, though the process has sent a report meanwhile and replies:
// it would send prompts that no lease counts.
func TestClaimsSentBeforeTheFirstReportDoNotPauseClaims(t *testing.T) {
	now := time.Unix(1000, 0)

	for _, tt := range []struct {
		name   string
		before int // claims sent before the first report; all end without a reply after it
		after  int
		want   bool
	}{
		{"all before it", unansweredLimit, 0, true},
		{"one behind it", unansweredLimit - 1, 1, true},
		{"all behind it", 0, unansweredLimit, false},
		{"enough behind it", unansweredLimit, unansweredLimit, false},
	} {
		l := &Listener{latest: map[string]Report{}, claims: newClaimTable(now)}

		var ids []uint64

		send := func(n int) {
			for range n {
				id, _, _, ok := l.claims.begin(now, "e")
				if !ok {
					t.Fatalf("%s: got no claim", tt.name)
				}

				ids = append(ids, id)
			}
		}

		send(tt.before)
		l.newer(Report{Engine: "e", SourceStart: 1, Sequence: 1})
		send(tt.after)

		for _, id := range ids {
			l.claims.abandon(now, "e", id, true)
		}

		if _, _, _, got := l.claims.begin(now, "e"); got != tt.want {
			t.Errorf("%s: got claim sent %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A grant arrives after its claim was given up, or a second time for the repeated claim. Guards
// against a lease that nobody uses until its deadline, and against the end of one that is in use.
func TestLateGrantsAreGivenBack(t *testing.T) {
	x := newClaimTable(time.Unix(1, 0))
	now := time.Unix(1000, 0)
	const used, given = 1, 2

	for range 2 {
		x.begin(now, "e")
	}

	x.abandon(now, "e", given, true)

	for _, tt := range []struct {
		name  string
		grant room.Grant
		want  bool
	}{
		{"in time", room.Grant{ID: used}, true},
		{"repeated", room.Grant{ID: used}, true},
		{"late", room.Grant{ID: given}, false},
		{"late denial", room.Grant{ID: given, Outcome: room.NoSlot}, true},
		{"of an earlier process", room.Grant{ID: 77}, false},
	} {
		if got := x.resolve(tt.grant); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Builds without claims read 512 bytes of a datagram and can't decode a longer one. Guards against
// longer ones, with the largest figures and many parts.
func TestDatagramsToOldBuildsAreAsBefore(t *testing.T) {
	const most = math.MaxInt32

	p := Report{
		Engine: "255.255.255.255:65535", Sequence: math.MaxUint32, SourceStart: math.MaxInt64, Running: most, Waiting: most, Prefilling: most, UsedTokens: most, TotalTokens: most,
		Model: "shuttle-8b", Version: most, Clock: math.MaxInt64, StartedMs: math.MaxInt64, Slowdown: 250, SlowdownAgeMs: 100, Speed: 120, Backlog: most, Leased: most, Leases: 7, StateSequence: 9,
	}
	for i := range 100 {
		p.Resident = append(p.Resident, resident.Part{Key: math.MaxUint64 - uint64(i), Tokens: 12_800})
	}

	var old, current Report

	body := encodeFor(subscriber{}, p)
	if err := cbor.Unmarshal(body, &old); err != nil || len(body) > maxLegacyDatagram {
		t.Errorf("old build: got %d bytes, %v", len(body), err)
	}

	if old.Backlog+old.Leases+int(old.StateSequence)+old.Slowdown != 0 || old.Running != p.Running || len(old.Resident) == 0 {
		t.Errorf("old build: got %+v", old)
	}

	body = encodeFor(subscriber{start: 1}, p)
	if err := cbor.Unmarshal(body, &current); err != nil || len(body) > maxDatagram {
		t.Errorf("got %d bytes, %v", len(body), err)
	}

	if current.Backlog != most || current.StateSequence != 9 || len(current.Resident) <= len(old.Resident) {
		t.Errorf("got %+v", current)
	}
}

// Guards against a build without claims that can't decode what one with claims sends, and the reverse.
func TestBuildsIgnoreFieldsThatTheyDoNotKnow(t *testing.T) {
	type oldReport struct {
		Engine   string `cbor:"1,keyasint"`
		Sequence uint64 `cbor:"2,keyasint"`
		Running  int    `cbor:"4,keyasint"`
	}

	type oldSubscription struct {
		IntervalMs int64 `cbor:"1,keyasint,omitempty"`
		Demand     int   `cbor:"2,keyasint,omitempty"`
	}

	var report oldReport

	body := encode(Report{Engine: engineAddress, Sequence: 3, Running: 4, Backlog: 5, Leased: 6, Leases: 7, StateSequence: 8, LeasesOnly: true, Grants: []room.Grant{{ID: 1}}})
	if err := cbor.Unmarshal(body, &report); err != nil || report != (oldReport{engineAddress, 3, 4}) {
		t.Errorf("got %+v, %v", report, err)
	}

	var old oldSubscription

	body = encodeSubscription(Subscription{IntervalMs: 100, Demand: 5, Start: 1, Claims: []room.Claim{{ID: 1}}, Started: []uint64{1}, Done: []uint64{2}})
	if err := cbor.Unmarshal(body, &old); err != nil || old != (oldSubscription{100, 5}) {
		t.Errorf("got %+v, %v", old, err)
	}

	body, err := cbor.Marshal(old)
	if err != nil {
		t.Fatal(err)
	}

	var s Subscription
	if err := cbor.Unmarshal(body, &s); err != nil || s.Start != 0 || s.IntervalMs != 100 {
		t.Errorf("got %+v, %v", s, err)
	}
}

// Old builds take each report for a new query of the engine, and would forget what they sent since.
func TestReportsArePushedToNewBuildsOnly(t *testing.T) {
	r := &Reporter{subscribers: map[string]subscriber{}}
	now := time.Unix(100, 0)
	r.subscribe(now, &net.UDPAddr{Port: 1}, Subscription{})
	r.subscribe(now, &net.UDPAddr{Port: 2}, Subscription{Start: 5})

	if got := r.leaseSubscribers(now); len(got) != 1 || got[0].Port != 2 {
		t.Errorf("got %v, want pushed reports for the new build only", got)
	}
}

// Old side processes read 512 bytes of a subscription.
func TestSubscriptionsFitOldBuilds(t *testing.T) {
	x := newClaimTable(time.Now())
	x.lastID = math.MaxUint64 - 1000

	for range 3 * maxNotes {
		id, _, _, _ := x.begin(time.Now(), "e")
		x.resolve(room.Grant{ID: id})
		x.noteStarted("e", id)
		x.noteDone("e", id)
	}

	sent := 0

	for more := true; more; {
		var s Subscription

		s, more = x.takeNotes("e")
		sent += len(s.Started) + len(s.Done)
		s.IntervalMs, s.Demand, s.Start = math.MaxInt32, math.MaxInt32, math.MaxInt64
		s.Slowdown, s.Speed, s.SpeedSamples, s.Utilisation = 10_000, 400, math.MaxInt32, 100
		s.Claims = []room.Claim{{ID: math.MaxUint64, PrefillTokens: math.MaxInt32, MemoryTokens: math.MaxInt32, MaxBacklog: math.MaxInt32, Rank: 9, TimeLeftMs: math.MaxInt32, TokensPerMs: 1.0 / 3}}

		if body := encodeSubscription(s); len(body) > maxLegacyDatagram {
			t.Errorf("got %d bytes, want %d at most", len(body), maxLegacyDatagram)
		}
	}

	if want := 6 * maxNotes; sent != want {
		t.Errorf("got %d ids, want %d", sent, want)
	}
}

// Many prompts of an entry claim at once while others end. Guards against races between the replies
// and the prompts, and against leases that are left over.
func TestConcurrentClaimsLeaveNoLease(t *testing.T) {
	ledger := room.NewLedger()
	p := newPair(t, ledger)
	p.await(t, "the engine's state", func(r Report) bool { return r.StateSequence > 0 })

	var wg sync.WaitGroup

	for range 24 {
		wg.Go(func() {
			g, err := p.listener.Claim(context.Background(), engineAddress, room.Claim{PrefillTokens: 10, MemoryTokens: 10_000, MaxBacklog: 1 << 30, TimeLeftMs: 600_000})
			if err != nil || g.Outcome != room.Granted {
				return
			}

			p.listener.Started(engineAddress, g.ID)
			p.listener.Done(engineAddress, g.ID)
		})
	}

	wg.Wait()

	p.await(t, "no lease", func(Report) bool { return ledger.Usage(time.Now()).Held == 0 })
}

// The side process of an engine replies to no claim before it has queried the engine, as after a start of
// all processes. Guards against entries that then claim nothing at that engine for seconds: each of
// them would send long prompts there unseen by the others.
func TestClaimsResumeWithTheFirstReportOfASideProcess(t *testing.T) {
	tests := []struct {
		name   string
		report Report
		want   bool // whether the next claim is sent
	}{
		{"first report", Report{Engine: "a", SourceStart: 1, Sequence: 1}, true},
		{"next report of the same start", Report{Engine: "a", SourceStart: 1, Sequence: 2}, false},
		{"side process restarted", Report{Engine: "a", SourceStart: 2, Sequence: 1}, true},
		{"late report of the earlier start", Report{Engine: "a", SourceStart: 1, Sequence: 3}, false},
	}

	now := time.Unix(100, 0)
	l := &Listener{latest: map[string]Report{}, claims: newClaimTable(now)}

	for _, tt := range tests {
		for range unansweredLimit {
			id, _, _, _ := l.claims.begin(now, "a")
			l.claims.abandon(now, "a", id, true)
		}

		l.newer(tt.report)

		if _, _, _, got := l.claims.begin(now, "a"); got != tt.want {
			t.Errorf("%s: got claim sent %v, want %v", tt.name, got, tt.want)
		}
	}
}
