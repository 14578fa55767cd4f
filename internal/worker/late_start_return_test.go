package worker

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestReturningJobWaitsForNoLateStart guards against a second run of a task whose job was
// submitted again while its former run, the start command of which got no reply, was still
// tracked. Once the lease has expired, the next incarnation of the server may execute it.
func TestReturningJobWaitsForNoLateStart(t *testing.T) {
	tests := map[string]struct {
		// reply is whether the missing reply is noted before the job returns.
		reply bool
		// tasks is the number of tasks of the job.
		tasks int
	}{
		"ReplyNoted":   {true, 1},
		"ReplyPending": {false, 1},
		"TwoTasks":     {false, 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTwoServerTester(t)
			p.loseStarts = c.tasks
			job := testJob("1")
			job.Steps[0].Count = c.tasks
			p.pool.Submit(p.now, 1, job)
			p.advance(tickInterval)
			first := p.starts[0]
			if c.reply {
				p.pool.HandleStartReply(p.now, first.Server.ID, first.Command.Token, first.Command.RunKey, Reply{})
			}
			p.pool.Cancel(p.now, 1, "1", p.now)
			p.answers = nil
			p.pool.Submit(p.now, 1, job)
			p.advance(tickInterval)
			for _, s := range p.starts {
				p.pool.HandleStartReply(p.now, s.Server.ID, s.Command.Token, s.Command.RunKey, Reply{})
			}
			other := "b"
			if first.Server.ID == other {
				other = "a"
			}
			p.advanceFor(3*time.Second, other)
			if len(p.starts) != c.tasks {
				t.Errorf("%d starts, want %d", len(p.starts), c.tasks)
			}
			if want := []Result{{ID: "1", Outcome: Lost, Reason: reasonStartUnresolved}}; !slices.Equal(p.answers, want) {
				t.Errorf("the answers are %+v, want %+v", p.answers, want)
			}
		})
	}
}

// TestRecordOfJobOutlastsOneOfItsStarts guards against a job that other hosts start since the
// record of its late starts was removed once one of several was settled.
func TestRecordOfJobOutlastsOneOfItsStarts(t *testing.T) {
	tests := map[string]struct {
		// told is whether another host's record of the job has arrived before.
		told   bool
		starts int
		want   bool
	}{
		"OnlyStart":          {false, 1, false},
		"OneOfTwo":           {false, 2, true},
		"OnlyStartButTold":   {true, 1, true},
		"BothSettledButTold": {true, 2, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTwoServerTester(t)
			if c.told {
				p.pool.cfg.LateStarts.merge(p.now, lateStartsMessage{records: []lateStart{{Job: "1", RemainingMs: lateStartTimeout.Milliseconds()}}})
			}
			s := p.pool.servers["a"]
			until := p.now.Add(lateStartTimeout)
			for n := range c.starts {
				key := RunKey{taskName("1", 0, n), 1}
				u := &unsettledStart{key: key, server: s.ID, address: s.Address, copies: startCopies{sent: 1, unanswered: 1}, until: until}
				p.pool.unsettled[key.Task] = u
				p.pool.reviewUnsettled(p.now, u)
			}
			p.pool.noteStartListed(p.now, s, RunKey{taskName("1", 0, 0), 1})
			if got := p.pool.cfg.LateStarts.contains(p.now, "1"); got != c.want {
				t.Errorf("the log has the job: %v, want %v", got, c.want)
			}
		})
	}
}

// TestLateStartIsLoggedBeforeItsRunIsResolved guards against a caller that returns to an owner
// which was not told of an unanswered start in time: the lease may last almost as long as the
// caller waits.
func TestLateStartIsLoggedBeforeItsRunIsResolved(t *testing.T) {
	for name, endsFirst := range map[string]bool{"JobEndsFirst": true, "ReplyIsMissedFirst": false} {
		t.Run(name, func(t *testing.T) {
			p := newTwoServerTester(t)
			p.loseStarts = 1
			p.pool.Submit(p.now, 1, testJob("1"))
			p.advance(tickInterval)
			end := func() { p.pool.Cancel(p.now, 1, "1", p.now) }
			miss := func() {
				s := p.starts[0]
				p.pool.HandleStartReply(p.now, s.Server.ID, s.Command.Token, s.Command.RunKey, Reply{})
			}
			if endsFirst {
				end()
				miss()
			} else {
				miss()
				end()
			}
			if m, _ := p.pool.cfg.LateStarts.since(p.now, 0); len(m.records) != 1 || m.records[0].Job != "1" {
				t.Errorf("other hosts are sent %+v, want the record of job 1", m.records)
			}
			first := p.starts[0]
			p.pool.HandleStartReply(p.now, first.Server.ID, first.Command.Token, first.Command.RunKey, Reply{Verdict: RefusedOther})
			p.advanceFor(time.Second, "a", "b")
			if p.pool.cfg.LateStarts.contains(p.now, "1") {
				t.Error("the record remains although all copies were answered and the run has ended")
			}
		})
	}
}

// TestResumableJobIsNotRefused guards against a job with an unsettled start that an owner
// refuses or returns, so that an entry host without its record offers it to another owner.
func TestResumableJobIsNotRefused(t *testing.T) {
	tests := map[string]func(p *poolTester, j *Job){
		"Draining": func(p *poolTester, _ *Job) { p.pool.draining = true },
		"NotOwner": func(p *poolTester, _ *Job) { p.pool.owner = false },
		"Busy":     func(_ *poolTester, j *Job) { j.StartOrReturn, j.Steps[0].Count = true, 9 },
		"NoServer": func(_ *poolTester, j *Job) { j.Service = "other" },
		"TooLarge": func(_ *poolTester, j *Job) {
			j.Steps = append(j.Steps, Step{Count: 1, Need: Resources{CPUMilli: 1 << 20}, After: []int{0}})
		},
		"QueueFull": func(_ *poolTester, j *Job) {
			j.Steps[0].Count, j.Target, j.Budget = 9, time.Millisecond, time.Millisecond
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTwoServerTester(t)
			s := p.pool.servers["a"]
			key := RunKey{taskName("1", 0, 0), 1}
			u := &unsettledStart{key: key, server: s.ID, address: s.Address, startedAtMs: s.startedAtMs + 1, copies: startCopies{sent: 1, unanswered: 1}, until: p.now.Add(lateStartTimeout)}
			p.pool.unsettled[key.Task] = u
			p.pool.reviewUnsettled(p.now, u)
			job := testJob("1")
			change(p, &job)
			p.pool.Submit(p.now, 1, job)
			p.advance(tickInterval, "a", "b")
			if len(p.answers) != 1 || p.answers[0].Outcome != Lost {
				t.Errorf("the answers are %+v, want that the job is lost", p.answers)
			}
			if len(p.starts) != 0 {
				t.Errorf("%d starts, want none", len(p.starts))
			}
		})
	}
}

// TestStartIsResumedAtItsAddressOnly guards against a second run beside a late start command
// for another address at which a server has the same ID, and against a command that is taken
// for refused because another server has the later address.
func TestStartIsResumedAtItsAddressOnly(t *testing.T) {
	for name, replaced := range map[string]bool{"NextIncarnationAnswers": false, "OtherIDAnswers": true} {
		t.Run(name, func(t *testing.T) {
			p := newPoolTester(t)
			p.pool.AssumeOwnership(p.now, nil)
			p.pool.SetServers(p.now, []Server{testServer("a", false)})
			p.advance(time.Millisecond, "a")
			p.loseStarts = 1
			p.pool.Submit(p.now, 1, testJob("1"))
			p.advance(tickInterval)
			first := p.starts[0]
			p.pool.HandleStartReply(p.now, first.Server.ID, first.Command.Token, first.Command.RunKey, Reply{})
			p.pool.Cancel(p.now, 1, "1", p.now)
			p.pool.SetServers(p.now, []Server{testServer("c", false)})
			p.restarted = map[string]bool{"c": true}
			p.replaced = map[string]bool{"c": replaced}
			p.advanceFor(3*time.Second, "c")
			p.replaced = nil
			p.advanceFor(time.Second, "c")
			p.answers = nil
			p.pool.Submit(p.now, 1, testJob("1"))
			p.advance(tickInterval, "c")
			if want := []Result{{ID: "1", Outcome: Lost, Reason: reasonStartUnresolved}}; len(p.starts) != 1 || !slices.Equal(p.answers, want) {
				t.Errorf("%d starts and the answers %+v, want 1 and %+v", len(p.starts), p.answers, want)
			}
		})
	}
}

// TestStartIsNotRepeatedOnShrunkServer guards against a copy of a start command that brings a
// server over its capacity, which has shrunk since the first copy was sent.
func TestStartIsNotRepeatedOnShrunkServer(t *testing.T) {
	for name, cpuMilli := range map[string]int{"Fits": 20000, "Shrunk": 19999} {
		t.Run(name, func(t *testing.T) {
			p := newPoolTester(t)
			p.pool.AssumeOwnership(p.now, nil)
			p.pool.SetServers(p.now, []Server{testServer("a", false)})
			p.advance(time.Millisecond, "a")
			p.loseStarts = 1
			p.pool.Submit(p.now, 1, testJob("1"))
			p.advance(tickInterval)
			s := testServer("a", false)
			s.Capacity.CPUMilli = cpuMilli
			p.pool.SetServers(p.now, []Server{s})
			p.advanceFor(time.Second, "a")
			if repeated := len(p.starts) > 1; repeated != (cpuMilli == 20000) {
				t.Errorf("%d starts, the job needs 20000 of %d", len(p.starts), cpuMilli)
			}
		})
	}
}

// TestRecordReachesWaitingJob guards against a task that is started beside a late start command
// of which this host is told while the job waits.
func TestRecordReachesWaitingJob(t *testing.T) {
	records := []lateStart{{Job: "1", RemainingMs: 5000, FailureDomain: "domain2"}}
	lost := Result{ID: "1", Outcome: Lost, Reason: reasonStartUnresolved}
	t.Run("Owner", func(t *testing.T) {
		h := newStubOwner()
		h.pool.AssumeOwnership(testStart, nil)
		h.pool.SetServers(testStart, []Server{testServer("a", true)})
		id := h.sessions.Open(testStart, "entry")
		h.HandleEvent(testStart, func(h *Host, now time.Time) { h.pool.Submit(now, id, testJob("1")) })
		if h.pool.jobs["1"] == nil {
			t.Fatal("the job doesn't wait")
		}
		var results []Result
		for _, a := range h.HandleEvent(testStart, func(h *Host, now time.Time) { h.handleEntryMessage(now, id, message{Ack: 1, LateStarts: records}) }) {
			if a.Reply != nil && a.Reply.Message.Result != nil {
				results = append(results, *a.Reply.Message.Result)
			}
		}
		if !slices.Equal(results, []Result{lost}) {
			t.Errorf("the results are %+v, want %+v", results, lost)
		}
	})
	tests := map[string]struct {
		// toldFirst is whether the record arrives before the job.
		toldFirst bool
		end       func(e *Entry, owner string)
	}{
		"Refused": {false, func(e *Entry, owner string) {
			e.HandleResult(testStart, owner, 0, Result{ID: "1", Outcome: Refused, Reason: "QueueFull"})
		}},
		"NotSent":         {false, func(e *Entry, owner string) { e.HandleNotSent(testStart, owner, "1", "LinkFull") }},
		"NotSentToResume": {true, func(e *Entry, owner string) { e.HandleNotSent(testStart, owner, "1", "LinkFull") }},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c", "a")
			e.SetMembers(testStart, []Candidate{{"a", "a", "domain1", 0}, {"b", "b", "domain2", 0}})
			acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
			e.TakeActions()
			if c.toldFirst {
				e.cfg.LateStarts.merge(testStart, lateStartsMessage{records: records})
			}
			e.Submit(testStart, testJob("1"))
			owner := e.jobs["1"].owner
			e.cfg.LateStarts.merge(testStart, lateStartsMessage{records: records})
			e.TakeActions()
			c.end(e, owner)
			var answers []Result
			for _, a := range e.TakeActions() {
				if a.Answer != nil {
					answers = append(answers, a.Answer.Result)
				}
			}
			if !slices.Equal(answers, []Result{lost}) {
				t.Errorf("the answers are %+v, want %+v", answers, lost)
			}
		})
	}
}

// TestLateStartIsSettledByItsServerOnly guards against another run of a task because a server lists
// a run with the same number that an earlier owner started there.
func TestLateStartIsSettledByItsServerOnly(t *testing.T) {
	tests := map[string]struct {
		server string
		reply  bool
		want   bool
	}{
		"ListedBySame":   {"a", false, false},
		"ListedByOther":  {"b", false, true},
		"RepliedBySame":  {"a", true, false},
		"RepliedByOther": {"b", true, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTwoServerTester(t)
			key := RunKey{taskName("1", 0, 0), 1}
			u := &unsettledStart{key: key, server: "a", address: "a", copies: startCopies{sent: 1, unanswered: 1}, until: p.now.Add(lateStartTimeout)}
			p.pool.unsettled[key.Task] = u
			p.pool.reviewUnsettled(p.now, u)
			if c.reply {
				p.pool.HandleStartReply(p.now, c.server, p.pool.servers[c.server].token, key, Reply{Verdict: RefusedOther})
			} else {
				p.ended[c.server] = []EndedRun{{Number: 1, RunKey: key, Outcome: RunStopped}}
				p.advanceFor(2*time.Second, "a", "b")
			}
			if got := p.pool.isUnsettled(p.now, key.Task); got != c.want {
				t.Errorf("the start is unsettled: %v, want %v", got, c.want)
			}
		})
	}
}

// TestUnsettledStartOutlastsItsQueue guards against another run of a task while a copy of its start
// command that waited in the command queue, as long as it may, can still be executed.
func TestUnsettledStartOutlastsItsQueue(t *testing.T) {
	for name, queued := range map[string]time.Duration{"SentAtOnce": 0, "SentAtTheEndOfTheLease": leaseDuration} {
		t.Run(name, func(t *testing.T) {
			p := newTwoServerTester(t)
			p.loseStarts = 1
			p.pool.Submit(p.now, 1, testJob("1"))
			decided := p.now
			p.advance(tickInterval)
			p.pool.StepDown(p.now, "Deposed")
			over := decided.Add(queued + maxCommandDelay + maxLateLease*100/(100-maxClockDriftPercent))
			if !p.pool.isUnsettled(over.Add(-time.Millisecond), taskName("1", 0, 0)) {
				t.Errorf("the start is settled %v before its run must be over", time.Millisecond)
			}
		})
	}
}

// TestManyLateStartsAreToldInTime guards against a caller that returns to a host which was not told of
// its job yet, because a host that was lost with many jobs fills the messages.
func TestManyLateStartsAreToldInTime(t *testing.T) {
	for name, jobs := range map[string]int{"Few": 10, "Many": 1000} {
		t.Run(name, func(t *testing.T) {
			l, other := NewLateStartLog("a"), NewLateStartLog("b")
			for n := range jobs {
				l.add(testStart, fmt.Sprintf("%016x", n), "", "", testStart.Add(lateStartTimeout))
			}
			sent := uint64(0)
			for range 4 {
				var list lateStartsMessage
				list, sent = l.since(testStart, sent)
				other.merge(testStart, list)
			}
			if len(other.jobs) != jobs {
				t.Errorf("the other host knows %d jobs after four heartbeats, want %d", len(other.jobs), jobs)
			}
		})
	}
}

// TestSuspectedTaskIsResumedAlone guards against a job that is lost for as long as its start may be
// late, although the server is back, since its task was on that server when it crashed.
func TestSuspectedTaskIsResumedAlone(t *testing.T) {
	tests := map[string]struct {
		crashes   int
		wantStart bool
	}{"NoCrash": {0, true}, "OneCrash": {1, true}, "Held": {2, false}}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTwoServerTester(t)
			s := p.pool.servers["a"]
			key := RunKey{taskName("1", 0, 0), 1}
			p.pool.unsettled[key.Task] = &unsettledStart{
				key: key, server: "a", address: s.Address, startedAtMs: s.startedAtMs + 1,
				copies: startCopies{sent: 1, unanswered: 1}, until: p.now.Add(lateStartTimeout),
			}
			for n := range c.crashes {
				server := fmt.Sprint("gone", n)
				p.pool.crashes.log.add(p.now, key.Task, taskCrash{Server: server, Address: server, StartedAtMs: 1, Alone: true})
			}
			p.pool.Submit(p.now, 1, testJob("1"))
			p.advance(tickInterval, "a", "b")
			if started := len(p.starts) == 1 && p.starts[0].Command.RunKey == key && p.starts[0].Server.ID == "a"; started != c.wantStart {
				t.Errorf("the command was repeated: %v, want %v (%+v, %+v)", started, c.wantStart, p.starts, p.answers)
			}
			if alone := c.wantStart && c.crashes > 0; s.reserved != alone {
				t.Errorf("the task has the server for itself: %v, want %v", s.reserved, alone)
			}
		})
	}
}
