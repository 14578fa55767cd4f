package worker

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// How a pool sends commands to backend servers and applies their replies. The
// rules cited here are those of server.go.

// maxRunNumber is the highest run number, which every JSON decoder can read. No task has that
// many runs, but any program may send a server a run of a task with any number.
const maxRunNumber = 1<<53 - 1

func taskName(id string, step, index int) string {
	return id + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// acquireServers begins to acquire the servers that are not owned, except the
// excluded ones (rules 1 and 2).
func (p *Pool) acquireServers(now time.Time) {
	if !p.owner || p.draining {
		return
	}
	for _, s := range p.orderedServers {
		if s.state == stateNotOwned && s.listed && !p.excluded[s.ID] && !now.Before(s.nextPollAt) {
			p.acquire(now, s, 0)
		}
	}
}

// acquire begins to acquire a server with a new token. refused is the token that
// the server refused, or 0 if it refused none.
func (p *Pool) acquire(now time.Time, s *server, refused uint64) {
	p.fleet.serverChanged(s)
	if s.state == stateNotOwned {
		s.predecessorUntil = now.Add(maxCommandDelay)
	}
	s.state = stateAcquiring
	s.token = p.cfg.NextToken(now, refused)
	s.lastSeen, s.startedAtMs, s.clock, s.clockReadAt = 0, 0, 0, time.Time{}
	s.polling, s.immediatePolling = false, false
	p.sendPoll(now, s)
}

// sendPoll sends the next long poll, unless one is in flight or the backoff after a
// failed one has not passed.
func (p *Pool) sendPoll(now time.Time, s *server) {
	if s.polling || s.state == stateNotOwned || now.Before(s.nextPollAt) {
		return
	}
	s.polling = true
	command := s.nextPoll(now)
	s.pollSentAt = now
	p.actions = append(p.actions, Action{Poll: &ServerPoll{Server: s.Server, Command: command}})
}

// tickServer renews the lease of an owned server, repeats commands that were not
// answered, and resolves the runs whose lease has expired.
func (p *Pool) tickServer(now time.Time, s *server) {
	if s.state == stateNotOwned {
		return
	}
	if s.unresponsive && len(s.runs) > 0 && now.After(s.leaseUntil) {
		p.expireLease(now, s)
	}
	for _, r := range s.sortedRuns() {
		if !r.confirmed && !s.unresponsive && !now.Before(r.listDueAt()) {
			r.listRequestedAt = now
			p.sendImmediatePoll(now, s)
		}
		if !r.stopRequestedAt.IsZero() {
			p.requestStop(now, s, r)
		}
	}
	p.sendPoll(now, s)
	if (s.awaitsOldPoll() || s.awaitsLateStart(now)) && !now.Before(s.nextPollAt) {
		p.sendImmediatePoll(now, s)
	}
	if s.state == stateReady && len(s.runs) > 0 && now.Sub(s.extendedAt) >= leaseRenewInterval && s.mayRenewLease(now) {
		p.sendImmediatePoll(now, s)
	}
}

// keepExpired notes the runs that the expiry of the lease is about to resolve, since
// the server may list their ends later (rule 8).
func (s *server) keepExpired(now time.Time) {
	if s.expired == nil {
		s.expired = map[RunKey]*run{}
	}
	s.expiredAt = now
	for k, r := range s.runs {
		if r.task != nil {
			s.expired[k] = r
		}
	}
}

// runningTasks returns the names of the tasks of the tracked runs.
func (s *server) runningTasks() []string {
	var names []string
	for _, r := range s.sortedRuns() {
		names = append(names, r.Task)
	}
	return names
}

func (s *server) sortedRuns() []*run {
	if len(s.runs) == 0 {
		return nil
	}
	list := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
	return list
}

// requestStop sends a stop command for a run. tickServer calls it again until the
// run is gone, because commands can get lost; requestStop limits how often the
// command is sent.
func (p *Pool) requestStop(now time.Time, s *server, r *run) {
	if r.stopRequestedAt.IsZero() {
		r.stopRequestedAt = now
		p.fleet.serverChanged(s)
	}
	if s.runs[r.RunKey] != r || !r.stopSentAt.IsZero() && now.Sub(r.stopSentAt) < stopRetryInterval {
		return
	}
	if !r.stopAckedAt.IsZero() && now.Sub(r.stopAckedAt) < stopAckTimeout {
		return // The server has acknowledged the stop and will list the run as ended.
	}
	r.stopSentAt = now
	p.actions = append(p.actions, Action{Stop: &ServerStop{s.Server, StopCommand{r.RunKey, s.token}}})
}

// start starts a task on a server.
func (p *Pool) start(now time.Time, s *server, t *task) {
	t.lastRun++
	r := &run{
		RunKey: RunKey{t.name, t.lastRun}, need: t.job.Steps[t.step].Need, task: t, sent: now, token: s.token, startedAtMs: s.startedAtMs,
		deadline: s.deadline(now),
	}
	r.extension, r.dangerous = s.lastExtension, p.crashes.rates.dangerous(t.job.share)
	t.assignedServer, t.currentRun = s, r
	s.addRun(r)
	p.fleet.serverChanged(s)
	r.share, r.runTime = t.job.share, max(p.runTimeEstimator.runTime(&t.job.Job, t.step), minCountedRunTime).Seconds()
	p.shares.Started(r.share, r.cores(), r.runTime)
	p.addWaiting(t.job, -t.job.taskWork[t.step])
	p.trackedRuns[t.name]++
	if !t.job.started {
		t.job.started, t.job.firstStart = true, now
		p.queue.starting = append(p.queue.starting, t.job)
	}
	t.job.lastStart = now
	t.job.starts++
	p.queue.addReady(t.job, t.step, -1)
	p.sendStart(now, s, r)
}

// HandleStartReply applies the reply to a copy of a start command. id and token identify the
// server and the ownership under which the command was sent.
func (p *Pool) HandleStartReply(now time.Time, id string, token uint64, key RunKey, reply Reply) {
	outstanding := p.noteStartReply(now, id, key, reply.Verdict)
	s := p.servers[id]
	if s == nil || s.token != token {
		return
	}
	p.fleet.serverChanged(s)
	same := p.observeReply(now, s, reply)
	r := s.runs[key]
	if outstanding && (reply.Verdict == Unanswered || reply.Verdict == ConnectionClosed) {
		s.lateStartUntil = now.Add(maxCommandDelay)
	}
	if r == nil || r.confirmed || !same {
		return
	}
	switch reply.Verdict {
	case Accepted:
		r.confirmed, r.sent = true, now
	case Unanswered:
		s.setSilent(now)
	case ConnectionClosed:
		s.setUnresponsive(now)
	case ConnectionRefused:
		s.setRefused(now)
		if r.copies.sent == 1 {
			s.notDelivered(now, r.extension)
		}
		if outstanding {
			return
		}
		p.resolveRun(now, s, r, "ConnectionRefused")
	case NotSent:
		// The next poll shows which incarnation answers.
		s.setUnresponsive(now)
		if r.copies.sent == 1 {
			s.notDelivered(now, r.extension)
		}
		if outstanding {
			return
		}
		p.resolveRun(now, s, r, "StartNotSent")
	case RefusedToken:
		p.handleFenced(now, s)
	case RefusedOldRun:
		// The job was submitted before, and its runs had higher numbers than this
		// owner knows, or an earlier copy was executed and its run has ended.
		if t := r.task; t != nil && t.lastRun >= maxRunNumber/2 {
			p.abandon(now, t.job, "RunNumbersUsedUp")
		} else if t != nil && t.lastRun == r.Run {
			t.lastRun = r.Run*2 + 1
		}
		if outstanding || r.copies.listed {
			return
		}
		p.resolveRun(now, s, r, "OldRun")
	case RefusedDeadline, RefusedCapacity, RefusedOther, WrongIncarnation:
		p.cfg.Log.Warn().Str("Task", key.Task).Int("Run", key.Run).Str("Server", id).Stringer("Verdict", reply.Verdict).
			Int64("DeadlineMs", r.deadline.Milliseconds()).Int64("ClockMs", reply.Clock.Milliseconds()).Msg("StartRefused")
		if reply.Verdict != RefusedDeadline {
			s.health.refused(now)
		}
		if outstanding {
			return
		}
		p.resolveRun(now, s, r, "StartRefused")
	}
	p.place(now)
}

// observeReply records the clock of a reply. It reports false if the reply comes
// from another incarnation of the server, which it then begins to acquire (rule 7).
func (p *Pool) observeReply(now time.Time, s *server, reply Reply) bool {
	if reply.Clock == 0 || slices.Contains([]Verdict{Unanswered, ConnectionRefused, ConnectionClosed, WrongIncarnation}, reply.Verdict) {
		return true
	}
	if s.state != stateNotOwned && !s.clockReadAt.IsZero() && reply.Clock < s.clock-maxReplyDelay {
		p.cfg.Log.Warn().Str("Server", s.ID).Int64("ClockMs", reply.Clock.Milliseconds()).
			Int64("KnownClockMs", s.clock.Milliseconds()).Msg("ServerRestarted")
		p.acquire(now, s, 0)
		return false
	}
	s.updateClock(now, reply.Clock)
	return true
}

// HandleStopReply applies the reply to a stop command.
func (p *Pool) HandleStopReply(now time.Time, id string, token uint64, key RunKey, reply Reply) {
	s := p.servers[id]
	if s == nil || s.token != token {
		return
	}
	p.fleet.serverChanged(s)
	if !p.observeReply(now, s, reply) {
		return
	}
	r := s.runs[key]
	if r == nil {
		return
	}
	switch reply.Verdict {
	case Accepted:
		r.stopAckedAt = now
		if s.polling {
			// The long poll is answered once the end of the run is listed. A run that
			// never started has no end, so it takes another poll to resolve it.
			p.sendImmediatePoll(now, s)
		}
	case RefusedToken:
		p.handleFenced(now, s)
	case ConnectionRefused:
		s.setRefused(now)
	case Unanswered:
		s.setSilent(now)
	default:
		s.setUnresponsive(now)
	}
}

// sendImmediatePoll sends a poll without a wait, in addition to a long poll that
// may be in flight, unless there is such a poll already.
func (p *Pool) sendImmediatePoll(now time.Time, s *server) {
	if s.immediatePolling {
		return
	}
	s.immediatePolling, s.immediateExtension = true, 0
	command := PollCommand{Token: s.token, LastSeen: s.lastSeen}
	if s.state == stateReady && s.mayRenewLease(now) && len(s.runs) > 0 {
		command.Deadline = s.deadline(now)
		s.immediateExtension = s.lastExtension
	}
	p.actions = append(p.actions, Action{Poll: &ServerPoll{Server: s.Server, Command: command, Immediate: true}})
}

// HandlePollReply applies the reply to a poll command that was sent at sent.
func (p *Pool) HandlePollReply(now time.Time, id string, token uint64, immediate bool, sent time.Time, reply Reply) {
	s := p.servers[id]
	if s == nil || s.token != token || s.state == stateNotOwned {
		return
	}
	p.fleet.serverChanged(s)
	extension := s.pollExtension
	if immediate {
		s.immediatePolling, extension = false, s.immediateExtension
	} else {
		s.polling = false
	}
	switch reply.Verdict {
	case Accepted:
		p.applyRunLists(now, s, sent, reply)
	case RefusedToken:
		p.handleFenced(now, s)
	default:
		if !s.unresponsive {
			p.cfg.Log.Warn().Str("Server", id).Stringer("Verdict", reply.Verdict).Int("Runs", len(s.runs)).Msg("ServerUnresponsive")
		}
		switch reply.Verdict {
		case ConnectionRefused:
			s.notDelivered(now, extension)
			s.setRefused(now)
		case Unanswered:
			s.setSilent(now)
		case WrongIncarnation:
			s.setUnresponsive(now)
			s.replaced = true
			p.settleReplaced(now, s)
			p.anotherIncarnationSeen(now, s)
		}
		// The first failed poll is repeated immediately, the next ones with a backoff.
		s.setUnresponsive(now)
		longest := maxPollRetryDelay
		if s.awaitsLateStart(now) {
			longest = lateStartPollInterval
		}
		s.nextPollAt = now.Add(min(s.pollRetryDelay, longest))
		s.pollRetryDelay = min(max(2*s.pollRetryDelay, minPollRetryDelay), longest)
	}
	p.sendPoll(now, s)
	p.place(now)
	p.releaseServers()
}

// handleFenced handles the refusal of this owner's fencing token, which means that
// another owner has acquired the server (rule 1). If this owner is still acquiring
// the server, it tries again with a higher token. Otherwise it gives up the server
// and abandons the jobs that have runs there.
func (p *Pool) handleFenced(now time.Time, s *server) {
	p.cfg.Log.Warn().Str("Server", s.ID).Uint64("FencingToken", s.token).Bool("Acquiring", s.state == stateAcquiring).Msg("FencingTokenRefused")
	if s.state == stateAcquiring {
		p.acquire(now, s, s.token)
		return
	}
	for _, r := range s.sortedRuns() {
		if r.task != nil {
			p.abandon(now, r.task.job, "ServerTaken")
		}
	}
	p.expireRuns(now, s, "ServerTaken")
	p.reset(s)
	s.nextPollAt = now.Add(maxPollRetryDelay)
	p.actions = append(p.actions, Action{Fenced: true})
}
