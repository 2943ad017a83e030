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

// episodesPerCase is the number of action sequences in one test case.
const episodesPerCase = 4

// Processes are killed, paused and resumed, VMs are replaced, the log is down,
// loses responses and delays appends, and callers send the same request to any
// process that responds. The test guards against a second run of a key and
// against a "not run" response to a call that ran.
func TestClaimsUnderFailure(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		t.Run(fmt.Sprintf("refuse_in_outage=%v", refuse), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newTestEnv(refuse)
				w.rounds(t)

				for range episodesPerCase {
					t.Repeat(w.actions())
				}

				w.heal(t)
			})
		})
	}
}

// actions are the events that may happen in the environment.
func (w *testEnv) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":         w.oracle.check,
		"time":     w.passTime,
		"call":     w.callNew,
		"call2":    w.callNew,
		"resend":   w.resend,
		"resend2":  w.resend,
		"resend3":  w.resend,
		"fetch":    func(t *rapid.T) { w.fetch(w.drawRunning(t)) },
		"handle":   func(t *rapid.T) { w.handleFetched(w.drawRunning(t)) },
		"tick":     func(t *rapid.T) { w.tick(w.drawRunning(t)) },
		"rounds":   w.rounds,
		"rounds2":  w.rounds,
		"rounds3":  w.rounds,
		"send":     w.sendRecords,
		"late":     w.deliverDelayed,
		"execute":  w.execute,
		"execute2": w.execute,
		"past":     w.runOrphaned,
		"crash":    w.crash,
		"abandon":  w.abandon,
		"log":      func(*rapid.T) { w.logDown = !w.logDown },
		"outage":   w.outage,
		"cut":      func(t *rapid.T) { p := w.drawRunning(t); p.logUnreachable = !p.logUnreachable },
		"booking":  w.booking,
		"booking2": w.booking,
		"freeze":   w.pause,
		"wake":     w.resume,
		"kill":     w.kill,
		"replace":  w.replace,
		"list":     w.updateList,
		"drain":    w.drain,
		"snapshot": w.snapshot,
		"trim":     w.trim,
	}
}

// drawOwner draws a process to call: mostly one that considers itself the
// owner, since entries send calls there.
func (w *testEnv) drawOwner(t *rapid.T) *process {
	var owners []*process

	for _, p := range w.processes {
		if p.pausedSince.IsZero() && p.coordinator.IsOwner() {
			owners = append(owners, p)
		}
	}

	if len(owners) > 0 && rapid.IntRange(0, 5).Draw(t, "asked") > 0 {
		return owners[rapid.IntRange(0, len(owners)-1).Draw(t, "home")]
	}

	return w.drawRunning(t)
}

// drawRunning draws a process that isn't paused.
func (w *testEnv) drawRunning(t *rapid.T) *process {
	var all []*process

	for _, p := range w.processes {
		if p.pausedSince.IsZero() {
			all = append(all, p)
		}
	}

	if len(all) == 0 {
		t.Skip("all paused")
	}

	return all[rapid.IntRange(0, len(all)-1).Draw(t, "process")]
}

func (w *testEnv) passTime(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{
		time.Millisecond, 100 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second,
		time.Minute, 12 * time.Minute, 35 * time.Minute,
	}).Draw(t, "time")

	// Running processes tick often, whatever else is slow.
	for ; d > 2*time.Second; d -= 2 * time.Second {
		w.now = w.now.Add(2 * time.Second)

		for _, p := range w.processes {
			if p.pausedSince.IsZero() {
				w.tick(p)
			}
		}
	}

	w.now = w.now.Add(d)
}

func (w *testEnv) callNew(t *rapid.T) {
	key := "undated-" + strconv.Itoa(w.lastCall)

	if rapid.IntRange(0, 4).Draw(t, "dated") > 0 {
		ago := rapid.SampledFrom([]time.Duration{
			0, 0, time.Second, -2 * time.Second, -8 * time.Second, -time.Minute, 12 * time.Second, 5 * time.Minute, time.Hour,
		}).Draw(t, "ago")
		key = keyAt(w.now.Add(-ago), w.lastCall)
	}

	w.sendCall(w.drawOwner(t), w.newCall(key))
}

func (w *testEnv) resend(t *rapid.T) {
	if len(w.firstCalls) == 0 {
		t.Skip("nothing sent")
	}

	recent := w.firstCalls[max(0, len(w.firstCalls)-6):]
	c := recent[rapid.IntRange(0, len(recent)-1).Draw(t, "earlier")]

	// A key without an issue time is remembered for the key lifetime only, so its
	// caller must not retry later than that.
	if _, dated := IssueTime(c.key); !dated && w.now.Sub(c.at) > testKeyLifetime {
		t.Skip("too late to retry")
	}

	w.sendCall(w.drawOwner(t), w.repeatCall(c))
}

func (w *testEnv) handleFetched(p *process) {
	w.applyFetched(p)
	w.collectDecided(p)
	w.takeOutbox(p)
}

// outage takes the log down for long enough that every process detects it.
func (w *testEnv) outage(*rapid.T) {
	w.logDown = true

	for range 50 {
		w.round()
	}
}

// booking makes a call and waits for its run.
func (w *testEnv) booking(t *rapid.T) {
	w.callNew(t)
	w.rounds(t)
	w.execute(t)
}

// crash ends a process that may have run a call that the log doesn't hold, and
// lets the caller retry soon after.
func (w *testEnv) crash(t *rapid.T) {
	if rapid.Bool().Draw(t, "outage") {
		w.outage(t)
	}

	w.callNew(t)

	for _, p := range w.processes {
		w.collectDecided(p)
	}

	if i := slices.IndexFunc(w.processes, func(p *process) bool { return len(p.runnable) > 0 }); i >= 0 {
		p := w.processes[i]
		w.recordRun(p.runnable[0].call)
		p.runnable = p.runnable[1:]
		w.endProcess(t, p)

		if p.unlisted || rapid.Bool().Draw(t, "dropped") {
			w.startProcess(w.replaceVM(p.vm), w.drawSkew(t))
		} else {
			w.startProcess(p.vm, w.drawSkew(t))
		}
	}

	w.logDown = false
	w.rounds(t)
	w.updateList(t)
	w.rounds(t)
	w.resend(t)
}

func (w *testEnv) rounds(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "rounds") {
		w.round()
	}
}

// round lets every running process do all that is due and passes 100 ms.
func (w *testEnv) round() {
	for _, p := range w.processes {
		if !p.pausedSince.IsZero() {
			continue
		}

		w.appendUnsent(p, len(p.unsent))
		w.fetch(p)
		w.handleFetched(p)
		w.tick(p)
		w.collectDecided(p)
	}

	w.now = w.now.Add(100 * time.Millisecond)
}

// appendUnsent appends the first n unsent records of a process. An append whose
// result is unknown is repeated with the same records.
func (w *testEnv) appendUnsent(p *process, n int) {
	if w.logDown || p.logUnreachable || n == 0 {
		return
	}

	if p.inAppend > 0 {
		n = p.inAppend
	}

	w.appendRecords(p.unsent[:n]...)
	p.unsent, p.inAppend = slices.Clone(p.unsent[n:]), 0
}

// sendRecords appends some records, loses the response, or delays the append:
// in the last two cases the writer keeps the records and sends them again.
func (w *testEnv) sendRecords(t *rapid.T) {
	p := w.drawRunning(t)
	if w.logDown || p.logUnreachable || len(p.unsent) == 0 {
		t.Skip("nothing to send")
	}

	n := p.inAppend
	if n == 0 {
		n = rapid.IntRange(1, min(len(p.unsent), 4)).Draw(t, "records")
	}

	switch rapid.SampledFrom([]string{"landed", "lost", "late"}).Draw(t, "fate") {
	case "landed":
		w.appendUnsent(p, n)
	case "lost":
		w.appendRecords(p.unsent[:n]...)
		p.inAppend = n
	case "late":
		w.delayedAppends = append(w.delayedAppends, p.unsent[:n])
		p.inAppend = n
	}
}

func (w *testEnv) deliverDelayed(t *rapid.T) {
	if len(w.delayedAppends) == 0 || w.logDown {
		t.Skip("no delayed appends")
	}

	n := rapid.IntRange(0, len(w.delayedAppends)-1).Draw(t, "which")
	w.appendRecords(w.delayedAppends[n]...)
	w.delayedAppends = slices.Delete(w.delayedAppends, n, n+1)
}

// execute ends a ticket in one of the ways that a side process may use.
func (w *testEnv) execute(t *rapid.T) {
	p := w.drawRunning(t)
	if len(p.runnable) == 0 {
		t.Skip("no tickets")
	}

	pc := p.runnable[0]
	p.runnable = p.runnable[1:]

	switch rapid.SampledFrom([]string{"run", "run", "lose", "lose unrun", "withdraw"}).Draw(t, "end") {
	case "run":
		w.recordRun(pc.call)
		p.coordinator.Complete(pc.run, Outcome{Status: statusOf(pc.call.number)})
		pc.call.response = strconv.Itoa(statusOf(pc.call.number))
	case "lose":
		w.recordRun(pc.call)
		p.coordinator.MarkUnknown(pc.run)
	case "lose unrun":
		p.coordinator.MarkUnknown(pc.run)
	case "withdraw":
		p.coordinator.Withdraw(pc.run)
		w.recordRefusal(pc.call, failure.New(failure.QueueFull, "withdrawn"))
	}

	w.takeOutbox(p)
}

// abandon ends a call whose deadline has passed.
func (w *testEnv) abandon(t *rapid.T) {
	p := w.drawRunning(t)
	if len(p.waiting) == 0 {
		t.Skip("no waiting call")
	}

	pc := p.waiting[0]
	p.waiting = p.waiting[1:]

	if !p.coordinator.Abandon(pc.run, p.coordinator.outageError(w.clock(p))) {
		p.coordinator.Withdraw(pc.run)
	}

	w.recordRefusal(pc.call, p.coordinator.outageError(w.clock(p)))
	w.takeOutbox(p)
}

// runOrphaned lets a target run a call that a process had sent it before it
// ended.
func (w *testEnv) runOrphaned(t *rapid.T) {
	if len(w.orphanedCalls) == 0 {
		t.Skip("no orphaned calls")
	}

	w.recordRun(w.orphanedCalls[0].call)
	w.orphanedCalls = w.orphanedCalls[1:]
}

func (w *testEnv) pause(t *rapid.T) {
	p := w.drawRunning(t)
	if rapid.IntRange(0, 2).Draw(t, "freeze") == 0 {
		p.pausedSince = w.now
	}
}

// resume resumes a paused process. The platform may have removed its VM
// meanwhile, which it does only after a pause longer than MaxPause.
func (w *testEnv) resume(t *rapid.T) {
	i := slices.IndexFunc(w.processes, func(p *process) bool { return !p.pausedSince.IsZero() })
	if i < 0 {
		t.Skip("none paused")
	}

	p := w.processes[i]
	if earliest := p.pausedSince.Add(DefaultMaxPause + time.Second); p.unlisted && w.now.Before(earliest) {
		w.now = earliest
	}

	p.pausedSince = time.Time{}
}

// kill ends a process and starts another one on its VM. Calls that it had sent
// to its target may still run, and records that it had sent to the log may
// still arrive.
func (w *testEnv) kill(t *rapid.T) {
	p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")]
	w.endProcess(t, p)

	if !p.unlisted {
		w.startProcess(p.vm, w.drawSkew(t))
	}
}

func (w *testEnv) endProcess(t *rapid.T, p *process) {
	w.processes = slices.DeleteFunc(w.processes, func(o *process) bool { return o == p })

	for _, pc := range p.runnable {
		if rapid.Bool().Draw(t, "sent to the target") {
			w.orphanedCalls = append(w.orphanedCalls, pc)
		}
	}

	n := p.inAppend
	if n == 0 {
		n = min(len(p.unsent), 3)
	}

	if n > 0 && rapid.Bool().Draw(t, "sent to the log") {
		w.delayedAppends = append(w.delayedAppends, p.unsent[:n])
	}
}

func (w *testEnv) drawSkew(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(-2500, 2500).Draw(t, "skew")) * time.Millisecond
}

// replace removes the VM of a paused or ended process from the platform's list
// and starts a new VM.
func (w *testEnv) replace(t *rapid.T) {
	p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")]
	if p.unlisted {
		t.Skip("already removed")
	}

	if p.pausedSince.IsZero() || rapid.Bool().Draw(t, "dead") {
		w.endProcess(t, p)
	} else {
		p.unlisted = true
	}

	w.startProcess(w.replaceVM(p.vm), w.drawSkew(t))
}

func (w *testEnv) updateList(t *rapid.T) {
	p := w.drawRunning(t)
	p.listIndex = rapid.IntRange(p.listIndex, len(w.vmLists)-1).Draw(t, "version")
}

func (w *testEnv) drain(t *rapid.T) {
	p := w.drawRunning(t)
	if p.coordinator.IsOwner() && rapid.IntRange(0, 2).Draw(t, "yield") == 0 {
		p.coordinator.Yield()
	}
}

func (w *testEnv) snapshot(t *rapid.T) {
	p := w.drawRunning(t)
	if w.logDown || p.logUnreachable || !p.coordinator.IsOwner() || p.coordinator.behind || p.position < w.firstKept {
		t.Skip("not the owner")
	}

	w.writeSnapshot(p)
}

// trim deletes records that are older than the log's retention.
func (w *testEnv) trim(t *rapid.T) {
	w.firstKept = rapid.IntRange(w.firstKept, w.expired()).Draw(t, "first")
}

// expired returns the first record within the log's retention.
func (w *testEnv) expired() int {
	n := w.firstKept
	for n < len(w.stream) && w.now.Sub(w.stream[n].at) > testLogRetention {
		n++
	}

	return n
}

// heal ends all faults, and the log deletes expired records. A new call must
// then run on exactly one process.
func (w *testEnv) heal(t *rapid.T) {
	w.logDown = false
	w.firstKept = w.expired()

	for _, p := range slices.Clone(w.processes) {
		if p.unlisted {
			w.processes = slices.DeleteFunc(w.processes, func(o *process) bool { return o == p })
		}

		p.pausedSince, p.logUnreachable = time.Time{}, false
	}

	for range 2000 {
		for _, p := range w.processes {
			p.listIndex = len(w.vmLists) - 1

			for _, pc := range p.runnable {
				w.recordRun(pc.call)
				p.coordinator.Complete(pc.run, Outcome{Status: statusOf(pc.call.number)})
			}

			p.runnable = nil
		}

		w.round()
	}

	w.oracle.check(t)

	for _, p := range w.processes {
		w.sendCall(p, w.newCall(keyAt(w.now, w.lastCall)))
	}

	for range 20 {
		w.round()
	}

	tickets := 0
	for _, p := range w.processes {
		tickets += len(p.runnable)
	}

	if tickets != 1 {
		t.Fatalf("after all faults ended: got %d processes that run a booking, want 1", tickets)
	}
}
