package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"guavayoke/internal/backend"
)

// Policies are the ways of dispatching by name.
var Policies = map[string]func(*world) dispatcher{
	"Shared":           newShared,
	"Random":           func(w *world) dispatcher { return newBlind(w, chooseRandom) },
	"TwoChoices":       func(w *world) dispatcher { return newBlind(w, chooseTwo) },
	"LeastOutstanding": func(w *world) dispatcher { return newBlind(w, chooseLeast) },
	"Shares":           func(w *world) dispatcher { return newDaemons(w, true) },
	"Guavayoke":        func(w *world) dispatcher { return newDaemons(w, false) },
}

// shared is the baseline with full knowledge: one queue for all slots.
type shared struct {
	w     *world
	queue []*taskState
}

func newShared(w *world) dispatcher { return &shared{w: w} }

func (s *shared) offer(t *taskState) {
	s.queue = append(s.queue, t)
	s.run()
}

// run sends waiting tasks to idle servers, the own failure domain first.
func (s *shared) run() {
	for len(s.queue) > 0 {
		t := s.queue[0]
		domain := t.host % s.w.cfg.Domains
		best := s.best(domain)
		if best == nil {
			return
		}
		s.queue = s.queue[1:]
		s.serve(best, domain, t)
	}
}

func (s *shared) best(domain int) *fakeServer {
	var best *fakeServer
	for _, f := range s.w.servers {
		if f.busy >= s.w.cfg.Slots {
			continue
		}
		if best == nil || (f.domain == domain) != (best.domain == domain) && f.domain == domain || (f.domain == domain) == (best.domain == domain) && f.busy < best.busy {
			best = f
		}
	}
	return best
}

// serve knows of a finished slot at once, without a message.
func (s *shared) serve(f *fakeServer, domain int, t *taskState) {
	f.busy++
	hop := s.w.hop(f.domain, domain)
	s.w.after(hop+t.run, func() {
		f.busy--
		s.w.after(hop, func() { s.w.finish(t, false) })
		s.run()
	})
}

// blind hosts choose servers by what they have sent themselves; full servers
// refuse, and the host tries again elsewhere.
type blind struct {
	w           *world
	choose      func(r *rand.Rand, servers []*fakeServer, outstanding []int) *fakeServer
	rand        *rand.Rand
	outstanding [][]int
	local       [][]*fakeServer
}

const blindRetry = 10 * time.Millisecond

func newBlind(w *world, choose func(*rand.Rand, []*fakeServer, []int) *fakeServer) dispatcher {
	b := &blind{w: w, choose: choose, rand: rand.New(rand.NewPCG(w.cfg.Seed, 11))}
	for range w.cfg.Hosts {
		b.outstanding = append(b.outstanding, make([]int, len(w.servers)))
	}
	b.local = make([][]*fakeServer, w.cfg.Domains)
	for _, s := range w.servers {
		b.local[s.domain] = append(b.local[s.domain], s)
	}
	return b
}

func (b *blind) offer(t *taskState) { b.try(t, 0) }

func (b *blind) try(t *taskState, attempts int) {
	domain := t.host % b.w.cfg.Domains
	from := b.local[domain]
	if attempts%2 == 1 {
		from = b.w.servers
	}
	own := b.outstanding[t.host]
	s := b.choose(b.rand, from, own)
	own[s.index]++
	b.w.serve(s, domain, t.run, func(ok, failed bool) {
		own[s.index]--
		if ok {
			b.w.finish(t, failed)
			return
		}
		b.w.wasted += 2
		b.w.control += 2
		if b.w.now-t.at > b.w.cfg.Deadline {
			b.w.refuse(t)
			return
		}
		b.w.after(time.Duration(b.rand.Int64N(int64(blindRetry))), func() { b.try(t, attempts+1) })
	})
}

func chooseRandom(r *rand.Rand, servers []*fakeServer, _ []int) *fakeServer {
	return servers[r.IntN(len(servers))]
}

func chooseTwo(r *rand.Rand, servers []*fakeServer, outstanding []int) *fakeServer {
	a, b := servers[r.IntN(len(servers))], servers[r.IntN(len(servers))]
	if outstanding[b.index] < outstanding[a.index] {
		return b
	}
	return a
}

func chooseLeast(r *rand.Rand, servers []*fakeServer, outstanding []int) *fakeServer {
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

// daemons runs the deciding code of the daemon on every host.
type daemons struct {
	w        *world
	hosts    []*daemonHost
	byName   map[string]*fakeServer
	byHostID map[string]*daemonHost
}

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

func newDaemons(w *world, noLending bool) dispatcher {
	d := &daemons{w: w, byName: map[string]*fakeServer{}, byHostID: map[string]*daemonHost{}}
	var servers []backend.Server
	for _, s := range w.servers {
		name := fmt.Sprintf("server%d", s.index)
		d.byName[name] = s
		servers = append(servers, backend.Server{
			Name: name, Service: serviceName, FailureDomain: domainName(s.domain), Slots: w.cfg.Slots,
		})
	}
	for i := range w.cfg.Hosts {
		h := &daemonHost{id: fmt.Sprintf("host%d", i), index: i, domain: i % w.cfg.Domains, tasks: map[uint64]*taskState{}}
		h.dispatch = backend.NewDispatcher(backend.DispatcherConfig{
			Self: h.id, Domain: domainName(h.domain),
			Rand: rand.New(rand.NewPCG(w.cfg.Seed, uint64(i))), DisableLoans: noLending,
		})
		d.hosts = append(d.hosts, h)
		d.byHostID[h.id] = h
	}
	for _, h := range d.hosts {
		d.start(h, servers)
	}
	return d
}

func domainName(i int) string { return fmt.Sprintf("domain%d", i) }

func (d *daemons) start(h *daemonHost, servers []backend.Server) {
	var hosts []backend.Host
	for _, o := range d.hosts {
		hosts = append(hosts, backend.Host{ID: o.id, FailureDomain: domainName(o.domain), LatencySeconds: d.w.hop(h.domain, o.domain).Seconds()})
	}
	now := d.w.time()
	c := d.w.cfg
	d.carry(h, h.dispatch.Configure(now, []backend.Policy{{
		Service: serviceName, PriorRunTime: c.DeclaredRunTime, MaxRunTime: maxRun,
		RetryBudget: 0.1, MaxAttempts: 4, BackoffMin: 5 * time.Millisecond, BackoffMax: 100 * time.Millisecond,
		MaxEjectedPercent: 20, ProbeInterval: time.Second, WastedMessageCost: c.WastedMessageCost,
	}}, c.weights()))
	d.carry(h, h.dispatch.SetHosts(now, hosts))
	d.carry(h, h.dispatch.SetServers(now, servers))
	d.tick(h)
	d.w.after(time.Duration(h.index)*heartbeatInterval/time.Duration(len(d.hosts)), func() { d.heartbeat(h, 1) })
}

func (c Config) weights() map[string]float64 {
	w := map[string]float64{}
	for _, t := range c.Teams {
		w[t.Name] = t.Weight
	}
	return w
}

func (d *daemons) tick(h *daemonHost) {
	d.carry(h, h.dispatch.Tick(d.w.time()))
	d.w.after(backend.TickInterval, func() { d.tick(h) })
}

// heartbeat tells one peer the loads and hears of its own, in turn.
func (d *daemons) heartbeat(h *daemonHost, turn int) {
	peer := d.hosts[(h.index+turn)%len(d.hosts)]
	if peer != h {
		loads := h.dispatch.Loads()
		d.w.after(d.w.hop(h.domain, peer.domain), func() {
			peer.dispatch.UpdatePeerLoads(d.w.time(), h.id, loads)
			back := peer.dispatch.Loads()
			d.w.after(d.w.hop(h.domain, peer.domain), func() { h.dispatch.UpdatePeerLoads(d.w.time(), peer.id, back) })
		})
	}
	d.w.after(heartbeatInterval, func() { d.heartbeat(h, turn+1) })
}

func (d *daemons) offer(t *taskState) {
	h := d.hosts[t.host]
	id := uint64(t.id) + 1
	h.tasks[id] = t
	actions, refusal := h.dispatch.Submit(d.w.time(), []*backend.Task{{
		ID: id, Service: serviceName, Team: t.team, Deadline: d.w.time().Add(d.w.cfg.Deadline),
	}})
	if refusal != nil {
		d.w.refuse(t)
		return
	}
	d.carry(h, actions)
}

// carry carries out what a host has decided.
func (d *daemons) carry(h *daemonHost, actions []backend.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			d.send(h, *a.Send)
		case a.Refuse != nil:
			d.w.refuse(h.tasks[a.Refuse.TaskID])
		case a.LoanRequest != nil:
			ask := *a.LoanRequest
			d.w.control++
			d.toPeer(h, ask.Peer, func(p *daemonHost) []backend.Action {
				ask.Peer = h.id
				return p.dispatch.HandleLoanRequest(d.w.time(), ask)
			})
		case a.LoanGrant != nil:
			grant := *a.LoanGrant
			d.w.control++
			if len(grant.Slots) == 0 {
				d.w.wasted += 2
			}
			d.toPeer(h, grant.Peer, func(p *daemonHost) []backend.Action {
				grant.Peer = h.id
				return p.dispatch.HandleLoanGrant(d.w.time(), grant)
			})
		case a.LoanReturn != nil:
			ret := *a.LoanReturn
			d.w.control++
			d.toPeer(h, ret.Peer, func(p *daemonHost) []backend.Action {
				ret.Peer = h.id
				return p.dispatch.HandleLoanReturn(d.w.time(), ret)
			})
		}
	}
}

func (d *daemons) toPeer(h *daemonHost, id string, do func(*daemonHost) []backend.Action) {
	p := d.byHostID[id]
	d.w.after(d.w.hop(h.domain, p.domain), func() { d.carry(p, do(p)) })
}

func (d *daemons) send(h *daemonHost, s backend.Send) {
	t := h.tasks[s.TaskID]
	d.w.serve(d.byName[s.Server.Name], h.domain, t.run, func(ok, failed bool) {
		outcome := backend.OutcomeAnswered
		if !ok {
			outcome = backend.OutcomeBusy
			d.w.wasted += 2
			d.w.control += 2
		}
		if failed {
			outcome = backend.OutcomeLost
		}
		over, actions := h.dispatch.HandleOutcome(d.w.time(), s.AttemptID, outcome)
		if over {
			d.w.finish(t, failed)
		}
		d.carry(h, actions)
	})
}
