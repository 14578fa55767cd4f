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
	"guavayoke/internal/peer"
	"guavayoke/internal/platform"
	"guavayoke/internal/ring"
	"guavayoke/pkg/document"
	"guavayoke/pkg/verdict"
)

// Name is the name of the service in the kernel.
const Name = "Backend"

const (
	eventRing        = 1 << 16
	idleTickInterval = 5 * TickInterval
)

// Request is one task to be sent.
type Request struct {
	// ID is repeated by the backend server, so that an answer can be matched.
	ID         string
	Service    string
	Team       string
	Body       []byte
	MemoryMB   int
	Idempotent bool
	Deadline   time.Time
}

// Answer is how a task ended.
type Answer struct {
	Verdict    verdict.Verdict
	Reason     Reason
	RetryAfter time.Duration
	// Status and Body are those of the backend server.
	Status int
	Body   []byte
	// RunTime is the time from the send to the answer.
	RunTime time.Duration
}

// Reasons of answers that are not refusals.
const (
	ReasonNone       Reason = ""
	ReasonTaskFailed Reason = "TaskFailed"
	ReasonAnswerLost Reason = "AnswerLost"
	ReasonCancelled  Reason = "Cancelled"
)

// Group is a set of tasks that is accepted or refused as a whole.
type Group struct {
	Tasks []Request
	// Done is called once for each task that was accepted, in any order and
	// from several goroutines.
	Done func(i int, a Answer)

	ids []uint64
}

// Config builds a Service.
type Config struct {
	Self, Domain string
	Rand         *rand.Rand
	Log          *log.Logger
	Metrics      metrics.Registry
}

// Service sends tasks to backend servers.
type Service struct {
	cfg      Config
	events   *ring.Queue[func(now time.Time)]
	clients  *clientPool
	dispatch *Dispatcher
	peers    *peer.Service
	tasks    map[uint64]taskRef
	nextTask uint64
	document *document.Document
	servers  []Server
	hosts    []Host
	counts   counts

	mu       sync.Mutex
	loads    []Load
	loadTurn int
	inFlight int
}

type taskRef struct {
	group *Group
	index int
}

// counts are the metrics of the service. Wasted ones carried no progress.
type counts struct {
	sends, answers, asks, grants, returns                 metrics.Counter
	wastedBusy, wastedLeaving, wastedUnreached, wastedAsk metrics.Counter
	refused                                               metrics.Counter
	run                                                   metrics.Timer
}

// New returns a service; it is started by the kernel.
func New(c Config) *Service {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, c.Metrics) }
	return &Service{
		cfg:      c,
		events:   ring.New[func(time.Time)](eventRing),
		clients:  newClientPool(),
		dispatch: NewDispatcher(DispatcherConfig{Self: c.Self, Domain: c.Domain, Rand: c.Rand}),
		tasks:    map[uint64]taskRef{},
		counts: counts{
			sends: counter("Backend.Sends"), answers: counter("Backend.Answers"),
			asks: counter("Backend.Asks"), grants: counter("Backend.Grants"), returns: counter("Backend.Returns"),
			wastedBusy: counter("Wasted.Busy"), wastedLeaving: counter("Wasted.Leaving"),
			wastedUnreached: counter("Wasted.Unreached"), wastedAsk: counter("Wasted.Ask"),
			refused: counter("Backend.Refused"),
			run:     metrics.GetOrRegisterTimer("Backend.Run", c.Metrics),
		},
	}
}

// Service returns the kernel's view of s.
func (s *Service) Service() kernel.Service {
	return kernel.Service{Name: Name, Value: s, Start: s.start, Stop: s.stop}
}

func (s *Service) start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	peers, err := kernel.Find[*peer.Service](k, peer.Name)
	if err != nil {
		return nil, err
	}
	plat, err := kernel.Find[*platform.Service](k, platform.Name)
	if err != nil {
		return nil, err
	}
	s.peers = peers
	s.handleNotes(peers)
	peers.OnChange(s.membersChanged)
	plat.OnApply(s.applied)
	plat.OnHosts(s.hostsChanged)
	done := make(chan error, 1)
	go func() {
		s.loop(ctx)
		done <- nil
	}()
	return done, nil
}

// loop owns the dispatcher. Without work it ticks slowly, to spend little on an
// idle host.
func (s *Service) loop(ctx context.Context) {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	slow := false
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.events.C():
			f(time.Now())
		case now := <-t.C:
			s.carry(s.dispatch.Tick(now))
			s.publish()
		}
		if idle := s.dispatch.InFlight() == 0; idle != slow {
			slow = idle
			t.Reset(tickEvery(idle))
		}
	}
}

func tickEvery(idle bool) time.Duration {
	if idle {
		return idleTickInterval
	}
	return TickInterval
}

// publish copies what other goroutines may ask for.
func (s *Service) publish() {
	loads, inFlight := s.dispatch.Loads(), s.dispatch.InFlight()
	s.mu.Lock()
	s.loads, s.inFlight = loads, inFlight
	s.mu.Unlock()
}

// Loads returns the state of every service.
func (s *Service) Loads() []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// InFlight returns the number of tasks that wait or run.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// handleNotes registers the messages of other dispatchers.
func (s *Service) handleNotes(peers *peer.Service) {
	peers.HandleNotification(askName, func(from string, b []byte) {
		var w wireAsk
		if cbor.Unmarshal(b, &w) == nil {
			s.post(func(now time.Time) {
				s.carry(s.dispatch.HandleLoanRequest(now, LoanRequest{from, w.Seq, w.Service, w.Want, w.Patience}))
			})
		}
	})
	peers.HandleNotification(grantName, func(from string, b []byte) {
		var w wireGrant
		if cbor.Unmarshal(b, &w) == nil {
			s.post(func(now time.Time) { s.carry(s.dispatch.HandleLoanGrant(now, w.grant(from))) })
		}
	})
	peers.HandleNotification(returnName, func(from string, b []byte) {
		var w wireReturn
		if cbor.Unmarshal(b, &w) == nil {
			s.post(func(now time.Time) { s.carry(s.dispatch.HandleLoanReturn(now, LoanReturn{from, w.Service, w.Loans})) })
		}
	})
	peers.HandleNotification(leaveName, func(_ string, b []byte) {
		var w wireLeave
		if cbor.Unmarshal(b, &w) == nil {
			s.post(func(now time.Time) { s.carry(s.dispatch.ServerLeaving(now, w.Server)) })
		}
	})
	peers.HandleNotification(loadName, func(from string, b []byte) {
		var w []wireLoad
		if cbor.Unmarshal(b, &w) == nil {
			loads := make([]Load, len(w))
			for i, l := range w {
				loads[i] = Load(l)
			}
			s.post(func(now time.Time) { s.dispatch.UpdatePeerLoads(now, from, loads) })
		}
	})
	peers.Publish(loadName, s.publishLoads)
}

// publishLoads encodes some services in turn, so that heartbeats stay bounded.
func (s *Service) publishLoads() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.loads) == 0 {
		return nil
	}
	var w []wireLoad
	for range min(loadsPerHeartbeat, len(s.loads)) {
		s.loadTurn = (s.loadTurn + 1) % len(s.loads)
		w = append(w, wireLoad(s.loads[s.loadTurn]))
	}
	return encode(w)
}

func (s *Service) post(f func(now time.Time)) { s.events.Offer(f) }

// Submit hands in a group. It returns when the group has been accepted, or the
// refusal: then no task of it has been or will be run.
func (s *Service) Submit(ctx context.Context, g *Group) *Refusal {
	result := make(chan *Refusal, 1)
	err := s.events.Put(ctx, func(now time.Time) { result <- s.offer(now, g) })
	if err != nil {
		return &Refusal{ReasonOverload, time.Second}
	}
	return <-result
}

func (s *Service) offer(now time.Time, g *Group) *Refusal {
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
	actions, refusal := s.dispatch.Submit(now, tasks)
	if refusal != nil {
		for _, id := range g.ids {
			delete(s.tasks, id)
		}
		s.counts.refused.Inc(int64(len(tasks)))
		return refusal
	}
	s.carry(actions)
	return nil
}

// Cancel drops the tasks of a group that wait; those that run are not touched.
func (s *Service) Cancel(g *Group) {
	s.post(func(time.Time) {
		byService := map[string]map[uint64]bool{}
		for i, id := range g.ids {
			name := g.Tasks[i].Service
			if byService[name] == nil {
				byService[name] = map[uint64]bool{}
			}
			byService[name][id] = true
		}
		for name, ids := range byService {
			for _, id := range s.dispatch.Cancel(name, ids) {
				s.end(id, Answer{Verdict: verdict.NotRun, Reason: ReasonCancelled})
			}
		}
	})
}

func (s *Service) end(id uint64, a Answer) {
	ref, ok := s.tasks[id]
	if !ok {
		return
	}
	delete(s.tasks, id)
	ref.group.Done(ref.index, a)
}

// carry carries out what the dispatcher has decided.
func (s *Service) carry(actions []Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			s.send(*a.Send)
		case a.Refuse != nil:
			s.counts.refused.Inc(1)
			s.end(a.Refuse.TaskID, Answer{Verdict: verdict.NotRun, Reason: a.Refuse.Reason, RetryAfter: a.Refuse.RetryAfter})
		case a.LoanRequest != nil:
			s.counts.asks.Inc(1)
			s.peers.Notify(a.LoanRequest.Peer, askName, encode(wireAsk{a.LoanRequest.Seq, a.LoanRequest.Service, a.LoanRequest.MaxSlots, a.LoanRequest.MaxWait}))
		case a.LoanGrant != nil:
			s.counts.grants.Inc(1)
			if len(a.LoanGrant.Slots) == 0 {
				s.counts.wastedAsk.Inc(2)
			}
			s.peers.Notify(a.LoanGrant.Peer, grantName, encode(newWireGrant(a.LoanGrant)))
		case a.LoanReturn != nil:
			s.counts.returns.Inc(1)
			s.peers.Notify(a.LoanReturn.Peer, returnName, encode(wireReturn{a.LoanReturn.Service, a.LoanReturn.LoanIDs}))
		case a.LeaveNotice != nil:
			s.tellLeaving(a.LeaveNotice.Server)
		}
	}
}

func (s *Service) tellLeaving(server string) {
	s.cfg.Log.Info().Str("Server", server).Msg("ServerLeaving")
	body := encode(wireLeave{server})
	for _, h := range s.hosts {
		if h.ID != s.cfg.Self {
			s.peers.Notify(h.ID, leaveName, body)
		}
	}
}

// stop waits until no task waits or runs.
func (s *Service) stop(ctx context.Context) error {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		left := make(chan int, 1)
		if err := s.events.Put(ctx, func(time.Time) { left <- s.dispatch.InFlight() }); err != nil {
			return err
		}
		if n := <-left; n == 0 {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			s.cfg.Log.Error().Str("Tasks", strconv.Itoa(s.InFlight())).Msg("StopCutOff")
			return ctx.Err()
		}
	}
}
