package worker

import "time"

// Message lets tests carry messages between hosts.
type Message = message

// FromOwner is fromOwner.
func (h *Host) FromOwner(now time.Time, owner string, m Message) { h.fromOwner(now, owner, m) }

// FromEntry is fromEntry.
func (h *Host) FromEntry(now time.Time, id SessionID, m Message) { h.fromEntry(now, id, m) }

// SessionClosed is sessionClosed.
func (h *Host) SessionClosed(now time.Time, id SessionID) { h.sessionClosed(now, id) }

// OpenSession opens a session for a peer.
func (h *Host) OpenSession(now time.Time, peer string) SessionID { return h.sessions.Open(now, peer) }

// Entry returns the entry of a host.
func (h *Host) Entry() *Entry { return h.entry }

// Pool returns the pool of a host.
func (h *Host) Pool() *Pool { return h.pool }

// Times that tests compare with the platform's bounds.
const (
	LeaseTime            = leaseDuration
	EntryLease           = entryLease
	StopAckTimeout       = stopAckTimeout
	MaxClockDriftPercent = maxClockDriftPercent
)
