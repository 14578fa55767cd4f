package daemon

import (
	"fmt"
	"testing"
	"time"

	"guavayoke/platform/standin"
)

// TestVirtualAttemptLimit covers tasks of which many runs fail. Once a task has had as
// many failed runs as its queue allows attempts, it is not started again and its job is
// answered immediately. Servers that fail no more often than the others must not be
// excluded, since jobs would then wait for servers. A job may be lost only if a task of it has
// an unsettled start on a server that was cut off. It is lost for callers that return, too, but
// served once the command can't be executed any more.
func TestVirtualAttemptLimit(t *testing.T) {
	const failPercent, jobs, attempts = 50, 120, 4
	for name, disturbance := range map[string]func(sc *scenario){
		"Calm":       func(*scenario) {},
		"OwnerStops": func(sc *scenario) { sc.hosts[0].stop(); sc.restart(sc.hosts[0], false) },
		"ServerCut":  func(sc *scenario) { time.AfterFunc(2*time.Second, sc.cutLink("entry0-0", "server0-1", true)) },
		"ServerMute": func(sc *scenario) { sc.servers.SetGrayFailure(0, standin.GrayFailure{LoseReplyPercent: 50}) },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, 2, 3, func(s *simulation) {
				sc := &scenario{
					simulation: s, rand: newSeededRand(1), counts: map[string]int{}, knownQueues: map[*simHost]int{},
					startedAt: map[*simHost]time.Time{}, unavailable: map[*simHost]bool{},
				}
				sc.configure()
				s.servers.MaxAttempts = attempts
				s.servers.SetFaults(standin.ServerFaults{FailPercent: failPercent})
				time.Sleep(startupTime)
				type result struct {
					id  string
					got response
					err error
				}
				const cutServer = "server0-1"
				submit := func(id string) (response, error) {
					return s.send(s.hosts[1], "POST", "/jobs0/"+id, fmt.Sprintf(simJobFormat, 100, 2, 100), requestTimeout)
				}
				results := make(chan result, jobs)
				for n := range jobs {
					id := fmt.Sprintf("%016x", n)
					go func() {
						time.Sleep(time.Duration(n) * 50 * time.Millisecond)
						got, err := submit(id)
						results <- result{id, got, err}
					}()
				}
				time.Sleep(2 * time.Second)
				disturbance(sc)
				failed := 0
				var lost []string
				for range jobs {
					r := <-results
					failedRuns := s.servers.MaxFailedRuns(r.id)
					server, _ := s.mayStartLate(r.id)
					switch {
					case name == "ServerCut" && r.err == nil && r.got.status == 502 && server == cutServer:
						lost = append(lost, r.id)
					case r.err != nil || r.got.status != 200 && r.got.status != 503:
						t.Errorf("job %s: %+v, %v", r.id, r.got, r.err)
					case r.got.body == `{"state":"failed"}` && failedRuns < attempts:
						t.Errorf("job %s was answered as failed after %d failed runs of a task", r.id, failedRuns)
					case r.got.body == `{"state":"failed"}`:
						failed++
					}
				}
				if failed == 0 {
					t.Error("no job was answered as failed")
				}
				// A job that is submitted again may run again from its start.
				for _, o := range s.servers.ExcessStarts() {
					t.Errorf("%s was started on %s after %d failed runs", o.Task, o.Server, o.FailedRuns)
				}
				for _, id := range lost {
					if got, err := submit(id); err != nil || got.status != 502 {
						t.Errorf("job %s, which is lost, was submitted again: %+v, %v", id, got, err)
					}
				}
				time.Sleep(longestLateStart)
				for _, id := range lost {
					if got, err := submit(id); err != nil || got.status != 200 {
						t.Errorf("job %s, whose start can't be late any more: %+v, %v", id, got, err)
					}
				}
			})
		})
	}
}
