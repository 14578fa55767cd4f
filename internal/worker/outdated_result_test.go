package worker

import (
	"testing"
	"time"
)

// submissionTo returns the submission that the actions send to an owner, nil if there is none.
func submissionTo(actions []EntryAction, owner string) *message {
	for _, a := range actions {
		if a.Send != nil && a.Send.To == owner && a.Send.Message.Submit != nil {
			return &a.Send.Message
		}
	}
	return nil
}

// TestOutdatedResultStartsNoSecondRun guards against a job that is given to a second owner by
// the first one's answer to an earlier submission, while it runs there.
func TestOutdatedResultStartsNoSecondRun(t *testing.T) {
	tests := map[string]Result{
		"Refused": {ID: "1", Outcome: Refused, Reason: "HostBusy"},
		"Busy":    {ID: "1", Outcome: Returned, Reason: reasonBusy},
		"Leaving": {ID: "1", Outcome: Returned, Reason: "OwnerLeaving"},
		"Lost":    {ID: "1", Outcome: Lost, Reason: "HostBusy"},
	}
	for name, outdated := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c")
			e.SetMembers(testStart, []Candidate{{"a", "a", "domain1", 0}, {"b", "b", "domain2", 0}})
			hb := heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}}
			acceptSessions(e, testStart, hb)
			for _, owner := range []string{"a", "b"} {
				e.handleSessionHeartbeat(testStart, owner, message{Heartbeat: &hb, Session: 1})
			}
			e.TakeActions()
			waiter := e.Submit(testStart, Job{ID: "1", Steps: []Step{{Count: 1}}})
			first := submissionTo(e.TakeActions(), "a")
			if first == nil {
				t.Fatal("the job was not sent to the owner of the domain")
			}

			now := testStart.Add(pathSilence + time.Millisecond)
			e.handleSessionHeartbeat(now, "b", message{Heartbeat: &hb, Session: 1})
			e.Tick(now)
			for _, a := range e.TakeActions() {
				if a.Dial != nil {
					e.HandlePathOpened("a", a.Dial.Number)
					e.handleAttached(now, "a", attached{Number: a.Dial.Number, Missing: []string{"1"}})
				}
			}
			second := submissionTo(e.TakeActions(), "a")
			if second == nil {
				t.Fatal("a job that the owner never accepted was not sent again")
			}

			e.HandleResult(now, "a", first.Submission, outdated)
			actions := e.TakeActions()
			if submissionTo(actions, "b") != nil {
				t.Error("the job was sent to another owner although it may run at the first one")
			}
			e.HandleResult(now, "a", second.Submission, Result{ID: "1", Outcome: Completed})
			got := Lost
			for _, a := range append(actions, e.TakeActions()...) {
				if a.Answer != nil && a.Answer.Waiter == waiter {
					got = a.Answer.Result.Outcome
				}
			}
			if got != Completed {
				t.Errorf("the caller was told %v, want Completed", got)
			}
		})
	}
}

// resultOf returns the number of the submission that the first result among the actions answers.
func resultOf(actions []HostAction) (uint64, *Result) {
	for _, a := range actions {
		if a.Reply != nil && a.Reply.Message.Result != nil {
			return a.Reply.Message.Submission, a.Reply.Message.Result
		}
	}
	return 0, nil
}

// TestAttachNamesLatestSubmissions guards against a job that nobody has and nobody offers again:
// its latest submission was lost with the path, and the owner keeps the answer to an earlier one.
func TestAttachNamesLatestSubmissions(t *testing.T) {
	tests := map[string]struct {
		kept        Outcome
		latest      uint64
		wantMissing bool
		wantNumber  uint64
	}{
		"Refused":     {Refused, 3, true, 0},
		"Returned":    {Returned, 3, true, 0},
		"MayHaveRun":  {Lost, 3, false, 3},
		"Completed":   {Completed, 3, false, 3},
		"NotOutdated": {Refused, 1, false, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			h := newStubOwner()
			id := h.sessions.Open(testStart, "entry")
			h.sessions.keepResult(id, 1, Result{ID: "1", Outcome: c.kept})
			path := h.sessions.Open(testStart, "entry")
			actions := h.HandleEvent(testStart, func(h *Host, now time.Time) {
				h.handleEntryMessage(now, path, message{Attach: &attach{Session: id, Number: 1, Jobs: []string{"1"}}, Submissions: []uint64{c.latest}})
			})
			missing := false
			for _, a := range actions {
				missing = missing || a.Reply != nil && a.Reply.Message.Attached != nil && len(a.Reply.Message.Attached.Missing) > 0
			}
			if got, _ := resultOf(actions); got != c.wantNumber || missing != c.wantMissing {
				t.Errorf("the result answers submission %d, missing %v; want %d, %v", got, missing, c.wantNumber, c.wantMissing)
			}
		})
	}
	e := newTestEntry("c", "a")
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	e.handleSessionHeartbeat(testStart, "a", message{Heartbeat: &heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}}, Session: 1})
	e.Submit(testStart, Job{ID: "1", Steps: []Step{{Count: 1}}})
	e.Tick(testStart.Add(pathSilence + time.Millisecond))
	for _, a := range e.TakeActions() {
		if a.Dial != nil {
			if m := e.HandlePathOpened("a", a.Dial.Number); len(m.Submissions) != 1 || m.Submissions[0] != e.jobs["1"].submission {
				t.Errorf("the attach names submissions %v, want %d", m.Submissions, e.jobs["1"].submission)
			}
		}
	}
}

// TestResultNamesItsSubmission guards against results that can't be told from those of an
// earlier submission of the job.
func TestResultNamesItsSubmission(t *testing.T) {
	h := newStubOwner()
	id := h.sessions.Open(testStart, "entry")
	job := Job{ID: "1", Steps: []Step{{Count: 1}}}
	for _, n := range []uint64{7, 8} {
		got, _ := resultOf(h.HandleEvent(testStart, func(h *Host, now time.Time) {
			h.handleEntryMessage(now, id, message{Submit: &job, Submission: n})
		}))
		if got != n {
			t.Errorf("the result of submission %d names %d", n, got)
		}
	}
	path := h.sessions.Open(testStart, "entry")
	got, _ := resultOf(h.HandleEvent(testStart, func(h *Host, now time.Time) {
		h.handleEntryMessage(now, path, message{Attach: &attach{Session: id, Number: 1, Jobs: []string{"1"}}})
	}))
	if got != 8 {
		t.Errorf("the result that was sent again names submission %d, want 8", got)
	}
}
