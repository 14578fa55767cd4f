package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// One in lateEvery starts at each server gets no answer, for lateTime: a share of 0.053. applied_late of
	// the site file has up to 0.055.
	lateEvery = 19
	lateTime  = 5500 * time.Millisecond
	// minLate and maxLate bound when such a start is carried out.
	minLate, maxLate = 2 * time.Second, 12 * time.Second
	// downTime is how long one of the servers is away: srv_crash of the site file has up to 4.5 s.
	downTime = 2500 * time.Millisecond

	taskCPU, taskMs, jobsPerSecond = 14000, 60, 45
)

// playLife crashes a server while starts for it are late. Its next life carries them out.
func playLife(r *rig) error {
	for _, name := range []string{"a1", "a2", "a3"} {
		if _, err := r.addDaemon(name, "zone-a"); err != nil {
			return err
		}
	}
	for n := range 8 {
		if _, err := r.addServer(fmt.Sprintf("i-a%d", n), "zone-a", 32000, "a", fmt.Sprintf("rack-%d", n/4)); err != nil {
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
		r.sendJobs(stop, jobsPerSecond, fmt.Sprintf(`{"spec":"%d","best-effort":true,"steps":[{"count":4,"cpu":%d,"mem-mb":64,"estimate-ms":%d}]}`, taskMs, taskCPU, taskMs))
	}()
	time.Sleep(3 * time.Second)
	if r.trouble {
		s := r.servers[0]
		r.setLate(true)
		r.log("one in %d starts at each server gets no answer for %v", lateEvery, lateTime)
		time.Sleep(lateTime)
		r.setLate(false)
		r.log("server %s crashes", s.id)
		s.crash()
		time.Sleep(downTime)
		if err := s.boot(); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	callers.Wait()
	r.overlaps.mu.Lock()
	defer r.overlaps.mu.Unlock()
	r.log("%d starts for the server that crashed got no answer in its former life", len(r.held))
	if n := len(r.overlaps.over); n > 0 {
		return fmt.Errorf("%w: LIMIT: %d starts: %v", errBroken, n, r.overlaps.over)
	}
	return nil
}

// setLate sets whether some starts get no answer.
func (r *rig) setLate(late bool) {
	r.overlaps.mu.Lock()
	defer r.overlaps.mu.Unlock()
	r.late = late
}

// isLate reports whether a start gets no answer. It keeps one for the first server, whose next life carries
// it out, and lets the others come to their servers late.
func (r *rig) isLate(s *server, b commandBody) bool {
	r.overlaps.mu.Lock()
	defer r.overlaps.mu.Unlock()
	if !r.late {
		return false
	}
	if s.startsSeen++; s.startsSeen%lateEvery != 0 {
		return false
	}
	if s == r.servers[0] {
		r.held = append(r.held, b)
		return true
	}
	time.AfterFunc(minLate+rand.N(maxLate-minLate), func() {
		reason, _ := s.execute("/guavayoke/run-start", b)
		r.log("server %s: late start of %s run %d: %q", s.id, b.Task, b.Run, reason)
	})
	return true
}

// sendJobs sends jobs to the daemons in turn until stop is closed.
func (r *rig) sendJobs(stop <-chan struct{}, perSecond int, body string) {
	var sent sync.WaitGroup
	defer sent.Wait()
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		sent.Add(1)
		go func() {
			defer sent.Done()
			r.request(r.daemons[n%len(r.daemons)], "POST", fmt.Sprintf("%016x", 0x1000+n), body, 1500*time.Millisecond)
		}()
	}
}
