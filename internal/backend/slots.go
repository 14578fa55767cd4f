package backend

import (
	"sort"
	"time"
)

// slotState says what a slot is used for.
type slotState uint8

const (
	// slotIdle can take a task.
	slotIdle slotState = iota
	// slotBusy runs a task of this host.
	slotBusy
	// slotLent is used by another host.
	slotLent
	// slotInactive is not used: its server is ejected, leaving or not yet ours.
	slotInactive
	// slotRemoved was taken from this host while in use; it ends when it is free.
	slotRemoved
)

// slot is the right to run one task at a time on a server.
type slot struct {
	ref    SlotRef
	server *server
	state  slotState
	// lender is the host that lent the slot, empty for an own one.
	lender string
	loanID uint64
	// loanEnd is when a borrowed slot must not be given a new task any more, or
	// when a lent slot is taken back.
	loanEnd time.Time
	// usableFrom is when a slot gained in a change of shares may first be used.
	usableFrom time.Time
	// listed says that the slot stands in the idle list.
	listed bool
}

// server is a backend server as seen by this host.
type server struct {
	Server
	health health
	slots  []*slot
}

func (s *server) inactiveSlot() *slot {
	for _, sl := range s.slots {
		if sl.state == slotInactive {
			return sl
		}
	}
	return nil
}

// pool holds the slots, the queue and what was learnt of one service.
type pool struct {
	policy      Policy
	servers     map[string]*server
	own         map[SlotRef]*slot
	borrowed    map[*slot]bool
	lent        map[uint64]*slot
	idle        []*slot
	usable      int
	queue       *fairQueue
	runTimes    *runTimeEstimator
	failures    failureRate
	retryTokens float64
	// requestedSlots is the number of slots that open asks want.
	requestedSlots int
	// waitingRequests are asks of peers that wait for an idle slot.
	waitingRequests []waitingRequest
	// ejected is the number of servers set aside as outliers.
	ejected int
	// nextActivation is when the next gained slot may be used, zero if none waits.
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

// release makes a slot idle, sets it aside or ends it.
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

func (p *pool) addIdle(sl *slot) {
	if !sl.listed {
		sl.listed = true
		p.idle = append(p.idle, sl)
	}
}

// takeIdle removes the longest idle slot from the list, or returns nil.
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

// idleCount returns how many slots could take a task.
func (p *pool) idleCount() int {
	n := 0
	for _, sl := range p.idle {
		if sl.state == slotIdle {
			n++
		}
	}
	return n
}

// deactivate stops new work on a server.
func (p *pool) deactivate(s *server) {
	for _, sl := range s.slots {
		if sl.state == slotIdle {
			sl.state = slotInactive
		}
	}
	p.updateUsable()
}

// reactivate lets a server take work again.
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

// removeSlot ends a slot.
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

// updateUsable refreshes the number of slots on which the queue drains. Lent ones
// updateUsable: they come back within a task's run time.
func (p *pool) updateUsable() {
	p.usable = len(p.borrowed)
	for _, sl := range p.own {
		if sl.state != slotInactive {
			p.usable++
		}
	}
}

// addOwn puts a new own slot in use from the given time on.
func (p *pool) addOwn(ref SlotRef, s *server, usableFrom time.Time) {
	sl := &slot{ref: ref, server: s, state: slotInactive, usableFrom: usableFrom}
	p.own[ref] = sl
	s.slots = append(s.slots, sl)
	if p.nextActivation.IsZero() || usableFrom.Before(p.nextActivation) {
		p.nextActivation = usableFrom
	}
}

// activateDue turns on own slots whose waiting time has passed.
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
