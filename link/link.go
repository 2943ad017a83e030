// Package link keeps what is promised on the links between data centres.
//
// # Model
//
// A Link carries one transfer at a time at its whole rate. Each transfer has a
// Window, its slot in time. Imports come first: a caller waits for them. Exports
// take what time imports leave and are moved back when a new import needs their
// slot. Within a class the organisation that was given the
// fewest bytes for its share goes first. A transfer that has begun keeps its
// slot until it is done, so long ones are cut into chunks by ReserveChunks.
//
// Estimates are wrong: a transfer that ends early frees the rest of its slot,
// and one that lasts longer pushes the others back, until it is given up as
// lost. The rate is measured on each transfer that is done; what was measured
// counts less as it ages, so that a link which was slow is tried again. Whoever holds a window asks Window for where it stands now.
//
//	l := link.New(link.Config{BytesPerSecond: 1.25e9})
//	w, ok := l.Reserve(now, link.Request{Bytes: 200 << 20, Class: link.Import, Organisation: "a"})
//	l.Done(later, w.ID, 200<<20)
package link

import (
	"math"
	"slices"
	"time"
)

// Class orders transfers on a link. The zero Class is Import.
type Class uint8

// The classes, the most pressing first.
const (
	// Import brings a context to an engine while its caller waits.
	Import Class = iota
	// Export copies a context from an engine before it is evicted.
	Export
)

// String returns the snake-case name of c.
func (c Class) String() string {
	return [...]string{"import", "export"}[c]
}

// Config describes a Link. Zero fields take their defaults.
type Config struct {
	// BytesPerSecond is the rate of the link at its best; 1.25 GB/s when zero.
	BytesPerSecond float64
	// Latency is added to each transfer.
	Latency time.Duration
	// MaxWindows bounds the transfers promised at once; 256 when zero.
	MaxWindows int
	// ChunkBytes is the most that ReserveChunks puts into one window; 1 GiB when zero.
	ChunkBytes int64
	// Measurable is the least transfer from which the rate is learned; 8 MiB when zero.
	Measurable int64
	// Overrun is how long after its usual length a transfer that was not reported
	// done keeps its slot, as a part of that length; 2 when zero.
	Overrun float64
}

// The defaults of Config.
const (
	defaultRate    = 1.25e9
	defaultWindows = 256
	defaultChunk   = 1 << 30
	defaultOverrun = 2
	defaultLeast   = 8 << 20
)

// Request asks for a window.
type Request struct {
	// Bytes is the size of the transfer.
	Bytes int64
	// Class orders it.
	Class Class
	// Rank orders it within its class, the lower the sooner.
	Rank int
	// Organisation is whose context it is.
	Organisation string
	// Share is the organisation's weight; 1 when zero.
	Share float64
	// Latest is the latest useful end, from now; zero means any.
	Latest time.Duration
}

// Window is the slot of one transfer.
type Window struct {
	// ID identifies the window on its link; it starts at 1.
	ID uint64
	// Class and Rank are those asked for.
	Class Class
	Rank  int
	// Organisation is whose context it is.
	Organisation string
	// Bytes is the size of the transfer.
	Bytes int64
	// Start and End bound the slot.
	Start, End time.Time

	// order is the virtual time by which windows of a class are ordered.
	order float64
}

// Length returns the length of the slot.
func (w Window) Length() time.Duration { return w.End.Sub(w.Start) }

// Link is one direction between two data centres. Use New. It is not safe for
// concurrent use.
type Link struct {
	cfg        Config
	windows    []Window // in order of Start, without overlaps
	last       uint64
	virtual    float64
	rate       float64 // as of the last call
	shortfall  float64 // how far below its best the rate was measured
	measuredAt time.Time
	given      map[string]float64 // the order of each organisation's last window
	free       time.Time          // when the last import promised ends
}

// New returns a Link with nothing promised.
func New(cfg Config) *Link {
	if cfg.BytesPerSecond <= 0 {
		cfg.BytesPerSecond = defaultRate
	}

	if cfg.MaxWindows <= 0 {
		cfg.MaxWindows = defaultWindows
	}

	if cfg.ChunkBytes <= 0 {
		cfg.ChunkBytes = defaultChunk
	}

	if cfg.Measurable <= 0 {
		cfg.Measurable = defaultLeast
	}

	if cfg.Overrun <= 0 {
		cfg.Overrun = defaultOverrun
	}

	return &Link{cfg: cfg, rate: cfg.BytesPerSecond, given: map[string]float64{}}
}

// Len returns the number of windows promised.
func (l *Link) Len() int { return len(l.windows) }

// Windows appends the windows promised to dst in order of their start.
func (l *Link) Windows(dst []Window) []Window { return append(dst, l.windows...) }

// Window returns where window id stands now, and whether it is still promised.
func (l *Link) Window(now time.Time, id uint64) (Window, bool) {
	l.settle(now)

	i := l.find(id)
	if i < 0 {
		return Window{}, false
	}

	return l.windows[i], true
}

// Rate returns the rate of the link in bytes a second as it was measured; the
// older the measurement, the nearer to the link's best.
func (l *Link) Rate(now time.Time) float64 {
	if l.shortfall == 0 {
		return l.cfg.BytesPerSecond
	}

	age := max(now.Sub(l.measuredAt), 0)

	return l.cfg.BytesPerSecond - l.shortfall*math.Exp2(-float64(age)/float64(rateHalfLife))
}

// The way in which the rate is measured.
const (
	// rateHalfLife is after how long a measurement counts half.
	rateHalfLife = 20 * time.Second
	// rateWeight is the weight of one transfer against those before.
	rateWeight = 0.5
)

// measure learns the rate from a transfer of bytes that took so long.
func (l *Link) measure(now time.Time, bytes int64, took time.Duration) {
	took -= l.cfg.Latency
	if bytes < l.cfg.Measurable || took <= 0 {
		return
	}

	before := l.Rate(now)
	seen := min(float64(bytes)/took.Seconds(), l.cfg.BytesPerSecond)
	l.shortfall = l.cfg.BytesPerSecond - (before + rateWeight*(seen-before))
	l.measuredAt = now
}

// Wait returns how long a new import would wait for the transfer that runs and
// the imports that are promised.
func (l *Link) Wait(now time.Time) time.Duration {
	return max(l.free.Sub(now), 0)
}

// Backlog returns how long the transfers of all classes that are promised still take.
func (l *Link) Backlog(now time.Time) time.Duration {
	if len(l.windows) == 0 {
		return 0
	}

	return max(l.windows[len(l.windows)-1].End.Sub(now), 0)
}

// Estimate returns the time from now until an import of bytes would be over.
func (l *Link) Estimate(now time.Time, bytes int64) time.Duration {
	return l.Wait(now) + l.length(bytes)
}

// Reserve promises a window, and reports false when the link has too many or
// the window would end after q.Latest.
func (l *Link) Reserve(now time.Time, q Request) (Window, bool) {
	l.settle(now)

	if len(l.windows) >= l.cfg.MaxWindows {
		return Window{}, false
	}

	w := Window{ID: l.last + 1, Class: q.Class, Rank: q.Rank, Organisation: q.Organisation, Bytes: q.Bytes, Start: now}
	w.End = now.Add(l.length(q.Bytes))
	w.order = l.tag(q)
	begun := l.begun(now)
	l.windows = append(l.windows, w)
	l.lay(now, begun)

	w = l.windows[l.find(w.ID)]
	if q.Latest > 0 && w.End.Sub(now) > q.Latest {
		l.drop(now, w.ID)
		return Window{}, false
	}

	l.last = w.ID
	l.given[q.Organisation] = w.order + l.weighed(q)

	return w, true
}

// ReserveChunks promises a window for each chunk of a transfer and appends their
// ids to dst. A more pressing transfer goes between two chunks and so need not
// wait for the whole of a long one. Chunks for which there is no window left are
// sent when those before them are done.
func (l *Link) ReserveChunks(now time.Time, q Request, dst []uint64) []uint64 {
	for left := q.Bytes; left > 0; left -= l.cfg.ChunkBytes {
		q.Bytes = min(left, l.cfg.ChunkBytes)

		w, ok := l.Reserve(now, q)
		if !ok {
			return dst
		}

		dst = append(dst, w.ID)
	}

	return dst
}

// Chunk returns the most that ReserveChunks puts into one window, in bytes.
func (l *Link) Chunk() int64 { return l.cfg.ChunkBytes }

// Done ends window id after the given bytes came over; others move forward.
func (l *Link) Done(now time.Time, id uint64, bytes int64) {
	if i := l.find(id); i >= 0 {
		l.measure(now, bytes, now.Sub(l.windows[i].Start))
	}

	l.Cancel(now, id)
}

// Cancel gives window id back, whether or not it has begun; others move forward.
func (l *Link) Cancel(now time.Time, id uint64) {
	l.settle(now)
	l.drop(now, id)
}

// tag returns the virtual time at which q is served: behind the organisation's
// own last window, though not in the past.
func (l *Link) tag(q Request) float64 {
	return max(l.virtual, l.given[q.Organisation])
}

func (l *Link) weighed(q Request) float64 {
	share := q.Share
	if share <= 0 {
		share = 1
	}

	return float64(q.Bytes) / share
}

func (l *Link) length(bytes int64) time.Duration {
	seconds := float64(max(bytes, 0)) / l.rate

	return l.cfg.Latency + time.Duration(math.Ceil(seconds*float64(time.Second)))
}

func (l *Link) find(id uint64) int {
	return slices.IndexFunc(l.windows, func(w Window) bool { return w.ID == id })
}

func (l *Link) drop(now time.Time, id uint64) {
	i := l.find(id)
	if i < 0 {
		return
	}

	begun := l.begun(now)
	if i == 0 {
		begun = 0
	}

	l.windows = slices.Delete(l.windows, i, i+1)
	l.lay(now, begun)
}

// begun returns how many windows have begun: the first one or none.
func (l *Link) begun(now time.Time) int {
	if len(l.windows) == 0 || l.windows[0].Start.After(now) {
		return 0
	}

	return 1
}

// settle brings the windows up to now. The first one keeps its slot until it is
// reported done, or until Overrun is over: it is then lost, because otherwise a
// holder that died would block the link for ever.
func (l *Link) settle(now time.Time) {
	var free time.Time

	l.rate = l.Rate(now)

	for len(l.windows) > 0 {
		w := &l.windows[0]
		w.Start = later(w.Start, free)

		if w.Start.After(now) {
			break
		}

		l.virtual = max(l.virtual, w.order)
		whole := l.length(w.Bytes)
		lost := w.Start.Add(whole + time.Duration(l.cfg.Overrun*float64(whole)))

		if !now.After(lost) {
			l.extend(now, w)
			break
		}

		free = lost
		l.windows = slices.Delete(l.windows, 0, 1)
	}

	l.lay(now, l.begun(now))

	if len(l.windows) == 0 {
		clear(l.given)

		l.virtual = 0
	}
}

// extend gives a transfer that is late another part of its length.
func (l *Link) extend(now time.Time, w *Window) {
	const part = 4

	whole := l.length(w.Bytes)
	w.End = later(w.End, w.Start.Add(whole))

	if !w.End.After(now) {
		w.End = now.Add(whole/part + 1)
	}
}

// lay places the windows behind the first begun ones anew, by class and order.
func (l *Link) lay(now time.Time, begun int) {
	free := now
	for i := range begun {
		free = later(free, l.windows[i].End)
	}

	l.free = free
	rest := l.windows[begun:]
	slices.SortStableFunc(rest, compare)

	for i := range rest {
		rest[i].Start = free
		rest[i].End = free.Add(l.length(rest[i].Bytes))
		free = rest[i].End

		if rest[i].Class == Import {
			l.free = free
		}
	}
}

func compare(a, b Window) int {
	switch {
	case a.Class != b.Class:
		return int(a.Class) - int(b.Class)
	case a.Rank != b.Rank:
		return a.Rank - b.Rank
	case a.order < b.order:
		return -1
	case a.order > b.order:
		return 1
	case a.ID < b.ID:
		return -1
	default:
		return 1
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}

	return a
}
