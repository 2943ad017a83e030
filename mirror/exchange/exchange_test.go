package exchange

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"boragehub/mirror"
	"boragehub/quarantine"
	"boragehub/vault"
)

// testEntry is an entry that serves calls over HTTP.
type testEntry struct {
	topic   mirror.Topic
	members *Members
	vaults  *vault.Directory
	known   quarantine.Evidence
	address string

	mu            sync.Mutex
	announcements []VersionAnnouncement
	crashes       chan quarantine.Crash
	limits        chan RateLimitAnnouncement
	leaving       chan LeavingAnnouncement
	cleared       chan []quarantine.Acquittal
}

// received returns the announcements received so far.
func (e *testEntry) received() []VersionAnnouncement {
	e.mu.Lock()
	defer e.mu.Unlock()

	return append([]VersionAnnouncement{}, e.announcements...)
}

func newEntry(t *testing.T, seeds ...string) *testEntry {
	t.Helper()

	e := &testEntry{vaults: vault.NewDirectory(1), known: quarantine.Evidence{Requests: quarantine.NewTracker(quarantine.TrackerConfig{}), Parts: quarantine.NewPartTracker(quarantine.PartTrackerConfig{Separation: 1})}, crashes: make(chan quarantine.Crash, 1), limits: make(chan RateLimitAnnouncement, 1), leaving: make(chan LeavingAnnouncement, 1), cleared: make(chan []quarantine.Acquittal, 1)}
	s := httptest.NewUnstartedServer(nil)
	e.address = s.Listener.Addr().String()
	e.members = NewMembers(e.address, seeds)
	s.Config.Handler = NewServer(ServerConfig{
		Members: e.members, Topics: map[string]*mirror.Topic{"t": &e.topic}, Vaults: e.vaults, Crashes: e.known,
		OnAnnouncement: func(_ time.Time, n VersionAnnouncement) {
			e.mu.Lock()
			defer e.mu.Unlock()

			e.announcements = append(e.announcements, n)
		},
		OnCrash: func(_ time.Time, c quarantine.Crash) []quarantine.Acquittal {
			e.crashes <- c

			return e.known.Parts.Acquittals(c.Parts...)
		},
		OnRateLimit: func(_ time.Time, l RateLimitAnnouncement) { e.limits <- l },
		OnLeaving:   func(_ time.Time, l LeavingAnnouncement) { e.leaving <- l },
		OnCleared:   func(_ time.Time, all []quarantine.Acquittal) { e.cleared <- all },
	})
	s.Start()
	t.Cleanup(s.Close)

	return e
}

// unresponsiveEntry returns the address of an entry that accepts connections but never responds,
// like a paused VM.
func unresponsiveEntry(t *testing.T) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	return l.Addr().String()
}

func TestNewestResponseIsUsed(t *testing.T) {
	old, current := newEntry(t), newEntry(t)
	old.topic.Merge(mirror.Batch{Records: []mirror.Record{{Key: "config", Value: []byte("1"), Offset: 0}}, End: 1, AsOf: time.Now()})
	current.topic.Merge(mirror.Batch{Records: []mirror.Record{{Key: "config", Value: []byte("2"), Offset: 1}}, End: 2, AsOf: time.Now()})

	c := NewClient(NewMembers("", []string{old.address, current.address, unresponsiveEntry(t)}))

	b, err := c.Fetch(context.Background(), "t", mirror.Position{})
	if err != nil || b.End != 2 || len(b.Records) != 1 || string(b.Records[0].Value) != "2" || b.AsOf.IsZero() {
		t.Errorf("got %+v %v, want the newer record", b, err)
	}
}

func TestFetchFailsWithoutResponsiveEntries(t *testing.T) {
	if _, err := NewClient(NewMembers("", nil)).Fetch(context.Background(), "t", mirror.Position{}); err == nil {
		t.Error("got no error")
	}

	if _, err := NewClient(NewMembers("", []string{unresponsiveEntry(t)})).Fetch(context.Background(), "t", mirror.Position{}); err == nil {
		t.Error("unresponsive entry: got no error")
	}
}

// Guards against entries that don't discover each other. Settings contain at most three seeds,
// which may be outdated; all other entries are discovered through them.
func TestEntriesFindEachOther(t *testing.T) {
	seed := newEntry(t)
	a, b := newEntry(t, seed.address), newEntry(t, seed.address)

	for range 2 {
		NewClient(a.members).GossipRound(context.Background())
		NewClient(b.members).GossipRound(context.Background())
	}

	live := a.members.Live(time.Now())
	if !contains(live, b.address) || !contains(live, seed.address) || contains(live, a.address) {
		t.Errorf("got %v, want the other entries", live)
	}

	if got := a.members.Live(time.Now().Add(time.Hour)); len(got) != 0 {
		t.Errorf("an hour later: got %v, want no entries", got)
	}
}

// Guards against an entry that is cut off and takes a share of what all entries may do, as if it counted them all.
func TestEntryThatHearsOfNobodyIsNotInTouch(t *testing.T) {
	now := time.Now()
	alone, started, cut := NewMembers("a", []string{"a"}), NewMembers("a", []string{"a", "b"}), NewMembers("a", []string{"a", "b"})
	cut.MarkAlive(now.Add(-contactTTL-time.Millisecond), "b")
	cut.Merge(now, []Member{{Address: "c"}})

	heard := NewMembers("a", []string{"a", "b"})
	heard.MarkAlive(now.Add(-contactTTL), "b")

	tests := []struct {
		name string
		m    *Members
		want bool
	}{{"the only one", alone, true}, {"just started", started, false}, {"cut off", cut, false}, {"heard lately", heard, true}}

	for _, tt := range tests {
		if got := tt.m.InTouch(now); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against a wait that returns before the other entries are known, or never returns if
// there are none.
func TestWaitConverged(t *testing.T) {
	const timeout = 200 * time.Millisecond

	seed := newEntry(t)
	a, alone := newEntry(t, seed.address), newEntry(t)

	tests := []struct {
		name string
		e    *testEntry
		want int // known entries, including itself
	}{{"another entry", a, 2}, {"no other entry", alone, 1}}

	for _, tt := range tests {
		ctx, cancel := context.WithCancel(t.Context())
		c := NewClient(tt.e.members)

		go c.Run(ctx)

		c.WaitConverged(ctx, timeout)

		if got := tt.e.members.Size(time.Now()); got != tt.want {
			t.Errorf("%s: got %d known entries, want %d", tt.name, got, tt.want)
		}

		cancel()
	}
}

// Guards against a paused entry that delays the announcements of a rollout. It delayed each rollout
// slot by 0.8 s, so that two slots overlapped and twice as many engines were unavailable at once.
func TestPausedEntryDoesNotDelayAnnouncements(t *testing.T) {
	e := newEntry(t)
	c := NewClient(NewMembers("", []string{e.address, unresponsiveEntry(t)}))
	began := time.Now()

	c.AnnounceVersion(context.Background(), "10.0.0.1:80", "m", 2, false)

	if took := time.Since(began); took > callTimeout {
		t.Errorf("got a return of AnnounceVersion after %v, want at most %v", took, announceTimeout)
	}

	for range 500 {
		if len(e.received()) > 0 {
			break
		}

		time.Sleep(10 * time.Millisecond)
	}

	if got := e.received(); len(got) != 1 || got[0] != (VersionAnnouncement{Address: "10.0.0.1:80", Model: "m", Version: 2}) {
		t.Errorf("got announcements %v", got)
	}
}

func TestRanksDiffer(t *testing.T) {
	now := time.Now()
	all := []string{"a", "b", "c", "d"}
	seen := map[int]bool{}

	for _, self := range all {
		m := NewMembers(self, nil)
		for _, other := range all {
			m.MarkAlive(now, other)
		}

		seen[m.Rank(now, "store")] = true
	}

	if len(seen) != len(all) {
		t.Errorf("got ranks %v, want %d different ones", seen, len(all))
	}
}

func TestStoreUpdatesAreReturned(t *testing.T) {
	e := newEntry(t)
	e.vaults.Configure([]vault.Store{{Address: "s1"}})
	e.vaults.ApplyListing(time.Now(), "s1", vault.Listing{Epoch: 3, Clock: 5, Held: []vault.Held{{Part: vault.Part{Salt: "x", ID: "a"}, Tokens: 7}}})

	u, err := NewClient(NewMembers("", nil)).StoreUpdates(context.Background(), e.address, []vault.Position{{Address: "s1"}, {Address: "s2"}})
	if err != nil || len(u) != 2 || !u[0].Reachable || len(u[0].Events) != 1 || u[0].Events[0].Tokens != 7 || u[1].Reachable {
		t.Errorf("got %+v %v", u, err)
	}
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	e := newEntry(t)

	for _, path := range []string{noticePath, vaultsPath, crashPath} {
		resp, err := http.Post("http://"+e.address+path, "", strings.NewReader("\xff\xff no message"))
		if err != nil || resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: got %v %v, want 400", path, resp, err)
		}
	}

	resp, err := http.Get("http://" + e.address + recordsPath + "?topic=t&from=x")
	if err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("got %v %v, want 400", resp, err)
	}
}

// Guards against polls that return changes late, and against polls that are held by a reader that
// is cut off from the log.
func TestPollWaitsForChanges(t *testing.T) {
	change := mirror.Batch{Records: []mirror.Record{{Key: "config", Value: []byte("2"), Offset: 7}}, End: 8}

	tests := []struct {
		name string
		// age is the age of the reader's records; later is merged during the poll.
		age   time.Duration
		later mirror.Batch
		want  int
	}{
		{"no change", 0, mirror.Batch{}, 0},
		{"a change", 0, change, 1},
		{"cut off from the log", time.Minute, mirror.Batch{}, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(t)
			e.topic.Merge(mirror.Batch{End: 7, Snapshot: true, AsOf: time.Now().Add(-tt.age)})
			time.AfterFunc(20*time.Millisecond, func() { e.topic.Merge(tt.later) })

			b, err := NewClient(NewMembers("", nil)).Poll(context.Background(), e.address, "t", mirror.Position{Offset: 7}, 200*time.Millisecond)
			if err != nil || len(b.Records) != tt.want {
				t.Errorf("got %d records %v, want %d", len(b.Records), err, tt.want)
			}

			if got := time.Since(b.AsOf); got < tt.age {
				t.Errorf("got records that are %v old, want at least %v", got, tt.age)
			}
		})
	}
}

func TestPollNeedsLoadedTopic(t *testing.T) {
	e := newEntry(t)

	if _, err := NewClient(NewMembers("", nil)).Poll(context.Background(), e.address, "t", mirror.Position{}, time.Millisecond); err == nil {
		t.Error("got no error from an entry that has not loaded the topic")
	}
}

// Guards against dead entries that never expire because the others keep reporting them to each
// other. Each round of calls would wait for them.
func TestDeadEntriesExpireEverywhere(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b := NewMembers("a", nil), NewMembers("b", nil)
	a.MarkAlive(start, "dead")

	for s := range 30 {
		now := start.Add(time.Duration(s) * time.Second)
		b.Merge(now, a.Sample(now))
		a.Merge(now, b.Sample(now))

		want := time.Duration(s)*time.Second <= memberTTL
		if got := contains(b.Live(now), "dead"); got != want {
			t.Fatalf("after %d s: got the entry known %v, want %v", s, got, want)
		}
	}
}

func TestSampleOfMembersIsBounded(t *testing.T) {
	m, now := NewMembers("self", nil), time.Unix(1000, 0)

	for i := range 10 * maxSample {
		m.MarkAlive(now, strconv.Itoa(i))
	}

	if got := len(m.Sample(now)); got != maxSample {
		t.Errorf("got %d entries, want %d", got, maxSample)
	}

	if got := len(m.Sample(now.Add(time.Minute))); got != 0 {
		t.Errorf("a minute later: got %d entries, want none", got)
	}
}

func TestCrashesAreReportedToOtherEntries(t *testing.T) {
	e := newEntry(t)
	want := quarantine.Crash{Target: "t1", Boot: "t1", Running: []quarantine.Fingerprint{quarantine.FingerprintOf("ferry", []byte("poison"))}}

	NewClient(NewMembers("", []string{e.address})).ReportCrash(want)

	if got := <-e.crashes; got.Target != want.Target || len(got.Running) != 1 || got.Running[0] != want.Running[0] {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against polls that return immediately because the reader reads the log by long polls, so
// that its records are up to 1 s old. Each client would then poll it hundreds of times per second,
// which increases the processor time of entries by half.
func TestPollsAreHeldByLongPollingReader(t *testing.T) {
	const wait = 100 * time.Millisecond

	tests := []struct {
		age  time.Duration
		held bool
	}{
		{0, true}, {wait, true}, {3 * wait / 2, true}, {3 * wait, false},
	}

	for _, tt := range tests {
		topic, now := &mirror.Topic{}, time.Now()
		topic.Merge(mirror.Batch{End: 1, Snapshot: true, AsOf: now.Add(-tt.age)})

		waitForRecords(context.Background(), now, topic, mirror.Position{Offset: 1}, wait)

		if got := time.Since(now) >= wait/4; got != tt.held {
			t.Errorf("records %v old: got the request held %v, want %v", tt.age, got, tt.held)
		}
	}
}

func TestLeavingTargetsAreAnnouncedToOtherEntries(t *testing.T) {
	e := newEntry(t)
	want := LeavingAnnouncement{Target: "i-1", StartedMs: 7}

	NewClient(NewMembers("", []string{e.address, unresponsiveEntry(t)})).AnnounceLeaving(context.Background(), want)

	if got := <-e.leaving; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestRateLimitsAreAnnouncedToOtherEntries(t *testing.T) {
	a, b := newEntry(t), newEntry(t)
	want := RateLimitAnnouncement{Target: "i-1", Limit: 4.6}

	NewClient(NewMembers("", []string{a.address, b.address, unresponsiveEntry(t)})).AnnounceRateLimit(context.Background(), want)

	for _, e := range []*testEntry{a, b} {
		if got := <-e.limits; got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

// Guards against an entry that has just started, or missed a report, and sends a request on that others
// know to crash its targets.
func TestStartingEntryLearnsOfEarlierCrashes(t *testing.T) {
	old := newEntry(t)
	before := time.Now().Add(-time.Hour)
	f := quarantine.FingerprintOf("ferry", []byte("f"))

	for _, id := range []string{"t1", "t2"} {
		old.known.Requests.RecordCrash(before, quarantine.Crash{Target: id, Boot: id, At: before, Running: []quarantine.Fingerprint{f}})
	}

	for i, id := range []string{"t3", "t4", "t5"} {
		at := before.Add(time.Duration(i) * time.Second)
		old.known.Parts.RecordCrash(at, quarantine.Crash{Target: id, Boot: id, At: at, Parts: []string{"p"}})
	}

	started := quarantine.Evidence{Requests: quarantine.NewTracker(quarantine.TrackerConfig{}), Parts: quarantine.NewPartTracker(quarantine.PartTrackerConfig{})}
	c := NewClient(NewMembers("", []string{old.address}))
	l := &learner{known: started}

	for range 2 {
		if err := c.syncCrashes(t.Context(), started, l); err != nil {
			t.Fatal(err)
		}
	}

	if status, _ := started.Requests.Check(time.Now(), f); status != quarantine.Quarantined || l.crashes != 5 {
		t.Errorf("got the request %v, and %d crashes, want it quarantined, and five crashes sent once", status, l.crashes)
	}

	if got, want := started.Parts.Check(time.Now(), []string{"p"}).Status, quarantine.Quarantined; got != want {
		t.Errorf("got the part %v after three crashes, want %v", got, want)
	}

	if got := started.Crashes(time.Now())[0].At; got.Sub(before).Abs() > time.Minute {
		t.Errorf("got a crash at %v, want %v", got, before)
	}
}

// learner adds what others know to what a process knows.
type learner struct {
	known   quarantine.Evidence
	crashes int
}

func (l *learner) AddKnownCrash(now time.Time, c quarantine.Crash) {
	l.crashes++

	if len(c.Running) > 0 {
		l.known.Requests.RecordKnownCrash(now, c)
	}

	l.known.Parts.RecordCrash(now, c)
}

func (l *learner) AddAcquittals(now time.Time, all []quarantine.Acquittal) { l.known.Acquit(now, all) }

// Guards against an entry that refuses what got responses after the crashes that it has heard of: one that started
// meanwhile, or that the report of the response did not reach.
func TestEntryLearnsWhatWasClearedElsewhere(t *testing.T) {
	other := newEntry(t)
	f := quarantine.FingerprintOf("ferry", []byte("f"))
	missed := quarantine.Evidence{Requests: quarantine.NewTracker(quarantine.TrackerConfig{}), Parts: quarantine.NewPartTracker(quarantine.PartTrackerConfig{})}
	began := time.Now().Add(-time.Minute)

	for i, id := range []string{"t1", "t2", "t3"} {
		at := began.Add(time.Duration(i) * time.Second)
		c := quarantine.Crash{Target: id, Boot: id, At: at, Running: []quarantine.Fingerprint{f}, Parts: []string{"p"}}

		for _, k := range []quarantine.Evidence{other.known, missed} {
			k.Requests.RecordCrash(at, c)
			k.Parts.RecordCrash(at, c)
		}
	}

	other.known.Requests.RecordCompletion(began.Add(10*time.Second), f)
	other.known.Parts.RecordCompletion(began.Add(10*time.Second), []string{"p"})

	started := quarantine.Evidence{Requests: quarantine.NewTracker(quarantine.TrackerConfig{}), Parts: quarantine.NewPartTracker(quarantine.PartTrackerConfig{})}
	c := NewClient(NewMembers("", []string{other.address}))

	for _, tt := range []struct {
		name  string
		known quarantine.Evidence
	}{{"started", started}, {"missed the report", missed}} {
		if err := c.syncCrashes(t.Context(), tt.known, &learner{known: tt.known}); err != nil {
			t.Fatal(err)
		}

		if status, _ := tt.known.Requests.Check(time.Now(), f); status != quarantine.Clear {
			t.Errorf("%s: got the request %v, want it clear", tt.name, status)
		}

		if v := tt.known.Parts.Check(time.Now(), []string{"p"}); v.Status != quarantine.Clear {
			t.Errorf("%s: got the part %v, want it clear", tt.name, v.Status)
		}
	}
}

// Guards against a part that got a response at another entry shortly before a crash, and that the entry which reports
// the crash goes on suspecting.
func TestReporterOfACrashLearnsWhatOthersHaveServed(t *testing.T) {
	e := newEntry(t)
	now := time.Now()
	e.known.Parts.RecordCompletion(now, []string{"served"})
	e.known.Parts.RecordCrash(now, quarantine.Crash{Target: "t0", Boot: "t0", At: now, Parts: []string{"served"}})

	all := NewClient(NewMembers("", []string{e.address, unresponsiveEntry(t)})).ReportCrash(quarantine.Crash{Target: "t1", Boot: "t1", Parts: []string{"served", "new"}})

	if len(all) != 1 || all[0].Part != "served" || all[0].At.Sub(now).Abs() > time.Minute {
		t.Errorf("got %+v, want the part served", all)
	}
}

// Guards against entries that go on refusing requests, or prompts with a part, that got a response at another one, and
// against a response that clears crashes which came after it.
func TestResponsesThatClearAreReportedToOtherEntries(t *testing.T) {
	e := newEntry(t)
	f := quarantine.FingerprintOf("ferry", []byte("f"))
	want := []quarantine.Acquittal{{Part: "a", At: time.Now().Add(-time.Hour)}, {Part: "b", At: time.Now()}, {Request: f, At: time.Now().Add(-2 * time.Hour)}}

	NewClient(NewMembers("", []string{e.address})).ReportCleared(want)

	got := <-e.cleared
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}

	for i, a := range got {
		if w := want[i]; a.Part != w.Part || a.Request != w.Request || a.At.Sub(w.At).Abs() > time.Minute {
			t.Errorf("got %+v, want %+v", a, w)
		}
	}
}

// Guards against an entry that is taken to know a record, because it has read another one at that offset in
// an earlier or a later era of the log.
func TestEntryKnowsPositionsOfItsEraOnly(t *testing.T) {
	e := newEntry(t)
	e.topic.Merge(mirror.Batch{Snapshot: true, Era: 2, End: 5, AsOf: time.Now()})

	c := NewClient(NewMembers("", nil))

	// Guards against an entry that counts as knowing new weights while it still grants fetches of the old ones.
	if c.Knows(t.Context(), e.address, "t", mirror.Position{Era: 2, Offset: 4}) {
		t.Error("got a position known that the entry has merged and not acted on yet, want it unknown")
	}

	e.topic.SetHandled(mirror.Position{Era: 2, Offset: 5})

	for _, tt := range []struct {
		at   mirror.Position
		want bool
	}{
		{mirror.Position{Era: 2, Offset: 4}, true},
		{mirror.Position{Era: 2, Offset: 5}, false},
		{mirror.Position{Era: 1, Offset: 4}, false},
		{mirror.Position{Era: 3, Offset: 4}, false},
	} {
		if got := c.Knows(t.Context(), e.address, "t", tt.at); got != tt.want {
			t.Errorf("%v: got %v, want %v", tt.at, got, tt.want)
		}
	}
}

// Guards against an entry that polls another one across a reset of the log and misses records, waits for
// them, or takes part of the new era for all of it.
func TestPollAcrossEras(t *testing.T) {
	record := mirror.Record{Key: "config", Value: []byte("2"), Offset: 3, Era: 2}
	e := newEntry(t)
	e.topic.Merge(mirror.Batch{Snapshot: true, Records: []mirror.Record{record}, Era: 2, End: 4, AsOf: time.Now()})

	c := NewClient(NewMembers("", nil))

	for _, tt := range []struct {
		name     string
		from     mirror.Position
		records  int
		snapshot bool
	}{
		{"earlier era, higher offset", mirror.Position{Era: 1, Offset: 9}, 1, true},
		{"later era", mirror.Position{Era: 3, Offset: 1}, 1, true},
		{"same era", mirror.Position{Era: 2, Offset: 4}, 0, false},
	} {
		b, err := c.Poll(t.Context(), e.address, "t", tt.from, 20*time.Millisecond)
		if err != nil || b.Era != 2 || len(b.Records) != tt.records || b.Snapshot != tt.snapshot {
			t.Errorf("%s: got %+v %v, want %d records, snapshot %v", tt.name, b, err, tt.records, tt.snapshot)
		}
	}
}

// Guards against records that pass for more recent than they are: the process that passes them on measures
// their age on a clock that stands still while its VM is suspended.
func TestRecordsKeepTheSharedTimeOfTheirRead(t *testing.T) {
	e := newEntry(t)
	e.topic.Merge(mirror.Batch{Snapshot: true, Era: 1, End: 5, AsOf: time.Now(), AsOfShared: 700})

	c := NewClient(NewMembers("", []string{e.address}))

	b, err := c.Fetch(t.Context(), "t", mirror.Position{Era: 1, Offset: 5})
	if err != nil {
		t.Fatal(err)
	}

	if got, want := b.AsOfShared, int64(700); got != want {
		t.Errorf("got records as of %d ms, want %d", got, want)
	}
}
