package gateway

import (
	"boragehub/vault"
)

// scope says who may use what the request leaves in caches.
func (t *task) scope(version int64) vault.Scope {
	s := vault.Scope{Model: t.arrival.Prompt.Model, Version: version}
	if t.organisation != nil && t.organisation.Isolated {
		s.Wall = t.organisation.Name
	}

	return s
}

// contexts fills in which cached parts the engine uses: only such as were made
// under the version that the engine is asked to have.
func (t *task) contexts(l *lookup, c *choice) {
	s := &c.sending

	if c.engine.Version == 0 {
		// Nobody knows which version it has, so nothing may be shared.
		s.Salt = "request/" + t.arrival.ID

		return
	}

	s.Version = c.engine.Version
	s.Salt = t.scope(s.Version).Salt()

	t.fetchAndSave(l, c)
}

// keepLeast is the length from which a part is kept in stores: a block of an
// engine's memory. Also the short ones at the beginning have to be there: a part is
// of use only together with all before it.
const keepLeast = 16

// fetchAndSave names for each part that is long enough where to bring it from, and
// the store to keep it in from now on where none has it.
func (t *task) fetchAndSave(l *lookup, c *choice) {
	s := &c.sending
	parts := t.arrival.Prompt.Parts
	newest := s.Version >= t.g.newest(t.arrival.Prompt.Model)

	clock, ok := t.g.cfg.Vaults.Clock(l.now)
	if !ok {
		return
	}

	fetch, save := make([]string, len(parts)), make([]string, len(parts))

	for i := range len(parts) - 1 {
		if parts[i].Tokens < keepLeast {
			continue
		}

		x := l.part(i, s.Version)
		found, ok := l.find(x, c.engine)

		switch {
		case x.on(c.engine):
			c.unread -= parts[i].Tokens
		case ok:
			t.g.cfg.Vaults.Promise(l.now, found)

			if found.Transfer > c.fetchTime {
				c.fetchWait, c.fetchTime = found.Wait, found.Transfer
			}

			c.unread -= parts[i].Tokens
		}

		if ok {
			// Also where the engine has the part: it may just have lost it, and
			// brings nothing that it has.
			fetch[i] = found.Address
			s.Fetch = fetch

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
