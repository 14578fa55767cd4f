package worker

import "time"

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

// endTimedOutJobs ends the jobs whose callers have all stopped waiting (rule 6).
func (e *Entry) endTimedOutJobs(now time.Time) {
	for _, j := range e.sortedJobs() {
		if j.neededUntil.IsZero() || now.Before(j.neededUntil) {
			continue
		}
		if j.owner == "" {
			e.answer(now, j, Result{ID: j.job.ID, Outcome: Refused, Reason: reasonCallerTimedOut, RetryAfter: noOwnerRetry})
			continue
		}
		e.send(j.owner, message{Cancel: j.job.ID})
		e.answer(now, j, Result{ID: j.job.ID, Outcome: Lost, Reason: reasonCallerTimedOut})
	}
}
