package publication

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
)

// fleet is the system under test: some followers, their operators and a log.
type fleet struct {
	log       *fakeLog
	followers []*Follower
	// isolated marks the followers that can reach neither the log nor peers.
	isolated []bool
	// highest is the highest version that each follower has had in force since its
	// start.
	highest []uint64
	starts  int
	// snapshots counts the snapshots, to give each a unique id.
	snapshots int
	attempts  int
	oracle    oracle
}

// oracle holds the results that the operators got.
type oracle struct {
	// acknowledged is the text of each version that was reported to its operator as
	// in force.
	acknowledged map[uint64]string
	// conflicted are the texts whose operator got a conflict.
	conflicted map[string]bool
	// newest is the highest acknowledged version.
	newest uint64
}

// smallPartBytes is the size of a part, so small that most changes take several
// records.
const smallPartBytes = 40

// rounds is how often all faults of one run are repaired.
const rounds = 3

// draftTree returns the text of a small tree that differs for each n, padded by pad
// bytes.
func draftTree(n, pad int) string {
	return fmt.Sprintf("request_burst = %d\n# %s\n", n+1, strings.Repeat("x", pad))
}

func (m *fleet) start(i int) {
	m.starts++
	m.followers[i] = newTestFollower(m.log, fmt.Sprintf("e%d", i))
	m.followers[i].partBytes = smallPartBytes
	m.highest[i] = 0
	m.isolated[i] = false
}

// drawBase returns the version that an operator starts from: usually the one in
// force according to the log, sometimes that of a follower, which may lag.
func (m *fleet) drawBase(t *rapid.T) uint64 {
	p := m.followers[rapid.IntRange(0, len(m.followers)-1).Draw(t, "seen")].Current()
	if rapid.IntRange(0, 3).Draw(t, "lagging") > 0 {
		if newest, _, err := ReadHistory(context.Background(), m.log, 1); err == nil {
			p = newest
		}
	}

	if p == nil {
		return 0
	}

	return p.Version()
}

// publish publishes a new tree, based on the version from drawBase, and checks the
// result.
func (m *fleet) publish(t *rapid.T) {
	based := m.drawBase(t)

	m.attempts++
	text := draftTree(m.attempts, rapid.IntRange(0, 40).Draw(t, "pad"))
	cfg := PublishConfig{Log: m.log, Attempts: 3, Wait: time.Nanosecond, partBytes: smallPartBytes}

	version, err := Publish(context.Background(), cfg, Change{
		ID: fmt.Sprint("c", m.attempts), BaseVersion: based, Author: "ann", Name: "draft", Text: []byte(text),
		Recover: rapid.IntRange(0, 9).Draw(t, "recover") == 0,
	})

	switch kind := failure.KindOf(err); {
	case err == nil:
		if other, ok := m.oracle.acknowledged[version]; ok {
			t.Fatalf("version %d: acknowledged to two operators: %q and %q", version, other, text)
		}

		if version <= m.oracle.newest {
			t.Fatalf("got version %d after %d", version, m.oracle.newest)
		}

		m.oracle.acknowledged[version] = text
		m.oracle.newest = version

		if b, err := TextAt(context.Background(), m.log, version); err == nil && string(b) != text {
			t.Fatalf("version %d: the log holds %q, its operator published %q", version, b, text)
		} else if failure.KindOf(err) == failure.BadRequest && err != nil {
			t.Fatalf("version %d: acknowledged as in force, but the log has: %v", version, err)
		}
	case kind == failure.Conflict:
		m.oracle.conflicted[text] = true
	case kind == failure.OutcomeUnknown, kind == failure.LogUnavailable, kind == failure.Unavailable:
	default:
		t.Fatalf("publish: got %v (%v)", kind, err)
	}
}

// checkInvariants checks what must hold after every step.
func (m *fleet) checkInvariants(t *rapid.T) {
	seen := map[uint64]string{}

	for i, f := range m.followers {
		p := f.Current()
		if p == nil {
			if m.highest[i] > 0 {
				t.Fatalf("follower %d: had version %d, has none", i, m.highest[i])
			}

			continue
		}

		if p.Version() < m.highest[i] {
			t.Fatalf("follower %d: reverted from %d to %d", i, m.highest[i], p.Version())
		}

		m.highest[i] = p.Version()

		text := string(p.Tree().Text())
		if want, ok := m.oracle.acknowledged[p.Version()]; ok && text != want {
			t.Fatalf("follower %d, version %d: got %q, its operator published %q", i, p.Version(), text, want)
		}

		if other, ok := seen[p.Version()]; ok && other != text {
			t.Fatalf("version %d: got both %q and %q", p.Version(), other, text)
		}

		seen[p.Version()] = text

		if m.oracle.conflicted[text] {
			t.Fatalf("follower %d: %q is in force, but its operator got a conflict", i, text)
		}
	}
}

func (m *fleet) snapshot(writer int) error {
	m.snapshots++

	return m.followers[writer].Snapshot(context.Background(), fmt.Sprint("s", m.snapshots))
}

// healFaults ends all faults and lets every follower read the log and get an update
// from every other.
func (m *fleet) healFaults(t *rapid.T) {
	m.log.downCalls = 0
	m.log.loseResponses = 0
	m.log.delayAppends = 0
	m.log.beforeAppend = nil
	m.log.deliverDelayed()

	for range 3 {
		for i := range m.followers {
			m.isolated[i] = false
			_ = m.followers[i].readLog(context.Background(), 0)

			for j := range m.followers {
				m.sendUpdate(t, j, i)
			}
		}
	}
}

func (m *fleet) sendUpdate(t *rapid.T, from, to int) {
	if from == to || m.isolated[from] || m.isolated[to] {
		return
	}

	after := uint64(0)
	if p := m.followers[to].Current(); p != nil {
		after = p.Version()
	}

	u, err := DecodeUpdate(m.followers[from].UpdateFor(time.Unix(0, 0), fmt.Sprint(to), after).Encode())
	if err != nil {
		t.Fatal(err)
	}

	if err := m.followers[to].ApplyUpdate(u); err != nil {
		t.Fatal(err)
	}
}

// Operators publish concurrently. The log fails, loses responses, delays appends and
// trims records. Processes restart, get isolated and send updates, old ones too.
// The test guards against an accepted change that is lost or reverted, processes
// that never agree, and an operator who gets a wrong result.
func TestAcceptedSettingsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "followers")
		m := &fleet{
			log: newFakeLog(), followers: make([]*Follower, n), isolated: make([]bool, n), highest: make([]uint64, n),
			oracle: oracle{acknowledged: map[uint64]string{}, conflicted: map[string]bool{}},
		}
		anyFollower := rapid.IntRange(0, n-1)

		for i := range n {
			m.start(i)
		}

		var oldUpdates []Update

		actions := map[string]func(*rapid.T){
			"publish": m.publish,
			"race": func(t *rapid.T) {
				// The other operator's append takes place just before the next one.
				m.log.beforeAppend = append(m.log.beforeAppend, func() { m.publish(t) })
			},
			"read": func(t *rapid.T) {
				if i := anyFollower.Draw(t, "reader"); !m.isolated[i] {
					_ = m.followers[i].readLog(context.Background(), 0)
				}
			},
			"handOver": func(t *rapid.T) { m.sendUpdate(t, anyFollower.Draw(t, "from"), anyFollower.Draw(t, "to")) },
			"remember": func(t *rapid.T) {
				oldUpdates = append(oldUpdates, m.followers[anyFollower.Draw(t, "from")].UpdateFor(time.Time{}, "", 0))
			},
			"readOn": func(*rapid.T) {
				for i := range m.followers {
					_ = m.followers[i].readLog(context.Background(), 0)
				}
			},
			"restart":    func(t *rapid.T) { m.start(anyFollower.Draw(t, "restarted")) },
			"cut":        func(t *rapid.T) { i := anyFollower.Draw(t, "cut"); m.isolated[i] = !m.isolated[i] },
			"logDown":    func(t *rapid.T) { m.log.downCalls = rapid.IntRange(0, 8).Draw(t, "calls") },
			"loseAnswer": func(t *rapid.T) { m.log.loseResponses = rapid.IntRange(0, 3).Draw(t, "lost") },
			"holdBack":   func(t *rapid.T) { m.log.delayAppends = rapid.IntRange(0, 3).Draw(t, "held") },
			"arrive":     func(*rapid.T) { m.log.deliverDelayed() },
			"snapshot": func(t *rapid.T) {
				_ = m.snapshot(anyFollower.Draw(t, "writer"))
			},
			"trim": func(t *rapid.T) {
				// In most cases a snapshot is written before the records are trimmed.
				kept := rapid.IntRange(0, 12).Draw(t, "kept")
				if rapid.IntRange(0, 3).Draw(t, "unprepared") > 0 {
					holder := anyFollower.Draw(t, "holder")
					f := m.followers[holder]
					if f.readLog(context.Background(), 0) != nil || m.snapshot(holder) != nil {
						return
					}
				}

				m.log.trim(kept)
			},
			"lateOffer": func(t *rapid.T) {
				if len(oldUpdates) > 0 {
					_ = m.followers[anyFollower.Draw(t, "to")].ApplyUpdate(oldUpdates[rapid.IntRange(0, len(oldUpdates)-1).Draw(t, "which")])
				}
			},
			"": m.checkInvariants,
		}

		for range rounds {
			t.Repeat(actions)
			m.healFaults(t)
			m.checkInvariants(t)
			m.checkConverged(t)
		}
	})
}

// checkConverged checks that all followers have the same version.
func (m *fleet) checkConverged(t *rapid.T) {
	var newest uint64

	for _, f := range m.followers {
		if p := f.Current(); p != nil {
			newest = max(newest, p.Version())
		}
	}

	for i, f := range m.followers {
		got := uint64(0)
		if p := f.Current(); p != nil {
			got = p.Version()
		}

		if got != newest {
			t.Fatalf("follower %d: got version %d, want %d like the others", i, got, newest)
		}
	}
}

func TestPatchTurnsOneTextIntoTheOther(t *testing.T) {
	line := rapid.SampledFrom([]string{"a\n", "b\n", "[c]\n", "[d]\n", "\n", "e = 1\n", "no end"})

	rapid.Check(t, func(t *rapid.T) {
		a := strings.Join(rapid.SliceOfN(line, 0, 20).Draw(t, "a"), "")
		b := strings.Join(rapid.SliceOfN(line, 0, 20).Draw(t, "b"), "")

		got, err := makePatch([]byte(a), []byte(b)).apply([]byte(a))
		if err != nil || string(got) != b {
			t.Errorf("got %q %v, want %q", got, err, b)
		}
	})
}

// A record is damaged in the log. That may lose the change, but must neither bring a
// text into force that no operator published nor end the process.
func TestDamagedRecordsAreRefused(t *testing.T) {
	texts := []string{"share = 2.0\n", "share = 3.0\nrequest_burst = 17\n"}

	rapid.Check(t, func(t *rapid.T) {
		log := newFakeLog()

		for i, text := range texts {
			if _, err := publishText(log, fmt.Sprint(i), uint64(i), []byte(text)); err != nil {
				t.Fatal(err)
			}
		}

		damaged := append([]byte(nil), log.records[1].Data...)

		for range rapid.IntRange(1, 4).Draw(t, "flips") {
			damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}

		if rapid.Bool().Draw(t, "cut") {
			damaged = damaged[:rapid.IntRange(0, len(damaged)).Draw(t, "left")]
		}

		log.records[1].Data = damaged

		f := newTestFollower(log, "e1")
		if err := f.readLog(context.Background(), 0); err != nil {
			t.Fatal(err)
		}

		p := f.Current()
		if got, want := string(p.Tree().Text()), texts[p.Version()-1]; got != want {
			t.Errorf("version %d: got %q, want %q", p.Version(), got, want)
		}

		if u, err := DecodeUpdate(damaged); err == nil {
			_ = f.ApplyUpdate(u)
		}
	})
}
