package vault

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"boragehub/mirror"
)

// fakePeers are registered processes, each of which knows the newer version or does not.
type fakePeers struct {
	mu      sync.Mutex
	knows   map[string]bool
	logDown bool
}

var errLogDown = errors.New("log service is down")

func (p *fakePeers) set(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.knows[peer] = true
}

func (*fakePeers) Watchers() ([]string, bool) { return nil, true }

func (*fakePeers) StoreUpdates(context.Context, string, []Position) ([]Update, error) {
	return nil, nil
}

func (p *fakePeers) Registered(context.Context) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.logDown {
		return nil, errLogDown
	}

	all := []string{}
	for peer := range p.knows {
		all = append(all, peer)
	}

	return all, nil
}

func (p *fakePeers) Knows(_ context.Context, peer string, _ mirror.Position) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.knows[peer]
}

// fakeStore holds one part of version 1 and records when it is freed.
type fakeStore struct {
	mu    sync.Mutex
	freed time.Time
}

// clocklessStore is a store whose list does not report the clock and that has no new events.
type clocklessStore struct{ fakeStore }

func (*clocklessStore) List(context.Context, string) (Listing, error) {
	return Listing{Epoch: 1, Next: 1, Held: []Held{oldPart}}, nil
}

// Guards against recomputing all prompts for the first second after a start. Stores report the
// engines' clock only with their events, and a process fetches nothing until it knows the clock.
// While nothing changes, a call for events would wait for a full second.
func TestClockIsKnownSoonAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		d := NewDirectory(1)
		w := NewWatcher(WatcherConfig{Directory: d, Source: &clocklessStore{}, Peers: &fakePeers{}, Rank: func(string) int { return 0 }, Log: logr.Discard()})
		w.Configure([]Store{{Address: "s1"}})

		go w.Run(ctx)

		time.Sleep(clockEventWait + time.Millisecond)
		synctest.Wait()

		if _, ok := d.Clock(time.Now()); !ok {
			t.Error("got no clock, want one")
		}
	})
}

var oldPart = Held{Part: Part{Salt: Scope{Model: "m", Version: 1}.Salt(), ID: "a"}, Tokens: 100}

func (*fakeStore) Events(ctx context.Context, _ string, since int64, wait time.Duration) (Events, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}

	return Events{Epoch: 1, Next: since, Clock: time.Now().UnixMilli()}, ctx.Err()
}

func (*fakeStore) List(context.Context, string) (Listing, error) {
	return Listing{Epoch: 1, Next: 1, Clock: time.Now().UnixMilli(), Held: []Held{oldPart}}, nil
}

func (s *fakeStore) Free(context.Context, string, int64, []Part, int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.freed = time.Now()

	return nil
}

// freedAfter runs a Watcher for 30 s and returns how long after the publication of a newer
// version the old part was freed.
func freedAfter(t *testing.T, peers *fakePeers, meanwhile func(w *Watcher), engines ...Engines) time.Duration {
	t.Helper()

	var after time.Duration

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &fakeStore{}
		cfg := WatcherConfig{Directory: NewDirectory(1), Source: store, Peers: peers, Rank: func(string) int { return 0 }, Log: logr.Discard()}

		for _, e := range engines {
			cfg.Engines, cfg.Start = e, time.Now().Add(-time.Hour)
		}

		w := NewWatcher(cfg)

		var running sync.WaitGroup

		running.Go(func() { w.Run(ctx) })
		w.Configure([]Store{{Address: "s", CapacityTokens: 1000}})
		time.Sleep(time.Second)

		replacedAt := time.Now()
		w.SetNewestVersion(replacedAt, "m", 2, mirror.Position{Offset: 7})

		if meanwhile != nil {
			meanwhile(w)
		}

		time.Sleep(30 * time.Second)
		cancel()
		running.Wait()
		synctest.Wait()

		after = store.freed.Sub(replacedAt)
	})

	return after
}

// Guards against a shortage of space for parts of the new weights: the old parts must be freed as
// soon as no process may fetch them.
func TestReplacedPartsAreFreedOnceAllProcessesConfirm(t *testing.T) {
	got := freedAfter(t, &fakePeers{knows: map[string]bool{"a": true, "b": true}}, nil)

	if want := oldPart.FreeAfter(0); got < want || got > want+2*sweepInterval {
		t.Errorf("got the part freed after %v, want %v", got, want)
	}
}

// fakeEngines ran until some time after the creation, were paused then, and run again after resumedAfter.
type fakeEngines struct {
	pausedAfter, resumeAfter time.Duration

	mu      sync.Mutex
	created time.Time
	probes  int
}

// create sets the time of the creation.
func (e *fakeEngines) create(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.created = at
}

func (e *fakeEngines) RanUntil(now time.Time) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	if ran := now.Sub(e.created); ran >= e.pausedAfter && ran < e.resumeAfter {
		now = e.created.Add(e.pausedAfter)
	}

	return now.UnixMilli()
}

func (e *fakeEngines) Probe(time.Time, int64) []string {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.probes++

	return []string{"e"}
}

// Guards against freeing a part that a paused VM is fetching. The fetch continues when the VM
// does, and the engine would get corrupt KV cache, whether or not this process noticed the pause. A VM that
// never continues must not prevent the freeing for good.
func TestReplacedPartsAreKeptWhileAVMIsPaused(t *testing.T) {
	usual := oldPart.FreeAfter(0)

	// Versions are replaced a second after the creation.
	tests := []struct {
		name            string
		paused, resumed time.Duration
		want            time.Duration
	}{
		{"no VM is paused", time.Hour, time.Hour, usual},
		{"paused and resumed before the fetches end", 2 * time.Second, 3 * time.Second, usual},
		{"paused before the fetches end", usual, usual + 5*time.Second, usual + 4*time.Second},
		{"paused when the fetches have ended", usual + 1100*time.Millisecond, time.Hour, usual},
		{"the VM never continues", usual, time.Hour, usual + pausedGrace},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &fakeEngines{pausedAfter: tt.paused, resumeAfter: tt.resumed}

			got := freedAfter(t, &fakePeers{knows: map[string]bool{"a": true, "b": true}}, func(*Watcher) { e.create(time.Now().Add(-time.Second)) }, e)

			if got < tt.want || got > tt.want+2*sweepInterval {
				t.Errorf("got the part freed after %v, want %v", got, tt.want)
			}

			if got, want := e.probes > 0, tt.want > usual; got != want {
				t.Errorf("got engines probed %v, want %v", got, want)
			}
		})
	}
}

// Guards against freeing a part that an engine is fetching whose VM was paused before this process started.
func TestStartingProcessKeepsReplacedParts(t *testing.T) {
	now := time.Now()
	w := NewWatcher(WatcherConfig{Start: now.Add(-pausedGrace + time.Second), Engines: &fakeEngines{created: now}})

	if got := w.ranUntil(now); got != 0 {
		t.Errorf("got engines known to have run until %d, want 0", got)
	}

	if got, want := w.ranUntil(now.Add(time.Second)), now.Add(time.Second).UnixMilli(); got != want {
		t.Errorf("got engines known to have run until %d, want %d", got, want)
	}
}

// Guards against freeing a part that an unresponsive process is fetching. A registered process
// that does not respond may be partitioned and still fetching, and its engine would get corrupt KV
// cache.
func TestReplacedPartsAreKeptWhileARegisteredProcessIsUnresponsive(t *testing.T) {
	got := freedAfter(t, &fakePeers{knows: map[string]bool{"a": true, "b": false}}, nil)

	if want := oldPart.FreeAfter(Unconfirmed); got < want || got > want+2*sweepInterval {
		t.Errorf("got the part freed after %v, want %v", got, want)
	}
}

// Guards against freeing a part that a process has let an engine fetch just before it responded that it knows the
// newer weights: until then it grants fetches by the longer grace period.
func TestProcessThatAnswersLateIsAskedAgain(t *testing.T) {
	peers := &fakePeers{knows: map[string]bool{"a": false}}
	got := freedAfter(t, peers, func(*Watcher) {
		time.Sleep(10 * time.Second)
		peers.set("a")
	})

	want := oldPart.FreeAfter(10 * time.Second)
	if got < want || got > want+versionPollInterval+2*sweepInterval {
		t.Errorf("got the part freed after %v, want %v", got, want)
	}
}

func TestReplacedPartsAreKeptWhileTheRegisterIsUnreadable(t *testing.T) {
	got := freedAfter(t, &fakePeers{logDown: true}, nil)

	if want := oldPart.FreeAfter(Unconfirmed); got < want {
		t.Errorf("got the part freed after %v, want %v", got, want)
	}
}

// Guards against freeing a part that an entry still fetches, which isn't asked because the log lost its
// registration before this process started.
func TestStartingProcessTakesRegistrationsForIncomplete(t *testing.T) {
	tests := []struct {
		name       string
		started    time.Duration // how long ago
		firstStart bool
		want       time.Duration // how long after the version all processes count as knowing it
	}{
		{"just started", 0, false, Unconfirmed},
		{"started long ago", RegisteredGrace + time.Second, false, 0},
		{"all started for the first time", 0, true, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			w := NewWatcher(WatcherConfig{Start: now.Add(-tt.started), FirstStart: tt.firstStart})
			w.SetNewestVersion(now, "m", 2, mirror.Position{})
			w.markConfirmed(now, "m", 2)

			if got := w.replaced["m"][0].confirmedAfter; got != tt.want {
				t.Errorf("got the version confirmed after %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against freeing a part that an entry still fetches, which isn't asked because the log has lost its
// registration.
func TestLostRegistrationsConfirmNothing(t *testing.T) {
	tests := []struct {
		name  string
		reset time.Duration // how long ago the log returned from a copy
		want  time.Duration // how long after the version all processes count as knowing it
	}{
		{"just before", 0, Unconfirmed},
		{"a while ago", RegisteredGrace - time.Second, Unconfirmed},
		{"long ago", RegisteredGrace + time.Second, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := freedAfter(t, &fakePeers{knows: map[string]bool{"a": true}}, func(w *Watcher) { w.LogReset(time.Now().Add(-tt.reset)) })

			if want := oldPart.FreeAfter(tt.want); got < want || got > want+2*sweepInterval {
				t.Errorf("got the part freed after %v, want %v", got, want)
			}
		})
	}
}

// Guards against logs that don't tell who freed a part that an engine was fetching, and by what.
func TestFreeIsLogged(t *testing.T) {
	for _, tt := range []struct {
		name string
		err  error
		want string
	}{
		{"released", nil, `"event"=2502`},
		{"no response", errors.New("no response"), `"event"=2504`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var lines []string

			now, d := time.Now(), NewDirectory(1)
			log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{Verbosity: 10})
			w := NewWatcher(WatcherConfig{Directory: d, Source: silentFreeStore{tt.err}, Rank: func(string) int { return 1 }, Log: log})
			d.SetClock(now.Add(-time.Second), 5000)

			parts := FreeableParts{Address: "s", Epoch: 3, Parts: []Part{{ID: "a"}, {ID: "b"}}, Tokens: 200}
			w.free(t.Context(), now, "m", replacement{version: 2, learnedAt: now.Add(-8 * time.Second), confirmedAfter: time.Second}, math.MaxInt64, parts)

			if len(lines) != 1 {
				t.Fatalf("got %q, want one line", lines)
			}

			for _, want := range []string{tt.want, `"part"="a,b"`, `"clock"=6000`, `"clock_age_ms"=1000`, `"until"=7000`, `"known_ms"=8000`, `"rank"=1`, `"confirmed"=true`, `"epoch"=3`} {
				if !strings.Contains(lines[0], want) {
					t.Errorf("got %q, want %s in it", lines[0], want)
				}
			}
		})
	}
}

// Guards against lines about frees that are too long to be written whole.
func TestFreeOfManyPartsIsLoggedInSeveralLines(t *testing.T) {
	var lines []string

	w := NewWatcher(WatcherConfig{Log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{Verbosity: 10})})
	parts := make([]Part, maxLoggedParts+1)

	for i := range parts {
		parts[i].ID = fmt.Sprintf("part-%d.", i)
	}

	w.logFree(nil, []any{"vault", "s"}, parts)

	if len(lines) != 2 {
		t.Fatalf("got %d lines, want 2", len(lines))
	}

	for i, p := range parts {
		if !strings.Contains(lines[i/maxLoggedParts], p.ID) || !strings.Contains(lines[i/maxLoggedParts], `"vault"="s"`) {
			t.Errorf("got %q, want %s in it", lines[i/maxLoggedParts], p.ID)
		}
	}
}

// silentFreeStore responds to calls to free parts with an error, or with success if err is nil.
type silentFreeStore struct{ err error }

func (silentFreeStore) Events(context.Context, string, int64, time.Duration) (Events, error) {
	return Events{}, nil
}

func (silentFreeStore) List(context.Context, string) (Listing, error) { return Listing{}, nil }

func (s silentFreeStore) Free(context.Context, string, int64, []Part, int64) error { return s.err }

// hangingStore is several stores of one process, of which one doesn't respond to calls to free parts. It records by how
// much the others were called before the end of the time in which they take the call.
type hangingStore struct {
	fakeStore
	left []int64 // in ms
}

func (s *hangingStore) Free(ctx context.Context, address string, _ int64, _ []Part, until int64) error {
	if address == "a" {
		<-ctx.Done()

		return ctx.Err()
	}

	s.left = append(s.left, until-time.Now().UnixMilli())

	return nil
}

// Guards against stores that refuse to free parts as the call comes too late, since an earlier store did not respond.
func TestStoreThatHangsDelaysNoFreesOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &hangingStore{}
		d := NewDirectory(1)
		w := NewWatcher(WatcherConfig{Directory: d, Source: s, Rank: func(string) int { return 0 }, Log: logr.Discard()})
		now := time.Now()

		w.Configure([]Store{{Address: "a"}, {Address: "b"}})

		for _, address := range []string{"a", "b"} {
			d.ApplyListing(now, address, Listing{Epoch: 1, Clock: now.UnixMilli(), Held: []Held{oldPart}})
		}

		w.SetNewestVersion(now, "m", 2, mirror.Position{})
		w.markConfirmed(now, "m", 2)
		time.Sleep(oldPart.FreeAfter(0))
		w.sweep(t.Context(), time.Now())

		if want := []int64{freeTimeout.Milliseconds()}; !slices.Equal(s.left, want) {
			t.Errorf("got %v ms left, want %v", s.left, want)
		}
	})
}
