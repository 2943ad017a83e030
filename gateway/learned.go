package gateway

import (
	"time"

	"boragehub/profile"
	"boragehub/route"
	"boragehub/site"
)

// learned is what an entry has learned of the model engines from their answers. The
// zero value has learned nothing.
type learned struct {
	reader profile.Reader
	// unread are the tokens that a prompt makes its engine read, memory those that it
	// takes of its memory.
	unread, memory profile.Mean
}

// sent takes what a prompt asks of its engine.
func (l *learned) sent(c *choice) {
	l.unread.Observe(float64(c.unread))
	l.memory.Observe(float64(c.memory))
}

// first takes that a prompt had its first event after so long.
func (l *learned) first(c *choice, after time.Duration) {
	if c.idle {
		l.reader.Observe(c.unread, after)
	}
}

// opening returns what is known of a service's engines; what isn't is left zero.
func (g *Gateway) opening(s site.Service) route.OpeningConfig {
	cfg := route.OpeningConfig{MemoryTokens: s.Engines.MemoryTokens}
	cfg.TokensPerMs, _ = g.learned.reader.TokensPerMs()
	cfg.PromptTokens, _ = g.learned.unread.Value()

	return cfg
}
