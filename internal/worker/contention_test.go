package worker_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavayoke/internal/worker"
)

// A contention plays callers of several queues that compete for too little room: usual
// demand, then more than the servers can run for a while, then usual demand again.

// contentionKind is a kind of jobs with a queue of its own.
type contentionKind struct {
	queue    string
	priority int
	runTime  time.Duration
	// widths are the numbers of tasks; each width has the same part of the demand.
	widths []int
}

// contentionKinds are the kinds of the deployment where the fault was seen, with a second
// width each.
var contentionKinds = []contentionKind{
	{"Short", 0, 60 * time.Millisecond, []int{8, 2}},
	{"Medium", 1, 200 * time.Millisecond, []int{2, 16}},
	{"Long", 2, 900 * time.Millisecond, []int{4, 1}},
}

const (
	contentionDomains, contentionHosts, contentionServers = 3, 3, 24
	// contentionNeed is half a server, as on the deployment.
	contentionNeed = queueServerCPU / 2
	// contentionStretch and contentionTarget are the objective of the users' sheets.
	contentionStretch, contentionTarget = 1.6, 60 * time.Millisecond
	// contentionWorth is for how many objectives an answer is worth something.
	contentionWorth = 3
	// contentionUsual is the usual demand as a share of the room, contentionBefore how long
	// it lasts before the overload and contentionAfter after it.
	contentionUsual                   = 0.75
	contentionBefore, contentionAfter = 20 * time.Second, 3 * time.Second
	// contentionRunError and contentionEstimateError are the largest deviations of a run
	// time from its kind's and of a declared run time from the mean.
	contentionRunError, contentionEstimateError = 0.2, 0.3
	contentionSeeds                             = 3
)

// contention is a load. demand has the demand of each queue during the overload as a
// multiple of its usual one; without it, all have overload times the room together.
type contention struct {
	overload float64
	demand   map[string]float64
	length   time.Duration
	// firstHostShare is the share of the jobs that callers of one entry host submit; 0 gives
	// each host an equal share.
	firstHostShare float64
	// firstDomainShare is the share of the jobs that callers of the first domain submit beyond
	// its part of the rest.
	firstDomainShare float64
	// bounded says that the stated target holds for this load.
	bounded bool
}

// contentionJob is a job of a contention. work is in core-seconds.
type contentionJob struct {
	id         string
	at         time.Duration
	kind       *contentionKind
	runs       []time.Duration
	estimate   time.Duration
	host       int
	work       float64
	inOverload bool
	// What its caller saw.
	onTime, served, late, refusedLater bool
	attempts                           int
	ended                              time.Duration
	startedWork                        time.Duration
}

func (j *contentionJob) objective() time.Duration {
	return time.Duration(contentionStretch*float64(slices.Max(j.runs))) + contentionTarget
}

func contentionRoom() float64 {
	return contentionDomains * contentionServers * queueServerCPU / 1000
}

func (c contention) jobs(seed uint64) []*contentionJob {
	r := rand.New(rand.NewPCG(seed, 11))
	hosts := contentionDomains * contentionHosts
	end := contentionBefore + c.length + contentionAfter
	var list []*contentionJob
	for k := range contentionKinds {
		kind := &contentionKinds[k]
		for _, width := range kind.widths {
			work := float64(width) * kind.runTime.Seconds() * contentionNeed / 1000
			usual := contentionUsual * contentionRoom() / float64(len(contentionKinds)*len(kind.widths)) / work
			for at := time.Duration(0); at < end; {
				rate := usual
				over := at >= contentionBefore && at < contentionBefore+c.length
				if over && c.demand != nil {
					rate *= c.demand[kind.queue]
				} else if over {
					rate *= c.overload / contentionUsual
				}
				at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
				j := &contentionJob{at: at, kind: kind, host: r.IntN(hosts), inOverload: at >= contentionBefore && at < contentionBefore+c.length}
				if r.Float64() < c.firstHostShare {
					j.host = 0
				}
				if c.firstDomainShare > 0 && r.Float64() < c.firstDomainShare {
					j.host = r.IntN(contentionHosts)
				}
				for range width {
					run := time.Duration(float64(kind.runTime) * (1 + contentionRunError*(2*r.Float64()-1)))
					j.runs = append(j.runs, run)
					j.work += run.Seconds() * contentionNeed / 1000
				}
				j.estimate = time.Duration(float64(kind.runTime) * (1 + contentionEstimateError*(2*r.Float64()-1)))
				list = append(list, j)
			}
		}
	}
	slices.SortFunc(list, func(a, b *contentionJob) int { return int(a.at - b.at) })
	for i, j := range list {
		j.id = fmt.Sprintf("%016x", i)
	}
	return list
}

// simulate runs the jobs in a simulation of the scheduler. A refused caller submits its job
// again after Retry-After, as long as the answer is worth something.
func (c contention) simulate(t *testing.T, seed uint64, jobs []*contentionJob) {
	w := newSimulation(t, simConfig{
		seed: seed, domains: contentionDomains, hosts: contentionHosts, servers: contentionServers, cpu: queueServerCPU,
		faults: simFaults{Steady: true}, unchecked: true,
	})
	w.run(queueWarmUp)
	for _, q := range jobs {
		j := &simJob{
			at: w.now.Add(q.at), done: map[string]bool{}, onlyRefused: true, runTime: slices.Max(q.runs), runs: q.runs,
			entryHost: q.host, fixedHost: true,
		}
		j.job = worker.Job{
			ID: q.id, Queue: q.kind.queue, Service: "booking", MaxFailures: 4, Priority: q.kind.priority,
			Stretch: contentionStretch, Target: contentionTarget, Budget: contentionWorth * q.objective(),
			Steps: []worker.Step{{Count: len(q.runs), Estimate: q.estimate, Need: worker.Resources{CPUMilli: contentionNeed, MemoryMB: 1}}},
		}
		j.answered = func(r worker.Result) {
			age := w.now.Sub(j.at)
			q.attempts++
			q.ended, q.startedWork = age, j.startedWork
			switch {
			case r.Outcome == worker.Completed:
				q.served, q.onTime = true, age <= q.objective()
				q.late = !q.onTime
			case r.Reason == "WaitedTooLong":
				q.refusedLater = true
			}
			if r.Outcome != worker.Completed && age+r.RetryAfter < contentionWorth*q.objective() {
				w.after(r.RetryAfter, func() { w.submit(j) })
			}
		}
		w.jobs[j.job.ID] = j
		w.after(q.at, func() { w.submit(j) })
	}
	w.run(contentionBefore + c.length + contentionAfter + 10*time.Second)
}

// ideal runs the jobs in one queue that knows all run times, acts without delay on all
// servers, and drops what can't be on time at no cost. The queue, and within it the width,
// with the least room in use comes first, then the job with the least slack. It starts all
// tasks of a job at once and waits until there is room for them.
func (c contention) ideal(jobs []*contentionJob) {
	free := contentionDomains * contentionServers * queueServerCPU / contentionNeed
	inUse, queueInUse := map[string]int{}, map[string]int{}
	waiting := map[string][]*contentionJob{}
	var events eventHeap
	seq := 0
	now := time.Time{}
	after := func(at time.Time, do func()) {
		seq++
		heap.Push(&events, simEvent{at, seq, do})
	}
	group := func(j *contentionJob) string { return fmt.Sprintf("%s/%d", j.kind.queue, len(j.runs)) }
	place := func() {}
	start := func(j *contentionJob) {
		g, n := group(j), len(j.runs)
		waiting[g] = waiting[g][1:]
		free -= n
		inUse[g] += n
		queueInUse[j.kind.queue] += n
		j.ended, j.served = now.Sub(time.Time{})+slices.Max(j.runs)-j.at, true
		j.onTime = j.ended <= j.objective()
		for _, run := range j.runs {
			after(now.Add(run), func() {
				free++
				inUse[g]--
				queueInUse[j.kind.queue]--
				place()
			})
		}
	}
	place = func() {
		for {
			var best *contentionJob
			for g, list := range waiting {
				for len(list) > 0 && now.Sub(time.Time{}) > list[0].at+list[0].objective()-slices.Max(list[0].runs) {
					list = list[1:]
				}
				if waiting[g] = list; len(list) == 0 {
					continue
				}
				if j := list[0]; best == nil || cmp.Or(
					cmp.Compare(queueInUse[j.kind.queue], queueInUse[best.kind.queue]),
					cmp.Compare(inUse[g], inUse[group(best)]), cmp.Compare(g, group(best))) < 0 {
					best = j
				}
			}
			if best == nil || len(best.runs) > free {
				return
			}
			start(best)
		}
	}
	for _, j := range jobs {
		after(time.Time{}.Add(j.at), func() {
			// Arrivals of a group come in about the order of their slack.
			waiting[group(j)] = append(waiting[group(j)], j)
			place()
		})
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(simEvent)
		now = e.at
		e.do()
	}
}

// contentionReport is what callers saw of the jobs of the overload.
type contentionReport struct {
	// onTime is the share of jobs on time by group, count the number of jobs.
	// lateness is the share of jobs answered late.
	onTime, count, lateness map[string]float64
	// goodput is the core-seconds answered on time as a share of what the servers can run
	// in the time of the overload, or of the demand if that is less. wasted is the
	// core-seconds of runs of jobs that were not on time.
	goodput, wasted float64
	// credit is the mean worth: 1 on time, a fifth up to three objectives.
	credit float64
	// refusedLater and late are the shares of all jobs.
	refusedLater, late float64
	// outside is the share on time outside the overload.
	outside float64
}

func (c contention) report(jobs []*contentionJob) contentionReport {
	r := contentionReport{onTime: map[string]float64{}, count: map[string]float64{}, lateness: map[string]float64{}}
	var all, demand, outside, outsideOnTime float64
	for _, j := range jobs {
		if !j.inOverload {
			outside++
			if j.onTime {
				outsideOnTime++
			}
			continue
		}
		groups := []string{j.kind.queue, fmt.Sprintf("%s/%d", j.kind.queue, len(j.runs)), "Host" + fmt.Sprint(j.host)}
		for _, g := range groups {
			r.count[g]++
			if j.onTime {
				r.onTime[g]++
			}
			if j.late {
				r.lateness[g]++
			}
		}
		all++
		demand += j.work
		switch {
		case j.onTime:
			r.goodput += j.work
			r.credit++
		default:
			r.wasted += j.startedWork.Seconds() * contentionNeed / 1000
			if j.late && j.ended <= contentionWorth*j.objective() {
				r.credit += 0.2
			}
		}
		if j.refusedLater {
			r.refusedLater++
		}
		if j.late {
			r.late++
		}
	}
	for g, n := range r.count {
		r.onTime[g] /= n
		r.lateness[g] /= n
	}
	r.goodput /= min(demand, contentionSeeds*contentionRoom()*c.length.Seconds())
	r.credit /= all
	r.refusedLater /= all
	r.late /= all
	r.outside = outsideOnTime / outside
	return r
}

func (r contentionReport) String() string {
	s := fmt.Sprintf("goodput %.3f credit %.3f wasted %.0f refused later %.4f late %.4f outside %.3f;", r.goodput, r.credit, r.wasted, r.refusedLater, r.late, r.outside)
	for _, g := range slices.Sorted(maps.Keys(r.onTime)) {
		s += fmt.Sprintf(" %s %.3f", g, r.onTime[g])
		if r.lateness[g] > 0 {
			s += fmt.Sprintf(" (late %.3f)", r.lateness[g])
		}
	}
	return s
}

var contentions = map[string]contention{
	"1.5xFor2s":  {overload: 1.5, length: 2 * time.Second},
	"1.5xFor10s": {overload: 1.5, length: 10 * time.Second},
	"2xFor2s":    {overload: 2, length: 2 * time.Second},
	"2xFor9s":    {overload: 2, length: 9 * time.Second, bounded: true},
	"3xFor2s":    {overload: 3, length: 2 * time.Second},
	"3xFor10s":   {overload: 3, length: 10 * time.Second},
	// One queue exceeds its usual demand; the others must not notice.
	"ShortBursts": {demand: map[string]float64{"Short": 5, "Medium": 1, "Long": 1}, length: 9 * time.Second},
	"LongBursts":  {demand: map[string]float64{"Short": 1, "Medium": 1, "Long": 5}, length: 9 * time.Second},
	"OneHost":     {overload: 2, length: 9 * time.Second, firstHostShare: 0.5},
}

// What callers are to see at twice the load for 9 s: no kind is served on time less than
// another by more than maxKindSpread, of what the servers can run at least minGoodput is
// answered on time, and of the accepted jobs almost none is refused later.
const (
	maxKindSpread   = 0.1
	minGoodput      = 0.92
	maxRefusedLater = 0.01
)

// TestContention plays the contentions and logs what callers saw, beside the ideal queue.
func TestContention(t *testing.T) {
	for name, c := range contentions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var scheduled, ideal []*contentionJob
			for seed := range uint64(contentionSeeds) {
				jobs := c.jobs(seed)
				c.simulate(t, seed, jobs)
				scheduled = append(scheduled, jobs...)
				jobs = c.jobs(seed)
				c.ideal(jobs)
				ideal = append(ideal, jobs...)
			}
			r := c.report(scheduled)
			t.Logf("%s scheduler: %v", name, r)
			if c.bounded {
				least, most := 1.0, 0.0
				for _, k := range contentionKinds {
					least, most = min(least, r.onTime[k.queue]), max(most, r.onTime[k.queue])
				}
				if most-least > maxKindSpread || r.goodput < minGoodput || r.refusedLater > maxRefusedLater {
					t.Errorf("the shares on time differ by %.3f, goodput is %.3f, refused later are %.4f; want %.2f, %.2f, %.2f",
						most-least, r.goodput, r.refusedLater, maxKindSpread, minGoodput, maxRefusedLater)
				}
			}
			t.Logf("%s ideal: %v", name, c.report(ideal))
		})
	}
}
