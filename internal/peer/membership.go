// Package peer talks to the other entry hosts: membership, heartbeats and
// calls between hosts.
package peer

// Membership.
//
//  1. Each interval a host pings one other member, in a shuffled round over
//     all, so that its messages do not grow with the fleet.
//  2. Without an acknowledgement in ackTimeout it asks two others to ping the
//     member; without any by the next interval the member is suspect.
//  3. A suspect that is not heard of for suspectTimeout is unreachable. This is
//     an opinion: it takes slots and quota from the member, nothing more.
//  4. Dead is final for an incarnation and needs proof: a goodbye, or another
//     incarnation that answers at the same address.
//  5. News travels on pings and acknowledgements, each item a bounded number
//     of times. For one incarnation dead wins over all, else the higher
//     sequence number, else unreachable over suspect over alive. A member that
//     hears an opinion about itself raises its sequence number.
//  6. Each message carries a digest of the sender's table. Where it differs, the
//     acknowledgement also carries some members in turn, so that a table that
//     missed news becomes whole. An unreachable member is pinged now and then,
//     so that a healed cut is noticed.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// PingInterval is the time between two pings of a host.
	PingInterval   = time.Second
	ackTimeout     = 300 * time.Millisecond
	suspectTimeout = 3 * time.Second
	rejoinInterval = 5 * time.Second
	// joinInterval and joinSeeds are how often and how many seeds a host asks
	// that joins.
	joinInterval = 250 * time.Millisecond
	seedsPerJoin = 3
	// joinDuration is how long a host that has started goes on asking seeds.
	joinDuration      = 1500 * time.Millisecond
	forgetAfter       = 30 * time.Minute
	indirectPings     = 2
	updatesPerMessage = 3
	joinSampleMembers = 64
	sampleMembers     = 8
)

// State is what is thought of a member.
type State uint8

// The states, in the order in which they win at the same sequence number.
const (
	Alive State = iota
	Suspect
	Unreachable
	Dead
)

var stateNames = [...]string{"Alive", "Suspect", "Unreachable", "Dead"}

// String returns the name used in logs and status.
func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member is an entry host in one incarnation. On the wire it is a list without
// field names: members are most of what heartbeats carry.
type Member struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Incarnation   string
	Address       string
	Operator      string
	FailureDomain string
	Region        string
	State         State
	Seq           uint64
	// Successor is the incarnation that answers for this one after its goodbye.
	Successor string
	// CPUMilli is the processor time that the host may use, in thousandths of a
	// core; 0 if it doesn't say.
	CPUMilli int
	// RTT is the round trip to the member as measured by this host.
	RTT time.Duration `cbor:"-" json:"-"`
}

// Up reports whether the member counts as running.
func (m Member) Up() bool { return m.State <= Suspect }

// Message is a ping, an acknowledgement or a goodbye.
type Message struct {
	// From is the sender, Target the incarnation that is pinged.
	From   Member
	Target string
	// Seq matches an acknowledgement to its ping.
	Seq uint64
	// TableDigest is the digest of the sender's table, see rule 6.
	TableDigest uint64 `cbor:"Table"`
	// Updates holds what the sender has heard of members.
	Updates []Member `cbor:"News"`
}

// Action is what the service has to carry out: exactly one field is set.
type Action struct {
	Ping          *Ping
	Ack           *Ack
	IndirectPing  *IndirectPing
	IndirectAck   *IndirectAck
	MemberChanged *Member
}

// Ping asks for a message to be sent to an address.
type Ping struct {
	Address string
	Message Message
}

// Ack asks for an answer to the ping that is being handled.
type Ack struct{ Message Message }

// IndirectPing asks a member to ping another one.
type IndirectPing struct {
	Address string
	Target  Member
}

// IndirectAck tells the member that asked for help that the target has answered.
type IndirectAck struct {
	Address string
	Target  Member
}

// MembershipConfig builds Members.
type MembershipConfig struct {
	Self  Member
	Seeds []string
	Rand  *rand.Rand
}

// Membership decides about membership. It is not safe for concurrent use.
type Membership struct {
	self    Member
	seeds   []string
	rand    *rand.Rand
	members map[string]*entry
	// sortedIDs holds the incarnations of all members, sorted.
	sortedIDs   []string
	pingRound   []string
	sampleIndex int
	pingSeq     uint64
	nextPing    time.Time
	nextRejoin  time.Time
	// started is the time of the first tick.
	started time.Time
	pings   map[uint64]*ping
	updates []queuedUpdate
}

type entry struct {
	Member
	stateSince time.Time
	hash       uint64
}

type ping struct {
	target       string
	sentAt       time.Time
	indirectDone bool
	failed       bool
	// requester is the address of the member that asked for this ping.
	requester string
}

// NewMembership returns a table that knows only the host itself.
func NewMembership(c MembershipConfig) *Membership {
	m := &Membership{
		self: c.Self, seeds: c.Seeds, rand: c.Rand,
		members: map[string]*entry{}, pings: map[uint64]*ping{},
	}
	m.self.Seq = 1
	return m
}

// Self returns the host's own entry.
func (m *Membership) Self() Member { return m.self }

// SetSuccessor names who answers for this incarnation after its goodbye.
func (m *Membership) SetSuccessor(incarnation string) { m.self.Successor = incarnation }

// SetSeeds replaces the addresses to start from.
func (m *Membership) SetSeeds(addresses []string) { m.seeds = addresses }

// List returns all known members but the host itself, sorted by name.
func (m *Membership) List() []Member {
	list := make([]Member, 0, len(m.members))
	for _, e := range m.members {
		list = append(list, e.Member)
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// Find returns the member with an incarnation.
func (m *Membership) Find(incarnation string) (Member, bool) {
	if e := m.members[incarnation]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// Tick sends what is due. Call it several times in an ackTimeout.
func (m *Membership) Tick(now time.Time) []Action {
	actions := m.checkPings(now)
	actions = append(actions, m.checkSuspects(now)...)
	if m.started.IsZero() {
		m.started = now
	}
	if now.Before(m.nextPing) {
		if m.joining(now) {
			actions = append(actions, m.pingSeedsAndUnreachable(now)...)
		}
		return actions
	}
	m.nextPing = now.Add(PingInterval)
	if target := m.nextTarget(); target != nil {
		actions = append(actions, m.ping(now, target.Address, target.Incarnation))
	}
	return append(actions, m.pingSeedsAndUnreachable(now)...)
}

// checkPings asks for help and turns silent members suspect (rule 2).
func (m *Membership) checkPings(now time.Time) []Action {
	var actions []Action
	for _, seq := range sortedSeqs(m.pings) {
		p := m.pings[seq]
		age := now.Sub(p.sentAt)
		e := m.members[p.target]
		if age >= PingInterval {
			delete(m.pings, seq)
			if e != nil && e.State == Alive && p.requester == "" {
				actions = append(actions, m.apply(now, withState(e.Member, Suspect))...)
			}
			continue
		}
		if e != nil && !p.indirectDone && (age >= ackTimeout || p.failed) {
			p.indirectDone = true
			for _, h := range m.randomUp(indirectPings, p.target) {
				actions = append(actions, Action{IndirectPing: &IndirectPing{h.Address, e.Member}})
			}
		}
	}
	return actions
}

func sortedSeqs(pings map[uint64]*ping) []uint64 {
	seqs := make([]uint64, 0, len(pings))
	for s := range pings {
		seqs = append(seqs, s)
	}
	slices.Sort(seqs)
	return seqs
}

func withState(m Member, s State) Member {
	m.State = s
	return m
}

// checkSuspects turns old suspects unreachable (rule 3) and forgets members.
func (m *Membership) checkSuspects(now time.Time) []Action {
	var actions []Action
	var forget []string
	for _, id := range m.sortedIDs {
		e := m.members[id]
		switch {
		case e.State == Suspect && now.Sub(e.stateSince) >= suspectTimeout:
			actions = append(actions, m.apply(now, withState(e.Member, Unreachable))...)
		case e.State >= Unreachable && now.Sub(e.stateSince) >= forgetAfter:
			forget = append(forget, id)
		}
	}
	for _, id := range forget {
		m.remove(id)
	}
	return actions
}

func (m *Membership) insert(id string, e *entry) {
	m.members[id] = e
	at, _ := slices.BinarySearch(m.sortedIDs, id)
	m.sortedIDs = slices.Insert(m.sortedIDs, at, id)
}

func (m *Membership) remove(id string) {
	delete(m.members, id)
	if at, ok := slices.BinarySearch(m.sortedIDs, id); ok {
		m.sortedIDs = slices.Delete(m.sortedIDs, at, at+1)
	}
}

// nextTarget walks a shuffled round over the members that are up (rule 1).
func (m *Membership) nextTarget() *entry {
	for range 2 {
		for len(m.pingRound) > 0 {
			id := m.pingRound[0]
			m.pingRound = m.pingRound[1:]
			if e := m.members[id]; e != nil && e.Up() {
				return e
			}
		}
		m.pingRound = slices.Clone(m.sortedIDs)
		m.rand.Shuffle(len(m.pingRound), func(i, j int) { m.pingRound[i], m.pingRound[j] = m.pingRound[j], m.pingRound[i] })
	}
	return nil
}

// pingSeedsAndUnreachable pings seeds that are no member and one unreachable member (rule 6).
func (m *Membership) pingSeedsAndUnreachable(now time.Time) []Action {
	if now.Before(m.nextRejoin) {
		return nil
	}
	m.nextRejoin = now.Add(rejoinInterval)
	up := map[string]bool{m.self.Address: true}
	var unreachable []*entry
	for _, id := range m.sortedIDs {
		e := m.members[id]
		if e.Up() {
			up[e.Address] = true
		}
		if e.State == Unreachable {
			unreachable = append(unreachable, e)
		}
	}
	var actions []Action
	var candidates []string
	for _, s := range m.seeds {
		if s != m.self.Address && (!up[s] || m.joining(now)) {
			candidates = append(candidates, s)
		}
	}
	seedCount := 1
	if m.joining(now) {
		// Seeds may be stale or down, and those that answer may have met others
		// since: hosts that start together would not know of each other.
		m.nextRejoin = now.Add(joinInterval)
		seedCount = seedsPerJoin
	}
	m.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, address := range candidates[:min(seedCount, len(candidates))] {
		actions = append(actions, m.ping(now, address, ""))
	}
	if len(unreachable) > 0 {
		e := unreachable[m.rand.IntN(len(unreachable))]
		actions = append(actions, m.ping(now, e.Address, e.Incarnation))
	}
	return actions
}

// joining reports whether the host has just started or knows nobody.
func (m *Membership) joining(now time.Time) bool {
	return len(m.members) == 0 || now.Sub(m.started) < joinDuration
}

func (m *Membership) ping(now time.Time, address, target string) Action {
	m.pingSeq++
	m.pings[m.pingSeq] = &ping{target: target, sentAt: now}
	return Action{Ping: &Ping{address, m.newMessage(target, m.pingSeq)}}
}

// randomUp returns up to n members that are up, without the one excluded.
func (m *Membership) randomUp(n int, exclude string) []Member {
	var list []Member
	for _, id := range m.sortedIDs {
		if e := m.members[id]; id != exclude && e.Up() {
			list = append(list, e.Member)
		}
	}
	m.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
