package peer

// This file handles the messages of the membership protocol that other hosts send.
// The rules cited here are those of membership.go.

import (
	"time"
)

// HandlePing handles a ping that another host sent to this one.
func (m *Membership) HandlePing(now time.Time, msg Message) []Action {
	actions := m.applyMessage(now, msg)
	reply := m.newMessage(msg.Target, msg.Seq)
	switch {
	case msg.Target == "":
		// Only a host that looks for members pings an address without a target.
		reply = m.withTableSample(reply, joinSampleMembers)
	case msg.TableDigest != reply.TableDigest:
		reply = m.withTableSample(reply, sampleMembers)
	}
	return append(actions, Action{Ack: &Ack{reply}})
}

// HandleAck handles the acknowledgement of a ping of this host. If another
// incarnation than the pinged one answers, the pinged one is dead (rule 4).
func (m *Membership) HandleAck(now time.Time, msg Message) []Action {
	p := m.pings[msg.Seq]
	delete(m.pings, msg.Seq)
	actions := m.applyMessage(now, msg)
	if p == nil {
		return actions
	}
	if e := m.members[msg.From.Incarnation]; e != nil && !p.freshDone {
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

// HandleIndirectAck handles the report of a proxy that target has acknowledged an
// indirect ping.
func (m *Membership) HandleIndirectAck(now time.Time, target Member) []Action {
	for seq, p := range m.pings {
		if p.target == target.Incarnation {
			delete(m.pings, seq)
		}
	}
	return m.applyMessage(now, Message{From: target})
}

// PingFailed records that a ping could not be sent, so that the next tick requests
// indirect pings.
func (m *Membership) PingFailed(seq uint64) {
	if p := m.pings[seq]; p != nil {
		p.failed = true
	}
}

// HandleIndirectPing handles the request of the host at address requester to ping
// target.
func (m *Membership) HandleIndirectPing(now time.Time, target Member, requester string) []Action {
	a := m.ping(now, target.Address, target.Incarnation)
	// A proxy must not request indirect pings itself, or the requests would be
	// passed from proxy to proxy without end.
	m.pings[a.Ping.Message.Seq].requester = requester
	m.pings[a.Ping.Message.Seq].indirectDone = true
	return []Action{a}
}

// MarkDead marks an incarnation dead. The caller has proof that it has ended
// (rule 4).
func (m *Membership) MarkDead(now time.Time, incarnation string) []Action {
	e := m.members[incarnation]
	if e == nil {
		return nil
	}
	return m.apply(now, withState(e.Member, Dead))
}

// HandleLeave handles the leave notice of a member: it applies the member's entry in
// the notice, which may name the successor, and marks the member dead (rule 4).
func (m *Membership) HandleLeave(now time.Time, from Member) []Action {
	m.apply(now, from)
	from.State = Dead
	return m.apply(now, from)
}
