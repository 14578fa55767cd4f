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
	"cmp"
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
	// witness is set if the entry host can be a witness (witness.go).
	witness bool
	// announcements has what the entry host was told of jobs and has not acknowledged.
	announcements []JobAnnouncement
	attachState
}

// Sessions holds the sessions that entry hosts have opened with this host. It is
// not safe for concurrent use.
type Sessions struct {
	// list is sorted by ID, since IDs increase.
	list []*session
	last SessionID
	// byPath has the sessions by the path that carries them. unusedPaths are to be closed.
	byPath      map[SessionID]*session
	unusedPaths []SessionID
	// nextTickAt is the earliest time at which Tick can have something to do.
	nextTickAt time.Time
}

// find returns the session with an ID, or nil, and its index in the list.
func (s *Sessions) find(id SessionID) (*session, int) {
	n, ok := slices.BinarySearchFunc(s.list, id, func(o *session, id SessionID) int { return cmp.Compare(o.id, id) })
	if !ok {
		return nil, n
	}
	return s.list[n], n
}

// Open adds a session with the incarnation peer.
func (s *Sessions) Open(now time.Time, peer string) SessionID {
	s.last++
	o := &session{id: s.last, peer: peer, confirmedAt: now}
	s.setPath(o, o.id)
	s.list = append(s.list, o)
	s.nextTickAt = now
	return s.last
}

// Close removes a session and returns the time at which its lease expires, the zero time if
// there is no such session.
func (s *Sessions) Close(id SessionID) time.Time {
	o, n := s.find(id)
	if o == nil {
		return time.Time{}
	}
	s.list = slices.Delete(s.list, n, n+1)
	s.removePaths(o)
	return o.leaseEnd()
}

// Ack handles the acknowledgment of a heartbeat (rule 2).
func (s *Sessions) Ack(id SessionID, number uint64) {
	o, _ := s.find(id)
	if o == nil || number > o.number || o.number-number >= maxUnackedHeartbeats {
		return
	}
	if at := o.sent[number%maxUnackedHeartbeats]; at.After(o.confirmedAt) {
		o.confirmedAt = at
	}
	s.noteAck(o, number)
}

// expiredSession is a session whose lease expired at a time. The host may notice it later.
type expiredSession struct {
	id SessionID
	at time.Time
}

// leaseEnd returns the time at which the lease of a session expires (rule 2).
func (o *session) leaseEnd() time.Time { return o.confirmedAt.Add(sessionLease) }

// Tick returns the sessions on which a heartbeat is due, with the number of the
// heartbeat, and the sessions whose lease has expired, which it closes (rule 3). It is
// called before each event of the host, so it looks at the sessions only when one of
// them can be due.
func (s *Sessions) Tick(now time.Time) (due map[SessionID]uint64, ended []expiredSession) {
	if len(s.list) == 0 || now.Before(s.nextTickAt) {
		return nil, nil
	}
	due = map[SessionID]uint64{}
	s.nextTickAt = now.Add(heartbeatInterval)
	for _, o := range slices.Clone(s.list) {
		if now.After(o.leaseEnd()) {
			ended = append(ended, expiredSession{o.id, o.leaseEnd()})
			s.Close(o.id)
			continue
		}
		if !now.Before(o.nextHeartbeatAt) {
			o.nextHeartbeatAt = now.Add(heartbeatInterval)
			o.number++
			o.sent[o.number%maxUnackedHeartbeats] = now
			due[o.id] = o.number
		}
		for _, at := range []time.Time{o.nextHeartbeatAt, o.leaseEnd()} {
			if at.Before(s.nextTickAt) {
				s.nextTickAt = at
			}
		}
	}
	return due, ended
}

// Has reports whether a session is open.
func (s *Sessions) Has(id SessionID) bool {
	o, _ := s.find(id)
	return o != nil
}

// noteWitness notes whether the entry host of a session can be a witness.
func (s *Sessions) noteWitness(id SessionID, witness bool) {
	if o, _ := s.find(id); o != nil {
		o.witness = witness
	}
}
