package daemon

import (
	"fmt"
	"testing"
	"time"

	"guavayoke/platform/standin"
)

// TestVirtualBudget covers tasks of which many runs fail: none is started once
// the attempts of its queue have failed, the job is then answered at once, and
// no job waits for servers that fail no more than the others.
func TestVirtualBudget(t *testing.T) {
	const failPercent, jobs, attempts = 50, 120, 4
	for name, during := range map[string]func(d *virtualDay){
		"Calm":       func(*virtualDay) {},
		"OwnerStops": func(d *virtualDay) { d.hosts[0].stop(); d.restart(d.hosts[0], false) },
		"ServerCut":  func(d *virtualDay) { time.AfterFunc(2*time.Second, d.cut("entry0-0", "server0-1", true)) },
		"ServerMute": func(d *virtualDay) { d.servers.SetGrayFailure(0, standin.GrayFailure{LoseReplyPercent: 50}) },
	} {
		t.Run(name, func(t *testing.T) {
			playVirtual(t, 1, 2, 3, func(v *virtual) {
				d := &virtualDay{
					virtual: v, rand: newRand(1), counts: map[string]int{}, knows: map[*virtualHost]int{},
					upSince: map[*virtualHost]time.Time{}, leaving: map[*virtualHost]bool{},
				}
				d.configure()
				v.servers.MaxAttempts = attempts
				v.servers.SetFaults(standin.ServerFaults{FailPercent: failPercent})
				time.Sleep(dayStart)
				type result struct {
					id  string
					got adaptedAnswer
					err error
				}
				results := make(chan result, jobs)
				for n := range jobs {
					id := fmt.Sprintf("%016x", n)
					go func() {
						time.Sleep(time.Duration(n) * 50 * time.Millisecond)
						got, err := v.ask(v.hosts[1], "POST", "/jobs0/"+id, fmt.Sprintf(virtualJob, 100, 2, 100), dayBudget)
						results <- result{id, got, err}
					}()
				}
				time.Sleep(2 * time.Second)
				during(d)
				failed := 0
				for range jobs {
					r := <-results
					most := v.servers.MaxFailedRuns(r.id)
					switch {
					case r.err != nil || r.got.status != 200 && r.got.status != 503:
						t.Errorf("job %s: %+v, %v", r.id, r.got, r.err)
					case r.got.body == `{"state":"failed"}` && most < attempts:
						t.Errorf("job %s was answered as failed after %d failed runs of a task", r.id, most)
					case r.got.body == `{"state":"failed"}`:
						failed++
					}
				}
				if failed == 0 {
					t.Error("no job was given up")
				}
				for _, o := range v.servers.ExcessStarts() {
					// Behind a cut the owner can't know of an end.
					if name != "ServerCut" || !o.Unacknowledged {
						t.Errorf("%s was started on %s after %d failed runs", o.Task, o.Server, o.FailedRuns)
					}
				}
			})
		})
	}
}
