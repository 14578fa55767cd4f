package daemon

import (
	"sync"
	"testing"
	"time"
)

// TestVirtualLargeHostRestartsLast covers a restart of all hosts in which the one with
// most processor time is the last. The small hosts know each other before, and must not
// take the servers that the large one would then take from them, or lose to them.
func TestVirtualLargeHostRestartsLast(t *testing.T) {
	for name, lag := range map[string]time.Duration{"Together": 0, "Later": 400 * time.Millisecond, "MuchLater": 900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, 8, 6, func(s *simulation) {
				putConfiguration(t, s.store, 1)
				large := s.hosts[0]
				for _, h := range s.hosts {
					h.kill()
					<-h.done
					h.set.CPUShare = 0.19
					if h == large {
						h.set.CPUShare = 0.8
					}
					s.network.SetDown(h.set.Name, true)
					s.start(h)
				}
				// All hosts are registered by then.
				time.Sleep(20 * time.Second)
				sc := &scenario{simulation: s, unavailable: map[*simHost]bool{}, startedAt: map[*simHost]time.Time{}, knownQueues: map[*simHost]int{}}
				sc.killHosts(s.hosts)
				time.Sleep(time.Second)
				before := s.eventCount("OwnerSteppedDown")
				var restarts sync.WaitGroup
				for _, h := range s.hosts {
					restarts.Go(func() {
						if h == large {
							time.Sleep(lag)
						}
						sc.restart(h, true)
					})
				}
				restarts.Wait()
				time.Sleep(4 * time.Second)
				if n := s.eventCount("OwnerSteppedDown") - before; n > 0 {
					t.Errorf("%d owners stepped down after the restart, want none", n)
				}
				if owner, _ := s.owners.Load("domain0"); owner != large.set.Name {
					t.Errorf("the owner is %v, want %s", owner, large.set.Name)
				}
			})
		})
	}
}
