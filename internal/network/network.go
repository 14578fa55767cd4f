// Package network opens listeners and connections.
package network

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Network opens listeners and connections. The fields are seams: tests put a
// network in memory there. A nil field means TCP.
type Network struct {
	Listen func(address string) (net.Listener, error)
	// Dial connects, or gives up when ctx ends.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// OpenListener returns a listener at an address.
func (n Network) OpenListener(address string) (net.Listener, error) {
	if n.Listen != nil {
		return n.Listen(address)
	}
	return net.Listen("tcp", address)
}

// Connect returns a connection to an address.
func (n Network) Connect(ctx context.Context, address string) (net.Conn, error) {
	if n.Dial != nil {
		return n.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// PeerCloseDetector is a connection that knows by itself whether the other side has
// closed it.
type PeerCloseDetector interface{ PeerClosed() bool }

// PeerClosed reports whether the other side of a connection has closed it. What
// may have been sent ahead stays unread. It reports false if that can't be known.
func PeerClosed(conn net.Conn) bool {
	if c, ok := conn.(PeerCloseDetector); ok {
		return c.PeerClosed()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return err != nil || closed
}
