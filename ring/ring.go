// Package ring joins the goroutines of a process by bounded queues.
//
// Each duty of a process runs in a goroutine of its own and takes its input
// from one Ring. Putting into a full Ring fails at once, so that an overload
// becomes a refusal with a kind where it arises, and never a silent wait:
//
//	r := ring.New[Job](256)
//	if !r.Offer(job) {
//		return failure.New(failure.QueueFull, "the sweeper is busy")
//	}
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue between goroutines. Use New.
type Ring[T any] struct {
	c       chan T
	refused atomic.Uint64
}

// New returns an empty Ring that holds n values; n under 1 counts as 1.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{c: make(chan T, max(n, 1))}
}

// Offer puts v and reports whether there was room. It never blocks.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Take waits for the next value; it returns false when ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case v := <-r.c:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// C returns the channel to receive from, for use in a select.
func (r *Ring[T]) C() <-chan T { return r.c }

// Len returns how many values wait.
func (r *Ring[T]) Len() int { return len(r.c) }

// Cap returns how many values fit.
func (r *Ring[T]) Cap() int { return cap(r.c) }

// Refused returns how many values found the Ring full.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
