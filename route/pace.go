package route

import "time"

// Pace is whether a prompt is sent now.
type Pace uint8

// The paces.
const (
	// SendNow is for a prompt whose turn at the engine comes in time.
	SendNow Pace = iota
	// Hold is for one that had better wait at the entry.
	Hold
	// TooLate is for one whose first event can't be on time.
	TooLate
)

// String returns the snake-case name of p.
func (p Pace) String() string { return [...]string{"send_now", "hold", "too_late"}[p] }

// queueShare is the part of the quick prompts' aim for which engines may have other
// prompts to read when a long one is sent.
const queueShare = 0.25

// pace returns whether a prompt is sent to an engine that reads others for so long first.
//
// When more comes than engines can read, as after new weights, queues grow until all
// answers are late, and engines read prompts whose callers have left meanwhile. A prompt
// that can't be on time is refused at once instead; it costs its engine nothing and may
// come back when its turn is near.
//
// Long prompts mostly have long aims. Were they sent for as long as they are on time,
// engines would always have that much to read, and every short prompt, whose aim is less,
// would be late or refused: riders at the curb would wait for the planning office. So
// what isn't quick is held while engines have much to read.
//
// Before the engines' speed is known they are taken for the slowest there are, and
// nothing is refused for that.
func (c OpeningConfig) pace(r OpeningRequest, wait time.Duration, quick bool) Pace {
	switch {
	case c.TokensPerMs <= 0 || r.Aim <= 0:
		return SendNow
	case wait > r.Aim:
		return TooLate
	case !quick && c.QuickAim > 0 && wait > time.Duration(queueShare*float64(c.QuickAim)):
		return Hold
	default:
		return SendNow
	}
}
