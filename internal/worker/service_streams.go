package worker

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"guavayoke/internal/peer"

	"github.com/fxamacker/cbor/v2"
)

// The streams that carry sessions: those that this host opens to owners and those that entry
// hosts open. service_path.go replaces streams that have gone silent.

// sendMessage queues a message on a stream. It reports false if the stream can't take it,
// and closes the stream then.
func (s *Service) sendMessage(st *peer.Stream, m message) bool {
	b, err := cbor.Marshal(m)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("MessageEncodingFailed")
		return false
	}
	if !st.Send(b) {
		// Sessions rely on messages that arrive in order and without gaps, so the
		// stream is closed when it can't take one.
		s.cfg.Log.Warn().Str("Peer", st.Peer).Msg("StreamFull")
		st.Close()
		return false
	}
	return true
}

// dropSubmissions removes the submissions of a session that has ended.
func (s *Service) dropSubmissions(id SessionID) {
	if id == localSession {
		return // The session was never opened.
	}
	s.queuesMu.Lock()
	defer s.queuesMu.Unlock()
	s.mailbox.DropSession(id)
}

// openSession opens a session with a candidate and reports the outcome as an event.
func (s *Service) openSession(c Candidate) {
	ctx, cancel := context.WithTimeout(s.ctx, openTimeout)
	defer cancel()
	// Only the loop uses current and ended. The stream may end before the loop
	// handles its opening, or after another stream has replaced it.
	var current *peer.Stream
	ended := false
	receive := func(b []byte) {
		m, err := decodeMessage(b)
		if err != nil {
			s.cfg.Log.Warn().Str("Peer", c.Incarnation).Err(err).Msg("MessageMalformed")
			return
		}
		s.enqueueIn(s.liveness, func(h *Host, now time.Time) {
			// A heartbeat counts only on the stream that carries the session.
			if m.Heartbeat == nil || s.ownerStreams[c.Incarnation] == current {
				h.handleOwnerMessage(now, c.Incarnation, m)
			}
		})
	}
	closed := func() {
		s.enqueueControl(func(h *Host, now time.Time) {
			ended = true
			if current != nil {
				s.ownerStreamEnded(h, now, current)
			}
		})
	}
	st, err := s.peers.OpenStream(ctx, c.Address, c.Incarnation, streamName, receive, closed)
	if err != nil {
		reason := "Unreachable"
		var other *peer.IncarnationError
		if errors.As(err, &other) {
			reason = "IncarnationEnded"
		}
		s.enqueue(func(h *Host, now time.Time) { h.entry.HandleSessionClosed(now, c.Incarnation, reason) })
		return
	}
	s.enqueueIn(s.liveness, func(h *Host, now time.Time) {
		switch {
		case ended && s.ownerStreams[c.Incarnation] == nil:
			h.entry.HandleSessionClosed(now, c.Incarnation, "SessionBroke")
		case ended:
		case h.entry.HandleSessionOpened(now, c.Incarnation):
			current = st
			s.ownerStreams[c.Incarnation] = st
		default:
			st.Close()
		}
	})
}

// acceptSession adds a session that an entry host has opened. It returns the
// functions that handle the messages and the end of its stream.
func (s *Service) acceptSession(st *peer.Stream) (receive func([]byte), closed func()) {
	// The loop sets the ID before it sends the first message on the session.
	var opened atomic.Uint64
	s.enqueueIn(s.liveness, func(h *Host, now time.Time) {
		id := h.sessions.Open(now, st.Peer)
		opened.Store(uint64(id))
		s.cfg.Log.Info().Uint64("Session", uint64(id)).Str("Peer", st.Peer).Msg("SessionOpened")
		s.sessionStreams[id] = st
	})
	receive = func(b []byte) {
		m, err := decodeMessage(b)
		if err != nil {
			s.cfg.Log.Warn().Str("Peer", st.Peer).Err(err).Msg("MessageMalformed")
			return
		}
		s.receiveFromEntry(st, &opened, m)
	}
	closed = func() {
		s.enqueueControl(func(h *Host, now time.Time) {
			id := SessionID(opened.Load())
			delete(s.sessionStreams, id)
			s.dropSubmissions(id)
			h.handleIncomingSessionClosed(now, id)
		})
	}
	return receive, closed
}

// receiveFromEntry passes a message of an entry host on a session to the lane that it
// belongs to. opened has the ID of the session, 0 if the loop has not opened it yet.
func (s *Service) receiveFromEntry(st *peer.Stream, opened *atomic.Uint64, m message) {
	id := SessionID(opened.Load())
	switch {
	case m.Submit != nil:
		r, ok := Result{ID: m.Submit.ID, Outcome: Returned, Reason: "NotOwner"}, false
		if err := m.Submit.Validate(); err != nil {
			s.cfg.Log.Warn().Str("Peer", st.Peer).Err(err).Msg("MessageMalformed")
			r.Outcome, r.Reason = Refused, "Malformed"
		} else if id != 0 {
			r, ok = s.offer(Submission{Session: id, Job: m.job(), Run: func(h *Host, now time.Time, j Job) { h.SubmitQueued(now, id, j, m.Submission, m.Crashes) }})
		}
		if !ok {
			s.sendMessage(st, message{Result: &r, Submission: m.Submission})
		}
	case m.Cancel != "" && id != 0:
		readAt := s.cfg.Now()
		s.withdraw(id, 0, m.Cancel, func(h *Host, now time.Time) { h.cancelJob(now, id, m, readAt) })
	case m.CancelJob != "" && id != 0:
		readAt := s.cfg.Now()
		s.queuesMu.Lock()
		queued := s.mailbox.Waits(m.CancelJob)
		s.queuesMu.Unlock()
		s.enqueueControl(func(h *Host, now time.Time) { h.handleCancelQuestion(now, id, m, readAt, queued) })
	default:
		// An attach is the first message on its stream. This lane keeps the order, so the
		// loop opens the session before.
		s.enqueueIn(s.liveness, func(h *Host, now time.Time) { h.handleEntryMessage(now, SessionID(opened.Load()), m) })
	}
}
