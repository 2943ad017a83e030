package profile

import (
	"time"

	"boragehub/route"
)

// Fleet is what one entry has learned of a service's engines and of the prompts that it
// sends there. The zero value has learned nothing; its methods may be called from many
// goroutines.
type Fleet struct {
	reader Reader
	// unread are the tokens that a prompt makes its engine read, memory those that it
	// takes of its memory.
	unread, memory Mean
	// little are the tokens to read of the prompts with no more than usual, quickAim
	// their aim in ms.
	little, quickAim Mean
	// token is how long a token takes that an answer may have, from the first event
	// on, in ms. Answers mostly have fewer than they may.
	token Mean
}

// Sent takes what a prompt asks of its engine: tokens to read, tokens of memory, and the
// time within which its first event is on time.
func (f *Fleet) Sent(unread, memory int, aim time.Duration) {
	f.unread.Observe(float64(unread))
	f.memory.Observe(float64(memory))

	if f.Quick(unread) {
		f.little.Observe(float64(unread))
		f.quickAim.Observe(float64(aim) / float64(time.Millisecond))
	}
}

// Read takes the time to the first event of a prompt that found its engine with nothing
// else to read and brought nothing from elsewhere.
func (f *Fleet) Read(unread int, first time.Duration) { f.reader.Observe(unread, first) }

// Ended takes that an answer that might have so many tokens was complete so long after
// its first event.
func (f *Fleet) Ended(output int, after time.Duration) {
	if output > 0 {
		f.token.Observe(float64(after) / float64(time.Millisecond) / float64(output))
	}
}

// Quick reports whether so many tokens to read are no more than usual.
func (f *Fleet) Quick(unread int) bool {
	mean, _ := f.unread.Value()

	return float64(unread) <= mean
}

// Run returns how long an answer is expected to take that may have so many tokens; zero
// while no answer was complete.
func (f *Fleet) Run(output int) time.Duration {
	ms, _ := f.token.Value()

	return time.Duration(ms * float64(output) * float64(time.Millisecond))
}

// Memory returns the tokens of memory that a prompt usually takes, zero while none was
// sent.
func (f *Fleet) Memory() int {
	mean, _ := f.memory.Value()

	return int(mean)
}

// TokensPerMs returns how fast engines read; zero while that is not known.
func (f *Fleet) TokensPerMs() float64 {
	rate, _ := f.reader.TokensPerMs()

	return rate
}

// Opening returns what is known for the decision on an opening, for engines with so much
// memory. What isn't known is left zero.
func (f *Fleet) Opening(memoryTokens int) route.OpeningConfig {
	cfg := route.OpeningConfig{MemoryTokens: memoryTokens, TokensPerMs: f.TokensPerMs()}
	cfg.PromptTokens, _ = f.unread.Value()
	cfg.QuickTokens, _ = f.little.Value()

	aim, _ := f.quickAim.Value()
	cfg.QuickAim = time.Duration(aim * float64(time.Millisecond))

	return cfg
}
