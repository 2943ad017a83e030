package gateway

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

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

// Guards against a part that one entry serves all the time and another one has never seen, and that the other one
// refuses after engines have crashed for another reason while prompts with it were running.
func TestPartThatAnotherEntryServesIsNotRefused(t *testing.T) {
	const crashes = 4

	var running chan *fakeEngine

	engines := make([]*fakeEngine, crashes+2)
	for i := range engines {
		var e *fakeEngine

		e = newFakeEngine(t, strconv.Itoa(i), func(c net.Conn, r *http.Request) bool {
			if e.lastBody() != "slow" {
				return respond(streamHead+events(1, 1)+streamEnd)(c, r)
			}

			respond(streamHead+events(1, 1))(c, r)
			running <- e

			return hang(c, r)
		})
		engines[i] = e
	}

	running = make(chan *fakeEngine, 1)

	fleet := newEntryFleet(t, 3, engines...)
	send := func(entry int, id, body, parts string) int {
		return fleet[entry].request(t, http.MethodPost, "/stream/"+id, body, "Id", id, "Tokens", "500", "Parts", parts+","+id).status
	}

	for i := range crashes {
		if got := send(0, "before"+strconv.Itoa(i), "x", "first"); got != http.StatusOK {
			t.Fatalf("crash %d: got status %d before it, want 200", i, got)
		}

		ended := make(chan int, 1)

		// The reporter is an entry that has not served the part lately.
		go func() { ended <- send(1, "during"+strconv.Itoa(i), "slow", "first") }()

		select {
		case e := <-running:
			e.end()
			<-ended
		case got := <-ended:
			t.Fatalf("crash %d: got status %d, want the prompt sent", i, got)
		}
	}

	for i := range 3 {
		// Responses that clear a part are reported in the background.
		await(t, "quarantined", func() int {
			return fleet[i].gateway.cfg.CrashParts.Check(time.Now(), []string{"first"}).Quarantined
		}, 0)

		if got := send(i, "after"+strconv.Itoa(i), "x", "first"); got != http.StatusOK {
			t.Errorf("entry %d: got status %d after the crashes, want 200", i, got)
		}
	}
}
