package worker

// How a host finds the owners of the failure domains and keeps its sessions with
// them. The rules cited here are those of entry.go.

import (
	"slices"
	"time"
)

// Tick does what is due with time.
func (e *Entry) Tick(now time.Time) {
	for id, until := range e.backoffUntil {
		if now.After(until) {
			delete(e.backoffUntil, id)
		}
	}
	for _, d := range e.domains() {
		v := e.views[d]
		if v == nil {
			v = &ownerView{domain: d}
			e.views[d] = v
		}
		e.tickOwnerView(now, v)
	}
	e.tickDraining(now)
	e.offerWaitingJobs(now)
}

// tickDraining ends the sessions with leaving owners that are silent or done.
func (e *Entry) tickDraining(now time.Time) {
	for _, id := range sortedKeys(e.draining) {
		v := e.draining[id]
		if now.Sub(v.lastContact) > sessionLease {
			e.dropDraining(now, id, "SessionSilent")
			continue
		}
		// This host may become the owner only later, and then has to spare them.
		needed := !e.leaving && v.domain == e.cfg.Self.FailureDomain && len(v.heartbeat.RetainedServers) > 0
		for _, j := range e.jobs {
			needed = needed || j.owner == id
		}
		if !needed {
			e.dropDraining(now, id, "Done")
		}
	}
}

// dropDraining ends the session with a leaving owner. What it kept is free.
func (e *Entry) dropDraining(now time.Time, id, reason string) {
	v := e.draining[id]
	delete(e.draining, id)
	e.actions = append(e.actions, EntryAction{Close: id})
	e.loseJobs(now, id, reason)
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

// domains returns all failure domains in order.
func (e *Entry) domains() []string {
	var list []string
	for _, c := range e.candidates {
		if !slices.Contains(list, c.FailureDomain) {
			list = append(list, c.FailureDomain)
		}
	}
	slices.Sort(list)
	return list
}

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

// chooseOwner returns the host to take for the owner of a domain (rule 1).
func (e *Entry) chooseOwner(now time.Time, v *ownerView) (Candidate, bool) {
	hint := ""
	if v.open && !v.heartbeat.IsOwner {
		hint = v.heartbeat.KnownOwner
	}
	var first *Candidate
	for i := range e.candidates {
		c := &e.candidates[i]
		self := c.Incarnation == e.cfg.Self.Incarnation
		if c.FailureDomain != v.domain || !e.backoffUntil[c.Incarnation].IsZero() || e.leavingHosts[c.Incarnation] || self && e.leaving {
			continue
		}
		if c.Incarnation == hint && !self {
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

// peerToConsult returns the host to ask for the owner of the own domain before this one
// takes itself for it (rule 2).
func (e *Entry) peerToConsult(v *ownerView) (Candidate, bool) {
	// Whom it had turned to has answered, or is lost, which sets asked too.
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

// mayAssumeOwnership reports whether this host has listened long enough to take itself for
// the owner: members tell each other of all members as soon as they meet.
func (e *Entry) mayAssumeOwnership(now time.Time) bool {
	return now.Sub(e.cfg.Now) >= electionDelay || !e.firstPeerAt.IsZero() && now.Sub(e.firstPeerAt) >= electionDelayAfterPeer
}

// switchOwner turns to another host for a domain.
func (e *Entry) switchOwner(now time.Time, v *ownerView, next Candidate) {
	e.cfg.Log.Info().Str("FailureDomain", v.domain).Str("From", v.candidate.Incarnation).Str("To", next.Incarnation).Msg("OwnerChosen")
	switch {
	case v.open && v.heartbeat.Leaving:
		old := *v
		e.draining[v.candidate.Incarnation] = &old
	case v.candidate.Incarnation != "":
		e.actions = append(e.actions, EntryAction{Close: v.candidate.Incarnation})
		e.loseJobs(now, v.candidate.Incarnation, "OwnerChanged")
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

// assumeOwnership makes this host the owner of its domain, or tells it which servers leaving
// owners still keep. There may be several: each of them is left by its successor
// once that leaves too.
func (e *Entry) assumeOwnership() {
	var excluded []string
	for _, id := range sortedKeys(e.draining) {
		if v := e.draining[id]; v.domain == e.cfg.Self.FailureDomain {
			excluded = append(excluded, v.heartbeat.RetainedServers...)
		}
	}
	e.actions = append(e.actions, EntryAction{AssumeOwnership: &Ownership{excluded}})
}

// HandleSessionOpened tells that the session with an incarnation is open. It reports whether
// the session is still wanted; another host may have been chosen meanwhile.
func (e *Entry) HandleSessionOpened(now time.Time, incarnation string) bool {
	for _, v := range e.views {
		if v.candidate.Incarnation == incarnation && !v.open {
			v.open, v.lastContact = true, now
			return true
		}
	}
	return false
}

// HandleSessionClosed tells that a session broke or could not be opened (rule 4).
func (e *Entry) HandleSessionClosed(now time.Time, incarnation, reason string) {
	for _, d := range e.domains() {
		if v := e.views[d]; v != nil && v.candidate.Incarnation == incarnation {
			e.ownerLost(now, v, reason)
		}
	}
	if e.draining[incarnation] != nil {
		e.dropDraining(now, incarnation, reason)
	}
	e.loseJobs(now, incarnation, reason)
	e.Tick(now)
}

// ownerLost gives up the session of a view.
func (e *Entry) ownerLost(now time.Time, v *ownerView, reason string) {
	gone := v.candidate.Incarnation
	e.cfg.Log.Warn().Str("FailureDomain", v.domain).Str("Owner", gone).Str("Reason", reason).
		Int64("SinceContactMs", now.Sub(v.lastContact).Milliseconds()).Msg("OwnerLost")
	e.backoffUntil[gone] = now.Add(ownerBackoff)
	e.peerConsulted = e.peerConsulted || v.domain == e.cfg.Self.FailureDomain
	e.actions = append(e.actions, EntryAction{Close: gone})
	*v = ownerView{domain: v.domain}
	e.loseJobs(now, gone, reason)
}

// HandleHeartbeat handles a stamp: it is echoed, and what it says is noted.
func (e *Entry) HandleHeartbeat(now time.Time, from string, st heartbeat) {
	if st.Leaving {
		e.leavingHosts[from] = true
	}
	for _, d := range e.domains() {
		v := e.views[d]
		if v == nil || v.candidate.Incarnation != from || !v.open {
			continue
		}
		v.lastContact, v.heartbeat = now, st
		e.actions = append(e.actions, EntryAction{Send: &OwnerMessage{from, message{Ack: st.Number}}})
		e.tickOwnerView(now, v)
		return
	}
	v := e.draining[from]
	if v == nil {
		return
	}
	changed := len(v.heartbeat.RetainedServers) != len(st.RetainedServers)
	v.lastContact, v.heartbeat = now, st
	e.actions = append(e.actions, EntryAction{Send: &OwnerMessage{from, message{Ack: st.Number}}})
	if changed && e.isOwner && v.domain == e.cfg.Self.FailureDomain {
		e.assumeOwnership()
	}
}
