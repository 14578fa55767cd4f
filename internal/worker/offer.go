package worker

// Jobs of this host's callers: offering them to owners (entry.go, rules 3 and 4).

import (
	"cmp"
	"slices"
	"time"
)

// Submit takes a caller's job and returns the ticket under which its result
// will be delivered.
func (e *Entry) Submit(now time.Time, job Job) WaiterID {
	e.lastTicket++
	t := e.lastTicket
	e.tickets[t] = job.ID
	if j := e.jobs[job.ID]; j != nil {
		j.tickets = append(j.tickets, t)
		return t
	}
	j := &entryJob{job: job, tickets: []WaiterID{t}, began: now, patientUntil: now.Add(ownerPatience)}
	e.jobs[job.ID] = j
	e.offer(now, j, noOwner(j))
	return t
}

// noOwner is the answer to a job for which no owner was found.
func noOwner(j *entryJob) Result {
	return Result{ID: j.job.ID, Outcome: Refused, Reason: "NoOwner", RetryAfter: noOwnerRetry}
}

// tickWaiting offers the jobs again that still wait for an owner.
func (e *Entry) tickWaiting(now time.Time) {
	for _, j := range e.sortedJobs() {
		if j.owner == "" {
			e.offer(now, j, noOwner(j))
		}
	}
}

// offer sends a job to the best owner that it wasn't offered yet (rule 3);
// otherwise is the answer if there is none.
func (e *Entry) offer(now time.Time, j *entryJob, otherwise Result) {
	best, bestCost := "", time.Duration(0)
	consider := func(incarnation string, l Load, cost time.Duration) {
		cost += time.Duration(l.WaitMs) * time.Millisecond
		if l.Servers > 0 && !slices.Contains(j.tried, incarnation) && (best == "" || cost < bestCost) {
			best, bestCost = incarnation, cost
		}
	}
	if e.owning {
		consider(e.cfg.Self.Incarnation, e.local, 0)
	}
	for _, d := range e.domains() {
		v := e.views[d]
		if v == nil || !v.usable() {
			continue
		}
		cost := spillMargin
		if d == e.cfg.Self.FailureDomain {
			cost = 0
		}
		consider(v.target.Incarnation, v.stamp.Load, cost)
	}
	if best == "" {
		if now.Before(j.patientUntil) {
			j.owner = "" // Offered again with the next tick.
			return
		}
		e.answer(now, j, otherwise)
		return
	}
	j.owner = best
	j.tried = append(j.tried, best)
	if !j.moved {
		j.patientUntil = time.Time{}
	}
	job := j.job
	job.Age = now.Sub(j.began)
	e.send(best, message{Submit: &job})
}

// send sends a message to an owner, which may be this host.
func (e *Entry) send(owner string, m message) {
	if owner == e.cfg.Self.Incarnation {
		e.out = append(e.out, EntryAction{Local: &m})
		return
	}
	e.out = append(e.out, EntryAction{Send: &OwnerMessage{owner, m}})
}

// CallerLeft ends a caller's wait.
func (e *Entry) CallerLeft(now time.Time, t WaiterID) {
	j := e.jobs[e.tickets[t]]
	delete(e.tickets, t)
	if j == nil {
		return
	}
	j.tickets = slices.DeleteFunc(j.tickets, func(o WaiterID) bool { return o == t })
	if len(j.tickets) > 0 {
		return
	}
	delete(e.jobs, j.job.ID)
	e.cfg.Log.Info().Str("Job", j.job.ID).Str("Queue", j.job.Queue).Int64("AgeMs", now.Sub(j.began).Milliseconds()).Msg("CallerLeft")
	if j.owner != "" {
		e.send(j.owner, message{Cancel: j.job.ID})
	}
}

// CancelJob ends a job on every owner that this host has a session with,
// whoever waits for it.
func (e *Entry) CancelJob(now time.Time, id string) {
	if j := e.jobs[id]; j != nil && j.owner != "" {
		e.send(j.owner, message{Cancel: id})
		e.answer(now, j, Result{ID: id, Outcome: Lost, Reason: "Cancelled"})
	}
}

// HasUsableOwner reports whether some owner takes jobs.
func (e *Entry) HasUsableOwner() bool {
	if e.owning && e.local.Servers > 0 {
		return true
	}
	for _, v := range e.views {
		if v.usable() && v.stamp.Load.Servers > 0 {
			return true
		}
	}
	return false
}

// HandleResult handles the result that an owner sent.
func (e *Entry) HandleResult(now time.Time, owner string, r Result) {
	j := e.jobs[r.ID]
	if j == nil || j.owner != owner {
		return
	}
	if r.Outcome == Refused || r.Outcome == Returned {
		if r.Outcome == Returned {
			j.moved, j.patientUntil = true, now.Add(ownerPatience)
		}
		otherwise := r
		otherwise.Outcome = Refused
		if otherwise.RetryAfter == 0 {
			otherwise.RetryAfter = noOwnerRetry
		}
		e.offer(now, j, otherwise)
		return
	}
	e.answer(now, j, r)
}

func (e *Entry) answer(now time.Time, j *entryJob, r Result) {
	delete(e.jobs, j.job.ID)
	e.cfg.Log.Info().Str("Job", j.job.ID).Str("Queue", j.job.Queue).Str("Owner", j.owner).Stringer("Outcome", r.Outcome).
		Str("Reason", r.Reason).Int64("AgeMs", now.Sub(j.began).Milliseconds()).Int("Offers", len(j.tried)).Msg("JobAnswered")
	for _, t := range j.tickets {
		delete(e.tickets, t)
		e.out = append(e.out, EntryAction{Answer: &CallerAnswer{t, r}})
	}
}

// loseJobs answers all callers whose jobs an owner had.
func (e *Entry) loseJobs(now time.Time, owner, reason string) {
	for _, j := range e.sortedJobs() {
		if j.owner == owner {
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
