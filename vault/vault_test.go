package vault

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// seen returns the last look, up to a time, that shows no newer version, and the
// first that shows it; -1 for none.
func seen(looks []int64, named, until int64) (before, known int64) {
	before, known = -1, -1

	for _, l := range looks {
		switch {
		case l > until:
		case l < named:
			before = max(before, l)
		case known < 0 || l < known:
			known = l
		}
	}

	return before, known
}

// TestNothingIsFreedThatMayStillBeFetched draws processes that learn of new weight
// versions early, late or not at all, fetch contexts while they may, and free
// what was replaced. A context that is freed while an engine fetches it is
// broken, and the caller gets an answer made from somebody else's memory.
func TestNothingIsFreedThatMayStillBeFetched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		named := rapid.Int64Range(0, 20_000).Draw(t, "named at ms")
		part := Part{Salt: Scope{Model: "m", Version: 1}.Salt(), ID: fmt.Sprint(rapid.Uint32().Draw(t, "part"))}
		at := func(ms int64) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

		// A process looks at the log at some times; what it sees is true then.
		looks := rapid.SliceOfN(rapid.Int64Range(0, 40_000), 0, 8).Draw(t, "looks at ms")
		fetch := rapid.Int64Range(0, 60_000).Draw(t, "fetches at ms")

		before, known := seen(looks, named, fetch)

		current := time.Time{}
		if before >= 0 {
			current = at(before)
		}

		// The process registers at some time. Whoever frees reads the register when the
		// version is named, and asks those that stand there until they know.
		registers := rapid.Int64Range(0, 60_000).Draw(t, "registers at ms")
		reached := rapid.Bool().Draw(t, "reached")
		listed := registers <= named

		if listed && reached && (known < 0 || known > named) {
			known = named
		}

		asked := before >= registers && (known < 0 || known > fetch)
		if !part.Right(at(fetch), current, asked) {
			return
		}

		// Another process learned of the version the moment it was named, and frees
		// as early as it ever may: without an answer only if nobody is registered.
		freed := at(named).Add(part.FreeAfter(reached || !listed))
		ends := at(fetch).Add(MaxFetch)

		if ends.After(freed) {
			t.Fatalf("a fetch granted at %d ms lasts until %v, freed at %v (named at %d ms, last look before at %d ms)", fetch, ends, freed, named, before)
		}
	})
}

func TestPartsComeFreeBitByBit(t *testing.T) {
	early, late := 0, 0

	for i := range 1000 {
		p := Part{ID: fmt.Sprint(i)}
		if p.grace() < graceLeast || p.grace() > graceMost {
			t.Fatalf("grace %v out of bounds", p.grace())
		}

		if p.grace() < (graceLeast+graceMost)/2 {
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
		{Model: "m", Version: 1, Wall: "bureau"}, {Model: "m", Version: 1, Wall: "1"},
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

// stores are a large store and a quick one.
var stores = []Store{
	{Address: "large", DataCentre: "east", Room: 20_000, FirstByte: 6 * time.Millisecond},
	{Address: "quick", DataCentre: "west", Room: 10_000, FirstByte: 500 * time.Microsecond},
}

func open(t *testing.T, now time.Time) *Directory {
	t.Helper()

	d := NewDirectory(1)
	d.Configure(stores)

	firstSeen := now.Add(-epochGrace - freeMargin)

	for _, s := range stores {
		d.Learn(firstSeen, s.Address, Listing{Epoch: 1, Clock: 1000})
		d.Follow(now, s.Address, Events{Epoch: 1, Clock: 1000 + now.Sub(firstSeen).Milliseconds()})
	}

	return d
}

func held(id string, tokens int) Held { return Held{Part: Part{Salt: "m/1/", ID: id}, Tokens: tokens} }

func TestPlaceFillsLargeStoresWithLongParts(t *testing.T) {
	now := time.Unix(100, 0)
	d := open(t, now)

	tests := []struct {
		part Held
		want string
	}{
		{held("long-1", 12_000), "large"},
		{held("long-2", 9_000), "quick"}, // the large one is full
		{held("short-1", 500), "quick"},
		{held("short-2", 600), ""}, // nowhere is room left
		{held("long-1", 12_000), ""},
	}

	for _, tt := range tests {
		if got, _ := d.Place(now, tt.part); got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.part.ID, got, tt.want)
		}
	}
}

// Short parts come by the thousand. Without a bound they would take all the room
// of the quick stores, and long ones that find no other would be read again.
func TestShortPartsLeaveRoomForLongOnes(t *testing.T) {
	now := time.Unix(100, 0)
	d := open(t, now)
	placed := 0

	for i := range 100 {
		h := held(fmt.Sprint(i), 500)
		if a, ok := d.Place(now, h); ok {
			d.Follow(now, a, Events{Epoch: 1, Next: int64(i), Events: []Event{{Held: h, Added: true}}})

			placed += h.Tokens
		}
	}

	if want := int(shortRoom * 10_000); placed != want {
		t.Errorf("got %d tokens of short parts, want %d", placed, want)
	}
}

// A store restarts empty. Until its list is read again nothing may be taken to be
// there: each fetch from it would be a miss that costs its caller time.
func TestRestartedStoreHoldsNothing(t *testing.T) {
	now := time.Unix(100, 0)
	d := open(t, now)
	p := held("a", 2000)
	d.Follow(now, "large", Events{Epoch: 1, Next: 1, Events: []Event{{Held: p, Added: true}}})

	if _, ok := d.Find(now, p.Part, "east"); !ok {
		t.Fatal("got no copy, want one")
	}

	if d.Follow(now, "large", Events{Epoch: 2, Next: 1}) {
		t.Error("got the new epoch followed, want the list asked for")
	}

	if _, ok := d.Find(now, p.Part, "east"); ok {
		t.Error("got a copy of the epoch before, want none")
	}
}

func TestStoreThatDoesNotAnswerIsNotUsed(t *testing.T) {
	now := time.Unix(100, 0)
	d := open(t, now)
	p := held("a", 2000)
	d.Follow(now, "large", Events{Epoch: 1, Next: 1, Events: []Event{{Held: p, Added: true}}})
	d.Lose("large")

	if _, ok := d.Find(now, p.Part, "east"); ok {
		t.Error("got a copy in a store that is away, want none")
	}

	if a, _ := d.Place(now, held("b", 2000)); a != "quick" {
		t.Errorf("got %q, want quick", a)
	}
}

func TestOnlyReplacedVersionsAreFreed(t *testing.T) {
	now := time.Unix(100, 0)
	d := open(t, now)
	parts := []Held{
		{Part{Salt: Scope{Model: "m", Version: 1}.Salt(), ID: "a"}, 100},
		{Part{Salt: Scope{Model: "m", Version: 2}.Salt(), ID: "b"}, 100},
		{Part{Salt: Scope{Model: "n", Version: 1}.Salt(), ID: "c"}, 100},
		{Part{Salt: "not ours", ID: "d"}, 100},
	}

	for i, p := range parts {
		d.Follow(now, "large", Events{Epoch: 1, Next: int64(i), Events: []Event{{Held: p, Added: true}}})
	}

	long := func(string) time.Duration { return time.Hour }
	got := d.Replaced("m", 2, long, true, 10)

	if len(got) != 1 || len(got[0].Parts) != 1 || got[0].Parts[0].ID != "a" {
		t.Errorf("got %v, want a alone", got)
	}

	soon := func(string) time.Duration { return graceLeast }
	if got := d.Replaced("m", 2, soon, true, 10); len(got) != 0 {
		t.Errorf("too early: got %v, want none", got)
	}

	if got := d.Replaced("m", 2, func(string) time.Duration { return LongGrace }, false, 10); len(got) != 0 {
		t.Errorf("not answered by all: got %v, want none", got)
	}
}

// TestFollowersKnowWhatTheirTellerKnows draws changes of a store and questions of
// another process at any time, also across restarts of store and teller. A part
// that the follower believes in and the teller doesn't costs a miss each time.
func TestFollowersKnowWhatTheirTellerKnows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		teller := NewDirectory(1)
		teller.Configure(stores)
		teller.Learn(now, "large", Listing{Epoch: 1, Clock: 5000})

		follower := NewDirectory(2)
		follower.Configure(stores)

		epoch, next, started := int64(1), int64(0), int64(1)
		id := rapid.SampledFrom([]string{"a", "b", "c", "d"})

		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				next++
				teller.Follow(now, "large", Events{Epoch: epoch, Next: next, Events: []Event{{Held: held(id.Draw(t, "id"), 200), Added: rapid.Bool().Draw(t, "added")}}})
			},
			"many changes": func(*rapid.T) {
				for range 3 * keptChanges {
					next++
					teller.Follow(now, "large", Events{Epoch: epoch, Next: next, Events: []Event{{Held: held("x", 200), Added: next%2 == 0}}})
				}
			},
			"store restarts": func(*rapid.T) {
				epoch++
				teller.Follow(now, "large", Events{Epoch: epoch})
				teller.Learn(now, "large", Listing{Epoch: epoch, Clock: 6000})
			},
			"teller restarts": func(*rapid.T) {
				started += 2
				teller = NewDirectory(started)
				teller.Configure(stores)
				teller.Learn(now, "large", Listing{Epoch: epoch, Clock: 6000})
			},
			"ask": func(t *rapid.T) {
				for _, u := range teller.Tell(now, []Position{follower.Followed("large")}) {
					if !follower.Adopt(now, u) {
						t.Fatal("got the update refused")
					}
				}

				got, want := follower.shelves["large"], teller.shelves["large"]
				if len(got.parts) != len(want.parts) || got.tokens != want.tokens || got.short != want.short {
					t.Fatalf("got %v (%d tokens, %d short), want %v (%d, %d)", got.parts, got.tokens, got.short, want.parts, want.tokens, want.short)
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
		t.Error("got a clock before any was told")
	}

	d.Configure(stores)
	d.Learn(time.Unix(100, 0), "large", Listing{Epoch: 1, Clock: 7000})

	if got, _ := d.Clock(time.Unix(102, 0)); got != 9000 {
		t.Errorf("got %d, want 9000", got)
	}
}

// A store's link carries one transfer after another. Entries that don't count what
// is promised on it send more than it carries; the transfers then wait for seconds
// and are given up, and all that they were to bring is read again.
func TestPromisedTransfersMakeTheNextOneWait(t *testing.T) {
	now := time.Unix(100, 0)
	d := NewDirectory(1)
	d.Configure([]Store{{Address: "large", DataCentre: "east", Room: 20_000, FirstByte: 6 * time.Millisecond, TokensPerMs: 250}})
	d.Learn(now, "large", Listing{Epoch: 1, Clock: 7000, Held: []Held{held("a", 5000)}})
	d.SetSharers(4)

	near, _ := d.Find(now, held("a", 0).Part, "east")
	if want := 26 * time.Millisecond; near.Wait != 0 || near.Transfer != want {
		t.Errorf("near: got %v after %v, want %v after 0", near.Transfer, near.Wait, want)
	}

	far, _ := d.Find(now, held("a", 0).Part, "west")
	if want := 46 * time.Millisecond; far.Transfer != want {
		t.Errorf("far: got %v, want %v", far.Transfer, want)
	}

	d.Promise(now, near)

	if c, _ := d.Find(now, held("a", 0).Part, "east"); c.Wait != 4*near.Transfer {
		t.Errorf("after a promise: got a wait of %v, want %v", c.Wait, 4*near.Transfer)
	}

	if c, _ := d.Find(now.Add(time.Second), held("a", 0).Part, "east"); c.Wait != 0 {
		t.Errorf("a second later: got a wait of %v, want none", c.Wait)
	}
}
