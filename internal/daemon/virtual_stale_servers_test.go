package daemon

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"guavayoke/platform/standin"
)

// TestVirtualNewOwnerOfLeavingServers covers invariant I6 across a change of owner. A
// host that owns no servers reads their list only now and then, so its list may be from
// before a server began to leave. When the owner is killed, its successor must not start
// tasks on that server, also if the store answers a read only after the successor has
// acquired the servers, or if the successor's connection to the store no longer delivers
// anything. While the store doesn't answer at all, jobs are served.
func TestVirtualNewOwnerOfLeavingServers(t *testing.T) {
	cases := map[string]struct {
		// silence makes the connections to the store deliver nothing any more, some
		// seconds before the server leaves. New connections work.
		silence bool
		faults  standin.StoreFaults
		// leavingFor is how long the server has been leaving when the owner is killed.
		leavingFor time.Duration
	}{
		"SlowReads":      {false, standin.StoreFaults{ResponseDelayMs: 60}, 2200 * time.Millisecond},
		"SlowReadsLater": {false, standin.StoreFaults{ResponseDelayMs: 60}, 2900 * time.Millisecond},
		"StoreDown":      {false, standin.StoreFaults{Down: true}, 0},
		"StoreHangs":     {false, standin.StoreFaults{ResponseDelayMs: 5000}, 0},
		"Silence":        {true, standin.StoreFaults{ResponseDelayMs: 60}, 2200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			// The age of the successor's list varies with the time of the kill.
			for after := 10 * time.Second; after < 22*time.Second; after += time.Second {
				killOwnerOfLeavingServer(t, after, c.silence, c.faults, c.leavingFor)
			}
		})
	}
}

// killOwnerOfLeavingServer kills the owner of a domain at the given time, and checks the
// starts of its successor and the answers of jobs that were sent just after the kill.
func killOwnerOfLeavingServer(t *testing.T, after time.Duration, silence bool, faults standin.StoreFaults, leavingFor time.Duration) {
	t.Helper()
	const jobs = 10
	const silentFor = 4 * time.Second
	simulate(t, 1, 3, 3, func(s *simulation) {
		putConfiguration(t, s.store, 1)
		time.Sleep(after - leavingFor - silentFor)
		if silence {
			s.network.LosePower("store")
			s.network.SetDown("store", false)
			s.serve("store:1", s.store.Handler)
		}
		time.Sleep(silentFor)
		if leavingFor > 0 {
			s.servers.SetLeaving(0, true)
			time.Sleep(leavingFor)
		}
		sc := &scenario{simulation: s}
		endFault := sc.injectStoreFault(faults)
		s.network.SetDown(s.hosts[0].set.Name, true)
		s.hosts[0].kill()
		time.Sleep(50 * time.Millisecond)
		var served atomic.Int64
		var callers sync.WaitGroup
		for n := range jobs {
			callers.Go(func() {
				got, err := s.send(s.hosts[1+n%2], "POST", fmt.Sprintf("/jobs/%016x", n), fmt.Sprintf(simJobFormat, 50, 2, 50), time.Second)
				if err == nil && got.status == 200 {
					served.Add(1)
				}
			})
		}
		callers.Wait()
		if n := served.Load(); n < jobs {
			t.Errorf("killed after %v: %d of %d jobs were served within a second", after, n, jobs)
		}
		if late := s.servers.LateStarts(maxDrainTime); len(late) > 0 {
			t.Errorf("killed after %v: %d late starts, first: %+v", after, len(late), late[0])
		}
		endFault()
	})
}
