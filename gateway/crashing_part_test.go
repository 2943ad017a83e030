package gateway

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"boragehub/quarantine"
)

// newParts returns a tracker that takes each crash for a separate one.
func newParts() *quarantine.PartTracker {
	return quarantine.NewPartTracker(quarantine.PartTrackerConfig{Separation: 1})
}

// newEngineCrashedByParts returns a target that ends when it gets a prompt with one of some parts, unless it
// is the last one, and serves others.
func newEngineCrashedByParts(t *testing.T, id string, parts ...string) *fakeEngine {
	t.Helper()

	var e *fakeEngine

	e = newFakeEngine(t, id, func(c net.Conn, r *http.Request) bool {
		ids := strings.Split(r.Header.Get("Parts"), ",")
		if !slices.ContainsFunc(ids[:len(ids)-1], func(id string) bool { return slices.Contains(parts, id) }) {
			return respond(streamHead+events(1, 1)+streamEnd)(c, r)
		}

		e.end()

		return false
	})

	return e
}

// Guards against a part of prompts that ends one target after the other, in requests of which no two are alike, and
// against refusing those that share its callers and its prompts' other parts.
func TestPartThatEndsTargetsIsRefused(t *testing.T) {
	const (
		entries = 4
		targets = 24
		// limit is the number of ends behind which three more are allowed.
		limit = 5 + 3
	)

	tests := []struct {
		name string
		bad  []string // the prompts' shared parts, of which the crashing ones begin with bad
	}{
		{"in the middle", []string{"first,bad,third"}},
		{"behind the first part", []string{"first,bad"}},
		{"at the front", []string{"bad,second"}},
		{"with other parts each time", []string{"a,bad", "b,bad", "a,c,bad", "d,bad,e"}},
		{"two at once", []string{"first,bad1,third", "first,bad2,third"}},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engines := make([]*fakeEngine, targets)
			for i := range engines {
				engines[i] = newEngineCrashedByParts(t, strconv.Itoa(i), "bad", "bad1", "bad2")
			}

			fleet := newEntryFleet(t, entries, engines...)
			send := func(i int, shared string) int {
				headers := []string{"Id", shared + strconv.Itoa(i), "Tokens", "500", "Parts", shared + ",own" + strconv.Itoa(i)}

				return fleet[i%entries].request(t, http.MethodPost, "/llm/1", strconv.Itoa(i), headers...).status
			}

			refused := 0

			for i := range 10 * len(tt.bad) {
				bad := tt.bad[i%len(tt.bad)]
				if send(i, bad) == http.StatusUnprocessableEntity {
					refused++
				}

				sound := strings.NewReplacer("bad1", "good", "bad2", "good", "bad", "good").Replace(bad)
				if got, want := send(1000+i, sound), http.StatusOK; got != want && countEnded(engines) < targets {
					t.Errorf("request %d with sound parts %s: got status %d, want %d", i, sound, got, want)
				}
			}

			if got, want := countEnded(engines), limit*strings.Count(tt.name+" ", "two")+limit; got > want {
				t.Errorf("got %d targets ended, want at most %d", got, want)
			}

			if refused == 0 {
				t.Error("got no request refused with a crashing part")
			}
		})
	}
}
