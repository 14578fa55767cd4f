package peer

import (
	"context"
	"sync"
)

// Stream is a bidirectional, ordered sequence of messages between this host and one
// incarnation, over one link. It ends with the link. A message that Send accepted is
// lost only if the link ends.
type Stream struct {
	// Peer is the incarnation at the other end.
	Peer string

	send func(frame) bool
	// queued returns the number of frames in the send queue; nil on an accepted stream.
	queued    func() int
	closeLink func()
	name      string
	onMessage func(body []byte)
	onClose   func()
	// endOnce ensures that onClose is called once.
	endOnce sync.Once
}

// NewStream returns a stream without a link, which passes its messages to send, for tests
// of packages that use streams.
func NewStream(peer string, send func(body []byte) bool, closeLink func()) *Stream {
	return &Stream{Peer: peer, send: func(f frame) bool { return send(f.Body) }, closeLink: closeLink}
}

// Send queues a message. It reports false if the send queue of the link is full.
func (s *Stream) Send(body []byte) bool {
	return s.send(frame{Kind: frameStream, Name: s.name, Body: body})
}

// SendWithReserve queues a message unless the send queue of the link is half full, so that
// the other half is left to Send. It reports whether it queued the message.
func (s *Stream) SendWithReserve(body []byte) bool {
	if s.queued != nil && s.queued() >= linkQueueFrames/2 {
		return false
	}
	return s.Send(body)
}

// Close ends the link that carries the stream.
func (s *Stream) Close() { s.closeLink() }

func (s *Stream) end() { s.endOnce.Do(s.onClose) }

// HandleStream registers h as the handler of the streams that other hosts open with a
// name. h is called once for each stream and returns two functions: onMessage is
// called with each message in order, and onClose once when the stream has ended.
func (s *Service) HandleStream(name string, h func(st *Stream) (onMessage func(body []byte), onClose func())) {
	s.handlersMu.Lock()
	defer s.handlersMu.Unlock()
	s.streams[name] = h
}

func (s *Service) streamHandler(name string) func(*Stream) (func([]byte), func()) {
	s.handlersMu.RLock()
	defer s.handlersMu.RUnlock()
	return s.streams[name]
}

// OpenStream opens a stream to the incarnation target at an address. It calls
// onMessage with each message in order, and onClose once when the stream has ended.
// The error is an *IncarnationError if another incarnation answers there.
func (s *Service) OpenStream(ctx context.Context, address, target, name string, onMessage func([]byte), onClose func()) (*Stream, error) {
	l, err := s.linkToIncarnation(ctx, address, target)
	if err != nil {
		return nil, err
	}
	if l.incarnation != target {
		return nil, s.incarnationEnded(target, l.incarnation)
	}
	return s.addStream(l, name, onMessage, onClose), nil
}

// addStream opens a stream on a link.
func (s *Service) addStream(l *link, name string, onMessage func([]byte), onClose func()) *Stream {
	st := &Stream{
		Peer: l.incarnation, name: name, onMessage: onMessage, onClose: onClose, closeLink: l.close,
		send:   func(f frame) bool { return s.offerAndCount(l.out.Offer, f) },
		queued: func() int { return len(l.out.C()) },
	}
	l.addStream(st)
	// The first frame opens the stream at the other host; without a body it carries
	// no message.
	st.Send(nil)
	return st
}

// offerAndCount offers a frame to a send queue and counts it as sent if there was
// room.
func (s *Service) offerAndCount(offer func(frame) bool, f frame) bool {
	if !offer(f) {
		return false
	}
	s.countSent(len(f.Body))
	return true
}

// streamSet holds the streams of one connection by name.
type streamSet struct {
	mu     sync.Mutex
	byName map[string]*Stream
	// ended is set once the connection has ended.
	ended bool
}

// add adds a stream, or ends it if the connection has ended.
func (t *streamSet) add(st *Stream) {
	t.mu.Lock()
	ended := t.ended
	if !ended {
		if t.byName == nil {
			t.byName = map[string]*Stream{}
		}
		t.byName[st.name] = st
	}
	t.mu.Unlock()
	if ended {
		st.end()
	}
}

func (t *streamSet) find(name string) *Stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byName[name]
}

// end ends all streams of the connection.
func (t *streamSet) end() {
	t.mu.Lock()
	t.ended = true
	streams := t.byName
	t.byName = nil
	t.mu.Unlock()
	for _, st := range streams {
		st.end()
	}
}
