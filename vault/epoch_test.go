package vault

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// storeModel is a store that is empty after each restart. A part must not be fetched while
// it is being saved.
type storeModel struct {
	epoch  int64
	held   map[Part]bool
	saving map[Part]int64 // when each save completes, in ms
	events []Event
}

// completeSaves completes the saves that are due at clock.
func (s *storeModel) completeSaves(clock int64) {
	for p, until := range s.saving {
		if until <= clock {
			delete(s.saving, p)
			s.held[p] = true
			s.events = append(s.events, Event{Held: Held{Part: p, Tokens: 100}, Added: true})
		}
	}
}

func (s *storeModel) restart() {
	s.epoch++
	s.held, s.saving, s.events = make(map[Part]bool), make(map[Part]int64), nil
}

// message is a response of the store or of a process that has not been delivered yet.
type message struct {
	update  *Update
	events  Events
	listing *Listing
}

// grant is a fetch that a process allowed an engine to start.
type grant struct {
	part        Part
	from, until int64 // in ms
}

const (
	storeAddress = "large"
	processCount = 4 // only process 0 saves; it polls the store before each save
)

// epochSimulation simulates a store and the processes that use it.
type epochSimulation struct {
	clock       int64 // the engines' clock in ms
	store       *storeModel
	directories [processCount]*Directory
	inbox       [processCount][]message
	grants      []grant
}

// newEpochSimulation returns a simulation in which the store holds one part and all processes
// know of it.
func newEpochSimulation() *epochSimulation {
	s := &epochSimulation{clock: 10_000, store: &storeModel{epoch: 1, held: make(map[Part]bool), saving: make(map[Part]int64)}}

	for i := range s.directories {
		s.directories[i] = NewDirectory(int64(i + 1))
		s.directories[i].Configure([]Store{{Address: storeAddress, CapacityTokens: 100_000}})
	}

	s.store.saving[numberedPart(0)] = s.clock

	for range 3 {
		for i := range s.directories {
			s.deliver(i, s.pollStore(i))
		}

		s.advance((epochGrace + freeMargin).Milliseconds())
	}

	return s
}

func numberedPart(i int) Part {
	return Part{Salt: Scope{Model: "m", Version: 1}.Salt(), ID: fmt.Sprint(i)}
}

func (s *epochSimulation) now() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s.clock) * time.Millisecond)
}

func (s *epochSimulation) advance(ms int64) {
	s.clock += ms
	s.store.completeSaves(s.clock)
}

// pollStore returns the store's response to process i.
func (s *epochSimulation) pollStore(i int) message {
	next, ok := s.directories[i].NextEvent(storeAddress)
	if !ok {
		l := &Listing{Epoch: s.store.epoch, Next: int64(len(s.store.events)), Clock: s.clock}
		for p := range s.store.held {
			l.Held = append(l.Held, Held{Part: p, Tokens: 100})
		}

		return message{listing: l}
	}

	e := Events{Epoch: s.store.epoch, Next: int64(len(s.store.events)), Clock: s.clock}
	if next <= int64(len(s.store.events)) {
		e.Events = append(e.Events, s.store.events[next:]...)
	}

	return message{events: e}
}

// askPeer returns the response of process j to process i.
func (s *epochSimulation) askPeer(i, j int) message {
	u := s.directories[j].Updates(s.now(), []Position{s.directories[i].PeerPosition(storeAddress)})

	return message{update: &u[0]}
}

func (s *epochSimulation) deliver(i int, m message) {
	switch d := s.directories[i]; {
	case m.update != nil:
		d.ApplyUpdate(s.now(), *m.update)
	case m.listing != nil:
		d.ApplyListing(s.now(), storeAddress, *m.listing)
	default:
		d.ApplyEvents(s.now(), storeAddress, m.events)
	}
}

// save starts a save of p if process 0 finds a place for it. It fails the test if an engine
// may still be fetching p.
func (s *epochSimulation) save(t *rapid.T, p Part) {
	// Watchers poll at least once a second, and again after a restart to read the list.
	for range 2 {
		s.deliver(0, s.pollStore(0))
	}

	if _, ok := s.directories[0].Place(s.now(), Held{Part: p, Tokens: 100}); !ok {
		return
	}

	if _, ok := s.store.saving[p]; ok || s.store.held[p] {
		return
	}

	s.store.saving[p] = s.clock + rapid.Int64Range(1, 2000).Draw(t, "duration ms")
	if rapid.Bool().Draw(t, "interrupted") {
		// Long enough for the save not to complete during the test.
		s.store.saving[p] = s.clock + int64(time.Hour/time.Millisecond)
	}

	for _, g := range s.grants {
		if g.part == p && g.until > s.clock {
			t.Fatalf("fetch of %v granted at %d ms until %d ms, but its save starts at %d ms", p, g.from, g.until, s.clock)
		}
	}
}

// fetch records the fetch of p that process i grants, if any. It fails the test if the fetch may
// run while p is being saved.
func (s *epochSimulation) fetch(t *rapid.T, i int, p Part) {
	c, ok := s.directories[i].Find(s.now(), p, "east")
	if !ok {
		return
	}

	// An engine discards a fetch whose deadline has passed.
	if _, saving := s.store.saving[p]; saving && c.FetchUntil > s.clock {
		t.Fatalf("fetch of %v granted at %d ms, while it is being saved", p, s.clock)
	}

	s.grants = append(s.grants, grant{p, s.clock, c.FetchUntil})
}

// Guards against fetches of parts that are being saved again in a restarted store, granted by
// processes that do not know of the restart.
func TestPartsSavedAgainAfterRestartAreNotFetched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newEpochSimulation()
		process := rapid.IntRange(0, processCount-1)
		part := rapid.Custom(func(t *rapid.T) Part { return numberedPart(rapid.IntRange(0, 2).Draw(t, "part")) })

		t.Repeat(map[string]func(*rapid.T){
			"":                   func(t *rapid.T) { s.advance(rapid.Int64Range(0, 1000).Draw(t, "elapsed ms")) },
			"the store restarts": func(*rapid.T) { s.store.restart() },
			"a process polls the store": func(t *rapid.T) {
				i := process.Draw(t, "process")
				s.inbox[i] = append(s.inbox[i], s.pollStore(i))
			},
			"a process polls another": func(t *rapid.T) {
				i, j := rapid.IntRange(1, processCount-1).Draw(t, "process"), process.Draw(t, "peer")
				s.inbox[i] = append(s.inbox[i], s.askPeer(i, j))
			},
			"an answer arrives": func(t *rapid.T) {
				if i := process.Draw(t, "process"); len(s.inbox[i]) > 0 {
					s.deliver(i, s.inbox[i][0])
					s.inbox[i] = s.inbox[i][1:]
				}
			},
			"a part is saved":   func(t *rapid.T) { s.save(t, part.Draw(t, "part")) },
			"a part is fetched": func(t *rapid.T) { s.fetch(t, process.Draw(t, "process"), part.Draw(t, "part")) },
		})
	})
}

// Guards against saving to a restarted store before fetches of the earlier epoch have
// ended, and against never saving to it again.
func TestRestartedStoreIsSavedToAfterEarlierFetchesEnd(t *testing.T) {
	now := time.Unix(100, 0)
	d := newTestDirectory(t, now)
	p := newHeld("a", 2000)

	clock := func(at time.Time) int64 { return 1000 + at.Sub(now.Add(-epochGrace-freeMargin)).Milliseconds() }
	d.ApplyEvents(now, "large", Events{Epoch: 2, Clock: clock(now)})
	d.MarkUnreachable("quick")
	d.ApplyListing(now, "large", Listing{Epoch: 2})

	tests := []struct {
		after time.Duration
		want  bool
	}{{0, false}, {epochGrace, false}, {epochGrace + freeMargin, true}}

	for _, tt := range tests {
		at := now.Add(tt.after)
		d.ApplyEvents(at, "large", Events{Epoch: 2, Clock: clock(at)})

		if _, got := d.Place(at, p); got != tt.want {
			t.Errorf("%v after the new epoch was first known: got a place %v, want %v", tt.after, got, tt.want)
		}
	}
}

// Guards against saving to a restarted store what a paused engine goes on fetching when it resumes.
func TestRestartedStoreIsSavedToAfterEnginesRan(t *testing.T) {
	now := time.Unix(100, 0)
	d := newTestDirectory(t, now)
	clock := func(at time.Time) int64 { return 1000 + at.Sub(now.Add(-epochGrace-freeMargin)).Milliseconds() }
	ended := clock(now) + (epochGrace + freeMargin).Milliseconds()

	d.ApplyEvents(now, "large", Events{Epoch: 2, Clock: clock(now)})
	d.MarkUnreachable("quick")
	d.ApplyListing(now, "large", Listing{Epoch: 2})

	tests := []struct {
		name     string
		after    time.Duration
		ranUntil int64
		want     bool
	}{
		{"an engine is paused", epochGrace + freeMargin, ended - 1, false},
		{"it has resumed", epochGrace + freeMargin, ended, true},
		{"it never resumes", epochGrace + freeMargin + pausedGrace, ended - 1, true},
	}

	for i, tt := range tests {
		at := now.Add(tt.after)
		d.ApplyEvents(at, "large", Events{Epoch: 2, Clock: clock(at)})
		d.SetEnginesRanUntil(tt.ranUntil)

		if _, got := d.Place(at, newHeld(fmt.Sprint("a", i), 2000)); got != tt.want {
			t.Errorf("%s: got a place %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against fetching from a restarted store, and saving to it, by the word of a process that doesn't know yet
// that it has restarted.
func TestUpdateOfAnEarlierEpochIsIgnored(t *testing.T) {
	now := time.Unix(100, 0)
	d := newTestDirectory(t, now)
	clock, _ := d.Clock(now)
	d.ApplyListing(now, "large", Listing{Epoch: 2, Clock: clock})

	old := Update{Position: Position{Address: "large"}, Reachable: true, Snapshot: true, Epoch: 1, EpochFirstSeen: clock - 9000, EpochLastSeen: clock - 1000, Events: []Event{{Held: newHeld("a", 200), Added: true}}}
	if d.ApplyUpdate(now, old) {
		t.Error("got an update of an earlier epoch applied, want it ignored")
	}

	if _, ok := d.Find(now, newHeld("a", 200).Part, "east"); ok {
		t.Error("got a part of an earlier epoch, want none")
	}
}

// Guards against fetches from a store that may have restarted since its epoch was last
// known.
func TestStoreWithUncertainEpochIsNotFetchedFrom(t *testing.T) {
	now := time.Unix(100, 0)
	d := newTestDirectory(t, now)
	p := newHeld("a", 2000)
	clock, _ := d.Clock(now)
	d.ApplyEvents(now, "large", Events{Epoch: 1, Next: 1, Clock: clock, Events: []Event{{Held: p, Added: true}}})

	tests := []struct {
		after      time.Duration
		fetchUntil time.Duration // after now; zero if no fetch is granted
	}{
		{0, MaxFetch}, {time.Second, epochGrace}, {epochGrace - minFetchTime, epochGrace}, {epochGrace, 0},
	}

	for _, tt := range tests {
		c, ok := d.Find(now.Add(tt.after), p.Part, "east")
		if got, want := time.Duration(max(c.FetchUntil-clock, 0))*time.Millisecond, tt.fetchUntil; got != want || ok != (want > 0) {
			t.Errorf("after %v: got a fetch until %v, want %v", tt.after, got, want)
		}
	}
}
