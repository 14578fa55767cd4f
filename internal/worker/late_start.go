package worker

import (
	"maps"
	"slices"
	"time"
)

// Start commands that got no reply, and that a later incarnation of their server may execute
// (server.go, rule 9).

const (
	// maxCommandDelay is how long after it was sent a command that got no reply may still
	// be executed.
	maxCommandDelay = 12 * time.Second
	// maxLateLease is the longest lease that a server grants. The deadline of a command for
	// its predecessor may lie far ahead on its clock.
	maxLateLease = time.Second
	// lateStartTimeout is how long after a copy of its start command was decided on a run may be
	// in progress that was neither accepted nor listed. A copy may wait in its command queue for
	// up to leaseDuration.
	lateStartTimeout = leaseDuration + (maxCommandDelay+maxLateLease)*100/(100-maxClockDriftPercent)
	// lateStartPollInterval is the longest wait of a poll, and the longest delay after a
	// failed one, for a server whose next incarnation may execute a late start command.
	lateStartPollInterval = 100 * time.Millisecond
	// maxStartCopies is the number of copies of a start command that are sent, startPollDelay
	// apart, to a server that answers polls. A job waits no longer for them than for a lease.
	maxStartCopies = 6
	// reasonStartUnresolved is why a job with an unsettled start is lost.
	reasonStartUnresolved = "StartUnresolved"
)

// startCopies counts the copies of one start command.
type startCopies struct {
	sent int
	// answered is the number of copies whose reply shows that they can't be executed any
	// more, unanswered that of those that got no reply in time.
	answered, unanswered int
	// accepted is set once a reply has confirmed the run, listed once the server has listed
	// it or its end.
	accepted, listed bool
}

// outstanding returns the number of copies that may still be executed. If the server lists the
// run although no reply has confirmed it, one of them has been executed.
func (c startCopies) outstanding() int {
	n := c.sent - c.answered
	if c.listed && !c.accepted {
		n--
	}
	return max(n, 0)
}

// note counts the reply to a copy.
func (c *startCopies) note(v Verdict) {
	switch v {
	case Unanswered, ConnectionClosed:
		c.unanswered++
	default:
		c.answered++
		c.accepted = c.accepted || v == Accepted
	}
}

// unsettledStart is a start command with outstanding copies whose run is not tracked any more.
type unsettledStart struct {
	key RunKey
	// server and address are the ID of the server and where the command was sent to.
	server, address string
	// startedAtMs is the incarnation of the server that the command was sent to.
	startedAtMs int64
	copies      startCopies
	// until is when the last copy can't be executed any more.
	until time.Time
}

// repeatStart repeats the start command of a run that the server doesn't list, or ends its job
// if the server has left too many copies unanswered, leaves, or has shrunk.
func (p *Pool) repeatStart(now time.Time, s *server, r *run) {
	switch {
	case r.task == nil:
		p.requestStop(now, s, r)
	case s.Leaving || r.sends >= maxStartCopies || !r.need.Fits(s.Capacity.Sub(s.used).Add(r.need)):
		p.abandon(now, r.task.job, reasonStartUnresolved)
	case s.state == stateReady && r.token == s.token && s.mayRenewLease(now) && !s.awaitsEntry():
		r.deadline = s.deadline(now)
		r.extension = s.lastExtension
		p.sendStart(now, s, r)
	}
}

// sendStart sends a copy of the start command of a run.
func (p *Pool) sendStart(now time.Time, s *server, r *run) {
	r.copies.sent++
	r.sends++
	r.copiedAt = now
	p.fleet.serverChanged(s)
	p.actions = append(p.actions, Action{Start: &ServerStart{
		s.Server,
		StartCommand{RunKey: r.RunKey, Spec: r.task.job.Spec, Deadline: r.deadline, Token: r.token},
	}})
}

// noteStartReply counts the reply to a copy of a start command and reports whether copies of it
// are outstanding.
func (p *Pool) noteStartReply(now time.Time, id string, key RunKey, v Verdict) bool {
	if s := p.servers[id]; s != nil && s.runs[key] != nil {
		r := s.runs[key]
		r.copies.note(v)
		if r.task == nil {
			p.logUnneeded(now, s, r)
		}
		return r.copies.outstanding() > 0
	}
	u := p.unsettled[key.Task]
	if u == nil || u.key != key || u.server != id {
		return false
	}
	u.copies.note(v)
	if v == Unanswered || v == ConnectionClosed {
		u.until = now.Add(lateStartTimeout)
	}
	return p.reviewUnsettled(now, u)
}

// noteStartListed notes that a server lists a run, or its end, that is not tracked any more. A run
// that another owner started on another server may have the same number.
func (p *Pool) noteStartListed(now time.Time, s *server, key RunKey) {
	if u := p.unsettled[key.Task]; u != nil && u.key == key && u.server == s.ID && u.address == s.Address {
		u.copies.listed = true
		p.reviewUnsettled(now, u)
	}
}

// logUnneeded tells other hosts of a run that no job needs any more and whose start command was
// left unanswered. The run may be tracked for almost as long as a caller waits before it submits
// the job to another owner.
func (p *Pool) logUnneeded(now time.Time, s *server, r *run) {
	if r.copies.unanswered > 0 && r.copies.outstanding() > 0 && !s.replaced {
		p.cfg.LateStarts.addTask(now, r.Task, s.FailureDomain, r.copiedAt.Add(lateStartTimeout))
	}
}

// keepUnsettled keeps the start command of a run that is tracked no longer, if copies of it are
// outstanding.
func (p *Pool) keepUnsettled(now time.Time, s *server, r *run) {
	if r.copies.outstanding() == 0 || s.replaced {
		p.cfg.LateStarts.removeTask(r.Task)
		return
	}
	u := &unsettledStart{r.RunKey, s.ID, s.Address, r.startedAtMs, r.copies, r.copiedAt.Add(lateStartTimeout)}
	p.unsettled[r.Task] = u
	p.cfg.Log.Info().Str("Task", r.Task).Int("Run", r.Run).Str("Server", s.ID).Int64("StartedAtMs", r.startedAtMs).
		Int("Copies", r.copies.sent).Int("Outstanding", r.copies.outstanding()).Msg("StartUnsettled")
	p.reviewUnsettled(now, u)
}

// reviewUnsettled forgets an unsettled start without outstanding copies. It tells other hosts
// of one that was left unanswered, and reports whether copies are outstanding.
func (p *Pool) reviewUnsettled(now time.Time, u *unsettledStart) bool {
	outstanding := u.copies.outstanding() > 0 && now.Before(u.until)
	if !outstanding {
		delete(p.unsettled, u.key.Task)
		p.cfg.LateStarts.removeTask(u.key.Task)
	} else if u.copies.unanswered > 0 {
		p.cfg.LateStarts.addTask(now, u.key.Task, p.domainOf(u.server), u.until)
	}
	return outstanding
}

// domainOf returns the failure domain of a server, empty if it isn't known any more.
func (p *Pool) domainOf(id string) string {
	if s := p.servers[id]; s != nil {
		return s.FailureDomain
	}
	return ""
}

// isUnsettled reports whether a start command for the task may still be executed.
func (p *Pool) isUnsettled(now time.Time, task string) bool {
	u := p.unsettled[task]
	return u != nil && p.reviewUnsettled(now, u)
}

// losesReturned reports whether a job that is submitted again is answered as lost at once.
func (p *Pool) losesReturned(now time.Time, in Job) bool {
	if !p.cfg.LateStarts.contains(now, in.ID) && len(p.unsettled) == 0 || in.Validate() != nil {
		return false
	}
	j := p.newJob(now, localSession, in)
	_, resumes := p.resumables(now, j)
	return p.hasUnsettled(now, j) && !resumes
}

// hasUnsettled reports whether a start command for a task of the job, by this owner or another
// one, may still be executed.
func (p *Pool) hasUnsettled(now time.Time, j *job) bool {
	if p.cfg.LateStarts.contains(now, j.ID) {
		return true
	}
	if len(p.unsettled) == 0 {
		return false
	}
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if p.isUnsettled(now, t.name) {
				return true
			}
		}
	}
	return false
}

// loseReturned ends a job as lost that was submitted again while a run of its former submission
// was tracked, if the start command of that run is unsettled. Another run of the task must not
// follow (server.go, rule 9).
func (p *Pool) loseReturned(now time.Time, task string) {
	if j := p.jobs[jobOfTask(task)]; j != nil && p.isUnsettled(now, task) {
		p.endJob(now, j, Result{Outcome: Lost, Reason: reasonStartUnresolved})
	}
}

// loseTold ends jobs as lost that wait here, if another host has just told that a start command
// for them may still be executed.
func (p *Pool) loseTold(now time.Time, records []lateStart) {
	for _, r := range records {
		if j := p.jobs[r.Job]; j != nil && !j.started && p.cfg.LateStarts.contains(now, r.Job) {
			p.endJob(now, j, Result{Outcome: Lost, Reason: reasonStartUnresolved})
		}
	}
}

// forgetUnsettled forgets the unsettled starts that can't be executed any more.
func (p *Pool) forgetUnsettled(now time.Time) {
	var over []string
	for task, u := range p.unsettled {
		if !now.Before(u.until) {
			over = append(over, task)
		}
	}
	slices.Sort(over)
	for _, task := range over {
		p.reviewUnsettled(now, p.unsettled[task])
	}
	p.cfg.LateStarts.forget(now)
}

// revokeDisputed revokes what other hosts say of start commands of this owner that can't be
// executed any more (late_start_log.go, rule 5). The revocation must outlast the records.
func (h *Host) revokeDisputed(now time.Time) {
	l := h.lateStarts
	if len(l.disputed) == 0 {
		return
	}
	mayStart := h.pool.outstandingJobs()
	for _, id := range slices.Sorted(maps.Keys(l.disputed)) {
		if !mayStart[id] && !h.HasJob(id) && !now.Add(lateStartTimeout).Before(l.disputed[id]) {
			h.cfg.Log.Info().Str("Job", id).Msg("LateStartRevoked")
			l.revoke(now, id)
		}
	}
}

// outstandingJobs returns the jobs of which a start command may still be executed.
func (p *Pool) outstandingJobs() map[string]bool {
	jobs := map[string]bool{}
	for _, s := range p.orderedServers {
		for k, r := range s.runs {
			if r.copies.outstanding() > 0 {
				jobs[jobOfTask(k.Task)] = true
			}
		}
	}
	for task := range p.unsettled {
		jobs[jobOfTask(task)] = true
	}
	return jobs
}

// settleReplaced forgets the unsettled starts on a server once another ID has taken its address,
// where late commands for this one are refused.
func (p *Pool) settleReplaced(now time.Time, s *server) {
	for _, task := range slices.Sorted(maps.Keys(p.unsettled)) {
		if u := p.unsettled[task]; u.server == s.ID && u.address == s.Address {
			u.copies.answered = u.copies.sent
			p.reviewUnsettled(now, u)
		}
	}
}

// awaitsLateStart reports whether the server doesn't answer and may have been replaced by an
// incarnation that executes a late start command until it is acquired. Which commands of an
// earlier owner were answered isn't known.
func (s *server) awaitsLateStart(now time.Time) bool {
	return s.unresponsive && !s.replaced && (now.Before(s.lateStartUntil) || now.Before(s.predecessorUntil))
}
