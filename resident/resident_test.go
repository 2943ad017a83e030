package resident

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"boragehub/vault"
)

func part(id string) vault.Part { return vault.Part{Salt: "m/1/", ID: id} }

func added(id string, tokens int) vault.Event {
	return vault.Event{Held: vault.Held{Part: part(id), Tokens: tokens}, Added: true}
}

func removed(id string, left int) vault.Event {
	return vault.Event{Held: vault.Held{Part: part(id), Tokens: left}}
}

func TestLongPartsAreTold(t *testing.T) {
	tests := []struct {
		name string
		// answers are the engine's, one after the other.
		answers []vault.Events
		want    []Part
	}{
		{"nothing", nil, nil},
		{"the last one first", []vault.Events{{Epoch: 1, Next: 2, Events: []vault.Event{added("a", 5000), added("b", 6000)}}}, []Part{{Key: Key(part("b")), Tokens: 6000}, {Key: Key(part("a")), Tokens: 5000}}},
		{"short parts aren't", []vault.Events{{Epoch: 1, Next: 1, Events: []vault.Event{added("a", LongPart-1)}}}, nil},
		{"as much as is read so far", []vault.Events{{Epoch: 1, Next: 2, Events: []vault.Event{added("a", 2048), added("a", 4096)}}}, []Part{{Key: Key(part("a")), Tokens: 4096}}},
		{"what was pushed out in part isn't", []vault.Events{{Epoch: 1, Next: 2, Events: []vault.Event{added("a", 5000), removed("a", 3000)}}}, nil},
		{"after a gap nothing counts", []vault.Events{{Epoch: 1, Next: 1, Events: []vault.Event{added("a", 5000)}}, {Epoch: 1, Next: 9, Lost: true, Events: []vault.Event{added("b", 5000)}}}, []Part{{Key: Key(part("b")), Tokens: 5000}}},
		{"after a restart neither", []vault.Events{{Epoch: 1, Next: 1, Events: []vault.Event{added("a", 5000)}}, {Epoch: 2, Next: 1}}, nil},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFollower(Config{})
			for _, a := range tt.answers {
				f.take(a)
			}

			got := f.Parts()
			if len(got) != len(tt.want) {
				t.Fatalf("got %v, want %v", got, tt.want)
			}

			for i := range got {
				if got[i] != tt.want[i] {
					t.Errorf("got %v, want %v", got[i], tt.want[i])
				}
			}
		})
	}
}

func TestNoMoreIsToldThanAPulseHolds(t *testing.T) {
	f := NewFollower(Config{})

	for i := range 10 * most {
		f.take(vault.Events{Events: []vault.Event{added(string(rune('a'+i)), 2000)}})
	}

	if got := len(f.Parts()); got != most {
		t.Errorf("got %d parts, want %d", got, most)
	}
}

// once answers one question and is gone then.
type once struct{ asked int }

func (o *once) Events(context.Context, string, int64, time.Duration) (vault.Events, error) {
	o.asked++
	if o.asked > 1 {
		return vault.Events{}, errors.New("gone")
	}

	return vault.Events{Epoch: 1, Next: 1, Events: []vault.Event{added("a", 5000)}}, nil
}

// An engine dies with its memory. Entries that go on sending prompts to where their
// opening was would have it read there, beside what lies in a store.
func TestEngineThatDoesNotAnswerHasNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(Config{Source: &once{}})

		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		go f.Run(ctx)

		time.Sleep(rest / 2)
		synctest.Wait()

		if got := len(f.Parts()); got != 1 {
			t.Errorf("got %d parts, want 1", got)
		}

		time.Sleep(rest)
		synctest.Wait()

		if got := len(f.Parts()); got != 0 {
			t.Errorf("got %d parts of an engine that is gone, want 0", got)
		}
	})
}
