// Package quarantine detects requests that crash their targets and refuses them.
//
// # Model
//
// Occasionally a request crashes every target that runs it, and its caller retries it.
// When a target crashes, its side process reports a Crash: the target, its boot id and
// the fingerprints of all requests that ran there. Any of them may be the cause, so each
// is Suspect: it may run again, but never beside another suspect on the same target (see
// Isolation). Therefore at most one suspect is involved in the next crash, and a
// fingerprint with two crashes is Quarantined: every entry that has merged the reports
// refuses it.
//
// Requests that only ran beside the cause are cleared in two ways: a suspect that
// completes is no longer one (RecordCompletion), and a crash does not count for the
// others once another request that ran in it is quarantined by crashes without them. If
// a target turns out to be running with the same boot id, its report is withdrawn
// (WithdrawCrash): only a connection was broken.
//
// Some crashes are not caused by a whole request but by one part of it, which other
// requests have too, no two of them alike: a part of a prompt, or a path that comes with
// another query each time (see PathPart). A PartTracker finds these.
//
// The result depends only on the set of reports and completions and not on their order,
// so entries that merged the same set agree.
//
// # Example
//
//	t.RecordCrash(now, quarantine.Crash{Target: "engine-7", Boot: boot, Running: running})
//	status, err := t.Check(now, f) // Quarantined: err has kind failure.Quarantined
package quarantine

import (
	"slices"
	"sync"
	"time"

	"boragehub/failure"
)

// Crash is the report of a target that crashed.
type Crash struct {
	// Target is the target's VM.
	Target string `cbor:"1,keyasint" json:"target"`
	// Boot is the boot id of the target that crashed. Reports with the same target and
	// boot are merged.
	Boot string `cbor:"2,keyasint" json:"boot"`
	// At is when the crash was detected.
	At time.Time `cbor:"3,keyasint" json:"at"`
	// Running are the requests that were running.
	Running []Fingerprint `cbor:"4,keyasint" json:"running"`
	// Parts are the ids of the parts of their prompts that other prompts may have too, without those that got a
	// response at the reporter shortly before.
	Parts []string `cbor:"5,keyasint,omitempty" json:"parts,omitempty"`
	// Beside counts the reporter's requests with such parts that ended in the seconds before, to tell how many break
	// off in any case.
	Beside Tally `cbor:"6,keyasint,omitzero" json:"beside,omitzero"`
}

// Status is the status of a fingerprint. The zero Status is Clear.
type Status uint8

// The values of Status.
const (
	// Clear means that the request may run without restriction.
	Clear Status = iota
	// Suspect means that the request may not run beside another suspect.
	Suspect
	// Quarantined means that the request is refused.
	Quarantined
)

// String returns the snake-case name of s.
func (s Status) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	case Clear:
		return "clear"
	default:
		return "clear"
	}
}

// TrackerConfig configures a Tracker. Zero fields have a default.
type TrackerConfig struct {
	// CrashLimit is the number of crashes at which a request is refused; zero means 2.
	CrashLimit int
	// Retention is how long a crash counts; zero means 24 h.
	Retention time.Duration
	// MaxCrashes is the maximum number of crashes kept; beyond it the oldest are dropped.
	// Zero means 1024.
	MaxCrashes int
	// MaxRunning is the maximum number of fingerprints kept per crash; zero means 512.
	MaxRunning int
	// ProbeDelay is how long after its last crash a refused request is tried again, see
	// BeginProbe. It doubles with each further crash. Zero means one minute.
	ProbeDelay time.Duration
}

// Tracker holds the reported crashes and derives the Status of fingerprints. Create it
// with NewTracker. Its methods may be called concurrently.
type Tracker struct {
	cfg TrackerConfig

	mu        sync.Mutex
	crashes   map[crashKey]*crash
	byTime    []*crash // oldest first
	suspects  map[Fingerprint][]*crash
	completed map[Fingerprint]time.Time
	probes    map[Fingerprint]time.Time // when a refused request was last tried

	digest      uint64 // see Digest
	digestValid bool
}

// crashKey identifies a crash.
type crashKey struct{ target, boot string }

// crash is a reported crash of a target.
type crash struct {
	crashKey
	at         time.Time // by the reporter's clock, but not in the future
	receivedAt time.Time // by this process's clock, of the first report
	running    []Fingerprint
	survived   bool
}

// NewTracker returns an empty Tracker.
func NewTracker(cfg TrackerConfig) *Tracker {
	if cfg.CrashLimit <= 0 {
		cfg.CrashLimit = 2
	}

	if cfg.Retention <= 0 {
		cfg.Retention = 24 * time.Hour
	}

	if cfg.MaxCrashes <= 0 {
		cfg.MaxCrashes = 1024
	}

	if cfg.MaxRunning <= 0 {
		cfg.MaxRunning = 512
	}

	if cfg.ProbeDelay <= 0 {
		cfg.ProbeDelay = time.Minute
	}

	return &Tracker{
		cfg:       cfg,
		crashes:   map[crashKey]*crash{},
		suspects:  map[Fingerprint][]*crash{},
		completed: map[Fingerprint]time.Time{},
		probes:    map[Fingerprint]time.Time{},
	}
}

// RecordCrash records a crash that was reported directly, by another entry or in a log
// stream, and returns the fingerprints that are quarantined as a result.
func (t *Tracker) RecordCrash(now time.Time, c Crash) []Fingerprint {
	return t.record(now, now, c)
}

// RecordKnownCrash does the same with a crash that another process knew before, and whose
// time is by this process's clock: responses since then clear it.
func (t *Tracker) RecordKnownCrash(now time.Time, c Crash) []Fingerprint {
	return t.record(now, earliest(c.At, now), c)
}

// record records a crash that was received at a time.
func (t *Tracker) record(now, receivedAt time.Time, c Crash) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	at := crashKey{c.Target, c.Boot}

	k, ok := t.crashes[at]
	if !ok {
		k = &crash{crashKey: at, at: c.At, receivedAt: receivedAt}
		if k.at.IsZero() || k.at.After(now) {
			k.at = now
		}

		t.crashes[at] = k
		t.insert(k)
	}

	added := t.addRunning(k, c.Running)
	t.enforceLimit()

	var refused []Fingerprint

	for _, f := range added {
		if t.status(f) == Quarantined {
			refused = append(refused, f)
		}
	}

	return refused
}

// insert inserts k into byTime.
func (t *Tracker) insert(k *crash) {
	i := len(t.byTime)
	for i > 0 && t.byTime[i-1].at.After(k.at) {
		i--
	}

	t.byTime = slices.Insert(t.byTime, i, k)
}

// addRunning adds fingerprints to k and returns those that are new to it.
func (t *Tracker) addRunning(k *crash, running []Fingerprint) []Fingerprint {
	var added []Fingerprint

	for _, f := range running {
		if len(k.running) >= t.cfg.MaxRunning {
			break
		}

		if slices.Contains(k.running, f) {
			continue
		}

		k.running = append(k.running, f)
		t.digestValid = false
		t.suspects[f] = append(t.suspects[f], k)
		added = append(added, f)
	}

	return added
}

// WithdrawCrash withdraws the crash of a target that is running with the same boot id.
func (t *Tracker) WithdrawCrash(now time.Time, target, boot string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	if k, ok := t.crashes[crashKey{target, boot}]; ok {
		k.survived = true
		t.digestValid = false
	}
}

// RecordCompletion clears a suspect that has completed, which a request that crashes every
// target would not have. Only crashes received after now count from then on. It returns the
// number of crashes that counted against f until now.
func (t *Tracker) RecordCompletion(now time.Time, f Fingerprint) (cleared int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.complete(now, f)
}

// Acquit records complete responses that other processes know of. It returns the
// fingerprints that crashes counted against until now.
func (t *Tracker) Acquit(now time.Time, all []Acquittal) (cleared []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, a := range all {
		if a.Part == "" && t.complete(earliest(a.At, now), a.Request) > 0 {
			cleared = append(cleared, a.Request)
		}
	}

	return cleared
}

// Acquittals returns the complete responses that cleared requests, here or at other
// processes, in no order.
func (t *Tracker) Acquittals() []Acquittal {
	t.mu.Lock()
	defer t.mu.Unlock()

	var all []Acquittal

	for f, at := range t.completed {
		if len(all) == maxAcquittals {
			break
		}

		all = append(all, Acquittal{Request: f, At: at})
	}

	return all
}

// complete records a complete response at a time, and returns the number of crashes that
// no longer count against f. The caller holds mu.
func (t *Tracker) complete(at time.Time, f Fingerprint) int {
	if _, ok := t.suspects[f]; !ok || !at.After(t.completed[f]) {
		return 0
	}

	before := t.crashCount(f)
	t.completed[f] = at
	t.digestValid = false

	return before - t.crashCount(f)
}

// Check returns the status of f; for Quarantined also an error of kind
// failure.Quarantined.
func (t *Tracker) Check(now time.Time, f Fingerprint) (Status, error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	s := t.status(f)
	if s == Quarantined {
		return s, failure.New(failure.Quarantined, "this request was running when %d targets crashed", t.cfg.CrashLimit)
	}

	return s, nil
}

// maxRequestProbes is the number of times that a refused request is tried again, by all processes together.
const maxRequestProbes = 3

// BeginProbe reports whether a process of a rank is due to try a refused request again, and
// records that it is tried. A response clears one that was refused by mistake. One that
// crashes its targets is tried maxRequestProbes times. For the ranks see
// PartTracker.BeginProbe.
func (t *Tracker) BeginProbe(now time.Time, f Fingerprint, rank int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	further := t.crashCount(f) - t.cfg.CrashLimit
	if rank < 0 || rank >= maxProbeRanks || further < 0 || further >= maxRequestProbes {
		return false
	}

	last := t.probes[f]

	for _, k := range t.suspects[f] {
		if t.countsAgainst(f, k) && k.receivedAt.After(last) {
			last = k.receivedAt
		}
	}

	if now.Sub(last) < t.cfg.ProbeDelay<<further+time.Duration(rank)*probeStagger {
		return false
	}

	t.probes[f] = now

	return true
}

// CrashCount returns the number of crashes that count against f.
func (t *Tracker) CrashCount(now time.Time, f Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	return t.crashCount(f)
}

// status derives the status of f from the reports. The caller holds mu.
func (t *Tracker) status(f Fingerprint) Status {
	total := t.crashCount(f)
	if total == 0 {
		return Clear
	}

	for _, k := range t.suspects[f] {
		if t.countsAgainst(f, k) && !t.explainedByOther(f, k) {
			if total >= t.cfg.CrashLimit {
				return Quarantined
			}

			return Suspect
		}
	}

	// All its crashes are explained by other requests. With as many crashes as would
	// quarantine it, it still has to run isolated until it completes.
	if total >= t.cfg.CrashLimit {
		return Suspect
	}

	return Clear
}

// crashCount returns the number of crashes that count against f.
func (t *Tracker) crashCount(f Fingerprint) int {
	n := 0

	for _, k := range t.suspects[f] {
		if t.countsAgainst(f, k) {
			n++
		}
	}

	return n
}

// countsAgainst reports whether k counts against f. The crash and the completion are
// compared by this process's clock: the reporter's clock may be behind, and by it a crash
// could seem older than the completion that it followed.
func (t *Tracker) countsAgainst(f Fingerprint, k *crash) bool {
	if k.survived {
		return false
	}

	done, ok := t.completed[f]

	return !ok || k.receivedAt.After(done)
}

// explainedByOther reports whether another request that ran in k has enough crashes to be
// quarantined, at least one of them without f. Without the last condition, two requests
// that always ran together would clear each other.
func (t *Tracker) explainedByOther(f Fingerprint, k *crash) bool {
	for _, g := range k.running {
		if g == f || !t.countsAgainst(g, k) || t.crashCount(g) < t.cfg.CrashLimit {
			continue
		}

		for _, other := range t.suspects[g] {
			if t.countsAgainst(g, other) && !slices.Contains(other.running, f) {
				return true
			}
		}
	}

	return false
}

// Crashes returns all crashes that were not withdrawn, oldest first, with the requests that
// they count against. A process that doesn't know which requests got responses would suspect
// the others wrongly.
func (t *Tracker) Crashes(now time.Time) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	all := make([]Crash, 0, len(t.byTime))

	for _, k := range t.byTime {
		running := slices.DeleteFunc(slices.Clone(k.running), func(f Fingerprint) bool { return !t.countsAgainst(f, k) })
		if len(running) > 0 {
			all = append(all, Crash{Target: k.target, Boot: k.boot, At: k.at, Running: running})
		}
	}

	return all
}

// CrashesOf returns the crashes that count against f, oldest first, without other requests.
func (t *Tracker) CrashesOf(now time.Time, f Fingerprint) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	var all []Crash

	for _, k := range t.suspects[f] {
		if t.countsAgainst(f, k) {
			all = append(all, Crash{Target: k.target, Boot: k.boot, At: k.at, Running: []Fingerprint{f}})
		}
	}

	slices.SortStableFunc(all, func(a, b Crash) int { return a.At.Compare(b.At) })

	return all
}

// Len returns the number of crashes and the number of distinct fingerprints in them.
func (t *Tracker) Len() (crashes, fingerprints int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.byTime), len(t.suspects)
}

// expire drops the crashes that are older than cfg.Retention.
func (t *Tracker) expire(now time.Time) {
	for len(t.byTime) > 0 && now.Sub(t.byTime[0].at) > t.cfg.Retention {
		t.dropOldest()
	}
}

// enforceLimit drops the oldest crashes while there are more than cfg.MaxCrashes.
func (t *Tracker) enforceLimit() {
	for len(t.byTime) > t.cfg.MaxCrashes {
		t.dropOldest()
	}
}

// dropOldest drops the oldest crash.
func (t *Tracker) dropOldest() {
	t.digestValid = false
	k := t.byTime[0]
	t.byTime = t.byTime[1:]
	delete(t.crashes, k.crashKey)

	for _, f := range k.running {
		left := slices.DeleteFunc(t.suspects[f], func(o *crash) bool { return o == k })
		if len(left) > 0 {
			t.suspects[f] = left
			continue
		}

		delete(t.suspects, f)
		delete(t.completed, f)
		delete(t.probes, f)
	}
}
