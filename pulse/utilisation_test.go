package pulse

import (
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Load: entries that see different parts of the load, old builds and invalid figures. Guards against
// one false figure that slows down or speeds up a rollout.
func TestUtilisationIsTheMedianOfLiveSubscribers(t *testing.T) {
	tests := []struct {
		name    string
		percent []int
		want    float64
	}{
		{"no subscriber", nil, 0},
		{"old builds only", []int{0, 0}, 0},
		{"old builds are left out", []int{0, 80, 0}, 0.8},
		{"one false figure", []int{50, 100, 52}, 0.52},
		{"even number", []int{40, 60}, 0.5},
		{"invalid figures", []int{-5, 101, 1 << 40, 70}, 0.7},
	}

	for _, tt := range tests {
		r := &Reporter{subscribers: map[string]subscriber{}}
		now := time.Unix(100, 0)

		for i, p := range tt.percent {
			r.subscribe(now, &net.UDPAddr{Port: 10 + i}, Subscription{Utilisation: p})
		}

		r.subscribe(now.Add(-2*subscriptionTTL), &net.UDPAddr{Port: 1}, Subscription{Utilisation: 100})

		later := now.Add(time.Second)
		got, age := r.Utilisation(later)

		if got != tt.want || (got > 0) != (age == time.Second) {
			t.Errorf("%s: got %v with age %v, want %v", tt.name, got, age, tt.want)
		}
	}
}

// Guards against subscriptions that send one service's figure to another service's engines, and
// against those outside the interval, which would reset the figure.
func TestEachEngineGetsItsOwnUtilisation(t *testing.T) {
	side, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(side)

	own, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(own)

	values := map[string]int{"127.0.0.1:1": 70, "127.0.0.1:2": 0, "127.0.0.1:3": 40}
	l := &Listener{conn: own, cfg: ListenerConfig{
		Port: side.LocalAddr().(*net.UDPAddr).Port,
		Engines: func() ([]string, time.Duration) {
			return []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}, MinInterval
		},
		Utilisation: func(_ time.Time, engine string) int { return values[engine] },
	}}

	go l.subscribe(t.Context())

	receive := func() Subscription {
		buf := make([]byte, maxDatagram)

		n, _, err := side.ReadFromUDP(buf)
		if err != nil {
			t.Fatal(err)
		}

		var s Subscription
		if err := cbor.Unmarshal(buf[:n], &s); err != nil {
			t.Fatal(err)
		}

		return s
	}

	for _, want := range []int{70, 0, 40} {
		if got := receive().Utilisation; got != want {
			t.Errorf("got utilisation %d, want %d", got, want)
		}
	}

	l.Notify("127.0.0.1:3", Subscription{Slowdown: 250})

	if got := receive(); got.Utilisation != 40 || got.Slowdown != 250 {
		t.Errorf("got %+v outside the interval, want utilisation 40 and slowdown 250", got)
	}
}
