package worker

import "time"

// How a job with an unsettled start is submitted again (server.go, rule 9). The same command to
// the same server can't lead to a second run beside a late copy of it. A later incarnation of
// the server knows nothing of the run, so the owner resumes the job with that command. The
// incarnation that the command was sent to has refused or ended the run; there, and where the
// command isn't known, the job is lost.

// resumable is a task whose unsettled start may be sent again.
type resumable struct {
	task   *task
	server *server
	start  *unsettledStart
}

// resumables returns the unsettled tasks of a job that is submitted again. ok is false if they
// can't be started now.
func (p *Pool) resumables(now time.Time, j *job) (list []resumable, ok bool) {
	if p.awaitsServerList(now) || p.startsForbidden(now) {
		return nil, false
	}
	for step, tasks := range j.tasks {
		for _, t := range tasks {
			if !p.isUnsettled(now, t.name) {
				continue
			}
			u := p.unsettled[t.name]
			s := p.servers[u.server]
			if !j.ready(step) || s == nil || !p.mayResume(now, s, t, u) {
				return nil, false
			}
			list = append(list, resumable{t, s, u})
		}
	}
	return list, len(list) > 0
}

// mayResume reports whether the unsettled start of a task may be sent to its server again. A
// server with the same ID at another address doesn't guard against a late copy at the former one.
func (p *Pool) mayResume(now time.Time, s *server, t *task, u *unsettledStart) bool {
	return s.accepts(now) && s.Address == u.address && p.trackedRuns[t.name] == 0 && s.startedAtMs != 0 && s.startedAtMs != u.startedAtMs && s.mayRun(t.job, t.step) &&
		t.job.Steps[t.step].Need.Fits(s.free()) && p.mayResumeBeside(s, t)
}

// mayResumeBeside reports whether a task that may have crashed a server can be started on this one,
// with what runs there (crash.go, rule 3).
func (p *Pool) mayResumeBeside(s *server, t *task) bool {
	switch p.cautionOf(t.name) {
	case cautionNone:
		return true
	case cautionAlone:
		return len(s.runs) == 0 && p.mayStartAlone()
	case cautionHeld:
	}
	return false
}

// resume starts the unsettled tasks of a job that was admitted. The job is lost if one of them
// has taken the room of another.
func (p *Pool) resume(now time.Time, j *job, list []resumable) {
	for _, x := range list {
		if !p.mayResume(now, x.server, x.task, x.start) {
			p.endJob(now, j, Result{Outcome: Lost, Reason: reasonStartUnresolved})
			return
		}
		delete(p.unsettled, x.task.name)
		x.task.lastRun = x.start.key.Run - 1
		alone := p.cautionOf(x.task.name) == cautionAlone
		p.start(now, x.server, x.task)
		if alone {
			p.reserveAlone(x.server, x.task)
		}
		r := x.task.currentRun
		r.copies.sent += x.start.copies.sent
		r.copies.answered += x.start.copies.answered
		r.copies.unanswered += x.start.copies.unanswered
		p.cfg.Log.Info().Str("Task", r.Task).Int("Run", r.Run).Str("Server", x.server.ID).Int64("StartedAtMs", r.startedAtMs).Msg("StartResumed")
	}
}
