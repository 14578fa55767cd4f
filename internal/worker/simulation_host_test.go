package worker_test

import (
	"fmt"
	"slices"
	"time"

	"guavayoke/internal/worker"
)

// Hosts of the world: their sessions, orders and holds.

func (h *simHost) boot() {
	w := h.w
	h.generation++
	h.alive = true
	h.leavingSince = time.Time{}
	h.incarnation = fmt.Sprintf("%014d-%03d", w.now.UnixMicro()-simStart*1_000_000, h.index)
	h.streams, h.sessions, h.waiting = map[string]*simStream{}, map[worker.SessionID]*simStream{}, map[worker.WaiterID]*simAttempt{}
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

// do runs an event on the host, later if it is frozen, never if it has died.
func (h *simHost) do(gen int, f func(*worker.Host, time.Time)) {
	if !h.alive || h.generation != gen {
		return
	}
	if h.w.now.Before(h.frozenUntil) {
		h.w.after(h.frozenUntil.Sub(h.w.now), func() { h.do(gen, f) })
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
	h.do(gen, func(x *worker.Host, now time.Time) { x.Tick(now) })
	h.w.after(simTick, func() { h.tick(gen) })
}

func (h *simHost) listServers(gen int) {
	if !h.alive || h.generation != gen {
		return
	}
	var list []worker.Server
	for _, s := range h.w.servers {
		if s.Info.FailureDomain == h.domain && !s.removed {
			info := s.Info
			info.Leaving = s.leaving
			list = append(list, info)
		}
	}
	h.do(gen, func(x *worker.Host, now time.Time) { x.Pool().SetServers(now, list) })
	h.w.after(700*time.Millisecond, func() { h.listServers(gen) })
}

// updateMembers tells all hosts who is up; members hear of a change late.
func (w *simulation) updateMembers() {
	for _, h := range w.hosts {
		var list []worker.Candidate
		for _, o := range w.hosts {
			if o != h && o.alive {
				list = append(list, worker.Candidate{Incarnation: o.incarnation, Address: o.address, FailureDomain: o.domain})
			}
		}
		h.do(h.generation, func(x *worker.Host, now time.Time) { x.Entry().SetMembers(now, list) })
	}
}

func (h *simHost) perform(a worker.HostAction) {
	w := h.w
	gen := h.generation
	switch {
	case a.Start != nil:
		o := a.Start
		h.sendCommand(o.Server.ID, false, func(s *simServer) worker.Reply {
			r := s.Start(w.now, o.Command)
			if r.Verdict == worker.Accepted {
				w.tracef("%s starts %v for host%d fence %d", o.Server.ID, o.Command.RunKey, h.index, o.Command.Token)
			}
			w.scheduleNextEnd(s)
			return r
		}, func(x *worker.Host, now time.Time, r worker.Reply) {
			x.Pool().HandleStartReply(now, o.Server.ID, o.Command.Token, o.Command.RunKey, r)
		})
	case a.Stop != nil:
		o := a.Stop
		h.sendCommand(o.Server.ID, false, func(s *simServer) worker.Reply {
			r := s.Stop(w.now, o.Command)
			w.tracef("%s stop %v by host%d: %v", o.Server.ID, o.Command.RunKey, h.index, r.Verdict)
			w.scheduleNextEnd(s)
			return r
		}, func(x *worker.Host, now time.Time, r worker.Reply) {
			x.Pool().HandleStopReply(now, o.Server.ID, o.Command.Token, o.Command.RunKey, r)
		})
	case a.Poll != nil:
		h.sendPoll(a.Poll)
	case a.Open != nil:
		c := *a.Open
		w.after(3*linkDelay, func() { h.open(gen, c) })
	case a.CloseTo != "":
		if st := h.streams[a.CloseTo]; st != nil {
			delete(h.streams, a.CloseTo)
			st.disconnect()
		}
	case a.SendTo != nil:
		if st := h.streams[a.SendTo.To]; st != nil {
			m := a.SendTo.Message
			st.deliver(0, func() {
				st.to.do(st.toGeneration, func(x *worker.Host, now time.Time) { x.HandleEntryMessage(now, st.session, m) })
			})
		}
	case a.Reply != nil:
		if st := h.sessions[a.Reply.Session]; st != nil {
			m := a.Reply.Message
			owner := h.incarnation
			st.deliver(1, func() {
				st.from.do(st.fromGeneration, func(x *worker.Host, now time.Time) { x.HandleOwnerMessage(now, owner, m) })
			})
		}
	case a.CloseSession != 0:
		if st := h.sessions[a.CloseSession]; st != nil {
			delete(h.sessions, a.CloseSession)
			st.disconnect()
		}
	case a.Answer != nil:
		if at := h.waiting[a.Answer.Waiter]; at != nil {
			delete(h.waiting, a.Answer.Waiter)
			w.answered(at, a.Answer.Result)
		}
	}
}

// partitioned reports whether two hosts can't reach each other.
func (w *simulation) partitioned(a, b *simHost) bool {
	return w.now.Before(w.partitionEnd(a, b))
}

func (w *simulation) partitionEnd(a, b *simHost) time.Time {
	return w.hostCuts[[2]int{min(a.index, b.index), max(a.index, b.index)}]
}

// deliver delivers a message in order; in a cut it is held up.
func (st *simStream) deliver(direction int, f func()) {
	w := st.from.w
	at := w.now.Add(linkDelay + time.Duration(w.rand.IntN(300))*time.Microsecond)
	if w.partitioned(st.from, st.to) {
		at = w.partitionEnd(st.from, st.to).Add(linkDelay)
	}
	if at.Before(st.lastDelivery[direction]) {
		at = st.lastDelivery[direction]
	}
	st.lastDelivery[direction] = at
	w.after(at.Sub(w.now), func() {
		if !st.broken {
			f()
		}
	})
}

// disconnect ends a stream; the other side hears of it unless a cut hides it.
func (st *simStream) disconnect() {
	if st.broken {
		return
	}
	st.broken = true
	w := st.from.w
	delay := linkDelay
	if w.partitioned(st.from, st.to) {
		delay = w.partitionEnd(st.from, st.to).Sub(w.now) + linkDelay
	}
	w.after(delay, func() {
		toGeneration, fromGeneration := st.toGeneration, st.fromGeneration
		st.to.do(toGeneration, func(x *worker.Host, now time.Time) { x.HandleIncomingSessionClosed(now, st.session) })
		st.from.do(fromGeneration, func(x *worker.Host, now time.Time) {
			if st.from.streams[st.ownerIncarnation] == st {
				delete(st.from.streams, st.ownerIncarnation)
				x.Entry().HandleSessionClosed(now, st.ownerIncarnation, "SessionBroke")
			}
		})
	})
}

func (h *simHost) open(gen int, c worker.Candidate) {
	w := h.w
	for _, o := range w.hosts {
		if o.address != c.Address || w.partitioned(h, o) || !o.alive || w.now.Before(o.frozenUntil) {
			continue
		}
		if o.incarnation != c.Incarnation {
			break
		}
		st := &simStream{from: h, to: o, fromGeneration: gen, toGeneration: o.generation, ownerIncarnation: c.Incarnation}
		o.do(o.generation, func(x *worker.Host, now time.Time) {
			st.session = x.OpenSession(now, h.incarnation)
			o.sessions[st.session] = st
		})
		h.do(gen, func(x *worker.Host, now time.Time) {
			h.streams[c.Incarnation] = st
			x.Entry().HandleSessionOpened(now, c.Incarnation)
		})
		return
	}
	w.after(100*time.Millisecond, func() {
		h.do(gen, func(x *worker.Host, now time.Time) { x.Entry().HandleSessionClosed(now, c.Incarnation, "Unreachable") })
	})
}

// sendCommand carries a command to a server and its answer back, with faults.
func (h *simHost) sendCommand(id string, holds bool, act func(*simServer) worker.Reply, back func(*worker.Host, time.Time, worker.Reply)) {
	w := h.w
	gen := h.generation
	s := w.server(id)
	answered := false
	answer := func(r worker.Reply) {
		if !answered {
			answered = true
			h.do(gen, func(x *worker.Host, now time.Time) { back(x, now, r) })
		}
	}
	reach := func() bool {
		return s != nil && !s.removed && !w.now.Before(s.downUntil) && !w.now.Before(s.cutUntil[h.index])
	}
	w.after(commandTimeout, func() { answer(worker.Reply{}) })
	late := w.rand.Float64() < w.faults.Late
	lost := w.rand.Float64() < w.faults.Lost
	delay := w.delay()
	if late && !holds {
		delay = 2*time.Second + time.Duration(w.rand.IntN(10000))*time.Millisecond
	}
	var meant time.Time
	if s != nil {
		meant = s.StartedAt()
	}
	w.after(delay, func() {
		if !reach() {
			return
		}
		r := worker.Reply{Verdict: worker.WrongIncarnation}
		if s.StartedAt().Equal(meant) {
			r = act(s)
		}
		w.check()
		if !late && !lost {
			w.after(w.delay(), func() {
				if reach() {
					answer(r)
				}
			})
		}
	})
}

// delay is how long an order or its answer takes: now and then so long that
// others overtake it.
func (w *simulation) delay() time.Duration {
	if w.faults.Steady || w.rand.IntN(10) > 0 {
		return linkDelay
	}
	return linkDelay + time.Duration(w.rand.IntN(60))*time.Millisecond
}

func (h *simHost) sendPoll(o *worker.ServerPoll) {
	w := h.w
	sent := w.now
	gen := h.generation
	s := w.server(o.Server.ID)
	answered := false
	answer := func(r worker.Reply) {
		if !answered {
			answered = true
			h.do(gen, func(x *worker.Host, now time.Time) {
				x.Pool().HandlePollReply(now, o.Server.ID, o.Command.Token, o.Immediate, sent, r)
			})
		}
	}
	reach := func() bool {
		return s != nil && !s.removed && !w.now.Before(s.downUntil) && !w.now.Before(s.cutUntil[h.index])
	}
	w.after(o.Command.Wait+pollTimeout, func() { answer(worker.Reply{}) })
	lost := w.rand.Float64() < w.faults.Lost
	w.after(w.delay(), func() {
		if !reach() {
			return
		}
		r := s.Poll(w.now, o.Command)
		w.check()
		send := func(r worker.Reply) {
			if lost {
				return
			}
			w.after(w.delay(), func() {
				if reach() {
					answer(r)
				}
			})
		}
		if r.Verdict != worker.Accepted || o.Command.Wait == 0 || len(r.EndedRuns) > 0 {
			send(r)
			return
		}
		wait := &simPoll{reply: send, seen: o.Command.LastSeen}
		s.waitingPolls = append(s.waitingPolls, wait)
		w.after(o.Command.Wait, func() { w.answerPoll(s, wait) })
	})
}

func (w *simulation) answerPoll(s *simServer, h *simPoll) {
	if h.done {
		return
	}
	h.done = true
	s.waitingPolls = slices.DeleteFunc(s.waitingPolls, func(o *simPoll) bool { return o == h })
	h.reply(s.PollReply(w.now))
}

// scheduleNextEnd wakes a server's holds when its next run ends.
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

// wakePolls answers the holds that wait for an end, and notes what is done.
func (w *simulation) wakePolls(s *simServer) {
	for _, h := range slices.Clone(s.waitingPolls) {
		if s.HasEndsAfter(h.seen) {
			w.answerPoll(s, h)
		}
	}
}
