package experiment

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config describes an experiment.
type Config struct {
	Workload Workload
	// Policy is the name of the dispatch policy, a key of Policies.
	Policy string
	// Seed determines the arrivals and all random choices.
	Seed uint64
	// Duration is the virtual time during which tasks arrive.
	Duration time.Duration
	// Load is the offered load relative to the capacity: 1 keeps all slots busy.
	Load float64
	// Hosts, Domains and Servers are the numbers of entry hosts, failure domains and
	// backend servers, Slots the number of slots of each server.
	Hosts, Domains, Servers, Slots int
	// Deadline is the time limit of each task, DeclaredRunTime the prior run time that
	// the service declares to the dispatcher.
	Deadline, DeclaredRunTime time.Duration
	// WastedMessageCost is the cost of a wasted message to the dispatcher, expressed
	// as response time.
	WastedMessageCost time.Duration
	// Teams are the teams that submit tasks. Without any, there is one team.
	Teams []TeamShare
	// FailFastServers is the number of servers that fail every task after a
	// millisecond.
	FailFastServers int
	// SlowServers is the number of servers on which tasks take slowFactor times as
	// long, HangingServers the number of those that never answer.
	SlowServers, HangingServers int
}

// TeamShare is a team with its share of the arrivals, from 0 to 1, and its weight for
// the dispatcher.
type TeamShare struct {
	Name   string
	Share  float64
	Weight float64
}

// Result holds the measurements of an experiment.
type Result struct {
	Policy string
	Load   float64
	Hosts  int
	Tasks  int
	// Answered counts the tasks answered by their deadline, Late those answered after
	// it, Refused those that the dispatcher refused and Failed those that a server
	// failed or never answered.
	Answered, Late, Refused, Failed int
	// The mean and the percentiles are of the response times of answered and late
	// tasks that arrived after the unmeasured first part.
	MeanMs, P50Ms, P99Ms, P999Ms float64
	// OverheadP50Ms and OverheadP99Ms are percentiles of the response time minus the
	// ideal, which is the run time and two local latencies.
	OverheadP50Ms, OverheadP99Ms float64
	// WastedPerTask is the number of messages per task that brought no progress.
	// ControlPerTask is that of all messages except the sends of tasks that run and the
	// answers to them.
	WastedPerTask, ControlPerTask float64
	// Goodput is the run time of the tasks answered by their deadline, relative to the
	// capacity, from the end of the unmeasured part to the last arrival.
	Goodput float64
	// FaultyServerRuns counts the runs of tasks on failing, slow and hanging servers.
	FaultyServerRuns int `json:"OnBad"`
	// FullServerSends counts the sends that a server refused for lack of a free slot.
	FullServerSends int `json:"Overfull"`
	// Teams holds the measurements of each team by name.
	Teams map[string]TeamResult
}

// TeamResult holds the measurements of one team.
type TeamResult struct {
	Tasks, Answered, Refused int
	P99Ms                    float64
}

// event is a function to run at a virtual time. Events at the same time run in the
// order of seq.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventHeap is a heap of events with the earliest first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// simulation is the virtual clock with its events, the backend servers and the counts
// of an experiment. The hosts belong to the dispatcher.
type simulation struct {
	cfg        Config
	now        time.Duration
	seq        uint64
	events     eventHeap
	servers    []*simServer
	wasted     int
	control    int
	fullSends  int
	faultyRuns int
	tasks      []*taskState
	counts     counters
}

// counters counts tasks by outcome. goodputTime is the run time that Result.Goodput
// includes.
type counters struct {
	answered, late, refused, failed int
	goodputTime                     time.Duration
}

// simServer is a backend server that runs as many tasks as it has slots and refuses
// more.
type simServer struct {
	index, domain int
	busy          int
	failFast      bool
	slow, hang    bool
}

// slowFactor multiplies run times on a slow server.
const slowFactor = 5

// maxRunTime is the time after which a host stops waiting for an answer. It is also the
// time that a task occupies a slot of a hanging server.
const maxRunTime = 10 * time.Second

// taskState is a task and its outcome. ended is set once it has been answered, has
// failed or has been refused.
type taskState struct {
	arrival
	id           int
	responseTime time.Duration
	ended        bool
	refused      bool
	failed       bool
}

// epoch is the wall clock time at the start of the virtual clock.
var epoch = time.Unix(1_800_000_000, 0)

func (sim *simulation) time() time.Time { return epoch.Add(sim.now) }

// schedule adds an event that calls run after a virtual delay.
func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + d, sim.seq, run})
}

// latency returns the one-way latency between two failure domains, a and b.
func (sim *simulation) latency(a, b int) time.Duration {
	if a == b {
		return sim.cfg.Workload.LocalLatency
	}
	return sim.cfg.Workload.Latency
}

// runTask sends a task from a host of the domain to a server, which runs it if it has a
// free slot. done is called when the response reaches the host. ok is false if the server
// was full; failed is true if the server failed the task or never answered.
func (sim *simulation) runTask(s *simServer, domain int, runTime time.Duration, done func(ok, failed bool)) {
	latency := sim.latency(s.domain, domain)
	sim.schedule(latency, func() {
		if s.busy >= sim.cfg.Slots {
			sim.fullSends++
			sim.schedule(latency, func() { done(false, false) })
			return
		}
		s.busy++
		if s.failFast || s.slow || s.hang {
			sim.faultyRuns++
		}
		switch {
		case s.failFast:
			runTime = time.Millisecond
		case s.slow:
			runTime *= slowFactor
		case s.hang:
			runTime = maxRunTime
		}
		sim.schedule(runTime, func() {
			s.busy--
			sim.schedule(latency, func() { done(true, s.failFast || s.hang) })
		})
	})
}

// finish ends a task that a server has answered or failed.
func (sim *simulation) finish(t *taskState, failed bool) {
	if t.ended {
		return
	}
	t.ended = true
	t.responseTime = sim.now - t.at
	switch {
	case failed:
		t.failed = true
		sim.counts.failed++
	case t.responseTime > sim.cfg.Deadline:
		sim.counts.late++
	default:
		sim.counts.answered++
		if sim.now >= warmUp+unmeasured && sim.now < warmUp+sim.cfg.Duration {
			sim.counts.goodputTime += t.runTime
		}
	}
}

// refuse ends a task that the dispatcher has refused.
func (sim *simulation) refuse(t *taskState) {
	if t.ended {
		return
	}
	t.ended, t.refused = true, true
	sim.counts.refused++
}

// submitFunc is a dispatch policy as it runs on all hosts: it accepts a task at its entry
// host.
type submitFunc func(t *taskState)

// warmUp is the virtual time before the first arrival. It gives the hosts time to agree
// on the shares of the servers' slots.
const warmUp = 5 * time.Second

// Run runs one experiment and returns its measurements. The result depends on the
// configuration alone. It returns an error if the policy is unknown.
func Run(c Config) (Result, error) {
	build, ok := Policies[c.Policy]
	if !ok {
		return Result{}, fmt.Errorf("unknown policy %q", c.Policy)
	}
	sim := &simulation{cfg: c}
	for i := range c.Servers {
		sim.servers = append(sim.servers, &simServer{
			index: i, domain: i % c.Domains, failFast: i < c.FailFastServers,
			slow: i >= c.FailFastServers && i < c.FailFastServers+c.SlowServers,
			hang: i >= c.FailFastServers+c.SlowServers && i < c.FailFastServers+c.SlowServers+c.HangingServers,
		})
	}
	submit := build(sim)
	for i, a := range c.arrivals() {
		a.at += warmUp
		t := &taskState{arrival: a, id: i}
		sim.tasks = append(sim.tasks, t)
		sim.schedule(a.at, func() { submit(t) })
	}
	end := warmUp + c.Duration + 2*c.Deadline
	for len(sim.events) > 0 && sim.events[0].at < end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	return sim.result(), nil
}

// unmeasured is the time from the start of the arrivals during which tasks aren't
// measured, since the queues haven't reached their steady state.
const unmeasured = 5 * time.Second

// result returns the measurements at the end of the simulation.
func (sim *simulation) result() Result {
	c := sim.cfg
	r := Result{
		Policy: c.Policy, Load: c.Load, Hosts: c.Hosts, Tasks: len(sim.tasks),
		Answered: sim.counts.answered, Late: sim.counts.late, Refused: sim.counts.refused, Failed: sim.counts.failed,
		FullServerSends: sim.fullSends, FaultyServerRuns: sim.faultyRuns, Teams: map[string]TeamResult{},
	}
	responses, overhead := newHistogram(), newHistogram()
	teams := map[string]*hdrhistogram.Histogram{}
	for _, t := range sim.tasks {
		tr := r.Teams[t.team]
		tr.Tasks++
		if teams[t.team] == nil {
			teams[t.team] = newHistogram()
		}
		if t.refused {
			tr.Refused++
		}
		if t.ended && !t.refused && !t.failed {
			tr.Answered++
		}
		r.Teams[t.team] = tr
		if !t.ended || t.refused || t.failed || t.at < warmUp+unmeasured {
			continue
		}
		record(responses, t.responseTime)
		record(teams[t.team], t.responseTime)
		record(overhead, t.responseTime-t.runTime-2*c.Workload.LocalLatency)
	}
	r.MeanMs = responses.Mean() / 1000
	r.P50Ms, r.P99Ms, r.P999Ms = quantile(responses, 50), quantile(responses, 99), quantile(responses, 99.9)
	r.OverheadP50Ms, r.OverheadP99Ms = quantile(overhead, 50), quantile(overhead, 99)
	n := float64(max(1, len(sim.tasks)))
	r.WastedPerTask, r.ControlPerTask = float64(sim.wasted)/n, float64(sim.control)/n
	r.Goodput = sim.counts.goodputTime.Seconds() / ((c.Duration - unmeasured).Seconds() * float64(c.Servers*c.Slots))
	for name, h := range teams {
		tr := r.Teams[name]
		tr.P99Ms = quantile(h, 99)
		r.Teams[name] = tr
	}
	return r
}

// newHistogram returns a histogram of times from 1 µs to 1 h, in microseconds with three
// significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 3_600_000_000, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the range of the histogram count at its bounds, so that
	// RecordValue can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 3_600_000_000))
}

// quantile returns the percentile q, from 0 to 100, of a histogram in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
