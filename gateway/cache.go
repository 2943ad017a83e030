package gateway

import (
	"strings"
	"time"

	"boragehub/vault"
)

// scope returns which requests may share the cached parts that this request leaves under a weight version.
func (l *lookup) scope(version int64) vault.Scope {
	return vault.Scope{Model: l.t.arrival.Prompt.Model, Version: version, Organisation: l.isolated, Apart: l.apart}
}

// isolation returns the scope's organisation and isolated organisations, by the newest configuration: the request may
// have waited since it was accepted. An organisation that is no longer configured shares nothing.
func (t *task) isolation() (isolated, apart string) {
	c := t.g.current.Load()

	if t.organisation != nil {
		if o, ok := c.Organisation(t.organisation.Name); !ok || o.Isolated {
			return t.organisation.Name, ""
		}
	}

	return "", c.Apart()
}

// setCacheParams sets which cached parts the engine may use: only parts computed with the
// weight version that the engine is asked to have.
func (t *task) setCacheParams(l *lookup, c *choice) {
	s := &c.params

	if c.engine.Version == 0 {
		// The engine's version is unknown, so no cached part may be shared.
		s.Salt = "request/" + t.arrival.ID

		return
	}

	s.Version = c.engine.Version
	s.Salt = l.scope(s.Version).Salt()

	t.fetchAndSave(l, c)
}

// fetchGrant is what the fetches of a prompt's parts rest on.
type fetchGrant struct {
	decidedAt time.Time
	right     versionRight
	// clock is the engines' clock in ms as this process knew it, clockAge the age of its last report.
	clock    int64
	clockAge time.Duration
	// parts are the fetched parts as id@address.
	parts []string
}

// logFields returns the grant as fields of a log line; none if nothing is fetched.
func (f *fetchGrant) logFields(until int64) []any {
	if len(f.parts) == 0 {
		return nil
	}

	newestAt, newestAge := f.right.NewestAt, int64(-1)
	if !newestAt.Local.IsZero() {
		newestAge = f.decidedAt.Sub(newestAt.Local).Milliseconds()
	}

	return []any{
		"fetch", strings.Join(f.parts, ","), "fetch_until", until, "clock", f.clock, "clock_age_ms", f.clockAge.Milliseconds(),
		"newest", f.right.newest, "newest_age_ms", newestAge, "newest_clock", newestAt.Shared, "registered", f.right.Registered,
	}
}

// minStoredTokens is the length of the shortest part that is fetched and saved: one block of an
// engine's memory. Short parts at the start of a prompt have to be in stores too, since a part
// can only be used together with all parts before it.
const minStoredTokens = 16

// fetchAndSave sets, for each part that is long enough, the address to fetch it from and, if no
// store has it, the store to save it in. It takes the parts that need no prefill off
// c.prefillTokens.
func (t *task) fetchAndSave(l *lookup, c *choice) {
	s := &c.params
	parts := t.arrival.Prompt.Parts
	newest := s.Version >= t.g.newest(t.arrival.Prompt.Model)

	clock, ok := t.g.cfg.Vaults.Clock(l.now)
	if !ok {
		return
	}

	c.fetch = fetchGrant{decidedAt: l.now, right: l.right(s.Version), clock: clock, clockAge: t.g.cfg.Vaults.ClockAge(l.now)}
	fetch, save := make([]string, len(parts)), make([]string, len(parts))

	for i := range len(parts) - 1 {
		if parts[i].Tokens < minStoredTokens {
			continue
		}

		x := l.part(i, s.Version)
		found, ok := l.fastestCopy(x, c.engine)

		switch {
		case x.heldBy(c.engine):
			c.prefillTokens -= parts[i].Tokens
		case ok:
			t.g.cfg.Vaults.ReserveLink(l.now, found)

			if found.Transfer > c.fetchTime {
				c.fetchWait, c.fetchTime = found.Wait, found.Transfer
			}

			c.prefillTokens -= parts[i].Tokens
		}

		if ok {
			// Set even if the engine has the part: it may just have evicted it, and it fetches
			// nothing that it has.
			fetch[i] = found.Address
			s.Fetch = fetch
			c.fetch.parts = append(c.fetch.parts, x.part.ID+"@"+found.Address)

			until := clock + vault.MaxFetch.Milliseconds()
			if found.FetchUntil > 0 {
				until = min(until, found.FetchUntil)
			}

			// One deadline covers all fetches of the request, so the earliest applies.
			if s.FetchUntil == 0 || until < s.FetchUntil {
				s.FetchUntil = until
			}
		}

		if x.stored || !newest {
			continue
		}

		if address, ok := t.g.cfg.Vaults.Place(l.now, vault.Held{Part: x.part, Tokens: parts[i].Tokens}); ok {
			save[i] = address
			s.Save = save
		}
	}
}
