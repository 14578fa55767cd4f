package peer

import (
	"errors"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/ring"
)

// accept serves a connection that a peer has dialed.
func (s *Service) accept(ctx *fasthttp.RequestCtx) {
	up := websocket.FastHTTPUpgrader{HandshakeTimeout: handshakeTimeout}
	err := up.Upgrade(ctx, func(c *websocket.Conn) {
		c.SetReadLimit(maxFrameBytes)
		_ = c.SetReadDeadline(time.Now().Add(handshakeTimeout))
		from, err := handshakeAccept(c, s.cfg.Key, s.cfg.Self.Incarnation)
		if err != nil {
			s.Stats.Refused.Add(1)
			s.cfg.Log.Warn().Str("Address", c.RemoteAddr().String()).Err(err).Msg("PeerRefused")
			_ = c.Close()
			return
		}
		s.serve(c, from)
	})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

// serve reads frames of an accepted connection until it breaks.
func (s *Service) serve(c *websocket.Conn, from string) {
	s.mu.Lock()
	s.accepted[c] = true
	s.mu.Unlock()
	out := ring.New[frame](linkRing)
	done := make(chan struct{})
	written := make(chan struct{})
	s.writing.Add(1)
	go func() {
		defer close(written)
		defer s.writing.Add(-1)
		for {
			select {
			case f := <-out.C():
				if writeValue(c, f) != nil {
					_ = c.Close()
				}
			case <-done:
				return
			}
		}
	}()
	var streams streamSet
	defer func() {
		close(done)
		_ = c.Close()
		// The library reuses the connection's write buffer once this returns.
		<-written
		streams.end()
		s.mu.Lock()
		delete(s.accepted, c)
		s.mu.Unlock()
	}()
	for {
		_ = c.SetReadDeadline(time.Now().Add(linkIdleTimeout))
		var f frame
		if err := readValue(c, &f); err != nil {
			var bad *malformedError
			if errors.As(err, &bad) {
				s.Stats.Malformed.Add(1)
				continue
			}
			return
		}
		if f.Kind == frameStream {
			s.handleStream(f, from, &streams, out.Offer, func() { _ = c.Close() })
			continue
		}
		s.handle(f, from, func(r frame) {
			if out.Offer(r) {
				s.count(len(r.Body))
			}
		})
	}
}

// handleStream passes a message of a stream on; the first one opens it.
func (s *Service) handleStream(f frame, from string, streams *streamSet, offer func(frame) bool, closeLink func()) {
	s.Stats.ReceivedFrames.Add(1)
	s.Stats.ReceivedBytes.Add(uint64(len(f.Body)) + frameOverhead)
	st := streams.find(f.Name)
	if st == nil {
		h := s.streamHandler(f.Name)
		if h == nil {
			s.Stats.Malformed.Add(1)
			return
		}
		st = &Stream{
			Peer: from, name: f.Name, closeLink: closeLink,
			send: func(f frame) bool { return s.sendCounted(offer, f) },
		}
		st.receive, st.closed = h(st)
		streams.add(st)
	}
	if len(f.Body) > 0 {
		st.receive(f.Body)
	}
}

// handle passes a frame on to its duty.
func (s *Service) handle(f frame, from string, reply func(frame)) {
	s.Stats.ReceivedFrames.Add(1)
	s.Stats.ReceivedBytes.Add(uint64(len(f.Body)) + frameOverhead)
	switch f.Kind {
	case framePing, frameAck:
		s.handleHeartbeat(f, reply)
	case frameHelp, frameVouch, frameGoodbye:
		s.handleNews(f)
	case frameCall:
		go s.handleCall(f, reply)
	case frameNote:
		if h := s.noteHandler(f.Name); h != nil {
			h(from, f.Body)
		}
	default:
		s.Stats.Malformed.Add(1)
	}
}

func (s *Service) handleHeartbeat(f frame, reply func(frame)) {
	var h heartbeat
	if cbor.Unmarshal(f.Body, &h) != nil || h.Message.From.Incarnation == "" {
		s.Stats.Malformed.Add(1)
		return
	}
	s.events.Offer(func(now time.Time) {
		s.decide(now, func(now time.Time) []Action {
			if f.Kind == framePing {
				return s.members.HandlePing(now, h.Message)
			}
			return s.members.HandleAck(now, h.Message)
		}, reply)
	})
	for _, i := range h.Items {
		if n := s.noteHandler(i.Name); n != nil {
			n(h.Message.From.Incarnation, i.Body)
		}
	}
}

func (s *Service) handleNews(f frame) {
	var m Message
	if cbor.Unmarshal(f.Body, &m) != nil {
		s.Stats.Malformed.Add(1)
		return
	}
	s.events.Offer(func(now time.Time) {
		s.decide(now, func(now time.Time) []Action {
			switch {
			case f.Kind == frameGoodbye:
				return s.members.HandleLeave(now, m.From)
			case f.Kind == frameVouch:
				return s.members.HandleIndirectAck(now, m.From)
			case len(m.Updates) == 1:
				return s.members.HandleIndirectPing(now, m.Updates[0], m.From.Address)
			}
			return nil
		}, nil)
	})
}

func (s *Service) handleCall(f frame, reply func(frame)) {
	r := frame{Kind: frameReply, Seq: f.Seq, From: s.cfg.Self.Incarnation}
	h := s.callHandler(f.Name)
	switch {
	case f.Target != "" && f.Target != s.cfg.Self.Incarnation:
		r.Failure = failureIncarnation
	case h == nil:
		r.Failure = failureName
	default:
		body, err := h(s.ctx, f.Body)
		r.Body = body
		if err != nil {
			r.Failure = failureHandler
		}
	}
	reply(r)
}
