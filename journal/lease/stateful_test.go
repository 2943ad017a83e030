package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
	"boragehub/journal"
)

var timing = Timing{Duration: 15 * time.Second, Margin: 4 * time.Second, RenewInterval: 4 * time.Second}

// process competes for the lease. Its clock has its own start and speed.
type process struct {
	name        string
	base        time.Time
	speed       float64
	table       *Table
	view        View
	nonce       uint64
	sentAt      map[uint64]time.Time
	next        int  // index of the record to read next
	partitioned bool // partitioned from the log, so that it can't read it
	paused      bool
	orders      []uint64 // fencing numbers of orders decided on but not sent yet
}

// testEnv holds the processes that compete for one lease, their log and the
// target of their orders.
type testEnv struct {
	now      time.Duration
	down     bool
	records  []journal.Record
	inFlight [][]byte
	procs    []*process
	guard    Guard
	executed []uint64
}

func newTestEnv() *testEnv {
	e := &testEnv{}

	for i := range 3 {
		e.procs = append(e.procs, &process{
			name: fmt.Sprintf("p%d", i), base: time.Unix(int64(1000*i), 0), speed: 1 + float64(i-1)/10,
			table: NewTable(), view: View{Self: fmt.Sprintf("p%d", i)}, sentAt: map[uint64]time.Time{},
		})
	}

	return e
}

func (e *testEnv) clock(p *process) time.Time {
	return p.base.Add(time.Duration(float64(e.now) * p.speed))
}

// step lets a process read the log, if it can reach it, and send a record if one
// is due.
func (e *testEnv) step(p *process) {
	now := e.clock(p)

	if !e.down && !p.partitioned {
		e.read(now, p)
	}

	c := leaseRecord{Name: "duty", Holder: p.name, DurationMS: timing.Duration.Milliseconds()}

	switch Next(now, timing, p.view) {
	case Take:
		c.Action = take
	case Renew:
		c.Action, c.Fence = renew, p.view.Fence
	case Wait:
		return
	}

	p.nonce++
	c.Nonce = p.nonce
	p.sentAt[p.nonce] = now
	p.view.LastRequest = now
	e.inFlight = append(e.inFlight, encode(c))
}

// read applies the records that the process hasn't read yet.
func (e *testEnv) read(now time.Time, p *process) {
	for ; p.next < len(e.records); p.next++ {
		before, _ := p.table.Lease("duty")

		if err := p.table.Apply(e.records[p.next]); err != nil {
			panic(err)
		}

		p.view.Lease, p.view.Held = p.table.Lease("duty")
		if p.view.Lease == before {
			continue
		}

		p.view.RenewalSeen = now

		if p.view.Held && p.view.Lease.Holder == p.name {
			p.view.Fence, p.view.RenewalSent = p.view.Lease.Fence, p.sentAt[p.view.Lease.Nonce]
		}
	}
}

// round runs a step of each process that isn't paused and appends the records
// that they sent if the log is available. It takes a second.
func (e *testEnv) round() {
	for _, p := range e.procs {
		if !p.paused {
			e.step(p)
		}
	}

	for i := 0; !e.down && i < len(e.inFlight); i++ {
		e.arrive(i)
	}

	if !e.down {
		e.inFlight = nil
	}

	e.now += time.Second
}

// arrive appends a record in flight to the log. It stays in flight, so that it
// can arrive twice.
func (e *testEnv) arrive(i int) {
	e.records = append(e.records, journal.Record{
		Offset: uint64(len(e.records) + 1), At: time.Unix(1e6, 0).Add(e.now), Data: e.inFlight[i],
	})
}

// decide lets a process decide on an order if it may act on its lease.
func (e *testEnv) decide(p *process) {
	if Valid(e.clock(p), timing, p.view) {
		p.orders = append(p.orders, p.view.Fence)
	}
}

// order sends the oldest order that a process decided on, however long ago.
func (e *testEnv) order(t *rapid.T, p *process) {
	if len(p.orders) == 0 {
		t.Skip("no order to send")
	}

	fence := p.orders[0]
	p.orders = p.orders[1:]

	err := e.guard.Check(fence)

	switch {
	case err == nil:
		e.executed = append(e.executed, fence)
	case failure.KindOf(err) != failure.StaleFence:
		t.Fatalf("order with fence %d: got error %v, want it executed or failure.StaleFence", fence, err)
	}
}

// check fails when two processes may act at once, or when the target executed an
// order of an earlier holder after one of a later holder.
func (e *testEnv) check(t *rapid.T) {
	acting := ""

	for _, p := range e.procs {
		if !Valid(e.clock(p), timing, p.view) {
			continue
		}

		if acting != "" {
			t.Fatalf("got %s and %s acting at once, want one", acting, p.name)
		}

		acting = p.name
	}

	for i := 1; i < len(e.executed); i++ {
		if e.executed[i] < e.executed[i-1] {
			t.Fatalf("orders executed with fences %v, want none lower than the one before it", e.executed)
		}
	}
}

// A holder is paused past the end of its lease and resumes with an order to send,
// the log is unavailable for a while, and records arrive twice, late or never.
// If two processes acted at once, engines would load two versions alternately,
// and a target that executed the older holder's order last would keep the wrong
// version.
func TestLeaseUnderFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newTestEnv()
		drawRunning := func(t *rapid.T) *process {
			p := e.procs[rapid.IntRange(0, len(e.procs)-1).Draw(t, "process")]
			if p.paused {
				t.Skip("process is paused")
			}

			return p
		}
		advanceTime := func(t *rapid.T) {
			e.now += time.Duration(rapid.IntRange(1, 6000).Draw(t, "time")) * time.Millisecond
		}
		rounds := func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "rounds") {
				e.round()
				e.check(t)
			}
		}

		t.Repeat(map[string]func(*rapid.T){
			"": e.check, "time": advanceTime, "rounds": rounds, "rounds2": rounds, "rounds3": rounds,
			"step":   func(t *rapid.T) { e.step(drawRunning(t)) },
			"decide": func(t *rapid.T) { e.decide(drawRunning(t)) },
			"order":  func(t *rapid.T) { e.order(t, drawRunning(t)) },
			"log":    func(*rapid.T) { e.down = !e.down },
			"cut":    func(t *rapid.T) { p := drawRunning(t); p.partitioned = !p.partitioned },
			"freeze": func(t *rapid.T) { drawRunning(t).paused = true },
			"wake": func(t *rapid.T) {
				e.procs[rapid.IntRange(0, len(e.procs)-1).Draw(t, "sleeper")].paused = false
			},
			"arrive": func(t *rapid.T) {
				if len(e.inFlight) == 0 || e.down {
					t.Skip("no record in flight or log down")
				}

				e.arrive(rapid.IntRange(0, len(e.inFlight)-1).Draw(t, "record"))
			},
		})
	})
}
