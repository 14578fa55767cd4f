package backend

import (
	"sort"
	"time"
)

// SlotHandoverDelay is how long a host waits before it uses a slot that another host
// may have owned until a change of shares.
const SlotHandoverDelay = 3 * time.Second

// Configure sets the policies and the team weights. Waiting tasks of a service that
// is no longer configured are refused; running tasks end normally.
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
	for _, name := range d.serviceNames {
		if !keep[name] {
			dropped := d.pools[name].queue.removeIf(func(*Task) bool { return true })
			actions = append(actions, refuseAll(dropped, ReasonNoService, 0)...)
			delete(d.pools, name)
		}
	}
	d.serviceNames = d.serviceNames[:0]
	for name := range d.pools {
		d.serviceNames = append(d.serviceNames, name)
	}
	sort.Strings(d.serviceNames)
	return append(actions, d.reshare(now)...)
}

// SetServers replaces the list of backend servers.
func (d *Dispatcher) SetServers(now time.Time, servers []Server) []Action {
	d.servers = servers
	return d.reshare(now)
}

// SetHosts replaces the list of live entry hosts, which includes this host.
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
			actions = append(actions, d.removePeer(now, id)...)
		}
	}
	return actions
}

// reshare recomputes the own slots. The host starts no more tasks on a lost slot. It
// uses a gained slot after SlotHandoverDelay, when the previous owner has stopped
// using it.
func (d *Dispatcher) reshare(now time.Time) []Action {
	known := map[string]bool{}
	for _, s := range d.servers {
		known[s.Name] = true
		if p := d.pools[s.Service]; p != nil {
			p.updateServer(s)
		}
	}
	from := now.Add(SlotHandoverDelay)
	owned := map[string]map[SlotRef]bool{}
	for _, name := range d.serviceNames {
		owned[name] = map[SlotRef]bool{}
	}
	serviceOf := d.serviceByServer()
	for _, ref := range Shares(d.cfg.Self, d.servers, d.hosts) {
		service := serviceOf[ref.Server]
		if p := d.pools[service]; p != nil {
			owned[service][ref] = true
			if p.own[ref] == nil {
				p.addOwn(ref, p.servers[ref.Server], from)
			}
		}
	}
	var actions []Action
	for _, name := range d.serviceNames {
		p := d.pools[name]
		p.dropLostSlots(owned[name])
		p.dropUnlistedServers(known)
		p.activateDue(now)
		p.updateUsable()
		actions = append(actions, d.dispatch(now, p)...)
	}
	return actions
}

// serviceByServer returns the service of each server by the server's name.
func (d *Dispatcher) serviceByServer() map[string]string {
	m := make(map[string]string, len(d.servers))
	for _, s := range d.servers {
		m[s.Name] = s.Service
	}
	return m
}

// updateServer applies an entry of the server list.
func (p *pool) updateServer(s Server) {
	known := p.servers[s.Name]
	if known == nil {
		p.servers[s.Name] = &server{Server: s}
		return
	}
	// The list lags behind: a server that has itself announced that it is leaving
	// stays marked while its address is the same.
	s.Leaving = s.Leaving || known.Leaving && s.Address == known.Address
	wasLeaving := known.Leaving
	known.Server = s
	if s.Leaving && !wasLeaving {
		p.deactivate(known)
	}
}

// dropLostSlots drops the own slots that are not in owned.
func (p *pool) dropLostSlots(owned map[SlotRef]bool) {
	for _, ref := range p.sortedOwn() {
		if !owned[ref] {
			p.dropSlot(p.own[ref])
		}
	}
}

// dropSlot ends the ownership of a slot. If the slot is in use, it is removed when
// its task or loan ends.
func (p *pool) dropSlot(sl *slot) {
	delete(p.own, sl.ref)
	if sl.state == slotBusy || sl.state == slotLent {
		sl.state = slotRemoved
		return
	}
	p.removeSlot(sl)
}

// dropUnlistedServers forgets servers that are not in known and have no slots left.
func (p *pool) dropUnlistedServers(known map[string]bool) {
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

// OwnSlots returns the number of slots of a server that this host owns.
func (d *Dispatcher) OwnSlots(service, name string) int {
	p := d.pools[service]
	if p == nil || p.servers[name] == nil {
		return 0
	}
	n := 0
	for _, sl := range p.servers[name].slots {
		if sl.lender == "" && sl.state != slotRemoved {
			n++
		}
	}
	return n
}
