package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
	"boragehub/journal"
)

var terms = Terms{Duration: 15 * time.Second, Margin: 4 * time.Second, Every: 4 * time.Second}

// holder is a process that wants the lease. Its clock has a base and a speed of
// its own.
type holder struct {
	name   string
	base   time.Time
	speed  float64
	table  *Table
	view   View
	nonce  uint64
	sends  map[uint64]time.Time
	next   int  // the record to read next
	cut    bool // it can't read the log
	frozen bool
	orders []uint64 // orders that it decided on and has not sent yet
}

// field is one lease, its processes, their log and the target of their orders.
type field struct {
	now     time.Duration
	down    bool
	records []journal.Record
	way     [][]byte
	procs   []*holder
	guard   Guard
	obeyed  []uint64
}

func newField() *field {
	f := &field{}

	for i := range 3 {
		f.procs = append(f.procs, &holder{
			name: fmt.Sprintf("p%d", i), base: time.Unix(int64(1000*i), 0), speed: 1 + float64(i-1)/10,
			table: NewTable(), view: View{Self: fmt.Sprintf("p%d", i)}, sends: map[uint64]time.Time{},
		})
	}

	return f
}

func (f *field) clock(h *holder) time.Time {
	return h.base.Add(time.Duration(float64(f.now) * h.speed))
}

// step lets a process read on, as far as it reaches the log, and do what is due.
func (f *field) step(h *holder) {
	now := f.clock(h)

	if !f.down && !h.cut {
		f.read(now, h)
	}

	c := change{Name: "duty", Holder: h.name, DurationMS: terms.Duration.Milliseconds()}

	switch Next(now, terms, h.view) {
	case Take:
		c.Action = take
	case Renew:
		c.Action, c.Fence = renew, h.view.Fence
	case Wait:
		return
	}

	h.nonce++
	c.Nonce = h.nonce
	h.sends[h.nonce] = now
	h.view.Asked = now
	f.way = append(f.way, encode(c))
}

// read lets a process take account of the records that it hasn't read.
func (f *field) read(now time.Time, h *holder) {
	for ; h.next < len(f.records); h.next++ {
		before, _ := h.table.Lease("duty")

		if err := h.table.Apply(f.records[h.next]); err != nil {
			panic(err)
		}

		h.view.Lease, h.view.Held = h.table.Lease("duty")
		if h.view.Lease == before {
			continue
		}

		h.view.Seen = now

		if h.view.Held && h.view.Lease.Holder == h.name {
			h.view.Fence, h.view.Sent = h.view.Lease.Fence, h.sends[h.view.Lease.Nonce]
		}
	}
}

// round lets everyone who is awake do what is due, and the log take it.
func (f *field) round() {
	for _, h := range f.procs {
		if !h.frozen {
			f.step(h)
		}
	}

	for i := 0; !f.down && i < len(f.way); i++ {
		f.arrive(i)
	}

	if !f.down {
		f.way = nil
	}

	f.now += time.Second
}

// arrive lets the log take a record that is on its way.
func (f *field) arrive(i int) {
	f.records = append(f.records, journal.Record{
		Offset: uint64(len(f.records) + 1), At: time.Unix(1e6, 0).Add(f.now), Data: f.way[i],
	})
}

// decide lets a process that may act on its lease decide on an order.
func (f *field) decide(h *holder) {
	if Valid(f.clock(h), terms, h.view) {
		h.orders = append(h.orders, h.view.Fence)
	}
}

// order lets a process send the order that it decided on, however long ago.
func (f *field) order(t *rapid.T, h *holder) {
	if len(h.orders) == 0 {
		t.Skip("no order")
	}

	fence := h.orders[0]
	h.orders = h.orders[1:]

	err := f.guard.Check(fence)

	switch {
	case err == nil:
		f.obeyed = append(f.obeyed, fence)
	case failure.KindOf(err) != failure.StaleFence:
		t.Fatalf("order with fence %d: got %v, want it obeyed or stale", fence, err)
	}
}

// check fails when two processes may act at once, or when a target obeyed an
// earlier holder after a later one.
func (f *field) check(t *rapid.T) {
	acting := ""

	for _, h := range f.procs {
		if !Valid(f.clock(h), terms, h.view) {
			continue
		}

		if acting != "" {
			t.Fatalf("got %s and %s acting at once, want one", acting, h.name)
		}

		acting = h.name
	}

	for i := 1; i < len(f.obeyed); i++ {
		if f.obeyed[i] < f.obeyed[i-1] {
			t.Fatalf("got orders obeyed with fences %v, want none older than one before it", f.obeyed)
		}
	}
}

// A holder is paused past its lease and wakes with an order in hand, the log is
// away for a while, and records arrive twice, late or never. If two processes
// acted at once, operators would see engines load one version and another in
// turn, and a target that obeyed the older holder last would stay wrong.
func TestLeaseUnderFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newField()
		draw := func(t *rapid.T) *holder {
			h := f.procs[rapid.IntRange(0, len(f.procs)-1).Draw(t, "process")]
			if h.frozen {
				t.Skip("frozen")
			}

			return h
		}
		pass := func(t *rapid.T) {
			f.now += time.Duration(rapid.IntRange(1, 6000).Draw(t, "time")) * time.Millisecond
		}
		rounds := func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "rounds") {
				f.round()
				f.check(t)
			}
		}

		t.Repeat(map[string]func(*rapid.T){
			"": f.check, "time": pass, "rounds": rounds, "rounds2": rounds, "rounds3": rounds,
			"step":   func(t *rapid.T) { f.step(draw(t)) },
			"decide": func(t *rapid.T) { f.decide(draw(t)) },
			"order":  func(t *rapid.T) { f.order(t, draw(t)) },
			"log":    func(*rapid.T) { f.down = !f.down },
			"cut":    func(t *rapid.T) { h := draw(t); h.cut = !h.cut },
			"freeze": func(t *rapid.T) { draw(t).frozen = true },
			"wake": func(t *rapid.T) {
				f.procs[rapid.IntRange(0, len(f.procs)-1).Draw(t, "sleeper")].frozen = false
			},
			"arrive": func(t *rapid.T) {
				if len(f.way) == 0 || f.down {
					t.Skip("nothing on the way")
				}

				f.arrive(rapid.IntRange(0, len(f.way)-1).Draw(t, "record"))
			},
		})
	})
}
