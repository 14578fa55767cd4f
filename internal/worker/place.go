package worker

// Placing. It answers the load of many jobs whose tasks each take a large part
// of a server, so that room is lost to fragments.
//
//  1. Jobs that can still meet their latency objective go before jobs that
//     can't; then by priority; then begun jobs, whose callers wait only for the
//     rest; then in order of arrival.
//  2. A task goes to the server that it leaves with the least free processor
//     time: whole servers stay free for large tasks. A server in the rack of
//     the task's data goes first.
//  3. A task that fits nowhere doesn't hold up smaller ones behind it.
//  4. Servers that fail, stall or don't answer are passed over, see health.go.

import (
	"cmp"
	"slices"
	"time"
)

// place starts the tasks that have room.
func (p *Pool) place(now time.Time) {
	defer p.updateQueuedShare(now)
	if len(p.queue) == 0 {
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

// placeStep starts the waiting tasks of a step until one finds no server.
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

// largestFree returns, for each resource, the most that one server has free.
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

// accepts reports whether a task may be started on the server now. A start
// renews the lease, so rule 5 of server.go applies to it.
func (s *server) accepts(now time.Time) bool {
	return s.usable() && s.health.allows(now, len(s.runs)) && s.mayRenewLease(now)
}

// chooseServer returns the server for a task of a step, nil if there is none.
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

// runsOfStep counts the runs of a step on the server.
func (s *server) runsOfStep(j *job, step int) int {
	n := 0
	for _, r := range s.runs {
		if r.task != nil && r.task.job == j && r.task.step == step {
			n++
		}
	}
	return n
}

// objective is the time by which the job is on time, from its arrival.
func (j *job) objective() time.Duration {
	return time.Duration(j.Stretch*float64(j.criticalPath)) + j.Target
}

// answerDeadline is when a number of objectives after the arrival, or the caller's
// patience, are over.
func (j *job) answerDeadline(objectives float64) time.Time {
	d := time.Duration(objectives * float64(j.objective()))
	if j.Budget > 0 {
		d = min(d, j.Budget)
	}
	return j.arrived.Add(d)
}

// late reports whether the job can't meet its objective any more.
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
