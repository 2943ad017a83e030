// Package link schedules the transfers on the links between data centres.
//
// # Model
//
// A Link carries one transfer at a time at its full rate. Each transfer reserves
// a Window, its time slot. Imports go first, because callers wait for them.
// Exports use the time that imports leave and are postponed when a new import
// needs their slot. Within a class and rank the link is shared by start-time
// fair queueing: the organisation with the fewest bytes reserved in proportion
// to its share goes first. A transfer that has started keeps its slot until it
// is done, so ReserveChunks splits long transfers.
//
// Slots are estimates. A transfer that ends early releases the rest of its slot,
// and one that takes longer delays the others until it is regarded as lost. The
// rate is measured with each transfer that is done. The weight of a measurement
// decays with its age, so that a link that was slow is used again. The slot of a
// window can thus change at any time; Link.Window returns the current one.
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

// Class is the priority class of a transfer. The zero Class is Import.
type Class uint8

// The classes, the most urgent first.
const (
	// Import copies a context to an engine while the caller waits.
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
	// BytesPerSecond is the maximum rate of the link; 1.25 GB/s when zero.
	BytesPerSecond float64
	// Latency is added to the time of each transfer.
	Latency time.Duration
	// MaxWindows bounds the windows reserved at the same time; 256 when zero.
	MaxWindows int
	// ChunkBytes is the maximum size of a chunk of ReserveChunks; 1 GiB when zero.
	ChunkBytes int64
	// MinMeasuredBytes is the minimum size of a transfer by which the rate is
	// measured, in bytes; 8 MiB when zero.
	MinMeasuredBytes int64
	// Overrun is how much longer than expected a transfer may take before it is
	// regarded as lost, as a multiple of the expected time; 2 when zero.
	Overrun float64
}

// The default values of Config.
const (
	defaultRate             = 1.25e9
	defaultMaxWindows       = 256
	defaultChunkBytes       = 1 << 30
	defaultOverrun          = 2
	defaultMinMeasuredBytes = 8 << 20
)

// Request describes a transfer for which to reserve a window.
type Request struct {
	// Bytes is the size of the transfer in bytes.
	Bytes int64
	// Class is the priority class of the transfer.
	Class Class
	// Rank orders transfers within a class; lower ranks go first.
	Rank int
	// Organisation is the organisation that the context belongs to.
	Organisation string
	// Share is the organisation's weight in fair queueing; 1 when zero.
	Share float64
	// MaxEnd is the maximum time from now to the end of the window; zero means no
	// maximum.
	MaxEnd time.Duration
}

// Window is the reserved time slot of one transfer.
type Window struct {
	// ID identifies the window on its link; the first is 1.
	ID uint64
	// Class and Rank are those of the Request.
	Class Class
	Rank  int
	// Organisation is the organisation that the context belongs to.
	Organisation string
	// Bytes is the size of the transfer in bytes.
	Bytes int64
	// Start and End are the bounds of the slot.
	Start, End time.Time

	// virtualStart is the virtual time, in bytes per share, by which the windows
	// of a class and rank are ordered.
	virtualStart float64
}

// Duration returns the length of the slot.
func (w Window) Duration() time.Duration { return w.End.Sub(w.Start) }

// Link is the link from one data centre to another, in one direction. Use New.
// It is not safe for concurrent use.
type Link struct {
	cfg         Config
	windows     []Window // in order of Start, without overlaps
	lastID      uint64
	virtualTime float64
	rate        float64 // as of the last call of advance
	rateDeficit float64 // the maximum rate less the measured rate, as of measuredAt
	measuredAt  time.Time
	virtualEnds map[string]float64 // the virtual end of each organisation's last window
	importsEnd  time.Time          // when the running transfer and the last reserved import end
}

// New returns a Link without windows.
func New(cfg Config) *Link {
	if cfg.BytesPerSecond <= 0 {
		cfg.BytesPerSecond = defaultRate
	}

	if cfg.MaxWindows <= 0 {
		cfg.MaxWindows = defaultMaxWindows
	}

	if cfg.ChunkBytes <= 0 {
		cfg.ChunkBytes = defaultChunkBytes
	}

	if cfg.MinMeasuredBytes <= 0 {
		cfg.MinMeasuredBytes = defaultMinMeasuredBytes
	}

	if cfg.Overrun <= 0 {
		cfg.Overrun = defaultOverrun
	}

	return &Link{cfg: cfg, rate: cfg.BytesPerSecond, virtualEnds: map[string]float64{}}
}

// Len returns the number of windows reserved.
func (l *Link) Len() int { return len(l.windows) }

// Windows appends the reserved windows to dst in order of their start.
func (l *Link) Windows(dst []Window) []Window { return append(dst, l.windows...) }

// Window returns window id with its current slot, and whether it is still
// reserved.
func (l *Link) Window(now time.Time, id uint64) (Window, bool) {
	l.advance(now)

	i := l.indexOf(id)
	if i < 0 {
		return Window{}, false
	}

	return l.windows[i], true
}

// Rate returns the estimated rate of the link in bytes per second. It is the
// measured rate, and approaches the maximum rate as the measurement ages.
func (l *Link) Rate(now time.Time) float64 {
	if l.rateDeficit == 0 {
		return l.cfg.BytesPerSecond
	}

	age := max(now.Sub(l.measuredAt), 0)

	return l.cfg.BytesPerSecond - l.rateDeficit*math.Exp2(-float64(age)/float64(rateHalfLife))
}

// The parameters of the rate measurement.
const (
	// rateHalfLife is the time after which the weight of a measurement halves.
	rateHalfLife = 20 * time.Second
	// rateWeight is the weight of the newest transfer against the earlier ones.
	rateWeight = 0.5
)

// measureRate updates the rate with a transfer of this size and duration.
func (l *Link) measureRate(now time.Time, bytes int64, took time.Duration) {
	took -= l.cfg.Latency
	if bytes < l.cfg.MinMeasuredBytes || took <= 0 {
		return
	}

	previous := l.Rate(now)
	measured := min(float64(bytes)/took.Seconds(), l.cfg.BytesPerSecond)
	l.rateDeficit = l.cfg.BytesPerSecond - (previous + rateWeight*(measured-previous))
	l.measuredAt = now
}

// Wait returns how long a new import would wait for the running transfer and the
// reserved imports.
func (l *Link) Wait(now time.Time) time.Duration {
	return max(l.importsEnd.Sub(now), 0)
}

// Backlog returns the time until the reserved transfers of all classes end.
func (l *Link) Backlog(now time.Time) time.Duration {
	if len(l.windows) == 0 {
		return 0
	}

	return max(l.windows[len(l.windows)-1].End.Sub(now), 0)
}

// Estimate returns the time from now until a new import of this size would end.
func (l *Link) Estimate(now time.Time, bytes int64) time.Duration {
	return l.Wait(now) + l.transferTime(bytes)
}

// Reserve reserves a window. It reports false when the link has MaxWindows
// already or the window would end after q.MaxEnd.
func (l *Link) Reserve(now time.Time, q Request) (Window, bool) {
	l.advance(now)

	if len(l.windows) >= l.cfg.MaxWindows {
		return Window{}, false
	}

	w := Window{ID: l.lastID + 1, Class: q.Class, Rank: q.Rank, Organisation: q.Organisation, Bytes: q.Bytes, Start: now}
	w.End = now.Add(l.transferTime(q.Bytes))
	w.virtualStart = l.virtualStartOf(q)
	started := l.startedCount(now)
	l.windows = append(l.windows, w)
	l.schedule(now, started)

	w = l.windows[l.indexOf(w.ID)]
	if q.MaxEnd > 0 && w.End.Sub(now) > q.MaxEnd {
		l.remove(now, w.ID)
		return Window{}, false
	}

	l.lastID = w.ID
	l.virtualEnds[q.Organisation] = w.virtualStart + l.virtualDuration(q)

	return w, true
}

// ReserveChunks reserves a window for each chunk of a transfer and appends the
// IDs to dst. A more urgent transfer can go between two chunks, so that it need
// not wait for the end of a long one. It stops at the first chunk that gets no
// window; the caller sends the rest once the earlier chunks are done.
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

// ChunkBytes returns the maximum size of a chunk of ReserveChunks, in bytes.
func (l *Link) ChunkBytes() int64 { return l.cfg.ChunkBytes }

// Done ends window id after a transfer of this size, by which it measures the
// rate. Later windows move forward.
func (l *Link) Done(now time.Time, id uint64, bytes int64) {
	if i := l.indexOf(id); i >= 0 {
		l.measureRate(now, bytes, now.Sub(l.windows[i].Start))
	}

	l.Cancel(now, id)
}

// Cancel releases window id, whether or not it has started. Later windows move
// forward.
func (l *Link) Cancel(now time.Time, id uint64) {
	l.advance(now)
	l.remove(now, id)
}

// virtualStartOf returns the virtual start time of q: the virtual end of the
// organisation's last window, but no earlier than the current virtual time.
func (l *Link) virtualStartOf(q Request) float64 {
	return max(l.virtualTime, l.virtualEnds[q.Organisation])
}

func (l *Link) virtualDuration(q Request) float64 {
	share := q.Share
	if share <= 0 {
		share = 1
	}

	return float64(q.Bytes) / share
}

func (l *Link) transferTime(bytes int64) time.Duration {
	seconds := float64(max(bytes, 0)) / l.rate

	return l.cfg.Latency + time.Duration(math.Ceil(seconds*float64(time.Second)))
}

func (l *Link) indexOf(id uint64) int {
	return slices.IndexFunc(l.windows, func(w Window) bool { return w.ID == id })
}

func (l *Link) remove(now time.Time, id uint64) {
	i := l.indexOf(id)
	if i < 0 {
		return
	}

	started := l.startedCount(now)
	if i == 0 {
		started = 0
	}

	l.windows = slices.Delete(l.windows, i, i+1)
	l.schedule(now, started)
}

// startedCount returns the number of windows that have started: one or none.
func (l *Link) startedCount(now time.Time) int {
	if len(l.windows) == 0 || l.windows[0].Start.After(now) {
		return 0
	}

	return 1
}

// advance updates the windows to time now. The first one keeps its slot until it
// is done or cancelled, or until it exceeds Overrun. It is then regarded as lost
// and removed; otherwise a crashed process would block the link for ever.
func (l *Link) advance(now time.Time) {
	var lastEnd time.Time

	l.rate = l.Rate(now)

	for len(l.windows) > 0 {
		w := &l.windows[0]
		w.Start = later(w.Start, lastEnd)

		if w.Start.After(now) {
			break
		}

		l.virtualTime = max(l.virtualTime, w.virtualStart)
		expected := l.transferTime(w.Bytes)
		lostAt := w.Start.Add(expected + time.Duration(l.cfg.Overrun*float64(expected)))

		if !now.After(lostAt) {
			l.extendOverdue(now, w)
			break
		}

		lastEnd = lostAt
		l.windows = slices.Delete(l.windows, 0, 1)
	}

	l.schedule(now, l.startedCount(now))

	if len(l.windows) == 0 {
		clear(l.virtualEnds)

		l.virtualTime = 0
	}
}

// extendOverdue extends the slot of w to its expected time, or, if that has
// passed, to a quarter of the expected time from now.
func (l *Link) extendOverdue(now time.Time, w *Window) {
	const divisor = 4

	expected := l.transferTime(w.Bytes)
	w.End = later(w.End, w.Start.Add(expected))

	if !w.End.After(now) {
		w.End = now.Add(expected/divisor + 1)
	}
}

// schedule assigns new slots to the windows after the started ones, in the order
// of compareWindows.
func (l *Link) schedule(now time.Time, started int) {
	nextStart := now
	for i := range started {
		nextStart = later(nextStart, l.windows[i].End)
	}

	l.importsEnd = nextStart
	rest := l.windows[started:]
	slices.SortStableFunc(rest, compareWindows)

	for i := range rest {
		rest[i].Start = nextStart
		rest[i].End = nextStart.Add(l.transferTime(rest[i].Bytes))
		nextStart = rest[i].End

		if rest[i].Class == Import {
			l.importsEnd = nextStart
		}
	}
}

func compareWindows(a, b Window) int {
	switch {
	case a.Class != b.Class:
		return int(a.Class) - int(b.Class)
	case a.Rank != b.Rank:
		return a.Rank - b.Rank
	case a.virtualStart < b.virtualStart:
		return -1
	case a.virtualStart > b.virtualStart:
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
