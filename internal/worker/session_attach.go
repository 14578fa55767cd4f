package worker

// How a session outlives its connection, on the side of the owner (see session_path.go).
//
//  1. Each stream that an entry host opens is a path and begins with a session of its own,
//     which has the same ID. An attach on it ends that session and makes the path carry
//     the session that the attach names. Nothing that comes on the former path counts any
//     more.
//  2. Only the incarnation that opened a session may attach to it, while its lease lasts,
//     and with a higher number than before. An attach extends the lease by nothing but the
//     ack in it.
//  3. The owner keeps each result until a heartbeat that it sent later on the same path is
//     acked, since a path delivers in order. It sends those again that the attach asks for.
//     So a job that it neither has nor keeps a result of was never accepted. The kept
//     results are those of the last sessionLease at most.
//  4. The owner cancels the jobs that the attach doesn't list.
//  5. The former path is closed when the entry host has acked a heartbeat on the new one.
//     Earlier, the entry host could take the end of its path for that of the session.

import (
	"slices"
	"time"
)

// sentResult is a result that may not have arrived. afterHeartbeat is the number of the
// last heartbeat before it, submission that of the submission that it answers.
type sentResult struct {
	result         Result
	submission     uint64
	afterHeartbeat uint64
}

// attachState is what a session needs in order to outlive its path.
type attachState struct {
	// path is the ID of the stream that carries the session.
	path SessionID
	// formerPaths are to be closed when a heartbeat above attachedAt is acked (rule 5).
	formerPaths []SessionID
	attachedAt  uint64
	// number is that of the newest attach.
	number uint64
	acked  uint64
	kept   []sentResult
	// submissions has the number of the latest submission of each job that has no result yet.
	submissions map[string]uint64
	// crashesSent is the number of the last change of the crash log that was sent on the path.
	crashesSent uint64
	// lateStartsSent is the same for the late-start log.
	lateStartsSent uint64
	// cancelsSent is the same for the cancel log.
	cancelsSent uint64
}

// setPath makes a stream carry a session.
func (s *Sessions) setPath(o *session, path SessionID) {
	if s.byPath == nil {
		s.byPath = map[SessionID]*session{}
	}
	o.path = path
	s.byPath[path] = o
}

// idOf returns the session that a path carries.
func (s *Sessions) idOf(path SessionID) (SessionID, bool) {
	o := s.byPath[path]
	if o == nil {
		return 0, false
	}
	return o.id, true
}

// pathOf returns the path of a session, or 0 if the session has ended.
func (s *Sessions) pathOf(id SessionID) SessionID {
	if o, _ := s.find(id); o != nil {
		return o.path
	}
	return 0
}

// removePaths forgets the paths of a session that has ended.
func (s *Sessions) removePaths(o *session) {
	delete(s.byPath, o.path)
	s.unusedPaths = append(append(s.unusedPaths, o.path), o.formerPaths...)
}

// takeUnusedPaths returns the paths that are to be closed and forgets them.
func (s *Sessions) takeUnusedPaths() []SessionID {
	paths := s.unusedPaths
	s.unusedPaths = nil
	return paths
}

// noteAck records that the entry host has received all that was sent before a heartbeat.
func (s *Sessions) noteAck(o *session, number uint64) {
	o.acked = max(o.acked, number)
	o.kept = slices.DeleteFunc(o.kept, func(r sentResult) bool { return r.afterHeartbeat < number })
	if len(o.formerPaths) > 0 && number > o.attachedAt {
		s.unusedPaths = append(s.unusedPaths, o.formerPaths...)
		o.formerPaths = nil
	}
}

// keepResult keeps a result that is sent now (rule 3).
func (s *Sessions) keepResult(id SessionID, submission uint64, r Result) {
	if o, _ := s.find(id); o != nil {
		o.kept = append(o.kept, sentResult{r, submission, o.number})
	}
}

// noteSubmission notes the number of a submission and drops the kept results of earlier
// submissions of the job.
func (s *Sessions) noteSubmission(id SessionID, job string, submission uint64) {
	o, _ := s.find(id)
	if o == nil {
		return
	}
	o.kept = slices.DeleteFunc(o.kept, func(r sentResult) bool { return r.result.ID == job })
	if o.submissions == nil {
		o.submissions = map[string]uint64{}
	}
	o.submissions[job] = submission
}

// takeSubmission removes and returns the number of the latest submission of a job, 0 if it is
// not known.
func (s *Sessions) takeSubmission(id SessionID, job string) uint64 {
	o, _ := s.find(id)
	if o == nil {
		return 0
	}
	n := o.submissions[job]
	delete(o.submissions, job)
	return n
}

// Attach makes a path carry the session that the attach names. It returns nil if that is
// not permitted (rule 2).
func (s *Sessions) Attach(now time.Time, path SessionID, a attach) *session {
	opened, o := s.byPath[path], (*session)(nil)
	if opened != nil {
		o, _ = s.find(a.Session)
	}
	if o == nil || o == opened || opened.id != path || o.peer != opened.peer || a.Number <= o.attachState.number || now.Sub(o.confirmedAt) > sessionLease {
		return nil
	}
	_, n := s.find(opened.id)
	s.list = slices.Delete(s.list, n, n+1)
	delete(s.byPath, o.path)
	o.formerPaths = append(o.formerPaths, o.path)
	s.setPath(o, path)
	o.attachState.number, o.attachedAt = a.Number, o.number
	o.crashesSent, o.lateStartsSent, o.cancelsSent = 0, 0, 0
	s.Ack(o.id, a.Ack)
	o.nextHeartbeatAt, s.nextTickAt = now, now
	return o
}

// heartbeatMessage returns a heartbeat with what the entry host needs to attach.
func (s *Sessions) heartbeatMessage(id SessionID, hb *heartbeat) *SessionMessage {
	o, _ := s.find(id)
	return &SessionMessage{o.path, message{Heartbeat: hb, Session: id, Acked: o.acked}}
}

// newCrashes returns the records of the crash log that were not sent on the session's path.
func (s *Sessions) newCrashes(id SessionID, l *CrashLog) []crashRecord {
	o, _ := s.find(id)
	var list []crashRecord
	list, o.crashesSent = l.since(o.crashesSent)
	return list
}

// newLateStarts returns the records of the late-start log that were not sent on the session's path.
func (s *Sessions) newLateStarts(now time.Time, id SessionID, l *LateStartLog) lateStartsMessage {
	o, _ := s.find(id)
	var m lateStartsMessage
	m, o.lateStartsSent = l.since(now, o.lateStartsSent)
	return m
}

// takeKept removes the kept results of a session and returns those of the given jobs.
func (o *session) takeKept(jobs []string) []sentResult {
	var list []sentResult
	for _, r := range o.kept {
		if slices.Contains(jobs, r.result.ID) {
			list = append(list, r)
		}
	}
	o.kept = nil
	return list
}

// renumber makes the kept result of a job answer a later submission, which may not have
// arrived. A job that was not accepted by the earlier one is to be submitted again.
func (o *session) renumber(job string, submission uint64) {
	o.kept = slices.DeleteFunc(o.kept, func(r sentResult) bool {
		return r.result.ID == job && r.submission != submission && (r.result.Outcome == Refused || r.result.Outcome == Returned)
	})
	for i := range o.kept {
		if r := &o.kept[i]; r.result.ID == job {
			r.submission = submission
		}
	}
}

// handleAttach handles an attach that arrived on a path. submissions has the numbers of the
// latest submissions of its jobs; hosts of earlier versions send none.
func (h *Host) handleAttach(now time.Time, path SessionID, a attach, submissions []uint64) {
	var o *session
	if id, ok := h.sessions.idOf(path); ok && len(h.pool.sessionJobs(id)) == 0 {
		o = h.sessions.Attach(now, path, a)
	}
	if o == nil {
		h.cfg.Log.Warn().Uint64("Session", uint64(a.Session)).Uint64("Attach", a.Number).Msg("AttachRefused")
		h.actions = append(h.actions, HostAction{Reply: &SessionMessage{path, message{Attached: &attached{Number: a.Number, Refused: true}}}})
		return
	}
	accepted := h.pool.sessionJobs(o.id)
	if len(submissions) == len(a.Jobs) {
		for i, id := range a.Jobs {
			o.renumber(id, submissions[i])
			if slices.Contains(accepted, id) {
				h.sessions.noteSubmission(o.id, id, submissions[i])
			}
		}
	}
	answered := o.takeKept(a.Jobs)
	reply := attached{Number: a.Number}
	for _, id := range a.Jobs {
		if !slices.Contains(accepted, id) && !slices.ContainsFunc(answered, func(r sentResult) bool { return r.result.ID == id }) {
			reply.Missing = append(reply.Missing, id)
		}
	}
	h.cfg.Log.Info().Uint64("Session", uint64(a.Session)).Uint64("Attach", a.Number).Int("Jobs", len(a.Jobs)).
		Int("Missing", len(reply.Missing)).Int("Resent", len(answered)).Msg("PathReplaced")
	h.actions = append(h.actions, HostAction{Reply: &SessionMessage{path, message{Attached: &reply}}})
	h.witnessPathReplaced(o)
	for _, r := range answered {
		h.replyResult(now, o.id, r.submission, r.result)
	}
	for _, id := range accepted {
		if !slices.Contains(a.Jobs, id) {
			h.pool.Cancel(now, o.id, id, now)
		}
	}
}

// replyResult sends a result on a session and keeps it until its arrival is known.
func (h *Host) replyResult(now time.Time, id SessionID, submission uint64, r Result) {
	h.sessions.keepResult(id, submission, r)
	m := message{Result: &r, Submission: submission}
	if r.Outcome == Lost {
		// The owner may end before its next heartbeat.
		m.setLateStarts(h.lateStarts.ofJob(now, r.ID))
	}
	h.actions = append(h.actions, HostAction{Reply: &SessionMessage{h.sessions.pathOf(id), m}})
}

// sessionJobs returns the IDs of the jobs that a session waits for, in order of arrival.
func (p *Pool) sessionJobs(id SessionID) []string {
	var ids []string
	for _, j := range p.sortedJobs() {
		if slices.Contains(j.waiters, id) {
			ids = append(ids, j.ID)
		}
	}
	return ids
}
