package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"guavayoke/internal/httpserver"
	"guavayoke/internal/kernel"
	"guavayoke/internal/latest"
	"guavayoke/internal/network"
	"guavayoke/internal/ring"
)

// Name is the name of the service in the kernel.
const Name = "Peer"

const (
	// eventQueueLen is the capacity of the queue of membership events.
	eventQueueLen = 4096
	tickInterval  = 100 * time.Millisecond
	callHandlers  = 4096
)

// Config configures a Service.
type Config struct {
	Self Member
	// Listen is the address to listen on; empty means the address of Self.
	Listen  string
	Network network.Network
	// Key is the secret that all entry hosts share; the handshake proves it.
	Key []byte
	// Seeds are the peer addresses from the settings, which are pinged to find
	// other members.
	Seeds []string
	Log   *log.Logger
	Rand  *rand.Rand
	// Metrics receives the counters of the connections that others open.
	Metrics metrics.Registry
	// Limits bounds the connections whose client hasn't proved yet that it has the key.
	Limits httpserver.Limits
}

// Stats counts frames between hosts. Malformed counts frames that were received but
// not understood, and Refused failed handshakes.
type Stats struct {
	SentFrames, SentBytes, ReceivedFrames, ReceivedBytes, Malformed, Refused atomic.Uint64
}

// Service runs the membership protocol and keeps the links to the other entry hosts.
type Service struct {
	cfg   Config
	Stats Stats
	// events holds functions that the membership loop runs.
	events *ring.Queue[func(now time.Time)]
	ctx    context.Context

	mu      sync.Mutex
	members *Membership
	// links holds the dialed links by address; dialing holds for each address that
	// is being dialed a channel that is closed when the attempt has ended.
	links map[string]*link
	// running holds all dialed links that have not ended, also those that others have
	// replaced.
	running  map[*link]bool
	dialing  map[string]chan struct{}
	accepted map[*websocket.Conn]bool
	// activeWriters is the number of goroutines that write to accepted connections.
	activeWriters atomic.Int64
	// platformSeeds are the seeds from the list of hosts that the platform keeps.
	platformSeeds []string

	// handlersMu guards the fields below: other services register their handlers
	// while this one runs.
	handlersMu    sync.RWMutex
	calls         map[string]func(ctx context.Context, body []byte) ([]byte, error)
	notifications map[string]func(from string, body []byte)
	streams       map[string]func(*Stream) (func([]byte), func())
	publishers    []publisher

	// changes holds the members as of the last change of a state.
	changes latest.Value[[]Member]
}

// publisher adds an item to each heartbeat.
type publisher struct {
	name string
	body func() []byte
}

// New returns a service. Handlers can be registered before and after it is started.
func New(c Config) *Service {
	s := &Service{
		cfg:           c,
		events:        ring.New[func(time.Time)](eventQueueLen),
		members:       NewMembership(MembershipConfig{Self: c.Self, Seeds: c.Seeds, Rand: c.Rand}),
		links:         map[string]*link{},
		running:       map[*link]bool{},
		dialing:       map[string]chan struct{}{},
		accepted:      map[*websocket.Conn]bool{},
		calls:         map[string]func(context.Context, []byte) ([]byte, error){},
		notifications: map[string]func(string, []byte){},
		streams:       map[string]func(*Stream) (func([]byte), func()){},
	}
	s.changes.Update(func([]Member) ([]Member, bool) { return nil, true })
	return s
}

// Service returns s as a service of the kernel.
func (s *Service) Service() kernel.Service {
	return kernel.Service{Name: Name, Value: s, Start: s.start, Stop: s.stop}
}

// HandleCall registers h as the handler of the calls with a name. The caller gets
// the body that h returns; of an error it learns only that the call failed.
func (s *Service) HandleCall(name string, h func(ctx context.Context, body []byte) ([]byte, error)) {
	s.handlersMu.Lock()
	defer s.handlersMu.Unlock()
	s.calls[name] = h
}

// HandleNotification registers h as the handler of the one-way messages and the
// heartbeat items with a name. h is called with the incarnation of the sender.
func (s *Service) HandleNotification(name string, h func(from string, body []byte)) {
	s.handlersMu.Lock()
	defer s.handlersMu.Unlock()
	s.notifications[name] = h
}

func (s *Service) callHandler(name string) func(context.Context, []byte) ([]byte, error) {
	s.handlersMu.RLock()
	defer s.handlersMu.RUnlock()
	return s.calls[name]
}

func (s *Service) notificationHandler(name string) func(string, []byte) {
	s.handlersMu.RLock()
	defer s.handlersMu.RUnlock()
	return s.notifications[name]
}

// Publish adds an item to every heartbeat that this host sends. body is called for
// each heartbeat; if it returns nil, that heartbeat has no such item.
func (s *Service) Publish(name string, body func() []byte) {
	s.handlersMu.Lock()
	defer s.handlersMu.Unlock()
	s.publishers = append(s.publishers, publisher{name, body})
}

// OnChange registers a function that is called with all members now, and again each
// time the state of a member has changed.
func (s *Service) OnChange(f func([]Member)) { s.changes.Listen(f) }

func (s *Service) heartbeatPublishers() []publisher {
	s.handlersMu.RLock()
	defer s.handlersMu.RUnlock()
	return s.publishers
}

// Members returns all known members except this host, sorted by name.
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

// SetSuccessor sets the incarnation that answers for this one after it has left.
func (s *Service) SetSuccessor(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.SetSuccessor(incarnation)
}

// SetSeeds replaces the seeds from the list of hosts that the platform keeps. Those
// from the settings stay.
func (s *Service) SetSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformSeeds = addresses
	s.members.SetSeeds(slices.Concat(s.cfg.Seeds, s.platformSeeds))
}

// SetSettingsSeeds replaces the seeds from the settings. Those from the platform's
// list of hosts stay.
func (s *Service) SetSettingsSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Seeds = addresses
	s.members.SetSeeds(slices.Concat(s.cfg.Seeds, s.platformSeeds))
}

func (s *Service) start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	address := s.cfg.Listen
	if address == "" {
		address = s.cfg.Self.Address
	}
	s.ctx = ctx
	served, err := httpserver.New(httpserver.Config{
		Name: "Peers", Address: address, Network: s.cfg.Network, Log: s.cfg.Log, Metrics: s.cfg.Metrics, Limits: s.cfg.Limits,
		Handler: s.accept, ReadTimeout: handshakeTimeout, Hijacks: true,
	}).Start(ctx)
	if err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		err := s.runMembershipLoop(ctx)
		s.closeConnections()
		done <- errors.Join(err, <-served)
	}()
	return done, nil
}

// runMembershipLoop runs the membership protocol until ctx ends. All events of the
// membership are handled here, one at a time.
func (s *Service) runMembershipLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.updateMembership(now, func(now time.Time) []Action { return s.members.Tick(now) }, nil)
		case f := <-s.events.C():
			f(time.Now())
		}
	}
}

// updateMembership calls f, which passes an event to the membership, with s.mu held
// and carries out the actions that f returns. reply sends the acknowledgement if the
// event is a ping; otherwise it may be nil.
func (s *Service) updateMembership(now time.Time, f func(time.Time) []Action, reply func(frame)) {
	s.mu.Lock()
	actions := f(now)
	s.mu.Unlock()
	changed := false
	for _, a := range actions {
		switch {
		case a.Ping != nil && a.Ping.Fresh:
			s.pingAfresh(*a.Ping)
		case a.Ping != nil:
			s.sendPing(*a.Ping)
		case a.Ack != nil && reply != nil:
			reply(frame{Kind: frameAck, Body: s.heartbeat(a.Ack.Message)})
		case a.IndirectPing != nil:
			s.sendFrame(a.IndirectPing.Address, "", frame{Kind: frameIndirectPing, Body: encode(Message{From: s.Self(), Updates: []Member{a.IndirectPing.Target}})})
		case a.IndirectAck != nil:
			s.sendFrame(a.IndirectAck.Address, "", frame{Kind: frameIndirectAck, Body: encode(Message{From: a.IndirectAck.Target})})
		case a.MemberChanged != nil:
			changed = true
			s.memberChanged(*a.MemberChanged)
		}
	}
	if changed {
		s.changes.Update(func([]Member) ([]Member, bool) { return s.Members(), true })
	}
}

// memberChanged logs the new state of a member. It closes the link to a member that
// is dead, or that is unreachable and hasn't sent anything on the link either.
func (s *Service) memberChanged(m Member) {
	s.cfg.Log.Info().Str("Member", m.Name).Str("Incarnation", m.Incarnation).Str("FailureDomain", m.FailureDomain).
		Stringer("State", m.State).Msg("MemberChanged")
	if m.Up() {
		return
	}
	s.mu.Lock()
	l := s.links[m.Address]
	drop := l != nil && l.incarnation == m.Incarnation && (m.State == Dead || l.unresponsive(time.Now()))
	if drop {
		delete(s.links, m.Address)
	}
	s.mu.Unlock()
	if drop {
		l.close()
	}
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// All values passed are of types of this package, which can be encoded.
		panic(err)
	}
	return b
}

// heartbeat returns the encoded heartbeat with m and the items of all publishers.
func (s *Service) heartbeat(m Message) []byte {
	h := heartbeat{Message: m}
	for _, p := range s.heartbeatPublishers() {
		if b := p.body(); b != nil {
			h.Items = append(h.Items, heartbeatItem{p.name, b})
		}
	}
	return encode(h)
}

// stop sends a leave notice to all members that are up. No calls are being handled
// any more, because the services that handle them are stopped first.
func (s *Service) stop(ctx context.Context) error {
	body := encode(Message{From: s.Self()})
	members := make(chan Member)
	done := make(chan struct{})
	for range maxConcurrentLeaves {
		go func() {
			for m := range members {
				s.sendLeave(ctx, m, body)
			}
			done <- struct{}{}
		}()
	}
	for _, m := range s.Members() {
		if m.Up() {
			members <- m
		}
	}
	close(members)
	for range maxConcurrentLeaves {
		<-done
	}
	// Give the writers time to send the queued notices.
	select {
	case <-time.After(leaveFlushTime):
	case <-ctx.Done():
	}
	return nil
}

const (
	leaveFlushTime = 200 * time.Millisecond
	// maxConcurrentLeaves is the number of leave notices sent at the same time, so
	// that members which can't be reached don't delay the notices to the others.
	maxConcurrentLeaves = 32
)

// sendLeave sends the leave notice to one member. A member that can't be reached
// within a quarter of handshakeTimeout is skipped.
func (s *Service) sendLeave(ctx context.Context, m Member, body []byte) {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout/4)
	defer cancel()
	l, err := s.linkToIncarnation(dialCtx, m.Address, m.Incarnation)
	if err != nil {
		s.cfg.Log.Info().Str("Member", m.Name).Err(err).Msg("LeaveNoticeNotSent")
		return
	}
	l.out.Offer(frame{Kind: frameLeave, Body: body})
}

// closeConnections closes all links and accepted connections.
func (s *Service) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.running {
		l.close()
	}
	for c := range s.accepted {
		_ = c.Close()
	}
}
