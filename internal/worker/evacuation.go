package worker

// What an owner does while its failure domain is evacuated, which means that the domain
// gets no new work until it is released. The rules are:
//
//  1. The owner admits no job and reports no servers. It returns the jobs of which no task
//     has started, so that their entry hosts offer them to other domains.
//  2. Jobs that have started may start their waiting tasks for the finish time. Nothing is
//     started after it: a job that then still has a task to start ends as lost. What runs
//     ends normally.
//  3. After the release, the servers come back one after the other over releaseRamp,
//     because they may have become cold: they would be slow for all callers at once if the
//     entry hosts sent them the whole load.
//  4. An owner starts no task by knowledge that may be old. A new owner, and one that was
//     suspended, waits for a read of the evacuations that begins after that, until it fails
//     or maxEvacuationReadWait has passed. One that knows nothing waits for a source, the
//     store or a peer, for up to maxUnknownEvacuationsWait. Then it serves as if there were
//     no evacuation, since otherwise an outage of the store at a restart of all hosts would
//     stop all work.
//
// If PoolConfig.EvacuationApplyTime is 0, there are no evacuations and no rule applies.

import "time"

const (
	// maxFinishTime limits the finish time of rule 2. It is longer than most runs, so that
	// a job whose tasks wait for the runs before them usually completes.
	maxFinishTime = time.Second
	// finishShare is the share of EvacuationApplyTime that the finish time takes up at
	// most. Learning of the evacuation takes up to 0.6 of it; the rest is for commands on
	// their way.
	finishShare = 0.2
	// maxEvacuationReadWait limits how long an owner waits for a read while the store does
	// not respond. It is that of the list of servers, which is read at the same time.
	maxEvacuationReadWait = maxServerListWait
	// maxEvacuationsAge is the age of a read that a new owner uses without another one.
	maxEvacuationsAge = time.Second
	// maxUnknownEvacuationsWait limits how long an owner that knows nothing waits. Within
	// it, a peer sends two heartbeats.
	maxUnknownEvacuationsWait = 2 * time.Second
	// suspensionGap is the time without a tick from which the host counts as suspended. A
	// shorter one is usual on a busy host, and what a suspended host misses meanwhile is
	// covered by the time for rule 2.
	suspensionGap = 500 * time.Millisecond
	// releaseRamp is the time after a release until all servers are used again, and
	// releaseStartShare the share of them that is used at once.
	releaseRamp       = 2 * time.Second
	releaseStartShare = 0.25
)

// reasonEvacuated is the reason of results that follow from an evacuation.
const reasonEvacuated = "DomainEvacuated"

// evacuation is what a pool knows about the evacuation of its failure domain.
type evacuation struct {
	// known is set once any source has told the evacuations.
	known bool
	// active is set while the domain is evacuated. since is when the pool learned of it,
	// releasedAt when it last learned of a release, zero if the ramp of rule 3 is over.
	active            bool
	since, releasedAt time.Time
	// startsEnded is set once the finish time of rule 2 is over.
	startsEnded bool
	// returned and lost are the numbers of jobs that rules 1 and 2 have ended.
	returned, lost int
	// neededAt is when rule 4 last began to require a read. readAt and failedAt are the
	// starts of the newest reads that succeeded and that failed, and rereadDue is set until
	// the service has been asked for one.
	neededAt, readAt, failedAt time.Time
	rereadDue                  bool
	tickedAt                   time.Time
}

// EvacuationStatus is the evacuation of an owner's failure domain as operators see it.
type EvacuationStatus struct {
	// SinceMs is the time since this host learned of the evacuation, in milliseconds.
	SinceMs int64
	// Running is the number of runs that have not ended. Returned and Lost are the numbers
	// of jobs that were given back unstarted and that could not be completed.
	Running, Returned, Lost int
}

// evacuationsOn reports whether there are evacuations at all.
func (p *Pool) evacuationsOn() bool { return p.cfg.EvacuationApplyTime > 0 }

// finishTime is how long jobs that have started may start their waiting tasks (rule 2).
func (p *Pool) finishTime() time.Duration {
	return min(maxFinishTime, time.Duration(finishShare*float64(p.cfg.EvacuationApplyTime)))
}

// SetEvacuated sets whether the failure domain is evacuated, as a source has told.
func (p *Pool) SetEvacuated(now time.Time, evacuated bool) {
	e := &p.evacuation
	e.known = true
	switch {
	case evacuated && !e.active:
		e.active, e.since, e.releasedAt, e.startsEnded, e.returned, e.lost = true, now, time.Time{}, false, 0, 0
		started := 0
		for _, j := range p.sortedJobs() {
			if j.started {
				started++
				continue
			}
			e.returned++
			p.endJob(now, j, Result{Outcome: Returned, Reason: reasonEvacuated})
		}
		if p.owner || p.draining {
			p.cfg.Log.Info().Int("Returned", e.returned).Int("Started", started).Int("Running", p.running()).Msg("DomainEvacuated")
		}
	case !evacuated && e.active:
		e.active, e.releasedAt = false, now
		if p.owner || p.draining {
			p.cfg.Log.Info().Int64("EvacuatedMs", now.Sub(e.since).Milliseconds()).Int("Returned", e.returned).Int("Lost", e.lost).Msg("DomainReleased")
		}
	}
	p.tickEvacuation(now)
	p.place(now)
}

// HandleEvacuationsRead handles the end of a read of the evacuations, which began at now
// minus took. If they have changed, SetEvacuated was called before.
func (p *Pool) HandleEvacuationsRead(now time.Time, took time.Duration, ok bool) {
	if ok {
		p.evacuation.readAt = now.Add(-took)
	} else {
		p.evacuation.failedAt = now.Add(-took)
	}
	p.place(now)
}

// TakeEvacuationsReread reports whether the service must read the evacuations at once
// (rule 4).
func (p *Pool) TakeEvacuationsReread() bool {
	due := p.evacuation.rereadDue
	p.evacuation.rereadDue = false
	return due
}

// EvacuationStatus returns the evacuation of the domain, or nil if it is not evacuated or
// if this host has nothing to do with it.
func (p *Pool) EvacuationStatus(now time.Time) *EvacuationStatus {
	e := &p.evacuation
	if !e.active || !p.owner && !p.draining {
		return nil
	}
	return &EvacuationStatus{SinceMs: now.Sub(e.since).Milliseconds(), Running: p.running(), Returned: e.returned, Lost: e.lost}
}

// running returns the number of tracked runs.
func (p *Pool) running() int {
	n := 0
	for _, s := range p.orderedServers {
		n += len(s.runs)
	}
	return n
}

// requireEvacuationsRead makes rule 4 apply from now on.
func (p *Pool) requireEvacuationsRead(now time.Time) {
	e := &p.evacuation
	if !p.evacuationsOn() || now.Sub(e.readAt) <= maxEvacuationsAge {
		return
	}
	e.neededAt, e.rereadDue = now, true
}

// noteTime detects that the host was suspended since the last tick (rule 4). Events may be
// handled before the first tick after the suspension.
func (p *Pool) noteTime(now time.Time) {
	e := &p.evacuation
	if !e.tickedAt.IsZero() && now.Sub(e.tickedAt) > suspensionGap && (p.owner || p.draining) {
		p.requireEvacuationsRead(now)
	}
	e.tickedAt = now
}

// startsForbidden reports whether rule 2 or 4 forbids to start tasks now.
func (p *Pool) startsForbidden(now time.Time) bool {
	if !p.evacuationsOn() {
		return false
	}
	p.noteTime(now)
	e := &p.evacuation
	switch {
	case e.active:
		return now.Sub(e.since) >= p.finishTime()
	case e.neededAt.IsZero():
		return false
	case !e.known:
		return now.Sub(e.neededAt) < maxUnknownEvacuationsWait
	}
	return e.readAt.Before(e.neededAt) && e.failedAt.Before(e.neededAt) && now.Sub(e.neededAt) < maxEvacuationReadWait
}

// tickEvacuation ends the jobs that rule 2 ends, and lets servers come back (rule 3).
func (p *Pool) tickEvacuation(now time.Time) {
	if !p.evacuationsOn() {
		return
	}
	p.noteTime(now)
	e := &p.evacuation
	if e.active && now.Sub(e.since) >= p.finishTime() {
		lost := 0
		for _, j := range p.sortedJobs() {
			if j.hasTaskToStart() {
				lost++
				p.endJob(now, j, Result{Outcome: Lost, Reason: reasonEvacuated})
			}
		}
		e.lost += lost
		if !e.startsEnded && (p.owner || p.draining) {
			p.cfg.Log.Info().Int("Lost", lost).Int("Running", p.running()).Msg("EvacuationStartsEnded")
		}
		e.startsEnded = true
	}
	if !e.active && e.releasedAt.IsZero() {
		return
	}
	usable := 0
	if !e.active {
		usable = rampedServers(now.Sub(e.releasedAt), len(p.orderedServers))
	}
	for i, s := range p.orderedServers {
		if heldBack := !e.active && i >= usable; heldBack != s.heldBack {
			s.heldBack = heldBack
			p.fleet.serverChanged(s)
		}
	}
	if !e.active && now.Sub(e.releasedAt) >= releaseRamp {
		e.releasedAt = time.Time{}
	}
}

// rampedServers returns how many of n servers are used at a time after a release (rule 3).
func rampedServers(since time.Duration, n int) int {
	if since >= releaseRamp {
		return n
	}
	share := releaseStartShare + (1-releaseStartShare)*since.Seconds()/releaseRamp.Seconds()
	return min(n, int(share*float64(n))+1)
}

// hasTaskToStart reports whether a task of the job is neither done nor running.
func (j *job) hasTaskToStart() bool {
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if !t.done && t.assignedServer == nil {
				return true
			}
		}
	}
	return false
}

// SetEvacuations sets the evacuated failure domains that this host knows.
func (e *Entry) SetEvacuations(failureDomains []string) {
	e.evacuated = map[string]bool{}
	for _, d := range failureDomains {
		e.evacuated[d] = true
	}
}

// allEvacuated reports whether every failure domain is evacuated, so that waiting for an
// owner is of no use.
func (e *Entry) allEvacuated() bool {
	for _, d := range e.domains {
		if !e.evacuated[d] {
			return false
		}
	}
	return true
}
