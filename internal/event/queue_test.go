package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	mu      sync.Mutex
	got     bytes.Buffer
	release chan struct{}
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(b)
}

// TestStuckReaderBlocksNobody shows that a reader that doesn't read costs lines,
// which are counted, and no time.
func TestStuckReaderBlocksNobody(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	second := int64(0)
	q := NewAsyncWriter(w, func() time.Time { second++; return time.Unix(second, 0) })
	for range 2 * queuedLines {
		if n, err := q.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("wrote %d, %v", n, err)
		}
	}
	if q.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(w.release)
	q.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !strings.Contains(w.got.String(), "Event=LogDropped Count=") {
		t.Error("the log doesn't say that lines were dropped")
	}
}

func TestVolumeIsBounded(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	close(w.release)
	q := NewAsyncWriter(w, func() time.Time { return time.Unix(1, 0) })
	for range 3 * linesPerSecond {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	q.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := strings.Count(w.got.String(), "line\n"); n > linesPerSecond {
		t.Errorf("%d lines in a second, at most %d are allowed", n, linesPerSecond)
	}
}
