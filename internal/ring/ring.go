// Package ring provides a bounded queue that passes values between goroutines.
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

// New returns a queue that holds up to size elements.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{c: make(chan T, size)}
}

// Offer adds v without blocking and reports whether the queue had room. If not, it
// drops v and counts the drop.
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.c <- v:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Put adds v, waiting for room if the queue is full. It returns the error of ctx if
// ctx ends first.
func (q *Queue[T]) Put(ctx context.Context, v T) error {
	select {
	case q.c <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel from which the consumer receives the elements.
func (q *Queue[T]) C() <-chan T { return q.c }

// Dropped returns the number of elements that Offer has dropped.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }
