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
	claimTimeout       = 2 * time.Second
	forwardMargin      = 500 * time.Millisecond
	homeRetryAfter     = time.Second
	loanRequestTimeout = 100 * time.Millisecond
	maxLoanRequests    = 3
)

// submit brings an order to its home. mayForward is false for an order that
// another host has sent here: none is forwarded twice.
func (s *Service) submit(o *submitRequest, body []byte, mayForward bool) result {
	if o.single && o.idempotent {
		return s.submitIdempotent(o)
	}
	now := time.Now()
	s.mu.Lock()
	step, sub := s.home.Decide(now, o.id, s.incarnationEnded)
	if step == DecisionStart && !s.rejecting.Load() && s.document.Load() != nil {
		sub = s.home.Register(now, o.id, o.digest, o.team, o.service, o.size())
	}
	s.mu.Unlock()
	switch step {
	case DecisionAnswer:
		return s.answerHeld(o, sub)
	case DecisionHomeEnded:
		return s.askSuccessor(o.operation(body), o.id.Token.Incarnation).withID(o)
	case DecisionExpired:
		return unknownResult(fasthttp.StatusGone, true, reasonIDExpired, "the id's token has expired and its answer is not held", 0).withID(o)
	case DecisionFull:
		return o.refusal(fasthttp.StatusServiceUnavailable, reasonTooManyHeld, "", homeRetryAfter)
	case DecisionForward:
		return s.forward(o, body, o.id.Token.Address, o.id.Token.Incarnation, mayForward)
	case DecisionClaim:
		return s.claim(o, body, mayForward)
	}
	if sub == nil {
		return o.refusal(fasthttp.StatusServiceUnavailable, s.unreadyReason(), "", homeRetryAfter)
	}
	return s.startSubmission(o, sub)
}

func (r result) withID(o *submitRequest) result {
	r.ID = o.id.Raw
	return r
}

func (o *submitRequest) size() int {
	n := 0
	for _, t := range o.tasks {
		n += len(t.Body)
	}
	return n
}

// incarnationEnded reports whether there is proof that an incarnation has ended.
func (s *Service) incarnationEnded(incarnation string) bool {
	m, ok := s.peers.Find(incarnation)
	return ok && m.State == peer.Dead
}

// startSubmission starts a submission that this host holds. If it is refused as a
// whole, a repeat may start it again.
func (s *Service) startSubmission(o *submitRequest, sub *Submission) result {
	deadline := time.Now().Add(o.deadline)
	if r := s.startTasks(o, sub, deadline); r != nil {
		s.mu.Lock()
		s.home.Remove(sub)
		s.mu.Unlock()
		r.Final = false
		return r.withID(o)
	}
	if o.noWait {
		s.mu.Lock()
		defer s.mu.Unlock()
		return jobResult(o.id.Raw, sub.Job, o.single)
	}
	return s.await(sub, o.single, o.deadline)
}

// startTasks admits the tasks of a submission and hands them to the dispatcher.
func (s *Service) startTasks(o *submitRequest, sub *Submission, deadline time.Time) *result {
	if r := s.admit(o); r != nil {
		return r
	}
	job := NewJob(len(o.tasks), deadline)
	g := &backend.Group{}
	for _, t := range o.tasks {
		g.Tasks = append(g.Tasks, backend.Request{
			ID: taskID(o.id.Raw, len(g.Tasks)), Service: o.service, Team: o.team, Body: t.Body,
			MemoryMB: t.MemoryMB, Deadline: deadline,
		})
	}
	g.Done = func(i int, a backend.Answer) { s.taskDone(sub, g, i, a) }
	s.mu.Lock()
	sub.Job, sub.Single = job, o.single
	s.mu.Unlock()
	if refusal := s.backends.Submit(context.Background(), g); refusal != nil {
		s.mu.Lock()
		sub.Job = nil
		s.quota.Refund(o.team, len(o.tasks))
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

// taskID names a task for the backend server.
func taskID(id string, i int) string {
	return id + "#" + strconv.Itoa(i)
}

// dispatcherRefusal turns a refusal of the dispatcher into an answer.
func dispatcherRefusal(f *backend.Refusal) result {
	status := fasthttp.StatusTooManyRequests
	switch f.Reason {
	case backend.ReasonNoService, backend.ReasonNoServer:
		status = fasthttp.StatusServiceUnavailable
	case backend.ReasonTooLarge:
		status = fasthttp.StatusUnprocessableEntity
	}
	return refusedResult(status, string(f.Reason), "", f.RetryAfter)
}

// admit takes the tasks out of the team's quota, with a loan if need be.
func (s *Service) admit(o *submitRequest) *result {
	for attempt := 0; ; attempt++ {
		now := time.Now()
		s.mu.Lock()
		a := s.quota.Admit(now, o.team, len(o.tasks))
		s.mu.Unlock()
		if a.OK {
			return nil
		}
		if a.NeverFits {
			r := refusedResult(fasthttp.StatusUnprocessableEntity, reasonNeverFits, "the job has more tasks than the team's quota allows at once", 0)
			return &r
		}
		if a.Lender == "" || attempt == maxLoanRequests || !s.requestLoan(a.Lender, o.team, a.LoanRequest) {
			r := refusedResult(fasthttp.StatusTooManyRequests, reasonQuotaExceeded, "", a.RetryAfter)
			return &r
		}
	}
}

// taskDone takes over the end of a task.
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

// recordEnd records the recordEnd of a job and drops what still waits. The caller holds mu.
func (s *Service) recordEnd(now time.Time, sub *Submission, g *backend.Group) {
	s.home.MarkEnded(now, sub, sub.Job.size())
	if sub.Job.State == JobFailed {
		s.backends.Cancel(g)
	}
}

// watchDeadline ends a job whose deadline passes.
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

// await waits for the end of a submission, at most for patience.
func (s *Service) await(sub *Submission, single bool, patience time.Duration) result {
	if !sub.isEnded() && patience > 0 {
		// The deadline ends the job a moment before this timer.
		t := time.NewTimer(patience + 100*time.Millisecond)
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

// result returns what a submission can be answered with now.
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

// answerHeld answers a repeat of a submission that is held.
func (s *Service) answerHeld(o *submitRequest, sub *Submission) result {
	if sub.Digest != o.digest {
		r := refusedResult(fasthttp.StatusConflict, reasonIDReused, "the id was used with another content", 0)
		return r.withID(o)
	}
	if o.noWait {
		return s.await(sub, o.single, 0)
	}
	return s.await(sub, o.single, o.deadline)
}

// submitIdempotent runs an idempotent single request, which needs no home.
func (s *Service) submitIdempotent(o *submitRequest) result {
	if s.document.Load() == nil || s.rejecting.Load() {
		return o.refusal(fasthttp.StatusServiceUnavailable, s.unreadyReason(), "", homeRetryAfter)
	}
	if r := s.admit(o); r != nil {
		return r.withID(o)
	}
	deadline := time.Now().Add(o.deadline)
	done := make(chan backend.Answer, 1)
	g := &backend.Group{Tasks: []backend.Request{{
		ID: taskID(o.id.Raw, 0), Service: o.service, Team: o.team, Body: o.tasks[0].Body,
		MemoryMB: o.tasks[0].MemoryMB, Idempotent: true, Deadline: deadline,
	}}}
	g.Done = func(_ int, a backend.Answer) {
		s.mu.Lock()
		s.quota.Release(o.team, 1)
		s.mu.Unlock()
		done <- a
	}
	if refusal := s.backends.Submit(context.Background(), g); refusal != nil {
		s.mu.Lock()
		s.quota.Refund(o.team, 1)
		s.mu.Unlock()
		return dispatcherRefusal(refusal).withID(o)
	}
	job := NewJob(1, deadline)
	t := time.NewTimer(o.deadline)
	defer t.Stop()
	select {
	case a := <-done:
		job.RecordTask(0, TaskResult{Verdict: a.Verdict, Reason: string(a.Reason), Body: a.Body, RetryDelay: a.RetryAfter})
	case <-t.C:
		job.Fail(reasonDeadlinePassed)
		s.backends.Cancel(g)
	}
	return jobResult(o.id.Raw, job, true)
}

// Names of the calls between the callers' services of two hosts.
const (
	forwardCallName = "Forward"
	quotaCallName   = "Quota"
)

const (
	opSubmit opKind = iota + 1
	opGet
	opCancel
)

const cancelWait = time.Second
