package worker

import (
	"slices"
	"time"
)

// How the ends of runs change the tasks and jobs of a pool.

// runEnded stops tracking a run that has ended and updates its task: it is done,
// waits for its next run, or fails the job. The calling function then calls place,
// unless the pool gives up the server. Only the first run of a task counts in the
// server's share of failed runs (health.go, rule 3).
func (p *Pool) runEnded(now time.Time, s *server, r *run, outcome RunOutcome) {
	s.removeRun(r)
	p.keepUnsettled(now, s, r)
	p.endAlone(s, r)
	p.fleet.serverChanged(s)
	s.lastRunEndedAt = now
	p.untrackRun(r.Task)
	if r.share != nil {
		p.shares.Started(r.share, -r.cores(), r.runTime)
	}
	if outcome != RunStopped {
		p.crashes.rates.ended(now, r.share)
		p.clearTask(now, r.Task)
	}
	t := r.task
	if t == nil {
		p.loseReturned(now, r.Task)
		return
	}
	t.assignedServer, t.currentRun = nil, nil
	j := t.job
	j.lastServer = s.ID
	switch outcome {
	case RunDone:
		s.health.done()
		if t.failures == 0 {
			s.health.recordFirstRun(false)
		}
		took := now.Sub(r.sent)
		j.runTime += took
		j.longestRun = max(j.longestRun, took)
		p.learnRunTime(j, t.step, s, took)
		t.done = true
		p.taskDone(now, j, t.step)
	case RunFailed:
		p.countFailure(now, s, r)
		p.retryOrFail(now, t)
	case RunStopped:
		// The server refused the start, the start was not confirmed in time, or the
		// run ended with the lease or the server. The task itself did not fail.
		p.retryOrFail(now, t)
	}
}

// expireRuns records all runs of a server as stopped, for a server on which none
// can run any more. reason says why.
func (p *Pool) expireRuns(now time.Time, s *server, reason string) {
	for _, r := range s.sortedRuns() {
		if s.runs[r.RunKey] == r {
			p.resolveRun(now, s, r, reason)
		}
	}
}

// resolveRun records a run whose end the server has not listed as stopped. The log line tells
// on what grounds another run of the task may follow: which command started the run, on which
// incarnation of the server, and until when that could be executed. The server's clock as known
// when the command was sent was leaseDuration before the deadline. SinceStopMs is the time since
// the server acknowledged a stop, -1 if it did not: for the reason NotListed, the reply to a
// poll sent since then proves the end of a run that was not confirmed.
func (p *Pool) resolveRun(now time.Time, s *server, r *run, reason string) {
	sinceStop := int64(-1)
	if !r.stopAckedAt.IsZero() {
		sinceStop = now.Sub(r.stopAckedAt).Milliseconds()
	}
	p.cfg.Log.Info().Str("Task", r.Task).Int("Run", r.Run).Str("Server", s.ID).Int64("StartedAtMs", r.startedAtMs).
		Int("Copies", r.copies.sent).Int("Outstanding", r.copies.outstanding()).Int64("SinceStopMs", sinceStop).
		Uint64("FencingToken", r.token).Int64("DeadlineMs", r.deadline.Milliseconds()).Int64("SentMs", now.Sub(r.sent).Milliseconds()).
		Bool("Confirmed", r.confirmed).Bool("Needed", r.task != nil).Str("Reason", reason).Msg("RunResolved")
	p.runEnded(now, s, r, RunStopped)
}

// countFailure counts a failed run for its task and for the server.
func (p *Pool) countFailure(now time.Time, s *server, r *run) {
	t := r.task
	if t.failures == 0 {
		s.health.recordFirstRun(true)
	}
	medianFailureShare, before := p.medianFailureShare(now, s.Service), s.health.ejectedUntil
	s.health.failed(now, t.job.ID, failureStreakLimit(medianFailureShare))
	if s.health.ejectedUntil != before {
		p.cfg.Log.Warn().Str("Server", s.ID).Str("Reason", "RunsFail").Int("Failures", s.health.failures).
			Float64("MedianFailureShare", medianFailureShare).Int64("EjectionMs", s.health.ejectedUntil.Sub(now).Milliseconds()).Msg("ServerEjected")
	}
	t.failures++
	p.cfg.Log.Info().Str("Task", t.name).Int("Run", r.Run).Str("Server", s.ID).Int("Failures", t.failures).Msg("RunFailed")
}

// retryOrFail makes a task whose run has ended wait for its next run, or fails the job if
// the task has failed or crashed its servers too often. The job is lost if a start command for
// the task may still be executed (server.go, rule 9).
func (p *Pool) retryOrFail(now time.Time, t *task) {
	if t.outOfAttempts() {
		p.endJob(now, t.job, Result{Outcome: Failed, Reason: "TaskFailed"})
		return
	}
	if p.hasGuiltyTask(t.job) {
		p.failGuilty(now, t.job)
		return
	}
	if p.isUnsettled(now, t.name) {
		p.abandon(now, t.job, reasonStartUnresolved)
		return
	}
	p.makeReady(now, t)
}

// outOfAttempts reports whether as many runs of the task have failed as its job allows.
func (t *task) outOfAttempts() bool { return t.failures >= max(t.job.MaxFailures, 1) }

// expiredRunFailed counts the failure of a run that was resolved before the server
// listed its end (server.go, rule 8). A later run of the task that is in progress
// continues, since it may still complete the task.
func (p *Pool) expiredRunFailed(now time.Time, s *server, r *run) {
	t := r.task
	if t.done || p.jobs[t.job.ID] != t.job {
		return
	}
	p.countFailure(now, s, r)
	if t.outOfAttempts() && t.assignedServer == nil {
		p.endJob(now, t.job, Result{Outcome: Failed, Reason: "TaskFailed"})
	}
}

func (p *Pool) untrackRun(name string) {
	if p.trackedRuns[name]--; p.trackedRuns[name] <= 0 {
		delete(p.trackedRuns, name)
	}
}

// taskDone records that a task of a step is done. It makes the steps ready that
// depended on this one, and ends the job if all its tasks are done.
func (p *Pool) taskDone(now time.Time, j *job, step int) {
	j.remaining[step]--
	if j.remaining[step] > 0 {
		return
	}
	all := true
	for i := range j.Steps {
		all = all && j.remaining[i] == 0
		if slices.Contains(j.Steps[i].After, step) && j.ready(i) {
			p.queue.addReady(j, i, j.Steps[i].Count)
			p.holdBackStep(j, i)
		}
	}
	if all {
		p.endJob(now, j, Result{Outcome: Completed})
	}
}
