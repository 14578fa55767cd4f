package daemon

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"guavayoke/internal/settings"
	"guavayoke/platform/standin"
)

// maxEvacuateTime is the time after which no task may be started in an evacuated domain.
const maxEvacuateTime = 5 * time.Second

func withEvacuations(set *settings.Daemon) {
	set.EvacuationApplyMs = int(maxEvacuateTime.Milliseconds())
}

// evacuationKinds returns the kinds of faults of the scenario with evacuations. It is not
// part of faultKinds, so that the seeds of the scenario All draw what they drew.
func evacuationKinds() map[string]faultKind {
	kinds := map[string]faultKind{"Evacuation": {true, func(sc *scenario) func() {
		domain := fmt.Sprint("domain", sc.rand.IntN(sc.domains))
		sc.servers.SetEvacuated(sc.store, domain, true)
		return func() {
			time.Sleep(2 * maxEvacuateTime)
			sc.servers.SetEvacuated(sc.store, domain, false)
		}
	}}}
	for _, name := range []string{"Configuration", "Kill", "Stop", "StoreDown", "StoreRefusesHosts", "HistoryGone", "WatchesSilent", "HostCutOff", "StoreCut"} {
		kinds[name] = faultKinds[name]
	}
	return kinds
}

// A host that loses or takes over a domain during an evacuation must start nothing there.
func TestVirtualEvacuationCrossesFaults(t *testing.T) {
	const evacuatedFor = 9 * time.Second
	owner := func(sc *scenario) *simHost {
		name, _ := sc.owners.Load("domain0")
		for _, h := range sc.hosts {
			if h.set.Name == name {
				return h
			}
		}
		return sc.hosts[0]
	}
	kill := func(sc *scenario, h *simHost) {
		if sc.reserve(h) {
			sc.network.SetDown(h.set.Name, true)
			h.kill()
			sc.restart(h, true)
		}
	}
	// known is how long after the evacuation the fault begins. Hosts have learned of it by
	// then, or the fault leaves one that can tell the others.
	cases := map[string]struct {
		known time.Duration
		fault func(sc *scenario)
	}{
		"None":              {0, func(*scenario) {}},
		"OwnerKilledAtOnce": {0, func(sc *scenario) { kill(sc, owner(sc)) }},
		"OwnersKilled": {time.Second, func(sc *scenario) {
			for range 3 {
				kill(sc, owner(sc))
				time.Sleep(2 * time.Second)
			}
		}},
		"RollingRestart": {0, func(sc *scenario) {
			for _, h := range sc.hosts {
				if sc.reserve(h) {
					h.stop()
					sc.restart(h, false)
				}
			}
		}},
		"StoreDownOwnersKilled": {time.Second, func(sc *scenario) {
			end := sc.injectStoreFault(standin.StoreFaults{Down: true})
			kill(sc, owner(sc))
			time.Sleep(4 * time.Second)
			kill(sc, owner(sc))
			time.Sleep(4 * time.Second)
			end()
		}},
		"OwnerCutOff": {0, func(sc *scenario) {
			end := sc.isolateHost(owner(sc))
			time.Sleep(4 * time.Second)
			end()
		}},
		"DomainCutOff": {time.Second, func(sc *scenario) {
			end := sc.isolateDomain("domain0")
			time.Sleep(4 * time.Second)
			end()
		}},
		"StoreServesOneHost": {0, func(sc *scenario) {
			refused := map[string]bool{}
			for _, h := range sc.hosts[:len(sc.hosts)-1] {
				refused[h.set.Name] = true
			}
			end := sc.injectStoreFault(standin.StoreFaults{RejectedHosts: refused})
			time.Sleep(8 * time.Second)
			end()
		}},
		"HistoryGone": {0, func(sc *scenario) { sc.store.DiscardHistory() }},
		"WatchesSilent": {0, func(sc *scenario) {
			end := sc.injectStoreFault(standin.StoreFaults{WatchesSilent: true})
			time.Sleep(4 * time.Second)
			end()
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			simulateWith(t, 2, 3, 3, withEvacuations, func(s *simulation) {
				sc := &scenario{simulation: s, scenarioConfig: smallScenario(1, nil), unavailable: map[*simHost]bool{}, startedAt: map[*simHost]time.Time{}, knownQueues: map[*simHost]int{}, counts: map[string]int{}, rand: newSeededRand(1)}
				sc.unplannedFaults = 1 // Only starts are checked.
				sc.configure()
				time.Sleep(startupTime)
				var callers sync.WaitGroup
				for n := range 10 {
					callers.Go(func() { sc.runCaller(1, n) })
				}
				time.Sleep(time.Second)
				sc.servers.SetEvacuated(sc.store, "domain0", true)
				evacuatedAt := time.Now()
				time.Sleep(c.known)
				c.fault(sc)
				time.Sleep(time.Until(evacuatedAt.Add(evacuatedFor)))
				sc.store.Put("op/wave/1", []byte("{}"))
				time.Sleep(time.Second)
				sc.servers.SetEvacuated(sc.store, "domain0", false)
				released := sc.servers.EvacuatedStarts(0)
				sc.checkRecovery()
				time.Sleep(settleTime)
				sc.mu.Lock()
				sc.finished = true
				sc.mu.Unlock()
				callers.Wait()
				if late := sc.servers.EvacuatedStarts(maxEvacuateTime); len(late) > 0 {
					t.Errorf("%d starts after the bound, first: %+v", len(late), late[0])
				}
				t.Logf("%d starts before the bound, %v", len(released), sc.counts)
				for _, f := range sc.failures[:min(len(sc.failures), 5)] {
					t.Error(f)
				}
			})
		})
	}
}

// Evacuations must reach all hosts in time although all of them read the store at once, and
// more calls than it allows may come of that.
func TestVirtualEvacuationThunderingHerd(t *testing.T) {
	simulateWith(t, herdDomainCount, herdHostsPerDomain, 4, withEvacuations, func(s *simulation) {
		calls := &storeCallTimes{}
		s.store.Observe(calls.record)
		share := float64(len(s.hosts)) / targetHosts
		s.store.SetRateLimits(standin.StoreLoad{Reads: share * storeReadsPerSecond, Writes: share * storeWritesPerSecond})
		sc := newConfigurationTest(s)
		time.Sleep(maxRecoveryTime)
		steadyFrom := time.Now()
		time.Sleep(maxRecoveryTime)
		calls.checkNoneRefused(t, "before", steadyFrom)
		learned := func() int64 {
			n, ok := s.eventCounts.Load("EvacuationApplied")
			if !ok {
				return 0
			}
			return n.(*atomic.Int64).Load()
		}
		for n, evacuated := range []bool{true, false} {
			before, changedAt := learned(), time.Now()
			sc.servers.SetEvacuated(sc.store, "domain0", evacuated)
			for learned()-before < int64(len(s.hosts)) && time.Since(changedAt) < maxEvacuateTime {
				time.Sleep(10 * time.Millisecond)
			}
			took := time.Since(changedAt)
			reads, _, refused := calls.maxRates(changedAt)
			t.Logf("change %d: known on all hosts after %v; %d reads in the worst second, %d refused", n, took, reads, refused)
			if took > time.Duration(maxLearnShare*float64(maxEvacuateTime)) {
				t.Errorf("%d of %d hosts know the change after %v", learned()-before, len(s.hosts), took)
			}
			time.Sleep(maxRecoveryTime)
		}
		steadyFrom = time.Now()
		time.Sleep(maxRecoveryTime)
		calls.checkNoneRefused(t, "after", steadyFrom)
	})
}
