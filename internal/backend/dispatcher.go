// Package backend sends tasks to backend servers and decides where, when and
// whether a task is sent.
//
// The Dispatcher is the deciding part: a state machine without clock, input,
// output or goroutines. Service carries its actions out.
package backend

import (
	"math/rand/v2"
	"sort"
	"time"

	"guavayoke/pkg/verdict"
)

// ShareDelay is how long a host waits before it uses a slot that another host
// may have owned until a change of shares.
const ShareDelay = 3 * time.Second

const retryBurst = 10

// Policy is the part of a service's configuration that the dispatcher uses.
type Policy struct {
	Service           string
	MemoryMB          int
	PriorRun          time.Duration
	MaxRun            time.Duration
	RetryBudget       float64
	MaxAttempts       int
	BackoffMin        time.Duration
	BackoffMax        time.Duration
	MaxEjectedPercent int
	ProbeInterval     time.Duration
	// WastedMessage is the response time that a wasted message is worth.
	WastedMessage time.Duration
}

// DispatcherConfig builds a Dispatcher.
type DispatcherConfig struct {
	// Self is this host's incarnation, Domain its failure domain.
	Self, Domain string
	// Rand spreads backoff and retry times.
	Rand *rand.Rand
	// NoLending turns loans off, for comparison.
	NoLending bool
}

// Dispatcher decides for one entry host. It is not safe for concurrent use.
type Dispatcher struct {
	cfg     DispatcherConfig
	pools   map[string]*pool
	order   []string
	servers []Server
	hosts   []Host
	peers   map[string]*lendingPeer
	weights map[string]float64
	running map[uint64]*attempt
	nextID  uint64
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
	ReasonNoService Reason = "NoService"
	ReasonTooLarge  Reason = "TooLarge"
	ReasonNoServer  Reason = "NoServer"
	ReasonDeadline  Reason = "Deadline"
	ReasonOverload  Reason = "Overload"
	ReasonRetries   Reason = "RetriesUsedUp"
)

// Action is what the service has to carry out: exactly one field is set.
type Action struct {
	Send   *Send
	Refuse *Refuse
	Ask    *Ask
	Grant  *Grant
	Return *Return
	Leave  *Leave
}

// Send asks for a task to be sent to a server. Attempt identifies the send.
type Send struct {
	Task    uint64
	Attempt uint64
	Server  Server
}

// Refuse ends a task that was not run. RetryAfter is when to come back.
type Refuse struct {
	Task       uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Leave tells the peers that a server takes no new work.
type Leave struct{ Server string }

// Refusal is the answer to an offer that is not accepted. No task of the offer
// has been or will be run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

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

// Configure puts policies and team weights in force. Tasks of a service that
// has gone are refused; what is running ends normally.
func (d *Dispatcher) Configure(now time.Time, policies []Policy, weights map[string]float64) []Action {
	d.weights = weights
	var actions []Action
	keep := map[string]bool{}
	for _, p := range policies {
		keep[p.Service] = true
		if old := d.pools[p.Service]; old != nil {
			old.policy = p
			continue
		}
		d.pools[p.Service] = newPool(p)
	}
	for _, name := range d.order {
		if !keep[name] {
			dropped := d.pools[name].queue.expire(func(*Task) bool { return true })
			actions = append(actions, refuseAll(dropped, ReasonNoService, 0)...)
			delete(d.pools, name)
		}
	}
	d.order = d.order[:0]
	for name := range d.pools {
		d.order = append(d.order, name)
	}
	sort.Strings(d.order)
	return append(actions, d.reshare(now)...)
}

// SetServers replaces the list of backend servers.
func (d *Dispatcher) SetServers(now time.Time, servers []Server) []Action {
	d.servers = servers
	return d.reshare(now)
}

// SetHosts replaces the list of live entry hosts, this one included.
func (d *Dispatcher) SetHosts(now time.Time, hosts []Host) []Action {
	d.hosts = hosts
	actions := d.reshare(now)
	live := map[string]bool{}
	for _, h := range hosts {
		live[h.ID] = true
		if h.ID != d.cfg.Self {
			d.peer(h.ID).update(h, d.cfg.Domain)
		}
	}
	for _, id := range append([]string(nil), d.peerOrder...) {
		if !live[id] {
			actions = append(actions, d.peerGone(now, id)...)
		}
	}
	return actions
}

// reshare recomputes the own slots. A slot lost is given up at once, a slot
// gained is used after ShareDelay, when its former owner has given it up.
func (d *Dispatcher) reshare(now time.Time) []Action {
	known := map[string]bool{}
	for _, s := range d.servers {
		known[s.Name] = true
		if p := d.pools[s.Service]; p != nil {
			p.setServer(s)
		}
	}
	from := now.Add(ShareDelay)
	owned := map[string]map[SlotRef]bool{}
	for _, name := range d.order {
		owned[name] = map[SlotRef]bool{}
	}
	byName := d.serviceOf()
	for _, ref := range Shares(d.cfg.Self, d.servers, d.hosts) {
		service := byName[ref.Server]
		if p := d.pools[service]; p != nil {
			owned[service][ref] = true
			if p.own[ref] == nil {
				p.add(ref, p.servers[ref.Server], from)
			}
		}
	}
	var actions []Action
	for _, name := range d.order {
		p := d.pools[name]
		p.dropLost(owned[name])
		p.dropServers(known)
		p.activate(now)
		p.count()
		actions = append(actions, d.dispatch(now, p)...)
	}
	return actions
}

func (d *Dispatcher) serviceOf() map[string]string {
	m := make(map[string]string, len(d.servers))
	for _, s := range d.servers {
		m[s.Name] = s.Service
	}
	return m
}

// setServer takes over what the list says of a server.
func (p *pool) setServer(s Server) {
	known := p.servers[s.Name]
	if known == nil {
		p.servers[s.Name] = &server{Server: s}
		return
	}
	// A server that said itself that it is leaving stays so: the list lags.
	s.Leaving = s.Leaving || known.Leaving && s.Address == known.Address
	wasLeaving := known.Leaving
	known.Server = s
	if s.Leaving && !wasLeaving {
		p.setAside(known)
	}
}

// dropLost gives up the own slots that are not in owned.
func (p *pool) dropLost(owned map[SlotRef]bool) {
	for _, ref := range p.sortedOwn() {
		if !owned[ref] {
			p.drop(p.own[ref])
		}
	}
}

func (p *pool) drop(sl *slot) {
	delete(p.own, sl.ref)
	if sl.state == slotBusy || sl.state == slotLent {
		sl.state = slotGone
		return
	}
	p.forget(sl)
}

// dropServers forgets servers that are not listed and have no slot in use.
func (p *pool) dropServers(known map[string]bool) {
	for name, s := range p.servers {
		if known[name] || len(s.slots) > 0 {
			continue
		}
		if s.health.ejected {
			p.ejected--
		}
		delete(p.servers, name)
	}
}

// Offer hands in the tasks of one request or job: all are accepted or none.
func (d *Dispatcher) Offer(now time.Time, tasks []*Task) ([]Action, *Refusal) {
	if len(tasks) == 0 {
		return nil, nil
	}
	p := d.pools[tasks[0].Service]
	if p == nil {
		return nil, &Refusal{Reason: ReasonNoService}
	}
	for _, t := range tasks {
		if p.policy.MemoryMB > 0 && t.MemoryMB > p.policy.MemoryMB {
			return nil, &Refusal{Reason: ReasonTooLarge}
		}
	}
	if r := d.admit(now, p, tasks); r != nil {
		return nil, r
	}
	for _, t := range tasks {
		p.queue.push(now, t, d.weight(t.Team))
	}
	return d.dispatch(now, p), nil
}

// admit refuses what can't be done in time (admission by deadline).
func (d *Dispatcher) admit(now time.Time, p *pool, tasks []*Task) *Refusal {
	if p.usable == 0 && len(p.servers) == 0 {
		return &Refusal{ReasonNoServer, time.Second}
	}
	last := tasks[len(tasks)-1]
	free := p.idleCount()
	if p.queue.length == 0 && free >= len(tasks) {
		return nil
	}
	drain := float64(max(p.usable, 1)) / p.runs.mean.Seconds()
	n := float64(max(1, len(tasks)-free))
	wait := p.queue.wait(now, last.Team, d.weight(last.Team), drain, n)
	run := p.runs.mean
	if wait > p.runs.mean {
		// Behind a queue it is not worth taking what will likely end late.
		run = p.runs.high
	}
	late := wait + run - last.Deadline.Sub(now)
	if late <= 0 {
		return nil
	}
	return &Refusal{ReasonOverload, d.spread(late + p.runs.mean/4)}
}

// drainTime is the expected time until n waiting tasks have been sent.
func (p *pool) drainTime(n float64) time.Duration {
	if p.usable == 0 {
		return p.policy.MaxRun
	}
	return time.Duration(n / float64(p.usable) * float64(p.runs.mean))
}

// spread adds up to a quarter, so that refused callers do not return at once.
func (d *Dispatcher) spread(t time.Duration) time.Duration {
	t = max(t, 10*time.Millisecond)
	return t + time.Duration(d.cfg.Rand.Int64N(int64(t)/4+1))
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
		sl := p.probe(now)
		if sl == nil {
			sl = p.take(now)
		}
		if sl == nil {
			break
		}
		t := p.queue.pop(now)
		if t == nil {
			p.release(sl)
			break
		}
		if p.hopeless(now, t) {
			p.release(sl)
			actions = append(actions, Action{Refuse: &Refuse{t.ID, ReasonDeadline, d.spread(p.runs.mean)}})
			continue
		}
		actions = append(actions, d.send(now, p, sl, t))
	}
	actions = append(actions, d.returnIdle(now, p)...)
	actions = append(actions, d.answerHeld(now, p)...)
	return append(actions, d.askPeers(now, p)...)
}

// hopeless reports whether a task would likely end late while others wait that
// would not. Running it would only take their time.
func (p *pool) hopeless(now time.Time, t *Task) bool {
	left := t.Deadline.Sub(now)
	if p.queue.length == 0 {
		return left <= p.runs.mean/2
	}
	return left < p.runs.high && t.attempts == 0 && p.queue.length > p.usable
}

func (d *Dispatcher) send(now time.Time, p *pool, sl *slot, t *Task) Action {
	d.nextID++
	sl.state = slotBusy
	t.attempts++
	if t.attempts == 1 {
		p.retries = min(retryBurst, p.retries+p.policy.RetryBudget)
	}
	d.running[d.nextID] = &attempt{task: t, slot: sl, sentAt: now, pool: p}
	return Action{Send: &Send{t.ID, d.nextID, sl.server.Server}}
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
	// OutcomeUnreached means that no byte of the task was written.
	OutcomeUnreached
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

// Done delivers how a send ended. It reports whether the task is over; if not,
// the dispatcher sends it again or refuses it with an action.
func (d *Dispatcher) Done(now time.Time, id uint64, o Outcome) (bool, []Action) {
	a := d.running[id]
	if a == nil {
		return false, nil
	}
	delete(d.running, id)
	p, s := a.pool, a.slot.server
	var actions []Action
	switch o {
	case OutcomeAnswered:
		p.runs.add(now, now.Sub(a.sentAt))
	case OutcomeLeaving:
		actions = d.leave(p, s)
	}
	if o != OutcomeLeaving && o != OutcomeBusy {
		p.observe(now, s, o != OutcomeAnswered, now.Sub(a.sentAt))
	}
	if o == OutcomeBusy {
		s.health.probing = false
	}
	p.release(a.slot)
	over := true
	if o.Verdict() == verdict.NotRun || o == OutcomeLost && a.task.Idempotent {
		again, more := d.retry(now, p, a.task, o)
		over = !again && o == OutcomeLost
		actions = append(actions, more...)
	}
	return over, append(actions, d.dispatch(now, p)...)
}

// retry puts a task back into the queue if attempts and budget allow.
func (d *Dispatcher) retry(now time.Time, p *pool, t *Task, o Outcome) (bool, []Action) {
	if t.attempts >= p.policy.MaxAttempts || p.retries < 1 || !now.Before(t.Deadline) {
		if o == OutcomeLost {
			return false, nil
		}
		return false, []Action{{Refuse: &Refuse{t.ID, ReasonRetries, d.spread(p.runs.mean)}}}
	}
	p.retries--
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

// Leaving delivers the news that a server takes no new work.
func (d *Dispatcher) Leaving(now time.Time, name string) []Action {
	for _, service := range d.order {
		p := d.pools[service]
		if s := p.servers[name]; s != nil && !s.Leaving {
			actions := d.leave(p, s)
			return append(actions, d.dispatch(now, p)...)
		}
	}
	return nil
}

func (d *Dispatcher) leave(p *pool, s *server) []Action {
	if s.Leaving {
		return nil
	}
	s.Leaving = true
	p.setAside(s)
	return []Action{{Leave: &Leave{s.Name}}}
}

// Cancel drops waiting tasks without a message. It returns the tasks that were
// dropped; the others are running or over.
func (d *Dispatcher) Cancel(service string, ids map[uint64]bool) []uint64 {
	p := d.pools[service]
	if p == nil {
		return nil
	}
	var dropped []uint64
	for _, t := range p.queue.expire(func(t *Task) bool { return ids[t.ID] }) {
		dropped = append(dropped, t.ID)
	}
	return dropped
}

// Tick refuses waiting tasks that can't be done in time any more, turns on
// slots and takes back loans. Call it every TickInterval.
func (d *Dispatcher) Tick(now time.Time) []Action {
	var actions []Action
	for _, name := range d.order {
		p := d.pools[name]
		p.activate(now)
		p.takeBack(now)
		if p.queue.length > 0 && p.queue.earliest.Sub(now) <= p.runs.mean {
			late := p.queue.expire(func(t *Task) bool { return t.Deadline.Sub(now) <= p.runs.mean/2 })
			actions = append(actions, refuseAll(late, ReasonDeadline, d.spread(p.drainTime(float64(p.queue.length))))...)
		}
		actions = append(actions, d.dispatch(now, p)...)
	}
	return append(actions, d.expireAsks(now)...)
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
	loads := make([]Load, 0, len(d.order))
	for _, name := range d.order {
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

// OwnSlots returns how many slots of a server this host owns.
func (d *Dispatcher) OwnSlots(service, name string) int {
	p := d.pools[service]
	if p == nil || p.servers[name] == nil {
		return 0
	}
	n := 0
	for _, sl := range p.servers[name].slots {
		if sl.lender == "" && sl.state != slotGone {
			n++
		}
	}
	return n
}

// MaxRun returns the longest run time of a service.
func (d *Dispatcher) MaxRun(service string) time.Duration {
	if p := d.pools[service]; p != nil {
		return p.policy.MaxRun
	}
	return time.Minute
}
