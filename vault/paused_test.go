package vault_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"boragehub/mirror"
	"boragehub/pulse"
	"boragehub/roster"
	"boragehub/vault"
)

// Times of the model in ms. Its clock is that of the engines.
const (
	modelStart     = 100_000
	modelStep      = 50
	modelReport    = 200
	modelSweep     = 500
	modelTick      = 250
	modelReplaced  = 12_000
	modelEnd       = 45_000
	maxModelPause  = 9000 // VMs that are paused for longer count as dead
	maxModelWork   = 150  // of a fetch after its engine has resumed
	maxReportDelay = 150
)

// modelPause is a time in which a VM is paused.
type modelPause struct{ from, to int }

func drawPause(t *rapid.T, name string) modelPause {
	from := rapid.IntRange(modelReplaced-4000, modelReplaced+12_000).Draw(t, name+" paused at")

	return modelPause{from, from + rapid.IntRange(0, maxModelPause).Draw(t, name+" paused for")}
}

// resumes returns the first step after the pause.
func (p modelPause) resumes() int { return (p.to + modelStep - 1) / modelStep * modelStep }

func (p modelPause) covers(ms int) bool { return ms >= p.from && ms < p.to }

// fetchEnd returns when an engine's fetch ends: it takes so much running time, and is discarded at its
// deadline unless the engine is paused then.
func fetchEnd(engine modelPause, begin, work, deadline int) int {
	for ms := begin; ; ms++ {
		if engine.covers(ms) {
			continue
		}

		if work--; work < 0 || (ms >= deadline && !engine.covers(deadline)) {
			return ms
		}
	}
}

// modelStore is a store with one part.
type modelStore struct {
	now     int
	freedAt int
}

func (*modelStore) Events(context.Context, string, int64, time.Duration) (vault.Events, error) {
	return vault.Events{}, nil
}

func (*modelStore) List(context.Context, string) (vault.Listing, error) { return vault.Listing{}, nil }

func (s *modelStore) Free(_ context.Context, _ string, _ int64, _ []vault.Part, until int64) error {
	if int64(modelStart+s.now) > until {
		return errors.New("too late")
	}

	if s.freedAt == 0 {
		s.freedAt = s.now
	}

	return nil
}

// modelEngines gives a Watcher access to a roster.
type modelEngines struct{ *roster.Roster }

func (e modelEngines) Probe(now time.Time, clock int64) []string {
	all, _ := e.Unproven(now, clock)

	return all
}

// pausedModel is a process that frees a part, and two engines, one of which fetches it.
type pausedModel struct {
	part    vault.Part
	engines []modelPause
	process modelPause
	store   *modelStore

	directory *vault.Directory
	roster    *roster.Roster
	watcher   *vault.Watcher

	reports []modelSent
	known   bool // the process knows the newer version
	changes []modelListing
}

// modelListing is a change of the register: an engine is dropped or listed again.
type modelListing struct {
	engine, at int
	listed     bool
}

// register has engines dropped whose heartbeats, one in 1.2 s, are missing for 3.6 s, and listed again.
func (m *pausedModel) register(_ context.Context, ms int) {
	m.changes = slices.DeleteFunc(m.changes, func(c modelListing) bool {
		switch {
		case c.at > ms:
			return false
		case c.listed:
			m.roster.ObserveListing(at(ms), roster.Listing{ID: strconv.Itoa(c.engine), Service: "llm", Address: engineAddress(c.engine)})
		default:
			m.roster.ObserveRemoval(at(ms), strconv.Itoa(c.engine))
		}

		return true
	})
}

// modelSent is a load report on its way.
type modelSent struct{ engine, clock, arrives int }

// at returns a time of the model.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func engineAddress(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func newPausedModel(t *rapid.T) *pausedModel {
	m := &pausedModel{
		part:    vault.Part{Salt: vault.Scope{Model: "m", Version: 1}.Salt(), ID: strconv.Itoa(rapid.IntRange(0, 9999).Draw(t, "part"))},
		engines: []modelPause{drawPause(t, "engine 0"), drawPause(t, "engine 1")}, process: drawPause(t, "process"),
		store: &modelStore{}, directory: vault.NewDirectory(1), roster: roster.New(roster.Config{Self: "entry", Log: logr.Discard()}),
	}

	if rapid.Bool().Draw(t, "with engine 0") {
		e := m.engines[0]
		m.process = modelPause{e.from - rapid.IntRange(0, 150).Draw(t, "before"), max(e.to-rapid.IntRange(100, 600).Draw(t, "sooner"), e.from)}
	}

	m.directory.Configure([]vault.Store{{Address: "s", CapacityTokens: 1000}})
	m.directory.ApplyListing(at(0), "s", vault.Listing{Epoch: 1, Clock: modelStart, Held: []vault.Held{{Part: m.part, Tokens: 10}}})

	for i := range m.engines {
		m.roster.ObserveListing(at(0), roster.Listing{ID: strconv.Itoa(i), Service: "llm", Address: engineAddress(i)})
	}

	for i, p := range m.engines {
		if dropped := p.from + rapid.IntRange(2400, 3600).Draw(t, "dropped after"); dropped < p.to {
			m.changes = append(m.changes, modelListing{i, dropped, false}, modelListing{i, p.to + rapid.IntRange(50, 1200).Draw(t, "listed again after"), true})
		}
	}

	m.watcher = vault.NewWatcher(vault.WatcherConfig{
		Directory: m.directory, Source: m.store, Engines: modelEngines{m.roster}, Start: at(-60_000), Rank: func(string) int { return 0 }, Log: logr.Discard(),
	})

	return m
}

// step runs everything that isn't paused at ms.
func (m *pausedModel) step(t *rapid.T, ms int) {
	m.store.now = ms

	for i, p := range m.engines {
		if ms%modelReport == 0 && !p.covers(ms) {
			m.reports = append(m.reports, modelSent{i, ms, ms + rapid.IntRange(1, maxReportDelay).Draw(t, "delay")})
		}
	}

	if m.process.covers(ms) {
		return
	}

	if !m.known && ms >= modelReplaced {
		m.known = true

		m.watcher.SetNewestVersion(at(ms), "m", 2, mirror.Position{})
		m.watcher.Confirm(at(ms), "m", 2)
	}

	// A process that resumes does what is overdue in any order.
	tasks := rapid.Permutation([]func(context.Context, int){m.receive, m.sweep, m.tick, m.register}).Draw(t, "tasks")
	for _, task := range tasks {
		task(t.Context(), ms)
	}
}

func (m *pausedModel) receive(_ context.Context, ms int) {
	m.reports = slices.DeleteFunc(m.reports, func(p modelSent) bool {
		if p.arrives > ms {
			return false
		}

		clock := int64(modelStart + p.clock)
		m.directory.SetClock(at(ms), clock)
		m.roster.ObserveReport(at(ms), pulse.Report{Engine: engineAddress(p.engine), Clock: clock, Interval: modelReport * time.Millisecond})

		return true
	})
}

func (m *pausedModel) sweep(ctx context.Context, ms int) {
	if ms%modelSweep == 0 || ms == m.process.resumes() {
		m.watcher.Sweep(ctx, at(ms))
	}
}

func (m *pausedModel) tick(_ context.Context, ms int) {
	if ms%modelTick == 0 || ms == m.process.resumes() {
		m.roster.Tick(at(ms))
	}
}

// Guards against freeing a part that a paused engine goes on fetching when it resumes, whatever the process that
// frees it noticed: it may have been paused at the same time, and reads late what was sent to it meanwhile.
func TestNothingIsFreedThatAPausedEngineFetches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPausedModel(t)

		// An entry grants a fetch as late as it may; an engine begins it at any time before the deadline.
		granted := modelReplaced + int(m.part.Grace().Milliseconds())
		deadline := granted + int(vault.MaxFetch.Milliseconds())
		fetching := rapid.SampledFrom(m.engines).Draw(t, "fetching engine")
		begin := rapid.IntRange(granted, deadline-1).Draw(t, "fetch begins at")

		switch {
		case !fetching.covers(begin):
		case fetching.from > granted:
			begin = fetching.from - 1
		default:
			return // nothing begins before the engine resumes
		}

		end := fetchEnd(fetching, begin, rapid.IntRange(1, maxModelWork).Draw(t, "work of the fetch"), deadline)

		for ms := 0; ms < modelEnd && m.store.freedAt == 0; ms += modelStep {
			m.step(t, ms)
		}

		switch freed := m.store.freedAt; {
		case freed == 0:
			t.Fatalf("the part is never freed")
		case freed < end:
			t.Fatalf("the part is freed at %d, its fetch ends at %d (deadline %d)", freed, end, deadline)
		}
	})
}
