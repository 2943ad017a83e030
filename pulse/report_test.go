package pulse

import (
	"context"
	"net"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/resident"
)

// fixedEngine is an engine that always returns the same load report.
type fixedEngine struct{ report Report }

func (f fixedEngine) Report(context.Context, string) (Report, error) { return f.report, nil }

func TestSubscribersGetReports(t *testing.T) {
	r, err := NewReporter(ReporterConfig{Address: "127.0.0.1:0", Engine: fixedEngine{Report{Running: 3, Version: 2}}, EngineAddress: "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	got := make(chan Report, 16)

	l, err := Listen(ListenerConfig{
		Address: "127.0.0.1:0", Port: r.conn.LocalAddr().(*net.UDPAddr).Port,
		Engines:  func() ([]string, time.Duration) { return []string{"127.0.0.1:9"}, MinInterval },
		OnReport: func(_ time.Time, p Report) { got <- p },
	})
	if err != nil {
		t.Fatal(err)
	}

	go r.Run(ctx)
	go l.Run(ctx)

	last := uint64(0)

	for range 3 {
		select {
		case p := <-got:
			if p.Running != 3 || p.Version != 2 || p.Engine != "127.0.0.1:9" || p.Sequence <= last {
				t.Errorf("got %+v after %d", p, last)
			}

			last = p.Sequence
		case <-time.After(10 * time.Second):
			t.Fatal("got no load report")
		}
	}
}

// Datagrams arrive out of order, and a restarted side process numbers its load reports from one
// again. Applied in the wrong order, they would make a busy engine look idle.
func TestOutdatedReportsAreIgnored(t *testing.T) {
	l := &Listener{latest: map[string]Report{}}

	tests := []struct {
		start    int64
		sequence uint64
		want     bool
	}{
		{1, 5, true}, {1, 4, false}, {1, 5, false}, {1, 6, true}, {2, 1, true}, {1, 7, false}, {2, 2, true},
	}

	for _, tt := range tests {
		if got := l.newer(Report{Engine: "a", SourceStart: tt.start, Sequence: tt.sequence}); got != tt.want {
			t.Errorf("%d/%d: got %v, want %v", tt.start, tt.sequence, got, tt.want)
		}
	}
}

func TestSubscriptionsExpireAndAreBounded(t *testing.T) {
	r := &Reporter{subscribers: map[string]subscriber{}}
	now := time.Unix(100, 0)
	r.subscribe(now, &net.UDPAddr{Port: 1}, Subscription{})
	r.subscribe(now.Add(-2*subscriptionTTL), &net.UDPAddr{Port: 2}, Subscription{})

	if got := len(r.due(now)); got != 1 {
		t.Errorf("got %d subscribers, want 1", got)
	}

	if got := len(r.subscribers); got != 1 {
		t.Errorf("got %d kept, want 1", got)
	}

	for i := range 2 * maxSubscribers {
		r.subscribe(now, &net.UDPAddr{Port: 10 + i}, Subscription{})
	}

	if got := len(r.subscribers); got != maxSubscribers {
		t.Errorf("got %d kept, want %d", got, maxSubscribers)
	}
}

// Guards against entries without load reports: more of them subscribe to an engine than 64, the former
// bound, and those beyond it took the engine for one without a side process.
func TestAllEntriesOfAFleetGetReports(t *testing.T) {
	for _, entries := range []int{64, 65, 80, 160, 400} {
		r := &Reporter{subscribers: map[string]subscriber{}}
		now := time.Unix(100, 0)

		for i := range entries {
			r.subscribe(now, &net.UDPAddr{Port: 10 + i}, Subscription{Start: 1})
		}

		if got := len(r.due(now)); got != entries {
			t.Errorf("%d entries: got reports for %d, want all", entries, got)
		}

		sent := 0
		for i := 1; i <= 100; i++ {
			sent += len(r.due(now.Add(time.Duration(i) * MinInterval)))
		}

		if got, want := sent, 10*maxSentPerSecond+entries; got > want {
			t.Errorf("%d entries: got %d reports in 10 s, want %d at most", entries, got, want)
		}
	}
}

// Guards against an entry that isn't told that it gets no load reports: it would not know of the side process.
func TestRefusedSubscriberIsTold(t *testing.T) {
	r, err := NewReporter(ReporterConfig{Address: "127.0.0.1:0", Engine: fixedEngine{Report{}}, EngineAddress: "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}

	for i := range maxSubscribers {
		r.subscribers[strconv.Itoa(i)] = subscriber{address: &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}, expiresAt: time.Now().Add(time.Hour)}
	}

	conn, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	defer closeConn(conn)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	go r.subscriptions(ctx)
	defer closeConn(r.conn)

	to, ok := r.conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		t.Fatal("got no UDP address")
	}

	if _, err := conn.WriteToUDP(encodeSubscription(Subscription{Start: 1}), to); err != nil {
		t.Fatal(err)
	}

	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}

	buf := make([]byte, receiveBufferBytes)

	n, _, err := conn.ReadFromUDP(buf)
	if err != nil {
		t.Fatal(err)
	}

	var got Report
	if err := cbor.Unmarshal(buf[:n], &got); err != nil {
		t.Fatal(err)
	}

	if want := (Report{Engine: "127.0.0.1:9", LeasesOnly: true, Refused: true}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a side process that is taken for absent: it has the port from the moment that the Reporter
// exists, paused or not, and a VM that doesn't reply is no sign of its absence.
func TestSideProcessIsPresentFromItsStart(t *testing.T) {
	r, err := NewReporter(ReporterConfig{Address: "127.0.0.1:0", Engine: fixedEngine{Report{}}, EngineAddress: "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}

	to, ok := r.conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		t.Fatal("got no UDP address")
	}

	l := &Listener{cfg: ListenerConfig{Port: to.Port}}

	if got := l.SideProcess(t.Context(), "127.0.0.1:9"); got != Present {
		t.Errorf("before Run: got %v, want %v", got, Present)
	}

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})

	go func() {
		defer close(done)

		r.Run(ctx)
	}()

	for range 300 {
		if got := l.SideProcess(t.Context(), "127.0.0.1:9"); got != Present {
			t.Fatalf("running: got %v, want %v", got, Present)
		}
	}

	ended, stop := context.WithCancel(t.Context())
	stop()

	if got := l.SideProcess(ended, "127.0.0.1:9"); got != Unknown {
		t.Errorf("without a reply in time: got %v, want %v", got, Unknown)
	}

	cancel()
	<-done

	// The sockets are closed in the background.
	got := Present
	for end := time.Now().Add(10 * time.Second); got != Absent && time.Now().Before(end); {
		c, giveUp := context.WithTimeout(t.Context(), 300*time.Millisecond)
		got = l.SideProcess(c, "127.0.0.1:9")

		giveUp()
	}

	if got != Absent {
		t.Errorf("after its end: got %v, want %v", got, Absent)
	}
}

func TestSubscribersGetReportsAtTheirInterval(t *testing.T) {
	tests := []struct {
		interval time.Duration
		want     int // load reports in ten calls of due
	}{
		{0, 10}, {MinInterval, 10}, {2 * MinInterval, 5}, {5 * MinInterval, 2},
	}

	for _, tt := range tests {
		r := &Reporter{subscribers: map[string]subscriber{}}
		now := time.Unix(100, 0)
		r.subscribe(now, &net.UDPAddr{Port: 1}, Subscription{IntervalMs: tt.interval.Milliseconds()})

		got := 0
		for i := range 10 {
			got += len(r.due(now.Add(time.Duration(i) * MinInterval)))
		}

		if got != tt.want {
			t.Errorf("%v: got %d load reports, want %d", tt.interval, got, tt.want)
		}
	}
}

// In a large fleet each entry may route to hundreds of engines. Load reports of all of them
// several times a second would take more bandwidth than all callers' requests.
func TestReportRateOfLargeFleetIsBounded(t *testing.T) {
	tests := []struct {
		engines, subscribed int
		interval            time.Duration
	}{
		{0, 0, MinInterval},
		{12, 12, MinInterval},
		{48, 48, 200 * time.Millisecond},
		{1700, minReportsPerSecond, time.Second},
	}

	for _, tt := range tests {
		if subscribed, interval := PlanSubscriptions(tt.engines); subscribed != tt.subscribed || interval != tt.interval {
			t.Errorf("%d engines: got %d each %v, want %d each %v", tt.engines, subscribed, interval, tt.subscribed, tt.interval)
		}
	}

	for n := range 2000 {
		if subscribed, interval := PlanSubscriptions(n); int64(subscribed)*1000 > maxReportsPerSecond*interval.Milliseconds() {
			t.Errorf("%d engines: got %d each %v", n, subscribed, interval)
		}
	}
}

func TestReportListsResidentParts(t *testing.T) {
	p := Report{Resident: []resident.Part{{Key: 7, Tokens: 2048}}}

	body, err := cbor.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}

	var got Report
	if err := cbor.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}

	tests := []struct {
		key    uint64
		tokens int
		want   bool
	}{
		{7, 2048, true}, {7, 2049, false}, {8, 1, false},
	}

	for _, tt := range tests {
		if has := got.Has(tt.key, tt.tokens); has != tt.want {
			t.Errorf("%d tokens of %d: got %v, want %v", tt.tokens, tt.key, has, tt.want)
		}
	}
}

// Entries learn of a scheduled weight load in advance, so that long answers can end before it.
func TestReportCarriesNextLoad(t *testing.T) {
	now := time.Unix(1000, 0)

	tests := []struct {
		name   string
		loadIn func(time.Time) (time.Duration, bool)
		want   int64
	}{
		{"not known", nil, 0},
		{"none scheduled", func(time.Time) (time.Duration, bool) { return 0, false }, 0},
		{"due now", func(time.Time) (time.Duration, bool) { return 0, true }, 1},
		{"in a second", func(time.Time) (time.Duration, bool) { return time.Second, true }, 1000},
	}

	for _, tt := range tests {
		r := &Reporter{cfg: ReporterConfig{LoadIn: tt.loadIn}}
		if got := r.loadIn(now); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}
