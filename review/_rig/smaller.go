package main

import (
	"fmt"
	"sync"
	"time"
)

// The case "smaller": executors crash and start again under their id with half of the capacity.
// Each reports it to the store as it starts.

const (
	fullCPU, smallCPU = 16000, 8000
	taskCPU, taskMs   = 6800, 400
	smallerCrashes    = 6
	crashDown         = 600 * time.Millisecond
	crashGap          = 4 * time.Second
)

func init() { cases["smaller"] = playSmaller }

func playSmaller(g *rig) (int, error) {
	var executors []*executor
	for i := range 8 {
		e, err := newExecutor(g.record, g.store, fmt.Sprintf("i-%04d", i), "zone-a", "resa-api", fullCPU, "a", "r1-1")
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
	time.Sleep(2 * time.Second)

	// The clients keep more jobs waiting than the executors have room for.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				client, id := fmt.Sprintf("client-%d", n), newID()
				address, _, err := b.address(client, 0)
				if err != nil {
					continue
				}
				body := jobBody(fmt.Sprintf("%d %d", taskMs, taskCPU), step{Count: 1, CPU: taskCPU, MemMB: 64, EstimateMs: taskMs})
				status, text, err := call("POST", address, id, 4*time.Second, body)
				g.printf("%s: POST %s answered %d %s %v", client, id, status, text, err)
				if status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	for n := range smallerCrashes {
		if g.trouble {
			executors[n].crash()
			time.Sleep(crashDown)
			if err := executors[n].restart(smallCPU); err != nil {
				return 0, err
			}
		}
		time.Sleep(crashGap)
	}
	close(stop)
	clients.Wait()
	code := exitHeld
	for _, e := range executors {
		for _, s := range e.started() {
			if s.used > s.capacity {
				g.printf("LIMIT: %v brings the executor to %d of %d", s, s.used, s.capacity)
				code = exitBroken
			}
		}
	}
	return code, nil
}
