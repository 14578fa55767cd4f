package worker

// What a pool owns: taking servers, giving them up, handing them over (pool.go,
// rule 5).

import (
	"slices"
	"time"
)

// SetServers delivers the platform's list for the failure domain. A server that is
// missing from it stays in use while it answers.
func (p *Pool) SetServers(now time.Time, list []Server) {
	listed := map[string]bool{}
	for _, info := range list {
		listed[info.ID] = true
		s := p.servers[info.ID]
		if s != nil && s.Address != info.Address {
			p.addressChanged(s)
			s = nil
		}
		if s == nil {
			s = &server{Server: info, runs: map[RunKey]*run{}}
			p.servers[info.ID] = s
			p.orderedServers = append(p.orderedServers, s)
			p.cfg.Log.Info().Str("Server", info.ID).Str("Address", info.Address).Int("CPUMilli", info.Capacity.CPUMilli).Msg("ServerListed")
		}
		if s.Leaving != info.Leaving {
			p.cfg.Log.Info().Str("Server", info.ID).Bool("Leaving", info.Leaving).Msg("ServerLeaving")
		}
		s.Server, s.listed = info, true
	}
	for _, s := range slices.Clone(p.orderedServers) {
		s.listed = listed[s.ID] && p.servers[s.ID] == s
		p.removeIfGone(now, s)
	}
	p.acquireServers(now)
	p.place(now)
}

// addressChanged sets a server aside whose id is now at another address: another
// incarnation has it. What runs at the old address may go on until its lease
// has lapsed.
func (p *Pool) addressChanged(s *server) {
	p.cfg.Log.Info().Str("Server", s.ID).Str("Address", s.Address).Msg("ServerMoved")
	s.listed, s.unresponsive, s.polling, s.immediatePolling = false, true, true, true
	delete(p.servers, s.ID)
}

// removeIfGone removes a server that is neither listed nor heard of.
func (p *Pool) removeIfGone(now time.Time, s *server) {
	if s.listed || s.state != stateNotOwned && (!s.unresponsive || !now.After(s.leaseUntil)) {
		return
	}
	p.expireRuns(now, s)
	p.cfg.Log.Info().Str("Server", s.ID).Msg("ServerGone")
	if p.servers[s.ID] == s {
		delete(p.servers, s.ID)
	}
	p.orderedServers = slices.DeleteFunc(p.orderedServers, func(o *server) bool { return o == s })
}

// AssumeOwnership makes the pool take all servers but those that a leaving owner spares.
func (p *Pool) AssumeOwnership(now time.Time, excluded []string) {
	if p.draining {
		return
	}
	p.owner = true
	p.excluded = map[string]bool{}
	for _, id := range excluded {
		p.excluded[id] = true
	}
	p.acquireServers(now)
	p.place(now)
}

// StepDown gives all servers up at once; all jobs are lost or refused.
func (p *Pool) StepDown(now time.Time, reason string) {
	p.owner = false
	for _, j := range p.sortedJobs() {
		p.abandon(now, j, reason)
	}
	for _, s := range p.orderedServers {
		p.expireRuns(now, s)
		s.reset()
	}
}

// Drain begins rule 5.
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

// TrackedServers returns the servers in the books.
func (p *Pool) TrackedServers() []Server {
	list := make([]Server, 0, len(p.orderedServers))
	for _, s := range p.orderedServers {
		list = append(list, s.Server)
	}
	return list
}

// RetainedServers returns the servers that a leaving owner still uses.
func (p *Pool) RetainedServers() []string {
	var ids []string
	for _, s := range p.orderedServers {
		if s.state != stateNotOwned {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// releaseServers gives empty servers away (rule 5).
func (p *Pool) releaseServers() {
	if !p.draining {
		return
	}
	for _, j := range p.jobs {
		if j.readyTasks > 0 {
			return
		}
	}
	for _, s := range p.orderedServers {
		if s.state != stateNotOwned && len(s.runs) == 0 {
			s.reset()
		}
	}
}
