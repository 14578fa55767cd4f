package worker

// How a session outlives its connection, on the side of the entry host. The path of a
// session is the stream that carries it. A path can stop delivering for good without an
// error, in one direction or both, while new connections between the hosts work.
//
//  1. A path is suspect when no heartbeat has arrived for pathSilence, or when a
//     heartbeat says that the ack of the one before the last has not arrived although
//     acks were faster before. The entry host then dials the same incarnation on a new connection, beside the old one. The
//     lease of the session isn't changed by that: a host that is dead is found when it
//     always was.
//  2. The first message on the new path is an attach. It names the session, all jobs that
//     the entry host still waits for on it, and the newest heartbeat that arrived.
//  3. From the dial on, the entry host sends no submissions on the session, and holds
//     cancellations back until the attach has been answered. It still acks heartbeats.
//  4. The owner answers on the new path (session_attach.go). The entry host then uses that
//     path and closes the old one. Jobs that the owner does not have were never accepted;
//     they are offered again.
//  5. If the owner refuses, the session had ended. Its jobs are lost, and the new path
//     carries a new session.
//  6. While the lease lasts, further paths are dialed. Each attach has a higher number
//     than the ones before, and only the newest that was sent counts on either side.
//  7. An owner that does not name the session in its heartbeats can't attach. Its sessions
//     end with their connection.

import (
	"slices"
	"time"
)

const (
	// pathSilence is how long a heartbeat may stay away before the path is suspect: one
	// interval and half of the next. It leaves 200 ms of sessionLease to dial and attach,
	// which takes six round trips.
	pathSilence = heartbeatInterval * 3 / 2
	// attachRetryInterval is how long an attach may take before another path is dialed.
	attachRetryInterval = 70 * time.Millisecond
)

// attach asks an owner to continue a session on the path that carries the message.
type attach struct {
	_       struct{} `cbor:",toarray"`
	Session SessionID
	// Number is higher than that of all earlier attaches of the entry host.
	Number uint64
	// Ack is the number of the newest heartbeat that has arrived.
	Ack uint64
	// Jobs lists the jobs whose results the entry host waits for.
	Jobs []string
}

// attached answers an attach. Refused says that the session has ended. Missing lists the
// jobs of the attach that the owner has never accepted on this session.
type attached struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Refused bool
	Missing []string
}

// PathDial is a request to dial a new path to an owner.
type PathDial struct {
	Candidate Candidate
	// Number is the number of the attach that will be sent on the path.
	Number uint64
}

// sessionPath is what an entry host knows of the path of a session.
type sessionPath struct {
	// session identifies the session at the owner; 0 if the owner can't attach (rule 7).
	session SessionID
	// acked is the newest ack that has arrived at the owner, as its heartbeats say.
	acked uint64
	// acksTimely is set once a heartbeat has said that the ack of the one before had
	// arrived. It stays unset where a round trip exceeds heartbeatInterval.
	acksTimely bool
	// number is that of the last path dialed, 0 if the path is not suspect.
	number   uint64
	dialedAt time.Time
	// dialing is set while the connection for the attach is being opened.
	dialing bool
	// sent is the number of the last attach that was sent, 0 if none was. The owner may then
	// use the new path already. It is lower than number while a further path is dialed.
	sent uint64
	// adopted is the number of the attach by which the present path carries the session.
	adopted uint64
	// lateStartsSent is the number of the last change of the late-start log that was sent on
	// the path.
	lateStartsSent uint64
	// cancelsSent is the same for the cancel log.
	cancelsSent uint64
	// held are the messages to be sent when the attach has been answered (rule 3).
	held []message
}

// suspect reports whether the path is being replaced (rule 1).
func (p *sessionPath) suspect() bool { return p.number != 0 }

// viewOf returns the view whose session is with an incarnation, or nil.
func (e *Entry) viewOf(incarnation string) *ownerView {
	for _, v := range e.views {
		if v.candidate.Incarnation == incarnation {
			return v
		}
	}
	return e.draining[incarnation]
}

// handleSessionHeartbeat handles a heartbeat that arrived on the path of the session with
// an owner.
func (e *Entry) handleSessionHeartbeat(now time.Time, owner string, m message) {
	if v := e.viewOf(owner); v != nil && v.open {
		v.answersCancels = m.AnswersCancels
		v.path.session, v.path.acked = m.Session, m.Acked
		v.path.acksTimely = v.path.acksTimely || m.Heartbeat.Number == m.Acked+1
		if v.path.suspect() && v.path.sent == 0 && !v.path.ackMissing(m.Heartbeat.Number) {
			// The path only was slow.
			e.resumePath(v)
		}
	}
	e.HandleHeartbeat(now, owner, *m.Heartbeat)
	if v := e.viewOf(owner); v != nil {
		e.tickPath(now, v)
	}
}

// ackMissing reports whether the newest heartbeat, of the given number, said that acks
// don't reach the owner. The ack of that one can't have arrived before it was sent.
func (p *sessionPath) ackMissing(number uint64) bool { return p.acksTimely && number > p.acked+1 }

// tickPath dials a new path if the present one is suspect (rules 1 and 6).
func (e *Entry) tickPath(now time.Time, v *ownerView) {
	p := &v.path
	if !v.open || p.session == 0 {
		return
	}
	silent := now.Sub(v.lastContact) > pathSilence
	if !silent && p.sent == 0 && !p.ackMissing(v.heartbeat.Number) {
		return
	}
	if p.suspect() && (p.dialing || now.Sub(p.dialedAt) < attachRetryInterval) {
		return
	}
	e.lastAttach++
	p.number, p.dialedAt, p.dialing = e.lastAttach, now, true
	e.cfg.Log.Info().Str("Owner", v.candidate.Incarnation).Uint64("Attach", p.number).
		Int64("SinceContactMs", now.Sub(v.lastContact).Milliseconds()).Bool("AckMissing", !silent).Msg("PathSuspect")
	e.actions = append(e.actions, EntryAction{Dial: &PathDial{v.candidate, p.number}})
}

// resumePath ends an attempt to replace the path and sends what was held back.
func (e *Entry) resumePath(v *ownerView) {
	held := v.path.held
	v.path.number, v.path.sent, v.path.held = 0, 0, nil
	for _, m := range held {
		e.send(v.candidate.Incarnation, m)
	}
}

// HandlePathOpened handles the opening of a new path. It returns the attach to send on
// it, or nil if the path is no longer wanted.
func (e *Entry) HandlePathOpened(owner string, number uint64) *message {
	v := e.viewOf(owner)
	if v != nil && v.path.number == number {
		v.path.dialing = false
	}
	if v == nil || !v.path.suspect() || number <= max(v.path.sent, v.path.adopted) {
		return nil
	}
	v.path.sent = number
	a := &attach{Session: v.path.session, Number: number, Ack: v.heartbeat.Number}
	m := &message{Attach: a}
	for _, j := range e.sortedJobs() {
		if j.owner == owner {
			a.Jobs, m.Submissions = append(a.Jobs, j.job.ID), append(m.Submissions, j.submission)
		}
	}
	return m
}

// HandlePathClosed handles the end of the path of the session with an owner. The session
// goes on while an attach is in progress.
func (e *Entry) HandlePathClosed(now time.Time, owner string) {
	if v := e.viewOf(owner); v != nil && v.path.sent != 0 {
		return
	}
	e.HandleSessionClosed(now, owner, "SessionBroke")
}

// HandlePathFailed handles a new path that could not be opened. If another incarnation
// listens at the address, the owner has ended.
func (e *Entry) HandlePathFailed(now time.Time, owner string, number uint64, incarnationEnded bool) {
	v := e.viewOf(owner)
	if v == nil || v.path.number != number {
		return
	}
	v.path.dialing = false
	if incarnationEnded {
		e.HandleSessionClosed(now, owner, "IncarnationEnded")
	}
}

// handleAttached handles the answer to an attach (rules 4 and 5).
func (e *Entry) handleAttached(now time.Time, owner string, a attached) {
	v := e.viewOf(owner)
	if v == nil || v.path.sent != a.Number {
		return
	}
	e.cfg.Log.Info().Str("Owner", owner).Uint64("Attach", a.Number).Bool("Refused", a.Refused).Int("Missing", len(a.Missing)).
		Int64("SinceContactMs", now.Sub(v.lastContact).Milliseconds()).Msg("SessionAttached")
	if a.Refused {
		if e.draining[owner] == v {
			e.dropDraining(now, owner, "SessionExpired")
			return
		}
		v.path, v.heartbeat, v.lastContact = sessionPath{}, heartbeat{}, now
		e.actions = append(e.actions, EntryAction{Adopt: &PathDial{v.candidate, a.Number}})
		e.loseJobs(now, v.domain, owner, "SessionExpired")
		return
	}
	v.lastContact, v.path.acked, v.path.acksTimely, v.path.adopted = now, v.heartbeat.Number, false, a.Number
	v.path.lateStartsSent, v.path.cancelsSent = 0, 0
	e.actions = append(e.actions, EntryAction{Adopt: &PathDial{v.candidate, a.Number}})
	e.resumePath(v)
	for _, id := range a.Missing {
		if j := e.jobs[id]; j != nil && j.owner == owner {
			e.offerAgain(now, j, "NeverAccepted")
		}
	}
}

// offerAgain offers a job that the owner it was sent to has never accepted to any owner,
// also the same one, or answers that no task of it has started.
func (e *Entry) offerAgain(now time.Time, j *entryJob, reason string) {
	owner := j.owner
	j.owner = ""
	j.tried = slices.DeleteFunc(j.tried, func(o string) bool { return o == owner })
	e.offerJob(now, j, Result{ID: j.job.ID, Outcome: Refused, Reason: reason, RetryAfter: noOwnerRetry})
}

// HandleNotSent handles a submission that was not sent to an owner. reason says why.
func (e *Entry) HandleNotSent(now time.Time, owner, id, reason string) {
	if j := e.jobs[id]; j != nil && j.owner == owner {
		j.owner = ""
		e.offerJob(now, j, Result{ID: id, Outcome: Refused, Reason: reason, RetryAfter: noOwnerRetry})
	}
}
