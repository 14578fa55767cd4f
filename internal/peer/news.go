package peer

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The rules cited here are those of members.go.

type newsItem struct {
	incarnation string
	left        int
}

// message builds a message with news (rule 5).
func (m *Membership) message(target string, seq uint64) Message {
	msg := Message{From: m.self, Target: target, Seq: seq, TableDigest: m.table()}
	var waiting, told []newsItem
	for _, n := range m.news {
		e := m.members[n.incarnation]
		switch {
		case e == nil:
		case len(msg.Updates) == newsPerMessage:
			waiting = append(waiting, n)
		default:
			msg.Updates = append(msg.Updates, e.Member)
			if n.left--; n.left > 0 {
				told = append(told, n)
			}
		}
	}
	m.news = append(waiting, told...)
	return msg
}

// table is a digest of the incarnations that are up, the host itself included.
func (m *Membership) table() uint64 {
	sum := xxhash.Sum64String(m.self.Incarnation)
	for _, e := range m.members {
		if e.Up() {
			sum ^= e.hash
		}
	}
	return sum
}

func (m *Membership) withTurn(msg Message, n int) Message {
	ids := m.order
	for range min(n, len(ids)) {
		m.turn = (m.turn + 1) % len(ids)
		msg.Updates = append(msg.Updates, m.members[ids[m.turn]].Member)
	}
	return msg
}

// heard takes over the sender and the news of a message.
func (m *Membership) heard(now time.Time, msg Message) []Action {
	from := msg.From
	from.State = Alive
	if e := m.members[from.Incarnation]; e != nil && e.State != Dead {
		// Hearing it directly refutes any opinion about it.
		from.Seq = max(from.Seq, e.Seq)
		if e.State != Alive && from.Seq == e.Seq {
			from.Seq++
		}
	}
	actions := append(m.apply(now, from), m.replaces(now, from)...)
	for _, n := range msg.Updates {
		actions = append(actions, m.apply(now, n)...)
	}
	return actions
}

// apply merges what is said of a member into the table (rule 5).
func (m *Membership) apply(now time.Time, n Member) []Action {
	if n.Incarnation == m.self.Incarnation {
		if n.State != Alive && n.Seq >= m.self.Seq {
			m.self.Seq = n.Seq + 1
		}
		m.self.Seq = max(m.self.Seq, n.Seq)
		return nil
	}
	e := m.members[n.Incarnation]
	if e == nil {
		e = &entry{Member: n, since: now, hash: xxhash.Sum64String(n.Incarnation)}
		m.insert(n.Incarnation, e)
		m.tell(n.Incarnation)
		state := e.Member
		return []Action{{MemberChanged: &state}}
	}
	if !wins(n, e.Member) {
		return nil
	}
	if n.Successor != "" {
		e.Successor = n.Successor
	}
	changed := n.State != e.State
	n.State, e.State = e.State, n.State
	e.Seq = max(e.Seq, n.Seq)
	if !changed {
		return nil
	}
	e.since = now
	m.tell(n.Incarnation)
	state := e.Member
	return []Action{{MemberChanged: &state}}
}

// replaces buries older incarnations at the address of a member that was heard
// directly: one process listens at an address. Incarnations sort by age, so a
// delayed message of an old one buries nothing.
func (m *Membership) replaces(now time.Time, n Member) []Action {
	var actions []Action
	for _, id := range m.order {
		e := m.members[id]
		if id != n.Incarnation && e.Address == n.Address && e.State != Dead && e.Incarnation < n.Incarnation {
			actions = append(actions, m.apply(now, withState(e.Member, Dead))...)
		}
	}
	return actions
}

// wins reports whether n replaces the known state old of one incarnation.
func wins(n, old Member) bool {
	if old.State == Dead {
		return false
	}
	if n.State == Dead {
		return true
	}
	if n.Seq != old.Seq {
		return n.Seq > old.Seq
	}
	return n.State > old.State
}

// tell queues news to be passed on about as often as it takes to reach all.
func (m *Membership) tell(incarnation string) {
	times := 3 * (bits.Len(uint(len(m.members))) + 1)
	for i := range m.news {
		if m.news[i].incarnation == incarnation {
			m.news[i].left = times
			return
		}
	}
	m.news = append([]newsItem{{incarnation, times}}, m.news...)
}
