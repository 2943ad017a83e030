package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"boragehub/mirror"
)

// entryCounts are the numbers of other entries to test with.
var entryCounts = []int{30, 400, 1000}

// membersWith returns Members that know n other entries.
func membersWith(now time.Time, n int) *Members {
	m := NewMembers("10.0.0.1:7700", nil)
	for i := range n {
		m.MarkAlive(now, fmt.Sprintf("10.1.%d.%d:7700", i/250, i%250))
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
			m.Assignment(now, "op")
			m.Size(now)
			m.Rank(now, "store")
		})

		// Assignment allocates the rendezvous key of the topic.
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
		name     string
		after    time.Duration
		seen     []string
		reported []Member
		want     []string
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
			m.MarkAlive(now, x)
		}

		m.Merge(now, s.reported)

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

// assignments returns what assign returns for each of n entries that know each other, by address.
func assignments(n int, assign func(m *Members, now time.Time) mirror.Assignment) map[string]mirror.Assignment {
	now := time.Unix(1000, 0)
	all := make([]string, n)

	for i := range all {
		all[i] = fmt.Sprintf("10.1.%d.%d:7700", i/250, i%250)
	}

	got := make(map[string]mirror.Assignment, n)

	for _, self := range all {
		m := NewMembers(self, nil)
		for _, other := range all {
			m.MarkAlive(now, other)
		}

		got[self] = assign(m, now)
	}

	return got
}

// Guards against reads of the log or the stores that grow with the fleet, against entries that
// serve too many others, and against long chains of relays.
func TestLogAndStoresAreReadByAFewEntries(t *testing.T) {
	const (
		maxHops   = 2
		maxServed = 3 * readerShare // hashing distributes entries unevenly
	)

	sources := []struct {
		name       string
		maxReaders int
		assign     func(m *Members, now time.Time) mirror.Assignment
	}{
		{"log", 4, func(m *Members, now time.Time) mirror.Assignment { return m.Assignment(now, "op") }},
		{"stores", 8, func(m *Members, now time.Time) mirror.Assignment {
			others, self := m.Watchers(now)

			return mirror.Assignment{Direct: self, Addresses: others}
		}},
	}

	tests := []struct{ entries, readers int }{
		{1, 1}, {2, 2}, {4, 2}, {5, 2}, {24, 3}, {37, 5}, {48, 5}, {68, 7}, {84, 8}, {85, 8}, {96, 8}, {120, 8}, {210, 8}, {412, 8}, {824, 8},
	}

	for _, source := range sources {
		for _, tt := range tests {
			all := assignments(tt.entries, source.assign)
			served, readers := make(map[string]int), 0

			hops := func(entry string) int {
				n := 0
				for ; !all[entry].Direct && n <= maxHops; n++ {
					entry = all[entry].Addresses[0]
				}

				return n
			}

			for entry, a := range all {
				if a.Direct {
					readers++

					continue
				}

				served[a.Addresses[0]]++

				if got := hops(entry); got > maxHops {
					t.Errorf("%s, %d entries: %s is more than %d hops from the source", source.name, tt.entries, entry, maxHops)
				}

				if slices.Contains(a.Addresses, entry) {
					t.Errorf("%s, %d entries: %s polls itself", source.name, tt.entries, entry)
				}
			}

			if want := min(tt.readers, source.maxReaders); readers != want {
				t.Errorf("%s, %d entries: got %d readers, want %d", source.name, tt.entries, readers, want)
			}

			for entry, n := range served {
				if n > maxServed {
					t.Errorf("%s, %d entries: %s serves %d others, want at most %d", source.name, tt.entries, entry, n, maxServed)
				}
			}
		}
	}
}

// Guards against subscribers that all poll the same few entries, or none.
func TestSubscribersAreDistributedAmongEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMembers("", nil)

	const entries, processes = 400, 600

	for i := range entries {
		m.MarkAlive(now, fmt.Sprintf("10.1.%d.%d:7700", i/250, i%250))
	}

	subscribers := make(map[string]int)

	for i := range processes {
		preferred := m.Preferred(now, fmt.Sprintf("side-%d", i))
		if len(preferred) != maxPreferred {
			t.Fatalf("got %v, want %d entries", preferred, maxPreferred)
		}

		subscribers[preferred[0]]++
	}

	for entry, n := range subscribers {
		if want := 10; n > want {
			t.Errorf("%s serves %d processes, want at most %d", entry, n, want)
		}
	}

	if got := NewMembers("", []string{"seed"}).Preferred(now, "side"); !slices.Equal(got, []string{"seed"}) {
		t.Errorf("no live entry: got %v, want the seed", got)
	}
}
