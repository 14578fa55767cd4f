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
	// storeReadsPerSecond and storeWritesPerSecond are the rates of calls that the store
	// serves, according to the site files of the users.
	storeReadsPerSecond, storeWritesPerSecond = 2000, 400
	// targetHosts is the number of hosts that the site files name as the target for two
	// years from now.
	targetHosts        = 1483
	herdDomainCount    = 3
	herdHostsPerDomain = 12
	herdOutage         = 3 * time.Second
)

// storeCallTimes records the times of the calls to the store. refused calls are also
// counted as reads or writes.
type storeCallTimes struct {
	mu                     sync.Mutex
	reads, writes, refused []time.Time
}

func (c *storeCallTimes) record(load standin.StoreLoad, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !served {
		c.refused = append(c.refused, time.Now())
	}
	if load.Writes > 0 {
		c.writes = append(c.writes, time.Now())
		return
	}
	c.reads = append(c.reads, time.Now())
}

// maxRates returns the maximum number of calls of each kind within one second, from a
// time on.
func (c *storeCallTimes) maxRates(from time.Time) (reads, writes, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maxPerSecond(c.reads, from), maxPerSecond(c.writes, from), maxPerSecond(c.refused, from)
}

// maxPerSecond returns the maximum number of times within one second, from a time on.
func maxPerSecond(times []time.Time, from time.Time) int {
	times = times[len(times)-len(slices.DeleteFunc(slices.Clone(times), from.After)):]
	maxCalls, first := 0, 0
	for last, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		maxCalls = max(maxCalls, last-first+1)
	}
	return maxCalls
}

// checkNoneRefused checks that no call was refused from a time on.
func (c *storeCallTimes) checkNoneRefused(t *testing.T, when string, from time.Time) {
	t.Helper()
	reads, writes, refused := c.maxRates(from)
	t.Logf("%s: %d reads and %d writes in the worst second", when, reads, writes)
	if refused > 0 {
		t.Errorf("%s: %d calls were refused in a second", when, refused)
	}
}

// TestVirtualThunderingHerd covers the thundering herd of hosts that all return at
// once, after they were killed or the store failed, while the configuration changes.
// The store limits its calls to the share that these hosts would have among
// targetHosts. All hosts must serve and be listed within the time that the platform
// states, and the store must refuse no call in the steady state before the fault and
// after the recovery.
func TestVirtualThunderingHerd(t *testing.T) {
	for name, beginFault := range map[string]func(sc *scenario) func(){
		"KillAll":          faultKinds["KillAll"].begin,
		"StoreDownLapsing": faultKinds["StoreDownLapsing"].begin,
		"StoreBusy":        faultKinds["StoreBusy"].begin,
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, herdDomainCount, herdHostsPerDomain, 4, func(s *simulation) {
				calls := &storeCallTimes{}
				s.store.Observe(calls.record)
				share := float64(len(s.hosts)) / targetHosts
				s.store.SetRateLimits(standin.StoreLoad{Reads: share * storeReadsPerSecond, Writes: share * storeWritesPerSecond})
				sc := &scenario{simulation: s, unavailable: map[*simHost]bool{}, startedAt: map[*simHost]time.Time{}, knownQueues: map[*simHost]int{}}
				sc.rand = newSeededRand(1)
				sc.configure()
				time.Sleep(maxRecoveryTime)
				steadyFrom := time.Now()
				time.Sleep(maxRecoveryTime)
				calls.checkNoneRefused(t, "before", steadyFrom)
				outageStart := time.Now()
				endFault := beginFault(sc)
				time.Sleep(herdOutage)
				sc.configure()
				endFault()
				outageEnd := time.Now()
				sc.configure()
				var served sync.WaitGroup
				for n, h := range s.hosts {
					served.Go(func() {
						for try := 0; ; try++ {
							got, err := s.send(h, "POST", fmt.Sprintf("/jobs2/%08x%08x", n, try), fmt.Sprintf(simJobFormat, 20, 1, 20), requestTimeout)
							if err == nil && got.status == 200 {
								return
							}
							if time.Since(outageEnd) > maxRecoveryTime {
								t.Errorf("%s: %d, %v", h.set.Name, got.status, err)
								return
							}
							time.Sleep(100 * time.Millisecond)
						}
					})
				}
				served.Wait()
				servedAfter := time.Since(outageEnd)
				time.Sleep(time.Until(outageEnd.Add(maxRecoveryTime)))
				if n := len(s.store.Keys("guavayoke/hosts/")); n != len(s.hosts) {
					t.Errorf("%d of %d hosts are listed", n, len(s.hosts))
				}
				reads, writes, refused := calls.maxRates(outageStart)
				t.Logf("%d hosts: served after %v; in the worst second of the return %d reads, %d writes, %d refused",
					len(s.hosts), servedAfter, reads, writes, refused)
				steadyFrom = time.Now()
				time.Sleep(maxRecoveryTime)
				calls.checkNoneRefused(t, "after", steadyFrom)
			})
		})
	}
}
