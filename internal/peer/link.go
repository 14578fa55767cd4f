package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"

	"guavayoke/internal/network"
	"guavayoke/internal/ring"
)

const (
	// linkQueueFrames is the capacity of the send queue of a connection in frames.
	linkQueueFrames = 1024
	// maxHandshakeBytes bounds what the other host sends in a handshake, which has some hundred
	// bytes.
	maxHandshakeBytes = 64 << 10
	// linkIdleTimeout is how long an accepted connection may carry no frame before
	// it is closed.
	linkIdleTimeout = 90 * time.Second
)

// link is a connection that this host has dialed. Frames are queued in a ring that
// one goroutine writes to the connection; replies to calls arrive on the same
// connection.
type link struct {
	address     string
	incarnation string
	// dialedAt is when the handshake had ended.
	dialedAt time.Time
	conn     *websocket.Conn
	// out is the send queue.
	out *ring.Queue[frame]
	// done is closed when the link is.
	done      chan struct{}
	closeOnce sync.Once
	// lastRead is the time of the last frame received, in Unix nanoseconds.
	lastRead atomic.Int64

	streams streamSet

	mu      sync.Mutex
	nextSeq uint64
	// calls holds the channels that receive the replies, by sequence number.
	calls map[uint64]chan frame
}

// handshakeConn is a connection that fails after left bytes have been read, until done is set. The
// reader of the response to a handshake has no limit of its own, and any program may listen at
// a listed address.
type handshakeConn struct {
	net.Conn
	left int
	done bool
}

// Read implements net.Conn.
func (c *handshakeConn) Read(b []byte) (int, error) {
	if c.done {
		return c.Conn.Read(b)
	}
	if c.left <= 0 {
		return 0, &HandshakeError{"the response is too long"}
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// dialLink connects to an address and performs the handshake, by which each side
// proves to the other that it has the key.
func dialLink(ctx context.Context, n network.Network, address string, key []byte, self string) (*link, error) {
	limited := &handshakeConn{left: maxHandshakeBytes}
	d := websocket.Dialer{
		HandshakeTimeout: handshakeTimeout,
		NetDialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := n.Connect(ctx, address)
			limited.Conn = conn
			return limited, err
		},
	}
	conn, res, err := d.DialContext(ctx, "ws://"+address+"/peer", nil)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	if res != nil && res.Body != nil {
		_ = res.Body.Close()
	}
	conn.SetReadLimit(maxFrameBytes)
	if err := conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	incarnation, err := handshakeDial(conn, key, self)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	limited.done = true
	l := &link{
		address: address, incarnation: incarnation, dialedAt: time.Now(), conn: conn,
		out: ring.New[frame](linkQueueFrames), done: make(chan struct{}), calls: map[uint64]chan frame{},
	}
	l.lastRead.Store(time.Now().UnixNano())
	return l, nil
}

// run reads and writes frames until the connection fails or the link is closed.
// It delivers replies and messages of streams, and passes other frames to handle.
func (l *link) run(handle func(frame)) {
	go l.write()
	defer l.streams.end()
	defer l.close()
	for {
		var f frame
		if err := readValue(l.conn, &f); err != nil {
			var malformed *malformedError
			if errors.As(err, &malformed) {
				continue
			}
			return
		}
		l.lastRead.Store(time.Now().UnixNano())
		switch f.Kind {
		case frameReply:
			l.deliverReply(f)
			continue
		case frameStream:
			if st := l.streams.find(f.Name); st != nil {
				st.onMessage(f.Body)
			}
			continue
		}
		handle(f)
	}
}

// write writes the queued frames until the connection fails or the link is closed.
func (l *link) write() {
	defer l.close()
	for {
		select {
		case f := <-l.out.C():
			if writeValue(l.conn, f) != nil {
				return
			}
		case <-l.done:
			return
		}
	}
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

func (l *link) addStream(st *Stream) { l.streams.add(st) }

func (l *link) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// unresponsive reports whether no frame has been received for suspectTimeout. The
// opinion of other hosts that a member is unreachable is no reason to close a link
// that works.
func (l *link) unresponsive(now time.Time) bool {
	return now.Sub(time.Unix(0, l.lastRead.Load())) > suspectTimeout
}

// silentSince reports whether no frame has been received since a time.
func (l *link) silentSince(t time.Time) bool { return l.lastRead.Load() < t.UnixNano() }

// deliverReply passes a reply to the call that waits for it, if there still is one.
func (l *link) deliverReply(f frame) {
	l.mu.Lock()
	c := l.calls[f.Seq]
	delete(l.calls, f.Seq)
	l.mu.Unlock()
	if c != nil {
		c <- f
	}
}

// call sends a call and waits for its reply. sent is false if err is set and the
// frame was not queued for sending, so that the peer can't have handled it.
func (l *link) call(ctx context.Context, f frame) (reply frame, sent bool, err error) {
	c := make(chan frame, 1)
	l.mu.Lock()
	l.nextSeq++
	f.Seq = l.nextSeq
	l.calls[f.Seq] = c
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.calls, f.Seq)
		l.mu.Unlock()
	}()
	if !l.out.Offer(f) {
		return frame{}, false, errors.New("the send queue to the peer is full")
	}
	select {
	case r := <-c:
		return r, true, nil
	case <-l.done:
		return frame{}, true, errors.New("the connection to the peer was closed")
	case <-ctx.Done():
		return frame{}, true, fmt.Errorf("wait for the reply of the peer: %w", ctx.Err())
	}
}
