// Package backend sends tasks to backend servers and decides where, when and whether
// a task is sent.
//
// Each entry host, which is a host that callers are connected to, owns some of the
// slots of the backend servers (share.go) and can borrow others from its peers, the
// other entry hosts (loan.go). A slot is the right to run one task at a time on a
// server.
//
// The Dispatcher makes the decisions. It is a state machine without a clock, I/O or
// goroutines. The type Service carries out the actions that it returns. Other uses of
// the word service mean a service of the configuration, which backend servers provide.
package backend

import (
	"math/rand/v2"
	"time"

	"guavayoke/pkg/verdict"
)

// retryBurst is the largest number of retry tokens that a service accumulates, and
// the number that it starts with. A retry uses one token, and each new task adds
// Policy.RetryBudget tokens. So up to retryBurst retries can follow each other without
// a new task, whatever RetryBudget is.
const retryBurst = 10

// Policy is the part of a service's configuration that the dispatcher uses.
// RetryBudget is the number of retries allowed for each new task, usually below 1.
// PriorRunTime is the assumed run time until enough tasks have ended. A send without
// an answer after MaxRunTime counts as failed.
type Policy struct {
	Service string
	// MemoryMB is the size of the largest task that a server can hold; 0 turns the
	// check off.
	MemoryMB     int
	PriorRunTime time.Duration
	MaxRunTime   time.Duration
	RetryBudget  float64
	MaxAttempts  int
	BackoffMin   time.Duration
	BackoffMax   time.Duration
	// MaxEjectedPercent limits how many of the service's servers are ejected as
	// outliers. An ejected server gets one probe task after ProbeInterval (eject.go).
	MaxEjectedPercent int
	ProbeInterval     time.Duration
	// WastedMessageCost is the increase of the response time that is considered as
	// bad as one wasted message, which is a loan request that a peer refuses.
	WastedMessageCost time.Duration
}

// DispatcherConfig holds the parameters of NewDispatcher.
type DispatcherConfig struct {
	// Self is this host's incarnation, Domain its failure domain.
	Self, Domain string
	// Rand adds jitter to backoff and retry times.
	Rand *rand.Rand
	// DisableLoans turns slot loans off, for comparison in experiments.
	DisableLoans bool
}

// Dispatcher decides for one entry host where, when and whether tasks are sent. It
// is not safe for concurrent use.
type Dispatcher struct {
	cfg DispatcherConfig
	// pools holds the slots, the queue and the statistics of each service.
	pools map[string]*pool
	// serviceNames holds the keys of pools, sorted.
	serviceNames []string
	servers      []Server
	// hosts are the entry hosts, including this one, between which the slots are
	// divided. peers are the other ones by incarnation, as lenders of slots.
	hosts []Host
	peers map[string]*lendingPeer
	// weights are the weights of the teams in the fair queue of each pool.
	weights map[string]float64
	// running holds the sends without an outcome by attempt ID.
	running map[uint64]*attempt
	// lastID is the last ID given to an attempt, a loan request or a loan. The kinds
	// share it for no further reason: IDs need to be unique only within their kind.
	lastID uint64
	// peerOrder holds the keys of peers, sorted.
	peerOrder []string
}

// attempt is one send of a task that has not ended.
type attempt struct {
	task   *Task
	slot   *slot
	sentAt time.Time
	pool   *pool
}

// Reason tells why a task was refused or failed.
type Reason string

// Reasons of refusals. With each of them the task was not run.
const (
	// ReasonNoService means that the configuration has no such service.
	ReasonNoService Reason = "NoService"
	// ReasonTooLarge means that the task is larger than Policy.MemoryMB.
	ReasonTooLarge Reason = "TooLarge"
	// ReasonNoServer means that the service has no server.
	ReasonNoServer Reason = "NoServer"
	// ReasonDeadline means that a waiting task can no longer meet its deadline.
	ReasonDeadline Reason = "Deadline"
	// ReasonOverload means that a new task was not accepted, because the wait would
	// be too long.
	ReasonOverload Reason = "Overload"
	// ReasonRetriesExhausted means that the last attempt did not run the task and that
	// no further one is allowed.
	ReasonRetriesExhausted Reason = "RetriesUsedUp"
)

// Action is a step that the Service carries out. Exactly one field is set.
type Action struct {
	Send        *Send
	Refuse      *Refuse
	LoanRequest *LoanRequest
	LoanGrant   *LoanGrant
	LoanReturn  *LoanReturn
	LeaveNotice *LeaveNotice
}

// Send sends a task to a server. AttemptID identifies the send in HandleOutcome.
type Send struct {
	TaskID    uint64
	AttemptID uint64
	Server    Server
}

// Refuse ends a task that was not run. RetryAfter is how long the caller should wait
// before a retry.
type Refuse struct {
	TaskID     uint64
	Reason     Reason
	RetryAfter time.Duration
}

// LeaveNotice tells the peers that a backend server accepts no new tasks.
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

// weight returns the weight of a team, which is 1 if none is set.
func (d *Dispatcher) weight(team string) float64 {
	if w := d.weights[team]; w > 0 {
		return w
	}
	return 1
}

// dispatch sends waiting tasks while slots are idle or a probe of an ejected server
// is due. Then it returns borrowed slots that are not needed, answers the loan
// requests of peers that wait for an idle slot, and requests loans from peers.
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
			// All waiting tasks are delayed by the backoff of a retry.
			p.release(sl)
			break
		}
		if p.likelyLate(now, t) {
			p.release(sl)
			// A slot was free for the task, so its retry time is the mean run time and
			// leaves out the queue. Tick refuses tasks that are still queued, and uses
			// drainTime.
			actions = append(actions, Action{Refuse: &Refuse{t.ID, ReasonDeadline, d.jitter(p.runTimes.mean)}})
			continue
		}
		actions = append(actions, d.send(now, p, sl, t))
	}
	actions = append(actions, d.returnUnused(now, p)...)
	actions = append(actions, d.answerWaitingRequests(now, p)...)
	return append(actions, d.requestLoans(now, p)...)
}

// send starts an attempt on a slot. The first attempt of a task adds to the retry
// budget.
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
	// OutcomeFailed means that the server ran the task and answered that it failed.
	OutcomeFailed
	// OutcomeLost means that the task was sent, but no complete answer arrived.
	OutcomeLost
	// OutcomeNotSent means that no byte of the task was written.
	OutcomeNotSent
	// OutcomeBusy means that the server refused the task because it was full.
	OutcomeBusy
	// OutcomeLeaving means that the server refused the task because it is leaving.
	OutcomeLeaving
)

// Verdict returns what the outcome says about whether the task ran.
func (o Outcome) Verdict() verdict.Verdict {
	switch o {
	case OutcomeAnswered, OutcomeFailed:
		return verdict.Ran
	case OutcomeLost:
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// HandleOutcome handles the end of the send with an attempt ID. It reports whether
// the outcome is the final answer of the task. If not, the dispatcher sends the task
// again or ends it with a Refuse action. An unknown ID has no effect.
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
	// A server that is leaving or busy may be healthy, so these outcomes do not count
	// as failures.
	if o != OutcomeLeaving && o != OutcomeBusy {
		p.recordResult(now, s, o != OutcomeAnswered, now.Sub(a.sentAt))
	}
	if o == OutcomeBusy {
		s.health.probing = false // The probe, if it was one, has to be repeated.
	}
	p.release(a.slot)
	over := true
	if o.Verdict() == verdict.NotRun || o == OutcomeLost && a.task.Idempotent {
		retried, more := d.retry(now, p, a.task, o)
		// A task that did not run and is not retried ends with a Refuse action.
		over = !retried && o == OutcomeLost
		actions = append(actions, more...)
	}
	return over, append(actions, d.dispatch(now, p)...)
}

// retry puts a task back into the queue if the number of attempts, the retry budget
// and the deadline allow it, and reports whether it did. Otherwise it refuses the
// task, unless the answer was lost: then the task may have run.
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

// backoff returns the delay before the next attempt. It doubles with each attempt up
// to BackoffMax, and its upper half is random.
func (d *Dispatcher) backoff(p Policy, attempts int) time.Duration {
	// The limit of 16 keeps the shift from overflowing.
	b := min(p.BackoffMin<<min(attempts-1, 16), p.BackoffMax)
	if b <= 1 {
		return b
	}
	return b/2 + time.Duration(d.cfg.Rand.Int64N(int64(b/2)+1))
}

// ServerLeaving handles the notice that a server accepts no new tasks.
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

// markLeaving stops new tasks on a server and returns the notice to the peers. It
// does nothing if the server was already marked.
func (d *Dispatcher) markLeaving(p *pool, s *server) []Action {
	if s.Leaving {
		return nil
	}
	s.Leaving = true
	p.deactivate(s)
	return []Action{{LeaveNotice: &LeaveNotice{s.Name}}}
}

// Tick refuses waiting tasks that can no longer meet their deadline, activates the
// slots that this host has gained in a change of shares, ends expired loans and
// expires loan requests. Call it every TickInterval; while no task is in flight, it
// may be called less often.
func (d *Dispatcher) Tick(now time.Time) []Action {
	var actions []Action
	for _, name := range d.serviceNames {
		p := d.pools[name]
		p.activateDue(now)
		p.endExpiredLoans(now)
		// earliestDeadline is a lower bound, so most ticks need not look at each task.
		if p.queue.length > 0 && p.queue.earliestDeadline.Sub(now) <= p.runTimes.mean {
			// Half the mean, as in likelyLate.
			late := p.queue.removeIf(func(t *Task) bool { return t.Deadline.Sub(now) <= p.runTimes.mean/2 })
			actions = append(actions, refuseAll(late, ReasonDeadline, d.jitter(p.drainTime(float64(p.queue.length))))...)
		}
		actions = append(actions, d.dispatch(now, p)...)
	}
	return append(actions, d.expireRequests(now)...)
}

// TickInterval is the time between two calls of Tick while tasks are in flight.
const TickInterval = 20 * time.Millisecond

// refuseAll returns one Refuse action for each task.
func refuseAll(tasks []*Task, r Reason, after time.Duration) []Action {
	actions := make([]Action, 0, len(tasks))
	for _, t := range tasks {
		actions = append(actions, Action{Refuse: &Refuse{t.ID, r, after}})
	}
	return actions
}

// Load is the load of a service on a host, as heartbeats carry it: the number of
// idle slots and of waiting tasks.
type Load struct {
	Service string
	Idle    int
	Queued  int
}

// Loads returns the load of every service, sorted by service.
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

// MaxRunTime returns the longest run time of a service, which bounds the wait for the
// answer to a send. For a service that the configuration does not contain it returns
// a minute, which bounds retries of tasks whose service was removed while they ran.
func (d *Dispatcher) MaxRunTime(service string) time.Duration {
	if p := d.pools[service]; p != nil {
		return p.policy.MaxRunTime
	}
	return time.Minute
}
