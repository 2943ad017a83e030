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

// fleet is a few followers, operators and a log, driven step by step.
type fleet struct {
	log       *fakeLog
	followers []*Follower
	// cut says that a follower neither reads the log nor hears from peers.
	cut []bool
	// highest is the highest version that each follower ever had in force since it started.
	highest []uint64
	starts  int
	// snapshots numbers the snapshots; each has an id of its own.
	snapshots int
	tries     int
	oracle    oracle
}

// oracle knows only what the operators were told, and reads the text back.
type oracle struct {
	// told is the text of each version that an operator was told is in force.
	told map[uint64]string
	// lost are texts whose operator was told of a conflict.
	lost map[string]bool
	// newest is the highest version that an operator was told of.
	newest uint64
}

// smallPart makes most changes take several records.
const smallPart = 40

// rounds is how often the faults of one run are mended.
const rounds = 3

// draft returns a small tree in which an operator wrote a number of their own.
func draft(n, pad int) string {
	return fmt.Sprintf("request_burst = %d\n# %s\n", n+1, strings.Repeat("x", pad))
}

func (m *fleet) start(i int) {
	m.starts++
	m.followers[i] = follower(m.log, fmt.Sprintf("e%d", i))
	m.followers[i].partBytes = smallPart
	m.highest[i] = 0
	m.cut[i] = false
}

// shown returns the version that an operator starts from: mostly what the log
// says, now and then what a process that lags shows.
func (m *fleet) shown(t *rapid.T) uint64 {
	p := m.followers[rapid.IntRange(0, len(m.followers)-1).Draw(t, "seen")].Current()
	if rapid.IntRange(0, 3).Draw(t, "lagging") > 0 {
		if newest, _, err := Read(context.Background(), m.log, 1); err == nil {
			p = newest
		}
	}

	if p == nil {
		return 0
	}

	return p.Version()
}

// publish lets an operator publish, based on what some follower shows them.
func (m *fleet) publish(t *rapid.T) {
	based := m.shown(t)

	m.tries++
	text := draft(m.tries, rapid.IntRange(0, 40).Draw(t, "pad"))
	cfg := PublishConfig{Log: m.log, Attempts: 3, Wait: time.Nanosecond, partBytes: smallPart}

	version, err := Publish(context.Background(), cfg, Change{
		ID: fmt.Sprint("c", m.tries), Based: based, Author: "ann", Name: "draft", Text: []byte(text),
		Recover: rapid.IntRange(0, 9).Draw(t, "recover") == 0,
	})

	switch kind := failure.KindOf(err); {
	case err == nil:
		if other, ok := m.oracle.told[version]; ok {
			t.Fatalf("version %d: two operators were told it is theirs: %q and %q", version, other, text)
		}

		if version <= m.oracle.newest {
			t.Fatalf("got version %d after %d", version, m.oracle.newest)
		}

		m.oracle.told[version] = text
		m.oracle.newest = version

		if b, err := TextAt(context.Background(), m.log, version); err == nil && string(b) != text {
			t.Fatalf("version %d: the log holds %q, its operator published %q", version, b, text)
		} else if failure.KindOf(err) == failure.BadRequest && err != nil {
			t.Fatalf("version %d: its operator was told that it is in force, the log: %v", version, err)
		}
	case kind == failure.Conflict:
		m.oracle.lost[text] = true
	case kind == failure.OutcomeUnknown, kind == failure.LogUnavailable, kind == failure.Unavailable:
	default:
		t.Fatalf("publish: got %v (%v)", kind, err)
	}
}

// check holds after every step.
func (m *fleet) check(t *rapid.T) {
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
		if want, ok := m.oracle.told[p.Version()]; ok && text != want {
			t.Fatalf("follower %d, version %d: got %q, its operator published %q", i, p.Version(), text, want)
		}

		if other, ok := seen[p.Version()]; ok && other != text {
			t.Fatalf("version %d: got both %q and %q", p.Version(), other, text)
		}

		seen[p.Version()] = text

		if m.oracle.lost[text] {
			t.Fatalf("follower %d: %q is in force, its operator was told of a conflict", i, text)
		}
	}
}

func (m *fleet) snapshot(writer int) error {
	m.snapshots++

	return m.followers[writer].Snapshot(context.Background(), fmt.Sprint("s", m.snapshots))
}

// settle mends all faults and lets everybody read and talk.
func (m *fleet) settle(t *rapid.T) {
	m.log.downFor = 0
	m.log.loseAnswers = 0
	m.log.holdBack = 0
	m.log.before = nil
	m.log.arrive()

	for range 3 {
		for i := range m.followers {
			m.cut[i] = false
			_ = m.followers[i].readLog(context.Background(), 0)

			for j := range m.followers {
				m.handOver(t, j, i)
			}
		}
	}
}

func (m *fleet) handOver(t *rapid.T, from, to int) {
	if from == to || m.cut[from] || m.cut[to] {
		return
	}

	after := uint64(0)
	if p := m.followers[to].Current(); p != nil {
		after = p.Version()
	}

	h, err := DecodeHandover(m.followers[from].HandOver(time.Unix(0, 0), fmt.Sprint(to), after).Encode())
	if err != nil {
		t.Fatal(err)
	}

	if err := m.followers[to].Offer(h); err != nil {
		t.Fatal(err)
	}
}

// Operators publish at once, the log goes away, loses answers, takes records in
// late and forgets; processes restart, are cut off, and hand on what they have,
// also old. A user notices a setting that was accepted and is gone, two
// processes that disagree for ever, or an operator who was told nothing.
func TestAcceptedSettingsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "followers")
		m := &fleet{
			log: newFakeLog(), followers: make([]*Follower, n), cut: make([]bool, n), highest: make([]uint64, n),
			oracle: oracle{told: map[uint64]string{}, lost: map[string]bool{}},
		}
		any := rapid.IntRange(0, n-1)

		for i := range n {
			m.start(i)
		}

		var old []Handover

		actions := map[string]func(*rapid.T){
			"publish": m.publish,
			"race": func(t *rapid.T) {
				// The other operator's append comes before the one that follows.
				m.log.before = append(m.log.before, func() { m.publish(t) })
			},
			"read": func(t *rapid.T) {
				if i := any.Draw(t, "reader"); !m.cut[i] {
					_ = m.followers[i].readLog(context.Background(), 0)
				}
			},
			"handOver": func(t *rapid.T) { m.handOver(t, any.Draw(t, "from"), any.Draw(t, "to")) },
			"remember": func(t *rapid.T) { old = append(old, m.followers[any.Draw(t, "from")].HandOver(time.Time{}, "", 0)) },
			"readOn": func(*rapid.T) {
				for i := range m.followers {
					_ = m.followers[i].readLog(context.Background(), 0)
				}
			},
			"restart":    func(t *rapid.T) { m.start(any.Draw(t, "restarted")) },
			"cut":        func(t *rapid.T) { i := any.Draw(t, "cut"); m.cut[i] = !m.cut[i] },
			"logDown":    func(t *rapid.T) { m.log.downFor = rapid.IntRange(0, 8).Draw(t, "calls") },
			"loseAnswer": func(t *rapid.T) { m.log.loseAnswers = rapid.IntRange(0, 3).Draw(t, "lost") },
			"holdBack":   func(t *rapid.T) { m.log.holdBack = rapid.IntRange(0, 3).Draw(t, "held") },
			"arrive":     func(*rapid.T) { m.log.arrive() },
			"snapshot": func(t *rapid.T) {
				_ = m.snapshot(any.Draw(t, "writer"))
			},
			"trim": func(t *rapid.T) {
				// Mostly a snapshot was written before retention passes the records.
				kept := rapid.IntRange(0, 12).Draw(t, "kept")
				if rapid.IntRange(0, 3).Draw(t, "unprepared") > 0 {
					holder := any.Draw(t, "holder")
					f := m.followers[holder]
					if f.readLog(context.Background(), 0) != nil || m.snapshot(holder) != nil {
						return
					}
				}

				m.log.trim(kept)
			},
			"lateOffer": func(t *rapid.T) {
				if len(old) > 0 {
					_ = m.followers[any.Draw(t, "to")].Offer(old[rapid.IntRange(0, len(old)-1).Draw(t, "which")])
				}
			},
			"": m.check,
		}

		for range rounds {
			t.Repeat(actions)
			m.settle(t)
			m.check(t)
			m.converged(t)
		}
	})
}

// converged checks that all followers that can know what is in force agree, and
// that nothing an operator was told is missing there.
func (m *fleet) converged(t *rapid.T) {
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
			t.Fatalf("follower %d: got version %d, want %d as the others", i, got, newest)
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

// A record is damaged on its way. It may cost that change; what must not happen
// is that a text comes into force which nobody published, or that the process dies.
func TestDamagedRecordsAreNoChanges(t *testing.T) {
	texts := []string{"share = 2.0\n", "share = 3.0\nrequest_burst = 17\n"}

	rapid.Check(t, func(t *rapid.T) {
		log := newFakeLog()

		for i, text := range texts {
			if _, err := publish(log, fmt.Sprint(i), uint64(i), []byte(text)); err != nil {
				t.Fatal(err)
			}
		}

		bad := append([]byte(nil), log.records[1].Data...)

		for range rapid.IntRange(1, 4).Draw(t, "flips") {
			bad[rapid.IntRange(0, len(bad)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}

		if rapid.Bool().Draw(t, "cut") {
			bad = bad[:rapid.IntRange(0, len(bad)).Draw(t, "left")]
		}

		log.records[1].Data = bad

		f := follower(log, "e1")
		if err := f.readLog(context.Background(), 0); err != nil {
			t.Fatal(err)
		}

		p := f.Current()
		if got, want := string(p.Tree().Text()), texts[p.Version()-1]; got != want {
			t.Errorf("version %d: got %q, want %q", p.Version(), got, want)
		}

		if h, err := DecodeHandover(bad); err == nil {
			_ = f.Offer(h)
		}
	})
}
