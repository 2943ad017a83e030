package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"boragehub/failure"
)

// PartTrackerConfig configures a PartTracker. Zero fields have a default.
type PartTrackerConfig struct {
	// CrashLimit is the number of separate crashes at which a part is quarantined; zero means 3.
	CrashLimit int
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
	// MaxCrashes is the maximum number of crashes kept, MaxParts that of parts of one crash, and
	// MaxCompleted that of parts whose last response is known. Zero means 1024, 512 and 16384.
	MaxCrashes, MaxParts, MaxCompleted int
}

// PartTracker finds parts of prompts that crash the targets which begin a response to them,
// whatever else the prompts contain.
//
// A crash counts against all parts of the prompts that were running, but the last parts. They are
// told apart by the responses: a complete response clears the parts of its prompt, so that
// those which sound prompts have in common are clear again before the next crash. A part that is left
// with CrashLimit separate crashes is quarantined, unless all of them have another explanation, see
// explains.
//
// Create it with NewPartTracker. Its methods may be called concurrently.
type PartTracker struct {
	cfg PartTrackerConfig

	mu        sync.Mutex
	crashes   map[crashKey]*partCrash
	byTime    []*partCrash            // oldest first
	byPart    map[string][]*partCrash // those that count against a part, oldest first
	completed *simplelru.LRU[string, time.Time]
	probes    map[string]time.Time // when a quarantined part was last tried
}

// partCrash is a crash and the parts that it counts against.
type partCrash struct {
	crashKey
	at    time.Time // by this process's clock
	parts []string
}

// NewPartTracker returns an empty PartTracker.
func NewPartTracker(cfg PartTrackerConfig) *PartTracker {
	for _, x := range []struct {
		field *int
		value int
	}{{&cfg.CrashLimit, 3}, {&cfg.MaxCrashes, 1024}, {&cfg.MaxParts, 512}, {&cfg.MaxCompleted, 16384}} {
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

	completed, err := simplelru.NewLRU[string, time.Time](cfg.MaxCompleted, nil)
	if err != nil {
		panic(err) // the size is positive
	}

	return &PartTracker{
		cfg: cfg, crashes: make(map[crashKey]*partCrash), byPart: make(map[string][]*partCrash),
		completed: completed, probes: make(map[string]time.Time),
	}
}

// RecordCrash records the parts of a crash, and returns those that are quarantined as a result.
func (t *PartTracker) RecordCrash(now time.Time, c Crash) []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	if len(c.Parts) == 0 {
		return nil
	}

	at := crashKey{c.Target, c.Boot}

	k, ok := t.crashes[at]
	if !ok {
		k = &partCrash{crashKey: at, at: c.At}
		if k.at.IsZero() || k.at.After(now) {
			k.at = now
		}

		t.crashes[at] = k
		t.byTime = insertByTime(t.byTime, k)
	}

	var added []string

	for _, p := range c.Parts {
		if len(k.parts) < t.cfg.MaxParts && !slices.Contains(k.parts, p) && t.countsAgainst(p, k) {
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

// RecordCompletion records that a prompt with some parts got a complete response, which one with a part that
// crashes targets would not have got. It returns the parts that crashes counted against until now.
func (t *PartTracker) RecordCompletion(now time.Time, parts []string) (cleared []string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, p := range parts {
		t.completed.Add(p, now)

		if len(t.byPart[p]) > 0 {
			t.clear(p)

			cleared = append(cleared, p)
		}
	}

	return cleared
}

// clear removes a part from all crashes. The caller holds mu.
func (t *PartTracker) clear(part string) {
	for _, k := range t.byPart[part] {
		k.parts = slices.DeleteFunc(k.parts, func(p string) bool { return p == part })
	}

	delete(t.byPart, part)
	delete(t.probes, part)
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
}

// Err returns an error of kind failure.Quarantined if a part is quarantined, nil otherwise.
func (v PartVerdict) Err() error {
	if v.Status != Quarantined {
		return nil
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
		if s == Quarantined {
			v.Quarantined++
		}

		if s > v.Status {
			v.Status, v.Part, v.Crashes = s, p, t.separateCrashes(p)
		}
	}

	return v
}

// status derives the status of a part. The caller holds mu.
func (t *PartTracker) status(part string) Status {
	if len(t.byPart[part]) < t.cfg.CrashLimit-1 {
		return Clear
	}

	crashes := t.separateCrashes(part)

	switch {
	case crashes < t.cfg.CrashLimit-1:
		return Clear
	case !slices.ContainsFunc(t.byPart[part], func(k *partCrash) bool { return !t.explainedByOther(part, k) }):
		return Clear
	case crashes < t.cfg.CrashLimit:
		return Suspect
	default:
		return Quarantined
	}
}

// separateCrashes returns the number of crashes that count against a part, those within Separation of
// each other once. The caller holds mu.
func (t *PartTracker) separateCrashes(part string) int {
	n := 0

	var last time.Time

	for _, k := range t.byPart[part] {
		if n == 0 || k.at.Sub(last) >= t.cfg.Separation {
			n++
			last = k.at
		}
	}

	return n
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
	if t.separateCrashes(part) < t.cfg.CrashLimit {
		return false
	}

	if done, otherDone := t.completed.Contains(part), t.completed.Contains(other); done != otherDone {
		return otherDone
	}

	return slices.ContainsFunc(t.byPart[part], func(k *partCrash) bool { return !slices.Contains(k.parts, other) })
}

// BeginProbe reports whether a quarantined part is due to be tried again, and records that it is tried. One
// that was quarantined by mistake is cleared by the response.
func (t *PartTracker) BeginProbe(now time.Time, part string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	all := t.byPart[part]
	if len(all) == 0 {
		return false
	}

	last := all[len(all)-1].at
	if at, ok := t.probes[part]; ok && at.After(last) {
		last = at
	}

	const maxDoublings = 6

	further := min(max(t.separateCrashes(part)-t.cfg.CrashLimit, 0), maxDoublings)
	if now.Sub(last) < t.cfg.ProbeDelay<<further {
		return false
	}

	t.probes[part] = now

	return true
}

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
		parts := slices.DeleteFunc(slices.Clone(k.parts), func(p string) bool { return t.status(p) == Clear })
		if len(parts) > 0 {
			all = append(all, Crash{Target: k.target, Boot: k.boot, At: k.at, Parts: parts})
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
