package worker_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"guavayoke/internal/worker"
)

// Callers, load and faults of the simulation.

// submit submits a job at a random host that the load balancer would choose.
func (w *simulation) submit(j *simJob) {
	var up []*simHost
	for _, h := range w.hosts {
		// The load balancer stops sending jobs to a leaving host after about 2 s.
		if h.alive && !w.now.Before(h.frozenUntil) && (h.leavingSince.IsZero() || w.now.Sub(h.leavingSince) < 2*time.Second) {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		w.after(resubmitDelay, func() { w.submit(j) })
		return
	}
	h := up[w.rand.IntN(len(up))]
	if j.fixedHost {
		h = w.hosts[j.entryHost]
	}
	w.submitTo(h, j)
}

// submitTo submits a job at a host.
func (w *simulation) submitTo(h *simHost, j *simJob) {
	at := &simAttempt{job: j, host: h, hostGeneration: h.generation, at: w.now}
	j.attempts++
	w.cancelLater(at)
	w.tracef("job %s is submitted at host%d", j.job.ID, h.index)
	w.arriveLater(at)
}

// arrive makes a submission arrive at its host.
func (w *simulation) arrive(at *simAttempt) {
	h, in := at.host, at.job.job
	if w.faults.SilentCallers > 0 && w.rand.Float64() < w.faults.SilentCallers {
		at.silent, in.Budget = true, time.Duration(100+w.rand.IntN(900))*time.Millisecond
		w.after(in.Budget, func() { w.retryLater(at) })
	}
	var id worker.WaiterID
	h.submitOwn(at, in, func(x *worker.Host, now time.Time, in worker.Job) {
		var ok bool
		if id, ok = x.Submit(now, in); !ok {
			w.answered(at, worker.Result{Outcome: worker.Refused})
			return
		}
		h.waiting[id] = at
	}, func(x *worker.Host, now, since time.Time) {
		if h.waiting[id] != nil {
			delete(h.waiting, id)
			x.Entry().CallerLeft(now, id, since)
		}
	})
}

// answered handles the result that a caller receives.
func (w *simulation) answered(at *simAttempt, r worker.Result) {
	if r.Outcome == worker.Lost && r.Reason != "StartUnresolved" {
		at.job.unresolvedFrom = w.now.Add(maxRemembered)
	}
	if at.finished || at.silent {
		return
	}
	at.finished = true
	j := at.job
	if !j.cancelledAt.IsZero() {
		return
	}
	w.answers++
	j.lastOutcome = r.Outcome
	if j.answered != nil {
		j.answered(r)
	}
	w.tracef("job %s is answered %v %s", j.job.ID, r.Outcome, r.Reason)
	switch r.Outcome {
	case worker.Completed:
		w.completed++
		j.completedAt = w.now
		if objective := time.Duration(j.job.Stretch*float64(j.runTime)) + j.job.Target; w.now.Sub(j.at) <= objective {
			w.onTime++
		}
		j.finished, j.onlyRefused = true, false
	case worker.Failed:
		w.failed++
		j.finished, j.onlyRefused = true, false
	case worker.Refused, worker.Returned:
		w.refused++
		j.finished = true
		if j.onlyRefused && j.started {
			w.failf("Refused: job %s was refused each time, but one of its tasks was started", j.job.ID)
		}
	case worker.Lost:
		w.lost++
		j.onlyRefused = false
		if since := at.at.Sub(j.unresolvedFrom); r.Reason == "StartUnresolved" && since > w.longestUnresolved() {
			w.failf("Unresolved: job %s is lost for an unresolved start %v after it", j.job.ID, since)
		}
		w.after(resubmitDelay, func() { w.submitAgain(j) })
	}
}

// submitAgain submits a job again unless it was cancelled.
func (w *simulation) submitAgain(j *simJob) {
	if j.cancelledAt.IsZero() {
		w.submit(j)
	}
}

// longestUnresolved returns the time of the invariant Unresolved.
func (w *simulation) longestUnresolved() time.Duration {
	if w.hostsStandStill {
		return maxUnresolved + 2*maxStandstill
	}
	return maxUnresolved
}

// retryLater makes the caller of an attempt submit its job again, as it got no response.
func (w *simulation) retryLater(at *simAttempt) {
	if at.finished || !at.job.cancelledAt.IsZero() {
		return
	}
	at.finished = true
	at.job.onlyRefused = false
	at.job.unresolvedFrom = w.now.Add(maxRemembered)
	w.after(resubmitDelay, func() { w.submitAgain(at.job) })
}

// ownerLost notes that a host has lost its session with the owner of an incarnation, of which it
// knows the jobs of its own callers and may be the witness.
func (w *simulation) ownerLost(h *simHost, incarnation string) {
	for _, o := range w.hosts {
		if o != h && o.incarnation != incarnation {
			continue
		}
		for _, at := range o.waiting {
			at.job.unresolvedFrom = w.now
		}
	}
}

// kill ends the process of a host and starts a new one after the time down. The
// connections of its callers break, so they retry.
func (w *simulation) kill(h *simHost, down time.Duration) {
	if !h.alive {
		return
	}
	w.tracef("host%d is killed", h.index)
	h.alive = false
	attempts := h.unread
	for _, id := range slices.Sorted(maps.Keys(h.waiting)) {
		attempts = append(attempts, h.waiting[id])
	}
	h.unread = nil
	for _, at := range attempts {
		w.retryLater(at)
	}
	for _, name := range slices.Sorted(maps.Keys(h.streams)) {
		h.streams[name].disconnect(0)
	}
	for _, id := range slices.Sorted(maps.Keys(h.sessions)) {
		h.sessions[id].disconnect(1)
	}
	w.after(2*time.Second, w.updateMembers)
	w.after(down, h.boot)
}

// poisson calls f at the times of a Poisson process with rate events per second,
// until end.
func (w *simulation) poisson(rate float64, end time.Time, f func()) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		w.after(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second)), func() {
			if w.now.Before(end) {
				f()
				next()
			}
		})
	}
	next()
}

// injectFaults schedules random faults until end, at the rates of w.faults.
func (w *simulation) injectFaults(end time.Time) {
	f := w.faults
	host := func() *simHost { return w.hosts[w.rand.IntN(len(w.hosts))] }
	server := func() *simServer { return w.servers[w.rand.IntN(len(w.servers))] }
	span := func(maxMs int) time.Duration { return time.Duration(w.rand.IntN(maxMs)) * time.Millisecond }
	w.poisson(f.Kills, end, func() { w.kill(host(), 200*time.Millisecond+span(3000)) })
	w.poisson(f.Freezes, end, func() {
		h := host()
		h.frozenUntil = w.now.Add(span(int(maxStandstill.Milliseconds())))
		w.tracef("host%d is frozen until %.3f", h.index, h.frozenUntil.Sub(time.Unix(simStartUnix, 0)).Seconds())
	})
	w.poisson(f.HostCuts, end, func() {
		a, b := host(), host()
		if a != b {
			w.hostCuts[[2]int{min(a.index, b.index), max(a.index, b.index)}] = w.now.Add(span(5000))
			w.tracef("host%d and host%d are partitioned", a.index, b.index)
		}
	})
	w.poisson(f.Silences, end, w.silence)
	w.poisson(f.Slow, end, func() { host().slowDown() })
	w.poisson(f.SlowPaths, end, w.slowPaths)
	w.poisson(f.Pauses, end, func() {
		if h, until := host(), w.now.Add(span(250)); until.After(h.frozenUntil) {
			h.frozenUntil = until
		}
	})
	w.poisson(f.ServerCuts, end, func() {
		s, h := server(), host()
		s.cutUntil[h.index] = w.now.Add(span(5000))
		w.tracef("%s and host%d are partitioned", s.Info.ID, h.index)
	})
	w.poisson(f.Crashes, end, func() {
		w.crashUntil(server(), w.now.Add(200*time.Millisecond+span(3000)))
	})
	w.poisson(f.Resets, end, func() {
		s, h := server(), host()
		w.reset(s, h.index, span(2000))
	})
	w.poisson(f.Leaves, end, func() {
		h := host()
		// Planned stops in one domain happen one after the other.
		for _, o := range w.hosts {
			if o.domain == h.domain && (!o.alive || !o.leavingSince.IsZero()) {
				return
			}
		}
		h.leavingSince = w.now
		gen := h.generation
		w.tracef("host%d leaves", h.index)
		h.do(simWork, gen, func(x *worker.Host, now time.Time) { x.Leave(now) })
		w.after(5*time.Second, func() {
			if h.generation == gen {
				w.kill(h, 500*time.Millisecond)
			}
		})
	})
}

// crashUntil crashes a server, which starts again at a time.
func (w *simulation) crashUntil(s *simServer, until time.Time) {
	s.downUntil = until
	w.tracef("%s crashes", s.Info.ID)
	w.after(s.downUntil.Sub(w.now), func() {
		if w.faults.IDAlone {
			s.ClockOffset = time.Duration(w.rand.IntN(120_000)) * time.Millisecond
		}
		s.Boot(w.now)
		w.tracef("%s starts again, its clock at %v", s.Info.ID, s.ClockOffset)
	})
}

// submitJobs submits jobs at a rate per second until end. A job has 1 to width tasks,
// which need about need thousandths of a core each and run for about runTime.
func (w *simulation) submitJobs(rate float64, end time.Time, width, need int, runTime time.Duration) {
	w.poisson(rate, end, func() {
		w.nextJob++
		j := &simJob{at: w.now, done: map[string]bool{}, onlyRefused: true, runTime: runTime/2 + time.Duration(w.rand.Int64N(int64(runTime)))}
		j.job = worker.Job{
			ID: fmt.Sprintf("%016x", w.nextJob), Queue: "queue", Service: "booking", MaxFailures: 4, Stretch: 1.6,
			Target: 60 * time.Millisecond, Budget: 5*time.Second + 5*runTime,
			Steps: []worker.Step{{
				Count: 1 + w.rand.IntN(width), Estimate: j.runTime,
				Need: worker.Resources{CPUMilli: need/2 + w.rand.IntN(need), MemoryMB: 10},
			}},
		}
		if w.faults.Cancels > 0 {
			j.addSteps(cancelledSteps)
		}
		if w.faults.CrashingJobs > 0 && w.rand.Float64() < w.faults.CrashingJobs {
			j.crashingTask = fmt.Sprintf("%s.0.0.%d", j.job.ID, w.rand.IntN(j.job.Steps[0].Count))
		}
		w.jobs[j.job.ID] = j
		w.submit(j)
	})
}
