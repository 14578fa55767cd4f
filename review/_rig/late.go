package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

// The case "late": a daemon is killed that owns the executors and has the connections of the
// clients. The calls by which it started their tasks got no answer. One of the executors is down
// for some seconds and starts again under its id, where one of the calls then arrives.

const (
	lateRounds = 3
	lateJobs   = 6
	lateDown   = 3 * time.Second
	lateTaskMs = 5000
	// maxLateShare is the largest share of applied_late in the site file.
	maxLateShare = 0.059
)

func init() { cases["late"] = playLate }

func playLate(g *rig) (int, error) {
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
	stop := make(chan struct{})
	var background sync.WaitGroup
	for n := range 6 {
		background.Add(1)
		go func() {
			defer background.Done()
			b.submitSmall(fmt.Sprintf("small-%d", n), stop)
		}()
	}
	defer background.Wait()
	defer close(stop)
	for range lateRounds {
		if err := playLateRound(g, b, executors); err != nil {
			return 0, err
		}
	}
	return checkTwice(g, executors), nil
}

func playLateRound(g *rig, b *balancer, executors []*executor) error {
	d, err := g.owner()
	if err != nil {
		return err
	}
	g.printf("%s is the owner", d.name)
	// Small jobs fill the time, and the executor whose starts are held back has room for two more.
	late := executors[0]
	before := orders(executors)
	late.setDelayStarts(g.trouble)
	var clients sync.WaitGroup
	for _, client := range b.clientsOf(d, lateJobs) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			b.submitUntilAnswered(client, newID())
		}()
	}
	if g.trouble {
		time.Sleep(60 * time.Millisecond)
		late.setDelayStarts(false)
		g.printf("%s is killed", d.name)
		if err := d.cmd.Process.Kill(); err != nil {
			return err
		}
		late.crash()
		<-d.exited
		time.Sleep(500 * time.Millisecond)
		if err := g.start(d); err != nil {
			return err
		}
		time.Sleep(lateDown - 500*time.Millisecond)
		if err := late.restart(late.labels...); err != nil {
			return err
		}
		held := late.deliver()
		all := orders(executors) - before
		g.printf("%d of %d orders got no answer", held, all)
		if float64(held) > maxLateShare*float64(all) {
			return fmt.Errorf("%d of %d orders got no answer, which is more than the site's share", held, all)
		}
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	return nil
}

func (e *executor) setDelayStarts(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delayStarts = on
	if on {
		e.delayed = nil
	}
}

// submitSmall submits small jobs one after the other until stop is closed.
func (b *balancer) submitSmall(client string, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		address, _, err := b.address(client, n)
		if err != nil {
			continue
		}
		if status, _, err := call("POST", address, newID(), 2*time.Second, jobBody("20 100", step{Count: 1, CPU: 100, MemMB: 64, EstimateMs: 20})); err != nil || status != 200 {
			time.Sleep(1300 * time.Millisecond)
		}
	}
}

// orders returns the number of calls that the executors have got.
func orders(executors []*executor) int {
	n := 0
	for _, e := range executors {
		e.mu.Lock()
		n += e.orders
		e.mu.Unlock()
	}
	return n
}

// submitUntilAnswered submits a job, and again 1,300 ms (retransmit-ms) after no answer, a broken
// connection, a 502 or a 504.
func (b *balancer) submitUntilAnswered(client, id string) {
	body := jobBody(fmt.Sprintf("%d 6800", lateTaskMs), step{Count: 1, CPU: 6800, MemMB: 64, EstimateMs: lateTaskMs})
	for attempt := range 4 {
		address, d, err := b.address(client, attempt)
		if err != nil {
			return
		}
		b.g.printf("%s: POST %s by %s", client, id, d.name)
		status, text, err := call("POST", address, id, 13*time.Second, body)
		b.g.printf("%s: POST %s answered %d %s %v", client, id, status, text, err)
		if err == nil && status != 502 && status != 504 {
			return
		}
		time.Sleep(1300 * time.Millisecond)
	}
}

// owner returns the daemon that assumed the ownership last.
func (g *rig) owner() (*daemon, error) {
	var owner *daemon
	latest := ""
	for _, d := range g.daemons {
		log, err := os.ReadFile(filepath.Join(g.dir, d.name+".log"))
		if err != nil {
			return nil, err
		}
		for _, line := range strings.Split(string(log), "\n") {
			if strings.Contains(line, "Event=OwnershipAssumed") && line > latest {
				owner, latest = d, line
			}
		}
	}
	if owner == nil {
		return nil, fmt.Errorf("no daemon is the owner")
	}
	return owner, nil
}

// checkTwice reports the tasks that had two runs at the same time.
func checkTwice(g *rig, executors []*executor) int {
	byTask := map[string][]interval{}
	for _, e := range executors {
		e.mu.Lock()
		for _, r := range e.runs {
			e.intervals = append(e.intervals, interval{r.task, r.run, e.life, e.id, r.started, time.Now(), "running"})
		}
		for _, iv := range e.intervals {
			byTask[iv.task] = append(byTask[iv.task], iv)
		}
		e.mu.Unlock()
	}
	code := exitHeld
	for task, list := range byTask {
		sort.Slice(list, func(i, j int) bool { return list[i].from.Before(list[j].from) })
		for i := 1; i < len(list); i++ {
			if both := list[i-1].till.Sub(list[i].from); both > 0 {
				both = min(both, list[i].till.Sub(list[i].from))
				g.printf("TWICE: %s ran on %s (life %d) and on %s (life %d) for %v at the same time", task, list[i-1].executor, list[i-1].life,
					list[i].executor, list[i].life, both.Round(time.Millisecond))
				code = exitBroken
			}
		}
	}
	return code
}
