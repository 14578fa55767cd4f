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
	do  func()
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

// world is the virtual network, its servers and the clock.
type world struct {
	cfg     Config
	now     time.Duration
	seq     uint64
	events  eventHeap
	servers []*fakeServer
	wasted  int
	control int
	full    int
	onBad   int
	tasks   []*taskState
	counts  counters
}

type counters struct {
	answered, late, refused, failed int
	goodRun                         time.Duration
}

// fakeServer runs tasks on its slots and refuses more.
type fakeServer struct {
	index, domain int
	busy          int
	failFast      bool
	slow, hang    bool
}

// slowFactor is how much longer a slow server takes.
const slowFactor = 5

// maxRun is after what time an answer is not waited for any longer.
const maxRun = 10 * time.Second

type taskState struct {
	arrival
	id       int
	response time.Duration
	over     bool
	refused  bool
	failed   bool
}

// epoch is the wall time of virtual time zero.
var epoch = time.Unix(1_800_000_000, 0)

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, do})
}

// hop returns the one-way latency between two failure domains.
func (w *world) hop(a, b int) time.Duration {
	if a == b {
		return w.cfg.Workload.LocalLatency
	}
	return w.cfg.Workload.Latency
}

// serve runs a task on a server that a host of the domain sends to. done is
// called at the host, with false for ok if the server was full.
func (w *world) serve(s *fakeServer, domain int, run time.Duration, done func(ok, failed bool)) {
	hop := w.hop(s.domain, domain)
	w.after(hop, func() {
		if s.busy >= w.cfg.Slots {
			w.full++
			w.after(hop, func() { done(false, false) })
			return
		}
		s.busy++
		if s.failFast || s.slow || s.hang {
			w.onBad++
		}
		switch {
		case s.failFast:
			run = time.Millisecond
		case s.slow:
			run *= slowFactor
		case s.hang:
			run = maxRun
		}
		w.after(run, func() {
			s.busy--
			w.after(hop, func() { done(true, s.failFast || s.hang) })
		})
	})
}

func (w *world) finish(t *taskState, failed bool) {
	if t.over {
		return
	}
	t.over = true
	t.response = w.now - t.at
	switch {
	case failed:
		t.failed = true
		w.counts.failed++
	case t.response > w.cfg.Deadline:
		w.counts.late++
	default:
		w.counts.answered++
		if w.now >= warmUp+steady && w.now < warmUp+w.cfg.Duration {
			w.counts.goodRun += t.run
		}
	}
}

func (w *world) refuse(t *taskState) {
	if t.over {
		return
	}
	t.over, t.refused = true, true
	w.counts.refused++
}

// dispatcher is one policy on all hosts.
type dispatcher interface {
	offer(t *taskState)
}

// warmUp is the virtual time before the first arrival, in which shares settle.
const warmUp = 5 * time.Second

// Run carries out one experiment.
func Run(c Config) (Result, error) {
	build, ok := Policies[c.Policy]
	if !ok {
		return Result{}, fmt.Errorf("unknown policy %q", c.Policy)
	}
	w := &world{cfg: c}
	for i := range c.Servers {
		w.servers = append(w.servers, &fakeServer{
			index: i, domain: i % c.Domains, failFast: i < c.FailFastServers,
			slow: i >= c.FailFastServers && i < c.FailFastServers+c.SlowServers,
			hang: i >= c.FailFastServers+c.SlowServers && i < c.FailFastServers+c.SlowServers+c.HangingServers,
		})
	}
	d := build(w)
	for i, a := range c.arrivals() {
		a.at += warmUp
		t := &taskState{arrival: a, id: i}
		w.tasks = append(w.tasks, t)
		w.after(a.at, func() { d.offer(t) })
	}
	end := warmUp + c.Duration + 2*c.Deadline
	for len(w.events) > 0 && w.events[0].at < end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return w.result(), nil
}

// steady is the part of the arrivals at the start that is not measured.
const steady = 5 * time.Second

func (w *world) result() Result {
	c := w.cfg
	r := Result{
		Policy: c.Policy, Load: c.Load, Hosts: c.Hosts, Tasks: len(w.tasks),
		Answered: w.counts.answered, Late: w.counts.late, Refused: w.counts.refused, Failed: w.counts.failed,
		FullServerSends: w.full, FaultyServerRuns: w.onBad, Teams: map[string]TeamResult{},
	}
	all, over := newHistogram(), newHistogram()
	teams := map[string]*hdrhistogram.Histogram{}
	for _, t := range w.tasks {
		tr := r.Teams[t.team]
		tr.Tasks++
		if teams[t.team] == nil {
			teams[t.team] = newHistogram()
		}
		if t.refused {
			tr.Refused++
		}
		if t.over && !t.refused && !t.failed {
			tr.Answered++
		}
		r.Teams[t.team] = tr
		if !t.over || t.refused || t.failed || t.at < warmUp+steady {
			continue
		}
		record(all, t.response)
		record(teams[t.team], t.response)
		record(over, t.response-t.run-2*c.Workload.LocalLatency)
	}
	r.MeanMs = all.Mean() / 1000
	r.P50Ms, r.P99Ms, r.P999Ms = quantile(all, 50), quantile(all, 99), quantile(all, 99.9)
	r.OverheadP50Ms, r.OverheadP99Ms = quantile(over, 50), quantile(over, 99)
	n := float64(max(1, len(w.tasks)))
	r.WastedPerTask, r.ControlPerTask = float64(w.wasted)/n, float64(w.control)/n
	r.Goodput = w.counts.goodRun.Seconds() / ((c.Duration - steady).Seconds() * float64(c.Servers*c.Slots))
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
