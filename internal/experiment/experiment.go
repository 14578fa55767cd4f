package experiment

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config builds an experiment.
type Config struct {
	Workload Workload
	// Policy names the way of dispatching, see Policies.
	Policy string
	Seed   uint64
	// Duration is the virtual time during which tasks arrive.
	Duration time.Duration
	// Load is the offered load as a part of the capacity.
	Load float64
	// Hosts is the number of entry hosts, Domains of failure domains, Servers
	// of backend servers with Slots each.
	Hosts, Domains, Servers, Slots int
	// Deadline is how long a caller waits, DeclaredRunTime the declared run time.
	Deadline, DeclaredRunTime time.Duration
	// WastedMessageCost is the price of a wasted message in response time.
	WastedMessageCost time.Duration
	// Teams are the teams with their parts of the arrivals.
	Teams []TeamShare
	// FailFastServers is the number of servers that fail every task in a millisecond.
	FailFastServers int
	// SlowServers is the number of servers that take slowFactor times as long, HangingServers of
	// those that never answer.
	SlowServers, HangingServers int
}

// TeamShare is a team with its part of the arrivals and its weight.
type TeamShare struct {
	Name   string
	Share  float64
	Weight float64
}

// Result is what an experiment measured.
type Result struct {
	Policy string
	Load   float64
	Hosts  int
	Tasks  int
	// Answered, Late and Refused count tasks; Late ones were answered after
	// their deadline, Failed ones by a failing server.
	Answered, Late, Refused, Failed int
	// The quantiles are response times of answered tasks.
	MeanMs, P50Ms, P99Ms, P999Ms float64
	// OverheadP99Ms is the 99th percentile of response time minus ideal.
	OverheadP50Ms, OverheadP99Ms float64
	// WastedPerTask counts messages without progress, ControlPerTask all
	// messages besides the task and its answer.
	WastedPerTask, ControlPerTask float64
	// Goodput is the run time of tasks answered in time as a part of capacity,
	// from the first steady second to the last arrival.
	Goodput float64
	// FaultyServerRuns counts tasks that a failing, slow or hanging server ran.
	FaultyServerRuns int `json:"OnBad"`
	// FullServerSends counts sends that met a server without a free slot.
	FullServerSends int `json:"Overfull"`
	// Teams holds the figures of each team.
	Teams map[string]TeamResult
}

// TeamResult holds the figures of one team.
type TeamResult struct {
	Tasks, Answered, Refused int
	P99Ms                    float64
}

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

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

// simulation is the virtual network, its servers and the clock.
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

type counters struct {
	answered, late, refused, failed int
	goodputTime                     time.Duration
}

// simServer runs tasks on its slots and refuses more.
type simServer struct {
	index, domain int
	busy          int
	failFast      bool
	slow, hang    bool
}

// slowFactor is how much longer a slow server takes.
const slowFactor = 5

// maxRunTime is after what time an answer is not waited for any longer.
const maxRunTime = 10 * time.Second

type taskState struct {
	arrival
	id           int
	responseTime time.Duration
	ended        bool
	refused      bool
	failed       bool
}

// epoch is the wall time of virtual time zero.
var epoch = time.Unix(1_800_000_000, 0)

func (sim *simulation) time() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + d, sim.seq, run})
}

// latency returns the one-way latency between two failure domains.
func (sim *simulation) latency(a, b int) time.Duration {
	if a == b {
		return sim.cfg.Workload.LocalLatency
	}
	return sim.cfg.Workload.Latency
}

// runTask runs a task on a server that a host of the domain sends to. done is
// called at the host, with false for ok if the server was full.
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

func (sim *simulation) refuse(t *taskState) {
	if t.ended {
		return
	}
	t.ended, t.refused = true, true
	sim.counts.refused++
}

// dispatcher is one policy on all hosts.
type dispatcher interface {
	submit(t *taskState)
}

// warmUp is the virtual time before the first arrival, in which shares settle.
const warmUp = 5 * time.Second

// Run carries out one experiment.
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
	d := build(sim)
	for i, a := range c.arrivals() {
		a.at += warmUp
		t := &taskState{arrival: a, id: i}
		sim.tasks = append(sim.tasks, t)
		sim.schedule(a.at, func() { d.submit(t) })
	}
	end := warmUp + c.Duration + 2*c.Deadline
	for len(sim.events) > 0 && sim.events[0].at < end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	return sim.result(), nil
}

// unmeasured is the part of the arrivals at the start that is not measured.
const unmeasured = 5 * time.Second

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

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 3_600_000_000, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the range of the histogram are counted at its bounds.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 3_600_000_000))
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
