package caller

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/backend"
	"guavayoke/internal/peer"
	"guavayoke/internal/platform"
)

const (
	claimPatience  = 2 * time.Second
	forwardGrace   = 500 * time.Millisecond
	homeRetryAfter = time.Second
	quotaTimeout   = 100 * time.Millisecond
	quotaAsks      = 3
)

// submit brings an order to its home. mayForward is false for an order that
// another host has sent here: none is forwarded twice.
func (s *Service) submit(o *order, body []byte, mayForward bool) result {
	if o.single && o.idempotent {
		return s.once(o)
	}
	now := time.Now()
	s.mu.Lock()
	step, sub := s.home.Decide(now, o.id, s.hasEnded)
	if step == StepStart && !s.closed.Load() && s.document.Load() != nil {
		sub = s.home.Begin(now, o.id, o.digest, o.team, o.service, o.size())
	}
	s.mu.Unlock()
	switch step {
	case StepHeld:
		return s.join(o, sub)
	case StepEnded:
		return s.askSuccessor(o.op(body), o.id.Token.Incarnation).of(o)
	case StepExpired:
		return unsure(fasthttp.StatusGone, true, reasonExpired, "the id's token has expired and its answer is not held", 0).of(o)
	case StepFull:
		return o.refusal(fasthttp.StatusServiceUnavailable, reasonHeldFull, "", homeRetryAfter)
	case StepForward:
		return s.forward(o, body, o.id.Token.Address, o.id.Token.Incarnation, mayForward)
	case StepClaim:
		return s.claim(o, body, mayForward)
	}
	if sub == nil {
		return o.refusal(fasthttp.StatusServiceUnavailable, s.unreadyReason(), "", homeRetryAfter)
	}
	return s.startHeld(o, sub)
}

func (r result) of(o *order) result {
	r.ID = o.id.Raw
	return r
}

func (o *order) size() int {
	n := 0
	for _, t := range o.tasks {
		n += len(t.Body)
	}
	return n
}

// hasEnded reports whether there is proof that an incarnation has ended.
func (s *Service) hasEnded(incarnation string) bool {
	m, ok := s.peers.Find(incarnation)
	return ok && m.State == peer.Dead
}

// startHeld starts a submission that this host holds. If it is refused as a
// whole, a repeat may start it again.
func (s *Service) startHeld(o *order, sub *Submission) result {
	deadline := time.Now().Add(o.deadline)
	if r := s.startTasks(o, sub, deadline); r != nil {
		s.mu.Lock()
		s.home.Forget(sub)
		s.mu.Unlock()
		r.Final = false
		return r.of(o)
	}
	if o.noWait {
		s.mu.Lock()
		defer s.mu.Unlock()
		return jobResult(o.id.Raw, sub.Job, o.single)
	}
	return s.await(sub, o.single, o.deadline)
}

// startTasks admits the tasks of a submission and hands them to the dispatcher.
func (s *Service) startTasks(o *order, sub *Submission, deadline time.Time) *result {
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
		r := refuseBy(refusal)
		return &r
	}
	go s.watchDeadline(sub, g, deadline)
	return nil
}

// taskID names a task for the backend server.
func taskID(id string, i int) string {
	return id + "#" + strconv.Itoa(i)
}

// refuseBy turns a refusal of the dispatcher into an answer.
func refuseBy(f *backend.Refusal) result {
	status := fasthttp.StatusTooManyRequests
	switch f.Reason {
	case backend.ReasonNoService, backend.ReasonNoServer:
		status = fasthttp.StatusServiceUnavailable
	case backend.ReasonTooLarge:
		status = fasthttp.StatusUnprocessableEntity
	}
	return refuse(status, string(f.Reason), "", f.RetryAfter)
}

// admit takes the tasks out of the team's quota, with a loan if need be.
func (s *Service) admit(o *order) *result {
	for attempt := 0; ; attempt++ {
		now := time.Now()
		s.mu.Lock()
		a := s.quota.Admit(now, o.team, len(o.tasks))
		s.mu.Unlock()
		if a.OK {
			return nil
		}
		if a.Never {
			r := refuse(fasthttp.StatusUnprocessableEntity, reasonNeverFits, "the job has more tasks than the team's quota allows at once", 0)
			return &r
		}
		if a.Ask == "" || attempt == quotaAsks || !s.askQuota(a.Ask, o.team, a.Need) {
			r := refuse(fasthttp.StatusTooManyRequests, reasonQuota, "", a.RetryAfter)
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
	ended, wasted := sub.Job.Task(i, TaskEnd{Verdict: a.Verdict, Reason: string(a.Reason), Body: a.Body, Retry: a.RetryAfter})
	if wasted {
		s.wastedLate.Inc(1)
	}
	if ended {
		s.end(now, sub, g)
	}
}

// end records the end of a job and drops what still waits. The caller holds mu.
func (s *Service) end(now time.Time, sub *Submission, g *backend.Group) {
	s.home.Ended(now, sub, sub.Job.size())
	if sub.Job.State == JobFailed {
		s.backends.Cancel(g)
	}
}

// watchDeadline ends a job whose deadline passes.
func (s *Service) watchDeadline(sub *Submission, g *backend.Group, deadline time.Time) {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	reason := reasonDeadline
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
		s.end(time.Now(), sub, g)
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
		r := unsure(fasthttp.StatusServiceUnavailable, false, string(backend.ReasonOverload), "the submission was refused while this request waited for it", homeRetryAfter)
		r.ID = s.ID.Raw
		return r
	case s.Job == nil:
		r := unsure(fasthttp.StatusServiceUnavailable, false, reasonStore, "the claim of the id is not settled", homeRetryAfter)
		r.ID = s.ID.Raw
		return r
	}
	return jobResult(s.ID.Raw, s.Job, single)
}

// join answers a repeat of a submission that is held.
func (s *Service) join(o *order, sub *Submission) result {
	if sub.Digest != o.digest {
		r := refuse(fasthttp.StatusConflict, reasonOtherContent, "the id was used with another content", 0)
		return r.of(o)
	}
	if o.noWait {
		return s.await(sub, o.single, 0)
	}
	return s.await(sub, o.single, o.deadline)
}

// once runs an idempotent single request, which needs no home.
func (s *Service) once(o *order) result {
	if s.document.Load() == nil || s.closed.Load() {
		return o.refusal(fasthttp.StatusServiceUnavailable, s.unreadyReason(), "", homeRetryAfter)
	}
	if r := s.admit(o); r != nil {
		return r.of(o)
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
		return refuseBy(refusal).of(o)
	}
	job := NewJob(1, deadline)
	t := time.NewTimer(o.deadline)
	defer t.Stop()
	select {
	case a := <-done:
		job.Task(0, TaskEnd{Verdict: a.Verdict, Reason: string(a.Reason), Body: a.Body, Retry: a.RetryAfter})
	case <-t.C:
		job.Fail(reasonDeadline)
		s.backends.Cancel(g)
	}
	return jobResult(o.id.Raw, job, true)
}

// claim settles the home of an id without a token and goes on from there.
func (s *Service) claim(o *order, body []byte, mayForward bool) result {
	if s.document.Load() == nil || s.closed.Load() {
		return o.refusal(fasthttp.StatusServiceUnavailable, s.unreadyReason(), "", homeRetryAfter)
	}
	if w := s.preferredWriter(o); mayForward && w.Incarnation != s.cfg.Home.Incarnation {
		r := s.forward(o, body, w.Address, w.Incarnation, true)
		if r.Reason != reasonHomeSilent && r.Reason != reasonHomeEnded {
			return r
		}
		// The writer may have claimed the id before it fell silent; then the
		// claim shows it, and this host starts nothing.
	}
	now := time.Now()
	s.mu.Lock()
	if sub := s.home.held[o.id.Raw]; sub != nil {
		s.mu.Unlock()
		return s.join(o, sub)
	}
	sub := s.home.Begin(now, o.id, o.digest, o.team, o.service, o.size())
	s.mu.Unlock()
	settled, err := s.platform.Claim(context.Background(), o.id.UUID, now.Add(min(o.deadline, claimPatience)))
	if err != nil {
		settled.Outcome = platform.ClaimGivenUp
	}
	return s.claimSettled(o, body, sub, settled, mayForward)
}

// claimSettled goes on with a submission whose claim has been decided.
func (s *Service) claimSettled(o *order, body []byte, sub *Submission, c platform.ClaimSettled, mayForward bool) result {
	if c.Outcome == platform.ClaimGranted {
		s.mu.Lock()
		s.home.Granted(time.Now(), sub)
		s.mu.Unlock()
		return s.startHeld(o, sub)
	}
	s.mu.Lock()
	givenUp := s.home.GivenUp(o.id)
	if c.Outcome == platform.ClaimGivenUp {
		s.home.GiveUp(time.Now(), sub)
	} else {
		s.home.Forget(sub)
	}
	s.mu.Unlock()
	switch c.Outcome {
	case platform.ClaimHeld:
		if s.hasEnded(c.Holder.Incarnation) {
			return s.askSuccessor(o.op(body), c.Holder.Incarnation).of(o)
		}
		return s.forward(o, body, c.Holder.Address, c.Holder.Incarnation, mayForward)
	case platform.ClaimGivenUp:
		return o.refusal(fasthttp.StatusServiceUnavailable, reasonStore, "the id could not be claimed; an id with a home token needs no claim", homeRetryAfter)
	case platform.ClaimTooOld:
		return unsure(fasthttp.StatusGone, true, reasonExpired, "the id is too old", 0).of(o)
	case platform.ClaimTooNew, platform.ClaimNotUUIDv7:
		return unsure(fasthttp.StatusBadRequest, true, reasonBadRequest, "ID: its mint time is in the future", 0).of(o)
	case platform.ClaimFull:
		return o.refusal(fasthttp.StatusServiceUnavailable, reasonJournalFull, "", homeRetryAfter)
	}
	if givenUp {
		return refuse(fasthttp.StatusGone, reasonGivenUp, "the claim landed after it was given up: nothing was started under this id and nothing will be; use a new one", 0).of(o)
	}
	// Another attempt of this incarnation owns the claim, and what became of
	// it is not held any more.
	return unsure(fasthttp.StatusGone, true, reasonExpired, "the answer of the id is not held any more", 0).of(o)
}

// preferredWriter returns the host that claims ids of this key, so that hosts
// do not race for it. Safety does not depend on it.
func (s *Service) preferredWriter(o *order) peer.Member {
	key, _ := platform.KeyOf(o.id.UUID)
	s.mu.Lock()
	defer s.mu.Unlock()
	var best peer.Member
	var bestHash uint64
	for _, m := range s.claimWriters {
		h := xxhash.Sum64String(m.Incarnation + key.Key(""))
		if best.Incarnation == "" || h > bestHash {
			best, bestHash = m, h
		}
	}
	return best
}

// Names of the calls between the callers' services of two hosts.
const (
	forwardName = "Forward"
	quotaName   = "Quota"
)

// opKind says what is asked of a home.
type opKind uint8

const (
	opSubmit opKind = iota + 1
	opGet
	opCancel
)

// op is a forwarded question to a home.
type op struct {
	Kind opKind
	ID   string
	// Single tells a request from a job.
	Single bool
	Body   []byte
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Inherited asks for what another home has handed over: nothing is started.
	Inherited bool
}

// opReply is the answer to an op.
type opReply struct {
	Status int
	Result []byte
}

// forward sends an order to its home and passes the answer on.
func (s *Service) forward(o *order, body []byte, address, incarnation string, may bool) result {
	if !may {
		return unsure(fasthttp.StatusServiceUnavailable, false, reasonHomeSilent, "the order was forwarded to a host that is not its home", homeRetryAfter).of(o)
	}
	return s.callHome(o.op(body), address, incarnation).of(o)
}

// op is the question that forwards an order.
func (o *order) op(body []byte) op {
	return op{Kind: opSubmit, ID: o.id.Raw, Single: o.single, Body: body, Remaining: o.deadline}
}

// callHome asks a home and judges what silence or proof of its end means.
func (s *Service) callHome(q op, address, incarnation string) result {
	s.forwards.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), q.Remaining+forwardGrace)
	defer cancel()
	b, err := s.peers.Call(ctx, address, incarnation, forwardName, encode(q))
	var ended *peer.IncarnationError
	if errors.As(err, &ended) {
		s.wastedForward.Inc(1)
		return unsure(fasthttp.StatusBadGateway, true, reasonHomeEnded, "the home of the id has ended", 0)
	}
	var reply opReply
	if err == nil {
		err = cbor.Unmarshal(b, &reply)
	}
	var r result
	if err == nil {
		err = unmarshalResult(reply, &r)
	}
	if err != nil {
		s.wastedForward.Inc(1)
		return unsure(fasthttp.StatusServiceUnavailable, false, reasonHomeSilent, "the home of the id can't be reached; it may still be working on it", homeRetryAfter)
	}
	return r
}

// handleForward serves a question that another host has forwarded.
func (s *Service) handleForward(_ context.Context, b []byte) ([]byte, error) {
	s.active.Add(1)
	defer s.active.Add(-1)
	var q op
	if err := cbor.Unmarshal(b, &q); err != nil {
		return nil, err
	}
	var r result
	if q.Kind == opSubmit && !q.Inherited {
		o, bad := s.parseOrder(q.Body, q.Single)
		if bad != nil {
			r = *bad
		} else {
			r = s.submit(o, q.Body, false)
		}
	} else {
		id, err := ParseID(s.cfg.Home.Key, q.ID)
		if err != nil {
			return nil, err
		}
		r = s.operateHere(q, id)
	}
	return encode(opReply{r.status, render(r.wireResult)}), nil
}

// operate answers a question about a submission or cancels it.
func (s *Service) operate(q op, id SubmissionID) result {
	now := time.Now()
	s.mu.Lock()
	step, _ := s.home.Decide(now, id, s.hasEnded)
	s.mu.Unlock()
	switch step {
	case StepForward:
		return s.callHome(q, id.Token.Address, id.Token.Incarnation)
	case StepEnded:
		return s.askSuccessor(q, id.Token.Incarnation)
	case StepClaim, StepFull:
		return s.operateClaimed(q, id)
	}
	return s.operateHere(q, id)
}

// operateClaimed asks the host that most likely is the home of an id without a
// token: the preferred writer of its key.
func (s *Service) operateClaimed(q op, id SubmissionID) result {
	w := s.preferredWriter(&order{id: id})
	if w.Incarnation == s.cfg.Home.Incarnation {
		return s.operateHere(q, id)
	}
	return s.callHome(q, w.Address, w.Incarnation)
}

// operateHere answers for a submission that this host holds or does not know.
func (s *Service) operateHere(q op, id SubmissionID) result {
	s.mu.Lock()
	sub := s.home.held[id.Raw]
	s.mu.Unlock()
	if sub == nil {
		return unsure(fasthttp.StatusNotFound, false, reasonUnknownID, "this home does not hold the id; submit it again under the same id to settle it", 0)
	}
	if q.Kind == opCancel {
		sub.cancel()
		q.Remaining = cancelWait
	}
	single := false
	s.mu.Lock()
	if sub.Job != nil {
		single = sub.Single
	}
	s.mu.Unlock()
	return s.await(sub, single, q.Remaining)
}

const cancelWait = time.Second
