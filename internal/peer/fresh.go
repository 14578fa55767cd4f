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

// retireLink takes a link out of use for new frames, and closes it if it has brought no
// frame since a time. Otherwise its streams still work, and whoever uses them ends them.
func (s *Service) retireLink(l *link, since time.Time) {
	s.mu.Lock()
	if s.links[l.address] == l {
		delete(s.links, l.address)
	}
	s.mu.Unlock()
	if l.silentSince(since) {
		l.close()
	}
}
