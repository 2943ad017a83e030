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

func TestLongPartsAreReported(t *testing.T) {
	tests := []struct {
		name string
		// answers are the engine's responses, in order.
		answers []vault.Events
		want    []Part
	}{
		{"no events", nil, nil},
		{"most recent event first", []vault.Events{{Epoch: 1, Next: 2, Events: []vault.Event{added("a", 5000), added("b", 6000)}}}, []Part{{Key: Key(part("b")), Tokens: 6000}, {Key: Key(part("a")), Tokens: 5000}}},
		{"short parts are omitted", []vault.Events{{Epoch: 1, Next: 1, Events: []vault.Event{added("a", LongPart-1)}}}, nil},
		{"partly prefilled part", []vault.Events{{Epoch: 1, Next: 2, Events: []vault.Event{added("a", 2048), added("a", 4096)}}}, []Part{{Key: Key(part("a")), Tokens: 4096}}},
		{"partly evicted part is omitted", []vault.Events{{Epoch: 1, Next: 2, Events: []vault.Event{added("a", 5000), removed("a", 3000)}}}, nil},
		{"earlier parts are discarded after missing events", []vault.Events{{Epoch: 1, Next: 1, Events: []vault.Event{added("a", 5000)}}, {Epoch: 1, Next: 9, Lost: true, Events: []vault.Event{added("b", 5000)}}}, []Part{{Key: Key(part("b")), Tokens: 5000}}},
		{"earlier parts are discarded after a restart", []vault.Events{{Epoch: 1, Next: 1, Events: []vault.Event{added("a", 5000)}}, {Epoch: 2, Next: 1}}, nil},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFollower(Config{})
			for _, a := range tt.answers {
				f.apply(a)
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

func TestReportedPartsAreBounded(t *testing.T) {
	f := NewFollower(Config{})

	for i := range 10 * maxReportedParts {
		f.apply(vault.Events{Events: []vault.Event{added(string(rune('a'+i)), 2000)}})
	}

	if got := len(f.Parts()); got != maxReportedParts {
		t.Errorf("got %d parts, want %d", got, maxReportedParts)
	}
}

// oneAnswerSource responds to the first call and fails all later ones.
type oneAnswerSource struct{ calls int }

func (o *oneAnswerSource) Events(context.Context, string, int64, time.Duration) (vault.Events, error) {
	o.calls++
	if o.calls > 1 {
		return vault.Events{}, errors.New("engine is gone")
	}

	return vault.Events{Epoch: 1, Next: 1, Events: []vault.Event{added("a", 5000)}}, nil
}

// Guards against reporting the parts of an engine that does not respond. An engine loses its
// memory when it dies, and entries that continue to send it prompts with these shared prefixes
// make it recompute them, although a store may hold them.
func TestEngineThatDoesNotAnswerHasNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(Config{Source: &oneAnswerSource{}})

		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		go f.Run(ctx)

		time.Sleep(pollInterval / 2)
		synctest.Wait()

		if got := len(f.Parts()); got != 1 {
			t.Errorf("got %d parts, want 1", got)
		}

		time.Sleep(pollInterval)
		synctest.Wait()

		if got := len(f.Parts()); got != 0 {
			t.Errorf("got %d parts of an engine that does not respond, want 0", got)
		}
	})
}
