package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// network relays the connections between daemons. It can partition daemons from the others: what
// they send each other is held up, without a reset, and delivered after the partition.
type network struct {
	mu      sync.Mutex
	daemons map[string]*daemon
	cut     map[string]bool
	healed  chan struct{}
}

func newNetwork() *network {
	return &network{daemons: map[string]*daemon{}, cut: map[string]bool{}, healed: make(chan struct{})}
}

// partition cuts the named daemons off from all others; no names end the partition.
func (n *network) partition(names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[string]bool{}
	for _, name := range names {
		n.cut[name] = true
	}
	close(n.healed)
	n.healed = make(chan struct{})
}

// wait waits while two daemons are cut off from each other. It reports false if it was told to
// give up.
func (n *network) wait(a, b string, quit <-chan struct{}) bool {
	for {
		n.mu.Lock()
		blocked, healed := a != "" && n.cut[a] != n.cut[b], n.healed
		n.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-healed:
		case <-quit:
			return false
		}
	}
}

// relay forwards connections from a listener to the peer address of a daemon.
func (n *network) relay(l net.Listener, to string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go n.forward(c, to)
	}
}

func (n *network) forward(c net.Conn, to string) {
	defer c.Close()
	from := n.sender(c)
	quit := make(chan struct{})
	if !n.wait(from, to, quit) {
		return
	}
	n.mu.Lock()
	d := n.daemons[to]
	n.mu.Unlock()
	target, err := net.DialTimeout("tcp", d.peerAddress(), time.Second)
	if err != nil {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		return
	}
	defer target.Close()
	var once sync.Once
	pump := func(dst, src net.Conn) {
		defer once.Do(func() { close(quit) })
		b := make([]byte, 64<<10)
		for {
			k, err := src.Read(b)
			if !n.wait(from, to, quit) {
				return
			}
			if k > 0 {
				if _, err := dst.Write(b[:k]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(target, c)
	go pump(c, target)
	<-quit
}

// sender returns the name of the daemon that opened a connection: the one whose process has the
// socket at the other end.
func (n *network) sender(c net.Conn) string {
	_, port, _ := net.SplitHostPort(c.RemoteAddr().String())
	number, _ := strconv.Atoi(port)
	inode := socketInode(number, c.LocalAddr().(*net.TCPAddr).Port)
	if inode == "" {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, d := range n.daemons {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", d.pid()))
		for _, link := range links {
			if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
				return name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the socket that is connected from a local port to a remote one.
func socketInode(local, remote int) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		x := strings.Fields(s.Text())
		if len(x) > 9 && strings.HasSuffix(x[1], fmt.Sprintf(":%04X", local)) && strings.HasSuffix(x[2], fmt.Sprintf(":%04X", remote)) {
			return x[9]
		}
	}
	return ""
}
