// Rig starts daemons as processes on loopback addresses, with the platform, executors and clients
// as PROTOCOL.md describes them, and plays one case of the review.
//
//	rig -case N -dir DIR -daemon PROGRAM -record FILE [-trouble=false]
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cluster is a deployment.
type cluster struct {
	rec       *record
	dir       string
	binary    string
	trouble   bool
	store     *store
	fleet     *fleet
	executors []*executor
	daemons   []*daemon
	version   int
	routes    []map[string]any
}

// verdict is how a case ended.
type verdict struct {
	broken bool
	text   string
}

func main() {
	number := flag.Int("case", 0, "number of the case")
	dir := flag.String("dir", "", "temporary folder")
	binary := flag.String("daemon", "target/guavayoked", "the daemon's program")
	recordFile := flag.String("record", "record.txt", "record of the run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	rec, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	c := &cluster{rec: rec, dir: *dir, binary: *binary, trouble: *trouble, store: newStore(), fleet: &fleet{}}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		c.close()
		os.Exit(2)
	}()
	play, ok := cases[*number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	time.AfterFunc(runLimit, func() {
		rec.add("the case takes longer than %v", runLimit)
		c.close()
		os.Exit(2)
	})
	v, err := play(c)
	c.close()
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		os.Exit(2)
	case v.broken:
		rec.add("BROKEN: %s", v.text)
		os.Exit(1)
	}
	rec.add("held: %s", v.text)
}

// runLimit bounds a run; a script may take 120 seconds.
const runLimit = 100 * time.Second

var cases = map[int]func(*cluster) (verdict, error){}

// addRoute adds a route for jobs and writes the configuration.
func (c *cluster) addRoute(name string) {
	c.routes = append(c.routes, map[string]any{
		"name": name, "host": queueHost, "prefix": "/" + name + "/", "service": "booking", "timeout-ms": 60000, "priority": 1,
		"attempts": 4, "stretch": 1.6, "target-duration-ms": 60,
	})
	c.configure()
}

// dropRoute removes a route and writes the configuration.
func (c *cluster) dropRoute(name string) {
	for i, r := range c.routes {
		if r["name"] == name {
			c.routes = append(c.routes[:i:i], c.routes[i+1:]...)
			break
		}
	}
	c.configure()
}

func (c *cluster) configure() {
	c.version += 3
	c.store.put("op/config", map[string]any{
		"version": c.version, "routes": c.routes, "services": []map[string]any{{"name": "booking", "max-conns": 64}},
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144},
	}, 0)
	c.rec.add("the operator's configuration %d is acknowledged, with %d routes", c.version, len(c.routes))
}

// start starts the deployment: executors and daemons by zone.
func (c *cluster) start(zonesOfDaemons []string, add func() error) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, c.store) }()
	c.addRoute("jobs")
	if err := add(); err != nil {
		return err
	}
	var peers []string
	for range zonesOfDaemons {
		peers = append(peers, freeAddress())
	}
	for i, zone := range zonesOfDaemons {
		d, err := newDaemon(c.dir, c.binary, fmt.Sprintf("edge-%d", i+1), zone, l.Addr().String(), peers[i], peers[:min(3, len(peers))])
		if err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
	}
	for _, d := range c.daemons {
		if err := d.start(); err != nil {
			return err
		}
		c.rec.add("%s starts in %s", d.name, d.zone)
	}
	return c.awaitReady(10 * time.Second)
}

// awaitReady waits until all daemons are ready, and for the time in which traffic begins on the
// platform.
func (c *cluster) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, d := range c.daemons {
			if d.isReady() {
				n++
			}
		}
		if n == len(c.daemons) {
			c.rec.add("all daemons are ready")
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d daemons are ready", n, len(c.daemons))
		}
	}
}

func (c *cluster) addExecutor(id, zone, label string, capacity int) error {
	e, err := newExecutor(c.rec, c.store, c.fleet, id, zone, label, capacity)
	if err == nil {
		c.executors = append(c.executors, e)
		c.rec.add("executor %s in %s, label %s, %d thousandths of a core, at %s", id, zone, label, capacity, e.address)
	}
	return err
}

func (c *cluster) close() {
	for _, d := range c.daemons {
		d.kill()
	}
}

// overlap returns a task with two runs at the same time, or an empty text. Runs on executors that
// were crashed count up to then.
func (c *cluster) overlap() string {
	list := c.fleet.list()
	now := time.Now()
	end := func(s *runSpan) time.Time {
		if s.to.IsZero() {
			return now
		}
		return s.to
	}
	worst, text := time.Duration(0), ""
	for i := range list {
		for j := range list[:i] {
			a, b := &list[i], &list[j]
			if a.task != b.task {
				continue
			}
			from, to := a.from, end(a)
			if b.from.After(from) {
				from = b.from
			}
			if e := end(b); e.Before(to) {
				to = e
			}
			if d := to.Sub(from); d > worst {
				worst = d
				text = fmt.Sprintf("%s ran twice for %d ms: on %s (run %d, fence %d) and on %s (run %d, fence %d), from %d ms on", a.task, d.Milliseconds(),
					b.executor, b.run, b.fence, a.executor, a.run, a.fence, from.Sub(c.rec.begin).Milliseconds())
			}
		}
	}
	return text
}
