package worker

// What entry hosts and owners tell each other about queues, beside heartbeats and their
// acknowledgments. Both are bounded and soft state: a lost message costs a trip, not a job.
//
//  1. An owner names the queues whose jobs it will refuse for a heartbeatInterval or longer,
//     whatever their width and source, with that time. For an entry host the owner's wait
//     is longer by the rest of it, unless the owner has enough free processor capacity, so
//     that it turns elsewhere without a trip. It leaves no owner out and refuses nothing
//     itself: the owners have to know who was refused, so that a caller that returns isn't
//     taken for a new one. A queue that refuses some jobs and accepts others isn't named:
//     what a heartbeat says of a queue that drains in 30 ms is too old.
//  2. An entry host counts what its callers usually ask for and tells an owner that it has
//     not known as one, so that a successor in the middle of an overload does not take the
//     overload for usual. The owner counts that in the first usualAcceptTime of its
//     ownership only, and once a session: after a cut has healed nothing counts twice.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxToldQueues bounds the queues in one message, to a few hundred bytes.
	maxToldQueues = 16
	// usualAcceptTime covers the first heartbeats of all sessions of a new owner.
	usualAcceptTime = 3 * time.Second
)

// closedQueue is a queue whose jobs an owner refuses now.
type closedQueue struct {
	_     struct{} `cbor:",toarray"`
	Queue string
	// ReopensMs is how long a job like the last refused one will still be refused.
	ReopensMs int64
}

// queueUsual is what callers of a host usually ask for of a queue.
type queueUsual struct {
	_     struct{} `cbor:",toarray"`
	Queue string
	// CoreMs is a moving sum with usualTimeConstant, in thousandths of a core-second.
	CoreMs int64
}

// Closed returns the queues that will refuse all jobs for a while, those that stay closed
// longest first.
func (s *Shares) Closed(now time.Time) []closedQueue {
	var list []closedQueue
	for _, q := range s.list {
		if left := q.closedUntil.Sub(now); left >= heartbeatInterval {
			list = append(list, closedQueue{Queue: q.name, ReopensMs: left.Milliseconds()})
		}
	}
	slices.SortStableFunc(list, func(a, b closedQueue) int { return cmp.Compare(b.ReopensMs, a.ReopensMs) })
	return list[:min(len(list), maxToldQueues)]
}

// LearnUsual adds what an entry host tells (rule 2).
func (p *Pool) LearnUsual(now time.Time, session SessionID, list []queueUsual) {
	if !p.owner || now.Sub(p.ownerSince) > usualAcceptTime || p.usualFrom[session] {
		return
	}
	p.usualFrom[session] = true
	for _, u := range list[:min(len(list), maxToldQueues)] {
		p.shares.queue(u.Queue).usual += float64(max(u.CoreMs, 0)) / 1000
	}
}

// usualDemand counts what callers of a host ask for, by queue.
type usualDemand map[string]*movingSum

// add counts a job.
func (u usualDemand) add(now time.Time, j *Job) {
	s := u[j.Queue]
	if s == nil {
		if len(u) >= maxShareQueues {
			return
		}
		s = &movingSum{}
		u[j.Queue] = s
	}
	work := 0.0
	for _, st := range j.Steps {
		e := st.Estimate
		if e == 0 {
			e = priorRunTime
		}
		work += float64(st.Count*st.Need.CPUMilli) / 1000 * e.Seconds()
	}
	s.add(now, work, usualTimeConstant)
}

// list returns the largest sums.
func (u usualDemand) list(now time.Time) []queueUsual {
	var list []queueUsual
	for name, s := range u {
		if ms := int64(1000 * s.valueAt(now, usualTimeConstant)); ms > 0 {
			list = append(list, queueUsual{Queue: name, CoreMs: ms})
		} else {
			delete(u, name)
		}
	}
	slices.SortFunc(list, func(a, b queueUsual) int {
		return cmp.Or(cmp.Compare(b.CoreMs, a.CoreMs), cmp.Compare(a.Queue, b.Queue))
	})
	return list[:min(len(list), maxToldQueues)]
}

// closedFor returns for how long an owner refuses a job according to what it last told, at
// receivedAt (rule 1).
func closedFor(now, receivedAt time.Time, l Load, closed []closedQueue, j *Job) time.Duration {
	need := 0
	for _, st := range j.Steps {
		if len(st.After) == 0 {
			need += st.Count * st.Need.CPUMilli
		}
	}
	if l.FreeCPUMilli >= need {
		return 0
	}
	for _, c := range closed {
		if c.Queue == j.Queue {
			return max(time.Duration(c.ReopensMs)*time.Millisecond-now.Sub(receivedAt), 0)
		}
	}
	return 0
}

// handleClosedQueues records the queues that an owner names with a heartbeat.
func (e *Entry) handleClosedQueues(from string, closed []closedQueue) {
	for _, v := range e.views {
		if v.candidate.Incarnation == from {
			v.closed = closed[:min(len(closed), maxToldQueues)]
		}
	}
}
