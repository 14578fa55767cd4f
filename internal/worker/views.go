package worker

// How a host finds the owners of the failure domains and keeps its sessions with
// them. The rules cited here are those of entry.go.

import (
	"slices"
	"time"
)

// Tick does what is due with time.
func (e *Entry) Tick(now time.Time) {
	for id, until := range e.avoid {
		if now.After(until) {
			delete(e.avoid, id)
		}
	}
	for _, d := range e.domains() {
		v := e.views[d]
		if v == nil {
			v = &view{domain: d}
			e.views[d] = v
		}
		e.tickView(now, v)
	}
	e.tickBehind(now)
	e.tickWaiting(now)
}

// tickBehind ends the sessions with leaving owners that are silent or done.
func (e *Entry) tickBehind(now time.Time) {
	for _, id := range sortedKeys(e.behind) {
		v := e.behind[id]
		if now.Sub(v.heard) > entryLease {
			e.dropBehind(now, id, "SessionSilent")
			continue
		}
		// This host may become the owner only later, and then has to spare them.
		needed := !e.leaving && v.domain == e.cfg.Self.FailureDomain && len(v.stamp.RetainedServers) > 0
		for _, j := range e.jobs {
			needed = needed || j.owner == id
		}
		if !needed {
			e.dropBehind(now, id, "Done")
		}
	}
}

// dropBehind ends the session with a leaving owner. What it kept is free.
func (e *Entry) dropBehind(now time.Time, id, reason string) {
	v := e.behind[id]
	delete(e.behind, id)
	e.out = append(e.out, EntryAction{Close: id})
	e.loseJobs(now, id, reason)
	if e.owning && v.domain == e.cfg.Self.FailureDomain {
		e.own()
	}
}

func sortedKeys(m map[string]*view) []string {
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

func (e *Entry) tickView(now time.Time, v *view) {
	if v.domain == e.cfg.Self.FailureDomain && e.owning {
		return
	}
	if v.target.Incarnation != "" {
		silent := now.Sub(v.heard) > entryLease
		if !v.open {
			silent = now.Sub(v.since) > openPatience
		}
		if silent {
			e.lost(now, v, "SessionSilent")
		}
	}
	waiting := v.target.Incarnation != "" && (!v.open || v.stamp.Number == 0)
	if v.usable() || waiting {
		return
	}
	next, ok := e.choose(now, v)
	if !ok || next.Incarnation == v.target.Incarnation {
		return
	}
	e.follow(now, v, next)
}

// choose returns the host to take for the owner of a domain (rule 1).
func (e *Entry) choose(now time.Time, v *view) (Candidate, bool) {
	hint := ""
	if v.open && !v.stamp.IsOwner {
		hint = v.stamp.KnownOwner
	}
	var first *Candidate
	for i := range e.candidates {
		c := &e.candidates[i]
		self := c.Incarnation == e.cfg.Self.Incarnation
		if c.FailureDomain != v.domain || !e.avoid[c.Incarnation].IsZero() || e.leavers[c.Incarnation] || self && e.leaving {
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
	if other, ok := e.ask(v); ok {
		return other, true
	}
	return *first, e.mayElect(now)
}

// ask returns the host to ask for the owner of the own domain before this one
// takes itself for it (rule 2).
func (e *Entry) ask(v *view) (Candidate, bool) {
	// Whom it had turned to has answered, or is lost, which sets asked too.
	e.asked = e.asked || v.target.Incarnation != ""
	if e.asked {
		return Candidate{}, false
	}
	for _, c := range e.candidates {
		if c.FailureDomain == v.domain && c.Incarnation != e.cfg.Self.Incarnation &&
			c.CPUMilli/cpuClassMilli >= e.cfg.Self.CPUMilli/cpuClassMilli && e.avoid[c.Incarnation].IsZero() && !e.leavers[c.Incarnation] {
			return c, true
		}
	}
	return Candidate{}, false
}

// mayElect reports whether this host has listened long enough to take itself for
// the owner: members tell each other of all members as soon as they meet.
func (e *Entry) mayElect(now time.Time) bool {
	return now.Sub(e.cfg.Now) >= electAfter || !e.met.IsZero() && now.Sub(e.met) >= electMet
}

// follow turns to another host for a domain.
func (e *Entry) follow(now time.Time, v *view, next Candidate) {
	e.cfg.Log.Info().Str("Domain", v.domain).Str("From", v.target.Incarnation).Str("To", next.Incarnation).Msg("OwnerChosen")
	switch {
	case v.open && v.stamp.Leaving:
		old := *v
		e.behind[v.target.Incarnation] = &old
	case v.target.Incarnation != "":
		e.out = append(e.out, EntryAction{Close: v.target.Incarnation})
		e.loseJobs(now, v.target.Incarnation, "OwnerChanged")
	}
	if next.Incarnation == e.cfg.Self.Incarnation {
		*v = view{domain: v.domain}
		e.owning = true
		e.own()
		return
	}
	*v = view{domain: v.domain, target: next, since: now}
	e.out = append(e.out, EntryAction{Open: &next})
}

// own makes this host the owner of its domain, or tells it which servers leaving
// owners still keep. There may be several: each of them is left by its successor
// once that leaves too.
func (e *Entry) own() {
	var spared []string
	for _, id := range sortedKeys(e.behind) {
		if v := e.behind[id]; v.domain == e.cfg.Self.FailureDomain {
			spared = append(spared, v.stamp.RetainedServers...)
		}
	}
	e.out = append(e.out, EntryAction{AssumeOwnership: &Ownership{spared}})
}

// HandleSessionOpened tells that the session with an incarnation is open. It reports whether
// the session is still wanted; another host may have been chosen meanwhile.
func (e *Entry) HandleSessionOpened(now time.Time, incarnation string) bool {
	for _, v := range e.views {
		if v.target.Incarnation == incarnation && !v.open {
			v.open, v.heard = true, now
			return true
		}
	}
	return false
}

// HandleSessionClosed tells that a session broke or could not be opened (rule 4).
func (e *Entry) HandleSessionClosed(now time.Time, incarnation, reason string) {
	for _, d := range e.domains() {
		if v := e.views[d]; v != nil && v.target.Incarnation == incarnation {
			e.lost(now, v, reason)
		}
	}
	if e.behind[incarnation] != nil {
		e.dropBehind(now, incarnation, reason)
	}
	e.loseJobs(now, incarnation, reason)
	e.Tick(now)
}

// lost gives up the session of a view.
func (e *Entry) lost(now time.Time, v *view, reason string) {
	gone := v.target.Incarnation
	e.cfg.Log.Warn().Str("Domain", v.domain).Str("Owner", gone).Str("Reason", reason).
		Int64("SilentMs", now.Sub(v.heard).Milliseconds()).Msg("OwnerLost")
	e.avoid[gone] = now.Add(avoidTime)
	e.asked = e.asked || v.domain == e.cfg.Self.FailureDomain
	e.out = append(e.out, EntryAction{Close: gone})
	*v = view{domain: v.domain}
	e.loseJobs(now, gone, reason)
}

// HandleHeartbeat handles a stamp: it is echoed, and what it says is noted.
func (e *Entry) HandleHeartbeat(now time.Time, from string, st stamp) {
	if st.Leaving {
		e.leavers[from] = true
	}
	for _, d := range e.domains() {
		v := e.views[d]
		if v == nil || v.target.Incarnation != from || !v.open {
			continue
		}
		v.heard, v.stamp = now, st
		e.out = append(e.out, EntryAction{Send: &OwnerMessage{from, message{Ack: st.Number}}})
		e.tickView(now, v)
		return
	}
	v := e.behind[from]
	if v == nil {
		return
	}
	changed := len(v.stamp.RetainedServers) != len(st.RetainedServers)
	v.heard, v.stamp = now, st
	e.out = append(e.out, EntryAction{Send: &OwnerMessage{from, message{Ack: st.Number}}})
	if changed && e.owning && v.domain == e.cfg.Self.FailureDomain {
		e.own()
	}
}
