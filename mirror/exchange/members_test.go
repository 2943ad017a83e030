package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// entryCounts are the numbers of other entries to test with.
var entryCounts = []int{30, 400, 1000}

// membersWith returns Members that know n other entries.
func membersWith(now time.Time, n int) *Members {
	m := NewMembers("10.0.0.1:7700", nil)
	for i := range n {
		m.Saw(now, fmt.Sprintf("10.1.%d.%d:7700", i/250, i%250))
	}

	return m
}

// Guards against sorting all entries on each call, whose cost grows with their number.
func TestAllocationsDoNotGrowWithEntries(t *testing.T) {
	now := time.Unix(1000, 0)

	for _, n := range entryCounts {
		m := membersWith(now, n)

		got := testing.AllocsPerRun(100, func() {
			m.Watchers(now)
			m.Readers(now, "op")
			m.Size(now)
			m.Rank(now, "store")
		})

		// Readers allocates the rendezvous key of the topic.
		if want := 1.0; got > want {
			t.Errorf("%d entries: got %v allocations, want at most %v", n, got, want)
		}
	}
}

// Guards against a stale selection after an entry joins, expires or rejoins.
func TestSelectionTracksLiveEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMembers("a", nil)

	steps := []struct {
		name  string
		after time.Duration
		seen  []string
		heard []Member
		want  []string
	}{
		{"no other entry", 0, nil, nil, []string{}},
		{"b joins", 0, []string{"b"}, nil, []string{"b"}},
		{"c joins through another entry", time.Second, nil, []Member{{Address: "c", AgeMs: 10_000}}, []string{"b", "c"}},
		{"b is seen again", 9 * time.Second, []string{"b"}, nil, []string{"b", "c"}},
		{"c expires", 2 * time.Second, nil, nil, []string{"b"}},
		{"c rejoins", time.Second, []string{"c"}, nil, []string{"b", "c"}},
		{"b and c expire", time.Minute, nil, nil, []string{}},
	}

	for _, s := range steps {
		now = now.Add(s.after)
		for _, x := range s.seen {
			m.Saw(now, x)
		}

		m.Heard(now, s.heard)

		selected, self := m.Watchers(now)
		others := slices.Clone(selected)

		if self {
			others = append(others, "a")
		}

		slices.Sort(others)

		// Watchers selects at most two of up to three entries.
		all := append(slices.Clone(s.want), "a")
		if got, want := len(others), min(len(all), 2); got != want {
			t.Errorf("%s: got %v selected, want %d of %v", s.name, others, want, all)
		}

		for _, x := range others {
			if !slices.Contains(all, x) {
				t.Errorf("%s: got %s selected, want one of %v", s.name, x, all)
			}
		}

		if got := m.Live(now); !slices.Equal(got, s.want) && len(got)+len(s.want) > 0 {
			t.Errorf("%s: got %v live, want %v", s.name, got, s.want)
		}
	}
}
