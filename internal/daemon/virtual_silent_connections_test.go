package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// silentShare is the share of the open connections that go silent.
const silentShare = 0.7

// Jobs must not be lost, nor hosts or owners given up, because open connections between
// hosts deliver nothing any more.
func TestVirtualSilentConnections(t *testing.T) {
	isHost := func(name string) bool { return strings.HasPrefix(name, "entry") }
	tests := map[string]struct {
		forth, back bool
		chosen      func(dialer, listener string) bool
	}{
		"Both":      {true, true, func(a, b string) bool { return isHost(a) && isHost(b) }},
		"ToDialed":  {true, false, func(a, b string) bool { return isHost(a) && isHost(b) }},
		"ToDialing": {false, true, func(a, b string) bool { return isHost(a) && isHost(b) }},
		"Servers":   {true, true, func(a, b string) bool { return isHost(a) && strings.HasPrefix(b, "server") }},
		"FromServers": {false, true, func(a, b string) bool {
			return isHost(a) && strings.HasPrefix(b, "server")
		}},
		"Store":     {true, true, func(a, b string) bool { return isHost(a) && b == "store" }},
		"FromStore": {false, true, func(a, b string) bool { return isHost(a) && b == "store" }},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			simulate(t, 2, 4, 3, func(s *simulation) {
				sc := newConfigurationTest(s)
				random := newSeededRand(2)
				memberChanges := s.eventCount("MemberChanged")
				const rounds, jobs, interval = 3, 100, 20 * time.Millisecond
				for round := range rounds {
					type result struct {
						at  time.Duration
						got response
						err error
					}
					results := make(chan result, jobs)
					for n := range jobs {
						go func() {
							time.Sleep(time.Duration(n) * interval)
							body := fmt.Sprintf(simJobFormat, 100+10*(n%40), 2, 300)
							got, err := s.send(s.hosts[n%len(s.hosts)], "POST", fmt.Sprintf("%s%016x", sc.queues[0].prefix, round*jobs+n), body, 6*time.Second)
							results <- result{time.Duration(n) * interval, got, err}
						}()
					}
					const silentAt = 500 * time.Millisecond
					time.Sleep(silentAt + time.Duration(random.IntN(100))*time.Millisecond)
					s.network.SilenceSome(func(dialer, listener string) (forth, back bool) {
						hit := c.chosen(dialer, listener) && random.Float64() < silentShare
						return hit && c.forth, hit && c.back
					})
					for range jobs {
						r := <-results
						notRun := r.got.status == 503 && r.at >= silentAt-interval && r.at < silentAt+time.Second
						if r.err != nil || r.got.status != 200 && !notRun {
							t.Errorf("round %d: job submitted at %v: %+v, %v", round, r.at, r.got, r.err)
						}
					}
					sc.configure()
					sc.checkNewestQueueKnown(s.hosts)
				}
				if n := s.eventCount("OwnerLost") + s.eventCount("SessionExpired"); n > 0 {
					t.Errorf("%d sessions were lost", n)
				}
				if n := s.eventCount("MemberChanged") - memberChanges; n > 0 {
					t.Errorf("hosts changed their opinion of running members %d times", n)
				}
			})
		})
	}
}
