// Package peer connects this entry host to the other ones. It keeps the
// membership of the cluster, carries heartbeats, and transports calls,
// notifications and streams between hosts.
package peer

// The membership protocol is a variant of SWIM. A member is one incarnation (one run
// of the process) of an entry host, which is a host that callers are connected to.
// Each host keeps a table of all members and their states; a member is up if its
// state there is alive or suspect. An update tells another host the state of a member.
// Updates and the digest of the table are in gossip.go, the handling of received
// messages is in received.go. The rules are:
//
//  1. In each PingInterval a host pings one other member, in a shuffled round
//     over all members that are up, so that the messages that it sends do not
//     grow with the size of the cluster.
//  2. If a ping is not acknowledged within ackTimeout or can't be sent, the
//     host asks two other members to ping the target (indirect pings). It also sends
//     a ping that was not acknowledged again on a fresh connection, because the one
//     in use may have stopped delivering for good. If no acknowledgement arrives,
//     directly or through one of them, within PingInterval of the first ping, the
//     target becomes suspect.
//  3. A suspect that nobody reports alive for suspectTimeout becomes
//     unreachable. Unreachable is an opinion, not a proof that the process has
//     ended. It costs the member its slots on backend servers, and the other hosts
//     give it no further role, such as lending quota or writing claims. It keeps
//     its part of each quota at least until it is removed from the table
//     (forgetAfter), and its submissions don't count as ended.
//  4. Dead is final for an incarnation and needs proof: a leave notice, or
//     another incarnation that answers at the same address.
//  5. Updates travel on pings and acknowledgements; each one is sent a bounded
//     number of times (queueUpdate). Of two updates about one incarnation dead
//     supersedes any other state; otherwise the higher sequence number wins, and at
//     the same number unreachable supersedes suspect, which supersedes alive. A
//     member that receives an update which calls it anything but alive raises its
//     own sequence number above that of the update to refute it.
//  6. Each message carries a digest of the sender's table. If the digests
//     differ, the acknowledgement also carries a sample of the table, and
//     successive samples cover all of it, so that a table that missed updates
//     becomes complete. One unreachable member is pinged each rejoinInterval, so
//     that the end of a network partition is noticed.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// PingInterval is the time between two pings that a host sends by rule 1.
	PingInterval = time.Second
	// ackTimeout is the time after which indirect pings are requested (rule 2).
	ackTimeout = 300 * time.Millisecond
	// suspectTimeout is the time after which a suspect becomes unreachable (rule 3).
	// It is three PingIntervals, in which the suspicion has to reach the member and
	// its refutation has to come back (rule 5). The method unresponsive of a link
	// uses it, too.
	suspectTimeout = 3 * time.Second
	// rejoinInterval is the time between two pings of a seed that is not a member,
	// and between two pings of an unreachable member. A seed is an address, from the
	// settings or the platform's list of hosts, at which other members may be found.
	rejoinInterval = 5 * time.Second
	// A host that is joining pings up to seedsPerJoin seeds each joinInterval.
	joinInterval = 250 * time.Millisecond
	seedsPerJoin = 3
	// joinDuration is how long after its start a host counts as joining.
	joinDuration = 1500 * time.Millisecond
	// forgetAfter is how long an unreachable or dead member stays in the table. A dead
	// member in the table can't be revived by a delayed update, and its successor can
	// be looked up.
	forgetAfter = 30 * time.Minute
	// indirectPings is the number of proxies for each ping without an
	// acknowledgement (rule 2).
	indirectPings = 2
	// updatesPerMessage limits the queued updates on each message (rule 5).
	updatesPerMessage = 3
	// joinSampleMembers and sampleMembers limit the table sample (rule 6) in the
	// acknowledgement to a ping of a seed, which a joining host sends, and to any
	// other ping.
	joinSampleMembers = 64
	sampleMembers     = 8
)

// State is the state of a member as seen by one host.
type State uint8

// The states, in ascending precedence at the same sequence number (rule 5).
const (
	Alive State = iota
	Suspect
	Unreachable
	Dead
)

var stateNames = [...]string{"Alive", "Suspect", "Unreachable", "Dead"}

// String returns the name of the state in logs and in the status.
func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member describes one incarnation (one run of the process) of an entry host.
// It is encoded as an array without field names, because members make up most
// of the bytes of a heartbeat.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation string
	// Address is the address for peers, and Operator that of the operator endpoints.
	Address       string
	Operator      string
	FailureDomain string
	Region        string
	State         State
	// Seq is the sequence number of the state (rule 5).
	Seq uint64
	// Successor is the incarnation that answers callers for this one after it has
	// left, which makes its state dead. It is empty if there is none.
	Successor string
	// CPUMilli is the CPU time that the host may use, in thousandths of a core;
	// it is 0 if the host doesn't report it.
	CPUMilli int
	// RTT is the moving average of the round-trip times of this host's pings to
	// the member.
	RTT time.Duration `cbor:"-" json:"-"`
}

// Up reports whether the member counts as running: it is alive or suspect.
func (m Member) Up() bool { return m.State <= Suspect }

// Message is the content of all frames of the membership protocol: pings,
// acknowledgements, indirect pings and acks, and leave notices. An indirect ping
// carries its target as the only element of Updates, and an indirect ack has the
// member that was reached as From.
type Message struct {
	// From is the sender. Target is the incarnation that is pinged, or empty to
	// ping whichever one listens at the address.
	From   Member
	Target string
	// Seq matches an acknowledgement to its ping. It is unrelated to Member.Seq.
	Seq uint64
	// TableDigest is the digest of the sender's table (rule 6).
	TableDigest uint64 `cbor:"Table"`
	// Updates holds the states of members as the sender sees them (rule 5).
	Updates []Member `cbor:"News"`
}

// Action is a decision of Membership that the service carries out. Exactly one
// field is set.
type Action struct {
	Ping         *Ping
	Ack          *Ack
	IndirectPing *IndirectPing
	IndirectAck  *IndirectAck
	// MemberChanged reports that a member is new or has changed its state. It is a
	// copy of the member.
	MemberChanged *Member
}

// Ping requests that a ping is sent to an address.
type Ping struct {
	Address string
	Message Message
	// Fresh says that the ping is sent again, on a connection dialed after SentAt.
	Fresh  bool
	SentAt time.Time
}

// Ack requests that the ping which is being handled is acknowledged.
type Ack struct{ Message Message }

// IndirectPing requests that the member at Address, the proxy, is asked to ping
// Target.
type IndirectPing struct {
	Address string
	Target  Member
}

// IndirectAck requests that the member at Address, which had asked for an
// indirect ping, is told that Target has acknowledged it.
type IndirectAck struct {
	Address string
	Target  Member
}

// MembershipConfig configures a Membership. Self describes this host, Seeds are the
// addresses that are pinged to find other members, and Rand chooses whom to ping.
type MembershipConfig struct {
	Self  Member
	Seeds []string
	Rand  *rand.Rand
}

// Membership is the state machine of the membership protocol. Its methods take
// events and return the actions that follow from them; it does no I/O and reads no
// clock. It is not safe for concurrent use.
type Membership struct {
	self  Member
	seeds []string
	rand  *rand.Rand
	// members is the table: all members but this host, by incarnation.
	members map[string]*entry
	// sortedIDs holds the incarnations of all members, sorted.
	sortedIDs []string
	// pingRound holds the incarnations still to be pinged in this round (rule 1).
	pingRound []string
	// sampleIndex is the position in sortedIDs of the last member sampled (rule 6).
	sampleIndex int
	// pingSeq is the sequence number of the last ping, see Message.Seq.
	pingSeq uint64
	// nextPing is the time of the next ping by rule 1, nextRejoin that of the next
	// pings of seeds and of an unreachable member.
	nextPing   time.Time
	nextRejoin time.Time
	// started is the time of the first tick.
	started time.Time
	// pings holds the pings without an acknowledgement by sequence number.
	pings map[uint64]*ping
	// updates holds the updates still to be sent, in the order of sending.
	updates []queuedUpdate
}

// entry is the row of the table for one incarnation.
type entry struct {
	Member
	stateSince time.Time
	// hash is the contribution of the incarnation to the table digest.
	hash uint64
}

// ping is a ping of this host that has not been acknowledged yet.
type ping struct {
	// target is the incarnation that was pinged, empty for any.
	target string
	sentAt time.Time
	// freshDone is set if the ping was sent again on a fresh connection.
	freshDone bool
	// indirectDone is set if no further indirect pings are to be requested: they have
	// been, or this ping is itself an indirect one.
	indirectDone bool
	// failed is set if the ping could not be sent. The next tick then requests
	// indirect pings, because another member may still reach the target.
	failed bool
	// requester is the address of the member that asked for this ping if it is an
	// indirect one; otherwise it is empty.
	requester string
}

// NewMembership returns a Membership that knows only the host itself.
func NewMembership(c MembershipConfig) *Membership {
	m := &Membership{
		self: c.Self, seeds: c.Seeds, rand: c.Rand,
		members: map[string]*entry{}, pings: map[uint64]*ping{},
	}
	m.self.Seq = 1 // Nothing depends on the first number, which could also be 0.
	return m
}

// Self returns the host's own entry.
func (m *Membership) Self() Member { return m.self }

// SetSuccessor sets the incarnation that answers for this one after it has left.
func (m *Membership) SetSuccessor(incarnation string) { m.self.Successor = incarnation }

// SetSeeds replaces the addresses that are pinged to find other members.
func (m *Membership) SetSeeds(addresses []string) { m.seeds = addresses }

// List returns all known members except the host itself, sorted by name.
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

// Tick evaluates timeouts and sends the pings that are due. The caller calls it at
// intervals well below ackTimeout.
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

// checkPings requests indirect pings and marks members suspect whose pings were
// not acknowledged (rule 2).
func (m *Membership) checkPings(now time.Time) []Action {
	var actions []Action
	for _, seq := range sortedSeqs(m.pings) {
		p := m.pings[seq]
		age := now.Sub(p.sentAt)
		e := m.members[p.target]
		if age >= PingInterval {
			delete(m.pings, seq)
			// A proxy leaves it to the requester to suspect the target.
			if e != nil && e.State == Alive && p.requester == "" {
				actions = append(actions, m.apply(now, withState(e.Member, Suspect))...)
			}
			continue
		}
		if e != nil && !p.freshDone && age >= ackTimeout && !p.failed {
			p.freshDone = true
			again := Ping{Address: e.Address, Message: m.newMessage(p.target, seq), Fresh: true, SentAt: p.sentAt}
			actions = append(actions, Action{Ping: &again})
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

// checkSuspects marks members unreachable that have been suspect for suspectTimeout
// (rule 3), and removes those that have been unreachable or dead for forgetAfter.
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

// nextTarget returns the next member of a shuffled round over the members that are
// up (rule 1), or nil if there is none. If the round is over, it starts another one.
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

// pingSeedsAndUnreachable pings one seed that is not a member, or several seeds if
// the host is joining, and one unreachable member (rule 6).
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
		// Seeds may be outdated or down, and those that answered once may have
		// learned of other members since. Without repeated pings, hosts that start
		// at the same time would not learn of each other.
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

// joining reports whether the host has started less than joinDuration ago or knows
// no other member. A host that stays alone therefore pings its seeds at the higher rate
// until it finds another one.
func (m *Membership) joining(now time.Time) bool {
	return len(m.members) == 0 || now.Sub(m.started) < joinDuration
}

// ping records a new ping and returns the action that sends it.
func (m *Membership) ping(now time.Time, address, target string) Action {
	m.pingSeq++
	m.pings[m.pingSeq] = &ping{target: target, sentAt: now}
	return Action{Ping: &Ping{Address: address, Message: m.newMessage(target, m.pingSeq)}}
}

// randomUp returns up to n random members that are up, without the incarnation
// exclude.
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
