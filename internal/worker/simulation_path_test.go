package worker_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"guavayoke/internal/worker"
)

// Streams of the simulation that go silent, and those that replace them.

// newStream connects a host with another one, which opens a session.
func (h *simHost) newStream(gen int, o *simHost) *simStream {
	st := &simStream{from: h, to: o, fromGeneration: gen, toGeneration: o.generation, ownerIncarnation: o.incarnation}
	o.do(simLiveness, o.generation, func(x *worker.Host, now time.Time) {
		st.session = x.OpenSession(now, h.incarnation)
		o.sessions[st.session] = st
	})
	if h.w.onOpen != nil {
		h.w.onOpen(st)
	}
	return st
}

func (st *simStream) sendToOwner(m worker.Message) {
	st.deliver(0, func() { st.to.receiveFromEntry(st, m) })
}

// sendToEntry sends a message to the entry host.
func (st *simStream) sendToEntry(m worker.Message) {
	st.deliver(1, func() {
		st.from.do(simLiveness, st.fromGeneration, func(x *worker.Host, now time.Time) {
			if m.Heartbeat == nil || st.from.streams[st.ownerIncarnation] == st {
				x.HandleOwnerMessage(now, st.ownerIncarnation, m)
			}
		})
	})
}

// delivers reports whether a message that was sent in a direction arrives. What the side that
// closes a stream has sent before may arrive, if the simulation has lanes.
func (st *simStream) delivers(direction int) bool {
	closed := st.broken && !(st.from.w.faults.Lanes && st.closedBy == direction)
	return !closed && !st.silent[direction]
}

// disconnect closes a stream at the side that sends in a direction. Both sides observe the
// end after linkDelay, or when the partition between them has ended.
func (st *simStream) disconnect(direction int) {
	if st.broken {
		return
	}
	st.broken, st.closedBy = true, direction
	w := st.from.w
	delay := linkDelay
	if w.partitioned(st.from, st.to) {
		delay = w.partitionEnd(st.from, st.to).Sub(w.now) + linkDelay
	}
	if w.faults.Lanes {
		delay = max(delay, st.lastDelivery[direction].Sub(w.now))
	}
	w.after(delay, func() {
		toGeneration, fromGeneration := st.toGeneration, st.fromGeneration
		if !st.silent[0] {
			st.to.do(simControl, toGeneration, func(x *worker.Host, now time.Time) {
				st.to.dropSubmissions(st.session)
				x.HandleIncomingSessionClosed(now, st.session)
			})
		}
		if st.silent[1] {
			return
		}
		st.from.do(simControl, fromGeneration, func(x *worker.Host, now time.Time) {
			if st.from.streams[st.ownerIncarnation] == st {
				delete(st.from.streams, st.ownerIncarnation)
				x.Entry().HandlePathClosed(now, st.ownerIncarnation)
			}
		})
	})
}

// openPath opens a new path to an owner and sends the attach on it.
func (h *simHost) openPath(gen int, d worker.PathDial) {
	w := h.w
	for _, o := range w.hosts {
		if o.address != d.Candidate.Address || w.partitioned(h, o) || !o.alive || w.now.Before(o.frozenUntil) {
			continue
		}
		if o.incarnation != d.Candidate.Incarnation {
			h.do(simControl, gen, func(x *worker.Host, now time.Time) {
				x.Entry().HandlePathFailed(now, d.Candidate.Incarnation, d.Number, true)
			})
			return
		}
		h.do(simLiveness, gen, func(x *worker.Host, _ time.Time) {
			m := x.Entry().HandlePathOpened(d.Candidate.Incarnation, d.Number)
			if m == nil {
				return
			}
			st := h.newStream(gen, o)
			h.newPaths[d] = st
			st.sendToOwner(*m)
		})
	}
}

func (h *simHost) adoptPath(d worker.PathDial) {
	h.w.ownerLost(h, d.Candidate.Incarnation) // The owner may have refused the attach.
	st, former := h.newPaths[d], h.streams[d.Candidate.Incarnation]
	delete(h.newPaths, d)
	if h.loop != nil && (st == nil || st.broken) {
		h.do(simControl, h.generation, func(x *worker.Host, now time.Time) { x.Entry().HandlePathClosed(now, d.Candidate.Incarnation) })
		return
	}
	h.streams[d.Candidate.Incarnation] = st
	if former != nil {
		former.disconnect(0)
	}
	h.closeNewPaths(d.Candidate.Incarnation)
}

func (h *simHost) closeNewPaths(owner string) {
	paths := slices.SortedFunc(maps.Keys(h.newPaths), func(a, b worker.PathDial) int { return cmp.Compare(a.Number, b.Number) })
	for _, d := range paths {
		if d.Candidate.Incarnation == owner {
			st := h.newPaths[d]
			delete(h.newPaths, d)
			st.disconnect(0)
		}
	}
}

// openStreams returns all streams that carry sessions, in a fixed order.
func (w *simulation) openStreams() []*simStream {
	var list []*simStream
	for _, h := range w.hosts {
		for _, id := range slices.Sorted(maps.Keys(h.streams)) {
			list = append(list, h.streams[id])
		}
	}
	return list
}

// silence makes half of the open streams go silent, each in one direction or both.
func (w *simulation) silence() {
	for _, st := range w.openStreams() {
		if w.rand.IntN(2) > 0 {
			continue
		}
		switch w.rand.IntN(4) {
		case 0:
			st.silent[0] = true
		case 1:
			st.silent[1] = true
		default:
			st.silent = [2]bool{true, true}
		}
		w.tracef("the stream of host%d to host%d is silent: %v", st.from.index, st.to.index, st.silent)
	}
}
