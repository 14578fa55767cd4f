package main

import (
	"fmt"
	"time"
)

// patience is how long the client of resentAfterCancel hands its job in again and again.
const patience = 45 * time.Second

func init() { cases[13] = resentAfterCancel }

// resentAfterCancel: one client waits for a job, another cancels it. The first one is told 502 and hands
// the job in again, as after any 502.
func resentAfterCancel(c *cluster) (verdict, error) {
	const id = "5c0e7a21d94b36fc"
	err := c.start([]string{"zone-1", "zone-1", "zone-2"}, func() error {
		for _, x := range [][2]string{{"i-1", "zone-1"}, {"i-2", "zone-1"}, {"i-3", "zone-2"}, {"i-4", "zone-2"}} {
			if err := c.addExecutor(x[0], x[1], "a", 32000); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	const body = `{"spec":"2000","steps":[{"count":2,"cpu":14000,"mem-mb":64,"estimate-ms":2000}],"best-effort":true}`
	answered := c.post(c.daemons[0], "jobs", id, body, "6000")
	time.Sleep(500 * time.Millisecond)
	var acked time.Time
	if c.trouble {
		if _, acked = c.cancelUntil(c.daemons[1:2], "jobs", id, time.Now().Add(ackTime)); acked.IsZero() {
			return verdict{}, fmt.Errorf("the cancelling was not acknowledged")
		}
	}
	until := time.Now().Add(patience)
	for try := 1; ; try++ {
		status := <-answered
		if status != 0 && status != 502 && status != 504 || time.Now().After(until) {
			break
		}
		time.Sleep(retransmit)
		answered = c.post(c.daemons[try%len(c.daemons)], "jobs", id, body, "6000")
	}
	if acked.IsZero() {
		return verdict{text: "nothing was cancelled"}, nil
	}
	if s := c.startAfter(id, acked.Add(cancelTime)); s != nil {
		return verdict{true, fmt.Sprintf("UNASKED: %s was started on %s %d ms after the cancelling of the job was acknowledged", s.task, s.executor, s.from.Sub(acked).Milliseconds())}, nil
	}
	return verdict{text: "no task was started later than cancel_ms after the ack"}, nil
}
