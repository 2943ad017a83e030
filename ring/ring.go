// Package ring provides bounded queues between the goroutines of a process.
//
// Each task of a process runs in a goroutine of its own and takes its input
// from one Queue. Adding to a full Queue fails at once, so that an overload is
// refused with a failure kind where it arises and never causes a hidden wait:
//
//	r := ring.New[Job](256)
//	if !r.Offer(job) {
//		return failure.New(failure.QueueFull, "the job queue is full")
//	}
package ring

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded first-in first-out queue between goroutines. Use New.
type Queue[T any] struct {
	values  chan T
	refused atomic.Uint64
}

// New returns an empty Queue with a capacity of n values; an n below 1 counts as 1.
func New[T any](n int) *Queue[T] {
	return &Queue[T]{values: make(chan T, max(n, 1))}
}

// Offer adds v and reports whether there was free space. It never blocks. When the Queue is full,
// v is not added and counts as refused.
func (r *Queue[T]) Offer(v T) bool {
	select {
	case r.values <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Take waits for the next value and removes it. It returns the zero value and false when ctx ends
// first.
func (r *Queue[T]) Take(ctx context.Context) (T, bool) {
	select {
	case v := <-r.values:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// C returns the channel of the queued values, for use in a select.
func (r *Queue[T]) C() <-chan T { return r.values }

// Len returns the number of queued values.
func (r *Queue[T]) Len() int { return len(r.values) }

// Cap returns the capacity in values.
func (r *Queue[T]) Cap() int { return cap(r.values) }

// Refused returns how many values Offer has refused because the Queue was full.
func (r *Queue[T]) Refused() uint64 { return r.refused.Load() }
