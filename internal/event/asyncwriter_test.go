package event

import (
	"bytes"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	release chan struct{}
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

// TestBlockedWriterDoesNotBlockCallers checks that, while the reader of the log is
// blocked, Write doesn't block, and that the log then reports that lines were dropped.
func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	var second atomic.Int64
	q := NewAsyncWriter(w, func() time.Time { return time.Unix(second.Add(1), 0) })
	for range 2 * maxQueuedLines {
		if n, err := q.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write returned %d, %v; want 5, nil", n, err)
		}
	}
	if q.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(w.release)
	q.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !strings.Contains(w.written.String(), "Event=LogDropped Count=") {
		t.Error("the log doesn't say that lines were dropped")
	}
}

// TestQueuedBytesAreLimited checks that long lines which wait for a blocked reader are dropped once
// they hold too much memory, and that there is room again when they have been written.
func TestQueuedBytesAreLimited(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	q := NewAsyncWriter(w, time.Now)
	line := []byte(strings.Repeat("a", maxQueuedBytes/64) + "\n")
	for range 200 {
		if _, err := q.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if queued := 200 - int(q.Dropped()); queued*len(line) > maxQueuedBytes {
		t.Errorf("%d lines of %d bytes wait, the limit is %d bytes", queued, len(line), maxQueuedBytes)
	}
	close(w.release)
	q.Close()
	if n := q.queuedBytes.Load(); n != 0 {
		t.Errorf("%d bytes are counted as waiting after all were written", n)
	}
}

func TestLineRateIsLimited(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	close(w.release)
	q := NewAsyncWriter(w, func() time.Time { return time.Unix(1, 0) })
	for range 3 * maxLinesPerSecond {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	q.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := strings.Count(w.written.String(), "line\n"); n > maxLinesPerSecond {
		t.Errorf("%d lines were written in a second, want at most %d", n, maxLinesPerSecond)
	}
}
