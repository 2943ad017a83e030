package experiment

import (
	"strconv"
	"time"

	"boragehub/directory"
	"boragehub/link"
	"boragehub/parking"
	"boragehub/route"
)

// startImport schedules the import of a job for its first window. The prefill of the job
// waits until the import has ended.
func (s *simulation) startImport(e *entryModel, j *job, p choice) {
	l := e.links.Between(p.source.DataCentre, p.engine.dataCentre)
	t := &transfer{link: l, windows: p.windows, class: link.Import}
	t.done = func() {
		j.importing = false

		if t.started && t.unsent == 0 && t.flow == nil {
			j.importedTokens, j.importedVersion = t.tokens, t.version
		}

		p.engine.startChunk()
	}

	s.runInFirstWindow(l, p.windows, func() { s.runImport(e, j, p, t) })

	if s.policy == Boragehub && s.ablation != ImportCancellation {
		s.checkImport(s.clock.now, j, p, t)
	}
}

// releaseImport releases the windows of an import whose engine is unreachable.
func (s *simulation) releaseImport(e *entryModel, p choice) {
	if p.strategy == route.Import {
		s.releaseWindows(&transfer{link: e.links.Between(p.source.DataCentre, p.engine.dataCentre), windows: p.windows})
	}
}

// checkImport checks an import periodically and cancels it if it takes too long while its
// job already has a batch slot.
func (s *simulation) checkImport(scheduledAt time.Duration, j *job, p choice, t *transfer) {
	const checkInterval = 50 * time.Millisecond

	s.clock.after(checkInterval, func() {
		if t.ended || j.ended {
			return
		}

		recomputeSeconds := float64(j.v.promptTokens-p.engine.cache.tokens(j.v.c)) / s.d.Engine.PrefillTokensPerSecond
		elapsed := s.clock.now - scheduledAt
		if t.started {
			elapsed = s.clock.now - t.startedAt
		}

		if j.hasSlot && route.GiveUpImport(s.routeCfg, elapsed, t.progress(), time.Duration(recomputeSeconds*float64(time.Second))) {
			s.endTransfer(t)
			return
		}

		s.checkImport(scheduledAt, j, p, t)
	})
}

// runInFirstWindow runs do when the first of the windows begins, or at once if there is
// none.
func (s *simulation) runInFirstWindow(l *link.Link, windows []uint64, do func()) {
	if len(windows) == 0 {
		do()
		return
	}

	s.runInWindow(l, windows[0], do)
}

// runInWindow runs do when window id begins. The link may move the window in the meantime.
func (s *simulation) runInWindow(l *link.Link, id uint64, do func()) {
	win, ok := l.Window(s.now(), id)
	if !ok || !win.Start.After(s.now()) {
		do()
		return
	}

	s.clock.at(win.Start.Sub(epoch), func() { s.runInWindow(l, id, do) })
}

// transfer is a copy between an engine and an engine or a store.
type transfer struct {
	link      *link.Link
	windows   []uint64
	pipe      *pipe
	class     link.Class
	unsent    int64 // bytes not yet handed to the pipe
	total     int64
	flow      *flow // the chunk in flight, nil for none
	tokens    int   // leading tokens that the engine has after an import
	version   int   // weight version of these tokens
	started   bool
	startedAt time.Duration
	ended     bool
	done      func()
}

// progress returns the fraction of the transfer that is complete, between 0 and 1.
func (t *transfer) progress() float64 {
	switch {
	case !t.started:
		return 0
	case t.total == 0:
		return 1
	}

	missing := float64(t.unsent)

	if t.flow != nil {
		t.pipe.advance()
		missing += max(t.flow.bytesLeft, 0)
	}

	return 1 - missing/float64(t.total)
}

// endTransfer ends the transfer, complete or not, and releases its remaining windows.
func (s *simulation) endTransfer(t *transfer) {
	if t.ended {
		return
	}

	t.ended = true

	if t.flow != nil {
		t.pipe.cancel(t.flow)
	}

	s.releaseWindows(t)
	t.done()
}

// sendNextChunk sends one chunk, or all remaining bytes in the last window.
func (s *simulation) sendNextChunk(t *transfer) {
	t.flow = nil

	if t.unsent <= 0 || t.ended {
		s.endTransfer(t)
		return
	}

	n := t.unsent
	if len(t.windows) > 1 {
		n = min(n, t.link.ChunkBytes())
	}

	t.unsent -= n
	t.flow = t.pipe.send(t.class, n, func() {
		t.flow = nil

		if len(t.windows) > 0 {
			t.link.Done(s.now(), t.windows[0], n)
			t.windows = t.windows[1:]
		}

		s.runInFirstWindow(t.link, t.windows, func() { s.sendNextChunk(t) })
	})
}

// releaseWindows cancels the windows that the transfer has not used.
func (s *simulation) releaseWindows(t *transfer) {
	for _, id := range t.windows {
		t.link.Cancel(s.now(), id)
	}

	t.windows = nil
}

// runImport copies a context to the engine of its job. What the source really has may be
// less than the entry expected, or nothing.
func (s *simulation) runImport(e *entryModel, j *job, p choice, t *transfer) {
	if t.ended {
		return
	}

	x, c := p.engine, j.v.c
	t.tokens, t.version = s.available(p.source, c)
	t.tokens = min(t.tokens, j.v.promptTokens-1)
	t.pipe = s.pipes[[2]string{p.source.DataCentre, x.dataCentre}]

	if t.tokens <= 0 || !s.reachable(p.source.DataCentre, x.dataCentre) {
		s.failImport(e, p.source, t)
		return
	}

	t.started = true
	t.startedAt = s.clock.now
	t.unsent = int64(max(t.tokens-x.cache.tokens(c), 0)) * s.d.Engine.BytesPerToken
	t.total = t.unsent

	if s.policy == Clairvoyant {
		s.clock.after(time.Duration(float64(t.unsent)/s.idleLinks().bytesPerSecond*float64(time.Second)), func() { t.unsent = 0; s.endTransfer(t) })
		return
	}

	s.sendNextChunk(t)
}

// failImport ends an import after connectTimeout, so that its job continues without it, and
// marks a source that is a store as unreachable.
func (s *simulation) failImport(e *entryModel, src route.Source, t *transfer) {
	s.rec.r.FailedImports++
	s.releaseWindows(t)

	if src.Store {
		e.unreachableUntil[src.Name] = s.clock.now + suspicionTime
	}

	s.clock.after(connectTimeout, func() { s.endTransfer(t) })
}

// available returns how many tokens a source really has, and their weight version.
func (s *simulation) available(src route.Source, c *conversation) (tokens, version int) {
	for _, x := range s.stores {
		if x.name == src.Name {
			return x.tokens(c, s.newestVersion()), s.newestVersion()
		}
	}

	for _, x := range s.engines {
		if x.name == src.Name {
			return x.cache.tokens(c), x.version
		}
	}

	return 0, 0
}

// parkAfterVisit parks a context after a visit as the policy decides. Only Boragehub and
// Clairvoyant park.
func (s *simulation) parkAfterVisit(e *engine, j *job) {
	c := j.v.c

	switch {
	case s.policy == Clairvoyant:
		s.parkClairvoyant(e, j)
	case s.policy == Boragehub && s.ablation != Stores:
		s.decideParking(e, c)
	default:
	}
}

// parkClairvoyant stores every context that returns, without a transfer.
func (s *simulation) parkClairvoyant(e *engine, j *job) {
	if _, ok := j.v.c.nextVisit(j.v.index); !ok {
		return
	}

	best := s.stores[0]
	for _, st := range s.stores {
		if st.up && (!best.up || st.tokens(j.v.c, e.version) > 0 || st.used < best.used) {
			best = st
		}
	}

	tokens := e.cache.tokens(j.v.c)
	if tokens > 0 {
		best.put(j.v.c, tokens, int64(tokens)*s.d.Engine.BytesPerToken, e.version)
	}
}

// parkingContext describes a conversation to the parking decision.
func (s *simulation) parkingContext(c *conversation, tokens, parked int) parking.Context {
	missing := tokens - parked
	if s.ablation == IncrementalCopies {
		missing = tokens
	}

	return parking.Context{
		Tokens: tokens, StoredTokens: parked, Bytes: int64(missing) * s.d.Engine.BytesPerToken,
		PrefillTokensPerSecond: s.d.Engine.PrefillTokensPerSecond,
		LastUsed:               epoch.Add(c.lastVisit), Gaps: s.gaps[c.workload],
	}
}

// retention estimates how long an engine keeps an unused context: the time in which the
// mean insertion rate fills the cache.
func (s *simulation) retention(e *engine) time.Duration {
	if e.cache.insertedTokens == 0 {
		return time.Hour
	}

	secondsPerToken := s.clock.now.Seconds() / float64(e.cache.insertedTokens)

	return time.Duration(float64(e.cache.capacity) * secondsPerToken * float64(time.Second))
}

func (s *simulation) decideParking(e *engine, c *conversation) {
	tokens := e.cache.tokens(c) / blockTokens * blockTokens
	parked := 0
	s.storeViews = s.storeViews[:0]

	var stores []*store

	for _, st := range s.stores {
		if n := st.tokens(c, e.version); n > parked {
			// A stored part can only be extended in the store that has its beginning.
			parked, stores = n, append(stores[:0], st)
		}
	}

	if parked == 0 {
		stores = s.stores
	}

	for _, st := range stores {
		s.storeViews = append(s.storeViews, s.storeView(e, st, tokens-parked))
	}

	d := parking.Decide(s.now(), s.parkingCfg, s.parkingContext(c, tokens, parked), parking.View{EngineRetention: s.retention(e), Stores: s.storeViews})
	if !d.Export() {
		return
	}

	s.export(e, c, stores[d.StoreIndex()], tokens, parked)
}

func (s *simulation) storeView(e *engine, st *store, tokens int) parking.Store {
	l := s.exportLinks[e.index].Between(e.dataCentre, st.dataCentre)

	return parking.Store{
		Name: st.name, Free: st.capacity - st.used, Total: st.capacity, Density: st.minDensity(),
		Down:     !st.up || !s.reachable(e.dataCentre, st.dataCentre),
		Transfer: l.Backlog(s.now()) + l.Estimate(s.now(), int64(tokens)*s.d.Engine.BytesPerToken),
	}
}

// export copies the tokens of a context that a store lacks. Its windows come after those
// of imports.
func (s *simulation) export(e *engine, c *conversation, st *store, tokens, parked int) {
	if s.ablation == IncrementalCopies {
		parked = 0
	}

	l := s.exportLinks[e.index].Between(e.dataCentre, st.dataCentre)
	t := &transfer{link: l, class: link.Export, pipe: s.pipes[[2]string{e.dataCentre, st.dataCentre}]}
	t.unsent = int64(tokens-parked) * s.d.Engine.BytesPerToken

	if s.ablation != TransferWindows {
		t.windows = l.ReserveChunks(s.now(), link.Request{Bytes: t.unsent, Class: link.Export, Organisation: s.organisationName(c)}, nil)
		if len(t.windows) == 0 {
			return
		}
	}

	s.runInFirstWindow(l, t.windows, func() {
		// Tokens evicted before the window began can't be copied any more.
		n := min(tokens, e.cache.tokens(c)/blockTokens*blockTokens)
		version := e.version

		if n <= parked {
			s.releaseWindows(t)
			return
		}

		t.done = func() { s.finishExport(st, c, n, version) }
		s.sendNextChunk(t)
	})
}

// finishExport puts a part into a store and reports it to the directory.
func (s *simulation) finishExport(st *store, c *conversation, tokens, version int) {
	if tokens <= st.tokens(c, version) || !st.put(c, tokens, int64(tokens)*s.d.Engine.BytesPerToken, version) {
		return
	}

	s.clock.after(eventDelay, func() {
		s.dir.Record(s.now(), c.anchor, c.blockHashes(tokens), directory.Holding{
			Kind: directory.Store, Name: st.name, DataCentre: st.dataCentre, Blocks: tokens / blockTokens,
			Source: directory.Sealed, Version: strconv.Itoa(version),
		})
	})
}

// partValue returns the value per byte of a stored part.
func (s *simulation) partValue(x *storedPart) float64 {
	if s.policy == Clairvoyant {
		return s.nextUseValue(x.c)
	}

	return parking.Density(s.now(), s.parkingContext(x.c, x.tokens, 0))
}

// nextUseValue returns the inverse of the seconds until a conversation returns, 0 if it does
// not return.
func (s *simulation) nextUseValue(c *conversation) float64 {
	for i := range c.visits {
		if c.visits[i].at > s.clock.now {
			return 1 / (c.visits[i].at - s.clock.now).Seconds()
		}
	}

	return 0
}
