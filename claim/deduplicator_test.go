package claim

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"boragehub/failure"
	"boragehub/journal/memory"
)

// newKey returns a UUIDv7 issued now by the test's clock.
func newKey(t *testing.T) string {
	t.Helper()

	u, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}

	return u.String()
}

// start runs a Deduplicator until ctx ends.
func start(ctx context.Context, wg *sync.WaitGroup, cfg DeduplicatorConfig) *Deduplicator {
	h := NewDeduplicator(cfg)
	wg.Go(func() { h.Run(ctx) })

	return h
}

func TestDeduplicatorRunsOnceAndReplays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		var wg sync.WaitGroup

		fleet := func() VMList { return VMList{Version: 1, VMs: []string{"a"}} }
		h := start(ctx, &wg, DeduplicatorConfig{Log: memory.New(), Service: "booking-api", Shards: 2, VM: "a", VMList: fleet})

		time.Sleep(5 * time.Second)

		if got, want := len(h.OwnedShards()), 2; got != want {
			t.Fatalf("owned shards: got %d, want %d", got, want)
		}

		q := Request{Organisation: "o", Key: newKey(t), Fingerprint: "f"}

		ticket, err := h.Claim(ctx, time.Now(), q)
		if err != nil || ticket.Outcome != nil || ticket.Unlogged {
			t.Fatalf("first claim: got %+v %v, want permission to run", ticket, err)
		}

		if _, err := h.Claim(ctx, time.Now(), q); failure.KindOf(err) != failure.KeyBusy {
			t.Errorf("claim while running: got %v, want key busy", err)
		}

		if err := h.Complete(ctx, ticket, Outcome{Status: 201}); err != nil {
			t.Fatal(err)
		}

		time.Sleep(time.Second)

		ticket, err = h.Claim(ctx, time.Now(), q)
		if err != nil || ticket.Outcome == nil || ticket.Outcome.Status != 201 {
			t.Errorf("claim after the run: got %+v %v, want the outcome", ticket, err)
		}

		if err := h.Drain(ctx); err != nil || len(h.OwnedShards()) != 0 {
			t.Errorf("drain: got %v and owned shards %v, want none", err, h.OwnedShards())
		}

		cancel()
		wg.Wait()
	})
}
