package claim

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"boragehub/journal"
	"boragehub/journal/memory"
)

// The expected rate of non-idempotent calls in two years: 5% of 5,100 per
// second.
const bookingsPerSecond = 255

// runLoad sends calls at an even pace to the owners of their keys for the given
// time, and returns the appends per second and the mean time until a call may
// run.
func runLoad(ctx context.Context, shards int, interval, length time.Duration, processes int) (appends float64, wait time.Duration) {
	var (
		wg, calls sync.WaitGroup
		mu        sync.Mutex
		sum       time.Duration
		all       []*Deduplicator
		f         VMList
	)

	ctx, cancel := context.WithCancel(ctx)
	log := memory.New()
	f.Version = 1

	for i := range processes {
		f.VMs = append(f.VMs, "vm"+strconv.Itoa(i))
	}

	for _, vm := range f.VMs {
		h := NewDeduplicator(DeduplicatorConfig{
			Log: log, Service: "s", Shards: shards, VM: vm, AppendInterval: interval, VMList: func() VMList { return f },
		})
		all = append(all, h)
		wg.Go(func() { h.Run(ctx) })
	}

	time.Sleep(30 * time.Second)

	// A call to the log takes a few milliseconds.
	log.SetFaults(memory.Faults{Delay: 3 * time.Millisecond})

	owner := map[int]*Deduplicator{}

	for _, h := range all {
		for _, n := range h.OwnedShards() {
			owner[n] = h
		}
	}

	before, began := log.Appends(), time.Now()
	n := int(length.Seconds() * bookingsPerSecond)

	for i := range n {
		time.Sleep(time.Second / bookingsPerSecond)
		calls.Go(func() {
			now := time.Now()
			q := Request{Organisation: "o", Key: keyAt(now, i)}
			h := owner[Shard(q.Organisation, q.Key, shards)]

			t, err := h.Claim(ctx, now, q)
			if err != nil {
				panic(err)
			}

			mu.Lock()
			sum += time.Since(now)
			mu.Unlock()

			time.Sleep(200 * time.Millisecond)

			_ = h.Complete(ctx, t, Outcome{Status: 201, Body: make([]byte, 256)})
		})
	}

	calls.Wait()

	appends = float64(log.Appends()-before) / time.Since(began).Seconds()

	cancel()
	wg.Wait()

	return appends, sum / time.Duration(n)
}

// Every claim and outcome is a record. Without group commit, 255 calls per second
// would need 510 appends per second. The log service takes several hundred, so
// its other streams would get no capacity.
func TestAppendRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shards, interval = 8, 100 * time.Millisecond

		appends, _ := runLoad(t.Context(), shards, interval, 5*time.Second, 2)
		if limit := shards * (1 + float64(time.Second/interval)); appends > limit {
			t.Errorf("got %.0f appends a second, want at most %.0f", appends, limit)
		}
	})
}

// BenchmarkAppends reports appends per second and the wait for a claim, on
// virtual time, at the expected rate in two years.
func BenchmarkAppends(b *testing.B) {
	for _, shards := range []int{8, 16, 32, 64} {
		for _, interval := range []time.Duration{50, 100, 200, 400} {
			interval *= time.Millisecond

			b.Run(fmt.Sprintf("shards=%d/interval=%v", shards, interval), func(b *testing.B) {
				for b.Loop() {
					var (
						appends float64
						wait    time.Duration
					)

					testing.Init()
					runInBubble(func(ctx context.Context) { appends, wait = runLoad(ctx, shards, interval, 20*time.Second, 4) })
					b.ReportMetric(appends, "appends/s")
					b.ReportMetric(float64(wait.Milliseconds()), "ms/claim")
				}
			})
		}
	}
}

// runInBubble runs f on virtual time outside of a test.
func runInBubble(f func(context.Context)) {
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "bubble", F: func(t *testing.T) { synctest.Test(t, func(t *testing.T) { f(t.Context()) }) },
	}})
}

// filledState returns a State of n keys whose outcomes have bodies of the given
// length.
func filledState(n, body int) *State {
	s := NewState(StateConfig{})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s.apply(1, now.UnixMilli(), record{Kind: kindOwner, Owner: &ownerRecord{VM: "a", Incarnation: 1, Basis: BasisFirst, OldestOffset: 1}})

	for i := range n {
		id := NewKeyID("organisation", strconv.Itoa(i))
		at := now.Add(time.Duration(i) * time.Millisecond).UnixMilli()
		s.apply(uint64(2*i+2), at, record{Kind: kindClaim, Term: 1, KeyID: id, RunID: uint64(i + 1), IssuedMS: at})

		r, err := decode(record{Kind: kindOutcome, Term: 1, KeyID: id, RunID: uint64(i + 1), Outcome: &Outcome{
			Status: 201, ContentType: "application/json", Body: make([]byte, body),
		}}.encode())
		if err != nil {
			panic(err)
		}

		s.apply(uint64(2*i+3), at, r)
	}

	return s
}

// BenchmarkBytes reports the bytes that one call adds to its shard's stream as
// the log service stores them (without the base64 of its responses).
func BenchmarkBytes(b *testing.B) {
	for _, body := range []int{0, 256, 1024} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			for b.Loop() {
				total := 0

				testing.Init()
				runInBubble(func(ctx context.Context) { total = bytesPerBooking(ctx, body) })
				b.ReportMetric(float64(total), "B/booking")
			}
		})
	}
}

// bytesPerBooking makes one call and returns the bytes of its two records.
func bytesPerBooking(ctx context.Context, body int) int {
	var wg sync.WaitGroup

	ctx, cancel := context.WithCancel(ctx)
	log := memory.New()
	h := NewDeduplicator(DeduplicatorConfig{Log: log, Service: "s", Shards: 1, VM: "a", VMList: func() VMList {
		return VMList{Version: 1, VMs: []string{"a"}}
	}})

	wg.Go(func() { h.Run(ctx) })
	time.Sleep(10 * time.Second)

	before := len(log.Records(Stream("s", 0)))

	t, err := h.Claim(ctx, time.Now(), Request{Organisation: "o", Key: keyAt(time.Now(), 1), Fingerprint: "f"})
	if err != nil {
		panic(err)
	}

	_ = h.Complete(ctx, t, Outcome{Status: 201, ContentType: "application/json", Body: make([]byte, body)})

	time.Sleep(time.Second)
	cancel()
	wg.Wait()

	total := 0
	for _, r := range log.Records(Stream("s", 0))[before:] {
		total += len(r.Data)
	}

	return total
}

// BenchmarkMemory reports the bytes per remembered key, in memory and in a
// snapshot.
func BenchmarkMemory(b *testing.B) {
	const n = 100000

	for _, body := range []int{0, 256, 1024} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats

				runtime.GC()
				runtime.ReadMemStats(&before)

				s := filledState(n, body)

				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/key")
				b.ReportMetric(float64(len(s.Encode()))/n, "snapshot-B/key")
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	s := filledState(100000, 0)
	k := Key{ID: NewKeyID("organisation", "77")}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	b.ReportAllocs()

	for b.Loop() {
		s.Lookup(now, k)
	}
}

// BenchmarkClaim claims a key, reads the claim back and completes the run, at
// one Coordinator.
func BenchmarkClaim(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := VMList{Version: 1, VMs: []string{"a"}}
	c := NewCoordinator(CoordinatorConfig{VM: "a", Incarnation: 1})
	offset := uint64(0)

	turn := func() {
		for _, r := range c.Outbox() {
			offset++

			if err := c.Apply(journal.Record{Offset: offset, At: now, Data: r}); err != nil {
				b.Fatal(err)
			}
		}

		c.Synced(now, 1)
	}

	c.SetVMList(f)
	c.RequestOwnership(BasisFirst, f)
	turn()

	keys := make([]string, b.N)
	for i := range keys {
		keys[i] = uuid.NewString()
	}

	b.ReportAllocs()
	b.ResetTimer()

	for i := range b.N {
		r, err := c.Claim(now, Request{Organisation: "o", Key: keys[i]})
		if err != nil {
			b.Fatal(err)
		}

		turn()
		c.Complete(r, Outcome{Status: 201})
		turn()
	}
}
