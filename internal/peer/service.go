package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/kernel"
	"guavayoke/internal/ring"
	"guavayoke/pkg/verdict"
)

// Name is the name of the service in the kernel.
const Name = "Peer"

const (
	eventRing    = 4096
	tickInterval = 100 * time.Millisecond
	callHandlers = 4096
)

// IncarnationError reports that an address answers, but not as the incarnation
// that was called: that one has ended.
type IncarnationError struct{ Want, Got string }

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("incarnation %s has ended: its address answers as %s", e.Want, e.Got)
}

// Config builds a Service.
type Config struct {
	Self Member
	Key  []byte
	// Seeds are peer addresses from the settings.
	Seeds []string
	Log   *log.Logger
	Rand  *rand.Rand
}

// Stats counts messages between hosts.
type Stats struct {
	SentFrames, SentBytes, ReceivedFrames, ReceivedBytes, Malformed, Refused atomic.Uint64
}

// Service keeps the membership and the links to the other entry hosts.
type Service struct {
	cfg    Config
	Stats  Stats
	events *ring.Ring[func(now time.Time)]
	server *fasthttp.Server
	ctx    context.Context

	mu       sync.Mutex
	members  *Members
	links    map[string]*link
	dialing  map[string]chan struct{}
	accepted map[*websocket.Conn]bool

	// handlers guards what other services register while this one runs.
	handlers  sync.RWMutex
	calls     map[string]func(ctx context.Context, body []byte) ([]byte, error)
	notes     map[string]func(from string, body []byte)
	published []publisher
	onChange  []func([]Member)
}

type publisher struct {
	name string
	body func() []byte
}

// New returns a service. Handlers are registered before it is started.
func New(c Config) *Service {
	return &Service{
		cfg:      c,
		events:   ring.New[func(time.Time)](eventRing),
		members:  NewMembers(MembersConfig{Self: c.Self, Seeds: c.Seeds, Rand: c.Rand}),
		links:    map[string]*link{},
		dialing:  map[string]chan struct{}{},
		accepted: map[*websocket.Conn]bool{},
		calls:    map[string]func(context.Context, []byte) ([]byte, error){},
		notes:    map[string]func(string, []byte){},
	}
}

// Service returns the kernel's view of s.
func (s *Service) Service() kernel.Service {
	return kernel.Service{Name: Name, Value: s, Start: s.start, Stop: s.stop}
}

// HandleCall registers the handler of a call by name.
func (s *Service) HandleCall(name string, h func(ctx context.Context, body []byte) ([]byte, error)) {
	s.handlers.Lock()
	defer s.handlers.Unlock()
	s.calls[name] = h
}

// HandleNote registers the handler of one-way messages and heartbeat items by
// name. from is the incarnation of the sender.
func (s *Service) HandleNote(name string, h func(from string, body []byte)) {
	s.handlers.Lock()
	defer s.handlers.Unlock()
	s.notes[name] = h
}

func (s *Service) callHandler(name string) func(context.Context, []byte) ([]byte, error) {
	s.handlers.RLock()
	defer s.handlers.RUnlock()
	return s.calls[name]
}

func (s *Service) noteHandler(name string) func(string, []byte) {
	s.handlers.RLock()
	defer s.handlers.RUnlock()
	return s.notes[name]
}

// Publish adds an item to every heartbeat. A nil body adds nothing.
func (s *Service) Publish(name string, body func() []byte) {
	s.handlers.Lock()
	defer s.handlers.Unlock()
	s.published = append(s.published, publisher{name, body})
}

// OnChange registers a function that is told the members now and after each
// change.
func (s *Service) OnChange(f func([]Member)) {
	s.handlers.Lock()
	s.onChange = append(s.onChange, f)
	s.handlers.Unlock()
	f(s.Members())
}

func (s *Service) publishers() []publisher {
	s.handlers.RLock()
	defer s.handlers.RUnlock()
	return s.published
}

func (s *Service) changeListeners() []func([]Member) {
	s.handlers.RLock()
	defer s.handlers.RUnlock()
	return s.onChange
}

// Members returns all known members but this host.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.List()
}

// Self returns this host's entry.
func (s *Service) Self() Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Self()
}

// Find returns the member with an incarnation.
func (s *Service) Find(incarnation string) (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Find(incarnation)
}

// SetSuccessor names who answers for this incarnation after its goodbye.
func (s *Service) SetSuccessor(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.SetSuccessor(incarnation)
}

// SetSeeds replaces the addresses to start from: those of the settings and of
// the platform's list.
func (s *Service) SetSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.SetSeeds(append(append([]string(nil), s.cfg.Seeds...), addresses...))
}

func (s *Service) start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	listener, err := net.Listen("tcp", s.cfg.Self.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	s.ctx = ctx
	s.server = &fasthttp.Server{Handler: s.accept, Name: "guavayoke", CloseOnShutdown: true}
	done := make(chan error, 1)
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(listener) }()
	go func() {
		err := s.loop(ctx)
		s.closeAll()
		_ = listener.Close()
		done <- errors.Join(err, <-served)
	}()
	return done, nil
}

// loop is the membership duty.
func (s *Service) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.decide(now, func(now time.Time) []Action { return s.members.Tick(now) }, nil)
		case f := <-s.events.C():
			f(time.Now())
		}
	}
}

// decide runs a deciding function and carries out its actions. reply answers
// the ping that is being handled.
func (s *Service) decide(now time.Time, f func(time.Time) []Action, reply func(frame)) {
	s.mu.Lock()
	actions := f(now)
	s.mu.Unlock()
	changed := false
	for _, a := range actions {
		switch {
		case a.Ping != nil:
			s.sendPing(*a.Ping)
		case a.Ack != nil && reply != nil:
			reply(frame{Kind: frameAck, Body: s.heartbeat(a.Ack.Message)})
		case a.Help != nil:
			s.sendTo(a.Help.Address, frame{Kind: frameHelp, Body: encode(Message{From: s.Self(), News: []Member{a.Help.Target}})})
		case a.Vouch != nil:
			s.sendTo(a.Vouch.Address, frame{Kind: frameVouch, Body: encode(Message{From: a.Vouch.Target})})
		case a.Changed != nil:
			changed = true
			s.memberChanged(*a.Changed)
		}
	}
	if changed {
		members := s.Members()
		for _, f := range s.changeListeners() {
			f(members)
		}
	}
}

func (s *Service) memberChanged(m Member) {
	s.cfg.Log.Info().Str("Member", m.Name).Str("Incarnation", m.Incarnation).Str("Domain", m.FailureDomain).
		Stringer("State", m.State).Msg("MemberChanged")
	if m.Up() {
		return
	}
	s.mu.Lock()
	l := s.links[m.Address]
	if l != nil && l.incarnation == m.Incarnation {
		delete(s.links, m.Address)
	}
	s.mu.Unlock()
	if l != nil && l.incarnation == m.Incarnation {
		l.close()
	}
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// Only types of this program are encoded; all of them can be.
		panic(err)
	}
	return b
}

func (s *Service) heartbeat(m Message) []byte {
	h := heartbeat{Message: m}
	for _, p := range s.publishers() {
		if b := p.body(); b != nil {
			h.Items = append(h.Items, item{p.name, b})
		}
	}
	return encode(h)
}

func (s *Service) sendPing(p Ping) {
	body := s.heartbeat(p.Message)
	go func() {
		l, err := s.link(s.ctx, p.Address)
		if err == nil && l.out.Offer(frame{Kind: framePing, Body: body}) {
			s.count(len(body))
			return
		}
		s.events.Offer(func(time.Time) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.members.PingFailed(p.Message.Seq)
		})
	}()
}

func (s *Service) sendTo(address string, f frame) {
	go func() {
		l, err := s.link(s.ctx, address)
		if err == nil && l.out.Offer(f) {
			s.count(len(f.Body))
		}
	}()
}

func (s *Service) count(bytes int) {
	s.Stats.SentFrames.Add(1)
	s.Stats.SentBytes.Add(uint64(bytes) + frameOverhead)
}

// frameOverhead is about what the frame and the WebSocket add to a body, in bytes.
const frameOverhead = 40

// link returns the link to an address and dials it if there is none.
func (s *Service) link(ctx context.Context, address string) (*link, error) {
	for {
		s.mu.Lock()
		if l := s.links[address]; l != nil && !l.closed() {
			s.mu.Unlock()
			return l, nil
		}
		wait := s.dialing[address]
		if wait == nil {
			wait = make(chan struct{})
			s.dialing[address] = wait
			s.mu.Unlock()
			return s.dial(ctx, address, wait)
		}
		s.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fmt.Errorf("dial peer: %w", ctx.Err())
		}
		s.mu.Lock()
		l := s.links[address]
		s.mu.Unlock()
		if l == nil {
			return nil, fmt.Errorf("dial peer %s: failed just now", address)
		}
	}
}

func (s *Service) dial(ctx context.Context, address string, wait chan struct{}) (*link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	l, err := dialLink(dialCtx, address, s.cfg.Key, s.cfg.Self.Incarnation)
	s.mu.Lock()
	delete(s.dialing, address)
	if err == nil {
		s.links[address] = l
	}
	s.mu.Unlock()
	close(wait)
	if err != nil {
		var he *HandshakeError
		if errors.As(err, &he) {
			s.Stats.Refused.Add(1)
			s.cfg.Log.Warn().Str("Address", address).Err(err).Msg("PeerRefused")
		}
		return nil, err
	}
	go func() {
		l.run(func(f frame) { s.handle(f, l.incarnation, func(r frame) { l.out.Offer(r) }) })
		s.mu.Lock()
		if s.links[address] == l {
			delete(s.links, address)
		}
		s.mu.Unlock()
	}()
	return l, nil
}

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
	go func() {
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
	defer func() {
		close(done)
		_ = c.Close()
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
		s.handle(f, from, func(r frame) {
			if out.Offer(r) {
				s.count(len(r.Body))
			}
		})
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
				return s.members.Pinged(now, h.Message)
			}
			return s.members.Acked(now, h.Message)
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
				return s.members.Goodbye(now, m.From)
			case f.Kind == frameVouch:
				return s.members.Vouched(now, m.From)
			case len(m.News) == 1:
				return s.members.Asked(now, m.News[0], m.From.Address)
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

// Call asks the incarnation target at an address and waits for the answer. An
// empty target means whoever listens there. The error says whether the call
// may have been handled; an *IncarnationError is proof that the target ended.
func (s *Service) Call(ctx context.Context, address, target, name string, body []byte) ([]byte, error) {
	l, err := s.link(ctx, address)
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: "PeerUnreachable", Err: err}
	}
	if target != "" && l.incarnation != target {
		return nil, s.proven(target, l.incarnation)
	}
	r, sent, err := l.call(ctx, frame{Kind: frameCall, Target: target, Name: name, Body: body})
	if err != nil {
		v := verdict.MayHaveRun
		if !sent {
			v = verdict.NotRun
		}
		return nil, &verdict.Error{Verdict: v, Reason: "PeerUnreachable", Err: err}
	}
	s.count(len(body))
	switch r.Failure {
	case failureNone:
		return r.Body, nil
	case failureIncarnation:
		return nil, s.proven(target, r.From)
	case failureName:
		return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: "PeerUnknownCall"}
	}
	return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "PeerFailed"}
}

func (s *Service) proven(target, got string) error {
	s.events.Offer(func(now time.Time) {
		s.decide(now, func(now time.Time) []Action { return s.members.ProvenDead(now, target) }, nil)
	})
	return &IncarnationError{target, got}
}

// Note sends a one-way message to a member. It reports whether the message was
// handed to a link that is up; otherwise a link is dialed for the next one.
func (s *Service) Note(incarnation, name string, body []byte) bool {
	m, ok := s.Find(incarnation)
	if !ok {
		return false
	}
	f := frame{Kind: frameNote, Name: name, Body: body}
	s.mu.Lock()
	l := s.links[m.Address]
	s.mu.Unlock()
	if l == nil || l.closed() || l.incarnation != incarnation {
		s.sendTo(m.Address, f)
		return true
	}
	if !l.out.Offer(f) {
		return false
	}
	s.count(len(body))
	return true
}

// stop says goodbye. Calls that are being handled have ended before, because
// the services that handle them are stopped first.
func (s *Service) stop(ctx context.Context) error {
	body := encode(Message{From: s.Self()})
	for _, m := range s.Members() {
		if !m.Up() {
			continue
		}
		dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout/4)
		if l, err := s.link(dialCtx, m.Address); err == nil {
			l.out.Offer(frame{Kind: frameGoodbye, Body: body})
		}
		cancel()
	}
	// The writers need a moment to put the goodbyes on the wire.
	select {
	case <-time.After(goodbyeTime):
	case <-ctx.Done():
	}
	return nil
}

const goodbyeTime = 200 * time.Millisecond

func (s *Service) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.close()
	}
	for c := range s.accepted {
		_ = c.Close()
	}
}
