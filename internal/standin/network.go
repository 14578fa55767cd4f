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

// MemoryNetwork connects simulated hosts in memory. It waits on channels and timers
// only, so that whole daemons can run in the virtual time of testing/synctest. An
// address has the form "HOST:PORT"; faults apply to all traffic of a host or between
// two hosts.
type MemoryNetwork struct {
	// Delay is the one-way latency of each write.
	Delay time.Duration

	mu        sync.Mutex
	listeners map[string]*memoryListener
	// conns holds both sides of each open connection.
	conns map[*memoryConn]bool
	// blockedPairs holds true for each pair of hosts whose data from the first to
	// the second is blocked.
	blockedPairs map[[2]string]bool
	// slowHosts holds the additional latency of all that a host sends.
	slowHosts map[string]time.Duration
	down      map[string]bool
	// changed is closed and replaced when blockedPairs changes.
	changed chan struct{}
}

// NewMemoryNetwork returns a network without hosts, in which each write arrives after
// the delay.
func NewMemoryNetwork(delay time.Duration) *MemoryNetwork {
	return &MemoryNetwork{
		Delay: delay, listeners: map[string]*memoryListener{}, conns: map[*memoryConn]bool{},
		blockedPairs: map[[2]string]bool{}, slowHosts: map[string]time.Duration{}, down: map[string]bool{}, changed: make(chan struct{}),
	}
}

// Host returns the listen and dial functions of the named host.
func (n *MemoryNetwork) Host(name string) network.Network {
	return network.Network{
		Listen: func(address string) (net.Listener, error) { return n.listen(name, address) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return n.dial(ctx, name, address)
		},
		IsClosed: func(conn net.Conn) bool {
			c, ok := conn.(*memoryConn)
			return ok && c.peerClosed()
		},
	}
}

// SetBlocked blocks or unblocks the data that one host sends to another. Blocked data
// is kept and arrives after it has been unblocked.
func (n *MemoryNetwork) SetBlocked(from, to string, blocked bool) {
	n.SetAllBlocked([]string{from}, []string{to}, blocked)
}

// SetAllBlocked does what SetBlocked does for each pair of a host in from and one in to.
func (n *MemoryNetwork) SetAllBlocked(from, to []string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range from {
		for _, t := range to {
			n.blockedPairs[[2]string{f, t}] = blocked
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetSlow adds a latency to all that a host sends from now on, as if it had little
// processor time; 0 ends that. Data that is already on its way is not reordered.
func (n *MemoryNetwork) SetSlow(host string, latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowHosts[host] = latency
}

// latency returns the latency of what a host sends now.
func (n *MemoryNetwork) latency(host string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Delay + n.slowHosts[host]
}

// LosePower takes a host off the network as a loss of power does: its peers don't see
// their connections to it close, and what they write on them is lost.
func (n *MemoryNetwork) LosePower(host string) {
	n.mu.Lock()
	for c := range n.conns {
		if c.from == host {
			c.powerLost.Store(true)
		}
	}
	n.mu.Unlock()
	n.SetDown(host, true)
}

// Silence makes all open connections of a host silent for good: what is written on them
// is lost, and neither side sees the other one close. New connections work.
func (n *MemoryNetwork) Silence(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from == host || c.to == host {
			c.silent.Store(true)
		}
	}
}

// SilenceSome calls choose for each open connection, with the hosts that have dialed and
// accepted it. In the directions for which choose returns true, to the listener and back,
// the connection delivers nothing any more, and the other side does not see it close. New
// connections work.
func (n *MemoryNetwork) SilenceSome(choose func(dialer, listener string) (forth, back bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if !c.dialed {
			continue
		}
		forth, back := choose(c.from, c.to)
		if forth {
			c.silent.Store(true)
		}
		if back {
			c.peer.silent.Store(true)
		}
	}
}

// Close ends all connections; their reads and writes fail from then on.
func (n *MemoryNetwork) Close() {
	n.mu.Lock()
	var open []*memoryConn
	for c := range n.conns {
		open = append(open, c)
	}
	n.mu.Unlock()
	for _, c := range open {
		c.endIncoming(net.ErrClosed, 0)
	}
}

// SetDown takes a host off the network, as a kill of its process does: it closes the
// host's listeners and resets its connections. After a SetDown with false, the host
// can open new ones.
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
		c.breakConn(syscall.ECONNRESET)
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

// dial connects a host to a listener. While either direction is blocked, it waits until
// ctx is done.
func (n *MemoryNetwork) dial(ctx context.Context, host, address string) (net.Conn, error) {
	to := hostOf(address)
	for {
		n.mu.Lock()
		open := !n.blockedPairs[[2]string{host, to}] && !n.blockedPairs[[2]string{to, host}]
		l, changed := n.listeners[address], n.changed
		if n.down[host] || open && l == nil {
			n.mu.Unlock()
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddress(address), Err: syscall.ECONNREFUSED}
		}
		if open {
			local := &memoryConn{network: n, from: host, to: to, remote: memoryAddress(address), incoming: newMemoryQueue(), dialed: true}
			accepted := &memoryConn{network: n, from: to, to: host, remote: memoryAddress(host + ":0"), incoming: newMemoryQueue()}
			local.peer, accepted.peer = accepted, local
			n.conns[local], n.conns[accepted] = true, true
			n.mu.Unlock()
			select {
			case l.accept <- accepted:
				return local, nil
			case <-l.done:
			case <-ctx.Done():
			}
			local.breakConn(syscall.ECONNREFUSED)
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

// blocked reports whether data from one host to another is blocked, and returns a
// channel that is closed when that may have changed.
func (n *MemoryNetwork) blocked(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blockedPairs[[2]string{from, to}], n.changed
}

// memoryAddress is an address "HOST:PORT".
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

// memoryQueue holds the data in transit to one side of a connection.
type memoryQueue struct {
	mu     sync.Mutex
	chunks []memoryChunk
	// endErr, if not nil, is the error that reads return from endAt on, once no data
	// is left.
	endErr   error
	endAt    time.Time
	deadline time.Time
	// wake is closed and replaced at each change.
	wake chan struct{}
}

// memoryChunk is the data of one write, which can be read from the time at on.
type memoryChunk struct {
	at   time.Time
	data []byte
}

func newMemoryQueue() *memoryQueue { return &memoryQueue{wake: make(chan struct{})} }

// update calls f with mu held, then wakes the reader.
func (q *memoryQueue) update(f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f()
	close(q.wake)
	q.wake = make(chan struct{})
}

// read copies data that has arrived by now to b. If there is none, it returns how long
// the reader may sleep and a channel that is closed when the queue changes; a sleep of 0
// means no limit.
func (q *memoryQueue) read(now time.Time, blocked bool, b []byte) (n int, sleep time.Duration, wake <-chan struct{}, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var next time.Time
	switch {
	case !q.deadline.IsZero() && !now.Before(q.deadline):
		return 0, 0, nil, os.ErrDeadlineExceeded
	case blocked && (q.endErr == nil || errors.Is(q.endErr, io.EOF)):
	case len(q.chunks) > 0 && !now.Before(q.chunks[0].at):
		n = copy(b, q.chunks[0].data)
		if q.chunks[0].data = q.chunks[0].data[n:]; len(q.chunks[0].data) == 0 {
			q.chunks = q.chunks[1:]
		}
		return n, 0, nil, nil
	case len(q.chunks) > 0:
		next = q.chunks[0].at
	case q.endErr != nil && !now.Before(q.endAt):
		return 0, 0, nil, q.endErr
	case q.endErr != nil:
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

// memoryConn is one side of a connection: the end at host from.
type memoryConn struct {
	network  *MemoryNetwork
	from, to string
	remote   memoryAddress
	incoming *memoryQueue
	peer     *memoryConn
	// powerLost is set when this side's host has lost power: the other side then never
	// sees the connection close.
	powerLost atomic.Bool
	// silent is set when the connection no longer delivers what this side sends.
	silent atomic.Bool
	// dialed is set on the side that has dialed the connection.
	dialed bool
}

// Read implements net.Conn.
func (c *memoryConn) Read(b []byte) (int, error) {
	for {
		blocked, changed := c.network.blocked(c.to, c.from)
		n, sleep, wake, err := c.incoming.read(time.Now(), blocked, b)
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

// Write implements net.Conn. It never blocks; the data is readable at the other side
// after the network's Delay.
func (c *memoryConn) Write(b []byte) (int, error) {
	c.incoming.mu.Lock()
	broken := c.incoming.endErr != nil && !errors.Is(c.incoming.endErr, io.EOF)
	c.incoming.mu.Unlock()
	if broken {
		return 0, &net.OpError{Op: "write", Net: "memory", Addr: c.remote, Err: syscall.EPIPE}
	}
	if c.silent.Load() {
		return len(b), nil
	}
	chunk := memoryChunk{time.Now().Add(c.network.latency(c.from)), append([]byte(nil), b...)}
	q := c.peer.incoming
	q.update(func() {
		if last := len(q.chunks) - 1; last >= 0 && q.chunks[last].at.After(chunk.at) {
			chunk.at = q.chunks[last].at
		}
		q.chunks = append(q.chunks, chunk)
	})
	return len(b), nil
}

// Close implements net.Conn. The other side reads what was written before, then io.EOF.
func (c *memoryConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.endIncoming(net.ErrClosed, 0)
	if !c.powerLost.Load() && !c.silent.Load() {
		c.peer.endIncoming(io.EOF, c.network.latency(c.from))
	}
	return nil
}

// breakConn makes reads and writes of both sides fail with err, except at a side whose
// peer has lost power.
func (c *memoryConn) breakConn(err error) {
	for _, side := range []*memoryConn{c, c.peer} {
		if side.peer.powerLost.Load() {
			continue
		}
		c.network.mu.Lock()
		delete(c.network.conns, side)
		c.network.mu.Unlock()
		side.endIncoming(err, 0)
	}
}

// endIncoming makes reads return err after the delay. With io.EOF, the data in transit
// can still be read; any other error drops it and replaces an earlier io.EOF.
func (c *memoryConn) endIncoming(err error, delay time.Duration) {
	c.incoming.update(func() {
		if c.incoming.endErr == nil || !errors.Is(err, io.EOF) {
			c.incoming.endErr, c.incoming.endAt = err, time.Now().Add(delay)
		}
		if !errors.Is(err, io.EOF) {
			c.incoming.chunks = nil
		}
	})
}

// peerClosed reports whether the end of the connection has arrived at this side.
func (c *memoryConn) peerClosed() bool {
	if blocked, _ := c.network.blocked(c.to, c.from); blocked {
		return false
	}
	c.incoming.mu.Lock()
	defer c.incoming.mu.Unlock()
	return c.incoming.endErr != nil && !time.Now().Before(c.incoming.endAt)
}

// LocalAddr implements net.Conn.
func (c *memoryConn) LocalAddr() net.Addr { return memoryAddress(c.from + ":0") }

// RemoteAddr implements net.Conn.
func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *memoryConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.incoming.update(func() { c.incoming.deadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn. It has no effect, since writes don't block.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
