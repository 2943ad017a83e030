package gateway

import (
	"time"

	"boragehub/mirror"
	"boragehub/vault"
)

// publishedVersion is a weight version that operators published, for engines to load.
type publishedVersion struct {
	version int64
	// learnedAt is when this process learned of it, set back by VersionNamed if it was published
	// before the process started.
	learnedAt time.Time
	// previousNewestAt is when the previous version was last known for certain to be the newest.
	previousNewestAt mirror.Moment
}

// oldVersionGrace is how long after a weight version was published responses from the previous one
// count as equally good: operators allow 1.5 s, and a request takes a while.
const oldVersionGrace = 1200 * time.Millisecond

// Margins before the end of Config.VersionDeadline, within which engines with replaced weights may
// begin requests. An engine that begins one later violates the deployment's limit.
const (
	// sendMargin is how long before that end such an engine gets no more requests. They queue there,
	// under heavy load for more than a second; the last engines are loading by then anyway.
	sendMargin = 1500 * time.Millisecond
	// cancelMargin is how long before that end requests that still wait there are cancelled. This is
	// checked four times a second.
	cancelMargin = 400 * time.Millisecond
)

// maxPublishedVersions limits how many versions of a model are remembered.
const maxPublishedVersions = 8

// startupGrace is how long after a process start engines may still lack a version that was
// published before. When it was published is not known: if it counted as just published, an engine
// with replaced weights would get requests for as long again.
const startupGrace = 3900 * time.Millisecond

// VersionNamed records that operators published a weight version. Before is when the previous
// version was last known for certain to be the newest, zero for a version that was published before
// this process started.
func (g *Gateway) VersionNamed(now time.Time, model string, version int64, before mirror.Moment) {
	if before.Local.IsZero() {
		now = now.Add(min(startupGrace-g.cfg.VersionDeadline, 0))
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	all := g.versions[model]
	if n := len(all); n > 0 && all[n-1].version >= version {
		return
	}

	all = append(all, publishedVersion{version, now, before})
	g.versions[model] = all[max(0, len(all)-maxPublishedVersions):]
}

// newest returns the version of a model that operators published last, zero for none.
func (g *Gateway) newest(model string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	if all := g.versions[model]; len(all) > 0 {
		return all[len(all)-1].version
	}

	return 0
}

// versionPublishedFor returns the newest version of a model that was published at least ago before
// now, zero for none.
func (g *Gateway) versionPublishedFor(now time.Time, model string, ago time.Duration) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	all := g.versions[model]
	for i := len(all) - 1; i >= 0; i-- {
		if now.Sub(all[i].learnedAt) >= ago {
			return all[i].version
		}
	}

	return 0
}

// minQueuedVersion returns the version of a model below which requests that wait are cancelled,
// zero for none.
func (g *Gateway) minQueuedVersion(now time.Time, model string) int64 {
	if g.cfg.VersionDeadline <= 0 {
		return 0
	}

	return g.versionPublishedFor(now, model, g.cfg.VersionDeadline-cancelMargin)
}

// requiredVersion returns the version of a model below which an engine gets no requests, zero for
// none.
func (g *Gateway) requiredVersion(now time.Time, model string) int64 {
	if g.cfg.VersionDeadline <= 0 {
		return 0
	}

	return g.versionPublishedFor(now, model, g.cfg.VersionDeadline-sendMargin)
}

// fetchRight returns the right to fetch parts of a version of a model from stores, and whether this process
// knows of no newer version.
func (g *Gateway) fetchRight(model string, version int64) (r vault.FetchRight, newest bool) {
	r.NewestAt, newest = g.lastKnownNewest(model, version)

	// A process that reads the register after a newer version was published is certain to find this
	// process there only if it was registered when it last knew of no newer version.
	since := g.registeredSince()
	r.Registered = newest && !since.IsZero() && r.NewestAt.Local.After(since)

	return r, newest
}

// lastKnownNewest returns when a version was last known for certain to be the newest of its
// model, and whether it still is as far as this process knows.
func (g *Gateway) lastKnownNewest(model string, version int64) (current mirror.Moment, newest bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, n := range g.versions[model] {
		if n.version > version {
			return n.previousNewestAt, false
		}
	}

	return g.versionsKnownAt(), true
}
