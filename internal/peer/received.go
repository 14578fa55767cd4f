package peer

// What other hosts tell this one of members. The rules cited here are those of
// membership.go.

import (
	"time"
)

// HandlePing handles a ping that reached this host.
func (m *Membership) HandlePing(now time.Time, msg Message) []Action {
	actions := m.applyMessage(now, msg)
	reply := m.newMessage(msg.Target, msg.Seq)
	switch {
	case msg.Target == "":
		// Only a host that joins pings an address without a target.
		reply = m.withTableSample(reply, joinSampleMembers)
	case msg.TableDigest != reply.TableDigest:
		reply = m.withTableSample(reply, sampleMembers)
	}
	return append(actions, Action{Ack: &Ack{reply}})
}

// HandleAck handles the answer to a ping of this host. An answer of another
// incarnation than the one pinged proves that one dead (rule 4).
func (m *Membership) HandleAck(now time.Time, msg Message) []Action {
	p := m.pings[msg.Seq]
	delete(m.pings, msg.Seq)
	actions := m.applyMessage(now, msg)
	if p == nil {
		return actions
	}
	if e := m.members[msg.From.Incarnation]; e != nil {
		e.RTT = (3*e.RTT + now.Sub(p.sentAt)) / 4
	}
	if p.target != "" && p.target != msg.From.Incarnation {
		return append(actions, m.MarkDead(now, p.target)...)
	}
	if p.requester != "" {
		actions = append(actions, Action{IndirectAck: &IndirectAck{p.requester, msg.From}})
	}
	return actions
}

// HandleIndirectAck handles the news that a helper has reached a member.
func (m *Membership) HandleIndirectAck(now time.Time, target Member) []Action {
	for seq, p := range m.pings {
		if p.target == target.Incarnation {
			delete(m.pings, seq)
		}
	}
	return m.applyMessage(now, Message{From: target})
}

// PingFailed tells that a ping could not be sent.
func (m *Membership) PingFailed(seq uint64) {
	if p := m.pings[seq]; p != nil {
		p.failed = true
	}
}

// HandleIndirectPing handles a request to ping a member for the host at address asker.
func (m *Membership) HandleIndirectPing(now time.Time, target Member, requester string) []Action {
	a := m.ping(now, target.Address, target.Incarnation)
	// Without this, helpers would ask helpers in turn, without end.
	m.pings[a.Ping.Message.Seq].requester = requester
	m.pings[a.Ping.Message.Seq].indirectDone = true
	return []Action{a}
}

// MarkDead records proof that an incarnation has ended.
func (m *Membership) MarkDead(now time.Time, incarnation string) []Action {
	e := m.members[incarnation]
	if e == nil {
		return nil
	}
	return m.apply(now, withState(e.Member, Dead))
}

// HandleLeave handles the farewell of a member.
func (m *Membership) HandleLeave(now time.Time, from Member) []Action {
	m.apply(now, from)
	from.State = Dead
	return m.apply(now, from)
}
