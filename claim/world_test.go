package claim

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"boragehub/failure"
	"boragehub/journal"
)

// The times of the fuzzed shard.
const (
	worldMemory    = 40 * time.Minute
	worldSkew      = 5 * time.Second
	worldRetention = time.Hour
	worldListLag   = ListLag - 5*time.Second
)

// witness is the oracle. It knows what callers sent and got and what targets ran.
type witness struct {
	sends    map[string][]*send
	runs     map[string][]int // by key, the sends that a target ran
	promises []promise
}

// send is one call of a caller.
type send struct {
	number int
	key    string
	body   string
	answer string // the status that the target gave or the kind of the error

	at       time.Time
	notRun   bool // the answer says that this send was not run
	replayed bool // the answer is said to be that of an earlier send
}

// promise is an answer that says that nothing was run for a key until then.
type promise struct {
	key    string
	before int // the number of the next send when it was given
}

// check fails when the callers could notice that a promise was broken.
func (w *witness) check(t *rapid.T) {
	for key, runs := range w.runs {
		if len(runs) > 1 {
			t.Fatalf("key %s: got runs by the sends %v, want one at most", key, runs)
		}
	}

	for key, sends := range w.sends {
		for _, s := range sends {
			w.checkAnswer(t, s, w.runs[key])
		}
	}

	for _, p := range w.promises {
		for _, n := range w.runs[p.key] {
			if n < p.before {
				t.Fatalf("key %s: got a run by send %d, want none, as an answer before send %d said so", p.key, n, p.before)
			}
		}
	}
}

// checkAnswer fails when a caller got an answer that isn't true: "not run" for a
// call that ran, now or later, or an outcome that no run of its key brought.
func (w *witness) checkAnswer(t *rapid.T, s *send, runs []int) {
	if s.notRun && slices.Contains(runs, s.number) {
		t.Fatalf("key %s: got a run by send %d, want none, as it was answered with %s", s.key, s.number, s.answer)
	}

	if s.replayed && (len(runs) == 0 || s.answer != strconv.Itoa(statusOf(runs[0]))) {
		t.Fatalf("key %s: got the outcome %s for send %d, want that of the runs %v", s.key, s.answer, s.number, runs)
	}
}

// statusOf is what the target answers to a send.
func statusOf(number int) int { return 200 + number }

// carried is a record on its way, as the journal would carry it.
type carried struct {
	writer, sequence int
	data             []byte
}

// entered is a record in the stream.
type entered struct {
	carried
	at time.Time
}

// snapshotted is a snapshot in the stream.
type snapshotted struct {
	covers int
	seen   map[int]int
	data   []byte
}

// process is one process of the service.
type process struct {
	vm     string
	id     int
	skew   time.Duration
	desk   *Coordinator
	next   Succession
	kept   time.Time
	frozen time.Time
	cut    bool // the process doesn't reach the log
	gone   bool // the platform dropped the VM while the process stood still

	position   int  // records read so far
	partial    bool // records were lost and no snapshot was found
	seen       map[int]int
	fetched    []entered
	fetchEnd   time.Time // when the fetch began, if it reached the end
	fetchFirst int       // the oldest record kept then
	out        []carried
	tried      int // how many of out were sent in one append of which nothing is known
	sequence   int
	listed     int // which version of the fleet it knows

	waiting []*flight
	tickets []*flight
}

// flight is a run and the send that it is for.
type flight struct {
	run  *Run
	send *send
}

// world is a shard, its processes, its log and its callers.
type world struct {
	now     time.Time
	down    bool
	first   int // records before this one are gone
	stream  []entered
	snaps   []snapshotted
	late    [][]carried // appends on their way
	fleets  []Fleet
	changed []time.Time // when each version came
	procs   []*process
	ids     int
	refuse  bool
	past    []*flight // calls sent to a target by processes that died then
	wit     witness
	count   int
	keys    []*send
}

func newWorld(refuse bool) *world {
	w := &world{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), refuse: refuse,
		wit: witness{sends: map[string][]*send{}, runs: map[string][]int{}},
	}
	w.change(Fleet{VMs: []string{"vm0", "vm1"}})

	for i := range 2 {
		w.start(fmt.Sprintf("vm%d", i), 0)
	}

	return w
}

func (w *world) start(vm string, skew time.Duration) {
	w.ids++
	w.procs = append(w.procs, &process{
		vm: vm, id: w.ids, skew: skew, seen: map[int]int{}, listed: len(w.fleets) - 1,
		desk: NewCoordinator(CoordinatorConfig{
			VM: vm, Incarnation: uint64(w.ids), RefuseInOutage: w.refuse, Retention: worldRetention,
			Ledger: LedgerConfig{Memory: worldMemory, Skew: worldSkew},
		}),
	})

	p := w.procs[len(w.procs)-1]
	p.desk.Born()
	w.flush(p)
}

func (w *world) clock(p *process) time.Time { return w.now.Add(p.skew) }

func (w *world) fleet() Fleet { return w.fleets[len(w.fleets)-1] }

func (w *world) change(f Fleet) {
	f.Version = uint64(len(w.fleets) + 1)
	w.fleets = append(w.fleets, f)
	w.changed = append(w.changed, w.now)
}

// drop takes a VM off the platform's list and puts a new one on.
func (w *world) drop(vm string) string {
	fresh := fmt.Sprintf("vm%d", len(w.fleets)+1)
	vms := slices.DeleteFunc(slices.Clone(w.fleet().VMs), func(v string) bool { return v == vm })
	w.change(Fleet{VMs: append(vms, fresh)})

	return fresh
}

// fetch reads from the log, or finds that records it needs are gone.
func (w *world) fetch(p *process) {
	if w.down || p.cut || len(p.fetched) > 0 {
		return
	}

	if p.position < w.first || p.partial {
		w.recover(p)
	}

	p.fetched = slices.Clone(w.stream[p.position:min(len(w.stream), p.position+8)])
	p.fetchEnd = time.Time{}
	p.fetchFirst = w.first

	if p.position+len(p.fetched) == len(w.stream) {
		p.fetchEnd = w.clock(p)
	}
}

// recover takes the newest snapshot that is kept. Without one the process goes
// on with what is left, until there is one.
func (w *world) recover(p *process) {
	var best *snapshotted

	for i := range w.snaps {
		s := &w.snaps[i]
		if s.covers >= w.first && (best == nil || best.covers <= s.covers) {
			best = s
		}
	}

	switch {
	case best != nil:
		if err := p.desk.Restore(best.data); err != nil {
			panic(err)
		}

		p.position, p.seen, p.partial = best.covers, maps.Clone(best.seen), false
	case p.position < w.first:
		p.position, p.partial = w.first, true
		p.desk.Gap(uint64(w.first) + 1)
	}
}

// handle takes account of what was fetched.
func (w *world) handle(p *process) {
	for _, e := range p.fetched {
		p.position++

		if e.sequence <= p.seen[e.writer] {
			continue
		}

		p.seen[e.writer] = e.sequence

		if err := p.desk.Apply(journal.Record{Offset: uint64(p.position), At: e.at, Data: e.data}); err != nil {
			panic(err)
		}
	}

	p.fetched = nil

	if !p.fetchEnd.IsZero() {
		p.desk.Synced(p.fetchEnd, uint64(p.fetchFirst)+1)
		p.fetchEnd = time.Time{}
	}
}

// tick does what a process's duty does each time.
func (w *world) tick(p *process) {
	now := w.clock(p)

	// The list lags, but not for ever.
	for p.listed < len(w.fleets)-1 && w.now.Sub(w.changed[p.listed+1]) > worldListLag {
		p.listed++
	}

	f := w.fleets[p.listed]
	p.desk.Observe(f)
	p.desk.Tick(now)

	switch {
	case p.desk.silent(now) || p.desk.behind:
	case p.desk.Home():
		if now.Sub(p.kept) > worldRetention/4 && !w.down && !p.cut && p.position >= w.first {
			p.kept = now
			w.save(p)
			p.desk.Keep(f, uint64(p.position), p.desk.ledger.Now())
		}
	default:
		if b, ok := p.next.Next(now, p.desk, f, 0); ok {
			p.desk.Ask(b, f)
		}
	}

	p.desk.Release()
	w.flush(p)
}

// save puts a snapshot of what a process knows into the stream.
func (w *world) save(p *process) {
	w.snaps = append(w.snaps, snapshotted{
		covers: p.position, seen: maps.Clone(p.seen), data: p.desk.ledger.Encode(),
	})
}

func (w *world) flush(p *process) {
	for _, b := range p.desk.Outbox() {
		p.sequence++
		p.out = append(p.out, carried{writer: p.id, sequence: p.sequence, data: b})
	}
}

// enter puts records into the stream.
func (w *world) enter(records ...carried) {
	for _, c := range records {
		w.stream = append(w.stream, entered{carried: c, at: w.now})
	}
}

// submit sends a call to a process.
func (w *world) submit(p *process, s *send) {
	run, err := p.desk.Claim(w.clock(p), Request{Organisation: "o", Key: s.key, Fingerprint: s.body})
	w.flush(p)

	switch {
	case err != nil:
		w.refused(s, err)
	case run.phase == settled:
		s.answer, s.replayed = strconv.Itoa(run.outcome.Status), true
	default:
		p.waiting = append(p.waiting, &flight{run: run, send: s})
	}
}

// refused notes what an error promises.
func (w *world) refused(s *send, err error) {
	k := failure.KindOf(err)
	s.answer, s.notRun = k.String(), k.Answer().Ran == failure.NotRun

	if k == failure.LogUnavailable || k == failure.QueueFull {
		w.wit.promises = append(w.wit.promises, promise{key: s.key, before: w.count + 1})
	}
}

// collect turns the runs that need not wait any more into tickets.
func (w *world) collect(p *process) {
	p.waiting = slices.DeleteFunc(p.waiting, func(f *flight) bool {
		select {
		case <-f.run.done:
		default:
			return false
		}

		if f.run.err != nil {
			w.refused(f.send, f.run.err)
		} else {
			p.tickets = append(p.tickets, f)
		}

		return true
	})
}

// run lets a target carry out a call.
func (w *world) run(s *send) {
	w.wit.runs[s.key] = append(w.wit.runs[s.key], s.number)
}

// newSend makes a call with a fresh key.
func (w *world) newSend(key string) *send {
	w.count++
	s := &send{number: w.count, key: key, body: "b" + key, at: w.now}
	w.wit.sends[key] = append(w.wit.sends[key], s)
	w.keys = append(w.keys, s)

	return s
}

// again makes another call with the key of an earlier one.
func (w *world) again(s *send) *send {
	w.count++
	c := &send{number: w.count, key: s.key, body: s.body}
	w.wit.sends[s.key] = append(w.wit.sends[s.key], c)

	return c
}

// keyAt returns a UUIDv7 that was issued at a time.
func keyAt(at time.Time, n int) string {
	var u uuid.UUID

	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}

	u[6] = 0x70
	u[8] = 0x80
	u[14], u[15] = byte(n>>8), byte(n)

	return u.String()
}

func TestKeyAt(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	got, ok := Issued(keyAt(at, 7))
	if !ok || !got.Equal(at) {
		t.Errorf("got %v %v, want %v", got, ok, at)
	}
}
