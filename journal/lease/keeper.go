package lease

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/journal"
)

const (
	// DefaultDuration is how long a lease lasts after a renewal.
	DefaultDuration = 15 * time.Second
	// DefaultMargin is how long before that its holder stops.
	DefaultMargin = 4 * time.Second
	// DefaultEvery is the time between renewals.
	DefaultEvery = 4 * time.Second
	// tick is how often a Keeper looks whether something is due.
	tick = 500 * time.Millisecond
)

// Config says which lease a Keeper wants.
type Config struct {
	// Log is the service.
	Log journal.Log
	// Stream holds the leases; empty is "leases".
	Stream string
	// Name is the lease.
	Name string
	// Holder names this process; unique for each start of it.
	Holder string
	// Terms are the lease's times; zero ones get the defaults.
	Terms Terms
	// Clock tells the time; nil is time.Now.
	Clock func() time.Time
	// Logger gets the Keeper's events; its zero value drops them.
	Logger logr.Logger
}

// Keeper takes one lease when it can and renews it. Run is its duty.
type Keeper struct {
	cfg    Config
	reader *journal.Reader
	writer *journal.Writer

	mu    sync.Mutex
	table *Table
	view  View
	nonce uint64
	sends map[uint64]time.Time // when the record with this nonce was sent
	was   bool
}

// NewKeeper returns a Keeper for cfg. It asks for nothing until Run.
func NewKeeper(cfg Config) *Keeper {
	if cfg.Stream == "" {
		cfg.Stream = "leases"
	}

	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}

	cfg.Terms = cfg.Terms.withDefaults()

	k := &Keeper{cfg: cfg, table: NewTable(), sends: map[uint64]time.Time{}, view: View{Self: cfg.Holder}}
	k.writer = journal.NewWriter(journal.WriterConfig{Log: cfg.Log, Stream: cfg.Stream, Logger: cfg.Logger})
	k.reader = journal.NewReader(journal.ReaderConfig{
		Log: cfg.Log, Stream: cfg.Stream, Handle: k.handle, Clock: cfg.Clock, Logger: cfg.Logger,
		Gap: k.gap,
	})

	return k
}

func (t Terms) withDefaults() Terms {
	if t.Duration <= 0 {
		t.Duration = DefaultDuration
	}

	if t.Margin <= 0 {
		t.Margin = DefaultMargin
	}

	if t.Every <= 0 {
		t.Every = DefaultEvery
	}

	return t
}

// Fence returns the fencing number while this process may act on the lease.
func (k *Keeper) Fence(now time.Time) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.view.Fence, Valid(now, k.cfg.Terms, k.view)
}

// Run takes and renews the lease until ctx ends, and then gives it back.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup

	// The writer outlives ctx for as long as giving the lease back takes.
	writing, stop := context.WithCancel(context.WithoutCancel(ctx))

	wg.Go(func() { k.writer.Run(writing) })
	wg.Go(func() { k.reader.Run(ctx) })

	t := time.NewTicker(tick)
	defer t.Stop()

	for ctx.Err() == nil {
		k.step(ctx, k.cfg.Clock())

		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}

	k.giveBack(writing)
	stop()
	wg.Wait()
}

// step does what is due. Whether a record counts is known from reading it back.
func (k *Keeper) step(ctx context.Context, now time.Time) {
	c, ok := k.due(now)
	if !ok {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, k.cfg.Terms.Every)
	defer cancel()

	_, _ = k.writer.Append(ctx, encode(c))
}

// due returns the record to send, if any.
func (k *Keeper) due(now time.Time) (change, bool) {
	synced := k.reader.Synced()

	k.mu.Lock()
	defer k.mu.Unlock()

	k.notice(now)

	step := Next(now, k.cfg.Terms, k.view)
	if step == Wait || !synced {
		return change{}, false
	}

	k.nonce++
	k.sends[k.nonce] = now
	k.view.Asked = now
	c := change{
		Action: take, Name: k.cfg.Name, Holder: k.cfg.Holder, Nonce: k.nonce,
		DurationMS: k.cfg.Terms.Duration.Milliseconds(),
	}

	if step == Renew {
		c.Action = renew
		c.Fence = k.view.Fence
	}

	return c, true
}

// notice logs when this process starts or stops to act on the lease.
func (k *Keeper) notice(now time.Time) {
	is := Valid(now, k.cfg.Terms, k.view)
	if is == k.was {
		return
	}

	k.was = is

	e := event.LeaseLost
	if is {
		e = event.LeaseTaken
	}

	event.Log(k.cfg.Logger, e, "lease", k.cfg.Name, "fence", k.view.Fence)
}

// handle takes account of a record of the stream.
func (k *Keeper) handle(r journal.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()

	before, _ := k.table.Lease(k.cfg.Name)

	if err := k.table.Apply(r); err != nil {
		event.Fail(k.cfg.Logger, err, event.JournalBadRecord, "stream", k.cfg.Stream, "offset", r.Offset)

		return
	}

	l, held := k.table.Lease(k.cfg.Name)
	k.view.Lease, k.view.Held = l, held

	if l == before {
		return
	}

	k.view.Seen = k.cfg.Clock()

	if held && l.Holder == k.cfg.Holder {
		k.view.Fence = l.Fence
		k.view.Sent = k.sends[l.Nonce]
		k.forget(l.Nonce)
	}
}

// forget drops the sending times of records up to one that was read back. The
// Writer keeps order, so earlier ones count no more.
func (k *Keeper) forget(nonce uint64) {
	for n := range k.sends {
		if n <= nonce {
			delete(k.sends, n)
		}
	}
}

// gap starts anew after records that are gone.
func (k *Keeper) gap(uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.table = NewPartialTable()
	k.view.Lease, k.view.Held = Lease{Duration: k.cfg.Terms.Duration}, true
	k.view.Seen = k.cfg.Clock()
}

// giveBack releases the lease, so that another need not wait for its end.
func (k *Keeper) giveBack(ctx context.Context) {
	k.mu.Lock()
	c := change{Action: release, Name: k.cfg.Name, Holder: k.cfg.Holder, Fence: k.view.Fence}
	held := k.view.Fence != 0 && k.view.Lease.Fence == k.view.Fence
	k.view.Fence = 0
	k.mu.Unlock()

	if !held {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, k.cfg.Terms.Margin)
	defer cancel()

	_, _ = k.writer.Append(ctx, encode(c))
}

// encode encodes c, which can't fail.
func encode(c change) []byte {
	b, err := cbor.Marshal(c)
	if err != nil {
		panic(err)
	}

	return b
}
