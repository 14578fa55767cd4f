package peer

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file disseminates the states of members and merges those received. The rules
// cited here are those of membership.go.

// queuedUpdate is an update about an incarnation that is still to be sent sendsLeft
// times. The state is read from the table when it is sent.
type queuedUpdate struct {
	incarnation string
	sendsLeft   int
}

// newMessage returns a message that carries up to updatesPerMessage queued updates
// (rule 5). Updates that remain to be sent again move to the end of the queue.
func (m *Membership) newMessage(target string, seq uint64) Message {
	msg := Message{From: m.self, Target: target, Seq: seq, TableDigest: m.tableDigest()}
	var pending, sent []queuedUpdate
	for _, u := range m.updates {
		e := m.members[u.incarnation]
		switch {
		case e == nil:
		case len(msg.Updates) == updatesPerMessage:
			pending = append(pending, u)
		default:
			msg.Updates = append(msg.Updates, e.Member)
			if u.sendsLeft--; u.sendsLeft > 0 {
				sent = append(sent, u)
			}
		}
	}
	m.updates = append(pending, sent...)
	return msg
}

// tableDigest returns a digest of the incarnations that are up, including that of
// the host itself. It doesn't depend on their order.
func (m *Membership) tableDigest() uint64 {
	sum := xxhash.Sum64String(m.self.Incarnation)
	for _, e := range m.members {
		if e.Up() {
			sum ^= e.hash
		}
	}
	return sum
}

// withTableSample appends the next count members of the table to the updates of msg
// (rule 6). Successive samples go through the table in a cycle.
func (m *Membership) withTableSample(msg Message, count int) Message {
	ids := m.sortedIDs
	for range min(count, len(ids)) {
		m.sampleIndex = (m.sampleIndex + 1) % len(ids)
		msg.Updates = append(msg.Updates, m.members[ids[m.sampleIndex]].Member)
	}
	return msg
}

// applyMessage merges the sender and the updates of a message into the table.
func (m *Membership) applyMessage(now time.Time, msg Message) []Action {
	from := msg.From
	from.State = Alive
	if e := m.members[from.Incarnation]; e != nil && e.State != Dead {
		// A message received from the member itself refutes any suspicion.
		from.Seq = max(from.Seq, e.Seq)
		if e.State != Alive && from.Seq == e.Seq {
			from.Seq++
		}
	}
	actions := append(m.apply(now, from), m.markReplaced(now, from)...)
	for _, update := range msg.Updates {
		actions = append(actions, m.apply(now, update)...)
	}
	return actions
}

// apply merges an update about a member into the table (rule 5).
func (m *Membership) apply(now time.Time, update Member) []Action {
	if update.Incarnation == m.self.Incarnation {
		if update.State != Alive && update.Seq >= m.self.Seq {
			m.self.Seq = update.Seq + 1
		}
		m.self.Seq = max(m.self.Seq, update.Seq)
		return nil
	}
	e := m.members[update.Incarnation]
	if e == nil {
		e = &entry{Member: update, stateSince: now, hash: xxhash.Sum64String(update.Incarnation)}
		m.insert(update.Incarnation, e)
		m.queueUpdate(update.Incarnation)
		state := e.Member
		return []Action{{MemberChanged: &state}}
	}
	if !supersedes(update, e.Member) {
		return nil
	}
	if update.Successor != "" {
		e.Successor = update.Successor
	}
	changed := update.State != e.State
	update.State, e.State = e.State, update.State
	e.Seq = max(e.Seq, update.Seq)
	if !changed {
		return nil
	}
	e.stateSince = now
	m.queueUpdate(update.Incarnation)
	state := e.Member
	return []Action{{MemberChanged: &state}}
}

// markReplaced marks dead all older incarnations at the address of a member that
// has sent a message itself, since only one process listens at an address.
// Incarnations sort by start time, so a delayed message of an old incarnation
// doesn't mark a newer one dead.
func (m *Membership) markReplaced(now time.Time, from Member) []Action {
	var actions []Action
	for _, id := range m.sortedIDs {
		e := m.members[id]
		if id != from.Incarnation && e.Address == from.Address && e.State != Dead && e.Incarnation < from.Incarnation {
			actions = append(actions, m.apply(now, withState(e.Member, Dead))...)
		}
	}
	return actions
}

// supersedes reports whether update replaces old, the known state of the same
// incarnation (rule 5).
func supersedes(update, old Member) bool {
	if old.State == Dead {
		return false
	}
	if update.State == Dead {
		return true
	}
	if update.Seq != old.Seq {
		return update.Seq > old.Seq
	}
	return update.State > old.State
}

// queueUpdate queues the state of an incarnation for dissemination. The number of
// sends grows with the logarithm of the number of members, which is about as often
// as it takes to reach all of them.
func (m *Membership) queueUpdate(incarnation string) {
	sends := 3 * (bits.Len(uint(len(m.members))) + 1)
	for i := range m.updates {
		if m.updates[i].incarnation == incarnation {
			m.updates[i].sendsLeft = sends
			return
		}
	}
	m.updates = append([]queuedUpdate{{incarnation, sends}}, m.updates...)
}
