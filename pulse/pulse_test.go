package pulse

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/resident"
)

// fixed is an engine that always tells the same.
type fixed struct{ pulse Pulse }

func (f fixed) Pulse(context.Context, string) (Pulse, error) { return f.pulse, nil }

func TestSubscribersGetPulses(t *testing.T) {
	b, err := NewBeacon(BeaconConfig{Address: "127.0.0.1:0", Engine: fixed{Pulse{Running: 3, Version: 2}}, EngineAddress: "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	got := make(chan Pulse, 16)

	l, err := Listen(ListenerConfig{
		Address: "127.0.0.1:0", Port: b.conn.LocalAddr().(*net.UDPAddr).Port,
		Engines: func() ([]string, time.Duration) { return []string{"127.0.0.1:9"}, Every },
		OnPulse: func(_ time.Time, p Pulse) { got <- p },
	})
	if err != nil {
		t.Fatal(err)
	}

	go b.Run(ctx)
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
			t.Fatal("got no pulse")
		}
	}
}

// Datagrams overtake each other, and a side process is started anew with numbers
// from one. Taken in the wrong order, an engine that is busy would look idle.
func TestOnlyNewerPulsesCount(t *testing.T) {
	l := &Listener{seen: map[string]Pulse{}}

	tests := []struct {
		start    int64
		sequence uint64
		want     bool
	}{
		{1, 5, true}, {1, 4, false}, {1, 5, false}, {1, 6, true}, {2, 1, true}, {1, 7, false}, {2, 2, true},
	}

	for _, tt := range tests {
		if got := l.newer(Pulse{Engine: "a", Start: tt.start, Sequence: tt.sequence}); got != tt.want {
			t.Errorf("%d/%d: got %v, want %v", tt.start, tt.sequence, got, tt.want)
		}
	}
}

func TestSubscriptionsEndAndAreBounded(t *testing.T) {
	b := &Beacon{subscribers: map[string]subscriber{}}
	now := time.Unix(100, 0)
	b.subscribe(now, &net.UDPAddr{Port: 1}, Subscription{})
	b.subscribe(now.Add(-2*subscribed), &net.UDPAddr{Port: 2}, Subscription{})

	if got := len(b.due(now)); got != 1 {
		t.Errorf("got %d subscribers, want 1", got)
	}

	if got := len(b.subscribers); got != 1 {
		t.Errorf("got %d kept, want 1", got)
	}

	for i := range 2 * maxSubscribers {
		b.subscribe(now, &net.UDPAddr{Port: 10 + i}, Subscription{})
	}

	if got := len(b.subscribers); got != maxSubscribers {
		t.Errorf("got %d kept, want %d", got, maxSubscribers)
	}
}

func TestSubscribersGetPulsesAtTheirPace(t *testing.T) {
	tests := []struct {
		pace time.Duration
		want int // pulses in ten looks
	}{
		{0, 10}, {Every, 10}, {2 * Every, 5}, {5 * Every, 2},
	}

	for _, tt := range tests {
		b := &Beacon{subscribers: map[string]subscriber{}}
		now := time.Unix(100, 0)
		b.subscribe(now, &net.UDPAddr{Port: 1}, Subscription{PaceMs: tt.pace.Milliseconds()})

		got := 0
		for i := range 10 {
			got += len(b.due(now.Add(time.Duration(i) * Every)))
		}

		if got != tt.want {
			t.Errorf("%v: got %d pulses, want %d", tt.pace, got, tt.want)
		}
	}
}

// In a large fleet each entry may choose among hundreds of engines. Pulses of all of
// them several times a second would take more than all callers' requests.
func TestPulsesOfALargeFleetAreBounded(t *testing.T) {
	tests := []struct {
		engines, most int
		pace          time.Duration
	}{
		{0, 0, Every},
		{12, 12, Every},
		{48, 48, 200 * time.Millisecond},
		{1700, leastPulses, time.Second},
	}

	for _, tt := range tests {
		if most, pace := Share(tt.engines); most != tt.most || pace != tt.pace {
			t.Errorf("%d engines: got %d each %v, want %d each %v", tt.engines, most, pace, tt.most, tt.pace)
		}
	}

	for n := range 2000 {
		if most, pace := Share(n); int64(most)*1000 > mostPulses*pace.Milliseconds() {
			t.Errorf("%d engines: got %d each %v", n, most, pace)
		}
	}
}

func TestPulseTellsWhatIsInMemory(t *testing.T) {
	p := Pulse{Resident: []resident.Part{{Key: 7, Tokens: 2048}}}

	body, err := cbor.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}

	var got Pulse
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

// Entries are told of a load of weights ahead, so that long answers end before it.
func TestPulseTellsTheNextLoad(t *testing.T) {
	now := time.Unix(1000, 0)

	tests := []struct {
		name   string
		loadIn func(time.Time) (time.Duration, bool)
		want   int64
	}{
		{"nobody knows", nil, 0},
		{"none", func(time.Time) (time.Duration, bool) { return 0, false }, 0},
		{"under way", func(time.Time) (time.Duration, bool) { return 0, true }, 1},
		{"in a second", func(time.Time) (time.Duration, bool) { return time.Second, true }, 1000},
	}

	for _, tt := range tests {
		b := &Beacon{cfg: BeaconConfig{LoadIn: tt.loadIn}}
		if got := b.loadIn(now); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}
