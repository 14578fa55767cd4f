package peer

import (
	"errors"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/httpserver"
	"guavayoke/internal/ring"
)

// accept is the HTTP handler for connections that peers dial. It upgrades the
// connection to a WebSocket, authenticates the peer, and serves its frames.
func (s *Service) accept(ctx *fasthttp.RequestCtx) {
	up := websocket.FastHTTPUpgrader{HandshakeTimeout: handshakeTimeout}
	conn := ctx.Conn()
	err := up.Upgrade(ctx, func(c *websocket.Conn) {
		c.SetReadLimit(maxHandshakeBytes)
		_ = c.SetReadDeadline(time.Now().Add(handshakeTimeout))
		from, err := handshakeAccept(c, s.cfg.Key, s.cfg.Self.Incarnation)
		if err != nil {
			s.Stats.Refused.Add(1)
			s.cfg.Log.Warn().Str("Address", c.RemoteAddr().String()).Err(err).Msg("PeerHandshakeFailed")
			_ = c.Close()
			return
		}
		httpserver.Release(conn)
		c.SetReadLimit(maxFrameBytes)
		s.serve(c, from)
	})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

// serve reads the frames of an accepted connection of the incarnation from until the
// connection fails.
func (s *Service) serve(c *websocket.Conn, from string) {
	s.mu.Lock()
	s.accepted[c] = true
	s.mu.Unlock()
	out := ring.New[frame](linkQueueFrames)
	done := make(chan struct{})
	written := make(chan struct{})
	s.activeWriters.Add(1)
	go func() {
		defer close(written)
		defer s.activeWriters.Add(-1)
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
		// The WebSocket library reuses the write buffer of the connection once this
		// function has returned, so the writer must have ended.
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
			var malformed *malformedError
			if errors.As(err, &malformed) {
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
				s.countSent(len(r.Body))
			}
		})
	}
}

// handleStream handles a frame of a stream on an accepted connection. The first
// frame with a name opens the stream.
func (s *Service) handleStream(f frame, from string, streams *streamSet, offer func(frame) bool, closeLink func()) {
	s.Stats.ReceivedFrames.Add(1)
	s.Stats.ReceivedBytes.Add(uint64(len(f.Body)) + frameOverheadBytes)
	st := streams.find(f.Name)
	if st == nil {
		handler := s.streamHandler(f.Name)
		if handler == nil {
			s.Stats.Malformed.Add(1)
			return
		}
		st = &Stream{
			Peer: from, name: f.Name, closeLink: closeLink,
			send: func(f frame) bool { return s.offerAndCount(offer, f) },
		}
		st.onMessage, st.onClose = handler(st)
		streams.add(st)
	}
	if len(f.Body) > 0 {
		st.onMessage(f.Body)
	}
}

// handle handles a frame from the incarnation from. It may call reply with a frame
// that answers it, also after handle has returned.
func (s *Service) handle(f frame, from string, reply func(frame)) {
	s.Stats.ReceivedFrames.Add(1)
	s.Stats.ReceivedBytes.Add(uint64(len(f.Body)) + frameOverheadBytes)
	switch f.Kind {
	case framePing, frameAck:
		s.handleHeartbeat(f, reply)
	case frameIndirectPing, frameIndirectAck, frameLeave:
		s.handleMembership(f)
	case frameCall:
		go s.handleCall(f, reply)
	case frameNotification:
		if handler := s.notificationHandler(f.Name); handler != nil {
			handler(from, f.Body)
		}
	default:
		s.Stats.Malformed.Add(1)
	}
}

// handleHeartbeat passes the message of a ping or an acknowledgement to the
// membership, and the items of the heartbeat to the handlers of notifications.
func (s *Service) handleHeartbeat(f frame, reply func(frame)) {
	var h heartbeat
	if cbor.Unmarshal(f.Body, &h) != nil || !h.Message.limit() {
		s.Stats.Malformed.Add(1)
		return
	}
	s.events.Offer(func(now time.Time) {
		s.updateMembership(now, func(now time.Time) []Action {
			if f.Kind == framePing {
				return s.members.HandlePing(now, h.Message)
			}
			return s.members.HandleAck(now, h.Message)
		}, reply)
	})
	for _, it := range h.Items {
		if handler := s.notificationHandler(it.Name); handler != nil {
			handler(h.Message.From.Incarnation, it.Body)
		}
	}
}

// handleMembership handles the frames of the membership protocol that are not
// heartbeats.
func (s *Service) handleMembership(f frame) {
	var m Message
	if cbor.Unmarshal(f.Body, &m) != nil || !m.limit() {
		s.Stats.Malformed.Add(1)
		return
	}
	s.events.Offer(func(now time.Time) {
		s.updateMembership(now, func(now time.Time) []Action {
			switch {
			case f.Kind == frameLeave:
				return s.members.HandleLeave(now, m.From)
			case f.Kind == frameIndirectAck:
				return s.members.HandleIndirectAck(now, m.From)
			case len(m.Updates) == 1:
				return s.members.HandleIndirectPing(now, m.Updates[0], m.From.Address)
			}
			return nil
		}, nil)
	})
}

// handleCall runs the handler of a call and replies with its result.
func (s *Service) handleCall(f frame, reply func(frame)) {
	r := frame{Kind: frameReply, Seq: f.Seq, From: s.cfg.Self.Incarnation}
	handler := s.callHandler(f.Name)
	switch {
	case f.Target != "" && f.Target != s.cfg.Self.Incarnation:
		r.Failure = failureWrongIncarnation
	case handler == nil:
		r.Failure = failureUnknownCall
	default:
		body, err := handler(s.ctx, f.Body)
		r.Body = body
		if err != nil {
			r.Failure = failureHandler
		}
	}
	reply(r)
}
