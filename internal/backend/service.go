package backend

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"guavayoke/internal/kernel"
	"guavayoke/internal/kvstore"
	"guavayoke/internal/peer"
	"guavayoke/internal/ring"
	"guavayoke/pkg/document"
	"guavayoke/pkg/verdict"
)

// Name is the name of the service in the kernel.
const Name = "Backend"

const (
	// eventRingSize is the number of events that may wait for the loop.
	eventRingSize    = 1 << 16
	idleTickInterval = 5 * TickInterval
)

// Request is one task to be sent to a backend server.
type Request struct {
	// ID is repeated by the backend server in its answer, so that the two can be
	// matched.
	ID         string
	Service    string
	Team       string
	Body       []byte
	MemoryMB   int
	Idempotent bool
	Deadline   time.Time
}

// Answer is how a task ended. RetryAfter is how long a refused caller should wait
// before a retry.
type Answer struct {
	Verdict    verdict.Verdict
	Reason     Reason
	RetryAfter time.Duration
	// Status and Body are the HTTP status and the body of the backend server's
	// answer.
	Status int
	Body   []byte
	// RunTime is the time from the send to the answer.
	RunTime time.Duration
}

// Reasons in answers other than refusals.
const (
	ReasonNone       Reason = ""
	ReasonTaskFailed Reason = "TaskFailed"
	ReasonAnswerLost Reason = "AnswerLost"
	ReasonCancelled  Reason = "Cancelled"
)

// Group is a set of tasks that is accepted or refused as a whole.
type Group struct {
	Tasks []Request
	// Done is called once for each accepted task, with its index in Tasks. The calls
	// come in any order from the loop goroutine, so Done must not block.
	Done func(i int, a Answer)

	// ids are the dispatcher's IDs of the tasks, in the order of Tasks.
	ids []uint64
}

// Config holds the parameters of New. Self is this host's incarnation, Domain its
// failure domain.
type Config struct {
	Self, Domain string
	Rand         *rand.Rand
	Log          *log.Logger
	Metrics      metrics.Registry
}

// Service sends tasks to backend servers. Its loop goroutine calls the functions in
// events. Only this goroutine uses the dispatcher, the tasks, the document and the
// lists of servers and hosts.
type Service struct {
	cfg        Config
	events     *ring.Queue[func(now time.Time)]
	clients    *clientPool
	dispatcher *Dispatcher
	peers      *peer.Service
	tasks      map[uint64]taskRef
	nextTask   uint64
	document   *document.Document
	servers    []Server
	hosts      []Host
	counts     counts

	mu sync.Mutex
	// Copies of the dispatcher's state for other goroutines, guarded by mu.
	// lastSentLoad is the index in loads of the load that was last put into a
	// heartbeat.
	loads        []Load
	lastSentLoad int
	inFlight     int
}

// taskRef identifies a task by its index in a group.
type taskRef struct {
	group *Group
	index int
}

// counts are the metrics of the service. The wasted ones count messages that had no
// effect on any task; a refused message and its refusal count as two.
type counts struct {
	sends, answers, loanRequests, loanGrants, loanReturns        metrics.Counter
	wastedBusy, wastedLeaving, wastedNotSent, wastedLoanRequests metrics.Counter
	refused                                                      metrics.Counter
	runTime                                                      metrics.Timer
}

// New returns a service. The kernel starts it.
func New(c Config) *Service {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, c.Metrics) }
	return &Service{
		cfg:        c,
		events:     ring.New[func(time.Time)](eventRingSize),
		clients:    newClientPool(),
		dispatcher: NewDispatcher(DispatcherConfig{Self: c.Self, Domain: c.Domain, Rand: c.Rand}),
		tasks:      map[uint64]taskRef{},
		counts: counts{
			sends: counter("Backend.Sends"), answers: counter("Backend.Answers"),
			loanRequests: counter("Backend.Asks"), loanGrants: counter("Backend.Grants"), loanReturns: counter("Backend.Returns"),
			wastedBusy: counter("Wasted.Busy"), wastedLeaving: counter("Wasted.Leaving"),
			wastedNotSent: counter("Wasted.Unreached"), wastedLoanRequests: counter("Wasted.Ask"),
			refused: counter("Backend.Refused"),
			runTime: metrics.GetOrRegisterTimer("Backend.Run", c.Metrics),
		},
	}
}

// Service returns s as a service of the kernel.
func (s *Service) Service() kernel.Service {
	return kernel.Service{Name: Name, Value: s, Start: s.start, Stop: s.stop}
}

func (s *Service) start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	peers, err := kernel.Find[*peer.Service](k, peer.Name)
	if err != nil {
		return nil, err
	}
	store, err := kernel.Find[*kvstore.Service](k, kvstore.Name)
	if err != nil {
		return nil, err
	}
	s.peers = peers
	s.handleNotifications(peers)
	peers.OnChange(s.membersChanged)
	store.OnApply(s.documentApplied)
	store.OnHosts(s.hostsChanged)
	done := make(chan error, 1)
	go func() {
		s.loop(ctx)
		done <- nil
	}()
	return done, nil
}

// loop is the only goroutine that uses the dispatcher. While no task is in flight it
// ticks every idleTickInterval, to use little CPU time on an idle host.
func (s *Service) loop(ctx context.Context) {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	slowTicks := false
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.events.C():
			f(time.Now())
		case now := <-t.C:
			s.perform(s.dispatcher.Tick(now))
			s.publishState()
		}
		if idle := s.dispatcher.InFlight() == 0; idle != slowTicks {
			slowTicks = idle
			t.Reset(tickInterval(idle))
		}
	}
}

func tickInterval(idle bool) time.Duration {
	if idle {
		return idleTickInterval
	}
	return TickInterval
}

// publishState copies the state that other goroutines read.
func (s *Service) publishState() {
	loads, inFlight := s.dispatcher.Loads(), s.dispatcher.InFlight()
	s.mu.Lock()
	s.loads, s.inFlight = loads, inFlight
	s.mu.Unlock()
}

// Loads returns the load of every service as of the last tick.
func (s *Service) Loads() []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// InFlight returns the number of tasks that were waiting or running at the last
// tick.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// handleNotifications registers the handlers for messages from the dispatchers of
// other hosts.
func (s *Service) handleNotifications(peers *peer.Service) {
	peers.HandleNotification(loanRequestName, func(from string, b []byte) {
		var w wireLoanRequest
		if cbor.Unmarshal(b, &w) == nil {
			s.enqueue(func(now time.Time) {
				s.perform(s.dispatcher.HandleLoanRequest(now, w.loanRequest(from)))
			})
		}
	})
	peers.HandleNotification(loanGrantName, func(from string, b []byte) {
		var w wireLoanGrant
		if cbor.Unmarshal(b, &w) == nil {
			s.enqueue(func(now time.Time) { s.perform(s.dispatcher.HandleLoanGrant(now, w.loanGrant(from))) })
		}
	})
	peers.HandleNotification(loanReturnName, func(from string, b []byte) {
		var w wireLoanReturn
		if cbor.Unmarshal(b, &w) == nil {
			s.enqueue(func(now time.Time) {
				s.perform(s.dispatcher.HandleLoanReturn(now, LoanReturn{from, w.Service, w.LoanIDs}))
			})
		}
	})
	peers.HandleNotification(leaveNoticeName, func(_ string, b []byte) {
		var w wireLeaveNotice
		if cbor.Unmarshal(b, &w) == nil {
			s.enqueue(func(now time.Time) { s.perform(s.dispatcher.ServerLeaving(now, w.Server)) })
		}
	})
	peers.HandleNotification(loadsName, func(from string, b []byte) {
		var w []wireLoad
		if cbor.Unmarshal(b, &w) == nil {
			loads := loadsOf(w)
			s.enqueue(func(now time.Time) { s.dispatcher.UpdatePeerLoads(now, from, loads) })
		}
	})
	peers.Publish(loadsName, s.encodeLoads)
}

// encodeLoads encodes the loads of at most loadsPerHeartbeat services, which bounds
// the size of a heartbeat. Successive calls go through all services in turn.
func (s *Service) encodeLoads() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.loads) == 0 {
		return nil
	}
	var w []wireLoad
	for range min(loadsPerHeartbeat, len(s.loads)) {
		s.lastSentLoad = (s.lastSentLoad + 1) % len(s.loads)
		w = append(w, wireLoad(s.loads[s.lastSentLoad]))
	}
	return encode(w)
}

// enqueue passes f to the loop. It drops f if the ring is full.
func (s *Service) enqueue(f func(now time.Time)) { s.events.Offer(f) }

// Submit submits a group. It returns nil once the group has been accepted. If it
// returns a refusal, no task of the group has been or will be run.
func (s *Service) Submit(ctx context.Context, g *Group) *Refusal {
	result := make(chan *Refusal, 1)
	err := s.events.Put(ctx, func(now time.Time) { result <- s.submit(now, g) })
	if err != nil {
		return &Refusal{ReasonOverload, time.Second}
	}
	return <-result
}

func (s *Service) submit(now time.Time, g *Group) *Refusal {
	tasks := make([]*Task, len(g.Tasks))
	for i, r := range g.Tasks {
		s.nextTask++
		tasks[i] = &Task{
			ID: s.nextTask, Service: r.Service, Team: r.Team, Deadline: r.Deadline,
			Idempotent: r.Idempotent, MemoryMB: r.MemoryMB,
		}
		g.ids = append(g.ids, s.nextTask)
		s.tasks[s.nextTask] = taskRef{g, i}
	}
	actions, refusal := s.dispatcher.Submit(now, tasks)
	if refusal != nil {
		for _, id := range g.ids {
			delete(s.tasks, id)
		}
		s.counts.refused.Inc(int64(len(tasks)))
		return refusal
	}
	s.perform(actions)
	return nil
}

// Cancel cancels the waiting tasks of a group. Running tasks are not affected.
func (s *Service) Cancel(g *Group) {
	s.enqueue(func(time.Time) {
		byService := map[string]map[uint64]bool{}
		for i, id := range g.ids {
			name := g.Tasks[i].Service
			if byService[name] == nil {
				byService[name] = map[uint64]bool{}
			}
			byService[name][id] = true
		}
		for name, ids := range byService {
			for _, id := range s.dispatcher.Cancel(name, ids) {
				s.endTask(id, Answer{Verdict: verdict.NotRun, Reason: ReasonCancelled})
			}
		}
	})
}

// endTask reports the end of a task to its group, if it has not ended before.
func (s *Service) endTask(id uint64, a Answer) {
	ref, ok := s.tasks[id]
	if !ok {
		return
	}
	delete(s.tasks, id)
	ref.group.Done(ref.index, a)
}

// perform carries out the actions that the dispatcher returned.
func (s *Service) perform(actions []Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			s.send(*a.Send)
		case a.Refuse != nil:
			s.counts.refused.Inc(1)
			s.endTask(a.Refuse.TaskID, Answer{Verdict: verdict.NotRun, Reason: a.Refuse.Reason, RetryAfter: a.Refuse.RetryAfter})
		case a.LoanRequest != nil:
			s.counts.loanRequests.Inc(1)
			s.peers.Notify(a.LoanRequest.Peer, loanRequestName, encode(wireLoanRequest{a.LoanRequest.Seq, a.LoanRequest.Service, a.LoanRequest.MaxSlots, a.LoanRequest.MaxWait}))
		case a.LoanGrant != nil:
			s.counts.loanGrants.Inc(1)
			if len(a.LoanGrant.Slots) == 0 {
				s.counts.wastedLoanRequests.Inc(2)
			}
			s.peers.Notify(a.LoanGrant.Peer, loanGrantName, encode(newWireLoanGrant(a.LoanGrant)))
		case a.LoanReturn != nil:
			s.counts.loanReturns.Inc(1)
			s.peers.Notify(a.LoanReturn.Peer, loanReturnName, encode(wireLoanReturn{a.LoanReturn.Service, a.LoanReturn.LoanIDs}))
		case a.LeaveNotice != nil:
			s.announceLeaving(a.LeaveNotice.Server)
		}
	}
}

// announceLeaving tells the other entry hosts that a server is leaving.
func (s *Service) announceLeaving(server string) {
	s.cfg.Log.Info().Str("Server", server).Msg("ServerLeaving")
	body := encode(wireLeaveNotice{server})
	for _, h := range s.hosts {
		if h.ID != s.cfg.Self {
			s.peers.Notify(h.ID, leaveNoticeName, body)
		}
	}
}

// stop waits until no task is waiting or running, or until ctx ends.
func (s *Service) stop(ctx context.Context) error {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		inFlight := make(chan int, 1)
		if err := s.events.Put(ctx, func(time.Time) { inFlight <- s.dispatcher.InFlight() }); err != nil {
			return err
		}
		if n := <-inFlight; n == 0 {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			s.cfg.Log.Error().Str("Tasks", strconv.Itoa(s.InFlight())).Msg("ShutdownTimedOut")
			return ctx.Err()
		}
	}
}
