package worker

// What a server is known by, its labels and its capacity, is bound to the incarnation that wrote
// its entry (server.go, rule 11).

import "time"

// awaitsEntry reports whether the entry that was read last is that of another incarnation than the
// one that answers. It may be of the one before or of the one after. An entry or a reply that
// doesn't say when the server started may be of any.
func (s *server) awaitsEntry() bool {
	return s.StartedAtMs != 0 && s.incarnation != 0 && s.StartedAtMs != s.incarnation
}

// compareIncarnations notes whether the server gets no start until its entry is read, or until the
// incarnation of its entry answers. It is called after each poll reply and each read of the list.
func (p *Pool) compareIncarnations(now time.Time, s *server) {
	if !s.awaitsEntry() {
		if !s.entryAwaitedSince.IsZero() {
			p.cfg.Log.Info().Str("Server", s.ID).Int64("StartedAtMs", s.incarnation).Int64("WaitMs", now.Sub(s.entryAwaitedSince).Milliseconds()).
				Msg("ServerEntryRead")
		}
		s.entryAwaitedSince, s.entryAwaitedOf = time.Time{}, 0
		return
	}
	if s.entryAwaitedSince.IsZero() {
		s.entryAwaitedSince = now
	}
	if s.StartedAtMs > s.incarnation {
		// A long poll may wait on a connection to the former incarnation.
		if s.state != stateNotOwned && !now.Before(s.nextPollAt) {
			p.sendImmediatePoll(now, s)
		}
		return
	}
	if s.entryAwaitedOf != s.incarnation {
		s.entryAwaitedOf, p.serverListRereadDue = s.incarnation, true
		p.cfg.Log.Info().Str("Server", s.ID).Int64("StartedAtMs", s.incarnation).Int64("EntryStartedAtMs", s.StartedAtMs).
			Int("ReadyJobs", p.queue.readyJobs).Msg("ServerEntryAwaited")
	}
}

// TakeServerListReread reports whether the service must read the list of servers at once
// (rule 11).
func (p *Pool) TakeServerListReread() bool {
	due := p.serverListRereadDue
	p.serverListRereadDue = false
	return due
}
