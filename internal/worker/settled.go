package worker

// Settled jobs, of which no start command is outstanding (witness.go, rule 6): on the side of the owner,
// which tells of them and announces when it starts their tasks again, and of the entry host.

import (
	"slices"
	"time"
)

// JobAnnouncement is a settled job of which an owner starts tasks again, and the session to be told.
type JobAnnouncement struct {
	Job     string
	Session SessionID
	// request is the number of the request that names it.
	request uint64
}

// announce tells the session of a settled job that tasks of it are started again (rule 6). A host
// of an earlier version takes no job for settled.
func (h *Host) announce(now time.Time, a JobAnnouncement) {
	w := &h.witnesses
	o, _ := h.sessions.find(a.Session)
	switch {
	case a.Session == localSession && len(w.known)+len(w.waiting) >= maxNamedJobs:
		h.pool.announceLater(a.Job)
	case a.Session == localSession && h.chooseWitness():
		w.wait(&unwitnessedJob{job: Job{ID: a.Job}, settled: true, since: now})
	case a.Session == localSession:
		w.known[a.Job], w.told = time.Time{}, false
		h.pool.announced(now, a.Job)
	case o == nil || !o.witness:
		h.pool.announced(now, a.Job)
	default:
		w.lastRequest++
		a.request = w.lastRequest
		h.cfg.Log.Info().Str("Job", a.Job).Uint64("Session", uint64(a.Session)).Msg("JobAnnounced")
		o.announcements = append(o.announcements, a)
		h.replyWitnessRequest(o.path, witnessRequest{Number: a.request, Jobs: []string{a.Job}})
	}
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

// settledJobs returns the jobs of a session that are settled, with the numbers of their submissions
// (rule 6).
func (h *Host) settledJobs(id SessionID) (jobs []string, submissions []uint64) {
	o, _ := h.sessions.find(id)
	if o == nil || !o.witness {
		return nil, nil
	}
	for _, job := range h.pool.takeSettled(id) {
		jobs, submissions = append(jobs, job), append(submissions, o.submissions[job])
	}
	return jobs, submissions
}

// noteSettled notes the settled jobs that an owner has named, with the submissions that they belong
// to (rule 6).
func (e *Entry) noteSettled(owner string, settled []string, submissions []uint64) {
	if len(submissions) != len(settled) {
		return
	}
	for i, id := range settled {
		if j := e.jobs[id]; j != nil && j.owner == owner && j.submission == submissions[i] {
			j.settled = true
		}
	}
}

// takeSettled returns the jobs that a session waits for alone and that have become settled (rule 6).
func (p *Pool) takeSettled(id SessionID) []string {
	var list []string
	for j := range p.queue.bySession[id] {
		if !j.settled && len(j.waiters) == 1 && len(list) < maxNamedJobs && p.isSettled(j) {
			j.settled, j.settledTo = true, id
			list = append(list, j.ID)
		}
	}
	slices.Sort(list)
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
// session is told, unless others wait for the job by now (rule 6).
func (p *Pool) mayStart(j *job) bool {
	if !j.settled {
		return true
	}
	if len(j.waiters) != 1 || j.waiters[0] != j.settledTo {
		j.settled, j.announcing = false, false
		return true
	}
	if !j.announcing {
		j.announcing = true
		p.actions = append(p.actions, Action{Announce: &JobAnnouncement{Job: j.ID, Session: j.settledTo}})
	}
	return false
}

// announced handles the acknowledgment that tasks of a settled job are started again.
func (p *Pool) announced(now time.Time, id string) {
	if j := p.jobs[id]; j != nil && j.announcing {
		j.settled, j.announcing = false, false
		p.place(now)
	}
}

// announceLater makes the pool announce a settled job once more.
func (p *Pool) announceLater(id string) {
	if j := p.jobs[id]; j != nil {
		j.announcing = false
	}
}
