package roster

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehub/event"
	"boragehub/quota"
)

// Sources of what a target asks for, as logged.
const (
	basisResponse     = "response"
	basisLoadReport   = "load_report"
	basisAnnouncement = "announcement"
)

const (
	// announcedChange is the relative change of a limit above which the other entries are told.
	announcedChange = 0.1
	// maxTickGap is the time between two calls of Tick above which this process has been paused.
	// What it has read of responses since may be as old as the pause.
	maxTickGap = 4 * checkInterval
	// entriesMemory is how long the largest number of live entries is remembered. An entry that
	// can't reach the others would otherwise use their shares of a limit, while they use them too.
	entriesMemory = time.Minute
	// minEntries is the least number of entries assumed to share a limit while this process may
	// not know the others yet.
	minEntries = 8
)

// RateLimit is a limit that a target names on the requests that it takes from all entries
// together.
type RateLimit struct {
	// ID is the id of the target's current start.
	ID string
	// Limit is in requests a second; zero for none.
	Limit float64
}

// rateLimit is the limit that a target names.
type rateLimit struct {
	share     quota.Share
	seenAt    time.Time // when it was last named
	announced float64   // limit that all entries were last told
}

// sharingEntries is the number of entries that share a limit.
type sharingEntries struct {
	most   int       // largest number of live entries
	mostAt time.Time // when there were as many
}

// observe records the number of live entries.
func (s *sharingEntries) observe(now time.Time, n int) {
	if n >= s.most || now.Sub(s.mostAt) > entriesMemory {
		s.most, s.mostAt = n, now
	}
}

// ObserveRateLimit records the rate limit that a target named in a response, in requests a second
// from all entries together; zero if it named none.
func (r *Roster) ObserveRateLimit(now time.Time, id string, limit float64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e, ok := r.engines[id]; ok {
		r.setRateLimit(now, id, e, limit, basisResponse)
	}
}

// ObserveAnnouncedRateLimit records a rate limit that another entry announced.
func (r *Roster) ObserveAnnouncedRateLimit(now time.Time, l RateLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e, ok := r.engines[l.ID]; ok {
		r.setRateLimit(now, l.ID, e, l.Limit, basisAnnouncement)
		e.rateLimit.announced = l.Limit
	}
}

// applyReportedRateLimit applies the rate limit in a load report. A report without a limit ends
// only one that load reports have named, since a target may name its limit to callers alone. The
// caller holds mu.
func (r *Roster) applyReportedRateLimit(now time.Time, id string, e *engine, limit float64) {
	if limit > 0 || e.report.RateLimit > 0 {
		r.setRateLimit(now, id, e, limit, basisLoadReport)
	}
}

// setRateLimit records a target's rate limit. The caller holds mu.
func (r *Roster) setRateLimit(now time.Time, id string, e *engine, limit float64, basis string) {
	l := &e.rateLimit

	if before := l.share.Limit(); limit != before {
		entries, phase := r.shareOfLimit(now, e.listing.Address)
		l.share.Set(now, limit, entries, phase)

		event.Log(r.cfg.Log, event.TargetRateLimit, "target", id, "limit", limit, "before", before, "before_age_ms", l.age(now).Milliseconds(),
			"basis", basis, "entries", entries, "interval_ms", l.share.Interval().Milliseconds())
	}

	l.seenAt = now
}

// age returns how long ago the limit was last named; zero if it never was.
func (l *rateLimit) age(now time.Time) time.Duration {
	if l.seenAt.IsZero() {
		return 0
	}

	return now.Sub(l.seenAt)
}

// significant reports whether a limit differs enough from the last announced one to announce it.
func (l *rateLimit) significant() bool {
	limit := l.share.Limit()
	if (limit == 0) != (l.announced == 0) {
		return true
	}

	return limit < l.announced*(1-announcedChange) || limit > l.announced*(1+announcedChange)
}

// shareOfLimit returns the number of entries that share a target's limit, and this process's
// position among them as a fraction: evenly spaced by rank or, if it may not know them all, by
// hash. The caller holds mu.
func (r *Roster) shareOfLimit(now time.Time, address string) (entries int, phase float64) {
	if r.cfg.Entries == nil {
		return 1, 0
	}

	entries = max(r.sharing.most, r.liveEntries, 1)
	if now.Sub(r.firstListedAt) < entriesSettleTime {
		entries = max(entries, minEntries)
	}

	if r.cfg.Entries.Size(now) < entries {
		// Entries that don't know the others would all have the first rank.
		return entries, float64(xxhash.Sum64String(r.cfg.Self+"|"+address)>>11) / (1 << 53)
	}

	return entries, float64(r.cfg.Entries.Rank(now, address)) / float64(entries)
}

// tickRateLimits updates the shares of the targets' limits and returns the limits to announce to
// the other entries. The caller holds mu.
func (r *Roster) tickRateLimits(now time.Time) []RateLimit {
	paused := !r.tickedAt.IsZero() && now.Sub(r.tickedAt) > maxTickGap
	r.tickedAt = now

	if r.cfg.Entries != nil {
		r.sharing.observe(now, r.liveEntries)
	}

	var announce []RateLimit

	for id, e := range r.engines {
		l := &e.rateLimit

		if limit := l.share.Limit(); limit > 0 {
			entries, phase := r.shareOfLimit(now, e.listing.Address)
			l.share.Set(now, limit, entries, phase)
		}

		// The next response tells whether the limit is still as it was before the pause.
		if !paused && l.significant() {
			l.announced = l.share.Limit()
			announce = append(announce, RateLimit{ID: id, Limit: l.announced})
		}
	}

	return announce
}

// LimitedTargets returns the number of targets that name a rate limit.
func (r *Roster) LimitedTargets() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	n := 0

	for _, e := range r.engines {
		if e.rateLimit.share.Limit() > 0 {
			n++
		}
	}

	return n
}
