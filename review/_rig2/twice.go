package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// holdTime is how long one server leaves the starts that it gets unanswered, lateBy how much later
	// it carries them out: applied_late, 2 to 12 s.
	holdTime = 60 * time.Millisecond
	lateBy   = 4 * time.Second
	// maxLateShare is the largest share of orders of the site files, x of applied_late.
	maxLateShare = 0.055
	// restartDelay is the time after which the platform starts killed processes again.
	restartDelay = 500 * time.Millisecond
	// crashDelay is when the daemons are killed and the server crashes, after the first start that it
	// has left unanswered. It is back lateBy after that start: less than 4.5 s later.
	crashDelay = 100 * time.Millisecond

	shortMs, longMs = 50, 6000
	shortPerSecond  = 60
)

// overlaps finds the tasks that run twice at the same time.
type overlaps struct {
	mu      sync.Mutex
	running map[string]map[string]bool
	found   []string
	starts  int
	// used has the processor capacity that runs of each server take up, over the starts that exceeded it.
	used map[string]int
	over []string
}

func newOverlaps() *overlaps {
	return &overlaps{running: map[string]map[string]bool{}, used: map[string]int{}}
}

func (o *overlaps) started(server, task string, run, cpu, capacity int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts++
	if o.used[server] += cpu; o.used[server] > capacity {
		o.over = append(o.over, fmt.Sprintf("%s run %d on %s: %d of %d", task, run, server, o.used[server], capacity))
	}
	if o.running[task] == nil {
		o.running[task] = map[string]bool{}
	}
	for other := range o.running[task] {
		o.found = append(o.found, fmt.Sprintf("%s run %d on %s beside %s", task, run, server, other))
	}
	o.running[task][fmt.Sprintf("%s run %d", server, run)] = true
}

func (o *overlaps) ended(server, task string, run, cpu int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.used[server] -= cpu
	delete(o.running[task], fmt.Sprintf("%s run %d", server, run))
}

// playTwice kills all daemons while one server holds starts back, which its next life under the same
// ID carries out.
func playTwice(r *rig) error {
	for _, name := range []string{"a1", "a2", "a3"} {
		if _, err := r.addDaemon(name, "zone-a"); err != nil {
			return err
		}
	}
	for n := range 8 {
		kind := "a"
		if n < 4 {
			kind = "b"
		}
		if _, err := r.addServer(fmt.Sprintf("i-%s%d", kind, n), "zone-a", 32000, kind, fmt.Sprintf("rack-%d", n/4)); err != nil {
			return err
		}
	}
	if err := r.putConfiguration(3); err != nil {
		return err
	}
	if err := r.startDaemons(); err != nil {
		return err
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Add(1)
	go func() {
		defer callers.Done()
		r.sendJobs(stop, shortPerSecond, shortJob())
	}()
	time.Sleep(5 * time.Second)
	crashed := make(chan error, 1)
	if r.trouble {
		first := r.holdNext()
		go func() { crashed <- r.crashAfter(first) }()
	} else {
		crashed <- nil
	}
	for n := range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			r.sendUntilAnswered(fmt.Sprintf("%016x", 0xfeed0000+n), longJob(), n)
		}()
	}
	err := <-crashed
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()
	r.overlaps.mu.Lock()
	defer r.overlaps.mu.Unlock()
	if err != nil {
		return err
	}
	if held := len(r.held); float64(held) > maxLateShare*float64(r.overlaps.starts) {
		return fmt.Errorf("%d of %d starts were held back, more than the share %v", held, r.overlaps.starts, maxLateShare)
	}
	r.log("%d of %d starts were held back", len(r.held), r.overlaps.starts)
	if len(r.overlaps.found) > 0 {
		return fmt.Errorf("%w: TWICE: %d tasks ran on two servers at the same time: %v", errBroken, len(r.overlaps.found), r.overlaps.found)
	}
	return nil
}

// holdNext makes the first server that gets a start of a long task hold the starts back that it gets within
// holdTime. The channel delivers that server.
func (r *rig) holdNext() <-chan *server {
	r.overlaps.mu.Lock()
	defer r.overlaps.mu.Unlock()
	r.holding = make(chan *server, 1)
	return r.holding
}

// holds reports whether a server holds a start back, and keeps it then.
func (r *rig) holds(s *server, b commandBody) bool {
	r.overlaps.mu.Lock()
	defer r.overlaps.mu.Unlock()
	if r.holding == nil {
		return false
	}
	if r.holder == nil && b.Spec == fmt.Sprint(longMs) {
		r.holder, r.heldSince = s, time.Now()
		r.holding <- s
	}
	if r.holder != s || time.Since(r.heldSince) > holdTime {
		return false
	}
	r.held = append(r.held, b)
	return true
}

// crashAfter kills all daemons and crashes the server that holds starts back, and brings all of them back.
func (r *rig) crashAfter(first <-chan *server) error {
	var s *server
	select {
	case s = <-first:
	case <-time.After(5 * time.Second):
		return errors.New("no start of a long task came")
	}
	at := time.Now()
	time.Sleep(crashDelay)
	r.log("all daemons are killed, and server %s crashes", s.id)
	s.crash()
	for _, d := range r.daemons {
		_ = d.command.Process.Kill()
	}
	for _, d := range r.daemons {
		<-d.exited
	}
	time.Sleep(restartDelay)
	for _, d := range r.daemons {
		if err := r.startDaemon(d); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(at.Add(lateBy)))
	return s.boot()
}

// sendUntilAnswered sends a job, and sends it again as PROTOCOL.md says until it is answered with 200.
func (r *rig) sendUntilAnswered(id, body string, first int) {
	for n := range 8 {
		status, _ := r.request(r.daemons[(first+n)%len(r.daemons)], "POST", id, body, 20*time.Second)
		switch status {
		case 200:
			return
		case 503, 429:
			time.Sleep(time.Second) // As Retry-After says.
		default:
			time.Sleep(retryDelay)
		}
	}
}

func shortJob() string {
	return fmt.Sprintf(`{"spec":"%d","best-effort":true,"steps":[{"count":2,"cpu":2000,"mem-mb":64,"estimate-ms":%d}]}`, shortMs, shortMs)
}

func longJob() string {
	return fmt.Sprintf(`{"spec":"%d","best-effort":true,"steps":[{"count":1,"cpu":14000,"mem-mb":64,"estimate-ms":%d,"requires":"b"}]}`, longMs, longMs)
}
