package worker

// How the jobs of a pool end, and what it remembers of them (pool.go, rules 2 to 4).

import (
	"math"
	"slices"
	"time"
)

// runNumberRetention is how long the pool remembers the run numbers of an ended
// job. If the job is submitted again, its runs need higher numbers, because a
// server refuses a run if a run of the task with the same or a higher number has
// ended there. Lower numbers cost refused start commands (HandleStartReply). The
// retention exceeds maxRetryAfter, so that the numbers are still known if a refused
// job is submitted again after the longest Retry-After of the pool, and after the time for
// which an unsettled start makes it lost (server.go, rule 9).
const runNumberRetention = 10*time.Second + lateStartTimeout

// endedJob holds the highest run number of a job that has ended.
type endedJob struct {
	lastRun int
	endedAt time.Time
}

// endedID is the ID of a job that ended at a time.
type endedID struct {
	id string
	at time.Time
}

// Cancel removes a session from the waiters of a job when its entry host no longer
// needs the result. The job is abandoned if no other session waits for it; its runs have
// been due to stop since then.
func (p *Pool) Cancel(now time.Time, session SessionID, id string, since time.Time) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	p.removeWaiter(j, session)
	if len(j.waiters) == 0 {
		j.unwantedSince = since
		p.abandon(now, j, "CallerLeft")
		p.place(now)
	}
}

// DropSession abandons all jobs that only this session waits for (rule 4). leaseEnd is when
// the lease of the session expires. If this host was late to notice it, the runs have been
// due to stop since then: the callers' time to submit the jobs again has begun.
func (p *Pool) DropSession(now time.Time, session SessionID, leaseEnd time.Time, reason string) {
	for _, j := range p.queue.ofSession(session) {
		p.removeWaiter(j, session)
		if len(j.waiters) == 0 {
			j.unwantedSince = leaseEnd
			p.abandon(now, j, reason)
		}
	}
	p.place(now)
}

func (p *Pool) removeWaiter(j *job, session SessionID) {
	j.waiters = slices.DeleteFunc(j.waiters, func(s SessionID) bool { return s == session })
	p.queue.removeWaiter(j, session)
}

// abandon ends a job that can't be completed or that no session waits for. The
// outcome is Lost if a task may have run, otherwise Refused.
func (p *Pool) abandon(now time.Time, j *job, reason string) {
	if j.started || j.resumes {
		p.endJob(now, j, Result{Outcome: Lost, Reason: reason})
		return
	}
	p.endJob(now, j, Result{Outcome: Refused, Reason: reason, RetryAfter: p.queueDrainTime()})
}

// endJob removes a job, stops its remaining runs (rule 2) and answers its waiters.
func (p *Pool) endJob(now time.Time, j *job, r Result) {
	delete(p.jobs, j.ID)
	p.heldBytes -= j.ownerBytes()
	p.queue.remove(j)
	p.addWaiting(j, -j.waitingWork)
	lastRun := 0
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			lastRun = max(lastRun, t.lastRun)
			if t.assignedServer == nil {
				continue
			}
			t.currentRun.task = nil // No job needs the run any more.
			p.logUnneeded(now, t.assignedServer, t.currentRun)
			p.requestStop(now, t.assignedServer, t.currentRun)
			if !j.unwantedSince.IsZero() && j.unwantedSince.Before(t.currentRun.stopRequestedAt) {
				t.currentRun.stopRequestedAt = j.unwantedSince
			}
			t.assignedServer, t.currentRun = nil, nil
		}
	}
	if lastRun > 0 {
		p.recentlyEnded[j.ID] = endedJob{lastRun, now}
		p.endedOrder = append(p.endedOrder, endedID{j.ID, now})
	}
	r.ID = j.ID
	p.cfg.Log.Info().Str("Job", j.ID).Str("Queue", j.Queue).Stringer("Outcome", r.Outcome).Str("Reason", r.Reason).
		Int64("AgeMs", now.Sub(j.arrived).Milliseconds()).Int64("ObjectiveMs", j.objective().Milliseconds()).
		Int64("CriticalPathMs", j.criticalPath.Milliseconds()).Int64("FirstStartMs", j.msSinceArrival(j.firstStart)).Int64("LastStartMs", j.msSinceArrival(j.lastStart)).
		Int("Tasks", j.size()).Int("Starts", j.starts).Int("Queued", len(p.jobs)).
		Bool("Saturated", p.queueSaturated()).Str("Server", j.lastServer).Float64("RunMs", j.meanRunMs()).
		Int64("LongestRunMs", j.longestRun.Milliseconds()).Uint64("Session", uint64(j.session)).Uint64("Submission", j.Submission).Msg("JobEnded")
	p.answer(j, r)
}

// meanRunMs returns the mean run time of the completed tasks in milliseconds, or 0 if there is
// none.
func (j *job) meanRunMs() float64 {
	done := j.size()
	for _, n := range j.remaining {
		done -= n
	}
	return math.Round(10*j.runTime.Seconds()*1000/float64(max(done, 1))) / 10
}

// msSinceArrival returns the time from the job's arrival to at in milliseconds, or
// -1 if at is the zero time.
func (j *job) msSinceArrival(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(j.arrived).Milliseconds()
}

func (j *job) size() int {
	n := 0
	for _, st := range j.Steps {
		n += st.Count
	}
	return n
}

func (p *Pool) answer(j *job, r Result) {
	for _, w := range j.waiters {
		p.actions = append(p.actions, Action{Answer: &Answer{w, r}})
	}
}

// forgetRunNumbers removes the ended jobs that are older than runNumberRetention.
func (p *Pool) forgetRunNumbers(now time.Time) {
	n := 0
	for ; n < len(p.endedOrder) && now.Sub(p.endedOrder[n].at) > runNumberRetention; n++ {
		// The job may have been submitted again and have ended a second time.
		if e := p.endedOrder[n]; p.recentlyEnded[e.id].endedAt.Equal(e.at) {
			delete(p.recentlyEnded, e.id)
		}
	}
	clear(p.endedOrder[:n])
	p.endedOrder = p.endedOrder[n:]
}
