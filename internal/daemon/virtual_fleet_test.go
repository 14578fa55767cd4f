package daemon

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"guavayoke/platform/standin"
)

const (
	// Size of the fleet: that of the largest deployment of the users.
	fleetDomains, fleetHostsPerDomain, fleetServersPerDomain = 5, 20, 108
	// rackSize is the number of servers that are replaced or taken away at once.
	rackSize = 9
	// serverLeaveTime is how long a server goes on after its entry says that it leaves:
	// maxDrainTime and the longest run.
	serverLeaveTime = maxDrainTime + 2*time.Second
	// spotNotice is the notice at which servers are taken away.
	spotNotice = 2 * time.Second
	// slowHostLatency is what a host that gets too little processor time adds to
	// each message.
	slowHostLatency = 30 * time.Millisecond
	// changeInterval is the interval of changes of the configuration in quick succession.
	changeInterval = 330 * time.Millisecond
	// bigConfigQueues is the number of queues by which the configuration grows.
	bigConfigQueues = 1400
)

// fleetKinds holds the kinds of faults that concern many hosts or servers at once, or
// that are aimed at an owner.
var fleetKinds = map[string]faultKind{
	"ServersReplaced": {true, func(sc *scenario) func() {
		return sc.replaceServers(4, time.Second, serverLeaveTime)
	}},
	"ServersTaken": {false, func(sc *scenario) func() {
		return sc.replaceServers(1, 0, spotNotice)
	}},
	// Servers crash together and start again, empty, at the end.
	"ServersAdded": {false, func(sc *scenario) func() {
		first := sc.rand.IntN(len(sc.backends))
		sc.setServersDown(first, 2*rackSize, true)
		return func() { sc.setServersDown(first, 2*rackSize, false) }
	}},
	"HostsSlow": {false, func(sc *scenario) func() {
		slow := sc.someHosts(len(sc.hosts) / 7)
		for _, h := range slow {
			sc.network.SetSlow(h.set.Name, slowHostLatency)
		}
		return func() {
			for _, h := range slow {
				sc.network.SetSlow(h.set.Name, 0)
			}
		}
	}},
	"ConfigurationStorm": {true, func(sc *scenario) func() {
		return sc.during(func(int) { sc.configure() }, changeInterval)
	}},
	"BigConfiguration": {true, func(sc *scenario) func() {
		sc.mu.Lock()
		sc.idleQueues = bigConfigQueues
		sc.mu.Unlock()
		sc.configure()
		return func() {}
	}},
	"RollingStop": {true, func(sc *scenario) func() {
		hosts := sc.someHosts(len(sc.hosts))
		return sc.during(func(n int) {
			var restarts sync.WaitGroup
			for _, h := range hosts[5*n%len(hosts):][:5] {
				if sc.reserve(h) {
					h.stop()
					restarts.Go(func() { sc.restart(h, false) })
				}
			}
			restarts.Wait()
		}, 1300*time.Millisecond)
	}},
	// Most hosts are killed, and the store is down when they come back.
	"HerdKill": {false, func(sc *scenario) func() {
		up := sc.reserveAllHosts()
		sc.killHosts(up)
		end := sc.injectStoreFault(standin.StoreFaults{Busy: true})
		return func() {
			sc.restartHosts(up)
			time.Sleep(2 * time.Second)
			end()
		}
	}},
	"DomainCutOff": {false, func(sc *scenario) func() {
		return sc.isolateDomain(fmt.Sprint("domain", sc.rand.IntN(sc.domains)))
	}},
	// An owner loses the store while servers of its domain leave.
	"OwnerStoreCut": {false, func(sc *scenario) func() {
		owner := sc.owner(sc.rand.IntN(sc.domains))
		if owner == nil {
			return func() {}
		}
		heal := sc.cutLink(owner.set.Name, "store", true)
		back := sc.leaveServers(owner.set.FailureDomain)
		return func() {
			heal()
			back()
		}
	}},
	// An owner is killed, and servers of its domain leave soon after.
	"OwnerKill": {false, func(sc *scenario) func() {
		owner := sc.owner(sc.rand.IntN(sc.domains))
		if owner == nil || !sc.reserve(owner) {
			return func() {}
		}
		sc.killHosts([]*simHost{owner})
		back := sc.leaveServers(owner.set.FailureDomain)
		return func() {
			sc.restart(owner, true)
			back()
		}
	}},
}

// during calls f with 0, 1 and so on at an interval until the function that it returns
// is called, which waits for the end of the last call.
func (sc *scenario) during(f func(n int), interval time.Duration) (end func()) {
	stop := make(chan struct{})
	var loop sync.WaitGroup
	loop.Go(func() {
		for n := 0; ; n++ {
			f(n)
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
		}
	})
	return func() {
		close(stop)
		loop.Wait()
	}
}

// replaceServers replaces rackSize servers after the other, count times: they leave, end
// after notice, and come back without what they knew.
func (sc *scenario) replaceServers(count int, interval, notice time.Duration) (end func()) {
	first := sc.rand.IntN(len(sc.backends))
	var racks sync.WaitGroup
	for n := range count {
		racks.Go(func() {
			time.Sleep(time.Duration(n) * interval)
			from := first + n*rackSize
			sc.setServersLeaving(from, rackSize, true)
			time.Sleep(notice)
			sc.setServersDown(from, rackSize, true)
			time.Sleep(time.Second)
			sc.setServersLeaving(from, rackSize, false)
			sc.setServersDown(from, rackSize, false)
		})
	}
	return racks.Wait
}

func (sc *scenario) setServersLeaving(first, count int, leaving bool) {
	for n := range count {
		sc.servers.SetLeaving(first+n, leaving)
	}
}

func (sc *scenario) setServersDown(first, count int, down bool) {
	for n := range count {
		sc.servers.SetUnresponsive(first+n, down, true)
	}
}

// leaveServers makes some servers of a domain leave a moment from now. The function that
// it returns makes them stay.
func (sc *scenario) leaveServers(domain string) (end func()) {
	var first int
	for n, s := range sc.backends {
		if s.FailureDomain == domain {
			first = n + sc.rand.IntN(sc.serversPerDomain-rackSize)
			break
		}
	}
	after := time.Duration(sc.rand.IntN(1500)) * time.Millisecond
	var leaving sync.WaitGroup
	leaving.Go(func() {
		time.Sleep(after)
		sc.setServersLeaving(first, rackSize, true)
	})
	return func() {
		leaving.Wait()
		sc.setServersLeaving(first, rackSize, false)
	}
}

// owner returns the host that last said in its log that it owns a domain, or nil if none
// has.
func (sc *scenario) owner(domain int) *simHost {
	v, ok := sc.owners.Load(fmt.Sprint("domain", domain))
	if !ok {
		return nil
	}
	for _, h := range sc.hosts {
		if h.set.Name == v {
			return h
		}
	}
	return nil
}

// someHosts returns count different hosts.
func (sc *scenario) someHosts(count int) []*simHost {
	hosts := slices.Clone(sc.hosts)
	sc.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:count]
}

func (sc *scenario) killHosts(hosts []*simHost) {
	for _, h := range hosts {
		sc.network.SetDown(h.set.Name, true)
		h.kill()
	}
}

// restartHosts starts hosts again that were killed.
func (sc *scenario) restartHosts(killed []*simHost) {
	var restarts sync.WaitGroup
	for _, h := range killed {
		restarts.Go(func() { sc.restart(h, true) })
	}
	restarts.Wait()
}

// TestVirtualFleet runs the scenario at the size of the users' largest deployment, with
// faults that follow and overlap each other. See seedRange for more seeds.
func TestVirtualFleet(t *testing.T) {
	if raceDetector {
		t.Log("not run with the race detector, under which this size takes minutes")
		return
	}
	first, count := seedRange(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint("Seed", seed), func(t *testing.T) {
			t.Parallel()
			counts := runScenario(t, scenarioConfig{
				seed: seed, kinds: fleetKinds, domains: fleetDomains, hostsPerDomain: fleetHostsPerDomain, serversPerDomain: fleetServersPerDomain,
				callers: 60, faultsDuration: 20 * time.Second,
			})
			t.Log(counts)
		})
	}
}
