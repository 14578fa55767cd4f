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
	// storeReads and storeWrites are what the store serves a second, by the site
	// files of the users.
	storeReads, storeWrites = 2000, 400
	// hostsInTwoYears is the size that the site files name as the target.
	hostsInTwoYears = 1483
	herdDomains     = 3
	herdHosts       = 12
	herdAway        = 3 * time.Second
)

// callTimes notes the calls to the store.
type callTimes struct {
	mu                     sync.Mutex
	reads, writes, refused []time.Time
}

func (c *callTimes) note(price standin.StoreLoad, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !served {
		c.refused = append(c.refused, time.Now())
	}
	if price.Writes > 0 {
		c.writes = append(c.writes, time.Now())
		return
	}
	c.reads = append(c.reads, time.Now())
}

// peaks returns the most calls of each kind within any second from a time on.
func (c *callTimes) peaks(from time.Time) (reads, writes, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return peak(c.reads, from), peak(c.writes, from), peak(c.refused, from)
}

// peak returns the most calls within any second from a time on.
func peak(times []time.Time, from time.Time) int {
	times = times[len(times)-len(slices.DeleteFunc(slices.Clone(times), from.After)):]
	most, first := 0, 0
	for last, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// settled checks that no call was refused from a time on.
func (c *callTimes) settled(t *testing.T, when string, from time.Time) {
	t.Helper()
	reads, writes, refused := c.peaks(from)
	t.Logf("%s: %d reads and %d writes in the worst second", when, reads, writes)
	if refused > 0 {
		t.Errorf("%s: %d calls were refused in a second", when, refused)
	}
}

// TestVirtualHerd covers the return of all hosts at once, after a loss of power
// and while the configuration changes, with a store that serves them their share
// of the calls at the size of two years: hosts serve and are listed within the
// time that the platform states, and no call is refused before and after.
func TestVirtualHerd(t *testing.T) {
	for name, away := range map[string]func(d *virtualDay) func(){
		"KillAll":          virtualFaults["KillAll"].begin,
		"StoreDownLapsing": virtualFaults["StoreDownLapsing"].begin,
		"StoreBusy":        virtualFaults["StoreBusy"].begin,
	} {
		t.Run(name, func(t *testing.T) {
			playVirtual(t, herdDomains, herdHosts, 4, func(v *virtual) {
				calls := &callTimes{}
				v.store.Observe(calls.note)
				share := float64(len(v.hosts)) / hostsInTwoYears
				v.store.SetRateLimits(standin.StoreLoad{Reads: share * storeReads, Writes: share * storeWrites})
				d := &virtualDay{virtual: v, leaving: map[*virtualHost]bool{}, upSince: map[*virtualHost]time.Time{}, knows: map[*virtualHost]int{}}
				d.rand = newRand(1)
				d.configure()
				time.Sleep(dayRecover)
				steady := time.Now()
				time.Sleep(dayRecover)
				calls.settled(t, "before", steady)
				begun := time.Now()
				end := away(d)
				time.Sleep(herdAway)
				d.configure()
				end()
				back := time.Now()
				d.configure()
				var served sync.WaitGroup
				for n, h := range v.hosts {
					served.Go(func() {
						for try := 0; ; try++ {
							got, err := v.ask(h, "POST", fmt.Sprintf("/jobs2/%08x%08x", n, try), fmt.Sprintf(virtualJob, 20, 1, 20), dayBudget)
							if err == nil && got.status == 200 {
								return
							}
							if time.Since(back) > dayRecover {
								t.Errorf("%s: %d, %v", h.set.Name, got.status, err)
								return
							}
							time.Sleep(100 * time.Millisecond)
						}
					})
				}
				served.Wait()
				took := time.Since(back)
				time.Sleep(time.Until(back.Add(dayRecover)))
				if n := len(v.store.Keys("guavayoke/hosts/")); n != len(v.hosts) {
					t.Errorf("%d of %d hosts are listed", n, len(v.hosts))
				}
				reads, writes, refused := calls.peaks(begun)
				t.Logf("%d hosts: served after %v; in the worst second of the return %d reads, %d writes, %d refused",
					len(v.hosts), took, reads, writes, refused)
				steady = time.Now()
				time.Sleep(dayRecover)
				calls.settled(t, "after", steady)
			})
		})
	}
}
