package worker

// Placement of tasks on servers. It is designed for many jobs whose tasks each
// need a large part of a server, where fragmentation wastes resources.
//
//  1. Jobs that can still meet their latency objective come before jobs that
//     can't. Within each of the two groups, jobs are ordered by priority; then
//     started jobs come before others, since their callers wait only for the
//     rest; then jobs are ordered by arrival.
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
	if len(p.queue) == 0 || p.awaitsServerList(now) || p.startsForbidden(now) {
		return
	}
	free := p.largestFree(now)
	if free.CPUMilli <= 0 {
		return
	}
	p.sortQueue(now)
	for _, j := range p.queue {
		if j.readyTasks == 0 {
			continue
		}
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

func (p *Pool) sortQueue(now time.Time) {
	less := func(a, b *job) int {
		return cmp.Or(
			compareBool(a.late(now), b.late(now)),
			cmp.Compare(a.Priority, b.Priority),
			compareBool(!a.started, !b.started),
			a.arrived.Compare(b.arrived),
			cmp.Compare(a.ID, b.ID),
		)
	}
	slices.SortFunc(p.queue, less)
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
