package worker

import (
	"cmp"
	"slices"
	"time"
)

// How tasks start that were on a crashed server: beside others, alone, or not at all (crash.go,
// rules 3 to 5).

// caution says how a task may be started.
type caution uint8

const (
	// cautionNone means that the task starts beside others.
	cautionNone caution = iota
	// cautionAlone means that the task starts alone on a server.
	cautionAlone
	// cautionHeld means that the task is not started (rule 4).
	cautionHeld
)

// cautionOf returns how a task may be started (rules 3 and 4).
func (p *Pool) cautionOf(name string) caution {
	v := p.crashes.log.of(name)
	switch n := v.count(); {
	case n == 0:
		return cautionNone
	case v.held() || v.guilty():
		return cautionHeld
	case n >= minCrashes:
		return cautionAlone
	}
	p.divideBlame()
	causes := p.crashes.causesOf[name]
	if len(causes) == 0 || p.jobBlame(name) >= minAloneBlame {
		return cautionAlone // Only an earlier owner knows what else ran there.
	}
	return cautionNone
}

// jobBlame returns the largest share of the blame for a crash that a task has, together with
// the other tasks of its job.
func (p *Pool) jobBlame(name string) float64 {
	most := 0.0
	for _, c := range p.crashes.list {
		if !c.suspicious() || !slices.ContainsFunc(c.causes, func(x *possibleCause) bool { return x.task == name && !x.cleared }) {
			continue
		}
		sum := 0.0
		for _, x := range c.causes {
			if x.job == jobOfTask(name) {
				sum += x.blame
			}
		}
		most = max(most, sum)
	}
	return most
}

// makeReady makes a task wait for its next run: in the queue, or among the cautious tasks. A
// task that was under a crash gets a server for itself if that takes no waiting.
func (p *Pool) makeReady(now time.Time, t *task) {
	if t.caution = p.cautionOf(t.name); t.caution != cautionNone {
		p.crashes.waiting = append(p.crashes.waiting, t)
		p.cfg.Log.Info().Str("Task", t.name).Bool("Held", t.caution == cautionHeld).Float64("Blame", p.jobBlame(t.name)).Msg("TaskSuspected")
		return
	}
	if p.crashes.causesOf[t.name] != nil && p.mayStartAlone() && p.trackedRuns[t.name] == 0 && !p.awaitsServerList(now) && !p.startsForbidden(now) && p.mayStart(t.job) {
		if s := p.emptyServer(now, t); s != nil {
			p.startAlone(now, s, t)
			return
		}
	}
	p.queue.addReady(t.job, t.step, 1)
	p.addWaiting(t.job, t.job.taskWork[t.step])
}

// holdBackCautious takes the cautious tasks of a new job out of the queue, or fails the job if
// one of its tasks was given up before.
func (p *Pool) holdBackCautious(now time.Time, j *job) {
	if len(p.crashes.log.byJob[j.ID]) == 0 {
		return
	}
	if p.hasGuiltyTask(j) {
		p.failGuilty(now, j)
		return
	}
	for step := range j.tasks {
		if j.ready(step) {
			p.holdBackStep(j, step)
		}
	}
}

// holdBackStep takes the cautious tasks of a step that is ready out of the queue.
func (p *Pool) holdBackStep(j *job, step int) {
	if len(p.crashes.log.byJob[j.ID]) == 0 {
		return
	}
	for _, t := range j.tasks[step] {
		if t.assignedServer != nil {
			continue // resume has started it.
		}
		if t.caution = p.cautionOf(t.name); t.caution == cautionNone {
			continue
		}
		p.queue.addReady(j, step, -1)
		p.addWaiting(j, -j.taskWork[step])
		p.crashes.waiting = append(p.crashes.waiting, t)
	}
}

// reviewCautious looks at the tasks whose records have changed, fails the jobs with a task
// that is given up, and ends those whose task can't start in time (rules 4 and 5).
func (p *Pool) reviewCautious(now time.Time) {
	for _, id := range p.crashes.log.takeChanged() {
		if j := p.jobs[id]; j != nil && p.hasGuiltyTask(j) {
			p.failGuilty(now, j)
		}
	}
	if len(p.crashes.waiting) == 0 {
		return
	}
	waiting := p.crashes.waiting
	p.crashes.waiting = nil
	for _, t := range waiting {
		if p.jobs[t.job.ID] != t.job {
			continue
		}
		t.caution = p.cautionOf(t.name)
		switch {
		case t.caution == cautionNone:
			p.queue.addReady(t.job, t.step, 1)
			p.addWaiting(t.job, t.job.taskWork[t.step])
		case p.draining || p.canNotStartInTime(now, t):
			// Even if this owner has started nothing, the task has run: it was under a crash.
			p.endJob(now, t.job, Result{Outcome: Lost, Reason: "TaskSuspected"})
		default:
			p.crashes.waiting = append(p.crashes.waiting, t)
		}
	}
}

// hasGuiltyTask reports whether a task of the job is given up (rule 4).
func (p *Pool) hasGuiltyTask(j *job) bool {
	return slices.ContainsFunc(p.crashes.log.byJob[j.ID], func(name string) bool { return p.crashes.log.of(name).guilty() })
}

func (p *Pool) failGuilty(now time.Time, j *job) {
	for _, name := range p.crashes.log.byJob[j.ID] {
		if v := p.crashes.log.of(name); v.guilty() {
			p.cfg.Log.Warn().Str("Task", name).Int("Crashes", v.known).Bool("Alone", v.alone).Msg("TaskGivenUp")
		}
	}
	p.endJob(now, j, Result{Outcome: Failed, Reason: "TaskCrashesServers"})
}

// canNotStartInTime reports whether a cautious task is expected to start only when its caller
// no longer waits (rule 5).
func (p *Pool) canNotStartInTime(now time.Time, t *task) bool {
	if v := p.crashes.log.of(t.name); t.caution == cautionHeld && (v.suspected == 0 || now.Sub(v.changedAt) > maxCrashAway) {
		return true // Nothing more will be known, or nothing has been heard of the servers.
	}
	if t.job.Budget <= 0 {
		return false
	}
	earliest := now
	if t.caution == cautionHeld {
		earliest = p.decidedBy(t.name)
	} else if !p.mayStartAlone() {
		earliest = p.nextReturn(now)
	}
	if now.After(earliest) || p.crashes.meanAway == 0 {
		earliest = now
	}
	return earliest.Add(p.runTimeEstimator.runTime(&t.job.Job, t.step)).After(t.job.arrived.Add(t.job.Budget))
}

// decidedBy returns when the crashes of a task are expected to be confirmed or dismissed.
func (p *Pool) decidedBy(name string) time.Time {
	var latest time.Time
	for _, c := range p.crashes.list {
		if !c.state.final() && slices.ContainsFunc(c.causes, func(x *possibleCause) bool { return x.task == name }) {
			if at := c.lostAt.Add(p.crashes.meanAway); at.After(latest) {
				latest = at
			}
		}
	}
	return latest
}

// nextReturn returns when the next crashed server is expected back.
func (p *Pool) nextReturn(now time.Time) time.Time {
	var next time.Time
	for _, c := range p.crashes.list {
		if at := c.lostAt.Add(p.crashes.meanAway); c.away && c.evident && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if next.IsZero() {
		return now
	}
	return next
}

// crashedServersBack returns the time until the next crashed server is expected back, within
// the bounds of Retry-After.
func (p *Pool) crashedServersBack(now time.Time) time.Duration {
	return min(max(p.nextReturn(now).Sub(now), minRetryAfter), maxRetryAfter)
}

// mayStartAlone reports whether the bound of rule 3 permits another task to run alone.
func (p *Pool) mayStartAlone() bool {
	n := p.crashes.alone
	for _, c := range p.crashes.list {
		if c.away && c.evident {
			n++
		}
	}
	servers := 0
	for _, s := range p.orderedServers {
		if s.listed || s.state != stateNotOwned {
			servers++
		}
	}
	return n < max(1, min(minAlone, servers/minServersPerAlone), int(aloneShare*float64(servers)))
}

// placeAlone starts cautious tasks on servers without runs: those with the least blame first.
func (p *Pool) placeAlone(now time.Time) {
	if len(p.crashes.waiting) == 0 || !p.mayStartAlone() {
		return
	}
	slices.SortFunc(p.crashes.waiting, func(a, b *task) int {
		return cmp.Or(cmp.Compare(p.jobBlame(a.name), p.jobBlame(b.name)), a.job.arrived.Compare(b.job.arrived), cmp.Compare(a.name, b.name))
	})
	waiting := p.crashes.waiting
	p.crashes.waiting = nil
	for _, t := range waiting {
		if p.jobs[t.job.ID] != t.job {
			continue
		}
		if s := p.emptyServer(now, t); s != nil && t.caution == cautionAlone && p.trackedRuns[t.name] == 0 && p.mayStartAlone() && p.mayStart(t.job) {
			p.startAlone(now, s, t)
			continue
		}
		p.crashes.waiting = append(p.crashes.waiting, t)
	}
}

// emptyServer returns the smallest server without runs on which the task fits, or nil.
func (p *Pool) emptyServer(now time.Time, t *task) *server {
	p.fleet.advance(now)
	var best *server
	for s := range p.fleet.idle {
		if s.Service != t.job.Service || len(s.runs) > 0 || !s.accepts(now) || !t.job.Steps[t.step].Need.Fits(s.free()) || !s.mayRun(t.job, t.step) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(s.Capacity.CPUMilli, best.Capacity.CPUMilli), cmp.Compare(s.number, best.number)) < 0 {
			best = s
		}
	}
	return best
}

// startAlone starts a task on a server without runs, which gets no other task until the run
// has ended.
func (p *Pool) startAlone(now time.Time, s *server, t *task) {
	// The task was not in the queue; a start takes it out of there.
	p.queue.addReady(t.job, t.step, 1)
	p.addWaiting(t.job, t.job.taskWork[t.step])
	p.start(now, s, t)
	p.reserveAlone(s, t)
}

// reserveAlone keeps other tasks off the server of a task that was just started there alone.
func (p *Pool) reserveAlone(s *server, t *task) {
	t.currentRun.alone = true
	s.reserved = true
	p.crashes.alone++
	p.cfg.Log.Info().Str("Task", t.name).Str("Server", s.ID).Float64("Blame", p.jobBlame(t.name)).Msg("TaskStartedAlone")
}

// endAlone makes a server available again that a run had for itself.
func (p *Pool) endAlone(s *server, r *run) {
	if r.alone {
		s.reserved = false
		p.crashes.alone--
	}
}
