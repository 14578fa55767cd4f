package daemon

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavayoke/platform/standin"
)

// configurationRounds is how often a test changes the configuration during a fault, at
// different times after the previous change.
const configurationRounds = 5

// checkNewestQueueKnown checks that hosts know the queue that was added last once
// maxApplyTime has passed, and logs those that don't.
func (sc *scenario) checkNewestQueueKnown(hosts []*simHost) {
	sc.t.Helper()
	q := sc.queues[len(sc.queues)-1]
	time.Sleep(time.Until(q.addedAt.Add(maxApplyTime)))
	for _, h := range hosts {
		if got, err := sc.send(h, "GET", q.prefix, "", requestTimeout); err != nil || got.status != 200 {
			sc.t.Errorf("%s answers %d, %v for %s, which was added %v before", h.set.Name, got.status, err, q.prefix, maxApplyTime)
		}
	}
}

// newConfigurationTest returns a scenario of the simulation whose hosts have settled.
func newConfigurationTest(s *simulation) *scenario {
	sc := &scenario{simulation: s, unavailable: map[*simHost]bool{}, startedAt: map[*simHost]time.Time{}, knownQueues: map[*simHost]int{}, rand: newSeededRand(1)}
	sc.configure()
	time.Sleep(startupTime)
	return sc
}

// Hosts must learn of a change although the two with the highest hashes can't pass it on.
func TestVirtualChangeWhenHighestRankedHostsFail(t *testing.T) {
	faults := map[string]func(sc *scenario, h *simHost) func(){
		"CutOff":       func(sc *scenario, h *simHost) func() { return sc.isolateHost(h) },
		"CutFromStore": func(sc *scenario, h *simHost) func() { return sc.cutLink(h.set.Name, "store", true) },
		"Killed": func(sc *scenario, h *simHost) func() {
			sc.network.LosePower(h.set.Name)
			h.kill()
			return func() { sc.restart(h, true) }
		},
	}
	for name, begin := range faults {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, 7, 3, func(s *simulation) {
				sc := newConfigurationTest(s)
				for range configurationRounds {
					hosts := slices.Clone(s.hosts)
					slices.SortFunc(hosts, func(a, b *simHost) int {
						return cmp.Compare(xxhash.Sum64String(b.incarnation), xxhash.Sum64String(a.incarnation))
					})
					var ends []func()
					for _, h := range hosts[:2] {
						ends = append(ends, begin(sc, h))
					}
					time.Sleep(100 * time.Millisecond)
					sc.configure()
					sc.checkNewestQueueKnown(hosts[2:])
					for _, end := range ends {
						end()
					}
					time.Sleep(2*settleTime + 700*time.Millisecond)
				}
			})
		})
	}
}

// A change must not stay unknown because the watches of that time ended without it.
func TestVirtualWatchesMissChange(t *testing.T) {
	simulate(t, 1, 2, 3, func(s *simulation) {
		sc := newConfigurationTest(s)
		for range configurationRounds {
			endFault := sc.injectStoreFault(standin.StoreFaults{WatchesSilent: true})
			sc.configure()
			time.Sleep(2 * time.Second)
			endFault()
			time.Sleep(settleTime)
			sc.checkNewestQueueKnown(s.hosts)
		}
	})
}

// Hosts that the store refuses must learn of a change from the one that it serves.
func TestVirtualStoreServesOneHost(t *testing.T) {
	simulate(t, 1, 7, 3, func(s *simulation) {
		sc := newConfigurationTest(s)
		for n := range s.hosts {
			refused := map[string]bool{}
			for _, h := range s.hosts {
				refused[h.set.Name] = h != s.hosts[n]
			}
			endFault := sc.injectStoreFault(standin.StoreFaults{RejectedHosts: refused})
			time.Sleep(settleTime)
			sc.configure()
			sc.checkNewestQueueKnown(s.hosts)
			endFault()
			time.Sleep(settleTime)
		}
	})
}

// A change must be in force in time although open connections deliver nothing any more.
func TestVirtualChangeAfterConnectionsFellSilent(t *testing.T) {
	simulate(t, 2, 4, 3, func(s *simulation) {
		sc := newConfigurationTest(s)
		for n := range configurationRounds {
			for _, h := range s.hosts {
				s.network.Silence(h.set.Name)
			}
			// A host counts as undisturbed settleTime after its connections fell silent.
			time.Sleep(settleTime - maxApplyTime + time.Duration(n)*200*time.Millisecond)
			sc.configure()
			sc.checkNewestQueueKnown(s.hosts)
			time.Sleep(2 * settleTime)
		}
	})
}

// No host may end with an older one of versions that are accepted at about the same time.
func TestVirtualChangesAtOnce(t *testing.T) {
	for name, gap := range map[string]time.Duration{"Same": 0, "Millisecond": time.Millisecond, "Delay": simNetworkDelay} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 2, 4, 3, func(s *simulation) {
				sc := newConfigurationTest(s)
				sc.idleQueues = 400
				for range configurationRounds {
					for range 3 {
						sc.configure()
						time.Sleep(gap)
					}
					sc.checkNewestQueueKnown(s.hosts)
				}
			})
		})
	}
}
