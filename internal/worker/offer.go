package worker

// How the jobs of this host's callers are offered to owners (entry.go, rules 3
// and 4).

import (
	"cmp"
	"slices"
	"time"
)

// Submit accepts a caller's job, which arrived job.Age ago, and returns the WaiterID with
// which its result will be delivered. If the host already has a job with this ID, the
// caller waits for the result of that one.
func (e *Entry) Submit(now time.Time, job Job) WaiterID {
	e.lastWaiter++
	id := e.lastWaiter
	e.waiters[id] = job.ID
	if j := e.jobs[job.ID]; j != nil {
		j.waiters = append(j.waiters, id)
		e.extend(now, j, job.callerLimit(now))
		return id
	}
	e.usual.add(now, &job)
	j := &entryJob{
		job: job, waiters: []WaiterID{id}, submittedAt: now.Add(-job.Age), waitUntil: now.Add(maxOwnerWait), neededUntil: job.callerLimit(now),
	}
	e.jobs[job.ID] = j
	e.noteLimit(j)
	if e.refuseCancelled(now, j) {
		return id
	}
	if e.cfg.LateStarts.contains(now, job.ID) {
		e.offerToResume(now, j)
		return id
	}
	if limitPassed(now, j.neededUntil) {
		e.answer(now, j, Result{ID: job.ID, Outcome: Refused, Reason: reasonCallerTimedOut, RetryAfter: noOwnerRetry})
		return id
	}
	e.offerJob(now, j, noOwnerResult(j))
	return id
}

// offerToResume sends a job with an unsettled start to the owner that may resume it
// (server.go, rule 9), or answers it as lost.
func (e *Entry) offerToResume(now time.Time, j *entryJob) {
	record, owner := e.cfg.LateStarts.jobs[j.job.ID], ""
	domain := record.domain
	if v := e.views[domain]; e.isOwner && domain == e.cfg.Self.FailureDomain {
		owner = e.cfg.Self.Incarnation
	} else if v != nil && v.usable() && !v.path.suspect() {
		owner = v.candidate.Incarnation
	}
	if owner == "" || record.owner != "" && record.owner != owner {
		// A successor may not have the record yet.
		e.answer(now, j, Result{ID: j.job.ID, Outcome: Lost, Reason: reasonStartUnresolved})
		return
	}
	j.resumes, j.owner, j.lastOffer, j.tried = true, owner, offer{at: now}, []string{owner}
	e.submitTo(now, owner, j, false)
}

// noOwnerResult returns the result of a job for which no owner was found.
func noOwnerResult(j *entryJob) Result {
	return Result{ID: j.job.ID, Outcome: Refused, Reason: "NoOwner", RetryAfter: noOwnerRetry}
}

// offerWaitingJobs offers the jobs that still wait for an owner.
func (e *Entry) offerWaitingJobs(now time.Time) {
	for _, j := range e.sortedJobs() {
		if j.owner == "" {
			e.offerJob(now, j, noOwnerResult(j))
		}
	}
}

// offerJob sends a job to the best owner among those that it was not offered to yet
// (rule 3). If there is none and the job may not wait any longer, offerJob answers
// the callers with otherwise. A job with a late start of which this host was told since it was
// submitted is answered as lost.
func (e *Entry) offerJob(now time.Time, j *entryJob, otherwise Result) {
	if e.refuseCancelled(now, j) {
		return
	}
	if j.resumes || e.cfg.LateStarts.contains(now, j.job.ID) {
		// No other owner may start it, and an earlier submission may have run.
		e.answer(now, j, Result{ID: j.job.ID, Outcome: Lost, Reason: reasonStartUnresolved})
		return
	}
	best, last := e.bestOwner(now, j)
	j.usableOwners = last.owners
	if owner := e.startOwner(j); owner != "" {
		j.owner, j.lastOffer = owner, last
		j.triedToStart = append(j.triedToStart, owner)
		e.submitTo(now, owner, j, true)
		return
	}
	if best == "" {
		if now.Before(j.waitUntil) && !e.allEvacuated() {
			j.owner = "" // The next tick offers the job again.
			return
		}
		e.answer(now, j, otherwise)
		return
	}
	j.owner, j.lastOffer = best, last
	j.tried = append(j.tried, best)
	if !j.returned {
		j.waitUntil = time.Time{}
	}
	e.submitTo(now, best, j, false)
}

// submitTo sends a job to an owner.
func (e *Entry) submitTo(now time.Time, owner string, j *entryJob, startOrReturn bool) {
	e.lastSubmission++
	j.submission, j.settled = e.lastSubmission, false
	job := j.job
	job.Age, job.StartOrReturn, job.Submission = now.Sub(j.submittedAt), startOrReturn, j.submission
	job.Budget = 0
	if !j.neededUntil.IsZero() {
		job.Budget = j.neededUntil.Sub(j.submittedAt)
	}
	e.countSent(owner, &job)
	e.send(owner, message{
		Submit: &job, StartOrReturn: startOrReturn, Crashes: e.cfg.Crashes.ofJob(job.ID), Submission: j.submission,
	})
}

// bestOwner returns the owner with the shortest wait among those that the job was not
// offered to, or "", and what this host knew when it chose.
func (e *Entry) bestOwner(now time.Time, j *entryJob) (string, offer) {
	best, bestCost := "", time.Duration(0)
	last := offer{at: now}
	consider := func(incarnation string, l Load, receivedAt time.Time, queues []closedQueue, cost time.Duration) {
		last.owners++
		cost += time.Duration(l.WaitMs)*time.Millisecond + closedFor(now, receivedAt, l, queues, &j.job)
		if l.Servers > 0 && !slices.Contains(j.tried, incarnation) && (best == "" || cost < bestCost) {
			best, bestCost = incarnation, cost
			last.loadWaitMs, last.loadAge = l.WaitMs, now.Sub(receivedAt)
		}
	}
	if e.isOwner {
		consider(e.cfg.Self.Incarnation, e.localLoad, e.localLoadAt, e.localClosed, 0)
	}
	for _, d := range e.domains {
		v := e.views[d]
		if v == nil || !v.usable() || v.path.suspect() {
			continue
		}
		cost := spillOverMargin
		if d == e.cfg.Self.FailureDomain {
			cost = 0
		}
		consider(v.candidate.Incarnation, v.heartbeat.Load, v.lastContact, v.closed, cost)
	}
	return best, last
}

// send sends a message to an owner, which may be this host.
func (e *Entry) send(owner string, m message) {
	if owner == e.cfg.Self.Incarnation {
		e.actions = append(e.actions, EntryAction{Local: &m})
		return
	}
	if v := e.viewOf(owner); v != nil && v.path.suspect() {
		v.path.held = append(v.path.held, m)
		return
	}
	e.actions = append(e.actions, EntryAction{Send: &OwnerMessage{owner, m}})
}

// CallerLeft removes a caller that has not waited any more since a time. When the last one
// has left, the job is cancelled at its owner.
func (e *Entry) CallerLeft(now time.Time, id WaiterID, since time.Time) {
	j := e.jobs[e.waiters[id]]
	delete(e.waiters, id)
	if j == nil {
		return
	}
	j.waiters = slices.DeleteFunc(j.waiters, func(o WaiterID) bool { return o == id })
	if len(j.waiters) > 0 {
		return
	}
	delete(e.jobs, j.job.ID)
	e.cfg.Log.Info().Str("Job", j.job.ID).Str("Queue", j.job.Queue).Int64("AgeMs", now.Sub(j.submittedAt).Milliseconds()).Msg("CallerDisconnected")
	if j.owner != "" {
		e.keepStartable(now, j)
		e.send(j.owner, newCancel(now, j.job.ID, since))
	}
}

// HasUsableOwner reports whether some owner accepts new jobs and has servers to run
// them.
func (e *Entry) HasUsableOwner() bool {
	if e.isOwner && e.localLoad.Servers > 0 {
		return true
	}
	for _, v := range e.views {
		if v.usable() && v.heartbeat.Load.Servers > 0 {
			return true
		}
	}
	return false
}

// HandleResult handles the result of a job from an owner, which may be this host. A
// refused or returned job is offered to another owner (rule 3). submission is the number of
// the submission that the result answers, 0 if the owner doesn't say it. A result of an
// earlier submission is ignored: the owner may have accepted the job since.
func (e *Entry) HandleResult(now time.Time, owner string, submission uint64, r Result) {
	j := e.jobs[r.ID]
	if j == nil || j.owner != owner {
		return
	}
	if submission != 0 && submission != j.submission {
		e.cfg.Log.Warn().Str("Job", r.ID).Str("Owner", owner).Uint64("Submission", submission).Uint64("Latest", j.submission).
			Stringer("Outcome", r.Outcome).Str("Reason", r.Reason).Msg("ResultOutdated")
		return
	}
	if r.Outcome == Refused || r.Outcome == Returned {
		if r.Outcome == Returned && r.Reason != reasonBusy {
			j.returned, j.waitUntil = true, now.Add(maxOwnerWait)
		}
		otherwise := r
		otherwise.Outcome = Refused
		if otherwise.RetryAfter == 0 {
			otherwise.RetryAfter = noOwnerRetry
		}
		e.offerJob(now, j, otherwise)
		return
	}
	if r.Outcome == Lost && r.Reason != reasonStartUnresolved {
		e.keepStartable(now, j)
	}
	e.answer(now, j, r)
}

func (e *Entry) answer(now time.Time, j *entryJob, r Result) {
	delete(e.jobs, j.job.ID)
	e.cfg.Log.Info().Str("Job", j.job.ID).Str("Queue", j.job.Queue).Str("Owner", j.owner).Uint64("Submission", j.submission).
		Stringer("Outcome", r.Outcome).Str("Reason", r.Reason).Int64("AgeMs", now.Sub(j.submittedAt).Milliseconds()).Int("Offers", len(j.tried)+len(j.triedToStart)).
		Int64("OfferMs", j.offerMs()).Int64("LoadWaitMs", j.lastOffer.loadWaitMs).Int64("LoadAgeMs", j.lastOffer.loadAge.Milliseconds()).
		Int("Owners", j.usableOwners).Msg("JobAnswered")
	for _, id := range j.waiters {
		delete(e.waiters, id)
		e.actions = append(e.actions, EntryAction{Answer: &CallerAnswer{id, r}})
	}
}

// offerMs returns the time from the submission to the last offer in milliseconds, or
// -1 if the job was offered to no owner.
func (j *entryJob) offerMs() int64 {
	if len(j.tried)+len(j.triedToStart) == 0 {
		return -1
	}
	return j.lastOffer.at.Sub(j.submittedAt).Milliseconds()
}

// loseJobs answers Lost to the callers of all jobs that an owner of a failure domain had, and logs
// all jobs that it may have started.
func (e *Entry) loseJobs(now time.Time, domain, owner, reason string) {
	e.logStartable(now, domain, owner)
	for _, j := range e.sortedJobs() {
		if j.owner == owner {
			if !j.settled {
				e.logLost(now, domain, owner, j.job.ID)
			}
			e.answer(now, j, Result{ID: j.job.ID, Outcome: Lost, Reason: reason})
		}
	}
}

func (e *Entry) sortedJobs() []*entryJob {
	list := make([]*entryJob, 0, len(e.jobs))
	for _, j := range e.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *entryJob) int { return cmp.Compare(a.job.ID, b.job.ID) })
	return list
}
