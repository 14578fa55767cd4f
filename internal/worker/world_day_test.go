package worker_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"guavayoke/internal/worker"
)

// Days of the world: callers, their load, and faults.

// submit hands a job in at some host of any domain.
func (w *world) submit(j *worldJob) {
	var up []*worldHost
	for _, h := range w.hosts {
		// The balancer turns away from a leaving host after about two seconds.
		if h.alive && !w.now.Before(h.frozen) && (h.left.IsZero() || w.now.Sub(h.left) < 2*time.Second) {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		w.after(resend, func() { w.submit(j) })
		return
	}
	h := up[w.rand.IntN(len(up))]
	at := &worldAttempt{job: j, host: h, life: h.lives}
	j.attempts++
	w.note("job %s at host%d", j.job.ID, h.n)
	h.do(h.lives, func(x *worker.Host, now time.Time) {
		t, ok := x.Submit(now, j.job)
		if !ok {
			w.answered(at, worker.Result{Outcome: worker.Refused})
			return
		}
		h.waiting[t] = at
		if w.rand.Float64() < w.faults.CallerLeaves {
			w.after(time.Duration(w.rand.IntN(400))*time.Millisecond, func() {
				if !at.over {
					at.over = true
					j.over, j.allNo = true, false
					h.do(at.life, func(x *worker.Host, now time.Time) {
						if h.waiting[t] != nil {
							delete(h.waiting, t)
							x.Entry().CallerLeft(now, t)
						}
					})
				}
			})
		}
	})
}

// answered handles what a caller is told.
func (w *world) answered(at *worldAttempt, r worker.Result) {
	if at.over {
		return
	}
	at.over = true
	j := at.job
	w.answers++
	w.note("job %s is answered %v %s", j.job.ID, r.Outcome, r.Reason)
	switch r.Outcome {
	case worker.Completed:
		w.completed++
		if objective := time.Duration(j.job.Stretch*float64(j.work)) + j.job.Target; w.now.Sub(j.at) <= objective {
			w.onTime++
		}
		j.over, j.allNo = true, false
	case worker.Failed:
		w.failed++
		j.over, j.allNo = true, false
	case worker.Refused, worker.Returned:
		w.refused++
		j.over = true
		if j.allNo && j.started {
			w.fail("Refused: job %s was refused each time, but was started", j.job.ID)
		}
	case worker.Lost:
		w.lost++
		j.allNo = false
		w.after(resend, func() { w.submit(j) })
	}
}

// kill ends a host's process; its callers' connections break.
func (w *world) kill(h *worldHost, down time.Duration) {
	if !h.alive {
		return
	}
	w.note("host%d is killed", h.n)
	h.alive = false
	for _, id := range slices.Sorted(maps.Keys(h.waiting)) {
		at := h.waiting[id]
		if at.over {
			continue
		}
		at.over = true
		at.job.allNo = false
		j := at.job
		w.after(resend, func() { w.submit(j) })
	}
	for _, name := range slices.Sorted(maps.Keys(h.streams)) {
		h.streams[name].breakUp()
	}
	for _, id := range slices.Sorted(maps.Keys(h.sessions)) {
		h.sessions[id].breakUp()
	}
	w.after(2*time.Second, w.tellMembers)
	w.after(down, h.boot)
}

// poisson calls f at random times with a rate, a second, until the end.
func (w *world) poisson(rate float64, end time.Time, f func()) {
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

// inject draws the faults until the end.
func (w *world) inject(end time.Time) {
	f := w.faults
	host := func() *worldHost { return w.hosts[w.rand.IntN(len(w.hosts))] }
	server := func() *worldServer { return w.servers[w.rand.IntN(len(w.servers))] }
	span := func(most int) time.Duration { return time.Duration(w.rand.IntN(most)) * time.Millisecond }
	w.poisson(f.Kills, end, func() { w.kill(host(), 200*time.Millisecond+span(3000)) })
	w.poisson(f.Freezes, end, func() {
		h := host()
		h.frozen = w.now.Add(span(4000))
		w.note("host%d is frozen until %.3f", h.n, h.frozen.Sub(time.Unix(worldStart, 0)).Seconds())
	})
	w.poisson(f.HostCuts, end, func() {
		a, b := host(), host()
		if a != b {
			w.hostCuts[[2]int{min(a.n, b.n), max(a.n, b.n)}] = w.now.Add(span(5000))
			w.note("host%d and host%d are cut", a.n, b.n)
		}
	})
	w.poisson(f.ServerCuts, end, func() {
		s, h := server(), host()
		s.cut[h.n] = w.now.Add(span(5000))
		w.note("%s and host%d are cut", s.Info.ID, h.n)
	})
	w.poisson(f.Crashes, end, func() {
		s := server()
		s.dark = w.now.Add(200*time.Millisecond + span(3000))
		w.note("%s crashes", s.Info.ID)
		w.after(s.dark.Sub(w.now), func() { s.Boot(w.now) })
	})
	w.poisson(f.Leaves, end, func() {
		h := host()
		// Planned stops of one domain follow each other.
		for _, o := range w.hosts {
			if o.domain == h.domain && (!o.alive || !o.left.IsZero()) {
				return
			}
		}
		h.left = w.now
		life := h.lives
		w.note("host%d leaves", h.n)
		h.do(life, func(x *worker.Host, now time.Time) { x.Leave(now) })
		w.after(5*time.Second, func() {
			if h.lives == life {
				w.kill(h, 500*time.Millisecond)
			}
		})
	})
}

// load submits jobs at a rate, a second, until the end.
func (w *world) load(rate float64, end time.Time, width, need int, work time.Duration) {
	w.poisson(rate, end, func() {
		w.nextJob++
		j := &worldJob{at: w.now, done: map[string]bool{}, allNo: true, work: work/2 + time.Duration(w.rand.Int64N(int64(work)))}
		j.job = worker.Job{
			ID: fmt.Sprintf("%016x", w.nextJob), Queue: "queue", Service: "booking", MaxFailures: 4, Stretch: 1.6,
			Target: 60 * time.Millisecond, Budget: 5*time.Second + 5*work,
			Steps: []worker.Step{{
				Count: 1 + w.rand.IntN(width), Estimate: j.work,
				Need: worker.Resources{CPUMilli: need/2 + w.rand.IntN(need), MemoryMB: 10},
			}},
		}
		w.jobs[j.job.ID] = j
		w.submit(j)
	})
}
