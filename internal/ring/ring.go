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
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.c <- v:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Put adds v and waits for room until ctx ends.
func (q *Queue[T]) Put(ctx context.Context, v T) error {
	select {
	case q.c <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel that the consumer reads.
func (q *Queue[T]) C() <-chan T { return q.c }

// Dropped returns how many elements Offer has turned away.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }
