package worker

// A witness is another host that knows which jobs an owner starts for its own callers. Their
// entry host and their owner are one process: if it ends, nobody else could tell that a start
// command for them may still be executed (late_start_log.go). The rules are:
//
//  1. The owner admits a job of its own callers once a witness has acknowledged the job, so no
//     start command leaves before that. A host that has no session with another one that
//     serves as a witness admits its jobs at once, since nobody could submit them elsewhere.
//  2. At most one request is in progress. The jobs that arrive meanwhile go with the next one.
//  3. If the witness doesn't answer in time, or its session ends, another host takes its
//     place and is told of all jobs, those that have started too. So is the same host when
//     the path of its session was replaced, since messages may be lost with a path.
//  4. The witness forgets a job when a heartbeat of the owner says so.
//  5. A witness that loses the owner adds the jobs to the late-start log, as an entry host
//     adds those that it has submitted.
//  6. Once each task of a job is done or its run is confirmed, a heartbeat says that the job is
//     settled, to its entry host or to the witness. Its loss leaves no start command behind, so
//     its caller may return at once. Before the owner starts a task of it again, it
//     announces that, and waits for the acknowledgment.
//  7. A job that was lost or cancelled is remembered for outcomeDelay more, here and by its entry
//     host. Within this time the owner learns what became of the start commands and tells
//     other hosts.

import (
	"maps"
	"slices"
	"time"
)

const (
	// witnessTimeout is how long the owner waits for a witness before it turns to another one:
	// several round trips within a failure domain.
	witnessTimeout = 20 * time.Millisecond
	// outcomeDelay exceeds the time from a start command to the heartbeat that tells of it as
	// unanswered: the time in the command queue and on the way, and heartbeatInterval.
	outcomeDelay = time.Second
	// maxWitnessedJobs bounds the jobs that one message names and that a host remembers of one
	// owner.
	maxWitnessedJobs = 4096
)

// witnessRequest asks an entry host to remember jobs that the owner may start for its own callers.
type witnessRequest struct {
	_ struct{} `cbor:",toarray"`
	// Number is higher than that of all earlier requests of the owner.
	Number uint64
	Jobs   []string
	// Own is set if the jobs are those of the owner's own callers, All if it has no other such
	// jobs.
	Own, All bool
}

// JobAnnouncement is a settled job of which an owner starts tasks again, and the session to be told.
type JobAnnouncement struct {
	Job     string
	Session SessionID
	// request is the number of the request that names it.
	request uint64
}

// unwitnessedJob is a job that waits for a witness.
type unwitnessedJob struct {
	job Job
	// settled is set if the pool has the job and waits before it starts a task again.
	settled bool
	// since is when it began to wait.
	since time.Time
	// request is the number of the request that names it, 0 if none does yet.
	request uint64
}

// witnesses is what an owner knows of its witness.
type witnesses struct {
	// session is the session with the witness, 0 if there is none; told is set once the witness
	// was told of all jobs.
	session SessionID
	told    bool
	// lastRequest is the number of the last request of this host, pending that of the last one
	// to the witness, and sentAt when that was sent; inProgress is set until it is acknowledged.
	lastRequest, pending uint64
	sentAt               time.Time
	inProgress           bool
	// silent has the sessions whose hosts didn't answer in time.
	silent  map[SessionID]bool
	waiting []unwitnessedJob
	// known has the jobs that were named in a request, with the time from which the witness may
	// forget them, zero if it isn't known. ended has those of which the witness is to be told.
	known map[string]time.Time
	ended []string
}

// submitOwn submits a job of this host's callers to its own pool once it may (rule 1).
func (h *Host) submitOwn(now time.Time, j Job) {
	w := &h.witnesses
	if h.pool.jobs[j.ID] != nil || !h.pool.owner || h.pool.draining || h.pool.losesReturned(now, j) || !h.chooseWitness() {
		h.pool.Submit(now, localSession, j)
		return
	}
	if len(w.known)+len(w.waiting) >= maxWitnessedJobs {
		h.entry.HandleResult(now, h.cfg.Self.Incarnation, 0, Result{ID: j.ID, Outcome: Refused, Reason: "HostBusy", RetryAfter: minRetryAfter})
		return
	}
	w.waiting = append(w.waiting, unwitnessedJob{job: j, since: now})
}

// chooseWitness chooses a witness unless there is one and reports whether there is one then.
func (h *Host) chooseWitness() bool {
	w := &h.witnesses
	if !h.sessions.Has(w.session) {
		h.replaceWitness(h.nextWitness())
	}
	return w.session != 0
}

// replaceWitness makes the host of a session the witness, 0 for none.
func (h *Host) replaceWitness(id SessionID) {
	w := &h.witnesses
	if w.session != id && id != 0 {
		h.cfg.Log.Info().Uint64("Session", uint64(id)).Uint64("Previous", uint64(w.session)).Int("Jobs", len(w.known)+len(w.waiting)).Msg("WitnessChosen")
	}
	w.session, w.told, w.inProgress = id, len(w.known) == 0, false
}

// nextWitness returns the session of the host that is to be the next witness, 0 if there is none
// that isn't silent. Hosts of the same failure domain come first, as they are the nearest.
func (h *Host) nextWitness() SessionID {
	w := &h.witnesses
	var first SessionID
	for _, s := range h.sessions.list {
		if !s.witness || w.silent[s.id] {
			continue
		}
		if h.entry.domainOf(s.peer) == h.cfg.Self.FailureDomain {
			return s.id
		}
		if first == 0 {
			first = s.id
		}
	}
	return first
}

// requestWitness replaces a silent witness, sends the next request if one is due, and admits
// the jobs that wait if no host can be a witness any more.
func (h *Host) requestWitness(now time.Time) {
	w := &h.witnesses
	if len(w.waiting) == 0 && len(w.known) == 0 {
		return
	}
	if silence := now.Sub(w.sentAt); w.inProgress && silence > witnessTimeout {
		if silence > heartbeatInterval {
			clear(w.silent) // Others may answer by now.
		}
		w.silent[w.session] = true
		if next := h.nextWitness(); next != 0 {
			h.replaceWitness(next)
		}
	}
	if !h.chooseWitness() {
		clear(w.silent)
		clear(w.known)
		w.ended = nil
		h.admitWitnessed(now, func(unwitnessedJob) bool { return true })
		return
	}
	if !w.inProgress {
		h.sendWitnessRequest(now)
	}
}

// sendWitnessRequest names the jobs to the witness that it was not told of, if there are any.
func (h *Host) sendWitnessRequest(now time.Time) {
	w := &h.witnesses
	w.lastRequest++
	r := witnessRequest{Number: w.lastRequest, Own: true, All: !w.told}
	if r.All {
		w.ended = nil
		r.Jobs = slices.Sorted(maps.Keys(w.known))
	}
	for i := range w.waiting {
		j := &w.waiting[i]
		if !r.All && j.request != 0 {
			continue
		}
		j.request = r.Number
		if _, ok := w.known[j.job.ID]; !ok || !r.All {
			r.Jobs = append(r.Jobs, j.job.ID)
		}
		w.known[j.job.ID] = time.Time{}
		w.ended = slices.DeleteFunc(w.ended, func(id string) bool { return id == j.job.ID })
	}
	if len(r.Jobs) == 0 && !r.All {
		return
	}
	w.pending, w.sentAt, w.inProgress, w.told = r.Number, now, true, true
	h.actions = append(h.actions, HostAction{Reply: &SessionMessage{h.sessions.pathOf(w.session), message{Witness: &r}}})
}

// handleWitnessed handles the acknowledgment of a request by the host of a session.
func (h *Host) handleWitnessed(now time.Time, id SessionID, request uint64) {
	w := &h.witnesses
	for _, a := range h.sessions.takeAnnouncements(id, request) {
		h.pool.announced(now, a.Job)
	}
	if id != w.session || request != w.pending {
		return
	}
	w.inProgress = false
	delete(w.silent, id)
	h.admitWitnessed(now, func(j unwitnessedJob) bool { return j.request != 0 && j.request <= request })
}

// admitWitnessed submits the waiting jobs that match to the pool.
func (h *Host) admitWitnessed(now time.Time, match func(unwitnessedJob) bool) {
	w := &h.witnesses
	waiting := w.waiting
	w.waiting = nil
	for _, j := range waiting {
		if !match(j) {
			w.waiting = append(w.waiting, j)
			continue
		}
		h.cfg.Log.Info().Str("Job", j.job.ID).Int64("WaitMs", now.Sub(j.since).Milliseconds()).Uint64("Session", uint64(w.session)).Msg("JobWitnessed")
		if j.settled {
			h.pool.announced(now, j.job.ID)
			continue
		}
		j.job.Age += now.Sub(j.since)
		h.pool.Submit(now, localSession, j.job)
	}
}

// witnessPathReplaced makes the next request name all jobs to the host of a session, if it is the
// witness (rule 3).
func (h *Host) witnessPathReplaced(o *session) {
	if o.id == h.witnesses.session {
		h.replaceWitness(o.id)
	}
	for _, a := range o.announcements {
		h.sendAnnouncement(o, a)
	}
}

// announce tells the session of a settled job that tasks of it are started again (rule 6).
func (h *Host) announce(now time.Time, a JobAnnouncement) {
	w := &h.witnesses
	switch o, _ := h.sessions.find(a.Session); {
	case a.Session == localSession && h.chooseWitness():
		w.waiting = append(w.waiting, unwitnessedJob{job: Job{ID: a.Job}, settled: true, since: now})
	case o == nil:
		h.pool.announced(now, a.Job)
	default:
		w.lastRequest++
		a.request = w.lastRequest
		h.cfg.Log.Info().Str("Job", a.Job).Uint64("Session", uint64(a.Session)).Msg("JobAnnounced")
		o.announcements = append(o.announcements, a)
		h.sendAnnouncement(o, a)
	}
}

func (h *Host) sendAnnouncement(o *session, a JobAnnouncement) {
	r := &witnessRequest{Number: a.request, Jobs: []string{a.Job}}
	h.actions = append(h.actions, HostAction{Reply: &SessionMessage{o.path, message{Witness: r}}})
}

// takeAnnouncements removes and returns the announcements of a request.
func (s *Sessions) takeAnnouncements(id SessionID, request uint64) (list []JobAnnouncement) {
	o, _ := s.find(id)
	if o == nil {
		return nil
	}
	o.announcements = slices.DeleteFunc(o.announcements, func(a JobAnnouncement) bool {
		if a.request == request {
			list = append(list, a)
		}
		return a.request == request
	})
	return list
}

// withdrawUnwitnessed removes a job that waits for a witness.
func (h *Host) withdrawUnwitnessed(id string) {
	w := &h.witnesses
	w.waiting = slices.DeleteFunc(w.waiting, func(j unwitnessedJob) bool { return j.job.ID == id })
}

// unwitnessed returns the job that waits for a witness, or nil.
func (h *Host) unwitnessed(id string) *Job {
	for i := range h.witnesses.waiting {
		if j := &h.witnesses.waiting[i].job; j.ID == id {
			return j
		}
	}
	return nil
}

// noteOwnResult notes how a job of this host's callers has ended. Unless it was lost, no start
// command for it may be executed that matters.
func (h *Host) noteOwnResult(now time.Time, r Result) {
	if _, ok := h.witnesses.known[r.ID]; ok && r.Outcome != Lost {
		h.witnesses.known[r.ID] = now
	}
}

// forgetWitnessed notes which jobs the witness may forget (rules 4 and 7).
func (h *Host) forgetWitnessed(now time.Time) {
	w := &h.witnesses
	for id, until := range w.known {
		switch {
		case h.pool.jobs[id] != nil || h.unwitnessed(id) != nil:
			w.known[id] = time.Time{}
		case until.IsZero():
			w.known[id] = now.Add(outcomeDelay)
		case !now.Before(until):
			delete(w.known, id)
			w.ended = append(w.ended, id)
		}
	}
	slices.Sort(w.ended)
}

// takeForgettable returns the jobs of this host's callers that the host of a session need not
// remember any more, since they have ended or are settled.
func (h *Host) takeForgettable(id SessionID) []string {
	w := &h.witnesses
	if id != w.session {
		return nil
	}
	for _, job := range h.pool.takeSettled(localSession) {
		delete(w.known, job)
		w.ended = append(w.ended, job)
	}
	list := w.ended[:min(len(w.ended), maxWitnessedJobs)]
	w.ended = slices.Clone(w.ended[len(list):])
	return list
}

// startableJobs are the jobs that an owner may have started, as another host remembers them,
// each with the time up to which it counts; the zero time if the owner says when.
type startableJobs map[string]time.Time

// startableOf returns the jobs of an owner that this host remembers.
func (e *Entry) startableOf(owner string) startableJobs {
	if e.remembered[owner] == nil {
		e.remembered[owner] = startableJobs{}
	}
	return e.remembered[owner]
}

// handleWitnessRequest remembers jobs that an owner may start for its own callers.
func (e *Entry) handleWitnessRequest(now time.Time, owner string, r witnessRequest) {
	if v := e.viewOf(owner); v == nil || !v.open {
		return
	}
	jobs := e.startableOf(owner)
	if r.All {
		for id, until := range jobs {
			if until.IsZero() {
				jobs[id] = now.Add(outcomeDelay)
			}
		}
	}
	for _, id := range r.Jobs {
		if j := e.jobs[id]; j != nil && j.owner == owner {
			j.settled = false
			continue
		}
		if id == "" || len(id) > maxJobIDBytes || len(jobs) >= 2*maxWitnessedJobs {
			e.cfg.Log.Warn().Str("Owner", owner).Uint64("Request", r.Number).Int("Jobs", len(jobs)).Msg("WitnessRequestRefused")
			return // The owner turns to another host.
		}
		jobs[id] = time.Time{}
		if !r.Own {
			jobs[id] = now.Add(outcomeDelay) // Its caller has left.
		}
	}
	e.send(owner, message{Witnessed: r.Number})
}

// keepStartable remembers a job that its owner has lost or that is cancelled, unless it is
// settled (rule 7).
func (e *Entry) keepStartable(now time.Time, j *entryJob) {
	if j.owner == e.cfg.Self.Incarnation || j.settled {
		return
	}
	if jobs := e.startableOf(j.owner); len(jobs) < maxWitnessedJobs {
		jobs[j.job.ID] = now.Add(outcomeDelay)
	}
}

// noteSettled notes the settled jobs that an owner has named (rule 6).
func (e *Entry) noteSettled(owner string, settled []string) {
	for _, id := range settled {
		if j := e.jobs[id]; j != nil && j.owner == owner {
			j.settled = true
		}
	}
}

// forgetStartable forgets jobs of an owner that it has named (rule 4).
func (e *Entry) forgetStartable(owner string, jobs []string) {
	for _, id := range jobs {
		delete(e.remembered[owner], id)
	}
}

// tickStartable forgets the jobs that don't count any more.
func (e *Entry) tickStartable(now time.Time) {
	for owner, jobs := range e.remembered {
		maps.DeleteFunc(jobs, func(_ string, until time.Time) bool { return !until.IsZero() && !now.Before(until) })
		if len(jobs) == 0 {
			delete(e.remembered, owner)
		}
	}
}

// logStartable adds the jobs of a lost owner to the late-start log (rule 5).
func (e *Entry) logStartable(now time.Time, domain, owner string) {
	jobs := e.remembered[owner]
	delete(e.remembered, owner)
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		if until := jobs[id]; until.IsZero() || now.Before(until) {
			e.logLost(now, domain, owner, id)
		}
	}
}

// logLost adds a job of a lost owner to the late-start log.
func (e *Entry) logLost(now time.Time, domain, owner, id string) {
	e.cfg.Log.Info().Str("Job", id).Str("Owner", owner).Msg("JobMayStartLate")
	e.cfg.LateStarts.add(now, id, domain, owner, now.Add(lateStartTimeout))
}

// domainOf returns the failure domain of a host, empty if it isn't known.
func (e *Entry) domainOf(incarnation string) string {
	for _, c := range e.candidates {
		if c.Incarnation == incarnation {
			return c.FailureDomain
		}
	}
	return ""
}

// takeSettled returns the jobs that a session waits for alone and that have become settled (rule 6).
func (p *Pool) takeSettled(id SessionID) []string {
	var list []string
	for _, j := range p.queue.ofSession(id) {
		if !j.settled && len(j.waiters) == 1 && len(list) < maxWitnessedJobs && p.isSettled(j) {
			j.settled, j.settledTo = true, id
			list = append(list, j.ID)
		}
	}
	return list
}

// isSettled reports whether each task of a job is done or its run is confirmed, and no copy of a
// start command is outstanding.
func (p *Pool) isSettled(j *job) bool {
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if r := t.currentRun; !t.done && (r == nil || !r.confirmed) || r != nil && r.copies.outstanding() > 0 || p.unsettled[t.name] != nil {
				return false
			}
		}
	}
	return true
}

// mayStart reports whether tasks of a job may be started. Before those of a settled job may, its
// session is told (rule 6).
func (p *Pool) mayStart(j *job) bool {
	if j.settled && !j.announcing {
		j.announcing = true
		p.actions = append(p.actions, Action{Announce: &JobAnnouncement{Job: j.ID, Session: j.settledTo}})
	}
	return !j.settled
}

// announced handles the acknowledgment that tasks of a settled job are started again.
func (p *Pool) announced(now time.Time, id string) {
	if j := p.jobs[id]; j != nil && j.announcing {
		j.settled, j.announcing = false, false
		p.place(now)
	}
}
