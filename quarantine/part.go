package quarantine

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"boragehub/failure"
)

// PartTrackerConfig configures a PartTracker. Zero fields have a default.
type PartTrackerConfig struct {
	// CrashLimit is the number of separate crashes at which a part is quarantined if no others happen; zero
	// means 3. MaxSeparate is the number at which it is quarantined although others happen; zero means 5.
	CrashLimit, MaxSeparate int
	// Separation is the time within which crashes count once, since one cause, such as a loss of
	// power, may have ended several targets; zero means 250 ms.
	Separation time.Duration
	// Recent is how long after a response to a prompt with a part crashes don't count against the
	// part; zero means 2 s.
	Recent time.Duration
	// Retention is how long a crash counts; zero means 24 h.
	Retention time.Duration
	// ProbeDelay is how long after its last crash a quarantined part is tried again. It doubles with
	// each further crash. Zero means one minute.
	ProbeDelay time.Duration
	// FirstProbe is the same for the first try; zero means ProbeDelay.
	FirstProbe time.Duration
	// MaxCrashes is the maximum number of crashes kept, MaxParts that of parts of one crash, and
	// MaxCompleted that of parts whose last response is known. Zero means 1024, 512 and 16384.
	MaxCrashes, MaxParts, MaxCompleted int
}

// PartTracker finds parts of prompts that crash the targets which begin a response to them,
// whatever else the prompts contain.
//
// A crash counts against all parts of the prompts that were running, but the last parts. They are
// told apart by the responses: a complete response at any entry clears the parts of its prompt, so that
// those which sound prompts have in common are clear again before the next crash.
//
// Prompts break off for other reasons, too. A part that is left with separate crashes is quarantined when a sound
// one would hardly have had them, see weight, and with MaxSeparate in any case; unless all of them have another
// explanation, see explains.
//
// Create it with NewPartTracker. Its methods may be called concurrently.
type PartTracker struct {
	cfg PartTrackerConfig

	mu        sync.Mutex
	crashes   map[crashKey]*partCrash
	byTime    []*partCrash            // oldest first
	byPart    map[string][]*partCrash // those that count against a part, oldest first
	completed *simplelru.LRU[string, time.Time]
	acquitted *simplelru.LRU[string, time.Time] // those of completed that a crash counted against, here or elsewhere
	probes    map[string]time.Time              // when a quarantined part was last tried
}

// partCrash is a crash and the parts that it counts against.
type partCrash struct {
	crashKey
	at     time.Time // by this process's clock
	parts  []string
	beside Tally // see Crash.Beside
	// weight is what beside makes of the crash, together the number of targets that ended with this one, itself
	// included.
	weight   float64
	together int
}

// NewPartTracker returns an empty PartTracker.
func NewPartTracker(cfg PartTrackerConfig) *PartTracker {
	for _, x := range []struct {
		field *int
		value int
	}{{&cfg.CrashLimit, 3}, {&cfg.MaxSeparate, 5}, {&cfg.MaxCrashes, 1024}, {&cfg.MaxParts, 512}, {&cfg.MaxCompleted, 16384}} {
		if *x.field <= 0 {
			*x.field = x.value
		}
	}

	for _, x := range []struct {
		field *time.Duration
		value time.Duration
	}{{&cfg.Separation, 250 * time.Millisecond}, {&cfg.Recent, 2 * time.Second}, {&cfg.Retention, 24 * time.Hour}, {&cfg.ProbeDelay, time.Minute}} {
		if *x.field <= 0 {
			*x.field = x.value
		}
	}

	if cfg.FirstProbe <= 0 {
		cfg.FirstProbe = cfg.ProbeDelay
	}

	return &PartTracker{
		cfg: cfg, crashes: make(map[crashKey]*partCrash), byPart: make(map[string][]*partCrash),
		completed: newTimes(cfg.MaxCompleted), acquitted: newTimes(maxAcquittals), probes: make(map[string]time.Time),
	}
}

// newTimes returns an empty map of a limited size.
func newTimes(size int) *simplelru.LRU[string, time.Time] {
	m, err := simplelru.NewLRU[string, time.Time](size, nil)
	if err != nil {
		panic(err) // the size is positive
	}

	return m
}

// RecordCrash records the parts of a crash, and returns those that are quarantined as a result.
func (t *PartTracker) RecordCrash(now time.Time, c Crash) []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	at := crashKey{c.Target, c.Boot}

	k, ok := t.crashes[at]
	if !ok {
		k = &partCrash{crashKey: at, at: c.At}
		if k.at.IsZero() || k.at.After(now) {
			k.at = now
		}

		t.crashes[at] = k
		t.byTime = insertByTime(t.byTime, k)
		t.countTogether(k)
	}

	k.beside = k.beside.max(c.Beside)
	k.weight = t.weightBeside(k.beside)

	var added []string

	for _, p := range c.Parts {
		switch {
		case len(k.parts) >= t.cfg.MaxParts || slices.Contains(k.parts, p):
		case !t.countsAgainst(p, k):
			done, _ := t.completed.Peek(p)
			t.acquitted.Add(p, done)
		default:
			k.parts = append(k.parts, p)
			t.byPart[p] = insertByTime(t.byPart[p], k)
			added = append(added, p)
		}
	}

	for len(t.byTime) > t.cfg.MaxCrashes {
		t.dropOldest()
	}

	return slices.DeleteFunc(added, func(p string) bool { return t.status(p) != Quarantined })
}

// insertByTime inserts k into crashes, oldest first.
func insertByTime(all []*partCrash, k *partCrash) []*partCrash {
	i := len(all)
	for i > 0 && all[i-1].at.After(k.at) {
		i--
	}

	return slices.Insert(all, i, k)
}

// countsAgainst reports whether a crash counts against a part that was running there. The caller holds mu.
func (t *PartTracker) countsAgainst(part string, k *partCrash) bool {
	done, ok := t.completed.Peek(part)

	return !ok || k.at.After(done.Add(t.cfg.Recent))
}

// CountsAgainst returns those of some parts against which a crash at a time counts.
func (t *PartTracker) CountsAgainst(at time.Time, parts []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	k := &partCrash{at: at}

	return slices.DeleteFunc(slices.Clone(parts), func(p string) bool { return !t.countsAgainst(p, k) })
}

// RecordCompletion records that a prompt with some parts got a complete response, which one with a part that
// crashes targets would not have got. It returns the parts that crashes counted against until now.
func (t *PartTracker) RecordCompletion(now time.Time, parts []string) (cleared []string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, p := range parts {
		if t.complete(now, p) {
			cleared = append(cleared, p)
		}
	}

	return cleared
}

// Acquit records complete responses that other processes know of. It returns the parts that crashes counted against
// until now.
func (t *PartTracker) Acquit(now time.Time, all []Acquittal) (cleared []string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, a := range all {
		if a.Part == "" {
			continue
		}

		if t.complete(earliest(a.At, now), a.Part) {
			cleared = append(cleared, a.Part)
		}
	}

	return cleared
}

// Acquittals returns the complete responses that cleared parts, here or at other processes. With parts given, it
// returns those with these alone.
func (t *PartTracker) Acquittals(parts ...string) []Acquittal {
	t.mu.Lock()
	defer t.mu.Unlock()

	if len(parts) == 0 {
		parts = t.acquitted.Keys()
	}

	var all []Acquittal

	for _, p := range parts {
		if at, ok := t.acquitted.Peek(p); ok {
			all = append(all, Acquittal{Part: p, At: at})
		}
	}

	return all
}

// complete records a complete response at a time, and reports whether crashes counted against the part that no
// longer do. The caller holds mu.
func (t *PartTracker) complete(at time.Time, part string) bool {
	if done, ok := t.completed.Get(part); ok && !at.After(done) {
		return false
	}

	t.completed.Add(part, at)

	if t.acquitted.Contains(part) {
		t.acquitted.Add(part, at)
	}

	all := t.byPart[part]
	left := slices.DeleteFunc(slices.Clone(all), func(k *partCrash) bool { return !t.countsAgainst(part, k) })

	if len(left) == len(all) {
		return false
	}

	t.acquitted.Add(part, at)

	for _, k := range all {
		if !slices.Contains(left, k) {
			k.parts = slices.DeleteFunc(k.parts, func(p string) bool { return p == part })
		}
	}

	if len(left) > 0 {
		t.byPart[part] = left

		return true
	}

	delete(t.byPart, part)
	delete(t.probes, part)

	return true
}

// PartVerdict is what is known of the parts of one prompt.
type PartVerdict struct {
	// Status is Suspect if the prompt may not run beside another one with the same part, and not be
	// retried.
	Status Status
	// Part is the part that the status comes from, Crashes the number of its separate crashes.
	Part    string
	Crashes int
	// Quarantined is the number of its parts that are quarantined.
	Quarantined int
	// RetryAfter is when the part is tried again, if a sound one might have had its crashes; zero otherwise.
	RetryAfter time.Duration
}

// Err returns an error if a part is quarantined, nil otherwise. Its kind is failure.Quarantined, or failure.Unavailable
// while other crashes leave it in doubt.
func (v PartVerdict) Err() error {
	switch {
	case v.Status != Quarantined:
		return nil
	case v.RetryAfter > 0:
		return failure.New(failure.Unavailable, "prompts with the part %s were running when targets crashed %d times beside others", v.Part, v.Crashes).WithRetryAfter(v.RetryAfter)
	}

	return failure.New(failure.Quarantined, "prompts with the part %s were running when targets crashed %d times", v.Part, v.Crashes)
}

// Check returns the verdict on the parts of a prompt.
func (t *PartTracker) Check(now time.Time, parts []string) PartVerdict {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	var v PartVerdict

	for _, p := range parts {
		s := t.status(p)
		if s == Clear {
			continue
		}

		e, doubt := t.evidence(p), time.Duration(0)
		if s == Quarantined {
			v.Quarantined++
			doubt = t.doubtEnd(now, e)
		}

		// A part that is quarantined for certain decides over one in doubt.
		if s > v.Status || s == Quarantined && doubt < v.RetryAfter {
			v.Status, v.Part, v.Crashes, v.RetryAfter = s, p, e.separate, doubt
		}
	}

	return v
}

// status derives the status of a part. The caller holds mu.
func (t *PartTracker) status(part string) Status {
	if len(t.byPart[part]) < t.cfg.CrashLimit-1 {
		return Clear
	}

	e := t.evidence(part)

	switch {
	case e.separate < t.cfg.CrashLimit-1:
		return Clear
	case !slices.ContainsFunc(t.byPart[part], func(k *partCrash) bool { return !t.explainedByOther(part, k) }):
		return Clear
	case !t.suffices(e):
		return Suspect
	default:
		return Quarantined
	}
}

// partEvidence is what crashes say against a part.
type partEvidence struct {
	// separate is the number of its separate crashes, weight their total weight.
	separate int
	weight   float64
	// late is the number of those that came later than settleTime after CrashLimit targets had ended.
	late int
	// last is when the last of them was, gap the time from the one before it.
	last time.Time
	gap  time.Duration
}

const (
	// settleTime is how long after CrashLimit targets have ended a part may end no more than a few, and
	// maxLate the number of those, without the tries of a quarantined part.
	settleTime = 3 * time.Second
	maxLate    = 2
)

// suffices reports whether evidence suffices to quarantine a part.
func (t *PartTracker) suffices(e partEvidence) bool {
	return e.separate >= t.cfg.MaxSeparate || e.late >= maxLate || e.separate >= t.cfg.CrashLimit && e.weight >= float64(t.cfg.CrashLimit)
}

// doubtEnd returns the time until a quarantined part is first tried, if its crashes weigh too little to be sure; zero
// otherwise.
func (t *PartTracker) doubtEnd(now time.Time, e partEvidence) time.Duration {
	if e.weight >= float64(t.cfg.CrashLimit) || e.late >= maxLate || t.wasProbed(e) {
		return 0
	}

	return max(e.last.Add(t.cfg.FirstProbe).Sub(now), minDoubt)
}

// minDoubt is the shortest PartVerdict.RetryAfter.
const minDoubt = 500 * time.Millisecond

// wasProbed reports whether the last crash came so late that it was probably that of a try.
func (t *PartTracker) wasProbed(e partEvidence) bool { return e.gap >= t.cfg.FirstProbe }

// evidence returns the evidence against a part. Crashes within Separation of each other count once. The caller holds
// mu.
func (t *PartTracker) evidence(part string) partEvidence {
	var e partEvidence

	all := t.byPart[part]

	for i := 0; i < len(all); {
		j := i + 1
		for j < len(all) && all[j].at.Sub(all[i].at) < t.cfg.Separation {
			j++
		}

		if w := weight(all[i:j]); w > 0 {
			if e.separate > 0 {
				e.gap = all[i].at.Sub(e.last)
			}

			e.separate++
			e.weight += w
			e.last = all[i].at

			if n := t.cfg.CrashLimit; i >= n && all[i].at.Sub(all[n-1].at) > settleTime {
				e.late++
			}
		}

		i = j
	}

	return e
}

const (
	// soundQuarantined is the probability with which a part that doesn't crash targets may be quarantined, for
	// each of its prompts.
	soundQuarantined = 1e-4
	// maxBroken is the fraction of broken requests from which a crash says nothing about its requests.
	maxBroken = 0.5
	// commonCause is the number of targets, for each that had a part, whose simultaneous end has another cause.
	commonCause = 4
	// simultaneous is the time between reports of targets that ended at once.
	simultaneous = 50 * time.Millisecond
)

// weight returns how much separate crashes, which were within Separation of each other, say against a part that all
// of them had: 1 for crashes that nothing else explains, 0 for none.
func weight(all []*partCrash) float64 {
	if all[0].together >= commonCause*len(all) {
		return 0
	}

	most := all[0]
	for _, k := range all {
		if k.beside.Broken+k.beside.Complete > most.beside.Broken+most.beside.Complete {
			most = k
		}
	}

	return most.weight
}

// weightBeside returns the weight of a crash beside which other requests ended. If some of them broke off, those with
// a part do by chance: CrashLimit crashes in a row have to have a probability below soundQuarantined.
func (t *PartTracker) weightBeside(beside Tally) float64 {
	broken := beside.brokenFraction()

	switch {
	case broken >= maxBroken:
		return 0
	case broken == 0:
		return 1
	default:
		return min(1, math.Log(broken)*float64(t.cfg.CrashLimit)/math.Log(soundQuarantined))
	}
}

// countTogether counts a crash, which is new, as one that came together with others. The caller holds mu.
func (t *PartTracker) countTogether(k *partCrash) {
	simultaneous := min(simultaneous, t.cfg.Separation)
	i, _ := slices.BinarySearchFunc(t.byTime, k.at.Add(-simultaneous), func(k *partCrash, at time.Time) int { return k.at.Compare(at) })

	for ; i < len(t.byTime) && t.byTime[i].at.Sub(k.at) <= simultaneous; i++ {
		k.together++

		if t.byTime[i] != k {
			t.byTime[i].together++
		}
	}
}

// explainedByOther reports whether another part that was running in k explains the crash. The caller
// holds mu.
func (t *PartTracker) explainedByOther(part string, k *partCrash) bool {
	return slices.ContainsFunc(k.parts, func(other string) bool { return other != part && t.explains(other, part) })
}

// explains reports whether one part explains the crashes in which both were running: it has as many as
// would quarantine it, and either only the other part ever got a response, or it had crashes without the
// other. Without that, two parts that always ran together would clear each other. The caller holds mu.
func (t *PartTracker) explains(part, other string) bool {
	if !t.suffices(t.evidence(part)) {
		return false
	}

	if done, otherDone := t.completed.Contains(part), t.completed.Contains(other); done != otherDone {
		return otherDone
	}

	return slices.ContainsFunc(t.byPart[part], func(k *partCrash) bool { return !slices.Contains(k.parts, other) })
}

// BeginProbe reports whether a process of a rank is due to try a quarantined part again, and records that it is tried. One
// that was quarantined by mistake is cleared by the response. The process of rank 0 is due first; others follow if they
// learn nothing of it, as it may get no prompt with the part.
func (t *PartTracker) BeginProbe(now time.Time, part string, rank int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if rank < 0 || rank >= maxProbeRanks || len(t.byPart[part]) == 0 {
		return false
	}

	e := t.evidence(part)
	last, delay := t.byPart[part][len(t.byPart[part])-1].at, t.cfg.FirstProbe

	if t.wasProbed(e) || e.late >= maxLate {
		const maxDoublings = 6

		delay = t.cfg.ProbeDelay << min(max(e.separate-t.cfg.CrashLimit, 0), maxDoublings)
	}

	if at, ok := t.probes[part]; ok && at.After(last) {
		last = at
	}

	if now.Sub(last) < delay+time.Duration(rank)*probeStagger {
		return false
	}

	t.probes[part] = now

	return true
}

const (
	// maxProbeRanks is the number of processes that may try a part, probeStagger the time from one to the next.
	maxProbeRanks = 4
	probeStagger  = 3 * time.Second
)

// CrashesOf returns the crashes that count against a part, oldest first.
func (t *PartTracker) CrashesOf(now time.Time, part string) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	var all []Crash
	for _, k := range t.byPart[part] {
		all = append(all, Crash{Target: k.target, Boot: k.boot, At: k.at, Parts: []string{part}})
	}

	return all
}

// Crashes returns the crashes with their parts that are suspect or quarantined, oldest first. A process
// that doesn't know which parts got responses would suspect the others wrongly.
func (t *PartTracker) Crashes(now time.Time) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	var all []Crash

	for _, k := range t.byTime {
		if len(k.parts) == 0 || weight([]*partCrash{k}) == 0 {
			continue
		}

		parts := slices.DeleteFunc(slices.Clone(k.parts), func(p string) bool { return t.status(p) == Clear })
		if len(parts) > 0 {
			all = append(all, Crash{Target: k.target, Boot: k.boot, At: k.at, Parts: parts, Beside: k.beside})
		}
	}

	return all
}

// Digest returns a hash of what Crashes returns, apart from times.
func (t *PartTracker) Digest(now time.Time) uint64 {
	sum := uint64(0)

	for _, c := range t.Crashes(now) {
		h := xxh3.HashString(c.Target + "\x00" + c.Boot)
		for _, p := range c.Parts {
			sum += xxh3.HashStringSeed(p, h)
		}
	}

	return sum
}

// Len returns the number of crashes and of the parts that any of them counts against.
func (t *PartTracker) Len() (crashes, parts int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.byTime), len(t.byPart)
}

// expire drops the crashes that are older than cfg.Retention. The caller holds mu.
func (t *PartTracker) expire(now time.Time) {
	for len(t.byTime) > 0 && now.Sub(t.byTime[0].at) > t.cfg.Retention {
		t.dropOldest()
	}
}

// dropOldest drops the oldest crash. The caller holds mu.
func (t *PartTracker) dropOldest() {
	k := t.byTime[0]
	t.byTime = t.byTime[1:]
	delete(t.crashes, k.crashKey)

	for _, p := range k.parts {
		t.byPart[p] = slices.DeleteFunc(t.byPart[p], func(o *partCrash) bool { return o == k })
		if len(t.byPart[p]) == 0 {
			delete(t.byPart, p)
			delete(t.probes, p)
		}
	}
}
