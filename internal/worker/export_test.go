package worker

import "time"

// Message is exported for tests that carry messages between hosts.
type Message = message

// HandleOwnerMessage calls handleOwnerMessage.
func (h *Host) HandleOwnerMessage(now time.Time, owner string, m Message) {
	h.handleOwnerMessage(now, owner, m)
}

// HandleEntryMessage calls handleEntryMessage.
func (h *Host) HandleEntryMessage(now time.Time, id SessionID, m Message) {
	h.handleEntryMessage(now, id, m)
}

// CancelJob calls cancelJob.
func (h *Host) CancelJob(now time.Time, path SessionID, m Message, readAt time.Time) {
	h.cancelJob(now, path, m, readAt)
}

// HandleIncomingSessionClosed calls handleIncomingSessionClosed.
func (h *Host) HandleIncomingSessionClosed(now time.Time, id SessionID) {
	h.handleIncomingSessionClosed(now, id)
}

// OpenSession opens a session for the host with a peer address.
func (h *Host) OpenSession(now time.Time, peer string) SessionID { return h.sessions.Open(now, peer) }

// Entry returns the entry state machine of the host.
func (h *Host) Entry() *Entry { return h.entry }

// Pool returns the pool of the host.
func (h *Host) Pool() *Pool { return h.pool }

// Limits that tests compare with those of the platform.
const (
	LeaseDuration        = leaseDuration
	SessionLease         = sessionLease
	StopAckTimeout       = stopAckTimeout
	MaxClockDriftPercent = maxClockDriftPercent
)
