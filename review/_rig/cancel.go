package main

import (
	"fmt"
	"strings"
	"time"
)

// The case "cancel": clients cancel their jobs, and at that moment some connections of the daemon
// that has them are reset, those of the DELETEs among them. The retries reach another daemon, which
// acknowledges them.

const (
	cancelMs   = 3000 * time.Millisecond // cancel_ms
	cancelJobs = 4
	// cancelAfter is when a job is cancelled, counted from its submission.
	cancelAfter = 500 * time.Millisecond
	cancelSteps = 4
	stepMs      = 1500
)

func init() { cases["cancel"] = playCancel }

func playCancel(g *rig) (int, error) {
	var executors []*executor
	for i := range 4 {
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

	results := make(chan cancelled)
	for _, client := range b.clientsOf(g.daemons[0], cancelJobs) {
		go func() {
			id := newID()
			acked, err := b.submitAndCancel(client, id, g.trouble)
			results <- cancelled{id, acked, err}
		}()
	}
	var all []cancelled
	for range cancelJobs {
		o := <-results
		if o.problem != nil {
			return 0, o.problem
		}
		all = append(all, o)
	}
	code := exitHeld
	for _, o := range all {
		for _, e := range executors {
			for _, s := range e.started() {
				if strings.HasPrefix(s.task, o.id+".") && s.at.Sub(o.acked) > cancelMs {
					g.printf("UNASKED: %v began %v after the cancelling of its job was acknowledged", s, s.at.Sub(o.acked).Round(time.Millisecond))
					code = exitBroken
				}
			}
		}
	}
	return code, nil
}

// cancelled is a job whose cancelling was acknowledged.
type cancelled struct {
	id      string
	acked   time.Time
	problem error
}

// submitAndCancel submits a job, cancels it and returns when the cancelling was acknowledged. It
// returns after the answer to the submission. If reset is set, the first connection of the DELETE
// is reset.
func (b *balancer) submitAndCancel(client, id string, reset bool) (time.Time, error) {
	var steps []step
	for i := range cancelSteps {
		st := step{Count: 1, CPU: 6800, MemMB: 64, EstimateMs: stepMs}
		if i > 0 {
			st.After = []int{i - 1}
		}
		steps = append(steps, st)
	}
	address, d, err := b.address(client, 0)
	if err != nil {
		return time.Time{}, err
	}
	answered := make(chan struct{})
	go func() {
		b.g.printf("%s: POST %s by %s", client, id, d.name)
		status, body, err := call("POST", address, id, 13*time.Second, jobBody(fmt.Sprintf("%d 6800", stepMs), steps...))
		b.g.printf("%s: POST %s answered %d %s %v", client, id, status, body, err)
		close(answered)
	}()
	time.Sleep(cancelAfter)
	if reset {
		b.resetNext(d)
	}
	var acked time.Time
	for attempt := 0; acked.IsZero(); attempt++ {
		if attempt == 3 {
			return time.Time{}, fmt.Errorf("%s: the DELETE of %s was not acknowledged", client, id)
		}
		address, d, err := b.address(client, attempt)
		if err != nil {
			return time.Time{}, err
		}
		b.g.printf("%s: DELETE %s by %s", client, id, d.name)
		status, _, err := call("DELETE", address, id, 2*time.Second, nil)
		b.g.printf("%s: DELETE %s answered %d %v", client, id, status, err)
		if err == nil && (status/100 == 2 || status == 410) {
			acked = time.Now()
		}
	}
	<-answered
	return acked, nil
}
