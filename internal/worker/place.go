package worker

// Placement of tasks on servers. It is designed for many jobs whose tasks each
// need a large part of a server, where fragmentation wastes resources.
//
//  1. Jobs that can still meet their latency objective, and started jobs whose
//     answer is still worth something, come before all others. Within each of the
//     two groups, the shares of the queues decide whose job is next (shares.go).
//     Within a queue, started jobs come first, since their callers wait only for
//     the rest; then the job with the least slack.
//  2. A task is placed on the server that it leaves with the least free processor
//     capacity (best fit), so that whole servers stay free for large tasks. A
//     server in the preferred rack of the task's step comes before any other.
//  3. A task that fits on no server does not block smaller tasks behind it.
//  4. Where servers differ in speed, rule 2 holds within a class of speed, and
//     speed_choice.go says which class a task gets.
//  5. While the tasks of a queue crash servers, they are kept apart from those of other
//     queues as far as servers are free (crash_blame.go).
//  6. Servers whose runs fail, that refuse starts, or that don't answer are
//     skipped, see health.go.

import (
	"container/heap"
	"slices"
	"time"
)

// place starts all ready tasks for which a server has enough free resources.
func (p *Pool) place(now time.Time) {
	defer p.updateQueuedShare(now)
	if len(p.jobs) == 0 || p.awaitsServerList(now) || p.startsForbidden(now) {
		return
	}
	p.queue.advance(now)
	p.placeWaiting(now)
	p.placeAlone(now)
	p.queue.settle()
}

// placeWaiting visits the waiting steps in the order of rule 1 and starts their tasks.
// It leaves out the demands that no server fits. Placing tasks only takes resources
// away, so such a demand need not be looked at again.
func (p *Pool) placeWaiting(now time.Time) {
	var first nextSteps
	p.fleet.advance(now)
	for service, q := range p.queue.services {
		largest, ok := p.fleet.largestFreeCPU(now, service)
		if !ok {
			continue
		}
		for d := range q.demands.All() {
			if d.need.CPUMilli > largest {
				break
			}
			if p.fitsSomewhere(now, d) {
				w, _ := d.steps.Min()
				first = append(first, w)
			}
		}
	}
	// A job with tasks that need no processor capacity is visited only while some is free.
	needsNone := slices.ContainsFunc(first, func(w *waitingStep) bool { return w.demand.need.CPUMilli <= 0 })
	heap.Init(&first)
	var last *job
	for len(first) > 0 {
		w := first[0]
		if needsNone && w.job != last && !p.anyCPUFree(now) {
			return
		}
		last = w.job
		d, starts := w.demand, w.job.starts
		// The jobs of a demand that have started come before the others.
		closed := w.job.share.crashClosed && !w.job.started
		held := !closed && !p.mayStart(w.job)
		placed := !closed && !held && p.placeStep(now, w.job, w.step)
		next, ok := d.steps.Next(w)
		othersMayFit := w.job.Steps[w.step].MaxPerServer > 0 || len(p.fleet.rooms(w.job.Service)) > 1
		if !ok || closed || !placed && !held && (!othersMayFit || !p.fitsSomewhere(now, d)) {
			heap.Pop(&first)
		} else {
			first[0] = next
			heap.Fix(&first, 0)
		}
		if w.job.starts > starts {
			// A start changes what its queue uses, and with it the order.
			heap.Init(&first)
		}
	}
}

// nextSteps is a heap of the next step of each demand.
type nextSteps []*waitingStep

func (h nextSteps) Len() int           { return len(h) }
func (h nextSteps) Less(i, j int) bool { return compareNext(h[i], h[j]) < 0 }
func (h nextSteps) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *nextSteps) Push(x any)        { *h = append(*h, x.(*waitingStep)) }
func (h *nextSteps) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// placeStep starts the waiting tasks of a step until there is no server for one of
// them. It reports whether there was one for each.
func (p *Pool) placeStep(now time.Time, j *job, step int) bool {
	for _, t := range j.tasks[step] {
		if t.done || t.assignedServer != nil || t.caution != cautionNone || p.trackedRuns[t.name] > 0 {
			continue
		}
		s := p.chooseServer(now, j, step)
		if s == nil {
			return false
		}
		p.start(now, s, t)
	}
	return true
}

// anyCPUFree reports whether a server of any service has free processor capacity.
func (p *Pool) anyCPUFree(now time.Time) bool {
	p.fleet.advance(now)
	for key := range p.fleet.groups {
		if key == (groupKey{service: key.service}) {
			if largest, ok := p.fleet.largestFreeCPU(now, key.service); ok && largest > 0 {
				return true
			}
		}
	}
	return false
}

// fitsSomewhere reports whether a server accepts a task of the demand now.
func (p *Pool) fitsSomewhere(now time.Time, d *demand) bool {
	p.fleet.advance(now)
	for range p.fleet.candidates(now, groupKey{service: d.service, label: d.requires}, d.need) {
		return true
	}
	return false
}

// accepts reports whether a task may be started on the server now, regardless of
// its free resources. A start command renews the lease, so rule 5 of server.go
// applies to it.
func (s *server) accepts(now time.Time) bool {
	return s.usable() && !s.reserved && s.health.allows(now, len(s.runs)) && s.mayRenewLease(now)
}

// chooseServer returns the server to start a task of the step on, or nil if there
// is none (rule 2).
func (p *Pool) chooseServer(now time.Time, j *job, step int) *server {
	p.fleet.advance(now)
	st := &j.Steps[step]
	if rooms := p.fleet.rooms(j.Service); len(rooms) > 1 {
		return p.chooseServerBySpeed(now, j, step, rooms)
	}
	if st.Rack != "" {
		if s := p.bestFit(now, groupKey{service: j.Service, label: st.Rack}, j, step); s != nil {
			return s
		}
	}
	return p.bestFit(now, groupKey{service: j.Service, label: st.Requires}, j, step)
}

// bestFit returns the server of a group to start a task of the step on, or nil.
func (p *Pool) bestFit(now time.Time, group groupKey, j *job, step int) *server {
	st := &j.Steps[step]
	var best *server
	least := 0
	for s := range p.fleet.candidates(now, group, st.Need) {
		if !s.mayRun(j, step) {
			continue
		}
		e := p.exposure(s, j.share)
		if e == 0 {
			return s
		}
		if best == nil || e < least {
			best, least = s, e
		}
	}
	return best
}

// mayRun reports whether the label and the limit of the step permit a task on the server.
func (s *server) mayRun(j *job, step int) bool {
	st := &j.Steps[step]
	return (st.Requires == "" || s.hasLabel(st.Requires)) && (st.MaxPerServer <= 0 || s.runsOfStep(j, step) < st.MaxPerServer)
}

// runsOfStep returns the number of runs of a step on the server.
func (s *server) runsOfStep(j *job, step int) int {
	n := 0
	for _, r := range s.runs {
		if r.task != nil && r.task.job == j && r.task.step == step {
			n++
		}
	}
	return n
}

// maxObjective bounds the part of a latency objective that depends on the run time. Callers
// wait for less.
const maxObjective = 30 * 24 * time.Hour

// objective returns the latency objective of the job, counted from its arrival.
func (j *job) objective() time.Duration {
	return time.Duration(min(j.Stretch*float64(j.criticalPath), float64(maxObjective))) + j.Target
}

// answerDeadline returns the time until which the job is still worth answering:
// the given number of latency objectives after its arrival, but no later than the
// caller waits.
func (j *job) answerDeadline(objectives float64) time.Time {
	d := time.Duration(objectives * float64(j.objective()))
	if j.Budget > 0 {
		d = min(d, j.Budget)
	}
	return j.arrived.Add(d)
}

// late reports whether the job can no longer meet its latency objective.
func (j *job) late(now time.Time) bool {
	return now.Add(j.criticalPath).After(j.arrived.Add(j.objective()))
}

// latestStart returns when the job must start to meet its latency objective.
func (j *job) latestStart() time.Time { return j.arrived.Add(j.objective() - j.criticalPath) }

// lastGroup reports whether the job comes after those that can be on time (rule 1).
func (j *job) lastGroup(now time.Time) bool {
	if j.started {
		return now.After(j.answerDeadline(maxLateObjectives))
	}
	return j.late(now)
}
