package claim

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
)

// episodes is how many sequences of actions make one case.
const episodes = 4

// Processes are killed, frozen and woken, VMs replaced, the log goes away,
// loses answers and carries appends out late, and callers send the same booking
// to whoever answers. A family that sees two bookings on its bill would notice
// the fault, and so would one that was told "not run" and has a booking.
func TestClaimsUnderFailure(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		t.Run(fmt.Sprintf("refuse_in_outage=%v", refuse), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(refuse)
				w.rounds(t)

				for range episodes {
					t.Repeat(w.actions())
				}

				w.heal(t)
			})
		})
	}
}

// actions are what may happen to the world.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":         w.wit.check,
		"time":     w.passTime,
		"call":     w.callNew,
		"call2":    w.callNew,
		"resend":   w.resend,
		"resend2":  w.resend,
		"resend3":  w.resend,
		"fetch":    func(t *rapid.T) { w.fetch(w.awake(t)) },
		"handle":   func(t *rapid.T) { w.handleOne(w.awake(t)) },
		"tick":     func(t *rapid.T) { w.tick(w.awake(t)) },
		"rounds":   w.rounds,
		"rounds2":  w.rounds,
		"rounds3":  w.rounds,
		"send":     w.sendRecords,
		"late":     w.arriveLate,
		"execute":  w.execute,
		"execute2": w.execute,
		"past":     w.executePast,
		"crash":    w.crash,
		"abandon":  w.abandon,
		"log":      func(*rapid.T) { w.down = !w.down },
		"outage":   w.outage,
		"cut":      func(t *rapid.T) { p := w.awake(t); p.cut = !p.cut },
		"booking":  w.booking,
		"booking2": w.booking,
		"freeze":   w.freeze,
		"wake":     w.wake,
		"kill":     w.kill,
		"replace":  w.replace,
		"list":     w.learnList,
		"drain":    w.drain,
		"snapshot": w.snapshot,
		"trim":     w.trim,
	}
}

// asked draws a process to call: mostly one that holds itself for the home, as
// entries do.
func (w *world) asked(t *rapid.T) *process {
	var homes []*process

	for _, p := range w.procs {
		if p.frozen.IsZero() && p.desk.Home() {
			homes = append(homes, p)
		}
	}

	if len(homes) > 0 && rapid.IntRange(0, 5).Draw(t, "asked") > 0 {
		return homes[rapid.IntRange(0, len(homes)-1).Draw(t, "home")]
	}

	return w.awake(t)
}

// awake draws a process that isn't frozen.
func (w *world) awake(t *rapid.T) *process {
	var all []*process

	for _, p := range w.procs {
		if p.frozen.IsZero() {
			all = append(all, p)
		}
	}

	if len(all) == 0 {
		t.Skip("all frozen")
	}

	return all[rapid.IntRange(0, len(all)-1).Draw(t, "process")]
}

func (w *world) passTime(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{
		time.Millisecond, 100 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second,
		time.Minute, 12 * time.Minute, 35 * time.Minute,
	}).Draw(t, "time")

	// Processes that are awake look at the time often, whatever else is slow.
	for ; d > 2*time.Second; d -= 2 * time.Second {
		w.now = w.now.Add(2 * time.Second)

		for _, p := range w.procs {
			if p.frozen.IsZero() {
				w.tick(p)
			}
		}
	}

	w.now = w.now.Add(d)
}

func (w *world) callNew(t *rapid.T) {
	key := "undated-" + strconv.Itoa(w.count)

	if rapid.IntRange(0, 4).Draw(t, "dated") > 0 {
		ago := rapid.SampledFrom([]time.Duration{
			0, 0, time.Second, -2 * time.Second, -8 * time.Second, -time.Minute, 12 * time.Second, 5 * time.Minute, time.Hour,
		}).Draw(t, "ago")
		key = keyAt(w.now.Add(-ago), w.count)
	}

	w.submit(w.asked(t), w.newSend(key))
}

func (w *world) resend(t *rapid.T) {
	if len(w.keys) == 0 {
		t.Skip("nothing sent")
	}

	recent := w.keys[max(0, len(w.keys)-6):]
	s := recent[rapid.IntRange(0, len(recent)-1).Draw(t, "earlier")]

	// A key that doesn't tell its age is remembered for a stated time only, so its
	// caller must not send it again later than that.
	if _, dated := Issued(s.key); !dated && w.now.Sub(s.at) > worldMemory {
		t.Skip("too late to repeat")
	}

	w.submit(w.asked(t), w.again(s))
}

func (w *world) handleOne(p *process) {
	w.handle(p)
	w.collect(p)
	w.flush(p)
}

// outage takes the log away for long enough that everyone notices.
func (w *world) outage(*rapid.T) {
	w.down = true

	for range 50 {
		w.round()
	}
}

// booking makes a call and waits for its run.
func (w *world) booking(t *rapid.T) {
	w.callNew(t)
	w.rounds(t)
	w.execute(t)
}

// crash ends a process that may have run something which the log doesn't hold,
// and lets its caller try again soon after.
func (w *world) crash(t *rapid.T) {
	if rapid.Bool().Draw(t, "outage") {
		w.outage(t)
	}

	w.callNew(t)

	for _, p := range w.procs {
		w.collect(p)
	}

	if i := slices.IndexFunc(w.procs, func(p *process) bool { return len(p.tickets) > 0 }); i >= 0 {
		p := w.procs[i]
		w.run(p.tickets[0].send)
		p.tickets = p.tickets[1:]
		w.end(t, p)

		if p.gone || rapid.Bool().Draw(t, "dropped") {
			w.start(w.drop(p.vm), w.skew(t))
		} else {
			w.start(p.vm, w.skew(t))
		}
	}

	w.down = false
	w.rounds(t)
	w.learnList(t)
	w.rounds(t)
	w.resend(t)
}

func (w *world) rounds(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "rounds") {
		w.round()
	}
}

// round lets everyone who is awake do all that is due and passes some time.
func (w *world) round() {
	for _, p := range w.procs {
		if !p.frozen.IsZero() {
			continue
		}

		w.land(p, len(p.out))
		w.fetch(p)
		w.handleOne(p)
		w.tick(p)
		w.collect(p)
	}

	w.now = w.now.Add(100 * time.Millisecond)
}

// land appends the first n records that a process wants to write. An append
// that was tried is tried again as it was.
func (w *world) land(p *process, n int) {
	if w.down || p.cut || n == 0 {
		return
	}

	if p.tried > 0 {
		n = p.tried
	}

	w.enter(p.out[:n]...)
	p.out, p.tried = slices.Clone(p.out[n:]), 0
}

// sendRecords appends some records, or loses the answer, or leaves them on the
// way: the writer then keeps them and sends them again.
func (w *world) sendRecords(t *rapid.T) {
	p := w.awake(t)
	if w.down || p.cut || len(p.out) == 0 {
		t.Skip("nothing to send")
	}

	n := p.tried
	if n == 0 {
		n = rapid.IntRange(1, min(len(p.out), 4)).Draw(t, "records")
	}

	switch rapid.SampledFrom([]string{"landed", "lost", "late"}).Draw(t, "fate") {
	case "landed":
		w.land(p, n)
	case "lost":
		w.enter(p.out[:n]...)
		p.tried = n
	case "late":
		w.late = append(w.late, p.out[:n])
		p.tried = n
	}
}

func (w *world) arriveLate(t *rapid.T) {
	if len(w.late) == 0 || w.down {
		t.Skip("nothing late")
	}

	n := rapid.IntRange(0, len(w.late)-1).Draw(t, "which")
	w.enter(w.late[n]...)
	w.late = slices.Delete(w.late, n, n+1)
}

// execute brings a ticket to an end in one of the ways that a side process may.
func (w *world) execute(t *rapid.T) {
	p := w.awake(t)
	if len(p.tickets) == 0 {
		t.Skip("no tickets")
	}

	f := p.tickets[0]
	p.tickets = p.tickets[1:]

	switch rapid.SampledFrom([]string{"run", "run", "lose", "lose unrun", "withdraw"}).Draw(t, "end") {
	case "run":
		w.run(f.send)
		p.desk.Settle(f.run, Outcome{Status: statusOf(f.send.number)})
		f.send.answer = strconv.Itoa(statusOf(f.send.number))
	case "lose":
		w.run(f.send)
		p.desk.Lose(f.run)
	case "lose unrun":
		p.desk.Lose(f.run)
	case "withdraw":
		p.desk.Withdraw(f.run)
		w.refused(f.send, failure.New(failure.QueueFull, "withdrawn"))
	}

	w.flush(p)
}

// abandon ends a call whose caller's deadline has passed.
func (w *world) abandon(t *rapid.T) {
	p := w.awake(t)
	if len(p.waiting) == 0 {
		t.Skip("none waits")
	}

	f := p.waiting[0]
	p.waiting = p.waiting[1:]

	if !p.desk.Abandon(f.run, p.desk.refusal(w.clock(p))) {
		p.desk.Withdraw(f.run)
	}

	w.refused(f.send, p.desk.refusal(w.clock(p)))
	w.flush(p)
}

// executePast lets a target carry out what a process had sent it before it died.
func (w *world) executePast(t *rapid.T) {
	if len(w.past) == 0 {
		t.Skip("nothing on the way")
	}

	w.run(w.past[0].send)
	w.past = w.past[1:]
}

func (w *world) freeze(t *rapid.T) {
	p := w.awake(t)
	if rapid.IntRange(0, 2).Draw(t, "freeze") == 0 {
		p.frozen = w.now
	}
}

// wake lets a frozen process go on. The platform may have dropped its VM
// meanwhile; it does that only to one that stood still for longer than MaxPause.
func (w *world) wake(t *rapid.T) {
	i := slices.IndexFunc(w.procs, func(p *process) bool { return !p.frozen.IsZero() })
	if i < 0 {
		t.Skip("none frozen")
	}

	p := w.procs[i]
	if least := p.frozen.Add(DefaultMaxPause + time.Second); p.gone && w.now.Before(least) {
		w.now = least
	}

	p.frozen = time.Time{}
}

// kill ends a process; another one starts on its VM. What it had sent to its
// target may still run, and what it had sent to the log may still arrive.
func (w *world) kill(t *rapid.T) {
	p := w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, "process")]
	w.end(t, p)

	if !p.gone {
		w.start(p.vm, w.skew(t))
	}
}

func (w *world) end(t *rapid.T, p *process) {
	w.procs = slices.DeleteFunc(w.procs, func(o *process) bool { return o == p })

	for _, f := range p.tickets {
		if rapid.Bool().Draw(t, "sent to the target") {
			w.past = append(w.past, f)
		}
	}

	n := p.tried
	if n == 0 {
		n = min(len(p.out), 3)
	}

	if n > 0 && rapid.Bool().Draw(t, "sent to the log") {
		w.late = append(w.late, p.out[:n])
	}
}

func (w *world) skew(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(-2500, 2500).Draw(t, "skew")) * time.Millisecond
}

// replace has the platform drop a VM that is dead or stands still, and start a
// new one.
func (w *world) replace(t *rapid.T) {
	p := w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, "process")]
	if p.gone {
		t.Skip("gone already")
	}

	if p.frozen.IsZero() || rapid.Bool().Draw(t, "dead") {
		w.end(t, p)
	} else {
		p.gone = true
	}

	w.start(w.drop(p.vm), w.skew(t))
}

func (w *world) learnList(t *rapid.T) {
	p := w.awake(t)
	p.listed = rapid.IntRange(p.listed, len(w.fleets)-1).Draw(t, "version")
}

func (w *world) drain(t *rapid.T) {
	p := w.awake(t)
	if p.desk.Home() && rapid.IntRange(0, 2).Draw(t, "yield") == 0 {
		p.desk.Yield()
	}
}

func (w *world) snapshot(t *rapid.T) {
	p := w.awake(t)
	if w.down || p.cut || !p.desk.Home() || p.desk.behind || p.position < w.first {
		t.Skip("no home")
	}

	w.save(p)
}

// trim forgets records that are older than the log promises to keep.
func (w *world) trim(t *rapid.T) {
	w.first = rapid.IntRange(w.first, w.expired()).Draw(t, "first")
}

// expired returns the first record that the log promises to keep.
func (w *world) expired() int {
	n := w.first
	for n < len(w.stream) && w.now.Sub(w.stream[n].at) > worldRetention {
		n++
	}

	return n
}

// heal ends all faults, and the log forgets what is due. A new booking must
// then run on some process.
func (w *world) heal(t *rapid.T) {
	w.down = false
	w.first = w.expired()

	for _, p := range slices.Clone(w.procs) {
		if p.gone {
			w.procs = slices.DeleteFunc(w.procs, func(o *process) bool { return o == p })
		}

		p.frozen, p.cut = time.Time{}, false
	}

	for range 2000 {
		for _, p := range w.procs {
			p.listed = len(w.fleets) - 1

			for _, f := range p.tickets {
				w.run(f.send)
				p.desk.Settle(f.run, Outcome{Status: statusOf(f.send.number)})
			}

			p.tickets = nil
		}

		w.round()
	}

	w.wit.check(t)

	for _, p := range w.procs {
		w.submit(p, w.newSend(keyAt(w.now, w.count)))
	}

	for range 20 {
		w.round()
	}

	tickets := 0
	for _, p := range w.procs {
		tickets += len(p.tickets)
	}

	if tickets != 1 {
		t.Fatalf("after all faults ended: got %d processes that run a booking, want 1", tickets)
	}
}
