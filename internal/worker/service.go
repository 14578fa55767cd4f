package worker

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
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
	tickInterval = 20 * time.Millisecond
	eventRing    = 8192
	streamName   = "Jobs"
	ownerItem    = "Owner"
	// localSession is the session of this host's own callers.
	localSession SessionID = 0
	// stopPoll is how often a stopping service looks whether it is done.
	stopPoll = 20 * time.Millisecond
	// successorTime is how long a leaving owner stays after its last job, so
	// that the entry hosts have turned to its successor.
	successorTime = 300 * time.Millisecond
	// balancerTime is how long a leaving host still takes new requests: the
	// balancer turns away after two misses, a second apart.
	balancerTime = 2300 * time.Millisecond
	// refuseAfter is when a leaving host refuses requests that still come on
	// open connections, so that what it has taken ends in time.
	refuseAfter = 2800 * time.Millisecond
)

// Orders carries orders to backend servers. The fields are seams: an adapter
// speaks the servers' protocol, tests put their own functions there.
type Orders struct {
	Start func(ctx context.Context, s Server, o StartOrder) Reply
	Stop  func(ctx context.Context, s Server, o StopOrder) Reply
	Hold  func(ctx context.Context, s Server, o HoldOrder) Reply
}

// Config builds a Service.
type Config struct {
	Self    Candidate
	Orders  Orders
	Log     *log.Logger
	Metrics metrics.Registry
	Rand    *rand.Rand
	// Now reads a clock that also runs while the host is suspended: leases are
	// over when it wakes.
	Now func() time.Time
	// Wall reads the time of day, for fencing tokens.
	Wall func() time.Time
}

// Service owns backend servers and carries the jobs of callers to owners.
type Service struct {
	cfg      Config
	events   *ring.Ring[func(now time.Time)]
	peers    *peer.Service
	platform *platform.Service
	lanes    *lanes
	ctx      context.Context

	// What follows belongs to the loop.
	pool     *Pool
	entry    *Entry
	sessions Sessions
	streams  map[string]*peer.Stream
	incoming map[SessionID]*peer.Stream
	waiting  map[TicketID]func(Result)
	leaving  bool
	leftAt   time.Time

	mu     sync.Mutex
	status Status

	submitted, answered metrics.Counter
	latency             metrics.Histogram
}

// Status is what operators see of the service.
type Status struct {
	// Owner is the incarnation that owns this host's failure domain.
	Owner string
	// Jobs counts the jobs that this host owns, Waiting those that its callers
	// wait for.
	Jobs    int
	Waiting int
	Load    Load
	Ready   bool
}

// New returns a service; it is started by the kernel.
func New(c Config) *Service {
	s := &Service{
		cfg: c, events: ring.New[func(time.Time)](eventRing), streams: map[string]*peer.Stream{},
		incoming: map[SessionID]*peer.Stream{}, waiting: map[TicketID]func(Result){},
		submitted: metrics.GetOrRegisterCounter("Worker.Submitted", c.Metrics),
		answered:  metrics.GetOrRegisterCounter("Worker.Answered", c.Metrics),
		latency: metrics.GetOrRegisterHistogram("Worker.AnswerMs", c.Metrics,
			metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	fencer := NewFencer(c.Self.Address)
	s.pool = NewPool(PoolConfig{
		Fence: func(_ time.Time, refused uint64) uint64 { return fencer.Next(c.Wall(), refused) },
		Rand:  c.Rand, Log: c.Log,
	})
	s.entry = NewEntry(EntryConfig{Self: c.Self, Log: c.Log, Now: c.Now()})
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
	return kernel.Service{Name: Name, Value: s, Start: s.start, Prepare: s.prepare, Stop: s.stop}
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
	s.lanes = newLanes(ctx, s.cfg.Orders)
	s.peers.HandleStream(streamName, s.accept)
	s.peers.Publish(ownerItem, s.publishOwner)
	s.peers.HandleNote(ownerItem, func(from string, _ []byte) {
		s.post(func(now time.Time) { s.entry.OwnerClaimed(now, from) })
	})
	s.peers.OnChange(s.membersChanged)
	s.platform.OnHosts(s.hostsChanged)
	done := make(chan error, 1)
	go func() {
		s.loop(ctx)
		s.lanes.wait()
		done <- nil
	}()
	return done, nil
}

// post hands an event to the loop. Events are never dropped: each may carry the
// end of an order.
func (s *Service) post(f func(now time.Time)) {
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
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := s.cfg.Now()
			s.tick(now)
			s.carryOut(now)
		case f := <-s.events.C():
			now := s.cfg.Now()
			// Sessions end before anything else is decided: after a pause of
			// this host they may all be over.
			s.endSessions(now)
			f(now)
			s.carryOut(now)
		}
	}
}

func (s *Service) tick(now time.Time) {
	s.endSessions(now)
	s.entry.Tick(now)
	s.pool.Tick(now)
	s.entry.SetLoad(s.pool.Load())
	s.updateStatus()
}

func (s *Service) updateStatus() {
	st := Status{
		Owner: s.entry.Hint(), Jobs: s.pool.Jobs(), Waiting: s.entry.Jobs(), Load: s.pool.Load(),
		Ready: !s.leaving && s.entry.Served(),
	}
	s.mu.Lock()
	s.status = st
	s.mu.Unlock()
}

// endSessions sends stamps and drops what is no longer vouched for.
func (s *Service) endSessions(now time.Time) {
	due, ended := s.sessions.Tick(now)
	for _, id := range ended {
		s.cfg.Log.Warn().Uint64("Session", uint64(id)).Str("Peer", s.incoming[id].Peer).Msg("SessionEnded")
		s.incoming[id].Close()
		delete(s.incoming, id)
		s.pool.DropSession(now, id, "EntryHostSilent")
	}
	if len(due) == 0 {
		return
	}
	load := s.pool.Load()
	for _, id := range sortedSessions(due) {
		st := stamp{Number: due[id], Owner: s.pool.Owner(), Leaving: s.leaving, Hint: s.entry.Hint(), Load: load}
		if s.leaving {
			st.Keeping = s.pool.Keeping()
		}
		s.sendOn(s.incoming[id], message{Stamp: &st})
	}
}

func sortedSessions(due map[SessionID]uint64) []SessionID {
	ids := make([]SessionID, 0, len(due))
	for id := range due {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *Service) sendOn(st *peer.Stream, m message) {
	b, err := cbor.Marshal(m)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("MessageNotEncoded")
		return
	}
	if !st.Send(b) {
		// A message that is lost breaks the order that sessions rely on.
		s.cfg.Log.Warn().Str("Peer", st.Peer).Msg("StreamFull")
		st.Close()
	}
}

// carryOut does what the deciding code asked for, until it asks for no more.
func (s *Service) carryOut(now time.Time) {
	for {
		entry, pool := s.entry.Take(), s.pool.Take()
		if len(entry) == 0 && len(pool) == 0 {
			return
		}
		for _, a := range entry {
			s.doEntry(now, a)
		}
		for _, a := range pool {
			s.doPool(now, a)
		}
	}
}

func (s *Service) doEntry(now time.Time, a EntryAction) {
	switch {
	case a.Open != nil:
		go s.open(*a.Open)
	case a.Close != "":
		if st := s.streams[a.Close]; st != nil {
			delete(s.streams, a.Close)
			st.Close()
		}
	case a.Send != nil:
		if st := s.streams[a.Send.To]; st != nil {
			s.sendOn(st, a.Send.Message)
		}
	case a.Local != nil && a.Local.Submit != nil:
		s.pool.Submit(now, localSession, *a.Local.Submit)
	case a.Local != nil:
		s.pool.Cancel(now, localSession, a.Local.Cancel)
	case a.Answer != nil:
		if f := s.waiting[a.Answer.Ticket]; f != nil {
			delete(s.waiting, a.Answer.Ticket)
			f(a.Answer.Result)
		}
	case a.Own != nil:
		s.cfg.Log.Info().Str("Domain", s.cfg.Self.FailureDomain).Int("Spared", len(a.Own.Spared)).Msg("OwnerTakes")
		s.pool.Own(now, a.Own.Spared)
	case a.Yield != "":
		s.pool.Yield(now, a.Yield)
	}
}

func (s *Service) doPool(now time.Time, a Action) {
	switch {
	case a.Start != nil:
		o := a.Start
		s.lanes.order(o.Server, func(ctx context.Context) {
			r := s.cfg.Orders.Start(ctx, o.Server, o.Order)
			s.post(func(now time.Time) { s.pool.Started(now, o.Server.ID, o.Order.Fence, o.Order.RunKey, r) })
		})
	case a.Stop != nil:
		o := a.Stop
		s.lanes.order(o.Server, func(ctx context.Context) {
			r := s.cfg.Orders.Stop(ctx, o.Server, o.Order)
			s.post(func(now time.Time) { s.pool.Stopped(now, o.Server.ID, o.Order.Fence, o.Order.RunKey, r) })
		})
	case a.Hold != nil:
		s.sendHold(now, a.Hold)
	case a.Answer != nil:
		if a.Answer.Session == localSession {
			s.entry.Resulted(now, s.cfg.Self.Incarnation, a.Answer.Result)
			return
		}
		if st := s.incoming[a.Answer.Session]; st != nil {
			s.sendOn(st, message{Result: &a.Answer.Result})
		}
	case a.Deposed:
		s.entry.Deposed(now)
	}
}

func (s *Service) sendHold(sent time.Time, o *ServerHold) {
	run := func(ctx context.Context) {
		r := s.cfg.Orders.Hold(ctx, o.Server, o.Order)
		s.post(func(now time.Time) { s.pool.Held(now, o.Server.ID, o.Order.Fence, o.Renewal, sent, r) })
	}
	if o.Renewal {
		s.lanes.order(o.Server, run)
		return
	}
	s.lanes.hold(o.Server, run)
}

// open opens a session with a candidate.
func (s *Service) open(c Candidate) {
	ctx, cancel := context.WithTimeout(s.ctx, openPatience)
	defer cancel()
	receive := func(b []byte) {
		var m message
		if err := cbor.Unmarshal(b, &m); err != nil {
			s.cfg.Log.Warn().Str("Peer", c.Incarnation).Err(err).Msg("MessageMalformed")
			return
		}
		s.post(func(now time.Time) { s.fromOwner(now, c.Incarnation, m) })
	}
	closed := func() {
		go s.post(func(now time.Time) { s.streamClosed(now, c.Incarnation) })
	}
	st, err := s.peers.OpenStream(ctx, c.Address, c.Incarnation, streamName, receive, closed)
	if err != nil {
		reason := "Unreachable"
		var ended *peer.IncarnationError
		if errors.As(err, &ended) {
			reason = "IncarnationEnded"
		}
		s.post(func(now time.Time) { s.entry.Closed(now, c.Incarnation, reason) })
		return
	}
	s.post(func(now time.Time) {
		s.streams[c.Incarnation] = st
		s.entry.Opened(now, c.Incarnation)
	})
}

func (s *Service) streamClosed(now time.Time, incarnation string) {
	if s.streams[incarnation] != nil {
		delete(s.streams, incarnation)
		s.entry.Closed(now, incarnation, "SessionBroke")
	}
}

func (s *Service) fromOwner(now time.Time, owner string, m message) {
	switch {
	case m.Stamp != nil:
		s.entry.Stamped(now, owner, *m.Stamp)
	case m.Result != nil:
		s.entry.Resulted(now, owner, *m.Result)
	}
}

// accept serves a session that an entry host has opened.
func (s *Service) accept(st *peer.Stream) (receive func([]byte), closed func()) {
	var id SessionID
	s.post(func(now time.Time) {
		id = s.sessions.Open(now, st.Peer)
		s.incoming[id] = st
	})
	receive = func(b []byte) {
		var m message
		if err := cbor.Unmarshal(b, &m); err != nil {
			s.cfg.Log.Warn().Str("Peer", st.Peer).Err(err).Msg("MessageMalformed")
			return
		}
		s.post(func(now time.Time) { s.fromEntry(now, id, m) })
	}
	closed = func() {
		go s.post(func(now time.Time) {
			if s.incoming[id] != nil {
				delete(s.incoming, id)
				s.sessions.Close(id)
				s.pool.DropSession(now, id, "EntryHostGone")
			}
		})
	}
	return receive, closed
}

func (s *Service) fromEntry(now time.Time, id SessionID, m message) {
	if s.incoming[id] == nil {
		return
	}
	switch {
	case m.Echo != 0:
		s.sessions.Echo(id, m.Echo)
	case m.Submit != nil:
		s.pool.Submit(now, id, *m.Submit)
	case m.Cancel != "":
		s.pool.Cancel(now, id, m.Cancel)
	}
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
			up = append(up, Candidate{m.Incarnation, m.Address, m.FailureDomain})
		}
	}
	s.post(func(now time.Time) { s.entry.Members(now, up) })
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
	s.post(func(now time.Time) {
		s.pool.Servers(now, list)
		s.lanes.retain(s.pool.Known())
	})
}

// Submit hands in a job of a caller; answer is called once with its result. It
// returns the function that ends the wait when the caller has left.
func (s *Service) Submit(job Job, answer func(Result)) (left func()) {
	ticket := make(chan TicketID, 1)
	s.submitted.Inc(1)
	s.post(func(now time.Time) {
		if s.leaving && now.Sub(s.leftAt) > refuseAfter {
			ticket <- 0
			answer(Result{ID: job.ID, Outcome: Refused, Reason: "HostLeaves", RetryAfter: time.Second})
			return
		}
		t := s.entry.Submit(now, job)
		s.waiting[t] = func(r Result) {
			s.answered.Inc(1)
			s.latency.Update(s.cfg.Now().Sub(now).Milliseconds())
			metrics.GetOrRegisterCounter("Worker.Outcome."+r.Outcome.String(), s.cfg.Metrics).Inc(1)
			answer(r)
		}
		ticket <- t
	})
	return func() {
		s.post(func(now time.Time) {
			t := <-ticket
			if s.waiting[t] != nil {
				delete(s.waiting, t)
				s.entry.CallerLeft(now, t)
			}
		})
	}
}

// CancelJob ends a job whoever waits for it, on this host and on the owners
// that it has a session with.
func (s *Service) CancelJob(id string) {
	s.post(func(now time.Time) { s.entry.CancelJob(now, id) })
}

// Ready reports whether callers should be sent here: the host isn't leaving and
// some owner can take their jobs.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Ready
}

// prepare makes the host no candidate for owner any more; an owner gives its
// servers to a successor.
func (s *Service) prepare() {
	s.post(func(now time.Time) {
		s.cfg.Log.Info().Int("Jobs", s.pool.Jobs()).Int("Waiting", s.entry.Jobs()).Msg("HostLeaves")
		s.leaving, s.leftAt = true, now
		s.entry.Leave(now)
		s.pool.Drain(now)
		s.updateStatus()
	})
}

// AwaitCallers returns when the balancer has had time to turn away from this
// host and no caller waits here any more, or when ctx has ended.
func (s *Service) AwaitCallers(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(balancerTime):
	}
	s.await(ctx, 0, func(st Status) bool { return st.Waiting == 0 })
}

// stop returns when no caller of this host and no entry host waits for a job.
func (s *Service) stop(ctx context.Context) error {
	s.await(ctx, successorTime, func(st Status) bool { return st.Jobs == 0 && st.Waiting == 0 })
	return ctx.Err()
}

// await returns when done has held for a time, or when ctx has ended.
func (s *Service) await(ctx context.Context, hold time.Duration, done func(Status) bool) {
	ticker := time.NewTicker(stopPoll)
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
		if held += stopPoll; held >= hold {
			return
		}
	}
}
