package worker

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"guavayoke/internal/peer"
)

// pathKey identifies a path that is being opened, by the incarnation of the owner and the
// number of the attach.
type pathKey struct {
	owner  string
	number uint64
}

// openPath opens another stream to an owner, on a new connection, and sends the attach on
// it.
func (s *Service) openPath(d PathDial) {
	metrics.GetOrRegisterCounter("Worker.PathsSuspect", s.cfg.Metrics).Inc(1)
	ctx, cancel := context.WithTimeout(s.ctx, sessionLease)
	defer cancel()
	key := pathKey{d.Candidate.Incarnation, d.Number}
	// Only the loop uses st and ended, since st is set before the first event is queued.
	var st *peer.Stream
	opened := make(chan struct{})
	ended := false
	receive := func(b []byte) {
		<-opened
		s.receiveFromOwner(st, b)
	}
	closed := func() {
		go func() {
			<-opened
			s.enqueueControl(func(h *Host, now time.Time) {
				ended = true
				delete(s.newPaths, key)
				s.ownerStreamEnded(h, now, st)
			})
		}()
	}
	var err error
	st, err = s.peers.OpenFreshStream(ctx, d.Candidate.Address, d.Candidate.Incarnation, streamName, receive, closed)
	close(opened)
	if err != nil {
		var other *peer.IncarnationError
		incarnationEnded := errors.As(err, &other)
		s.enqueueControl(func(h *Host, now time.Time) {
			h.entry.HandlePathFailed(now, d.Candidate.Incarnation, d.Number, incarnationEnded)
		})
		return
	}
	s.enqueueIn(s.liveness, func(h *Host, now time.Time) {
		if ended {
			return
		}
		m := h.entry.HandlePathOpened(d.Candidate.Incarnation, d.Number)
		if m == nil {
			st.Close()
			return
		}
		s.newPaths[key] = st
		s.sendMessage(st, *m)
	})
}

// receiveFromOwner handles a message on a stream to an owner. Heartbeats count only on the
// stream that carries the session. Results and answers to attaches count on any.
func (s *Service) receiveFromOwner(st *peer.Stream, b []byte) {
	m, err := decodeMessage(b)
	if err != nil {
		s.cfg.Log.Warn().Str("Peer", st.Peer).Err(err).Msg("MessageMalformed")
		return
	}
	s.enqueueIn(s.liveness, func(h *Host, now time.Time) {
		if m.Heartbeat == nil || s.ownerStreams[st.Peer] == st {
			h.handleOwnerMessage(now, st.Peer, m)
		}
	})
}

// ownerStreamEnded handles the end of a stream to an owner.
func (s *Service) ownerStreamEnded(h *Host, now time.Time, st *peer.Stream) {
	if s.ownerStreams[st.Peer] == st {
		delete(s.ownerStreams, st.Peer)
		h.entry.HandlePathClosed(now, st.Peer)
	}
}

// adoptPath makes a new path carry the session with an owner and closes the former one.
func (s *Service) adoptPath(d PathDial) {
	key := pathKey{d.Candidate.Incarnation, d.Number}
	st, former := s.newPaths[key], s.ownerStreams[key.owner]
	delete(s.newPaths, key)
	if st == nil {
		// The new path has ended since, and the session ends with it.
		s.enqueueControl(func(h *Host, now time.Time) { h.entry.HandlePathClosed(now, key.owner) })
		return
	}
	s.ownerStreams[key.owner] = st
	metrics.GetOrRegisterCounter("Worker.SessionsAttached", s.cfg.Metrics).Inc(1)
	if former != nil {
		former.Close()
	}
	for k, o := range s.newPaths {
		if k.owner == key.owner && k.number < key.number {
			delete(s.newPaths, k)
			o.Close()
		}
	}
}

// closeNewPaths closes the paths to an owner that don't carry its session.
func (s *Service) closeNewPaths(owner string) {
	for k, st := range s.newPaths {
		if k.owner == owner {
			delete(s.newPaths, k)
			st.Close()
		}
	}
}

// sendToOwner sends a message on the session with an owner. A submission that the link has
// no room for is reported to the entry, since the owner will never see it: what keeps the
// session alive goes before new work.
func (s *Service) sendToOwner(now time.Time, m *OwnerMessage) {
	st := s.ownerStreams[m.To]
	if m.Message.Submit == nil {
		if st != nil {
			s.sendMessage(st, m.Message)
		}
		return
	}
	reason := ""
	b, err := cbor.Marshal(m.Message)
	switch {
	case err != nil:
		s.cfg.Log.Error().Err(err).Msg("MessageEncodingFailed")
		reason = "Malformed"
	case st == nil:
		reason = "SessionBroke"
	case !st.SendWithReserve(b):
		reason = "LinkFull"
	default:
		return
	}
	metrics.GetOrRegisterCounter("Worker.Unsent", s.cfg.Metrics).Inc(1)
	s.followUp(now, func(h *Host, now time.Time) { h.entry.HandleNotSent(now, m.To, m.Message.Submit.ID, reason) })
}
