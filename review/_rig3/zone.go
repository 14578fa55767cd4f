package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// lateBy is how much later the one late order is carried out: 2 to 12 s are permitted.
	lateBy = 3500 * time.Millisecond
	// lossAfter is the time from that order to the loss of power in the zone.
	lossAfter = 30 * time.Millisecond
	// executorDown and daemonsDown are how long the executor and the daemons of the zone are away.
	executorDown = 2 * time.Second
	daemonsDown  = 6 * time.Second
)

func init() { cases[11] = lateOrderAfterZoneLoss }

// lateOrderAfterZoneLoss: zone-1 loses power: both of its daemons, one of which owns the executors
// there while the other is its witness, and an executor, which is back after two seconds under its ID.
// One order to start a task had got no answer and is carried out after that. The client submits the
// job again in zone-2.
func lateOrderAfterZoneLoss(c *cluster) (verdict, error) {
	const id = "5c0e7a21d94b36fb"
	lost := make(chan struct{})
	var mu sync.Mutex
	orders, late := 0, 0
	var receiver *executor
	err := c.start([]string{"zone-1", "zone-1", "zone-2", "zone-3"}, func() error {
		for i := range 9 {
			if err := c.addExecutor(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("zone-%d", i/3+1), "a", 32000); err != nil {
				return err
			}
		}
		for _, e := range c.executors {
			e.late = func(task string) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				orders++
				if !c.trouble || late > 0 || !strings.HasPrefix(task, id) {
					return 0
				}
				late++
				receiver = e
				time.AfterFunc(lossAfter, func() { close(lost) })
				return lateBy
			}
		}
		return nil
	})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	// Clients of both zones hand in short jobs.
	for i := range 40 {
		<-c.post(c.daemons[i%4], "jobs", fmt.Sprintf("6d1f8b32ea05c7%02d", i), `{"spec":"60","steps":[{"count":1,"cpu":8000,"mem-mb":64,"estimate-ms":60}],"best-effort":true}`, "1500")
	}
	time.Sleep(300 * time.Millisecond)
	body := `{"spec":"3600","steps":[{"count":1,"cpu":14000,"mem-mb":64,"estimate-ms":900,"affinity":"r-zone-1"}],"best-effort":true}`
	answered := c.post(c.daemons[0], "jobs", id, body, "6000")
	if !c.trouble {
		<-answered
		if text := c.overlap(); text != "" {
			return verdict{true, "TWICE: " + text}, nil
		}
		return verdict{text: "no task ran twice at the same time"}, nil
	}
	select {
	case <-lost:
	case status := <-answered:
		return verdict{}, fmt.Errorf("the job did not run in zone-1: answered %d", status)
	}
	receiver.crash()
	c.daemons[0].kill()
	c.daemons[1].kill()
	c.rec.add("zone-1 loses power: edge-1, edge-2 and %s", receiver.id)
	time.AfterFunc(executorDown, func() {
		if err := receiver.boot(); err != nil {
			c.rec.add("%s: %v", receiver.id, err)
			return
		}
		c.rec.add("%s starts again under its ID", receiver.id)
	})
	time.AfterFunc(daemonsDown, func() {
		for _, d := range c.daemons[:2] {
			if err := d.start(); err != nil {
				c.rec.add("%v", err)
			}
		}
		c.rec.add("edge-1 and edge-2 start again")
	})
	if status := <-answered; status != 0 && status != 502 && status != 504 {
		return verdict{}, fmt.Errorf("the first request was answered %d", status)
	}
	time.Sleep(retransmit)
	status := <-c.post(c.daemons[2], "jobs", id, body, "6000")
	time.Sleep(daemonsDown - 4*time.Second)
	mu.Lock()
	c.rec.add("the second request was answered %d; %d of %d orders to start were carried out late", status, late, orders)
	mu.Unlock()
	if text := c.overlap(); text != "" {
		return verdict{true, "TWICE: " + text}, nil
	}
	return verdict{text: "no task ran twice at the same time"}, nil
}
