package experiment

import (
	"strconv"
	"time"

	"boragehub/directory"
	"boragehub/link"
	"boragehub/parking"
	"boragehub/route"
)

// reserve starts the import of a job in its first window.
func (w *world) reserve(e *entryModel, j *job, p choice) {
	l := e.links.Between(p.source.DataCentre, p.engine.dataCentre)
	t := &transfer{l: l, windows: p.windows, class: link.Import}
	t.done = func() {
		j.importing = false

		if t.begun && t.left == 0 && t.flow == nil {
			j.imported, j.version = t.held, t.version
		}

		p.engine.prefill()
	}

	w.inWindow(l, p.windows, func() { w.importNow(e, j, p, t) })

	if w.policy == Ours && w.without != GivingUp {
		w.judge(w.clock.now, j, p, t)
	}
}

// unreserve gives the windows of an import back that no engine will begin.
func (w *world) unreserve(e *entryModel, p choice) {
	if p.how == route.Import {
		w.release(&transfer{l: e.links.Between(p.source.DataCentre, p.engine.dataCentre), windows: p.windows})
	}
}

// judge gives an import up that lasts too long, once its job could go on.
func (w *world) judge(began time.Duration, j *job, p choice, t *transfer) {
	const often = 50 * time.Millisecond

	w.clock.after(often, func() {
		if t.over || j.ended {
			return
		}

		missing := float64(j.v.prompt-p.engine.cache.tokens(j.v.c)) / w.d.Engine.PrefillTokensPerSecond
		elapsed := w.clock.now - began
		if t.begun {
			elapsed = w.clock.now - t.since
		}

		if j.placed && route.GiveUpImport(w.cfg, elapsed, t.part(), time.Duration(missing*float64(time.Second))) {
			w.end(t)
			return
		}

		w.judge(began, j, p, t)
	})
}

// inWindow runs do in the first of the windows, at once when there is none.
func (w *world) inWindow(l *link.Link, windows []uint64, do func()) {
	if len(windows) == 0 {
		do()
		return
	}

	w.atWindow(l, windows[0], do)
}

// atWindow runs do when window id begins, wherever it has moved to by then.
func (w *world) atWindow(l *link.Link, id uint64, do func()) {
	win, ok := l.Window(w.time(), id)
	if !ok || !win.Start.After(w.time()) {
		do()
		return
	}

	w.clock.at(win.Start.Sub(epoch), func() { w.atWindow(l, id, do) })
}

// transfer is a copy on its way.
type transfer struct {
	l       *link.Link
	windows []uint64
	pipe    *pipe
	class   link.Class
	left    int64 // not yet sent, in bytes
	whole   int64
	flow    *flow // the chunk on its way, nil for none
	held    int   // leading tokens that the engine has at its end
	version int   // their weight version
	begun   bool
	since   time.Duration // when it began
	over    bool
	done    func()
}

// part returns how much of the transfer has come over, between 0 and 1.
func (t *transfer) part() float64 {
	switch {
	case !t.begun:
		return 0
	case t.whole == 0:
		return 1
	}

	missing := float64(t.left)

	if t.flow != nil {
		t.pipe.advance()
		missing += max(t.flow.left, 0)
	}

	return 1 - missing/float64(t.whole)
}

// end ends the transfer with what has come.
func (w *world) end(t *transfer) {
	if t.over {
		return
	}

	t.over = true

	if t.flow != nil {
		t.pipe.cancel(t.flow)
	}

	w.release(t)
	t.done()
}

// next sends the next chunk, or all that is left in the last window.
func (w *world) next(t *transfer) {
	t.flow = nil

	if t.left <= 0 || t.over {
		w.end(t)
		return
	}

	n := t.left
	if len(t.windows) > 1 {
		n = min(n, t.l.Chunk())
	}

	t.left -= n
	t.flow = t.pipe.send(t.class, n, func() {
		t.flow = nil

		if len(t.windows) > 0 {
			t.l.Done(w.time(), t.windows[0], n)
			t.windows = t.windows[1:]
		}

		w.inWindow(t.l, t.windows, func() { w.next(t) })
	})
}

// release gives back the windows that are not needed.
func (w *world) release(t *transfer) {
	for _, id := range t.windows {
		t.l.Cancel(w.time(), id)
	}

	t.windows = nil
}

// importNow copies a context to the engine that will need it.
func (w *world) importNow(e *entryModel, j *job, p choice, t *transfer) {
	if t.over {
		return
	}

	x, c := p.engine, j.v.c
	t.held, t.version = w.available(p.source, c)
	t.held = min(t.held, j.v.prompt-1)
	t.pipe = w.pipes[[2]string{p.source.DataCentre, x.dataCentre}]

	if t.held <= 0 || !w.reachable(p.source.DataCentre, x.dataCentre) {
		w.importFailed(e, p.source, t)
		return
	}

	t.begun = true
	t.since = w.clock.now
	t.left = int64(max(t.held-x.cache.tokens(c), 0)) * w.d.Engine.BytesPerToken
	t.whole = t.left

	if w.policy == Clairvoyant {
		w.clock.after(time.Duration(float64(t.left)/w.free().rate*float64(time.Second)), func() { t.left = 0; w.end(t) })
		return
	}

	w.next(t)
}

// importFailed lets a job go on without its import.
func (w *world) importFailed(e *entryModel, s route.Source, t *transfer) {
	w.rec.r.FailedImports++
	w.release(t)

	if s.Store {
		e.lost[s.Name] = w.clock.now + suspicion
	}

	w.clock.after(connectTimeout, func() { w.end(t) })
}

// available returns how many tokens a source really has, and of which version.
func (w *world) available(s route.Source, c *conversation) (tokens, version int) {
	for _, x := range w.stores {
		if x.name == s.Name {
			return x.tokens(c, w.version()), w.version()
		}
	}

	for _, x := range w.engines {
		if x.name == s.Name {
			return x.cache.tokens(c), x.version
		}
	}

	return 0, 0
}

// keep parks a context after a visit.
func (w *world) keep(e *engine, j *job) {
	c := j.v.c

	switch {
	case w.policy == Clairvoyant:
		w.keepClairvoyant(e, j)
	case w.policy == Ours && w.without != Stores:
		w.decideParking(e, c)
	default:
	}
}

// keepClairvoyant gives every context that returns a copy, at no cost.
func (w *world) keepClairvoyant(e *engine, j *job) {
	if _, ok := j.v.c.next(j.v.index); !ok {
		return
	}

	best := w.stores[0]
	for _, s := range w.stores {
		if s.up && (!best.up || s.tokens(j.v.c, e.version) > 0 || s.used < best.used) {
			best = s
		}
	}

	tokens := e.cache.tokens(j.v.c)
	if tokens > 0 {
		best.put(j.v.c, tokens, int64(tokens)*w.d.Engine.BytesPerToken, e.version)
	}
}

// context is a conversation as the parking decisions see it.
func (w *world) context(c *conversation, tokens, parked int) parking.Context {
	missing := tokens - parked
	if w.without == Segments {
		missing = tokens
	}

	return parking.Context{
		Tokens: tokens, Parked: parked, Bytes: int64(missing) * w.d.Engine.BytesPerToken,
		PrefillTokensPerSecond: w.d.Engine.PrefillTokensPerSecond,
		Seen:                   epoch.Add(c.seenAt), Gaps: w.gaps[c.workload],
	}
}

// stays returns how long an engine keeps a context that is not used.
func (w *world) stays(e *engine) time.Duration {
	if e.cache.inserted == 0 {
		return time.Hour
	}

	each := w.clock.now.Seconds() / float64(e.cache.inserted)

	return time.Duration(float64(e.cache.room) * each * float64(time.Second))
}

func (w *world) decideParking(e *engine, c *conversation) {
	tokens := e.cache.tokens(c) / blockTokens * blockTokens
	parked := 0
	w.rooms = w.rooms[:0]

	var stores []*store

	for _, s := range w.stores {
		if n := s.tokens(c, e.version); n > parked {
			// A copy is only added to where its beginning is.
			parked, stores = n, append(stores[:0], s)
		}
	}

	if parked == 0 {
		stores = w.stores
	}

	for _, s := range stores {
		w.rooms = append(w.rooms, w.room(e, s, tokens-parked))
	}

	d := parking.Decide(w.time(), w.park, w.context(c, tokens, parked), parking.View{Stays: w.stays(e), Stores: w.rooms})
	if !d.Export() {
		return
	}

	w.export(e, c, stores[d.First()], tokens, parked)
}

func (w *world) room(e *engine, s *store, tokens int) parking.Room {
	l := w.sides[e.index].Between(e.dataCentre, s.dataCentre)

	return parking.Room{
		Name: s.name, Free: s.room - s.used, Total: s.room, Density: s.density(),
		Down:     !s.up || !w.reachable(e.dataCentre, s.dataCentre),
		Transfer: l.Backlog(w.time()) + l.Estimate(w.time(), int64(tokens)*w.d.Engine.BytesPerToken),
	}
}

// export copies what a store lacks of a context, in windows behind imports.
func (w *world) export(e *engine, c *conversation, s *store, tokens, parked int) {
	if w.without == Segments {
		parked = 0
	}

	l := w.sides[e.index].Between(e.dataCentre, s.dataCentre)
	t := &transfer{l: l, class: link.Export, pipe: w.pipes[[2]string{e.dataCentre, s.dataCentre}]}
	t.left = int64(tokens-parked) * w.d.Engine.BytesPerToken

	if w.without != Windows {
		t.windows = l.ReserveChunks(w.time(), link.Request{Bytes: t.left, Class: link.Export, Organisation: w.organisation(c)}, nil)
		if len(t.windows) == 0 {
			return
		}
	}

	w.inWindow(l, t.windows, func() {
		// What was evicted before its window came can't be copied any more.
		n := min(tokens, e.cache.tokens(c)/blockTokens*blockTokens)
		version := e.version

		if n <= parked {
			w.release(t)
			return
		}

		t.done = func() { w.sealed(s, c, n, version) }
		w.next(t)
	})
}

// sealed keeps a copy in a store and tells the directory.
func (w *world) sealed(s *store, c *conversation, tokens, version int) {
	if tokens <= s.tokens(c, version) || !s.put(c, tokens, int64(tokens)*w.d.Engine.BytesPerToken, version) {
		return
	}

	w.clock.after(eventLag, func() {
		w.dir.Learn(w.time(), c.anchor, c.chainTo(tokens), directory.Holding{
			Kind: directory.Store, Name: s.name, DataCentre: s.dataCentre, Blocks: tokens / blockTokens,
			Source: directory.Sealed, Version: strconv.Itoa(version),
		})
	})
}

// value is what a copy in a store is worth.
func (w *world) value(x *stored) float64 {
	if w.policy == Clairvoyant {
		return w.nextUse(x.c)
	}

	return parking.Density(w.time(), w.context(x.c, x.tokens, 0))
}

// nextUse is the greater the sooner a conversation returns.
func (w *world) nextUse(c *conversation) float64 {
	for i := range c.visits {
		if c.visits[i].at > w.clock.now {
			return 1 / (c.visits[i].at - w.clock.now).Seconds()
		}
	}

	return 0
}
