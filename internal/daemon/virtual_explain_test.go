package daemon

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"guavayoke/internal/explain"
)

// TestVirtualAccountOfLosses checks that the account of the log of daemons that were
// overloaded, and whose owner was killed, has the losses that the callers saw, and that
// it knows all their causes.
func TestVirtualAccountOfLosses(t *testing.T) {
	const jobs = 400
	file := filepath.Join(t.TempDir(), "hosts.log")
	t.Setenv("GUAVAYOKE_VIRTUAL_LOG", file)
	seen := map[int]int{}
	simulate(t, 1, 2, 2, func(s *simulation) {
		sc := &scenario{
			simulation: s, rand: newSeededRand(1), counts: map[string]int{}, knownQueues: map[*simHost]int{},
			startedAt: map[*simHost]time.Time{}, unavailable: map[*simHost]bool{},
		}
		sc.configure()
		time.Sleep(startupTime)
		statuses := make(chan int, jobs)
		for n := range jobs {
			go func() {
				time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				// A caller that gives up sees status 0.
				got, _ := s.send(s.hosts[1], "POST", fmt.Sprintf("/jobs0/%016x", n), fmt.Sprintf(simJobFormat, 200, 8, 16000), requestTimeout)
				statuses <- got.status
			}()
		}
		time.Sleep(3 * time.Second)
		s.hosts[0].kill()
		for range jobs {
			seen[<-statuses]++
		}
	})
	log, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	c := explain.NewCollector(explain.Config{})
	for line := range bytes.Lines(log) {
		c.Add("hosts", line)
	}
	a := c.Account()
	if a.Total.Refused != seen[503] || a.Total.Failed != seen[502] || a.Total.Left != seen[0] || a.Total.Asked != jobs || a.Malformed > 0 {
		t.Errorf("callers saw %v, the account has %+v of %+v", seen, a.Total, a.Counts)
	}
	if seen[503] == 0 || seen[502] == 0 {
		t.Errorf("callers saw %v; want refusals and lost jobs", seen)
	}
	if a.UnknownShare > 0 {
		t.Errorf("unknown causes: %v", a.UnknownReasons)
	}
	t.Logf("callers saw %v, causes %+v", seen, a.Causes)
}
