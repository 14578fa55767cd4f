package worker

// Sessions that entry hosts, the hosts that accept jobs from callers, have opened
// with this host.
//
//  1. The host sends a heartbeat on each session every heartbeatInterval. The
//     entry host acknowledges each one immediately.
//  2. A session keeps its jobs alive for sessionLease after the time at which
//     the newest acknowledged heartbeat was sent. Only this host's clock counts.
//     However late an acknowledgment arrives, it proves only that the entry
//     host was there after that heartbeat was sent.
//  3. When sessionLease is over, the host closes the session and abandons its
//     jobs. An entry host tells its callers that they may retry a job only after
//     it has stopped acknowledging heartbeats, so no run of the job is left
//     when the caller retries.

import (
	"slices"
	"time"
)

const (
	// heartbeatInterval lets two heartbeats get lost within a sessionLease.
	heartbeatInterval = 100 * time.Millisecond
	// sessionLease is the duration of rule 2. See leaseDuration for its upper bound.
	sessionLease = 350 * time.Millisecond
	// maxUnackedHeartbeats is the number of newest heartbeats that an acknowledgment
	// may refer to; an older one is ignored.
	maxUnackedHeartbeats = 16
)

// session is the session of one entry host. number is that of the last heartbeat,
// sent has the times at which the newest ones were sent, and confirmedAt is the time
// at which the newest acknowledged one was sent, or the session was opened.
type session struct {
	id              SessionID
	peer            string
	number          uint64
	sent            [maxUnackedHeartbeats]time.Time
	confirmedAt     time.Time
	nextHeartbeatAt time.Time
}

// Sessions holds the sessions that entry hosts have opened with this host. It is
// not safe for concurrent use.
type Sessions struct {
	list []*session
	last SessionID
}

// Open adds a session with the incarnation peer.
func (s *Sessions) Open(now time.Time, peer string) SessionID {
	s.last++
	s.list = append(s.list, &session{id: s.last, peer: peer, confirmedAt: now})
	return s.last
}

// Close removes a session.
func (s *Sessions) Close(id SessionID) {
	s.list = slices.DeleteFunc(s.list, func(o *session) bool { return o.id == id })
}

// Ack handles the acknowledgment of a heartbeat (rule 2).
func (s *Sessions) Ack(id SessionID, number uint64) {
	for _, o := range s.list {
		if o.id == id && number <= o.number && o.number-number < maxUnackedHeartbeats {
			if at := o.sent[number%maxUnackedHeartbeats]; at.After(o.confirmedAt) {
				o.confirmedAt = at
			}
		}
	}
}

// Tick returns the sessions on which a heartbeat is due, with the number of the
// heartbeat, and the sessions whose lease has expired, which it closes (rule 3).
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
