package gateway

import (
	"time"

	"boragehub/vault"
)

// named is a weight version that operators named.
type named struct {
	version int64
	// at is when this process learned of it.
	at time.Time
	// before is the last time at which the versions before it were surely the newest.
	before time.Time
}

// versionGrace is how long after a weight version was named answers on the one
// before are as good: operators allow 1.5 s, and a request takes a while.
const versionGrace = 1200 * time.Millisecond

// Margins before the time within which an engine with replaced weights may begin
// requests. One that begins on them later breaks what operators were promised.
const (
	// versionMargin is how long before it such an engine gets no more requests. They
	// wait for their turn there, in bad times for more than a second; the last engines
	// are loading by then anyway.
	versionMargin = 1500 * time.Millisecond
	// overdueMargin is how long before it what still waits there is taken back. It is
	// looked for four times a second.
	overdueMargin = 400 * time.Millisecond
)

// maxNamed bounds the versions remembered of a model.
const maxNamed = 8

// startGrace is how long after a start a version that was named before counts as
// allowed to be missing. Nobody knows when it was named: taken for just named, an
// engine with replaced weights would get requests for as long again.
const startGrace = 3900 * time.Millisecond

// Named takes that operators named a weight version. Before is the last time at
// which the one before was surely the newest, zero for a version that was there when
// this process started.
func (g *Gateway) Named(now time.Time, model string, version int64, before time.Time) {
	if before.IsZero() {
		now = now.Add(min(startGrace-g.cfg.VersionWithin, 0))
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	all := g.versions[model]
	if n := len(all); n > 0 && all[n-1].version >= version {
		return
	}

	all = append(all, named{version, now, before})
	g.versions[model] = all[max(0, len(all)-maxNamed):]
}

// newest returns the version of a model that operators named last, zero for none.
func (g *Gateway) newest(model string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	if all := g.versions[model]; len(all) > 0 {
		return all[len(all)-1].version
	}

	return 0
}

// namedFor returns the newest version of a model that was named at least so long
// ago, zero for none.
func (g *Gateway) namedFor(now time.Time, model string, ago time.Duration) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	all := g.versions[model]
	for i := len(all) - 1; i >= 0; i-- {
		if now.Sub(all[i].at) >= ago {
			return all[i].version
		}
	}

	return 0
}

// overdue returns the version of a model below which nothing may begin any more.
func (g *Gateway) overdue(now time.Time, model string) int64 {
	if g.cfg.VersionWithin <= 0 {
		return 0
	}

	return g.namedFor(now, model, g.cfg.VersionWithin-overdueMargin)
}

// required returns the version of a model below which an engine gets no requests.
func (g *Gateway) required(now time.Time, model string) int64 {
	if g.cfg.VersionWithin <= 0 {
		return 0
	}

	return g.namedFor(now, model, g.cfg.VersionWithin-versionMargin)
}

// mayFetch reports whether a part that was made under a version of a model may be
// fetched from a store.
func (g *Gateway) mayFetch(now time.Time, p vault.Part, model string, version int64) bool {
	current, newest := g.currentUntil(model, version)

	// Whoever reads the register after a newer version was named finds this process
	// there only if it stood there when this process last saw none.
	since := g.listed()
	asked := newest && !since.IsZero() && current.After(since)

	return p.Right(now, current, asked)
}

// currentUntil returns the last time at which a version was surely the newest of
// its model, and whether it still is as far as this process knows.
func (g *Gateway) currentUntil(model string, version int64) (current time.Time, newest bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, n := range g.versions[model] {
		if n.version > version {
			return n.before, false
		}
	}

	return g.lastSeen(), true
}
