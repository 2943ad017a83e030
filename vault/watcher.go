package vault

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/pause"
)

// Source calls stores.
type Source interface {
	// Events returns what changed in a store, waiting for the first change.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error)
	// List returns all that a store holds.
	List(ctx context.Context, address string) (Listing, error)
	// Free frees parts, unless the store restarted since the epoch or the
	// engines' clock is past until.
	Free(ctx context.Context, address string, epoch int64, parts []Part, until int64) error
}

// Timing of the watch.
const (
	// eventWait is how long one question waits for a change: the longest that
	// stores allow, so that an idle store costs one call a second.
	eventWait = time.Second
	// clockWait is the first wait of a process that doesn't know the engines' clock:
	// lists don't tell it, and until an answer with events does, nothing is fetched.
	// An entry that has just started read all contexts anew for a second; stores
	// count a wait of less as a probe.
	clockWait = 200 * time.Millisecond
	// eventSlack is how much longer the answer may take.
	eventSlack = 700 * time.Millisecond
	// listTimeout bounds the reading of a whole list.
	listTimeout = time.Second
	// peerEvery is the pause between two questions to a process that follows a store.
	peerEvery = 300 * time.Millisecond
	// awayPause is the pause before a store that doesn't answer is asked again.
	awayPause = 500 * time.Millisecond
	// maxAwayPause bounds that pause, which doubles with each failure, in processes that do
	// not follow the stores for others. If those that do are lost, hundreds of processes may
	// call a store at once.
	maxAwayPause = 4 * time.Second
	// directCallDelay is how long a store must go unreported by other processes before a process
	// that does not follow the stores for others calls it. When all processes start together,
	// those that follow the stores need some rounds before they know them.
	directCallDelay = time.Second
	// maxPeerFailureAge is how long a process that failed to answer is ranked behind the others.
	maxPeerFailureAge = 20 * time.Second
	// askAgain is the pause between two questions whether processes know a version.
	askAgain = 200 * time.Millisecond
	// sweepEvery is the pause between two looks for parts to free.
	sweepEvery = 500 * time.Millisecond
	// freeAtOnce bounds the parts of one call.
	freeAtOnce = 500
	// freePatience is how long a call to free may be under way until the store
	// ignores it.
	freePatience = time.Second
)

// Peers are the other processes that know of stores.
type Peers interface {
	// Watchers returns the processes to ask about the stores, in order of preference. Self
	// reports whether this process follows the stores directly.
	Watchers() (others []string, self bool)
	// Ask asks a process what changed since the positions.
	Ask(ctx context.Context, peer string, positions []Position) ([]Update, error)
	// Registered reads from the log which processes may make use of a long grace.
	Registered(ctx context.Context) ([]string, error)
	// Knows reports whether a process has read the operators' topic up to and with
	// an offset.
	Knows(ctx context.Context, peer string, offset int64) bool
}

// WatcherConfig says what a Watcher works with.
type WatcherConfig struct {
	// Directory takes what is learned.
	Directory *Directory
	// Source calls the stores.
	Source Source
	// Peers are asked about stores that they follow; stores answer only few callers
	// at once.
	Peers Peers
	// Turn returns how many others of the processes that free go first for a
	// store; each waits so many times TurnWait longer.
	Turn func(address string) int
	// Still reports whether a machine with an engine stands still, or did until a
	// moment ago; nil takes none to.
	Still func(now time.Time) bool
	// Log gets a line for each change.
	Log logr.Logger
}

// stillGrace is how much longer contexts are kept while a machine with an engine stands
// still.
//
// A fetch under way stands still with its engine, and goes on when that does, past the
// time at which it should have been thrown away: what it reads then must not have been
// freed. Machines stand still for some seconds; one that does for longer is taken for
// dead, or the room of replaced contexts would never come free.
const stillGrace = 10 * time.Second

// TurnWait is how much longer the next process in turn waits before it frees, so
// that usually one process alone calls.
const TurnWait = 2 * time.Second

// Watcher follows all stores and frees what was replaced. Use NewWatcher; its
// methods may be called from many goroutines.
type Watcher struct {
	cfg WatcherConfig

	mu       sync.Mutex
	ctx      context.Context //nolint:containedctx // of the goroutines that Named starts
	stores   []Store
	stops    map[string]context.CancelFunc // by address, of the stores followed directly
	replaced map[string][]replacement
	told     map[string]bool // addresses of the stores that another process told of
	changed  chan struct{}   // signals that Configure was called

	// Only the askOthers goroutine may use these.
	peerFailedAt    map[string]time.Time // last failures to answer, by process
	unreportedSince map[string]time.Time // start of the current period without reports from other processes, by address
}

// maxReplacements bounds the versions remembered of a model.
const maxReplacements = 8

// replacement is a version of a model that replaced those before, and when it was
// learned of.
type replacement struct {
	version int64
	at      time.Time
	// answered says that all registered processes know of it.
	answered bool
}

// NewWatcher returns a Watcher that Run starts.
func NewWatcher(cfg WatcherConfig) *Watcher {
	return &Watcher{
		cfg: cfg, stops: make(map[string]context.CancelFunc), replaced: make(map[string][]replacement),
		told: make(map[string]bool), changed: make(chan struct{}, 1), peerFailedAt: make(map[string]time.Time),
		unreportedSince: make(map[string]time.Time),
	}
}

// Configure sets the stores that there are.
func (w *Watcher) Configure(stores []Store) {
	w.cfg.Directory.Configure(stores)

	w.mu.Lock()
	defer w.mu.Unlock()

	w.stores = stores

	maps.DeleteFunc(w.told, func(address string, _ bool) bool {
		return !slices.ContainsFunc(stores, func(s Store) bool { return s.Address == address })
	})

	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// follow starts following the stores at these addresses directly and stops following all others.
// The pause after each failed call doubles up to maxPause.
func (w *Watcher) follow(ctx context.Context, addresses map[string]bool, maxPause time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for address := range addresses {
		if _, ok := w.stops[address]; ok {
			continue
		}

		c, cancel := context.WithCancel(ctx)
		w.stops[address] = cancel

		go w.watch(c, address, !w.told[address], maxPause)

		delete(w.told, address)
	}

	for address, stop := range w.stops {
		if !addresses[address] {
			stop()
			delete(w.stops, address)
		}
	}
}

// Named takes that a version of a model is the newest, as the record at an offset
// of the operators' topic says.
func (w *Watcher) Named(now time.Time, model string, version, offset int64) {
	w.mu.Lock()
	defer w.mu.Unlock()

	all := w.replaced[model]
	if n := len(all); n > 0 && all[n-1].version >= version {
		return
	}

	all = append(all, replacement{version: version, at: now})
	w.replaced[model] = all[max(0, len(all)-maxReplacements):]

	if w.ctx != nil {
		go w.askAll(w.ctx, model, version, offset)
	}
}

// Run frees what was replaced until ctx ends. Configure may be called before.
func (w *Watcher) Run(ctx context.Context) {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()

	go w.askOthers(ctx)

	for pause.For(ctx, sweepEvery) {
		w.sweep(ctx, time.Now())
	}
}

// watch follows one store directly until ctx ends. Away is false if the store is known to
// be reachable.
func (w *Watcher) watch(ctx context.Context, address string, away bool, maxPause time.Duration) {
	retryPause := awayPause

	for ctx.Err() == nil {
		err := w.ask(ctx, address)
		if ctx.Err() != nil {
			return
		}

		w.tellChange(address, away, err)
		away = err != nil

		if !away {
			retryPause = awayPause

			continue
		}

		w.cfg.Directory.Lose(address)
		pause.For(ctx, retryPause)
		retryPause = min(2*retryPause, maxPause)
	}
}

// tellChange logs that a store was lost or answers again.
func (w *Watcher) tellChange(address string, away bool, err error) {
	switch {
	case err == nil && away:
		held, room, parts := w.cfg.Directory.Usage()
		event.Log(w.cfg.Log, event.VaultRegained, "vault", address, "held", held, "room", room, "parts", parts)
	case err != nil && !away:
		event.Fail(w.cfg.Log, err, event.VaultLost, "vault", address)
	}
}

// askOthers asks those who follow the stores what changed, until ctx ends: one question
// for all stores, since in a large fleet there are hundreds of them. Stores that no
// other process tells of are followed directly, see delayDirectCalls.
func (w *Watcher) askOthers(ctx context.Context) {
	for ctx.Err() == nil {
		open := w.addresses()
		others, self := w.cfg.Peers.Watchers()
		maxPause := awayPause

		if self {
			clear(w.unreportedSince)
		} else {
			w.askRound(ctx, others, open)
			w.delayDirectCalls(time.Now(), open)

			maxPause = maxAwayPause
		}

		if ctx.Err() != nil {
			return
		}

		w.follow(ctx, open, maxPause)
		w.waitRound(ctx)
	}
}

// delayDirectCalls removes from open the stores that have been unreported for less than
// directCallDelay, except those followed directly already. Open must hold the stores that no
// other process reported in this round.
func (w *Watcher) delayDirectCalls(now time.Time, open map[string]bool) {
	maps.DeleteFunc(w.unreportedSince, func(address string, _ time.Time) bool { return !open[address] })

	w.mu.Lock()
	defer w.mu.Unlock()

	for address := range open {
		if _, ok := w.stops[address]; ok {
			continue
		}

		since, ok := w.unreportedSince[address]
		if !ok {
			w.unreportedSince[address], since = now, now
		}

		if now.Sub(since) < directCallDelay {
			delete(open, address)
		}
	}
}

// waitRound waits until the next round is due, Configure is called or ctx ends.
func (w *Watcher) waitRound(ctx context.Context) {
	timer := time.NewTimer(peerEvery)
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

// askRound asks one process after the other, each about the stores that none of those
// before reported as answering. It removes from open all stores that were reported, including
// those reported only as not answering: direct calls from hundreds of processes would
// overload such a store when it comes back.
func (w *Watcher) askRound(ctx context.Context, others []string, open map[string]bool) {
	away := make(map[string]bool)

	for _, peer := range w.askOrder(time.Now(), others) {
		if len(open) == 0 {
			return
		}

		updates, err := w.cfg.Peers.Ask(ctx, peer, w.positions(open))
		if err != nil {
			w.peerFailedAt[peer] = time.Now()

			continue // the next one, or the store itself
		}

		delete(w.peerFailedAt, peer)

		for _, u := range updates {
			switch {
			case !open[u.Address]:
			case w.cfg.Directory.Adopt(time.Now(), u):
				delete(open, u.Address)
				w.setTold(u.Address)
			case u.Away:
				away[u.Address] = true
			}
		}
	}

	for address := range open {
		if away[address] {
			w.cfg.Directory.AdoptAway(time.Now(), address)
			delete(open, address)
		}
	}
}

// askOrder returns the processes in the order in which to ask them. Those that failed to answer
// within maxPeerFailureAge come last, the most recent failure at the end: waiting for the timeout
// of an unreachable process in each round would make updates too old to be passed on.
func (w *Watcher) askOrder(now time.Time, others []string) []string {
	maps.DeleteFunc(w.peerFailedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= maxPeerFailureAge })

	order := slices.Clone(others)
	slices.SortStableFunc(order, func(a, b string) int { return w.peerFailedAt[a].Compare(w.peerFailedAt[b]) })

	return order
}

// positions returns how far stores were followed.
func (w *Watcher) positions(addresses map[string]bool) []Position {
	all := make([]Position, 0, len(addresses))
	for a := range addresses {
		all = append(all, w.cfg.Directory.Followed(a))
	}

	return all
}

func (w *Watcher) setTold(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.told[address] = true
}

// ask asks a store once for what changed, or for everything.
func (w *Watcher) ask(ctx context.Context, address string) error {
	next, ok := w.cfg.Directory.Position(address)
	if !ok {
		return w.list(ctx, address)
	}

	wait := eventWait
	if _, ok := w.cfg.Directory.Clock(time.Now()); !ok {
		wait = clockWait
	}

	c, cancel := context.WithTimeout(ctx, wait+eventSlack)
	defer cancel()

	e, err := w.cfg.Source.Events(c, address, next, wait)
	if err != nil {
		return err
	}

	if !w.cfg.Directory.Follow(time.Now(), address, e) {
		event.Log(w.cfg.Log, event.VaultGap, "vault", address, "epoch", e.Epoch, "lost", e.Lost)
	}

	return nil
}

func (w *Watcher) list(ctx context.Context, address string) error {
	c, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()

	l, err := w.cfg.Source.List(c, address)
	if err != nil {
		return err
	}

	w.cfg.Directory.Learn(time.Now(), address, l)

	return nil
}

// askAll asks all registered processes until each knows a version, or until that
// no longer matters.
func (w *Watcher) askAll(ctx context.Context, model string, version, offset int64) {
	ctx, cancel := context.WithTimeout(ctx, LongGrace)
	defer cancel()

	open, err := w.cfg.Peers.Registered(ctx)
	for err != nil {
		if !pause.For(ctx, askAgain) {
			return
		}

		open, err = w.cfg.Peers.Registered(ctx)
	}

	for len(open) > 0 {
		open = slices.DeleteFunc(open, func(peer string) bool { return w.cfg.Peers.Knows(ctx, peer, offset) })

		if len(open) > 0 && !pause.For(ctx, askAgain) {
			return
		}
	}

	w.answered(model, version)
}

// answered notes that all registered processes know a version.
func (w *Watcher) answered(model string, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for i := range w.replaced[model] {
		if w.replaced[model][i].version == version {
			w.replaced[model][i].answered = true
		}
	}
}

// sweep frees what was replaced long enough ago.
func (w *Watcher) sweep(ctx context.Context, now time.Time) {
	w.mu.Lock()
	replaced := make(map[string][]replacement, len(w.replaced))

	for model, all := range w.replaced {
		replaced[model] = slices.Clone(all)
	}
	w.mu.Unlock()

	later := time.Duration(0)
	if w.cfg.Still != nil && w.cfg.Still(now) {
		later = stillGrace
	}

	for model, all := range replaced {
		for _, r := range all {
			ago := func(address string) time.Duration {
				return now.Sub(r.at) - time.Duration(w.cfg.Turn(address))*TurnWait - later
			}

			for _, old := range w.cfg.Directory.Replaced(model, r.version, ago, r.answered, freeAtOnce) {
				w.free(ctx, now, model, r, old)
			}
		}
	}
}

func (w *Watcher) free(ctx context.Context, now time.Time, model string, r replacement, old Replaced) {
	clock, ok := w.cfg.Directory.Clock(now)
	if !ok {
		return
	}

	c, cancel := context.WithTimeout(ctx, freePatience)
	defer cancel()

	if err := w.cfg.Source.Free(c, old.Address, old.Epoch, old.Parts, clock+freePatience.Milliseconds()); err != nil {
		event.Fail(w.cfg.Log, err, event.VaultLost, "vault", old.Address, "step", "free")

		return
	}

	w.cfg.Directory.Freed(old)
	event.Log(w.cfg.Log, event.VaultFreed, "vault", old.Address, "parts", len(old.Parts), "tokens", old.Tokens, "model", model, "before", r.version)
}
