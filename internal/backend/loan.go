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
	loanKeep     = time.Second
	loanSlack    = time.Second
	askTimeout   = 250 * time.Millisecond
	patienceMost = 100 * time.Millisecond
	// patiencePerWasted is the longest hold for each unit of the price of a
	// wasted message.
	patiencePerWasted = 20
	askMost           = 64
	askBackoffMin     = 50 * time.Millisecond
	askBackoffMax     = 2 * time.Second
	loadHalfLife      = 500 * time.Millisecond
	grantRateDecay    = 0.9
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

// heldAsk is an ask that waits for an idle slot.
type heldAsk struct {
	LoanRequest
	until time.Time
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
	id       string
	sameDom  bool
	hop      time.Duration
	services map[string]*peerService
	asks     map[uint64]*openAsk
}

type peerService struct {
	idle    int
	seen    time.Time
	granted float64
	backoff time.Duration
	notTill time.Time
	open    bool
}

type openAsk struct {
	service string
	want    int
	at      time.Time
}

func (d *Dispatcher) peer(id string) *lendingPeer {
	p := d.peers[id]
	if p == nil {
		p = &lendingPeer{id: id, services: map[string]*peerService{}, asks: map[uint64]*openAsk{}}
		d.peers[id] = p
		d.peerOrder = append(d.peerOrder, id)
		sort.Strings(d.peerOrder)
	}
	return p
}

func (p *lendingPeer) update(h Host, ownDomain string) {
	p.sameDom = h.FailureDomain == ownDomain
	p.hop = time.Duration(h.LatencySeconds * float64(time.Second))
}

func (p *lendingPeer) service(name string) *peerService {
	s := p.services[name]
	if s == nil {
		s = &peerService{granted: 0.5}
		p.services[name] = s
	}
	return s
}

// chance estimates the probability of a grant: what the peer last said, fading
// into how often it has granted before.
func (s *peerService) chance(now time.Time) float64 {
	if s.seen.IsZero() {
		return s.granted
	}
	fresh := math.Exp2(-float64(now.Sub(s.seen)) / float64(loadHalfLife))
	said := 0.0
	if s.idle > 0 {
		said = 1 - 0.5/float64(s.idle)
	}
	return fresh*said + (1-fresh)*s.granted
}

// UpdatePeerLoads delivers the loads that a peer's heartbeat carries.
func (d *Dispatcher) UpdatePeerLoads(now time.Time, id string, loads []Load) {
	p := d.peer(id)
	for _, l := range loads {
		s := p.service(l.Service)
		s.idle, s.seen = l.Idle, now
		if l.Idle > 0 && l.Queued == 0 {
			s.notTill, s.backoff = time.Time{}, 0
		}
	}
}

// askPeers asks for slots while tasks wait (rules 1 and 2).
func (d *Dispatcher) askPeers(now time.Time, p *pool) []Action {
	if d.cfg.DisableLoans {
		return nil
	}
	var actions []Action
	for {
		want := p.queue.length - p.asked
		if want <= 0 {
			return actions
		}
		best := d.bestPeer(now, p)
		if best == nil {
			return actions
		}
		want = min(want, askMost)
		s := best.service(p.policy.Service)
		if s.idle > 0 && !s.seen.IsZero() {
			want = min(want, max(1, (s.idle+1)/2))
		}
		d.nextID++
		s.open = true
		best.asks[d.nextID] = &openAsk{p.policy.Service, want, now}
		p.asked += want
		actions = append(actions, Action{LoanRequest: &LoanRequest{best.id, d.nextID, p.policy.Service, want, p.patience()}})
	}
}

// patience is how long a lender may hold an ask of this host.
func (p *pool) patience() time.Duration {
	return min(patiencePerWasted*p.policy.WastedMessageCost, patienceMost)
}

// bestPeer returns the peer that is worth asking most, or nil.
func (d *Dispatcher) bestPeer(now time.Time, p *pool) *lendingPeer {
	saved := p.drainTime(float64(p.queue.length) / 2)
	if p.usable > 0 {
		saved = max(saved, p.runs.mean/time.Duration(p.usable+1))
	}
	var best *lendingPeer
	var bestWorth float64
	for _, id := range d.peerOrder {
		peer := d.peers[id]
		s := peer.service(p.policy.Service)
		if s.open || now.Before(s.notTill) {
			continue
		}
		c := s.chance(now)
		gain := float64(saved - 2*peer.hop)
		if !peer.sameDom {
			// The task itself crosses the domains too.
			gain -= float64(2 * peer.hop)
		}
		worth := c*gain - (1-c)*float64(p.policy.WastedMessageCost)
		if gain > 0 && worth > 0 && (best == nil || peer.before(best, worth, bestWorth)) {
			best, bestWorth = peer, worth
		}
	}
	return best
}

// before orders peers: own domain first, then by worth.
func (p *lendingPeer) before(other *lendingPeer, worth, otherWorth float64) bool {
	if p.sameDom != other.sameDom {
		return p.sameDom
	}
	return worth > otherWorth
}

// HandleLoanRequest decides on a peer's ask (rule 3). A peer that asks has no idle slot.
func (d *Dispatcher) HandleLoanRequest(now time.Time, a LoanRequest) []Action {
	from := d.peer(a.Peer).service(a.Service)
	from.idle, from.seen = 0, now
	p := d.pools[a.Service]
	if p == nil {
		return []Action{{LoanGrant: &LoanGrant{Peer: a.Peer, Seq: a.Seq, Service: a.Service}}}
	}
	p.held = append(p.held, heldAsk{a, now.Add(a.MaxWait)})
	return d.answerHeld(now, p)
}

// answerHeld grants held asks in turn while slots are idle and refuses those
// whose patience is over.
func (d *Dispatcher) answerHeld(now time.Time, p *pool) []Action {
	if len(p.held) == 0 {
		return nil
	}
	var actions []Action
	kept := p.held[:0]
	for _, a := range p.held {
		g := d.lend(now, p, a.LoanRequest)
		if len(g.Slots) == 0 && now.Before(a.until) {
			kept = append(kept, a)
			continue
		}
		actions = append(actions, Action{LoanGrant: g})
	}
	p.held = kept
	p.count()
	return actions
}

// lend takes up to half of the idle slots for an ask.
func (d *Dispatcher) lend(now time.Time, p *pool, a LoanRequest) *LoanGrant {
	g := &LoanGrant{Peer: a.Peer, Seq: a.Seq, Service: a.Service}
	if p.queue.length > 0 {
		return g
	}
	idle := p.idleCount()
	for range min(a.MaxSlots, (idle+1)/2) {
		sl := p.take(now)
		if sl == nil {
			break
		}
		if sl.lender != "" {
			p.release(sl)
			break
		}
		d.nextID++
		sl.state, sl.loan = slotLent, d.nextID
		sl.until = now.Add(loanKeep + p.policy.MaxRunTime + loanSlack)
		p.lent[sl.loan] = sl
		g.Slots = append(g.Slots, LentSlot{sl.loan, sl.server.Server, sl.ref.Index})
	}
	g.Idle = idle - len(g.Slots)
	return g
}

// HandleLoanGrant delivers the answer to an ask (rule 4).
func (d *Dispatcher) HandleLoanGrant(now time.Time, g LoanGrant) []Action {
	peer := d.peer(g.Peer)
	ask := peer.asks[g.Seq]
	p := d.pools[g.Service]
	if ask == nil || p == nil {
		return giveBack(g)
	}
	delete(peer.asks, g.Seq)
	p.asked -= ask.want
	peer.service(g.Service).learn(now, g, d.spread(askBackoffMin)-askBackoffMin)
	for _, l := range g.Slots {
		s := p.servers[l.Server.Name]
		if s == nil {
			s = &server{Server: l.Server}
			p.servers[l.Server.Name] = s
		}
		sl := &slot{ref: SlotRef{l.Server.Name, l.Index}, server: s, lender: g.Peer, loan: l.LoanID, until: ask.at.Add(loanKeep)}
		s.slots = append(s.slots, sl)
		p.borrowed[sl] = true
		p.enqueue(sl)
	}
	p.count()
	return d.dispatch(now, p)
}

// learn takes over what a grant says of the lender.
func (s *peerService) learn(now time.Time, g LoanGrant, jitter time.Duration) {
	s.open = false
	s.idle, s.seen = g.Idle, now
	got := 0.0
	if len(g.Slots) > 0 {
		got = 1
		s.backoff = 0
	} else {
		s.backoff = min(max(2*s.backoff, askBackoffMin), askBackoffMax)
		s.notTill = now.Add(s.backoff + jitter)
	}
	s.granted = grantRateDecay*s.granted + (1-grantRateDecay)*got
}

func giveBack(g LoanGrant) []Action {
	if len(g.Slots) == 0 {
		return nil
	}
	r := &LoanReturn{Peer: g.Peer, Service: g.Service}
	for _, l := range g.Slots {
		r.LoanIDs = append(r.LoanIDs, l.LoanID)
	}
	return []Action{{LoanReturn: r}}
}

// returnIdle gives back borrowed slots that have no task or have ended.
func (d *Dispatcher) returnIdle(now time.Time, p *pool) []Action {
	if len(p.borrowed) == 0 {
		return nil
	}
	back := map[string]*LoanReturn{}
	var order []string
	for sl := range p.borrowed {
		if sl.state == slotBusy || sl.state == slotIdle && p.queue.length > 0 && now.Before(sl.until) {
			continue
		}
		r := back[sl.lender]
		if r == nil {
			r = &LoanReturn{Peer: sl.lender, Service: p.policy.Service}
			back[sl.lender] = r
			order = append(order, sl.lender)
		}
		r.LoanIDs = append(r.LoanIDs, sl.loan)
		p.forget(sl)
	}
	sort.Strings(order)
	var actions []Action
	for _, id := range order {
		r := back[id]
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
	p.count()
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

// takeBack ends loans whose time has passed beyond doubt.
func (p *pool) takeBack(now time.Time) {
	for id, sl := range p.lent {
		if !now.Before(sl.until) {
			p.endLoan(id)
		}
	}
}

// expireAsks gives up asks that were not answered.
func (d *Dispatcher) expireAsks(now time.Time) []Action {
	var actions []Action
	for _, id := range d.peerOrder {
		peer := d.peers[id]
		for seq, a := range peer.asks {
			if now.Sub(a.at) < askTimeout {
				continue
			}
			delete(peer.asks, seq)
			peer.service(a.service).learn(now, LoanGrant{}, 0)
			if p := d.pools[a.service]; p != nil {
				p.asked -= a.want
				actions = append(actions, d.dispatch(now, p)...)
			}
		}
	}
	return actions
}

// peerGone forgets a peer. Slots borrowed from it that are in use end with
// their task; slots lent to it come back when the loan has ended beyond doubt.
func (d *Dispatcher) peerGone(now time.Time, id string) []Action {
	peer := d.peers[id]
	delete(d.peers, id)
	d.peerOrder = slices.DeleteFunc(d.peerOrder, func(o string) bool { return o == id })
	var actions []Action
	for _, a := range peer.asks {
		if p := d.pools[a.service]; p != nil {
			p.asked -= a.want
		}
	}
	for _, name := range d.order {
		actions = append(actions, d.dispatch(now, d.pools[name])...)
	}
	return actions
}
