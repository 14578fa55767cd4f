package worker

import "time"

// How a pool applies the lists of runs in the reply to a poll. The rules cited here are those of
// server.go.

// applyRunLists applies the run lists in the reply to a poll (rules 3, 4 and 7; rule 2
// while the server is being acquired). sent is when the poll was sent.
func (p *Pool) applyRunLists(now time.Time, s *server, sent time.Time, reply Reply) {
	if reply.StartedAtMs != 0 && s.incarnation != 0 && reply.StartedAtMs != s.incarnation {
		p.noteServerLost(now, s, true)
	}
	if reply.StartedAtMs != 0 {
		s.incarnation = reply.StartedAtMs
		p.incarnationSeen(now, s.ID, s.Address, reply.StartedAtMs)
		p.compareIncarnations(now, s)
	}
	if s.startedAtMs != 0 && reply.StartedAtMs != 0 && reply.StartedAtMs != s.startedAtMs {
		p.cfg.Log.Warn().Str("Server", s.ID).Int64("StartedAtMs", reply.StartedAtMs).Msg("ServerRestarted")
		p.acquire(now, s, 0)
		return
	}
	if reply.StartedAtMs != 0 {
		s.startedAtMs = reply.StartedAtMs
	}
	if s.unresponsive {
		p.cfg.Log.Info().Str("Server", s.ID).Msg("ServerResponsive")
	}
	s.unresponsive, s.replaced, s.refusedAt, s.pollRetryDelay, s.nextPollAt = false, false, time.Time{}, 0, time.Time{}
	if !p.observeReply(now, s, reply) {
		return
	}
	for _, e := range reply.EndedRuns {
		if e.Number <= s.lastSeen {
			continue
		}
		s.lastSeen = e.Number
		p.noteStartListed(now, s, e.RunKey)
		if r := s.runs[e.RunKey]; r != nil {
			r.copies.listed = true
			p.runEnded(now, s, r, e.Outcome)
		} else if r := s.expired[e.RunKey]; r != nil && r.task != nil && e.Outcome == RunFailed {
			p.expiredRunFailed(now, s, r)
		}
		delete(s.expired, e.RunKey)
	}
	if !sent.Before(s.expiredAt) && !reply.EndedRunsTruncated {
		s.expired = nil // The reply lists the ends of all of them that have one.
	}
	running := map[RunKey]bool{}
	for _, k := range reply.Running {
		running[k] = true
		p.handleListedRun(now, s, k, sent)
	}
	for _, r := range s.sortedRuns() {
		// A run that neither list contains may be among the ends that were left out.
		if s.runs[r.RunKey] != r || running[r.RunKey] || reply.EndedRunsTruncated {
			continue
		}
		switch {
		case r.token < s.token:
			p.resolveRun(now, s, r, "ServerReacquired")
		case r.isGone(sent):
			p.resolveRun(now, s, r, "NotListed")
		case !r.confirmed && sent.Sub(r.copiedAt) >= startPollDelay:
			p.repeatStart(now, s, r)
		}
	}
	if s.state == stateAcquiring {
		for _, r := range s.sortedRuns() {
			p.requestStop(now, s, r)
		}
	}
	if s.state == stateAcquiring && len(s.runs) == 0 && len(reply.Running) == 0 {
		s.state = stateReady
		p.cfg.Log.Info().Str("Server", s.ID).Uint64("FencingToken", s.token).Msg("ServerAcquired")
	}
}

// handleListedRun applies an entry of the server's list of running runs. A run
// that this owner doesn't know is an orphan, which is stopped.
func (p *Pool) handleListedRun(now time.Time, s *server, k RunKey, sent time.Time) {
	r := s.runs[k]
	if r != nil {
		r.copies.listed = true
	} else {
		p.noteStartListed(now, s, k)
	}
	switch {
	case r == nil && (s.state == stateAcquiring || sent.After(s.lastRunEndedAt)):
		// If the poll was sent before the last run ended, the list may be older
		// than that end, and an unknown run is no orphan.
		r = &run{RunKey: k, confirmed: true, sent: sent, token: s.token, startedAtMs: s.startedAtMs}
		s.addRun(r)
		s.leaseOfAnother(now)
		p.fleet.serverChanged(s)
		p.trackedRuns[k.Task]++
		p.cfg.Log.Warn().Str("Server", s.ID).Int64("StartedAtMs", s.startedAtMs).Uint64("FencingToken", s.token).
			Str("Task", k.Task).Int("Run", k.Run).Msg("OrphanedRunFound")
		p.requestStop(now, s, r)
	case r != nil && !r.confirmed:
		// The run counts as running from now, not from when this poll was sent:
		// another poll that was sent after this one, but executed before it, may
		// not list the run yet.
		r.confirmed, r.sent = true, now
		if r.stopRequestedAt.IsZero() || r.task == nil {
			return
		}
		// The start command was not answered, but the run exists. It may continue
		// unless a stop command for it was already sent.
		if r.stopSentAt.IsZero() {
			r.stopRequestedAt = time.Time{}
		}
	}
}

// isGone reports whether a run is gone, given that the reply to a poll that was sent at sent
// does not list it.
// A running run is gone if the poll was sent after this host learned that the run
// exists; rule 4 applies to the other ones.
func (r *run) isGone(sent time.Time) bool {
	if r.confirmed {
		return !sent.Before(r.sent)
	}
	return !r.stopAckedAt.IsZero() && !sent.Before(r.stopAckedAt)
}

// listDueAt returns when the server is polled since a start command was not answered.
func (r *run) listDueAt() time.Time {
	if r.listRequestedAt.After(r.copiedAt) {
		return r.listRequestedAt.Add(startPollDelay)
	}
	return r.copiedAt.Add(startPollDelay)
}
