package roster

import (
	"time"

	"boragehub/pulse"
)

// A machine that stands still keeps its connections, and takes new ones: nothing
// fails, nothing answers. An entry notices that neither pulses nor bytes of answers
// come from one target while they come from others. Sent there all the same,
// requests wait until their callers leave, and the target works on them for nobody
// when it goes on.

// Looks without a sign of life, by calls of Tick, at the shortest pace of pulses. Looks
// are counted instead of time, as time also passes while this process stands still.
const (
	// quietLooks is after how many a target is suspected: four or more pulses are
	// missing then, which doesn't happen by loss.
	quietLooks = 2
	// silentLooks is after how many what waits there is given up, 0.75 to 1 s
	// after the last sign. Callers leave a stream that shows nothing after two
	// seconds at the least, and some have waited for a while before.
	silentLooks = 4
)

// lateAfter is after how long without a sign of life a target is late, at the shortest
// pace of pulses, on which a busy machine is a little late. One that is lost makes its
// target late as well.
const lateAfter = 150 * time.Millisecond

// life is what is known of a target's signs of life.
type life struct {
	beats   bool      // a pulse came once, so that they may be missed
	heard   bool      // since the last look
	unheard int       // looks since it was heard
	at      time.Time // when it was heard
}

// hear takes a sign of life.
func (l *life) hear(now time.Time) { l.heard, l.unheard, l.at = true, 0, now }

// lookEvery is the pause between two looks.
const lookEvery = 250 * time.Millisecond

// longer returns how many looks more than at the shortest pace it takes until so many
// of an engine's pulses are missing.
func (e *engine) longer(pulses int) int {
	more := time.Duration(pulses) * max(e.pulse.Pace-pulse.Every, 0)

	return int((more + lookEvery - 1) / lookEvery)
}

// quiet reports whether signs of life are missing.
func (e *engine) quiet() bool { return e.life.unheard >= quietLooks+e.longer(quietLooks) }

// silent reports whether nothing is to be expected of the engine.
func (e *engine) silent() bool { return e.life.unheard >= silentLooks+e.longer(silentLooks) }

// Heard takes that bytes came from a target.
func (r *Roster) Heard(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e, ok := r.engines[id]; ok {
		e.life.hear(now)
		r.heardAt = now
	}
}

// Late reports whether a target's next pulse is overdue while others are heard. It tells
// so long before the target is suspected, and is wrong whenever a pulse is lost: it serves
// where there is no time to wait for more and being wrong costs little.
func (r *Roster) Late(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	e, ok := r.engines[id]

	// What counts is how long others were heard after it: while this process stands
	// still, nobody is.
	return ok && e.life.beats && r.heardAt.Sub(e.life.at) > lateAfter+max(e.pulse.Pace-pulse.Every, 0)
}

// Silent returns the targets that were not heard for so long that nothing is to be
// expected of them.
func (r *Roster) Silent() []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	var all []string

	for id, e := range r.engines {
		if e.silent() {
			all = append(all, id)
		}
	}

	return all
}

// How long a target counts as standing still.
const (
	// stillRest is for how long after it was heard again: what was under way there
	// comes to its end first.
	stillRest = time.Second
	// stillDropped is for how long after the register dropped one that was not heard.
	// It drops those that stand still after some four seconds, and they go on some
	// seconds later.
	stillDropped = 6 * time.Second
)

// Still reports whether a target stands still, or did until a moment ago.
func (r *Roster) Still(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return now.Before(r.still)
}

// standStill notes that a target counts as standing still for so long. The caller
// holds mu.
func (r *Roster) standStill(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(r.still) {
		r.still = until
	}
}

// look counts the looks at which targets were not heard. When none was heard, this
// process is the one that stood still or is cut off, and nothing is counted. The
// caller holds mu.
func (r *Roster) look(now time.Time) {
	anyone := false

	for _, e := range r.engines {
		anyone = anyone || e.life.heard
	}

	if !anyone {
		return
	}

	for _, e := range r.engines {
		if e.life.beats && !e.life.heard {
			e.life.unheard++
		}

		e.life.heard = false

		if e.quiet() {
			r.standStill(now, stillRest)
		}
	}
}

// beat takes a pulse as a sign of life.
func (e *engine) beat(now time.Time) {
	e.pulseAt = now
	e.life.beats = true
	e.life.hear(now)
}
