package route

import "time"

// Admission is the admission decision for a prompt.
type Admission uint8

// The admission decisions.
const (
	// SendNow means that the prompt is sent now.
	SendNow Admission = iota
	// Hold means that the prompt waits at the entry until engines have less to prefill.
	Hold
	// TooLate means that the first event can't be on time; the prompt is refused.
	TooLate
)

// String returns the snake-case name of a.
func (a Admission) String() string { return [...]string{"send_now", "hold", "too_late"}[a] }

// longPromptQueueShare is the part of ShortPromptAim that the prefill queue of an engine
// may take for a long prompt to be sent there.
const longPromptQueueShare = 0.25

// admit returns whether a prompt is sent to an engine that has a prefill queue of the
// given length.
//
// When more prompts arrive than engines can prefill, as after a change of weights,
// queues would grow until all answers are late, and engines would prefill prompts whose
// callers have disconnected. So a prompt that can't be on time is refused at once: it
// costs its engine nothing, and the caller can retry when the queue is shorter.
//
// Long prompts mostly have long aims. If they were sent as long as they are on time,
// engines would always have that much to prefill, and every short prompt, whose aim is
// shorter, would be late or refused. So prompts without a short prefill are held while
// the queue is longer than longPromptQueueShare of ShortPromptAim.
//
// Until the speed of the engines is measured, prompts are admitted without a check: the
// default speed is that of the slowest engines and would refuse too many.
func (c PrefixConfig) admit(r PrefixRequest, wait time.Duration, shortPrefill bool) Admission {
	switch {
	case c.TokensPerMs <= 0 || r.Aim <= 0:
		return SendNow
	case wait > r.Aim:
		return TooLate
	case !shortPrefill && c.ShortPromptAim > 0 && wait > time.Duration(longPromptQueueShare*float64(c.ShortPromptAim)):
		return Hold
	default:
		return SendNow
	}
}
