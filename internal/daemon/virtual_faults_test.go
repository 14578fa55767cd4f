package daemon

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"guavayoke/platform/standin"
)

// faultKind is a kind of fault or, if planned is set, of planned work, which callers must
// not notice. begin starts it and returns the function that ends it.
type faultKind struct {
	planned bool
	begin   func(sc *scenario) (end func())
}

// faultKinds holds the kinds of faults by name. A seed draws from the sorted names, so
// adding or renaming a kind changes which faults the seed draws.
var faultKinds = map[string]faultKind{
	"Kill": {false, func(sc *scenario) func() {
		h := sc.reserveHost()
		if h == nil {
			return func() {}
		}
		sc.network.SetDown(h.set.Name, true)
		h.kill()
		return func() { sc.restart(h, true) }
	}},
	"HostsCut":        {false, func(sc *scenario) func() { return sc.cutLink(sc.anyHost().set.Name, sc.anyHost().set.Name, true) }},
	"HostsCutOneWay":  {false, func(sc *scenario) func() { return sc.cutLink(sc.anyHost().set.Name, sc.anyHost().set.Name, false) }},
	"HostCutOff":      {false, func(sc *scenario) func() { return sc.isolateHost(sc.anyHost()) }},
	"DomainCutOff":    {false, func(sc *scenario) func() { return sc.isolateDomain("domain0") }},
	"StoreCut":        {false, func(sc *scenario) func() { return sc.cutLink(sc.anyHost().set.Name, "store", true) }},
	"StoreCutOneWay":  {false, func(sc *scenario) func() { return sc.cutLink("store", sc.anyHost().set.Name, false) }},
	"ServerCut":       {false, func(sc *scenario) func() { return sc.cutLink(sc.anyHost().set.Name, sc.anyServer(), true) }},
	"ServerCutOneWay": {false, func(sc *scenario) func() { return sc.cutLink(sc.anyServer(), sc.anyHost().set.Name, false) }},
	"StoreDown":       {false, func(sc *scenario) func() { return sc.injectStoreFault(standin.StoreFaults{Down: true}) }},
	"StoreBusy":       {false, func(sc *scenario) func() { return sc.injectStoreFault(standin.StoreFaults{Busy: true}) }},
	"StoreSlow":       {false, func(sc *scenario) func() { return sc.injectStoreFault(standin.StoreFaults{ResponseDelayMs: 600}) }},
	"StoreLosesAnswers": {false, func(sc *scenario) func() {
		return sc.injectStoreFault(standin.StoreFaults{LoseResponsePercent: 40, ResponseDelayMs: 20})
	}},
	"StoreRefusesHosts": {false, func(sc *scenario) func() {
		return sc.injectStoreFault(standin.StoreFaults{RejectedHosts: map[string]bool{sc.anyHost().set.Name: true, sc.anyHost().set.Name: true}})
	}},
	// Watches from earlier revisions of the store fail.
	"HistoryGone": {false, func(sc *scenario) func() {
		sc.store.DiscardHistory()
		return func() {}
	}},
	// Watches miss all changes of that time. Then the history is discarded.
	"WatchesSilent": {false, func(sc *scenario) func() {
		end := sc.injectStoreFault(standin.StoreFaults{WatchesSilent: true})
		return func() {
			end()
			sc.store.DiscardHistory()
		}
	}},
	// The open connections of a host deliver nothing any more, and new ones work.
	"ConnectionsSilent": {false, func(sc *scenario) func() {
		sc.network.Silence(sc.anyHost().set.Name)
		return func() {}
	}},
	"LeasesForgotten": {false, func(sc *scenario) func() {
		sc.store.ExpireLeases()
		return func() {}
	}},
	// The server does not respond.
	"ServerDark": {false, func(sc *scenario) func() {
		n := sc.rand.IntN(1 << 16)
		sc.servers.SetUnresponsive(n, true, false)
		return func() { sc.servers.SetUnresponsive(n, false, false) }
	}},
	// The server does not respond and, when it does again, has lost its state.
	"ServerReborn": {false, func(sc *scenario) func() {
		n := sc.rand.IntN(1 << 16)
		sc.servers.SetUnresponsive(n, true, true)
		return func() { sc.servers.SetUnresponsive(n, false, true) }
	}},
	// Some commands get no reply and are carried out later.
	"LateOrders": {false, func(sc *scenario) func() {
		sc.servers.SetFaults(standin.ServerFaults{LateExecutionPercent: 5, ExecutionDelayMs: 2000})
		return func() { sc.servers.SetFaults(standin.ServerFaults{}) }
	}},
	"ClockStep": {false, func(sc *scenario) func() {
		h := sc.anyHost()
		h.clockOffset.Store(sc.rand.Int64N(int64(2*maxClockOffset)) - int64(maxClockOffset))
		return func() { h.clockOffset.Store(0) }
	}},
	// The store is down and all leases expire.
	"StoreDownLapsing": {false, func(sc *scenario) func() {
		end := sc.injectStoreFault(standin.StoreFaults{Down: true})
		sc.store.ExpireLeases()
		return end
	}},
	"PowerLoss": {false, func(sc *scenario) func() {
		h := sc.reserveHost()
		if h == nil {
			return func() {}
		}
		sc.network.LosePower(h.set.Name)
		h.kill()
		return func() { sc.restart(h, true) }
	}},
	"KillAll": {false, func(sc *scenario) func() {
		killed := sc.reserveAllHosts()
		for _, h := range killed {
			sc.network.SetDown(h.set.Name, true)
			h.kill()
		}
		started := time.Now()
		return func() {
			sc.withoutHosts += time.Since(started) + resendDelay
			var restarts sync.WaitGroup
			for _, h := range killed {
				restarts.Go(func() { sc.restart(h, true) })
			}
			restarts.Wait()
		}
	}},
	"ServerSlow": {false, func(sc *scenario) func() {
		return sc.injectServerFault(standin.GrayFailure{SlowdownFactor: 6.5})
	}},
	// The server rejects some commands as if it were overloaded.
	"ServerSheds":  {false, func(sc *scenario) func() { return sc.injectServerFault(standin.GrayFailure{RejectPercent: 40}) }},
	"ServerResets": {false, func(sc *scenario) func() { return sc.injectServerFault(standin.GrayFailure{ResetPercent: 40}) }},
	// The server carries out some commands without replying.
	"ServerMute": {false, func(sc *scenario) func() { return sc.injectServerFault(standin.GrayFailure{LoseReplyPercent: 40}) }},
	// Invalid entries of servers are in the store.
	"ForeignEntries": {false, func(sc *scenario) func() {
		return sc.store.WriteInvalidEntries(sc.anyServer(), sc.rand.IntN)
	}},
	"RunsFail": {false, func(sc *scenario) func() {
		sc.servers.SetFaults(standin.ServerFaults{FailPercent: 10})
		return func() { sc.servers.SetFaults(standin.ServerFaults{}) }
	}},
	// Some of the jobs have tasks that crash each server that starts them.
	"CrashingTasks": {false, func(sc *scenario) func() {
		sc.crashingPercent.Store(4)
		return func() {
			sc.crashingPercent.Store(0)
			// Callers still wait for such jobs, and servers are away.
			time.Sleep(requestTimeout + crashedServerDowntime)
		}
	}},
	// The capacity of a server shrinks and grows again.
	"CapacityChanges": {false, func(sc *scenario) func() {
		n := sc.rand.IntN(1 << 16)
		sc.servers.SetCapacity(n, 40)
		return func() { sc.servers.SetCapacity(n, 100) }
	}},
	"ServerLeaves": {true, func(sc *scenario) func() {
		n := sc.rand.IntN(1 << 16)
		sc.servers.SetLeaving(n, true)
		return func() { sc.servers.SetLeaving(n, false) }
	}},
	"Stop": {true, func(sc *scenario) func() {
		h := sc.reserveHost()
		if h == nil {
			return func() {}
		}
		h.stop()
		return func() { sc.restart(h, false) }
	}},
	"Configuration": {true, func(sc *scenario) func() {
		sc.configure()
		return func() {}
	}},
}

func (sc *scenario) injectServerFault(f standin.GrayFailure) func() {
	n := sc.rand.IntN(1 << 16)
	sc.servers.SetGrayFailure(n, f)
	return func() { sc.servers.SetGrayFailure(n, standin.GrayFailure{}) }
}

func (sc *scenario) anyHost() *simHost { return sc.hosts[sc.rand.IntN(len(sc.hosts))] }

func (sc *scenario) anyServer() string {
	return fmt.Sprintf("server%d-%d", sc.rand.IntN(sc.domains), sc.rand.IntN(sc.serversPerDomain))
}

// reserveHost draws a host and marks it as unavailable. It returns nil if the host is
// already unavailable.
func (sc *scenario) reserveHost() *simHost {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	h := sc.anyHost()
	if sc.unavailable[h] {
		return nil
	}
	sc.unavailable[h] = true
	return h
}

// reserve marks a host as unavailable and reports whether it was available.
func (sc *scenario) reserve(h *simHost) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.unavailable[h] {
		return false
	}
	sc.unavailable[h] = true
	return true
}

// reserveAllHosts marks all hosts that are available as unavailable and returns them.
func (sc *scenario) reserveAllHosts() []*simHost {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var up []*simHost
	for _, h := range sc.hosts {
		if !sc.unavailable[h] {
			sc.unavailable[h] = true
			up = append(up, h)
		}
	}
	return up
}

// cutLink cuts the network from a to b, and from b to a too if both is true. It returns
// the function that restores it.
func (sc *scenario) cutLink(a, b string, both bool) func() {
	set := func(cut bool) {
		sc.network.SetBlocked(a, b, cut)
		if both {
			sc.network.SetBlocked(b, a, cut)
		}
	}
	set(true)
	return func() { set(false) }
}

// isolateHost cuts a host off from the store, the other hosts and the servers, but not
// from its callers.
func (sc *scenario) isolateHost(h *simHost) func() {
	return sc.isolate([]string{h.set.Name}, func(string) bool { return false })
}

// isolateDomain cuts the hosts of a domain off from the hosts and servers of the other
// ones and from the store.
func (sc *scenario) isolateDomain(domain string) func() {
	var names []string
	for _, h := range sc.hosts {
		if h.set.FailureDomain == domain {
			names = append(names, h.set.Name)
		}
	}
	return sc.isolate(names, func(failureDomain string) bool { return failureDomain == domain })
}

// isolate cuts hosts off from the store, and from all other hosts and servers but those
// in domains for which reachable returns true. It returns the function that restores the
// network.
func (sc *scenario) isolate(names []string, reachable func(failureDomain string) bool) func() {
	others := []string{"store"}
	for _, o := range sc.hosts {
		if !slices.Contains(names, o.set.Name) && !reachable(o.set.FailureDomain) {
			others = append(others, o.set.Name)
		}
	}
	for _, s := range sc.backends {
		if !reachable(s.FailureDomain) {
			others = append(others, s.ID)
		}
	}
	set := func(cut bool) {
		sc.network.SetAllBlocked(names, others, cut)
		sc.network.SetAllBlocked(others, names, cut)
	}
	set(true)
	return func() { set(false) }
}

func (sc *scenario) injectStoreFault(f standin.StoreFaults) func() {
	sc.store.SetFaults(f)
	return func() { sc.store.SetFaults(standin.StoreFaults{}) }
}
