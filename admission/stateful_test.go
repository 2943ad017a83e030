package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// oracle knows what was done to a queue and checks what the queue decides.
type oracle struct {
	q        *Queue
	now      time.Time
	waiting  []*Ticket
	entered  map[*Ticket]time.Time
	passed   map[*Ticket]time.Time // when a long prompt behind it was first admitted
	running  []int                 // tokens of memory in use by each prompt in flight
	free     int
	lastSlot time.Time
	size     int
}

// before reports whether a prompt comes before another one of the same organisation.
func (o *oracle) before(a, b *Ticket) bool {
	late := func(t *Ticket) bool { return t.prompt.Obstacle.Late || !o.now.Before(t.prompt.Target) }

	switch {
	case a.prompt.Started != b.prompt.Started:
		return a.prompt.Started
	case !a.prompt.Started && a.prompt.Rank != b.prompt.Rank:
		return a.prompt.Rank < b.prompt.Rank
	case !a.prompt.Started && late(a) != late(b):
		return !late(a)
	}

	x, y := a.prompt.Target, b.prompt.Target
	if late(a) || a.prompt.Started {
		x, y = a.prompt.Deadline, b.prompt.Deadline
	}

	return x.Before(y) || x.Equal(y) && a.sequence < b.sequence
}

// dueForReservation reports whether a prompt was overtaken for a quarter of its latency target, and
// not for so long that its reservation may have ended.
func (o *oracle) dueForReservation(t *Ticket) bool {
	since, ok := o.passed[t]
	quarter := t.prompt.LatencyTarget / 4

	return ok && o.now.Sub(since) >= quarter && o.now.Sub(since) <= quarter+t.prompt.LatencyTarget
}

func (o *oracle) remove(t *Ticket) {
	o.waiting = slices.DeleteFunc(o.waiting, func(x *Ticket) bool { return x == t })
}

func (o *oracle) checkRefusals(rt *rapid.T, all []Refusal) {
	for _, r := range slices.Backward(all) {
		o.remove(r.Ticket)

		latest := max(r.Ticket.prompt.Deadline.Sub(o.now)/3, 0)
		if r.RetryAfter > latest+1 || r.RetryAfter < 0 {
			rt.Fatalf("got Retry-After %v, want at most a third of the remaining time, %v", r.RetryAfter, latest)
		}

		if r.RetryAfter < latest-1 {
			slot := o.now.Add(r.RetryAfter)
			if !slot.After(o.lastSlot) {
				rt.Fatalf("got a return at %v, want it after the one before, %v", slot, o.lastSlot)
			}

			o.lastSlot = slot
		}
	}
}

func (o *oracle) enter(rt *rapid.T) {
	p := Prompt{
		Rank: rapid.IntRange(0, 2).Draw(rt, "rank"), Started: rapid.IntRange(0, 9).Draw(rt, "started") == 0,
		MemoryTokens: rapid.IntRange(400, 60_000).Draw(rt, "tokens"), LatencyTarget: 600 * time.Millisecond,
		Deadline: o.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(rt, "deadline")) * time.Millisecond),
	}
	p.Short = p.MemoryTokens < 2000
	p.Obstacle.Late = rapid.IntRange(0, 5).Draw(rt, "late") == 0
	p.Target = o.now.Add(time.Duration(rapid.IntRange(-100, 600).Draw(rt, "target")) * time.Millisecond)

	t, refused := o.q.Enter(o.now, p)
	o.waiting = append(o.waiting, t)
	o.entered[t] = o.now

	full := len(o.waiting) > o.size
	if full && len(refused) == 0 {
		rt.Fatal("the queue is full: got no refusal")
	}

	o.checkRefusals(rt, refused)
}

// round runs a round in which prompts are sent that fit into the free memory.
func (o *oracle) round(rt *rapid.T) {
	o.q.StartRound(o.now)

	for t := o.q.Next(o.now); t != nil; t = o.q.Next(o.now) {
		if t.prompt.MemoryTokens > o.free {
			o.q.Failed(t, Obstacle{Late: t.prompt.Obstacle.Late})

			continue
		}

		o.checkOvertaking(rt, t)
		o.q.Admit(o.now, t)
		o.remove(t)

		o.free -= t.prompt.MemoryTokens
		o.running = append(o.running, t.prompt.MemoryTokens)
	}

	if len(o.waiting) == 0 || o.q.Holder(o.now) != nil {
		return
	}

	smallest := slices.MinFunc(o.waiting, func(a, b *Ticket) int { return a.prompt.MemoryTokens - b.prompt.MemoryTokens })
	if smallest.prompt.MemoryTokens <= o.free {
		rt.Fatalf("got %d tokens of memory left unused, in which a prompt of %d that waits fits", o.free, smallest.prompt.MemoryTokens)
	}
}

// checkOvertaking checks that a long prompt that is admitted passes none that holds a reservation.
func (o *oracle) checkOvertaking(rt *rapid.T, t *Ticket) {
	if t.prompt.Short || t.prompt.Started {
		return
	}

	for _, w := range o.waiting {
		if w == t || !o.before(w, t) {
			continue
		}

		if !w.prompt.Started && o.dueForReservation(w) && !o.dueForReservation(t) {
			rt.Fatalf("got a long prompt past one that was overtaken since %v, at %v", o.passed[w], o.now)
		}

		if _, ok := o.passed[w]; !ok {
			o.passed[w] = o.now
		}
	}
}

func (o *oracle) check(rt *rapid.T) {
	if o.q.Len() != len(o.waiting) || o.q.Len() > o.size {
		rt.Fatalf("got %d waiting, want %d and at most %d", o.q.Len(), len(o.waiting), o.size)
	}
}

// Prompts of all kinds come, wait, leave and are sent, while memory is freed at any time. Guards
// against prompts that wait for longer than half of their time, against capacity that is left unused
// though a prompt fits, against long prompts that pass one with a reservation, against refused
// callers that return out of order, and against a queue that grows.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := &oracle{
			size: 24, now: epoch, entered: map[*Ticket]time.Time{}, passed: map[*Ticket]time.Time{},
			free: rapid.IntRange(0, 150_000).Draw(rt, "free"),
		}
		o.q = New(Config{Size: o.size})

		rt.Repeat(map[string]func(*rapid.T){
			"enter": o.enter,
			"burst": func(rt *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(rt, "prompts") {
					o.enter(rt)
				}
			},
			"round": o.round,
			"end": func(rt *rapid.T) {
				if len(o.running) == 0 {
					rt.Skip()
				}

				i := rapid.IntRange(0, len(o.running)-1).Draw(rt, "which")
				o.free += o.running[i]
				o.running = slices.Delete(o.running, i, i+1)
			},
			"leave": func(rt *rapid.T) {
				if len(o.waiting) == 0 {
					rt.Skip()
				}

				t := rapid.SampledFrom(o.waiting).Draw(rt, "who")
				o.q.Leave(o.now, t)
				o.remove(t)
			},
			"pass": func(rt *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond)
				o.checkRefusals(rt, o.q.Sweep(o.now))

				for _, t := range o.waiting {
					if whole := t.prompt.Deadline.Sub(o.entered[t]); !t.prompt.Started && o.now.Sub(o.entered[t]) >= whole/2 {
						rt.Fatalf("got a prompt that has waited %v of %v", o.now.Sub(o.entered[t]), whole)
					}
				}
			},
			"": o.check,
		})
	})
}
