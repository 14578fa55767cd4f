package worker

// How a job is cancelled by its ID. A caller may ask any host, also one that has never seen the
// job. What waits or comes later is cancelled by the cancel log (cancel_log.go). The rules are:
//
//  1. The host that is asked ends the job for its own callers. It also asks the owners of all
//     failure domains, and itself, to end the job, whoever waits for it.
//  2. The caller is told that the job is cancelled once an owner has ended it, or once all owners
//     have answered and the job was found somewhere. If it was not, the job is unknown.
//  3. If that isn't known within cancelTimeout, or a failure domain has hosts but no owner that can
//     be asked, the caller is told to ask again.
//  4. A question may be lost with a path, so it is repeated. Repeats do no harm.
//  5. Owners of earlier versions don't answer and count as not knowing the job. As before, they
//     end it if its caller waits at the host that is asked.

import (
	"slices"
	"time"
)

const (
	// cancelTimeout bounds the wait for the answers of owners. Within it, the successor of an
	// owner is usually found.
	cancelTimeout = maxOwnerWait
	// cancelRepeat is the time after which an owner that has not answered is asked again.
	cancelRepeat = heartbeatInterval
	// maxPendingCancels bounds the cancellations that wait for answers. Callers are told to ask
	// again beyond it.
	maxPendingCancels = 1024
	// reasonCancelled is the reason of the results of cancelled jobs.
	reasonCancelled = "Cancelled"
)

// CancelOutcome is what the caller who cancels a job is told.
type CancelOutcome uint8

// The outcomes of a cancellation. The zero value is the weakest statement.
const (
	// CancelUnconfirmed means that some owner may still start tasks of the job.
	CancelUnconfirmed CancelOutcome = iota
	// Cancelled means that the job has ended.
	Cancelled
	// JobUnknown means that no host that can be reached has the job.
	JobUnknown
)

var cancelOutcomeNames = [...]string{"Unconfirmed", "Cancelled", "JobUnknown"}

// String returns the name that logs use.
func (o CancelOutcome) String() string {
	return cancelOutcomeNames[min(int(o), len(cancelOutcomeNames)-1)]
}

// jobFound says what a host that was asked to end a job knew of it.
type jobFound uint8

const (
	notFound jobFound = iota
	// foundAtEntry means that callers of the host waited for the job, and that another host owns it.
	foundAtEntry
	// foundAndEnded means that the job has ended at the host that would have started its tasks.
	foundAndEnded
)

// CancelAnswer is the outcome of a cancellation with a number.
type CancelAnswer struct {
	Number  uint64
	Outcome CancelOutcome
}

// pendingCancel is a cancellation that waits for the answers of owners.
type pendingCancel struct {
	job    string
	number uint64
	since  time.Time
	found  bool
	// askedAt and answered have the incarnations that were asked and that have answered.
	askedAt  map[string]time.Time
	answered map[string]bool
}

// CancelJob ends a job for this host's callers and at its owner. found says whether the job waited
// in the mailbox. It returns the number of the CancelAnswer that follows.
func (e *Entry) CancelJob(now time.Time, id string, found bool) uint64 {
	e.cfg.Cancels.add(now, id)
	e.lastCancel++
	c := &pendingCancel{job: id, number: e.lastCancel, since: now, found: found, askedAt: map[string]time.Time{}, answered: map[string]bool{}}
	if len(e.cancels) >= maxPendingCancels {
		e.endOwnJob(now, id)
		e.answerCancel(now, c, CancelUnconfirmed)
		return c.number
	}
	e.cancels = append(e.cancels, c)
	e.actions = append(e.actions, EntryAction{Local: &message{CancelJob: id, CancelNumber: c.number}})
	e.advanceCancel(now, c)
	return c.number
}

// endOwnJob ends a job that callers of this host wait for.
func (e *Entry) endOwnJob(now time.Time, id string) jobFound {
	j := e.jobs[id]
	if j == nil {
		return notFound
	}
	found := foundAtEntry
	if j.owner == "" || j.owner == e.cfg.Self.Incarnation {
		found = foundAndEnded
	}
	if j.owner != "" {
		e.keepStartable(now, j)
		e.send(j.owner, message{Cancel: id})
	}
	e.answer(now, j, Result{ID: id, Outcome: Lost, Reason: reasonCancelled})
	return found
}

// ownersToAsk returns the views of the owners that may have a job. complete is false if the owner
// of some failure domain can't be asked now.
func (e *Entry) ownersToAsk() (list []*ownerView, complete bool) {
	complete = true
	for _, d := range e.domains {
		if e.isOwner && d == e.cfg.Self.FailureDomain {
			continue
		}
		if v := e.views[d]; v != nil && v.open && v.heartbeat.IsOwner {
			list = append(list, v)
		} else {
			complete = false
		}
	}
	for _, id := range sortedKeys(e.draining) {
		if v := e.draining[id]; v.open {
			list = append(list, v)
		}
	}
	return list, complete
}

// advanceCancel asks the owners that were not asked yet, or that may not have got the question, and
// answers the caller once that is possible (rules 2 and 3).
func (e *Entry) advanceCancel(now time.Time, c *pendingCancel) {
	owners, complete := e.ownersToAsk()
	for _, v := range owners {
		owner := v.candidate.Incarnation
		if c.answered[owner] || !v.answersCancels {
			continue
		}
		complete = false
		at, asked := c.askedAt[owner]
		if !v.path.suspect() && (!asked || now.Sub(at) >= cancelRepeat) {
			c.askedAt[owner] = now
			e.send(owner, message{CancelJob: c.job, CancelNumber: c.number})
		}
	}
	switch {
	case complete && c.answered[e.cfg.Self.Incarnation] && c.found:
		e.answerCancel(now, c, Cancelled)
	case complete && c.answered[e.cfg.Self.Incarnation]:
		e.answerCancel(now, c, JobUnknown)
	case now.Sub(c.since) >= cancelTimeout:
		e.answerCancel(now, c, CancelUnconfirmed)
	}
}

// tickCancels advances the cancellations that wait for answers.
func (e *Entry) tickCancels(now time.Time) {
	for _, c := range slices.Clone(e.cancels) {
		e.advanceCancel(now, c)
	}
}

// handleCancelReply handles the answer of a host, which may be this one, to a question.
func (e *Entry) handleCancelReply(now time.Time, owner string, number uint64, found jobFound) {
	n := slices.IndexFunc(e.cancels, func(c *pendingCancel) bool { return c.number == number })
	if n < 0 {
		return // The caller has been answered.
	}
	c := e.cancels[n]
	c.answered[owner] = true
	c.found = c.found || found != notFound
	if found == foundAndEnded {
		e.answerCancel(now, c, Cancelled)
		return
	}
	e.advanceCancel(now, c)
}

func (e *Entry) answerCancel(now time.Time, c *pendingCancel, o CancelOutcome) {
	e.cancels = slices.DeleteFunc(e.cancels, func(p *pendingCancel) bool { return p == c })
	e.cfg.Log.Info().Str("Job", c.job).Stringer("Outcome", o).Bool("Found", c.found).Int("Asked", len(c.askedAt)).
		Int("Answered", len(c.answered)).Int64("WaitMs", now.Sub(c.since).Milliseconds()).Msg("CancelAnswered")
	e.actions = append(e.actions, EntryAction{CancelAnswer: &CancelAnswer{c.number, o}})
}

// endCancelledJob ends a job whoever waits for it. It has been cancelled since a time. queued says
// whether the job waits in the mailbox.
func (h *Host) endCancelledJob(now time.Time, id string, since time.Time, queued bool) jobFound {
	if h.unwitnessed(id) != nil {
		queued = true
	}
	found := h.entry.endOwnJob(now, id)
	if h.pool.cancelForAll(now, id, since) || queued {
		found = foundAndEnded
	}
	return found
}

// handleCancelQuestion ends a job as an entry host asks (rule 1). The question was read from a path
// at readAt.
func (h *Host) handleCancelQuestion(now time.Time, path SessionID, m message, readAt time.Time, queued bool) {
	if _, ok := h.sessions.idOf(path); !ok {
		return
	}
	h.cancels.add(now, m.CancelJob)
	found := h.endCancelledJob(now, m.CancelJob, readAt, queued)
	h.actions = append(h.actions, HostAction{Reply: &SessionMessage{path, message{CancelReply: m.CancelNumber, JobFound: uint8(found)}}})
}

// cancelForAll ends a job for all sessions that wait for it and reports whether there is one.
func (p *Pool) cancelForAll(now time.Time, id string, since time.Time) bool {
	j := p.jobs[id]
	if j == nil {
		return false
	}
	j.unwantedSince = since
	// A refusal would be offered to another owner.
	p.endJob(now, j, Result{Outcome: Lost, Reason: reasonCancelled})
	p.place(now)
	return true
}
