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
	t       *task
	now     time.Time
	engines []roster.Engine
	// isolated and apart are those of the scope, see task.isolation.
	isolated, apart string
	// linkTokensPerMs is the bandwidth of an engine's link; zero if it isn't known, and then
	// nothing is fetched from engines.
	linkTokensPerMs float64
	longestPart     int // index of the longest shared part; -1 for none
	parts           map[partKey]*partLocation
	rights          map[int64]versionRight // by weight version
}

// partKey identifies a part under a weight version.
type partKey struct {
	index   int
	version int64
}

// partLocation is where a part is cached.
type partLocation struct {
	part    vault.Part
	version int64
	tokens  int
	key     uint64
	// long parts are reported by the engines that have them.
	long bool
	// stored is true if a store has it.
	stored bool
	// engines have the part in their memory, and it may be fetched from them.
	engines []roster.Engine
}

// lookup returns a lookup of the request's parts among the engines in all.
func (t *task) lookup(now time.Time, all []roster.Engine) *lookup {
	e := t.service.Engines
	isolated, apart := t.isolation()

	return &lookup{
		t: t, now: now, engines: all, isolated: isolated, apart: apart, longestPart: t.longestSharedPart(), parts: make(map[partKey]*partLocation), rights: make(map[int64]versionRight),
		linkTokensPerMs: site.TokensPerMs(e.LinkMbps, e.TokenBytes),
	}
}

// versionRight is the right to fetch the parts of a weight version, as of one decision.
type versionRight struct {
	vault.FetchRight
	// newest is true if this process knows of no newer version.
	newest bool
}

// right returns the right to fetch parts of a weight version.
func (l *lookup) right(version int64) versionRight {
	r, ok := l.rights[version]
	if !ok {
		r.FetchRight, r.newest = l.t.g.fetchRight(l.t.arrival.Prompt.Model, version)
		l.rights[version] = r
	}

	return r
}

// part returns the location of part i of the prompt under a weight version.
func (l *lookup) part(i int, version int64) *partLocation {
	k := partKey{i, version}
	if x, ok := l.parts[k]; ok {
		return x
	}

	g, p := l.t.g, l.t.arrival.Prompt
	x := &partLocation{part: vault.Part{Salt: l.scope(version).Salt(), ID: p.Parts[i].ID}, version: version, tokens: p.Parts[i].Tokens}
	_, x.stored = g.cfg.Vaults.Find(l.now, x.part, g.cfg.DataCentre)
	x.long = x.tokens >= resident.LongPart

	if x.long {
		x.key = resident.Key(x.part)

		for _, e := range l.engines {
			if e.Version == version && e.Fresh && !e.HeartbeatMissing && !e.Loading && e.Report.Has(x.key, x.tokens) {
				x.engines = append(x.engines, e)
			}
		}
	}

	l.parts[k] = x

	return x
}

// heldBy reports whether an engine has the part.
func (x *partLocation) heldBy(e roster.Engine) bool {
	return slices.ContainsFunc(x.engines, func(h roster.Engine) bool { return h.ID == e.ID })
}

// fastestCopy returns the copy of a part that reaches an engine soonest.
func (l *lookup) fastestCopy(x *partLocation, e roster.Engine) (vault.Copy, bool) {
	best, ok := l.t.g.cfg.Vaults.FindFetchable(l.now, x.part, l.right(x.version).FetchRight, e.DataCentre)

	for _, h := range x.engines {
		if h.ID == e.ID || l.linkTokensPerMs <= 0 {
			continue
		}

		near := h.DataCentre == e.DataCentre
		c := vault.Copy{Address: h.Address, Tokens: x.tokens, Near: near, Transfer: vault.Transfer(x.tokens, l.linkTokensPerMs, near)}

		if !ok || c.Transfer < best.Wait+best.Transfer {
			best, ok = c, true
		}
	}

	return best, ok
}

// fillCandidate sets how an engine would get the prompt's longest shared part, if there is one.
func (l *lookup) fillCandidate(c *route.PrefixCandidate, e roster.Engine, newest int64) {
	if l.longestPart < 0 {
		c.HasPrefix = true

		return
	}

	x := l.part(l.longestPart, e.Version)
	found, ok := l.fastestCopy(x, e)

	c.HasPrefix = x.heldBy(e)
	c.PrefixFetchable, c.FetchWait, c.FetchTime = ok, found.Wait, found.Transfer
	c.NewPrefix = !ok && x.long && e.Version >= newest
}
