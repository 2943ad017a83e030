package vault

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/mirror"
)

// splitReads returns the last read, up to a time, that shows no newer version, and the first
// that shows it; -1 for none.
func splitReads(reads []int64, replacedAt, until int64) (lastOld, firstNew int64) {
	lastOld, firstNew = -1, -1

	for _, read := range reads {
		switch {
		case read > until:
		case read < replacedAt:
			lastOld = max(lastOld, read)
		case firstNew < 0 || read < firstNew:
			firstNew = read
		}
	}

	return lastOld, firstNew
}

// Guards against freeing a part while an engine fetches it: the engine would get corrupt KV
// cache, and the caller an answer computed from the KV cache of another prompt. The processes
// learn of new weight versions early, late or not at all, and their VMs may be suspended, so that their
// clocks stand still while the engines' goes on.
func TestNothingIsFreedThatMayStillBeFetched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		replacedAt := rapid.Int64Range(0, 20_000).Draw(t, "replaced at ms")
		part := Part{Salt: Scope{Model: "m", Version: 1}.Salt(), ID: fmt.Sprint(rapid.Uint32().Draw(t, "part"))}
		at := func(ms int64) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

		// A process reads the log at some times. What it reads is current at that time.
		reads := rapid.SliceOfN(rapid.Int64Range(0, 40_000), 0, 8).Draw(t, "reads at ms")
		near := rapid.Int64Range(max(0, replacedAt-2000), replacedAt+10_000)
		reads = append(reads, rapid.Int64Range(max(0, replacedAt-2000), replacedAt).Draw(t, "last read at ms"))
		fetch := rapid.OneOf(near, rapid.Int64Range(0, 60_000)).Draw(t, "fetches at ms")

		// It is suspended for a while. What it knows of the engines' clock is up to a second old.
		suspendedAt := rapid.OneOf(near, rapid.Int64Range(0, 60_000)).Draw(t, "suspended at ms")
		suspendedFor := rapid.Int64Range(0, 20_000).Draw(t, "suspended for ms")
		clockAge := rapid.Int64Range(0, 1000).Draw(t, "age of the clock in ms")
		running := func(ms int64) bool { return ms < suspendedAt || ms >= suspendedAt+suspendedFor }
		local := func(ms int64) time.Time {
			if ms >= suspendedAt {
				ms = max(suspendedAt, ms-suspendedFor)
			}

			return at(ms)
		}

		const clockStart = 100_000

		reads = slices.DeleteFunc(reads, func(ms int64) bool { return !running(ms) })
		lastOld, firstNew := splitReads(reads, replacedAt, fetch)

		right := FetchRight{}
		if lastOld >= 0 {
			right.NewestAt = mirror.Moment{Local: local(lastOld), Shared: clockStart + lastOld - clockAge}
		}

		// The process registers at some time. The process that frees parts reads the register
		// when the version is published, and asks the registered processes until they know it.
		registeredAt := rapid.OneOf(rapid.Just(int64(0)), rapid.Int64Range(0, 60_000)).Draw(t, "registers at ms")
		registered := registeredAt <= replacedAt
		confirmedAfter := time.Duration(0)

		if registered {
			confirmedAfter = Unconfirmed

			// It may respond late, for example as it was paused.
			if ms := rapid.OneOf(rapid.Int64Range(0, 1000), rapid.Int64Range(0, 20_000)).Draw(t, "responds after ms"); running(replacedAt+ms) && rapid.Bool().Draw(t, "reached") {
				confirmedAfter = time.Duration(ms) * time.Millisecond
				if firstNew < 0 || firstNew > replacedAt+ms {
					firstNew = replacedAt + ms
				}
			}
		}

		right.Registered = lastOld >= registeredAt && (firstNew < 0 || firstNew > fetch)
		if !running(fetch) || !right.Allows(local(fetch), part) {
			return
		}

		// Another process learned of the version immediately, and frees the part as early as it
		// may: without a response only if no process is registered.
		freedAt := at(replacedAt).Add(part.FreeAfter(confirmedAfter))
		fetchEnd := at(min(clockStart+fetch+MaxFetch.Milliseconds(), right.Until(part)) - clockStart)

		if fetchEnd.After(at(fetch)) && fetchEnd.After(freedAt) {
			t.Fatalf("a fetch granted at %d ms lasts until %v, freed at %v (version replaced at %d ms, last read before at %d ms)", fetch, fetchEnd, freedAt, replacedAt, lastOld)
		}
	})
}

func TestGraceVariesBetweenParts(t *testing.T) {
	early, late := 0, 0

	for i := range 1000 {
		p := Part{ID: fmt.Sprint(i)}
		if p.grace() < minGrace || p.grace() > maxGrace {
			t.Fatalf("got grace %v, want it within its bounds", p.grace())
		}

		if p.grace() < (minGrace+maxGrace)/2 {
			early++
		} else {
			late++
		}
	}

	if early < 400 || late < 400 {
		t.Errorf("got %d early and %d late, want about half each", early, late)
	}
}

func TestSaltKeepsScopesApart(t *testing.T) {
	scopes := []Scope{
		{Model: "m", Version: 1}, {Model: "m", Version: 11}, {Model: "m1", Version: 1},
		{Model: "m", Version: 1, Organisation: "bureau"}, {Model: "m", Version: 1, Organisation: "1"},
		{Model: "m", Version: 1, Organisation: "bureau/2 é"}, {Model: "m", Version: 1, Apart: "1"}, {Model: "m", Version: 1, Organisation: "/1"},
		{Model: "m", Version: 1, Apart: "2"},
	}
	seen := map[string]Scope{}

	for _, want := range scopes {
		salt := want.Salt()
		if other, ok := seen[salt]; ok {
			t.Errorf("%v and %v have the same salt %q", want, other, salt)
		}

		seen[salt] = want

		if got, ok := ParseSalt(salt); !ok || got != want {
			t.Errorf("ParseSalt(%q): got %v %v, want %v", salt, got, ok, want)
		}
	}
}

// stores are a large store and a low-latency one.
var stores = []Store{
	{Address: "large", DataCentre: "east", CapacityTokens: 20_000, FirstByte: 6 * time.Millisecond},
	{Address: "quick", DataCentre: "west", CapacityTokens: 10_000, FirstByte: 500 * time.Microsecond},
}

func newTestDirectory(t *testing.T, now time.Time) *Directory {
	t.Helper()

	d := NewDirectory(1)
	d.Configure(stores)

	firstSeen := now.Add(-epochGrace - freeMargin)

	for _, s := range stores {
		d.ApplyListing(firstSeen, s.Address, Listing{Epoch: 1, Clock: 1000})
		d.ApplyEvents(now, s.Address, Events{Epoch: 1, Clock: 1000 + now.Sub(firstSeen).Milliseconds()})
	}

	return d
}

func newHeld(id string, tokens int) Held {
	return Held{Part: Part{Salt: "m/1/", ID: id}, Tokens: tokens}
}

func TestPlaceFillsLargeStoresWithLongParts(t *testing.T) {
	now := time.Unix(100, 0)
	d := newTestDirectory(t, now)

	tests := []struct {
		part Held
		want string
	}{
		{newHeld("long-1", 12_000), "large"},
		{newHeld("long-2", 9_000), "quick"}, // the large store is full
		{newHeld("short-1", 500), "quick"},
		{newHeld("short-2", 600), ""}, // no store has space left
		{newHeld("long-1", 12_000), ""},
	}

	for _, tt := range tests {
		if got, _ := d.Place(now, tt.part); got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.part.ID, got, tt.want)
		}
	}
}

// Guards against thousands of short parts that fill the low-latency stores, so that long parts
// that fit in no other store have to be recomputed.
func TestShortPartsLeaveRoomForLongOnes(t *testing.T) {
	now := time.Unix(100, 0)
	d := newTestDirectory(t, now)
	placed := 0

	for i := range 100 {
		h := newHeld(fmt.Sprint(i), 500)
		if a, ok := d.Place(now, h); ok {
			d.ApplyEvents(now, a, Events{Epoch: 1, Next: int64(i), Events: []Event{{Held: h, Added: true}}})

			placed += h.Tokens
		}
	}

	if want := int(shortPartShare * 10_000); placed != want {
		t.Errorf("got %d tokens of short parts, want %d", placed, want)
	}
}

// Guards against fetches of parts that a store held before a restart. A store is empty after a
// restart, so each of these fetches is a miss that delays its caller.
func TestRestartedStoreHoldsNothing(t *testing.T) {
	now := time.Unix(100, 0)
	d := newTestDirectory(t, now)
	p := newHeld("a", 2000)
	d.ApplyEvents(now, "large", Events{Epoch: 1, Next: 1, Events: []Event{{Held: p, Added: true}}})

	if _, ok := d.Find(now, p.Part, "east"); !ok {
		t.Fatal("got no copy, want one")
	}

	if d.ApplyEvents(now, "large", Events{Epoch: 2, Next: 1}) {
		t.Error("got the events of a new epoch applied, want the list requested")
	}

	if _, ok := d.Find(now, p.Part, "east"); ok {
		t.Error("got a copy of the earlier epoch, want none")
	}
}

func TestStoreThatDoesNotAnswerIsNotUsed(t *testing.T) {
	now := time.Unix(100, 0)
	d := newTestDirectory(t, now)
	p := newHeld("a", 2000)
	d.ApplyEvents(now, "large", Events{Epoch: 1, Next: 1, Events: []Event{{Held: p, Added: true}}})
	d.MarkUnreachable("large")

	if _, ok := d.Find(now, p.Part, "east"); ok {
		t.Error("got a copy in an unreachable store, want none")
	}

	if a, _ := d.Place(now, newHeld("b", 2000)); a != "quick" {
		t.Errorf("got %q, want quick", a)
	}
}

func TestOnlyReplacedVersionsAreFreed(t *testing.T) {
	now := time.Unix(100, 0)
	d := newTestDirectory(t, now)
	parts := []Held{
		{Part{Salt: Scope{Model: "m", Version: 1}.Salt(), ID: "a"}, 100},
		{Part{Salt: Scope{Model: "m", Version: 2}.Salt(), ID: "b"}, 100},
		{Part{Salt: Scope{Model: "n", Version: 1}.Salt(), ID: "c"}, 100},
		{Part{Salt: "other format", ID: "d"}, 100},
	}

	for i, p := range parts {
		d.ApplyEvents(now, "large", Events{Epoch: 1, Next: int64(i), Events: []Event{{Held: p, Added: true}}})
	}

	due := func(known, confirmedAfter time.Duration) func(string, Part) bool {
		d := &dueParts{now: now.Add(known), newer: replacement{learnedAt: now, confirmedAfter: confirmedAfter}, ranUntil: math.MaxInt64, rank: func(string) int { return 0 }}

		return d.allows
	}

	got := d.Freeable("m", 2, due(time.Hour, 0), 10)

	if len(got) != 1 || len(got[0].Parts) != 1 || got[0].Parts[0].ID != "a" {
		t.Errorf("got %v, want part a only", got)
	}

	if got := d.Freeable("m", 2, due(minGrace, 0), 10); len(got) != 0 {
		t.Errorf("before the grace period has passed: got %v, want none", got)
	}

	if got := d.Freeable("m", 2, due(RegisteredGrace, Unconfirmed), 10); len(got) != 0 {
		t.Errorf("not confirmed by all processes: got %v, want none", got)
	}

	if got := d.Freeable("m", 2, due(maxGrace+MaxFetch+freeMargin, maxGrace+time.Second), 10); len(got) != 0 {
		t.Errorf("confirmed by all processes only just before: got %v, want none", got)
	}
}

// Guards against updates that leave the receiver's parts different from the reporter's, in any
// order of changes, polls and restarts of the store or the reporter. Each fetch of a part that
// only the receiver knows is a miss.
func TestUpdatesReplicateReportersParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		reporter := NewDirectory(1)
		reporter.Configure(stores)
		reporter.ApplyListing(now, "large", Listing{Epoch: 1, Clock: 5000})

		follower := NewDirectory(2)
		follower.Configure(stores)

		epoch, next, incarnation := int64(1), int64(0), int64(1)
		id := rapid.SampledFrom([]string{"a", "b", "c", "d"})

		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				next++
				reporter.ApplyEvents(now, "large", Events{Epoch: epoch, Next: next, Events: []Event{{Held: newHeld(id.Draw(t, "id"), 200), Added: rapid.Bool().Draw(t, "added")}}})
			},
			"many changes": func(*rapid.T) {
				for range 3 * keptChanges {
					next++
					reporter.ApplyEvents(now, "large", Events{Epoch: epoch, Next: next, Events: []Event{{Held: newHeld("x", 200), Added: next%2 == 0}}})
				}
			},
			"store restarts": func(*rapid.T) {
				epoch++
				reporter.ApplyEvents(now, "large", Events{Epoch: epoch})
				reporter.ApplyListing(now, "large", Listing{Epoch: epoch, Clock: 6000})
			},
			"the reporter restarts": func(*rapid.T) {
				incarnation += 2
				reporter = NewDirectory(incarnation)
				reporter.Configure(stores)
				reporter.ApplyListing(now, "large", Listing{Epoch: epoch, Clock: 6000})
			},
			"ask": func(t *rapid.T) {
				for _, u := range reporter.Updates(now, []Position{follower.PeerPosition("large")}) {
					if !follower.ApplyUpdate(now, u) {
						t.Fatal("ApplyUpdate returned false, want the update applied")
					}
				}

				got, want := follower.stores["large"], reporter.stores["large"]
				if len(got.parts) != len(want.parts) || got.tokens != want.tokens || got.shortTokens != want.shortTokens {
					t.Fatalf("got %v (%d tokens, %d short), want %v (%d, %d)", got.parts, got.tokens, got.shortTokens, want.parts, want.tokens, want.shortTokens)
				}

				for p := range want.parts {
					if _, ok := got.parts[p]; !ok {
						t.Fatalf("got no %v", p)
					}
				}
			},
		})
	})
}

func TestClockIsNeverAhead(t *testing.T) {
	d := NewDirectory(1)
	if _, ok := d.Clock(time.Unix(100, 0)); ok {
		t.Error("got a clock before any was reported")
	}

	d.Configure(stores)
	d.ApplyListing(time.Unix(100, 0), "large", Listing{Epoch: 1, Clock: 7000})

	if got, _ := d.Clock(time.Unix(102, 0)); got != 9000 {
		t.Errorf("got %d, want 9000", got)
	}
}

// Guards against fetches without an effective deadline, and against parts that are kept for good, after one damaged
// report of the engines' clock, and against a clock that stays behind after this process was suspended.
func TestSingleReportDoesNotMoveTheClockFar(t *testing.T) {
	start := time.Unix(100, 0)

	tests := []struct {
		name    string
		reports []int64 // one each 100 ms
		want    int64   // 100 ms after the last one
	}{
		{"in step", []int64{7000, 7100, 7200}, 7300},
		{"late", []int64{7000, 6900, 7150}, 7300},
		{"damaged", []int64{7000, 97_100}, 7200},
		{"damaged a little", []int64{7000, 7900, 7200}, 7300},
		{"damaged and repeated", []int64{7000, 97_100, 97_100}, 7300},
		{"damaged in two ways", []int64{7000, 97_100, 1_700_000, 7300}, 7400},
		{"this process was suspended", []int64{7000, 27_100, 27_190}, 27_290},
		{"reports of before a pause", []int64{27_000, 7000, 27_200}, 27_300},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := NewDirectory(1)

			for i, clock := range tt.reports {
				d.SetClock(start.Add(time.Duration(i)*100*time.Millisecond), clock)
			}

			if got, _ := d.Clock(start.Add(time.Duration(len(tt.reports)) * 100 * time.Millisecond)); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against overloading a store's link, which carries one transfer at a time. Without
// counting the transfers planned already, processes start more than the link can carry. Those
// transfers wait for seconds and are discarded, and the prompts are recomputed.
func TestReservedTransfersDelayLaterOnes(t *testing.T) {
	now := time.Unix(100, 0)
	d := NewDirectory(1)
	d.Configure([]Store{{Address: "large", DataCentre: "east", CapacityTokens: 20_000, FirstByte: 6 * time.Millisecond, TokensPerMs: 250}})
	d.ApplyListing(now, "large", Listing{Epoch: 1, Clock: 7000, Held: []Held{newHeld("a", 5000)}})
	d.SetProcessCount(4)

	near, _ := d.Find(now, newHeld("a", 0).Part, "east")
	if want := 26 * time.Millisecond; near.Wait != 0 || near.Transfer != want {
		t.Errorf("same data centre: got a transfer of %v after %v, want %v after 0", near.Transfer, near.Wait, want)
	}

	far, _ := d.Find(now, newHeld("a", 0).Part, "west")
	if want := 46 * time.Millisecond; far.Transfer != want {
		t.Errorf("other data centre: got a transfer of %v, want %v", far.Transfer, want)
	}

	d.ReserveLink(now, near)

	if c, _ := d.Find(now, newHeld("a", 0).Part, "east"); c.Wait != 4*near.Transfer {
		t.Errorf("after a reservation: got a wait of %v, want %v", c.Wait, 4*near.Transfer)
	}

	if c, _ := d.Find(now.Add(time.Second), newHeld("a", 0).Part, "east"); c.Wait != 0 {
		t.Errorf("a second later: got a wait of %v, want none", c.Wait)
	}
}
