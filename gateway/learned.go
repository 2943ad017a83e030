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
	// little are the tokens to read of the prompts with less than usual.
	little profile.Mean
	// token is how long a token takes that an answer may have, from the first event
	// on, in ms. Answers mostly have fewer than they may.
	token profile.Mean
}

// sent takes what a prompt asks of its engine.
func (l *learned) sent(c *choice) {
	l.unread.Observe(float64(c.unread))

	if l.quick(c.unread) {
		l.little.Observe(float64(c.unread))
	}
	l.memory.Observe(float64(c.memory))
}

// quick reports whether so many tokens to read are no more than usual.
func (l *learned) quick(unread int) bool {
	mean, _ := l.unread.Value()

	return float64(unread) <= mean
}

// first takes that a prompt had its first event after so long.
func (l *learned) first(c *choice, after time.Duration) {
	if c.idle {
		l.reader.Observe(c.unread, after)
	}
}

// ended takes that an answer that might have so many tokens was complete so long after
// its first event.
func (l *learned) ended(output int, after time.Duration) {
	if output > 0 {
		l.token.Observe(float64(after) / float64(time.Millisecond) / float64(output))
	}
}

// run returns how long an answer is expected to take that may have so many tokens.
func (l *learned) run(output int) time.Duration {
	ms, _ := l.token.Value()

	return time.Duration(ms * float64(output) * float64(time.Millisecond))
}

// opening returns what is known of a service's engines; what isn't is left zero.
func (g *Gateway) opening(s site.Service) route.OpeningConfig {
	cfg := route.OpeningConfig{MemoryTokens: s.Engines.MemoryTokens}
	cfg.TokensPerMs, _ = g.learned.reader.TokensPerMs()
	cfg.PromptTokens, _ = g.learned.unread.Value()
	cfg.QuickTokens, _ = g.learned.little.Value()

	return cfg
}
