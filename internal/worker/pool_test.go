package worker

import (
	"io"
	"slices"
	"testing"
	"time"

	"guavayoke/internal/event"
)

// poolTester drives a pool. Its servers execute every command immediately.
type poolTester struct {
	t      *testing.T
	pool   *Pool
	now    time.Time
	starts []ServerStart
	// running holds the runs that the server at each address lists.
	running map[string][]RunKey
	// ended holds the ended runs that the server at each address lists.
	ended map[string][]EndedRun
	// maxEnds limits the ended runs that a reply lists; 0 means no limit.
	maxEnds int
	answers []Result
	// loseStarts is the number of further start commands that get lost.
	loseStarts int
	// refusing holds the addresses that refuse connections.
	refusing map[string]bool
	// restarted and replaced hold the addresses at which another incarnation with the same
	// ID and with another ID answers.
	restarted, replaced map[string]bool
	// onTick, if not nil, is called after each tick.
	onTick func()
}

func newPoolTester(t *testing.T) *poolTester {
	tokens := NewTokenGenerator("10.1.0.1:1")
	return &poolTester{
		t: t, now: testStart, running: map[string][]RunKey{}, ended: map[string][]EndedRun{},
		pool: NewPool(PoolConfig{
			NextToken: func(now time.Time, refused uint64) uint64 { return tokens.Next(now, refused) },
			Log:       event.New(io.Discard, "error"),
		}),
	}
}

// advance executes the pool's commands to the addresses in answering, leaves the
// others unanswered, and then advances the time by d.
func (p *poolTester) advance(d time.Duration, answering ...string) {
	p.pool.Tick(p.now)
	for range 20 {
		for _, a := range p.pool.TakeActions() {
			p.perform(a, answering)
		}
	}
	if p.onTick != nil {
		p.onTick()
	}
	p.now = p.now.Add(d)
}

// advanceFor calls advance at intervals of a tick for the duration d.
func (p *poolTester) advanceFor(d time.Duration, answering ...string) {
	for until := p.now.Add(d); p.now.Before(until); {
		p.advance(tickInterval, answering...)
	}
}

func (p *poolTester) perform(a Action, answering []string) {
	reply := func(address string) Reply {
		if p.refusing[address] {
			return Reply{Verdict: ConnectionRefused}
		}
		for _, o := range answering {
			if o == address && p.replaced[address] {
				return Reply{Verdict: WrongIncarnation}
			}
			if o == address {
				startedAtMs := int64(1)
				if p.restarted[address] {
					startedAtMs = 2
				}
				return Reply{Verdict: Accepted, Clock: p.now.Sub(testStart) + time.Second, StartedAtMs: startedAtMs, Running: p.running[address], EndedRuns: p.ended[address]}
			}
		}
		return Reply{}
	}
	switch {
	case a.Start != nil:
		p.starts = append(p.starts, *a.Start)
		if p.loseStarts > 0 {
			p.loseStarts--
			return
		}
		r := reply(a.Start.Server.Address)
		if r.Verdict == Accepted {
			p.running[a.Start.Server.Address] = append(p.running[a.Start.Server.Address], a.Start.Command.RunKey)
		}
		p.pool.HandleStartReply(p.now, a.Start.Server.ID, a.Start.Command.Token, a.Start.Command.RunKey, r)
	case a.Answer != nil:
		p.answers = append(p.answers, a.Answer.Result)
	case a.Stop != nil:
		p.pool.HandleStopReply(p.now, a.Stop.Server.ID, a.Stop.Command.Token, a.Stop.Command.RunKey, reply(a.Stop.Server.Address))
	case a.Poll != nil:
		r := reply(a.Poll.Server.Address)
		r.EndedRuns = slices.DeleteFunc(slices.Clone(r.EndedRuns), func(e EndedRun) bool { return e.Number <= a.Poll.Command.LastSeen })
		if p.maxEnds > 0 && len(r.EndedRuns) >= p.maxEnds {
			r.EndedRuns, r.EndedRunsTruncated = r.EndedRuns[:p.maxEnds], true
		}
		p.pool.HandlePollReply(p.now, a.Poll.Server.ID, a.Poll.Command.Token, a.Poll.Immediate, p.now, r)
	}
}

// endRun makes the server at an address list the run that was started last as ended.
func (p *poolTester) endRun(address string, outcome RunOutcome) {
	key := p.starts[len(p.starts)-1].Command.RunKey
	p.running[address] = slices.DeleteFunc(p.running[address], func(k RunKey) bool { return k == key })
	p.ended[address] = append(p.ended[address], EndedRun{Number: uint64(len(p.ended[address]) + 1), RunKey: key, Outcome: outcome})
}

func testServer(address string, leaving bool) Server {
	return Server{ID: "server", Address: address, Service: "booking", Leaving: leaving, Capacity: Resources{CPUMilli: 32000}}
}

func testJob(id string) Job {
	return Job{
		ID: id, Queue: "queue", Service: "booking", MaxFailures: 3, Target: 20 * time.Second,
		Steps: []Step{{Count: 1, Need: Resources{CPUMilli: 20000}, Estimate: 10 * time.Second}},
	}
}

// TestLeavingServerGetsNoStart checks that no task is started on a server once the
// platform lists it as leaving.
func TestLeavingServerGetsNoStart(t *testing.T) {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	p.advance(time.Millisecond, "a")
	p.pool.SetServers(p.now, []Server{testServer("a", true)})
	p.pool.Submit(p.now, 1, testJob("1"))
	for range 20 {
		p.advance(50*time.Millisecond, "a")
	}
	if len(p.starts) != 0 {
		t.Errorf("got %d starts on a leaving server, want none", len(p.starts))
	}
}

// TestServerChangesAddress checks a server whose ID is listed with another address.
// The runs at the old address may last until their lease has expired, so they stay
// tracked until then. The new address is used immediately.
func TestServerChangesAddress(t *testing.T) {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	p.advance(time.Millisecond, "a")
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advance(time.Millisecond, "a")
	changedAt := p.now
	p.pool.SetServers(p.now, []Server{testServer("b", false)})
	p.pool.Submit(p.now, 1, testJob("2"))
	for range 40 {
		p.advance(25*time.Millisecond, "b")
	}
	var tasks []string
	for _, s := range p.starts {
		tasks = append(tasks, s.Server.Address+" "+s.Command.Task)
	}
	if len(p.starts) != 2 || p.starts[1].Command.Task != "2.0.0.0" || p.starts[1].Server.Address != "b" {
		t.Fatalf("starts are %v, want 1 at a and 2 at b", tasks)
	}
	// The first job waits for free resources at b, but its run at a is resolved.
	if expired := changedAt.Add(leaseDuration * 100 / (100 - maxClockDriftPercent)); p.now.Before(expired) {
		t.Fatalf("the test ends before the lease has expired")
	}
	if n := p.pool.trackedRuns["1.0.0.0"]; n != 0 {
		t.Errorf("%d runs of the first job are still tracked, want none", n)
	}
}

// TestUnansweredStartIsRetried guards against a long wait for a lost start command.
// The server answers polls, so the command must be repeated within a few round trips, not
// only after the timeout of the call.
func TestUnansweredStartIsRetried(t *testing.T) {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	p.advance(time.Millisecond, "a")
	p.loseStarts = 1
	p.pool.Submit(p.now, 1, testJob("1"))
	submittedAt := p.now
	for len(p.starts) < 2 && p.now.Sub(submittedAt) < time.Second {
		p.advance(tickInterval, "a")
	}
	if took := p.now.Sub(submittedAt); took > startPollDelay+5*tickInterval {
		t.Errorf("the command was repeated only after %v", took)
	}
	if first, last := p.starts[0], p.starts[len(p.starts)-1]; last.Server.ID != first.Server.ID || last.Command.RunKey != first.Command.RunKey {
		t.Errorf("run %v on %s follows %v on %s, want the same", last.Command.RunKey, last.Server.ID, first.Command.RunKey, first.Server.ID)
	}
	p.advanceFor(time.Second, "a")
	if r := p.pool.jobs["1"].tasks[0][0].currentRun; r == nil || !r.confirmed || len(p.starts) != 2 {
		t.Errorf("%d starts, want the second one to be confirmed", len(p.starts))
	}
}

// TestRestartDetectedByClock guards against an old command that reaches a restarted
// server. The server restarts under its ID, and its first reply is one to a start
// command, which doesn't contain the start time. Its clock shows the restart, so the
// owner acquires it with a new token immediately. A reply that was merely overtaken
// by a later one must not be taken for a restart.
func TestRestartDetectedByClock(t *testing.T) {
	for name, tc := range map[string]struct {
		clock      time.Duration
		reacquired bool
	}{
		"Restarted": {50 * time.Millisecond, true},
		"Overtaken": {3*time.Second - 300*time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPoolTester(t)
			p.pool.AssumeOwnership(p.now, nil)
			p.pool.SetServers(p.now, []Server{testServer("a", false)})
			for range 20 {
				p.advance(100*time.Millisecond, "a")
			}
			p.pool.TakeActions()
			p.pool.Submit(p.now, 1, testJob("1"))
			var start *ServerStart
			for _, a := range p.pool.TakeActions() {
				if a.Start != nil {
					start = a.Start
				}
			}
			if start == nil {
				t.Fatal("the task was not started")
			}
			p.pool.HandleStartReply(p.now, "server", start.Command.Token, start.Command.RunKey, Reply{Verdict: Accepted, Clock: tc.clock})
			reacquired := false
			for _, a := range p.pool.TakeActions() {
				reacquired = reacquired || a.Poll != nil && a.Poll.Command.Token > start.Command.Token
			}
			if reacquired != tc.reacquired {
				t.Errorf("acquired again: %v, want %v", reacquired, tc.reacquired)
			}
		})
	}
}

// TestFailureListedAfterLeaseExpiry guards against a start beyond the attempts of a task
// of which a run failed on a server whose replies got lost until its lease had expired.
func TestFailureListedAfterLeaseExpiry(t *testing.T) {
	failed, completed := Result{ID: "1", Outcome: Failed, Reason: "TaskFailed"}, Result{ID: "1", Outcome: Completed}
	for name, tc := range map[string]struct {
		maxFailures int
		// later is what happens to the second run, which is on another server; nil if
		// there is no other server.
		later  func(p *poolTester)
		starts int
		want   []Result
	}{
		"NoAttemptLeft":      {1, nil, 1, []Result{failed}},
		"AttemptLeft":        {2, nil, 2, nil},
		"LaterRunInProgress": {1, func(*poolTester) {}, 2, nil},
		"LaterRunDone":       {1, func(p *poolTester) { p.endRun("b", RunDone) }, 2, []Result{completed}},
		"LaterRunFails":      {2, func(p *poolTester) { p.endRun("b", RunFailed) }, 2, []Result{failed}},
		"LaterRunStopped":    {1, func(p *poolTester) { p.endRun("b", RunStopped) }, 2, []Result{failed}},
		"LaterRunsFail": {3, func(p *poolTester) {
			p.endRun("b", RunFailed)
			p.advanceFor(200*time.Millisecond, "a", "b")
			p.endRun(p.starts[len(p.starts)-1].Server.Address, RunFailed)
		}, 3, []Result{failed}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPoolTester(t)
			p.pool.AssumeOwnership(p.now, nil)
			servers := []Server{testServer("a", false)}
			p.pool.SetServers(p.now, servers)
			p.advance(time.Millisecond, "a")
			job := testJob("1")
			job.MaxFailures = tc.maxFailures
			p.pool.Submit(p.now, 1, job)
			p.advance(time.Millisecond, "a")
			p.endRun("a", RunFailed)
			if tc.later != nil {
				other := testServer("b", false)
				other.ID = "other"
				p.pool.SetServers(p.now, append(servers, other))
			}
			// The owner renews the lease for a while, then lets it expire.
			p.advanceFor(unresponsiveRenewLimit+2*leaseDuration, "b")
			p.advanceFor(2*maxPollRetryDelay, "a", "b")
			if tc.later != nil {
				tc.later(p)
			}
			p.advanceFor(200*time.Millisecond, "a", "b")
			if len(p.starts) != tc.starts || !slices.Equal(p.answers, tc.want) {
				t.Errorf("got %d starts and the answers %+v, want %d and %+v", len(p.starts), p.answers, tc.starts, tc.want)
			}
		})
	}
}

// TestInvalidJobFromPeerIsRefused guards against a malformed message that takes the owner down.
func TestInvalidJobFromPeerIsRefused(t *testing.T) {
	for name, change := range map[string]func(j *Job){
		"AfterMissingStep":  func(j *Job) { j.Steps[0].After = []int{7} },
		"AfterNegativeStep": func(j *Job) { j.Steps[0].After = []int{-1} },
		"AfterItself":       func(j *Job) { j.Steps[0].After = []int{0} },
		"HugeCount":         func(j *Job) { j.Steps[0].Count = 1 << 40 },
		"NegativeCount":     func(j *Job) { j.Steps[0].Count = -1 },
		"NoSteps":           func(j *Job) { j.Steps = nil },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPoolTester(t)
			p.pool.AssumeOwnership(p.now, nil)
			p.pool.SetServers(p.now, []Server{testServer("a", false)})
			p.advance(time.Millisecond, "a")
			job := testJob("1")
			change(&job)
			p.pool.Submit(p.now, 1, job)
			p.advance(time.Millisecond, "a")
			if len(p.answers) != 1 || p.answers[0].Outcome != Refused || p.pool.Jobs() != 0 {
				t.Errorf("got the answers %+v and %d jobs, want a refusal and no job", p.answers, p.pool.Jobs())
			}
		})
	}
}

// TestUnresponsiveServerKeepsNoRun guards against a task that waits on a server that is cut
// off until it is back, because each unanswered renewal postponed the end of the lease.
func TestUnresponsiveServerKeepsNoRun(t *testing.T) {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	servers := []Server{testServer("a", false)}
	p.pool.SetServers(p.now, servers)
	p.advance(time.Millisecond, "a")
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advance(time.Millisecond, "a")
	other := testServer("b", false)
	other.ID = "other"
	p.pool.SetServers(p.now, append(servers, other))
	p.advanceFor(unresponsiveRenewLimit+2*leaseDuration, "b")
	if len(p.starts) != 2 || p.starts[1].Server.Address != "b" {
		t.Errorf("the task was not started at b while a was cut off: %+v", p.starts)
	}
}

// TestEndBeyondListedOnes guards against a second start of a task that is done, because the
// reply to a poll had no room for the end of its run.
func TestEndBeyondListedOnes(t *testing.T) {
	p := newPoolTester(t)
	p.maxEnds = 1
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	p.advance(time.Millisecond, "a")
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advance(time.Millisecond, "a")
	p.ended["a"] = []EndedRun{{Number: 1, RunKey: RunKey{"other.0.0.0", 1}, Outcome: RunDone}}
	p.endRun("a", RunDone)
	p.advanceFor(200*time.Millisecond, "a")
	if want := []Result{{ID: "1", Outcome: Completed}}; len(p.starts) != 1 || !slices.Equal(p.answers, want) {
		t.Errorf("got %d starts and the answers %+v, want 1 and %+v", len(p.starts), p.answers, want)
	}
}

// TestRunNumbersUsedUp guards against run numbers that exceed their type, and against a task that
// is started forever: its server refuses each run as too old, since another program has stopped
// one with the highest number there.
func TestRunNumbersUsedUp(t *testing.T) {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	p.advance(time.Millisecond, "a")
	p.pool.Submit(p.now, 1, testJob("1"))
	starts := 0
	for range 1000 {
		p.pool.Tick(p.now)
		for _, a := range p.pool.TakeActions() {
			if a.Start == nil {
				p.perform(a, []string{"a"})
				continue
			}
			starts++
			if n := a.Start.Command.Run; n < 1 || n > maxRunNumber {
				t.Fatalf("start %d has the number %d", starts, n)
			}
			p.pool.HandleStartReply(p.now, a.Start.Server.ID, a.Start.Command.Token, a.Start.Command.RunKey, Reply{Verdict: RefusedOldRun})
		}
		p.now = p.now.Add(time.Millisecond)
	}
	if starts > 60 || len(p.answers) != 1 || p.answers[0].Outcome != Lost {
		t.Errorf("%d starts, answers %+v", starts, p.answers)
	}
}
