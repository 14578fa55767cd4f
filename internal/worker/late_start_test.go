package worker

import (
	"slices"
	"testing"
	"time"
)

// TestUnansweredStartKeepsTaskFromRunningTwice guards against a second run of a task whose
// start command got no reply, and which the next incarnation of the server may execute.
func TestUnansweredStartKeepsTaskFromRunningTwice(t *testing.T) {
	const lost, startsAnew, repeats = "lost", "starts anew", "repeats the command"
	tests := map[string]struct {
		// act is what happens between the answer and the next submission.
		act func(p *poolTester, silent, other string)
		// want is what becomes of the next submission.
		want string
	}{
		"StaysSilent": {func(p *poolTester, _, other string) { p.advanceFor(maxCommandDelay-3*time.Second, other) }, lost},
		"Unlisted": {func(p *poolTester, silent, other string) {
			s := testServer(other, false)
			s.ID = other
			p.pool.SetServers(p.now, []Server{s})
			p.advanceFor(maxCommandDelay-3*time.Second, other)
		}, lost},
		"AddressChanges": {func(p *poolTester, silent, other string) {
			s, moved := testServer(other, false), testServer("c", false)
			s.ID, moved.ID = other, silent
			p.pool.SetServers(p.now, []Server{s, moved})
			p.advanceFor(maxCommandDelay-3*time.Second, other)
		}, lost},
		"NoLongerLate": {func(p *poolTester, _, other string) { p.advanceFor(lateStartTimeout, other) }, startsAnew},
		"SameAnswers":  {func(p *poolTester, silent, other string) { p.advanceFor(time.Second, silent, other) }, lost},
		"NextAnswers": {func(p *poolTester, silent, other string) {
			p.restarted = map[string]bool{silent: true}
			p.advanceFor(time.Second, silent, other)
		}, repeats},
		"OtherIDAnswers": {func(p *poolTester, silent, other string) {
			p.replaced = map[string]bool{silent: true}
			p.advanceFor(time.Second, silent, other)
		}, startsAnew},
		"OwnerLeaves": {func(p *poolTester, silent, other string) {
			p.pool.Drain(p.now)
			p.advanceFor(time.Second, other)
			if slices.Contains(p.pool.RetainedServers(), silent) {
				p.t.Errorf("the leaving owner still retains %s", silent)
			}
		}, lost},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTwoServerTester(t)
			job := testJob("1")
			job.Budget = time.Minute
			job.Target = time.Minute
			p.pool.Submit(p.now, 1, job)
			silent, other := p.pool.jobs["1"].tasks[0][0].assignedServer.Address, "b"
			if silent == other {
				other = "a"
			}
			submittedAt := p.now
			for len(p.answers) == 0 && p.now.Sub(submittedAt) < 3*time.Second {
				p.advance(tickInterval, other)
			}
			unresolved := Result{ID: "1", Outcome: Lost, Reason: reasonStartUnresolved}
			if !slices.Equal(p.answers, []Result{unresolved}) || len(p.starts) != 1 {
				t.Fatalf("%d starts and the answers %+v, want one start and %+v", len(p.starts), p.answers, unresolved)
			}
			if took := p.now.Sub(submittedAt); took > unresponsiveRenewLimit+leaseDuration+stopAckTimeout {
				t.Errorf("the job was answered as lost only after %v", took)
			}
			c.act(p, silent, other)
			if len(p.starts) != 1 {
				t.Fatalf("%d starts before the next submission, want one", len(p.starts))
			}
			p.pool.Submit(p.now, 1, job)
			p.advance(tickInterval, silent, other, "c")
			got := startsAnew
			switch {
			case len(p.starts) == 1 && len(p.answers) == 2 && p.answers[1] == unresolved:
				got = lost
			case len(p.starts) == 1:
				got = "waits"
			case p.starts[1].Command.RunKey == p.starts[0].Command.RunKey && p.starts[1].Server.ID == silent:
				got = repeats
			}
			if got != c.want {
				t.Errorf("the next submission %s, want that it %s", got, c.want)
			}
		})
	}
}

// TestServerWithLateStartIsPolledOften guards against a long time in which the next incarnation
// of a server executes late commands, and against polls that go on for longer than needed.
func TestServerWithLateStartIsPolledOften(t *testing.T) {
	p := newTwoServerTester(t)
	p.pool.Submit(p.now, 1, testJob("1"))
	silent, other := p.pool.jobs["1"].tasks[0][0].assignedServer, "b"
	if silent.Address == other {
		other = "a"
	}
	p.advanceFor(2*time.Second, other)
	for _, c := range []struct{ until, longest time.Duration }{{maxCommandDelay, lateStartPollInterval}, {2 * maxCommandDelay, maxPollRetryDelay}} {
		last, polls := p.now, 0
		for ; p.now.Sub(testStart) < c.until; p.advance(tickInterval, other) {
			if !silent.pollSentAt.After(last) {
				continue
			}
			if wait := silent.pollSentAt.Sub(last); wait > c.longest+tickInterval {
				t.Errorf("no poll for %v, want at most %v", wait, c.longest)
			}
			last = silent.pollSentAt
			polls++
		}
		if most := int(c.until/c.longest) + 5; polls == 0 || polls > most {
			t.Errorf("%d polls up to %v, want at most %d", polls, c.until, most)
		}
	}
}

// TestSuccessorPollsSilentServersOften guards against a long time in which the next incarnation of
// a server executes commands of an owner that died, whose successor hasn't reached the server yet.
func TestSuccessorPollsSilentServersOften(t *testing.T) {
	p := newPoolTester(t)
	silent, other := testServer("a", false), testServer("b", false)
	silent.ID, other.ID = "a", "b"
	p.pool.SetServers(p.now, []Server{silent, other})
	p.pool.AssumeOwnership(p.now, nil)
	p.advanceFor(time.Second, "b")
	for _, c := range []struct{ until, longest time.Duration }{{maxCommandDelay, lateStartPollInterval}, {2 * maxCommandDelay, maxPollRetryDelay}} {
		last := p.now
		for ; p.now.Sub(testStart) < c.until; p.advance(tickInterval, "b") {
			if at := p.pool.servers["a"].pollSentAt; at.After(last) {
				if at.Sub(last) > c.longest+tickInterval {
					t.Errorf("no poll for %v, want at most %v", at.Sub(last), c.longest)
				}
				last = at
			}
		}
		if p.now.Sub(last) > c.longest+tickInterval {
			t.Errorf("no poll for %v, want at most %v", p.now.Sub(last), c.longest)
		}
	}
	if wait := p.pool.servers["b"].nextPoll(p.now).Wait; wait != pollWaitIdle {
		t.Errorf("a poll of a server that answers waits %v, want %v", wait, pollWaitIdle)
	}
}

// TestRepeatedStartTiesTask guards against another run of a task while a copy of its start
// command is outstanding, and against a lost job once all copies were answered.
func TestRepeatedStartTiesTask(t *testing.T) {
	tests := map[string]struct {
		// late is the reply to the first copy, which arrives after the second one was accepted.
		late      Reply
		wantStart bool
	}{
		"FirstTimesOut":   {Reply{}, false},
		"FirstIsAnswered": {Reply{Verdict: Accepted, Clock: time.Second}, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTwoServerTester(t)
			p.loseStarts = 1
			p.pool.Submit(p.now, 1, testJob("1"))
			p.advanceFor(3*startPollDelay, "a", "b")
			if len(p.starts) != 2 {
				t.Fatalf("%d starts, want the command to be repeated once", len(p.starts))
			}
			first := p.starts[0]
			p.pool.HandleStartReply(p.now, first.Server.ID, first.Command.Token, first.Command.RunKey, c.late)
			s := p.pool.servers[first.Server.ID]
			if wait := s.nextPoll(p.now).Wait; c.late.Verdict != Accepted && wait > lateStartPollInterval {
				t.Errorf("the next poll waits %v, want at most %v", wait, lateStartPollInterval)
			}
			if wait := s.nextPoll(p.now.Add(maxCommandDelay)).Wait; wait < pollWaitBusy {
				t.Errorf("a poll waits %v once the command can't be executed any more, want at least %v", wait, pollWaitBusy)
			}
			p.endRun(first.Server.Address, RunFailed)
			p.advanceFor(time.Second, "a", "b")
			if started := len(p.starts) > 2; started != c.wantStart {
				t.Errorf("the failed task was started again: %v, want %v", started, c.wantStart)
			}
			if lost := len(p.answers) == 1 && p.answers[0].Outcome == Lost; lost == c.wantStart {
				t.Errorf("the answers are %+v", p.answers)
			}
		})
	}
}

// TestEndOfLostJobIsListedLater guards against an owner whose process ends when a server lists the
// failure of a run whose job was lost together with the lease, for the start of another task.
func TestEndOfLostJobIsListedLater(t *testing.T) {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	p.advance(time.Millisecond, "a")
	job := testJob("1")
	job.Steps[0].Count, job.Steps[0].Need.CPUMilli = 2, 10000
	p.loseStarts = 1
	p.pool.Submit(p.now, 1, job)
	p.advance(time.Millisecond, "a")
	for len(p.answers) == 0 && p.now.Sub(testStart) < 3*time.Second {
		p.advance(tickInterval)
	}
	if len(p.answers) != 1 || p.answers[0].Outcome != Lost {
		t.Fatalf("the answers are %+v, want one that the job is lost", p.answers)
	}
	p.endRun("a", RunFailed)
	p.advanceFor(time.Second, "a")
	if !p.pool.servers["server"].usable() {
		t.Error("the server isn't usable again")
	}
}
