package vault

import (
	"context"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/mirror"
	"boragehub/pause"
)

// Source calls the stores.
type Source interface {
	// Events returns a store's changes from the sequence number since. It waits for the
	// first change, up to wait.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error)
	// List returns the full list of the parts that a store holds.
	List(ctx context.Context, address string) (Listing, error)
	// Free frees parts, unless the store is no longer in the epoch or the engines' clock,
	// in ms, is past until.
	Free(ctx context.Context, address string, epoch int64, parts []Part, until int64) error
}

// Timing of the Watcher.
const (
	// eventWait is how long a call for events waits for a change. It is the longest wait
	// that stores allow, so an idle store costs one call a second.
	eventWait = time.Second
	// clockEventWait replaces eventWait while the process does not know the engines' clock,
	// which only responses with events report and without which nothing is fetched. With a
	// wait of 1 s, all prompts were recomputed for the first second after a start. Stores
	// count a shorter wait as a probe.
	clockEventWait = 200 * time.Millisecond
	// eventTimeoutMargin is how much longer than its wait a call for events may take.
	eventTimeoutMargin = 700 * time.Millisecond
	// listTimeout is the timeout for reading a full list.
	listTimeout = time.Second
	// peerPollInterval is the pause between two polls of the processes that follow the
	// stores.
	peerPollInterval = 300 * time.Millisecond
	// minRetryPause is the pause after the first failed call to a store.
	minRetryPause = 500 * time.Millisecond
	// maxRetryPause bounds that pause, which doubles with each failure, in processes that do
	// not follow the stores for others. If those that do are lost, hundreds of processes may
	// call a store at once.
	maxRetryPause = 4 * time.Second
	// directCallDelay is how long a store must go unreported by other processes before a process
	// that does not follow the stores for others calls it. When all processes start together,
	// those that follow the stores need some rounds before they know them.
	directCallDelay = time.Second
	// maxPeerFailureAge is how long a process that failed to respond is ranked behind the others.
	maxPeerFailureAge = 20 * time.Second
	// versionPollInterval is the pause between two rounds of asking processes whether they
	// know a version.
	versionPollInterval = 200 * time.Millisecond
	// sweepInterval is the pause between two searches for parts to free.
	sweepInterval = 500 * time.Millisecond
	// maxFreedParts is the maximum number of parts in one call to Free.
	maxFreedParts = 500
	// freeTimeout is the timeout of a call to Free. A store ignores calls that arrive later.
	freeTimeout = time.Second
)

// Peers calls the other processes that use the stores.
type Peers interface {
	// Watchers returns the processes to ask about the stores, in order of preference. Self
	// reports whether this process follows the stores directly.
	Watchers() (others []string, self bool)
	// StoreUpdates requests a process's updates since the positions.
	StoreUpdates(ctx context.Context, peer string, positions []Position) ([]Update, error)
	// Registered reads from the log which processes may use RegisteredGrace. Its error is not nil if
	// this process doesn't know yet that the log has returned from a copy, see Watcher.LogReset.
	Registered(ctx context.Context) ([]string, error)
	// Knows reports whether a process has read the operators' topic up to and including a
	// position, and no longer acts on what it held before.
	Knows(ctx context.Context, peer string, at mirror.Position) bool
}

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	// Directory receives what the Watcher learns.
	Directory *Directory
	// Source calls the stores.
	Source Source
	// Peers are asked about the stores that they follow, because stores accept only a few
	// concurrent calls.
	Peers Peers
	// Rank returns this process's rank among the processes that free parts of a store,
	// zero for the first. Each waits its rank times RankDelay.
	Rank func(address string) int
	// Engines are those that may be fetching; nil means that there are none.
	Engines Engines
	// Start is when this process started, FirstStart whether all processes started then for the first
	// time.
	Start      time.Time
	FirstStart bool
	// Log receives a line whenever a store is lost, is reachable again, misses events or
	// has parts freed.
	Log logr.Logger
}

// RankDelay is the delay per rank before a process frees parts, so that usually only one
// process calls a store.
const RankDelay = 2 * time.Second

// Watcher follows all stores and frees the parts of replaced weight versions. Use
// NewWatcher; its methods are safe for concurrent use.
type Watcher struct {
	cfg WatcherConfig

	mu       sync.Mutex
	ctx      context.Context //nolint:containedctx // for the goroutines that SetNewestVersion starts
	stores   []Store
	stops    map[string]context.CancelFunc // by address, of the stores followed directly
	replaced map[string][]replacement      // by model, oldest version first
	reported map[string]bool               // addresses of the stores that another process reported
	changed  chan struct{}                 // signals that Configure was called
	resetAt  time.Time                     // when the log last returned from a copy, as far as this process knows; zero for never

	// Only the pollPeers goroutine may use these.
	peerFailedAt    map[string]time.Time // last failures to respond, by process
	unreportedSince map[string]time.Time // start of the current period without reports from other processes, by address
}

// maxReplacements is the maximum number of versions kept per model.
const maxReplacements = 8

// NewWatcher returns a Watcher that Run starts.
func NewWatcher(cfg WatcherConfig) *Watcher {
	w := &Watcher{
		cfg: cfg, stops: make(map[string]context.CancelFunc), replaced: make(map[string][]replacement),
		reported: make(map[string]bool), changed: make(chan struct{}, 1), peerFailedAt: make(map[string]time.Time),
		unreportedSince: make(map[string]time.Time),
	}

	if !cfg.FirstStart {
		w.resetAt = cfg.Start // the log may have returned from a copy just before
	}

	return w
}

// Configure sets the stores.
func (w *Watcher) Configure(stores []Store) {
	w.cfg.Directory.Configure(stores)

	w.mu.Lock()
	defer w.mu.Unlock()

	w.stores = stores

	maps.DeleteFunc(w.reported, func(address string, _ bool) bool {
		return !slices.ContainsFunc(stores, func(s Store) bool { return s.Address == address })
	})

	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// followStores starts following the stores at these addresses directly and stops following all
// others. The pause after each failed call doubles up to maxPause.
func (w *Watcher) followStores(ctx context.Context, addresses map[string]bool, maxPause time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for address := range addresses {
		if _, ok := w.stops[address]; ok {
			continue
		}

		c, cancel := context.WithCancel(ctx)
		w.stops[address] = cancel

		go w.followStore(c, address, !w.reported[address], maxPause)

		delete(w.reported, address)
	}

	for address, stop := range w.stops {
		if !addresses[address] {
			stop()
			delete(w.stops, address)
		}
	}
}

// LogReset records that the log has returned from a copy, and may have lost which processes are
// registered. One that has not learned of it may fetch for RegisteredGrace, so until then no answer of the
// registered processes frees parts earlier.
func (w *Watcher) LogReset(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.resetAt = now
}

// SetNewestVersion records that a version of a model is the newest, according to the record at a
// position of the operators' topic.
func (w *Watcher) SetNewestVersion(now time.Time, model string, version int64, at mirror.Position) {
	w.mu.Lock()
	defer w.mu.Unlock()

	all := w.replaced[model]
	if n := len(all); n > 0 && all[n-1].version >= version {
		return
	}

	all = append(all, replacement{version: version, learnedAt: now, confirmedAfter: Unconfirmed})
	w.replaced[model] = all[max(0, len(all)-maxReplacements):]

	if w.ctx != nil {
		go w.confirmVersion(w.ctx, model, version, at)
	}
}

// Run follows the stores and frees replaced parts until ctx ends. Configure may be called
// before Run.
func (w *Watcher) Run(ctx context.Context) {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()

	go w.pollPeers(ctx)

	for pause.For(ctx, sweepInterval) {
		w.sweep(ctx, time.Now())
	}
}

// followStore follows one store directly until ctx ends. Unreachable is false if the store is
// known to be reachable.
func (w *Watcher) followStore(ctx context.Context, address string, unreachable bool, maxPause time.Duration) {
	retryPause := minRetryPause

	for ctx.Err() == nil {
		err := w.pollStore(ctx, address)
		if ctx.Err() != nil {
			return
		}

		w.logChange(address, unreachable, err)
		unreachable = err != nil

		if !unreachable {
			retryPause = minRetryPause

			continue
		}

		w.cfg.Directory.MarkUnreachable(address)
		pause.For(ctx, retryPause)
		retryPause = min(2*retryPause, maxPause)
	}
}

// logChange logs that a store became unreachable or reachable.
func (w *Watcher) logChange(address string, unreachable bool, err error) {
	switch {
	case err == nil && unreachable:
		held, capacity, parts := w.cfg.Directory.Usage()
		event.Log(w.cfg.Log, event.VaultRegained, "vault", address, "held", held, "room", capacity, "parts", parts)
	case err != nil && !unreachable:
		event.Fail(w.cfg.Log, err, event.VaultLost, "vault", address)
	}
}

// pollPeers requests updates from the processes that follow the stores, until ctx ends. One
// request covers all stores, since a large fleet has hundreds of them. Stores that no
// other process reports are followed directly, see delayDirectCalls.
func (w *Watcher) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		remaining := w.addresses()
		peers, self := w.cfg.Peers.Watchers()
		maxPause := minRetryPause

		if self {
			clear(w.unreportedSince)
		} else {
			w.pollPeersOnce(ctx, peers, remaining)
			w.delayDirectCalls(time.Now(), remaining)

			maxPause = maxRetryPause
		}

		if ctx.Err() != nil {
			return
		}

		w.followStores(ctx, remaining, maxPause)
		w.waitRound(ctx)
	}
}

// delayDirectCalls removes from remaining the stores that have been unreported for less than
// directCallDelay, except those followed directly already. Remaining must hold the stores that
// no other process reported in this round.
func (w *Watcher) delayDirectCalls(now time.Time, remaining map[string]bool) {
	maps.DeleteFunc(w.unreportedSince, func(address string, _ time.Time) bool { return !remaining[address] })

	w.mu.Lock()
	defer w.mu.Unlock()

	for address := range remaining {
		if _, ok := w.stops[address]; ok {
			continue
		}

		since, ok := w.unreportedSince[address]
		if !ok {
			w.unreportedSince[address], since = now, now
		}

		if now.Sub(since) < directCallDelay {
			delete(remaining, address)
		}
	}
}

// waitRound waits until the next round is due, Configure is called or ctx ends.
func (w *Watcher) waitRound(ctx context.Context) {
	timer := time.NewTimer(peerPollInterval)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-w.changed:
	case <-ctx.Done():
	}
}

// addresses returns the addresses of all configured stores as a set.
func (w *Watcher) addresses() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	all := make(map[string]bool, len(w.stores))
	for _, s := range w.stores {
		all[s.Address] = true
	}

	return all
}

// pollPeersOnce requests updates from one process after the other, each for the stores that
// none of the earlier ones reported as reachable. It removes from remaining all stores that were
// reported, including those reported only as unreachable: direct calls from hundreds of
// processes would overload such a store when it recovers.
func (w *Watcher) pollPeersOnce(ctx context.Context, peers []string, remaining map[string]bool) {
	unreachable := make(map[string]bool)

	for _, peer := range w.peerOrder(time.Now(), peers) {
		if len(remaining) == 0 {
			return
		}

		updates, err := w.cfg.Peers.StoreUpdates(ctx, peer, w.positions(remaining))
		if err != nil {
			w.peerFailedAt[peer] = time.Now()

			continue // with the next process; stores that none reports are called directly
		}

		delete(w.peerFailedAt, peer)

		for _, u := range updates {
			switch {
			case !remaining[u.Address]:
			case w.cfg.Directory.ApplyUpdate(time.Now(), u):
				delete(remaining, u.Address)
				w.setReported(u.Address)
			case u.Unreachable:
				unreachable[u.Address] = true
			}
		}
	}

	for address := range remaining {
		if unreachable[address] {
			w.cfg.Directory.ApplyUnreachableReport(time.Now(), address)
			delete(remaining, address)
		}
	}
}

// peerOrder returns the processes in the order in which to ask them. Those that failed to respond
// within maxPeerFailureAge come last, the most recent failure at the end: waiting for the timeout
// of an unreachable process in each round would make updates too old to be passed on.
func (w *Watcher) peerOrder(now time.Time, peers []string) []string {
	maps.DeleteFunc(w.peerFailedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= maxPeerFailureAge })

	order := slices.Clone(peers)
	slices.SortStableFunc(order, func(a, b string) int { return w.peerFailedAt[a].Compare(w.peerFailedAt[b]) })

	return order
}

// positions returns the positions of this process in the updates on the stores.
func (w *Watcher) positions(addresses map[string]bool) []Position {
	all := make([]Position, 0, len(addresses))
	for a := range addresses {
		all = append(all, w.cfg.Directory.PeerPosition(a))
	}

	return all
}

func (w *Watcher) setReported(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.reported[address] = true
}

// pollStore requests a store's changes once, or its full list if that is not known.
func (w *Watcher) pollStore(ctx context.Context, address string) error {
	next, ok := w.cfg.Directory.NextEvent(address)
	if !ok {
		return w.readList(ctx, address)
	}

	wait := eventWait
	if _, ok := w.cfg.Directory.Clock(time.Now()); !ok {
		wait = clockEventWait
	}

	c, cancel := context.WithTimeout(ctx, wait+eventTimeoutMargin)
	defer cancel()

	e, err := w.cfg.Source.Events(c, address, next, wait)
	if err != nil {
		return err
	}

	if !w.cfg.Directory.ApplyEvents(time.Now(), address, e) {
		event.Log(w.cfg.Log, event.VaultGap, "vault", address, "epoch", e.Epoch, "lost", e.Lost)
	}

	return nil
}

func (w *Watcher) readList(ctx context.Context, address string) error {
	c, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()

	l, err := w.cfg.Source.List(c, address)
	if err != nil {
		return err
	}

	w.cfg.Directory.ApplyListing(time.Now(), address, l)

	return nil
}

// confirmVersion asks all registered processes until each knows a version, and then marks the
// version as confirmed. It gives up after RegisteredGrace, when parts are freed regardless.
func (w *Watcher) confirmVersion(ctx context.Context, model string, version int64, at mirror.Position) {
	ctx, cancel := context.WithTimeout(ctx, RegisteredGrace)
	defer cancel()

	remaining, err := w.cfg.Peers.Registered(ctx)
	for err != nil {
		if !pause.For(ctx, versionPollInterval) {
			return
		}

		remaining, err = w.cfg.Peers.Registered(ctx)
	}

	for len(remaining) > 0 {
		remaining = slices.DeleteFunc(remaining, func(peer string) bool { return w.cfg.Peers.Knows(ctx, peer, at) })

		if len(remaining) > 0 && !pause.For(ctx, versionPollInterval) {
			return
		}
	}

	w.markConfirmed(time.Now(), model, version)
}

// markConfirmed records that all registered processes know a version, unless the log may have lost some of
// them.
func (w *Watcher) markConfirmed(now time.Time, model string, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.resetAt.IsZero() && now.Sub(w.resetAt) < RegisteredGrace {
		return
	}

	for i := range w.replaced[model] {
		if w.replaced[model][i].version == version {
			w.replaced[model][i].confirmedAfter = now.Sub(w.replaced[model][i].learnedAt)
		}
	}
}

// sweep frees the parts that are due to be freed.
func (w *Watcher) sweep(ctx context.Context, now time.Time) {
	ranUntil := w.ranUntil(now)
	w.cfg.Directory.SetEnginesRanUntil(ranUntil)

	for model, all := range w.replacements(now) {
		for _, newer := range all {
			due := dueParts{now: now, newer: newer, ranUntil: ranUntil, rank: w.cfg.Rank}

			for _, parts := range w.cfg.Directory.Freeable(model, newer.version, due.allows, maxFreedParts) {
				// What the decision rests on stays true, however long the calls before this one took.
				w.free(ctx, time.Now(), model, newer, ranUntil, parts)
			}

			w.probeEngines(now, model, newer, ranUntil, due)
		}
	}
}

// ranUntil returns until when all engines that may be fetching are known to have run, in ms on their clock; zero if
// this process doesn't know which engines these are.
func (w *Watcher) ranUntil(now time.Time) int64 {
	switch {
	case w.cfg.Engines == nil:
		return math.MaxInt64
	case now.Sub(w.cfg.Start) < pausedGrace:
		return 0
	default:
		return w.cfg.Engines.RanUntil(now)
	}
}

// replacements returns the replacements by model, with what is known now of when they were learned.
func (w *Watcher) replacements(now time.Time) map[string][]replacement {
	clock, known := w.cfg.Directory.Clock(now)

	w.mu.Lock()
	defer w.mu.Unlock()

	replaced := make(map[string][]replacement, len(w.replaced))

	for model, all := range w.replaced {
		for i := range all {
			// The clock is never known to be later than it is, so of several estimates the latest is the best.
			if known {
				all[i].learnedClock = max(all[i].learnedClock, clock-now.Sub(all[i].learnedAt).Milliseconds())
			}
		}

		replaced[model] = slices.Clone(all)
	}

	return replaced
}

// probeEngines asks the engines because of which parts are kept for a sign that they run.
func (w *Watcher) probeEngines(now time.Time, model string, newer replacement, ranUntil int64, due dueParts) {
	if due.kept == 0 || w.cfg.Engines == nil {
		return
	}

	unproven := w.cfg.Engines.Probe(now, due.keptUntil)
	if due.overdue < minLoggedOverdue {
		return
	}

	event.Log(w.cfg.Log, event.VaultKept, "model", model, "before", newer.version, "parts", due.kept, "needed", due.keptUntil, "ran_until", ranUntil,
		"unproven", len(unproven), "engines", strings.Join(unproven[:min(len(unproven), maxLoggedEngines)], ","), "known_ms", now.Sub(newer.learnedAt).Milliseconds(), "overdue_ms", due.overdue.Milliseconds())
}

// minLoggedOverdue is how long parts have to be kept beyond the usual time before that is logged.
const minLoggedOverdue = 1500 * time.Millisecond

// maxLoggedEngines is the maximum number of engines that one log line names.
const maxLoggedEngines = 8

func (w *Watcher) free(ctx context.Context, now time.Time, model string, newer replacement, ranUntil int64, parts FreeableParts) {
	clock, ok := w.cfg.Directory.Clock(now)
	if !ok {
		return
	}

	c, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()

	until := clock + freeTimeout.Milliseconds()
	fields := []any{
		"vault", parts.Address, "epoch", parts.Epoch, "parts", len(parts.Parts), "tokens", parts.Tokens, "model", model, "before", newer.version,
		"confirmed", newer.confirmedAfter != Unconfirmed, "confirmed_after_ms", newer.confirmedAfterMs(), "known_ms", now.Sub(newer.learnedAt).Milliseconds(), "rank", w.cfg.Rank(parts.Address),
		"clock", clock, "clock_age_ms", w.cfg.Directory.ClockAge(now).Milliseconds(), "until", until,
		"ended", lastEnd(newer, parts.Parts), "ran_until", ranUntil,
	}

	err := w.cfg.Source.Free(c, parts.Address, parts.Epoch, parts.Parts, until)
	if err == nil {
		w.cfg.Directory.MarkFreed(parts)
	}

	w.logFree(err, fields, parts.Parts)
}

// maxLoggedParts is the maximum number of parts that one log line names. Longer lines may be cut off.
const maxLoggedParts = 200

// logFree logs a call to free parts and its error, in as many lines as name all parts.
func (w *Watcher) logFree(err error, fields []any, parts []Part) {
	for some := range slices.Chunk(parts, maxLoggedParts) {
		fields := append(slices.Clone(fields), "part", partIDs(some))

		if err != nil {
			event.Fail(w.cfg.Log, err, event.FreeUnknown, fields...)
		} else {
			event.Log(w.cfg.Log, event.VaultFreed, fields...)
		}
	}
}

// partIDs returns the ids of parts, separated by commas.
func partIDs(parts []Part) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}

	return strings.Join(ids, ",")
}
