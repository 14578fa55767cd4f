package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"guavayoke/internal/network"
)

// MemoryNetwork connects hosts in memory. Its waiting is on channels and timers alone,
// so that whole daemons can be played in virtual time. An address is
// "HOST:PORT"; faults are between hosts.
type MemoryNetwork struct {
	// Delay is how long each write is on its way.
	Delay time.Duration

	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     map[*memoryConn]bool
	cuts      map[[2]string]bool
	down      map[string]bool
	// changed is closed at the next change of a cut.
	changed chan struct{}
}

// NewMemoryNetwork returns a network without hosts.
func NewMemoryNetwork(delay time.Duration) *MemoryNetwork {
	return &MemoryNetwork{
		Delay: delay, listeners: map[string]*memoryListener{}, conns: map[*memoryConn]bool{},
		cuts: map[[2]string]bool{}, down: map[string]bool{}, changed: make(chan struct{}),
	}
}

// Host returns a host's view.
func (n *MemoryNetwork) Host(name string) network.Network {
	return network.Network{
		Listen: func(address string) (net.Listener, error) { return n.listen(name, address) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return n.dial(ctx, name, address)
		},
	}
}

// SetBlocked cuts what a host sends to another one, or lets it through again: what
// was sent meanwhile then arrives.
func (n *MemoryNetwork) SetBlocked(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// LosePower takes a host off the network as a loss of power does: nobody hears
// the end of its connections, and what is written to them is lost.
func (n *MemoryNetwork) LosePower(host string) {
	n.mu.Lock()
	for c := range n.conns {
		if c.from == host {
			c.lost.Store(true)
		}
	}
	n.mu.Unlock()
	n.SetDown(host, true)
}

// Close ends all connections.
func (n *MemoryNetwork) Close() {
	n.mu.Lock()
	var open []*memoryConn
	for c := range n.conns {
		open = append(open, c)
	}
	n.mu.Unlock()
	for _, c := range open {
		c.finish(net.ErrClosed, 0)
	}
}

// SetDown takes a host off the network for good, as a kill does: its listeners
// and connections end. After a SetDown with false, new ones can be opened.
func (n *MemoryNetwork) SetDown(host string, down bool) {
	n.mu.Lock()
	var ended []*memoryConn
	n.down[host] = down
	for c := range n.conns {
		if down && (c.from == host || c.to == host) {
			ended = append(ended, c)
		}
	}
	var closed []*memoryListener
	for address, l := range n.listeners {
		if down && hostOf(address) == host {
			closed = append(closed, l)
		}
	}
	n.mu.Unlock()
	for _, c := range ended {
		c.end(syscall.ECONNRESET)
	}
	for _, l := range closed {
		_ = l.Close()
	}
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

func (n *MemoryNetwork) listen(host, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down[host] || hostOf(address) != host || n.listeners[address] != nil {
		return nil, fmt.Errorf("listen on %s at %s: %w", host, address, syscall.EADDRINUSE)
	}
	l := &memoryListener{network: n, address: memoryAddress(address), accept: make(chan net.Conn, 128), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// dial connects once the way to the listener and back is open.
func (n *MemoryNetwork) dial(ctx context.Context, host, address string) (net.Conn, error) {
	to := hostOf(address)
	for {
		n.mu.Lock()
		open := !n.cuts[[2]string{host, to}] && !n.cuts[[2]string{to, host}]
		l, changed := n.listeners[address], n.changed
		if n.down[host] || open && l == nil {
			n.mu.Unlock()
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddress(address), Err: syscall.ECONNREFUSED}
		}
		if open {
			near := &memoryConn{network: n, from: host, to: to, remote: memoryAddress(address), in: newMemoryQueue()}
			far := &memoryConn{network: n, from: to, to: host, remote: memoryAddress(host + ":0"), in: newMemoryQueue()}
			near.other, far.other = far, near
			n.conns[near], n.conns[far] = true, true
			n.mu.Unlock()
			select {
			case l.accept <- far:
				return near, nil
			case <-l.done:
			case <-ctx.Done():
			}
			near.end(syscall.ECONNREFUSED)
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddress(address), Err: syscall.ECONNREFUSED}
		}
		n.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddress(address), Err: ctx.Err()}
		}
	}
}

// cut reports whether what from sends to another host is held back, and a
// channel that is closed when that may change.
func (n *MemoryNetwork) cut(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}], n.changed
}

type memoryAddress string

// Network implements net.Addr.
func (a memoryAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }

type memoryListener struct {
	network *MemoryNetwork
	address memoryAddress
	accept  chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, &net.OpError{Op: "accept", Net: "memory", Addr: l.address, Err: net.ErrClosed}
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, string(l.address))
		l.network.mu.Unlock()
		close(l.done)
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// memoryQueue holds what is on its way to one side of a connection.
type memoryQueue struct {
	mu       sync.Mutex
	parts    []memoryPart
	end      error
	endAt    time.Time
	deadline time.Time
	wake     chan struct{}
}

type memoryPart struct {
	at   time.Time
	data []byte
}

func newMemoryQueue() *memoryQueue { return &memoryQueue{wake: make(chan struct{})} }

// change makes a change and wakes the reader.
func (q *memoryQueue) change(f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f()
	close(q.wake)
	q.wake = make(chan struct{})
}

// read takes what has arrived by now. Otherwise it returns how long the reader
// may sleep unless it is woken; 0 means for any time.
func (q *memoryQueue) read(now time.Time, cut bool, b []byte) (n int, sleep time.Duration, wake <-chan struct{}, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var next time.Time
	switch {
	case !q.deadline.IsZero() && !now.Before(q.deadline):
		return 0, 0, nil, os.ErrDeadlineExceeded
	case cut && (q.end == nil || errors.Is(q.end, io.EOF)):
	case len(q.parts) > 0 && !now.Before(q.parts[0].at):
		n = copy(b, q.parts[0].data)
		if q.parts[0].data = q.parts[0].data[n:]; len(q.parts[0].data) == 0 {
			q.parts = q.parts[1:]
		}
		return n, 0, nil, nil
	case len(q.parts) > 0:
		next = q.parts[0].at
	case q.end != nil && !now.Before(q.endAt):
		return 0, 0, nil, q.end
	case q.end != nil:
		next = q.endAt
	}
	if !q.deadline.IsZero() && (next.IsZero() || q.deadline.Before(next)) {
		next = q.deadline
	}
	if !next.IsZero() {
		sleep = next.Sub(now)
	}
	return 0, sleep, q.wake, nil
}

// memoryConn is one side of a connection.
type memoryConn struct {
	network  *MemoryNetwork
	from, to string
	remote   memoryAddress
	in       *memoryQueue
	other    *memoryConn
	// lost says that this side's host has lost power: the other side never hears
	// of its end.
	lost atomic.Bool
}

// Read implements net.Conn.
func (c *memoryConn) Read(b []byte) (int, error) {
	for {
		cut, changed := c.network.cut(c.to, c.from)
		n, sleep, wake, err := c.in.read(time.Now(), cut, b)
		if n > 0 || err != nil {
			return n, err
		}
		var timer <-chan time.Time
		if sleep > 0 {
			timer = time.After(sleep)
		}
		select {
		case <-wake:
		case <-changed:
		case <-timer:
		}
	}
}

// Write implements net.Conn; it never blocks.
func (c *memoryConn) Write(b []byte) (int, error) {
	c.in.mu.Lock()
	broken := c.in.end != nil && !errors.Is(c.in.end, io.EOF)
	c.in.mu.Unlock()
	if broken {
		return 0, &net.OpError{Op: "write", Net: "memory", Addr: c.remote, Err: syscall.EPIPE}
	}
	part := memoryPart{time.Now().Add(c.network.Delay), append([]byte(nil), b...)}
	c.other.in.change(func() { c.other.in.parts = append(c.other.in.parts, part) })
	return len(b), nil
}

// Close implements net.Conn: the other side reads what was written and the end.
func (c *memoryConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.finish(net.ErrClosed, 0)
	if !c.lost.Load() {
		c.other.finish(io.EOF, c.network.Delay)
	}
	return nil
}

// end breaks both sides, or the lost one.
func (c *memoryConn) end(err error) {
	for _, side := range []*memoryConn{c, c.other} {
		if side.other.lost.Load() {
			continue
		}
		c.network.mu.Lock()
		delete(c.network.conns, side)
		c.network.mu.Unlock()
		side.finish(err, 0)
	}
}

func (c *memoryConn) finish(err error, after time.Duration) {
	c.in.change(func() {
		if c.in.end == nil || !errors.Is(err, io.EOF) {
			c.in.end, c.in.endAt = err, time.Now().Add(after)
		}
		if !errors.Is(err, io.EOF) {
			c.in.parts = nil
		}
	})
}

// PeerClosed implements network.PeerCloseDetector.
func (c *memoryConn) PeerClosed() bool {
	if cut, _ := c.network.cut(c.to, c.from); cut {
		return false
	}
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.end != nil && !time.Now().Before(c.in.endAt)
}

// LocalAddr implements net.Conn.
func (c *memoryConn) LocalAddr() net.Addr { return memoryAddress(c.from + ":0") }

// RemoteAddr implements net.Conn.
func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *memoryConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.in.change(func() { c.in.deadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn; writes don't wait.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
