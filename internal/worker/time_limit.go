package worker

import (
	"slices"
	"time"
)

// The ends of jobs whose callers have stopped waiting (entry.go, rule 6).

// callerLimit returns when the caller of a job stops waiting, the zero time if that is unknown.
func (j *Job) callerLimit(now time.Time) time.Time {
	if j.Budget <= 0 {
		return time.Time{}
	}
	return now.Add(j.Budget - j.Age)
}

// laterLimit returns the later one of the limits of two callers.
func laterLimit(a, b time.Time) time.Time {
	if a.IsZero() || b.IsZero() {
		return time.Time{}
	}
	if a.After(b) {
		return a
	}
	return b
}

// limitPassed reports whether a time limit, which may be unknown, has passed.
func limitPassed(now, limit time.Time) bool { return !limit.IsZero() && !now.Before(limit) }

// endTimedOutJobs ends the jobs whose callers have all stopped waiting (rule 6).
func (e *Entry) endTimedOutJobs(now time.Time) {
	if e.nextLimit.IsZero() || now.Before(e.nextLimit) {
		return
	}
	e.nextLimit = time.Time{}
	for _, j := range e.sortedJobs() {
		if !limitPassed(now, j.neededUntil) {
			e.noteLimit(j)
			continue
		}
		if j.owner == "" {
			e.answer(now, j, Result{ID: j.job.ID, Outcome: Refused, Reason: reasonCallerTimedOut, RetryAfter: noOwnerRetry})
			continue
		}
		e.keepStartable(now, j)
		e.send(j.owner, newCancel(now, j.job.ID, j.neededUntil))
		e.answer(now, j, Result{ID: j.job.ID, Outcome: Lost, Reason: reasonCallerTimedOut})
	}
}

// extend handles a further caller of a job, who stops waiting at a time. The owner that has the
// job is told, since it ends the job at the limit that it knows.
func (e *Entry) extend(now time.Time, j *entryJob, limit time.Time) {
	until := laterLimit(j.neededUntil, limit)
	if until.Equal(j.neededUntil) {
		return
	}
	j.neededUntil = until
	if j.owner == "" {
		return
	}
	m := message{Extend: j.job.ID}
	if !until.IsZero() {
		m.ExtendMs = max(until.Sub(now).Milliseconds(), 1)
	}
	e.send(j.owner, m)
}

// extendJob handles the message of a session that another caller waits for a job.
func (p *Pool) extendJob(now time.Time, session SessionID, m message) {
	j := p.jobs[m.Extend]
	if j == nil || !slices.Contains(j.waiters, session) {
		return
	}
	var limit time.Time
	if m.ExtendMs > 0 {
		limit = now.Add(time.Duration(m.ExtendMs) * time.Millisecond)
	}
	p.queue.setNeededUntil(j, laterLimit(j.neededUntil, limit))
}

// noteLimit notes that a job may end under rule 6.
func (e *Entry) noteLimit(j *entryJob) {
	if !j.neededUntil.IsZero() && (e.nextLimit.IsZero() || j.neededUntil.Before(e.nextLimit)) {
		e.nextLimit = j.neededUntil
	}
}

// setNeededUntil changes when the last caller of a job stops waiting.
func (q *jobQueue) setNeededUntil(j *job, until time.Time) {
	if !j.neededUntil.IsZero() {
		q.neededUntil.Delete(timedJob{j.neededUntil, j})
	}
	j.neededUntil = until
	if !until.IsZero() {
		q.neededUntil.Insert(timedJob{until, j})
	}
}

// endTimedOutJobs abandons the jobs whose callers have all stopped waiting (pool.go, rule 7).
func (p *Pool) endTimedOutJobs(now time.Time) {
	for {
		first, ok := p.queue.neededUntil.Min()
		if !ok || now.Before(first.at) {
			return
		}
		first.job.unwantedSince = first.at
		p.abandon(now, first.job, reasonCallerTimedOut)
	}
}
