package peer

import "slices"

// Bounds of what another host says of members. A value beyond them would stay in the tables of
// all hosts.
const (
	// maxSeq bounds sequence numbers. A member raises its own by one for each suspicion, so that
	// there is room for more.
	maxSeq = 1 << 53
	// maxMemberTextBytes bounds the names and addresses of a member.
	maxMemberTextBytes = 300
	// maxMemberCPUMilli is 10,000 cores, in thousandths of a core.
	maxMemberCPUMilli = 10_000_000
	// maxUpdates bounds the updates in a message to several times the largest sample.
	maxUpdates = 4 * joinSampleMembers
)

// valid reports whether the values of a member are within their bounds.
func (m *Member) valid() bool {
	for _, text := range []string{m.Name, m.Incarnation, m.Address, m.Operator, m.FailureDomain, m.Region, m.Successor} {
		if len(text) > maxMemberTextBytes {
			return false
		}
	}
	return m.Incarnation != "" && m.State <= Dead && m.Seq <= maxSeq && m.CPUMilli >= 0 && m.CPUMilli <= maxMemberCPUMilli
}

// limit drops the updates that are out of bounds. It reports false if the sender is, so that the
// message can't be used.
func (m *Message) limit() bool {
	m.Updates = slices.DeleteFunc(m.Updates[:min(len(m.Updates), maxUpdates)], func(u Member) bool { return !u.valid() })
	return m.From.valid() && len(m.Target) <= maxMemberTextBytes
}
