package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// The case "freeze": each daemon in turn freezes once. Clients whose connections go there submit a
// job each and cancel it while the daemon still stands.

const (
	stableMs   = 3000 * time.Millisecond // stable-ms
	freezeTime = 1500 * time.Millisecond
	freezeJobs = 12
	freezeGap  = 4 * time.Second
)

func init() { cases["freeze"] = playFreeze }

func playFreeze(g *rig) (int, error) {
	var executors []*executor
	for i := range 8 {
		e, err := newExecutor(g.record, g.store, fmt.Sprintf("i-%04d", i), "zone-a", "resa-api", 16000, "a", "r1-1")
		if err != nil {
			return 0, err
		}
		executors = append(executors, e)
	}
	g.store.put("op/config", configuration(3, "resa-api"))
	for i := range 3 {
		d, err := g.newDaemon(fmt.Sprintf("edge-%d", i+1), "zone-a")
		if err != nil {
			return 0, err
		}
		if err := g.start(d); err != nil {
			return 0, err
		}
	}
	if err := g.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	b := newBalancer(g)
	time.Sleep(4 * time.Second)

	code := exitHeld
	for _, d := range g.daemons {
		broken, err := playFreezeOf(g, b, d, executors)
		if err != nil {
			return 0, err
		}
		if broken {
			code = exitBroken
		}
		time.Sleep(freezeGap)
	}
	return code, nil
}

// playFreezeOf freezes one daemon and reports whether a cancelled job went on.
func playFreezeOf(g *rig, b *balancer, d *daemon, executors []*executor) (bool, error) {
	thawed := make(chan time.Time, 1)
	if g.trouble {
		g.printf("%s freezes", d.name)
		if err := d.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
		time.AfterFunc(freezeTime, func() {
			at := time.Now()
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			g.printf("%s wakes", d.name)
			thawed <- at
		})
	} else {
		thawed <- time.Now()
	}
	results := make(chan cancelled)
	for _, client := range b.clientsOf(d, freezeJobs) {
		go func() {
			id := newID()
			acked, err := b.submitAndCancel(client, id, false)
			results <- cancelled{id, acked, err}
		}()
	}
	var all []cancelled
	for range freezeJobs {
		c := <-results
		if c.problem != nil {
			return false, c.problem
		}
		all = append(all, c)
	}
	awake := <-thawed
	broken := false
	for _, c := range all {
		for _, e := range executors {
			for _, s := range e.started() {
				// All machines are in touch again stableMs after the freeze.
				if strings.HasPrefix(s.task, c.id+".") && s.at.Sub(c.acked) > cancelMs && s.at.Sub(awake) > stableMs {
					g.printf("UNASKED: %v began %v after the cancelling of its job was acknowledged", s, s.at.Sub(c.acked).Round(time.Millisecond))
					broken = true
				}
			}
		}
	}
	return broken, nil
}
