package peer

import (
	"context"
	"time"
)

// A connection can stop delivering for good without an error, while new ones work. This
// file replaces such connections.

// OpenFreshStream does what OpenStream does on a new connection, which other traffic to
// the address uses from then on. The caller closes the streams on the former connection
// when they are no longer needed.
func (s *Service) OpenFreshStream(ctx context.Context, address, target, name string, onMessage func([]byte), onClose func()) (*Stream, error) {
	l, err := s.dialLink(ctx, address)
	if err != nil {
		return nil, err
	}
	if l.incarnation != target {
		l.close()
		return nil, s.incarnationEnded(target, l.incarnation)
	}
	st := s.addStream(l, name, onMessage, onClose)
	s.installLink(address, l)
	return st, nil
}

// retireGrace is how long a link that another one has replaced may still show that it
// delivers: a peer that was paused answers on both.
const retireGrace = 100 * time.Millisecond

// pingAfresh sends a ping again on a connection that was dialed after it was first sent. A
// link to the same incarnation that has brought nothing since then is closed.
func (s *Service) pingAfresh(p Ping) {
	go func() {
		s.mu.Lock()
		old := s.links[p.Address]
		s.mu.Unlock()
		if old == nil || old.closed() || old.dialedAt.After(p.SentAt) {
			s.sendPing(p)
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, PingInterval)
		defer cancel()
		l, err := s.dialLink(ctx, p.Address)
		if err != nil {
			// The indirect pings decide.
			return
		}
		s.installLink(p.Address, l)
		s.cfg.Log.Info().Str("Address", p.Address).Str("Incarnation", l.incarnation).Msg("LinkReplaced")
		if body := s.heartbeat(p.Message); l.out.Offer(frame{Kind: framePing, Body: body}) {
			s.countSent(len(body))
		}
		select {
		case <-time.After(retireGrace):
		case <-s.ctx.Done():
		}
		s.retireLink(old, p.SentAt)
	}()
}

// retireLink closes a link if it has brought no frame since a time. Otherwise its streams
// may still work, and whoever uses them ends them.
func (s *Service) retireLink(l *link, since time.Time) {
	if !l.silentSince(since) {
		return
	}
	s.mu.Lock()
	if s.links[l.address] == l {
		delete(s.links, l.address)
	}
	s.mu.Unlock()
	l.close()
}
