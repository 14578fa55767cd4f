package main

import (
	"net"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// relay forwards connections to a daemon's peer address. A cut between two processes holds back all
// that they send each other, without an error.
type relay struct {
	address, target string
	// processByIncarnation returns the process with an incarnation, 0 if there is none.
	processByIncarnation func(string) int

	mu sync.Mutex
	// pid is the process that listens at the target.
	pid int
}

// cutState is shared by all relays.
type cutState struct {
	mu  sync.Mutex
	cut map[int]bool
}

var cuts = cutState{cut: map[int]bool{}}

// set cuts a process off from all others, or ends that.
func (c *cutState) set(pid int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[pid] = cut
}

// between reports whether two processes are cut off from each other.
func (c *cutState) between(a, b int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a != b && (c.cut[a] || c.cut[b])
}

func newRelay(target string, processByIncarnation func(string) int) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{address: l.Addr().String(), target: target, processByIncarnation: processByIncarnation}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(c)
		}
	}()
	return r, nil
}

// setOwner tells the relay which process listens at its target.
func (r *relay) setOwner(pid int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pid = pid
}

func (r *relay) owner() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pid
}

// forward forwards one connection in both directions. Which daemon has opened it shows the hello that the
// daemon sends after the connection was upgraded, so the hello is the first thing that a cut holds back.
func (r *relay) forward(in net.Conn) {
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	var from atomic.Int64
	pump := func(dst, src net.Conn, seen func([]byte)) {
		b := make([]byte, 64<<10)
		for {
			n, err := src.Read(b)
			seen(b[:n])
			for cuts.between(int(from.Load()), r.owner()) {
				time.Sleep(5 * time.Millisecond)
			}
			if n > 0 {
				if _, err := dst.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = dst.Close()
		_ = src.Close()
	}
	go pump(in, out, func([]byte) {})
	pump(out, in, func(b []byte) {
		if from.Load() == 0 {
			from.Store(int64(r.processOf(b)))
		}
	})
}

// incarnationPattern matches an incarnation, as a hello contains it.
var incarnationPattern = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

// processOf returns the process whose incarnation a WebSocket frame of a client contains, 0 if it contains none.
func (r *relay) processOf(frame []byte) int {
	const lengthBits, maskBit, headerBytes, maskBytes, twoByteLength = 0x7f, 0x80, 2, 4, 126
	if len(frame) < headerBytes+maskBytes || frame[1]&maskBit == 0 {
		return 0
	}
	at := headerBytes
	if frame[1]&lengthBits == twoByteLength {
		at += 2
	}
	if len(frame) < at+maskBytes {
		return 0
	}
	mask, payload := frame[at:at+maskBytes], slices.Clone(frame[at+maskBytes:])
	for n := range payload {
		payload[n] ^= mask[n%maskBytes]
	}
	incarnation := incarnationPattern.FindString(string(payload))
	if incarnation == "" {
		return 0
	}
	// The daemon may not have written its log yet.
	for range 30 {
		if pid := r.processByIncarnation(incarnation); pid != 0 {
			return pid
		}
		time.Sleep(10 * time.Millisecond)
	}
	return unknownProcess
}

// unknownProcess is the process of a connection whose hello names no daemon of the rig.
const unknownProcess = -1
