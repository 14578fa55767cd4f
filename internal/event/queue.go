package event

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"guavayoke/internal/ring"
)

const (
	// queuedLines bounds the lines that wait for a slow reader of the log.
	queuedLines = 4096
	// linesPerSecond bounds the volume of the log.
	linesPerSecond = 5000
	// closeTime bounds the writing of what still waits at the end.
	closeTime = 200 * time.Millisecond
)

// AsyncWriter writes lines on a goroutine of its own, so that a reader that is slow or
// stuck never holds up whoever logs. Lines that it has no room for, or that come
// faster than linesPerSecond, are dropped and counted in the log.
type AsyncWriter struct {
	lines   *ring.Queue[[]byte]
	dropped atomic.Uint64
	second  atomic.Int64
	count   atomic.Int64
	now     func() time.Time
	closing chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns a queue that writes to w. now reads the time.
func NewAsyncWriter(w io.Writer, now func() time.Time) *AsyncWriter {
	q := &AsyncWriter{
		lines: ring.New[[]byte](queuedLines), now: now, closing: make(chan struct{}), done: make(chan struct{}),
	}
	go q.run(w)
	return q
}

// Write queues a line; it never blocks and never fails.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	second := q.now().Unix()
	if q.second.Swap(second) != second {
		q.count.Store(0)
	}
	if q.count.Add(1) > linesPerSecond || !q.lines.Offer(append([]byte(nil), line...)) {
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not yet counted in the log.
func (q *AsyncWriter) Dropped() uint64 { return q.dropped.Load() }

// Close writes what still waits, unless the reader is stuck.
func (q *AsyncWriter) Close() {
	close(q.closing)
	select {
	case <-q.done:
	case <-time.After(closeTime):
	}
}

func (q *AsyncWriter) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines.C():
			q.write(w, line)
		case <-q.closing:
			for {
				select {
				case line := <-q.lines.C():
					q.write(w, line)
				default:
					return
				}
			}
		}
	}
}

func (q *AsyncWriter) write(w io.Writer, line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "Time=%s Level=warn Event=LogDropped Count=%d\n", q.now().UTC().Format(timeFormat), n)
	}
	if _, err := w.Write(line); err != nil {
		// Nobody reads the log; there is no other place to say so.
		q.dropped.Add(1)
	}
}
