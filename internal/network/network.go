// Package network opens listeners and connections.
package network

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Network opens listeners and connections. Tests set the fields to the functions of a
// network in memory. A nil field means TCP.
type Network struct {
	// Listen returns a listener at an address.
	Listen func(address string) (net.Listener, error)
	// Dial returns a connection to an address. It returns an error when ctx ends
	// before it has connected.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// IsClosed reports what PeerClosed reports, for connections without a socket.
	IsClosed func(conn net.Conn) bool
}

// OpenListener returns a listener at an address, from n.Listen if it is set.
func (n Network) OpenListener(address string) (net.Listener, error) {
	if n.Listen != nil {
		return n.Listen(address)
	}
	return net.Listen("tcp", address)
}

// Connect returns a connection to an address, from n.Dial if it is set.
func (n Network) Connect(ctx context.Context, address string) (net.Conn, error) {
	if n.Dial != nil {
		return n.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// PeerClosed reports whether the other side of a connection of n has closed it, or
// whether the connection has failed. It consumes no data, and while received data is
// unread it reports false. Without n.IsClosed it also reports false if conn is not a
// syscall.Conn and wraps none.
func (n Network) PeerClosed(conn net.Conn) bool {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	if n.IsClosed != nil {
		return n.IsClosed(conn)
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
