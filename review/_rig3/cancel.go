package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// cancelTime and ackTime are cancel_ms and ack-ms of the site.
	cancelTime = 3000 * time.Millisecond
	ackTime    = 4000 * time.Millisecond
)

func init() {
	cases[14] = cancelAfterRouteIsDropped
}

// chain returns a job without a copy in the store, whose steps run one after the other.
func chain(steps int, ms int, requires string) string {
	var list []string
	for i := range steps {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		if requires != "" {
			after += fmt.Sprintf(`,"requires":%q`, requires)
		}
		list = append(list, fmt.Sprintf(`{"count":1,"cpu":14000,"mem-mb":64,"estimate-ms":%d%s}`, ms, after))
	}
	return fmt.Sprintf(`{"spec":"%d","steps":[%s],"best-effort":true}`, ms, strings.Join(list, ","))
}

// cancelUntil sends DELETE to daemons in turn until it is answered with 2xx or 410, or until a time. It
// returns the times of the first request and of that answer, which is zero if there was none.
func (c *cluster) cancelUntil(daemons []*daemon, route, id string, until time.Time) (first, acked time.Time) {
	first = time.Now()
	for try := 0; time.Now().Before(until); try++ {
		d := daemons[try%len(daemons)]
		status, text, retry := request("DELETE", d.front, "/"+route+"/"+id, "", "", nil, 5*time.Second)
		c.rec.add("client: DELETE /%s/%s at %s is answered %d %s (Retry-After %q)", route, id, d.name, status, text, retry)
		if status/100 == 2 || status == 410 {
			return first, time.Now()
		}
		pause, err := strconv.Atoi(retry)
		if err != nil {
			pause = 1
		}
		time.Sleep(time.Duration(pause) * time.Second)
	}
	return first, time.Time{}
}

// startAfter returns the first start of a task of a job after a time, or nil.
func (c *cluster) startAfter(id string, t time.Time) *runSpan {
	for _, s := range c.fleet.list() {
		if strings.HasPrefix(s.task, id+".") && s.from.After(t) {
			return &s
		}
	}
	return nil
}

// cancelAfterRouteIsDropped: a job of two steps runs when the operator removes its route. Its client
// cancels it.
func cancelAfterRouteIsDropped(c *cluster) (verdict, error) {
	const id = "5c0e7a21d94b36f9"
	err := c.start([]string{"zone-1", "zone-1", "zone-2"}, func() error {
		for _, x := range [][3]string{{"i-1", "zone-1", "a"}, {"i-2", "zone-1", "a"}, {"i-3", "zone-2", "b"}, {"i-4", "zone-2", "b"}} {
			if err := c.addExecutor(x[0], x[1], x[2], 32000); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return verdict{}, err
	}
	c.addRoute("other")
	time.Sleep(4 * time.Second)
	answered := c.post(c.daemons[0], "jobs", id, chain(5, 2500, ""), "30000")
	time.Sleep(500 * time.Millisecond)
	if c.trouble {
		c.dropRoute("jobs")
		time.Sleep(2 * time.Second)
	}
	first, acked := c.cancelUntil(c.daemons, "jobs", id, time.Now().Add(ackTime))
	cancelled := acked
	if acked.IsZero() {
		cancelled = first.Add(ackTime)
		c.rec.add("the cancelling had waited %d ms for its ack", ackTime.Milliseconds())
	}
	<-answered
	if s := c.startAfter(id, cancelled.Add(cancelTime)); s != nil {
		return verdict{true, fmt.Sprintf("UNASKED: %s was started on %s %d ms after the first DELETE", s.task, s.executor, s.from.Sub(first).Milliseconds())}, nil
	}
	return verdict{text: "no task was started too late"}, nil
}
