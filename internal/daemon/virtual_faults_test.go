package daemon

import (
	"fmt"
	"sync"
	"time"

	"guavayoke/platform/standin"
)

// faultKind is a kind of fault or of planned work, during which callers must notice
// nothing. begin starts it and returns the function that ends it.
type faultKind struct {
	planned bool
	begin   func(d *scenario) (end func())
}

// faultKinds holds the kinds of faults by name. The order of the names determines which
// faults a seed draws.
var faultKinds = map[string]faultKind{
	"Kill": {false, func(d *scenario) func() {
		h := d.reserveHost()
		if h == nil {
			return func() {}
		}
		d.network.SetDown(h.set.Name, true)
		h.kill()
		return func() { d.restart(h, true) }
	}},
	"HostsCut":        {false, func(d *scenario) func() { return d.cutLink(d.anyHost().set.Name, d.anyHost().set.Name, true) }},
	"HostsCutOneWay":  {false, func(d *scenario) func() { return d.cutLink(d.anyHost().set.Name, d.anyHost().set.Name, false) }},
	"HostCutOff":      {false, func(d *scenario) func() { return d.isolateHost(d.anyHost()) }},
	"DomainCutOff":    {false, func(d *scenario) func() { return d.isolateFirstDomain() }},
	"StoreCut":        {false, func(d *scenario) func() { return d.cutLink(d.anyHost().set.Name, "store", true) }},
	"StoreCutOneWay":  {false, func(d *scenario) func() { return d.cutLink("store", d.anyHost().set.Name, false) }},
	"ServerCut":       {false, func(d *scenario) func() { return d.cutLink(d.anyHost().set.Name, d.anyServer(), true) }},
	"ServerCutOneWay": {false, func(d *scenario) func() { return d.cutLink(d.anyServer(), d.anyHost().set.Name, false) }},
	"StoreDown":       {false, func(d *scenario) func() { return d.injectStoreFault(standin.StoreFaults{Down: true}) }},
	"StoreBusy":       {false, func(d *scenario) func() { return d.injectStoreFault(standin.StoreFaults{Busy: true}) }},
	"StoreSlow":       {false, func(d *scenario) func() { return d.injectStoreFault(standin.StoreFaults{SlowMs: 600}) }},
	"StoreLosesAnswers": {false, func(d *scenario) func() {
		return d.injectStoreFault(standin.StoreFaults{LostPercent: 40, SlowMs: 20})
	}},
	"StoreRefusesHosts": {false, func(d *scenario) func() {
		return d.injectStoreFault(standin.StoreFaults{Refused: map[string]bool{d.anyHost().set.Name: true, d.anyHost().set.Name: true}})
	}},
	// Watches of earlier revisions of the store fail.
	"HistoryGone": {false, func(d *scenario) func() {
		d.store.DiscardHistory()
		return func() {}
	}},
	"LeasesForgotten": {false, func(d *scenario) func() {
		d.store.ForgetLeases()
		return func() {}
	}},
	// The server does not respond.
	"ServerDark": {false, func(d *scenario) func() {
		n := d.rand.IntN(1 << 16)
		d.servers.SetDark(n, true, false)
		return func() { d.servers.SetDark(n, false, false) }
	}},
	// The server does not respond and, when it does again, has lost its state.
	"ServerReborn": {false, func(d *scenario) func() {
		n := d.rand.IntN(1 << 16)
		d.servers.SetDark(n, true, true)
		return func() { d.servers.SetDark(n, false, true) }
	}},
	// Some commands get no reply and are carried out later.
	"LateOrders": {false, func(d *scenario) func() {
		d.servers.SetFaults(standin.ServerFaults{LatePercent: 5, LateMs: 2000})
		return func() { d.servers.SetFaults(standin.ServerFaults{}) }
	}},
	"ClockStep": {false, func(d *scenario) func() {
		h := d.anyHost()
		h.clockOffset.Store(d.rand.Int64N(int64(2*maxClockOffset)) - int64(maxClockOffset))
		return func() { h.clockOffset.Store(0) }
	}},
	// The store is down and all leases expire.
	"StoreDownLapsing": {false, func(d *scenario) func() {
		end := d.injectStoreFault(standin.StoreFaults{Down: true})
		d.store.ForgetLeases()
		return end
	}},
	"PowerLoss": {false, func(d *scenario) func() {
		h := d.reserveHost()
		if h == nil {
			return func() {}
		}
		d.network.LosePower(h.set.Name)
		h.kill()
		return func() { d.restart(h, true) }
	}},
	"KillAll": {false, func(d *scenario) func() {
		killed := d.reserveAllHosts()
		for _, h := range killed {
			d.network.SetDown(h.set.Name, true)
			h.kill()
		}
		started := time.Now()
		return func() {
			d.withoutHosts += time.Since(started) + resendDelay
			var restarts sync.WaitGroup
			for _, h := range killed {
				restarts.Go(func() { d.restart(h, true) })
			}
			restarts.Wait()
		}
	}},
	"ServerSlow": {false, func(d *scenario) func() {
		return d.injectServerFault(standin.ServerFault{SlowBy: 6.5})
	}},
	// The server rejects some commands as if it were overloaded.
	"ServerSheds":  {false, func(d *scenario) func() { return d.injectServerFault(standin.ServerFault{ShedPercent: 40}) }},
	"ServerResets": {false, func(d *scenario) func() { return d.injectServerFault(standin.ServerFault{ResetPercent: 40}) }},
	// The server carries out some commands without replying.
	"ServerMute": {false, func(d *scenario) func() { return d.injectServerFault(standin.ServerFault{MutePercent: 40}) }},
	// Invalid entries of servers are in the store.
	"ForeignEntries": {false, func(d *scenario) func() {
		return d.store.WriteForeign(d.anyServer(), d.rand.IntN)
	}},
	"RunsFail": {false, func(d *scenario) func() {
		d.servers.SetFaults(standin.ServerFaults{FailPercent: 10})
		return func() { d.servers.SetFaults(standin.ServerFaults{}) }
	}},
	"ServerLeaves": {true, func(d *scenario) func() {
		n := d.rand.IntN(1 << 16)
		d.servers.SetLeaving(n, true)
		return func() { d.servers.SetLeaving(n, false) }
	}},
	"Stop": {true, func(d *scenario) func() {
		h := d.reserveHost()
		if h == nil {
			return func() {}
		}
		h.stop()
		return func() { d.restart(h, false) }
	}},
	"Configuration": {true, func(d *scenario) func() {
		d.configure()
		return func() {}
	}},
}

func (d *scenario) injectServerFault(f standin.ServerFault) func() {
	n := d.rand.IntN(1 << 16)
	d.servers.SetFault(n, f)
	return func() { d.servers.SetFault(n, standin.ServerFault{}) }
}

func (d *scenario) anyHost() *simHost { return d.hosts[d.rand.IntN(len(d.hosts))] }

func (d *scenario) anyServer() string {
	return fmt.Sprintf("server%d-%d", d.rand.IntN(2), d.rand.IntN(3))
}

// reserveHost draws a host and marks it as unavailable. It returns nil if the host is
// already unavailable.
func (d *scenario) reserveHost() *simHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.anyHost()
	if d.unavailable[h] {
		return nil
	}
	d.unavailable[h] = true
	return h
}

// reserveAllHosts marks all hosts that are available as unavailable and returns them.
func (d *scenario) reserveAllHosts() []*simHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	var up []*simHost
	for _, h := range d.hosts {
		if !d.unavailable[h] {
			d.unavailable[h] = true
			up = append(up, h)
		}
	}
	return up
}

// cutLink cuts the network from a to b, and from b to a too if both is true. It returns
// the function that restores it.
func (d *scenario) cutLink(a, b string, both bool) func() {
	set := func(cut bool) {
		d.network.SetCut(a, b, cut)
		if both {
			d.network.SetCut(b, a, cut)
		}
	}
	set(true)
	return func() { set(false) }
}

// isolateHost cuts a host off from the store, the other hosts and the servers, but not
// from its callers.
func (d *scenario) isolateHost(h *simHost) func() {
	ends := []func(){d.cutLink(h.set.Name, "store", true)}
	for _, o := range d.hosts {
		ends = append(ends, d.cutLink(h.set.Name, o.set.Name, true))
	}
	for domain := range 2 {
		for n := range 3 {
			ends = append(ends, d.cutLink(h.set.Name, fmt.Sprintf("server%d-%d", domain, n), true))
		}
	}
	return func() { callAll(ends) }
}

// isolateFirstDomain cuts the hosts of the first domain off from the hosts and servers
// of the other one and from the store.
func (d *scenario) isolateFirstDomain() func() {
	var ends []func()
	for _, h := range d.hosts {
		if h.set.FailureDomain != "domain0" {
			continue
		}
		ends = append(ends, d.cutLink(h.set.Name, "store", true))
		for _, o := range d.hosts {
			if o.set.FailureDomain != "domain0" {
				ends = append(ends, d.cutLink(h.set.Name, o.set.Name, true))
			}
		}
		for n := range 3 {
			ends = append(ends, d.cutLink(h.set.Name, fmt.Sprintf("server1-%d", n), true))
		}
	}
	return func() { callAll(ends) }
}

func callAll(fs []func()) {
	for _, f := range fs {
		f()
	}
}

func (d *scenario) injectStoreFault(f standin.StoreFaults) func() {
	d.store.SetFaults(f)
	return func() { d.store.SetFaults(standin.StoreFaults{}) }
}
