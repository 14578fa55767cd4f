package worker

// Sessions of entry hosts with this host.
//
//  1. Every stampInterval the host sends each session a stamp, which the entry
//     host echoes at once.
//  2. A session vouches for its jobs for entryLease after the stamp that it last
//     echoed was sent, on this host's clock alone. However late an echo comes,
//     it proves no more than that.
//  3. When that time is over, the session is closed and its jobs are given up.
//     The entry host answers its callers that a job may come again only when it
//     has stopped echoing, so that nothing of it runs when it does.

import (
	"slices"
	"time"
)

const (
	// stampInterval leaves room for two lost stamps in an entryLease.
	stampInterval = 100 * time.Millisecond
	// entryLease is the time of rule 2. See leaseTime for what bounds it.
	entryLease = 350 * time.Millisecond
	// stampsKept bounds the stamps that an echo may name.
	stampsKept = 16
)

// session is one entry host that waits for jobs.
type session struct {
	id      SessionID
	peer    string
	number  uint64
	sent    [stampsKept]time.Time
	vouched time.Time
	next    time.Time
}

// Sessions holds the sessions of this host. It is not safe for concurrent use.
type Sessions struct {
	list []*session
	last SessionID
}

// Open begins a session.
func (s *Sessions) Open(now time.Time, peer string) SessionID {
	s.last++
	s.list = append(s.list, &session{id: s.last, peer: peer, vouched: now})
	return s.last
}

// Close forgets a session.
func (s *Sessions) Close(id SessionID) {
	s.list = slices.DeleteFunc(s.list, func(o *session) bool { return o.id == id })
}

// Ack notes the echo of a stamp (rule 2).
func (s *Sessions) Ack(id SessionID, number uint64) {
	for _, o := range s.list {
		if o.id == id && number <= o.number && o.number-number < stampsKept {
			if at := o.sent[number%stampsKept]; at.After(o.vouched) {
				o.vouched = at
			}
		}
	}
}

// Tick returns the sessions that are due a stamp, with its number, and those
// that have ended (rule 3), which are closed.
func (s *Sessions) Tick(now time.Time) (due map[SessionID]uint64, ended []SessionID) {
	due = map[SessionID]uint64{}
	for _, o := range slices.Clone(s.list) {
		if now.Sub(o.vouched) > entryLease {
			ended = append(ended, o.id)
			s.Close(o.id)
			continue
		}
		if now.Before(o.next) {
			continue
		}
		o.next = now.Add(stampInterval)
		o.number++
		o.sent[o.number%stampsKept] = now
		due[o.id] = o.number
	}
	return due, ended
}

// Has reports whether a session is open.
func (s *Sessions) Has(id SessionID) bool {
	return slices.ContainsFunc(s.list, func(o *session) bool { return o.id == id })
}
