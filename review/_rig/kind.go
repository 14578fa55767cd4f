package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The case "kind": executors of kind a crash and start again under their id as kind b. Each reports
// it to the store before it accepts a connection.

const (
	kindCPU, kindTaskMs = 6800, 400
	kindCrashes         = 6
	crashDown           = 600 * time.Millisecond
	crashGap            = 4 * time.Second
)

func init() { cases["kind"] = playKind }

func playKind(g *rig) (int, error) {
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
				body := jobBody(fmt.Sprintf("%d %d", kindTaskMs, kindCPU), step{Count: 1, CPU: kindCPU, MemMB: 64, EstimateMs: kindTaskMs, Requires: "a"})
				status, text, err := call("POST", address, id, 4*time.Second, body)
				g.printf("%s: POST %s answered %d %s %v", client, id, status, text, err)
				if status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	for n := range kindCrashes {
		if g.trouble {
			executors[n].crash()
			time.Sleep(crashDown)
			if err := executors[n].restart("b", "r1-1"); err != nil {
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
			if !slices.Contains(s.labels, "a") {
				g.printf("ROUTE: %v requires a, and the executor has %v", s, s.labels)
				code = exitBroken
			}
		}
	}
	return code, nil
}
