package worker

import "time"

// Message lets tests carry messages between hosts.
type Message = message

// HandleOwnerMessage is fromOwner.
func (h *Host) HandleOwnerMessage(now time.Time, owner string, m Message) {
	h.handleOwnerMessage(now, owner, m)
}

// HandleEntryMessage is fromEntry.
func (h *Host) HandleEntryMessage(now time.Time, id SessionID, m Message) {
	h.handleEntryMessage(now, id, m)
}

// HandleIncomingSessionClosed is sessionClosed.
func (h *Host) HandleIncomingSessionClosed(now time.Time, id SessionID) {
	h.handleIncomingSessionClosed(now, id)
}

// OpenSession opens a session for a peer.
func (h *Host) OpenSession(now time.Time, peer string) SessionID { return h.sessions.Open(now, peer) }

// Entry returns the entry of a host.
func (h *Host) Entry() *Entry { return h.entry }

// Pool returns the pool of a host.
func (h *Host) Pool() *Pool { return h.pool }

// Times that tests compare with the platform's bounds.
const (
	LeaseTime            = leaseDuration
	SessionLease         = sessionLease
	StopAckTimeout       = stopAckTimeout
	MaxClockDriftPercent = maxClockDriftPercent
)
