package worker

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// The rules cited here are those of server.go.

func taskName(id string, step, index int) string {
	return id + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// takeServers begins to take the servers that are free (rules 1 and 2).
func (p *Pool) takeServers(now time.Time) {
	if !p.owner || p.draining {
		return
	}
	for _, s := range p.order {
		if s.state == stateFree && s.listed && !p.spared[s.ID] && !now.Before(s.nextHold) {
			p.take(now, s, 0)
		}
	}
}

// take begins to take a server; refused is the token that it has refused, 0 if
// it has refused none.
func (p *Pool) take(now time.Time, s *server, refused uint64) {
	s.state = stateTaking
	s.fence = p.cfg.NextToken(now, refused)
	s.lastSeen, s.born, s.clockAt = 0, 0, time.Time{}
	s.holding, s.renewing = false, false
	p.sendHold(now, s)
}

func (p *Pool) sendHold(now time.Time, s *server) {
	if s.holding || s.state == stateFree || now.Before(s.nextHold) {
		return
	}
	s.holding = true
	order := s.hold(now)
	s.holdSent = now
	p.out = append(p.out, Action{Poll: &ServerPoll{Server: s.Server, Command: order}})
}

// tickServer renews, retries and lets lapse.
func (p *Pool) tickServer(now time.Time, s *server) {
	if s.state == stateFree {
		return
	}
	if s.silent && len(s.runs) > 0 && now.After(s.leaseUntil) {
		p.cfg.Log.Warn().Str("Server", s.ID).Int("Runs", len(s.runs)).Msg("LeaseLapsed")
		p.lapse(now, s)
	}
	for _, r := range s.sortedRuns() {
		if r.state == runStarting && r.doubted.IsZero() && now.Sub(r.sent) >= startDoubt {
			r.doubted = now
			p.sendRenewal(now, s)
		}
		if r.state == runUnknown && r.stopAsked.IsZero() && now.Sub(r.sent) > startPatience {
			p.askStop(now, s, r)
		}
		if !r.stopAsked.IsZero() {
			p.askStop(now, s, r)
		}
	}
	p.sendHold(now, s)
	if s.state == stateReady && len(s.runs) > 0 && now.Sub(s.extended) >= renewAfter && s.mayRenew(now) {
		p.sendRenewal(now, s)
	}
}

// lapse settles all runs of a server on which nothing can run any more.
func (p *Pool) lapse(now time.Time, s *server) {
	for _, r := range s.sortedRuns() {
		if s.runs[r.RunKey] == r {
			p.ended(now, s, r, RunStopped)
		}
	}
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

// askStop sends a stop, again and again until the run is gone: stops get lost.
func (p *Pool) askStop(now time.Time, s *server, r *run) {
	if r.stopAsked.IsZero() {
		r.stopAsked = now
	}
	if s.runs[r.RunKey] != r || !r.stopSent.IsZero() && now.Sub(r.stopSent) < stopRetry {
		return
	}
	if !r.stopAcked.IsZero() && now.Sub(r.stopAcked) < stopPatience {
		return // It is about to be listed as ended.
	}
	r.stopSent = now
	p.out = append(p.out, Action{Stop: &ServerStop{s.Server, StopCommand{r.RunKey, s.fence}}})
}

// start sends a task to a server.
func (p *Pool) start(now time.Time, s *server, t *task) {
	t.runs++
	r := &run{
		RunKey: RunKey{t.name, t.runs}, need: t.job.Steps[t.step].Need, task: t, sent: now, fence: s.fence, deadline: s.deadline(now),
	}
	t.on, t.at = s, r
	s.add(r)
	p.busy[t.name]++
	if !t.job.begun {
		t.job.begun, t.job.firstStart = true, now
	}
	t.job.lastStart = now
	t.job.starts++
	t.job.waiting--
	p.out = append(p.out, Action{Start: &ServerStart{
		s.Server,
		StartCommand{RunKey: r.RunKey, Spec: t.job.Spec, Deadline: r.deadline, Token: s.fence},
	}})
}

// HandleStartReply delivers the answer to a start.
func (p *Pool) HandleStartReply(now time.Time, id string, fence uint64, key RunKey, reply Reply) {
	s := p.servers[id]
	if s == nil || s.fence != fence {
		return
	}
	same := p.heard(now, s, reply)
	r := s.runs[key]
	if r == nil || r.state != runStarting {
		return
	}
	if !same {
		r.state = runUnknown
		return
	}
	switch reply.Verdict {
	case Accepted:
		r.state, r.sent = runRunning, now
	case Unanswered:
		r.state = runUnknown
		s.silent = true
	case RefusedToken:
		p.deposed(now, s)
	case RefusedOldRun:
		// An earlier submission of the job had more runs than is known here.
		if r.task != nil {
			r.task.runs = r.task.runs*2 + 1
		}
		p.ended(now, s, r, RunStopped)
	case RefusedDeadline, RefusedCapacity, RefusedOther, WrongIncarnation:
		p.cfg.Log.Warn().Str("Task", key.Task).Int("Run", key.Run).Str("Server", id).Stringer("Verdict", reply.Verdict).
			Int64("DeadlineMs", r.deadline.Milliseconds()).Int64("ClockMs", reply.Clock.Milliseconds()).Msg("StartRefused")
		if reply.Verdict != RefusedDeadline {
			s.health.refused(now)
		}
		p.ended(now, s, r, RunStopped)
	}
	p.place(now)
}

// heard notes the clock of an answer. It reports false if the answer is of
// another incarnation, which it then takes (rule 7).
func (p *Pool) heard(now time.Time, s *server, reply Reply) bool {
	if reply.Verdict == Unanswered || reply.Verdict == WrongIncarnation || reply.Clock == 0 {
		return true
	}
	if s.state != stateFree && !s.clockAt.IsZero() && reply.Clock < s.clock-answerAge {
		p.cfg.Log.Warn().Str("Server", s.ID).Int64("ClockMs", reply.Clock.Milliseconds()).
			Int64("BeforeMs", s.clock.Milliseconds()).Msg("ServerRestarted")
		p.take(now, s, 0)
		return false
	}
	s.sawClock(now, reply.Clock)
	return true
}

// HandleStopReply delivers the answer to a stop.
func (p *Pool) HandleStopReply(now time.Time, id string, fence uint64, key RunKey, reply Reply) {
	s := p.servers[id]
	if s == nil || s.fence != fence {
		return
	}
	if !p.heard(now, s, reply) {
		return
	}
	r := s.runs[key]
	if r == nil {
		return
	}
	switch reply.Verdict {
	case Accepted:
		r.stopAcked = now
		if s.holding {
			// The waiting hold answers when the end is listed; a run that never
			// started has none, so the list is asked for.
			p.sendRenewal(now, s)
		}
	case RefusedToken:
		p.deposed(now, s)
	default:
		s.silent = true
	}
}

// sendRenewal asks for the lists beside a hold that waits.
func (p *Pool) sendRenewal(now time.Time, s *server) {
	if s.renewing {
		return
	}
	s.renewing = true
	order := PollCommand{Token: s.fence, LastSeen: s.lastSeen}
	if s.state == stateReady && s.mayRenew(now) && len(s.runs) > 0 {
		order.Deadline = s.deadline(now)
	}
	p.out = append(p.out, Action{Poll: &ServerPoll{Server: s.Server, Command: order, Immediate: true}})
}

// HandlePollReply delivers the answer to a hold that was sent at a time.
func (p *Pool) HandlePollReply(now time.Time, id string, fence uint64, renewal bool, sent time.Time, reply Reply) {
	s := p.servers[id]
	if s == nil || s.fence != fence || s.state == stateFree {
		return
	}
	if renewal {
		s.renewing = false
	} else {
		s.holding = false
	}
	switch reply.Verdict {
	case Accepted:
		p.listed(now, s, sent, reply)
	case RefusedToken:
		p.deposed(now, s)
	default:
		if !s.silent {
			p.cfg.Log.Warn().Str("Server", id).Stringer("Verdict", reply.Verdict).Int("Runs", len(s.runs)).Msg("ServerSilent")
		}
		// A single lost hold is repeated at once.
		s.nextHold = now.Add(s.retry)
		s.silent = true
		s.retry = min(max(2*s.retry, holdRetryMin), holdRetryMax)
	}
	p.sendHold(now, s)
	p.place(now)
	p.release()
}

// listed takes over the lists of an answered hold (rules 3, 4 and 7).
func (p *Pool) listed(now time.Time, s *server, sent time.Time, reply Reply) {
	if s.born != 0 && reply.StartedAtMs != 0 && reply.StartedAtMs != s.born {
		p.cfg.Log.Warn().Str("Server", s.ID).Int64("Born", reply.StartedAtMs).Msg("ServerRestarted")
		p.take(now, s, 0)
		return
	}
	if reply.StartedAtMs != 0 {
		s.born = reply.StartedAtMs
	}
	if s.silent {
		p.cfg.Log.Info().Str("Server", s.ID).Msg("ServerAnswers")
	}
	s.silent, s.retry, s.nextHold = false, 0, time.Time{}
	if !p.heard(now, s, reply) {
		return
	}
	for _, e := range reply.EndedRuns {
		if e.Number <= s.lastSeen {
			continue
		}
		s.lastSeen = e.Number
		if r := s.runs[e.RunKey]; r != nil {
			p.ended(now, s, r, e.Outcome)
		}
	}
	running := map[RunKey]bool{}
	for _, k := range reply.Running {
		running[k] = true
		p.sawRunning(now, s, k, sent)
	}
	for _, r := range s.sortedRuns() {
		if r.state == runStarting && !running[r.RunKey] && !r.doubted.IsZero() && !sent.Before(r.doubted) {
			p.askStop(now, s, r)
		}
		if s.runs[r.RunKey] == r && !running[r.RunKey] && (r.fence < s.fence || r.absent(sent, reply.Clock)) {
			p.ended(now, s, r, RunStopped)
		}
	}
	if s.state == stateTaking {
		for _, r := range s.sortedRuns() {
			p.askStop(now, s, r)
		}
	}
	if s.state == stateTaking && len(s.runs) == 0 && len(reply.Running) == 0 {
		s.state = stateReady
		p.cfg.Log.Info().Str("Server", s.ID).Uint64("Fence", s.fence).Msg("ServerTaken")
	}
}

// sawRunning notes a run that the server lists.
func (p *Pool) sawRunning(now time.Time, s *server, k RunKey, sent time.Time) {
	r := s.runs[k]
	switch {
	case r == nil && (s.state == stateTaking || sent.After(s.lastEnd)):
		// Sent before the last end, the list may be older than that end.
		r = &run{RunKey: k, state: runRunning, sent: sent, fence: s.fence}
		s.add(r)
		p.busy[k.Task]++
		p.cfg.Log.Warn().Str("Server", s.ID).Str("Task", k.Task).Int("Run", k.Run).Msg("OrphanFound")
		p.askStop(now, s, r)
	case r != nil && r.state != runRunning:
		// Known from now on: a hold that was sent later but answered before this
		// one may not list the run yet.
		r.state, r.sent = runRunning, now
		if r.stopAsked.IsZero() || r.task == nil {
			return
		}
		// The start had no answer, but the run is there: it may go on, unless a
		// stop for it was sent.
		if r.stopSent.IsZero() {
			r.stopAsked = time.Time{}
		}
	}
}

// absent reports whether a run that an answer does not list is gone.
func (r *run) absent(sent time.Time, clock time.Duration) bool {
	if r.state == runRunning {
		return !sent.Before(r.sent)
	}
	return !r.stopAcked.IsZero() && !sent.Before(r.stopAcked) || clock > r.deadline
}

// deposed handles a server that another owner has taken (rule 1).
func (p *Pool) deposed(now time.Time, s *server) {
	p.cfg.Log.Warn().Str("Server", s.ID).Uint64("Fence", s.fence).Bool("Taking", s.state == stateTaking).Msg("FenceRefused")
	if s.state == stateTaking {
		p.take(now, s, s.fence)
		return
	}
	for _, r := range s.sortedRuns() {
		if r.task != nil {
			p.giveUp(now, r.task.job, "ServerTaken")
		}
	}
	p.lapse(now, s)
	s.forget()
	s.nextHold = now.Add(holdRetryMax)
	p.out = append(p.out, Action{Fenced: true})
}
