package worker

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"guavayoke/internal/kernel"
	"guavayoke/internal/peer"
	"guavayoke/internal/platform"
	"guavayoke/internal/ring"
)

// Name is the name of the service in the kernel.
const Name = "Worker"

const (
	tickInterval  = 20 * time.Millisecond
	eventQueueLen = 8192
	streamName    = "Jobs"
	ownerItem     = "Owner"
	// stopCheckInterval is how often a stopping service looks whether it is done.
	stopCheckInterval = 20 * time.Millisecond
	// successorGracePeriod is how long a leaving owner stays after its last job, so
	// that the entry hosts have turned to its successor.
	successorGracePeriod = 300 * time.Millisecond
	// balancerGracePeriod is how long a leaving host still takes new requests: the
	// balancer turns away after two misses, a second apart.
	balancerGracePeriod = 2300 * time.Millisecond
)

// Commands carries orders to backend servers. The fields are seams: an adapter
// speaks the servers' protocol, tests put their own functions there.
type Commands struct {
	Start func(ctx context.Context, s Server, o StartCommand) Reply
	Stop  func(ctx context.Context, s Server, o StopCommand) Reply
	Poll  func(ctx context.Context, s Server, o PollCommand) Reply
}

// Config builds a Service.
type Config struct {
	Self     Candidate
	Commands Commands
	Log      *log.Logger
	Metrics  metrics.Registry
	// Now reads a clock that also runs while the host is suspended: leases are
	// over when it wakes.
	Now func() time.Time
	// Wall reads the time of day, for fencing tokens.
	Wall func() time.Time
}

// Service owns backend servers and carries the jobs of callers to owners.
type Service struct {
	cfg           Config
	events        *ring.Queue[func(h *Host, now time.Time)]
	peers         *peer.Service
	platform      *platform.Service
	commandQueues *commandQueues
	ctx           context.Context

	// What follows belongs to the loop.
	host           *Host
	ownerStreams   map[string]*peer.Stream
	sessionStreams map[SessionID]*peer.Stream
	waiters        map[WaiterID]func(Result)
	// hostsNeeded is whether the platform was told that this host needs its list.
	hostsNeeded bool

	mu     sync.Mutex
	status Status

	submitted, answered metrics.Counter
	latency             metrics.Histogram
}

// New returns a service; it is started by the kernel.
func New(c Config) *Service {
	s := &Service{
		cfg: c, events: ring.New[func(*Host, time.Time)](eventQueueLen), ownerStreams: map[string]*peer.Stream{},
		sessionStreams: map[SessionID]*peer.Stream{}, waiters: map[WaiterID]func(Result){},
		submitted: metrics.GetOrRegisterCounter("Worker.Submitted", c.Metrics),
		answered:  metrics.GetOrRegisterCounter("Worker.Answered", c.Metrics),
		latency: metrics.GetOrRegisterHistogram("Worker.AnswerMs", c.Metrics,
			metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	tokens := NewTokenGenerator(c.Self.Address)
	s.host = NewHost(HostConfig{
		Self:      c.Self,
		NextToken: func(_ time.Time, refused uint64) uint64 { return tokens.Next(c.Wall(), refused) },
		Log:       c.Log, Now: c.Now(),
	})
	return s
}

// The sample of the latency histogram; the values are those that the library
// recommends for the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Service returns the kernel's view of s.
func (s *Service) Service() kernel.Service {
	return kernel.Service{Name: Name, Value: s, Start: s.start, PrepareStop: s.prepareStop, Stop: s.stop}
}

// Status returns what operators see.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

func (s *Service) start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if s.peers, err = kernel.Find[*peer.Service](k, peer.Name); err != nil {
		return nil, err
	}
	if s.platform, err = kernel.Find[*platform.Service](k, platform.Name); err != nil {
		return nil, err
	}
	s.ctx = ctx
	s.commandQueues = newCommandQueues(ctx)
	s.peers.HandleStream(streamName, s.acceptSession)
	s.peers.Publish(ownerItem, s.publishOwner)
	s.peers.HandleNotification(ownerItem, func(from string, _ []byte) {
		s.enqueue(func(h *Host, now time.Time) { h.entry.HandleOwnerAnnouncement(now, from) })
	})
	s.peers.OnChange(s.membersChanged)
	s.platform.OnHosts(s.hostsChanged)
	done := make(chan error, 1)
	go func() {
		s.loop(ctx)
		s.commandQueues.wait()
		done <- nil
	}()
	return done, nil
}

// enqueue hands an event to the loop. Events are never dropped: each may carry the
// end of an order.
func (s *Service) enqueue(f func(h *Host, now time.Time)) {
	if err := s.events.Put(s.ctx, f); err != nil {
		// The service has ended; nobody waits for the event.
		return
	}
}

// loop is the one duty that decides.
func (s *Service) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var event func(*Host, time.Time)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			event = s.tick
		case event = <-s.events.C():
		}
		now := s.cfg.Now()
		for _, a := range s.host.HandleEvent(now, event) {
			s.perform(now, a)
		}
	}
}

func (s *Service) tick(h *Host, now time.Time) {
	h.Tick(now)
	st := h.Status()
	s.mu.Lock()
	s.status = st
	s.mu.Unlock()
	if hostsNeeded := h.pool.IsOwner(); hostsNeeded != s.hostsNeeded {
		s.hostsNeeded = hostsNeeded
		s.platform.SetHostsNeeded(hostsNeeded)
	}
}

func (s *Service) sendMessage(st *peer.Stream, m message) {
	b, err := cbor.Marshal(m)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("MessageEncodingFailed")
		return
	}
	if !st.Send(b) {
		// A message that is lost breaks the order that sessions rely on.
		s.cfg.Log.Warn().Str("Peer", st.Peer).Msg("StreamFull")
		st.Close()
	}
}

func (s *Service) perform(now time.Time, a HostAction) {
	switch {
	case a.Start != nil:
		o := a.Start
		s.commandQueues.runCommand(o.Server, func(ctx context.Context) {
			r := s.cfg.Commands.Start(ctx, o.Server, o.Command)
			s.enqueue(func(h *Host, now time.Time) {
				h.pool.HandleStartReply(now, o.Server.ID, o.Command.Token, o.Command.RunKey, r)
			})
		})
	case a.Stop != nil:
		o := a.Stop
		s.commandQueues.runCommand(o.Server, func(ctx context.Context) {
			r := s.cfg.Commands.Stop(ctx, o.Server, o.Command)
			s.enqueue(func(h *Host, now time.Time) {
				h.pool.HandleStopReply(now, o.Server.ID, o.Command.Token, o.Command.RunKey, r)
			})
		})
	case a.Poll != nil:
		s.sendPoll(now, a.Poll)
	case a.Open != nil:
		go s.openSession(*a.Open)
	case a.CloseTo != "":
		if st := s.ownerStreams[a.CloseTo]; st != nil {
			delete(s.ownerStreams, a.CloseTo)
			st.Close()
		}
	case a.SendTo != nil:
		if st := s.ownerStreams[a.SendTo.To]; st != nil {
			s.sendMessage(st, a.SendTo.Message)
		}
	case a.CloseSession != 0:
		if st := s.sessionStreams[a.CloseSession]; st != nil {
			delete(s.sessionStreams, a.CloseSession)
			st.Close()
		}
	case a.Reply != nil:
		if st := s.sessionStreams[a.Reply.Session]; st != nil {
			s.sendMessage(st, a.Reply.Message)
		}
	case a.Answer != nil:
		if f := s.waiters[a.Answer.Waiter]; f != nil {
			delete(s.waiters, a.Answer.Waiter)
			f(a.Answer.Result)
		}
	}
}

func (s *Service) sendPoll(sent time.Time, o *ServerPoll) {
	run := func(ctx context.Context) {
		r := s.cfg.Commands.Poll(ctx, o.Server, o.Command)
		s.enqueue(func(h *Host, now time.Time) {
			h.pool.HandlePollReply(now, o.Server.ID, o.Command.Token, o.Immediate, sent, r)
		})
	}
	if o.Immediate {
		s.commandQueues.runCommand(o.Server, run)
		return
	}
	s.commandQueues.runPoll(o.Server, run)
}

// openSession opens a session with a candidate.
func (s *Service) openSession(c Candidate) {
	ctx, cancel := context.WithTimeout(s.ctx, openTimeout)
	defer cancel()
	receive := func(b []byte) {
		var m message
		if err := cbor.Unmarshal(b, &m); err != nil {
			s.cfg.Log.Warn().Str("Peer", c.Incarnation).Err(err).Msg("MessageMalformed")
			return
		}
		s.enqueue(func(h *Host, now time.Time) { h.handleOwnerMessage(now, c.Incarnation, m) })
	}
	// current and ended belong to the loop. The stream may end before the loop
	// hears that it is open, or after another one has taken its place.
	var current *peer.Stream
	ended := false
	closed := func() {
		go s.enqueue(func(h *Host, now time.Time) {
			ended = true
			if current != nil && s.ownerStreams[c.Incarnation] == current {
				delete(s.ownerStreams, c.Incarnation)
				h.entry.HandleSessionClosed(now, c.Incarnation, "SessionBroke")
			}
		})
	}
	st, err := s.peers.OpenStream(ctx, c.Address, c.Incarnation, streamName, receive, closed)
	if err != nil {
		reason := "Unreachable"
		var other *peer.IncarnationError
		if errors.As(err, &other) {
			reason = "IncarnationEnded"
		}
		s.enqueue(func(h *Host, now time.Time) { h.entry.HandleSessionClosed(now, c.Incarnation, reason) })
		return
	}
	s.enqueue(func(h *Host, now time.Time) {
		switch {
		case ended && s.ownerStreams[c.Incarnation] == nil:
			h.entry.HandleSessionClosed(now, c.Incarnation, "SessionBroke")
		case ended:
		case h.entry.HandleSessionOpened(now, c.Incarnation):
			current = st
			s.ownerStreams[c.Incarnation] = st
		default:
			st.Close()
		}
	})
}

// acceptSession serves a session that an entry host has opened.
func (s *Service) acceptSession(st *peer.Stream) (receive func([]byte), closed func()) {
	var id SessionID
	s.enqueue(func(h *Host, now time.Time) {
		id = h.sessions.Open(now, st.Peer)
		s.sessionStreams[id] = st
	})
	receive = func(b []byte) {
		var m message
		if err := cbor.Unmarshal(b, &m); err != nil {
			s.cfg.Log.Warn().Str("Peer", st.Peer).Err(err).Msg("MessageMalformed")
			return
		}
		s.enqueue(func(h *Host, now time.Time) { h.handleEntryMessage(now, id, m) })
	}
	closed = func() {
		go s.enqueue(func(h *Host, now time.Time) {
			delete(s.sessionStreams, id)
			h.handleIncomingSessionClosed(now, id)
		})
	}
	return receive, closed
}

func (s *Service) publishOwner() []byte {
	if s.Status().Owner != s.cfg.Self.Incarnation {
		return nil
	}
	return []byte{1}
}

func (s *Service) membersChanged(list []peer.Member) {
	var up []Candidate
	for _, m := range list {
		if m.Up() {
			up = append(up, Candidate{m.Incarnation, m.Address, m.FailureDomain, m.CPUMilli})
		}
	}
	s.enqueue(func(h *Host, now time.Time) { h.entry.SetMembers(now, up) })
}

func (s *Service) hostsChanged(hosts []platform.Host) {
	var list []Server
	for _, h := range hosts {
		if h.Kind == platform.BackendServer && h.FailureDomain == s.cfg.Self.FailureDomain && h.CPUMilli > 0 {
			list = append(list, Server{
				ID: h.Name, Address: h.Address, Service: h.Service, FailureDomain: h.FailureDomain, Labels: h.Labels,
				Capacity: Resources{CPUMilli: h.CPUMilli, MemoryMB: h.MemoryMB, GPUs: h.GPUs}, Leaving: h.Leaving,
			})
		}
	}
	s.enqueue(func(h *Host, now time.Time) {
		h.pool.SetServers(now, list)
		s.commandQueues.retain(h.pool.TrackedServers())
	})
}

// Submit hands in a job of a caller; answer is called once with its result. It
// returns the function that ends the wait when the caller has left.
func (s *Service) Submit(job Job, answer func(Result)) (left func()) {
	ticket := make(chan WaiterID, 1)
	s.submitted.Inc(1)
	s.enqueue(func(h *Host, now time.Time) {
		t, ok := h.Submit(now, job)
		ticket <- t
		if !ok {
			answer(Result{ID: job.ID, Outcome: Refused, Reason: "HostLeaves", RetryAfter: time.Second})
			return
		}
		s.waiters[t] = func(r Result) {
			s.answered.Inc(1)
			s.latency.Update(s.cfg.Now().Sub(now).Milliseconds())
			metrics.GetOrRegisterCounter("Worker.Outcome."+r.Outcome.String(), s.cfg.Metrics).Inc(1)
			answer(r)
		}
	})
	return func() {
		s.enqueue(func(h *Host, now time.Time) {
			t := <-ticket
			if s.waiters[t] != nil {
				delete(s.waiters, t)
				h.entry.CallerLeft(now, t)
			}
		})
	}
}

// CancelJob ends a job whoever waits for it, on this host and on the owners
// that it has a session with.
func (s *Service) CancelJob(id string) {
	s.enqueue(func(h *Host, now time.Time) { h.entry.CancelJob(now, id) })
}

// Ready reports whether callers should be sent here: the host isn't leaving and
// some owner can take their jobs.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Ready
}

// prepareStop makes the host no candidate for owner any more; an owner gives its
// servers to a successor.
func (s *Service) prepareStop() {
	s.enqueue(func(h *Host, now time.Time) {
		h.Leave(now)
		s.tick(h, now)
	})
}

// AwaitCallers returns when the balancer has had time to turn away from this
// host and no caller waits here any more, or when ctx has ended.
func (s *Service) AwaitCallers(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(balancerGracePeriod):
	}
	s.awaitStatus(ctx, 0, func(st Status) bool { return st.Waiting == 0 })
}

// stop returns when no caller of this host and no entry host waits for a job.
func (s *Service) stop(ctx context.Context) error {
	s.awaitStatus(ctx, successorGracePeriod, func(st Status) bool { return st.Jobs == 0 && st.Waiting == 0 })
	return ctx.Err()
}

// awaitStatus returns when done has held for a time, or when ctx has ended.
func (s *Service) awaitStatus(ctx context.Context, hold time.Duration, done func(Status) bool) {
	ticker := time.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for held := time.Duration(0); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !done(s.Status()) {
			held = 0
			continue
		}
		if held += stopCheckInterval; held >= hold {
			return
		}
	}
}
