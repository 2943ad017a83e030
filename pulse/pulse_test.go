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
		Engines: func() []string { return []string{"127.0.0.1:9"} },
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
	b.subscribers["a"] = subscriber{&net.UDPAddr{Port: 1}, now.Add(time.Second)}
	b.subscribers["b"] = subscriber{&net.UDPAddr{Port: 2}, now.Add(-time.Second)}

	if got := len(b.live(now)); got != 1 {
		t.Errorf("got %d subscribers, want 1", got)
	}

	if got := len(b.subscribers); got != 1 {
		t.Errorf("got %d kept, want 1", got)
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
