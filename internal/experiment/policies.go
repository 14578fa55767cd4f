package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"guavayoke/internal/backend"
)

// Policies holds the dispatch policies by name. Each function creates the policy of
// a simulation. Shared is a single queue with full knowledge. Random, TwoChoices and
// LeastOutstanding choose servers by what the host alone knows. Shares and Guavayoke use
// the dispatcher of the daemons, without and with loans of slots between hosts.
var Policies = map[string]func(*simulation) submitFunc{
	"Shared":           newSharedQueue,
	"Random":           func(sim *simulation) submitFunc { return newLocalPolicy(sim, chooseRandom) },
	"TwoChoices":       func(sim *simulation) submitFunc { return newLocalPolicy(sim, chooseTwo) },
	"LeastOutstanding": func(sim *simulation) submitFunc { return newLocalPolicy(sim, chooseLeast) },
	"Shares":           func(sim *simulation) submitFunc { return newDaemons(sim, true) },
	"Guavayoke":        func(sim *simulation) submitFunc { return newDaemons(sim, false) },
}

// sharedQueue is the baseline with full knowledge: one queue of tasks for the slots of
// all servers, which sees a free slot without a message.
type sharedQueue struct {
	sim   *simulation
	queue []*taskState
}

func newSharedQueue(sim *simulation) submitFunc { return (&sharedQueue{sim: sim}).submit }

func (s *sharedQueue) submit(t *taskState) {
	s.queue = append(s.queue, t)
	s.dispatch()
}

// dispatch starts queued tasks while there are free slots, preferably on servers in the
// failure domain of the entry host.
func (s *sharedQueue) dispatch() {
	for len(s.queue) > 0 {
		t := s.queue[0]
		domain := t.host % s.sim.cfg.Domains
		best := s.best(domain)
		if best == nil {
			return
		}
		s.queue = s.queue[1:]
		s.start(best, domain, t)
	}
}

// best returns the server with a free slot that runs the fewest tasks, servers of
// the domain first. It returns nil if all servers are full.
func (s *sharedQueue) best(domain int) *simServer {
	var best *simServer
	for _, f := range s.sim.servers {
		if f.busy >= s.sim.cfg.Slots {
			continue
		}
		if best == nil || (f.domain == domain) != (best.domain == domain) && f.domain == domain || (f.domain == domain) == (best.domain == domain) && f.busy < best.busy {
			best = f
		}
	}
	return best
}

// start runs a task on a server. At its end the queue sees the free slot immediately,
// without the latency of a message.
func (s *sharedQueue) start(f *simServer, domain int, t *taskState) {
	f.busy++
	latency := s.sim.latency(f.domain, domain)
	s.sim.schedule(latency+t.runTime, func() {
		f.busy--
		s.sim.schedule(latency, func() { s.sim.finish(t, false) })
		s.dispatch()
	})
}

// localPolicy is a baseline without communication between hosts: each host chooses
// servers by its own outstanding tasks only. A full server refuses the task, and the
// host retries after a random delay, every other time among the servers of all domains.
type localPolicy struct {
	sim           *simulation
	choose        func(r *rand.Rand, servers []*simServer, outstanding []int) *simServer
	rand          *rand.Rand
	outstanding   [][]int
	domainServers [][]*simServer
}

// maxRetryDelay is the upper bound of the random delay before a retry.
const maxRetryDelay = 10 * time.Millisecond

func newLocalPolicy(sim *simulation, choose func(*rand.Rand, []*simServer, []int) *simServer) submitFunc {
	p := &localPolicy{sim: sim, choose: choose, rand: rand.New(rand.NewPCG(sim.cfg.Seed, 11))}
	for range sim.cfg.Hosts {
		p.outstanding = append(p.outstanding, make([]int, len(sim.servers)))
	}
	p.domainServers = make([][]*simServer, sim.cfg.Domains)
	for _, s := range sim.servers {
		p.domainServers[s.domain] = append(p.domainServers[s.domain], s)
	}
	return p.submit
}

func (p *localPolicy) submit(t *taskState) { p.attempt(t, 0) }

func (p *localPolicy) attempt(t *taskState, attempts int) {
	domain := t.host % p.sim.cfg.Domains
	candidates := p.domainServers[domain]
	if attempts%2 == 1 {
		candidates = p.sim.servers
	}
	hostOutstanding := p.outstanding[t.host]
	s := p.choose(p.rand, candidates, hostOutstanding)
	hostOutstanding[s.index]++
	p.sim.runTask(s, domain, t.runTime, func(ok, failed bool) {
		hostOutstanding[s.index]--
		if ok {
			p.sim.finish(t, failed)
			return
		}
		p.sim.wasted += 2
		p.sim.control += 2
		if p.sim.now-t.at > p.sim.cfg.Deadline {
			p.sim.refuse(t)
			return
		}
		p.sim.schedule(time.Duration(p.rand.Int64N(int64(maxRetryDelay))), func() { p.attempt(t, attempts+1) })
	})
}

func chooseRandom(r *rand.Rand, servers []*simServer, _ []int) *simServer {
	return servers[r.IntN(len(servers))]
}

func chooseTwo(r *rand.Rand, servers []*simServer, outstanding []int) *simServer {
	a, b := servers[r.IntN(len(servers))], servers[r.IntN(len(servers))]
	if outstanding[b.index] < outstanding[a.index] {
		return b
	}
	return a
}

func chooseLeast(r *rand.Rand, servers []*simServer, outstanding []int) *simServer {
	start := r.IntN(len(servers))
	best := servers[start]
	for i := range servers {
		s := servers[(start+i)%len(servers)]
		if outstanding[s.index] < outstanding[best.index] {
			best = s
		}
	}
	return best
}

// daemons runs the dispatcher of the daemon on every host.
type daemons struct {
	sim      *simulation
	hosts    []*daemonHost
	byName   map[string]*simServer
	byHostID map[string]*daemonHost
}

// daemonHost is an entry host. tasks holds its tasks by the id that its dispatcher knows.
type daemonHost struct {
	id       string
	index    int
	domain   int
	dispatch *backend.Dispatcher
	tasks    map[uint64]*taskState
}

const (
	heartbeatInterval = time.Second
	serviceName       = "service"
)

func newDaemons(sim *simulation, disableLoans bool) submitFunc {
	d := &daemons{sim: sim, byName: map[string]*simServer{}, byHostID: map[string]*daemonHost{}}
	var servers []backend.Server
	for _, s := range sim.servers {
		name := fmt.Sprintf("server%d", s.index)
		d.byName[name] = s
		servers = append(servers, backend.Server{
			Name: name, Service: serviceName, FailureDomain: domainName(s.domain), Slots: sim.cfg.Slots,
		})
	}
	for i := range sim.cfg.Hosts {
		h := &daemonHost{id: fmt.Sprintf("host%d", i), index: i, domain: i % sim.cfg.Domains, tasks: map[uint64]*taskState{}}
		h.dispatch = backend.NewDispatcher(backend.DispatcherConfig{
			Self: h.id, Domain: domainName(h.domain),
			Rand: rand.New(rand.NewPCG(sim.cfg.Seed, uint64(i))), DisableLoans: disableLoans,
		})
		d.hosts = append(d.hosts, h)
		d.byHostID[h.id] = h
	}
	for _, h := range d.hosts {
		d.start(h, servers)
	}
	return d.submit
}

func domainName(i int) string { return fmt.Sprintf("domain%d", i) }

// start configures the dispatcher of a host and schedules its ticks and heartbeats. The
// hosts' first heartbeats are spread evenly over an interval.
func (d *daemons) start(h *daemonHost, servers []backend.Server) {
	var hosts []backend.Host
	for _, o := range d.hosts {
		hosts = append(hosts, backend.Host{ID: o.id, FailureDomain: domainName(o.domain), LatencySeconds: d.sim.latency(h.domain, o.domain).Seconds()})
	}
	now := d.sim.time()
	c := d.sim.cfg
	d.perform(h, h.dispatch.Configure(now, []backend.Policy{{
		Service: serviceName, PriorRunTime: c.DeclaredRunTime, MaxRunTime: maxRunTime,
		RetryBudget: 0.1, MaxAttempts: 4, BackoffMin: 5 * time.Millisecond, BackoffMax: 100 * time.Millisecond,
		MaxEjectedPercent: 20, ProbeInterval: time.Second, WastedMessageCost: c.WastedMessageCost,
	}}, c.weights()))
	d.perform(h, h.dispatch.SetHosts(now, hosts))
	d.perform(h, h.dispatch.SetServers(now, servers))
	d.tick(h)
	d.sim.schedule(time.Duration(h.index)*heartbeatInterval/time.Duration(len(d.hosts)), func() { d.heartbeat(h, 1) })
}

// weights returns the weights of the teams by name.
func (c Config) weights() map[string]float64 {
	byTeam := map[string]float64{}
	for _, t := range c.Teams {
		byTeam[t.Name] = t.Weight
	}
	return byTeam
}

// tick runs the periodic work of a host's dispatcher and schedules the next tick.
func (d *daemons) tick(h *daemonHost) {
	d.perform(h, h.dispatch.Tick(d.sim.time()))
	d.sim.schedule(backend.TickInterval, func() { d.tick(h) })
}

// heartbeat exchanges load reports with one peer, a different one each round.
func (d *daemons) heartbeat(h *daemonHost, round int) {
	peer := d.hosts[(h.index+round)%len(d.hosts)]
	if peer != h {
		loads := h.dispatch.Loads()
		d.sim.schedule(d.sim.latency(h.domain, peer.domain), func() {
			peer.dispatch.UpdatePeerLoads(d.sim.time(), h.id, loads)
			peerLoads := peer.dispatch.Loads()
			d.sim.schedule(d.sim.latency(h.domain, peer.domain), func() { h.dispatch.UpdatePeerLoads(d.sim.time(), peer.id, peerLoads) })
		})
	}
	d.sim.schedule(heartbeatInterval, func() { d.heartbeat(h, round+1) })
}

func (d *daemons) submit(t *taskState) {
	h := d.hosts[t.host]
	id := uint64(t.id) + 1
	h.tasks[id] = t
	actions, refusal := h.dispatch.Submit(d.sim.time(), []*backend.Task{{
		ID: id, Service: serviceName, Team: t.team, Deadline: d.sim.time().Add(d.sim.cfg.Deadline),
	}})
	if refusal != nil {
		d.sim.refuse(t)
		return
	}
	d.perform(h, actions)
}

// perform performs the actions that the dispatcher of a host returned.
func (d *daemons) perform(h *daemonHost, actions []backend.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			d.send(h, *a.Send)
		case a.Refuse != nil:
			d.sim.refuse(h.tasks[a.Refuse.TaskID])
		case a.LoanRequest != nil:
			request := *a.LoanRequest
			d.sim.control++
			d.sendToPeer(h, request.Peer, func(p *daemonHost) []backend.Action {
				request.Peer = h.id
				return p.dispatch.HandleLoanRequest(d.sim.time(), request)
			})
		case a.LoanGrant != nil:
			grant := *a.LoanGrant
			d.sim.control++
			if len(grant.Slots) == 0 {
				d.sim.wasted += 2
			}
			d.sendToPeer(h, grant.Peer, func(p *daemonHost) []backend.Action {
				grant.Peer = h.id
				return p.dispatch.HandleLoanGrant(d.sim.time(), grant)
			})
		case a.LoanReturn != nil:
			ret := *a.LoanReturn
			d.sim.control++
			d.sendToPeer(h, ret.Peer, func(p *daemonHost) []backend.Action {
				ret.Peer = h.id
				return p.dispatch.HandleLoanReturn(d.sim.time(), ret)
			})
		}
	}
}

// sendToPeer calls handle with the peer of the given id after the latency between the
// hosts, and performs the actions that it returns there.
func (d *daemons) sendToPeer(h *daemonHost, id string, handle func(*daemonHost) []backend.Action) {
	p := d.byHostID[id]
	d.sim.schedule(d.sim.latency(h.domain, p.domain), func() { d.perform(p, handle(p)) })
}

// send sends a task to a server and reports the outcome to the host's dispatcher.
func (d *daemons) send(h *daemonHost, s backend.Send) {
	t := h.tasks[s.TaskID]
	d.sim.runTask(d.byName[s.Server.Name], h.domain, t.runTime, func(ok, failed bool) {
		outcome := backend.OutcomeAnswered
		if !ok {
			outcome = backend.OutcomeBusy
			d.sim.wasted += 2
			d.sim.control += 2
		}
		if failed {
			outcome = backend.OutcomeLost
		}
		over, actions := h.dispatch.HandleOutcome(d.sim.time(), s.AttemptID, outcome)
		if over {
			d.sim.finish(t, failed)
		}
		d.perform(h, actions)
	})
}
