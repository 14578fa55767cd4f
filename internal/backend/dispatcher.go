// Package backend sends tasks to backend servers and decides where, when and
// whether a task is sent.
//
// The Dispatcher is the deciding part: a state machine without clock, input,
// output or goroutines. Service carries its actions out.
package backend

import (
	"math/rand/v2"
	"time"

	"guavayoke/pkg/verdict"
)

const retryBurst = 10

// Policy is the part of a service's configuration that the dispatcher uses.
type Policy struct {
	Service           string
	MemoryMB          int
	PriorRunTime      time.Duration
	MaxRunTime        time.Duration
	RetryBudget       float64
	MaxAttempts       int
	BackoffMin        time.Duration
	BackoffMax        time.Duration
	MaxEjectedPercent int
	ProbeInterval     time.Duration
	// WastedMessageCost is the response time that a wasted message is worth.
	WastedMessageCost time.Duration
}

// DispatcherConfig builds a Dispatcher.
type DispatcherConfig struct {
	// Self is this host's incarnation, Domain its failure domain.
	Self, Domain string
	// Rand spreads backoff and retry times.
	Rand *rand.Rand
	// DisableLoans turns loans off, for comparison.
	DisableLoans bool
}

// Dispatcher decides for one entry host. It is not safe for concurrent use.
type Dispatcher struct {
	cfg          DispatcherConfig
	pools        map[string]*pool
	serviceNames []string
	servers      []Server
	hosts        []Host
	peers        map[string]*lendingPeer
	weights      map[string]float64
	running      map[uint64]*attempt
	lastID       uint64
	// peerOrder holds the peers' ids, sorted.
	peerOrder []string
}

// attempt is a task that has been sent.
type attempt struct {
	task   *Task
	slot   *slot
	sentAt time.Time
	pool   *pool
}

// Reason says why a task was refused or failed.
type Reason string

// Reasons of refusals. Each of them means that the task was not run.
const (
	ReasonNoService        Reason = "NoService"
	ReasonTooLarge         Reason = "TooLarge"
	ReasonNoServer         Reason = "NoServer"
	ReasonDeadline         Reason = "Deadline"
	ReasonOverload         Reason = "Overload"
	ReasonRetriesExhausted Reason = "RetriesUsedUp"
)

// Action is what the service has to carry out: exactly one field is set.
type Action struct {
	Send        *Send
	Refuse      *Refuse
	LoanRequest *LoanRequest
	LoanGrant   *LoanGrant
	LoanReturn  *LoanReturn
	LeaveNotice *LeaveNotice
}

// Send asks for a task to be sent to a server. Attempt identifies the send.
type Send struct {
	TaskID    uint64
	AttemptID uint64
	Server    Server
}

// Refuse ends a task that was not run. RetryAfter is when to come back.
type Refuse struct {
	TaskID     uint64
	Reason     Reason
	RetryAfter time.Duration
}

// LeaveNotice tells the peers that a server takes no new work.
type LeaveNotice struct{ Server string }

// NewDispatcher returns a Dispatcher without services.
func NewDispatcher(c DispatcherConfig) *Dispatcher {
	return &Dispatcher{
		cfg:     c,
		pools:   map[string]*pool{},
		peers:   map[string]*lendingPeer{},
		weights: map[string]float64{},
		running: map[uint64]*attempt{},
	}
}

func (d *Dispatcher) weight(team string) float64 {
	if w := d.weights[team]; w > 0 {
		return w
	}
	return 1
}

// dispatch sends waiting tasks while there are idle slots, then asks peers.
func (d *Dispatcher) dispatch(now time.Time, p *pool) []Action {
	var actions []Action
	for p.queue.length > 0 {
		sl := p.probeSlot(now)
		if sl == nil {
			sl = p.takeIdle(now)
		}
		if sl == nil {
			break
		}
		t := p.queue.pop(now)
		if t == nil {
			p.release(sl)
			break
		}
		if p.likelyLate(now, t) {
			p.release(sl)
			actions = append(actions, Action{Refuse: &Refuse{t.ID, ReasonDeadline, d.jitter(p.runTimes.mean)}})
			continue
		}
		actions = append(actions, d.send(now, p, sl, t))
	}
	actions = append(actions, d.returnUnused(now, p)...)
	actions = append(actions, d.answerWaitingRequests(now, p)...)
	return append(actions, d.requestLoans(now, p)...)
}

func (d *Dispatcher) send(now time.Time, p *pool, sl *slot, t *Task) Action {
	d.lastID++
	sl.state = slotBusy
	t.attempts++
	if t.attempts == 1 {
		p.retryTokens = min(retryBurst, p.retryTokens+p.policy.RetryBudget)
	}
	d.running[d.lastID] = &attempt{task: t, slot: sl, sentAt: now, pool: p}
	return Action{Send: &Send{t.ID, d.lastID, sl.server.Server}}
}

// Outcome is how a send ended.
type Outcome uint8

const (
	// OutcomeAnswered means that the server ran the task and answered.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that the server answered that the task failed.
	OutcomeFailed
	// OutcomeLost means that no whole answer came.
	OutcomeLost
	// OutcomeNotSent means that no byte of the task was written.
	OutcomeNotSent
	// OutcomeBusy means that the server refused the task because it was full.
	OutcomeBusy
	// OutcomeLeaving means that the server refused the task as it is leaving.
	OutcomeLeaving
)

// Verdict returns what the outcome says about the execution of the task.
func (o Outcome) Verdict() verdict.Verdict {
	switch o {
	case OutcomeAnswered, OutcomeFailed:
		return verdict.Ran
	case OutcomeLost:
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// HandleOutcome delivers how a send ended. It reports whether the task is over; if not,
// the dispatcher sends it again or refuses it with an action.
func (d *Dispatcher) HandleOutcome(now time.Time, id uint64, o Outcome) (bool, []Action) {
	a := d.running[id]
	if a == nil {
		return false, nil
	}
	delete(d.running, id)
	p, s := a.pool, a.slot.server
	var actions []Action
	switch o {
	case OutcomeAnswered:
		p.runTimes.add(now, now.Sub(a.sentAt))
	case OutcomeLeaving:
		actions = d.markLeaving(p, s)
	}
	if o != OutcomeLeaving && o != OutcomeBusy {
		p.recordResult(now, s, o != OutcomeAnswered, now.Sub(a.sentAt))
	}
	if o == OutcomeBusy {
		s.health.probing = false
	}
	p.release(a.slot)
	over := true
	if o.Verdict() == verdict.NotRun || o == OutcomeLost && a.task.Idempotent {
		retried, more := d.retry(now, p, a.task, o)
		over = !retried && o == OutcomeLost
		actions = append(actions, more...)
	}
	return over, append(actions, d.dispatch(now, p)...)
}

// retry puts a task back into the queue if attempts and budget allow.
func (d *Dispatcher) retry(now time.Time, p *pool, t *Task, o Outcome) (bool, []Action) {
	if t.attempts >= p.policy.MaxAttempts || p.retryTokens < 1 || !now.Before(t.Deadline) {
		if o == OutcomeLost {
			return false, nil
		}
		return false, []Action{{Refuse: &Refuse{t.ID, ReasonRetriesExhausted, d.jitter(p.runTimes.mean)}}}
	}
	p.retryTokens--
	t.notBefore = now.Add(d.backoff(p.policy, t.attempts))
	p.queue.pushFront(now, t, d.weight(t.Team))
	return true, nil
}

// backoff doubles with each attempt and is spread over its upper half.
func (d *Dispatcher) backoff(p Policy, attempts int) time.Duration {
	b := min(p.BackoffMin<<min(attempts-1, 16), p.BackoffMax)
	if b <= 1 {
		return b
	}
	return b/2 + time.Duration(d.cfg.Rand.Int64N(int64(b/2)+1))
}

// ServerLeaving delivers the news that a server takes no new work.
func (d *Dispatcher) ServerLeaving(now time.Time, name string) []Action {
	for _, service := range d.serviceNames {
		p := d.pools[service]
		if s := p.servers[name]; s != nil && !s.Leaving {
			actions := d.markLeaving(p, s)
			return append(actions, d.dispatch(now, p)...)
		}
	}
	return nil
}

func (d *Dispatcher) markLeaving(p *pool, s *server) []Action {
	if s.Leaving {
		return nil
	}
	s.Leaving = true
	p.deactivate(s)
	return []Action{{LeaveNotice: &LeaveNotice{s.Name}}}
}

// Tick refuses waiting tasks that can't be done in time any more, turns on
// slots and takes back loans. Call it every TickInterval.
func (d *Dispatcher) Tick(now time.Time) []Action {
	var actions []Action
	for _, name := range d.serviceNames {
		p := d.pools[name]
		p.activateDue(now)
		p.endExpiredLoans(now)
		if p.queue.length > 0 && p.queue.earliestDeadline.Sub(now) <= p.runTimes.mean {
			late := p.queue.removeIf(func(t *Task) bool { return t.Deadline.Sub(now) <= p.runTimes.mean/2 })
			actions = append(actions, refuseAll(late, ReasonDeadline, d.jitter(p.drainTime(float64(p.queue.length))))...)
		}
		actions = append(actions, d.dispatch(now, p)...)
	}
	return append(actions, d.expireRequests(now)...)
}

// TickInterval is the time between two calls of Tick.
const TickInterval = 20 * time.Millisecond

func refuseAll(tasks []*Task, r Reason, after time.Duration) []Action {
	actions := make([]Action, 0, len(tasks))
	for _, t := range tasks {
		actions = append(actions, Action{Refuse: &Refuse{t.ID, r, after}})
	}
	return actions
}

// Load is the state of a service on a host, as heartbeats carry it.
type Load struct {
	Service string
	Idle    int
	Queued  int
}

// Loads returns the state of every service, in a fixed order.
func (d *Dispatcher) Loads() []Load {
	loads := make([]Load, 0, len(d.serviceNames))
	for _, name := range d.serviceNames {
		p := d.pools[name]
		loads = append(loads, Load{name, p.idleCount(), p.queue.length})
	}
	return loads
}

// InFlight returns the number of tasks that are waiting or running.
func (d *Dispatcher) InFlight() int {
	n := len(d.running)
	for _, p := range d.pools {
		n += p.queue.length
	}
	return n
}

// MaxRunTime returns the longest run time of a service.
func (d *Dispatcher) MaxRunTime(service string) time.Duration {
	if p := d.pools[service]; p != nil {
		return p.policy.MaxRunTime
	}
	return time.Minute
}
