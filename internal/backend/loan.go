package backend

// Slot loans between entry hosts.
//
// A slot is the right to run one task at a time on a backend server, and belongs
// to one entry host. A host whose own slots are all in use borrows idle slots of
// its peers, which are the other entry hosts.
//
//  1. A host with waiting tasks and no idle slot sends a loan request to the peer
//     that is most likely to have an idle slot. Peers in its own failure domain
//     come first; a peer in another domain is asked if the expected wait here is
//     longer than the round trips to it.
//  2. It sends the request only if the wait that a grant saves, times the
//     probability of a grant, exceeds the probability of a refusal times the
//     configured cost of a wasted message. After a refusal the host sends the
//     peer no request for a backoff that grows with each further refusal.
//  3. The lender grants idle slots while it has no waiting tasks of its own. It
//     does not use a lent slot until the borrower returns the slot or the loan
//     has certainly ended, which is when the latest time to start a task plus the
//     longest run time has passed. A request that cannot be met at once is held for its
//     MaxWait, which follows from the cost of a wasted message, and then refused.
//  4. The borrower starts tasks on the slot until the loan term ends. It counts
//     the term from when it sent the request, which is before the lender granted
//     it. It immediately returns a slot that runs no task if none waits either or if
//     the term has ended.

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// loanTerm is how long a borrower may start tasks on a slot, counted from its
	// request.
	loanTerm = time.Second
	// loanTermMargin is added by the lender to the time until it uses a lent slot
	// again.
	loanTermMargin = time.Second
	// loanRequestTimeout is when a request without an answer counts as refused.
	loanRequestTimeout = 250 * time.Millisecond
	// maxLoanRequestWait is the longest time for which a lender may hold a request.
	maxLoanRequestWait = 100 * time.Millisecond
	// waitPerMessageCost is how long a lender may hold a request, as a multiple of
	// the cost of a wasted message.
	waitPerMessageCost = 20
	maxSlotsPerRequest = 64
	minLoanBackoff     = 50 * time.Millisecond
	maxLoanBackoff     = 2 * time.Second
	// peerLoadHalfLife is the time in which the weight of a peer's reported load
	// halves.
	peerLoadHalfLife = 500 * time.Millisecond
	// grantRateDecay is the weight that the past grant rate keeps at each new
	// answer.
	grantRateDecay = 0.9
)

// LoanRequest asks a peer for slots of a service. In an Action, Peer is the
// recipient; in a call of HandleLoanRequest, it is the sender. The same holds for
// LoanGrant and LoanReturn.
type LoanRequest struct {
	Peer    string
	Seq     uint64
	Service string
	// MaxSlots is the largest number of slots that the lender may grant.
	MaxSlots int
	// MaxWait is how long the lender may hold the request until a slot is idle.
	MaxWait time.Duration
}

// waitingRequest is a peer's loan request that waits for an idle slot until
// refuseAt.
type waitingRequest struct {
	LoanRequest
	refuseAt time.Time
}

// LoanGrant answers the loan request with the same Seq. Without slots it is a
// refusal.
type LoanGrant struct {
	Peer    string
	Seq     uint64
	Service string
	Slots   []LentSlot
	// Idle is the number of idle slots that the lender has left.
	Idle int
}

// LentSlot is one slot of a grant: the slot with number Index on Server.
type LentSlot struct {
	LoanID uint64
	Server Server
	Index  int
}

// LoanReturn returns lent slots to the lender.
type LoanReturn struct {
	Peer    string
	Service string
	LoanIDs []uint64
}

// lendingPeer is what this host knows about a peer that it can borrow slots from.
// requests holds the unanswered requests to the peer by sequence number.
type lendingPeer struct {
	id         string
	sameDomain bool
	latency    time.Duration
	services   map[string]*peerService
	requests   map[uint64]*outstandingRequest
}

// peerService is what this host knows about a peer's slots of one service. idleSlots
// was reported by the peer at reportedAt, grantRate is a decaying share of requests
// that the peer granted, and outstanding is set while a request is unanswered.
type peerService struct {
	idleSlots    int
	reportedAt   time.Time
	grantRate    float64
	backoff      time.Duration
	backoffUntil time.Time
	outstanding  bool
}

// outstandingRequest is a loan request of this host that has no answer yet.
type outstandingRequest struct {
	service  string
	maxSlots int
	sentAt   time.Time
}

// peer returns the state kept for a peer and creates it if there is none.
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

// grantProbability estimates the probability that the peer grants a request. The
// estimate starts at what the peer last reported and, as the report ages, approaches
// the rate at which the peer has granted requests before.
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

// UpdatePeerLoads records the loads that a peer's heartbeat carries. Idle slots and
// an empty queue end the backoff for a service.
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

// requestLoans requests slots from peers while more tasks wait than slots have been
// requested (rules 1 and 2).
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

// loanRequestWait returns how long a lender may hold a request of this host.
func (p *pool) loanRequestWait() time.Duration {
	return min(waitPerMessageCost*p.policy.WastedMessageCost, maxLoanRequestWait)
}

// bestPeer returns the peer to send a loan request to, or nil if none is worth the
// message.
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
			// The task and its answer cross the domains as well.
			gain -= float64(2 * peer.latency)
		}
		worth := probability*gain - (1-probability)*float64(p.policy.WastedMessageCost)
		if gain > 0 && worth > 0 && (best == nil || peer.preferredTo(best, worth, bestWorth)) {
			best, bestWorth = peer, worth
		}
	}
	return best
}

// preferredTo reports whether p is preferred to other: peers in the own domain come
// first, then those with more expected worth.
func (p *lendingPeer) preferredTo(other *lendingPeer, worth, otherWorth float64) bool {
	if p.sameDomain != other.sameDomain {
		return p.sameDomain
	}
	return worth > otherWorth
}

// HandleLoanRequest grants, holds or refuses a peer's request (rule 3). A peer that
// requests slots has no idle slot itself.
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

// answerWaitingRequests grants held requests in order of arrival while slots are
// idle and refuses those whose wait has ended.
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

// lend lends up to half of the idle slots, rounded up, for a request. It stops at
// the first borrowed slot, and lends nothing while tasks wait here.
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

// HandleLoanGrant handles the answer to a loan request (rule 4). It returns the
// slots immediately if the request has already expired.
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

// recordGrant updates the estimates for a lender from its answer. A refusal starts
// or doubles the backoff.
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

// returnAll returns all slots of a grant.
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

// returnUnused returns borrowed slots that run no task, unless tasks wait and the
// slot can still run one.
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

// HandleLoanReturn ends the loans that a borrower returns.
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

// endLoan makes a lent slot usable here again. It ignores unknown loans.
func (p *pool) endLoan(id uint64) {
	sl := p.lent[id]
	if sl == nil {
		return
	}
	delete(p.lent, id)
	p.release(sl)
}

// endExpiredLoans ends loans that were not returned and have certainly ended (rule
// 3).
func (p *pool) endExpiredLoans(now time.Time) {
	for id, sl := range p.lent {
		if !now.Before(sl.loanEnd) {
			p.endLoan(id)
		}
	}
}

// expireRequests treats requests without an answer after loanRequestTimeout as
// refused.
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

// removePeer forgets a peer. Slots borrowed from it that are in use end with their
// task; slots lent to it become usable when the loan has certainly ended (rule 3).
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
