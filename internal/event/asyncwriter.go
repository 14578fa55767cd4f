package event

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"guavayoke/internal/ring"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader of the log.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the volume of the log.
	maxLinesPerSecond = 5000
	// closeTimeout bounds the writing of what still waits at the end.
	closeTimeout = 200 * time.Millisecond
)

// AsyncWriter writes lines on a goroutine of its own, so that a reader that is slow or
// stuck never holds up whoever logs. Lines that it has no room for, or that come
// faster than linesPerSecond, are dropped and counted in the log.
type AsyncWriter struct {
	lines         *ring.Queue[[]byte]
	dropped       atomic.Uint64
	second        atomic.Int64
	linesInSecond atomic.Int64
	now           func() time.Time
	closing       chan struct{}
	done          chan struct{}
}

// NewAsyncWriter returns a queue that writes to w. now reads the time.
func NewAsyncWriter(w io.Writer, now func() time.Time) *AsyncWriter {
	a := &AsyncWriter{
		lines: ring.New[[]byte](maxQueuedLines), now: now, closing: make(chan struct{}), done: make(chan struct{}),
	}
	go a.run(w)
	return a
}

// Write queues a line; it never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	second := a.now().Unix()
	if a.second.Swap(second) != second {
		a.linesInSecond.Store(0)
	}
	if a.linesInSecond.Add(1) > maxLinesPerSecond || !a.lines.Offer(append([]byte(nil), line...)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not yet counted in the log.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes what still waits, unless the reader is stuck.
func (a *AsyncWriter) Close() {
	close(a.closing)
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines.C():
			a.write(w, line)
		case <-a.closing:
			for {
				select {
				case line := <-a.lines.C():
					a.write(w, line)
				default:
					return
				}
			}
		}
	}
}

func (a *AsyncWriter) write(w io.Writer, line []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "Time=%s Level=warn Event=LogDropped Count=%d\n", a.now().UTC().Format(timeFormat), n)
	}
	if _, err := w.Write(line); err != nil {
		// Nobody reads the log; there is no other place to say so.
		a.dropped.Add(1)
	}
}
