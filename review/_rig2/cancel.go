package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// cutTime is how long the daemon is cut off: the longest node_cut of the site files.
	cutTime = 12 * time.Second
	// retryDelay is retransmit-ms.
	retryDelay = 1300 * time.Millisecond
	// readyInterval is the time between two looks at a daemon that isn't ready.
	readyInterval = 100 * time.Millisecond
	// cancelBound is cancel_ms.
	cancelBound = 3 * time.Second
	// clients is the number of clients, which begin clientInterval apart.
	clients, clientInterval = 4, 430 * time.Millisecond
	// steps and stepMs are those of the job that is cancelled.
	steps, stepMs = 26, 500
)

// playCancel cancels jobs at a daemon that is cut off from all others, while the jobs run elsewhere.
func playCancel(r *rig) error {
	names := []struct{ name, zone string }{{"a1", "zone-a"}, {"a2", "zone-a"}, {"b1", "zone-b"}}
	for _, n := range names {
		if _, err := r.addDaemon(n.name, n.zone); err != nil {
			return err
		}
	}
	for _, s := range []struct{ id, zone, kind string }{{"i-a1", "zone-a", "a"}, {"i-a2", "zone-a", "a"}, {"i-b1", "zone-b", "b"}, {"i-b2", "zone-b", "b"}} {
		if _, err := r.addServer(s.id, s.zone, 32000, s.kind, "rack-"+s.zone); err != nil {
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
	time.Sleep(3 * time.Second)
	a1, a2 := r.daemons[0], r.daemons[1]
	if status, _ := r.request(a2, "POST", "00000000000000aa", jobBody(2, 50), 5*time.Second); status != 200 {
		return errors.New("a job on the calm deployment was not completed")
	}
	cutAt := time.Now()
	if r.trouble {
		r.log("a1 is cut off from the other daemons for %v", cutTime)
		cuts.set(a1.command.Process.Pid, true)
		time.AfterFunc(cutTime, func() {
			cuts.set(a1.command.Process.Pid, false)
			r.log("the cut is over")
		})
	}
	time.Sleep(time.Second)
	results := make(chan error, clients)
	for n := range clients {
		go func() {
			time.Sleep(time.Duration(n) * clientInterval)
			results <- r.cancelOne(fmt.Sprintf("5c0e7a21d94b36%02x", n), a1, a2, cutAt)
		}()
	}
	var broken error
	for range clients {
		switch err := <-results; {
		case errors.Is(err, errBroken):
			broken = errors.Join(broken, err)
		case err != nil:
			return err
		}
	}
	return broken
}

// cancelOne sends a job of a client to the daemon that the platform has chosen for it, or to another one if that
// refuses it, cancels it at the first one, and looks for starts after that.
func (r *rig) cancelOne(job string, chosen, other *daemon, cutAt time.Time) error {
	answered := make(chan int, 1)
	go func() {
		status, _ := r.request(chosen, "POST", job, jobBody(steps, stepMs), 25*time.Second)
		if status == 503 {
			// A retry reaches another daemon.
			time.Sleep(retryDelay)
			status, _ = r.request(other, "POST", job, jobBody(steps, stepMs), 25*time.Second)
		}
		answered <- status
	}()
	for until := time.Now().Add(4 * time.Second); len(r.startsOf(job)) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			return errors.New("the job did not start")
		}
	}
	var acked time.Time
	for acked.IsZero() && time.Since(cutAt) < cutTime+3*time.Second {
		if !chosen.isReady() {
			// The platform doesn't send it new connections for long.
			time.Sleep(readyInterval)
			continue
		}
		r.log("platform: %s is ready", chosen.name)
		status, _ := r.request(chosen, "DELETE", job, "", 2*time.Second)
		if status/100 == 2 || status == 410 {
			acked = time.Now()
			break
		}
		time.Sleep(time.Second) // As Retry-After says.
	}
	if acked.IsZero() {
		return errors.New("the cancellation was not acknowledged")
	}
	select {
	case <-answered:
	case <-time.After(25 * time.Second):
	}
	for _, s := range r.startsOf(job) {
		if late := s.at.Sub(acked); late > cancelBound {
			return fmt.Errorf("%w: UNASKED: %s was started %v after the cancelling of its job was acknowledged", errBroken, s.task, late.Round(time.Millisecond))
		}
	}
	return nil
}

// jobBody returns a job with steps of one task each, one after the other, which only servers of zone-b run.
func jobBody(count, ms int) string {
	list := make([]string, count)
	for n := range list {
		after := ""
		if n > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, n-1)
		}
		list[n] = fmt.Sprintf(`{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":%d,"requires":"b"%s}`, ms, after)
	}
	return fmt.Sprintf(`{"spec":"%d","best-effort":true,"steps":[%s]}`, ms, strings.Join(list, ","))
}
