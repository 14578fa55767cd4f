package worker

// How a pool acquires servers, gives them up, and hands them over when its host
// leaves (pool.go, rule 5).

import (
	"slices"
	"time"
)

const (
	// maxServerListAge is the age of a list of servers that a new owner uses without
	// reading it again. With the time of the next read it stays below the two seconds
	// after which a leaving server must get no new task.
	maxServerListAge = time.Second
	// maxServerListWait limits how long a new owner waits for the list while the store
	// does not respond.
	maxServerListWait = 300 * time.Millisecond
)

// SetServers sets the platform's list of servers of the failure domain. A server
// of this owner that is missing from the list stays in use while it answers.
func (p *Pool) SetServers(now time.Time, list []Server) {
	p.serverListReadAt = now
	listed, invalid := map[string]bool{}, map[string]bool{}
	for _, info := range list {
		if info.Invalid {
			invalid[info.ID] = true
			continue
		}
		listed[info.ID] = true
		s := p.servers[info.ID]
		if s != nil && s.Address != info.Address {
			p.addressChanged(s)
			s = nil
		}
		if s == nil {
			p.incarnationSeen(now, info.ID, info.Address, 0)
			s = &server{Server: info, runs: map[RunKey]*run{}}
			p.servers[info.ID] = s
			p.orderedServers = append(p.orderedServers, s)
			p.fleet.add(s)
			p.cfg.Log.Info().Str("Server", info.ID).Str("Address", info.Address).Int("CPUMilli", info.Capacity.CPUMilli).Msg("ServerListed")
		}
		if s.Leaving != info.Leaving {
			p.cfg.Log.Info().Str("Server", info.ID).Bool("Leaving", info.Leaving).Msg("ServerLeaving")
		}
		if s.Capacity != info.Capacity {
			p.cfg.Log.Info().Str("Server", info.ID).Int("CPUMilli", info.Capacity.CPUMilli).Int("PreviousCPUMilli", s.Capacity.CPUMilli).
				Int("UsedCPUMilli", s.used.CPUMilli).Msg("ServerCapacityChanged")
		}
		s.Server, s.listed = info, true
		s.largestCPUMilli = max(s.largestCPUMilli, info.Capacity.CPUMilli)
		p.fleet.serverChanged(s)
		p.compareIncarnations(now, s)
	}
	for _, s := range p.orderedServers {
		s.listed = listed[s.ID] && p.servers[s.ID] == s
		if s.invalid != invalid[s.ID] {
			s.invalid = invalid[s.ID]
			p.fleet.serverChanged(s)
			p.cfg.Log.Info().Str("Server", s.ID).Bool("Invalid", s.invalid).Int("Runs", len(s.runs)).Msg("ServerEntryInvalid")
		}
		p.removeIfGone(now, s)
	}
	p.orderedServers = slices.DeleteFunc(p.orderedServers, func(s *server) bool { return s.gone })
	p.countKinds()
	p.acquireServers(now)
	p.refuseUnplaceable(now)
	p.place(now)
}

// HandleServerListRead handles the end of a read of the platform's list of servers,
// which began at now minus took. If the list has changed, SetServers was called before.
func (p *Pool) HandleServerListRead(now time.Time, took time.Duration, ok bool) {
	if ok {
		p.serverListReadAt = now.Add(-took)
	} else {
		p.serverListFailedAt = now.Add(-took)
	}
	p.place(now)
}

// ServerListAge returns the time since the start of the newest successful read of the
// list of servers. ok is false if there was none.
func (p *Pool) ServerListAge(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(p.serverListReadAt), !p.serverListReadAt.IsZero()
}

// awaitsServerList reports whether rule 6 of pool.go forbids to start tasks now.
func (p *Pool) awaitsServerList(now time.Time) bool {
	return now.Sub(p.serverListReadAt) > maxServerListAge && p.serverListFailedAt.Before(p.ownerSince) && now.Sub(p.ownerSince) < maxServerListWait
}

// addressChanged retires a server whose ID is now listed with another address,
// which means that another incarnation of it runs there. The runs at the old
// address stay tracked until their lease has expired. Setting both polling flags
// keeps the pool from polling the old address.
func (p *Pool) addressChanged(s *server) {
	p.cfg.Log.Info().Str("Server", s.ID).Str("Address", s.Address).Msg("ServerAddressChanged")
	p.fleet.serverChanged(s)
	s.listed, s.unresponsive, s.polling, s.immediatePolling = false, true, true, true
	delete(p.servers, s.ID)
}

// removeIfGone removes a server that the platform no longer lists, unless this
// owner still uses it: it must be unresponsive, its lease must have expired, and none of its
// runs may start late (server.go, rule 9).
// SetServers then takes it out of orderedServers.
func (p *Pool) removeIfGone(now time.Time, s *server) {
	if s.listed || s.state != stateNotOwned && (!s.unresponsive || !now.After(s.leaseUntil) || !p.draining && s.awaitsLateStart(now)) {
		return
	}
	p.noteServerLost(now, s, false)
	p.expireRuns(now, s, "ServerGone")
	p.cfg.Log.Info().Str("Server", s.ID).Msg("ServerGone")
	if p.servers[s.ID] == s {
		delete(p.servers, s.ID)
	}
	p.fleet.remove(s)
}

// AssumeOwnership makes the pool acquire all servers except the excluded ones,
// which a leaving owner still uses. A later call replaces the excluded ones.
func (p *Pool) AssumeOwnership(now time.Time, excluded []string) {
	if p.draining {
		return
	}
	if !p.owner {
		p.owner, p.ownerSince = true, now
		p.requireEvacuationsRead(now)
		clear(p.usualFrom)
	}
	p.excluded = map[string]bool{}
	for _, id := range excluded {
		p.excluded[id] = true
	}
	p.acquireServers(now)
	p.place(now)
}

// StepDown gives up all servers immediately. All jobs end as lost or refused.
func (p *Pool) StepDown(now time.Time, reason string) {
	p.owner = false
	for _, j := range p.sortedJobs() {
		p.abandon(now, j, reason)
	}
	for _, s := range p.orderedServers {
		p.expireRuns(now, s, reason)
		p.reset(s)
	}
}

// reset gives up a server without runs.
func (p *Pool) reset(s *server) {
	p.fleet.serverChanged(s)
	s.reset()
}

// Drain makes the pool release its servers as rule 5 of pool.go says. Jobs that
// have not started are returned to their entry hosts.
func (p *Pool) Drain(now time.Time) {
	if p.draining {
		return
	}
	p.draining = true
	for _, j := range p.sortedJobs() {
		if !j.started {
			p.endJob(now, j, Result{Outcome: Returned, Reason: "OwnerLeaving"})
		}
	}
	p.releaseServers()
}

// TrackedServers returns all servers that the pool knows, whether it owns them or
// not.
func (p *Pool) TrackedServers() []Server {
	list := make([]Server, 0, len(p.orderedServers))
	for _, s := range p.orderedServers {
		list = append(list, s.Server)
	}
	return list
}

// RetainedServers returns the IDs of the servers that the pool owns or is acquiring.
// The successor of a leaving owner must not acquire them.
func (p *Pool) RetainedServers() []string {
	var ids []string
	for _, s := range p.orderedServers {
		if s.state != stateNotOwned {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// releaseServers gives up the servers without runs if the pool drains (pool.go,
// rule 5).
func (p *Pool) releaseServers() {
	if !p.draining || p.queue.readyJobs > 0 {
		return
	}
	p.fleet.indexChanged()
	for s := range p.fleet.idle {
		p.reset(s)
	}
}
