package worker_test

import (
	"fmt"
	"slices"
	"time"

	"guavayoke/internal/worker"
)

// Hosts of the world: their sessions, orders and holds.

func (h *worldHost) boot() {
	w := h.w
	h.lives++
	h.alive = true
	h.left = time.Time{}
	h.incarnation = fmt.Sprintf("%014d-%03d", w.now.UnixMicro()-worldStart*1_000_000, h.n)
	h.streams, h.sessions, h.waiting = map[string]*worldStream{}, map[worker.SessionID]*worldStream{}, map[worker.WaiterID]*worldAttempt{}
	fencer := worker.NewTokenGenerator(h.address)
	h.host = worker.NewHost(worker.HostConfig{
		Self:      worker.Candidate{Incarnation: h.incarnation, Address: h.address, FailureDomain: h.domain},
		NextToken: func(now time.Time, refused uint64) uint64 { return fencer.Next(now, refused) },
		Log:       w.log, Now: w.now,
	})
	life := h.lives
	w.note("host%d boots as %s", h.n, h.incarnation)
	w.after(time.Duration(w.rand.IntN(300))*time.Millisecond, func() { h.tick(life) })
	w.after(500*time.Millisecond, w.tellMembers)
	w.after(100*time.Millisecond, func() { h.listServers(life) })
}

// do runs an event on the host, later if it is frozen, never if it has died.
func (h *worldHost) do(life int, f func(*worker.Host, time.Time)) {
	if !h.alive || h.lives != life {
		return
	}
	if h.w.now.Before(h.frozen) {
		h.w.after(h.frozen.Sub(h.w.now), func() { h.do(life, f) })
		return
	}
	for _, a := range h.host.HandleEvent(h.w.now, f) {
		h.carryOut(a)
	}
}

func (h *worldHost) tick(life int) {
	if !h.alive || h.lives != life {
		return
	}
	h.do(life, func(x *worker.Host, now time.Time) { x.Tick(now) })
	h.w.after(worldTick, func() { h.tick(life) })
}

func (h *worldHost) listServers(life int) {
	if !h.alive || h.lives != life {
		return
	}
	var list []worker.Server
	for _, s := range h.w.servers {
		if s.Info.FailureDomain == h.domain && !s.gone {
			info := s.Info
			info.Leaving = s.leaving
			list = append(list, info)
		}
	}
	h.do(life, func(x *worker.Host, now time.Time) { x.Pool().SetServers(now, list) })
	h.w.after(700*time.Millisecond, func() { h.listServers(life) })
}

// tellMembers tells all hosts who is up; members hear of a change late.
func (w *world) tellMembers() {
	for _, h := range w.hosts {
		var list []worker.Candidate
		for _, o := range w.hosts {
			if o != h && o.alive {
				list = append(list, worker.Candidate{Incarnation: o.incarnation, Address: o.address, FailureDomain: o.domain})
			}
		}
		h.do(h.lives, func(x *worker.Host, now time.Time) { x.Entry().SetMembers(now, list) })
	}
}

func (h *worldHost) carryOut(a worker.HostAction) {
	w := h.w
	life := h.lives
	switch {
	case a.Start != nil:
		o := a.Start
		h.order(o.Server.ID, false, func(s *worldServer) worker.Reply {
			r := s.Start(w.now, o.Command)
			if r.Verdict == worker.Accepted {
				w.note("%s starts %v for host%d fence %d", o.Server.ID, o.Command.RunKey, h.n, o.Command.Token)
			}
			w.watch(s)
			return r
		}, func(x *worker.Host, now time.Time, r worker.Reply) {
			x.Pool().HandleStartReply(now, o.Server.ID, o.Command.Token, o.Command.RunKey, r)
		})
	case a.Stop != nil:
		o := a.Stop
		h.order(o.Server.ID, false, func(s *worldServer) worker.Reply {
			r := s.Stop(w.now, o.Command)
			w.note("%s stop %v by host%d: %v", o.Server.ID, o.Command.RunKey, h.n, r.Verdict)
			w.watch(s)
			return r
		}, func(x *worker.Host, now time.Time, r worker.Reply) {
			x.Pool().HandleStopReply(now, o.Server.ID, o.Command.Token, o.Command.RunKey, r)
		})
	case a.Poll != nil:
		h.hold(a.Poll)
	case a.Open != nil:
		c := *a.Open
		w.after(3*linkDelay, func() { h.open(life, c) })
	case a.CloseTo != "":
		if st := h.streams[a.CloseTo]; st != nil {
			delete(h.streams, a.CloseTo)
			st.breakUp()
		}
	case a.SendTo != nil:
		if st := h.streams[a.SendTo.To]; st != nil {
			m := a.SendTo.Message
			st.deliver(0, func() {
				st.to.do(st.toLife, func(x *worker.Host, now time.Time) { x.FromEntry(now, st.session, m) })
			})
		}
	case a.Reply != nil:
		if st := h.sessions[a.Reply.Session]; st != nil {
			m := a.Reply.Message
			owner := h.incarnation
			st.deliver(1, func() {
				st.from.do(st.fromLife, func(x *worker.Host, now time.Time) { x.FromOwner(now, owner, m) })
			})
		}
	case a.CloseSession != 0:
		if st := h.sessions[a.CloseSession]; st != nil {
			delete(h.sessions, a.CloseSession)
			st.breakUp()
		}
	case a.Answer != nil:
		if at := h.waiting[a.Answer.Waiter]; at != nil {
			delete(h.waiting, a.Answer.Waiter)
			w.answered(at, a.Answer.Result)
		}
	}
}

// cutBetween reports whether two hosts can't reach each other.
func (w *world) cutBetween(a, b *worldHost) bool {
	return w.now.Before(w.cuts(a, b))
}

func (w *world) cuts(a, b *worldHost) time.Time {
	return w.hostCuts[[2]int{min(a.n, b.n), max(a.n, b.n)}]
}

// deliver delivers a message in order; in a cut it is held up.
func (st *worldStream) deliver(direction int, f func()) {
	w := st.from.w
	at := w.now.Add(linkDelay + time.Duration(w.rand.IntN(300))*time.Microsecond)
	if w.cutBetween(st.from, st.to) {
		at = w.cuts(st.from, st.to).Add(linkDelay)
	}
	if at.Before(st.busy[direction]) {
		at = st.busy[direction]
	}
	st.busy[direction] = at
	w.after(at.Sub(w.now), func() {
		if !st.broken {
			f()
		}
	})
}

// breakUp ends a stream; the other side hears of it unless a cut hides it.
func (st *worldStream) breakUp() {
	if st.broken {
		return
	}
	st.broken = true
	w := st.from.w
	delay := linkDelay
	if w.cutBetween(st.from, st.to) {
		delay = w.cuts(st.from, st.to).Sub(w.now) + linkDelay
	}
	w.after(delay, func() {
		toLife, fromLife := st.toLife, st.fromLife
		st.to.do(toLife, func(x *worker.Host, now time.Time) { x.SessionClosed(now, st.session) })
		st.from.do(fromLife, func(x *worker.Host, now time.Time) {
			if st.from.streams[st.name] == st {
				delete(st.from.streams, st.name)
				x.Entry().HandleSessionClosed(now, st.name, "SessionBroke")
			}
		})
	})
}

func (h *worldHost) open(life int, c worker.Candidate) {
	w := h.w
	for _, o := range w.hosts {
		if o.address != c.Address || w.cutBetween(h, o) || !o.alive || w.now.Before(o.frozen) {
			continue
		}
		if o.incarnation != c.Incarnation {
			break
		}
		st := &worldStream{from: h, to: o, fromLife: life, toLife: o.lives, name: c.Incarnation}
		o.do(o.lives, func(x *worker.Host, now time.Time) {
			st.session = x.OpenSession(now, h.incarnation)
			o.sessions[st.session] = st
		})
		h.do(life, func(x *worker.Host, now time.Time) {
			h.streams[c.Incarnation] = st
			x.Entry().HandleSessionOpened(now, c.Incarnation)
		})
		return
	}
	w.after(100*time.Millisecond, func() {
		h.do(life, func(x *worker.Host, now time.Time) { x.Entry().HandleSessionClosed(now, c.Incarnation, "Unreachable") })
	})
}

// order carries an order to a server and its answer back, with faults.
func (h *worldHost) order(id string, holds bool, act func(*worldServer) worker.Reply, back func(*worker.Host, time.Time, worker.Reply)) {
	w := h.w
	life := h.lives
	s := w.server(id)
	answered := false
	answer := func(r worker.Reply) {
		if !answered {
			answered = true
			h.do(life, func(x *worker.Host, now time.Time) { back(x, now, r) })
		}
	}
	reach := func() bool {
		return s != nil && !s.gone && !w.now.Before(s.dark) && !w.now.Before(s.cut[h.n])
	}
	w.after(orderPatience, func() { answer(worker.Reply{}) })
	late := w.rand.Float64() < w.faults.Late
	lost := w.rand.Float64() < w.faults.Lost
	delay := w.delay()
	if late && !holds {
		delay = 2*time.Second + time.Duration(w.rand.IntN(10000))*time.Millisecond
	}
	var meant time.Time
	if s != nil {
		meant = s.Born()
	}
	w.after(delay, func() {
		if !reach() {
			return
		}
		r := worker.Reply{Verdict: worker.WrongIncarnation}
		if s.Born().Equal(meant) {
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
func (w *world) delay() time.Duration {
	if w.faults.Steady || w.rand.IntN(10) > 0 {
		return linkDelay
	}
	return linkDelay + time.Duration(w.rand.IntN(60))*time.Millisecond
}

func (h *worldHost) hold(o *worker.ServerPoll) {
	w := h.w
	sent := w.now
	life := h.lives
	s := w.server(o.Server.ID)
	answered := false
	answer := func(r worker.Reply) {
		if !answered {
			answered = true
			h.do(life, func(x *worker.Host, now time.Time) {
				x.Pool().HandlePollReply(now, o.Server.ID, o.Command.Token, o.Immediate, sent, r)
			})
		}
	}
	reach := func() bool {
		return s != nil && !s.gone && !w.now.Before(s.dark) && !w.now.Before(s.cut[h.n])
	}
	w.after(o.Command.Wait+holdPatience, func() { answer(worker.Reply{}) })
	lost := w.rand.Float64() < w.faults.Lost
	w.after(w.delay(), func() {
		if !reach() {
			return
		}
		r := s.Hold(w.now, o.Command)
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
		wait := &worldHold{reply: send, seen: o.Command.LastSeen}
		s.waiters = append(s.waiters, wait)
		w.after(o.Command.Wait, func() { w.finishHold(s, wait) })
	})
}

func (w *world) finishHold(s *worldServer, h *worldHold) {
	if h.done {
		return
	}
	h.done = true
	s.waiters = slices.DeleteFunc(s.waiters, func(o *worldHold) bool { return o == h })
	h.reply(s.Lists(w.now))
}

// watch wakes a server's holds when its next run ends.
func (w *world) watch(s *worldServer) {
	next := s.NextEnd()
	if next.IsZero() || !s.armed.IsZero() && !next.Before(s.armed) {
		return
	}
	s.armed = next
	w.after(next.Sub(w.now), func() {
		if s.armed.Equal(w.now) {
			s.armed = time.Time{}
		}
		s.Advance(w.now)
		w.wake(s)
		w.watch(s)
	})
}

// wake answers the holds that wait for an end, and notes what is done.
func (w *world) wake(s *worldServer) {
	for _, h := range slices.Clone(s.waiters) {
		if s.HasEnds(h.seen) {
			w.finishHold(s, h)
		}
	}
}
