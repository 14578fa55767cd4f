package caller

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"guavayoke/internal/backend"
	"guavayoke/internal/peer"
)

const (
	claimTimeout = 2 * time.Second
	// forwardMargin is how much longer than the caller a host waits for the home.
	forwardMargin = 500 * time.Millisecond
	// homeRetryAfter is the suggested delay of a retry if a submission can't be started
	// or its home can't be reached.
	homeRetryAfter     = time.Second
	loanRequestTimeout = 100 * time.Millisecond
	// maxLoanRequests limits the loan requests for one submission.
	maxLoanRequests = 3
)

// submit starts a submission if this host is its home, forwards it to its home otherwise,
// and returns the answer. mayForward is false if another host forwarded the submission to
// this one, because a submission is forwarded at most once.
func (s *Service) submit(req *submitRequest, body []byte, mayForward bool) result {
	if req.single && req.idempotent {
		return s.submitIdempotent(req)
	}
	now := time.Now()
	s.mu.Lock()
	decision, sub := s.home.Decide(now, req.id, s.incarnationEnded)
	if decision == DecisionStart && !s.rejecting.Load() && s.document.Load() != nil {
		sub = s.home.Register(now, req.id, req.digest, req.team, req.service, req.size())
	}
	s.mu.Unlock()
	switch decision {
	case DecisionAnswer:
		return s.answerHeld(req, sub)
	case DecisionHomeEnded:
		return s.askSuccessor(req.operation(body), req.id.Token.Incarnation).withID(req)
	case DecisionExpired:
		return unknownResult(fasthttp.StatusGone, true, reasonIDExpired, "the id's token has expired and its answer is not held", 0).withID(req)
	case DecisionFull:
		return req.refusal(fasthttp.StatusServiceUnavailable, reasonTooManyHeld, "", homeRetryAfter)
	case DecisionForward:
		return s.forward(req, body, req.id.Token.Address, req.id.Token.Incarnation, mayForward)
	case DecisionClaim:
		return s.claim(req, body, mayForward)
	}
	if sub == nil {
		return req.refusal(fasthttp.StatusServiceUnavailable, s.unreadyReason(), "", homeRetryAfter)
	}
	return s.startSubmission(req, sub)
}

// withID returns r as the answer to req.
func (r result) withID(req *submitRequest) result {
	r.ID = req.id.Raw
	return r
}

// size returns the total size of the task bodies in bytes.
func (req *submitRequest) size() int {
	n := 0
	for _, t := range req.tasks {
		n += len(t.Body)
	}
	return n
}

// incarnationEnded reports whether an incarnation is proven to have ended (rule 3 of
// home.go).
func (s *Service) incarnationEnded(incarnation string) bool {
	m, ok := s.peers.Find(incarnation)
	return ok && m.State == peer.Dead
}

// startSubmission starts a submission that this host holds and waits for its end, unless
// the caller doesn't wait. If the submission is refused as a whole, a retry may start it.
func (s *Service) startSubmission(req *submitRequest, sub *Submission) result {
	deadline := time.Now().Add(req.deadline)
	if r := s.startTasks(req, sub, deadline); r != nil {
		s.mu.Lock()
		s.home.Remove(sub)
		s.mu.Unlock()
		r.Final = false
		return r.withID(req)
	}
	if req.noWait {
		s.mu.Lock()
		defer s.mu.Unlock()
		return jobResult(req.id.Raw, sub.Job, req.single)
	}
	return s.await(sub, req.single, req.deadline)
}

// startTasks admits the tasks of a submission and passes them to the dispatcher. It
// returns the refusal, or nil if the tasks were accepted.
func (s *Service) startTasks(req *submitRequest, sub *Submission, deadline time.Time) *result {
	if r := s.admit(req); r != nil {
		return r
	}
	job := NewJob(len(req.tasks), deadline)
	g := &backend.Group{}
	for _, t := range req.tasks {
		g.Tasks = append(g.Tasks, backend.Request{
			ID: taskID(req.id.Raw, len(g.Tasks)), Service: req.service, Team: req.team, Body: t.Body,
			MemoryMB: t.MemoryMB, Deadline: deadline,
		})
	}
	g.Done = func(i int, a backend.Answer) { s.taskDone(sub, g, i, a) }
	s.mu.Lock()
	sub.Job, sub.Single = job, req.single
	s.mu.Unlock()
	if refusal := s.backends.Submit(context.Background(), g); refusal != nil {
		s.mu.Lock()
		sub.Job = nil
		s.quota.Refund(req.team, len(req.tasks))
		s.mu.Unlock()
		r := dispatcherRefusal(refusal)
		return &r
	}
	s.mu.Lock()
	s.home.MarkStarted(sub)
	s.mu.Unlock()
	go s.watchDeadline(sub, g, deadline)
	return nil
}

// taskID returns the id of task i of a submission, as backend servers receive it.
func taskID(id string, i int) string {
	return id + "#" + strconv.Itoa(i)
}

// dispatcherRefusal returns the answer for a refusal by the dispatcher.
func dispatcherRefusal(refusal *backend.Refusal) result {
	status := fasthttp.StatusTooManyRequests
	switch refusal.Reason {
	case backend.ReasonNoService, backend.ReasonNoServer:
		status = fasthttp.StatusServiceUnavailable
	case backend.ReasonTooLarge:
		status = fasthttp.StatusUnprocessableEntity
	}
	return refusedResult(status, string(refusal.Reason), "", refusal.RetryAfter)
}

// admit takes the tasks of req out of the team's quota. If this host's part of the quota
// is too small, it requests loans from other hosts. It returns the refusal, if any.
func (s *Service) admit(req *submitRequest) *result {
	for attempt := 0; ; attempt++ {
		now := time.Now()
		s.mu.Lock()
		a := s.quota.Admit(now, req.team, len(req.tasks))
		s.mu.Unlock()
		if a.OK {
			return nil
		}
		if a.NeverFits {
			r := refusedResult(fasthttp.StatusUnprocessableEntity, reasonNeverFits, "the job has more tasks than the team's quota allows at once", 0)
			return &r
		}
		if a.Lender == "" || attempt == maxLoanRequests || !s.requestLoan(a.Lender, req.team, a.LoanRequest) {
			r := refusedResult(fasthttp.StatusTooManyRequests, reasonQuotaExceeded, "", a.RetryAfter)
			return &r
		}
	}
}

// taskDone records the dispatcher's answer to task i.
func (s *Service) taskDone(sub *Submission, g *backend.Group, i int, a backend.Answer) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Release(sub.Team, 1)
	ended, wasted := sub.Job.RecordTask(i, TaskResult{Verdict: a.Verdict, Reason: string(a.Reason), Body: a.Body, RetryDelay: a.RetryAfter})
	if wasted {
		s.wastedLateAnswers.Inc(1)
	}
	if ended {
		s.recordEnd(now, sub, g)
	}
}

// recordEnd records that the job of sub has ended. If the job failed, it cancels the
// tasks that have not ended. It is called with mu held.
func (s *Service) recordEnd(now time.Time, sub *Submission, g *backend.Group) {
	s.home.MarkEnded(now, sub, sub.Job.size())
	if sub.Job.State == JobFailed {
		s.backends.Cancel(g)
	}
}

// watchDeadline waits until the submission ends. It fails the job when the deadline passes
// or the submission is cancelled first.
func (s *Service) watchDeadline(sub *Submission, g *backend.Group, deadline time.Time) {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	reason := reasonDeadlinePassed
	select {
	case <-sub.ended:
		return
	case <-sub.cancelled:
		reason = reasonCancelled
	case <-t.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.Job.Fail(reason) {
		s.recordEnd(time.Now(), sub, g)
	}
}

// await waits for the end of a submission, for about wait at most, and returns the answer.
func (s *Service) await(sub *Submission, single bool, wait time.Duration) result {
	if !sub.isEnded() && wait > 0 {
		// The margin lets watchDeadline end the job before this timer fires.
		t := time.NewTimer(wait + 100*time.Millisecond)
		defer t.Stop()
		select {
		case <-sub.ended:
		case <-t.C:
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return sub.result(single)
}

// result returns the answer for the present state of a submission. It is called with the
// service's mu held.
func (s *Submission) result(single bool) result {
	switch {
	case s.Job == nil && s.isEnded():
		r := unknownResult(fasthttp.StatusServiceUnavailable, false, string(backend.ReasonOverload), "the submission was refused while this request waited for it", homeRetryAfter)
		r.ID = s.ID.Raw
		return r
	case s.Job == nil:
		r := unknownResult(fasthttp.StatusServiceUnavailable, false, reasonStoreUnavailable, "the claim of the id is not settled", homeRetryAfter)
		r.ID = s.ID.Raw
		return r
	}
	return jobResult(s.ID.Raw, s.Job, single)
}

// answerHeld answers a retry of a submission that this host holds. It refuses a retry
// with different content.
func (s *Service) answerHeld(req *submitRequest, sub *Submission) result {
	if sub.Digest != req.digest {
		r := refusedResult(fasthttp.StatusConflict, reasonIDReused, "the id was used with another content", 0)
		return r.withID(req)
	}
	if req.noWait {
		return s.await(sub, req.single, 0)
	}
	return s.await(sub, req.single, req.deadline)
}

// submitIdempotent runs an idempotent single request on this host. Such a request needs
// no home, because it may run more than once.
func (s *Service) submitIdempotent(req *submitRequest) result {
	if s.document.Load() == nil || s.rejecting.Load() {
		return req.refusal(fasthttp.StatusServiceUnavailable, s.unreadyReason(), "", homeRetryAfter)
	}
	if r := s.admit(req); r != nil {
		return r.withID(req)
	}
	deadline := time.Now().Add(req.deadline)
	done := make(chan backend.Answer, 1)
	g := &backend.Group{Tasks: []backend.Request{{
		ID: taskID(req.id.Raw, 0), Service: req.service, Team: req.team, Body: req.tasks[0].Body,
		MemoryMB: req.tasks[0].MemoryMB, Idempotent: true, Deadline: deadline,
	}}}
	g.Done = func(_ int, a backend.Answer) {
		s.mu.Lock()
		s.quota.Release(req.team, 1)
		s.mu.Unlock()
		done <- a
	}
	if refusal := s.backends.Submit(context.Background(), g); refusal != nil {
		s.mu.Lock()
		s.quota.Refund(req.team, 1)
		s.mu.Unlock()
		return dispatcherRefusal(refusal).withID(req)
	}
	job := NewJob(1, deadline)
	t := time.NewTimer(req.deadline)
	defer t.Stop()
	select {
	case a := <-done:
		job.RecordTask(0, TaskResult{Verdict: a.Verdict, Reason: string(a.Reason), Body: a.Body, RetryDelay: a.RetryAfter})
	case <-t.C:
		job.Fail(reasonDeadlinePassed)
		s.backends.Cancel(g)
	}
	return jobResult(req.id.Raw, job, true)
}

// Names of the calls between the Caller services of two hosts.
const (
	forwardCallName = "Forward"
	quotaCallName   = "Quota"
)

const (
	opSubmit opKind = iota + 1
	opGet
	opCancel
)

// cancelWait is how long a cancellation waits for the end of the submission.
const cancelWait = time.Second
