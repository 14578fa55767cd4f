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
	o.do(o.generation, func(x *worker.Host, now time.Time) {
		st.session = x.OpenSession(now, h.incarnation)
		o.sessions[st.session] = st
	})
	if h.w.onOpen != nil {
		h.w.onOpen(st)
	}
	return st
}

func (st *simStream) sendToOwner(m worker.Message) {
	st.deliver(0, func() {
		st.to.do(st.toGeneration, func(x *worker.Host, now time.Time) { x.HandleEntryMessage(now, st.session, m) })
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
			h.do(gen, func(x *worker.Host, now time.Time) {
				x.Entry().HandlePathFailed(now, d.Candidate.Incarnation, d.Number, true)
			})
			return
		}
		h.do(gen, func(x *worker.Host, _ time.Time) {
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
	st, former := h.newPaths[d], h.streams[d.Candidate.Incarnation]
	delete(h.newPaths, d)
	h.streams[d.Candidate.Incarnation] = st
	if former != nil {
		former.disconnect()
	}
	h.closeNewPaths(d.Candidate.Incarnation)
}

func (h *simHost) closeNewPaths(owner string) {
	paths := slices.SortedFunc(maps.Keys(h.newPaths), func(a, b worker.PathDial) int { return cmp.Compare(a.Number, b.Number) })
	for _, d := range paths {
		if d.Candidate.Incarnation == owner {
			st := h.newPaths[d]
			delete(h.newPaths, d)
			st.disconnect()
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
