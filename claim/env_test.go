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

// The times of the simulated shard.
const (
	testKeyLifetime  = 40 * time.Minute
	testClockSkew    = 5 * time.Second
	testLogRetention = time.Hour
	testListLag      = MaxListLag - 5*time.Second
)

// oracle knows what callers sent and received and what targets ran.
type oracle struct {
	calls      map[string][]*call
	runs       map[string][]int // by key, the numbers of the calls that a target ran
	nothingRan []nothingRanResponse
}

// call is one call of a caller.
type call struct {
	number   int
	key      string
	body     string
	response string // the status that the target returned or the kind of the error

	at       time.Time
	notRun   bool // the response says that this call was not run
	replayed bool // the response is the outcome of an earlier call
}

// nothingRanResponse is a response that says that no call with a key has run so
// far.
type nothingRanResponse struct {
	key    string
	before int // the number of the next call when it was given
}

// check fails if a key ran twice or a response was wrong.
func (o *oracle) check(t *rapid.T) {
	for key, runs := range o.runs {
		if len(runs) > 1 {
			t.Fatalf("key %s: got runs by the calls %v, want one at most", key, runs)
		}
	}

	for key, calls := range o.calls {
		for _, c := range calls {
			o.checkResponse(t, c, o.runs[key])
		}
	}

	for _, p := range o.nothingRan {
		for _, n := range o.runs[p.key] {
			if n < p.before {
				t.Fatalf("key %s: got a run by call %d, want none, as a response before call %d said so", p.key, n, p.before)
			}
		}
	}
}

// checkResponse fails if a response was wrong: "not run" for a call that ran,
// before or after, or an outcome that is not that of the key's run.
func (o *oracle) checkResponse(t *rapid.T, c *call, runs []int) {
	if c.notRun && slices.Contains(runs, c.number) {
		t.Fatalf("key %s: got a run by call %d, want none, as its response was %s", c.key, c.number, c.response)
	}

	if c.replayed && (len(runs) == 0 || c.response != strconv.Itoa(statusOf(runs[0]))) {
		t.Fatalf("key %s: got the outcome %s for call %d, want that of the runs %v", c.key, c.response, c.number, runs)
	}
}

// statusOf returns the status of a target's response to a call.
func statusOf(number int) int { return 200 + number }

// envelope is a record with its writer and sequence number, as the journal
// sends it.
type envelope struct {
	writer, sequence int
	data             []byte
}

// storedRecord is a record in the stream.
type storedRecord struct {
	envelope
	at time.Time
}

// storedSnapshot is a snapshot in the stream.
type storedSnapshot struct {
	covers int
	seen   map[int]int
	data   []byte
}

// process is one side process of the service.
type process struct {
	vm             string
	id             int
	clockSkew      time.Duration
	coordinator    *Coordinator
	takeover       Takeover
	lastRenewal    time.Time
	pausedSince    time.Time
	logUnreachable bool // the process can't reach the log
	unlisted       bool // the platform removed the VM while the process was paused

	position   int  // records read so far
	partial    bool // records were lost and no snapshot was found
	seen       map[int]int
	fetched    []storedRecord
	fetchEnd   time.Time // when the fetch began, if it reached the end
	fetchFirst int       // the oldest record kept then
	unsent     []envelope
	inAppend   int // how many of unsent were sent in one append whose result is unknown
	sequence   int
	listIndex  int // the version of the list that it knows, as an index in vmLists

	waiting  []*pendingCall
	runnable []*pendingCall
}

// pendingCall is a run with its call.
type pendingCall struct {
	run  *Run
	call *call
}

// testEnv is a shard with its processes, log and callers.
type testEnv struct {
	now            time.Time
	logDown        bool
	firstKept      int // earlier records are deleted
	stream         []storedRecord
	snapshots      []storedSnapshot
	delayedAppends [][]envelope // appends that have not reached the log yet
	vmLists        []VMList
	listChangedAt  []time.Time // when each version of the list came
	processes      []*process
	lastProcessID  int
	refuseInOutage bool
	orphanedCalls  []*pendingCall // calls sent to a target by processes that have ended
	oracle         oracle
	lastCall       int
	firstCalls     []*call
}

func newTestEnv(refuse bool) *testEnv {
	w := &testEnv{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), refuseInOutage: refuse,
		oracle: oracle{calls: map[string][]*call{}, runs: map[string][]int{}},
	}
	w.setVMList(VMList{VMs: []string{"vm0", "vm1"}})

	for i := range 2 {
		w.startProcess(fmt.Sprintf("vm%d", i), 0)
	}

	return w
}

func (w *testEnv) startProcess(vm string, skew time.Duration) {
	w.lastProcessID++
	w.processes = append(w.processes, &process{
		vm: vm, id: w.lastProcessID, clockSkew: skew, seen: map[int]int{}, listIndex: len(w.vmLists) - 1,
		coordinator: NewCoordinator(CoordinatorConfig{
			VM: vm, Incarnation: uint64(w.lastProcessID), RefuseInOutage: w.refuseInOutage, LogRetention: testLogRetention,
			State: StateConfig{KeyLifetime: testKeyLifetime, ClockSkew: testClockSkew},
		}),
	})

	p := w.processes[len(w.processes)-1]
	p.coordinator.AnnounceStart()
	w.takeOutbox(p)
}

func (w *testEnv) clock(p *process) time.Time { return w.now.Add(p.clockSkew) }

func (w *testEnv) vmList() VMList { return w.vmLists[len(w.vmLists)-1] }

func (w *testEnv) setVMList(f VMList) {
	f.Version = uint64(len(w.vmLists) + 1)
	w.vmLists = append(w.vmLists, f)
	w.listChangedAt = append(w.listChangedAt, w.now)
}

// replaceVM replaces a VM in the platform's list by a new one and returns the
// new one.
func (w *testEnv) replaceVM(vm string) string {
	newVM := fmt.Sprintf("vm%d", len(w.vmLists)+1)
	vms := slices.DeleteFunc(slices.Clone(w.vmList().VMs), func(v string) bool { return v == vm })
	w.setVMList(VMList{VMs: append(vms, newVM)})

	return newVM
}

// fetch reads up to 8 records from the log; if records that it needs are
// deleted, it restores a snapshot first.
func (w *testEnv) fetch(p *process) {
	if w.logDown || p.logUnreachable || len(p.fetched) > 0 {
		return
	}

	if p.position < w.firstKept || p.partial {
		w.restoreSnapshot(p)
	}

	p.fetched = slices.Clone(w.stream[p.position:min(len(w.stream), p.position+8)])
	p.fetchEnd = time.Time{}
	p.fetchFirst = w.firstKept

	if p.position+len(p.fetched) == len(w.stream) {
		p.fetchEnd = w.clock(p)
	}
}

// restoreSnapshot restores the newest snapshot that is kept. Without one, the
// process continues with the records that are left until there is one.
func (w *testEnv) restoreSnapshot(p *process) {
	var best *storedSnapshot

	for i := range w.snapshots {
		s := &w.snapshots[i]
		if s.covers >= w.firstKept && (best == nil || best.covers <= s.covers) {
			best = s
		}
	}

	switch {
	case best != nil:
		if err := p.coordinator.Restore(best.data); err != nil {
			panic(err)
		}

		p.position, p.seen, p.partial = best.covers, maps.Clone(best.seen), false
	case p.position < w.firstKept:
		p.position, p.partial = w.firstKept, true
		p.coordinator.ResetAfterGap(uint64(w.firstKept) + 1)
	}
}

// applyFetched applies the fetched records once each.
func (w *testEnv) applyFetched(p *process) {
	for _, e := range p.fetched {
		p.position++

		if e.sequence <= p.seen[e.writer] {
			continue
		}

		p.seen[e.writer] = e.sequence

		if err := p.coordinator.Apply(journal.Record{Offset: uint64(p.position), At: e.at, Data: e.data}); err != nil {
			panic(err)
		}
	}

	p.fetched = nil

	if !p.fetchEnd.IsZero() {
		p.coordinator.Synced(p.fetchEnd, uint64(p.fetchFirst)+1)
		p.fetchEnd = time.Time{}
	}
}

// tick does what a Deduplicator does at each tick.
func (w *testEnv) tick(p *process) {
	now := w.clock(p)

	// The list lags by a limited time.
	for p.listIndex < len(w.vmLists)-1 && w.now.Sub(w.listChangedAt[p.listIndex+1]) > testListLag {
		p.listIndex++
	}

	f := w.vmLists[p.listIndex]
	p.coordinator.SetVMList(f)
	p.coordinator.Tick(now)

	switch {
	case p.coordinator.logUnresponsive(now) || p.coordinator.behind:
	case p.coordinator.IsOwner():
		if now.Sub(p.lastRenewal) > testLogRetention/4 && !w.logDown && !p.logUnreachable && p.position >= w.firstKept {
			p.lastRenewal = now
			w.writeSnapshot(p)
			p.coordinator.RenewOwnership(f, uint64(p.position), p.coordinator.state.LogTime())
		}
	default:
		if b, ok := p.takeover.Due(now, p.coordinator, f, 0); ok {
			p.coordinator.RequestOwnership(b, f)
		}
	}

	p.coordinator.Release()
	w.takeOutbox(p)
}

// writeSnapshot adds a snapshot of a process's state to the stream.
func (w *testEnv) writeSnapshot(p *process) {
	w.snapshots = append(w.snapshots, storedSnapshot{
		covers: p.position, seen: maps.Clone(p.seen), data: p.coordinator.state.Encode(),
	})
}

func (w *testEnv) takeOutbox(p *process) {
	for _, b := range p.coordinator.Outbox() {
		p.sequence++
		p.unsent = append(p.unsent, envelope{writer: p.id, sequence: p.sequence, data: b})
	}
}

// appendRecords adds records to the stream.
func (w *testEnv) appendRecords(records ...envelope) {
	for _, c := range records {
		w.stream = append(w.stream, storedRecord{envelope: c, at: w.now})
	}
}

// sendCall sends a call to a process.
func (w *testEnv) sendCall(p *process, c *call) {
	run, err := p.coordinator.Claim(w.clock(p), Request{Organisation: "o", Key: c.key, Fingerprint: c.body})
	w.takeOutbox(p)

	switch {
	case err != nil:
		w.recordRefusal(c, err)
	case run.phase == phaseCompleted:
		c.response, c.replayed = strconv.Itoa(run.outcome.Status), true
	default:
		p.waiting = append(p.waiting, &pendingCall{run: run, call: c})
	}
}

// recordRefusal records what an error says about the call and its key.
func (w *testEnv) recordRefusal(c *call, err error) {
	k := failure.KindOf(err)
	c.response, c.notRun = k.String(), k.Response().Ran == failure.NotRun

	if k == failure.LogUnavailable || k == failure.QueueFull {
		w.oracle.nothingRan = append(w.oracle.nothingRan, nothingRanResponse{key: c.key, before: w.lastCall + 1})
	}
}

// collectDecided removes the decided runs from waiting and moves those that may
// run to runnable.
func (w *testEnv) collectDecided(p *process) {
	p.waiting = slices.DeleteFunc(p.waiting, func(pc *pendingCall) bool {
		select {
		case <-pc.run.decided:
		default:
			return false
		}

		if pc.run.err != nil {
			w.recordRefusal(pc.call, pc.run.err)
		} else {
			p.runnable = append(p.runnable, pc)
		}

		return true
	})
}

// recordRun records that a target ran a call.
func (w *testEnv) recordRun(c *call) {
	w.oracle.runs[c.key] = append(w.oracle.runs[c.key], c.number)
}

// newCall makes the first call with a key.
func (w *testEnv) newCall(key string) *call {
	w.lastCall++
	c := &call{number: w.lastCall, key: key, body: "b" + key, at: w.now}
	w.oracle.calls[key] = append(w.oracle.calls[key], c)
	w.firstCalls = append(w.firstCalls, c)

	return c
}

// repeatCall makes another call with the key of an earlier one.
func (w *testEnv) repeatCall(earlier *call) *call {
	w.lastCall++
	c := &call{number: w.lastCall, key: earlier.key, body: earlier.body}
	w.oracle.calls[earlier.key] = append(w.oracle.calls[earlier.key], c)

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

	got, ok := IssueTime(keyAt(at, 7))
	if !ok || !got.Equal(at) {
		t.Errorf("got %v %v, want %v", got, ok, at)
	}
}
