package event

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"guavayoke/internal/ring"
)

const (
	// maxQueuedLines limits the lines that wait while the log is read slowly.
	maxQueuedLines = 4096
	// maxQueuedBytes limits their memory: a line may quote a request.
	maxQueuedBytes = 2 << 20
	// maxLinesPerSecond limits the volume of the log.
	maxLinesPerSecond = 5000
	// closeTimeout limits how long Close waits for the queued lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// AsyncWriter is an io.Writer for lines of the log. It writes them on a goroutine of
// its own, so that a slow or blocked reader of the log never blocks the code that
// logs. It drops lines when its queue is full and lines beyond maxLinesPerSecond, and
// writes the number of dropped lines to the log.
type AsyncWriter struct {
	lines *ring.Queue[[]byte]
	// queuedBytes is the size of the lines in the queue and of the one that is being written.
	queuedBytes atomic.Int64
	// dropped counts the dropped lines that the log doesn't report yet.
	dropped atomic.Uint64
	// second is the Unix time in seconds of the last line, and linesInSecond
	// counts the lines of this second.
	second        atomic.Int64
	linesInSecond atomic.Int64
	now           func() time.Time
	closing       chan struct{}
	done          chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to w. now returns the current
// time. The caller must call Close to stop its goroutine.
func NewAsyncWriter(w io.Writer, now func() time.Time) *AsyncWriter {
	a := &AsyncWriter{
		lines: ring.New[[]byte](maxQueuedLines), now: now, closing: make(chan struct{}), done: make(chan struct{}),
	}
	go a.run(w)
	return a
}

// Write queues a copy of a line, or drops the line. It never blocks or fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	second := a.now().Unix()
	if a.second.Swap(second) != second {
		a.linesInSecond.Store(0)
	}
	if a.linesInSecond.Add(1) > maxLinesPerSecond || !a.offer(line) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// offer queues a copy of a line. It reports false if there is no room.
func (a *AsyncWriter) offer(line []byte) bool {
	size := int64(len(line))
	if a.queuedBytes.Add(size) <= maxQueuedBytes && a.lines.Offer(append([]byte(nil), line...)) {
		return true
	}
	a.queuedBytes.Add(-size)
	return false
}

// Dropped returns the number of dropped lines that the log doesn't report yet.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes the queued lines and stops the goroutine. It returns after closeTimeout
// even if the reader of the log is blocked.
func (a *AsyncWriter) Close() {
	close(a.closing)
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}

// run writes queued lines to w until Close is called, and then those that remain.
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

// write writes a line, followed by a LogDropped event if lines have been dropped.
func (a *AsyncWriter) write(w io.Writer, line []byte) {
	defer a.queuedBytes.Add(-int64(len(line)))
	if n := a.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "Time=%s Level=warn Event=LogDropped Count=%d\n", a.now().UTC().Format(timeFormat), n)
	}
	if _, err := w.Write(line); err != nil {
		// The log can't be written, and there is no other place to report that.
		a.dropped.Add(1)
	}
}
