// Package ring provides the bounded queue that joins two goroutines.
package ring

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded first-in first-out queue for any number of producers and
// one consumer.
type Queue[T any] struct {
	c       chan T
	dropped atomic.Uint64
}

// New returns a ring that holds up to size elements.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{c: make(chan T, size)}
}

// Offer adds v without blocking. It reports false, and counts a drop, when the
// ring is full.
func (r *Queue[T]) Offer(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put adds v and waits for room until ctx ends.
func (r *Queue[T]) Put(ctx context.Context, v T) error {
	select {
	case r.c <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel that the consumer reads.
func (r *Queue[T]) C() <-chan T { return r.c }

// Dropped returns how many elements Offer has turned away.
func (r *Queue[T]) Dropped() uint64 { return r.dropped.Load() }
