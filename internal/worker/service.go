package worker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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
	tickInterval = 20 * time.Millisecond
	// livenessLaneLen and workLaneLen bound the lanes. The loop empties the first one
	// before each event; the second one holds replies, of which each server can send
	// few at a time.
	livenessLaneLen = 8192
	workLaneLen     = 8192
	// streamName is the name of the peer streams that carry sessions, ownerItem
	// that of the membership heartbeat item by which an owner announces itself.
	streamName = "Jobs"
	ownerItem  = "Owner"
	// stopCheckInterval is how often a stopping service checks whether it is done.
	stopCheckInterval = 20 * time.Millisecond
	// successorGracePeriod is how long a leaving owner stays after its last job, so
	// that the entry hosts can open sessions with its successor.
	successorGracePeriod = 300 * time.Millisecond
	// stallThreshold is the time between two events after which the process must have
	// stood still, as the loop runs every tickInterval. The loop then lets the goroutines
	// that read the connections run for stallGracePeriod, so that they deliver the
	// acknowledgments and heartbeats that have arrived meanwhile.
	stallThreshold   = heartbeatInterval
	stallGracePeriod = 2 * time.Millisecond
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
	// EvacuationApplyTime is the time after the operator's request within which no task may
	// be started any more in an evacuated failure domain; 0 means that there are no
	// evacuations.
	EvacuationApplyTime time.Duration
	// MaxJobBytes bounds what the jobs cost that this host owns, and those that wait in its
	// mailbox; 0 means no limit.
	MaxJobBytes int64
}

// Service runs the Host state machine of this host: it delivers events to it and
// carries out its actions, which send commands to backend servers, messages to other
// hosts and results to callers.
//
// Events wait in lanes. The loop empties the lane of liveness before each other event;
// submissions wait in the mailbox until there is no other event.
type Service struct {
	cfg           Config
	peers         *peer.Service
	kvstore       *kvstore.Service
	commandQueues *commandQueues
	ctx           context.Context
	// liveness has what the messages of sessions say, except submissions and
	// cancellations; work has replies of servers and lists.
	liveness, work *ring.Queue[queuedEvent]
	// wake tells the loop that control or mailbox has something.
	wake chan struct{}
	// lastCaller numbers the submissions of own callers.
	lastCaller atomic.Uint64

	queuesMu sync.Mutex
	mailbox  *Mailbox
	// control has cancellations, ends of sessions and lists of members. It has no bound
	// of its own, since those who report them must not wait for the loop; there are no
	// more cancellations than jobs and requests of callers, here and at the other hosts.
	control []queuedEvent

	// Only the goroutine of loop uses the fields from host to hostsNeeded.
	host           *Host
	ownerStreams   map[string]*peer.Stream
	sessionStreams map[SessionID]*peer.Stream
	// newPaths has the streams on which an attach was sent.
	newPaths map[pathKey]*peer.Stream
	waiters  map[WaiterID]func(Result)
	// cancels has those who wait for the outcome of a cancellation, by its number.
	cancels map[uint64]func(CancelOutcome)
	meter   *loopMeter
	// followUps are events that follow from actions of the last one.
	followUps []queuedEvent
	// hostsNeeded is whether this host last told the platform that it needs the list
	// of hosts.
	hostsNeeded bool

	mu     sync.Mutex
	status Status

	submitted, answered metrics.Counter
	mailboxRefused      metrics.Counter
	latency             metrics.Histogram
}

// New returns a Service that has not started; the kernel starts it.
func New(c Config) *Service {
	s := &Service{
		cfg: c, liveness: ring.New[queuedEvent](livenessLaneLen), work: ring.New[queuedEvent](workLaneLen),
		wake: make(chan struct{}, 1), mailbox: NewMailbox(), ownerStreams: map[string]*peer.Stream{},
		sessionStreams: map[SessionID]*peer.Stream{}, newPaths: map[pathKey]*peer.Stream{}, waiters: map[WaiterID]func(Result){},
		cancels: map[uint64]func(CancelOutcome){}, meter: newLoopMeter(c.Log, c.Metrics),
		submitted:      metrics.GetOrRegisterCounter("Worker.Submitted", c.Metrics),
		answered:       metrics.GetOrRegisterCounter("Worker.Answered", c.Metrics),
		mailboxRefused: metrics.GetOrRegisterCounter("Worker.MailboxRefused", c.Metrics),
		latency: metrics.GetOrRegisterHistogram("Worker.AnswerMs", c.Metrics,
			metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	tokens := NewTokenGenerator(c.Self.Address)
	s.host = NewHost(HostConfig{
		Self:      c.Self,
		NextToken: func(_ time.Time, refused uint64) uint64 { return tokens.Next(c.Wall(), refused) },
		Log:       c.Log, Now: c.Now(), EvacuationApplyTime: c.EvacuationApplyTime, MaxJobBytes: c.MaxJobBytes,
	})
	s.mailbox.MaxBytes = c.MaxJobBytes
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
		// The announcement comes again, and this goroutine also reads the messages of
		// sessions, so it must not wait.
		s.work.Offer(queuedEvent{run: func(h *Host, now time.Time) { h.entry.HandleOwnerAnnouncement(now, from) }, queuedAt: s.cfg.Now()})
	})
	s.peers.OnChange(s.membersChanged)
	s.kvstore.OnHosts(s.hostsChanged)
	s.kvstore.OnHostsRead(func(r kvstore.HostsRead) {
		s.enqueue(func(h *Host, now time.Time) { h.pool.HandleServerListRead(now, r.Took, r.Err == nil) })
	})
	s.followEvacuations()
	done := make(chan error, 1)
	go func() {
		s.loop(ctx)
		s.commandQueues.wait()
		done <- nil
	}()
	return done, nil
}

func (s *Service) tick(h *Host, now time.Time) {
	h.Tick(now)
	s.queuesMu.Lock()
	s.mailbox.Forget(func(id string) bool { return !h.HasJob(id) })
	waiting := s.mailbox.Len()
	s.queuesMu.Unlock()
	st := h.Status(now)
	st.Waiting += waiting
	s.mu.Lock()
	s.status = st
	s.mu.Unlock()
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
		s.sendToOwner(now, a.SendTo)
	case a.CloseSession != 0:
		if st := s.sessionStreams[a.CloseSession]; st != nil {
			delete(s.sessionStreams, a.CloseSession)
			st.Close()
		}
		s.dropSubmissions(a.CloseSession)
	case a.Reply != nil:
		if st := s.sessionStreams[a.Reply.Session]; st != nil {
			s.sendMessage(st, a.Reply.Message)
		}
	case a.Answer != nil:
		if f := s.waiters[a.Answer.Waiter]; f != nil {
			delete(s.waiters, a.Answer.Waiter)
			f(a.Answer.Result)
		}
	case a.CancelAnswer != nil:
		if f := s.cancels[a.CancelAnswer.Number]; f != nil {
			delete(s.cancels, a.CancelAnswer.Number)
			f(a.CancelAnswer.Outcome)
		}
	case a.Enqueue != nil:
		sub := Submission{Session: localSession, Job: *a.Enqueue, Run: func(h *Host, now time.Time, j Job) { h.SubmitQueued(now, localSession, j, 0, nil) }}
		if r, ok := s.offer(sub); !ok {
			s.followUp(now, func(h *Host, now time.Time) { h.entry.HandleResult(now, s.cfg.Self.Incarnation, 0, r) })
		}
	case a.Withdraw != "":
		s.queuesMu.Lock()
		s.mailbox.Withdraw(localSession, 0, a.Withdraw)
		s.queuesMu.Unlock()
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
	s.enqueueControl(func(h *Host, now time.Time) { h.entry.SetMembers(now, up) })
}

func (s *Service) hostsChanged(hosts []kvstore.Host) {
	var list []Server
	var entryHosts []Candidate
	for _, h := range hosts {
		if h.Kind == kvstore.InvalidServer {
			list = append(list, Server{ID: h.Name, Invalid: true})
		}
		if h.Kind == kvstore.EntryHost && h.FailureDomain == s.cfg.Self.FailureDomain {
			entryHosts = append(entryHosts, Candidate{Address: h.Address, FailureDomain: h.FailureDomain, CPUMilli: h.CPUMilli})
		}
		if h.Kind == kvstore.BackendServer && h.FailureDomain == s.cfg.Self.FailureDomain && h.CPUMilli > 0 {
			list = append(list, Server{
				ID: h.Name, Address: h.Address, Service: h.Service, FailureDomain: h.FailureDomain, Labels: h.Labels,
				Capacity: Resources{CPUMilli: h.CPUMilli, MemoryMB: h.MemoryMB, GPUs: h.GPUs}, Leaving: h.Leaving,
				StartedAtMs: h.StartedAtMs,
			})
		}
	}
	s.enqueue(func(h *Host, now time.Time) {
		h.entry.SetListedHosts(entryHosts)
		h.pool.SetServers(now, list)
		s.commandQueues.retain(h.pool.TrackedServers())
	})
}

// followEvacuations passes the evacuations to the host.
func (s *Service) followEvacuations() {
	if s.cfg.EvacuationApplyTime == 0 {
		return
	}
	s.kvstore.OnEvacuations(func(e kvstore.Evacuations) {
		s.enqueueControl(func(h *Host, now time.Time) {
			h.entry.SetEvacuations(e.FailureDomains)
			h.pool.SetEvacuated(now, e.Contains(s.cfg.Self.FailureDomain))
		})
	})
	s.kvstore.OnEvacuationsRead(func(r kvstore.EvacuationsRead) {
		s.enqueue(func(h *Host, now time.Time) { h.pool.HandleEvacuationsRead(now, r.Took, r.Err == nil) })
	})
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
