package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"sync"
	"time"
)

// balancer is a stand-in of the platform's address for clients. It forwards each new connection to
// the front address of a ready daemon, which it selects by a hash of the client; retries reach
// other daemons. Once a second it asks each daemon whether it is ready.
type balancer struct {
	g  *rig
	mu sync.Mutex
	// misses counts the failed checks of a daemon in a row.
	misses map[*daemon]int
	// resets holds the daemons whose next connection is reset.
	resets map[*daemon]int
}

func newBalancer(g *rig) *balancer {
	b := &balancer{g: g, misses: map[*daemon]int{}, resets: map[*daemon]int{}}
	go func() {
		for range time.Tick(time.Second) {
			for _, d := range g.daemons {
				ok := d.isReady()
				b.mu.Lock()
				if b.misses[d]++; ok {
					b.misses[d] = 0
				}
				b.mu.Unlock()
			}
		}
	}()
	return b
}

// choose returns the daemon for a connection of a client.
func (b *balancer) choose(client string, attempt int) *daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*daemon
	for _, d := range b.g.daemons {
		if b.misses[d] < 2 {
			list = append(list, d)
		}
	}
	if 2*len(list) < len(b.g.daemons) {
		list = b.g.daemons
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(client))
	return list[(int(h.Sum32()%uint32(len(list)))+attempt)%len(list)]
}

// resetNext makes the balancer reset the next connection to a daemon.
func (b *balancer) resetNext(d *daemon) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resets[d]++
}

// address opens the platform's address as one client reaches it: each connection there is one
// attempt of that client. The second and later attempts of a request come from address(client, 1)
// and so on.
func (b *balancer) address(client string, attempt int) (string, *daemon, error) {
	return b.addressOf(b.choose(client, attempt))
}

func (b *balancer) addressOf(d *daemon) (string, *daemon, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		defer l.Close()
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		reset := b.resets[d] > 0
		if reset {
			b.resets[d]--
		}
		b.mu.Unlock()
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		o, err := net.Dial("tcp", d.front)
		if err != nil {
			_ = c.Close()
			return
		}
		done := make(chan struct{}, 2)
		pipe := func(to, from net.Conn) {
			_, _ = io.Copy(to, from)
			done <- struct{}{}
		}
		go pipe(o, c)
		go pipe(c, o)
		<-done
		_ = o.Close()
		_ = c.Close()
	}()
	return l.Addr().String(), d, nil
}

// clientsOf returns the names of n clients whose connections go to a daemon.
func (b *balancer) clientsOf(d *daemon, n int) []string {
	var list []string
	for i := 0; len(list) < n; i++ {
		if c := fmt.Sprintf("client-%d", i); b.choose(c, 0) == d {
			list = append(list, c)
		}
	}
	return list
}
