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
	// slotAside is not used: its server is ejected, leaving or not yet ours.
	slotAside
	// slotGone was taken from this host while in use; it ends when it is free.
	slotGone
)

// slot is the right to run one task at a time on a server.
type slot struct {
	ref    SlotRef
	server *server
	state  slotState
	// lender is the host that lent the slot, empty for an own one.
	lender string
	loan   uint64
	// until is when a borrowed slot must not be given a new task any more, or
	// when a lent slot is taken back.
	until time.Time
	// from is when a slot gained in a change of shares may first be used.
	from time.Time
	// queued says that the slot stands in the idle list.
	queued bool
}

// server is a backend server as seen by this host.
type server struct {
	Server
	health health
	slots  []*slot
}

func (s *server) asideSlot() *slot {
	for _, sl := range s.slots {
		if sl.state == slotAside {
			return sl
		}
	}
	return nil
}

// pool holds the slots, the queue and what was learnt of one service.
type pool struct {
	policy   Policy
	servers  map[string]*server
	own      map[SlotRef]*slot
	borrowed map[*slot]bool
	lent     map[uint64]*slot
	idle     []*slot
	usable   int
	queue    *fairQueue
	runs     *runTimes
	failures failureRate
	retries  float64
	// asked is the number of slots that open asks want.
	asked int
	// held are asks of peers that wait for an idle slot.
	held []heldAsk
	// ejected is the number of servers set aside as outliers.
	ejected int
	// nextActive is when the next gained slot may be used, zero if none waits.
	nextActive time.Time
}

func newPool(p Policy) *pool {
	return &pool{
		policy:   p,
		servers:  map[string]*server{},
		own:      map[SlotRef]*slot{},
		borrowed: map[*slot]bool{},
		lent:     map[uint64]*slot{},
		queue:    newFairQueue(),
		runs:     newRunTimes(p.PriorRunTime),
		retries:  retryBurst,
	}
}

// release makes a slot idle, sets it aside or ends it.
func (p *pool) release(sl *slot) {
	switch {
	case sl.state == slotGone:
		p.forget(sl)
	case sl.server.Leaving || sl.server.health.ejected:
		sl.state = slotAside
	default:
		sl.state = slotIdle
		p.enqueue(sl)
	}
}

func (p *pool) enqueue(sl *slot) {
	if !sl.queued {
		sl.queued = true
		p.idle = append(p.idle, sl)
	}
}

// take removes the longest idle slot from the list, or returns nil.
func (p *pool) take(now time.Time) *slot {
	for len(p.idle) > 0 {
		sl := p.idle[0]
		p.idle[0] = nil
		p.idle = p.idle[1:]
		sl.queued = false
		expired := sl.lender != "" && !now.Before(sl.until)
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

// setAside stops new work on a server.
func (p *pool) setAside(s *server) {
	for _, sl := range s.slots {
		if sl.state == slotIdle {
			sl.state = slotAside
		}
	}
	p.count()
}

// restore lets a server take work again.
func (p *pool) restore(s *server) {
	if s.Leaving || s.health.ejected {
		return
	}
	for _, sl := range s.slots {
		if sl.state == slotAside && sl.from.IsZero() {
			sl.state = slotIdle
			p.enqueue(sl)
		}
	}
	p.count()
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

// forget ends a slot.
func (p *pool) forget(sl *slot) {
	sl.state = slotGone
	delete(p.borrowed, sl)
	if sl.lender == "" && p.own[sl.ref] == sl {
		delete(p.own, sl.ref)
	}
	if p.lent[sl.loan] == sl {
		delete(p.lent, sl.loan)
	}
	slots := sl.server.slots
	for i, other := range slots {
		if other == sl {
			sl.server.slots = append(slots[:i], slots[i+1:]...)
			break
		}
	}
	p.count()
}

// count refreshes the number of slots on which the queue drains. Lent ones
// count: they come back within a task's run time.
func (p *pool) count() {
	p.usable = len(p.borrowed)
	for _, sl := range p.own {
		if sl.state != slotAside {
			p.usable++
		}
	}
}

// add puts a new own slot in use from the given time on.
func (p *pool) add(ref SlotRef, s *server, from time.Time) {
	sl := &slot{ref: ref, server: s, state: slotAside, from: from}
	p.own[ref] = sl
	s.slots = append(s.slots, sl)
	if p.nextActive.IsZero() || from.Before(p.nextActive) {
		p.nextActive = from
	}
}

// activate turns on own slots whose waiting time has passed.
func (p *pool) activate(now time.Time) {
	if p.nextActive.IsZero() || now.Before(p.nextActive) {
		return
	}
	p.nextActive = time.Time{}
	for _, ref := range p.sortedOwn() {
		sl := p.own[ref]
		if sl.state != slotAside || sl.from.IsZero() {
			continue
		}
		if now.Before(sl.from) {
			if p.nextActive.IsZero() || sl.from.Before(p.nextActive) {
				p.nextActive = sl.from
			}
			continue
		}
		sl.from = time.Time{}
		p.release(sl)
	}
	p.count()
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
