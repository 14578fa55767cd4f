package httpserver

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// minAcceptDelay and maxAcceptDelay bound the pause after a failure to accept a connection,
	// which doubles with each failure in a row.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
	// overflowWriteTimeout bounds the write of the response to a connection without room. It is
	// short, because no other connection is accepted meanwhile.
	overflowWriteTimeout = 10 * time.Millisecond
	// headerLineBytes is what the HTTP library allocates for a header line or a query parameter,
	// besides its text, while it parses the request.
	headerLineBytes = 160
	// minFieldBytes is the size of the shortest header line.
	minFieldBytes = 3
	// headerByteCopies is how many copies of a header the HTTP library keeps.
	headerByteCopies = 3
)

// errNoRoom is the error of reads for which the account has no room.
var errNoRoom = errors.New("no memory left for requests")

// overflowResponse is the response to a connection without room.
var overflowResponse = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

// listener accepts the connections of a server. A failure to accept one doesn't end it: the HTTP
// library would stop accepting for good when the process runs out of descriptors.
type listener struct {
	net.Listener
	server *Server
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener. It returns an error only after Close.
func (l *listener) Accept() (net.Conn, error) {
	delay := time.Duration(0)
	for {
		nc, err := l.Listener.Accept()
		if err == nil {
			if c := l.server.open(nc); c != nil {
				return c, nil
			}
			delay = 0
			continue
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		default:
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.server.acceptFailed(err)
		delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
		select {
		case <-time.After(delay):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn is an accepted connection. Only Close may be called concurrently with other methods.
type conn struct {
	net.Conn
	server *Server
	entry  entry
	// header is what the header of the present request costs, in bytes, before it is parsed.
	header int64
	// inBody is set from the end of the header to the end of the request.
	inBody bool
	// refused is set if the account had no room for the present request.
	refused bool
}

// Read implements net.Conn. It charges the bytes of a header before they are parsed.
func (c *conn) Read(b []byte) (int, error) {
	if c.refused {
		return 0, errNoRoom
	}
	n, err := c.Conn.Read(b)
	if n > 0 && !c.inBody {
		c.header += headerCost(b[:n])
		if !c.server.charge(c, c.header) {
			c.refused = true
			return 0, errNoRoom
		}
	}
	return n, err
}

// headerCost returns what a part of a header costs once it is parsed, in bytes.
func headerCost(b []byte) int64 {
	return int64(headerByteCopies*len(b) + headerLineBytes*(bytes.Count(b, []byte{'\n'})+bytes.Count(b, []byte{'&'})))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.account.end(&c.entry)
	return c.Conn.Close()
}

// NetConn returns the connection below, as that of tls.Conn does.
func (c *conn) NetConn() net.Conn { return c.Conn }
