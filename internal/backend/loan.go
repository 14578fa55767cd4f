package backend

// Loans of slots between hosts.
//
//  1. A host with waiting tasks and no idle slot asks the peer that most likely
//     has an idle one: peers of its own domain first; a peer of another domain
//     if the expected wait here is longer than the way there and back.
//  2. It asks only if the wait saved, times the chance of a grant, is worth
//     more than the chance of a refusal times the configured price of a wasted
//     message. After a refusal the peer is left alone for a growing time.
//  3. The lender gives idle slots while it has no waiting task of its own. A
//     slot that is lent is not used by the lender until it comes back or the
//     loan has ended beyond doubt: its last start plus the longest run time.
//     An ask that can't be met is held for its patience, which follows from the
//     price of a wasted message, before it is refused.
//  4. The borrower starts tasks on the slot until the loan ends, counted from
//     when it asked, which is before the lender granted. A slot without a task
//     is returned at once.

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	loanTerm           = time.Second
	loanTermMargin     = time.Second
	loanRequestTimeout = 250 * time.Millisecond
	maxLoanRequestWait = 100 * time.Millisecond
	// waitPerMessageCost is the longest hold for each unit of the price of a
	// wasted message.
	waitPerMessageCost = 20
	maxSlotsPerRequest = 64
	minLoanBackoff     = 50 * time.Millisecond
	maxLoanBackoff     = 2 * time.Second
	peerLoadHalfLife   = 500 * time.Millisecond
	grantRateDecay     = 0.9
)

// LoanRequest asks a peer for slots of a service.
type LoanRequest struct {
	Peer     string
	Seq      uint64
	Service  string
	MaxSlots int
	// MaxWait is how long the lender may hold the ask until a slot is idle.
	MaxWait time.Duration
}

// waitingRequest is an ask that waits for an idle slot.
type waitingRequest struct {
	LoanRequest
	refuseAt time.Time
}

// LoanGrant answers an ask. An empty one is a refusal.
type LoanGrant struct {
	Peer    string
	Seq     uint64
	Service string
	Slots   []LentSlot
	// Idle is how many idle slots the lender has left.
	Idle int
}

// LentSlot is one slot of a grant.
type LentSlot struct {
	LoanID uint64
	Server Server
	Index  int
}

// LoanReturn gives loans back to the lender.
type LoanReturn struct {
	Peer    string
	Service string
	LoanIDs []uint64
}

// lendingPeer is what this host knows of a peer's slots.
type lendingPeer struct {
	id         string
	sameDomain bool
	latency    time.Duration
	services   map[string]*peerService
	requests   map[uint64]*outstandingRequest
}

type peerService struct {
	idleSlots    int
	reportedAt   time.Time
	grantRate    float64
	backoff      time.Duration
	backoffUntil time.Time
	outstanding  bool
}

type outstandingRequest struct {
	service  string
	maxSlots int
	sentAt   time.Time
}

func (d *Dispatcher) peer(id string) *lendingPeer {
	p := d.peers[id]
	if p == nil {
		p = &lendingPeer{id: id, services: map[string]*peerService{}, requests: map[uint64]*outstandingRequest{}}
		d.peers[id] = p
		d.peerOrder = append(d.peerOrder, id)
		sort.Strings(d.peerOrder)
	}
	return p
}

func (p *lendingPeer) update(h Host, ownDomain string) {
	p.sameDomain = h.FailureDomain == ownDomain
	p.latency = time.Duration(h.LatencySeconds * float64(time.Second))
}

func (p *lendingPeer) service(name string) *peerService {
	s := p.services[name]
	if s == nil {
		s = &peerService{grantRate: 0.5}
		p.services[name] = s
	}
	return s
}

// grantProbability estimates the probability of a grant: what the peer last said, fading
// into how often it has granted before.
func (s *peerService) grantProbability(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return s.grantRate
	}
	reportWeight := math.Exp2(-float64(now.Sub(s.reportedAt)) / float64(peerLoadHalfLife))
	reported := 0.0
	if s.idleSlots > 0 {
		reported = 1 - 0.5/float64(s.idleSlots)
	}
	return reportWeight*reported + (1-reportWeight)*s.grantRate
}

// UpdatePeerLoads delivers the loads that a peer's heartbeat carries.
func (d *Dispatcher) UpdatePeerLoads(now time.Time, id string, loads []Load) {
	p := d.peer(id)
	for _, l := range loads {
		s := p.service(l.Service)
		s.idleSlots, s.reportedAt = l.Idle, now
		if l.Idle > 0 && l.Queued == 0 {
			s.backoffUntil, s.backoff = time.Time{}, 0
		}
	}
}

// requestLoans asks for slots while tasks wait (rules 1 and 2).
func (d *Dispatcher) requestLoans(now time.Time, p *pool) []Action {
	if d.cfg.DisableLoans {
		return nil
	}
	var actions []Action
	for {
		slots := p.queue.length - p.requestedSlots
		if slots <= 0 {
			return actions
		}
		best := d.bestPeer(now, p)
		if best == nil {
			return actions
		}
		slots = min(slots, maxSlotsPerRequest)
		s := best.service(p.policy.Service)
		if s.idleSlots > 0 && !s.reportedAt.IsZero() {
			slots = min(slots, max(1, (s.idleSlots+1)/2))
		}
		d.lastID++
		s.outstanding = true
		best.requests[d.lastID] = &outstandingRequest{p.policy.Service, slots, now}
		p.requestedSlots += slots
		actions = append(actions, Action{LoanRequest: &LoanRequest{best.id, d.lastID, p.policy.Service, slots, p.loanRequestWait()}})
	}
}

// loanRequestWait is how long a lender may hold an ask of this host.
func (p *pool) loanRequestWait() time.Duration {
	return min(waitPerMessageCost*p.policy.WastedMessageCost, maxLoanRequestWait)
}

// bestPeer returns the peer that is worth asking most, or nil.
func (d *Dispatcher) bestPeer(now time.Time, p *pool) *lendingPeer {
	saved := p.drainTime(float64(p.queue.length) / 2)
	if p.usable > 0 {
		saved = max(saved, p.runTimes.mean/time.Duration(p.usable+1))
	}
	var best *lendingPeer
	var bestWorth float64
	for _, id := range d.peerOrder {
		peer := d.peers[id]
		s := peer.service(p.policy.Service)
		if s.outstanding || now.Before(s.backoffUntil) {
			continue
		}
		probability := s.grantProbability(now)
		gain := float64(saved - 2*peer.latency)
		if !peer.sameDomain {
			// The task itself crosses the domains too.
			gain -= float64(2 * peer.latency)
		}
		worth := probability*gain - (1-probability)*float64(p.policy.WastedMessageCost)
		if gain > 0 && worth > 0 && (best == nil || peer.preferredTo(best, worth, bestWorth)) {
			best, bestWorth = peer, worth
		}
	}
	return best
}

// preferredTo orders peers: own domain first, then by worth.
func (p *lendingPeer) preferredTo(other *lendingPeer, worth, otherWorth float64) bool {
	if p.sameDomain != other.sameDomain {
		return p.sameDomain
	}
	return worth > otherWorth
}

// HandleLoanRequest decides on a peer's ask (rule 3). A peer that asks has no idle slot.
func (d *Dispatcher) HandleLoanRequest(now time.Time, r LoanRequest) []Action {
	from := d.peer(r.Peer).service(r.Service)
	from.idleSlots, from.reportedAt = 0, now
	p := d.pools[r.Service]
	if p == nil {
		return []Action{{LoanGrant: &LoanGrant{Peer: r.Peer, Seq: r.Seq, Service: r.Service}}}
	}
	p.waitingRequests = append(p.waitingRequests, waitingRequest{r, now.Add(r.MaxWait)})
	return d.answerWaitingRequests(now, p)
}

// answerWaitingRequests grants held asks in turn while slots are idle and refuses those
// whose patience is over.
func (d *Dispatcher) answerWaitingRequests(now time.Time, p *pool) []Action {
	if len(p.waitingRequests) == 0 {
		return nil
	}
	var actions []Action
	kept := p.waitingRequests[:0]
	for _, r := range p.waitingRequests {
		g := d.lend(now, p, r.LoanRequest)
		if len(g.Slots) == 0 && now.Before(r.refuseAt) {
			kept = append(kept, r)
			continue
		}
		actions = append(actions, Action{LoanGrant: g})
	}
	p.waitingRequests = kept
	p.updateUsable()
	return actions
}

// lend takes up to half of the idle slots for an ask.
func (d *Dispatcher) lend(now time.Time, p *pool, r LoanRequest) *LoanGrant {
	g := &LoanGrant{Peer: r.Peer, Seq: r.Seq, Service: r.Service}
	if p.queue.length > 0 {
		return g
	}
	idle := p.idleCount()
	for range min(r.MaxSlots, (idle+1)/2) {
		sl := p.takeIdle(now)
		if sl == nil {
			break
		}
		if sl.lender != "" {
			p.release(sl)
			break
		}
		d.lastID++
		sl.state, sl.loanID = slotLent, d.lastID
		sl.loanEnd = now.Add(loanTerm + p.policy.MaxRunTime + loanTermMargin)
		p.lent[sl.loanID] = sl
		g.Slots = append(g.Slots, LentSlot{sl.loanID, sl.server.Server, sl.ref.Index})
	}
	g.Idle = idle - len(g.Slots)
	return g
}

// HandleLoanGrant delivers the answer to an ask (rule 4).
func (d *Dispatcher) HandleLoanGrant(now time.Time, g LoanGrant) []Action {
	peer := d.peer(g.Peer)
	request := peer.requests[g.Seq]
	p := d.pools[g.Service]
	if request == nil || p == nil {
		return returnAll(g)
	}
	delete(peer.requests, g.Seq)
	p.requestedSlots -= request.maxSlots
	peer.service(g.Service).recordGrant(now, g, d.jitter(minLoanBackoff)-minLoanBackoff)
	for _, l := range g.Slots {
		s := p.servers[l.Server.Name]
		if s == nil {
			s = &server{Server: l.Server}
			p.servers[l.Server.Name] = s
		}
		sl := &slot{ref: SlotRef{l.Server.Name, l.Index}, server: s, lender: g.Peer, loanID: l.LoanID, loanEnd: request.sentAt.Add(loanTerm)}
		s.slots = append(s.slots, sl)
		p.borrowed[sl] = true
		p.addIdle(sl)
	}
	p.updateUsable()
	return d.dispatch(now, p)
}

// recordGrant takes over what a grant says of the lender.
func (s *peerService) recordGrant(now time.Time, g LoanGrant, jitter time.Duration) {
	s.outstanding = false
	s.idleSlots, s.reportedAt = g.Idle, now
	granted := 0.0
	if len(g.Slots) > 0 {
		granted = 1
		s.backoff = 0
	} else {
		s.backoff = min(max(2*s.backoff, minLoanBackoff), maxLoanBackoff)
		s.backoffUntil = now.Add(s.backoff + jitter)
	}
	s.grantRate = grantRateDecay*s.grantRate + (1-grantRateDecay)*granted
}

func returnAll(g LoanGrant) []Action {
	if len(g.Slots) == 0 {
		return nil
	}
	r := &LoanReturn{Peer: g.Peer, Service: g.Service}
	for _, l := range g.Slots {
		r.LoanIDs = append(r.LoanIDs, l.LoanID)
	}
	return []Action{{LoanReturn: r}}
}

// returnUnused gives back borrowed slots that have no task or have ended.
func (d *Dispatcher) returnUnused(now time.Time, p *pool) []Action {
	if len(p.borrowed) == 0 {
		return nil
	}
	returns := map[string]*LoanReturn{}
	var lenders []string
	for sl := range p.borrowed {
		if sl.state == slotBusy || sl.state == slotIdle && p.queue.length > 0 && now.Before(sl.loanEnd) {
			continue
		}
		r := returns[sl.lender]
		if r == nil {
			r = &LoanReturn{Peer: sl.lender, Service: p.policy.Service}
			returns[sl.lender] = r
			lenders = append(lenders, sl.lender)
		}
		r.LoanIDs = append(r.LoanIDs, sl.loanID)
		p.removeSlot(sl)
	}
	sort.Strings(lenders)
	var actions []Action
	for _, id := range lenders {
		r := returns[id]
		sort.Slice(r.LoanIDs, func(i, j int) bool { return r.LoanIDs[i] < r.LoanIDs[j] })
		actions = append(actions, Action{LoanReturn: r})
	}
	return actions
}

// HandleLoanReturn delivers loans that a borrower gives back.
func (d *Dispatcher) HandleLoanReturn(now time.Time, r LoanReturn) []Action {
	p := d.pools[r.Service]
	if p == nil {
		return nil
	}
	for _, id := range r.LoanIDs {
		p.endLoan(id)
	}
	p.updateUsable()
	return d.dispatch(now, p)
}

func (p *pool) endLoan(id uint64) {
	sl := p.lent[id]
	if sl == nil {
		return
	}
	delete(p.lent, id)
	p.release(sl)
}

// endExpiredLoans ends loans whose time has passed beyond doubt.
func (p *pool) endExpiredLoans(now time.Time) {
	for id, sl := range p.lent {
		if !now.Before(sl.loanEnd) {
			p.endLoan(id)
		}
	}
}

// expireRequests gives up asks that were not answered.
func (d *Dispatcher) expireRequests(now time.Time) []Action {
	var actions []Action
	for _, id := range d.peerOrder {
		peer := d.peers[id]
		for seq, r := range peer.requests {
			if now.Sub(r.sentAt) < loanRequestTimeout {
				continue
			}
			delete(peer.requests, seq)
			peer.service(r.service).recordGrant(now, LoanGrant{}, 0)
			if p := d.pools[r.service]; p != nil {
				p.requestedSlots -= r.maxSlots
				actions = append(actions, d.dispatch(now, p)...)
			}
		}
	}
	return actions
}

// removePeer forgets a peer. Slots borrowed from it that are in use end with
// their task; slots lent to it come back when the loan has ended beyond doubt.
func (d *Dispatcher) removePeer(now time.Time, id string) []Action {
	peer := d.peers[id]
	delete(d.peers, id)
	d.peerOrder = slices.DeleteFunc(d.peerOrder, func(o string) bool { return o == id })
	var actions []Action
	for _, r := range peer.requests {
		if p := d.pools[r.service]; p != nil {
			p.requestedSlots -= r.maxSlots
		}
	}
	for _, name := range d.serviceNames {
		actions = append(actions, d.dispatch(now, d.pools[name])...)
	}
	return actions
}
