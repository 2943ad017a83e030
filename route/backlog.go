package route

import (
	"math"
	"time"
)

// queuedTokens returns the tokens that the engine has to prefill before one more prompt, given the
// usual number of tokens of a prompt that waits there.
//
// Without a known backlog, what other entries have sent is only known as a number of requests. With it,
// the tokens of long prompts are known, and all others are short. Leased prompts are among those in
// prefill or waiting and are not counted again.
func (c *PrefixCandidate) queuedTokens(cfg PrefixConfig, waiting float64) float64 {
	if !c.HasBacklog {
		return float64(c.Prefilling)*cfg.PromptTokens + float64(c.Waiting)*waiting + float64(c.SentTokens)
	}

	others := max(c.Prefilling-c.Leases, 0) + max(c.Waiting-max(c.Leases-c.Prefilling, 0), 0)

	return float64(c.Backlog) + float64(others)*cfg.ShortPromptTokens + float64(c.SentTokens)
}

// MaxBacklog returns the backlog of an engine, in tokens, up to which a long prompt with an aim is sent
// there. It is the length of the prefill queue up to which such a prompt is not held. If the service
// has no short prompts, it is half of the prompt's own aim. It is math.MaxInt32 while the speed of
// the engines is not known.
func (c PrefixConfig) MaxBacklog(aim time.Duration) int {
	const ownAimShare = 0.5

	limit := ownAimShare * float64(aim)
	if c.ShortPromptAim > 0 {
		limit = longPromptQueueShare * float64(c.ShortPromptAim)
	}

	if c.TokensPerMs <= 0 || limit <= 0 {
		return math.MaxInt32
	}

	return int(min(limit/float64(time.Millisecond)*c.TokensPerMs, math.MaxInt32))
}
