package worker

import (
	"slices"
	"testing"
	"time"
)

// TestUnansweredStartKeepsTaskFromRunningTwice guards against a second run of a task whose
// start command got no reply, and which the next incarnation of the server may execute.
func TestUnansweredStartKeepsTaskFromRunningTwice(t *testing.T) {
	tests := map[string]struct {
		// act is what happens once the job was answered and submitted again.
		act func(p *poolTester, silent, other string)
		// wantStart is whether the task starts again then.
		wantStart bool
	}{
		"StaysSilent": {func(p *poolTester, _, other string) { p.advanceFor(maxCommandDelay-3*time.Second, other) }, false},
		"Unlisted": {func(p *poolTester, silent, other string) {
			s := testServer(other, false)
			s.ID = other
			p.pool.SetServers(p.now, []Server{s})
			p.advanceFor(maxCommandDelay-3*time.Second, other)
		}, false},
		"AddressChanges": {func(p *poolTester, silent, other string) {
			s, moved := testServer(other, false), testServer("c", false)
			s.ID, moved.ID = other, silent
			p.pool.SetServers(p.now, []Server{s, moved})
			p.advanceFor(maxCommandDelay-3*time.Second, other, "c")
		}, false},
		"NoLongerLate": {func(p *poolTester, _, other string) { p.advanceFor(lateStartTimeout, other) }, true},
		"SameAnswers":  {func(p *poolTester, silent, other string) { p.advanceFor(time.Second, silent, other) }, true},
		"NextAnswers": {func(p *poolTester, silent, other string) {
			p.restarted = map[string]bool{silent: true}
			p.advanceFor(time.Second, silent, other)
		}, true},
		"OtherIDAnswers": {func(p *poolTester, silent, other string) {
			p.replaced = map[string]bool{silent: true}
			p.advanceFor(time.Second, silent, other)
		}, true},
		"OwnerLeaves": {func(p *poolTester, silent, other string) {
			p.pool.Drain(p.now)
			p.advanceFor(time.Second, other)
			if slices.Contains(p.pool.RetainedServers(), silent) {
				p.t.Errorf("the leaving owner still retains %s", silent)
			}
		}, false},
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
			want := []Result{{ID: "1", Outcome: Lost, Reason: "StartUnresolved"}}
			if !slices.Equal(p.answers, want) || len(p.starts) != 1 {
				t.Fatalf("%d starts and the answers %+v, want one start and %+v", len(p.starts), p.answers, want)
			}
			if took := p.now.Sub(submittedAt); took > unresponsiveRenewLimit+leaseDuration+stopAckTimeout {
				t.Errorf("the job was answered as lost only after %v", took)
			}
			p.pool.Submit(p.now, 1, job)
			c.act(p, silent, other)
			if started := len(p.starts) > 1; started != c.wantStart {
				t.Errorf("the task was started again: %v, want %v", started, c.wantStart)
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

// TestResolvedStartIsAwaited guards against a restart that goes unnoticed while the server may
// execute a start command whose run was resolved before the command timed out.
func TestResolvedStartIsAwaited(t *testing.T) {
	p := newTwoServerTester(t)
	p.loseStarts = 1
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advanceFor(2*startPollDelay, "a", "b")
	if len(p.starts) != 2 {
		t.Fatalf("%d starts, want the second one after the first was resolved", len(p.starts))
	}
	first := p.starts[0]
	s := p.pool.servers[first.Server.ID]
	p.pool.HandleStartReply(p.now, first.Server.ID, first.Command.Token, first.Command.RunKey, Reply{})
	if wait := s.nextPoll(p.now).Wait; wait > lateStartPollInterval {
		t.Errorf("the next poll waits %v, want at most %v", wait, lateStartPollInterval)
	}
	if wait := s.nextPoll(p.now.Add(maxCommandDelay)).Wait; wait < pollWaitBusy {
		t.Errorf("a poll waits %v once the command can't be executed any more, want at least %v", wait, pollWaitBusy)
	}
}
