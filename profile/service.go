package profile

import (
	"time"

	"boragehub/route"
)

// Service is what one entry has learned of a service's engines and of the prompts that it
// sends to them. The zero value has learned nothing; its methods are safe for concurrent
// use.
type Service struct {
	prefillRate RateEstimator
	// prefillTokens are the tokens of a prompt that its engine has to prefill, and kvTokens
	// those that the prompt and its answer take in the engine's memory.
	prefillTokens, kvTokens Mean
	// shortPrefillTokens are the tokens to prefill of the prompts that have no more of them
	// than the mean, and shortLatencyGoalMs the time in ms within which their first event is
	// on time.
	shortPrefillTokens, shortLatencyGoalMs Mean
	// outputTokenMs is the time in ms from the first event to the end of an answer, per token
	// of the answer's maximum length. Answers are mostly shorter than their maximum.
	outputTokenMs Mean
}

// ObservePrompt records what a prompt requires of its engine: tokens to prefill, tokens of memory,
// and the time within which its first event is on time.
func (f *Service) ObservePrompt(prefillTokens, kvTokens int, latencyGoal time.Duration) {
	f.prefillTokens.Observe(float64(prefillTokens))
	f.kvTokens.Observe(float64(kvTokens))

	if f.IsShort(prefillTokens) {
		f.shortPrefillTokens.Observe(float64(prefillTokens))
		f.shortLatencyGoalMs.Observe(float64(latencyGoal) / float64(time.Millisecond))
	}
}

// ObserveFirstEvent records the time to the first event of a prompt whose engine had nothing else to
// prefill and fetched no part of it.
func (f *Service) ObserveFirstEvent(prefillTokens int, first time.Duration) {
	f.prefillRate.Observe(prefillTokens, first)
}

// UsualFirstEvent returns the usual time to the first event of a prompt whose engine has nothing else to
// prefill; false if it isn't known or doesn't tell the speed of the engine.
func (f *Service) UsualFirstEvent(prefillTokens int) (usual time.Duration, ok bool) {
	return f.prefillRate.UsualTime(prefillTokens)
}

// ObserveAnswer records the time from the first event to the end of a complete answer with a
// maximum length of output tokens.
func (f *Service) ObserveAnswer(output int, after time.Duration) {
	if output > 0 {
		f.outputTokenMs.Observe(float64(after) / float64(time.Millisecond) / float64(output))
	}
}

// IsShort reports whether a number of tokens to prefill is no more than the mean.
func (f *Service) IsShort(prefillTokens int) bool {
	mean, _ := f.prefillTokens.Value()

	return float64(prefillTokens) <= mean
}

// AnswerTime returns the expected time from the first event to the end of an answer with a maximum
// length of output tokens; zero if no answer was complete yet.
func (f *Service) AnswerTime(output int) time.Duration {
	ms, _ := f.outputTokenMs.Value()

	return time.Duration(ms * float64(output) * float64(time.Millisecond))
}

// minPrompts is the number of prompts from which on their means tell short prompts from long ones.
const minPrompts = 16

// KnowsPrompts reports whether enough prompts were sent to tell short ones from long ones.
func (f *Service) KnowsPrompts() bool { return f.kvTokens.Count() >= minPrompts }

// MeanKVTokens returns the mean number of tokens of memory per prompt; zero if none was sent yet.
func (f *Service) MeanKVTokens() int {
	mean, _ := f.kvTokens.Value()

	return int(mean)
}

// TokensPerMs returns the prefill rate of the engines; zero if it is not known yet.
func (f *Service) TokensPerMs() float64 {
	rate, _ := f.prefillRate.TokensPerMs()

	return rate
}

// SharedPrefixConfig returns what is known for the routing of a prompt by its shared prefix, for
// engines with memoryTokens of memory. Values that are not known yet are zero.
func (f *Service) SharedPrefixConfig(memoryTokens int) route.PrefixConfig {
	cfg := route.PrefixConfig{MemoryTokens: memoryTokens, TokensPerMs: f.TokensPerMs()}
	cfg.PromptTokens, _ = f.prefillTokens.Value()
	cfg.ShortPromptTokens, _ = f.shortPrefillTokens.Value()

	goalMs, _ := f.shortLatencyGoalMs.Value()
	cfg.ShortPromptAim = time.Duration(goalMs * float64(time.Millisecond))

	return cfg
}
