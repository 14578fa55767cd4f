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
	"guavayoke/internal/kvstore"
	"guavayoke/internal/peer"
	"guavayoke/internal/ring"
)

// Name is the name of the service in the kernel.
const Name = "Worker"

const (
	tickInterval  = 20 * time.Millisecond
	eventQueueLen = 8192
	// streamName is the name of the peer streams that carry sessions, ownerItem
	// that of the membership heartbeat item by which an owner announces itself.
	streamName = "Jobs"
	ownerItem  = "Owner"
	// stopCheckInterval is how often a stopping service checks whether it is done.
	stopCheckInterval = 20 * time.Millisecond
	// successorGracePeriod is how long a leaving owner stays after its last job, so
	// that the entry hosts can open sessions with its successor.
	successorGracePeriod = 300 * time.Millisecond
	// balancerGracePeriod is how long a leaving host waits for the load balancer to
	// stop sending requests, which it does after two failed checks, one second
	// apart.
	balancerGracePeriod = 2300 * time.Millisecond
)

// Commands sends commands to backend servers and returns their replies. An adapter
// that speaks the servers' protocol provides the functions; tests replace them.
type Commands struct {
	Start func(ctx context.Context, s Server, c StartCommand) Reply
	Stop  func(ctx context.Context, s Server, c StopCommand) Reply
	Poll  func(ctx context.Context, s Server, c PollCommand) Reply
}

// Config configures a Service.
type Config struct {
	Self     Candidate
	Commands Commands
	Log      *log.Logger
	Metrics  metrics.Registry
	// Now reads a clock that also runs while the host is suspended, so that leases
	// have expired when it resumes.
	Now func() time.Time
	// Wall reads the time of day, from which fencing tokens are made.
	Wall func() time.Time
}

// Service runs the Host state machine of this host: it delivers events to it and
// carries out its actions, which send commands to backend servers, messages to other
// hosts and results to callers.
type Service struct {
	cfg           Config
	events        *ring.Queue[func(h *Host, now time.Time)]
	peers         *peer.Service
	kvstore       *kvstore.Service
	commandQueues *commandQueues
	ctx           context.Context

	// Only the goroutine of loop uses the fields from host to hostsNeeded.
	host           *Host
	ownerStreams   map[string]*peer.Stream
	sessionStreams map[SessionID]*peer.Stream
	// newPaths has the streams on which an attach was sent, unsent the submissions that no
	// stream took.
	newPaths map[pathKey]*peer.Stream
	unsent   []unsent
	waiters  map[WaiterID]func(Result)
	// hostsNeeded is whether this host last told the platform that it needs the list
	// of hosts.
	hostsNeeded bool

	mu     sync.Mutex
	status Status

	submitted, answered metrics.Counter
	latency             metrics.Histogram
}

// New returns a Service that has not started; the kernel starts it.
func New(c Config) *Service {
	s := &Service{
		cfg: c, events: ring.New[func(*Host, time.Time)](eventQueueLen), ownerStreams: map[string]*peer.Stream{},
		sessionStreams: map[SessionID]*peer.Stream{}, newPaths: map[pathKey]*peer.Stream{}, waiters: map[WaiterID]func(Result){},
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

// Size and decay factor of the sample behind the latency histogram. The metrics
// library recommends these values to weight the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Service returns the description of s with which the kernel runs it.
func (s *Service) Service() kernel.Service {
	return kernel.Service{Name: Name, Value: s, Start: s.start, PrepareStop: s.prepareStop, Stop: s.stop}
}

// Status returns the state of the host as of the last tick.
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
	if s.kvstore, err = kernel.Find[*kvstore.Service](k, kvstore.Name); err != nil {
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
	s.kvstore.OnHosts(s.hostsChanged)
	s.kvstore.OnHostsRead(func(r kvstore.HostsRead) {
		s.enqueue(func(h *Host, now time.Time) { h.pool.HandleServerListRead(now, r.Took, r.Err == nil) })
	})
	done := make(chan error, 1)
	go func() {
		s.loop(ctx)
		s.commandQueues.wait()
		done <- nil
	}()
	return done, nil
}

// enqueue passes an event to the loop and waits while the queue is full. It drops no
// event, since each may report the end of a command.
func (s *Service) enqueue(f func(h *Host, now time.Time)) {
	if err := s.events.Put(s.ctx, f); err != nil {
		// The service has ended, and nothing waits for the event any more.
		return
	}
}

// loop runs all events on the Host, one at a time, and carries out the actions that
// follow, until ctx ends.
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
		s.reportUnsent(now)
		if hostsNeeded := s.host.pool.IsOwner(); hostsNeeded != s.hostsNeeded {
			s.hostsNeeded = hostsNeeded
			s.kvstore.SetHostsNeeded(hostsNeeded)
		}
	}
}

func (s *Service) tick(h *Host, now time.Time) {
	h.Tick(now)
	st := h.Status()
	s.mu.Lock()
	s.status = st
	s.mu.Unlock()
}

// sendMessage queues a message on a stream. It reports false if the stream can't take it,
// and closes the stream then.
func (s *Service) sendMessage(st *peer.Stream, m message) bool {
	b, err := cbor.Marshal(m)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("MessageEncodingFailed")
		return false
	}
	if !st.Send(b) {
		// Sessions rely on messages that arrive in order and without gaps, so the
		// stream is closed when it can't take one.
		s.cfg.Log.Warn().Str("Peer", st.Peer).Msg("StreamFull")
		st.Close()
		return false
	}
	return true
}

func (s *Service) perform(now time.Time, a HostAction) {
	switch {
	case a.Start != nil:
		cmd := a.Start
		s.commandQueues.runCommand(cmd.Server, func(ctx context.Context) {
			// A reply after the end of the lease that the command grants is of no use.
			ctx, cancel := context.WithTimeout(ctx, leaseDuration-s.cfg.Now().Sub(now))
			defer cancel()
			r := s.cfg.Commands.Start(ctx, cmd.Server, cmd.Command)
			s.enqueue(func(h *Host, now time.Time) {
				h.pool.HandleStartReply(now, cmd.Server.ID, cmd.Command.Token, cmd.Command.RunKey, r)
			})
		})
	case a.Stop != nil:
		cmd := a.Stop
		s.commandQueues.runCommand(cmd.Server, func(ctx context.Context) {
			r := s.cfg.Commands.Stop(ctx, cmd.Server, cmd.Command)
			s.enqueue(func(h *Host, now time.Time) {
				h.pool.HandleStopReply(now, cmd.Server.ID, cmd.Command.Token, cmd.Command.RunKey, r)
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
		s.closeNewPaths(a.CloseTo)
	case a.Dial != nil:
		go s.openPath(*a.Dial)
	case a.Adopt != nil:
		s.adoptPath(*a.Adopt)
	case a.SendTo != nil:
		s.sendToOwner(a.SendTo)
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

func (s *Service) sendPoll(sent time.Time, poll *ServerPoll) {
	run := func(ctx context.Context) {
		r := s.cfg.Commands.Poll(ctx, poll.Server, poll.Command)
		s.enqueue(func(h *Host, now time.Time) {
			h.pool.HandlePollReply(now, poll.Server.ID, poll.Command.Token, poll.Immediate, sent, r)
		})
	}
	if poll.Immediate {
		s.commandQueues.runCommand(poll.Server, run)
		return
	}
	s.commandQueues.runPoll(poll.Server, run)
}

// openSession opens a session with a candidate and reports the outcome as an event.
func (s *Service) openSession(c Candidate) {
	ctx, cancel := context.WithTimeout(s.ctx, openTimeout)
	defer cancel()
	// Only the loop uses current and ended. The stream may end before the loop
	// handles its opening, or after another stream has replaced it.
	var current *peer.Stream
	ended := false
	receive := func(b []byte) {
		var m message
		if err := cbor.Unmarshal(b, &m); err != nil {
			s.cfg.Log.Warn().Str("Peer", c.Incarnation).Err(err).Msg("MessageMalformed")
			return
		}
		s.enqueue(func(h *Host, now time.Time) {
			// A heartbeat counts only on the stream that carries the session.
			if m.Heartbeat == nil || s.ownerStreams[c.Incarnation] == current {
				h.handleOwnerMessage(now, c.Incarnation, m)
			}
		})
	}
	closed := func() {
		go s.enqueue(func(h *Host, now time.Time) {
			ended = true
			if current != nil {
				s.ownerStreamEnded(h, now, current)
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

// acceptSession adds a session that an entry host has opened. It returns the
// functions that handle the messages and the end of its stream.
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

func (s *Service) hostsChanged(hosts []kvstore.Host) {
	var list []Server
	var entryHosts []Candidate
	for _, h := range hosts {
		if h.Kind == kvstore.EntryHost && h.FailureDomain == s.cfg.Self.FailureDomain {
			entryHosts = append(entryHosts, Candidate{Address: h.Address, FailureDomain: h.FailureDomain, CPUMilli: h.CPUMilli})
		}
		if h.Kind == kvstore.BackendServer && h.FailureDomain == s.cfg.Self.FailureDomain && h.CPUMilli > 0 {
			list = append(list, Server{
				ID: h.Name, Address: h.Address, Service: h.Service, FailureDomain: h.FailureDomain, Labels: h.Labels,
				Capacity: Resources{CPUMilli: h.CPUMilli, MemoryMB: h.MemoryMB, GPUs: h.GPUs}, Leaving: h.Leaving,
			})
		}
	}
	s.enqueue(func(h *Host, now time.Time) {
		h.entry.SetListedHosts(entryHosts)
		h.pool.SetServers(now, list)
		s.commandQueues.retain(h.pool.TrackedServers())
	})
}

// Submit submits a caller's job. It calls answer with the result, at most once and
// from the loop, so answer must not block. It returns the function to call when the
// caller has left before the result.
func (s *Service) Submit(job Job, answer func(Result)) (left func()) {
	waiterID := make(chan WaiterID, 1)
	s.submitted.Inc(1)
	s.enqueue(func(h *Host, now time.Time) {
		id, ok := h.Submit(now, job)
		waiterID <- id
		if !ok {
			answer(Result{ID: job.ID, Outcome: Refused, Reason: "HostLeaves", RetryAfter: time.Second})
			return
		}
		s.waiters[id] = func(r Result) {
			s.answered.Inc(1)
			s.latency.Update(s.cfg.Now().Sub(now).Milliseconds())
			metrics.GetOrRegisterCounter("Worker.Outcome."+r.Outcome.String(), s.cfg.Metrics).Inc(1)
			answer(r)
		}
	})
	return func() {
		s.enqueue(func(h *Host, now time.Time) {
			id := <-waiterID
			if s.waiters[id] != nil {
				delete(s.waiters, id)
				h.entry.CallerLeft(now, id)
			}
		})
	}
}

// CancelJob cancels a job that callers of this host wait for, at the owner that has
// it, and answers all of them.
func (s *Service) CancelJob(id string) {
	s.enqueue(func(h *Host, now time.Time) { h.entry.CancelJob(now, id) })
}

// Ready reports whether the load balancer should send callers here: the host isn't
// leaving and some owner can accept their jobs.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Ready
}

// prepareStop starts the planned stop of the host; see Host.Leave.
func (s *Service) prepareStop() {
	s.enqueue(func(h *Host, now time.Time) {
		h.Leave(now)
		s.tick(h, now)
	})
}

// AwaitCallers returns when the load balancer has had time to stop sending requests
// to this host and no caller waits here any more, or when ctx has ended.
func (s *Service) AwaitCallers(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(balancerGracePeriod):
	}
	s.awaitStatus(ctx, 0, func(st Status) bool { return st.Waiting == 0 })
}

// stop returns when no caller of this host and no entry host has waited for a job
// during successorGracePeriod, or with an error when ctx has ended.
func (s *Service) stop(ctx context.Context) error {
	s.awaitStatus(ctx, successorGracePeriod, func(st Status) bool { return st.Jobs == 0 && st.Waiting == 0 })
	return ctx.Err()
}

// awaitStatus returns when done has been true of the status for stableFor without a
// break, or when ctx has ended.
func (s *Service) awaitStatus(ctx context.Context, stableFor time.Duration, done func(Status) bool) {
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
		if held += stopCheckInterval; held >= stableFor {
			return
		}
	}
}
