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
//  4. Servers whose runs fail, that refuse starts, or that don't answer are
//     skipped, see health.go.

import (
	"cmp"
	"slices"
	"time"
)

// place starts all ready tasks for which a server has enough free resources.
func (p *Pool) place(now time.Time) {
	defer p.updateQueuedShare(now)
	if len(p.queue) == 0 || p.awaitsServerList(now) {
		return
	}
	free := p.largestFree(now)
	if free.CPUMilli <= 0 {
		return
	}
	p.sortQueue(now)
	order := newPlaceOrder(now, p.queue)
	for j := order.next(); j != nil; j = order.next() {
		for i := range j.Steps {
			if j.remaining[i] == 0 || !j.Steps[i].Need.Fits(free) || !j.ready(i) {
				continue
			}
			if p.placeStep(now, j, i) {
				free = p.largestFree(now)
			}
		}
		if free.CPUMilli <= 0 {
			return
		}
	}
}

// placeStep starts the waiting tasks of a step until there is no server for one of
// them. It reports whether it started any.
func (p *Pool) placeStep(now time.Time, j *job, step int) bool {
	started := false
	for _, t := range j.tasks[step] {
		if t.done || t.assignedServer != nil || p.trackedRuns[t.name] > 0 {
			continue
		}
		s := p.chooseServer(now, j, step)
		if s == nil {
			return started
		}
		p.start(now, s, t)
		started = true
	}
	return started
}

// largestFree returns, for each resource, the largest free amount on one server.
func (p *Pool) largestFree(now time.Time) Resources {
	var m Resources
	for _, s := range p.orderedServers {
		if !s.accepts(now) {
			continue
		}
		f := s.free()
		m = Resources{
			CPUMilli: max(m.CPUMilli, f.CPUMilli), MemoryMB: max(m.MemoryMB, f.MemoryMB), GPUs: max(m.GPUs, f.GPUs),
		}
	}
	return m
}

// accepts reports whether a task may be started on the server now, regardless of
// its free resources. A start command renews the lease, so rule 5 of server.go
// applies to it.
func (s *server) accepts(now time.Time) bool {
	return s.usable() && s.health.allows(now, len(s.runs)) && s.mayRenewLease(now)
}

// chooseServer returns the server to start a task of the step on, or nil if there
// is none (rule 2).
func (p *Pool) chooseServer(now time.Time, j *job, step int) *server {
	st := &j.Steps[step]
	var best *server
	var bestOffRack bool
	for _, s := range p.orderedServers {
		if s.Service != j.Service || !st.Need.Fits(s.free()) || !s.accepts(now) {
			continue
		}
		if st.Requires != "" && !s.hasLabel(st.Requires) || st.MaxPerServer > 0 && s.runsOfStep(j, step) >= st.MaxPerServer {
			continue
		}
		offRack := st.Rack != "" && !s.hasLabel(st.Rack)
		if best == nil || bestOffRack && !offRack || bestOffRack == offRack && s.free().CPUMilli < best.free().CPUMilli {
			best, bestOffRack = s, offRack
		}
	}
	return best
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

// objective returns the latency objective of the job, counted from its arrival.
func (j *job) objective() time.Duration {
	return time.Duration(j.Stretch*float64(j.criticalPath)) + j.Target
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

func (p *Pool) sortQueue(now time.Time) {
	less := func(a, b *job) int {
		return cmp.Or(
			compareBool(a.lastGroup(now), b.lastGroup(now)),
			compareBool(!a.started, !b.started),
			a.latestStart().Compare(b.latestStart()),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.ID, b.ID),
		)
	}
	slices.SortFunc(p.queue, less)
}

// placeOrder returns jobs in the order in which they are placed (rule 1).
type placeOrder struct {
	// groups holds the jobs of each queue in order: those that can be on time, and the rest.
	groups [2][]*placeQueue
}

// placeQueue holds the jobs of one queue that have ready tasks and were not tried yet.
type placeQueue struct {
	share *queueShare
	jobs  []*job
}

// before reports whether the next job of q is placed before that of o: first the rest of a
// started job, as long as its queue isn't far above its share, then by the shares.
func (q *placeQueue) before(o *placeQueue) bool {
	a, b := q.jobs[0].started && q.share.mayFinish(), o.jobs[0].started && o.share.mayFinish()
	return cmp.Or(compareBool(!a, !b), q.share.compare(o.share)) < 0
}

// newPlaceOrder returns the order of a sorted queue.
func newPlaceOrder(now time.Time, queue []*job) *placeOrder {
	o := &placeOrder{}
	for _, j := range queue {
		if j.readyTasks == 0 {
			continue
		}
		g := &o.groups[0]
		if j.lastGroup(now) {
			g = &o.groups[1]
		}
		i := slices.IndexFunc(*g, func(q *placeQueue) bool { return q.share == j.share })
		if i < 0 {
			i = len(*g)
			*g = append(*g, &placeQueue{share: j.share})
		}
		(*g)[i].jobs = append((*g)[i].jobs, j)
	}
	return o
}

// next returns the next job to try, or nil if there is none. What was started since the
// last call counts.
func (o *placeOrder) next() *job {
	for _, group := range o.groups {
		var best *placeQueue
		for _, q := range group {
			if len(q.jobs) > 0 && (best == nil || q.before(best)) {
				best = q
			}
		}
		if best != nil {
			j := best.jobs[0]
			best.jobs = best.jobs[1:]
			return j
		}
	}
	return nil
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
