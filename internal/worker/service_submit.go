package worker

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Submit submits a caller's job. It calls answer with the result, at most once, either
// before it returns or from the loop, so answer must not block. It returns the function
// to call when the caller has left before the result.
func (s *Service) Submit(job Job, answer func(Result)) (left func()) {
	arrived := s.cfg.Now()
	s.submitted.Inc(1)
	finish := func(r Result) {
		s.answered.Inc(1)
		s.latency.Update(s.cfg.Now().Sub(arrived).Milliseconds())
		metrics.GetOrRegisterCounter("Worker.Outcome."+r.Outcome.String(), s.cfg.Metrics).Inc(1)
		answer(r)
	}
	// Only the loop uses waiter, which stays 0 if the host refuses the job.
	var waiter WaiterID
	caller := s.lastCaller.Add(1)
	cancelled := func() { finish(Result{ID: job.ID, Outcome: Refused, Reason: "Cancelled"}) }
	r, ok := s.offer(Submission{Session: localSession, Caller: caller, Job: job, Cancelled: cancelled, Run: func(h *Host, now time.Time, j Job) {
		id, ok := h.Submit(now, j)
		if !ok {
			answer(Result{ID: j.ID, Outcome: Refused, Reason: "HostLeaves", RetryAfter: time.Second})
			return
		}
		waiter = id
		s.waiters[id] = finish
	}})
	if !ok {
		finish(r)
		return func() {}
	}
	return func() {
		leftAt := s.cfg.Now()
		s.withdraw(localSession, caller, job.ID, func(h *Host, now time.Time) {
			if s.waiters[waiter] != nil {
				delete(s.waiters, waiter)
				h.entry.CallerLeft(now, waiter, leftAt)
			}
		})
	}
}

// CancelJob cancels a job wherever it is and calls answer with the outcome from the loop, so answer
// must not block.
func (s *Service) CancelJob(id string, answer func(CancelOutcome)) {
	s.queuesMu.Lock()
	withdrawn := s.mailbox.WithdrawAll(localSession, id)
	queued := s.mailbox.Waits(id)
	s.queuesMu.Unlock()
	for _, sub := range withdrawn {
		if sub.Cancelled != nil {
			sub.Cancelled()
		}
	}
	s.enqueueControl(func(h *Host, now time.Time) {
		s.cancels[h.entry.CancelJob(now, id, queued || len(withdrawn) > 0)] = answer
	})
}
