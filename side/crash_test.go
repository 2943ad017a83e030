package side

import (
	"net"
	"slices"
	"testing"
	"time"

	"boragehub/engine"
	"boragehub/quarantine"
)

// pair returns both ends of a TCP connection.
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

// A run is lost and the engine refuses connections. If the engine crashed, the run may be
// the cause and must be kept from a third engine. If the engine shuts down gracefully,
// other runs continue there, and the lost run must not be quarantined.
func TestLostRunIsResolvedByOtherConnections(t *testing.T) {
	t0 := time.Unix(1000, 0)
	lost, other := quarantine.FingerprintOf("desk", []byte("lost")), quarantine.FingerprintOf("desk", []byte("other"))
	tests := []struct {
		name    string
		sent    bool               // whether the lost run had a connection
		other   func(far net.Conn) // what the engine does to the other run's connection; nil for no other run
		after   time.Duration
		want    []quarantine.Fingerprint
		pending bool // the lost run is not resolved yet
	}{
		{"alone", true, nil, connCloseDelay, []quarantine.Fingerprint{lost}, false},
		{"alone, too soon to tell", true, nil, connCloseDelay - 1, nil, true},
		{"never sent", false, nil, 0, nil, false},
		{"another continues", true, func(net.Conn) {}, connCloseDelay, nil, false},
		{"another has ended too", true, func(far net.Conn) { _ = far.Close() }, connCloseDelay, []quarantine.Fingerprint{lost}, false},
		{"another has unread bytes", true, func(far net.Conn) { _, _ = far.Write([]byte("x")) }, connCloseDelay, nil, true},
		{"another has unread bytes until the timeout", true, func(far net.Conn) { _, _ = far.Write([]byte("x")) }, unreadTimeout, []quarantine.Fingerprint{lost}, false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTargetState(10)
			s.observe(t0, engine.Info{State: "ready", BootID: "b"}, engine.Load{})

			id, err := s.admit(t0, lost, "")
			if err != nil {
				t.Fatal(err)
			}

			if tt.sent {
				near, _ := pair(t)
				s.markSent(id, near)
			}

			if tt.other != nil {
				i, err := s.admit(t0, other, "")
				if err != nil {
					t.Fatal(err)
				}

				near, far := pair(t)
				s.markSent(i, near)
				tt.other(far)
				await(t)
			}

			s.finish(t0, id, true)

			var got []quarantine.Fingerprint

			_, crashes := s.observeDown(t0.Add(tt.after))
			for _, c := range crashes {
				got = append(got, c.running...)
			}

			if !slices.Equal(got, tt.want) {
				t.Errorf("got %x as suspects, want %x", got, tt.want)
			}

			result, resolved := s.takeResult(id)
			if resolved == tt.pending || !slices.Equal(result.running, tt.want) {
				t.Errorf("got %x, resolved %v, want %x, %v", result.running, resolved, tt.want, !tt.pending)
			}
		})
	}
}

// await waits until the far end's last action has arrived: on one host it has once
// data sent later on another connection has.
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

// If the engine then responds with the same boot id it did not crash, and nothing is
// suspected. With another boot id the lost request is.
func TestLostRunIsResolvedByNextBoot(t *testing.T) {
	t0 := time.Unix(1000, 0)

	for _, tt := range []struct {
		boot string
		want int
	}{{"b", 0}, {"c", 1}} {
		s := newTargetState(10)
		s.observe(t0, engine.Info{State: "ready", BootID: "b"}, engine.Load{})

		id, err := s.admit(time.Now(), quarantine.FingerprintOf("desk", nil), "")
		if err != nil {
			t.Fatal(err)
		}

		near, _ := pair(t)
		s.markSent(id, near)
		s.finish(t0, id, true)

		if _, crashes := s.observe(t0.Add(connCloseDelay), engine.Info{State: "ready", BootID: tt.boot}, engine.Load{}); len(crashes) != tt.want {
			t.Errorf("boot %s: got %d crashes, want %d", tt.boot, len(crashes), tt.want)
		}

		if _, resolved := s.takeResult(id); !resolved {
			t.Errorf("boot %s: got no result", tt.boot)
		}
	}
}
