package peer

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The rules cited here are those of membership.go.

type queuedUpdate struct {
	incarnation string
	sendsLeft   int
}

// newMessage builds a newMessage with news (rule 5).
func (m *Membership) newMessage(target string, seq uint64) Message {
	msg := Message{From: m.self, Target: target, Seq: seq, TableDigest: m.tableDigest()}
	var pending, sent []queuedUpdate
	for _, n := range m.updates {
		e := m.members[n.incarnation]
		switch {
		case e == nil:
		case len(msg.Updates) == updatesPerMessage:
			pending = append(pending, n)
		default:
			msg.Updates = append(msg.Updates, e.Member)
			if n.sendsLeft--; n.sendsLeft > 0 {
				sent = append(sent, n)
			}
		}
	}
	m.updates = append(pending, sent...)
	return msg
}

// tableDigest is a digest of the incarnations that are up, the host itself included.
func (m *Membership) tableDigest() uint64 {
	sum := xxhash.Sum64String(m.self.Incarnation)
	for _, e := range m.members {
		if e.Up() {
			sum ^= e.hash
		}
	}
	return sum
}

func (m *Membership) withTableSample(msg Message, count int) Message {
	ids := m.sortedIDs
	for range min(count, len(ids)) {
		m.sampleIndex = (m.sampleIndex + 1) % len(ids)
		msg.Updates = append(msg.Updates, m.members[ids[m.sampleIndex]].Member)
	}
	return msg
}

// applyMessage takes over the sender and the news of a message.
func (m *Membership) applyMessage(now time.Time, msg Message) []Action {
	from := msg.From
	from.State = Alive
	if e := m.members[from.Incarnation]; e != nil && e.State != Dead {
		// Hearing it directly refutes any opinion about it.
		from.Seq = max(from.Seq, e.Seq)
		if e.State != Alive && from.Seq == e.Seq {
			from.Seq++
		}
	}
	actions := append(m.apply(now, from), m.markReplaced(now, from)...)
	for _, n := range msg.Updates {
		actions = append(actions, m.apply(now, n)...)
	}
	return actions
}

// apply merges what is said of a member into the table (rule 5).
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

// markReplaced buries older incarnations at the address of a member that was heard
// directly: one process listens at an address. Incarnations sort by age, so a
// delayed message of an old one buries nothing.
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

// supersedes reports whether n replaces the known state old of one incarnation.
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

// queueUpdate queues news to be passed on about as often as it takes to reach all.
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
