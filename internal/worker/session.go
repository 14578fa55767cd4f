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
	// heartbeatInterval leaves room for two lost stamps in an entryLease.
	heartbeatInterval = 100 * time.Millisecond
	// sessionLease is the time of rule 2. See leaseTime for what bounds it.
	sessionLease = 350 * time.Millisecond
	// maxUnackedHeartbeats bounds the stamps that an echo may name.
	maxUnackedHeartbeats = 16
)

// session is one entry host that waits for jobs.
type session struct {
	id              SessionID
	peer            string
	number          uint64
	sent            [maxUnackedHeartbeats]time.Time
	confirmedAt     time.Time
	nextHeartbeatAt time.Time
}

// Sessions holds the sessions of this host. It is not safe for concurrent use.
type Sessions struct {
	list []*session
	last SessionID
}

// Open begins a session.
func (s *Sessions) Open(now time.Time, peer string) SessionID {
	s.last++
	s.list = append(s.list, &session{id: s.last, peer: peer, confirmedAt: now})
	return s.last
}

// Close forgets a session.
func (s *Sessions) Close(id SessionID) {
	s.list = slices.DeleteFunc(s.list, func(o *session) bool { return o.id == id })
}

// Ack notes the echo of a stamp (rule 2).
func (s *Sessions) Ack(id SessionID, number uint64) {
	for _, o := range s.list {
		if o.id == id && number <= o.number && o.number-number < maxUnackedHeartbeats {
			if at := o.sent[number%maxUnackedHeartbeats]; at.After(o.confirmedAt) {
				o.confirmedAt = at
			}
		}
	}
}

// Tick returns the sessions that are due a stamp, with its number, and those
// that have ended (rule 3), which are closed.
func (s *Sessions) Tick(now time.Time) (due map[SessionID]uint64, ended []SessionID) {
	due = map[SessionID]uint64{}
	for _, o := range slices.Clone(s.list) {
		if now.Sub(o.confirmedAt) > sessionLease {
			ended = append(ended, o.id)
			s.Close(o.id)
			continue
		}
		if now.Before(o.nextHeartbeatAt) {
			continue
		}
		o.nextHeartbeatAt = now.Add(heartbeatInterval)
		o.number++
		o.sent[o.number%maxUnackedHeartbeats] = now
		due[o.id] = o.number
	}
	return due, ended
}

// Has reports whether a session is open.
func (s *Sessions) Has(id SessionID) bool {
	return slices.ContainsFunc(s.list, func(o *session) bool { return o.id == id })
}
