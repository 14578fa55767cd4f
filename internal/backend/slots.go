package backend

import (
	"sort"
	"time"
)

// slotState tells how a slot is used.
type slotState uint8

const (
	// slotIdle can run a task.
	slotIdle slotState = iota
	// slotBusy runs a task of this host.
	slotBusy
	// slotLent is lent to another host.
	slotLent
	// slotInactive is not used: its server is ejected or leaving, or usableFrom has
	// not passed.
	slotInactive
	// slotRemoved no longer belongs to this host. If it is still in use, it is
	// removed from the pool when the task or the loan ends.
	slotRemoved
)

// slot is the right to run one task at a time on a server.
type slot struct {
	ref    SlotRef
	server *server
	state  slotState
	// lender is the host that lent the slot. It is empty for a slot of this host.
	lender string
	loanID uint64
	// loanEnd is the time from which a borrowed slot gets no new task, or from which
	// this host may use a lent slot again.
	loanEnd time.Time
	// usableFrom is when a slot gained in a change of shares may first be used. It
	// is zero once the slot is in use.
	usableFrom time.Time
	// listed tells whether the slot is in the idle list of its pool.
	listed bool
}

// server is a backend server as this host sees it, with the slots that this host
// owns or has borrowed there.
type server struct {
	Server
	health health
	slots  []*slot
}

// inactiveSlot returns an inactive slot of the server, or nil.
func (s *server) inactiveSlot() *slot {
	for _, sl := range s.slots {
		if sl.state == slotInactive {
			return sl
		}
	}
	return nil
}

// pool holds the slots, the queue and the statistics of one service. The slots are
// own ones, which may be lent, and borrowed ones; lent is keyed by loan ID. idle may
// still list slots that are no longer idle. usable is the number of slots on which
// waiting tasks will run (updateUsable).
type pool struct {
	policy   Policy
	servers  map[string]*server
	own      map[SlotRef]*slot
	borrowed map[*slot]bool
	lent     map[uint64]*slot
	idle     []*slot
	usable   int
	queue    *fairQueue
	runTimes *runTimeEstimator
	failures failureRate
	// retryTokens is the number of retries that the retry budget allows now.
	retryTokens float64
	// requestedSlots is the number of slots in unanswered loan requests to peers.
	requestedSlots int
	// waitingRequests are loan requests of peers that wait for an idle slot.
	waitingRequests []waitingRequest
	// ejected is the number of servers that are ejected as outliers.
	ejected int
	// nextActivation is when the next gained slot becomes usable, zero if none
	// waits.
	nextActivation time.Time
}

func newPool(p Policy) *pool {
	return &pool{
		policy:      p,
		servers:     map[string]*server{},
		own:         map[SlotRef]*slot{},
		borrowed:    map[*slot]bool{},
		lent:        map[uint64]*slot{},
		queue:       newFairQueue(),
		runTimes:    newRunTimeEstimator(p.PriorRunTime),
		retryTokens: retryBurst,
	}
}

// release makes a slot that is no longer in use idle, deactivates it if its server
// is leaving or ejected, or removes it if it no longer belongs to this host.
func (p *pool) release(sl *slot) {
	switch {
	case sl.state == slotRemoved:
		p.removeSlot(sl)
	case sl.server.Leaving || sl.server.health.ejected:
		sl.state = slotInactive
	default:
		sl.state = slotIdle
		p.addIdle(sl)
	}
}

// addIdle appends a slot to the idle list unless it is listed.
func (p *pool) addIdle(sl *slot) {
	if !sl.listed {
		sl.listed = true
		p.idle = append(p.idle, sl)
	}
}

// takeIdle removes and returns the slot that has been idle longest, or returns nil.
// It skips borrowed slots whose loan has ended.
func (p *pool) takeIdle(now time.Time) *slot {
	for len(p.idle) > 0 {
		sl := p.idle[0]
		p.idle[0] = nil
		p.idle = p.idle[1:]
		sl.listed = false
		expired := sl.lender != "" && !now.Before(sl.loanEnd)
		if sl.state == slotIdle && !expired {
			return sl
		}
	}
	return nil
}

// idleCount returns the number of idle slots.
func (p *pool) idleCount() int {
	n := 0
	for _, sl := range p.idle {
		if sl.state == slotIdle {
			n++
		}
	}
	return n
}

// deactivate stops new tasks on a server.
func (p *pool) deactivate(s *server) {
	for _, sl := range s.slots {
		if sl.state == slotIdle {
			sl.state = slotInactive
		}
	}
	p.updateUsable()
}

// reactivate allows new tasks on a server, unless it is leaving or ejected.
func (p *pool) reactivate(s *server) {
	if s.Leaving || s.health.ejected {
		return
	}
	for _, sl := range s.slots {
		if sl.state == slotInactive && sl.usableFrom.IsZero() {
			sl.state = slotIdle
			p.addIdle(sl)
		}
	}
	p.updateUsable()
}

// ejectedServers returns the ejected servers that are not leaving, sorted by name.
func (p *pool) ejectedServers() []*server {
	var list []*server
	for _, s := range p.servers {
		if s.health.ejected && !s.Leaving {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// removeSlot removes a slot from the pool.
func (p *pool) removeSlot(sl *slot) {
	sl.state = slotRemoved
	delete(p.borrowed, sl)
	if sl.lender == "" && p.own[sl.ref] == sl {
		delete(p.own, sl.ref)
	}
	if p.lent[sl.loanID] == sl {
		delete(p.lent, sl.loanID)
	}
	slots := sl.server.slots
	for i, other := range slots {
		if other == sl {
			sl.server.slots = append(slots[:i], slots[i+1:]...)
			break
		}
	}
	p.updateUsable()
}

// updateUsable recounts the slots on which waiting tasks will run. Lent slots count,
// because they come back within a task's run time.
func (p *pool) updateUsable() {
	p.usable = len(p.borrowed)
	for _, sl := range p.own {
		if sl.state != slotInactive {
			p.usable++
		}
	}
}

// addOwn adds an own slot that may be used from the given time on.
func (p *pool) addOwn(ref SlotRef, s *server, usableFrom time.Time) {
	sl := &slot{ref: ref, server: s, state: slotInactive, usableFrom: usableFrom}
	p.own[ref] = sl
	s.slots = append(s.slots, sl)
	if p.nextActivation.IsZero() || usableFrom.Before(p.nextActivation) {
		p.nextActivation = usableFrom
	}
}

// activateDue makes own slots usable whose usableFrom has passed.
func (p *pool) activateDue(now time.Time) {
	if p.nextActivation.IsZero() || now.Before(p.nextActivation) {
		return
	}
	p.nextActivation = time.Time{}
	for _, ref := range p.sortedOwn() {
		sl := p.own[ref]
		if sl.state != slotInactive || sl.usableFrom.IsZero() {
			continue
		}
		if now.Before(sl.usableFrom) {
			if p.nextActivation.IsZero() || sl.usableFrom.Before(p.nextActivation) {
				p.nextActivation = sl.usableFrom
			}
			continue
		}
		sl.usableFrom = time.Time{}
		p.release(sl)
	}
	p.updateUsable()
}

// sortedOwn returns the own slots by slot number, then by server.
func (p *pool) sortedOwn() []SlotRef {
	refs := make([]SlotRef, 0, len(p.own))
	for r := range p.own {
		refs = append(refs, r)
	}
	sort.Slice(refs, func(i, j int) bool {
		if refs[i].Index != refs[j].Index {
			return refs[i].Index < refs[j].Index
		}
		return refs[i].Server < refs[j].Server
	})
	return refs
}
