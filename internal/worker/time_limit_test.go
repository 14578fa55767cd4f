package worker

import (
	"testing"
	"time"
)

// TestCallerTimeLimitEndsJob guards against tasks that run on for a caller that has given up
// on a connection that doesn't show it: the caller returns elsewhere.
func TestCallerTimeLimitEndsJob(t *testing.T) {
	const budget = 2 * time.Second
	tests := map[string]struct {
		hasOwner bool
		first    Job
		// second is submitted 100 ms later by another caller.
		second      *Job
		wantEnd     time.Duration
		wantOutcome Outcome
	}{
		"Running":         {true, Job{Budget: budget}, nil, budget, Lost},
		"WaitsForOwner":   {false, Job{Budget: 500 * time.Millisecond}, nil, 500 * time.Millisecond, Refused},
		"WaitedInMailbox": {true, Job{Budget: budget, Age: 300 * time.Millisecond}, nil, budget - 300*time.Millisecond, Lost},
		"SecondLonger":    {true, Job{Budget: budget}, &Job{Budget: budget}, budget + 100*time.Millisecond, Lost},
		"SecondShorter":   {true, Job{Budget: budget}, &Job{Budget: time.Second}, budget, Lost},
		"SecondUnknown":   {true, Job{Budget: budget}, &Job{}, 0, 0},
		"Unknown":         {true, Job{}, nil, 0, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c", "a")
			hb := heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}}
			if c.hasOwner {
				acceptSessions(e, testStart, hb)
			}
			e.TakeActions()
			submit := func(now time.Time, j Job) WaiterID {
				j.ID, j.Steps = "1", []Step{{Count: 1}}
				return e.Submit(now, j)
			}
			first := submit(testStart, c.first)
			ended, outcome, cancelled := time.Duration(0), Outcome(0), false
			for d := time.Duration(0); d <= 2*budget; d += 10 * time.Millisecond {
				now := testStart.Add(d)
				if c.second != nil && d == 100*time.Millisecond {
					submit(now, *c.second)
				}
				if c.hasOwner {
					e.HandleHeartbeat(now, "a", hb)
				}
				e.Tick(now)
				for _, a := range e.TakeActions() {
					switch {
					case a.Answer != nil && a.Answer.Waiter == first:
						ended, outcome = d, a.Answer.Result.Outcome
					case a.Send != nil && a.Send.Message.Cancel == "1":
						cancelled = true
					}
				}
			}
			if ended != c.wantEnd || outcome != c.wantOutcome {
				t.Errorf("the job ended after %v as %v, want %v and %v", ended, outcome, c.wantEnd, c.wantOutcome)
			}
			if want := c.hasOwner && c.wantEnd > 0; cancelled != want {
				t.Errorf("cancelled at the owner: %v, want %v", cancelled, want)
			}
		})
	}
}

// TestOwnerEndsTimedOutJobs guards against runs that outlive the chain of TestLeaseChain,
// counted from the time at which their caller stops waiting, because the entry host or the
// owner is late.
func TestOwnerEndsTimedOutJobs(t *testing.T) {
	const budget, late = time.Second, 150 * time.Millisecond
	tests := map[string]struct {
		budget, age time.Duration
		// second is the budget of a submission by another session, negative for none.
		second time.Duration
		// want is when the runs are due to stop, 0 for never.
		want time.Duration
	}{
		"InTime":        {budget, 0, -1, budget},
		"Waited":        {budget, 200 * time.Millisecond, -1, budget - 200*time.Millisecond},
		"SecondLonger":  {budget, 0, 2 * budget, 2 * budget},
		"SecondShorter": {budget, 0, budget / 2, budget},
		"SecondUnknown": {budget, 0, 0, 0},
		"Unknown":       {0, 0, -1, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPoolTester(t)
			p.pool.AssumeOwnership(p.now, nil)
			p.pool.SetServers(p.now, []Server{testServer("a", false)})
			p.advance(time.Millisecond, "a")
			submitted := p.now
			j := testJob("1")
			j.Budget, j.Age = c.budget, c.age
			p.pool.Submit(p.now, 1, j)
			if c.second >= 0 {
				j.Budget = c.second
				p.pool.Submit(p.now, 2, j)
			}
			end := c.want
			if end == 0 {
				end = 3 * budget
			}
			p.advanceFor(end-2*tickInterval, "a")
			s := p.pool.orderedServers[0]
			if len(s.runs) != 1 || p.pool.Jobs() != 1 {
				t.Fatalf("%d runs and %d jobs before the time limit, want one of each", len(s.runs), p.pool.Jobs())
			}
			p.now = submitted.Add(end + late)
			p.pool.Tick(p.now)
			if jobs := p.pool.Jobs(); (jobs == 0) != (c.want > 0) {
				t.Errorf("%d jobs after %v", jobs, end+late)
			}
			for _, r := range s.runs {
				if got := r.stopRequestedAt.Sub(submitted); c.want > 0 && got != c.want || c.want == 0 && !r.stopRequestedAt.IsZero() {
					t.Errorf("the run is due to stop since %v after the submission, want %v", got, c.want)
				}
			}
		})
	}
}

// TestSuspendedOwnerRestartsNothing guards against a task that an owner starts again, after it was
// suspended, for a caller that has given up meanwhile and may have returned elsewhere.
func TestSuspendedOwnerRestartsNothing(t *testing.T) {
	const budget = time.Second
	tests := map[string]struct {
		suspended time.Duration
		want      int
	}{
		"WithinLimit": {budget / 2, 1},
		"BeyondLimit": {4 * time.Second, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			h := newStubOwner()
			h.pool.AssumeOwnership(testStart, nil)
			h.pool.SetServers(testStart, []Server{testServer("a", false)})
			s := h.pool.orderedServers[0]
			list := Reply{Verdict: Accepted, Clock: time.Second, StartedAtMs: 1}
			h.pool.HandlePollReply(testStart, s.ID, s.token, false, testStart, list)
			h.entry.isOwner, h.entry.localLoad.Servers = true, 1
			h.HandleEvent(testStart, func(h *Host, now time.Time) {
				j := testJob("1")
				j.Budget = budget
				h.Submit(now, j)
			})
			if len(s.runs) != 1 {
				t.Fatalf("%d runs, want one", len(s.runs))
			}
			started := s.sortedRuns()[0].RunKey
			now := testStart.Add(c.suspended)
			starts := 0
			for _, a := range h.HandleEvent(now, func(h *Host, now time.Time) {
				list.Clock += c.suspended
				list.EndedRuns = []EndedRun{{Number: 1, RunKey: started, Outcome: RunStopped}}
				h.pool.HandlePollReply(now, s.ID, s.token, false, testStart, list)
			}) {
				if a.Start != nil {
					starts++
				}
			}
			if starts != c.want {
				t.Errorf("%d starts after the suspension, want %d", starts, c.want)
			}
		})
	}
}

// TestTimedOutSubmissionIsRefused guards against a task that is started for a caller that gave up
// while its submission waited in a suspended host.
func TestTimedOutSubmissionIsRefused(t *testing.T) {
	tests := map[string]struct {
		age  time.Duration
		want int
	}{
		"InTime": {999 * time.Millisecond, 1},
		"Late":   {time.Second, 0},
	}
	for name, c := range tests {
		for _, remote := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				h := newStubOwner()
				h.pool.AssumeOwnership(testStart, nil)
				h.pool.SetServers(testStart, []Server{testServer("a", false)})
				s := h.pool.orderedServers[0]
				h.pool.HandlePollReply(testStart, s.ID, s.token, false, testStart, Reply{Verdict: Accepted, Clock: time.Second, StartedAtMs: 1})
				h.entry.isOwner, h.entry.localLoad.Servers = true, 1
				id := h.sessions.Open(testStart, "entry")
				j := testJob("1")
				j.Budget, j.Age = time.Second, c.age
				refused := false
				for _, a := range h.HandleEvent(testStart, func(h *Host, now time.Time) {
					if remote {
						h.SubmitQueued(now, id, j, 1, nil)
					} else {
						h.Submit(now, j)
					}
				}) {
					refused = refused || a.Answer != nil && a.Answer.Result.Outcome == Refused
					refused = refused || a.Reply != nil && a.Reply.Message.Result != nil && a.Reply.Message.Result.Outcome == Refused
				}
				if len(s.runs) != c.want || refused != (c.want == 0) {
					t.Errorf("remote %v: %d runs, refused %v; want %d and %v", remote, len(s.runs), refused, c.want, c.want == 0)
				}
			})
		}
	}
}

// TestSuspendedEntryHostOffersNothing guards against a job that a host, after it was suspended, sends
// to a second owner for a caller that has given up meanwhile and may have returned elsewhere.
func TestSuspendedEntryHostOffersNothing(t *testing.T) {
	const budget = time.Second
	tests := map[string]struct {
		suspended time.Duration
		want      bool
	}{
		"WithinLimit": {budget / 2, true},
		"BeyondLimit": {4 * time.Second, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			h := newStubOwner()
			h.entry.SetMembers(testStart, []Candidate{{"b", "b", "domain2", 0}, {"c", "c", "domain3", 0}})
			hb := heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}}
			acceptSessions(h.entry, testStart, hb)
			h.HandleEvent(testStart, func(h *Host, now time.Time) {
				j := testJob("1")
				j.Budget = budget
				h.Submit(now, j)
			})
			j := h.entry.jobs["1"]
			owner, submission := j.owner, j.submission
			sent := false
			for _, a := range h.HandleEvents(testStart.Add(c.suspended), []func(*Host, time.Time){func(h *Host, now time.Time) {
				h.handleOwnerMessage(now, owner, message{Result: &Result{ID: "1", Outcome: Refused, Reason: "HostBusy"}, Submission: submission})
			}}, nil) {
				sent = sent || a.SendTo != nil && a.SendTo.Message.Submit != nil
			}
			if sent != c.want {
				t.Errorf("sent to the other owner: %v, want %v", sent, c.want)
			}
		})
	}
}

// TestSecondCallerExtendsLimitOfOwner guards against a job that its owner ends at the time limit of
// the first caller, although a second one of the same entry host waits longer.
func TestSecondCallerExtendsLimitOfOwner(t *testing.T) {
	const budget = time.Second
	tests := map[string]struct {
		second time.Duration
		// want is when the owner ends the job, 0 for never.
		want time.Duration
	}{
		"Longer":  {3 * budget, 3*budget + budget/2},
		"Shorter": {budget / 4, budget},
		"Unknown": {0, 0},
	}
	for name, c := range tests {
		for _, remote := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				owner := newStubOwner()
				owner.pool.AssumeOwnership(testStart, nil)
				owner.pool.SetServers(testStart, []Server{testServer("a", false)})
				s := owner.pool.orderedServers[0]
				owner.pool.HandlePollReply(testStart, s.ID, s.token, false, testStart, Reply{Verdict: Accepted, Clock: time.Second, StartedAtMs: 1})
				owner.entry.isOwner, owner.entry.localLoad.Servers = true, 1
				entry, path := owner, localSession
				if remote {
					entry = newStubOwner()
					entry.entry.cfg.Self = Candidate{"c", "c", "domain1", 0}
					entry.entry.SetMembers(testStart, []Candidate{{"a", "a", "domain1", 0}})
					acceptSessions(entry.entry, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
					path = owner.sessions.Open(testStart, "c")
				}
				submit := func(now time.Time, budget time.Duration) {
					j := testJob("1")
					j.Budget = budget
					for _, a := range entry.HandleEvent(now, func(h *Host, now time.Time) { h.Submit(now, j) }) {
						if a.SendTo != nil {
							owner.handleEntryMessage(now, path, a.SendTo.Message)
						}
					}
				}
				submit(testStart, budget)
				submit(testStart.Add(budget/2), c.second)
				j := owner.pool.jobs["1"]
				if j == nil {
					t.Fatal("the owner hasn't accepted the job")
				}
				if want := testStart.Add(c.want); c.want > 0 && !j.neededUntil.Equal(want) || c.want == 0 && !j.neededUntil.IsZero() {
					t.Errorf("remote %v: the owner ends the job at %v, want %v", remote, j.neededUntil.Sub(testStart), c.want)
				}
			})
		}
	}
}

// TestNextOwnerKnowsLaterLimit guards against a job that its second owner ends at the time limit of
// the first caller.
func TestNextOwnerKnowsLaterLimit(t *testing.T) {
	tests := map[string]struct{ second, want time.Duration }{
		"Longer":  {2 * time.Second, 2500 * time.Millisecond},
		"Shorter": {100 * time.Millisecond, time.Second},
		"Unknown": {0, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c")
			e.Submit(testStart, Job{ID: "1", Budget: time.Second, Steps: []Step{{Count: 1}}})
			e.Submit(testStart.Add(500*time.Millisecond), Job{ID: "1", Budget: c.second, Steps: []Step{{Count: 1}}})
			e.SetMembers(testStart, []Candidate{{"a", "a", "domain1", 0}})
			acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
			e.Tick(testStart)
			m := submissionTo(e.TakeActions(), "a")
			if m == nil {
				t.Fatal("the job was not sent to the owner")
			}
			if m.Submit.Budget != c.want {
				t.Errorf("the owner is told that callers wait for %v, want %v", m.Submit.Budget, c.want)
			}
		})
	}
}
