package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavayoke/pkg/verdict"
)

// IncarnationError reports that another incarnation answers at an address than the
// one that was called, which proves that the called one has ended. Want is the
// incarnation that was called, and Got the one that answers.
type IncarnationError struct{ Want, Got string }

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("incarnation %s has ended: its address answers as %s", e.Want, e.Got)
}

// sendPing sends a ping in the background and reports to the membership if it can't
// be sent.
func (s *Service) sendPing(p Ping) {
	body := s.heartbeat(p.Message)
	go func() {
		l, err := s.linkToIncarnation(s.ctx, p.Address, p.Message.Target)
		if err == nil && l.out.Offer(frame{Kind: framePing, Body: body}) {
			s.countSent(len(body))
			return
		}
		s.events.Offer(func(time.Time) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.members.PingFailed(p.Message.Seq)
		})
	}()
}

// sendFrame sends a frame to the incarnation target at an address, or to whichever
// incarnation listens there if target is empty. It works in the background, and
// drops the frame if the host can't be reached.
func (s *Service) sendFrame(address, target string, f frame) {
	go func() {
		l, err := s.linkToIncarnation(s.ctx, address, target)
		if err == nil && l.out.Offer(f) {
			s.countSent(len(f.Body))
		}
	}()
}

// countSent counts a frame that was sent with a body of so many bytes.
func (s *Service) countSent(bytes int) {
	s.Stats.SentFrames.Add(1)
	s.Stats.SentBytes.Add(uint64(bytes) + frameOverheadBytes)
}

// frameOverheadBytes is the approximate number of bytes that the encoding of the
// frame and the WebSocket protocol add to a body.
const frameOverheadBytes = 40

// link returns the link to an address, whichever incarnation listens there, and
// dials it if there is none. Concurrent calls for one address dial once.
func (s *Service) link(ctx context.Context, address string) (*link, error) {
	for {
		s.mu.Lock()
		if l := s.links[address]; l != nil && !l.closed() {
			s.mu.Unlock()
			return l, nil
		}
		dialed := s.dialing[address]
		if dialed == nil {
			dialed = make(chan struct{})
			s.dialing[address] = dialed
			s.mu.Unlock()
			return s.dial(ctx, address, dialed)
		}
		s.mu.Unlock()
		select {
		case <-dialed:
		case <-ctx.Done():
			return nil, fmt.Errorf("dial peer: %w", ctx.Err())
		}
		s.mu.Lock()
		l := s.links[address]
		s.mu.Unlock()
		if l == nil {
			return nil, fmt.Errorf("dial peer %s: a concurrent attempt failed", address)
		}
	}
}

// dial dials an address, installs the link, and closes dialed to wake the calls of
// link that wait for it.
func (s *Service) dial(ctx context.Context, address string, dialed chan struct{}) (*link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	l, err := s.dialLink(dialCtx, address)
	if err == nil {
		s.installLink(address, l)
	}
	s.mu.Lock()
	delete(s.dialing, address)
	s.mu.Unlock()
	close(dialed)
	return l, err
}

// dialLink dials an address, and counts and logs a failed handshake.
func (s *Service) dialLink(ctx context.Context, address string) (*link, error) {
	l, err := dialLink(ctx, s.cfg.Network, address, s.cfg.Key, s.cfg.Self.Incarnation)
	var he *HandshakeError
	if errors.As(err, &he) {
		s.Stats.Refused.Add(1)
		s.cfg.Log.Warn().Str("Address", address).Err(err).Msg("PeerHandshakeFailed")
	}
	return l, err
}

// linkToIncarnation returns a link to an address. If target isn't empty and the
// existing link leads to another incarnation, it dials again: the link may be stale,
// since a host that loses power can't close its links, and only a new connection
// shows which incarnation listens at the address now. The incarnation of the returned
// link may still differ from target.
func (s *Service) linkToIncarnation(ctx context.Context, address, target string) (*link, error) {
	l, err := s.link(ctx, address)
	if err != nil || target == "" || l.incarnation == target {
		return l, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	fresh, err := s.dialLink(dialCtx, address)
	if err != nil {
		return nil, err
	}
	if fresh.incarnation == l.incarnation {
		fresh.close()
		return l, nil
	}
	s.installLink(address, fresh)
	l.close()
	return fresh, nil
}

// installLink makes l the link to address and starts to run it.
func (s *Service) installLink(address string, l *link) {
	s.mu.Lock()
	s.links[address] = l
	s.running[l] = true
	s.mu.Unlock()
	go func() {
		l.run(func(f frame) { s.handle(f, l.incarnation, func(r frame) { l.out.Offer(r) }) })
		s.mu.Lock()
		delete(s.running, l)
		if s.links[address] == l {
			delete(s.links, address)
		}
		s.mu.Unlock()
	}()
}

// Call calls the handler registered under name at the incarnation target at an
// address and waits for the reply. An empty target means whichever incarnation
// listens there. The error is an *IncarnationError, which proves that the target has
// ended, or a *verdict.Error, which says whether the call may have been handled.
func (s *Service) Call(ctx context.Context, address, target, name string, body []byte) ([]byte, error) {
	l, err := s.linkToIncarnation(ctx, address, target)
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: "PeerUnreachable", Err: err}
	}
	if target != "" && l.incarnation != target {
		return nil, s.incarnationEnded(target, l.incarnation)
	}
	started := time.Now()
	r, sent, err := l.call(ctx, frame{Kind: frameCall, Target: target, Name: name, Body: body})
	if err != nil {
		if time.Since(started) >= ackTimeout {
			s.retireLink(l, started)
		}
		v := verdict.MayHaveRun
		if !sent {
			v = verdict.NotRun
		}
		return nil, &verdict.Error{Verdict: v, Reason: "PeerUnreachable", Err: err}
	}
	s.countSent(len(body))
	switch r.Failure {
	case failureNone:
		return r.Body, nil
	case failureWrongIncarnation:
		return nil, s.incarnationEnded(target, r.From)
	case failureUnknownCall:
		return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: "PeerUnknownCall"}
	}
	return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "PeerFailed"}
}

// incarnationEnded marks target dead, because the incarnation got answers at its
// address, and returns the error that says so.
func (s *Service) incarnationEnded(target, got string) error {
	s.events.Offer(func(now time.Time) {
		s.updateMembership(now, func(now time.Time) []Action { return s.members.MarkDead(now, target) }, nil)
	})
	return &IncarnationError{target, got}
}

// Notify sends a one-way message to a member. It reports false if the member is
// unknown or the send queue of its link is full. If there is no link, it reports
// true and dials one in the background; the message is lost if that fails.
func (s *Service) Notify(incarnation, name string, body []byte) bool {
	m, ok := s.Find(incarnation)
	if !ok {
		return false
	}
	f := frame{Kind: frameNotification, Name: name, Body: body}
	s.mu.Lock()
	l := s.links[m.Address]
	s.mu.Unlock()
	if l == nil || l.closed() || l.incarnation != incarnation {
		s.sendFrame(m.Address, incarnation, f)
		return true
	}
	if !l.out.Offer(f) {
		return false
	}
	s.countSent(len(body))
	return true
}
