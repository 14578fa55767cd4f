package worker

// A witness is another host that knows which jobs an owner may start for its own callers. Their
// entry host and their owner are one process: if it ends, nobody else could tell that a start
// command for them may still be executed (late_start_log.go). The rules are:
//
//  1. The owner admits a job of its own callers once a witness has acknowledged it, so no start
//     command for the job leaves before that. While no host with a session can be a witness, jobs
//     are admitted at once, since a host that is cut off serves what it can; the next witness is
//     told of them.
//  2. At most one request to the witness is in progress. The jobs that arrive meanwhile go with
//     the next one.
//  3. If the witness doesn't answer in time, or its session ends, another host takes its
//     place and is told of all jobs, those that have started too. So is the same host when
//     the path of its session was replaced, since messages may be lost with a path. A former
//     witness is released once the next one has answered.
//  4. The witness forgets a job when a heartbeat of the owner says so.
//  5. A witness that loses the owner adds the jobs to the late-start log, as an entry host
//     adds those that it has submitted.
//  6. Once each task of a job is done or its run is confirmed, a heartbeat says that the job is
//     settled, to the witness or to the entry host that waits for it alone. It isn't logged from
//     then on. Before the owner starts a task of it again, it announces that and waits for the
//     acknowledgment, unless another host waits for the job by then, which was not told so.
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
	// outcomeDelay exceeds the time from the decision to cancel a job to the heartbeat that tells of
	// an unanswered start command for it: while its path is replaced the cancellation may be held
	// for sessionLease, and then come the time in the command queue, commandTimeout of the adapter
	// and heartbeatInterval.
	outcomeDelay = sessionLease + time.Second
	// maxOwnJobs bounds the jobs of own callers that an owner has and that are not settled.
	maxOwnJobs = 4096
	// maxNamedJobs bounds the jobs that one request or heartbeat names: those, and settled ones
	// that start again.
	maxNamedJobs = 4 * maxOwnJobs
)

// witnessRequest asks an entry host to remember jobs that the owner may start.
type witnessRequest struct {
	_ struct{} `cbor:",toarray"`
	// Number is higher than that of all earlier requests of the owner.
	Number uint64
	Jobs   []string
	// Own is set if the jobs are those of the owner's own callers, All if it has no other such
	// jobs.
	Own, All bool
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
	// was told of all jobs. former has the sessions of hosts that are to be released.
	session SessionID
	told    bool
	former  map[SessionID]bool
	// lastRequest is the number of the last request of this host, pending that of the last one
	// to the witness, and sentAt when that was sent; inProgress is set until it is acknowledged.
	lastRequest, pending uint64
	sentAt               time.Time
	inProgress           bool
	// silent has the sessions whose hosts didn't answer in time.
	silent map[SessionID]bool
	// waiting has the jobs that wait in the order in which they came, byID by their IDs.
	waiting []*unwitnessedJob
	byID    map[string]*unwitnessedJob
	// known has the jobs that the witness is to know, with the time from which it may
	// forget them, zero if it isn't known. ended has those of which it is to be told that it may.
	known map[string]time.Time
	ended map[string]bool
}

func newWitnesses() witnesses {
	return witnesses{
		told: true, former: map[SessionID]bool{}, silent: map[SessionID]bool{}, byID: map[string]*unwitnessedJob{},
		known: map[string]time.Time{}, ended: map[string]bool{},
	}
}

// wait makes a job wait for the witness.
func (w *witnesses) wait(j *unwitnessedJob) {
	w.waiting = append(w.waiting, j)
	w.byID[j.job.ID] = j
}

// submitOwn submits a job of this host's callers to its own pool once it may (rule 1).
func (h *Host) submitOwn(now time.Time, j Job) {
	w := &h.witnesses
	_, known := w.known[j.ID]
	switch {
	case !h.pool.owner || h.pool.draining || known && h.pool.jobs[j.ID] != nil || h.pool.losesReturned(now, j):
		h.pool.Submit(now, localSession, j)
	case len(w.known)+len(w.waiting) >= maxOwnJobs:
		h.entry.HandleResult(now, h.cfg.Self.Incarnation, 0, Result{ID: j.ID, Outcome: Refused, Reason: "HostBusy", RetryAfter: minRetryAfter})
	case h.chooseWitness():
		w.wait(&unwitnessedJob{job: j, since: now})
	default:
		h.submitUnwitnessed(now, j)
	}
}

// submitUnwitnessed submits a job to the pool of which the next witness is told.
func (h *Host) submitUnwitnessed(now time.Time, j Job) {
	h.witnesses.known[j.ID], h.witnesses.told = time.Time{}, false
	h.pool.Submit(now, localSession, j)
}

// chooseWitness chooses a witness unless there is one and reports whether there is one then.
func (h *Host) chooseWitness() bool {
	if w := &h.witnesses; !h.sessions.Has(w.session) {
		w.session = 0
		if next := h.nextWitness(); next != 0 {
			h.replaceWitness(next)
		}
	}
	return h.witnesses.session != 0
}

// replaceWitness makes the host of a session the witness, which is to be told of all jobs.
func (h *Host) replaceWitness(id SessionID) {
	w := &h.witnesses
	if w.session != id {
		h.cfg.Log.Info().Uint64("Session", uint64(id)).Uint64("Previous", uint64(w.session)).Int("Jobs", len(w.known)+len(w.waiting)).Msg("WitnessChosen")
		if w.session != 0 {
			w.former[w.session] = true
		}
	}
	delete(w.former, id)
	w.session, w.told, w.inProgress = id, false, false
	for _, j := range w.waiting {
		j.request = 0
	}
}

// nextWitness returns the session of the host that is to be the next witness, 0 if there is none.
// Hosts that aren't silent come first, then those of the same failure domain, as they are the nearest.
func (h *Host) nextWitness() SessionID {
	var best SessionID
	bestRank := 0
	for _, s := range h.sessions.list {
		if !s.witness {
			continue
		}
		rank := 1
		if h.entry.domainOf(s.peer) == h.cfg.Self.FailureDomain {
			rank++
		}
		if !h.witnesses.silent[s.id] {
			rank += 2
		}
		if rank > bestRank {
			best, bestRank = s.id, rank
		}
	}
	return best
}

// requestWitness replaces a silent witness if another host can be one, sends the next request if
// one is due, and admits the jobs that wait if no host can be a witness.
func (h *Host) requestWitness(now time.Time) {
	w := &h.witnesses
	if len(w.waiting) == 0 && w.told && (len(w.known) == 0 || h.sessions.Has(w.session)) {
		return
	}
	if w.inProgress && now.Sub(w.sentAt) > witnessTimeout {
		if !w.silent[w.session] {
			h.cfg.Log.Warn().Uint64("Session", uint64(w.session)).Uint64("Request", w.pending).Int("Jobs", len(w.waiting)).Msg("WitnessSilent")
		}
		w.silent[w.session] = true
		if next := h.nextWitness(); next != 0 && !w.silent[next] {
			h.replaceWitness(next)
		}
	}
	if !h.chooseWitness() {
		h.admitWitnessed(now, func(*unwitnessedJob) bool { return true })
		return
	}
	if !w.inProgress {
		h.sendWitnessRequest(now)
	}
}

// sendWitnessRequest names the jobs to the witness that it was not told of, if there are any.
func (h *Host) sendWitnessRequest(now time.Time) {
	w := &h.witnesses
	r := witnessRequest{Number: w.lastRequest + 1, Own: true, All: !w.told}
	if r.All {
		clear(w.ended)
		r.Jobs = slices.Sorted(maps.Keys(w.known))
	}
	for _, j := range w.waiting {
		if j.request != 0 || len(r.Jobs) >= maxNamedJobs {
			continue
		}
		j.request = r.Number
		if _, ok := w.known[j.job.ID]; !ok || !r.All {
			r.Jobs = append(r.Jobs, j.job.ID)
		}
		w.known[j.job.ID] = time.Time{}
		delete(w.ended, j.job.ID)
	}
	if len(r.Jobs) == 0 && !r.All {
		return
	}
	w.lastRequest = r.Number
	w.pending, w.sentAt, w.inProgress, w.told = r.Number, now, true, true
	h.replyWitnessRequest(h.sessions.pathOf(w.session), r)
}

func (h *Host) replyWitnessRequest(path SessionID, r witnessRequest) {
	h.actions = append(h.actions, HostAction{Reply: &SessionMessage{path, message{Witness: &r}}})
}

// handleWitnessed handles the acknowledgment of a request by the host of a session.
func (h *Host) handleWitnessed(now time.Time, id SessionID, request uint64) {
	w := &h.witnesses
	for _, a := range h.sessions.takeAnnouncements(id, request) {
		h.pool.announced(now, a.Job)
	}
	if id != w.session || request != w.pending || !w.inProgress {
		return
	}
	w.inProgress = false
	clear(w.silent)
	h.releaseFormer()
	h.admitWitnessed(now, func(j *unwitnessedJob) bool { return j.request != 0 && j.request <= request })
}

// releaseFormer tells former witnesses that they need not remember any job (rule 3).
func (h *Host) releaseFormer() {
	w := &h.witnesses
	for _, id := range slices.Sorted(maps.Keys(w.former)) {
		if h.sessions.Has(id) {
			w.lastRequest++
			h.replyWitnessRequest(h.sessions.pathOf(id), witnessRequest{Number: w.lastRequest, Own: true, All: true})
		}
	}
	clear(w.former)
}

// admitWitnessed submits the waiting jobs that match to the pool, or lets it start their tasks again.
func (h *Host) admitWitnessed(now time.Time, match func(*unwitnessedJob) bool) {
	w := &h.witnesses
	waiting := w.waiting
	w.waiting = nil
	for _, j := range waiting {
		if !match(j) {
			w.waiting = append(w.waiting, j)
			continue
		}
		delete(w.byID, j.job.ID)
		h.cfg.Log.Info().Str("Job", j.job.ID).Int64("WaitMs", now.Sub(j.since).Milliseconds()).Uint64("Session", uint64(w.session)).Msg("JobWitnessed")
		if w.session == 0 {
			w.known[j.job.ID], w.told = time.Time{}, false
		}
		if j.settled {
			h.pool.announced(now, j.job.ID)
			continue
		}
		j.job.Age += now.Sub(j.since)
		h.pool.Submit(now, localSession, j.job)
	}
}

// witnessPathReplaced repeats what may have been lost with the former path of a session (rule 3).
func (h *Host) witnessPathReplaced(o *session) {
	if o.id == h.witnesses.session {
		h.replaceWitness(o.id)
	}
	for _, a := range o.announcements {
		h.replyWitnessRequest(o.path, witnessRequest{Number: a.request, Jobs: []string{a.Job}})
	}
}

// withdrawUnwitnessed removes a submission that waits for a witness.
func (h *Host) withdrawUnwitnessed(id string) {
	w := &h.witnesses
	if j := w.byID[id]; j != nil && !j.settled {
		delete(w.byID, id)
		w.waiting = slices.DeleteFunc(w.waiting, func(o *unwitnessedJob) bool { return o == j })
	}
}

// unwitnessed returns the job of a submission that waits for a witness, or nil.
func (h *Host) unwitnessed(id string) *Job {
	if j := h.witnesses.byID[id]; j != nil && !j.settled {
		return &j.job
	}
	return nil
}

// noteOwnResult notes how a job of this host's callers has ended. Unless it was lost, its callers
// don't submit it again because of this answer.
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
		case h.pool.jobs[id] != nil || w.byID[id] != nil:
			w.known[id] = time.Time{}
		case until.IsZero():
			w.known[id] = now.Add(outcomeDelay)
		case !now.Before(until):
			delete(w.known, id)
			w.ended[id] = true
		}
	}
	if w.session == 0 {
		clear(w.ended)
	}
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
		w.ended[job] = true
	}
	list := slices.Sorted(maps.Keys(w.ended))
	list = list[:min(len(list), maxNamedJobs)]
	for _, job := range list {
		delete(w.ended, job)
	}
	return list
}
