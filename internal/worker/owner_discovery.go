package worker

// How a host finds the owners of the failure domains and maintains its sessions
// with them. The rules cited here are those of entry.go.

import (
	"slices"
	"time"
)

// Tick ends expired backoffs and sessions, chooses owners where none is usable, and
// offers waiting jobs. It must be called at least every tickInterval.
func (e *Entry) Tick(now time.Time) {
	for id, until := range e.backoffUntil {
		if now.After(until) {
			delete(e.backoffUntil, id)
		}
	}
	for _, d := range e.domains {
		v := e.views[d]
		if v == nil {
			v = &ownerView{domain: d}
			e.views[d] = v
		}
		e.tickOwnerView(now, v)
	}
	e.tickDraining(now)
	e.endTimedOutJobs(now)
	e.tickStartable(now)
	e.offerWaitingJobs(now)
	e.tickCancels(now)
}

// tickDraining ends the sessions with leaving owners that are unresponsive or no
// longer needed.
func (e *Entry) tickDraining(now time.Time) {
	for _, id := range sortedKeys(e.draining) {
		v := e.draining[id]
		if now.Sub(v.lastContact) > sessionLease {
			e.dropDraining(now, id, "SessionSilent")
			continue
		}
		e.tickPath(now, v)
		// This host may become the owner later and must not acquire these servers
		// then.
		needed := len(e.remembered[id]) > 0 || !e.leaving && v.domain == e.cfg.Self.FailureDomain && len(v.heartbeat.RetainedServers) > 0
		for _, j := range e.jobs {
			needed = needed || j.owner == id
		}
		if !needed {
			e.dropDraining(now, id, "Done")
		}
	}
}

// dropDraining ends the session with a leaving owner. If this host owns the same
// domain, it may then acquire the servers that the leaving owner retained.
func (e *Entry) dropDraining(now time.Time, id, reason string) {
	v := e.draining[id]
	delete(e.draining, id)
	e.actions = append(e.actions, EntryAction{Close: id})
	e.loseJobs(now, v.domain, id, reason)
	if e.isOwner && v.domain == e.cfg.Self.FailureDomain {
		e.assumeOwnership()
	}
}

func sortedKeys(m map[string]*ownerView) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// failureDomains returns the failure domains of the candidates, sorted.
func failureDomains(candidates []Candidate) []string {
	var list []string
	for _, c := range candidates {
		if !slices.Contains(list, c.FailureDomain) {
			list = append(list, c.FailureDomain)
		}
	}
	slices.Sort(list)
	return list
}

// tickOwnerView ends the session with the owner of a domain if that is unresponsive, and
// chooses another host if the present one is not usable.
func (e *Entry) tickOwnerView(now time.Time, v *ownerView) {
	if v.domain == e.cfg.Self.FailureDomain && e.isOwner {
		return
	}
	if v.candidate.Incarnation != "" {
		unresponsive := now.Sub(v.lastContact) > sessionLease
		if !v.open {
			unresponsive = now.Sub(v.openingSince) > openTimeout
		}
		if unresponsive {
			e.ownerLost(now, v, "SessionSilent")
		} else {
			e.tickPath(now, v)
		}
	}
	waiting := v.candidate.Incarnation != "" && (!v.open || v.heartbeat.Number == 0)
	if v.usable() || waiting {
		return
	}
	next, ok := e.chooseOwner(now, v)
	if !ok || next.Incarnation == v.candidate.Incarnation {
		return
	}
	e.switchOwner(now, v, next)
}

// chooseOwner returns the host to consider the owner of a domain (rule 1). It
// returns false if there is no candidate, or if the only choice is this host and
// it must still wait.
func (e *Entry) chooseOwner(now time.Time, v *ownerView) (Candidate, bool) {
	knownOwner := ""
	if v.open && !v.heartbeat.IsOwner {
		knownOwner = v.heartbeat.KnownOwner
	}
	var first *Candidate
	for i := range e.candidates {
		c := &e.candidates[i]
		self := c.Incarnation == e.cfg.Self.Incarnation
		if c.FailureDomain != v.domain || !e.backoffUntil[c.Incarnation].IsZero() || e.leavingHosts[c.Incarnation] || self && e.leaving {
			continue
		}
		if c.Incarnation == knownOwner && !self {
			return *c, true
		}
		if first == nil {
			first = c
		}
	}
	if first == nil {
		return Candidate{}, false
	}
	if first.Incarnation != e.cfg.Self.Incarnation {
		return *first, true
	}
	if other, ok := e.peerToConsult(v); ok {
		return other, true
	}
	return *first, e.mayAssumeOwnership(now)
}

// peerToConsult returns the host to ask who owns the domain before this host assumes
// ownership (rule 2). It returns false if no host needs to be asked.
func (e *Entry) peerToConsult(v *ownerView) (Candidate, bool) {
	// If a candidate is set, it was consulted and has answered. If it did not
	// answer, ownerLost has already set peerConsulted.
	e.peerConsulted = e.peerConsulted || v.candidate.Incarnation != ""
	if e.peerConsulted {
		return Candidate{}, false
	}
	for _, c := range e.candidates {
		if c.FailureDomain == v.domain && c.Incarnation != e.cfg.Self.Incarnation &&
			c.CPUMilli/cpuClassMilli >= e.cfg.Self.CPUMilli/cpuClassMilli && e.backoffUntil[c.Incarnation].IsZero() && !e.leavingHosts[c.Incarnation] {
			return c, true
		}
	}
	return Candidate{}, false
}

// mayAssumeOwnership reports whether this host has waited long enough to know all
// other members. The wait is shorter once it knows one of them, because members
// exchange their lists of members on first contact, and if it awaits no larger host.
func (e *Entry) mayAssumeOwnership(now time.Time) bool {
	if now.Sub(e.cfg.Now) >= electionDelay {
		return true
	}
	delay := electionDelayAfterPeer
	if e.knowsListedHosts() {
		delay = electionDelayAllKnown
	}
	return !e.firstPeerAt.IsZero() && now.Sub(e.firstPeerAt) >= delay && !e.awaitsLargerHost()
}

// knowsListedHosts reports whether the platform lists other hosts of the domain, all of which
// are members.
func (e *Entry) knowsListedHosts() bool {
	others := 0
	for _, h := range e.listedHosts {
		if h.Address == e.cfg.Self.Address {
			continue
		}
		others++
		if !slices.ContainsFunc(e.candidates, func(c Candidate) bool { return c.Address == h.Address }) {
			return false
		}
	}
	return others > 0
}

// awaitsLargerHost reports whether the platform lists a host of the domain with clearly
// more processor time that is not among the candidates (rule 2).
func (e *Entry) awaitsLargerHost() bool {
	return slices.ContainsFunc(e.listedHosts, func(h Candidate) bool {
		return h.CPUMilli/cpuClassMilli > e.cfg.Self.CPUMilli/cpuClassMilli &&
			!slices.ContainsFunc(e.candidates, func(c Candidate) bool { return c.Address == h.Address })
	})
}

// switchOwner makes next the host that is considered the owner of a domain.
func (e *Entry) switchOwner(now time.Time, v *ownerView, next Candidate) {
	e.cfg.Log.Info().Str("FailureDomain", v.domain).Str("From", v.candidate.Incarnation).Str("To", next.Incarnation).Msg("OwnerChosen")
	switch {
	case v.open && v.heartbeat.Leaving:
		old := *v
		e.draining[v.candidate.Incarnation] = &old
	case v.candidate.Incarnation != "":
		e.actions = append(e.actions, EntryAction{Close: v.candidate.Incarnation})
		e.loseJobs(now, v.domain, v.candidate.Incarnation, "OwnerChanged")
	}
	if next.Incarnation == e.cfg.Self.Incarnation {
		*v = ownerView{domain: v.domain}
		e.isOwner = true
		e.assumeOwnership()
		return
	}
	*v = ownerView{domain: v.domain, candidate: next, openingSince: now}
	e.actions = append(e.actions, EntryAction{Open: &next})
}

// assumeOwnership makes this host the owner of its domain, or updates the servers
// that leaving owners still use. There may be several leaving owners, since a
// successor may leave before its predecessor has finished.
func (e *Entry) assumeOwnership() {
	var excluded []string
	for _, id := range sortedKeys(e.draining) {
		if v := e.draining[id]; v.domain == e.cfg.Self.FailureDomain {
			excluded = append(excluded, v.heartbeat.RetainedServers...)
		}
	}
	e.actions = append(e.actions, EntryAction{AssumeOwnership: &Ownership{excluded}})
}

// HandleSessionOpened handles the opening of the session with an incarnation. It
// reports whether the session is still wanted. It is not if another host was chosen
// while it was being opened; the service then closes it.
func (e *Entry) HandleSessionOpened(now time.Time, incarnation string) bool {
	for _, v := range e.views {
		if v.candidate.Incarnation == incarnation && !v.open {
			v.open, v.lastContact = true, now
			return true
		}
	}
	return false
}

// HandleSessionClosed handles a session that broke or could not be opened (rule 4).
func (e *Entry) HandleSessionClosed(now time.Time, incarnation, reason string) {
	for _, d := range e.domains {
		if v := e.views[d]; v != nil && v.candidate.Incarnation == incarnation {
			e.ownerLost(now, v, reason)
		}
	}
	if e.draining[incarnation] != nil {
		e.dropDraining(now, incarnation, reason)
	}
	e.loseJobs(now, e.domainOf(incarnation), incarnation, reason)
	e.Tick(now)
}

// ownerLost ends the session of a view, whose host failed to answer, and loses the
// jobs sent there.
func (e *Entry) ownerLost(now time.Time, v *ownerView, reason string) {
	lost := v.candidate.Incarnation
	e.cfg.Log.Warn().Str("FailureDomain", v.domain).Str("Owner", lost).Str("Reason", reason).
		Int64("SinceContactMs", now.Sub(v.lastContact).Milliseconds()).Msg("OwnerLost")
	e.backoffUntil[lost] = now.Add(ownerBackoff)
	e.peerConsulted = e.peerConsulted || v.domain == e.cfg.Self.FailureDomain
	e.actions = append(e.actions, EntryAction{Close: lost})
	*v = ownerView{domain: v.domain}
	e.loseJobs(now, v.domain, lost, reason)
}

// newAck returns the acknowledgment of a heartbeat, with the new records of the late-start log and the
// cancel log.
func (e *Entry) newAck(now time.Time, v *ownerView, number uint64) message {
	l := e.cfg.LateStarts
	m := message{Ack: number, Witnessing: true}
	var records lateStartsMessage
	records, v.path.lateStartsSent = l.since(now, v.path.lateStartsSent)
	m.setLateStarts(records)
	m.CancelledJobs, v.path.cancelsSent = e.cfg.Cancels.since(now, v.path.cancelsSent)
	return m
}

// HandleHeartbeat acknowledges a session heartbeat and records its content. It
// ignores one from a host that has no open session here.
func (e *Entry) HandleHeartbeat(now time.Time, from string, hb heartbeat) {
	if hb.Leaving {
		e.leavingHosts[from] = true
	}
	for _, d := range e.domains {
		v := e.views[d]
		if v == nil || v.candidate.Incarnation != from || !v.open {
			continue
		}
		ack := e.newAck(now, v, hb.Number)
		if hb.IsOwner && !v.heartbeat.IsOwner {
			ack.Usual = e.usual.list(now)
		}
		v.lastContact, v.heartbeat = now, hb
		e.actions = append(e.actions, EntryAction{Send: &OwnerMessage{from, ack}})
		e.tickOwnerView(now, v)
		return
	}
	v := e.draining[from]
	if v == nil {
		return
	}
	changed := len(v.heartbeat.RetainedServers) != len(hb.RetainedServers)
	v.lastContact, v.heartbeat = now, hb
	e.actions = append(e.actions, EntryAction{Send: &OwnerMessage{from, e.newAck(now, v, hb.Number)}})
	if changed && e.isOwner && v.domain == e.cfg.Self.FailureDomain {
		e.assumeOwnership()
	}
}
