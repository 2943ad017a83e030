package side

import (
	"net"
	"slices"
	"testing"
	"time"

	"boragehub/engine"
	"boragehub/quarantine"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = l.Close() }()

	near, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	far, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _, _ = near.Close(), far.Close() })

	return near, far
}

// A run is lost and the engine's port is closed. If the engine died, the run may have
// brought it down, and has to be kept from a third engine. If it stops in order, other
// runs there go on, and blaming this one would keep its rider waiting for nothing.
func TestLostRunIsJudgedByTheOthers(t *testing.T) {
	t0 := time.Unix(1000, 0)
	lost, other := quarantine.Of("desk", []byte("lost")), quarantine.Of("desk", []byte("other"))
	tests := []struct {
		name  string
		given bool               // whether the lost run had a connection
		other func(far net.Conn) // what the engine does to the other run's connection; nil for no other run
		after time.Duration
		want  []quarantine.Fingerprint
		still bool // nothing is concluded yet
	}{
		{"alone", true, nil, settled, []quarantine.Fingerprint{lost}, false},
		{"alone, too soon to tell", true, nil, settled - 1, nil, true},
		{"never given", false, nil, 0, nil, false},
		{"another goes on", true, func(net.Conn) {}, settled, nil, false},
		{"another has ended too", true, func(far net.Conn) { _ = far.Close() }, settled, []quarantine.Fingerprint{lost}, false},
		{"another has unread bytes", true, func(far net.Conn) { _, _ = far.Write([]byte("x")) }, settled, nil, true},
		{"another has unread bytes for long", true, func(far net.Conn) { _, _ = far.Write([]byte("x")) }, unreadTime, []quarantine.Fingerprint{lost}, false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGuard(10)
			g.observe(t0, engine.Info{State: "ready", BootID: "b"}, engine.Load{})

			id, err := g.enter(lost, "")
			if err != nil {
				t.Fatal(err)
			}

			if tt.given {
				near, _ := pair(t)
				g.give(id, near)
			}

			if tt.other != nil {
				i, err := g.enter(other, "")
				if err != nil {
					t.Fatal(err)
				}

				near, far := pair(t)
				g.give(i, near)
				tt.other(far)
				await(t)
			}

			g.leave(t0, id, true)

			var got []quarantine.Fingerprint

			_, crashes := g.died(t0.Add(tt.after))
			for _, v := range crashes {
				got = append(got, v.running...)
			}

			if !slices.Equal(got, tt.want) {
				t.Errorf("got %x blamed, want %x", got, tt.want)
			}

			v, judged := g.verdict(id)
			if judged == tt.still || !slices.Equal(v.running, tt.want) {
				t.Errorf("got %x, judged %v, want %x, %v", v.running, judged, tt.want, !tt.still)
			}
		})
	}
}

// await waits until what the far end did has arrived, which it has on one machine once
// something that was done later has.
func await(t *testing.T) {
	t.Helper()

	near, far := pair(t)

	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}

	if _, err := near.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// The engine answers as the same start as before: it lived on, and nobody is blamed. With
// another start, whoever was lost with the one before is.
func TestLostRunIsJudgedByTheNextStart(t *testing.T) {
	t0 := time.Unix(1000, 0)

	for _, tt := range []struct {
		boot string
		want int
	}{{"b", 0}, {"c", 1}} {
		g := newGuard(10)
		g.observe(t0, engine.Info{State: "ready", BootID: "b"}, engine.Load{})

		id, err := g.enter(quarantine.Of("desk", nil), "")
		if err != nil {
			t.Fatal(err)
		}

		near, _ := pair(t)
		g.give(id, near)
		g.leave(t0, id, true)

		if _, crashes := g.observe(t0.Add(settled), engine.Info{State: "ready", BootID: tt.boot}, engine.Load{}); len(crashes) != tt.want {
			t.Errorf("boot %s: got %d crashes, want %d", tt.boot, len(crashes), tt.want)
		}

		if _, judged := g.verdict(id); !judged {
			t.Errorf("boot %s: got no verdict", tt.boot)
		}
	}
}
