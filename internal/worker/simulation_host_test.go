package worker_test

import (
	"fmt"
	"slices"
	"time"

	"guavayoke/internal/worker"
)

// Hosts of the simulation: their sessions, commands and polls.

// boot starts a new process of the host, with a new incarnation.
func (h *simHost) boot() {
	w := h.w
	h.generation++
	h.alive = true
	h.leavingSince, h.bootedAt, h.cancels = time.Time{}, w.now, map[uint64]func(worker.CancelOutcome){}
	h.incarnation = fmt.Sprintf("%014d-%03d", w.now.UnixMicro()-simStartUnix*1_000_000, h.index)
	h.streams, h.sessions, h.waiting = map[string]*simStream{}, map[worker.SessionID]*simStream{}, map[worker.WaiterID]*simAttempt{}
	h.newPaths = map[worker.PathDial]*simStream{}
	h.loop = nil
	if w.faults.Lanes {
		h.loop = &simLoop{mailbox: worker.NewMailbox()}
	}
	tokens := worker.NewTokenGenerator(h.address)
	h.host = worker.NewHost(worker.HostConfig{
		Self:      worker.Candidate{Incarnation: h.incarnation, Address: h.address, FailureDomain: h.domain},
		NextToken: func(now time.Time, refused uint64) uint64 { return tokens.Next(now, refused) },
		Log:       w.log, Now: w.now,
	})
	gen := h.generation
	w.tracef("host%d boots as %s", h.index, h.incarnation)
	w.after(time.Duration(w.rand.IntN(300))*time.Millisecond, func() { h.tick(gen) })
	w.after(500*time.Millisecond, w.updateMembers)
	w.after(100*time.Millisecond, func() { h.listServers(gen) })
}

// do passes an event to the host, in a lane of its loop if it has one. It delays the event
// while the host is frozen and drops it if the process of generation gen has ended.
func (h *simHost) do(l simLane, gen int, f func(*worker.Host, time.Time)) {
	if !h.alive || h.generation != gen {
		return
	}
	if h.w.now.Before(h.frozenUntil) {
		h.w.after(h.frozenUntil.Sub(h.w.now), func() { h.do(l, gen, f) })
		return
	}
	if h.loop != nil {
		h.loop.lanes[l] = append(h.loop.lanes[l], f)
		h.wakeLoop(gen)
		return
	}
	for _, a := range h.host.HandleEvent(h.w.now, f) {
		h.perform(a)
	}
}

func (h *simHost) tick(gen int) {
	if !h.alive || h.generation != gen {
		return
	}
	h.do(simTick, gen, func(x *worker.Host, now time.Time) { h.tickHost(x, now) })
	h.w.after(simTickInterval, func() { h.tick(gen) })
}

// listServers delivers the platform's list of servers to the host from time to time.
func (h *simHost) listServers(gen int) {
	if !h.alive || h.generation != gen {
		return
	}
	var list []worker.Server
	for _, s := range h.w.servers {
		if s.Info.FailureDomain == h.domain && !s.removed {
			info := s.Info
			info.Leaving, info.StartedAtMs = s.leaving, s.StartedAt().UnixMilli()
			list = append(list, info)
		}
	}
	h.do(simWork, gen, func(x *worker.Host, now time.Time) { x.Pool().SetServers(now, list) })
	h.w.after(700*time.Millisecond, func() { h.listServers(gen) })
}

// updateMembers tells all hosts which other hosts are up. It is called some time after
// each change, as the failure detector of a real host is late too.
func (w *simulation) updateMembers() {
	for _, h := range w.hosts {
		var list []worker.Candidate
		for _, o := range w.hosts {
			if o != h && o.alive {
				list = append(list, worker.Candidate{Incarnation: o.incarnation, Address: o.address, FailureDomain: o.domain})
			}
		}
		h.do(simControl, h.generation, func(x *worker.Host, now time.Time) { x.Entry().SetMembers(now, list) })
	}
}

func (h *simHost) perform(a worker.HostAction) {
	w := h.w
	gen := h.generation
	if w.now.Before(h.frozenUntil) {
		w.after(h.frozenUntil.Sub(w.now), func() {
			if h.alive && h.generation == gen {
				h.perform(a)
			}
		})
		return
	}
	if w.stalls(h, a) {
		h.perform(a)
		return
	}
	switch {
	case a.Start != nil:
		cmd := a.Start
		w.jobOf(cmd.Command.RunKey).unresolvedFrom = w.now
		w.checkCancelled(h, w.jobOf(cmd.Command.RunKey), cmd.Command.RunKey)
		h.sendCommand(cmd.Server.ID, func(s *simServer) worker.Reply {
			r := s.Start(w.now, cmd.Command)
			if r.Verdict == worker.Accepted {
				w.tracef("%s starts %v for host%d, token %d", cmd.Server.ID, cmd.Command.RunKey, h.index, cmd.Command.Token)
			}
			w.scheduleNextEnd(s)
			return r
		}, func(x *worker.Host, now time.Time, r worker.Reply) {
			x.Pool().HandleStartReply(now, cmd.Server.ID, cmd.Command.Token, cmd.Command.RunKey, r)
		})
	case a.Stop != nil:
		cmd := a.Stop
		h.sendCommand(cmd.Server.ID, func(s *simServer) worker.Reply {
			r := s.Stop(w.now, cmd.Command)
			w.tracef("%s replies to a stop of %v by host%d: %v", cmd.Server.ID, cmd.Command.RunKey, h.index, r.Verdict)
			w.scheduleNextEnd(s)
			return r
		}, func(x *worker.Host, now time.Time, r worker.Reply) {
			x.Pool().HandleStopReply(now, cmd.Server.ID, cmd.Command.Token, cmd.Command.RunKey, r)
		})
	case a.Poll != nil:
		h.sendPoll(a.Poll)
	case a.Open != nil:
		c := *a.Open
		w.after(3*linkDelay, func() { h.open(gen, c) })
	case a.Dial != nil:
		d := *a.Dial
		w.after(3*linkDelay, func() { h.openPath(gen, d) })
	case a.Adopt != nil:
		h.adoptPath(*a.Adopt)
	case a.CloseTo != "":
		w.ownerLost(h, a.CloseTo)
		h.closeNewPaths(a.CloseTo)
		if st := h.streams[a.CloseTo]; st != nil {
			delete(h.streams, a.CloseTo)
			st.disconnect(0)
		}
	case a.SendTo != nil:
		if st := h.streams[a.SendTo.To]; st != nil {
			st.sendToOwner(a.SendTo.Message)
		} else if m := a.SendTo; h.loop != nil && m.Message.Submit != nil {
			h.do(simFollowUp, gen, func(x *worker.Host, now time.Time) {
				x.Entry().HandleNotSent(now, m.To, m.Message.Submit.ID, "SessionBroke")
			})
		}
	case a.Reply != nil:
		if st := h.sessions[a.Reply.Session]; st != nil {
			st.sendToEntry(a.Reply.Message)
		}
	case a.CloseSession != 0:
		if st := h.sessions[a.CloseSession]; st != nil {
			delete(h.sessions, a.CloseSession)
			st.disconnect(1)
		}
		h.dropSubmissions(a.CloseSession)
	case a.Enqueue != nil:
		h.enqueueLocal(gen, *a.Enqueue)
	case a.Withdraw != "":
		if h.loop != nil {
			h.loop.mailbox.Withdraw(0, 0, a.Withdraw)
		}
	case a.Answer != nil:
		if at := h.waiting[a.Answer.Waiter]; at != nil {
			delete(h.waiting, a.Answer.Waiter)
			w.answered(at, a.Answer.Result)
		}
	case a.CancelAnswer != nil:
		if f := h.cancels[a.CancelAnswer.Number]; f != nil {
			delete(h.cancels, a.CancelAnswer.Number)
			f(a.CancelAnswer.Outcome)
		}
	}
}

// partitioned reports whether two hosts can't reach each other at this time.
func (w *simulation) partitioned(a, b *simHost) bool {
	return w.now.Before(w.partitionEnd(a, b))
}

// partitionEnd returns the time at which the last partition between two hosts ends.
func (w *simulation) partitionEnd(a, b *simHost) time.Time {
	return w.hostCuts[[2]int{min(a.index, b.index), max(a.index, b.index)}]
}

// deliver runs f, which delivers a message, after all earlier messages in the same
// direction. A partition delays the message until it ends.
func (st *simStream) deliver(direction int, f func()) {
	w := st.from.w
	at := w.now.Add(linkDelay + time.Duration(w.rand.IntN(300))*time.Microsecond)
	if w.partitioned(st.from, st.to) {
		at = w.partitionEnd(st.from, st.to).Add(linkDelay)
	}
	if w.now.Before(st.slowUntil) {
		at = at.Add(time.Duration(w.rand.Int64N(int64(st.slowBy))))
	}
	if at.Before(st.lastDelivery[direction]) {
		at = st.lastDelivery[direction]
	}
	st.lastDelivery[direction] = at
	w.after(at.Sub(w.now), func() {
		if st.delivers(direction) {
			f()
		}
	})
}

// open opens a session with a candidate, or reports after 100 ms that it can't be
// reached.
func (h *simHost) open(gen int, c worker.Candidate) {
	w := h.w
	for _, o := range w.hosts {
		if o.address != c.Address || w.partitioned(h, o) || !o.alive || w.now.Before(o.frozenUntil) {
			continue
		}
		if o.incarnation != c.Incarnation {
			break
		}
		st := h.newStream(gen, o)
		h.do(simLiveness, gen, func(x *worker.Host, now time.Time) {
			if wanted := x.Entry().HandleSessionOpened(now, c.Incarnation); h.loop != nil && (!wanted || st.broken) {
				st.disconnect(0)
				return
			}
			h.streams[c.Incarnation] = st
		})
		return
	}
	w.after(100*time.Millisecond, func() {
		h.do(simWork, gen, func(x *worker.Host, now time.Time) { x.Entry().HandleSessionClosed(now, c.Incarnation, "Unreachable") })
	})
}

// sendCommand executes a command at a server and delivers the reply to handleReply, with
// the delays and losses of w.faults. After commandTimeout without a reply it delivers an
// empty one.
func (h *simHost) sendCommand(id string, execute func(*simServer) worker.Reply, handleReply func(*worker.Host, time.Time, worker.Reply)) {
	w := h.w
	gen := h.generation
	s := w.server(id)
	answered := false
	answer := func(r worker.Reply) {
		if !answered {
			answered = true
			h.do(simWork, gen, func(x *worker.Host, now time.Time) { handleReply(x, now, r) })
		}
	}
	reach := func() bool {
		return s.reaches(w.now, h.index)
	}
	w.after(commandTimeout, func() { answer(worker.Reply{}) })
	if s.refuses(w.now, h.index) {
		w.after(2*linkDelay, func() { answer(worker.Reply{Verdict: worker.ConnectionRefused}) })
		return
	}
	late := w.rand.Float64() < w.faults.Late
	lost := w.rand.Float64() < w.faults.Lost
	delay := w.delay()
	if late {
		delay = w.lateness()
		w.dieAfterLateStart(h, s, delay)
	}
	var expectedStart time.Time
	if s != nil {
		expectedStart = s.StartedAt()
	}
	closed := func() {
		if s.refuses(w.now, h.index) {
			w.after(linkDelay, func() { answer(worker.Reply{Verdict: worker.ConnectionClosed}) })
		}
	}
	w.after(delay, func() {
		// A late command has left its connection behind.
		if !reach() && (!late || s == nil || s.removed || w.now.Before(s.downUntil)) {
			closed()
			return
		}
		r := worker.Reply{Verdict: worker.WrongIncarnation}
		if (w.faults.IDAlone || s.StartedAt().Equal(expectedStart)) && s.Info.ID == id {
			r = execute(s)
		}
		w.check()
		if !late && !lost {
			w.after(w.delay(), func() {
				if !reach() {
					closed()
					return
				}
				answer(r)
			})
		}
	})
}

// delay returns the latency of a command or of a reply. One in ten is so long that
// others overtake it, unless the simulation is steady.
func (w *simulation) delay() time.Duration {
	if w.faults.Steady || w.rand.IntN(10) > 0 {
		return linkDelay
	}
	return linkDelay + time.Duration(w.rand.IntN(60))*time.Millisecond
}

func (h *simHost) sendPoll(poll *worker.ServerPoll) {
	w := h.w
	w.polls++
	sent := w.now
	gen := h.generation
	s := w.server(poll.Server.ID)
	answered := false
	answer := func(r worker.Reply) {
		if !answered {
			answered = true
			h.do(simWork, gen, func(x *worker.Host, now time.Time) {
				x.Pool().HandlePollReply(now, poll.Server.ID, poll.Command.Token, poll.Immediate, sent, r)
			})
		}
	}
	reach := func() bool {
		return s.reaches(w.now, h.index)
	}
	w.after(poll.Command.Wait+pollTimeout, func() { answer(worker.Reply{}) })
	if w.latePoll(s, poll) {
		return
	}
	if s.refuses(w.now, h.index) {
		w.after(2*linkDelay, func() { answer(worker.Reply{Verdict: worker.ConnectionRefused}) })
		return
	}
	lost := w.rand.Float64() < w.faults.Lost
	closed := func() {
		if s.refuses(w.now, h.index) {
			w.after(linkDelay, func() { answer(worker.Reply{Verdict: worker.ConnectionClosed}) })
		}
	}
	w.after(w.delay(), func() {
		if !reach() {
			closed()
			return
		}
		if s.Info.ID != poll.Server.ID {
			answer(worker.Reply{Verdict: worker.WrongIncarnation})
			return
		}
		r := s.Poll(w.now, poll.Command)
		w.check()
		send := func(r worker.Reply) {
			if lost {
				return
			}
			w.after(w.delay(), func() {
				if !reach() {
					closed()
					return
				}
				answer(r)
			})
		}
		if r.Verdict != worker.Accepted || poll.Command.Wait == 0 || len(r.EndedRuns) > 0 {
			send(r)
			return
		}
		waiting := &simPoll{reply: send, broken: func() { answer(worker.Reply{Verdict: worker.ConnectionClosed}) }, lastSeen: poll.Command.LastSeen, host: h.index}
		s.waitingPolls = append(s.waitingPolls, waiting)
		w.after(poll.Command.Wait, func() { w.answerPoll(s, waiting) })
	})
}

// answerPoll answers a waiting poll unless that was done before.
func (w *simulation) answerPoll(s *simServer, poll *simPoll) {
	if poll.done {
		return
	}
	poll.done = true
	s.waitingPolls = slices.DeleteFunc(s.waitingPolls, func(o *simPoll) bool { return o == poll })
	poll.reply(s.PollReply(w.now))
}

// scheduleNextEnd answers the waiting polls of a server when its next run ends.
func (w *simulation) scheduleNextEnd(s *simServer) {
	next := s.NextEnd()
	if next.IsZero() || !s.nextCheck.IsZero() && !next.Before(s.nextCheck) {
		return
	}
	s.nextCheck = next
	w.after(next.Sub(w.now), func() {
		if s.nextCheck.Equal(w.now) {
			s.nextCheck = time.Time{}
		}
		s.Advance(w.now)
		w.wakePolls(s)
		w.scheduleNextEnd(s)
	})
}

// wakePolls answers the waiting polls of a server that have ended runs to report.
func (w *simulation) wakePolls(s *simServer) {
	for _, poll := range slices.Clone(s.waitingPolls) {
		if s.HasEndsAfter(poll.lastSeen) {
			w.answerPoll(s, poll)
		}
	}
}
