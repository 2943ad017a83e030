package ring

import (
	"context"
	"testing"
)

func TestOfferRefusesWhenFull(t *testing.T) {
	r := New[int](2)
	for i, want := range []bool{true, true, false} {
		if got := r.Offer(i); got != want {
			t.Errorf("offer %d: got %v, want %v", i, got, want)
		}
	}

	if got, want := r.Refused(), uint64(1); got != want {
		t.Errorf("refused: got %d, want %d", got, want)
	}

	for want := range 2 {
		got, ok := r.Take(context.Background())
		if !ok || got != want {
			t.Errorf("take: got %d %v, want %d true", got, ok, want)
		}
	}
}

func TestTakeEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	if _, ok := New[int](1).Take(ctx); ok {
		t.Error("got a value, want none")
	}
}

func BenchmarkOfferTake(b *testing.B) {
	r := New[int](64)
	ctx := context.Background()

	b.ReportAllocs()

	for b.Loop() {
		r.Offer(1)
		r.Take(ctx)
	}
}
