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
	// DefaultDuration is how long a lease lasts after its last renewal.
	DefaultDuration = 15 * time.Second
	// DefaultMargin is how long before the end of a lease its holder stops acting.
	DefaultMargin = 4 * time.Second
	// DefaultRenewInterval is the time between two renewals.
	DefaultRenewInterval = 4 * time.Second
	// checkInterval is how often a Keeper checks whether to send a record.
	checkInterval = 500 * time.Millisecond
)

// Config configures a Keeper.
type Config struct {
	// Log is the log service.
	Log journal.Log
	// Stream is the stream with the lease's records; empty means "leases".
	Stream string
	// Name is the name of the lease.
	Name string
	// Holder is the name of this process; it must be new with each start of the
	// process.
	Holder string
	// Timing holds the lease's durations; zero ones get the defaults.
	Timing Timing
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Logger logs the Keeper's events; the zero value discards them.
	Logger logr.Logger
}

// Keeper takes one lease when it is available and renews it. Run does the work.
type Keeper struct {
	cfg    Config
	reader *journal.Reader
	writer *journal.Writer

	mu       sync.Mutex
	table    *Table
	view     View
	nonce    uint64
	sentAt   map[uint64]time.Time // by nonce, when the record was sent
	wasValid bool
}

// NewKeeper returns a Keeper for cfg. It sends no record until Run is called.
func NewKeeper(cfg Config) *Keeper {
	if cfg.Stream == "" {
		cfg.Stream = "leases"
	}

	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}

	cfg.Timing = cfg.Timing.withDefaults()

	k := &Keeper{cfg: cfg, table: NewTable(), sentAt: map[uint64]time.Time{}, view: View{Self: cfg.Holder}}
	k.writer = journal.NewWriter(journal.WriterConfig{Log: cfg.Log, Stream: cfg.Stream, Logger: cfg.Logger})
	k.reader = journal.NewReader(journal.ReaderConfig{
		Log: cfg.Log, Stream: cfg.Stream, Handle: k.handle, Clock: cfg.Clock, Logger: cfg.Logger,
		Gap: k.gap,
	})

	return k
}

func (t Timing) withDefaults() Timing {
	if t.Duration <= 0 {
		t.Duration = DefaultDuration
	}

	if t.Margin <= 0 {
		t.Margin = DefaultMargin
	}

	if t.RenewInterval <= 0 {
		t.RenewInterval = DefaultRenewInterval
	}

	return t
}

// Fence returns the fencing number of the lease that this process took last, and
// whether the process may act on that lease now.
func (k *Keeper) Fence(now time.Time) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.view.Fence, Valid(now, k.cfg.Timing, k.view)
}

// Run takes and renews the lease until ctx ends, and then releases it.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup

	// The writer runs on after ctx ends until the lease is released.
	writerCtx, stopWriter := context.WithCancel(context.WithoutCancel(ctx))

	wg.Go(func() { k.writer.Run(writerCtx) })
	wg.Go(func() { k.reader.Run(ctx) })

	t := time.NewTicker(checkInterval)
	defer t.Stop()

	for ctx.Err() == nil {
		k.step(ctx, k.cfg.Clock())

		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}

	k.releaseLease(writerCtx)
	stopWriter()
	wg.Wait()
}

// step sends a record if one is due. The outcome of the append is ignored:
// whether the record counts is known once it is read from the stream.
func (k *Keeper) step(ctx context.Context, now time.Time) {
	c, ok := k.nextRecord(now)
	if !ok {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, k.cfg.Timing.RenewInterval)
	defer cancel()

	_, _ = k.writer.Append(ctx, encode(c))
}

// nextRecord returns the record to send now; false if there is none.
func (k *Keeper) nextRecord(now time.Time) (leaseRecord, bool) {
	synced := k.reader.Synced()

	k.mu.Lock()
	defer k.mu.Unlock()

	k.logValidity(now)

	next := Next(now, k.cfg.Timing, k.view)
	if next == Wait || !synced {
		return leaseRecord{}, false
	}

	k.nonce++
	k.sentAt[k.nonce] = now
	k.view.LastRequest = now
	c := leaseRecord{
		Action: take, Name: k.cfg.Name, Holder: k.cfg.Holder, Nonce: k.nonce,
		DurationMS: k.cfg.Timing.Duration.Milliseconds(),
	}

	if next == Renew {
		c.Action = renew
		c.Fence = k.view.Fence
	}

	return c, true
}

// logValidity logs when this process starts or ceases to be allowed to act on the
// lease.
func (k *Keeper) logValidity(now time.Time) {
	valid := Valid(now, k.cfg.Timing, k.view)
	if valid == k.wasValid {
		return
	}

	k.wasValid = valid

	e := event.LeaseLost
	if valid {
		e = event.LeaseTaken
	}

	event.Log(k.cfg.Logger, e, "lease", k.cfg.Name, "fence", k.view.Fence)
}

// handle applies a record of the stream and updates the view.
func (k *Keeper) handle(r journal.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()

	previous, _ := k.table.Lease(k.cfg.Name)

	if err := k.table.Apply(r); err != nil {
		event.Fail(k.cfg.Logger, err, event.JournalBadRecord, "stream", k.cfg.Stream, "offset", r.Offset)

		return
	}

	l, held := k.table.Lease(k.cfg.Name)
	k.view.Lease, k.view.Held = l, held

	if l == previous {
		return
	}

	k.view.RenewalSeen = k.cfg.Clock()

	if held && l.Holder == k.cfg.Holder {
		k.view.Fence = l.Fence
		k.view.RenewalSent = k.sentAt[l.Nonce]
		k.dropSendTimes(l.Nonce)
	}
}

// dropSendTimes removes the send times of the records up to nonce, which was read
// from the stream. The Writer keeps the order of records, so earlier ones won't
// count any more.
func (k *Keeper) dropSendTimes(nonce uint64) {
	for n := range k.sentAt {
		if n <= nonce {
			delete(k.sentAt, n)
		}
	}
}

// gap starts a partial table after records of the stream were lost. The lease
// counts as held until its duration has passed.
func (k *Keeper) gap(uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.table = NewPartialTable()
	k.view.Lease, k.view.Held = Lease{Duration: k.cfg.Timing.Duration}, true
	k.view.RenewalSeen = k.cfg.Clock()
}

// releaseLease releases the lease, so that another process need not wait for it
// to expire.
func (k *Keeper) releaseLease(ctx context.Context) {
	k.mu.Lock()
	c := leaseRecord{Action: release, Name: k.cfg.Name, Holder: k.cfg.Holder, Fence: k.view.Fence}
	held := k.view.Fence != 0 && k.view.Lease.Fence == k.view.Fence
	k.view.Fence = 0
	k.mu.Unlock()

	if !held {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, k.cfg.Timing.Margin)
	defer cancel()

	_, _ = k.writer.Append(ctx, encode(c))
}

// encode encodes c, which can't fail for this type.
func encode(c leaseRecord) []byte {
	b, err := cbor.Marshal(c)
	if err != nil {
		panic(err)
	}

	return b
}
