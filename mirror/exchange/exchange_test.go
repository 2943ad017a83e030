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

// entry is a process that answers others.
type entry struct {
	topic   mirror.Topic
	members *Members
	vaults  *vault.Directory
	address string

	mu      sync.Mutex
	notices []Notice
	crashes chan quarantine.Crash
}

func (e *entry) told() []Notice {
	e.mu.Lock()
	defer e.mu.Unlock()

	return append([]Notice{}, e.notices...)
}

func newEntry(t *testing.T, seeds ...string) *entry {
	t.Helper()

	e := &entry{vaults: vault.NewDirectory(1), crashes: make(chan quarantine.Crash, 1)}
	s := httptest.NewUnstartedServer(nil)
	e.address = s.Listener.Addr().String()
	e.members = NewMembers(e.address, seeds)
	s.Config.Handler = NewServer(ServerConfig{
		Members: e.members, Topics: map[string]*mirror.Topic{"t": &e.topic}, Vaults: e.vaults,
		Notice: func(_ time.Time, n Notice) {
			e.mu.Lock()
			defer e.mu.Unlock()

			e.notices = append(e.notices, n)
		},
		Crash: func(_ time.Time, c quarantine.Crash) { e.crashes <- c },
	})
	s.Start()
	t.Cleanup(s.Close)

	return e
}

// still is an entry that takes connections and answers nothing, as a machine that
// stands still.
func still(t *testing.T) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	return l.Addr().String()
}

func TestNewestOfSeveralAnswersIsTaken(t *testing.T) {
	old, current := newEntry(t), newEntry(t)
	old.topic.Merge(mirror.Batch{Records: []mirror.Record{{Key: "config", Value: []byte("1"), Offset: 0}}, End: 1, AsOf: time.Now()})
	current.topic.Merge(mirror.Batch{Records: []mirror.Record{{Key: "config", Value: []byte("2"), Offset: 1}}, End: 2, AsOf: time.Now()})

	c := NewClient(NewMembers("", []string{old.address, current.address, still(t)}))

	b, err := c.Newer(context.Background(), "t", 0)
	if err != nil || b.End != 2 || len(b.Records) != 1 || string(b.Records[0].Value) != "2" || b.AsOf.IsZero() {
		t.Errorf("got %+v %v, want the record of the newer one", b, err)
	}
}

func TestNobodyToAskIsSaid(t *testing.T) {
	if _, err := NewClient(NewMembers("", nil)).Newer(context.Background(), "t", 0); err == nil {
		t.Error("got no error")
	}

	if _, err := NewClient(NewMembers("", []string{still(t)})).Newer(context.Background(), "t", 0); err == nil {
		t.Error("from one that stands still: got no error")
	}
}

// Settings name three entries at most, and those may be out of date. All others
// are found through them.
func TestEntriesFindEachOther(t *testing.T) {
	seed := newEntry(t)
	a, b := newEntry(t, seed.address), newEntry(t, seed.address)

	for range 2 {
		NewClient(a.members).Hello(context.Background())
		NewClient(b.members).Hello(context.Background())
	}

	live := a.members.Live(time.Now())
	if !contains(live, b.address) || !contains(live, seed.address) || contains(live, a.address) {
		t.Errorf("got %v, want the others", live)
	}

	if got := a.members.Live(time.Now().Add(time.Hour)); len(got) != 0 {
		t.Errorf("an hour later: got %v, want nobody", got)
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
		e    *entry
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

// An entry stands still while engines take turns to load weights. Waited for, it
// held each turn up by 0.8 s, so that two turns fell together and twice as many
// engines were out at once.
func TestEntryThatStandsStillHoldsNobodyUp(t *testing.T) {
	e := newEntry(t)
	c := NewClient(NewMembers("", []string{e.address, still(t)}))
	began := time.Now()

	c.Tell(context.Background(), "10.0.0.1:80", "m", 2, false)

	if took := time.Since(began); took > callTimeout {
		t.Errorf("got it told after %v, want %v at most", took, tellPatience)
	}

	for range 500 {
		if len(e.told()) > 0 {
			break
		}

		time.Sleep(10 * time.Millisecond)
	}

	if got := e.told(); len(got) != 1 || got[0] != (Notice{Address: "10.0.0.1:80", Model: "m", Version: 2}) {
		t.Errorf("got %v told", got)
	}
}

func TestTurnsDiffer(t *testing.T) {
	now := time.Now()
	all := []string{"a", "b", "c", "d"}
	seen := map[int]bool{}

	for _, self := range all {
		m := NewMembers(self, nil)
		for _, other := range all {
			m.Saw(now, other)
		}

		seen[m.Rank(now, "store")] = true
	}

	if len(seen) != len(all) {
		t.Errorf("got turns %v, want %d different ones", seen, len(all))
	}
}

func TestStoresAreToldOf(t *testing.T) {
	e := newEntry(t)
	e.vaults.Configure([]vault.Store{{Address: "s1"}})
	e.vaults.Learn(time.Now(), "s1", vault.Listing{Epoch: 3, Clock: 5, Held: []vault.Held{{Part: vault.Part{Salt: "x", ID: "a"}, Tokens: 7}}})

	u, err := NewClient(NewMembers("", nil)).Ask(context.Background(), e.address, []vault.Position{{Address: "s1"}, {Address: "s2"}})
	if err != nil || len(u) != 2 || !u[0].Watched || len(u[0].Events) != 1 || u[0].Events[0].Tokens != 7 || u[1].Watched {
		t.Errorf("got %+v %v", u, err)
	}
}

func TestMessagesThatAreNoneAreRefused(t *testing.T) {
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

// A process that waits at a reader has to have what is new at once, and must not wait
// at one that can't read the log itself.
func TestFollowWaitsForNews(t *testing.T) {
	news := mirror.Batch{Records: []mirror.Record{{Key: "config", Value: []byte("2"), Offset: 7}}, End: 8}

	tests := []struct {
		name string
		// age is how old the reader's knowledge is, later what it learns meanwhile.
		age   time.Duration
		later mirror.Batch
		want  int
	}{
		{"nothing new", 0, mirror.Batch{}, 0},
		{"something new", 0, news, 1},
		{"cut off from the log", time.Minute, mirror.Batch{}, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(t)
			e.topic.Merge(mirror.Batch{End: 7, Whole: true, AsOf: time.Now().Add(-tt.age)})
			time.AfterFunc(20*time.Millisecond, func() { e.topic.Merge(tt.later) })

			b, err := NewClient(NewMembers("", nil)).Follow(context.Background(), e.address, "t", 7, 200*time.Millisecond)
			if err != nil || len(b.Records) != tt.want {
				t.Errorf("got %d records %v, want %d", len(b.Records), err, tt.want)
			}

			if got := time.Since(b.AsOf); got < tt.age {
				t.Errorf("got it %v old, want %v at least", got, tt.age)
			}
		})
	}
}

func TestFollowNeedsAWholeTopic(t *testing.T) {
	e := newEntry(t)

	if _, err := NewClient(NewMembers("", nil)).Follow(context.Background(), e.address, "t", 0, time.Millisecond); err == nil {
		t.Error("got no error from a reader that has read nothing")
	}
}

// Entries tell each other whom they know. A dead one must not live on in what they
// tell each other: it would be asked, and waited for, for ever.
func TestDeadEntriesAreForgottenByAll(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b := NewMembers("a", nil), NewMembers("b", nil)
	a.Saw(start, "dead")

	for s := range 30 {
		now := start.Add(time.Duration(s) * time.Second)
		b.Heard(now, a.Tell(now))
		a.Heard(now, b.Tell(now))

		want := time.Duration(s)*time.Second <= memberAge
		if got := contains(b.Live(now), "dead"); got != want {
			t.Fatalf("after %d s: got it known %v, want %v", s, got, want)
		}
	}
}

func TestAnswersTellOfAFewEntries(t *testing.T) {
	m, now := NewMembers("self", nil), time.Unix(1000, 0)

	for i := range 10 * told {
		m.Saw(now, strconv.Itoa(i))
	}

	if got := len(m.Tell(now)); got != told {
		t.Errorf("got %d told, want %d", got, told)
	}

	if got := len(m.Tell(now.Add(time.Minute))); got != 0 {
		t.Errorf("a minute later: got %d told, want none", got)
	}
}

func TestCrashesAreToldToOtherEntries(t *testing.T) {
	e := newEntry(t)
	want := quarantine.Crash{Target: "t1", Boot: "t1", Running: []quarantine.Fingerprint{quarantine.Of("ferry", []byte("poison"))}}

	NewClient(NewMembers("", []string{e.address})).TellCrash(want)

	if got := <-e.crashes; got.Target != want.Target || len(got.Running) != 1 || got.Running[0] != want.Running[0] {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// A reader that waits at the log itself knows things that are up to a second old. Whoever
// waits there must not be answered at once each time: it would ask hundreds of times a
// second, and one notices entries that take half as much processor time again.
func TestQuestionsAreHeldAtAReaderThatWaitsItself(t *testing.T) {
	const wait = 100 * time.Millisecond

	tests := []struct {
		age  time.Duration
		held bool
	}{
		{0, true}, {wait, true}, {3 * wait / 2, true}, {3 * wait, false},
	}

	for _, tt := range tests {
		topic, now := &mirror.Topic{}, time.Now()
		topic.Merge(mirror.Batch{End: 1, Whole: true, AsOf: now.Add(-tt.age)})

		hold(context.Background(), now, topic, 1, wait)

		if got := time.Since(now) >= wait/4; got != tt.held {
			t.Errorf("known %v ago: got it held %v, want %v", tt.age, got, tt.held)
		}
	}
}
