package gateway

import (
	"slices"
	"time"

	"boragehub/resident"
	"boragehub/roster"
	"boragehub/route"
	"boragehub/site"
	"boragehub/vault"
)

// lookup finds the parts of one prompt in stores and in the engines' memory, for one
// decision.
type lookup struct {
	t   *task
	now time.Time
	all []roster.Engine
	// speed is how many tokens a ms an engine's link carries; zero when it isn't
	// known, and then nothing is brought from engines.
	speed   float64
	opening int // the index of the longest shared part; -1 for none
	found   map[sought]*location
}

// sought is a part under a weight version.
type sought struct {
	index   int
	version int64
}

// location is where a part is.
type location struct {
	part   vault.Part
	tokens int
	key    uint64
	// long parts are told by the engines that have them.
	long bool
	// right says that it may be fetched from stores, stored that one has it.
	right, stored bool
	// engines have it in their memory, and may be asked for it.
	engines []roster.Engine
}

// lookup returns the lookup of the request's parts among engines.
func (t *task) lookup(now time.Time, all []roster.Engine) *lookup {
	e := t.service.Engines

	return &lookup{
		t: t, now: now, all: all, opening: t.longest(), found: make(map[sought]*location),
		speed: site.TokensPerMs(e.LinkMbps, e.TokenBytes),
	}
}

// part returns where a part of the prompt is under a weight version.
func (l *lookup) part(i int, version int64) *location {
	k := sought{i, version}
	if x, ok := l.found[k]; ok {
		return x
	}

	g, p := l.t.g, l.t.arrival.Prompt
	x := &location{part: vault.Part{Salt: l.t.scope(version).Salt(), ID: p.Parts[i].ID}, tokens: p.Parts[i].Tokens}
	x.right = g.mayFetch(l.now, x.part, p.Model, version)
	_, x.stored = g.cfg.Vaults.Find(l.now, x.part, g.cfg.DataCentre)
	x.long = x.tokens >= resident.LongPart

	if x.long {
		x.key = resident.Key(x.part)

		for _, e := range l.all {
			if e.Version == version && e.Fresh && !e.Quiet && !e.Loading && e.Pulse.Has(x.key, x.tokens) {
				x.engines = append(x.engines, e)
			}
		}
	}

	l.found[k] = x

	return x
}

// on reports whether an engine has the part.
func (x *location) on(e roster.Engine) bool {
	return slices.ContainsFunc(x.engines, func(h roster.Engine) bool { return h.ID == e.ID })
}

// find returns the copy of a part that is there soonest for an engine.
func (l *lookup) find(x *location, e roster.Engine) (vault.Copy, bool) {
	var best vault.Copy

	ok := false
	if x.right {
		best, ok = l.t.g.cfg.Vaults.Find(l.now, x.part, e.DataCentre)
	}

	for _, h := range x.engines {
		if h.ID == e.ID || l.speed <= 0 {
			continue
		}

		near := h.DataCentre == e.DataCentre
		c := vault.Copy{Address: h.Address, Tokens: x.tokens, Near: near, Transfer: vault.Transfer(x.tokens, l.speed, near)}

		if !ok || c.Transfer < best.Wait+best.Transfer {
			best, ok = c, true
		}
	}

	return best, ok
}

// fill fills in how an engine would get the prompt's opening, if that is a long one.
func (l *lookup) fill(c *route.OpeningCandidate, e roster.Engine, newest int64) {
	if l.opening < 0 {
		c.Has = true

		return
	}

	x := l.part(l.opening, e.Version)
	found, ok := l.find(x, e)

	c.Has = x.on(e)
	c.Kept, c.FetchWait, c.Fetch = ok, found.Wait, found.Transfer
	c.New = !ok && x.long && e.Version >= newest
}
