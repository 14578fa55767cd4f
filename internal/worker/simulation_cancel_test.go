package worker_test

import (
	"testing"
	"time"

	"guavayoke/internal/worker"
)

// Callers of the simulation that cancel their jobs, at any host.

const (
	// simCancelLimit and simStableTime are the platform's bounds: no host that nothing has
	// disturbed for simStableTime starts a task later than simCancelLimit after the job's
	// cancellation was acknowledged.
	simCancelLimit, simStableTime = 3 * time.Second, 3 * time.Second
	// simCancelTimeout is how long a caller waits for the outcome of a cancellation,
	// simCancelRetry how long until it asks again after a refusal.
	simCancelTimeout, simCancelRetry = 2 * time.Second, time.Second
	// cancelledSteps is the number of further steps of jobs, which start after simCancelLimit.
	cancelledSteps = 5
)

// addSteps makes a job run more steps like its first one, in a row.
func (j *simJob) addSteps(count int) {
	j.job.Budget += time.Duration(count) * j.runTime
	for n := range count {
		st := j.job.Steps[0]
		st.After = []int{n}
		j.job.Steps = append(j.job.Steps, st)
	}
}

// cancelLater makes the caller of some jobs cancel them.
func (w *simulation) cancelLater(at *simAttempt) {
	if j := at.job; w.faults.Cancels > 0 && !j.cancels && w.rand.Float64() < w.faults.Cancels {
		j.cancels = true
		h := at.host
		if w.rand.IntN(2) == 0 {
			h = w.hosts[w.rand.IntN(len(w.hosts))]
		}
		w.after(time.Duration(w.rand.IntN(600))*time.Millisecond, func() { w.cancel(j, h) })
	}
}

// cancel cancels a job at a host, and at others until the cancellation is acknowledged.
func (w *simulation) cancel(j *simJob, h *simHost) {
	if j.finished || !j.cancelledAt.IsZero() {
		return
	}
	w.tracef("job %s is cancelled at host%d", j.job.ID, h.index)
	answered := false
	again := func(after time.Duration) {
		w.after(after, func() { w.cancel(j, w.hosts[w.rand.IntN(len(w.hosts))]) })
	}
	outcome := func(o worker.CancelOutcome) {
		if answered {
			return
		}
		answered = true
		w.tracef("the cancellation of job %s is answered %v", j.job.ID, o)
		if o == worker.CancelUnconfirmed {
			again(simCancelRetry)
			return
		}
		w.cancelAcked(j)
	}
	w.after(simCancelTimeout, func() {
		if !answered {
			answered = true
			again(0)
		}
	})
	gen := h.generation
	h.read(gen, func() {
		found := false
		if h.loop != nil {
			found = len(h.loop.mailbox.WithdrawAll(0, j.job.ID)) > 0
		}
		h.do(simControl, gen, func(x *worker.Host, now time.Time) { h.cancels[x.Entry().CancelJob(now, j.job.ID, found)] = outcome })
	})
}

// cancelAcked notes that a cancellation was acknowledged.
func (w *simulation) cancelAcked(j *simJob) {
	if j.finished {
		return
	}
	j.cancelledAt, j.finished = w.now, true
}

// arriveLater makes some submissions arrive late, so that the cancellation may overtake them.
func (w *simulation) arriveLater(at *simAttempt) {
	if w.faults.Overtaken == 0 || w.rand.Float64() >= w.faults.Overtaken {
		w.arrive(at)
		return
	}
	w.after(time.Duration(w.rand.IntN(2000))*time.Millisecond, func() {
		if !at.host.alive || at.host.generation != at.hostGeneration {
			w.retryLater(at)
			return
		}
		w.tracef("job %s arrives at host%d", at.job.job.ID, at.host.index)
		w.arrive(at)
	})
}

// checkCancelled fails the test if a host starts a task of a cancelled job.
func (w *simulation) checkCancelled(h *simHost, j *simJob, k worker.RunKey) {
	late := w.now.Sub(j.cancelledAt)
	undisturbed := w.now.Sub(h.frozenUntil) > simStableTime && w.now.Sub(h.bootedAt) > simStableTime && h.leavingSince.IsZero()
	if !j.cancelledAt.IsZero() && late > simCancelLimit && undisturbed {
		w.failf("Unasked: host%d starts %v %v after the cancellation was acknowledged", h.index, k, late)
	}
}

// cancelCases are scenarios in which callers cancel jobs of several steps.
var cancelCases = map[string]simCase{
	"Calm":      {faults: simFaults{Cancels: 0.5}, rate: 3, meanRunTime: time.Second},
	"CalmLanes": {faults: simFaults{Cancels: 0.5, Lanes: true}, rate: 3, meanRunTime: time.Second},
	"Overtaken": {faults: simFaults{Cancels: 0.5, Lanes: true, Overtaken: 0.5}, rate: 3, meanRunTime: time.Second},
	"Freezes":   {faults: simFaults{Cancels: 0.5, Lanes: true, Overtaken: 0.3, Freezes: 0.5}, rate: 3, meanRunTime: time.Second},
	"Paths":     {faults: simFaults{Cancels: 0.5, Lanes: true, Overtaken: 0.3, Silences: 1, Slow: 0.5, SlowPaths: 1}, rate: 3, meanRunTime: time.Second},
	"Changes":   {faults: simFaults{Cancels: 0.5, Lanes: true, Overtaken: 0.3, Kills: 0.2, Leaves: 0.3}, rate: 3, meanRunTime: time.Second},
}

// TestSimulationCancels checks that cancelled jobs end, beside the invariants of
// TestSimulationKeepsInvariants.
func TestSimulationCancels(t *testing.T) { runScenarios(t, cancelCases) }
