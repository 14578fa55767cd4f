package peer

import (
	"context"
	"sync"
)

// Stream is an ordered exchange of messages with one incarnation over one link.
// It ends with the link; there is no other way to lose a message.
type Stream struct {
	// Peer is the incarnation at the other end.
	Peer string

	send      func(frame) bool
	closeLink func()
	name      string
	onMessage func(body []byte)
	onClose   func()
	endOnce   sync.Once
}

// Send queues a message. It reports false if the link can't take it.
func (s *Stream) Send(body []byte) bool {
	return s.send(frame{Kind: frameStream, Name: s.name, Body: body})
}

// Close ends the link that carries the stream.
func (s *Stream) Close() { s.closeLink() }

func (s *Stream) end() { s.endOnce.Do(s.onClose) }

// HandleStream registers the handler of streams that other hosts open by name.
// It returns the functions that are told each message, in order, and the end.
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

// OpenStream opens a stream to the incarnation target at an address. The error
// is an *IncarnationError if another one answers there.
func (s *Service) OpenStream(ctx context.Context, address, target, name string, onMessage func([]byte), onClose func()) (*Stream, error) {
	l, err := s.linkToIncarnation(ctx, address, target)
	if err != nil {
		return nil, err
	}
	if l.incarnation != target {
		return nil, s.incarnationEnded(target, l.incarnation)
	}
	st := &Stream{
		Peer: target, name: name, onMessage: onMessage, onClose: onClose, closeLink: l.close,
		send: func(f frame) bool { return s.offerAndCount(l.out.Offer, f) },
	}
	l.addStream(st)
	// The first message tells the other host that the stream is open.
	st.Send(nil)
	return st, nil
}

func (s *Service) offerAndCount(offer func(frame) bool, f frame) bool {
	if !offer(f) {
		return false
	}
	s.countSent(len(f.Body))
	return true
}

// streamSet holds the streams of one link by name.
type streamSet struct {
	mu     sync.Mutex
	byName map[string]*Stream
	ended  bool
}

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
