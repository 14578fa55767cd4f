package worker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"guavayoke/internal/worker"
)

// Servers of the simulation that a task crashes.

const (
	// maxCrashes and maxStartsAfterCrashes are the limits that the platform states: a third
	// start after three servers have crashed breaks a rule.
	maxCrashes            = 3
	maxStartsAfterCrashes = 2
	// crashDelay is the time from the start of a crashing task to the crash, crashDowntime
	// that until the server is back.
	crashDelay    = 40 * time.Millisecond
	crashDowntime = 3300 * time.Millisecond
)

// startedTask notes the start of a run, whose server crashes if the task is a crashing one.
func (w *simulation) startedTask(s *simServer, j *simJob, k worker.RunKey) {
	if w.crashes[k.Task] >= maxCrashes && k.Task == j.crashingTask {
		if w.startsAfter[k.Task]++; w.startsAfter[k.Task] > maxStartsAfterCrashes {
			w.failf("Crashes: %s is started for the %dth time after %d servers have crashed under it", k.Task, w.startsAfter[k.Task], maxCrashes)
		}
	}
	if k.Task != j.crashingTask {
		return
	}
	life := s.lives
	w.after(crashDelay, func() {
		if s.lives == life && !s.refusing && slices.Contains(s.Running(), k) {
			w.crash(s)
		}
	})
}

// crash ends the process of a server. It comes back at its address with another ID.
func (w *simulation) crash(s *simServer) {
	w.tracef("%s crashes with %v", s.Info.ID, s.Running())
	for _, k := range s.Running() {
		w.crashes[k.Task]++
	}
	s.Boot(w.now)
	s.lives++
	s.refusing, s.downUntil = true, w.now.Add(crashDowntime)
	for _, poll := range s.waitingPolls {
		poll.done = true
		w.after(linkDelay, poll.broken)
	}
	s.waitingPolls = nil
	w.after(crashDowntime, func() {
		s.refusing = false
		s.Info.ID = fmt.Sprintf("%s+%d", s.Info.Address, s.lives)
		w.byID[s.Info.ID] = s
		s.Boot(w.now)
	})
}

// TestCrashingTasksAreGivenUp guards against a task that crashes server after server while
// its caller waits, against one that is forgotten with its owner, and against the failure of
// a task that only ran beside it.
func TestCrashingTasksAreGivenUp(t *testing.T) {
	tests := map[string]struct {
		share float64
		rate  float64
		kills float64
		// minServed is the least share of the other jobs that are completed.
		minServed float64
	}{
		"FewJobs":      {share: 0.02, rate: 20, minServed: 0.97},
		"ManyJobs":     {share: 0.1, rate: 30, minServed: 0.9},
		"OwnersKilled": {share: 0.05, rate: 30, kills: 0.4, minServed: 0.85},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(simSeeds) {
				w := runScenario(t, seed, simCase{rate: c.rate, servers: 24, settle: 20 * time.Second, faults: simFaults{CrashingJobs: c.share, Kills: c.kills}})
				completed, sound, most := 0, 0, 0
				for _, id := range sortedJobs(w) {
					j := w.jobs[id]
					for n := range j.job.Steps[0].Count {
						most = max(most, w.crashes[fmt.Sprintf("%s.0.0.%d", id, n)])
					}
					if j.crashingTask != "" {
						if j.lastOutcome == worker.Completed {
							t.Errorf("seed %d: job %s has a crashing task and was answered as completed", seed, id)
						}
						continue
					}
					sound++
					if j.lastOutcome == worker.Failed {
						t.Errorf("seed %d: job %s, whose tasks crash no server, was answered as failed", seed, id)
					}
					if j.lastOutcome == worker.Completed {
						completed++
					}
				}
				served := float64(completed) / float64(sound)
				t.Logf("seed %d: %.3f of %d sound jobs completed, %d failed, at most %d crashes under a task", seed, served, sound, w.failed, most)
				if served < c.minServed {
					t.Errorf("seed %d: %.3f of the sound jobs are completed, want %.2f", seed, served, c.minServed)
				}
			}
		})
	}
}
